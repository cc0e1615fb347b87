//! The keys of the settings in the store.

use std::fmt;
use std::sync::Arc;

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The key of the head, which names the newest accepted revision.
pub const HEAD: &str = "hk/settings/head";
/// The prefix of accepted changes, followed by the revision.
pub const CHANGES: &str = "hk/settings/change/";
/// The prefix of packs of old changes, followed by the last revision in the pack.
pub const PACKS: &str = "hk/settings/pack/";
/// The prefix of snapshots, followed by the revision and the number of the part.
pub const SNAPSHOTS: &str = "hk/settings/snapshot/";
/// The prefix of command records, followed by the command identifier.
pub const COMMANDS: &str = "hk/settings/command/";

/// The maximum length of a command identifier, in characters.
pub const MAX_COMMAND_ID: usize = 64;

/// The identifier of an operator's command. It stays the same when the command is retried.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CommandId(Arc<str>);

impl CommandId {
    /// Parses an identifier of 1 to 64 ASCII letters, digits, `-` or `_`. Returns `None` for other
    /// text.
    pub fn parse(text: &str) -> Option<Self> {
        let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        let fits = (1..=MAX_COMMAND_ID).contains(&text.len()) && text.chars().all(allowed);
        fits.then(|| Self(text.into()))
    }

    /// Returns the identifier as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for CommandId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Returns the key of an accepted change.
pub fn change(revision: Revision) -> String {
    format!("{CHANGES}{:016x}", revision.0)
}

/// Returns the key of the pack whose last change is `last`.
pub fn pack(last: Revision) -> String {
    format!("{PACKS}{:016x}", last.0)
}

/// Returns the key of one part of a snapshot.
pub fn snapshot_part(revision: Revision, part: u32) -> String {
    format!("{SNAPSHOTS}{:016x}/{part:04x}", revision.0)
}

/// Returns the key of a command record.
pub fn command(id: &CommandId) -> String {
    format!("{COMMANDS}{id}")
}

/// Parses the revision from the key of a change or a pack. Returns `None` if the key is malformed.
pub fn parse_revision(key: &str, prefix: &str) -> Option<Revision> {
    let digits = key.strip_prefix(prefix)?;
    u64::from_str_radix(digits, 16).ok().map(Revision)
}
