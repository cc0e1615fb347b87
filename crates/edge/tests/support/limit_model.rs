//! A discrete-event simulation of callers, entry VMs and backend servers with request limits, with
//! simulated time and network. It uses the real code that learns of limits and issues permits.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::rc::Rc;

use heatherknot_edge::presence::{VmEntry, reachable_share};
use heatherknot_edge::request_limit::messages::{PermitAnswer, PermitRequest};
use heatherknot_edge::request_limit::observed::Observation;
use heatherknot_edge::request_limit::state::RequestLimits;
use heatherknot_edge::routing_state::RoutingState;
use heatherknot_edge::upstream::Upstream;
use heatherknot_http::PoolConfig;
use heatherknot_types::prelude::*;

use super::{TestClock, dialect, put};

// All times are in milliseconds.

/// The clock's time at the start of the simulation.
const EPOCH: u64 = 1_000_000;
const LOCAL_LATENCY: u64 = 1;
const REMOTE_LATENCY: u64 = 55;
/// How long a peer with a small part of a core takes to handle a message.
const HANDLING_TIME: std::ops::Range<u64> = 1..12;
const SERVICE_TIME: std::ops::Range<u64> = 40..350;
/// One response in this many is late, by this long.
const LATE_RESPONSE_INTERVAL: u64 = 50;
const LATE_RESPONSE_DELAY: u64 = 2_000;
/// Timeout of a call to the issuer, and the delay before the next one.
const CALL_TIMEOUT: u64 = 250;
/// After this time a VM knows that another one is gone or back.
const VIEW_DELAY: std::ops::Range<u64> = 300..3_500;
const VM_DOWNTIME: u64 = 1_500;
/// Time between the start of a VM and its first copy of the store's keys.
const START_TIME: u64 = 300;
/// Time for which a VM that is not seen any more may still be running.
const VM_COUNT_WINDOW: u64 = 30_000;
/// Number of servers that may deny a request a permit.
const MAX_DENIED: u32 = 2;
/// Window in which the platform counts requests, the time before it does, and how long a VM must
/// have known of the limit for its requests to count.
const WINDOW: u64 = 4_000;
const STABLE: u64 = 4_000;
const TOLD_BEFORE: u64 = 500;

/// How VMs share a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Each VM uses an equal part.
    EqualParts,
    /// One VM issues a permit for each request.
    Permits,
    /// Requests are handed over to the VM that issues the permits.
    HandedOver,
}

/// A fault or a change of the limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// All servers with a limit change it; `None` removes it.
    Limit(Option<f64>),
    /// The issuer of the first server is killed.
    IssuerKilled,
    /// A VM is killed.
    VmKilled,
    /// All VMs are killed.
    AllKilled,
    /// A domain is cut off from the other VMs for this time.
    DomainCut(u64),
    /// The issuer of the first server hangs for this time.
    IssuerFrozen(u64),
}

/// The parameters of one simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub regions: usize,
    pub domains: usize,
    pub vms: usize,
    pub servers: usize,
    /// Number of servers with a limit.
    pub limited: usize,
    /// Requests per second for each server.
    pub rate: f64,
    pub policy: Policy,
    /// Events, each with its time.
    pub events: Vec<(u64, Event)>,
    pub duration: u64,
    pub seed: u64,
}

/// An arrival at a server.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: u64,
    /// Whether its VM knew of the limit for long enough and was not disturbed.
    counts: bool,
}

/// The outcome of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    arrivals: Vec<Vec<Arrival>>,
    limits: Vec<(u64, Option<f64>)>,
    /// When requests entered whose first choice was each limited server.
    wanted: Vec<Vec<u64>>,
    pub refused: u32,
    pub served: u32,
    /// Number of requests for permits, and bytes of all messages about limits.
    pub calls: u32,
    pub bytes: u64,
    /// Time that requests waited for permits.
    pub waits: Vec<u64>,
    duration: u64,
}

impl Outcome {
    /// Returns the largest excess over what the platform allows in any window, over all servers,
    /// counting the requests of undisturbed VMs or those of all.
    pub fn worst_excess(&self, only_counted: bool) -> f64 {
        let of_server = |arrivals: &Vec<Arrival>| {
            let times = arrivals.iter().filter(|a| a.counts || !only_counted);
            let times: Vec<u64> = times.map(|a| a.at).collect();
            let excess = times.iter().enumerate().filter_map(|(n, begin)| {
                let allowed = self.allowed(*begin)?;
                let count = times[n..].iter().take_while(|at| **at < begin + WINDOW);
                Some(count.count() as f64 - allowed)
            });
            excess.fold(f64::NEG_INFINITY, f64::max)
        };
        let limited = self.arrivals.iter().map(of_server);
        limited.fold(f64::NEG_INFINITY, f64::max)
    }

    /// Returns the number of requests allowed in the window that begins at `begin`; `None` while
    /// there is no limit, or one that was stated or lowered within [`STABLE`].
    fn allowed(&self, begin: u64) -> Option<f64> {
        let end = begin + WINDOW;
        let in_force = self.limits.iter().rfind(|(at, _)| *at <= begin);
        let (at, limit) = in_force.copied()?;
        let later = self
            .limits
            .iter()
            .filter(|(at, _)| *at > begin && *at < end);
        let highest = later.map(|(_, limit)| limit.unwrap_or(f64::INFINITY));
        let limit = highest.fold(limit?, f64::max);
        (begin >= at + STABLE && limit.is_finite()).then_some(1.5 * limit * 4.0 + 5.0)
    }

    /// Returns the number of arrivals at limited servers after `from` as a fraction of the requests
    /// whose first choice they were.
    pub fn served_fraction(&self, from: u64) -> f64 {
        let arrivals = self.arrivals.iter().flatten().filter(|a| a.at >= from);
        let wanted = self.wanted.iter().flatten().filter(|at| **at >= from);
        arrivals.count() as f64 / wanted.count() as f64
    }

    /// Returns which part of the limits was used from `from` on, while the limits did not change.
    pub fn used(&self, from: u64, limit: f64) -> f64 {
        let arrivals = self.arrivals.iter().flatten().filter(|a| a.at >= from);
        let seconds = (self.duration - from) as f64 / 1000.0;
        arrivals.count() as f64 / (limit * seconds * self.arrivals.len() as f64)
    }
}

struct Vm {
    entry: VmEntry,
    limits: Rc<RequestLimits>,
    servers: Vec<Rc<Upstream>>,
    /// Which VMs this one takes for alive.
    sees: Vec<bool>,
    /// Highest number of those, with its time.
    most: (u64, usize),
    up_from: u64,
    frozen_until: u64,
    cut_until: u64,
    disturbed_at: Option<u64>,
    told_at: HashMap<usize, u64>,
    /// Tokens of [`Policy::EqualParts`] for each server, with the time of their refill.
    own_tokens: HashMap<usize, (f64, u64)>,
}

#[derive(Clone, Debug)]
struct Req {
    entered_at: u64,
    order: Vec<usize>,
    denied: u32,
    tried: Vec<usize>,
}

/// A call that asks an issuer for a permit.
#[derive(Clone, Debug)]
struct Call {
    id: u64,
    vm: usize,
    server: usize,
    asked_at: u64,
    req: Req,
}

#[derive(Debug)]
enum Step {
    Request(usize, Req),
    /// A message reaches a VM; a call, if it is one, is to be answered.
    Asked(usize, PermitRequest, Option<Call>),
    Answered(Call, PermitAnswer),
    /// The head of a domain passes on to a VM what another one told.
    Relayed(usize, usize, PermitRequest),
    TimedOut(Call),
    Arrived(usize, usize, u64),
    Responded(usize, usize, u64, Option<f64>),
    Fault(Event),
    Seen(usize, usize, bool),
    Up(usize),
}

struct Model {
    scenario: Scenario,
    clock: TestClock,
    now: u64,
    rng: fastrand::Rng,
    vms: Vec<Vm>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    steps: HashMap<u64, Step>,
    next_step: u64,
    next_call: u64,
    /// The calls that wait for their answers, with the VMs that made them.
    open_calls: HashMap<u64, usize>,
    limit: Option<f64>,
    outcome: Outcome,
}

/// Simulates a scenario.
pub fn simulate(scenario: &Scenario) -> Outcome {
    let mut model = Model::new(scenario.clone());
    model.schedule_requests();
    for (at, event) in scenario.events.clone() {
        model.push(at, Step::Fault(event));
    }
    while let Some(Reverse((at, id))) = model.queue.pop() {
        if at > scenario.duration {
            break;
        }
        model.clock.advance(at - model.now);
        model.now = at;
        let step = model.steps.remove(&id).expect("a step is queued once");
        model.run(step);
    }
    model.outcome
}

impl Model {
    fn new(scenario: Scenario) -> Self {
        let clock = TestClock::default();
        clock.advance(EPOCH);
        let entries: Vec<VmEntry> = (0..scenario.vms).map(|n| entry(&scenario, n)).collect();
        let vms = entries
            .iter()
            .map(|entry| start_vm(&scenario, entry, &clock));
        let mut model = Self {
            now: 0,
            rng: fastrand::Rng::with_seed(scenario.seed),
            vms: vms.collect(),
            queue: BinaryHeap::new(),
            steps: HashMap::new(),
            next_step: 0,
            next_call: 0,
            open_calls: HashMap::new(),
            limit: None,
            outcome: Outcome {
                arrivals: vec![Vec::new(); scenario.limited],
                wanted: vec![Vec::new(); scenario.limited],
                duration: scenario.duration,
                ..Outcome::default()
            },
            clock,
            scenario,
        };
        (0..model.vms.len()).for_each(|vm| model.update_view(vm));
        model
    }

    fn millis(&self, at: u64) -> Millis {
        Millis(at + EPOCH)
    }

    fn push(&mut self, at: u64, step: Step) {
        self.next_step += 1;
        self.queue.push(Reverse((at, self.next_step)));
        self.steps.insert(self.next_step, step);
    }

    fn schedule_requests(&mut self) {
        let per_ms = self.scenario.rate * self.scenario.servers as f64 / 1000.0;
        let mut at = 0.0;
        while (at as u64) < self.scenario.duration {
            at -= self.rng.f64().max(1e-12).ln() / per_ms;
            let mut order: Vec<usize> = (0..self.scenario.servers).collect();
            self.rng.shuffle(&mut order);
            if let Some(wanted) = self.outcome.wanted.get_mut(order[0]) {
                wanted.push(at as u64);
            }
            let req = Req {
                entered_at: at as u64,
                order,
                denied: 0,
                tried: Vec::new(),
            };
            // Some VMs get more requests than others.
            let vm = self
                .rng
                .usize(..self.vms.len())
                .min(self.rng.usize(..self.vms.len()));
            self.push(at as u64, Step::Request(vm, req));
        }
    }

    /// Lets all VMs learn what a VM has to tell them, by way of the heads of their domains.
    fn announce(&mut self, from: usize) {
        let limits = Rc::clone(&self.vms[from].limits);
        let reports = limits.reports_of(&limits.take_announcements());
        if reports.is_empty() {
            return;
        }
        for to in (0..self.vms.len()).filter(|to| *to != from) {
            let hop = LOCAL_LATENCY + self.rng.u64(HANDLING_TIME);
            for report in reports.clone() {
                self.push(self.now + hop, Step::Relayed(from, to, report));
            }
        }
    }

    fn run(&mut self, step: Step) {
        if let Some(vm) = acting_vm(&step) {
            let frozen_until = self.vms[vm].frozen_until;
            if self.now < frozen_until {
                return self.push(frozen_until, step);
            }
            if self.now < self.vms[vm].up_from && !matches!(step, Step::Up(_)) {
                return;
            }
        }
        match step {
            Step::Request(vm, req) => self.send(vm, req),
            Step::Asked(to, msg, call) => self.answer(to, &msg, call),
            Step::Relayed(from, to, report) => self.send_message(from, to, report, None),
            Step::Answered(call, answer) => self.receive_answer(call, &answer),
            Step::TimedOut(call) => self.time_out(call),
            Step::Arrived(vm, server, sent_at) => self.arrive(vm, server, sent_at),
            Step::Responded(vm, server, sent_at, limit) => {
                self.respond(vm, server, sent_at, limit);
            }
            Step::Fault(event) => self.strike(event),
            Step::Seen(vm, other, is_up) => {
                self.vms[vm].sees[other] = is_up;
                self.update_view(vm);
            }
            Step::Up(vm) => self.start(vm),
        }
    }

    /// Sends a request to the first server that this VM may send it to, or refuses it.
    fn send(&mut self, vm: usize, req: Req) {
        let now = self.millis(self.now);
        let servers = &self.vms[vm].servers;
        let is_free = |server: &&usize| {
            let upstream = &servers[**server];
            let is_excluded = req.denied >= MAX_DENIED && upstream.is_limited();
            !is_excluded && !upstream.is_blocked_by_limit(now) && !req.tried.contains(server)
        };
        let Some(server) = req.order.iter().find(is_free).copied() else {
            self.outcome.refused += 1;
            return;
        };
        if !servers[server].is_limited() {
            return self.deliver(vm, server);
        }
        match self.scenario.policy {
            Policy::EqualParts => self.take_own(vm, server, req),
            Policy::Permits | Policy::HandedOver => self.ask(vm, server, req),
        }
    }

    fn take_own(&mut self, vm: usize, server: usize, mut req: Req) {
        let limit = limit_of(&self.vms[vm].servers[server]);
        let rate = limit / self.vms[vm].most.1.max(1) as f64;
        let draw = self.rng.f64();
        let tokens = self.vms[vm].own_tokens.entry(server);
        let (level, refilled_at) = tokens.or_insert((draw, self.now));
        *level = (*level + (self.now - *refilled_at) as f64 / 1000.0 * rate).min(1.0);
        *refilled_at = self.now;
        if *level >= 1.0 {
            *level -= 1.0;
            return self.deliver(vm, server);
        }
        req.denied += 1;
        req.tried.push(server);
        self.send(vm, req);
    }

    fn ask(&mut self, vm: usize, server: usize, req: Req) {
        let limits = Rc::clone(&self.vms[vm].limits);
        let upstream = Rc::clone(&self.vms[vm].servers[server]);
        if limits.use_advance(&upstream) {
            return self.deliver(vm, server);
        }
        let issuer = limits.issuer_of(&upstream);
        let issuer = issuer.and_then(|name| self.vm_named(&name));
        match issuer {
            Some(issuer) if issuer != vm => {
                let now = self.millis(self.now);
                let msg = PermitRequest::new(&upstream, true, now).expect("it has a limit");
                self.call(vm, issuer, server, msg, req);
            }
            _ => match limits.issue(&upstream) {
                Ok(_) => {
                    self.outcome.waits.push(self.now - req.entered_at);
                    self.deliver(vm, server);
                }
                Err(wait) => self.deny(vm, server, wait, req),
            },
        }
    }

    fn call(&mut self, vm: usize, issuer: usize, server: usize, msg: PermitRequest, req: Req) {
        self.next_call += 1;
        let call = Call {
            id: self.next_call,
            vm,
            server,
            asked_at: self.now,
            req,
        };
        self.open_calls.insert(call.id, vm);
        self.outcome.calls += 1;
        self.push(self.now + CALL_TIMEOUT, Step::TimedOut(call.clone()));
        self.send_message(vm, issuer, msg, Some(call));
    }

    fn send_message(&mut self, from: usize, to: usize, msg: PermitRequest, call: Option<Call>) {
        self.outcome.bytes += json_len(&msg);
        if !self.is_cut(from, to) {
            let at = self.now + self.latency(from, to) + self.rng.u64(HANDLING_TIME);
            self.push(at, Step::Asked(to, msg, call));
        }
    }

    fn answer(&mut self, to: usize, msg: &PermitRequest, call: Option<Call>) {
        let answer = self.vms[to].limits.answer(msg);
        self.announce(to);
        let Some(call) = call else { return };
        self.outcome.bytes += json_len(&answer);
        if self.is_cut(call.vm, to) {
            return;
        }
        if self.scenario.policy == Policy::HandedOver && answer.wait.is_none() {
            if self.open_calls.remove(&call.id).is_some() {
                self.deliver(to, call.server);
            }
            return;
        }
        let at = self.now + self.latency(call.vm, to) + self.rng.u64(HANDLING_TIME);
        self.push(at, Step::Answered(call, answer));
    }

    fn receive_answer(&mut self, call: Call, answer: &PermitAnswer) {
        if self.open_calls.remove(&call.id).is_none() {
            return;
        }
        let upstream = Rc::clone(&self.vms[call.vm].servers[call.server]);
        match self.vms[call.vm].limits.apply_answer(&upstream, answer) {
            Ok(()) => {
                self.outcome.waits.push(self.now - call.asked_at);
                self.deliver(call.vm, call.server);
            }
            Err(wait) => self.deny(call.vm, call.server, wait, call.req),
        }
    }

    fn time_out(&mut self, call: Call) {
        if self.open_calls.remove(&call.id).is_some() {
            self.deny(call.vm, call.server, Millis(CALL_TIMEOUT), call.req);
        }
    }

    fn deny(&mut self, vm: usize, server: usize, wait: Millis, mut req: Req) {
        let now = self.millis(self.now);
        let upstream = Rc::clone(&self.vms[vm].servers[server]);
        if let Some(state) = upstream.request_limit.borrow_mut().as_mut() {
            state.record_denial(wait, now);
        }
        req.denied += 1;
        self.send(vm, req);
    }

    fn deliver(&mut self, vm: usize, server: usize) {
        self.outcome.served += 1;
        let at = self.now + self.server_latency(vm, server);
        self.push(at, Step::Arrived(vm, server, self.now));
    }

    fn arrive(&mut self, vm: usize, server: usize, sent_at: u64) {
        let sender = &self.vms[vm];
        let told_at = sender.told_at.get(&server);
        let is_told = told_at.is_some_and(|at| at + TOLD_BEFORE <= self.now);
        let is_calm = sender.disturbed_at.is_none_or(|at| at + STABLE < self.now);
        if let Some(arrivals) = self.outcome.arrivals.get_mut(server) {
            arrivals.push(Arrival {
                at: self.now,
                counts: is_told && is_calm,
            });
        }
        let limit = self.limit.filter(|_| server < self.scenario.limited);
        let mut took = self.rng.u64(SERVICE_TIME);
        if self.rng.u64(..LATE_RESPONSE_INTERVAL) == 0 {
            took += LATE_RESPONSE_DELAY;
        }
        let at = self.now + took + self.server_latency(vm, server);
        self.push(at, Step::Responded(vm, server, sent_at, limit));
    }

    fn respond(&mut self, vm: usize, server: usize, sent_at: u64, limit: Option<f64>) {
        if sent_at < self.vms[vm].up_from {
            return;
        }
        if limit.is_some() {
            self.vms[vm].told_at.entry(server).or_insert(self.now);
        }
        let observation = Observation {
            limit,
            sent_at: self.millis(sent_at),
            received_at: self.millis(self.now),
        };
        let upstream = Rc::clone(&self.vms[vm].servers[server]);
        let limits = Rc::clone(&self.vms[vm].limits);
        let has_changed = limits.observe(&upstream, observation, "own").is_some();
        self.announce(vm);
        let issuer = limits.issuer_of(&upstream);
        let issuer = issuer.and_then(|name| self.vm_named(&name));
        let Some(issuer) = issuer.filter(|issuer| has_changed && *issuer != vm) else {
            return;
        };
        let msg = PermitRequest::new(&upstream, false, self.millis(self.now));
        self.send_message(vm, issuer, msg.expect("it has a limit"), None);
    }

    fn strike(&mut self, event: Event) {
        let issuer = self.first_issuer();
        match event {
            Event::Limit(limit) => {
                self.limit = limit;
                self.outcome.limits.push((self.now, limit));
            }
            Event::IssuerKilled => self.kill(issuer),
            Event::VmKilled => {
                let vm = self.rng.usize(..self.vms.len());
                self.kill(vm);
            }
            Event::AllKilled => (0..self.vms.len()).for_each(|vm| self.kill(vm)),
            Event::DomainCut(time) => self.cut(issuer, time),
            Event::IssuerFrozen(time) => {
                self.vms[issuer].frozen_until = self.now + time;
                self.vms[issuer].disturbed_at = Some(self.now + time);
                self.spread(issuer, self.now, self.now + time);
            }
        }
    }

    /// Returns the issuer of the first server according to the first VM that runs.
    fn first_issuer(&self) -> usize {
        let running = self.vms.iter().find(|vm| vm.up_from <= self.now);
        let issuer = running.and_then(|vm| vm.limits.issuer_of(&vm.servers[0]));
        issuer.and_then(|name| self.vm_named(&name)).unwrap_or(0)
    }

    fn kill(&mut self, vm: usize) {
        if self.vms[vm].up_from > self.now {
            return;
        }
        let up_at = self.now + VM_DOWNTIME;
        self.vms[vm].up_from = up_at + START_TIME;
        self.vms[vm].disturbed_at = Some(up_at + START_TIME);
        self.open_calls.retain(|_, of| *of != vm);
        self.push(up_at + START_TIME, Step::Up(vm));
        self.spread(vm, self.now, up_at);
    }

    /// Starts a killed VM, which knows the entries of all VMs from the store.
    fn start(&mut self, vm: usize) {
        let entry = self.vms[vm].entry.clone();
        let mut fresh = start_vm(&self.scenario, &entry, &self.clock);
        fresh.up_from = self.now;
        fresh.disturbed_at = Some(self.now);
        self.vms[vm] = fresh;
        self.update_view(vm);
    }

    fn cut(&mut self, member: usize, time: u64) {
        let domain = self.vms[member].entry.domain.clone();
        let is_inside = |vm: &Vm| vm.entry.domain == domain;
        let (inside, outside): (Vec<usize>, Vec<usize>) =
            (0..self.vms.len()).partition(|vm| is_inside(&self.vms[*vm]));
        for vm in &inside {
            self.vms[*vm].cut_until = self.now + time;
            self.vms[*vm].disturbed_at = Some(self.now + time);
        }
        for (a, b) in inside
            .iter()
            .flat_map(|a| outside.iter().map(move |b| (*a, *b)))
        {
            self.lose_sight(a, b, self.now, self.now + time);
            self.lose_sight(b, a, self.now, self.now + time);
        }
    }

    /// Lets the other VMs learn that a VM is gone, and that it is back.
    fn spread(&mut self, vm: usize, gone_at: u64, back_at: u64) {
        for other in (0..self.vms.len()).filter(|other| *other != vm) {
            self.lose_sight(other, vm, gone_at, back_at);
        }
    }

    fn lose_sight(&mut self, vm: usize, other: usize, gone_at: u64, back_at: u64) {
        let gone_at = gone_at + self.rng.u64(VIEW_DELAY);
        let back_at = (back_at + self.rng.u64(VIEW_DELAY)).max(gone_at + 1);
        self.push(gone_at, Step::Seen(vm, other, false));
        self.push(back_at, Step::Seen(vm, other, true));
    }

    fn update_view(&mut self, vm: usize) {
        let entries = self.vms.iter().enumerate();
        let seen = entries.filter(|(n, _)| *n == vm || self.vms[vm].sees[*n]);
        let seen: Vec<VmEntry> = seen.map(|(_, other)| other.entry.clone()).collect();
        let (live, now) = (seen.len(), self.now);
        let this = &mut self.vms[vm];
        if live >= this.most.1 || now > this.most.0 + VM_COUNT_WINDOW {
            this.most = (now, live);
        }
        this.limits.set_vms(&Rc::new(seen));
        this.limits.set_share(reachable_share(live, this.most.1));
    }

    fn vm_named(&self, name: &VmName) -> Option<usize> {
        self.vms.iter().position(|vm| vm.entry.name == *name)
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let cut = self.now < self.vms[a].cut_until.max(self.vms[b].cut_until);
        cut && self.vms[a].entry.domain != self.vms[b].entry.domain
    }

    fn latency(&self, a: usize, b: usize) -> u64 {
        match self.vms[a].entry.region == self.vms[b].entry.region {
            true => LOCAL_LATENCY,
            false => REMOTE_LATENCY,
        }
    }

    fn server_latency(&self, vm: usize, server: usize) -> u64 {
        match self.vms[vm].entry.region == self.vms[vm].servers[server].region {
            true => LOCAL_LATENCY,
            false => REMOTE_LATENCY,
        }
    }
}

/// Returns the VM that runs a step, if a VM does.
fn acting_vm(step: &Step) -> Option<usize> {
    match step {
        Step::Answered(call, _) | Step::TimedOut(call) => Some(call.vm),
        Step::Request(vm, _) | Step::Responded(vm, ..) | Step::Seen(vm, ..) | Step::Up(vm) => {
            Some(*vm)
        }
        Step::Asked(to, ..) => Some(*to),
        Step::Relayed(..) | Step::Arrived(..) | Step::Fault(_) => None,
    }
}

fn limit_of(upstream: &Upstream) -> f64 {
    let state = upstream.request_limit.borrow();
    let limit = state.as_ref().and_then(|state| state.observed.per_second());
    limit.unwrap_or(0.0)
}

fn json_len(msg: &impl serde::Serialize) -> u64 {
    let text = serde_json::to_string(msg).expect("a message serializes");
    text.len() as u64
}

fn domain_name(number: usize) -> String {
    format!("domain-{number}")
}

fn regions(scenario: &Scenario) -> BTreeMap<DomainName, RegionName> {
    let region = |number| format!("region-{}", number % scenario.regions);
    let domains = (0..scenario.domains).map(|number| {
        let (domain, region) = (domain_name(number), region(number));
        (domain.as_str().into(), region.as_str().into())
    });
    domains.collect()
}

fn entry(scenario: &Scenario, number: usize) -> VmEntry {
    let domain: DomainName = domain_name(number % scenario.domains).as_str().into();
    VmEntry {
        name: format!("vm-{number}").as_str().into(),
        region: regions(scenario)[&domain].clone(),
        domain,
        requests: "127.0.0.1:1".parse().expect("an address"),
        peers: "127.0.0.1:2".parse().expect("an address"),
        incarnation: Incarnation(1),
        link_mbps: 1_000,
        cpu_permille: 200,
        handed: Some("127.0.0.1:3".parse().expect("an address")),
        store_rtt: None,
    }
}

fn start_vm(scenario: &Scenario, entry: &VmEntry, clock: &TestClock) -> Vm {
    let mut routing_state = RoutingState::new(
        dialect(),
        regions(scenario),
        PoolConfig::default(),
        clock.clock(),
    );
    let changes = (0..scenario.servers).map(|n| {
        let value = format!("gallery {} ready 0 1", domain_name(n % scenario.domains));
        put(&format!("server/i-{n}"), value, 1)
    });
    routing_state.apply(&changes.collect::<Vec<_>>(), true);
    let of_id = |n: usize| {
        let id = format!("i-{n}").as_str().into();
        Rc::clone(routing_state.upstream(&id).expect("it is registered"))
    };
    let servers = (0..scenario.servers).map(of_id).collect();
    let routing_state = Rc::new(RefCell::new(routing_state));
    let limits = RequestLimits::new(clock.timer(), entry.name.clone(), routing_state);
    Vm {
        entry: entry.clone(),
        limits: Rc::new(limits),
        servers,
        sees: vec![true; scenario.vms],
        most: (0, 0),
        up_from: 0,
        frozen_until: 0,
        cut_until: 0,
        disturbed_at: None,
        told_at: HashMap::new(),
        own_tokens: HashMap::new(),
    }
}
