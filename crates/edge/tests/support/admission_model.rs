//! Model of the requests for the busy servers of one service at one VM. Time is simulated; the
//! admission is the daemon's.

use std::collections::VecDeque;

use heatherknot_edge::admission::control::{AdmissionControl, Contender, RejectCause, Verdict};
use heatherknot_edge::admission::urgency::Urgency;
use heatherknot_edge::window::SlidingWindow;
use heatherknot_types::prelude::*;

const SERVERS: usize = 20;
const SLOTS: usize = 3;
/// Slot time of most requests, and of the others, whose object is not cached.
const WARM_MS: f64 = 240.0;
const COLD_MS: f64 = 540.0;
const COLD_FRACTION: f64 = 0.2;
const TARGET_MS: f64 = 900.0;
const LEFT_MS: f64 = 4_000.0;
/// Benefit of a late response.
const LATE_BENEFIT: f64 = 0.15;
/// Client accounts of each kind of request.
pub const ACCOUNTS: usize = 20;
/// Kinds of requests, by usual urgency.
pub const KINDS: usize = 3;

/// How requests are admitted that find no free slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    /// All that are expected to finish within their target.
    ByTarget,
    /// Of those, none while a more urgent one was rejected in the last second.
    Strict,
    /// The daemon's admission.
    Control,
}

/// A load pattern. All usual values need nine tenths of the slots.
#[derive(Clone)]
pub struct Scenario {
    pub seed: u64,
    pub seconds: u64,
    /// When something unusual happens.
    pub from: Millis,
    pub until: Millis,
    /// Rate of each kind in that time, as a multiple of the usual one.
    pub bursts: [f64; KINDS],
    /// Number of accounts that send seven times as much as usual in that time.
    pub bursting_accounts: usize,
    /// Whether half of the servers reject every other request in that time.
    pub is_half_shedding: bool,
    /// Whether the first and the last kind swap their priorities in that time.
    pub swaps_priorities: bool,
}

impl Scenario {
    pub fn usual(seed: u64) -> Self {
        Self {
            seed,
            seconds: 20,
            from: Millis(6_000),
            until: Millis(12_000),
            bursts: [1.0; KINDS],
            bursting_accounts: 0,
            is_half_shedding: false,
            swaps_priorities: false,
        }
    }

    pub fn is_unusual(&self, at: Millis) -> bool {
        (self.from..self.until).contains(&at)
    }

    pub fn priority(&self, kind: usize, at: Millis) -> u32 {
        let is_swapped = self.swaps_priorities && self.is_unusual(at);
        let priority = if is_swapped { KINDS - 1 - kind } else { kind };
        priority as u32
    }

    /// Returns the requests per second of an account of a kind.
    fn rate(&self, kind: usize, account: usize, at: Millis) -> f64 {
        match self.is_unusual(at) {
            true if account < self.bursting_accounts => 7.0 * 3.0,
            true => 3.0 * self.bursts[kind],
            false => 3.0,
        }
    }
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// It was answered after this many milliseconds.
    Served(f64),
    /// It was rejected before it was sent.
    Rejected(Option<RejectCause>),
    /// A server rejected it, and no other could take it.
    Shed,
}

/// One request of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub at: Millis,
    pub kind: usize,
    pub priority: u32,
    pub account: usize,
    /// Slots that were free at the least busy server, and requests that waited there.
    pub free_slots: usize,
    pub waiting: usize,
    pub end: End,
}

impl Outcome {
    pub fn is_served(&self) -> bool {
        matches!(self.end, End::Served(_))
    }

    /// Returns the benefit of the request, as a fraction of the greatest possible one.
    pub fn benefit(&self) -> f64 {
        match self.end {
            End::Served(took) if took <= TARGET_MS => 1.0,
            End::Served(_) => LATE_BENEFIT,
            _ => 0.0,
        }
    }
}

/// A server that runs its requests in the order in which they came.
#[derive(Default)]
struct Server {
    /// When each unfinished request ends, in milliseconds, the first to end first.
    ends: VecDeque<f64>,
    arrivals: u32,
}

impl Server {
    fn load(&mut self, now: f64) -> usize {
        while self.ends.front().is_some_and(|end| *end <= now) {
            self.ends.pop_front();
        }
        self.ends.len()
    }

    /// Runs a request and returns how long it took.
    fn run(&mut self, slot_ms: f64, now: f64) -> f64 {
        let load = self.load(now);
        let start = match load < SLOTS {
            true => now,
            false => self.ends[load - SLOTS],
        };
        let end = start + slot_ms;
        let position = self.ends.partition_point(|other| *other <= end);
        self.ends.insert(position, end);
        end - now
    }
}

struct Model {
    scenario: Scenario,
    way: Way,
    rng: fastrand::Rng,
    servers: Vec<Server>,
    control: AdmissionControl,
    /// Rejections in the last second, for [`Way::Strict`].
    rejected: Vec<SlidingWindow>,
}

/// Runs a scenario and returns its requests in the order in which they came.
pub fn run(scenario: &Scenario, way: Way) -> Vec<Outcome> {
    let mut model = Model {
        scenario: scenario.clone(),
        way,
        rng: fastrand::Rng::with_seed(scenario.seed),
        servers: (0..SERVERS).map(|_| Server::default()).collect(),
        control: AdmissionControl::default(),
        rejected: (0..KINDS)
            .map(|_| SlidingWindow::new(Millis(1_000)))
            .collect(),
    };
    let mut outcomes = Vec::new();
    for at in 0..scenario.seconds * 1_000 {
        for kind in 0..KINDS {
            for account in 0..ACCOUNTS {
                let rate = scenario.rate(kind, account, Millis(at));
                if model.rng.f64() < rate / 1_000.0 {
                    outcomes.push(model.handle(kind, account, Millis(at)));
                }
            }
        }
    }
    outcomes
}

impl Model {
    fn handle(&mut self, kind: usize, account: usize, at: Millis) -> Outcome {
        let now = at.0 as f64;
        let expected_ms = match self.rng.f64() < COLD_FRACTION {
            true => COLD_MS,
            false => WARM_MS,
        };
        let slot_ms = expected_ms * (0.7 + 0.6 * self.rng.f64());
        let priority = self.scenario.priority(kind, at);
        let (best, load) = self.least_loaded(now, None);
        let contender = contender(priority, account, expected_ms, load);
        let rejected = match load < SLOTS {
            true => {
                let account = contender.account.as_ref();
                self.control
                    .record_free_slot(contender.urgency, account, expected_ms, at);
                None
            }
            false => self.rejection(&contender, at),
        };
        let end = match rejected {
            Some(end) => end,
            None => self.send(best, slot_ms, &contender, at),
        };
        Outcome {
            at,
            kind,
            priority,
            account,
            free_slots: SLOTS.saturating_sub(load),
            waiting: load.saturating_sub(SLOTS),
            end,
        }
    }

    fn least_loaded(&mut self, now: f64, except: Option<usize>) -> (usize, usize) {
        let start = self.rng.usize(..SERVERS);
        let numbers = (0..SERVERS).map(|i| (start + i) % SERVERS);
        let others: Vec<usize> = numbers.filter(|number| Some(*number) != except).collect();
        let loads = others
            .into_iter()
            .map(|number| (number, self.servers[number].load(now)));
        loads
            .min_by_key(|(_, load)| *load)
            .expect("there are servers")
    }

    fn rejection(&mut self, contender: &Contender, at: Millis) -> Option<End> {
        let is_late = contender.response_ms > contender.target_ms;
        let priority = contender.urgency.priority as usize;
        match self.way {
            Way::ByTarget => is_late.then_some(End::Rejected(None)),
            Way::Strict => {
                let mut more_urgent = self.rejected[..priority].iter_mut();
                let is_held_back = more_urgent.any(|rejected| rejected.total(at) > 0.0);
                if !is_late && !is_held_back {
                    return None;
                }
                self.rejected[priority].add(at, 1.0);
                Some(End::Rejected(None))
            }
            Way::Control => match self.control.decide(contender, at) {
                Verdict::Admit => None,
                Verdict::Reject { cause, .. } => Some(End::Rejected(Some(cause))),
            },
        }
    }

    fn send(&mut self, first: usize, slot_ms: f64, contender: &Contender, at: Millis) -> End {
        let now = at.0 as f64;
        if !self.sheds(first, at) {
            return End::Served(self.servers[first].run(slot_ms, now));
        }
        let (second, load) = self.least_loaded(now, Some(first));
        let response_ms = contender.slot_ms + wait_ms(load);
        match response_ms > contender.target_ms || self.sheds(second, at) {
            true => End::Shed,
            false => End::Served(self.servers[second].run(slot_ms, now)),
        }
    }

    fn sheds(&mut self, number: usize, at: Millis) -> bool {
        self.servers[number].arrivals += 1;
        let sheds_now = self.scenario.is_half_shedding && self.scenario.is_unusual(at);
        sheds_now && number < SERVERS / 2 && self.servers[number].arrivals.is_multiple_of(2)
    }
}

fn wait_ms(load: usize) -> f64 {
    let excess = (load + 1).saturating_sub(SLOTS);
    excess as f64 / SLOTS as f64 * WARM_MS
}

fn contender(priority: u32, account: usize, expected_ms: f64, load: usize) -> Contender {
    Contender {
        urgency: Urgency {
            priority,
            route: priority,
        },
        account: Some(format!("account-{account}").into()),
        slot_ms: expected_ms,
        response_ms: expected_ms + wait_ms(load),
        waiting: load.saturating_sub(SLOTS) as f64,
        spent_ms: 0.0,
        target_ms: TARGET_MS,
        left_ms: LEFT_MS,
        is_returning: false,
    }
}
