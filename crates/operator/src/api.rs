//! The messages of the operators' interface.

use std::net::SocketAddr;

use heatherknot_settings::access::OperatorSummary;
use heatherknot_settings::audit::AuditEntry;
use heatherknot_settings::effective::EffectiveValue;
use heatherknot_settings::{Digest, Edit};
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value as Json;

/// The beginning of the path of every call.
pub const PATH_PREFIX: &str = "/v1/";

/// Asks for the node at a path.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PathRequest {
    /// The path; empty for the root.
    pub path: String,
}

/// The node at a path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GetResponse {
    /// The revision that the answering daemon has in force.
    pub revision: Revision,
    /// The node.
    pub value: Json,
}

/// The settings in force at a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EffectiveResponse {
    /// The revision that the answering daemon has in force.
    pub revision: Revision,
    /// Each value with its origin.
    pub values: Vec<EffectiveValue>,
}

/// Asks for a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// The identifier of the command, 1 to 64 letters, digits, `-` or `_`. The same request
    /// with the same identifier takes effect at most once.
    pub command: String,
    /// The revision that the operator had before them. A change made since of the same nodes
    /// is a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Revision>,
    /// Whether to check the change only.
    #[serde(default)]
    pub dry_run: bool,
    /// What to do.
    pub action: Action,
}

/// What a change does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Action {
    /// Puts a value, or a whole branch, at a path.
    Set {
        /// The path.
        path: String,
        /// The value or the object.
        value: Json,
    },
    /// Removes the node at a path.
    Unset {
        /// The path.
        path: String,
    },
    /// Takes one earlier change back and keeps those after it.
    Undo {
        /// The revision that the earlier change made.
        revision: Revision,
    },
    /// Starts or ends a drain.
    Drain {
        /// What is drained.
        target: DrainTarget,
        /// Whether to start it or to end it.
        draining: bool,
    },
}

/// What can be drained.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum DrainTarget {
    /// An entry VM.
    Vm {
        /// Its failure domain.
        domain: String,
        /// Its name.
        name: String,
    },
    /// A backend server, in every service of the key's branch that uses it.
    BackendServer {
        /// Its address.
        address: SocketAddr,
    },
    /// A place.
    Place {
        /// Its name.
        name: String,
    },
    /// A region.
    Region {
        /// Its name.
        name: String,
    },
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeOutcome {
    /// It is accepted and will be in force everywhere.
    Accepted,
    /// It was not accepted and won't be.
    NotAccepted,
    /// It may or may not have been accepted. The same command run again finds out.
    Unknown,
    /// It was only checked, and would be accepted.
    Checked,
    /// The settings already are as asked.
    Unchanged,
}

/// The answer to a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeResponse {
    /// What became of it.
    pub outcome: ChangeOutcome,
    /// The revision that it made; where nothing was to be changed, the newest one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// The edits that the change consists of.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub edits: Vec<Edit>,
    /// Why it wasn't accepted, or why that isn't known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// The changes by others that it conflicts with.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub conflicts: Vec<AuditEntry>,
}

/// Asks for the difference between two revisions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiffRequest {
    /// The earlier revision.
    pub from: Revision,
    /// The later revision; the one in force where left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to: Option<Revision>,
    /// The node to compare; empty for the root.
    #[serde(default)]
    pub path: String,
}

/// The difference between two revisions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DiffResponse {
    /// The earlier revision.
    pub from: Revision,
    /// The later revision.
    pub to: Revision,
    /// The edits that lead from one to the other, with paths from the root.
    pub edits: Vec<Edit>,
}

/// Asks for changes of the key's branch, the oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HistoryRequest {
    /// Only changes after this revision.
    #[serde(default)]
    pub after: Revision,
    /// The most changes to look at; fewer may concern the branch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<usize>,
}

/// One change as `history` shows it: without who made it and without values.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The revision that the change made.
    pub revision: Revision,
    /// Wall-clock time, in milliseconds since 1970.
    pub at_ms: u64,
    /// The paths changed.
    pub paths: Vec<String>,
}

/// Changes of the key's branch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryResponse {
    /// The changes, the oldest first.
    pub changes: Vec<HistoryEntry>,
    /// The last revision looked at; asking again after it gives what follows.
    pub seen: Revision,
    /// Whether there are changes after it.
    pub more: bool,
}

/// Entries of the audit trail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditResponse {
    /// The entries that concern the branch, the oldest first.
    pub entries: Vec<AuditEntry>,
    /// The last revision looked at; asking again after it gives what follows.
    pub seen: Revision,
    /// The hash of the change that made that revision.
    pub seen_hash: Digest,
    /// Whether there are entries after it.
    pub more: bool,
    /// Where the chain of hashes is broken among the entries looked at.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub broken: Option<String>,
}

/// What is known of the settings in force on one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// The daemon's VM.
    pub vm: VmName,
    /// The VM's failure domain.
    pub domain: DomainName,
    /// What membership says of it: `alive`, `suspect`, `leaving` or `gone`.
    pub state: String,
    /// The revision in force.
    pub revision: Revision,
    /// How long it has been in force, in milliseconds, when the daemon said so.
    pub in_force_ms: u64,
    /// How old that word is, in milliseconds.
    pub age_ms: u64,
    /// A newer revision that the daemon can't read, and why.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unreadable: Option<String>,
}

impl DaemonStatus {
    /// Tells whether the daemon counts for whether a revision is in force everywhere.
    pub fn counts(&self) -> bool {
        self.state != "gone"
    }
}

/// How many daemons have one revision in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionCount {
    /// The revision.
    pub revision: Revision,
    /// The daemons, without those that are gone.
    pub daemons: usize,
}

/// Which revision is in force where.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// The revision that the answering daemon has in force.
    pub revision: Revision,
    /// How many daemons have which revision, the newest first.
    pub counts: Vec<RevisionCount>,
    /// Each daemon; only for keys of the root.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub daemons: Vec<DaemonStatus>,
}

/// Waits until a revision is in force on every daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WaitRequest {
    /// The revision.
    pub revision: Revision,
    /// How long to wait, in milliseconds; at most [`MAX_WAIT_MS`] at once.
    pub timeout_ms: u64,
}

/// The longest wait of one call.
pub const MAX_WAIT_MS: u64 = 20_000;

/// What a wait came to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WaitResponse {
    /// Whether the revision, or a newer one, is in force on every daemon that isn't gone.
    pub in_force: bool,
    /// How many daemons have which revision, the newest first.
    pub counts: Vec<RevisionCount>,
}

/// Asks why a caller of a service goes where it goes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExplainRequest {
    /// The service, as `account-path:service`.
    pub service: String,
    /// The caller's address or block.
    pub client: String,
}

/// One fact that a decision rests on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainStep {
    /// What the fact is about, such as `place north-1`.
    pub subject: String,
    /// The fact, in words.
    pub fact: String,
    /// The limit that it is held against.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<String>,
    /// How old the report is that the fact comes from, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
}

/// Why a caller of a service goes where it goes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainResponse {
    /// The revision that the answering daemon has in force.
    pub revision: Revision,
    /// The places that the caller is sent to, the first choice first.
    pub places: Vec<PlaceName>,
    /// The facts, in the order in which they decided.
    pub steps: Vec<ExplainStep>,
}

/// Who the operator is.
pub type WhoAmIResponse = OperatorSummary;

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// What went wrong, for people.
    pub error: String,
}
