//! Distributes each service's traffic over places.
//!
//! All services of a VM are distributed together in small equal steps. Each step of a service goes
//! to the place with the lowest cost at that moment that still has capacity. The cost weighs
//! latency against headroom as configured for the service. The rate of change is limited for moves
//! made for preference alone; changes required by a limit apply at once.

use heatherknot_types::prelude::*;

use crate::tuning::Tuning;

/// Number of steps in which each service's demand is assigned.
const STEPS: u32 = 20;
/// Latency that costs as much as a fully utilized place, in milliseconds.
const LATENCY_SCALE_MS: f64 = 100.0;
/// Queueing delay at a place that is half utilized, in milliseconds.
const HALF_FULL_WAIT_MS: f64 = 5.0;
/// Cost added to a draining place; exceeds any other cost.
const DRAIN_COST: f64 = 1_000.0;
/// Highest utilization used to compute the queueing delay, which tends to infinity at 1.
const MAX_UTILIZATION: f64 = 0.98;

/// A place as seen by one VM.
#[derive(Clone, Debug, PartialEq)]
pub struct AvailablePlace {
    /// The place.
    pub place: PlaceName,
    /// One-way delay to its failure domain, in milliseconds.
    pub delay_ms: f64,
    /// Rate that this VM may send there, in requests per second.
    pub limit: f64,
    /// Capacity against which the load is compared, in requests per second.
    pub capacity: f64,
    /// Load from other VMs there, in requests per second.
    pub other_load: f64,
    /// Whether it is draining. A draining place gets only traffic that no other place can take.
    pub draining: bool,
}

/// The demand of one service and the places that can serve it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceDemand {
    /// Demand in requests per second.
    pub demand: f64,
    /// Weight of latency against headroom, from 0 to 1.
    pub latency_weight: f64,
    /// The places with upstreams of the service, as indices into the list of places.
    pub candidates: Vec<usize>,
    /// Highest rate that the service's own backend servers can take at each candidate, in requests
    /// per second.
    pub max_rates: Vec<f64>,
}

/// Returns the cost of sending one more request per second to `place`, for a service that weighs
/// latency with `latency_weight`, where this VM already sends `assigned` there.
pub fn cost(place: &AvailablePlace, assigned: f64, latency_weight: f64) -> f64 {
    let utilization = ((place.other_load + assigned) / place.capacity.max(0.001)).max(0.0);
    let busy = utilization.min(MAX_UTILIZATION);
    let latency = 2.0 * place.delay_ms + HALF_FULL_WAIT_MS * busy / (1.0 - busy);
    let drain = if place.draining { DRAIN_COST } else { 0.0 };
    latency_weight * latency / LATENCY_SCALE_MS + (1.0 - latency_weight) * utilization + drain
}

/// Assigns the demands to the places. Returns the rate of each candidate of each demand, in
/// requests per second. Demand that no place can take is left out.
pub fn assign(demands: &[ServiceDemand], places: &[AvailablePlace]) -> Vec<Vec<f64>> {
    let mut assigned = vec![0.0; places.len()];
    let mut rates: Vec<Vec<f64>> = demands
        .iter()
        .map(|n| vec![0.0; n.candidates.len()])
        .collect();
    for _ in 0..STEPS {
        for (demand, out) in demands.iter().zip(&mut rates) {
            assign_step(demand, places, &mut assigned, out);
        }
    }
    rates
}

/// Assigns one step of one demand, across several places where the cheapest lacks capacity.
fn assign_step(
    demand: &ServiceDemand,
    places: &[AvailablePlace],
    assigned: &mut [f64],
    out: &mut [f64],
) {
    let mut left = demand.demand / f64::from(STEPS);
    while left > f64::EPSILON {
        let mut best = None;
        let mut least = f64::INFINITY;
        for (at, &place) in demand.candidates.iter().enumerate() {
            let free = (places[place].limit - assigned[place]).min(demand.max_rates[at] - out[at]);
            if free <= f64::EPSILON {
                continue;
            }
            let cost = cost(
                &places[place],
                assigned[place] + left,
                demand.latency_weight,
            );
            if cost < least {
                least = cost;
                best = Some((at, place));
            }
        }
        let Some((at, place)) = best else {
            return;
        };
        let free = (places[place].limit - assigned[place]).min(demand.max_rates[at] - out[at]);
        let taken = left.min(free);
        assigned[place] += taken;
        out[at] += taken;
        left -= taken;
    }
}

/// One place's share of a service's traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct PlaceShare {
    /// The place.
    pub place: PlaceName,
    /// Its share, from 0 to 1. The shares of a service sum to at most 1; the rest cannot be
    /// placed.
    pub share: f64,
    /// Largest share that its limit allows, from 0 upwards.
    pub max_share: f64,
    /// Direction of the last change: 1 for growth, -1 for shrinkage, 0 for none yet.
    direction: i8,
}

/// How one service's traffic is split over places, and how often the split changed direction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrafficSplit {
    /// The places' shares.
    pub shares: Vec<PlaceShare>,
    /// Number of times a place's share turned from growing to shrinking or back.
    pub direction_changes: u64,
}

/// The share of a service's traffic that a place should get.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The place.
    pub place: PlaceName,
    /// Its share, from 0 to 1.
    pub share: f64,
    /// Largest share that its limit allows.
    pub max_share: f64,
}

impl TrafficSplit {
    /// A split over no places.
    pub const EMPTY: TrafficSplit = TrafficSplit {
        shares: Vec::new(),
        direction_changes: 0,
    };

    /// Returns the share of `place`.
    pub fn share(&self, place: &PlaceName) -> f64 {
        let found = self.shares.iter().find(|p| p.place == *place);
        found.map_or(0.0, |p| p.share)
    }

    /// Moves the shares toward `targets`, limited by the elapsed time `span`.
    pub fn move_toward(&mut self, targets: &[Target], tuning: &Tuning, span: Millis) {
        let first = self.shares.is_empty();
        self.align(targets);
        let before: Vec<f64> = self.shares.iter().map(|p| p.share).collect();
        let pairs = || self.shares.iter().zip(targets);
        let missing = 1.0 - pairs().map(|(p, _)| p.share).sum::<f64>();
        let distance: f64 = pairs().map(|(p, t)| (t.share - p.share).max(0.0)).sum();
        let forced = missing > 0.001 || pairs().any(|(p, _)| p.share > p.max_share);
        let dead_band = f64::from(tuning.dead_band_permille) / 1_000.0;
        if distance < dead_band && !forced {
            return;
        }
        let step = f64::from(tuning.move_permille) / 1_000.0 * span.as_secs_f64();
        let fraction = if first || distance <= 0.0 {
            1.0
        } else {
            (step / distance).min(1.0)
        };
        for (current, target) in self.shares.iter_mut().zip(targets) {
            current.share =
                (current.share + (target.share - current.share) * fraction).min(current.max_share);
        }
        self.redistribute(targets);
        self.count_direction_changes(&before, dead_band);
    }

    /// Replaces the list of places by that of the targets and keeps the shares of places in both.
    fn align(&mut self, targets: &[Target]) {
        let mut before = std::mem::take(&mut self.shares);
        for target in targets {
            let at = before.iter().position(|p| p.place == target.place);
            let old = at.map(|at| before.swap_remove(at));
            self.shares.push(PlaceShare {
                place: target.place.clone(),
                share: old.as_ref().map_or(0.0, |o| o.share),
                max_share: target.max_share,
                direction: old.map_or(0, |o| o.direction),
            });
        }
    }

    /// Redistributes the traffic cut off by limits, first to places below their target, then to
    /// any place below its limit. Traffic without a place would be refused.
    fn redistribute(&mut self, targets: &[Target]) {
        let wanted: f64 = targets.iter().map(|t| t.share).sum();
        let mut missing = wanted - self.shares.iter().map(|p| p.share).sum::<f64>();
        for bound in [true, false] {
            for (current, target) in self.shares.iter_mut().zip(targets) {
                if missing <= 0.0 {
                    return;
                }
                let max = if bound {
                    target.share.min(current.max_share)
                } else {
                    current.max_share
                };
                let more = (max - current.share).clamp(0.0, missing);
                current.share += more;
                missing -= more;
            }
        }
    }

    fn count_direction_changes(&mut self, before: &[f64], dead_band: f64) {
        for (current, before) in self.shares.iter_mut().zip(before) {
            let moved = current.share - before;
            if moved.abs() < dead_band {
                continue;
            }
            let direction = if moved > 0.0 { 1 } else { -1 };
            if current.direction == -direction {
                self.direction_changes += 1;
            }
            current.direction = direction;
        }
    }
}
