//! The audit trail: what each branch may see of it, and what is kept of old entries.
//!
//! The rule of compaction:
//!
//! 1. The newest changes stay single values, so that a daemon a little behind is brought up to
//!    date with them. Older ones move, in their order, into packs below a megabyte.
//! 2. On its way into a pack a change loses the values of each edit whose values take more than
//!    [`KEPT_VALUE_BYTES`] bytes. Who, key, when, path, revision and command stay, and so does
//!    the hash of the values, by which the hash of the whole entry goes on holding.
//! 3. No entry is ever deleted.

use std::sync::Arc;

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value as Json};

use crate::change::Change;
use crate::edit::{self, Edit};
use crate::names;
use crate::path::{Part, TreePath};
use crate::tree::Tree;

/// The most bytes that the values of one edit take, before and after together as JSON, in an
/// entry that has been packed.
pub const KEPT_VALUE_BYTES: usize = 4096;

/// One change as a reader of one branch sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The revision that the change made.
    pub revision: Revision,
    /// Wall-clock time, in milliseconds since 1970.
    pub at_ms: u64,
    /// Who held the key.
    pub who: Arc<str>,
    /// The identifier of the key.
    pub key: Arc<str>,
    /// The identifier of the command.
    pub command: Arc<str>,
    /// What was changed in the branch.
    pub edits: Vec<Edit>,
}

/// Gives what the readers of a branch may see of a change; none where it left the branch alone.
///
/// The newest tree tells which branch an operator's key belongs to where the edit itself
/// doesn't.
pub fn entry_for(branch: &str, newest: &Tree, change: &Change) -> Option<AuditEntry> {
    let edits = change.edits.iter();
    let edits: Vec<Edit> = edits
        .flat_map(|edit| visible_edits(branch, newest, edit))
        .collect();
    (!edits.is_empty()).then(|| AuditEntry {
        revision: change.revision,
        at_ms: change.at_ms,
        who: change.who.clone(),
        key: change.key.clone(),
        command: change.command.clone(),
        edits,
    })
}

fn visible_edits(branch: &str, newest: &Tree, edit: &Edit) -> Vec<Edit> {
    if branch.is_empty() {
        return vec![edit.clone()];
    }
    let Ok(path) = edit.tree_path() else {
        return Vec::new();
    };
    match path.part() {
        Part::Account(_) => {
            let part = clip_to_branch(&TreePath::of_account(branch), &path, edit);
            part.into_iter().collect()
        }
        Part::Operators(Some(id)) => {
            let bound = key_branch(edit, newest, &id);
            let own = bound.is_some_and(|bound| names::is_within(&bound, branch));
            own.then(|| edit.clone()).into_iter().collect()
        }
        Part::Operators(None) => {
            let keys = split_by_child(&path, edit).into_iter();
            keys.flat_map(|key| visible_edits(branch, newest, &key))
                .collect()
        }
        _ => Vec::new(),
    }
}

/// Gives an edit of a whole object as one edit for each of its children.
fn split_by_child(path: &TreePath, edit: &Edit) -> Vec<Edit> {
    let empty = Json::Object(Map::new());
    let before = edit.before.as_ref().unwrap_or(&empty);
    let after = edit.after.as_ref().unwrap_or(&empty);
    edit::diff_at(path, before, after)
}

/// Gives the part of an edit that lies in the branch, where the edit is of a node above it.
fn clip_to_branch(branch: &TreePath, path: &TreePath, edit: &Edit) -> Option<Edit> {
    if path.is_within(branch) {
        return Some(edit.clone());
    }
    let below = branch.below(path)?;
    let inside = |node: &Option<Json>| node.as_ref().and_then(|n| edit::get(n, &below).cloned());
    let part = Edit {
        path: branch.to_string(),
        before: inside(&edit.before),
        after: inside(&edit.after),
        dropped: None,
    };
    (part.before != part.after).then_some(part)
}

fn key_branch(edit: &Edit, newest: &Tree, id: &str) -> Option<String> {
    let node = edit.after.as_ref().or(edit.before.as_ref());
    let named = node.and_then(|node| node.get("branch")?.as_str().map(str::to_string));
    named.or_else(|| {
        let key = newest.model().operators.get(id)?;
        Some(key.branch.to_string())
    })
}

/// Gives what is kept of a change in a pack.
#[must_use]
pub fn compacted(change: &Change) -> Change {
    let mut compact = change.clone();
    for edit in &mut compact.edits {
        if values_bytes(edit) > KEPT_VALUE_BYTES {
            *edit = edit.without_values();
        }
    }
    compact
}

fn values_bytes(edit: &Edit) -> usize {
    let values = [&edit.before, &edit.after].into_iter().flatten();
    values.map(|value| value.to_string().len()).sum()
}
