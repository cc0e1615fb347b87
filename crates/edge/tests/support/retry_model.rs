//! A discrete-event simulation of callers, VMs and a service whose servers fail for short times, with
//! simulated time. The budgets that grant the retries are closures, so that ways to grant them can
//! be compared.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use heatherknot_edge::budget::RetryBudget;
use heatherknot_edge::settings::Bounds;
use heatherknot_types::prelude::*;

// All times are in milliseconds.

/// Time that a request takes to a server, and that a rejection takes back.
const LATENCY: std::ops::Range<u64> = 1..60;
/// Longest time that a frozen VM holds a retry between its grant and its arrival.
const FREEZE: u64 = 1_500;
/// How long a VM that was killed is down.
const DOWNTIME: u64 = 800;
/// Retries that a request may make.
const MAX_RETRIES: u32 = 2;

/// What a VM asks of its part of the retry budget.
#[derive(Clone, Copy, Debug)]
pub enum Query {
    /// Counts a request.
    Request,
    /// Asks for a retry, with the number of VMs that may be sending.
    Retry(usize),
}

/// One VM's part of a retry budget; answers whether a retry is granted.
pub type Budget = Box<dyn FnMut(Millis, Query) -> bool>;

/// Bounds of the simulated deployment.
pub fn bounds() -> Bounds {
    Bounds {
        retry_ratio: 0.2,
        retry_slack: 60.0,
        retry_window: Millis(10_000),
        ..Bounds::default()
    }
}

/// Creates a VM's part of the product's budget.
pub fn product_budget(started: Millis) -> Budget {
    let mut budget = RetryBudget::new(&bounds(), started);
    Box::new(move |now, query| match query {
        Query::Request => {
            budget.record_request(now);
            false
        }
        Query::Retry(vms) => budget.try_take(now, vms).is_granted(),
    })
}

/// A disturbance of the VMs or of where callers send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// This share of the callers moves to other VMs.
    Moved(f64),
    /// This share of the VMs is killed and starts again.
    Killed(f64),
    /// All VMs start again, one after the other, within this time.
    Rolled(u64),
    /// This share of the VMs stands still for a short time.
    Frozen(f64),
    /// As many VMs as there are join.
    ScaledOut,
}

/// The parameters of one simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub vms: usize,
    /// Requests per second of the service.
    pub rate: f64,
    /// Part of the rate by which it swings, with a period of 36 s.
    pub swing: f64,
    /// Times during which servers reject, each with its end and the share that is rejected.
    pub failures: Vec<(u64, u64, f64)>,
    pub events: Vec<(u64, Event)>,
    pub duration: u64,
    pub seed: u64,
}

/// The outcome of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    requests: Vec<u64>,
    retries: Vec<u64>,
    pub denied: u64,
}

impl Outcome {
    /// Returns the highest number of retries in a window as a share of those allowed then.
    pub fn worst_share(&self) -> f64 {
        let bounds = bounds();
        let window = bounds.retry_window.0;
        let count = |times: &[u64], from: u64, to: u64| {
            times.partition_point(|at| *at <= to) - times.partition_point(|at| *at < from)
        };
        let share = |to: &u64| {
            let requests_before =
                |age: u64| count(&self.requests, (to - age).saturating_sub(window), to - age);
            let ages = [0, window / 2, window];
            let most = ages
                .map(|age| requests_before(age.min(*to)))
                .into_iter()
                .max();
            let allowed = bounds.retry_ratio * most.unwrap_or(0) as f64 + bounds.retry_slack;
            count(&self.retries, to.saturating_sub(window), *to) as f64 / allowed
        };
        self.retries.iter().map(share).fold(0.0, f64::max)
    }

    /// Returns the number of retries that were granted.
    pub fn granted(&self) -> u64 {
        self.retries.len() as u64
    }
}

struct Vm {
    budget: Budget,
    down_until: u64,
    frozen_until: u64,
    /// Part of the callers.
    weight: f64,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    new_budget: &'a dyn Fn(Millis) -> Budget,
    rng: fastrand::Rng,
    vms: Vec<Vm>,
    /// Rejections that reach a VM: when, which VM, and which retry is next.
    rejections: BinaryHeap<Reverse<(u64, usize, u32)>>,
    outcome: Outcome,
}

/// Runs a scenario. `new_budget` creates a VM's part of the budget when its daemon starts.
pub fn simulate(scenario: &Scenario, new_budget: &dyn Fn(Millis) -> Budget) -> Outcome {
    let mut simulation = Simulation {
        scenario,
        new_budget,
        rng: fastrand::Rng::with_seed(scenario.seed),
        vms: Vec::new(),
        rejections: BinaryHeap::new(),
        outcome: Outcome::default(),
    };
    for _ in 0..scenario.vms {
        simulation.add_vm(0);
    }
    let mut events = scenario.events.clone();
    events.sort_by_key(|(at, _)| *at);
    let mut events = events.into_iter().peekable();
    let mut next_request = 0.0;
    while (next_request as u64) < scenario.duration {
        let now = next_request as u64;
        while let Some((at, event)) = events.next_if(|(at, _)| *at <= now) {
            simulation.apply(at, event);
        }
        simulation.process_rejections(now);
        simulation.request(now);
        let swing = scenario.swing * (now as f64 / 36_000.0 * std::f64::consts::TAU).sin();
        let rate = scenario.rate * (1.0 + swing);
        next_request += -simulation.rng.f64().max(1e-9).ln() * 1_000.0 / rate;
    }
    let mut outcome = simulation.outcome;
    outcome.retries.sort_unstable();
    outcome
}

impl Simulation<'_> {
    fn add_vm(&mut self, now: u64) {
        self.vms.push(Vm {
            budget: (self.new_budget)(Millis(now)),
            down_until: 0,
            frozen_until: 0,
            weight: 0.2 + self.rng.f64(),
        });
    }

    fn restart(&mut self, vm: usize, at: u64) {
        let up_at = at + DOWNTIME;
        self.vms[vm].budget = (self.new_budget)(Millis(up_at));
        self.vms[vm].down_until = up_at;
    }

    fn apply(&mut self, now: u64, event: Event) {
        let count = self.vms.len();
        let hits = |share: f64| ((count as f64 * share).ceil() as usize).min(count);
        match event {
            Event::Moved(share) => {
                let from = hits(share).min(count - 1);
                let moved: f64 = self.vms[..from].iter().map(|vm| vm.weight).sum();
                self.vms[..from].iter_mut().for_each(|vm| vm.weight = 0.0);
                let each = moved / (count - from) as f64;
                self.vms[from..].iter_mut().for_each(|vm| vm.weight += each);
            }
            Event::Killed(share) => (0..hits(share)).for_each(|vm| self.restart(vm, now)),
            Event::Rolled(within) => {
                for vm in 0..count {
                    self.restart(vm, now + within * vm as u64 / count as u64);
                }
            }
            Event::Frozen(share) => {
                let frozen = &mut self.vms[..hits(share)];
                frozen
                    .iter_mut()
                    .for_each(|vm| vm.frozen_until = now + FREEZE);
            }
            Event::ScaledOut => (0..count).for_each(|_| self.add_vm(now)),
        }
    }

    /// Selects the VM of a request by weight.
    fn select_vm(&mut self) -> usize {
        let total: f64 = self.vms.iter().map(|vm| vm.weight).sum();
        let mut draw = self.rng.f64() * total;
        let found = self.vms.iter().position(|vm| {
            draw -= vm.weight;
            draw <= 0.0
        });
        found.unwrap_or(self.vms.len() - 1)
    }

    fn request(&mut self, now: u64) {
        self.outcome.requests.push(now);
        let vm = self.select_vm();
        if now >= self.vms[vm].down_until {
            (self.vms[vm].budget)(Millis(now), Query::Request);
            self.arrive(now, vm, 0);
        }
    }

    /// Lets a request arrive at a server, which may reject it.
    fn arrive(&mut self, now: u64, vm: usize, retries: u32) {
        let failures = &self.scenario.failures;
        let failing = failures
            .iter()
            .find(|(from, to, _)| (*from..*to).contains(&now));
        let is_rejected = failing.is_some_and(|(.., share)| self.rng.f64() < *share);
        if is_rejected && retries < MAX_RETRIES {
            let at = now + self.rng.u64(LATENCY);
            self.rejections.push(Reverse((at, vm, retries + 1)));
        }
    }

    fn process_rejections(&mut self, until: u64) {
        let vms = self.vms.len() + (self.vms.len() / 4).max(1);
        while let Some(Reverse((at, vm, number))) = self.rejections.peek().copied() {
            if at > until {
                return;
            }
            self.rejections.pop();
            if at < self.vms[vm].down_until {
                continue;
            }
            if !(self.vms[vm].budget)(Millis(at), Query::Retry(vms)) {
                self.outcome.denied += 1;
                continue;
            }
            let sent = at.max(self.vms[vm].frozen_until);
            let arrival = sent + self.rng.u64(LATENCY);
            self.outcome.retries.push(arrival);
            self.arrive(arrival, vm, number);
        }
    }
}
