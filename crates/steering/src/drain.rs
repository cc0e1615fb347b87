//! Progress of moving traffic away from a place.

use std::fmt;

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::issuer::ScopeName;
use crate::steering::Steering;

/// This VM's progress in moving its traffic away from a place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// The place.
    pub place: PlaceName,
    /// Whether an operator is draining it.
    pub draining: bool,
    /// Rate that this VM still plans to send there, in requests per second.
    pub still_meant: f64,
    /// This VM's requests in flight there, or all requests in flight at this VM if the place is
    /// its own.
    pub in_flight: u32,
    /// Time until the last cached look-up answer that names it expires.
    pub answers_left: Millis,
    /// Time until the last grant of this VM for it expires.
    pub grants_left: Millis,
    /// Why traffic remains, if it does.
    pub waits_for: Option<DrainWait>,
}

/// What keeps traffic at a draining place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainWait {
    /// Other places lack capacity under the caps and growth limits.
    Room,
    /// Cached look-up answers still name it.
    Answers,
    /// Grants held by other VMs have not expired.
    Grants,
    /// Requests are in flight.
    InFlight,
}

impl DrainStatus {
    /// Returns whether this VM no longer sends traffic to the place.
    pub fn done(&self) -> bool {
        self.draining && self.waits_for.is_none()
    }
}

impl fmt::Display for DrainStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(wait) = self.waits_for else {
            let state = if self.draining {
                "drained"
            } else {
                "not draining"
            };
            return write!(f, "{}: {state}", self.place);
        };
        write!(f, "{}: draining, ", self.place)?;
        match wait {
            DrainWait::Room => write!(f, "{:.1}/s wait for room elsewhere", self.still_meant),
            DrainWait::Answers => write!(f, "cached answers for {} more", self.answers_left),
            DrainWait::Grants => write!(f, "grants of others for {} more", self.grants_left),
            DrainWait::InFlight => write!(f, "{} requests in flight", self.in_flight),
        }
    }
}

impl Steering {
    /// Returns this VM's progress in draining `place`. The place is drained once every VM of the
    /// system reports [`DrainStatus::done`].
    pub fn drain_status(&mut self, place: &PlaceName, now: Millis) -> DrainStatus {
        let own = self.is_local(place);
        let scope = ScopeName::Place(place.clone());
        let held = self.holder.grants().find(|(p, _)| *p == place);
        let in_flight = if own {
            self.issuer.used_in(&scope, now).in_flight
        } else {
            held.map_or(0, |(_, h)| h.used())
        };
        let mut status = DrainStatus {
            place: place.clone(),
            draining: self.draining(place),
            still_meant: self.planned_rate(place),
            in_flight,
            answers_left: left(self.answers.last_expiry(place), now),
            grants_left: left(self.issuer.last_expiry(place), now),
            waits_for: None,
        };
        if status.draining {
            status.waits_for = blocking_wait(&status);
        }
        status
    }

    fn planned_rate(&self, place: &PlaceName) -> f64 {
        let services = self.services.values();
        // A service without callers plans no traffic for any place.
        services
            .map(|s| s.demand.rate() * s.split.share(place))
            .sum()
    }
}

/// Rates at or below this count as zero, in requests per second.
const NEGLIGIBLE_RATE: f64 = 0.05;

fn blocking_wait(status: &DrainStatus) -> Option<DrainWait> {
    if status.still_meant > NEGLIGIBLE_RATE {
        Some(DrainWait::Room)
    } else if status.answers_left > Millis(0) {
        Some(DrainWait::Answers)
    } else if status.grants_left > Millis(0) {
        Some(DrainWait::Grants)
    } else if status.in_flight > 0 {
        Some(DrainWait::InFlight)
    } else {
        None
    }
}

fn left(until: Option<Millis>, now: Millis) -> Millis {
    until.map_or(Millis(0), |u| u.since(now))
}
