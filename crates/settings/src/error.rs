//! Errors of the settings tree.

use std::fmt;

use heatherknot_types::prelude::*;
use snafu::Snafu;

/// One validation error in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The path of the object that holds the key; empty for the root.
    pub path: String,
    /// The invalid key.
    pub key: String,
    /// What the document contains there.
    pub found: String,
    /// What the schema or another setting requires.
    pub expected: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = if self.path.is_empty() {
            "the root"
        } else {
            &self.path
        };
        let Fault {
            key,
            found,
            expected,
            ..
        } = self;
        write!(
            f,
            "at {at}, key `{key}`: found {found}, expected {expected}"
        )
    }
}

/// The validation errors of one document, in the order in which they were found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, fault) in self.0.iter().enumerate() {
            let separator = if at == 0 { "" } else { "; " };
            write!(f, "{separator}{fault}")?;
        }
        Ok(())
    }
}

/// The reason that settings or an edit were rejected. In every case the settings are unchanged.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The text is not valid JSON.
    #[snafu(display("parse settings: not JSON: {source}"))]
    Json {
        /// The JSON parser's error, with line and column.
        source: serde_json::Error,
    },
    /// The schema version of the document is not supported.
    #[snafu(display("parse settings: at the root, key `schema`: found {found}, expected 1"))]
    Schema {
        /// The schema version in the document.
        found: u64,
    },
    /// The document fails validation.
    #[snafu(display("check settings: {faults}"))]
    Invalid {
        /// The validation errors.
        faults: Faults,
    },
    /// A path is malformed.
    #[snafu(display("path `{path}`: segment `{segment}`: expected {expected}"))]
    Path {
        /// The path as given.
        path: String,
        /// The first invalid segment.
        segment: String,
        /// The expected form of the segment.
        expected: String,
    },
    /// An edit addresses a node that doesn't exist.
    #[snafu(display("edit settings: nothing at `{path}`"))]
    Missing {
        /// The path as given.
        path: String,
    },
    /// The node doesn't have the value that the edit expects.
    #[snafu(display("edit settings: `{path}` has changed since"))]
    Conflict {
        /// The path of the node.
        path: String,
    },
    /// The audit trail has dropped the values of an old edit.
    #[snafu(display("edit settings: the values of `{path}` are no longer kept"))]
    Dropped {
        /// The path of the node.
        path: String,
    },
    /// An edit changes nothing.
    #[snafu(display("edit settings: the edit changes nothing"))]
    Unchanged,
    /// A change is larger than a value in the platform's store may be.
    #[snafu(display("edit settings: the change has {bytes} bytes, expected at most {limit}"))]
    TooLarge {
        /// The size as JSON, in bytes.
        bytes: usize,
        /// The maximum size, in bytes.
        limit: usize,
    },
    /// The hash chain of changes is broken.
    #[snafu(display("verify changes: {revision}: {problem}"))]
    Chain {
        /// The revision of the inconsistent change.
        revision: Revision,
        /// The inconsistency found.
        problem: &'static str,
    },
}
