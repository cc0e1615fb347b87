//! Simulation of a fleet that enforces an account's limit: the real meters, totals and reports,
//! with a simulated clock, network and callers.

use std::collections::HashMap;

use heatherknot_edge::accounts::{Account, AccountEntry, Accounts, RateLimit};
use heatherknot_edge::quota::meter::{Meter, RequestOrder, Verdict};
use heatherknot_edge::quota::totals::Totals;
use heatherknot_edge::quota::usage::{Counts, Reporter, UsageReport};
use heatherknot_types::prelude::*;

/// Step of the simulated clock, in milliseconds like all times here.
const STEP: u64 = 10;
/// Interval between two reports without and during a surge.
const REPORT_INTERVAL: u64 = 300;
const MIN_REPORT_INTERVAL: u64 = 60;
/// One-way delay within a domain and between domains.
const DELAY_WITHIN_DOMAIN: u64 = 2;
const DELAY_BETWEEN_DOMAINS: u64 = 57;
/// Timeouts of a report within a domain and between domains.
const TIMEOUT_WITHIN_DOMAIN: u64 = 400;
const TIMEOUT_BETWEEN_DOMAINS: u64 = 700;
/// How long a refused caller waits before it returns.
const RETURN_DELAY: u64 = 1_667;
/// How long a process takes to restart.
const RESTART_TIME: u64 = 700;

/// The only account.
pub const ACCOUNT: &str = "hot";

/// How the fleet enforces the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// No enforcement.
    Unlimited,
    /// Each VM admits by an equal share of the limit.
    EqualShares,
    /// Each VM admits by the total that it knows: everything until the limit is reached, then
    /// nothing.
    Totals,
    /// Each VM admits by the fraction that it receives from one VM of the whole fleet.
    Lent,
    /// Each VM admits by the fraction that it receives from its domain's head. This is the daemons'
    /// policy.
    Parts,
}

/// A fault that occurs at a certain time.
#[derive(Clone, Debug)]
pub enum Fault {
    /// These VMs can't reach any other VM, but callers still reach them.
    Partition(Vec<usize>),
    /// All VMs can reach each other again.
    Heal,
    /// These processes are killed and restart.
    Kill(Vec<usize>),
    /// From now on this fraction of the reports and of the answers is lost.
    Lose(f64),
    /// From now on each message takes this much longer.
    Delay(u64),
}

/// The input of a simulation.
pub struct Scenario {
    /// The account's limit.
    pub limit: RateLimit,
    /// The number of VMs in each domain.
    pub domains: Vec<usize>,
    /// Request rates per second, each with the time in milliseconds from which it applies.
    pub demand: Vec<(u64, f64)>,
    /// Faults, each with the time at which it occurs.
    pub faults: Vec<(u64, Fault)>,
    /// The end, in milliseconds.
    pub end: u64,
    /// How refused callers return, if they do.
    pub returns: Option<RequestOrder>,
    /// The random seed.
    pub seed: u64,
}

/// The result of a simulation.
pub struct RunResult {
    /// When requests were admitted, in milliseconds.
    pub admitted: Vec<u64>,
    /// Number of admitted requests whose callers had been refused before.
    pub returns_admitted: u64,
    /// Number of requests that callers sent.
    pub sent: u64,
    /// Number of requests that a single shared counter would have admitted.
    pub ideal_admitted: u64,
    /// Number of reports that VMs sent.
    pub reports: u64,
    /// Number of account counts in those reports.
    pub accounts_reported: u64,
}

impl RunResult {
    /// Returns the highest number of requests admitted within any window of this length.
    pub fn most_within(&self, window: u64) -> usize {
        let mut first = 0;
        let mut most = 0;
        for (at, time) in self.admitted.iter().enumerate() {
            while self.admitted[first] + window <= *time {
                first += 1;
            }
            most = most.max(at + 1 - first);
        }
        most
    }
}

/// A report in flight, or the answer to it.
#[derive(Clone, Copy)]
struct Call {
    from: usize,
    incarnation: u64,
    to: usize,
    number: u64,
    /// Whether it contains the sending VM's own counts.
    is_own: bool,
}

enum Event {
    UsageReport(Call, UsageReport),
    Answer(Call, Option<HashMap<AccountName, f64>>),
    Timeout(Call),
}

struct Vm {
    domain: usize,
    incarnation: u64,
    up_at: u64,
    meter: Meter,
    totals: Totals,
    reporters: HashMap<usize, Reporter>,
    /// The call that awaits an answer, by peer.
    waits_for: HashMap<usize, u64>,
    next_step: u64,
    last_step: u64,
}

struct Model<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    rng: fastrand::Rng,
    accounts: Accounts,
    vms: Vec<Vm>,
    /// When refused callers return, the next one first.
    returns: Vec<u64>,
    events: Vec<(u64, Event)>,
    partitioned: Vec<bool>,
    loss_rate: f64,
    delay: u64,
    result: RunResult,
}

/// Creates an account with a limit.
pub fn account_entry(name: &str, limit: RateLimit) -> AccountEntry {
    let account = Account {
        name: name.into(),
        priority: None,
        limit: Some(limit),
        home_regions: Vec::new(),
    };
    AccountEntry {
        account,
        keys: Vec::new(),
    }
}

/// Runs a scenario.
pub fn simulate(scenario: &Scenario, policy: Policy) -> RunResult {
    let mut model = Model::new(scenario, policy);
    let limit = scenario.limit;
    let mut level = limit.burst;
    let mut due = 0.0;
    let mut faults = scenario.faults.iter().peekable();
    for now in (0..scenario.end).step_by(STEP as usize) {
        while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= now) {
            model.inject(fault, now);
        }
        model.deliver(now);
        model.step(now);
        model.send_returns(now);
        level = (level + limit.per_second * STEP as f64 / 1_000.0).min(limit.burst.max(1.0));
        let demand = scenario.demand.iter().rfind(|(from, _)| *from <= now);
        due += demand.map_or(0.0, |(_, rate)| rate * STEP as f64 / 1_000.0);
        while due >= 1.0 {
            due -= 1.0;
            model.send_request(RequestOrder::First, now);
            if level >= 1.0 {
                level -= 1.0;
                model.result.ideal_admitted += 1;
            }
        }
    }
    model.result
}

impl<'a> Model<'a> {
    fn new(scenario: &'a Scenario, policy: Policy) -> Self {
        let entry = account_entry(ACCOUNT, scenario.limit);
        let mut rng = fastrand::Rng::with_seed(scenario.seed);
        let domains = scenario.domains.iter().enumerate();
        let domains = domains.flat_map(|(domain, vms)| std::iter::repeat_n(domain, *vms));
        let vms: Vec<Vm> = domains.map(|domain| Vm::new(domain, 0, &mut rng)).collect();
        Self {
            scenario,
            policy,
            accounts: Accounts::new(vec![entry], Vec::new()).0,
            partitioned: vec![false; vms.len()],
            vms,
            rng,
            events: Vec::new(),
            returns: Vec::new(),
            loss_rate: 0.0,
            delay: 0,
            result: RunResult {
                admitted: Vec::new(),
                returns_admitted: 0,
                sent: 0,
                ideal_admitted: 0,
                reports: 0,
                accounts_reported: 0,
            },
        }
    }

    fn inject(&mut self, fault: &Fault, now: u64) {
        match fault {
            Fault::Partition(vms) => vms.iter().for_each(|vm| self.partitioned[*vm] = true),
            Fault::Heal => self.partitioned.fill(false),
            Fault::Lose(fraction) => self.loss_rate = *fraction,
            Fault::Delay(delay) => self.delay = *delay,
            Fault::Kill(vms) => {
                for vm in vms {
                    let domain = self.vms[*vm].domain;
                    self.vms[*vm] = Vm::new(domain, now + RESTART_TIME, &mut self.rng);
                }
            }
        }
    }

    fn send_returns(&mut self, now: u64) {
        let due = self.returns.partition_point(|at| *at <= now);
        for _ in self.returns.drain(..due).collect::<Vec<_>>() {
            let order = self.scenario.returns.unwrap_or(RequestOrder::First);
            self.send_request(order, now);
            self.result.sent -= 1;
        }
    }

    fn send_request(&mut self, order: RequestOrder, now: u64) {
        self.result.sent += 1;
        let up: Vec<usize> = (0..self.vms.len())
            .filter(|vm| self.vms[*vm].up_at <= now)
            .collect();
        if up.is_empty() {
            return;
        }
        let vm = up[self.rng.usize(..up.len())];
        let draw = self.rng.f64();
        let vms = self.vms.len();
        let limit = self.scenario.limit;
        let verdict = self.vms[vm].meter.admit_in_order(
            &ACCOUNT.into(),
            limit,
            order,
            vms,
            Millis(now),
            draw,
        );
        if verdict == Verdict::Admitted || self.policy == Policy::Unlimited {
            self.result.admitted.push(now);
            self.result.returns_admitted += u64::from(order == RequestOrder::Return);
        } else if self.scenario.returns.is_some() && order == RequestOrder::First {
            self.returns.push(now + RETURN_DELAY);
        }
    }

    fn step(&mut self, now: u64) {
        if matches!(self.policy, Policy::Unlimited | Policy::EqualShares) {
            return;
        }
        for at in 0..self.vms.len() {
            let vm = &self.vms[at];
            let surges = vm.meter.has_surge() || vm.totals.has_surge();
            let is_due =
                now >= vm.next_step || (surges && now >= vm.last_step + MIN_REPORT_INTERVAL);
            if vm.up_at <= now && is_due {
                self.vms[at].next_step = now + REPORT_INTERVAL;
                self.vms[at].last_step = now;
                self.step_one(at, now);
            }
        }
    }

    /// Mirrors `quota::exchange`: reports to the head of the domain, and to the other heads if this
    /// VM is one.
    fn step_one(&mut self, at: usize, now: u64) {
        let domain = self.vms[at].domain;
        let leaders = self.leaders_to_report_to(at, domain);
        let is_collector = leaders.last() == Some(&at);
        let counts = self.vms[at].meter.take_unreported();
        if is_collector {
            let vms = self.vms.len();
            let vm = &mut self.vms[at];
            vm.totals.apply_own(&counts, &self.accounts, Millis(now));
            let fractions = self.fractions(at, vms, now);
            self.vms[at].meter.set_fractions(fractions, Millis(now));
        } else {
            for (rank, leader) in leaders.iter().enumerate() {
                let is_last = rank + 1 == leaders.len();
                let counts = if is_last {
                    counts.clone()
                } else {
                    Counts::new()
                };
                self.report_to(at, *leader, &counts, None, now);
            }
        }
        let reporting_vms =
            self.vms[at].totals.reporting_vms(Millis(now)) + u32::from(is_collector);
        if reporting_vms == 0 || self.policy == Policy::Lent {
            return;
        }
        let collected = self.vms[at].totals.take_collected();
        for domain in 0..self.scenario.domains.len() {
            for leader in self.leaders_to_report_to(at, domain) {
                if leader != at {
                    self.report_to(at, leader, &collected, Some(reporting_vms), now);
                }
            }
        }
    }

    fn fractions(&mut self, at: usize, vms: usize, now: u64) -> HashMap<AccountName, f64> {
        let totals = &mut self.vms[at].totals;
        if matches!(self.policy, Policy::Parts | Policy::Lent) {
            return totals.fractions(&self.accounts, vms, Millis(now));
        }
        let usages = totals.usages(vms, Millis(now)).into_iter();
        let full = usages.filter(|(_, usage)| usage.level < 1.0);
        full.map(|(name, _)| (name, 0.0)).collect()
    }

    fn leaders_to_report_to(&self, at: usize, domain: usize) -> Vec<usize> {
        let is_candidate =
            |vm: &usize| self.policy == Policy::Lent || self.vms[*vm].domain == domain;
        let candidates = (0..self.vms.len()).filter(is_candidate);
        let leaders: Vec<usize> = candidates.take(2).collect();
        let reporters = &self.vms[at].reporters;
        let answers =
            |vm: &usize| *vm == at || !reporters.get(vm).is_some_and(Reporter::is_avoided);
        let first = leaders.iter().position(answers);
        leaders[..first.map_or(leaders.len(), |first| first + 1)].to_vec()
    }

    fn report_to(&mut self, at: usize, to: usize, counts: &Counts, vms: Option<u32>, now: u64) {
        let vm = &mut self.vms[at];
        let reporter = vm.reporters.entry(to).or_default();
        counts
            .iter()
            .for_each(|(name, count)| reporter.add(name, *count, Millis(now)));
        let Some(report) = reporter.next_report(vms, Millis(now)) else {
            return;
        };
        self.result.reports += 1;
        self.result.accounts_reported += report.counts.len() as u64;
        let call = Call {
            from: at,
            incarnation: vm.incarnation,
            to,
            number: self.result.reports,
            is_own: vms.is_none(),
        };
        vm.waits_for.insert(to, call.number);
        let limit = if call.is_own {
            TIMEOUT_WITHIN_DOMAIN
        } else {
            TIMEOUT_BETWEEN_DOMAINS
        };
        self.events.push((now + limit, Event::Timeout(call)));
        self.send_message(at, to, Event::UsageReport(call, report), now);
    }

    fn send_message(&mut self, from: usize, to: usize, event: Event, now: u64) {
        let is_near = self.vms[from].domain == self.vms[to].domain;
        let link_delay = if is_near {
            DELAY_WITHIN_DOMAIN
        } else {
            DELAY_BETWEEN_DOMAINS
        };
        let is_lost =
            self.rng.f64() < self.loss_rate || self.partitioned[from] || self.partitioned[to];
        if !is_lost {
            self.events.push((now + link_delay + self.delay, event));
        }
    }

    fn deliver(&mut self, now: u64) {
        let (due, later) = std::mem::take(&mut self.events)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.events = later;
        let due: Vec<(u64, Event)> = due;
        for (_, event) in due {
            self.handle(event, now);
        }
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::UsageReport(call, report) => self.receive_report(call, &report, now),
            Event::Answer(call, fractions) => {
                let Some(vm) = self.take_waiting(call) else {
                    return;
                };
                vm.reporters
                    .entry(call.to)
                    .or_default()
                    .on_answer(Millis(now));
                if let Some(fractions) = fractions {
                    vm.meter.set_fractions(fractions, Millis(now));
                }
            }
            Event::Timeout(call) => {
                let Some(vm) = self.take_waiting(call) else {
                    return;
                };
                let unreported = vm
                    .reporters
                    .entry(call.to)
                    .or_default()
                    .on_failure(Millis(now));
                if call.is_own {
                    vm.meter.restore_unreported(unreported);
                }
            }
        }
    }

    fn receive_report(&mut self, call: Call, report: &UsageReport, now: u64) {
        if self.vms[call.to].up_at > now {
            return;
        }
        let name = VmName::from(format!("vm-{}", call.from));
        let incarnation = Incarnation(call.incarnation);
        let totals = &mut self.vms[call.to].totals;
        totals.apply_report(&name, incarnation, report, &self.accounts, Millis(now));
        let vms = self.vms.len();
        let fractions = call.is_own.then(|| self.fractions(call.to, vms, now));
        self.send_message(call.to, call.from, Event::Answer(call, fractions), now);
    }

    /// Returns the VM that awaits this call's answer and marks the call as finished.
    fn take_waiting(&mut self, call: Call) -> Option<&mut Vm> {
        let vm = &mut self.vms[call.from];
        let waits =
            vm.incarnation == call.incarnation && vm.waits_for.get(&call.to) == Some(&call.number);
        if !waits {
            return None;
        }
        vm.waits_for.remove(&call.to);
        Some(vm)
    }
}

impl Vm {
    fn new(domain: usize, up_at: u64, rng: &mut fastrand::Rng) -> Self {
        Self {
            domain,
            incarnation: rng.u64(1..),
            up_at,
            meter: Meter::default(),
            totals: Totals::new(Millis(up_at)),
            reporters: HashMap::new(),
            waits_for: HashMap::new(),
            next_step: up_at + rng.u64(..REPORT_INTERVAL),
            last_step: 0,
        }
    }
}
