//! The entry VMs of a replay: who is up, what each was told of settings, peers and its part.
//!
//! This stands in for the platform's store, its VM list and the relay of settings, each in its
//! plainest form: what the trace says is known, after the fixed delays that it states.

use std::collections::BTreeMap;
use std::sync::Arc;

use heatherknot_steering::Peer;
use heatherknot_store::capacity::{CapacityState, Departures, Ledger};
use heatherknot_store::port::StoreRevision;
use heatherknot_types::plan::Plan;
use heatherknot_types::prelude::*;

use crate::index::Index;
use crate::network::Network;
use crate::trace::{Head, VmChange, VmState};

/// How long it takes until a silent VM is no longer thought usable.
const DETECTION: Millis = Millis(3000);

/// One entry VM, as it truly is.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Its failure domain.
    pub domain: usize,
    /// What became of it.
    pub state: VmState,
    /// When that came about.
    pub since: Millis,
    /// The number of its run.
    pub incarnation: Incarnation,
    /// Whether it was told to stop.
    left: bool,
    /// When the platform's list tells its last change.
    listed: Option<Millis>,
    /// Its side of the capacity ledger.
    holder: CapacityState,
    /// The part that it was told of.
    part: u16,
}

/// The capacity ledger of one failure domain in the store.
#[derive(Clone, Debug, Default)]
struct Book {
    ledger: Ledger,
    at: StoreRevision,
}

impl Vm {
    /// Tells whether the VM's process runs.
    pub fn runs(&self) -> bool {
        self.state != VmState::Gone
    }
}

/// What a daemon is told.
#[derive(Clone, Debug)]
pub enum Told {
    /// It begins to run.
    Starts,
    /// Settings are in force.
    Plan(Arc<Plan>),
    /// Its part of the failure domain's capacity, in thousandths.
    Part(u16),
    /// The VMs that it knows of.
    Peers(Arc<Vec<Peer>>),
}

/// What binds the spreading of one second.
struct Spreading<'a> {
    network: &'a Network,
    now: Millis,
    used: &'a dyn Fn(usize) -> u16,
}

/// All entry VMs of a replay.
#[derive(Clone, Debug)]
pub struct Fleet {
    names: Index<VmName>,
    vms: Vec<Vm>,
    domains: Index<DomainName>,
    plan: Arc<Plan>,
    known: Vec<Revision>,
    peers: Vec<Arc<Vec<Peer>>>,
    ledgers: Vec<Book>,
    heard: BTreeMap<(usize, usize), Millis>,
    store_down_until: Millis,
    incarnations: u64,
}

impl Fleet {
    /// Makes the VMs of a head, all up.
    pub fn new(head: &Head) -> Self {
        let domains = Index::new(head.plan.domains.keys().cloned());
        let mut fleet = Self {
            names: Index::new([]),
            vms: Vec::new(),
            known: vec![head.plan.revision; domains.len()],
            peers: (0..domains.len()).map(|_| Arc::default()).collect(),
            ledgers: vec![Book::default(); domains.len()],
            domains,
            plan: Arc::new(head.plan.clone()),
            heard: BTreeMap::new(),
            store_down_until: Millis(0),
            incarnations: 0,
        };
        for (domain, vms) in &head.vms {
            for vm in vms {
                fleet.add(vm, domain, Millis(0));
            }
        }
        fleet
    }

    fn add(&mut self, name: &VmName, domain: &DomainName, now: Millis) -> usize {
        let number = self.names.add(name.clone());
        self.incarnations += 1;
        let vm = Vm {
            domain: self.domains.of(domain),
            state: VmState::Up,
            since: now,
            incarnation: Incarnation(self.incarnations),
            left: false,
            listed: None,
            holder: CapacityState::new(name.clone(), Incarnation(self.incarnations)),
            part: 0,
        };
        if number == self.vms.len() {
            self.vms.push(vm);
        } else {
            self.vms[number] = vm;
        }
        number
    }

    /// Gives the VMs by number.
    pub fn vms(&self) -> &[Vm] {
        &self.vms
    }

    /// Gives the name of a VM.
    pub fn name(&self, vm: usize) -> &VmName {
        self.names.name(vm)
    }

    /// Gives the number of a VM.
    pub fn number(&self, vm: &VmName) -> Option<usize> {
        self.names.get(vm)
    }

    /// Gives the newest settings.
    pub fn plan(&self) -> &Arc<Plan> {
        &self.plan
    }

    /// Gives the VMs of a failure domain whose process runs and accepts callers.
    pub fn accepting(&self, domain: usize) -> impl Iterator<Item = usize> {
        let all = self.vms.iter().enumerate();
        let here = all.filter(move |(_, vm)| vm.domain == domain && vm.state == VmState::Up);
        here.map(|(number, _)| number)
    }

    /// Gives the VMs whose process runs.
    pub fn running(&self) -> Vec<usize> {
        let all = self.vms.iter().enumerate();
        all.filter(|(_, vm)| vm.runs()).map(|(n, _)| n).collect()
    }

    /// Applies a change of a VM and gives the VM's number.
    pub fn on_change(&mut self, change: &VmChange, now: Millis) -> usize {
        if change.state == VmState::Up {
            let of = self.names.get(&change.subject).map(|n| self.vms[n].domain);
            let domain = match (&change.domain, of) {
                (Some(domain), _) => domain.clone(),
                (None, Some(number)) => self.domains.name(number).clone(),
                (None, None) => unreachable!("the parser checks that the VM is known"),
            };
            return self.add(&change.subject, &domain, now);
        }
        let number = self.names.of(&change.subject);
        let vm = &mut self.vms[number];
        vm.state = change.state;
        vm.since = now;
        vm.left |= change.state == VmState::Leaving;
        vm.listed = Some(now + change.listed_after_ms);
        number
    }

    /// Takes the store away for a while.
    pub fn on_store_outage(&mut self, until: Millis) {
        self.store_down_until = self.store_down_until.max(until);
    }

    /// Accepts other settings at one failure domain.
    pub fn on_plan(&mut self, domain: usize, plan: Plan) {
        self.plan = Arc::new(plan);
        self.known[domain] = self.plan.revision;
    }

    /// Gives the failure domain of a daemon that an event names.
    pub fn domain_of(&self, vm: &VmName) -> usize {
        self.names
            .get(vm)
            .map_or(0, |number| self.vms[number].domain)
    }

    /// Spreads what is known and gives what each running daemon is told; called once a second.
    /// `used` gives the part of its failure domain's capacity that a VM has lent and runs.
    pub fn spread(
        &mut self,
        network: &Network,
        now: Millis,
        used: &dyn Fn(usize) -> u16,
    ) -> Vec<(usize, Told)> {
        let mut told = Vec::new();
        let cx = Spreading { network, now, used };
        self.spread_plan(network, now, &mut told);
        self.spread_parts(&cx, &mut told);
        self.spread_peers(network, now, &mut told);
        told
    }

    /// Tells whether a VM that is gone was told to leave before.
    pub fn was_told_to_leave(&self, vm: usize) -> bool {
        self.vms[vm].left
    }

    /// Gives what a daemon is told when it begins to run.
    pub fn welcome(&self, vm: usize) -> Vec<Told> {
        vec![
            Told::Starts,
            Told::Plan(Arc::clone(&self.plan)),
            Told::Peers(Arc::clone(&self.peers[self.vms[vm].domain])),
        ]
    }

    fn reaches_store(&self, network: &Network, domain: usize, now: Millis) -> bool {
        now >= self.store_down_until && network.reaches_platform(domain, now)
    }

    fn spread_plan(&mut self, network: &Network, now: Millis, told: &mut Vec<(usize, Told)>) {
        let newest = self.plan.revision;
        let behind = |known: &Vec<Revision>, d: usize| known[d] != newest;
        let knowing: Vec<usize> = (0..self.known.len())
            .filter(|d| !behind(&self.known, *d))
            .collect();
        for domain in 0..self.known.len() {
            let hears = self.reaches_store(network, domain, now)
                || knowing
                    .iter()
                    .any(|from| network.passes(*from, domain, now));
            if !behind(&self.known, domain) || !hears {
                continue;
            }
            self.known[domain] = newest;
            for vm in self.running_in(domain) {
                told.push((vm, Told::Plan(Arc::clone(&self.plan))));
            }
        }
    }

    /// Gives the running VMs of a failure domain.
    pub fn running_in(&self, domain: usize) -> Vec<usize> {
        let all = self.vms.iter().enumerate();
        let here = all.filter(|(_, vm)| vm.domain == domain && vm.runs());
        here.map(|(number, _)| number).collect()
    }

    /// Lets each VM that reaches the store do its round of the capacity ledger.
    fn spread_parts(&mut self, cx: &Spreading<'_>, told: &mut Vec<(usize, Told)>) {
        for domain in 0..self.domains.len() {
            if !self.reaches_store(cx.network, domain, cx.now) {
                continue;
            }
            let departures = self.departures(domain, cx.now);
            for vm in self.running_in(domain) {
                self.round(vm, &departures, cx, told);
            }
        }
    }

    fn round(
        &mut self,
        vm: usize,
        departures: &Departures,
        cx: &Spreading<'_>,
        told: &mut Vec<(usize, Told)>,
    ) {
        let name = self.names.name(vm);
        let state = &mut self.vms[vm];
        let book = &mut self.ledgers[state.domain];
        let holder = &mut state.holder;
        let fault = "the ledger is written by its own rules alone";
        holder.observe(&book.ledger, book.at).expect(fault);
        let target = book.ledger.target(name, &departures.leaving);
        let shrinks = target < book.ledger.part_of(name, state.incarnation);
        let used = if shrinks { (cx.used)(vm) } else { 0 };
        if let Some(intent) = holder.plan_write(&book.ledger, book.at, used, departures) {
            holder.record_send(&intent);
            book.ledger = intent.ledger;
            book.at = book.at.next();
            holder.observe(&book.ledger, book.at).expect(fault);
        }
        let part = holder.limit();
        if part != state.part {
            state.part = part;
            told.push((vm, Told::Part(part)));
        }
    }

    /// Gives what the platform's list tells of the VMs of a failure domain.
    fn departures(&self, domain: usize, now: Millis) -> Departures {
        let listed = |state: VmState| -> Vec<VmName> {
            let all = self.vms.iter().enumerate();
            let told = all.filter(|(_, vm)| {
                vm.domain == domain && vm.state == state && vm.listed.is_some_and(|at| now >= at)
            });
            told.map(|(number, _)| self.names.name(number).clone())
                .collect()
        };
        Departures {
            leaving: listed(VmState::Leaving),
            gone: listed(VmState::Gone),
        }
    }

    /// Works out which VMs each failure domain thinks usable.
    fn spread_peers(&mut self, network: &Network, now: Millis, told: &mut Vec<(usize, Told)>) {
        for here in 0..self.domains.len() {
            for there in 0..self.domains.len() {
                if network.passes(there, here, now) && network.passes(here, there, now) {
                    self.heard.insert((here, there), now);
                }
            }
            let seen = self.seen_from(here, now);
            if seen == *self.peers[here] {
                continue;
            }
            self.peers[here] = Arc::new(seen);
            for vm in self.running_in(here) {
                told.push((vm, Told::Peers(Arc::clone(&self.peers[here]))));
            }
        }
    }

    fn seen_from(&self, here: usize, now: Millis) -> Vec<Peer> {
        let peer = |(number, vm): (usize, &Vm)| {
            let heard = self.heard.get(&(here, vm.domain)).copied();
            let silent = heard.is_none_or(|at| now.since(at) >= DETECTION);
            let stopped = vm.state == VmState::Gone && now.since(vm.since) >= DETECTION;
            Peer {
                vm: self.names.name(number).clone(),
                domain: self.domains.name(vm.domain).clone(),
                usable: !silent && !stopped && vm.state != VmState::Leaving,
            }
        };
        self.vms.iter().enumerate().map(peer).collect()
    }
}
