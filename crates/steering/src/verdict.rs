//! Input and result of admission.

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::messages::GrantToken;
use crate::upstream::RequestOutcome;

slotmap::new_key_type! {
    /// Identifies a request in progress at this VM.
    pub struct TicketKey;
}

/// Passed to [`Steering::finish`](crate::steering::Steering::finish) at the end of a request.
pub type Ticket = TicketKey;

/// A request to admit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// The service.
    pub service: ServiceName,
    /// Its priority class.
    pub class: Class,
    /// Time left until its deadline.
    pub deadline: Millis,
    /// Number of earlier attempts; zero for a first try.
    pub attempt: u8,
    /// Whether this request has waited before, so that it counts as demand only once.
    pub waited: bool,
    /// The grant token it carries, if another VM relayed it or a look-up answer directed it here.
    pub grant: Option<GrantToken>,
}

/// The admission decision on a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Send it to a backend server of this failure domain.
    Run {
        /// To be passed to [`Steering::finish`](crate::steering::Steering::finish).
        ticket: Ticket,
        /// The place.
        place: PlaceName,
        /// The backend server.
        upstream: UpstreamName,
    },
    /// Relay it to a VM of another failure domain.
    Relay {
        /// To be passed to [`Steering::finish`](crate::steering::Steering::finish).
        ticket: Ticket,
        /// The VM.
        vm: VmName,
        /// The token to send with the request.
        token: GrantToken,
    },
    /// Call again at the given time, or as soon as another request ends.
    Wait {
        /// When to call again.
        until: Millis,
    },
    /// Refuse it; it has not run.
    Refuse {
        /// The reason.
        reason: RefusalReason,
        /// How long the caller should wait before retrying.
        retry_after: Millis,
    },
}

/// Alias of [`Verdict`] for use in the request path.
pub type Admission = Verdict;

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// No such service in the settings.
    UnknownService,
    /// The time left is too short for a response.
    Deadline,
    /// The account has used its share, and others need the rest.
    AccountShare,
    /// A cap of a place, region or link is reached.
    Cap,
    /// No backend server has a free slot.
    Busy,
    /// No backend server of the service is usable.
    NoUpstream,
    /// The grant that the request carries is not valid.
    Grant,
    /// The retry budget is used up.
    RetryBudget,
}

impl RefusalReason {
    /// Returns the outcome, from the view of the VM that relayed a request, of a request refused
    /// for this reason.
    pub fn outcome(self) -> RequestOutcome {
        match self {
            RefusalReason::NoUpstream | RefusalReason::UnknownService => RequestOutcome::Failed,
            RefusalReason::Deadline => RequestOutcome::Cancelled,
            _ => RequestOutcome::Shed,
        }
    }
}
