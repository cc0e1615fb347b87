//! The settings replica: which changes and snapshots it accepts, rejects and keeps.

mod support;

use heatherknot_settings::replica::AcceptError;
use heatherknot_settings::{ChainPoint, Change, Digest, SettingsReplica, Snapshot};
use heatherknot_types::prelude::*;
use serde_json::json;
use support::{RandomEdit, accepted_trees, chain, change_value, first_change};

fn three_changes() -> Vec<Change> {
    let first = first_change();
    let tree = support::tree();
    let (second, tree) = change_value(first.point(), &tree, "defaults/deadline_ms", json!(5000));
    let (third, _) = change_value(second.point(), &tree, "defaults/deadline_ms", json!(6000));
    vec![first, second, third]
}

fn replica_at(changes: &[Change]) -> SettingsReplica {
    let mut replica = SettingsReplica::new();
    replica.accept_changes(changes).unwrap();
    replica
}

// Changes that were applied before must be skipped, and the others applied.
#[test]
fn changes_are_applied_in_order() {
    let changes = three_changes();
    let mut replica = SettingsReplica::new();

    let first = replica.accept_changes(&changes[..1]).unwrap();
    let rest = replica.accept_changes(&changes).unwrap();

    assert!(first && rest);
    assert_eq!(replica.revision(), Revision(3));
    assert_eq!(replica.tree().document()["defaults"]["deadline_ms"], 6000);
}

// Guards against a rollback to old settings: when a partitioned failure domain reconnects, its
// daemons send their old settings to their peers. A shortened deadline, for example, must not
// revert to the old value.
#[test]
fn older_settings_never_replace_newer_ones() {
    let changes = three_changes();
    let mut replica = replica_at(&changes);
    let old = replica_at(&changes[..2]).snapshot();

    let by_snapshot = replica.accept_snapshot(old).unwrap();
    let by_changes = replica.accept_changes(&changes[..2]).unwrap();

    assert!(!by_snapshot && !by_changes);
    assert_eq!(replica.revision(), Revision(3));
    assert_eq!(replica.tree().document()["defaults"]["deadline_ms"], 6000);
}

// Deliveries in any order must never lower the revision, nor keep it from reaching the newest.
#[test]
fn revision_never_decreases_whatever_the_delivery_order() {
    heatherknot_test_support::property::check()
        .with_type::<(Vec<RandomEdit>, Vec<(u8, u8, bool)>)>()
        .with_iterations(200)
        .for_each(|(random_edits, deliveries)| {
            let trees = accepted_trees(random_edits);
            let base = Snapshot::new(first_change().point(), &trees[0].document());
            let changes = chain(base.at, &trees);
            let mut replica = SettingsReplica::new();
            replica.accept_snapshot(base.clone()).unwrap();

            for (from, len, whole) in deliveries {
                let before = replica.revision();
                let from = usize::from(*from) % (changes.len() + 1);
                let to = (from + usize::from(*len)).min(changes.len());
                if *whole {
                    let at = from.checked_sub(1).map_or(base.at, |i| changes[i].point());
                    let snapshot = Snapshot::new(at, &trees[from].document());
                    replica.accept_snapshot(snapshot).unwrap();
                } else {
                    let _ = replica.accept_changes(&changes[from..to]);
                }
                assert!(replica.revision() >= before);
            }
            replica.accept_changes(&changes).unwrap();

            assert_eq!(**replica.tree(), trees[trees.len() - 1]);
        });
}

// Changes must not be applied across a gap; a snapshot must be accepted afterwards.
#[test]
fn missing_changes_are_reported_as_a_gap() {
    let changes = three_changes();
    let mut replica = replica_at(&changes[..1]);

    let refused = replica.accept_changes(&changes[2..]);
    let taken = replica
        .accept_snapshot(replica_at(&changes).snapshot())
        .unwrap();

    let gap = matches!(
        refused,
        Err(AcceptError::Gap {
            held: Revision(1),
            given: Revision(3)
        })
    );
    assert!(gap && taken);
    assert_eq!(replica.revision(), Revision(3));
}

// During an upgrade, an operator with a new client may write a tree of schema 2, which a daemon of
// the old release can't read. The daemon must keep its revision, report the unreadable one, and
// resume when the change is reverted to schema 1.
#[test]
fn unsupported_schema_is_reported_and_keeps_the_last_valid_revision() {
    let changes = three_changes();
    let mut replica = replica_at(&changes);
    let good = replica.tree().document();
    let newer = snapshot_of(4, &json!({ "schema": 2, "future": {} }));

    let refused = replica.accept_snapshot(newer);

    assert!(matches!(refused, Err(AcceptError::CannotRead { .. })));
    assert_eq!(replica.revision(), Revision(3));
    assert_eq!(replica.unreadable().unwrap().revision, Revision(4));
    let undone = snapshot_of(5, &good);
    assert!(replica.accept_snapshot(undone).unwrap());
    assert_eq!(replica.unreadable(), None);
}

fn snapshot_of(revision: u64, document: &serde_json::Value) -> Snapshot {
    let at = ChainPoint {
        revision: Revision(revision),
        hash: Digest::of(&json!(revision)),
    };
    Snapshot::new(at, document)
}

// An unreadable change must not discard the valid changes before it in the same delivery.
#[test]
fn valid_revisions_before_an_unreadable_one_are_applied() {
    let mut changes = three_changes();
    let edit = &mut changes[2].edits[0];
    edit.after = Some(json!("6 s"));
    let mut document = replica_at(&three_changes()).tree().document();
    document["defaults"]["deadline_ms"] = json!("6 s");
    changes[2].tree = Digest::of(&document);
    changes[2].hash = changes[2].computed_hash();
    let mut replica = SettingsReplica::new();

    let refused = replica.accept_changes(&changes);

    assert!(matches!(
        refused,
        Err(AcceptError::CannotRead {
            revision: Revision(3),
            ..
        })
    ));
    assert_eq!(replica.revision(), Revision(2));
}

// Two different changes with one revision number must not go unnoticed.
#[test]
fn conflicting_change_of_the_same_revision_is_reported() {
    let changes = three_changes();
    let mut replica = replica_at(&changes);
    let tree = support::tree();
    let (other, _) = change_value(changes[1].point(), &tree, "defaults/queue_len", json!(1));

    let refused = replica.accept_changes(&[other]);

    assert!(matches!(
        refused,
        Err(AcceptError::Fork {
            revision: Revision(3)
        })
    ));
}

// Changes or snapshots whose content does not match their hash must not come in force.
#[test]
fn altered_changes_and_snapshots_are_rejected() {
    let mut changes = three_changes();
    let good = replica_at(&changes);
    let mut altered = good.tree().document();
    altered["defaults"]["deadline_ms"] = json!(1);
    let mut snapshot = Snapshot::new(good.at(), &altered);
    snapshot.digest = good.tree().digest();
    changes[1].edits[0].after = Some(json!(1));
    let mut replica = SettingsReplica::new();

    let by_changes = replica.accept_changes(&changes);
    let by_snapshot = replica.accept_snapshot(snapshot);

    assert!(matches!(by_changes, Err(AcceptError::Broken { .. })));
    assert!(matches!(by_snapshot, Err(AcceptError::Damaged { .. })));
    assert_eq!(replica.revision(), Revision::NONE);
}

// Serializing a snapshot must not lose its position or its tree.
#[test]
fn snapshot_round_trips_through_json() {
    let changes = three_changes();
    let good = replica_at(&changes);

    let text = serde_json::to_string(&good.snapshot()).unwrap();
    let mut replica = SettingsReplica::new();
    let taken = replica.accept_snapshot(serde_json::from_str(&text).unwrap());

    assert!(taken.unwrap());
    assert_eq!((replica.at(), replica.tree()), (good.at(), good.tree()));
}

// The compact form must not lose a field, nor grow: every daemon receives every change.
#[test]
fn change_round_trips_through_compact_json() {
    let change = three_changes().remove(1);

    let text = serde_json::to_string(&change).unwrap();
    let read: Change = serde_json::from_str(&text).unwrap();

    assert_eq!(read, change);
    assert!(text.len() < 420, "{} bytes: {text}", text.len());
}
