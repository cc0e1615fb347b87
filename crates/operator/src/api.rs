//! The request and response types of the operator API.

use std::net::SocketAddr;

use heatherknot_settings::access::OperatorSummary;
use heatherknot_settings::audit::AuditEntry;
use heatherknot_settings::effective::EffectiveValue;
use heatherknot_settings::{Digest, Edit};
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value as Json;

/// The path prefix of every call.
pub const PATH_PREFIX: &str = "/v1/";

/// A request for the node at a path, or for the settings in force there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PathRequest {
    /// The path; empty for the root.
    pub path: String,
}

/// The response to a `get` call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GetResponse {
    /// The revision that the answering daemon has in force.
    pub revision: Revision,
    /// The value of the node.
    pub value: Json,
}

/// The response to an `effective` call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EffectiveResponse {
    /// The revision that the answering daemon has in force.
    pub revision: Revision,
    /// Each value with its origin.
    pub values: Vec<EffectiveValue>,
}

/// A request to change the settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// The identifier of the command, 1 to 64 letters, digits, `-` or `_`. The same request
    /// with the same identifier takes effect at most once.
    pub command: String,
    /// The revision that the change is based on. A later change of the same nodes is a conflict.
    /// If absent, the revision that the daemon has in force when the request arrives.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Revision>,
    /// Whether to validate the change without committing it.
    #[serde(default)]
    pub dry_run: bool,
    /// The change to make.
    pub action: Action,
}

/// The kind of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Action {
    /// Sets the value or subtree at a path.
    Set {
        /// The path.
        path: String,
        /// The new value or object.
        value: Json,
    },
    /// Removes the node at a path.
    Unset {
        /// The path.
        path: String,
    },
    /// Reverts one earlier change and keeps the changes after it.
    Undo {
        /// The revision that the earlier change created.
        revision: Revision,
    },
    /// Starts or ends a drain.
    Drain {
        /// The target of the drain.
        target: DrainTarget,
        /// `true` to start the drain, `false` to end it.
        draining: bool,
    },
}

/// The target of a drain.
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

/// The outcome of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeOutcome {
    /// The change is accepted and will be in force everywhere.
    Accepted,
    /// The change was not accepted and can't take effect later.
    NotAccepted,
    /// The change may or may not have been accepted. Running the same command again tells which.
    Unknown,
    /// A dry run found the change valid.
    Checked,
    /// The settings already are as requested.
    Unchanged,
}

/// The response to a `change` call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeResponse {
    /// The outcome of the change.
    pub outcome: ChangeOutcome,
    /// The revision that the change created, or the newest one if nothing had to change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// The edits of the change.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub edits: Vec<Edit>,
    /// Why the change was not accepted, or why its outcome is unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// The changes since `base` that this one conflicts with.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub conflicts: Vec<AuditEntry>,
}

/// A request for the difference between two revisions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiffRequest {
    /// The revision to compare from; may be the later one.
    pub from: Revision,
    /// The revision to compare to; the one in force if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to: Option<Revision>,
    /// The node to compare; empty for the root.
    #[serde(default)]
    pub path: String,
}

/// The response to a `diff` call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DiffResponse {
    /// The revision compared from.
    pub from: Revision,
    /// The revision compared to.
    pub to: Revision,
    /// The edits that turn `from` into `to`, with paths from the root.
    pub edits: Vec<Edit>,
}

/// A request for the changes of the key's branch, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HistoryRequest {
    /// The revision after which to start.
    #[serde(default)]
    pub after: Revision,
    /// The maximum number of changes to scan; those outside the branch count but are not returned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<usize>,
}

/// A change as `history` returns it, without its author and values.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The revision that the change created.
    pub revision: Revision,
    /// The wall-clock time of the change, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The changed paths.
    pub paths: Vec<String>,
}

/// The response to a `history` call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryResponse {
    /// The changes, oldest first.
    pub changes: Vec<HistoryEntry>,
    /// The last revision scanned; the `after` of the next request.
    pub seen: Revision,
    /// Whether there are changes after `seen`.
    pub more: bool,
}

/// The response to an `audit` call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditResponse {
    /// The entries that concern the key's branch, oldest first.
    pub entries: Vec<AuditEntry>,
    /// The last revision scanned; the `after` of the next request.
    pub seen: Revision,
    /// The hash of the change that created `seen`.
    pub seen_hash: Digest,
    /// Whether there are entries after `seen`.
    pub more: bool,
    /// The first error in the hash chain of the changes scanned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub broken: Option<String>,
}

/// The last known status of the settings on one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// The daemon's VM.
    pub vm: VmName,
    /// The VM's failure domain.
    pub domain: DomainName,
    /// The membership state: `alive`, `suspect`, `leaving` or `gone`.
    pub state: String,
    /// The revision in force.
    pub revision: Revision,
    /// How long the revision had been in force at the time of the report, in milliseconds.
    pub in_force_ms: u64,
    /// The age of the daemon's report, in milliseconds.
    pub age_ms: u64,
    /// A newer revision that the daemon can't read, and the reason.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unreadable: Option<String>,
}

impl DaemonStatus {
    /// Returns whether the daemon has to apply a revision before it is in force everywhere.
    pub fn is_present(&self) -> bool {
        self.state != "gone"
    }
}

/// The number of daemons that have a revision in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionCount {
    /// The revision.
    pub revision: Revision,
    /// The number of daemons, without those that are gone.
    pub daemons: usize,
}

/// The response to a `status` call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// The revision that the answering daemon has in force.
    pub revision: Revision,
    /// The number of daemons on each revision, newest first.
    pub counts: Vec<RevisionCount>,
    /// The status of each daemon; empty unless the key is bound to the root.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub daemons: Vec<DaemonStatus>,
}

/// A request to wait until a revision is in force on every daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WaitRequest {
    /// The revision.
    pub revision: Revision,
    /// The maximum time to wait, in milliseconds; at most [`MAX_WAIT_MS`].
    pub timeout_ms: u64,
}

/// The longest wait of one call, in milliseconds.
pub const MAX_WAIT_MS: u64 = 20_000;

/// The response to a `wait` call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WaitResponse {
    /// Whether the revision or a newer one is in force on every daemon that isn't gone.
    pub in_force: bool,
    /// The number of daemons on each revision, newest first.
    pub counts: Vec<RevisionCount>,
}

/// A request to explain how a caller of a service is routed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExplainRequest {
    /// The service, as `account-path:service`.
    pub service: String,
    /// The caller's address or address block.
    pub client: String,
}

/// A fact behind a routing decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainStep {
    /// The subject of the fact, such as `place north-1`.
    pub subject: String,
    /// The fact as text.
    pub fact: String,
    /// The limit that the fact is compared with.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<String>,
    /// The age of the report that the fact comes from, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
}

/// The response to an `explain` call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainResponse {
    /// The revision that the answering daemon has in force.
    pub revision: Revision,
    /// The places that the caller is sent to, in order of preference.
    pub places: Vec<PlaceName>,
    /// The facts, in the order in which they were applied.
    pub steps: Vec<ExplainStep>,
}

/// The response to a `whoami` call.
pub type WhoAmIResponse = OperatorSummary;

/// The response to a call that failed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// The error message.
    pub error: String,
}
