//! The replay itself: one ordered list of what happens, and who is told of it.
//!
//! Each entry of the list is a line of the trace, a step of demand, a daemon's own turn, a
//! message that arrives, or a request that reaches a VM or ends. Entries of one millisecond
//! happen in the order in which they were put on the list, so a replay gives the same figures
//! every time.

use std::collections::BTreeMap;

use heatherknot_types::plan::Plan;
use heatherknot_types::prelude::*;
use slotmap::SlotMap;

use crate::backend::Backends;
use crate::brain::{Brain, Newcomer, Policy};
use crate::callers::Callers;
use crate::control::{Delivery, PlaceLoad};
use crate::fleet::{Fleet, Told};
use crate::index::Index;
use crate::journal::Journal;
use crate::lines::{LineKey, Lines};
use crate::measure::Figures;
use crate::network::Network;
use crate::requests::{Answer, Hop, Request, RequestId, Run};
use crate::slots::Queues;
use crate::trace::{Drain, DrainSubject, Event, Reported, Seen, SettingsChange, Trace, VmState};

/// One entry of the ordered list.
#[derive(Clone, Debug)]
pub(crate) enum Item {
    /// A line of the trace, by its number.
    Line(usize),
    /// A step of demand begins.
    Step,
    /// What is known spreads, and loads are reported.
    Second,
    /// A daemon's own turn.
    Turn(Turn),
    /// A message arrives.
    Deliver(Box<Delivery>),
    /// A place's load report arrives.
    Report(Box<PlaceLoad>),
    /// A caller asks.
    Asked(RequestId),
    /// A request reaches a VM.
    Arrive(Box<Hop>),
    /// A request ends at its backend server.
    Done(Box<Run>),
    /// A line of waiting requests is looked at.
    Look(LineKey),
    /// A request that waits for a slot may be out of time.
    SlotDeadline(ServiceName, usize),
    /// A VM learns how a request ended that it had handed over.
    Answered(Box<Answer>),
}

/// A daemon's own turn, ten times a second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Turn {
    pub(crate) vm: usize,
    pub(crate) incarnation: Incarnation,
    pub(crate) number: u64,
}

/// A replay under way.
pub(crate) struct Engine<'a> {
    pub(crate) trace: &'a Trace,
    pub(crate) policy: &'a Policy,
    pub(crate) now: Millis,
    pub(crate) rng: fastrand::Rng,
    pub(crate) fleet: Fleet,
    pub(crate) network: Network,
    pub(crate) backends: Backends,
    pub(crate) callers: Callers,
    pub(crate) journal: Journal,
    pub(crate) brains: Vec<Option<Brain>>,
    pub(crate) requests: SlotMap<RequestId, Request>,
    pub(crate) lines: Lines,
    pub(crate) queues: Queues,
    pub(crate) reporting: Vec<Reported>,
    pub(crate) domains: Index<DomainName>,
    pub(crate) serving: BTreeMap<ServiceName, Vec<usize>>,
    list: BTreeMap<(Millis, u64), Item>,
    sequence: u64,
}

/// How often a daemon takes its turn.
pub(crate) const TURN: Millis = Millis(100);
/// How often what is known spreads.
const SECOND: Millis = Millis(1000);

/// Replays a trace under a policy.
pub fn replay(trace: &Trace, policy: &Policy) -> Figures {
    let mut engine = Engine::new(trace, policy);
    engine.open();
    while let Some(((at, _), item)) = engine.list.pop_first() {
        if at >= trace.head.duration_ms {
            break;
        }
        engine.now = at;
        engine.happen(item);
    }
    engine.forget_unfinished();
    let services = engine.fleet.plan().services.iter();
    let accounts = services.map(|(name, s)| (name.clone(), s.account.clone()));
    let accounts = accounts.collect();
    Figures::new(engine.journal, trace.head.duration_ms, accounts)
}

impl<'a> Engine<'a> {
    fn new(trace: &'a Trace, policy: &'a Policy) -> Self {
        let head = &trace.head;
        Self {
            trace,
            policy,
            now: Millis(0),
            rng: fastrand::Rng::with_seed(head.seed),
            fleet: Fleet::new(head),
            network: Network::new(head.message_delay, &head.plan),
            backends: Backends::new(&head.plan, &head.service_times),
            callers: Callers::new(head.requests_per_answer),
            journal: Journal::new(&head.plan, head.duration_ms),
            brains: Vec::new(),
            requests: SlotMap::with_key(),
            lines: Lines::new(),
            queues: Queues::new(),
            reporting: vec![Reported::Truth; head.plan.places.len()],
            domains: Index::new(head.plan.domains.keys().cloned()),
            serving: serving(&head.plan),
            list: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Puts an entry on the list.
    pub(crate) fn put(&mut self, at: Millis, item: Item) {
        self.sequence += 1;
        self.list.insert((at.max(self.now), self.sequence), item);
    }

    fn open(&mut self) {
        for vm in 0..self.fleet.vms().len() {
            self.start_vm(vm);
        }
        self.put(Millis(0), Item::Second);
        for (number, event) in self.trace.events.iter().enumerate() {
            self.put(event.at, Item::Line(number));
        }
        self.put(Millis(0), Item::Step);
    }

    fn happen(&mut self, item: Item) {
        match item {
            Item::Line(number) => {
                let trace = self.trace;
                self.on_line(&trace.events[number]);
            }
            Item::Step => self.on_step(),
            Item::Second => self.on_second(),
            Item::Turn(turn) => self.on_turn(turn),
            Item::Deliver(delivery) => self.on_delivery(*delivery),
            Item::Report(load) => self.on_report(&load),
            Item::Asked(id) => self.on_asked(id),
            Item::Arrive(hop) => self.on_arrival(*hop),
            Item::Done(run) => self.on_done(*run),
            Item::Look(key) => self.on_look(key),
            Item::SlotDeadline(service, place) => self.on_slot_deadline(service, place),
            Item::Answered(answer) => self.on_answer(*answer),
        }
    }

    fn on_step(&mut self) {
        let step = self.trace.head.step_ms;
        let asked = self.callers.step(self.now, step, &mut self.rng);
        for (at, caller) in asked {
            self.new_request(at, caller);
        }
        self.put(self.now + step, Item::Step);
    }

    fn on_second(&mut self) {
        let (brains, now) = (&self.brains, self.now);
        let used = |vm: usize| brains[vm].as_ref().map_or(0, |brain| brain.used_part(now));
        for (vm, told) in self.fleet.spread(&self.network, now, &used) {
            self.tell(vm, told);
        }
        self.report_loads();
        self.note_control();
        self.put(self.now + SECOND, Item::Second);
    }

    pub(crate) fn tell(&mut self, vm: usize, told: Told) {
        if let Some(brain) = &mut self.brains[vm] {
            brain.on_told(told, self.now);
        }
    }

    fn on_line(&mut self, event: &Event) {
        let here = self.fleet.domain_of(&event.vm);
        match &event.seen {
            Seen::Demand(demand) => {
                let source = self.domains.of(&demand.source);
                let plan = self.fleet.plan();
                self.callers.on_demand(&event.vm, demand, source, plan);
            }
            Seen::Report(report) => {
                let place = self.journal.place_names.of(&report.place);
                self.reporting[place] = report.reported;
            }
            Seen::Vm(change) => {
                let vm = self.fleet.on_change(change, self.now);
                self.on_vm(vm, change.state);
            }
            Seen::Backend(change) => self.backends.on_change(change),
            Seen::Cut(cut) => self.network.cut(cut),
            Seen::Store(outage) => self.fleet.on_store_outage(outage.until_ms),
            Seen::Settings(change) => self.on_settings(here, change),
            Seen::Drain(drain) => {
                let change = self.drain_change(drain);
                self.on_settings(here, &change);
            }
            Seen::Decision(_) => {}
        }
    }

    fn on_settings(&mut self, here: usize, change: &SettingsChange) {
        let mut plan = serde_json::to_value(&**self.fleet.plan()).expect("a plan is plain JSON");
        for (pointer, value) in &change.set {
            if let Some(slot) = plan.pointer_mut(pointer) {
                *slot = value.clone();
            }
        }
        let mut plan: Plan = serde_json::from_value(plan).expect("the parser checks each change");
        plan.revision = self.fleet.plan().revision.next();
        self.journal.on_plan(self.now, &plan);
        self.backends.on_plan(&plan);
        self.serving = serving(&plan);
        self.fleet.on_plan(here, plan);
        for vm in self.fleet.running_in(here) {
            self.tell(vm, Told::Plan(self.fleet.plan().clone()));
        }
    }

    fn drain_change(&self, drain: &Drain) -> SettingsChange {
        let (pointer, value) = match &drain.subject {
            DrainSubject::Place(place) => {
                let pointer = format!("/places/{}/draining", escaped(place.as_str()));
                (pointer, drain.on.into())
            }
            DrainSubject::Region(region) => {
                let pointer = format!("/regions/{}/draining", escaped(region.as_str()));
                (pointer, drain.on.into())
            }
            DrainSubject::Vm(vm) => self.drain_vm(vm, drain.on),
        };
        SettingsChange {
            set: BTreeMap::from([(pointer, value)]),
        }
    }

    fn drain_vm(&self, vm: &VmName, on: bool) -> (String, serde_json::Value) {
        let domain = self.domains.name(self.fleet.domain_of(vm));
        let mut draining = self.fleet.plan().domains[domain].draining_vms.clone();
        draining.retain(|name| name != vm);
        if on {
            draining.push(vm.clone());
        }
        let value = serde_json::to_value(draining).expect("names are plain JSON");
        let pointer = format!("/domains/{}/draining_vms", escaped(domain.as_str()));
        (pointer, value)
    }

    fn on_vm(&mut self, vm: usize, state: VmState) {
        match state {
            VmState::Up => self.start_vm(vm),
            VmState::Leaving => {}
            VmState::Gone => self.stop_vm(vm),
        }
    }

    fn start_vm(&mut self, vm: usize) {
        let state = &self.fleet.vms()[vm];
        let newcomer = Newcomer {
            vm: self.fleet.name(vm).clone(),
            domain: self.domains.name(state.domain).clone(),
            incarnation: state.incarnation,
            fleet: self
                .trace
                .head
                .vms
                .values()
                .map(|vms| vms.len() as u32)
                .sum(),
            now: self.now,
        };
        let turn = Turn {
            vm,
            incarnation: state.incarnation,
            number: vm as u64,
        };
        if self.brains.len() <= vm {
            self.brains.resize_with(vm + 1, || None);
        }
        self.brains[vm] = Some((self.policy.make)(&newcomer));
        for told in self.fleet.welcome(vm) {
            self.tell(vm, told);
        }
        // Daemons don't take their turns all in the same millisecond.
        let first = self.now + Millis((vm as u64 * 7) % TURN.0);
        self.put(first, Item::Turn(turn));
    }

    fn stop_vm(&mut self, vm: usize) {
        self.brains[vm] = None;
        let held = self
            .requests
            .values()
            .filter(|request| request.holders.contains(&vm));
        let cut = held.count() as u32;
        if cut > 0 && self.fleet.was_told_to_leave(vm) {
            self.journal.cut_by_stop.push((self.now, cut));
        }
    }
}

/// Gives the places of each service.
fn serving(plan: &Plan) -> BTreeMap<ServiceName, Vec<usize>> {
    let places = Index::new(plan.places.keys().cloned());
    let of = |service: &heatherknot_types::plan::ServicePlan| {
        let mut numbers: Vec<usize> = service
            .upstreams
            .iter()
            .map(|u| places.of(&u.place))
            .collect();
        numbers.sort_unstable();
        numbers.dedup();
        numbers
    };
    let services = plan.services.iter();
    services
        .map(|(name, service)| (name.clone(), of(service)))
        .collect()
}

/// Escapes a name for a JSON pointer.
fn escaped(name: &str) -> String {
    name.replace('~', "~0").replace('/', "~1")
}
