//! Accepted changes: what was edited, by whom, and the hash that chains each to the one before.

use std::sync::Arc;

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::{Value as Json, json};
use snafu::ensure;

use crate::digest::Digest;
use crate::edit::{self, Edit};
use crate::error::{ChainSnafu, SettingsError, TooLargeSnafu, UnchangedSnafu};
use crate::tree::Tree;

/// The most bytes that one change takes as JSON. The platform's service holds values below a
/// megabyte, and a change shares its value with a few bytes of wrapping.
pub const MAX_CHANGE_BYTES: usize = 900_000;

/// Who asks for a change, and how the change can be found again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Author {
    /// The identifier of the command: the same command run again has the same one.
    pub command: Arc<str>,
    /// Who holds the key.
    pub who: Arc<str>,
    /// The identifier of the key.
    pub key: Arc<str>,
    /// Wall-clock time, in milliseconds since 1970.
    pub at_ms: u64,
}

/// One accepted change. Its fields have short names as JSON, since it goes to every daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The revision that the change made.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The hash of the change before, or [`Digest::NONE`] for the first.
    #[serde(rename = "q")]
    pub previous: Digest,
    /// The identifier of the command.
    #[serde(rename = "c")]
    pub command: Arc<str>,
    /// Who held the key.
    #[serde(rename = "w")]
    pub who: Arc<str>,
    /// The identifier of the key.
    #[serde(rename = "k")]
    pub key: Arc<str>,
    /// Wall-clock time, in milliseconds since 1970.
    #[serde(rename = "t")]
    pub at_ms: u64,
    /// What was changed, in the order of the paths.
    #[serde(rename = "e")]
    pub edits: Vec<Edit>,
    /// The hash of the whole tree after the change.
    #[serde(rename = "d")]
    pub tree: Digest,
    /// The hash of all of the above.
    #[serde(rename = "h")]
    pub hash: Digest,
}

/// A point in the chain of changes: a revision and the hash of the change that made it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainPoint {
    /// The revision.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The hash of the change that made it.
    #[serde(rename = "h")]
    pub hash: Digest,
}

impl Change {
    /// Makes the change that leads from one tree to another.
    ///
    /// # Errors
    ///
    /// Gives [`SettingsError::Unchanged`] where the trees are the same and
    /// [`SettingsError::TooLarge`] where the change doesn't fit a value of the platform's
    /// service.
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

    /// Computes the hash of everything but the hash itself.
    ///
    /// The values of an edit enter by their own hash, so that the hash of an old entry holds
    /// after the audit trail has dropped its values.
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

    /// Gives the point in the chain that this change leads to.
    pub fn point(&self) -> ChainPoint {
        ChainPoint {
            revision: self.revision,
            hash: self.hash,
        }
    }

    /// Checks that this change is unaltered and follows the given point.
    ///
    /// # Errors
    ///
    /// Gives [`SettingsError::Chain`] with the revision at fault.
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

    /// Applies the change to the tree that it was made from.
    ///
    /// # Errors
    ///
    /// Gives [`SettingsError::Conflict`] where the tree isn't the one that the change was made
    /// from, [`SettingsError::Chain`] where the outcome isn't the one that the change names,
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

    /// Gives the tree in which this change is taken back and everything else kept.
    ///
    /// # Errors
    ///
    /// Gives [`SettingsError::Conflict`] where a later change has changed the same node, and
    /// the errors of [`Tree::from_document`].
    pub fn reverted(&self, tree: &Tree) -> Result<Tree, SettingsError> {
        let edits = self.edits.iter().rev();
        let edits: Vec<Edit> = edits.map(Edit::inverse).collect();
        tree.edited(&edits)
    }
}

/// Checks a run of changes, each against the one before.
///
/// # Errors
///
/// Gives [`SettingsError::Chain`] for the first change at fault.
pub fn verify_chain(from: ChainPoint, changes: &[Change]) -> Result<ChainPoint, SettingsError> {
    let mut at = from;
    for change in changes {
        change.verify(at)?;
        at = change.point();
    }
    Ok(at)
}

/// Gives the document as it was before a run of changes that leads to the given one.
///
/// # Errors
///
/// Gives [`SettingsError::Conflict`] where the changes don't lead to the document, or have
/// lost their values.
pub fn rewind(document: &Json, changes: &[Change]) -> Result<Json, SettingsError> {
    let mut document = document.clone();
    for change in changes.iter().rev() {
        for edit in change.edits.iter().rev() {
            edit::apply(&mut document, &edit.inverse())?;
        }
    }
    Ok(document)
}
