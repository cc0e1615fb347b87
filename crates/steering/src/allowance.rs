//! Computes what one VM may use of the caps of places, its region and the links to it.
//!
//! The capacity ledger of the failure domain assigns each VM a part of 1000. A region's cap is
//! split between its failure domains, and a link's cap between the failure domains at its
//! destination, in proportion to the caps of their places. Every split rounds down, so the parts
//! never sum to more than the whole.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use heatherknot_types::plan::{Cap, Plan};
use heatherknot_types::prelude::*;

use crate::tuning::Tuning;

/// A cap that never limits anything, used where the settings have none.
pub const NO_CAP: Cap = Cap {
    per_second: u32::MAX,
    in_flight: u32::MAX,
};

/// A cap that admits nothing.
pub const ZERO_CAP: Cap = Cap {
    per_second: 0,
    in_flight: 0,
};

/// One VM's parts of the caps that apply to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allowances {
    /// Allowance for each place of the VM's failure domain.
    pub places: BTreeMap<PlaceName, Cap>,
    /// Allowance for its region.
    pub region: Cap,
    /// Allowance for each capped link to its region, by the region at the other end.
    pub links: BTreeMap<RegionName, Cap>,
}

impl Default for Allowances {
    fn default() -> Self {
        Self {
            places: BTreeMap::new(),
            region: ZERO_CAP,
            links: BTreeMap::new(),
        }
    }
}

impl Allowances {
    /// Computes the allowances of a VM that holds `part` thousandths of `domain`.
    pub fn of(plan: &Plan, domain: &DomainName, part: u16) -> Self {
        let Some(domain_plan) = plan.domains.get(domain) else {
            return Self::default();
        };
        let region = &domain_plan.region;
        let split = CapFraction::of(plan, domain, region, part);
        let own_places = plan.places.iter().filter(|(_, p)| p.domain == *domain);
        let own_links = plan.links.iter().filter(|l| l.to == *region);
        Self {
            places: own_places
                .map(|(name, p)| (name.clone(), scale_by_part(p.cap, part)))
                .collect(),
            region: plan
                .regions
                .get(region)
                .map_or(NO_CAP, |r| split.apply(r.cap)),
            links: own_links
                .map(|l| (l.from.clone(), split.apply(l.cap)))
                .collect(),
        }
    }

    /// Returns the minimum of two allowances for each cap of `self`; a cap missing in `other` does
    /// not limit it.
    pub fn min(&self, other: &Self) -> Self {
        Self {
            places: min_by_key(&self.places, &other.places),
            region: min_cap(self.region, other.region),
            links: min_by_key(&self.links, &other.links),
        }
    }
}

fn min_by_key<K: Ord + Clone>(a: &BTreeMap<K, Cap>, b: &BTreeMap<K, Cap>) -> BTreeMap<K, Cap> {
    let lower = |(key, cap): (&K, &Cap)| {
        let other = b.get(key).copied().unwrap_or(NO_CAP);
        (key.clone(), min_cap(*cap, other))
    };
    a.iter().map(lower).collect()
}

/// Returns the minimum of two caps in both dimensions.
pub fn min_cap(a: Cap, b: Cap) -> Cap {
    Cap {
        per_second: a.per_second.min(b.per_second),
        in_flight: a.in_flight.min(b.in_flight),
    }
}

fn scale_by_part(cap: Cap, part: u16) -> Cap {
    scaled(cap, u64::from(part), 1_000)
}

fn scaled(cap: Cap, numerator: u64, denominator: u64) -> Cap {
    let scale = |value: u32| (u64::from(value) * numerator / denominator.max(1)) as u32;
    Cap {
        per_second: scale(cap.per_second),
        in_flight: scale(cap.in_flight),
    }
}

/// One VM's fraction of a region's cap, as numerators and denominators for the rate and the
/// requests in flight.
struct CapFraction {
    rate: (u64, u64),
    in_flight: (u64, u64),
}

impl CapFraction {
    fn of(plan: &Plan, domain: &DomainName, region: &RegionName, part: u16) -> Self {
        let mut split = Self {
            rate: (0, 0),
            in_flight: (0, 0),
        };
        for place in plan.places.values() {
            let in_region = plan
                .domains
                .get(&place.domain)
                .is_some_and(|d| d.region == *region);
            if !in_region {
                continue;
            }
            split.rate.1 += u64::from(place.cap.per_second) * 1_000;
            split.in_flight.1 += u64::from(place.cap.in_flight) * 1_000;
            if place.domain == *domain {
                split.rate.0 += u64::from(place.cap.per_second) * u64::from(part);
                split.in_flight.0 += u64::from(place.cap.in_flight) * u64::from(part);
            }
        }
        split
    }

    fn apply(&self, cap: Cap) -> Cap {
        let share = |value: u32, (own, all): (u64, u64)| {
            (u128::from(value) * u128::from(own) / u128::from(all.max(1))) as u32
        };
        Cap {
            per_second: share(cap.per_second, self.rate),
            in_flight: share(cap.in_flight, self.in_flight),
        }
    }
}

/// The current and recent plans and parts, from which the allowances in force are computed.
#[derive(Clone, Debug, Default)]
pub struct AllowanceHistory {
    plan: Arc<Plan>,
    part: u16,
    /// Recently replaced plans, each with the time of its replacement.
    past_plans: VecDeque<(Millis, Arc<Plan>)>,
    /// Recently replaced parts, each with the time of its replacement.
    past_parts: VecDeque<(Millis, u16)>,
}

impl AllowanceHistory {
    /// Replaces the plan.
    pub fn set_plan(&mut self, plan: Arc<Plan>, now: Millis) {
        let before = std::mem::replace(&mut self.plan, plan);
        // The first plan replaces none.
        if before.revision != Revision::NONE {
            self.past_plans.push_back((now, before));
        }
    }

    /// Replaces the VM's part of its failure domain's capacity.
    pub fn set_part(&mut self, part: u16, now: Millis) {
        let before = std::mem::replace(&mut self.part, part);
        self.past_parts.push_back((now, before));
    }

    /// Removes entries that no longer matter, and returns whether the allowances in force may
    /// change.
    pub fn prune(&mut self, tuning: &Tuning, now: Millis) -> bool {
        let before = self.past_plans.len() + self.past_parts.len();
        let kept = tuning.settle.max(lending_delay(tuning));
        self.past_plans.retain(|(at, _)| *at + kept > now);
        self.past_parts.retain(|(at, _)| *at + kept > now);
        before > 0
    }

    /// Returns what callers may use now in `domain`.
    ///
    /// Guards against two failure domains of a region that learn of a new split some seconds
    /// apart: the one that gains would use capacity that the other has not yet given up, and the
    /// region would exceed its cap. A lower part of a region or link applies at once, a higher one
    /// only after `settle`. A place belongs to one failure domain and needs no such delay.
    pub fn usable(&self, domain: &DomainName, tuning: &Tuning, now: Millis) -> Allowances {
        let current = Allowances::of(&self.plan, domain, self.part);
        let lowest = self.lowest_since(domain, self.part, tuning.settle, now);
        Allowances {
            places: current.places,
            region: lowest.region,
            links: lowest.links,
        }
    }

    /// Returns what may be lent now in `domain`.
    ///
    /// Guards against capacity that its former holder had lent out: that VM is gone and its ledger
    /// entry removed, but its grants may still be held. A gained part counts for lending only
    /// after those have expired.
    pub fn lendable(&self, domain: &DomainName, tuning: &Tuning, now: Millis) -> Allowances {
        let span = lending_delay(tuning);
        let recent = self.past_parts.iter().filter(|(at, _)| *at + span > now);
        let part = recent.map(|(_, part)| *part).fold(self.part, u16::min);
        self.lowest_since(domain, part, span, now)
    }

    fn lowest_since(
        &self,
        domain: &DomainName,
        part: u16,
        span: Millis,
        now: Millis,
    ) -> Allowances {
        let current = Allowances::of(&self.plan, domain, part);
        let recent = self.past_plans.iter().filter(|(at, _)| *at + span > now);
        recent.fold(current, |low, (_, plan)| {
            low.min(&Allowances::of(plan, domain, part))
        })
    }
}

/// Returns how long the grants of a VM that is gone may still be used by their holders.
fn lending_delay(tuning: &Tuning) -> Millis {
    tuning.term + tuning.margin + tuning.margin
}
