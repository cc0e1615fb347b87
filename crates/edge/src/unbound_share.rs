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
const MAX_STEP_PER_SECOND: f64 = 0.04;
/// The least part. With none at all a region's servers would not be ranked, where no other region
/// has any that can be reached.
const MIN_SHARE: f64 = 0.02;

/// Gives the part of each region's slots that is left to requests which may run anywhere, if all
/// slots are to be used alike. `bound` are the shares of all requests that certain regions must run.
pub fn target_shares(
    slots: &BTreeMap<RegionName, f64>,
    restricted: &[RestrictedShare],
) -> BTreeMap<RegionName, f64> {
    let mut reserved: BTreeMap<&RegionName, f64> = BTreeMap::new();
    let mut unrestricted = 1.0;
    for share in restricted {
        let allowed = slots.iter().filter(|(r, _)| share.regions.contains(r));
        let total_slots: f64 = allowed.clone().map(|(_, slots)| slots).sum();
        if total_slots <= 0.0 {
            continue;
        }
        unrestricted -= share.fraction;
        for (region, slots) in allowed {
            *reserved.entry(region).or_default() += share.fraction * slots / total_slots;
        }
    }
    let level = fill_level(slots, &reserved, unrestricted.max(0.0));
    let unbound_share = |region: &RegionName, slots: f64| {
        let reserved = reserved.get(region).copied().unwrap_or(0.0);
        match level * slots > 0.0 {
            true => (1.0 - reserved / (level * slots)).clamp(MIN_SHARE, 1.0),
            false => 1.0,
        }
    };
    let shares = slots
        .iter()
        .map(|(r, slots)| (r.clone(), unbound_share(r, *slots)));
    shares.collect()
}

/// Gives the requests for each slot with which `free` fills the regions beside what is taken of
/// them. A region that is fuller than that gets nothing of it.
fn fill_level(
    slots: &BTreeMap<RegionName, f64>,
    reserved: &BTreeMap<&RegionName, f64>,
    unrestricted: f64,
) -> f64 {
    let regions = slots.iter().filter(|(_, slots)| **slots > 0.0);
    let mut regions: Vec<(f64, f64)> = regions
        .map(|(region, slots)| (reserved.get(region).copied().unwrap_or(0.0), *slots))
        .collect();
    regions.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
    let (mut sum, mut total_slots) = (unrestricted, 0.0);
    let mut level = 0.0;
    for (reserved, slots) in regions {
        if total_slots > 0.0 && reserved / slots >= level {
            break;
        }
        sum += reserved;
        total_slots += slots;
        level = sum / total_slots;
    }
    level
}

/// The parts of a service's regions, as they move.
#[derive(Debug, Default)]
pub struct UnboundShares {
    shares: RefCell<BTreeMap<RegionName, f64>>,
    /// Whether a request has gone by them.
    is_used: Cell<bool>,
    updated_at: Cell<Millis>,
}

impl UnboundShares {
    /// Notes that a request goes by the parts.
    pub fn mark_used(&self) {
        self.is_used.set(true);
    }

    /// Moves the parts towards `goals` for the time since they were moved last. Until the first
    /// request goes by them they are there at once.
    pub fn update(&self, targets: &BTreeMap<RegionName, f64>, now: Millis) {
        let elapsed = now
            .since(self.updated_at.replace(now))
            .as_secs_f64()
            .min(1.0);
        let max_step = match self.is_used.get() {
            true => MAX_STEP_PER_SECOND * elapsed,
            false => 1.0,
        };
        let mut shares = self.shares.borrow_mut();
        for (region, target) in targets {
            let share = shares.entry(region.clone()).or_insert(*target);
            *share += (target - *share).clamp(-max_step, max_step);
        }
    }

    /// Says whether all regions leave all of their room.
    pub fn are_all_full(&self) -> bool {
        self.shares.borrow().values().all(|share| *share >= 1.0)
    }

    /// Gives a region's part.
    pub fn share(&self, region: &RegionName) -> f64 {
        self.shares.borrow().get(region).copied().unwrap_or(1.0)
    }
}
