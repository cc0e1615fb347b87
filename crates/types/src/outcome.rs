//! What a caller is told of its request, and how urgent the request is.

use serde::{Deserialize, Serialize};

/// The response header that names the [`Outcome`].
pub const OUTCOME_HEADER: &str = "heatherknot-outcome";
/// The request header that names the service, as `account-path:service`.
pub const SERVICE_HEADER: &str = "heatherknot-service";
/// The request header that names the [`Class`].
pub const CLASS_HEADER: &str = "heatherknot-class";
/// The request header that holds the time left for the request, in milliseconds.
pub const DEADLINE_HEADER: &str = "heatherknot-deadline-ms";
/// The request header that holds a caller's idempotency key or a ticket from a look-up.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// What became of a request. Each response carries exactly one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A backend server answered and the answer follows.
    Answered,
    /// No backend server ran the request; it may be sent again.
    NotRun,
    /// A backend server may or may not have run the request.
    Unknown,
}

impl Outcome {
    /// Gives the value of the [`OUTCOME_HEADER`].
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// How urgent a request is.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Somebody waits for the answer.
    #[default]
    Interactive,
    /// The answer may come later: exports and downloads.
    Bulk,
}

impl Class {
    /// Every class, the most urgent first.
    pub const ALL: [Class; 2] = [Class::Interactive, Class::Bulk];

    /// Gives the value of the [`CLASS_HEADER`].
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Interactive => "interactive",
            Class::Bulk => "bulk",
        }
    }
}
