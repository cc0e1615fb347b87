//! Selects the backend server of a place for a request.
//!
//! A failure domain has two or three upstreams of a service with 3 to 9 slots each, so all of them
//! are compared. The load is what the upstream reported, corrected by the requests this VM has
//! started and finished since. It is never taken to be lower than this VM's own requests in
//! flight.

use std::collections::BTreeMap;

use heatherknot_types::plan::{ServicePlan, UpstreamPlan};
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::tuning::Tuning;

/// Consecutive failures after which an upstream is ejected for a while.
const EJECT_AFTER: u32 = 3;

/// State of one upstream according to its health or load response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Slots in use by all VMs together.
    pub in_use: u16,
    /// Whether it reports itself healthy.
    pub healthy: bool,
    /// Whether it reports that it is shutting down.
    pub leaving: bool,
    /// Age of the measurement.
    pub age: Millis,
}

/// The outcome of a request, for the selection of upstreams and places.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// A complete response was received.
    Good,
    /// The upstream failed: no connection, a broken response or a server error.
    Failed,
    /// The upstream refused the request for lack of capacity.
    Shed,
    /// The caller gave up, which says nothing about the upstream.
    Cancelled,
}

/// An upstream as seen by this VM.
#[derive(Clone, Debug)]
pub struct Upstream {
    plan: UpstreamPlan,
    in_flight: u32,
    reported: Option<(Millis, UpstreamLoad)>,
    started_since: u32,
    finished_since: u32,
    leaving: bool,
    warm_from: Option<Millis>,
    shed_until: Millis,
    /// Slots that may be used, as learned from shed requests.
    learned_slots: u32,
    learned_at: Millis,
    failures: u32,
    ejections: u32,
    ejected_until: Millis,
}

impl Upstream {
    fn new(plan: UpstreamPlan) -> Self {
        let slots = u32::from(plan.slots);
        Self {
            plan,
            in_flight: 0,
            reported: None,
            started_since: 0,
            finished_since: 0,
            leaving: false,
            warm_from: None,
            shed_until: Millis(0),
            learned_slots: slots,
            learned_at: Millis(0),
            failures: 0,
            ejections: 0,
            ejected_until: Millis(0),
        }
    }

    /// Returns the upstream's plan.
    pub fn plan(&self) -> &UpstreamPlan {
        &self.plan
    }

    /// Returns this VM's own requests in flight there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the estimated number of slots in use. A report older than `report_stale` is
    /// ignored.
    pub fn in_use(&self, tuning: &Tuning, now: Millis) -> u32 {
        let Some((at, load)) = self.reported else {
            return self.in_flight;
        };
        if now.since(at) + load.age >= tuning.report_stale {
            return self.in_flight;
        }
        let corrected = u32::from(load.in_use) + self.started_since;
        corrected
            .saturating_sub(self.finished_since)
            .max(self.in_flight)
    }

    /// Returns the number of slots that may be used now: fewer during warm-up, and limited after
    /// the upstream shed a request. While recovering from an ejection it gets one request at a
    /// time.
    pub fn slots(&self, tuning: &Tuning, now: Millis) -> u32 {
        if self.ejections > 0 {
            return 1;
        }
        let slots = u32::from(self.plan.slots).min(self.learned_slots).max(1);
        let Some(from) = self.warm_from else {
            return slots;
        };
        let span = tuning.upstream_warm_up.0.max(1);
        let warmed = now.since(from).0.min(span);
        (u64::from(slots) * warmed / span).max(1) as u32
    }

    /// Returns whether it may get new requests.
    pub fn usable(&self, now: Millis) -> bool {
        let reported_unusable = self
            .reported
            .is_some_and(|(_, load)| !load.healthy || load.leaving);
        !self.plan.draining
            && !self.leaving
            && !reported_unusable
            && now >= self.shed_until
            && now >= self.ejected_until
    }

    fn start(&mut self) {
        self.in_flight += 1;
        self.started_since += 1;
    }

    fn finish(&mut self, outcome: RequestOutcome, tuning: &Tuning, now: Millis) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.finished_since += 1;
        match outcome {
            RequestOutcome::Good => {
                self.failures = 0;
                self.ejections = 0;
            }
            RequestOutcome::Failed => self.fail(tuning, now),
            RequestOutcome::Shed => {
                self.shed_until = now + tuning.shed_pause;
                self.learned_slots = self.in_flight.max(1);
                self.learned_at = now;
            }
            RequestOutcome::Cancelled => {}
        }
    }

    fn fail(&mut self, tuning: &Tuning, now: Millis) {
        self.failures += 1;
        if self.failures < EJECT_AFTER {
            return;
        }
        let doubled = tuning.hold_down.0 << self.ejections.min(10);
        self.ejected_until = now + Millis(doubled.min(tuning.hold_down_max.0));
        self.ejections += 1;
        // A single failure after the ejection ends ejects it again.
        self.failures = EJECT_AFTER - 1;
    }

    fn tick(&mut self, tuning: &Tuning, now: Millis) {
        let configured = u32::from(self.plan.slots);
        let pause = tuning.hold_down;
        if self.learned_slots < configured && now.since(self.learned_at) >= pause {
            self.learned_slots += 1;
            self.learned_at = now;
        }
    }
}

/// The upstreams of all services in one failure domain.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    services: BTreeMap<ServiceName, Vec<Upstream>>,
}

impl Upstreams {
    /// Applies the upstreams in the plan that lie in a place for which `local` returns true. The
    /// state of upstreams that remain is kept; one whose address changed counts as a new server.
    pub fn set_plan(
        &mut self,
        services: &BTreeMap<ServiceName, ServicePlan>,
        local: &dyn Fn(&PlaceName) -> bool,
    ) {
        let mut before = std::mem::take(&mut self.services);
        for (name, service) in services {
            let mut known = before.remove(name).unwrap_or_default();
            let wanted = service.upstreams.iter().filter(|u| local(&u.place));
            let merged: Vec<Upstream> = wanted.map(|u| merge(&mut known, u)).collect();
            if !merged.is_empty() {
                self.services.insert(name.clone(), merged);
            }
        }
    }

    /// Records a load or health response of an upstream.
    pub fn report(
        &mut self,
        service: &ServiceName,
        upstream: &UpstreamName,
        load: UpstreamLoad,
        now: Millis,
    ) {
        if let Some(u) = self.find(service, upstream) {
            u.reported = Some((now, load));
            u.started_since = 0;
            u.finished_since = 0;
        }
    }

    /// Sets whether an upstream is shutting down.
    pub fn set_leaving(&mut self, service: &ServiceName, upstream: &UpstreamName, leaving: bool) {
        if let Some(u) = self.find(service, upstream) {
            u.leaving = leaving;
        }
    }

    /// Records that an upstream has just started with cold caches.
    pub fn mark_cold(&mut self, service: &ServiceName, upstream: &UpstreamName, now: Millis) {
        if let Some(u) = self.find(service, upstream) {
            u.warm_from = Some(now);
            u.failures = 0;
            u.ejections = 0;
            u.ejected_until = now;
            u.shed_until = now;
        }
    }

    /// Returns the upstream with the lowest fraction of slots in use, at random among equals, or
    /// `None` if no slot is free. The last free slot of the place is not given to bulk requests.
    pub fn pick(
        &self,
        service: &ServiceName,
        place: &PlaceName,
        class: Class,
        tuning: &Tuning,
        rng: &mut fastrand::Rng,
        now: Millis,
    ) -> Option<&Upstream> {
        let mut free = 0;
        let mut best = None;
        let mut least = f64::INFINITY;
        let mut ties = 0;
        for u in self.of(service).iter().filter(|u| u.plan.place == *place) {
            if !u.usable(now) {
                continue;
            }
            let (in_use, slots) = (u.in_use(tuning, now), u.slots(tuning, now));
            if in_use >= slots {
                continue;
            }
            free += slots - in_use;
            let load = f64::from(in_use + 1) / f64::from(slots);
            if load < least {
                least = load;
                ties = 0;
            }
            if load == least {
                ties += 1;
                if rng.u32(0..ties) == 0 {
                    best = Some(u);
                }
            }
        }
        if class == Class::Bulk && free < 2 {
            return None;
        }
        best
    }

    /// Returns whether `service` has a usable upstream in `place`, busy or not.
    pub fn any_usable(&self, service: &ServiceName, place: &PlaceName, now: Millis) -> bool {
        let mut here = self.of(service).iter().filter(|u| u.plan.place == *place);
        here.any(|u| u.usable(now))
    }

    /// Counts a request sent to an upstream.
    pub fn start(&mut self, service: &ServiceName, upstream: &UpstreamName) {
        if let Some(u) = self.find(service, upstream) {
            u.start();
        }
    }

    /// Moves a request in progress from the upstream `from` to `to`.
    pub fn reassign(&mut self, service: &ServiceName, from: &UpstreamName, to: &UpstreamName) {
        if let Some(u) = self.find(service, from) {
            u.in_flight = u.in_flight.saturating_sub(1);
            u.started_since = u.started_since.saturating_sub(1);
        }
        self.start(service, to);
    }

    /// Records the outcome of a request.
    pub fn finish(
        &mut self,
        service: &ServiceName,
        upstream: &UpstreamName,
        outcome: RequestOutcome,
        tuning: &Tuning,
        now: Millis,
    ) {
        if let Some(u) = self.find(service, upstream) {
            u.finish(outcome, tuning, now);
        }
    }

    /// Restores, one by one, the slots withheld after requests were shed.
    pub fn tick(&mut self, tuning: &Tuning, now: Millis) {
        for u in self.services.values_mut().flatten() {
            u.tick(tuning, now);
        }
    }

    /// Returns the upstreams of `service` in this failure domain.
    pub fn of(&self, service: &ServiceName) -> &[Upstream] {
        self.services.get(service).map_or(&[], |all| all)
    }

    fn find(&mut self, service: &ServiceName, name: &UpstreamName) -> Option<&mut Upstream> {
        let all = self.services.get_mut(service)?;
        all.iter_mut().find(|u| u.plan.name == *name)
    }
}

fn merge(known: &mut Vec<Upstream>, plan: &UpstreamPlan) -> Upstream {
    let same = |u: &Upstream| u.plan.name == plan.name && u.plan.address == plan.address;
    let Some(at) = known.iter().position(same) else {
        return Upstream::new(plan.clone());
    };
    let mut upstream = known.swap_remove(at);
    if upstream.plan.slots != plan.slots {
        upstream.learned_slots = u32::from(plan.slots);
    }
    upstream.plan = plan.clone();
    upstream
}
