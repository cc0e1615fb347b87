//! A trace in the making.

use heatherknot_replay::trace::{
    BackendChange, Comparison, Demand, Event, FORMAT_VERSION, Head, MessageDelay, Metric, Seen,
    StatedOutcome, Trace, VmChange, VmState,
};
use heatherknot_types::prelude::*;

use crate::layout::Layout;

pub struct Story {
    pub trace: Trace,
    layout: Layout,
    rng: fastrand::Rng,
}

/// How far a rate that varies goes to either side, in thousandths.
const VARIES_PERMILLE: i64 = 60;

impl Story {
    pub fn new(layout: Layout, name: &str, seed: u64, seconds: u64, story: &[&str]) -> Self {
        let head = Head {
            version: FORMAT_VERSION,
            name: name.into(),
            story: story.iter().map(|line| (*line).to_owned()).collect(),
            seed,
            duration_ms: Millis(seconds * 1000),
            step_ms: Millis(100),
            message_delay: MessageDelay {
                within_region_ms: Millis(1),
                between_regions_ms: Millis(55),
            },
            report_lag_ms: Millis(2_000),
            caller_retries: 0,
            requests_per_answer: 2.0,
            vms: layout.vms.clone(),
            service_times: layout.service_times(),
            plan: layout.plan(),
        };
        let trace = Trace {
            file: String::new(),
            head,
            events: Vec::new(),
            outcomes: Vec::new(),
        };
        Self {
            trace,
            layout,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    pub fn domains(&self) -> Vec<DomainName> {
        self.layout.domains()
    }

    /// Gives a VM of a failure domain that can have seen something.
    pub fn witness(&self, domain: &DomainName) -> VmName {
        self.layout.vms[domain][0].clone()
    }

    pub fn event(&mut self, secs: u64, vm: VmName, seen: Seen) {
        let at = Millis(secs * 1000);
        self.trace.events.push(Event { at, vm, seen });
    }

    /// Sets the demand of one source domain.
    pub fn demand(&mut self, secs: u64, source: &DomainName, ask: &Asked, per_second: f64) {
        let demand = Demand {
            source: source.clone(),
            block: String::new(),
            service: ask.service.into(),
            class: ask.class,
            at_most_once: ask.at_most_once,
            per_second: (per_second * 100.0).round() / 100.0,
        };
        let vm = self.witness(source);
        self.event(secs, vm, Seen::Demand(demand));
    }

    /// Sets the demand of all source domains, split evenly but for some variation.
    pub fn demand_everywhere(&mut self, secs: u64, ask: &Asked, per_second: f64) {
        let domains = self.domains();
        let each = per_second / domains.len() as f64;
        for domain in &domains {
            let varied = self.rng.i64(-VARIES_PERMILLE..=VARIES_PERMILLE) as f64 / 1000.0;
            self.demand(secs, domain, ask, each * (1.0 + varied));
        }
    }

    pub fn vm(&mut self, secs: u64, subject: &VmName, state: VmState, domain: Option<DomainName>) {
        let change = VmChange {
            subject: subject.clone(),
            state,
            domain,
            listed_after_ms: Millis(10_000),
        };
        self.event(secs, subject.clone(), Seen::Vm(change));
    }

    pub fn backend(&mut self, secs: u64, change: BackendChange) {
        let domain = self.trace.head.plan.places[&change.place].domain.clone();
        let vm = self.witness(&domain);
        self.event(secs, vm, Seen::Backend(change));
    }

    pub fn states(&mut self, outcome: StatedOutcome) {
        self.trace.outcomes.push(outcome);
    }

    /// States what holds in every trace: no cap is passed.
    pub fn never_over(&mut self) {
        self.states(at_most(
            "no place, region or link is over its cap",
            Metric::Overloads,
            0.0,
        ));
    }
}

/// What callers ask for.
#[derive(Clone, Copy)]
pub struct Asked {
    pub service: &'static str,
    pub class: Class,
    pub at_most_once: bool,
}

impl Asked {
    pub const fn interactive(service: &'static str) -> Self {
        Self {
            service,
            class: Class::Interactive,
            at_most_once: false,
        }
    }

    pub const fn bulk(service: &'static str) -> Self {
        Self {
            service,
            class: Class::Bulk,
            at_most_once: false,
        }
    }

    pub const fn once(service: &'static str) -> Self {
        Self {
            service,
            class: Class::Interactive,
            at_most_once: true,
        }
    }
}

pub fn well(place: &str) -> BackendChange {
    BackendChange {
        place: place.into(),
        service: None,
        working_permille: 1000,
        service_ms: None,
        answer_lost_permille: 0,
        cold: None,
        healthy: true,
    }
}

pub fn at_most(name: &str, metric: Metric, value: f64) -> StatedOutcome {
    stated(name, metric, Comparison::AtMost, value)
}

pub fn at_least(name: &str, metric: Metric, value: f64) -> StatedOutcome {
    stated(name, metric, Comparison::AtLeast, value)
}

fn stated(name: &str, metric: Metric, is: Comparison, value: f64) -> StatedOutcome {
    StatedOutcome {
        name: name.into(),
        metric,
        is,
        value,
        from_ms: Millis(0),
        to_ms: None,
        account: None,
        service: None,
        class: None,
        source: None,
        place: None,
        region: None,
    }
}

/// Narrows a stated outcome.
pub trait Narrow {
    fn from(self, secs: u64) -> Self;
    fn to(self, secs: u64) -> Self;
    fn service(self, name: &str) -> Self;
    fn class(self, class: Class) -> Self;
    fn account(self, name: &str) -> Self;
    fn place(self, name: &str) -> Self;
    fn region(self, name: &str) -> Self;
    fn source(self, name: &str) -> Self;
}

impl Narrow for StatedOutcome {
    fn from(mut self, secs: u64) -> Self {
        self.from_ms = Millis(secs * 1000);
        self
    }

    fn to(mut self, secs: u64) -> Self {
        self.to_ms = Some(Millis(secs * 1000));
        self
    }

    fn service(mut self, name: &str) -> Self {
        self.service = Some(name.into());
        self
    }

    fn class(mut self, class: Class) -> Self {
        self.class = Some(class);
        self
    }

    fn account(mut self, name: &str) -> Self {
        self.account = Some(name.into());
        self
    }

    fn place(mut self, name: &str) -> Self {
        self.place = Some(name.into());
        self
    }

    fn region(mut self, name: &str) -> Self {
        self.region = Some(name.into());
        self
    }

    fn source(mut self, name: &str) -> Self {
        self.source = Some(name.into());
        self
    }
}

/// Gives a rate that climbs evenly from `low` to `high` and back: `at` runs from 0 to 1.
pub fn hill(low: f64, high: f64, at: f64) -> f64 {
    let height = 1.0 - (2.0 * at - 1.0).abs();
    low + (high - low) * height
}
