//! Property tests of edits, reverts and the hash chain of changes, using random edits.

mod support;

use heatherknot_settings::change::{rewind, verify_chain};
use heatherknot_settings::{ChainPoint, Change, Digest, Tree, edit};
use heatherknot_types::prelude::*;
use support::{RandomEdit, accepted_trees, chain};

const ROUNDS: usize = 300;

// A diff must contain every difference, and its inverse must restore the document.
#[test]
fn diff_and_its_inverse_round_trip() {
    heatherknot_test_support::property::check()
        .with_type::<Vec<RandomEdit>>()
        .with_iterations(ROUNDS)
        .for_each(|random_edits| {
            let before = support::document();
            let mut after = before.clone();
            for random_edit in random_edits {
                support::apply_random_edit(&mut after, *random_edit);
            }

            let edits = edit::diff(&before, &after);

            let mut forward = before.clone();
            edits
                .iter()
                .for_each(|e| edit::apply(&mut forward, e).unwrap());
            assert_eq!(forward, after);
            let mut back = after;
            let inverse = edits.iter().rev().map(edit::Edit::inverse);
            inverse.for_each(|e| edit::apply(&mut back, &e).unwrap());
            assert_eq!(back, before);
        });
}

// Replaying or rewinding a chain of changes must not lose an edit.
#[test]
fn changes_replay_to_the_last_tree_and_rewind_to_the_first() {
    heatherknot_test_support::property::check()
        .with_type::<Vec<RandomEdit>>()
        .with_iterations(ROUNDS)
        .for_each(|random_edits| {
            let trees = accepted_trees(random_edits);
            let (first, last) = (&trees[0], &trees[trees.len() - 1]);

            let changes = chain(ChainPoint::default(), &trees);

            let end = verify_chain(ChainPoint::default(), &changes).unwrap();
            assert_eq!(end.revision.0, changes.len() as u64);
            let mut at = first.clone();
            for change in &changes {
                at = change.apply(&at).unwrap();
            }
            assert_eq!(&at, last);
            assert_eq!(
                rewind(&last.document(), &changes).unwrap(),
                first.document()
            );
        });
}

// A revert must restore the tree exactly.
#[test]
fn reverting_the_last_change_restores_the_previous_tree() {
    heatherknot_test_support::property::check()
        .with_type::<Vec<RandomEdit>>()
        .with_iterations(ROUNDS)
        .for_each(|random_edits| {
            let trees = accepted_trees(random_edits);
            let changes = chain(ChainPoint::default(), &trees);
            let Some(last) = changes.last() else { return };

            let undone = last.reverted(&trees[trees.len() - 1]).unwrap();

            assert_eq!(undone, trees[trees.len() - 2]);
        });
}

// Tampering with any field of an entry must be detected.
#[test]
fn altered_entries_break_the_hash_chain() {
    heatherknot_test_support::property::check()
        .with_type::<(Vec<RandomEdit>, u8, u8)>()
        .with_iterations(ROUNDS)
        .for_each(|(random_edits, which, how)| {
            let trees = accepted_trees(random_edits);
            let mut changes = chain(ChainPoint::default(), &trees);
            if changes.is_empty() {
                return;
            }
            let which = usize::from(*which) % changes.len();

            tamper(&mut changes, which, *how);

            assert!(verify_chain(ChainPoint::default(), &changes).is_err());
        });
}

fn tamper(changes: &mut [Change], which: usize, how: u8) {
    let change = &mut changes[which];
    match how % 7 {
        0 => change.who = "Somebody else".into(),
        1 => change.at_ms += 1,
        2 => change.edits[0].path.push('x'),
        3 => change.edits[0].after = Some(serde_json::json!("forged")),
        4 => change.tree = Tree::empty().digest(),
        5 => change.command = "forged".into(),
        _ => {
            // A forged entry with a valid hash of its own still has the wrong predecessor, or its
            // successor refers to the hash that it replaced.
            change.previous = Tree::empty().digest();
            change.hash = change.computed_hash();
        }
    }
}

// Dropping the values of old entries must not look like tampering.
#[test]
fn dropping_values_keeps_the_hash_chain_valid() {
    heatherknot_test_support::property::check()
        .with_type::<Vec<RandomEdit>>()
        .with_iterations(ROUNDS)
        .for_each(|random_edits| {
            let mut changes = chain(ChainPoint::default(), &accepted_trees(random_edits));

            for change in &mut changes {
                change.edits = change.edits.iter().map(|e| e.without_values()).collect();
            }

            assert!(verify_chain(ChainPoint::default(), &changes).is_ok());
        });
}

// Keeping accounts as text must not change diffs, text, hashes or plans.
#[test]
fn split_documents_behave_like_whole_documents() {
    heatherknot_test_support::property::check()
        .with_type::<Vec<RandomEdit>>()
        .with_iterations(ROUNDS)
        .for_each(|random_edits| {
            let trees = accepted_trees(random_edits);
            let (first, last) = (&trees[0], &trees[trees.len() - 1]);

            let edits = first.diff(last);
            let edited = first.edited(&edits).unwrap();
            let whole = last.document();

            assert_eq!(edits, edit::diff(&first.document(), &whole));
            assert_eq!(&edited, last);
            assert_eq!(edited.text(), whole.to_string());
            assert_eq!(edited.digest(), Digest::of(&whole));
            assert_eq!(&Tree::parse(&format!("{whole:#}")).unwrap(), last);
            let compiled = edited.compile(Revision(1));
            assert_eq!(
                compiled,
                Tree::from_document(whole).unwrap().compile(Revision(1))
            );
        });
}
