//! A daemon's copy of the settings, which only moves to newer revisions and keeps the last valid
//! one.

use std::rc::Rc;

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value as Json;
use serde_json::value::RawValue;
use snafu::{IntoError, ResultExt, Snafu, ensure};

use crate::change::{ChainPoint, Change, verify_chain};
use crate::digest::Digest;
use crate::edit::Edit;
use crate::error::SettingsError;
use crate::tree::Tree;

/// A complete settings document at one revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "SnapshotText", into = "SnapshotText")]
pub struct Snapshot {
    /// The revision and the hash of the change that created it.
    pub at: ChainPoint,
    /// The hash of the document.
    pub digest: Digest,
    /// The canonical text of the document.
    pub document: Box<RawValue>,
}

/// The serialized form of a snapshot. The document is kept as text because parsed JSON would take
/// many times the memory.
#[derive(Serialize, Deserialize)]
struct SnapshotText {
    #[serde(rename = "r")]
    revision: Revision,
    #[serde(rename = "h")]
    hash: Digest,
    #[serde(rename = "d")]
    digest: Digest,
    #[serde(rename = "s")]
    document: Box<RawValue>,
}

impl From<SnapshotText> for Snapshot {
    fn from(text: SnapshotText) -> Self {
        Snapshot {
            at: ChainPoint {
                revision: text.revision,
                hash: text.hash,
            },
            digest: text.digest,
            document: text.document,
        }
    }
}

impl From<Snapshot> for SnapshotText {
    fn from(snapshot: Snapshot) -> Self {
        SnapshotText {
            revision: snapshot.at.revision,
            hash: snapshot.at.hash,
            digest: snapshot.digest,
            document: snapshot.document,
        }
    }
}

impl Snapshot {
    /// Creates a snapshot of a document without validating it.
    pub fn new(at: ChainPoint, document: &Json) -> Snapshot {
        Snapshot::of_text(at, document.to_string())
    }

    fn of_text(at: ChainPoint, text: String) -> Snapshot {
        Snapshot {
            at,
            digest: Digest::of_bytes(text.as_bytes()),
            document: RawValue::from_string(text).unwrap_or_default(),
        }
    }
}

/// A revision that this daemon has received and can't read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable {
    /// The revision.
    pub revision: Revision,
    /// Why it can't be read.
    pub reason: String,
}

/// The reason that a replica rejected changes or a snapshot. The replica stays at its current
/// revision, or at the last valid revision before an unreadable change.
#[derive(Debug, Snafu)]
pub enum AcceptError {
    /// Changes between the current revision and the first one received are missing. The sender must
    /// send them or a snapshot.
    #[snafu(display(
        "accept settings: changes between the current {held} and the received {given} are missing"
    ))]
    Gap {
        /// The current revision.
        held: Revision,
        /// The first newer revision received.
        given: Revision,
    },
    /// A different change with the revision number of the current one.
    #[snafu(display("accept settings: received a {revision} that differs from the current one"))]
    Fork {
        /// The revision.
        revision: Revision,
    },
    /// The document doesn't match the hash that was sent with it.
    #[snafu(display("accept settings: the document of {revision} doesn't match its hash"))]
    Damaged {
        /// The revision.
        revision: Revision,
    },
    /// The changes are inconsistent or can't be applied to the current tree.
    #[snafu(display("accept settings: {source}"))]
    Broken {
        /// The inconsistency found.
        source: SettingsError,
    },
    /// The revision has an unsupported schema version or fails validation.
    #[snafu(display("accept settings: can't read {revision}, keeping {held}: {source}"))]
    CannotRead {
        /// The revision that stays in force.
        held: Revision,
        /// The revision received.
        revision: Revision,
        /// Why it can't be read.
        source: SettingsError,
    },
}

/// The settings in force in one daemon.
///
/// A restarted peer, a failure domain that was partitioned and a stale read of the store can all
/// deliver older settings, in any order and at any time. The replica accepts only revisions newer
/// than its own, so that none of them can put older settings back in force.
#[derive(Clone, Debug)]
pub struct SettingsReplica {
    at: ChainPoint,
    tree: Rc<Tree>,
    unreadable: Option<Unreadable>,
}

impl Default for SettingsReplica {
    fn default() -> Self {
        SettingsReplica::new()
    }
}

impl SettingsReplica {
    /// Creates a replica with an empty tree and no revision.
    pub fn new() -> SettingsReplica {
        SettingsReplica {
            at: ChainPoint::default(),
            tree: Rc::new(Tree::empty()),
            unreadable: None,
        }
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.at.revision
    }

    /// Returns the revision in force and the hash of the change that created it.
    pub fn at(&self) -> ChainPoint {
        self.at
    }

    /// Returns the tree in force.
    pub fn tree(&self) -> &Rc<Tree> {
        &self.tree
    }

    /// Returns the newest received revision that can't be read, as long as it is newer than the
    /// revision in force.
    pub fn unreadable(&self) -> Option<&Unreadable> {
        self.unreadable.as_ref()
    }

    /// Returns the complete settings, for a replica too far behind to be updated by changes.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot::of_text(self.at, self.tree.text())
    }

    /// Applies changes, which must be ordered by revision, and skips those already applied. Returns
    /// whether the revision in force has changed.
    ///
    /// # Errors
    ///
    /// Returns the [`AcceptError`] for the rejected changes. Valid revisions before an unreadable
    /// one are in force afterwards.
    pub fn accept_changes(&mut self, changes: &[Change]) -> Result<bool, AcceptError> {
        let same = |change: &&Change| change.revision == self.at.revision;
        if let Some(change) = changes.iter().find(same) {
            self.check_fork(change.point())?;
        }
        let newer = changes
            .iter()
            .position(|change| change.revision > self.at.revision);
        let Some(first) = newer else {
            return Ok(false);
        };
        let newer = &changes[first..];
        let (held, given) = (self.at.revision, newer[0].revision);
        ensure!(given == held.next(), GapSnafu { held, given });
        let last = verify_chain(self.at, newer).context(BrokenSnafu)?;
        let edits: Vec<Edit> = newer.iter().flat_map(|c| c.edits.iter().cloned()).collect();
        let tree = match self.tree.edited(&edits) {
            Ok(tree) => tree,
            Err(source) if is_unreadable(&source) => return self.accept_one_by_one(newer),
            Err(source) => return Err(BrokenSnafu.into_error(source)),
        };
        let digest = newer.last().map(|change| change.tree);
        let revision = last.revision;
        ensure!(digest == Some(tree.digest()), DamagedSnafu { revision });
        self.install(last, tree);
        Ok(true)
    }

    /// Installs a snapshot if it is newer than the revision in force. Returns whether it was.
    ///
    /// # Errors
    ///
    /// Returns [`AcceptError::Fork`], [`AcceptError::Damaged`] or [`AcceptError::CannotRead`].
    pub fn accept_snapshot(&mut self, snapshot: Snapshot) -> Result<bool, AcceptError> {
        let revision = snapshot.at.revision;
        if revision <= self.at.revision {
            if revision == self.at.revision {
                self.check_fork(snapshot.at)?;
            }
            return Ok(false);
        }
        let text = snapshot.document.get();
        let digest_matches = Digest::of_bytes(text.as_bytes()) == snapshot.digest;
        ensure!(digest_matches, DamagedSnafu { revision });
        let tree = Tree::parse(text);
        let tree = tree.map_err(|source| self.record_unreadable(revision, source))?;
        self.install(snapshot.at, tree);
        Ok(true)
    }

    // Used only if a change in the sequence is unreadable, to bring the valid revisions before it
    // in force.
    fn accept_one_by_one(&mut self, changes: &[Change]) -> Result<bool, AcceptError> {
        for change in changes {
            let tree = change.apply(&self.tree);
            let tree = tree.map_err(|source| self.record_unreadable(change.revision, source))?;
            self.install(change.point(), tree);
        }
        Ok(true)
    }

    fn check_fork(&self, given: ChainPoint) -> Result<(), AcceptError> {
        ensure!(
            given.hash == self.at.hash,
            ForkSnafu {
                revision: given.revision
            }
        );
        Ok(())
    }

    fn install(&mut self, at: ChainPoint, tree: Tree) {
        self.at = at;
        self.tree = Rc::new(tree);
        self.unreadable
            .take_if(|unreadable| unreadable.revision <= at.revision);
    }

    fn record_unreadable(&mut self, revision: Revision, source: SettingsError) -> AcceptError {
        let known = self.unreadable.as_ref();
        if known.is_none_or(|known| known.revision < revision) {
            self.unreadable = Some(Unreadable {
                revision,
                reason: source.to_string(),
            });
        }
        CannotReadSnafu {
            held: self.at.revision,
            revision,
        }
        .into_error(source)
    }
}

fn is_unreadable(error: &SettingsError) -> bool {
    matches!(
        error,
        SettingsError::Schema { .. } | SettingsError::Invalid { .. }
    )
}
