//! Determines which share of its slots each region leaves to unrestricted requests, which any
//! region may serve.
//!
//! Requests of a client account with home regions cannot be served elsewhere. If a large account is
//! restricted to a region with few servers, unrestricted requests would crowd it out: its requests
//! would be refused, answered late and retried while other regions have capacity. Unrestricted
//! requests therefore yield in advance, by a share that all VMs compute alike from the accounts'
//! limits.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use heatherknot_types::prelude::*;

use crate::accounts::RestrictedShare;

/// Maximum change of a region's share per second. It limits the requests that move to other regions
/// at once, to what caches and links between regions can absorb.
const MAX_STEP_PER_SECOND: f64 = 0.04;
/// Smallest share. With a share of zero the region's servers would not be ranked at all, even if no
/// other region has a reachable server.
const MIN_SHARE: f64 = 0.02;

/// Returns the share of each region's slots to leave to unrestricted requests so that all slots are
/// used evenly. `restricted` holds the fractions of all requests that have to be served in certain
/// regions.
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
    let unrestricted_share = |region: &RegionName, slots: f64| {
        let reserved = reserved.get(region).copied().unwrap_or(0.0);
        match level * slots > 0.0 {
            true => (1.0 - reserved / (level * slots)).clamp(MIN_SHARE, 1.0),
            false => 1.0,
        }
    };
    let shares = slots
        .iter()
        .map(|(r, slots)| (r.clone(), unrestricted_share(r, *slots)));
    shares.collect()
}

/// Returns the requests per slot to which `unrestricted` fills the regions on top of their
/// `reserved` requests (water-filling). A region that is fuller than this level gets no
/// unrestricted requests.
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

/// The current shares of a service's regions.
#[derive(Debug, Default)]
pub struct UnrestrictedShares {
    shares: RefCell<BTreeMap<RegionName, f64>>,
    /// Whether a request has been routed by the shares.
    is_used: Cell<bool>,
    updated_at: Cell<Millis>,
}

impl UnrestrictedShares {
    /// Records that a request is routed by the shares.
    pub fn mark_used(&self) {
        self.is_used.set(true);
    }

    /// Moves the shares towards `targets` for the time since the last update. Until the first
    /// request is routed by them, they jump directly to the targets.
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

    /// Returns whether every region leaves all of its slots.
    pub fn are_all_full(&self) -> bool {
        self.shares.borrow().values().all(|share| *share >= 1.0)
    }

    /// Returns the share of a region.
    pub fn share(&self, region: &RegionName) -> f64 {
        self.shares.borrow().get(region).copied().unwrap_or(1.0)
    }
}
