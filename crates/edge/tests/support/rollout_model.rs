//! A discrete-event simulation of the rollout of a service's version, with simulated time and
//! network. It uses the real code that decides on stages, versions and verdicts.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::rc::Rc;

use heatherknot_edge::feed_topology::FeedTopology;
use heatherknot_edge::mirror::Change;
use heatherknot_edge::presence::VmEntry;
use heatherknot_edge::rollout::controller::{Controller, FleetView, Proposal};
use heatherknot_edge::rollout::evidence::RequestKind;
use heatherknot_edge::rollout::record::{RolloutRecord, Stage};
use heatherknot_edge::rollout::reports::{
    Answer, Report, Reporter, apply_answer, apply_report, collect_own, domain_report,
    has_report_of, own_report,
};
use heatherknot_edge::rollout::state::{ObservedSend, Rollouts, SendResult, VersionChoice};
use heatherknot_edge::routing_state::RoutingState;
use heatherknot_edge::upstream::{InFlightGuard, Upstream};
use heatherknot_http::PoolConfig;
use heatherknot_store::port::StoreRevision;
use heatherknot_types::hash;
use heatherknot_types::prelude::*;

use super::{TestClock, delete, dialect, entry_of_version, put};

// All times are in milliseconds.

const SERVICE: &str = "gallery";
const ORDER_KEY: &str = "rollout/gallery";
const REGIONS: usize = 3;
const DOMAINS: usize = 6;
/// When the operator gives the order.
const ORDER_AT: u64 = 2_000;
/// Time from the order until the servers of the target version have registered.
const SERVERS_START: std::ops::Range<u64> = 100..1_500;
/// How long a new server is cold.
const COLD_TIME: u64 = 3_000;
/// How long a server takes for a request whose object it has cached, and the factor without.
const SERVICE_TIME: std::ops::Range<u64> = 120..480;
const MISS_FACTOR: f64 = 3.0;
/// Requests that a server runs at once; further ones wait.
const SLOTS: usize = 3;
const OBJECTS: u64 = 150;
/// One-way latencies within a region and between regions.
const LOCAL_LATENCY: u64 = 2;
const REMOTE_LATENCY: u64 = 55;
/// Time between a write to the store and its arrival at a VM.
const STORE_DELAY: std::ops::Range<u64> = 50..800;
const REPORT_INTERVAL: u64 = 250;
const URGENT_INTERVAL: u64 = 60;
const CHECK_INTERVAL: u64 = 200;
/// How long a killed VM is down.
const VM_DOWNTIME: u64 = 1_500;
/// How long the caller waits.
const TIMEOUT: u64 = 4_000;
/// Time of day at the start of the simulation.
const EPOCH: u64 = 1_000_000_000;

/// What is wrong with the target version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Defect {
    /// Fraction of its requests that fail.
    pub failing: f64,
    /// Factor by which its requests take longer.
    pub slowdown: f64,
    /// Time after the order from which it shows.
    pub from: u64,
    /// Number of other requests on a server from which it shows.
    pub min_load: usize,
    /// The only route on which it shows, if there is one.
    pub route: Option<usize>,
}

/// A fault that is no fault of the target version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Some servers of any version fail part of their requests.
    FailingServers,
    /// Some servers of any version are slow.
    SlowServers,
    /// All servers of a domain are down for a while.
    DomainDown,
    /// Some VMs are killed.
    VmsKilled,
    /// The VM that would write next is killed.
    WriterKilled,
    /// All VMs are killed.
    AllVmsKilled,
    /// The store is unavailable for a while.
    StoreUnavailable,
    /// Writes take effect seconds later and are not answered.
    LateWrites,
    /// A domain is cut off from the others and the store for a while.
    DomainPartition,
}

/// The parameters of one simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub vms: usize,
    /// Number of servers of each version.
    pub servers: usize,
    /// Requests a second.
    pub rate: f64,
    pub time_limit: u64,
    pub defect: Option<Defect>,
    /// Faults, each with the time at which it strikes.
    pub faults: Vec<(u64, Fault)>,
    pub seed: u64,
}

/// The outcome of a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Requests that reached a server between the order and its deadline.
    pub requests: usize,
    /// Those that reached the target version, with their times.
    pub target_requests: Vec<u64>,
    /// Times of bad answers of a defective target version.
    pub bad_answers: Vec<u64>,
    /// The final stage and when it was written.
    pub verdict: Option<(u64, Stage, String)>,
    /// Number of final stages written for the order.
    pub verdicts: usize,
    /// Requests in flight at the previous version when the rollout was completed.
    pub cut_off: usize,
    /// Requests sent to the target version by VMs that had read that it was rolled back.
    pub after_rollback: usize,
    /// Reports, and their size in bytes.
    pub reports: (usize, usize),
}

impl Outcome {
    /// Returns by how many requests the target version got more than `share` of all and `slack`.
    pub fn excess(&self, share: f64, slack: usize, deadline: u64) -> usize {
        let allowed = (self.requests as f64 * share) as usize + slack;
        let times = self.target_requests.iter();
        let in_time = times.filter(|at| **at <= deadline).count();
        in_time.saturating_sub(allowed)
    }

    /// Returns the number of requests to the target version sent later than `after` past the bad
    /// answer number `count`.
    pub fn late_sends(&self, count: usize, after: u64) -> usize {
        let Some(reached) = self.bad_answers.get(count - 1) else {
            return 0;
        };
        let times = self.target_requests.iter();
        times.filter(|at| **at > reached + after).count()
    }
}

struct Vm {
    entry: VmEntry,
    region: usize,
    domain: usize,
    run: u64,
    is_up: bool,
    is_partitioned: bool,
    routing_state: Rc<RefCell<RoutingState>>,
    rollouts: Rc<Rollouts>,
    controller: Controller,
    /// Index of the next store change that the VM reads, and the earliest time.
    next_change: usize,
    next_read_at: u64,
    is_report_urgent: bool,
}

struct Server {
    name: UpstreamName,
    domain: usize,
    is_target: bool,
    is_up: bool,
    is_failing: bool,
    is_slow: bool,
    running: usize,
    objects: HashSet<u64>,
}

/// A change of a key in the store; a value of `None` deletes it.
struct StoreChange {
    at: u64,
    revision: u64,
    key: String,
    value: Option<Vec<u8>>,
}

struct Send {
    vm: usize,
    server: usize,
    is_target: bool,
    observed: Option<ObservedSend>,
    result: SendResult,
    is_bad: bool,
    _guard: InFlightGuard,
}

enum Event {
    Order,
    Register(usize),
    /// A server reports that it is no longer cold.
    Warm(usize),
    Request,
    Complete(u64),
    Report(usize, u64),
    /// This run of a VM reports because a request of the target version has failed.
    UrgentReport(usize, u64),
    ReceiveReport(usize, u64, usize, Report),
    ReceiveAnswer(usize, u64, Vec<(ServiceName, u64)>, Answer),
    Check(usize, u64),
    /// The store receives a record that this run of a VM has sent at this time.
    Write(usize, u64, u64, Proposal),
    Read(usize, u64),
    Fault(Fault),
    Repair(Fault, Vec<usize>),
    VmRestart(usize),
}

struct Simulation {
    scenario: Scenario,
    clock: TestClock,
    now: u64,
    vms: Vec<Vm>,
    servers: Vec<Server>,
    sends: HashMap<u64, Send>,
    next_id: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending: HashMap<u64, Event>,
    changes: Vec<StoreChange>,
    /// Revision and value of the existing keys.
    keys: BTreeMap<String, (u64, Vec<u8>)>,
    store_down_until: u64,
    late_writes_until: u64,
    rng: fastrand::Rng,
    outcome: Outcome,
}

/// Simulates a scenario until some seconds after the deadline.
pub fn simulate(scenario: &Scenario) -> Outcome {
    let mut simulation = Simulation::new(scenario.clone());
    simulation.run();
    simulation.outcome
}

fn new_routing_state(clock: &Clock) -> Rc<RefCell<RoutingState>> {
    let regions = (0..DOMAINS).map(|domain| {
        let name = DomainName::from(format!("d-{domain}"));
        (name, RegionName::from(format!("r-{}", domain % REGIONS)))
    });
    let state = RoutingState::new(
        dialect(),
        regions.collect(),
        PoolConfig::default(),
        clock.clone(),
    );
    Rc::new(RefCell::new(state))
}

fn vm_entry(number: usize) -> VmEntry {
    let domain = number % DOMAINS;
    VmEntry {
        name: format!("vm-{number}").into(),
        domain: format!("d-{domain}").into(),
        region: format!("r-{}", domain % REGIONS).into(),
        requests: "127.0.0.1:1".parse().expect("an address"),
        peers: "127.0.0.1:2".parse().expect("an address"),
        incarnation: Incarnation(1),
        link_mbps: 100,
        cpu_permille: 100,
        handed: None,
        store_rtt: Some(Millis(1 + 100 * (domain % REGIONS) as u64)),
    }
}

fn failures_of_target(report: &Report) -> u64 {
    let failures = report.rollouts.iter().map(|r| r.evidence.sums().0.failures);
    failures.sum()
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let clock = TestClock::default();
        let vm = |number: usize| {
            let routing_state = new_routing_state(&clock.clock());
            let rollouts = Rollouts::new(clock.timer(), Rc::clone(&routing_state));
            Vm {
                entry: vm_entry(number),
                region: number % DOMAINS % REGIONS,
                domain: number % DOMAINS,
                run: 1,
                is_up: true,
                is_partitioned: false,
                routing_state,
                rollouts: Rc::new(rollouts),
                controller: Controller::new(Millis(0)),
                next_change: 0,
                next_read_at: 0,
                is_report_urgent: false,
            }
        };
        let server = |number: usize| Server {
            name: format!("i-{number}").into(),
            domain: number % DOMAINS,
            is_target: number >= scenario.servers,
            is_up: true,
            is_failing: false,
            is_slow: false,
            running: 0,
            objects: HashSet::new(),
        };
        let mut simulation = Self {
            vms: (0..scenario.vms).map(vm).collect(),
            servers: (0..2 * scenario.servers).map(server).collect(),
            clock,
            now: 0,
            sends: HashMap::new(),
            next_id: 0,
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            changes: Vec::new(),
            keys: BTreeMap::new(),
            store_down_until: 0,
            late_writes_until: 0,
            rng: fastrand::Rng::with_seed(scenario.seed),
            outcome: Outcome::default(),
            scenario,
        };
        simulation.schedule_scenario();
        simulation
    }

    fn schedule_scenario(&mut self) {
        for server in 0..self.scenario.servers {
            self.register(server, 0);
        }
        for vm in 0..self.vms.len() {
            self.schedule_vm(vm);
        }
        for server in self.scenario.servers..2 * self.scenario.servers {
            let at = ORDER_AT + self.rng.u64(SERVERS_START);
            self.schedule_at(at, Event::Register(server));
        }
        for (at, fault) in self.scenario.faults.clone() {
            self.schedule_at(at, Event::Fault(fault));
        }
        self.schedule_at(ORDER_AT, Event::Order);
        self.schedule_at(0, Event::Request);
    }

    fn schedule_vm(&mut self, vm: usize) {
        let run = self.vms[vm].run;
        let (report, check) = (
            self.rng.u64(..REPORT_INTERVAL),
            self.rng.u64(..CHECK_INTERVAL),
        );
        self.schedule_in(report, Event::Report(vm, run));
        self.schedule_in(check, Event::Check(vm, run));
        self.schedule_in(0, Event::Read(vm, run));
    }

    fn schedule_at(&mut self, at: u64, event: Event) {
        self.next_id += 1;
        self.pending.insert(self.next_id, event);
        self.events.push(Reverse((at, self.next_id)));
    }

    fn schedule_in(&mut self, span: u64, event: Event) {
        self.schedule_at(self.now + span, event);
    }

    fn run(&mut self) {
        let end = ORDER_AT + self.scenario.time_limit + 8_000;
        while let Some(Reverse((at, id))) = self.events.pop() {
            if at > end {
                return;
            }
            self.clock.advance(at - self.now);
            self.now = at;
            let event = self.pending.remove(&id).expect("scheduled once");
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Order => {
                let order = format!("v2 {}", self.scenario.time_limit);
                self.store_put(ORDER_KEY, order.into_bytes());
            }
            Event::Register(server) => {
                self.register(server, COLD_TIME);
                self.schedule_in(COLD_TIME, Event::Warm(server));
            }
            Event::Warm(server) => {
                let key = format!("server/{}", self.servers[server].name);
                if self.keys.contains_key(&key) {
                    self.register(server, 0);
                }
            }
            Event::Request => self.request(),
            Event::Complete(id) => self.complete(id),
            Event::Report(vm, run) => {
                self.report(vm, run);
                self.schedule_in(REPORT_INTERVAL, Event::Report(vm, run));
            }
            Event::UrgentReport(vm, run) => {
                self.vms[vm].is_report_urgent = false;
                self.report(vm, run);
            }
            Event::ReceiveReport(from, run, to, report) => {
                self.receive_report(from, run, to, report)
            }
            Event::ReceiveAnswer(vm, run, orders, answer) => {
                if self.is_alive(vm, run) {
                    apply_answer(&self.vms[vm].rollouts, &orders, answer);
                }
            }
            Event::Check(vm, run) => self.check(vm, run),
            Event::Write(vm, run, sent_at, proposal) => {
                self.write(proposal);
                if self.is_alive(vm, run) {
                    let took = Millis(self.now - sent_at);
                    self.vms[vm].controller.record_write(took);
                }
            }
            Event::Read(vm, run) => self.read(vm, run),
            Event::Fault(fault) => self.strike(fault),
            Event::Repair(fault, affected) => self.repair(fault, &affected),
            Event::VmRestart(vm) => self.restart(vm),
        }
    }

    fn is_alive(&self, vm: usize, run: u64) -> bool {
        self.vms[vm].is_up && self.vms[vm].run == run
    }

    // The store.

    fn store_put(&mut self, key: &str, value: Vec<u8>) {
        let revision = self.changes.len() as u64 + 1;
        self.keys.insert(key.to_owned(), (revision, value.clone()));
        self.changes.push(StoreChange {
            at: self.now,
            revision,
            key: key.to_owned(),
            value: Some(value),
        });
    }

    fn register(&mut self, server: usize, cold: u64) {
        let Server {
            name,
            domain,
            is_target,
            ..
        } = &self.servers[server];
        let version = if *is_target { "v2" } else { "v1" };
        let value = entry_of_version(&format!("d-{domain}"), version, cold);
        let key = format!("server/{name}");
        self.store_put(&key, value.to_vec());
    }

    fn deregister(&mut self, server: usize) {
        let key = format!("server/{}", self.servers[server].name);
        let revision = self.changes.len() as u64 + 1;
        self.keys.remove(&key);
        self.changes.push(StoreChange {
            at: self.now,
            revision,
            key,
            value: None,
        });
    }

    /// Applies the changes that have reached a VM.
    fn read(&mut self, vm: usize, run: u64) {
        if !self.is_alive(vm, run) {
            return;
        }
        let is_cut_off = self.vms[vm].is_partitioned || self.now < self.store_down_until;
        if !is_cut_off && self.now >= self.vms[vm].next_read_at {
            let from = self.vms[vm].next_change;
            let visible: Vec<&StoreChange> = self.changes[from..]
                .iter()
                .take_while(|change| change.at < self.now)
                .collect();
            let count = visible.len();
            // A VM that starts reads only the latest value of each key.
            let latest: BTreeMap<&str, &StoreChange> = visible
                .into_iter()
                .map(|change| (change.key.as_str(), change))
                .collect();
            let changes: Vec<Change> = latest
                .into_values()
                .map(|change| match &change.value {
                    Some(value) => put(&change.key, value.clone(), change.revision),
                    None => delete(&change.key, change.revision),
                })
                .collect();
            let vm = &mut self.vms[vm];
            vm.next_change += count;
            vm.routing_state.borrow_mut().apply(&changes, true);
            vm.next_read_at = self.now + self.rng.u64(STORE_DELAY);
        }
        self.schedule_in(50, Event::Read(vm, run));
    }

    fn check(&mut self, number: usize, run: u64) {
        if !self.is_alive(number, run) {
            return;
        }
        let (vms, topology) = self.view();
        let vm = &mut self.vms[number];
        let view = FleetView {
            me: &vm.entry.name,
            domain: &vm.entry.domain,
            topology: &topology,
            vms: &vms,
            unix_ms: EPOCH + self.now,
        };
        let is_cut_off = vm.is_partitioned || self.now < self.store_down_until;
        let proposals = vm.controller.proposals(&vm.rollouts, &view);
        for proposal in proposals.into_iter().filter(|_| !is_cut_off) {
            let delay = match self.now < self.late_writes_until {
                true => self.rng.u64(1_000..5_000),
                false => self.rng.u64(5..120),
            };
            let write = Event::Write(number, run, self.now, proposal);
            self.schedule_in(delay, write);
        }
        self.schedule_in(CHECK_INTERVAL, Event::Check(number, run));
    }

    fn write(&mut self, proposal: Proposal) {
        let key = RolloutRecord::key(&proposal.service);
        let revision_of = |key: &str| {
            let item = self.keys.get(key);
            StoreRevision::from(item.map_or(0, |(revision, _)| *revision))
        };
        let may_write = self.now >= self.store_down_until
            && revision_of(ORDER_KEY) == proposal.order_revision
            && revision_of(&key) == proposal.record_revision;
        if !may_write {
            return;
        }
        let Proposal { record, .. } = proposal;
        let value = serde_json::to_vec(&record).expect("a record serializes");
        self.store_put(&key, value);
        if record.stage.is_final() {
            self.outcome.verdicts += 1;
            self.outcome.verdict = Some((self.now, record.stage, record.cause));
        }
        let stopped = match record.stage {
            Stage::Completed => 0..self.scenario.servers,
            Stage::RolledBack => self.scenario.servers..2 * self.scenario.servers,
            _ => return,
        };
        if record.stage == Stage::Completed {
            self.outcome.cut_off = self.sends.values().filter(|send| !send.is_target).count();
        }
        for server in stopped {
            self.servers[server].is_up = record.stage != Stage::Completed;
            self.deregister(server);
        }
    }

    // VMs.

    /// Returns the VMs that are believed to be alive. Those that were killed are still in it.
    fn view(&self) -> (Vec<VmEntry>, FeedTopology) {
        let vms: Vec<VmEntry> = self.vms.iter().map(|vm| vm.entry.clone()).collect();
        let topology = FeedTopology::new(&vms);
        (vms, topology)
    }

    fn vm_named(&self, name: &VmName) -> usize {
        let mut vms = self.vms.iter();
        vms.position(|vm| vm.entry.name == *name)
            .expect("a VM of the simulation")
    }

    fn report(&mut self, number: usize, run: u64) {
        if !self.is_alive(number, run) {
            return;
        }
        let (vms, topology) = self.view();
        let vm = &self.vms[number];
        let (me, domain) = (vm.entry.name.clone(), vm.entry.domain.clone());
        let own = own_report(&vm.rollouts);
        if own.rollouts.is_empty() {
            return;
        }
        let leaders = topology.leaders(&domain).to_vec();
        let mut messages: Vec<(VmName, Report)> = leaders
            .iter()
            .filter(|leader| **leader != me)
            .map(|leader| (leader.clone(), own.clone()))
            .collect();
        if leaders.contains(&me) {
            let reporter = Reporter {
                vm: &me,
                domain: &domain,
                incarnation: Incarnation(run),
            };
            collect_own(&vm.rollouts, reporter, own);
            if leaders[0] == me || !has_report_of(&vm.rollouts, &leaders[0]) {
                let view = FleetView {
                    me: &me,
                    domain: &domain,
                    topology: &topology,
                    vms: &vms,
                    unix_ms: 0,
                };
                let report = domain_report(&vm.rollouts, &view);
                let others = view.other_domains();
                let heads = others.map(|domain| topology.leaders(domain)[0].clone());
                messages.extend(heads.map(|head| (head, report.clone())));
            }
        }
        for (to, report) in messages {
            self.deliver(number, run, &to, report);
        }
    }

    fn report_soon(&mut self, vm: usize) {
        if !std::mem::replace(&mut self.vms[vm].is_report_urgent, true) {
            let run = self.vms[vm].run;
            self.schedule_in(URGENT_INTERVAL, Event::UrgentReport(vm, run));
        }
    }

    fn deliver(&mut self, from: usize, run: u64, to: &VmName, report: Report) {
        let to = self.vm_named(to);
        self.outcome.reports.0 += 1;
        self.outcome.reports.1 += serde_json::to_vec(&report).expect("serializes").len();
        if !self.is_connected(from, to) {
            return;
        }
        let latency = self.latency(self.vms[from].region, self.vms[to].region);
        self.schedule_in(latency, Event::ReceiveReport(from, run, to, report));
    }

    fn is_connected(&self, one: usize, other: usize) -> bool {
        let (one, other) = (&self.vms[one], &self.vms[other]);
        one.domain == other.domain || (!one.is_partitioned && !other.is_partitioned)
    }

    fn latency(&self, one: usize, other: usize) -> u64 {
        if one == other {
            LOCAL_LATENCY
        } else {
            REMOTE_LATENCY
        }
    }

    fn receive_report(&mut self, from: usize, run: u64, to: usize, report: Report) {
        if !self.vms[to].is_up {
            return;
        }
        let orders = report.rollouts.iter().filter(|_| !report.is_of_domain);
        let orders: Vec<_> = orders.map(|r| (r.service.clone(), r.order)).collect();
        if !report.is_of_domain && failures_of_target(&report) > 0 {
            self.report_soon(to);
        }
        let sender = &self.vms[from].entry;
        let reporter = Reporter {
            vm: &sender.name,
            domain: &sender.domain,
            incarnation: Incarnation(run),
        };
        let receiver = &self.vms[to];
        let answer = apply_report(&receiver.rollouts, reporter, &receiver.entry.domain, report);
        let latency = self.latency(self.vms[from].region, self.vms[to].region);
        self.schedule_in(latency, Event::ReceiveAnswer(from, run, orders, answer));
    }

    // Requests.

    fn request(&mut self) {
        let pause = -(1.0 - self.rng.f64()).ln() * 1_000.0 / self.scenario.rate;
        self.schedule_in(pause.ceil() as u64, Event::Request);
        let vm = self.rng.usize(..self.vms.len());
        if !self.vms[vm].is_up {
            return;
        }
        // A few objects are popular.
        let object = (self.rng.f64().powi(3) * OBJECTS as f64) as u64;
        let object = hash::digest(&object.to_le_bytes());
        let route = usize::from(self.rng.u8(..5) == 0);
        let choice = self.vms[vm]
            .rollouts
            .choose(&SERVICE.into(), object, self.rng.u64(..));
        let mut tried = Vec::new();
        for _ in 0..3 {
            let Some((server, upstream)) = self.select(vm, object, choice, &tried) else {
                return;
            };
            if self.servers[server].is_up {
                self.send(vm, server, &upstream, object, route);
                return;
            }
            tried.push(server);
        }
    }

    /// Selects the first server in the object's rank that may get the request.
    fn select(
        &self,
        vm: usize,
        object: u64,
        choice: VersionChoice,
        tried: &[usize],
    ) -> Option<(usize, Rc<Upstream>)> {
        let vm = &self.vms[vm];
        let routing_state = vm.routing_state.borrow();
        let service = ServiceName::from(SERVICE);
        let all = routing_state.upstreams(&service);
        let choices = match choice {
            VersionChoice::InUse => &[VersionChoice::InUse][..],
            VersionChoice::Target => &[VersionChoice::Target, VersionChoice::InUse],
        };
        choices.iter().find_map(|choice| {
            let has_version = vm.rollouts.filter(&service, *choice);
            let usable = all
                .iter()
                .filter(|u| has_version(u) && !u.is_cold(Millis(self.now)));
            let numbered = usable.map(|u| (self.number_of(&u.id), u));
            let untried = numbered.filter(|(number, _)| !tried.contains(number));
            let reachable = untried.filter(|(number, _)| {
                !vm.is_partitioned || self.servers[*number].domain == vm.domain
            });
            let rank = |u: &Upstream| {
                let is_remote = u.region != vm.entry.region;
                (
                    is_remote,
                    hash::rendezvous(&[&object.to_le_bytes()], u.id.as_str()),
                )
            };
            let best = reachable.min_by_key(|(_, u)| rank(u));
            best.map(|(number, u)| (number, Rc::clone(u)))
        })
    }

    fn number_of(&self, id: &UpstreamName) -> usize {
        let number = id.as_str().trim_start_matches("i-").parse();
        number.expect("a server of the simulation")
    }

    fn send(
        &mut self,
        vm: usize,
        number: usize,
        upstream: &Rc<Upstream>,
        object: u64,
        route: usize,
    ) {
        let defect = self
            .scenario
            .defect
            .filter(|_| self.servers[number].is_target);
        let server = &mut self.servers[number];
        let active = defect.filter(|defect| {
            self.now >= ORDER_AT + defect.from
                && server.running >= defect.min_load
                && defect.route.is_none_or(|bad| bad == route)
        });
        let is_cached = !server.objects.insert(object);
        let mut took = self.rng.u64(SERVICE_TIME) as f64;
        took *= if is_cached { 1.0 } else { MISS_FACTOR };
        took *= active.map_or(1.0, |defect| defect.slowdown);
        took *= if server.is_slow { 4.0 } else { 1.0 };
        // Requests beyond the slots wait for those before them.
        took *= ((server.running + 1) as f64 / SLOTS as f64).max(1.0);
        let failing = active.map_or(0.0, |defect| defect.failing);
        let grey = if server.is_failing { 0.45 } else { 0.0 };
        let is_failure = self.rng.f64() < failing.max(grey).max(0.002);
        let is_bad = active.is_some() && (is_failure || active.is_some_and(|d| d.slowdown > 1.0));
        server.running += 1;
        let is_target = server.is_target;
        let latency = self.latency(self.vms[vm].region, self.servers[number].domain % REGIONS);
        let took = (took as u64 + 2 * latency).min(TIMEOUT);
        let result = match is_failure || took >= TIMEOUT {
            true => SendResult::Failed,
            false => SendResult::Answered,
        };
        let is_local = upstream.region == self.vms[vm].entry.region;
        let kind = RequestKind::new(["read", "write"][route], is_cached, is_local);
        let is_free = self.servers[number].running <= SLOTS;
        let observed = self.vms[vm].rollouts.observe(upstream, kind, is_free);
        self.count_send(vm, is_target);
        self.next_id += 1;
        let id = self.next_id;
        let send = Send {
            vm,
            server: number,
            is_target,
            observed,
            result,
            is_bad,
            _guard: upstream.start_request(),
        };
        self.sends.insert(id, send);
        self.schedule_in(took, Event::Complete(id));
    }

    fn count_send(&mut self, vm: usize, is_target: bool) {
        let deadline = ORDER_AT + self.scenario.time_limit;
        self.outcome.requests += usize::from((ORDER_AT..=deadline).contains(&self.now));
        if !is_target {
            return;
        }
        self.outcome.target_requests.push(self.now);
        let routing_state = self.vms[vm].routing_state.borrow();
        let versions = routing_state.versions().get(&SERVICE.into());
        let record = versions.and_then(|versions| versions.record());
        let is_rolled_back = record.is_some_and(|r| r.record.stage == Stage::RolledBack);
        self.outcome.after_rollback += usize::from(is_rolled_back);
    }

    fn complete(&mut self, id: u64) {
        let Some(send) = self.sends.remove(&id) else {
            return;
        };
        self.servers[send.server].running -= 1;
        if send.is_bad {
            self.outcome.bad_answers.push(self.now);
        }
        if let Some(observed) = send.observed {
            observed.finish(send.result);
        }
        if send.is_target && send.result == SendResult::Failed {
            self.report_soon(send.vm);
        }
    }

    // Faults.

    fn strike(&mut self, fault: Fault) {
        let servers: Vec<usize> = (0..self.servers.len()).collect();
        let some: Vec<usize> = servers
            .iter()
            .copied()
            .filter(|_| self.rng.u8(..100) < 15)
            .collect();
        let domain = self.rng.usize(..DOMAINS);
        let in_domain = |n: &usize| self.servers[*n].domain == domain;
        let affected = match fault {
            Fault::FailingServers | Fault::SlowServers => some,
            Fault::DomainDown => servers.into_iter().filter(in_domain).collect(),
            Fault::DomainPartition => vec![domain],
            _ => Vec::new(),
        };
        let span = self.rng.u64(2_000..6_000);
        match fault {
            Fault::FailingServers | Fault::SlowServers | Fault::DomainDown => {
                self.set_servers(fault, &affected, true)
            }
            Fault::DomainPartition => self.set_partition(domain, true),
            Fault::StoreUnavailable => self.store_down_until = self.now + span,
            Fault::LateWrites => self.late_writes_until = self.now + span,
            Fault::VmsKilled => {
                let killed = (0..self.vms.len()).filter(|_| self.rng.u8(..4) == 0);
                let killed: Vec<usize> = killed.collect();
                killed.into_iter().for_each(|vm| self.kill(vm));
            }
            Fault::WriterKilled => {
                let (_, topology) = self.view();
                let first = topology.domains().next().expect("a domain");
                let head = self.vm_named(&topology.leaders(first)[0]);
                self.kill(head);
            }
            Fault::AllVmsKilled => (0..self.vms.len()).for_each(|vm| self.kill(vm)),
        }
        self.schedule_in(span, Event::Repair(fault, affected));
    }

    fn set_servers(&mut self, fault: Fault, affected: &[usize], is_on: bool) {
        for number in affected {
            let server = &mut self.servers[*number];
            match fault {
                Fault::FailingServers => server.is_failing = is_on,
                Fault::SlowServers => server.is_slow = is_on,
                _ => server.is_up = !is_on,
            }
        }
    }

    fn set_partition(&mut self, domain: usize, is_partitioned: bool) {
        let vms = self.vms.iter_mut().filter(|vm| vm.domain == domain);
        vms.for_each(|vm| vm.is_partitioned = is_partitioned);
    }

    fn repair(&mut self, fault: Fault, affected: &[usize]) {
        match fault {
            Fault::DomainPartition => self.set_partition(affected[0], false),
            _ => self.set_servers(fault, affected, false),
        }
    }

    fn kill(&mut self, vm: usize) {
        if std::mem::take(&mut self.vms[vm].is_up) {
            self.schedule_in(VM_DOWNTIME, Event::VmRestart(vm));
        }
    }

    fn restart(&mut self, number: usize) {
        let routing_state = new_routing_state(&self.clock.clock());
        let rollouts = Rollouts::new(self.clock.timer(), Rc::clone(&routing_state));
        let vm = &mut self.vms[number];
        vm.is_up = true;
        vm.run += 1;
        vm.routing_state = routing_state;
        vm.rollouts = Rc::new(rollouts);
        vm.controller = Controller::new(Millis(self.now));
        vm.next_change = 0;
        vm.next_read_at = 0;
        vm.is_report_urgent = false;
        self.schedule_vm(number);
    }
}
