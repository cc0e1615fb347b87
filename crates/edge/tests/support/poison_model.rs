//! A discrete-event simulation of callers, entry VMs and backend servers, with simulated time and
//! network. It uses the real code that detects poison requests and propagates suspects.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};

use heatherknot_edge::feed_topology::FeedTopology;
use heatherknot_edge::poison::clean_runs::CleanRuns;
use heatherknot_edge::poison::exchange::{BATCH_DELAY, RETRY_INTERVAL};
use heatherknot_edge::poison::fingerprint::Fingerprint;
use heatherknot_edge::poison::propagation::{PeerProgress, Update, recipients};
use heatherknot_edge::poison::suspects::{
    CrashId, Origin, RequestSummary, SendPolicy, Suspect, SuspectTable, Verdict, placement_hash,
};
use heatherknot_edge::presence::VmEntry;
use heatherknot_types::hash;
use heatherknot_types::prelude::*;

// All times are in milliseconds.

/// One-way latency within a region.
const LOCAL_LATENCY: u64 = 1;
/// One-way latency between regions.
const REMOTE_LATENCY: u64 = 55;
/// How long a peer with a small part of a core takes to handle a message.
const HANDLING_TIME: std::ops::Range<u64> = 2..12;
/// How long a server takes for a harmless request.
const SERVICE_TIME: std::ops::Range<u64> = 40..350;
/// How long a poison request runs until it crashes its server.
const TIME_TO_CRASH: std::ops::Range<u64> = 40..100;
/// How long a crashed server is down.
const SERVER_DOWNTIME: std::ops::Range<u64> = 2_000..6_000;
/// The requests that a server runs at once, in the mean; it refuses more than four times as many.
const SLOTS: usize = 6;
/// The interval at which the view of which VMs are alive is refreshed; a VM that is gone is taken
/// for alive that long at most.
const VIEW_INTERVAL: u64 = 3_500;
/// How long a VM avoids a server that refused its connection.
const AVOID_TIME: u64 = 1_000;
/// How long a killed VM is down.
const VM_DOWNTIME: u64 = 1_500;
/// The time between a write to the store and its arrival at a VM.
const STORE_DELAY: std::ops::Range<u64> = 100..1_500;
/// Maximum number of sends of one attempt that reach a server.
const MAX_SENDS: usize = 2;
/// Maximum number of sends of one attempt that reach no server.
const MAX_UNREACHED: usize = 3;
/// How long after the last fault of its own a VM counts as stable.
const STABLE_AFTER: u64 = 4_000;
/// The mean pause of a caller before it retries a failed request, roughly.
const RETRY_PAUSE: u64 = 200;

/// A fault injected beside the poison requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// One server crashes.
    ServerCrash,
    /// All servers of a failure domain crash.
    DomainCrash,
    /// Half of the servers crash one after the other, a few a second.
    Cascade,
    /// Half of the harmless requests that run lose their connections.
    ConnectionResets,
    /// About a tenth of the VMs are killed.
    VmsKilled,
    /// All VMs are killed.
    AllVmsKilled,
    /// A failure domain is cut off from all others and from the store.
    DomainPartition,
    /// A VM hangs for a while.
    VmFrozen,
    /// The store is unavailable for a while.
    StoreUnavailable,
}

/// The parameters of one simulation. Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub regions: usize,
    pub domains: usize,
    pub vms: usize,
    pub servers: usize,
    /// Number of different poison requests.
    pub poison: usize,
    /// How often each of them arrives.
    pub arrivals: usize,
    /// The mean time between two arrivals of the same one, roughly.
    pub gap: u64,
    /// Harmless requests a second.
    pub rate: f64,
    /// One in this many harmless requests is one of ten popular ones, which all callers send
    /// alike; zero for none.
    pub popular: u64,
    /// Maximum number of attempts that a caller makes of one request.
    pub attempts: usize,
    /// Faults, each with the time at which it is injected.
    pub faults: Vec<(u64, Fault)>,
    pub duration: u64,
    pub seed: u64,
}

/// The outcome for one poison request. Times are in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct PoisonOutcome {
    /// When it reached servers, and whether its VM was stable.
    pub reached: Vec<(u64, bool)>,
    /// When it crashed servers.
    pub crashes: Vec<u64>,
    /// How long after the third crash each stable VM rejected it.
    pub rejected_after: Vec<u64>,
    rejected_by: HashSet<(usize, u64)>,
}

impl PoisonOutcome {
    /// Returns how often stable VMs sent it to a server later than `after` ms past the third crash.
    pub fn late_sends(&self, after: u64) -> usize {
        let Some(third) = self.crashes.get(2) else {
            return 0;
        };
        let late = self
            .reached
            .iter()
            .filter(|(at, is_stable)| *is_stable && *at > third + after);
        late.count()
    }
}

/// The outcome of a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    pub poison: Vec<PoisonOutcome>,
    /// Harmless requests.
    pub harmless: usize,
    /// Attempts of harmless requests that were answered.
    pub served: usize,
    /// Attempts of harmless requests that were refused as rejected.
    pub rejected: usize,
    /// Harmless requests that some VM still rejects at the end.
    pub rejected_at_end: usize,
    /// Attempts of harmless requests that were refused because they were suspected.
    pub held_back: usize,
    /// Messages between VMs.
    pub messages: usize,
    /// The serialized size of the suspects in them.
    pub bytes: usize,
}

#[derive(Clone, Debug)]
struct Call {
    fingerprint: Fingerprint,
    /// Its index among the poison requests, if it is one.
    poison: Option<usize>,
    idempotent: bool,
    /// The attempts that its caller has left.
    attempts_left: usize,
    vm: usize,
    /// The run of the VM that handles the attempt.
    vm_run: u64,
    /// The servers to which the attempt was sent.
    tried: Vec<usize>,
    /// The sends of the attempt that reached a server.
    sends: usize,
    /// The sends of the attempt that reached no server.
    unreached: usize,
}

/// An event. VMs and servers are given by index.
enum Event {
    /// A caller sends the poison request with this index.
    PoisonArrival(usize),
    /// A caller sends a harmless request.
    HarmlessArrival,
    /// A caller makes an attempt.
    Attempt(Call),
    /// A send arrives at this server.
    Deliver(Call, usize),
    /// This server's refusal arrives at the VM.
    Refused(Call, usize),
    /// A server completes the call with this identifier.
    Complete(u64),
    /// A poison request crashes this server, if its run is still this one.
    CrashDue(usize, u64),
    /// The VM notices that the connection to this run of a server broke.
    ConnectionBroke(Call, usize, u64),
    /// The VM's probe of this run of a server is done.
    ProbeDone(Call, usize, u64),
    /// This server is up again.
    ServerRestart(usize),
    /// This VM is up again.
    VmRestart(usize),
    /// This failure domain is connected again.
    PartitionEnd(usize),
    /// This VM sends its due updates.
    UpdatesDue(usize),
    /// An update from the first VM, in this run of it, arrives at the second.
    UpdateReceived(usize, usize, Update, u64),
    /// The second VM's answer to the update with this version arrives at the first, or the call
    /// times out: the flag says whether the update was acknowledged. The run is the first VM's.
    UpdateAnswered(usize, usize, u64, bool, u64),
    /// This VM writes a record to the store.
    WriteRecord(usize, Suspect),
    /// This run of a VM reads a record from the store.
    ReadRecord(usize, Suspect, u64),
    /// A fault is injected.
    InjectFault(Fault),
    /// A random server crashes.
    CrashAny,
    /// The view of which VMs are alive is refreshed.
    RefreshView,
}

struct Vm {
    entry: VmEntry,
    region: usize,
    domain: usize,
    run: u64,
    is_up: bool,
    is_partitioned: bool,
    frozen_until: u64,
    /// When its last fault ended; zero if it has had none.
    stable_since: u64,
    suspects: SuspectTable,
    clean_runs: CleanRuns,
    peers: PeerProgress,
    in_flight: HashSet<Fingerprint>,
    /// The servers that it avoids, and until when.
    avoided: HashMap<usize, u64>,
    /// When it sends its next updates to peers.
    update_at: Option<u64>,
}

struct Server {
    region: usize,
    domain: usize,
    is_up: bool,
    run: u64,
    /// The identifiers of the calls that it runs.
    running: Vec<u64>,
}

struct Simulation {
    scenario: Scenario,
    now: u64,
    vms: Vec<Vm>,
    servers: Vec<Server>,
    /// The calls that run, with their servers, by identifier.
    calls: HashMap<u64, (Call, usize)>,
    next_call: u64,
    /// The time and the number of each pending event, the earliest first.
    events: BinaryHeap<Reverse<(u64, u64)>>,
    /// The pending events by number.
    pending: HashMap<u64, Event>,
    next_event: u64,
    /// The VMs that are believed to be alive.
    view: Vec<VmEntry>,
    feed_topology: FeedTopology,
    store_unavailable_until: u64,
    /// The rejection records in the store.
    records: BTreeMap<Fingerprint, Suspect>,
    rng: fastrand::Rng,
    next_harmless: u64,
    outcome: Outcome,
}

fn fingerprint(number: u128) -> Fingerprint {
    format!("{number:032x}")
        .parse()
        .expect("hexadecimal digits")
}

fn poison_fingerprint(number: usize) -> Fingerprint {
    fingerprint(1_000_000 + number as u128)
}

/// Simulates a scenario to its end.
pub fn simulate(scenario: &Scenario) -> Outcome {
    let mut simulation = Simulation::new(scenario.clone());
    simulation.run();
    simulation.outcome
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let region_of = |domain: usize| domain % scenario.regions;
        let vm = |n: usize| {
            let domain = n % scenario.domains;
            Vm {
                entry: entry(n, domain, region_of(domain)),
                region: region_of(domain),
                domain,
                run: 1,
                is_up: true,
                is_partitioned: false,
                frozen_until: 0,
                stable_since: 0,
                suspects: SuspectTable::default(),
                clean_runs: CleanRuns::default(),
                peers: PeerProgress::default(),
                in_flight: HashSet::new(),
                avoided: HashMap::new(),
                update_at: None,
            }
        };
        let server = |n: usize| Server {
            region: region_of(n % scenario.domains),
            domain: n % scenario.domains,
            is_up: true,
            run: 1,
            running: Vec::new(),
        };
        let vms: Vec<Vm> = (0..scenario.vms).map(vm).collect();
        let view: Vec<VmEntry> = vms.iter().map(|vm| vm.entry.clone()).collect();
        let mut simulation = Self {
            now: 0,
            servers: (0..scenario.servers).map(server).collect(),
            vms,
            calls: HashMap::new(),
            next_call: 0,
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            next_event: 0,
            feed_topology: FeedTopology::new(&view),
            view,
            store_unavailable_until: 0,
            records: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(scenario.seed),
            next_harmless: 0,
            outcome: Outcome {
                poison: vec![PoisonOutcome::default(); scenario.poison],
                ..Outcome::default()
            },
            scenario,
        };
        simulation.schedule_scenario();
        simulation
    }

    fn schedule_scenario(&mut self) {
        let Scenario {
            poison,
            arrivals,
            gap,
            ..
        } = self.scenario;
        for number in 0..poison {
            let mut at = self.rng.u64(500..2_500);
            for _ in 0..arrivals {
                self.schedule_at(at, Event::PoisonArrival(number));
                // Some arrive almost at once, as from several programs of one caller.
                at += match self.rng.u64(..5) {
                    0 => self.rng.u64(..20),
                    _ => self.rng.u64(..2 * gap),
                };
            }
        }
        for (at, fault) in self.scenario.faults.clone() {
            self.schedule_at(at, Event::InjectFault(fault));
        }
        self.schedule_at(0, Event::HarmlessArrival);
        self.schedule_at(500, Event::RefreshView);
    }

    fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.events.pop() {
            self.now = at;
            let event = self
                .pending
                .remove(&number)
                .expect("an event is scheduled only once");
            self.handle(event);
        }
        self.count_rejected_at_end();
    }

    fn count_rejected_at_end(&mut self) {
        let is_poison = |fingerprint: &Fingerprint| {
            let mut numbers = 0..self.scenario.poison;
            numbers.any(|number| *fingerprint == poison_fingerprint(number))
        };
        let mut rejected = HashSet::new();
        for vm in self.vms.iter().filter(|vm| vm.is_up) {
            let fingerprints = vm
                .suspects
                .entries()
                .map(|entry| entry.suspect.request.fingerprint);
            rejected.extend(fingerprints.filter(|fingerprint| {
                vm.suspects.verdict(fingerprint) == Verdict::Rejected && !is_poison(fingerprint)
            }));
        }
        self.outcome.rejected_at_end = rejected.len();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::PoisonArrival(number) => self.poison_arrival(number),
            Event::HarmlessArrival => self.harmless_arrival(),
            Event::Attempt(call) => self.attempt(call),
            Event::Deliver(call, server) => self.deliver(call, server),
            Event::Refused(call, server) => self.refused(call, server),
            Event::Complete(id) => self.complete(id),
            Event::CrashDue(server, run) => self.crash_due(server, run),
            Event::ConnectionBroke(call, server, run) => self.connection_broke(call, server, run),
            Event::ProbeDone(call, server, run) => self.probe_done(call, server, run),
            Event::ServerRestart(server) => {
                self.servers[server].is_up = true;
                self.servers[server].run += 1;
            }
            Event::VmRestart(vm) => self.vm_restart(vm),
            Event::PartitionEnd(domain) => self.partition_end(domain),
            Event::UpdatesDue(vm) => self.updates_due(vm),
            Event::UpdateReceived(from, to, update, run) => {
                self.update_received(from, to, &update, run)
            }
            Event::UpdateAnswered(from, to, version, is_acked, run) => {
                self.update_answered(from, to, version, is_acked, run)
            }
            Event::WriteRecord(vm, suspect) => self.write_record(vm, suspect),
            Event::ReadRecord(vm, suspect, run) => self.read_record(vm, &suspect, run),
            Event::InjectFault(fault) => self.inject(fault),
            Event::CrashAny => self.crash_any(),
            Event::RefreshView => self.refresh_view(),
        }
    }

    fn schedule_at(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.pending.insert(self.next_event, event);
        self.events.push(Reverse((at, self.next_event)));
    }

    fn schedule_in(&mut self, span: u64, event: Event) {
        self.schedule_at(self.now + span, event);
    }

    fn latency(&self, one: usize, other: usize) -> u64 {
        if one == other {
            LOCAL_LATENCY
        } else {
            REMOTE_LATENCY
        }
    }

    // Callers.

    fn poison_arrival(&mut self, number: usize) {
        let mut call = self.new_call(poison_fingerprint(number));
        call.poison = Some(number);
        call.idempotent = number.is_multiple_of(2);
        self.attempt(call);
    }

    fn harmless_arrival(&mut self) {
        self.next_harmless += 1;
        self.outcome.harmless += 1;
        let number = match self.rng.u64(..self.scenario.popular.max(1)) {
            0 if self.scenario.popular > 0 => self.rng.u64(..10),
            _ => 1_000_000_000 + self.next_harmless,
        };
        let mut call = self.new_call(fingerprint(u128::from(number)));
        call.idempotent = self.rng.bool();
        self.attempt(call);
        let mean = 1_000.0 / self.scenario.rate;
        let pause = -(1.0 - self.rng.f64()).ln() * mean;
        if self.now < self.scenario.duration {
            self.schedule_in(pause.ceil() as u64, Event::HarmlessArrival);
        }
    }

    fn new_call(&mut self, fingerprint: Fingerprint) -> Call {
        Call {
            fingerprint,
            poison: None,
            idempotent: true,
            attempts_left: self.scenario.attempts,
            vm: 0,
            vm_run: 0,
            tried: Vec::new(),
            sends: 0,
            unreached: 0,
        }
    }

    /// A caller makes an attempt at a random VM.
    fn attempt(&mut self, mut call: Call) {
        call.attempts_left -= 1;
        let vm = self.rng.usize(..self.vms.len());
        if !self.vms[vm].is_up || self.now < self.vms[vm].frozen_until {
            self.fail(call);
            return;
        }
        call.vm = vm;
        call.vm_run = self.vms[vm].run;
        call.tried.clear();
        (call.sends, call.unreached) = (0, 0);
        self.send(call);
    }

    /// An attempt failed; its caller retries if it has attempts left.
    fn fail(&mut self, call: Call) {
        if call.attempts_left > 0 {
            let pause = self.rng.u64(RETRY_PAUSE / 2..2 * RETRY_PAUSE);
            self.schedule_in(pause, Event::Attempt(call));
        }
    }

    // VMs and servers.

    fn send(&mut self, mut call: Call) {
        let vm = &mut self.vms[call.vm];
        if vm.run != call.vm_run {
            self.fail(call);
            return;
        }
        let policy = vm.suspects.send_policy(&call.fingerprint, Millis(self.now));
        let is_isolated = match policy {
            SendPolicy::Normal => false,
            SendPolicy::Isolated if vm.in_flight.insert(call.fingerprint) => true,
            SendPolicy::Isolated | SendPolicy::Delayed(_) => {
                self.outcome.held_back += usize::from(call.poison.is_none());
                self.fail(call);
                return;
            }
            SendPolicy::Rejected => {
                self.outcome.rejected += usize::from(call.poison.is_none());
                self.fail(call);
                return;
            }
        };
        let Some(server) = self.choose(&call, is_isolated) else {
            self.vms[call.vm].in_flight.remove(&call.fingerprint);
            self.fail(call);
            return;
        };
        call.tried.push(server);
        let latency = self.latency(self.vms[call.vm].region, self.servers[server].region);
        self.schedule_in(latency, Event::Deliver(call, server));
    }

    /// Chooses the server with the best rank for the request. A request that isn't isolated goes to
    /// the VM's region if it has a usable server.
    fn choose(&self, call: &Call, is_isolated: bool) -> Option<usize> {
        let vm = &self.vms[call.vm];
        let object = match is_isolated {
            true => placement_hash(&call.fingerprint),
            false => hash::digest(&call.fingerprint.as_bytes()[..15]),
        };
        let is_reachable = |n: usize| !(vm.is_partitioned && self.servers[n].domain != vm.domain);
        let usable = |n: &usize| {
            !call.tried.contains(n)
                && is_reachable(*n)
                && vm.avoided.get(n).is_none_or(|until| *until <= self.now)
        };
        let rank = |n: usize| {
            let name = format!("i-{n}-{}", self.servers[n].run);
            let hash_rank = hash::rendezvous(&[&object.to_le_bytes()], &name);
            (
                !is_isolated && self.servers[n].region != vm.region,
                hash_rank,
            )
        };
        let all = (0..self.servers.len()).filter(usable);
        all.min_by_key(|n| rank(*n))
    }

    fn deliver(&mut self, mut call: Call, server: usize) {
        let latency = self.latency(self.vms[call.vm].region, self.servers[server].region);
        if !self.servers[server].is_up {
            self.schedule_in(latency, Event::Refused(call, server));
            return;
        }
        if self.servers[server].running.len() >= 4 * SLOTS {
            // The server is full and refuses the request without running it.
            call.sends += 1;
            self.schedule_in(latency, Event::Refused(call, server));
            return;
        }
        call.sends += 1;
        let id = self.next_call;
        self.next_call += 1;
        if let Some(number) = call.poison {
            let is_stable = self.is_stable(call.vm);
            self.outcome.poison[number]
                .reached
                .push((self.now, is_stable));
            let time_to_crash = self.rng.u64(TIME_TO_CRASH);
            let run = self.servers[server].run;
            self.schedule_in(time_to_crash, Event::CrashDue(server, run));
        } else {
            let service_time = self.rng.u64(SERVICE_TIME);
            self.schedule_in(service_time, Event::Complete(id));
        }
        self.servers[server].running.push(id);
        self.calls.insert(id, (call, server));
    }

    fn refused(&mut self, mut call: Call, server: usize) {
        self.vms[call.vm].in_flight.remove(&call.fingerprint);
        if !self.servers[server].is_up {
            self.vms[call.vm]
                .avoided
                .insert(server, self.now + AVOID_TIME);
            call.unreached += 1;
        }
        if call.unreached > MAX_UNREACHED || call.sends >= MAX_SENDS {
            self.fail(call);
            return;
        }
        self.send(call);
    }

    fn complete(&mut self, id: u64) {
        let Some((call, server)) = self.calls.remove(&id) else {
            return;
        };
        self.servers[server]
            .running
            .retain(|running| *running != id);
        self.outcome.served += usize::from(call.poison.is_none());
        let now = Millis(self.now);
        let vm = &mut self.vms[call.vm];
        vm.in_flight.remove(&call.fingerprint);
        if vm.run != call.vm_run {
            return;
        }
        vm.clean_runs.record(quick_hash(&call.fingerprint), now);
        if vm.suspects.clear(&call.fingerprint, now) {
            self.entry_changed(call.vm, &call.fingerprint);
        }
    }

    fn crash_due(&mut self, server: usize, run: u64) {
        if self.servers[server].run == run && self.servers[server].is_up {
            self.crash_server(server);
        }
    }

    fn crash_server(&mut self, server: usize) {
        let running = std::mem::take(&mut self.servers[server].running);
        let run = self.servers[server].run;
        self.servers[server].is_up = false;
        let mut counted = HashSet::new();
        for id in running {
            let Some((call, _)) = self.calls.remove(&id) else {
                continue;
            };
            if let Some(number) = call.poison.filter(|number| counted.insert(*number)) {
                self.outcome.poison[number].crashes.push(self.now);
            }
            let latency = self.latency(self.vms[call.vm].region, self.servers[server].region);
            self.schedule_in(latency, Event::ConnectionBroke(call, server, run));
        }
        let downtime = self.rng.u64(SERVER_DOWNTIME);
        self.schedule_in(downtime, Event::ServerRestart(server));
    }

    fn crash_any(&mut self) {
        let up = (0..self.servers.len()).filter(|n| self.servers[*n].is_up);
        let up: Vec<usize> = up.collect();
        if let Some(server) = self.rng.choice(up) {
            self.crash_server(server);
        }
    }

    /// The connection of a request broke; its VM probes whether the server crashed.
    fn connection_broke(&mut self, call: Call, server: usize, run: u64) {
        let latency = self.latency(self.vms[call.vm].region, self.servers[server].region);
        self.schedule_in(2 * latency, Event::ProbeDone(call, server, run));
    }

    fn probe_done(&mut self, call: Call, server: usize, run: u64) {
        let now = Millis(self.now);
        let vm = &mut self.vms[call.vm];
        vm.in_flight.remove(&call.fingerprint);
        if vm.run != call.vm_run || !vm.is_up {
            self.fail(call);
            return;
        }
        if !self.servers[server].is_up {
            vm.avoided.insert(server, self.now + AVOID_TIME);
            let crash = CrashId::of(&format!("i-{server}-{run}").as_str().into(), None);
            let request = RequestSummary {
                fingerprint: call.fingerprint,
                quick_hash: quick_hash(&call.fingerprint),
                route: "r-1".into(),
                account: None,
            };
            if vm.suspects.record_crash(&request, crash, now) {
                self.entry_changed(call.vm, &call.fingerprint);
            }
        }
        if !call.idempotent || call.sends >= MAX_SENDS {
            self.fail(call);
            return;
        }
        self.send(call);
    }

    // Propagation between VMs.

    /// The entry of a request changed on a VM.
    fn entry_changed(&mut self, vm: usize, fingerprint: &Fingerprint) {
        self.schedule_updates(vm, BATCH_DELAY.0);
        let entry = self.vms[vm].suspects.get(fingerprint);
        let Some(entry) =
            entry.map(|entry| (entry.suspect.clone(), entry.local_version == entry.version))
        else {
            return;
        };
        let (suspect, is_local) = entry;
        let record = self.records.get(fingerprint);
        let is_rejected = self.vms[vm].suspects.verdict(fingerprint) == Verdict::Rejected;
        let is_pending = record.map_or(is_rejected, |record| record.epoch < suspect.epoch);
        if is_local && is_pending {
            self.schedule_in(10, Event::WriteRecord(vm, suspect.clone()));
        }
        if is_rejected {
            self.record_rejected(vm, fingerprint);
        }
    }

    fn record_rejected(&mut self, vm: usize, fingerprint: &Fingerprint) {
        let (is_stable, run) = (self.is_stable(vm), self.vms[vm].run);
        for number in 0..self.outcome.poison.len() {
            let is_same = *fingerprint == poison_fingerprint(number);
            let poison = &mut self.outcome.poison[number];
            let is_first = is_same && poison.rejected_by.insert((vm, run));
            if is_first
                && is_stable
                && let Some(third) = poison.crashes.get(2)
            {
                poison.rejected_after.push(self.now.saturating_sub(*third));
            }
        }
    }

    /// Returns whether a VM has had no fault for [`STABLE_AFTER`].
    fn is_stable(&self, vm: usize) -> bool {
        let since = self.vms[vm].stable_since;
        since == 0 || self.now >= since + STABLE_AFTER
    }

    fn schedule_updates(&mut self, vm: usize, span: u64) {
        let at = self.now + span;
        if self.vms[vm].update_at.is_none_or(|due| at < due) {
            self.vms[vm].update_at = Some(at);
            self.schedule_at(at, Event::UpdatesDue(vm));
        }
    }

    fn updates_due(&mut self, from: usize) {
        if self.vms[from]
            .update_at
            .take_if(|due| *due <= self.now)
            .is_none()
        {
            return;
        }
        if !self.vms[from].is_up
            || self.vms[from].suspects.is_empty()
            || self.now > self.scenario.duration
        {
            return;
        }
        if self.now < self.vms[from].frozen_until {
            let span = self.vms[from].frozen_until - self.now;
            self.schedule_updates(from, span);
            return;
        }
        let vm = &mut self.vms[from];
        let domain = vm.entry.domain.clone();
        let name = vm.entry.name.clone();
        let mut messages = Vec::new();
        for (to, role) in recipients(&self.feed_topology, &self.view, &name, &domain) {
            let number = number_of(&to);
            let known = self.view.iter().find(|entry| entry.name == to);
            let incarnation = known.map(|entry| entry.incarnation);
            if let Some(update) = vm.peers.start_update(&vm.suspects, &to, role, incarnation) {
                messages.push((number, update));
            }
        }
        let run = vm.run;
        for (to, update) in messages {
            self.outcome.messages += 1;
            let text = serde_json::to_string(&update.suspects).expect("suspects serialize");
            self.outcome.bytes += text.len();
            let span = self.latency(self.vms[from].region, self.vms[to].region)
                + self.rng.u64(HANDLING_TIME);
            self.schedule_in(span, Event::UpdateReceived(from, to, update, run));
        }
        self.schedule_updates(from, RETRY_INTERVAL.0);
    }

    fn is_reachable(&self, one: usize, other: usize) -> bool {
        let (one, other) = (&self.vms[one], &self.vms[other]);
        let is_partitioned =
            (one.is_partitioned || other.is_partitioned) && one.domain != other.domain;
        one.is_up && other.is_up && !is_partitioned && self.now >= other.frozen_until
    }

    fn update_received(&mut self, from: usize, to: usize, update: &Update, run: u64) {
        if !self.is_reachable(from, to) {
            self.schedule_in(
                1_000,
                Event::UpdateAnswered(from, to, update.version, false, run),
            );
            return;
        }
        let origin = match self.vms[from].domain == self.vms[to].domain {
            true => Origin::SameDomain,
            false => Origin::OtherDomain,
        };
        for suspect in &update.suspects {
            self.merge(to, suspect, origin);
        }
        let latency = self.latency(self.vms[from].region, self.vms[to].region);
        self.schedule_in(
            latency,
            Event::UpdateAnswered(from, to, update.version, true, run),
        );
    }

    fn update_answered(&mut self, from: usize, to: usize, version: u64, is_acked: bool, run: u64) {
        if self.vms[from].run != run {
            return;
        }
        let name = self.vms[to].entry.name.clone();
        self.vms[from].peers.finish_update(&name, version, is_acked);
        if is_acked && self.vms[from].suspects.last_version() > version {
            self.schedule_updates(from, BATCH_DELAY.0);
        }
    }

    // The store.

    fn write_record(&mut self, vm: usize, suspect: Suspect) {
        let is_unavailable = self.now < self.store_unavailable_until || self.vms[vm].is_partitioned;
        if !self.vms[vm].is_up {
            return;
        }
        if is_unavailable {
            if self.now < self.scenario.duration {
                self.schedule_in(1_000, Event::WriteRecord(vm, suspect));
            }
            return;
        }
        self.records
            .insert(suspect.request.fingerprint, suspect.clone());
        for reader in 0..self.vms.len() {
            let span = self.rng.u64(STORE_DELAY);
            let run = self.vms[reader].run;
            self.schedule_in(span, Event::ReadRecord(reader, suspect.clone(), run));
        }
    }

    fn read_record(&mut self, vm: usize, suspect: &Suspect, run: u64) {
        let is_readable =
            self.vms[vm].is_up && self.vms[vm].run == run && !self.vms[vm].is_partitioned;
        if is_readable {
            self.merge(vm, suspect, Origin::Store);
        }
    }

    fn merge(&mut self, index: usize, suspect: &Suspect, origin: Origin) {
        let now = Millis(self.now);
        let fingerprint = &suspect.request.fingerprint;
        let vm = &mut self.vms[index];
        if !vm.suspects.merge(suspect, origin, now) {
            return;
        }
        if vm.clean_runs.take_recent(suspect.request.quick_hash, now) {
            vm.suspects.clear(fingerprint, now);
        }
        self.entry_changed(index, fingerprint);
    }

    // Faults.

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::ServerCrash => self.crash_any(),
            Fault::DomainCrash => {
                let domain = self.rng.usize(..self.scenario.domains);
                let up = (0..self.servers.len())
                    .filter(|n| self.servers[*n].domain == domain && self.servers[*n].is_up);
                up.collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|n| self.crash_server(n));
            }
            Fault::Cascade => {
                for n in 0..self.servers.len() as u64 / 2 {
                    let span = n * 150 + self.rng.u64(..150);
                    self.schedule_in(span, Event::CrashAny);
                }
            }
            Fault::ConnectionResets => self.reset_connections(),
            Fault::VmsKilled => {
                for _ in 0..self.vms.len().div_ceil(10) {
                    let vm = self.rng.usize(..self.vms.len());
                    self.kill_vm(vm);
                }
            }
            Fault::AllVmsKilled => (0..self.vms.len()).for_each(|vm| self.kill_vm(vm)),
            Fault::DomainPartition => self.partition_domain(),
            Fault::VmFrozen => {
                let vm = self.rng.usize(..self.vms.len());
                self.vms[vm].frozen_until = self.now + 2_500;
                self.vms[vm].stable_since = self.now + 2_500;
            }
            Fault::StoreUnavailable => self.store_unavailable_until = self.now + 6_000,
        }
    }

    fn reset_connections(&mut self) {
        let mut ids: Vec<u64> = self.calls.keys().copied().collect();
        ids.sort_unstable();
        for id in ids.into_iter().filter(|id| id % 2 == 0) {
            let is_poison = self.calls[&id].0.poison.is_some();
            if is_poison {
                continue;
            }
            let (call, server) = self.calls.remove(&id).expect("a call that runs");
            self.servers[server]
                .running
                .retain(|running| *running != id);
            let run = self.servers[server].run;
            self.connection_broke(call, server, run);
        }
    }

    fn kill_vm(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        if !vm.is_up {
            return;
        }
        vm.is_up = false;
        self.schedule_in(VM_DOWNTIME, Event::VmRestart(index));
    }

    /// A VM restarts without its state. Before it serves, it reads the records from the store, or
    /// from its peers' copy.
    fn vm_restart(&mut self, index: usize) {
        let now = Millis(self.now);
        let vm = &mut self.vms[index];
        vm.is_up = true;
        vm.run += 1;
        vm.stable_since = self.now;
        vm.entry.incarnation = Incarnation(vm.run);
        vm.suspects = SuspectTable::default();
        vm.clean_runs = CleanRuns::default();
        vm.peers = PeerProgress::default();
        vm.in_flight.clear();
        for record in self.records.values() {
            vm.suspects.merge(record, Origin::Store, now);
        }
    }

    fn partition_domain(&mut self) {
        let domain = self.rng.usize(..self.scenario.domains);
        for vm in self.vms.iter_mut().filter(|vm| vm.domain == domain) {
            vm.is_partitioned = true;
        }
        self.schedule_in(5_000, Event::PartitionEnd(domain));
    }

    fn partition_end(&mut self, domain: usize) {
        let now = self.now;
        let records: Vec<Suspect> = self.records.values().cloned().collect();
        for index in 0..self.vms.len() {
            if self.vms[index].domain != domain || !self.vms[index].is_partitioned {
                continue;
            }
            self.vms[index].is_partitioned = false;
            self.vms[index].stable_since = now;
            let run = self.vms[index].run;
            for suspect in &records {
                let span = self.rng.u64(STORE_DELAY);
                self.schedule_in(span, Event::ReadRecord(index, suspect.clone(), run));
            }
        }
    }

    /// Refreshes which VMs are believed to be alive; this is late, as with the peers and the store.
    fn refresh_view(&mut self) {
        let alive = self.vms.iter().filter(|vm| vm.is_up);
        let alive: Vec<VmEntry> = alive.map(|vm| vm.entry.clone()).collect();
        if alive != self.view {
            self.feed_topology = FeedTopology::new(&alive);
            self.view = alive;
        }
        if self.now < self.scenario.duration {
            self.schedule_in(VIEW_INTERVAL, Event::RefreshView);
        }
    }
}

fn quick_hash(fingerprint: &Fingerprint) -> u64 {
    hash::digest(fingerprint.as_bytes())
}

fn number_of(vm: &VmName) -> usize {
    let number = vm.as_str().strip_prefix("vm-").and_then(|n| n.parse().ok());
    number.expect("a VM name ends in its number")
}

fn entry(number: usize, domain: usize, region: usize) -> VmEntry {
    let at = "127.0.0.1:9".parse().expect("an address");
    VmEntry {
        name: format!("vm-{number}").as_str().into(),
        domain: format!("d-{domain}").as_str().into(),
        region: format!("r-{region}").as_str().into(),
        requests: at,
        peers: at,
        incarnation: Incarnation(1),
        link_mbps: 10,
        cpu_permille: 100,
        handed: None,
        store_rtt: None,
    }
}
