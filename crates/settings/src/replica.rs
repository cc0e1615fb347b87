//! The revision gate of one daemon: it only moves forward and keeps the last good settings.

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

/// A whole tree at one revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "SnapshotText", into = "SnapshotText")]
pub struct Snapshot {
    /// The revision and the hash of the change that made it.
    pub at: ChainPoint,
    /// The hash of the document.
    pub digest: Digest,
    /// The canonical text of the document.
    pub document: Box<RawValue>,
}

/// A snapshot as it is written. The document is passed on as text, since parsed it would take
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
    /// Makes the snapshot of a document, which nobody has checked.
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

/// A revision that this daemon was given and can't read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable {
    /// The revision.
    pub revision: Revision,
    /// Why it can't be read.
    pub reason: String,
}

/// Why a holder refused what it was given. It keeps what it holds in each of the cases.
#[derive(Debug, Snafu)]
pub enum AcceptError {
    /// Changes between the held revision and the first one given are missing: the giver must
    /// send them, or a whole snapshot.
    #[snafu(display("hold settings: holds {held}, was given {given} without those between"))]
    Gap {
        /// The revision held.
        held: Revision,
        /// The first newer revision given.
        given: Revision,
    },
    /// Another change of the same number as the one held.
    #[snafu(display("hold settings: was given another {revision} than the one held"))]
    Fork {
        /// The revision.
        revision: Revision,
    },
    /// The document given doesn't have the hash given with it.
    #[snafu(display("hold settings: the snapshot of {revision} doesn't fit its hash"))]
    Damaged {
        /// The revision.
        revision: Revision,
    },
    /// The changes don't fit together or don't fit the held tree.
    #[snafu(display("hold settings: {source}"))]
    Broken {
        /// What doesn't fit.
        source: SettingsError,
    },
    /// The revision is of a newer schema, or breaks a rule that this program knows.
    #[snafu(display("hold settings: can't read {revision}, keeps {held}: {source}"))]
    CannotRead {
        /// The revision held on to.
        held: Revision,
        /// The revision given.
        revision: Revision,
        /// Why it can't be read.
        source: SettingsError,
    },
}

/// The settings in force in one daemon.
///
/// A restarted peer, a domain that was cut off and a stale read of the store all bring older
/// settings, in any order and at any time. The holder takes only a higher revision than the
/// one that it holds, so that none of them can put older settings back in force.
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
    /// Makes a holder of the empty tree at no revision.
    pub fn new() -> SettingsReplica {
        SettingsReplica {
            at: ChainPoint::default(),
            tree: Rc::new(Tree::empty()),
            unreadable: None,
        }
    }

    /// Gives the revision in force.
    pub fn revision(&self) -> Revision {
        self.at.revision
    }

    /// Gives the revision in force and the hash of the change that made it.
    pub fn at(&self) -> ChainPoint {
        self.at
    }

    /// Gives the tree in force.
    pub fn tree(&self) -> &Rc<Tree> {
        &self.tree
    }

    /// Gives the newest revision that the holder was given and can't read, while it is newer
    /// than the one in force.
    pub fn unreadable(&self) -> Option<&Unreadable> {
        self.unreadable.as_ref()
    }

    /// Gives the whole tree for a holder that is too far behind for changes.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot::of_text(self.at, self.tree.text())
    }

    /// Takes changes in order of revision; those that it holds already are passed over. Gives
    /// whether the revision in force is a new one.
    ///
    /// # Errors
    ///
    /// Gives the [`AcceptError`] for what it refused. Good revisions before an unreadable one
    /// are in force afterwards.
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

    /// Takes a whole tree where it is newer than the one in force. Gives whether it was.
    ///
    /// # Errors
    ///
    /// Gives [`AcceptError::Fork`], [`AcceptError::Damaged`] or [`AcceptError::CannotRead`].
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

    // Only a run with an unreadable end comes here, to bring the good revisions before that
    // end in force.
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
