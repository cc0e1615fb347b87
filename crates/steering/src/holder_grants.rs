//! What one holder may still use of what this VM has lent it.

use heatherknot_types::plan::Cap;
use heatherknot_types::prelude::*;

use crate::allowance::{ZERO_CAP, min_cap};
use crate::messages::PlaceRequest;
use crate::window::Window;

/// One run of one VM that holds a grant for one place.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HolderKey {
    /// The place.
    pub place: PlaceName,
    /// The holder.
    pub holder: VmName,
    /// The run of the holder.
    pub incarnation: Incarnation,
}

/// One grant as the issuer remembers it.
#[derive(Clone, Debug)]
pub(crate) struct IssuedGrant {
    pub(crate) seq: u64,
    pub(crate) cap: Cap,
    pub(crate) until: Millis,
}

/// All grants to one holder for one place that it may still use.
///
/// The holder uses only one of them at a time, and the issuer can't tell which it has received,
/// so they count with the highest of them.
#[derive(Clone, Debug)]
pub(crate) struct HolderGrants {
    pub(crate) from: RegionName,
    pub(crate) grants: Vec<IssuedGrant>,
    pub(crate) arrivals: Window,
    pub(crate) in_flight: u32,
}

impl HolderGrants {
    /// Gives the highest of the grants that may still be used.
    pub(crate) fn cap(&self, now: Millis) -> Cap {
        let live = self.grants.iter().filter(|l| l.until > now);
        live.fold(ZERO_CAP, |top, l| Cap {
            per_second: top.per_second.max(l.cap.per_second),
            in_flight: top.in_flight.max(l.cap.in_flight),
        })
    }

    /// Gives what is set aside: those grants, or what is used under them if that is more.
    pub(crate) fn reserved(&self, now: Millis) -> Cap {
        let cap = self.cap(now);
        Cap {
            per_second: cap.per_second.max(self.arrivals.peek(now)),
            in_flight: cap.in_flight.max(self.in_flight),
        }
    }

    /// Takes in what the holder says that it has given up for good.
    ///
    /// The holder stopped using older grants before it sent the request, but may have used them
    /// up to that moment, so they count for one more window. A copy of the request that comes
    /// late or twice says nothing that has become untrue, since what was given up stays so.
    pub(crate) fn release(&mut self, want: &PlaceRequest, window: Millis, now: Millis) {
        let kept = Cap {
            per_second: want.keep_rate,
            in_flight: want.keep_in_flight,
        };
        let mut lowered = Vec::new();
        for layer in &mut self.grants {
            let given_up = layer.seq < want.holds;
            let shrunk = layer.seq == want.holds && min_cap(layer.cap, kept) != layer.cap;
            if shrunk {
                lowered.push(IssuedGrant {
                    seq: layer.seq,
                    cap: min_cap(layer.cap, kept),
                    until: layer.until,
                });
            }
            if given_up || shrunk {
                layer.until = layer.until.min(now + window);
            }
        }
        self.grants.extend(lowered);
        self.grants.retain(|l| l.until > now);
    }
}
