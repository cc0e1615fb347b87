//! How much of its room each region leaves to the requests that may run anywhere.
//!
//! Requests of an account with home regions have nowhere else to go. Where a large account is
//! bound to a region of few servers, requests that may run anywhere crowd it out of there: its
//! requests are refused, run late and come back, while other regions have room. So those that may
//! go elsewhere give way ahead of the crowding, by what all VMs reckon alike from the accounts'
//! limits.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use heatherknot_types::prelude::*;

use crate::accounts::RestrictedShare;

/// How far a region's part moves in a second at most. The requests that move with it may be no
/// more than the callers' caches and the links between regions bear.
const MOST_A_SECOND: f64 = 0.04;
/// The least part. With none at all a region's servers would not be ranked, where no other region
/// has any that can be reached.
const LEAST_PART: f64 = 0.02;

/// Gives the part of each region's slots that is left to requests which may run anywhere, if all
/// slots are to be used alike. `bound` are the shares of all requests that certain regions must run.
pub fn parts_left(
    slots: &BTreeMap<RegionName, f64>,
    bound: &[RestrictedShare],
) -> BTreeMap<RegionName, f64> {
    let mut taken: BTreeMap<&RegionName, f64> = BTreeMap::new();
    let mut free = 1.0;
    for share in bound {
        let homes = slots.iter().filter(|(r, _)| share.regions.contains(r));
        let room: f64 = homes.clone().map(|(_, slots)| slots).sum();
        if room <= 0.0 {
            continue;
        }
        free -= share.fraction;
        for (region, slots) in homes {
            *taken.entry(region).or_default() += share.fraction * slots / room;
        }
    }
    let level = fill_level(slots, &taken, free.max(0.0));
    let left = |region: &RegionName, slots: f64| {
        let taken = taken.get(region).copied().unwrap_or(0.0);
        match level * slots > 0.0 {
            true => (1.0 - taken / (level * slots)).clamp(LEAST_PART, 1.0),
            false => 1.0,
        }
    };
    let parts = slots.iter().map(|(r, slots)| (r.clone(), left(r, *slots)));
    parts.collect()
}

/// Gives the requests for each slot with which `free` fills the regions beside what is taken of
/// them. A region that is fuller than that gets nothing of it.
fn fill_level(
    slots: &BTreeMap<RegionName, f64>,
    taken: &BTreeMap<&RegionName, f64>,
    free: f64,
) -> f64 {
    let regions = slots.iter().filter(|(_, slots)| **slots > 0.0);
    let mut regions: Vec<(f64, f64)> = regions
        .map(|(region, slots)| (taken.get(region).copied().unwrap_or(0.0), *slots))
        .collect();
    regions.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
    let (mut sum, mut room) = (free, 0.0);
    let mut level = 0.0;
    for (taken, slots) in regions {
        if room > 0.0 && taken / slots >= level {
            break;
        }
        sum += taken;
        room += slots;
        level = sum / room;
    }
    level
}

/// The parts of a service's regions, as they move.
#[derive(Debug, Default)]
pub struct UnboundShares {
    parts: RefCell<BTreeMap<RegionName, f64>>,
    /// Whether a request has gone by them.
    is_used: Cell<bool>,
    moved: Cell<Millis>,
}

impl UnboundShares {
    /// Notes that a request goes by the parts.
    pub fn mark_used(&self) {
        self.is_used.set(true);
    }

    /// Moves the parts towards `goals` for the time since they were moved last. Until the first
    /// request goes by them they are there at once.
    pub fn step(&self, goals: &BTreeMap<RegionName, f64>, now: Millis) {
        let elapsed = now.since(self.moved.replace(now)).as_secs_f64().min(1.0);
        let most = match self.is_used.get() {
            true => MOST_A_SECOND * elapsed,
            false => 1.0,
        };
        let mut parts = self.parts.borrow_mut();
        for (region, goal) in goals {
            let part = parts.entry(region.clone()).or_insert(*goal);
            *part += (goal - *part).clamp(-most, most);
        }
    }

    /// Says whether all regions leave all of their room.
    pub fn are_whole(&self) -> bool {
        self.parts.borrow().values().all(|part| *part >= 1.0)
    }

    /// Gives a region's part.
    pub fn of(&self, region: &RegionName) -> f64 {
        self.parts.borrow().get(region).copied().unwrap_or(1.0)
    }
}
