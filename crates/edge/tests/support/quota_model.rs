//! A fleet that keeps an account to its quota: the real meters, pools and reports, with a clock, a
//! network and callers of the test's own.

use std::collections::HashMap;

use heatherknot_edge::accounts::{Account, AccountEntry, Accounts, RateLimit};
use heatherknot_edge::quota::meter::{Meter, Verdict};
use heatherknot_edge::quota::totals::Totals;
use heatherknot_edge::quota::usage::{Counts, Reporter, UsageReport};
use heatherknot_types::prelude::*;

/// A step of the model's clock.
const STEP: u64 = 10;
/// The time between two reports while nothing surges, and while something does.
const PERIOD: u64 = 300;
const SURGE_PERIOD: u64 = 60;
/// One way within a domain, and between two.
const NEAR: u64 = 2;
const FAR: u64 = 57;
/// The time allowed for an answer within a domain, and from another one.
const LIMIT_HERE: u64 = 400;
const LIMIT_AWAY: u64 = 700;
/// How long a process takes to start again.
const START: u64 = 700;

/// The only account.
pub const ACCOUNT: &str = "hot";

/// How a fleet keeps to the quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Not at all.
    Unlimited,
    /// Each VM by its own equal share of the limit.
    EqualShares,
    /// Each VM by the total that it knows: all while there is room, else nothing.
    Totals,
    /// Each VM by the part that one VM of the whole fleet lends it.
    Lent,
    /// Each VM by the part that the totals leave room for.
    Parts,
}

/// What goes wrong at a time.
#[derive(Clone, Debug)]
pub enum Fault {
    /// These VMs reach no other VM, and callers still reach them.
    Cut(Vec<usize>),
    /// All VMs reach each other again.
    Heal,
    /// These processes are killed and start again.
    Kill(Vec<usize>),
    /// From now on this part of the reports, and of the answers, is lost.
    Lose(f64),
    /// From now on reports take this much longer.
    Delay(u64),
}

/// What the model plays.
pub struct Scenario {
    /// The limit.
    pub limit: RateLimit,
    /// The VMs of each domain.
    pub domains: Vec<usize>,
    /// Requests a second, from these times in milliseconds on.
    pub demand: Vec<(u64, f64)>,
    /// What goes wrong, from these times on.
    pub faults: Vec<(u64, Fault)>,
    /// The end, in milliseconds.
    pub end: u64,
    /// The chance of all that is drawn.
    pub seed: u64,
}

/// What came of it.
pub struct Played {
    /// When requests were admitted, in milliseconds.
    pub admitted: Vec<u64>,
    /// Requests that callers sent.
    pub asked: u64,
    /// Requests that one counter in one place would have admitted.
    pub owed: u64,
    /// Words that VMs sent.
    pub reports: u64,
    /// Accounts that reports told of.
    pub told: u64,
}

impl Played {
    /// Gives the most requests that were admitted within a window.
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

/// A report on its way, and the answer to it.
#[derive(Clone, Copy)]
struct Call {
    from: usize,
    incarnation: u64,
    to: usize,
    number: u64,
    /// Whether it tells what the VM itself counted.
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
    /// The calls that wait for an answer, by peer.
    waits_for: HashMap<usize, u64>,
    next_step: u64,
    stepped: u64,
}

struct Model<'a> {
    scenario: &'a Scenario,
    way: Way,
    rng: fastrand::Rng,
    accounts: Accounts,
    vms: Vec<Vm>,
    events: Vec<(u64, Event)>,
    cut: Vec<bool>,
    lost: f64,
    delay: u64,
    played: Played,
}

/// Makes an account with a limit.
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

/// Plays a scenario.
pub fn play(scenario: &Scenario, way: Way) -> Played {
    let mut model = Model::new(scenario, way);
    let limit = scenario.limit;
    let mut level = limit.burst;
    let mut due = 0.0;
    let mut faults = scenario.faults.iter().peekable();
    for now in (0..scenario.end).step_by(STEP as usize) {
        while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= now) {
            model.strike(fault, now);
        }
        model.deliver(now);
        model.step(now);
        level = (level + limit.per_second * STEP as f64 / 1_000.0).min(limit.burst.max(1.0));
        let demand = scenario.demand.iter().rfind(|(from, _)| *from <= now);
        due += demand.map_or(0.0, |(_, rate)| rate * STEP as f64 / 1_000.0);
        while due >= 1.0 {
            due -= 1.0;
            model.ask(now);
            if level >= 1.0 {
                level -= 1.0;
                model.played.owed += 1;
            }
        }
    }
    model.played
}

impl<'a> Model<'a> {
    fn new(scenario: &'a Scenario, way: Way) -> Self {
        let entry = account_entry(ACCOUNT, scenario.limit);
        let mut rng = fastrand::Rng::with_seed(scenario.seed);
        let domains = scenario.domains.iter().enumerate();
        let domains = domains.flat_map(|(domain, vms)| std::iter::repeat_n(domain, *vms));
        let vms: Vec<Vm> = domains.map(|domain| Vm::new(domain, 0, &mut rng)).collect();
        Self {
            scenario,
            way,
            accounts: Accounts::new(vec![entry], Vec::new()).0,
            cut: vec![false; vms.len()],
            vms,
            rng,
            events: Vec::new(),
            lost: 0.0,
            delay: 0,
            played: Played {
                admitted: Vec::new(),
                asked: 0,
                owed: 0,
                reports: 0,
                told: 0,
            },
        }
    }

    fn strike(&mut self, fault: &Fault, now: u64) {
        match fault {
            Fault::Cut(vms) => vms.iter().for_each(|vm| self.cut[*vm] = true),
            Fault::Heal => self.cut.fill(false),
            Fault::Lose(part) => self.lost = *part,
            Fault::Delay(delay) => self.delay = *delay,
            Fault::Kill(vms) => {
                for vm in vms {
                    let domain = self.vms[*vm].domain;
                    self.vms[*vm] = Vm::new(domain, now + START, &mut self.rng);
                }
            }
        }
    }

    fn ask(&mut self, now: u64) {
        self.played.asked += 1;
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
        let verdict = self.vms[vm]
            .meter
            .ask(&ACCOUNT.into(), limit, vms, Millis(now), draw);
        if verdict == Verdict::Admitted || self.way == Way::Unlimited {
            self.played.admitted.push(now);
        }
    }

    fn step(&mut self, now: u64) {
        if matches!(self.way, Way::Unlimited | Way::EqualShares) {
            return;
        }
        for at in 0..self.vms.len() {
            let vm = &self.vms[at];
            let surges = vm.meter.has_surge() || vm.totals.has_surge();
            let is_due = now >= vm.next_step || (surges && now >= vm.stepped + SURGE_PERIOD);
            if vm.up_at <= now && is_due {
                self.vms[at].next_step = now + PERIOD;
                self.vms[at].stepped = now;
                self.step_one(at, now);
            }
        }
    }

    /// What `exchange` does: tell the head of the domain, and the other heads where this is one.
    fn step_one(&mut self, at: usize, now: u64) {
        let domain = self.vms[at].domain;
        let leaders = self.leaders_to_tell(at, domain);
        let is_collector = leaders.last() == Some(&at);
        let counts = self.vms[at].meter.take_untold();
        if is_collector {
            let vms = self.vms.len();
            let vm = &mut self.vms[at];
            vm.totals.take_own(&counts, &self.accounts, Millis(now));
            let parts = self.parts(at, vms, now);
            self.vms[at].meter.take_parts(parts, Millis(now));
        } else {
            for (rank, leader) in leaders.iter().enumerate() {
                let is_last = rank + 1 == leaders.len();
                let counts = if is_last {
                    counts.clone()
                } else {
                    Counts::new()
                };
                self.tell(at, *leader, &counts, None, now);
            }
        }
        let heard = self.vms[at].totals.heard_here(Millis(now)) + u32::from(is_collector);
        if heard == 0 || self.way == Way::Lent {
            return;
        }
        let collected = self.vms[at].totals.take_collected();
        for domain in 0..self.scenario.domains.len() {
            for leader in self.leaders_to_tell(at, domain) {
                if leader != at {
                    self.tell(at, leader, &collected, Some(heard), now);
                }
            }
        }
    }

    fn parts(&mut self, at: usize, vms: usize, now: u64) -> HashMap<AccountName, f64> {
        let totals = &mut self.vms[at].totals;
        if matches!(self.way, Way::Parts | Way::Lent) {
            return totals.parts(&self.accounts, vms, Millis(now));
        }
        let standings = totals.standings(vms, Millis(now)).into_iter();
        let full = standings.filter(|(_, standing)| standing.level < 1.0);
        full.map(|(name, _)| (name, 0.0)).collect()
    }

    fn leaders_to_tell(&self, at: usize, domain: usize) -> Vec<usize> {
        let is_there = |vm: &usize| self.way == Way::Lent || self.vms[*vm].domain == domain;
        let there = (0..self.vms.len()).filter(is_there);
        let leaders: Vec<usize> = there.take(2).collect();
        let reporters = &self.vms[at].reporters;
        let answers =
            |vm: &usize| *vm == at || !reporters.get(vm).is_some_and(Reporter::is_avoided);
        let first = leaders.iter().position(answers);
        leaders[..first.map_or(leaders.len(), |first| first + 1)].to_vec()
    }

    fn tell(&mut self, at: usize, to: usize, counts: &Counts, vms: Option<u32>, now: u64) {
        let vm = &mut self.vms[at];
        let reporter = vm.reporters.entry(to).or_default();
        counts
            .iter()
            .for_each(|(name, count)| reporter.add(name, *count, Millis(now)));
        let Some(report) = reporter.begin(vms, Millis(now)) else {
            return;
        };
        self.played.reports += 1;
        self.played.told += report.counts.len() as u64;
        let call = Call {
            from: at,
            incarnation: vm.incarnation,
            to,
            number: self.played.reports,
            is_own: vms.is_none(),
        };
        vm.waits_for.insert(to, call.number);
        let limit = if call.is_own { LIMIT_HERE } else { LIMIT_AWAY };
        self.events.push((now + limit, Event::Timeout(call)));
        self.post(at, to, Event::UsageReport(call, report), now);
    }

    fn post(&mut self, from: usize, to: usize, event: Event, now: u64) {
        let is_near = self.vms[from].domain == self.vms[to].domain;
        let way = if is_near { NEAR } else { FAR };
        let is_lost = self.rng.f64() < self.lost || self.cut[from] || self.cut[to];
        if !is_lost {
            self.events.push((now + way + self.delay, event));
        }
    }

    fn deliver(&mut self, now: u64) {
        let (due, later) = std::mem::take(&mut self.events)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.events = later;
        let due: Vec<(u64, Event)> = due;
        for (_, event) in due {
            self.take(event, now);
        }
    }

    fn take(&mut self, event: Event, now: u64) {
        match event {
            Event::UsageReport(call, report) => self.take_report(call, &report, now),
            Event::Answer(call, parts) => {
                let Some(vm) = self.waiting(call) else {
                    return;
                };
                vm.reporters
                    .entry(call.to)
                    .or_default()
                    .answered(Millis(now));
                if let Some(parts) = parts {
                    vm.meter.take_parts(parts, Millis(now));
                }
            }
            Event::Timeout(call) => {
                let Some(vm) = self.waiting(call) else {
                    return;
                };
                let untold = vm.reporters.entry(call.to).or_default().failed(Millis(now));
                if call.is_own {
                    vm.meter.put_back(untold);
                }
            }
        }
    }

    fn take_report(&mut self, call: Call, report: &UsageReport, now: u64) {
        if self.vms[call.to].up_at > now {
            return;
        }
        let name = VmName::from(format!("vm-{}", call.from));
        let incarnation = Incarnation(call.incarnation);
        let totals = &mut self.vms[call.to].totals;
        totals.take(&name, incarnation, report, &self.accounts, Millis(now));
        let vms = self.vms.len();
        let parts = call.is_own.then(|| self.parts(call.to, vms, now));
        self.post(call.to, call.from, Event::Answer(call, parts), now);
    }

    /// Gives the VM that waits for a call, which it does no more after that.
    fn waiting(&mut self, call: Call) -> Option<&mut Vm> {
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
            next_step: up_at + rng.u64(..PERIOD),
            stepped: 0,
        }
    }
}
