//! What this VM knows of places, from load reports and from its own requests.
//!
//! The weight of a report falls with its age, from full to zero. A report that a place is healthy
//! is overridden if this VM's own requests to it fail.

use std::collections::BTreeMap;

use heatherknot_types::prelude::*;

use crate::messages::{PlaceReport, VmReport};
use crate::tuning::Tuning;
use crate::upstream::RequestOutcome;

/// Health below which a place is no longer used, in thousandths.
pub const UNHEALTHY_BELOW: u16 = 500;
/// Health from which a place may be used again, in thousandths.
pub const HEALTHY_FROM: u16 = 800;
/// Minimum number of recent own outcomes (with decay) to compute a health value from.
const MIN_SAMPLES: f64 = 3.0;
/// Half-life of an own outcome's weight, in seconds.
const OUTCOME_HALF_LIFE_SECS: f64 = 2.0;
/// How long a place must stay healthy before its earlier failures are forgotten, as a multiple of
/// the longest hold-down.
const FAILURE_RESET_MULTIPLE: u64 = 2;

/// A report and when it was received.
#[derive(Clone, Debug)]
struct Received {
    at: Millis,
    incarnation: Incarnation,
    seq: u64,
    report: PlaceReport,
}

/// What is known of one place.
#[derive(Clone, Debug)]
struct PlaceView {
    reports: BTreeMap<VmName, Received>,
    /// Decaying count of own requests that succeeded.
    good_outcomes: f64,
    /// Decaying count of own requests that failed.
    bad_outcomes: f64,
    last_outcome: Millis,
    held_down: bool,
    hold_until: Millis,
    failures: u32,
    changed_at: Millis,
}

impl PlaceView {
    fn new(now: Millis) -> Self {
        Self {
            reports: BTreeMap::new(),
            good_outcomes: 0.0,
            bad_outcomes: 0.0,
            last_outcome: now,
            held_down: false,
            hold_until: now,
            failures: 0,
            changed_at: now,
        }
    }

    fn decay(&mut self, now: Millis) {
        let span = now.since(self.last_outcome).as_secs_f64();
        self.last_outcome = now;
        let keep = 0.5_f64.powf(span / OUTCOME_HALF_LIFE_SECS);
        self.good_outcomes *= keep;
        self.bad_outcomes *= keep;
    }

    fn own_health(&self) -> Option<u16> {
        let seen = self.good_outcomes + self.bad_outcomes;
        (seen >= MIN_SAMPLES).then(|| (self.good_outcomes * 1_000.0 / seen) as u16)
    }
}

/// All reports on one place combined, weighted by age.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// Rate at the reporting VMs, in requests per second.
    pub rate: f64,
    /// Rate that those VMs' parts of the cap allow, in requests per second.
    pub allowance: f64,
    /// Rate that those VMs could still lend, in requests per second, discounted by age.
    pub lendable: f64,
    /// Share of successful responses, in thousandths.
    pub health: u16,
    /// Warmed rate at those VMs, in requests per second.
    pub warmed: f64,
    /// Age of the newest report.
    pub age: Millis,
    /// Weight of the newest report, from 0 to 1.
    pub weight: f64,
}

/// What is known of all places.
#[derive(Clone, Debug)]
pub struct Reports {
    tuning: Tuning,
    places: BTreeMap<PlaceName, PlaceView>,
}

impl Reports {
    /// Creates an empty collection.
    pub fn new(tuning: Tuning) -> Self {
        Self {
            tuning,
            places: BTreeMap::new(),
        }
    }

    /// Records a report. A report older than the newest one of its VM is dropped.
    pub fn record(&mut self, report: &VmReport, now: Millis) {
        for place in &report.places {
            let view = self.view(&place.place, now);
            let newer = view
                .reports
                .get(&report.vm)
                .is_none_or(|old| old.incarnation != report.incarnation || old.seq < report.seq);
            if newer {
                let received = Received {
                    at: now,
                    incarnation: report.incarnation,
                    seq: report.seq,
                    report: place.clone(),
                };
                view.reports.insert(report.vm.clone(), received);
            }
        }
    }

    /// Returns the weight of a report of `age`, from 1 to 0.
    pub fn weight(&self, age: Millis) -> f64 {
        let fresh = self.tuning.report_fresh;
        if age <= fresh {
            return 1.0;
        }
        let span = self
            .tuning
            .report_stale
            .since(fresh)
            .as_secs_f64()
            .max(0.001);
        (1.0 - age.since(fresh).as_secs_f64() / span).max(0.0)
    }

    /// Returns the combined reports on `place`, or `None` if none has any weight.
    pub fn summary(&self, place: &PlaceName, now: Millis) -> Option<Summary> {
        let view = self.places.get(place)?;
        let mut sum = Summary {
            rate: 0.0,
            allowance: 0.0,
            lendable: 0.0,
            health: 0,
            warmed: 0.0,
            age: Millis(u64::MAX),
            weight: 0.0,
        };
        let (mut health, mut weights) = (0.0, 0.0);
        for received in view.reports.values() {
            let age = now.since(received.at) + received.report.age;
            let weight = self.weight(age);
            if weight <= 0.0 {
                continue;
            }
            let report = &received.report;
            sum.rate += f64::from(report.rate) * weight;
            sum.allowance += f64::from(report.allowance) * weight;
            sum.lendable += f64::from(report.lendable) * weight;
            sum.warmed += f64::from(report.warmed) * weight;
            health += f64::from(report.health) * weight;
            weights += weight;
            if age < sum.age {
                sum.age = age;
                sum.weight = weight;
            }
        }
        sum.health = (health / weights) as u16;
        (weights > 0.0).then_some(sum)
    }

    /// Records the outcome of one of this VM's own requests to `place`.
    pub fn record_outcome(&mut self, place: &PlaceName, outcome: RequestOutcome, now: Millis) {
        let view = self.view(place, now);
        view.decay(now);
        match outcome {
            RequestOutcome::Good => view.good_outcomes += 1.0,
            RequestOutcome::Failed => view.bad_outcomes += 1.0,
            RequestOutcome::Shed | RequestOutcome::Cancelled => {}
        }
    }

    /// Returns the assumed health of `place`, in thousandths: the lower of the reported health and
    /// that seen by this VM's own requests. An unknown place counts as healthy.
    pub fn health(&self, place: &PlaceName, now: Millis) -> u16 {
        let reported = self.summary(place, now).map_or(1_000, |s| s.health);
        let own = self.places.get(place).and_then(PlaceView::own_health);
        reported.min(own.unwrap_or(1_000))
    }

    /// Returns the health of `place` as seen by this VM's own requests, in thousandths.
    pub fn own_health(&self, place: &PlaceName) -> u16 {
        let own = self.places.get(place).and_then(PlaceView::own_health);
        own.unwrap_or(1_000)
    }

    /// Returns whether `place` may be used, that is, whether it is not in a hold-down.
    pub fn usable(&self, place: &PlaceName) -> bool {
        self.places.get(place).is_none_or(|view| !view.held_down)
    }

    /// Returns whether `place` has usable backend servers of `service` according to the newest
    /// report of its VMs.
    ///
    /// Guards against a service whose backend servers hang at a place where those of other
    /// services are healthy: the hanging servers soon get no requests there, so only the other
    /// services' successes count and the place's health stays high. Without this check other
    /// failure domains would keep sending the service there.
    pub fn serves(&self, service: &ServiceName, place: &PlaceName, now: Millis) -> bool {
        let Some(view) = self.places.get(place) else {
            return true;
        };
        let counts = |r: &&Received| self.weight(now.since(r.at) + r.report.age) > 0.0;
        let newest = view.reports.values().filter(counts).max_by_key(|r| r.at);
        newest.is_none_or(|r| !r.report.without.contains(service))
    }

    /// Starts and ends the hold-downs of all places.
    ///
    /// Guards against flapping health, with which traffic would swing back and forth and keep the
    /// caches at both ends cold. An unhealthy place is held down for a period that doubles with
    /// each failure.
    pub fn update_hold_downs(&mut self, now: Millis) {
        let names: Vec<PlaceName> = self.places.keys().cloned().collect();
        for name in names {
            let health = self.health(&name, now);
            let tuning = self.tuning;
            let view = self.view(&name, now);
            view.decay(now);
            if !view.held_down && health < UNHEALTHY_BELOW {
                let doubled = tuning.hold_down.0 << view.failures.min(10);
                view.hold_until = now + Millis(doubled.min(tuning.hold_down_max.0));
                view.failures += 1;
                view.held_down = true;
                view.changed_at = now;
            } else if view.held_down && health >= HEALTHY_FROM && now >= view.hold_until {
                view.held_down = false;
                view.changed_at = now;
            }
            let reset_after = tuning.hold_down_max.0 * FAILURE_RESET_MULTIPLE;
            if !view.held_down && now.since(view.changed_at).0 >= reset_after {
                view.failures = 0;
            }
            let stale = tuning.report_stale;
            view.reports.retain(|_, r| now.since(r.at) < stale);
        }
    }

    fn view(&mut self, place: &PlaceName, now: Millis) -> &mut PlaceView {
        if !self.places.contains_key(place) {
            self.places.insert(place.clone(), PlaceView::new(now));
        }
        self.places.get_mut(place).expect("inserted above")
    }
}
