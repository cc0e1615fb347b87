//! Edits of a document: a path with the values before and after.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value as Json, json};
use snafu::{OptionExt, ensure};

use crate::digest::Digest;
use crate::error::{ConflictSnafu, DroppedSnafu, MissingSnafu, SettingsError};
use crate::path::TreePath;

/// One edit. `None` stands for a node that doesn't exist, since no node of a tree is null.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// The path of the node, with slashes.
    #[serde(rename = "p")]
    pub path: String,
    /// The node before the edit.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub before: Option<Json>,
    /// The node after the edit.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub after: Option<Json>,
    /// The hash of both values, set when the audit trail has dropped the values of an old entry.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub dropped: Option<Digest>,
}

impl Edit {
    /// Returns the hash of both values, which is the same before and after they are dropped.
    pub fn values_digest(&self) -> Digest {
        let values = || Digest::of(&json!([self.before, self.after]));
        self.dropped.unwrap_or_else(values)
    }

    /// Returns the edit with its values replaced by their hash.
    #[must_use]
    pub fn without_values(&self) -> Edit {
        Edit {
            path: self.path.clone(),
            before: None,
            after: None,
            dropped: Some(self.values_digest()),
        }
    }

    /// Returns the edit that reverts this one.
    #[must_use]
    pub fn inverse(&self) -> Edit {
        Edit {
            path: self.path.clone(),
            before: self.after.clone(),
            after: self.before.clone(),
            dropped: self.dropped,
        }
    }

    /// Parses the path.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Path`] if the path is malformed.
    pub fn tree_path(&self) -> Result<TreePath, SettingsError> {
        TreePath::parse(&self.path)
    }
}

/// Returns the node at a path.
pub fn get<'a>(document: &'a Json, path: &TreePath) -> Option<&'a Json> {
    let mut node = document;
    for key in path.segments() {
        node = node.as_object()?.get(&**key)?;
    }
    Some(node)
}

/// Sets the node at a path, creating missing parent objects.
///
/// # Errors
///
/// Returns [`SettingsError::Missing`] if a parent on the path is not an object.
pub fn set(document: &mut Json, path: &TreePath, value: Json) -> Result<(), SettingsError> {
    let mut node = document;
    for key in path.segments() {
        let object = node.as_object_mut().context(MissingSnafu {
            path: path.to_string(),
        })?;
        node = object
            .entry(key.to_string())
            .or_insert_with(|| Json::Object(Map::new()));
    }
    *node = value;
    Ok(())
}

/// Removes the node at a path.
///
/// # Errors
///
/// Returns [`SettingsError::Missing`] if the node doesn't exist or is the root.
pub fn unset(document: &mut Json, path: &TreePath) -> Result<(), SettingsError> {
    let missing = MissingSnafu {
        path: path.to_string(),
    };
    let (key, above) = path.segments().split_last().context(missing.clone())?;
    let mut node = document;
    for key in above {
        let object = node.as_object_mut().context(missing.clone())?;
        node = object.get_mut(&**key).context(missing.clone())?;
    }
    let object = node.as_object_mut().context(missing.clone())?;
    object.remove(&**key).context(missing)?;
    Ok(())
}

/// Applies one edit.
///
/// # Errors
///
/// Returns [`SettingsError::Conflict`] if the node isn't equal to the edit's `before`, and
/// [`SettingsError::Dropped`] if the audit trail has dropped the values.
pub fn apply(document: &mut Json, edit: &Edit) -> Result<(), SettingsError> {
    let path = edit.tree_path()?;
    let path_text = &edit.path;
    ensure!(edit.dropped.is_none(), DroppedSnafu { path: path_text });
    let unchanged = get(document, &path) == edit.before.as_ref();
    ensure!(unchanged, ConflictSnafu { path: path_text });
    match (&edit.before, &edit.after) {
        (_, Some(value)) => set(document, &path, value.clone()),
        (Some(_), None) => unset(document, &path),
        (None, None) => Ok(()),
    }
}

/// Returns the edits that turn one document into another, ordered by path.
pub fn diff(before: &Json, after: &Json) -> Vec<Edit> {
    diff_at(&TreePath::default(), before, after)
}

/// Returns the edits between two states of the node at `path`. Their paths start at the root.
pub fn diff_at(path: &TreePath, before: &Json, after: &Json) -> Vec<Edit> {
    let mut edits = Vec::new();
    collect_edits(path, before, after, &mut edits);
    edits
}

fn collect_edits(path: &TreePath, before: &Json, after: &Json, edits: &mut Vec<Edit>) {
    let (Json::Object(old), Json::Object(new)) = (before, after) else {
        if before != after {
            edits.push(new_edit(path, Some(before), Some(after)));
        }
        return;
    };
    let added = new.keys().filter(|key| !old.contains_key(*key));
    let mut keys: Vec<&String> = old.keys().chain(added).collect();
    keys.sort();
    for key in keys {
        let path = path.child(key);
        edits.extend(diff_nodes(&path, old.get(key), new.get(key)));
    }
}

/// Returns the edits between two states of the node at `path`, where `None` is a missing node.
pub fn diff_nodes(path: &TreePath, before: Option<&Json>, after: Option<&Json>) -> Vec<Edit> {
    match (before, after) {
        (None, None) => Vec::new(),
        (Some(before), Some(after)) => diff_at(path, before, after),
        (before, after) => vec![new_edit(path, before, after)],
    }
}

fn new_edit(path: &TreePath, before: Option<&Json>, after: Option<&Json>) -> Edit {
    Edit {
        path: path.to_string(),
        before: before.cloned(),
        after: after.cloned(),
        dropped: None,
    }
}

/// Returns whether two sets of edits touch the same node, or a node and one of its ancestors.
///
/// # Errors
///
/// Returns [`SettingsError::Path`] if a path is malformed.
pub fn overlap(ours: &[Edit], theirs: &[Edit]) -> Result<bool, SettingsError> {
    for our in ours {
        let our = our.tree_path()?;
        for their in theirs {
            let their = their.tree_path()?;
            if our.is_within(&their) || their.is_within(&our) {
                return Ok(true);
            }
        }
    }
    Ok(false)
}
