//! The true state of the backend servers: slots, service times, cold caches, lost answers.

use std::collections::BTreeMap;

use heatherknot_steering::upstream::UpstreamLoad;
use heatherknot_types::plan::Plan;
use heatherknot_types::prelude::*;

use crate::trace::{BackendChange, Cold};

/// Slots of each upstream that bulk requests leave to interactive ones.
const KEPT_FROM_BULK: u32 = 1;

/// What became of a request at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Served {
    /// It runs and ends after the span.
    Runs {
        /// How long it runs.
        span: Millis,
        /// Whether its answer arrives.
        answered: bool,
    },
    /// Every working slot is taken, so the backend server refused it before running it.
    Shed,
}

/// The upstreams of one service, as they truly are.
#[derive(Clone, Debug, Default)]
pub struct Backends {
    upstreams: BTreeMap<ServiceName, BTreeMap<UpstreamName, Upstream>>,
    times: BTreeMap<ServiceName, Millis>,
}

#[derive(Clone, Debug)]
struct Upstream {
    place: PlaceName,
    slots: u32,
    working: u32,
    busy: u32,
    service_ms: Millis,
    answer_lost_permille: u32,
    healthy: bool,
    cold: Option<Cold>,
}

impl Backends {
    /// Makes the backend servers of a plan, all well and warm.
    pub fn new(plan: &Plan, times: &BTreeMap<ServiceName, Millis>) -> Self {
        let mut backends = Self {
            upstreams: BTreeMap::new(),
            times: times.clone(),
        };
        backends.on_plan(plan);
        backends
    }

    /// Adds the upstreams that a plan names newly.
    pub fn on_plan(&mut self, plan: &Plan) {
        for (service, service_plan) in &plan.services {
            let known = self.upstreams.entry(service.clone()).or_default();
            for upstream in &service_plan.upstreams {
                known
                    .entry(upstream.name.clone())
                    .or_insert_with(|| Upstream {
                        place: upstream.place.clone(),
                        slots: u32::from(upstream.slots),
                        working: u32::from(upstream.slots),
                        busy: 0,
                        service_ms: self.times.get(service).copied().unwrap_or(Millis(100)),
                        answer_lost_permille: 0,
                        healthy: true,
                        cold: None,
                    });
            }
        }
    }

    /// Applies a change that the trace states.
    ///
    /// The working slots of a place are lost whole upstream by upstream, the last first, and
    /// in part at one.
    pub fn on_change(&mut self, change: &BackendChange) {
        let times = &self.times;
        for (service, upstreams) in &mut self.upstreams {
            if change.service.as_ref().is_some_and(|s| s != service) {
                continue;
            }
            let mut here: Vec<&mut Upstream> = upstreams
                .values_mut()
                .filter(|u| u.place == change.place)
                .collect();
            let slots: u32 = here.iter().map(|u| u.slots).sum();
            let mut working = slots * change.working_permille / 1000;
            let time = times.get(service).copied().unwrap_or(Millis(100));
            for upstream in &mut here {
                upstream.working = working.min(upstream.slots);
                working -= upstream.working;
                upstream.service_ms = change.service_ms.unwrap_or(time);
                upstream.answer_lost_permille = change.answer_lost_permille;
                upstream.healthy = change.healthy;
                upstream.cold = change.cold;
            }
        }
    }

    /// Starts a request at an upstream. `chance` is drawn from 0 to 999.
    pub fn start(&mut self, service: &ServiceName, upstream: &UpstreamName, chance: u32) -> Served {
        let Some(upstream) = self.find(service, upstream) else {
            return Served::Shed;
        };
        if upstream.busy >= upstream.working {
            return Served::Shed;
        }
        upstream.busy += 1;
        Served::Runs {
            span: upstream.span(),
            answered: chance >= upstream.answer_lost_permille,
        }
    }

    /// Ends a request at an upstream.
    pub fn end(&mut self, service: &ServiceName, upstream: &UpstreamName) {
        if let Some(upstream) = self.find(service, upstream) {
            upstream.busy -= 1;
        }
    }

    /// Tells whether a working slot of a service is free at a place.
    pub fn has_free_slot(&self, service: &ServiceName, place: &PlaceName) -> bool {
        self.upstreams.get(service).is_some_and(|upstreams| {
            let mut here = upstreams.values().filter(|u| u.place == *place);
            here.any(|u| u.busy < u.working)
        })
    }

    /// Gives the upstream of a service at a place that lends a slot to a request of `class`:
    /// `first` where it has one, or else the one with most free slots.
    pub fn lender(
        &self,
        service: &ServiceName,
        place: &PlaceName,
        class: Class,
        first: Option<&UpstreamName>,
    ) -> Option<UpstreamName> {
        let upstreams = self.upstreams.get(service)?;
        let kept = if class == Class::Bulk {
            KEPT_FROM_BULK
        } else {
            0
        };
        let free = |u: &Upstream| u.slots.saturating_sub(u.busy + kept);
        let lends = |u: &Upstream| u.place == *place && free(u) > 0;
        if let Some(first) = first
            && upstreams.get(first).is_some_and(lends)
        {
            return Some(first.clone());
        }
        let here = upstreams.iter().filter(|(_, u)| lends(u));
        let freest = here.max_by_key(|(name, u)| (free(u), std::cmp::Reverse(*name)));
        freest.map(|(name, _)| name.clone())
    }

    /// Gives what each upstream of a place says of itself when it tells the truth of its load.
    pub fn loads(&self, place: &PlaceName) -> Vec<(ServiceName, UpstreamName, UpstreamLoad)> {
        let mut loads = Vec::new();
        for (service, upstreams) in &self.upstreams {
            for (name, upstream) in upstreams.iter().filter(|(_, u)| u.place == *place) {
                let load = UpstreamLoad {
                    in_use: upstream.busy as u16,
                    healthy: upstream.healthy,
                    leaving: false,
                    age: Millis(0),
                };
                loads.push((service.clone(), name.clone(), load));
            }
        }
        loads
    }

    /// Gives the slots of an upstream.
    pub fn slots(&self, service: &ServiceName, upstream: &UpstreamName) -> u32 {
        let upstreams = self.upstreams.get(service);
        upstreams
            .and_then(|u| u.get(upstream))
            .map_or(0, |u| u.slots)
    }

    fn find(&mut self, service: &ServiceName, upstream: &UpstreamName) -> Option<&mut Upstream> {
        self.upstreams.get_mut(service)?.get_mut(upstream)
    }
}

impl Upstream {
    /// Gives how long the next request runs, and warms the cache by it.
    fn span(&mut self) -> Millis {
        let Some(cold) = &mut self.cold else {
            return self.service_ms;
        };
        let span = cold.service_ms;
        cold.requests = cold.requests.saturating_sub(1);
        if cold.requests == 0 {
            self.cold = None;
        }
        span
    }
}
