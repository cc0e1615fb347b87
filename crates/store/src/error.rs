//! Errors of calls to the platform. They tell whether a failed write may have been applied.

use std::fmt;
use std::net::SocketAddr;

use heatherknot_types::prelude::*;
use snafu::Snafu;

use crate::port::StoreEra;

/// Whether a failed call may have taken effect on the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The call was not applied and cannot be applied later.
    NotApplied,
    /// The call may have been applied or may be applied later.
    MayBeApplied,
}

/// The operation that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Checking the daemon's own call budget.
    Budget,
    /// Opening a connection.
    Connect,
    /// Reading keys.
    Range,
    /// Running a transaction.
    Txn,
    /// Granting a lease.
    LeaseGrant,
    /// Extending a lease.
    LeaseKeepalive,
    /// Revoking a lease.
    LeaseRevoke,
    /// Starting or reading a watch.
    Watch,
    /// Reading the VM list.
    VmList,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Step::Budget => "call budget",
            Step::Connect => "connect",
            Step::Range => "range",
            Step::Txn => "txn",
            Step::LeaseGrant => "lease grant",
            Step::LeaseKeepalive => "lease keepalive",
            Step::LeaseRevoke => "lease revoke",
            Step::Watch => "watch",
            Step::VmList => "VM list",
        };
        f.write_str(name)
    }
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Cause {
    /// The connection failed or was closed.
    #[snafu(display("connection failed: {message}"))]
    Connection {
        /// The error of the operating system or the HTTP library.
        message: String,
    },
    /// No response arrived within the time limit.
    #[snafu(display("no response within {millis} ms"))]
    Timeout {
        /// The time limit, in milliseconds.
        millis: u64,
    },
    /// The platform rejected the call because of its rate limit.
    #[snafu(display("the platform's rate limit was exceeded"))]
    RateLimited,
    /// The daemon's own call budget is exhausted.
    #[snafu(display("the daemon's call budget is exhausted; retry after {retry_after}"))]
    BudgetExhausted {
        /// The time until a call is allowed again.
        retry_after: Millis,
    },
    /// The platform rejected the call.
    #[snafu(display("rejected with HTTP status {status}: {message}"))]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The message in the response.
        message: String,
    },
    /// The requested revision has been compacted.
    #[snafu(display("the requested revision was compacted; the oldest available is {oldest}"))]
    Compacted {
        /// The oldest revision that is available, or zero if the platform did not report it.
        oldest: u64,
    },
    /// The store answered in another era than expected. It has lost its latest changes, or the answer
    /// is from before it did.
    #[snafu(display("the store answered in era {found}; era {expected} was expected"))]
    EraChanged {
        /// The era of the local copy, of a precondition or of the newest answer.
        expected: StoreEra,
        /// The era of the answer.
        found: StoreEra,
    },
    /// The lease has expired or never existed.
    #[snafu(display("lease not found"))]
    LeaseNotFound,
    /// A response or a stored value is invalid.
    #[snafu(display("invalid data from the platform: {message}"))]
    Unreadable {
        /// The description of the problem.
        message: String,
    },
}

/// A failed call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{step} at {peer}: {source}"), visibility(pub))]
pub struct StoreError {
    /// The operation that failed.
    pub step: Step,
    /// The address of the platform's service.
    pub peer: SocketAddr,
    /// Whether the call may have been applied in spite of the error.
    pub effect: Effect,
    /// The cause of the failure.
    pub source: Cause,
}

impl StoreError {
    /// Returns whether the call is guaranteed to have no effect.
    pub fn is_not_applied(&self) -> bool {
        self.effect == Effect::NotApplied
    }

    /// Returns the time after which a call is allowed again, if the daemon's call budget was
    /// exhausted.
    pub fn retry_after(&self) -> Option<Millis> {
        match self.source {
            Cause::BudgetExhausted { retry_after } => Some(retry_after),
            _ => None,
        }
    }

    /// Returns whether the platform rejected the call because of its rate limit.
    pub fn is_rate_limited(&self) -> bool {
        self.source == Cause::RateLimited
    }
}
