//! The audit trail: the entries visible to each branch, and compaction of old entries.
//!
//! Compaction rules:
//!
//! 1. The newest changes are stored individually, so that a daemon that is slightly behind can
//!    catch up with them. Older changes are moved, in order, into packs smaller than one megabyte.
//! 2. A packed change drops the values of each edit whose values exceed [`KEPT_VALUE_BYTES`] bytes.
//!    It keeps the author, key, time, path, revision and command, and also the hash of the values,
//!    so that the hash of the whole entry remains valid.
//! 3. Entries are never deleted.

use std::sync::Arc;

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value as Json};

use crate::change::Change;
use crate::edit::{self, Edit};
use crate::names;
use crate::path::{Part, TreePath};
use crate::tree::Tree;

/// Maximum size of the values of one edit in a packed entry, in bytes: the JSON before and after
/// together.
pub const KEPT_VALUE_BYTES: usize = 4096;

/// The part of a change that is visible to one branch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The revision that the change created.
    pub revision: Revision,
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The holder of the operator key at the time of the change.
    pub who: Arc<str>,
    /// The identifier of the operator key.
    pub key: Arc<str>,
    /// The identifier of the command.
    pub command: Arc<str>,
    /// The edits within the branch.
    pub edits: Vec<Edit>,
}

/// Returns the part of a change that is visible to a branch, or `None` if the change doesn't affect
/// the branch.
///
/// The newest tree is used to look up the branch of an operator key if the edit doesn't contain it.
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

/// Splits an edit of an object into one edit for each of its children.
fn split_by_child(path: &TreePath, edit: &Edit) -> Vec<Edit> {
    let empty = Json::Object(Map::new());
    let before = edit.before.as_ref().unwrap_or(&empty);
    let after = edit.after.as_ref().unwrap_or(&empty);
    edit::diff_at(path, before, after)
}

/// Restricts an edit to a branch. An edit of an ancestor of the branch is reduced to the node of
/// the branch. Returns `None` if the edit leaves the branch unchanged.
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

/// Returns the change as it is stored in a pack, without the values that are too large.
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
