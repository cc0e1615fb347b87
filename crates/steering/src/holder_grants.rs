//! The grants that one holder may still use, as the issuer tracks them.

use heatherknot_types::plan::Cap;
use heatherknot_types::prelude::*;

use crate::allowance::{ZERO_CAP, min_cap};
use crate::messages::PlaceRequest;
use crate::window::Window;

/// Identifies the holder of a grant for one place: one incarnation of a VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HolderKey {
    /// The place.
    pub place: PlaceName,
    /// The holder.
    pub holder: VmName,
    /// The incarnation of the holder.
    pub incarnation: Incarnation,
}

/// A grant as tracked by its issuer.
#[derive(Clone, Debug)]
pub(crate) struct IssuedGrant {
    pub(crate) seq: u64,
    pub(crate) cap: Cap,
    pub(crate) until: Millis,
}

/// All grants to one holder for one place that it may still use.
///
/// The holder uses only one of them at a time, but the issuer cannot know which one it has
/// received, so their maximum counts.
#[derive(Clone, Debug)]
pub(crate) struct HolderGrants {
    pub(crate) from: RegionName,
    pub(crate) grants: Vec<IssuedGrant>,
    pub(crate) arrivals: Window,
    pub(crate) in_flight: u32,
}

impl HolderGrants {
    /// Returns the maximum of the grants that may still be used.
    pub(crate) fn cap(&self, now: Millis) -> Cap {
        let live = self.grants.iter().filter(|l| l.until > now);
        live.fold(ZERO_CAP, |top, l| Cap {
            per_second: top.per_second.max(l.cap.per_second),
            in_flight: top.in_flight.max(l.cap.in_flight),
        })
    }

    /// Returns the capacity reserved for the holder: the maximum of its grants, or its actual use
    /// if higher.
    pub(crate) fn reserved(&self, now: Millis) -> Cap {
        let cap = self.cap(now);
        Cap {
            per_second: cap.per_second.max(self.arrivals.peek(now)),
            in_flight: cap.in_flight.max(self.in_flight),
        }
    }

    /// Applies what the holder has permanently given up.
    ///
    /// The holder stopped using older grants before it sent the request, but may have used them
    /// until then, so they count for one more window. A request that arrives late or twice is
    /// harmless, since what was given up stays given up.
    pub(crate) fn release(&mut self, request: &PlaceRequest, window: Millis, now: Millis) {
        let remaining = Cap {
            per_second: request.keep_rate,
            in_flight: request.keep_in_flight,
        };
        let mut lowered = Vec::new();
        for grant in &mut self.grants {
            let given_up = grant.seq < request.holds;
            let reduced = grant.seq == request.holds && min_cap(grant.cap, remaining) != grant.cap;
            if reduced {
                lowered.push(IssuedGrant {
                    seq: grant.seq,
                    cap: min_cap(grant.cap, remaining),
                    until: grant.until,
                });
            }
            if given_up || reduced {
                grant.until = grant.until.min(now + window);
            }
        }
        self.grants.extend(lowered);
        self.grants.retain(|l| l.until > now);
    }
}
