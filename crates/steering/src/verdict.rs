//! A request as admission sees it, and what it decides on it.

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::messages::GrantToken;
use crate::upstream::RequestOutcome;

slotmap::new_key_type! {
    /// The key of a request in progress at this VM.
    pub struct TicketKey;
}

/// What is given back at the end of a request, by [`Steering::finish`](crate::steering::Steering::finish).
pub type Ticket = TicketKey;

/// A request that asks to be admitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// The service.
    pub service: ServiceName,
    /// How urgent it is.
    pub class: Class,
    /// The time left for it.
    pub deadline: Millis,
    /// Zero for a first try.
    pub attempt: u8,
    /// Whether this request was told to wait before, so that it counts as demand only once.
    pub waited: bool,
    /// The grant that it bears, where another VM or a look-up answer sent it here.
    pub grant: Option<GrantToken>,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Send it to a backend server of this failure domain.
    Run {
        /// To be given to [`Steering::finish`](crate::steering::Steering::finish).
        ticket: Ticket,
        /// The place.
        place: PlaceName,
        /// The backend server.
        upstream: UpstreamName,
    },
    /// Hand it to a VM of another failure domain.
    Relay {
        /// To be given to [`Steering::finish`](crate::steering::Steering::finish).
        ticket: Ticket,
        /// The VM.
        vm: VmName,
        /// What the request must bear.
        token: GrantToken,
    },
    /// Ask again at the time given, or as soon as another request ends.
    Wait {
        /// When to ask again.
        until: Millis,
    },
    /// It was not run.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// When the caller may come back.
        retry_after: Millis,
    },
}

/// Another name for [`Verdict`], as the request path calls it.
pub type Admission = Verdict;

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// No such service in the settings.
    UnknownService,
    /// The time left is too short for an answer.
    Deadline,
    /// The account has used its share, and others need the rest.
    AccountShare,
    /// A cap of a place, region or link is reached.
    Cap,
    /// No backend server has a free slot.
    Busy,
    /// No backend server of the service may be used.
    NoUpstream,
    /// The grant that the request bears doesn't stand.
    Grant,
    /// The retry budget is used up.
    RetryBudget,
}

impl RefusalReason {
    /// Gives how a relayed request ended, for the VM that relayed it, where the VM that it was
    /// handed to refused it for this reason.
    pub fn end(self) -> RequestOutcome {
        match self {
            RefusalReason::NoUpstream | RefusalReason::UnknownService => RequestOutcome::Failed,
            RefusalReason::Deadline => RequestOutcome::Cancelled,
            _ => RequestOutcome::Shed,
        }
    }
}
