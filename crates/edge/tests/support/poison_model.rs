//! Callers, entry VMs and backend servers, with a clock and a network of the test's own: the real
//! decisions about requests that end servers, and what comes of them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};

use heatherknot_edge::poison::clean_runs::CleanRuns;
use heatherknot_edge::poison::exchange::{AGAIN, GATHER};
use heatherknot_edge::poison::fingerprint::Fingerprint;
use heatherknot_edge::poison::suspects::{
    Case, EndId, Judgement, Origin, Standing, Subject, Suspects, placement_hash,
};
use heatherknot_edge::poison::told::{News, Peers, audiences};
use heatherknot_edge::presence::VmEntry;
use heatherknot_edge::relay::Relay;
use heatherknot_types::hash;
use heatherknot_types::prelude::*;

/// One way within a region and to another one, in milliseconds.
const NEAR: u64 = 1;
const FAR: u64 = 55;
/// How long a peer takes to handle a message, on a small part of a core.
const HANDLED: std::ops::Range<u64> = 2..12;
/// How long a server works on a request, and a deadly one until it ends the server.
const WORK: std::ops::Range<u64> = 40..350;
const UNTIL_END: std::ops::Range<u64> = 40..100;
/// How long a server is gone that has ended.
const DOWN: std::ops::Range<u64> = 2_000..6_000;
/// The requests that a server runs at once, in the mean.
const SLOTS: usize = 6;
/// How long a VM is taken for alive that is gone.
const NOTICED: u64 = 3_500;
/// How long a VM leaves a server alone that refused it.
const AVOIDED: u64 = 1_000;
/// How long a killed VM is gone.
const VM_DOWN: u64 = 1_500;
/// The time between a write to the store and its reading by any VM.
const READ_AFTER: std::ops::Range<u64> = 100..1_500;
/// The sends of one attempt that may reach a server, and that may reach nobody.
const ATTEMPTS: usize = 2;
const MOST_UNREACHED: usize = 3;
/// How long nothing must have happened to a VM for it to count as calm.
const CALM: u64 = 4_000;
/// The pause after which a caller repeats a request that failed.
const CALLERS_PAUSE: u64 = 200;

/// What goes wrong beside deadly requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// One server ends.
    ServerEnds,
    /// All servers of a domain end.
    DomainEnds,
    /// Servers of the service end one after the other, a few a second, for some seconds.
    Cascade,
    /// Half of what runs anywhere loses its connection.
    Resets,
    /// A tenth of the VMs are killed.
    VmsKilled,
    /// All VMs are killed.
    AllKilled,
    /// A domain is cut off from all others, and from the store.
    DomainCut,
    /// A VM stands still.
    VmFrozen,
    /// The store is away.
    StoreAway,
}

/// What the model plays.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub regions: usize,
    pub domains: usize,
    pub vms: usize,
    pub servers: usize,
    /// Deadly requests, each of which comes `comings` times, about `gap` milliseconds apart.
    pub deadly: usize,
    pub comings: usize,
    pub gap: u64,
    /// Harmless requests a second.
    pub rate: f64,
    /// One in this many of those is one of ten that many callers send alike.
    pub popular: u64,
    /// The attempts that a caller makes of one request.
    pub patience: usize,
    pub troubles: Vec<(u64, Trouble)>,
    pub end: u64,
    pub seed: u64,
}

/// What came of one deadly request.
#[derive(Clone, Debug, Default)]
pub struct Deadly {
    /// When it reached servers, and whether its VM had been calm for a while.
    pub reached: Vec<(u64, bool)>,
    /// When servers ended under it.
    pub ends: Vec<u64>,
    /// How long after the third end each calm VM knew.
    pub known_after: Vec<u64>,
    known_by: HashSet<(usize, u64)>,
}

impl Deadly {
    /// Gives the sends by calm VMs later than `after` milliseconds past the third end.
    pub fn further(&self, after: u64) -> usize {
        let Some(third) = self.ends.get(2) else {
            return 0;
        };
        let late = self
            .reached
            .iter()
            .filter(|(at, calm)| *calm && *at > third + after);
        late.count()
    }
}

/// What came of a scenario.
#[derive(Debug, Default)]
pub struct Played {
    pub deadly: Vec<Deadly>,
    pub harmless: usize,
    pub served: usize,
    /// Harmless requests that were refused as rejected.
    pub rejected: usize,
    /// Harmless requests that some VM still rejects at the end.
    pub rejected_for_good: usize,
    /// Those that were not sent again, or not at once, as servers had ended under them.
    pub held_up: usize,
    /// Messages between VMs.
    pub messages: usize,
    /// The bytes of the cases in them.
    pub bytes: usize,
}

#[derive(Clone, Debug)]
struct Call {
    fingerprint: Fingerprint,
    /// Its number among the deadly ones.
    deadly: Option<usize>,
    idempotent: bool,
    /// Attempts of its caller that are left.
    left: usize,
    vm: usize,
    /// The run of the VM's daemon that has it.
    vm_run: u64,
    tried: Vec<usize>,
    arrived: usize,
    unreached: usize,
}

enum Event {
    Come(usize),
    Harmless,
    Ask(Call),
    Arrive(Call, usize),
    Refused(Call, usize),
    Done(u64),
    EndUnder(usize, u64),
    Broke(Call, usize, u64),
    Noted(Call, usize, u64),
    ServerBack(usize),
    VmBack(usize),
    Healed(usize),
    Step(usize),
    Told(usize, usize, News, u64),
    Answered(usize, usize, u64, bool, u64),
    WriteRow(usize, Case),
    ReadRow(usize, Case, u64),
    Trouble(Trouble),
    EndOne,
    Views,
}

struct Vm {
    entry: VmEntry,
    region: usize,
    domain: usize,
    run: u64,
    is_up: bool,
    is_cut: bool,
    frozen_until: u64,
    /// Since when nothing has happened to it.
    calm_since: u64,
    suspects: Suspects,
    clean_runs: CleanRuns,
    peers: Peers,
    under_way: HashSet<Fingerprint>,
    avoided: HashMap<usize, u64>,
    /// When it tells its peers next.
    step_at: Option<u64>,
}

struct Server {
    region: usize,
    domain: usize,
    is_up: bool,
    run: u64,
    running: Vec<u64>,
}

struct Model {
    scenario: Scenario,
    now: u64,
    vms: Vec<Vm>,
    servers: Vec<Server>,
    calls: HashMap<u64, (Call, usize)>,
    next_call: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    held: HashMap<u64, Event>,
    next_event: u64,
    /// The VMs that are believed to be there, and who hears from whom.
    view: Vec<VmEntry>,
    relay: Relay,
    store_away_until: u64,
    rows: BTreeMap<Fingerprint, Case>,
    rng: fastrand::Rng,
    next_harmless: u64,
    played: Played,
}

fn fingerprint(number: u128) -> Fingerprint {
    format!("{number:032x}")
        .parse()
        .expect("hexadecimal digits")
}

fn deadly_fingerprint(number: usize) -> Fingerprint {
    fingerprint(1_000_000 + number as u128)
}

/// Plays a scenario to its end.
pub fn play(scenario: &Scenario) -> Played {
    let mut model = Model::new(scenario.clone());
    model.run();
    model.played
}

impl Model {
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
                is_cut: false,
                frozen_until: 0,
                calm_since: 0,
                suspects: Suspects::default(),
                clean_runs: CleanRuns::default(),
                peers: Peers::default(),
                under_way: HashSet::new(),
                avoided: HashMap::new(),
                step_at: None,
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
        let mut model = Self {
            now: 0,
            servers: (0..scenario.servers).map(server).collect(),
            vms,
            calls: HashMap::new(),
            next_call: 0,
            events: BinaryHeap::new(),
            held: HashMap::new(),
            next_event: 0,
            relay: Relay::new(&view),
            view,
            store_away_until: 0,
            rows: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(scenario.seed),
            next_harmless: 0,
            played: Played {
                deadly: vec![Deadly::default(); scenario.deadly],
                ..Played::default()
            },
            scenario,
        };
        model.schedule();
        model
    }

    fn schedule(&mut self) {
        let Scenario {
            deadly,
            comings,
            gap,
            ..
        } = self.scenario;
        for number in 0..deadly {
            let mut at = self.rng.u64(500..2_500);
            for _ in 0..comings {
                self.at(at, Event::Come(number));
                // Some come at once, as from several programs of one caller.
                at += match self.rng.u64(..5) {
                    0 => self.rng.u64(..20),
                    _ => self.rng.u64(..2 * gap),
                };
            }
        }
        for (at, trouble) in self.scenario.troubles.clone() {
            self.at(at, Event::Trouble(trouble));
        }
        self.at(0, Event::Harmless);
        self.at(500, Event::Views);
    }

    fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.events.pop() {
            self.now = at;
            let event = self.held.remove(&number).expect("each event is there once");
            self.handle(event);
        }
        self.count_rejected_for_good();
    }

    fn count_rejected_for_good(&mut self) {
        let deadly = |fingerprint: &Fingerprint| {
            let mut numbers = 0..self.scenario.deadly;
            numbers.any(|number| *fingerprint == deadly_fingerprint(number))
        };
        let mut rejected = HashSet::new();
        for vm in self.vms.iter().filter(|vm| vm.is_up) {
            let all = vm.suspects.all().map(|held| held.case.subject.fingerprint);
            rejected.extend(all.filter(|fingerprint| {
                vm.suspects.standing(fingerprint) == Standing::Rejected && !deadly(fingerprint)
            }));
        }
        self.played.rejected_for_good = rejected.len();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Come(number) => self.come(number),
            Event::Harmless => self.harmless(),
            Event::Ask(call) => self.ask(call),
            Event::Arrive(call, server) => self.arrive(call, server),
            Event::Refused(call, server) => self.refused(call, server),
            Event::Done(id) => self.done(id),
            Event::EndUnder(server, run) => self.end_under(server, run),
            Event::Broke(call, server, run) => self.broke(call, server, run),
            Event::Noted(call, server, run) => self.noted(call, server, run),
            Event::ServerBack(server) => {
                self.servers[server].is_up = true;
                self.servers[server].run += 1;
            }
            Event::VmBack(vm) => self.vm_back(vm),
            Event::Healed(domain) => self.healed(domain),
            Event::Step(vm) => self.step(vm),
            Event::Told(from, to, news, run) => self.told(from, to, &news, run),
            Event::Answered(from, to, number, ok, run) => self.answered(from, to, number, ok, run),
            Event::WriteRow(vm, case) => self.write_row(vm, case),
            Event::ReadRow(vm, case, run) => self.read_row(vm, &case, run),
            Event::Trouble(trouble) => self.strike(trouble),
            Event::EndOne => self.end_any(),
            Event::Views => self.look_at_vms(),
        }
    }

    fn at(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.held.insert(self.next_event, event);
        self.events.push(Reverse((at, self.next_event)));
    }

    fn after(&mut self, span: u64, event: Event) {
        self.at(self.now + span, event);
    }

    fn way(&self, one: usize, other: usize) -> u64 {
        if one == other { NEAR } else { FAR }
    }

    // Callers.

    fn come(&mut self, number: usize) {
        let mut call = self.new_call(deadly_fingerprint(number));
        call.deadly = Some(number);
        call.idempotent = number.is_multiple_of(2);
        self.ask(call);
    }

    fn harmless(&mut self) {
        self.next_harmless += 1;
        self.played.harmless += 1;
        let number = match self.rng.u64(..self.scenario.popular.max(1)) {
            0 if self.scenario.popular > 0 => self.rng.u64(..10),
            _ => 1_000_000_000 + self.next_harmless,
        };
        let mut call = self.new_call(fingerprint(u128::from(number)));
        call.idempotent = self.rng.bool();
        self.ask(call);
        let mean = 1_000.0 / self.scenario.rate;
        let pause = -(1.0 - self.rng.f64()).ln() * mean;
        if self.now < self.scenario.end {
            self.after(pause.ceil() as u64, Event::Harmless);
        }
    }

    fn new_call(&mut self, fingerprint: Fingerprint) -> Call {
        Call {
            fingerprint,
            deadly: None,
            idempotent: true,
            left: self.scenario.patience,
            vm: 0,
            vm_run: 0,
            tried: Vec::new(),
            arrived: 0,
            unreached: 0,
        }
    }

    /// A caller makes an attempt at any VM.
    fn ask(&mut self, mut call: Call) {
        call.left -= 1;
        let vm = self.rng.usize(..self.vms.len());
        if !self.vms[vm].is_up || self.now < self.vms[vm].frozen_until {
            self.fail(call);
            return;
        }
        call.vm = vm;
        call.vm_run = self.vms[vm].run;
        call.tried.clear();
        (call.arrived, call.unreached) = (0, 0);
        self.send(call);
    }

    /// The attempt has failed; its caller makes another one where it has the patience.
    fn fail(&mut self, call: Call) {
        if call.left > 0 {
            let pause = self.rng.u64(CALLERS_PAUSE / 2..2 * CALLERS_PAUSE);
            self.after(pause, Event::Ask(call));
        }
    }

    // VMs and servers.

    fn send(&mut self, mut call: Call) {
        let vm = &mut self.vms[call.vm];
        if vm.run != call.vm_run {
            self.fail(call);
            return;
        }
        let judgement = vm.suspects.judge(&call.fingerprint, Millis(self.now));
        let is_apart = match judgement {
            Judgement::Free => false,
            Judgement::Apart if vm.under_way.insert(call.fingerprint) => true,
            Judgement::Apart | Judgement::Wait(_) => {
                self.played.held_up += usize::from(call.deadly.is_none());
                self.fail(call);
                return;
            }
            Judgement::Rejected => {
                self.played.rejected += usize::from(call.deadly.is_none());
                self.fail(call);
                return;
            }
        };
        let Some(server) = self.choose(&call, is_apart) else {
            self.vms[call.vm].under_way.remove(&call.fingerprint);
            self.fail(call);
            return;
        };
        call.tried.push(server);
        let way = self.way(self.vms[call.vm].region, self.servers[server].region);
        self.after(way, Event::Arrive(call, server));
    }

    /// Ranks the servers of the VM's region for the request, or all where none of those is left.
    fn choose(&self, call: &Call, is_apart: bool) -> Option<usize> {
        let vm = &self.vms[call.vm];
        let object = match is_apart {
            true => placement_hash(&call.fingerprint),
            false => hash::digest(&call.fingerprint.as_bytes()[..15]),
        };
        let reached = |n: usize| !(vm.is_cut && self.servers[n].domain != vm.domain);
        let usable = |n: &usize| {
            !call.tried.contains(n)
                && reached(*n)
                && vm.avoided.get(n).is_none_or(|until| *until <= self.now)
        };
        let rank = |n: usize| {
            let name = format!("i-{n}-{}", self.servers[n].run);
            let drawn = hash::rendezvous(&[&object.to_le_bytes()], &name);
            (!is_apart && self.servers[n].region != vm.region, drawn)
        };
        let all = (0..self.servers.len()).filter(usable);
        all.min_by_key(|n| rank(*n))
    }

    fn arrive(&mut self, mut call: Call, server: usize) {
        let way = self.way(self.vms[call.vm].region, self.servers[server].region);
        if !self.servers[server].is_up {
            self.after(way, Event::Refused(call, server));
            return;
        }
        if self.servers[server].running.len() >= 4 * SLOTS {
            // Full, and refused unrun.
            call.arrived += 1;
            self.after(way, Event::Refused(call, server));
            return;
        }
        call.arrived += 1;
        let id = self.next_call;
        self.next_call += 1;
        if let Some(number) = call.deadly {
            let is_calm = self.is_calm(call.vm);
            self.played.deadly[number].reached.push((self.now, is_calm));
            let until_end = self.rng.u64(UNTIL_END);
            let run = self.servers[server].run;
            self.after(until_end, Event::EndUnder(server, run));
        } else {
            let work = self.rng.u64(WORK);
            self.after(work, Event::Done(id));
        }
        self.servers[server].running.push(id);
        self.calls.insert(id, (call, server));
    }

    fn refused(&mut self, mut call: Call, server: usize) {
        self.vms[call.vm].under_way.remove(&call.fingerprint);
        if !self.servers[server].is_up {
            self.vms[call.vm].avoided.insert(server, self.now + AVOIDED);
            call.unreached += 1;
        }
        if call.unreached > MOST_UNREACHED || call.arrived >= ATTEMPTS {
            self.fail(call);
            return;
        }
        self.send(call);
    }

    fn done(&mut self, id: u64) {
        let Some((call, server)) = self.calls.remove(&id) else {
            return;
        };
        self.servers[server]
            .running
            .retain(|running| *running != id);
        self.played.served += usize::from(call.deadly.is_none());
        let now = Millis(self.now);
        let vm = &mut self.vms[call.vm];
        vm.under_way.remove(&call.fingerprint);
        if vm.run != call.vm_run {
            return;
        }
        vm.clean_runs.note(quick(&call.fingerprint), now);
        if vm.suspects.clear(&call.fingerprint, now) {
            self.news(call.vm, &call.fingerprint);
        }
    }

    fn end_under(&mut self, server: usize, run: u64) {
        if self.servers[server].run == run && self.servers[server].is_up {
            self.end_server(server);
        }
    }

    fn end_server(&mut self, server: usize) {
        let running = std::mem::take(&mut self.servers[server].running);
        let run = self.servers[server].run;
        self.servers[server].is_up = false;
        let mut under = HashSet::new();
        for id in running {
            let Some((call, _)) = self.calls.remove(&id) else {
                continue;
            };
            if let Some(number) = call.deadly.filter(|number| under.insert(*number)) {
                self.played.deadly[number].ends.push(self.now);
            }
            let way = self.way(self.vms[call.vm].region, self.servers[server].region);
            self.after(way, Event::Broke(call, server, run));
        }
        let down = self.rng.u64(DOWN);
        self.after(down, Event::ServerBack(server));
    }

    fn end_any(&mut self) {
        let up = (0..self.servers.len()).filter(|n| self.servers[*n].is_up);
        let up: Vec<usize> = up.collect();
        if let Some(server) = self.rng.choice(up) {
            self.end_server(server);
        }
    }

    /// The connection of a request breaks; its VM asks the server whether it has ended.
    fn broke(&mut self, call: Call, server: usize, run: u64) {
        let way = self.way(self.vms[call.vm].region, self.servers[server].region);
        self.after(2 * way, Event::Noted(call, server, run));
    }

    fn noted(&mut self, call: Call, server: usize, run: u64) {
        let now = Millis(self.now);
        let vm = &mut self.vms[call.vm];
        vm.under_way.remove(&call.fingerprint);
        if vm.run != call.vm_run || !vm.is_up {
            self.fail(call);
            return;
        }
        if !self.servers[server].is_up {
            vm.avoided.insert(server, self.now + AVOIDED);
            let id = EndId::of(&format!("i-{server}-{run}").as_str().into(), None);
            let subject = Subject {
                fingerprint: call.fingerprint,
                quick: quick(&call.fingerprint),
                route: "r-1".into(),
                account: None,
            };
            if vm.suspects.note_end(&subject, id, now) {
                self.news(call.vm, &call.fingerprint);
            }
        }
        if !call.idempotent || call.arrived >= ATTEMPTS {
            self.fail(call);
            return;
        }
        self.send(call);
    }

    // What VMs tell each other.

    /// There is news of a request at a VM.
    fn news(&mut self, vm: usize, fingerprint: &Fingerprint) {
        self.step_soon(vm, GATHER.0);
        let held = self.vms[vm].suspects.get(fingerprint);
        let Some(held) = held.map(|held| (held.case.clone(), held.own == held.number)) else {
            return;
        };
        let (case, is_own) = held;
        let row = self.rows.get(fingerprint);
        let is_rejected = self.vms[vm].suspects.standing(fingerprint) == Standing::Rejected;
        let is_due = row.map_or(is_rejected, |row| row.epoch < case.epoch);
        if is_own && is_due {
            self.after(10, Event::WriteRow(vm, case.clone()));
        }
        if is_rejected {
            self.note_known(vm, fingerprint);
        }
    }

    fn note_known(&mut self, vm: usize, fingerprint: &Fingerprint) {
        let (is_calm, run) = (self.is_calm(vm), self.vms[vm].run);
        for number in 0..self.played.deadly.len() {
            let known = *fingerprint == deadly_fingerprint(number);
            let deadly = &mut self.played.deadly[number];
            let is_first = known && deadly.known_by.insert((vm, run));
            if is_first
                && is_calm
                && let Some(third) = deadly.ends.get(2)
            {
                deadly.known_after.push(self.now.saturating_sub(*third));
            }
        }
    }

    /// Says whether nothing has happened to a VM for a while.
    fn is_calm(&self, vm: usize) -> bool {
        let since = self.vms[vm].calm_since;
        since == 0 || self.now >= since + CALM
    }

    fn step_soon(&mut self, vm: usize, span: u64) {
        let at = self.now + span;
        if self.vms[vm].step_at.is_none_or(|due| at < due) {
            self.vms[vm].step_at = Some(at);
            self.at(at, Event::Step(vm));
        }
    }

    fn step(&mut self, at: usize) {
        if self.vms[at]
            .step_at
            .take_if(|due| *due <= self.now)
            .is_none()
        {
            return;
        }
        if !self.vms[at].is_up || self.vms[at].suspects.is_empty() || self.now > self.scenario.end {
            return;
        }
        if self.now < self.vms[at].frozen_until {
            let span = self.vms[at].frozen_until - self.now;
            self.step_soon(at, span);
            return;
        }
        let vm = &mut self.vms[at];
        let domain = vm.entry.domain.clone();
        let name = vm.entry.name.clone();
        let mut messages = Vec::new();
        for (to, audience) in audiences(&self.relay, &self.view, &name, &domain) {
            let number = number_of(&to);
            let known = self.view.iter().find(|entry| entry.name == to);
            let incarnation = known.map(|entry| entry.incarnation);
            if let Some(news) = vm.peers.begin(&vm.suspects, &to, audience, incarnation) {
                messages.push((number, news));
            }
        }
        let run = vm.run;
        for (to, news) in messages {
            self.played.messages += 1;
            let text = serde_json::to_string(&news.cases).expect("cases serialise");
            self.played.bytes += text.len();
            let span = self.way(self.vms[at].region, self.vms[to].region) + self.rng.u64(HANDLED);
            self.after(span, Event::Told(at, to, news, run));
        }
        self.step_soon(at, AGAIN.0);
    }

    fn is_joined(&self, one: usize, other: usize) -> bool {
        let (one, other) = (&self.vms[one], &self.vms[other]);
        let is_cut = (one.is_cut || other.is_cut) && one.domain != other.domain;
        one.is_up && other.is_up && !is_cut && self.now >= other.frozen_until
    }

    fn told(&mut self, from: usize, to: usize, news: &News, run: u64) {
        if !self.is_joined(from, to) {
            self.after(1_000, Event::Answered(from, to, news.number, false, run));
            return;
        }
        let origin = match self.vms[from].domain == self.vms[to].domain {
            true => Origin::Domain,
            false => Origin::Elsewhere,
        };
        for case in &news.cases {
            self.take(to, case, origin);
        }
        let way = self.way(self.vms[from].region, self.vms[to].region);
        self.after(way, Event::Answered(from, to, news.number, true, run));
    }

    fn answered(&mut self, from: usize, to: usize, number: u64, ok: bool, run: u64) {
        if self.vms[from].run != run {
            return;
        }
        let name = self.vms[to].entry.name.clone();
        self.vms[from].peers.ended(&name, number, ok);
        if ok && self.vms[from].suspects.last_number() > number {
            self.step_soon(from, GATHER.0);
        }
    }

    // The store.

    fn write_row(&mut self, vm: usize, case: Case) {
        let is_away = self.now < self.store_away_until || self.vms[vm].is_cut;
        if !self.vms[vm].is_up {
            return;
        }
        if is_away {
            if self.now < self.scenario.end {
                self.after(1_000, Event::WriteRow(vm, case));
            }
            return;
        }
        self.rows.insert(case.subject.fingerprint, case.clone());
        for reader in 0..self.vms.len() {
            let span = self.rng.u64(READ_AFTER);
            let run = self.vms[reader].run;
            self.after(span, Event::ReadRow(reader, case.clone(), run));
        }
    }

    fn read_row(&mut self, vm: usize, case: &Case, run: u64) {
        let is_there = self.vms[vm].is_up && self.vms[vm].run == run && !self.vms[vm].is_cut;
        if is_there {
            self.take(vm, case, Origin::Store);
        }
    }

    fn take(&mut self, at: usize, case: &Case, origin: Origin) {
        let now = Millis(self.now);
        let fingerprint = &case.subject.fingerprint;
        let vm = &mut self.vms[at];
        if !vm.suspects.take(case, origin, now) {
            return;
        }
        if vm.clean_runs.take(case.subject.quick, now) {
            vm.suspects.clear(fingerprint, now);
        }
        self.news(at, fingerprint);
    }

    // Troubles.

    fn strike(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::ServerEnds => self.end_any(),
            Trouble::DomainEnds => {
                let domain = self.rng.usize(..self.scenario.domains);
                let there = (0..self.servers.len())
                    .filter(|n| self.servers[*n].domain == domain && self.servers[*n].is_up);
                there
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|n| self.end_server(n));
            }
            Trouble::Cascade => {
                for n in 0..self.servers.len() as u64 / 2 {
                    let span = n * 150 + self.rng.u64(..150);
                    self.after(span, Event::EndOne);
                }
            }
            Trouble::Resets => self.reset_connections(),
            Trouble::VmsKilled => {
                for _ in 0..self.vms.len().div_ceil(10) {
                    let vm = self.rng.usize(..self.vms.len());
                    self.kill(vm);
                }
            }
            Trouble::AllKilled => (0..self.vms.len()).for_each(|vm| self.kill(vm)),
            Trouble::DomainCut => self.cut(),
            Trouble::VmFrozen => {
                let vm = self.rng.usize(..self.vms.len());
                self.vms[vm].frozen_until = self.now + 2_500;
                self.vms[vm].calm_since = self.now + 2_500;
            }
            Trouble::StoreAway => self.store_away_until = self.now + 6_000,
        }
    }

    fn reset_connections(&mut self) {
        let mut ids: Vec<u64> = self.calls.keys().copied().collect();
        ids.sort_unstable();
        for id in ids.into_iter().filter(|id| id % 2 == 0) {
            let is_deadly = self.calls[&id].0.deadly.is_some();
            if is_deadly {
                continue;
            }
            let (call, server) = self.calls.remove(&id).expect("it is there");
            self.servers[server]
                .running
                .retain(|running| *running != id);
            let run = self.servers[server].run;
            self.broke(call, server, run);
        }
    }

    fn kill(&mut self, at: usize) {
        let vm = &mut self.vms[at];
        if !vm.is_up {
            return;
        }
        vm.is_up = false;
        self.after(VM_DOWN, Event::VmBack(at));
    }

    /// A VM that starts reads the store, or its peers' copy of it, before it serves.
    fn vm_back(&mut self, at: usize) {
        let now = Millis(self.now);
        let vm = &mut self.vms[at];
        vm.is_up = true;
        vm.run += 1;
        vm.calm_since = self.now;
        vm.entry.incarnation = Incarnation(vm.run);
        vm.suspects = Suspects::default();
        vm.clean_runs = CleanRuns::default();
        vm.peers = Peers::default();
        vm.under_way.clear();
        for row in self.rows.values() {
            vm.suspects.take(row, Origin::Store, now);
        }
    }

    fn cut(&mut self) {
        let domain = self.rng.usize(..self.scenario.domains);
        for vm in self.vms.iter_mut().filter(|vm| vm.domain == domain) {
            vm.is_cut = true;
        }
        self.after(5_000, Event::Healed(domain));
    }

    fn healed(&mut self, domain: usize) {
        let now = self.now;
        let rows: Vec<Case> = self.rows.values().cloned().collect();
        for at in 0..self.vms.len() {
            if self.vms[at].domain != domain || !self.vms[at].is_cut {
                continue;
            }
            self.vms[at].is_cut = false;
            self.vms[at].calm_since = now;
            let run = self.vms[at].run;
            for case in &rows {
                let span = self.rng.u64(READ_AFTER);
                self.after(span, Event::ReadRow(at, case.clone(), run));
            }
        }
    }

    /// What peers and the store say of which VMs are there; a while late.
    fn look_at_vms(&mut self) {
        let there = self.vms.iter().filter(|vm| vm.is_up);
        let there: Vec<VmEntry> = there.map(|vm| vm.entry.clone()).collect();
        if there != self.view {
            self.relay = Relay::new(&there);
            self.view = there;
        }
        if self.now < self.scenario.end {
            self.after(NOTICED, Event::Views);
        }
    }
}

fn quick(fingerprint: &Fingerprint) -> u64 {
    hash::digest(fingerprint.as_bytes())
}

fn number_of(vm: &VmName) -> usize {
    let number = vm.as_str().strip_prefix("vm-").and_then(|n| n.parse().ok());
    number.expect("VMs have numbers")
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
