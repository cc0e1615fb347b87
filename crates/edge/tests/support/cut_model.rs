//! A model of VMs that lose their paths to backend servers, by seed: which VMs, how, which servers
//! and VMs are down besides. The decisions are the product's; connections and callers are simulated.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::rc::Rc;

use heatherknot_edge::presence::VmEntry;
use heatherknot_edge::reachability::state::Reachability;
use heatherknot_edge::relay::targets::{MAX_ATTEMPTS, RelayTargets, TargetQuery, Tier};
use heatherknot_edge::upstream::Upstream;
use heatherknot_types::prelude::*;

use super::{TestClock, upstream};

/// Beginning and end of the cut, and end of the simulation, in milliseconds.
pub const CUT_BEGIN: u64 = 3_000;
pub const CUT_END: u64 = 13_000;
const END: u64 = 15_000;
/// Interval of a VM's probes while it reaches no server.
const PROBE_INTERVAL: u64 = 100;
/// Timeout of opening a connection.
const CONNECT_TIMEOUT: u64 = 500;
/// Service time of a request.
const SERVICE_TIME: u64 = 60;
/// Times of a round trip within a region and between two.
const NEAR: u64 = 2;
const FAR: u64 = 110;
/// Sends of a request that may reach no server.
const MAX_UNREACHABLE: usize = 4;
/// Timeout of a request.
const TIMEOUT: u64 = 2_000;
/// How long callers keep an answer of a look-up; a third of them keep it three times as long.
const LOOKUP_TTL: u64 = 2_000;
/// Time that heartbeats take to tell the VMs of a domain about one of them.
const HEARTBEAT_DELAY: u64 = 1_000;

/// How requests of callers of cut VMs are to be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// They are refused.
    Refuse,
    /// The VM relays them.
    Relay,
    /// Look-ups leave the VM out once it reaches no server.
    LookUp,
    /// Both.
    Both,
}

/// How a path is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    Hangs,
    Refused,
}

/// A simulated deployment.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub vms: usize,
    pub domains: usize,
    pub servers: usize,
    /// Requests per second to each VM.
    pub rate: u64,
    /// Fraction of the VMs that are cut.
    pub cut_fraction: f64,
    /// Whether a whole failure domain is cut besides.
    pub whole_domain: bool,
    /// Fraction of the servers that crash at the beginning of the cut.
    pub crashed_servers: f64,
    /// Fraction of the VMs that are killed then.
    pub killed_vms: f64,
    pub cut: Cut,
}

/// Numbers of requests at one kind of VMs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    pub served: u32,
    pub all: u32,
}

impl Count {
    pub fn share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.all.max(1))
    }
}

/// What came of the requests that arrived from a given time after the beginning of the cut until its
/// end.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub cut: Count,
    pub others: Count,
    /// Times to the refusals, in milliseconds.
    pub refused_after: Vec<u64>,
    /// Most VMs that one request passed through.
    pub max_hops: usize,
    /// Services that were still considered lost at the end.
    pub lost_at_end: usize,
}

struct Vm {
    entry: VmEntry,
    is_cut: bool,
    is_killed: bool,
    servers: Vec<Rc<Upstream>>,
    reachability: Reachability,
    targets: RelayTargets,
    /// Killed VMs that it tried to connect to.
    unreachable: HashSet<VmName>,
    lost_since: Option<u64>,
    probes: usize,
}

#[derive(Clone, Debug)]
struct Request {
    origin: usize,
    /// The VM that handles it now.
    at: usize,
    arrived: u64,
    tried_servers: Vec<usize>,
    tried_vms: Vec<VmName>,
}

enum Event {
    Arrival(usize),
    Step(Request),
    Answered(Request, usize),
    Failed(Request, usize),
    Probe(usize),
    Probed(usize, usize, bool),
}

struct Model {
    way: Way,
    scenario: Scenario,
    rng: fastrand::Rng,
    clock: TestClock,
    now: u64,
    vms: Vec<Vm>,
    entries: Rc<Vec<VmEntry>>,
    crashed: Vec<bool>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
    judged_from: u64,
    outcome: Outcome,
}

/// Runs a scenario and judges what arrives from `judged_after` the beginning of the cut on.
pub fn run(scenario: &Scenario, way: Way, judged_after: u64, seed: u64) -> Outcome {
    let mut model = Model::new(scenario.clone(), way, judged_after, seed);
    model.run();
    model.outcome
}

impl Model {
    fn new(scenario: Scenario, way: Way, judged_after: u64, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let clock = TestClock::default();
        let cut_domain = rng.usize(..scenario.domains);
        let entries: Vec<VmEntry> = (0..scenario.vms)
            .map(|n| entry(n, scenario.domains))
            .collect();
        let vms = entries.iter().enumerate().map(|(n, entry)| Vm {
            entry: entry.clone(),
            is_cut: rng.f64() < scenario.cut_fraction
                || (scenario.whole_domain && n % scenario.domains == cut_domain),
            is_killed: rng.f64() < scenario.killed_vms,
            servers: (0..scenario.servers)
                .map(|s| upstream(&format!("i-{s}"), "d-0", &clock.clock()))
                .collect(),
            reachability: Reachability::default(),
            targets: RelayTargets::default(),
            unreachable: HashSet::new(),
            lost_since: None,
            probes: 0,
        });
        let vms = vms.collect();
        let crashed = (0..scenario.servers).map(|_| rng.f64() < scenario.crashed_servers);
        let crashed = crashed.collect();
        Self {
            way,
            scenario,
            rng,
            clock,
            now: 0,
            vms,
            entries: Rc::new(entries),
            crashed,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            judged_from: CUT_BEGIN + judged_after,
            outcome: Outcome::default(),
        }
    }

    fn run(&mut self) {
        for vm in 0..self.vms.len() {
            self.schedule_arrival(vm);
            self.push(PROBE_INTERVAL, Event::Probe(vm));
        }
        while let Some(Reverse((at, key))) = self.queue.pop() {
            if at >= END {
                break;
            }
            self.clock.advance(at - self.now);
            self.now = at;
            if let Some(event) = self.events.remove(&key) {
                self.handle(event);
            }
        }
        let lost = self.vms.iter().filter(|vm| vm.reachability.is_lost());
        self.outcome.lost_at_end = lost.count();
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.next_event += 1;
        self.queue
            .push(Reverse((self.now + delay, self.next_event)));
        self.events.insert(self.next_event, event);
    }

    fn schedule_arrival(&mut self, vm: usize) {
        let mean = 1000.0 / self.scenario.rate as f64;
        let delay = -mean * (1.0 - self.rng.f64()).ln();
        self.push(delay as u64, Event::Arrival(vm));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(vm) => {
                self.schedule_arrival(vm);
                if !self.is_killed(vm) && !self.is_avoided(vm) {
                    self.step(Request {
                        origin: vm,
                        at: vm,
                        arrived: self.now,
                        tried_servers: Vec::new(),
                        tried_vms: Vec::new(),
                    });
                }
            }
            Event::Step(req) => self.step(req),
            Event::Answered(req, server) => self.answered(&req, server),
            Event::Failed(req, server) => self.failed(req, server),
            Event::Probe(vm) => self.probe(vm),
            Event::Probed(vm, server, is_open) => self.probed(vm, server, is_open),
        }
    }

    fn is_in_cut(&self) -> bool {
        (CUT_BEGIN..CUT_END).contains(&self.now)
    }

    fn is_cut(&self, vm: usize) -> bool {
        self.vms[vm].is_cut && self.is_in_cut()
    }

    fn is_killed(&self, vm: usize) -> bool {
        self.vms[vm].is_killed && self.now >= CUT_BEGIN
    }

    /// Returns whether the caller of a request has a look-up answer without the VM.
    fn is_avoided(&mut self, vm: usize) -> bool {
        let keeps = match self.rng.u8(..3) {
            0 => 3 * LOOKUP_TTL,
            _ => LOOKUP_TTL,
        };
        let answer_age = self.rng.u64(..keeps);
        let told = self.vms[vm].lost_since.map(|at| at + HEARTBEAT_DELAY);
        matches!(self.way, Way::LookUp | Way::Both)
            && told.is_some_and(|told| told + answer_age <= self.now)
    }

    /// Returns whether a connection from a VM to a server opens, and how long that takes.
    fn connect(&self, vm: usize, server: usize) -> (bool, u64) {
        let is_crashed = self.crashed[server] && self.is_in_cut();
        match (self.is_cut(vm), self.scenario.cut) {
            (true, Cut::Hangs) => (false, CONNECT_TIMEOUT),
            (true, Cut::Refused) => (false, NEAR),
            (false, _) => (!is_crashed, NEAR),
        }
    }

    fn step(&mut self, req: Request) {
        if self.now - req.arrived >= TIMEOUT {
            return self.finish(&req, false);
        }
        let vm = &self.vms[req.at];
        let is_lost = vm.reachability.is_lost();
        if is_lost && req.at == req.origin && self.can_relay(&req) {
            return self.relay(req);
        }
        if is_lost && req.at != req.origin {
            return self.decline(req);
        }
        let now = Millis(self.now);
        let eligible = (0..vm.servers.len())
            .filter(|s| vm.servers[*s].is_reachable(now) && !req.tried_servers.contains(s));
        let eligible: Vec<usize> = eligible.collect();
        let is_exhausted = req.tried_servers.len() >= MAX_UNREACHABLE;
        let Some(server) = self.rng.choice(&eligible).filter(|_| !is_exhausted) else {
            return match req.at == req.origin {
                true => self.relay(req),
                false => self.decline(req),
            };
        };
        let (is_open, took) = self.connect(req.at, *server);
        match is_open {
            true => self.push(took + SERVICE_TIME, Event::Answered(req, *server)),
            false => self.push(took, Event::Failed(req, *server)),
        }
    }

    fn answered(&mut self, req: &Request, server: usize) {
        let vm = &self.vms[req.at];
        vm.servers[server].record_success(0, None, Millis(self.now));
        vm.reachability.record_response(Millis(self.now));
        self.update_lost(req.at);
        if req.at != req.origin {
            let (name, tier) = self.target_of(req);
            let targets = &self.vms[req.origin].targets;
            targets.record_answer(&name, tier, &service(), Millis(self.now));
        }
        self.finish(req, true);
    }

    fn failed(&mut self, mut req: Request, server: usize) {
        let vm = &self.vms[req.at];
        vm.servers[server].record_connection_refused(Millis(self.now));
        let name = vm.servers[server].id.clone();
        vm.reachability
            .record_failure(&name, vm.servers.len(), Millis(self.now));
        self.update_lost(req.at);
        req.tried_servers.push(server);
        self.step(req);
    }

    fn can_relay(&self, req: &Request) -> bool {
        let may = matches!(self.way, Way::Relay | Way::Both);
        may && self.select_target(req).is_some()
    }

    fn select_target(&self, req: &Request) -> Option<VmEntry> {
        let vm = &self.vms[req.origin];
        let query = TargetQuery {
            service: &service(),
            own: &vm.entry,
            is_allowed: &|_| true,
            is_large: false,
            tried: &req.tried_vms,
            is_reachable: &|target| !vm.unreachable.contains(&target.name),
            in_flight: &|_| 0,
            now: Millis(self.now),
        };
        vm.targets.select(&self.entries, &query)
    }

    fn relay(&mut self, mut req: Request) {
        let may = matches!(self.way, Way::Relay | Way::Both) && req.tried_vms.len() < MAX_ATTEMPTS;
        let Some(target) = self.select_target(&req).filter(|_| may) else {
            return self.finish(&req, false);
        };
        let origin = &self.vms[req.origin];
        let tier = Tier::of(&target.region, &origin.entry.region);
        let now = Millis(self.now);
        origin
            .targets
            .record_attempt(&target.name, tier, &service(), now);
        let way = match tier {
            Tier::Region => NEAR,
            Tier::OtherRegions => FAR,
        };
        req.tried_vms.push(target.name.clone());
        self.outcome.max_hops = self.outcome.max_hops.max(req.tried_vms.len());
        let index = self.entries.iter().position(|e| e.name == target.name);
        let index = index.expect("the target is one of the VMs");
        if self.is_killed(index) {
            self.vms[req.origin].unreachable.insert(target.name);
        } else {
            req.at = index;
            req.tried_servers.clear();
        }
        self.push(way, Event::Step(req));
    }

    /// Returns the VM that a request was relayed to, and its tier.
    fn target_of(&self, req: &Request) -> (VmName, Tier) {
        let target = &self.vms[req.at].entry;
        let tier = Tier::of(&target.region, &self.vms[req.origin].entry.region);
        (target.name.clone(), tier)
    }

    fn decline(&mut self, mut req: Request) {
        let (name, tier) = self.target_of(&req);
        let targets = &self.vms[req.origin].targets;
        targets.record_decline(&name, tier, &service(), Millis(self.now));
        req.at = req.origin;
        req.tried_servers = (0..self.scenario.servers).collect();
        self.relay(req);
    }

    fn probe(&mut self, vm: usize) {
        self.push(PROBE_INTERVAL, Event::Probe(vm));
        if self.vms[vm].reachability.is_lost() && !self.is_killed(vm) {
            self.vms[vm].probes += 1;
            let server = self.vms[vm].probes % self.scenario.servers;
            let (is_open, took) = self.connect(vm, server);
            self.push(took, Event::Probed(vm, server, is_open));
        }
    }

    fn probed(&mut self, vm: usize, server: usize, is_open: bool) {
        let state = &self.vms[vm];
        let upstream = &state.servers[server];
        if is_open {
            upstream.record_connection(Millis(self.now));
            let servers = state.servers.len();
            state
                .reachability
                .record_connection(&upstream.id, servers, Millis(self.now));
        } else {
            upstream.record_connection_refused(Millis(self.now));
        }
        self.update_lost(vm);
    }

    fn update_lost(&mut self, vm: usize) {
        let is_lost = self.vms[vm].reachability.is_lost();
        let since = self.vms[vm].lost_since.or(Some(self.now));
        self.vms[vm].lost_since = since.filter(|_| is_lost);
    }

    fn finish(&mut self, req: &Request, is_served: bool) {
        if !(self.judged_from..CUT_END).contains(&req.arrived) {
            return;
        }
        let count = match self.vms[req.origin].is_cut {
            true => &mut self.outcome.cut,
            false => &mut self.outcome.others,
        };
        count.all += 1;
        count.served += u32::from(is_served);
        if !is_served {
            self.outcome.refused_after.push(self.now - req.arrived);
        }
    }
}

fn service() -> ServiceName {
    "gallery".into()
}

fn entry(n: usize, domains: usize) -> VmEntry {
    let domain = n % domains;
    let address = "127.0.0.1:1".parse().expect("an address");
    VmEntry {
        name: format!("vm-{n}").as_str().into(),
        domain: format!("d-{domain}").as_str().into(),
        region: format!("r-{}", domain / 2).as_str().into(),
        requests: address,
        peers: address,
        incarnation: Incarnation(1),
        link_mbps: 100,
        cpu_permille: 200,
        handed: Some(address),
        store_rtt: None,
    }
}
