//! Accepted changes: the edits, their author, and the hash that links each change to its
//! predecessor.

use std::sync::Arc;

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::{Value as Json, json};
use snafu::ensure;

use crate::digest::Digest;
use crate::edit::{self, Edit};
use crate::error::{ChainSnafu, SettingsError, TooLargeSnafu, UnchangedSnafu};
use crate::tree::Tree;

/// Maximum size of a change as JSON, in bytes. The platform's store limits a value to less than one
/// megabyte, which must also hold the few bytes of the envelope around the change.
pub const MAX_CHANGE_BYTES: usize = 900_000;

/// The author of a change and the identifier of the command that requested it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Author {
    /// The identifier of the command, which stays the same when the command is run again.
    pub command: Arc<str>,
    /// The holder of the operator key.
    pub who: Arc<str>,
    /// The identifier of the operator key.
    pub key: Arc<str>,
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// One accepted change. Its JSON field names are short because every daemon receives it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The revision that the change created.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The hash of the preceding change, or [`Digest::NONE`] for the first.
    #[serde(rename = "q")]
    pub previous: Digest,
    /// The identifier of the command.
    #[serde(rename = "c")]
    pub command: Arc<str>,
    /// The holder of the operator key at the time of the change.
    #[serde(rename = "w")]
    pub who: Arc<str>,
    /// The identifier of the operator key.
    #[serde(rename = "k")]
    pub key: Arc<str>,
    /// Wall-clock time, in milliseconds since the Unix epoch.
    #[serde(rename = "t")]
    pub at_ms: u64,
    /// The edits, ordered by path.
    #[serde(rename = "e")]
    pub edits: Vec<Edit>,
    /// The hash of the whole tree after the change.
    #[serde(rename = "d")]
    pub tree: Digest,
    /// The hash of all the fields above.
    #[serde(rename = "h")]
    pub hash: Digest,
}

/// A position in the hash chain: a revision and the hash of the change that created it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainPoint {
    /// The revision.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The hash of the change that created it.
    #[serde(rename = "h")]
    pub hash: Digest,
}

impl Change {
    /// Creates the change that turns one tree into another.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Unchanged`] if the trees are equal and
    /// [`SettingsError::TooLarge`] if the change exceeds [`MAX_CHANGE_BYTES`].
    pub fn between(
        at: ChainPoint,
        before: &Tree,
        after: &Tree,
        author: Author,
    ) -> Result<Change, SettingsError> {
        let edits = before.diff(after);
        ensure!(!edits.is_empty(), UnchangedSnafu);
        let mut change = Change {
            revision: at.revision.next(),
            previous: at.hash,
            command: author.command,
            who: author.who,
            key: author.key,
            at_ms: author.at_ms,
            edits,
            tree: after.digest(),
            hash: Digest::NONE,
        };
        change.hash = change.computed_hash();
        let bytes = json!(change).to_string().len();
        ensure!(
            bytes <= MAX_CHANGE_BYTES,
            TooLargeSnafu {
                bytes,
                limit: MAX_CHANGE_BYTES
            }
        );
        Ok(change)
    }

    /// Computes the hash of every field except `hash`.
    ///
    /// The values of an edit are included through their own hash, so that the hash of an old entry
    /// remains valid after the audit trail has dropped its values.
    pub fn computed_hash(&self) -> Digest {
        let edits = self.edits.iter();
        let edits: Vec<_> = edits
            .map(|edit| json!([edit.path, edit.values_digest()]))
            .collect();
        Digest::of(&json!([
            self.revision,
            self.previous,
            self.command,
            self.who,
            self.key,
            self.at_ms,
            edits,
            self.tree,
        ]))
    }

    /// Returns the chain position after this change.
    pub fn point(&self) -> ChainPoint {
        ChainPoint {
            revision: self.revision,
            hash: self.hash,
        }
    }

    /// Checks that this change is unaltered and directly follows the given chain position.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Chain`] with the invalid revision.
    pub fn verify(&self, after: ChainPoint) -> Result<(), SettingsError> {
        let chain_error = |problem: &'static str| ChainSnafu {
            revision: self.revision,
            problem,
        };
        ensure!(
            self.hash == self.computed_hash(),
            chain_error("its hash doesn't fit its content")
        );
        ensure!(
            self.revision == after.revision.next(),
            chain_error("it doesn't follow the revision before")
        );
        ensure!(
            self.previous == after.hash,
            chain_error("it doesn't name the hash of the change before")
        );
        Ok(())
    }

    /// Applies the change to the tree that it was created from.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Conflict`] if the tree isn't the one that the change was created
    /// from, [`SettingsError::Chain`] if the hash of the resulting tree isn't the recorded one,
    /// and the errors of [`Tree::from_document`].
    pub fn apply(&self, tree: &Tree) -> Result<Tree, SettingsError> {
        let after = tree.edited(&self.edits)?;
        let problem = "the tree after it has another hash";
        ensure!(
            after.digest() == self.tree,
            ChainSnafu {
                revision: self.revision,
                problem
            }
        );
        Ok(after)
    }

    /// Returns the given tree with this change reverted and every other change kept.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Conflict`] if a later change modified the same node, and
    /// the errors of [`Tree::from_document`].
    pub fn reverted(&self, tree: &Tree) -> Result<Tree, SettingsError> {
        let edits = self.edits.iter().rev();
        let edits: Vec<Edit> = edits.map(Edit::inverse).collect();
        tree.edited(&edits)
    }
}

/// Checks a sequence of changes, each against its predecessor.
///
/// # Errors
///
/// Returns [`SettingsError::Chain`] for the first invalid change.
pub fn verify_chain(from: ChainPoint, changes: &[Change]) -> Result<ChainPoint, SettingsError> {
    let mut at = from;
    for change in changes {
        change.verify(at)?;
        at = change.point();
    }
    Ok(at)
}

/// Returns the document as it was before a sequence of changes that ends with the given document.
///
/// # Errors
///
/// Returns [`SettingsError::Conflict`] if the changes don't produce the document, and
/// [`SettingsError::Dropped`] if their values have been dropped.
pub fn rewind(document: &Json, changes: &[Change]) -> Result<Json, SettingsError> {
    let mut document = document.clone();
    for change in changes.iter().rev() {
        for edit in change.edits.iter().rev() {
            edit::apply(&mut document, &edit.inverse())?;
        }
    }
    Ok(document)
}
