//! A model of homes whose servers have too few slots in a burst, and of callers that return once.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use heatherknot_edge::admission::returns::{
    Caller, Claim, ReturnBook, ReturnParams, ToldReturn, earliest_return, return_interval_ms,
};
use heatherknot_types::prelude::*;

pub const HOMES: usize = 6;
/// Slots of each home's servers.
const SLOTS: usize = 20;
const SERVICE_MS: u64 = 200;
const TARGET: Millis = Millis(500);
/// Timeout of the route, which is shorter than what callers have left.
const TIMEOUT_MS: u64 = 3_000;
const USEFUL_FRACTION: f64 = 0.95;
const MIN_TOLD_MS: u64 = 100;
/// Most that a return and the time that it states are late.
const JITTER_MS: u64 = 30;
/// Requests outside of bursts, as a part of the capacity, and in bursts.
const CALM: f64 = 0.6;
const BURST: f64 = 3.0;
const OBJECTS: usize = 200;
const ACCOUNTS: usize = 10;
/// Time that callers have, by urgency.
const BUDGETS_MS: [u64; 2] = [4_000, 8_000];

/// How the time told to a refused caller is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The wait at the server, for all alike.
    Wait,
    /// A book at each home.
    HomeBook,
    /// One book for all homes.
    SharedBook,
}

/// What came of the requests of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub first_attempts: u32,
    /// First attempts that were answered within the latency target.
    pub first_in_target: u32,
    pub refused_once: u32,
    pub refused_twice: u32,
    pub reserved: u32,
    pub reserved_refused: u32,
    /// Times of all reservations of each book.
    pub due: Vec<Vec<u64>>,
}

struct Attempt {
    at: u64,
    home: usize,
    request: u64,
    deadline: u64,
    urgency: u32,
    is_return: bool,
}

struct Model {
    rule: Rule,
    rng: fastrand::Rng,
    /// Times at which the slots of each home are free.
    slots: Vec<BinaryHeap<Reverse<u64>>>,
    books: Vec<ReturnBook>,
    returns: BinaryHeap<Reverse<(u64, u64)>>,
    returning: Vec<(Attempt, bool)>,
    outcome: Outcome,
}

/// Plays `seconds` of requests with `bursts` from one second to another.
pub fn play(rule: Rule, bursts: &[(u64, u64)], seconds: u64, seed: u64) -> Outcome {
    let book_count = if rule == Rule::SharedBook { 1 } else { HOMES };
    let mut model = Model {
        rule,
        rng: fastrand::Rng::with_seed(seed),
        slots: vec![(0..SLOTS).map(|_| Reverse(0)).collect(); HOMES],
        books: (0..book_count).map(|_| ReturnBook::default()).collect(),
        returns: BinaryHeap::new(),
        returning: Vec::new(),
        outcome: Outcome {
            due: vec![Vec::new(); book_count],
            ..Outcome::default()
        },
    };
    let mut first = first_attempts(&mut model.rng, bursts, seconds);
    while !first.is_empty() || !model.returns.is_empty() {
        let next_return = model.returns.peek().map_or(u64::MAX, |next| next.0.0);
        if first.front().is_some_and(|next| next.at <= next_return) {
            let attempt = first.pop_front().expect("there is one");
            model.outcome.first_attempts += 1;
            model.handle(attempt, false);
        } else if let Some(Reverse((_, number))) = model.returns.pop() {
            let (attempt, is_reserved) = &model.returning[number as usize];
            let attempt = Attempt { ..*attempt };
            let is_reserved = *is_reserved;
            model.handle(attempt, is_reserved);
        }
    }
    model.outcome
}

fn first_attempts(
    rng: &mut fastrand::Rng,
    bursts: &[(u64, u64)],
    seconds: u64,
) -> VecDeque<Attempt> {
    let capacity_per_ms = (HOMES * SLOTS) as f64 / SERVICE_MS as f64;
    let mut attempts = VecDeque::new();
    for at in 0..seconds * 1_000 {
        let in_burst = bursts
            .iter()
            .any(|(from, to)| (from * 1_000..to * 1_000).contains(&at));
        let mut rate = capacity_per_ms * if in_burst { BURST } else { CALM };
        while rate > rng.f64() {
            rate -= 1.0;
            let (object, account) = (draw_object(rng), rng.usize(..ACCOUNTS));
            let urgency = rng.usize(..BUDGETS_MS.len());
            attempts.push_back(Attempt {
                at,
                home: object * HOMES / OBJECTS,
                request: ((object * ACCOUNTS + account) * BUDGETS_MS.len() + urgency) as u64,
                deadline: at + BUDGETS_MS[urgency],
                urgency: urgency as u32,
                is_return: false,
            });
        }
    }
    attempts
}

/// Draws an object. Those of the first home are asked for 1.4 times as often as the average.
fn draw_object(rng: &mut fastrand::Rng) -> usize {
    let object = rng.usize(..OBJECTS);
    match rng.bool() {
        true => object,
        false => object.min(rng.usize(..OBJECTS)),
    }
}

impl Model {
    fn handle(&mut self, attempt: Attempt, is_reserved: bool) {
        let now = Millis(attempt.at);
        let book = attempt.home % self.books.len();
        let stated = attempt.deadline + self.rng.u64(..JITTER_MS);
        let caller = Caller {
            request: attempt.request,
            deadline: Millis(stated),
        };
        let claim = match self.rule {
            Rule::Wait => Claim::None,
            _ => self.books[book].claim(caller, now),
        };
        let due = self.books[book].due(now) as f64 / self.book_slots();
        let slots = &mut self.slots[attempt.home];
        let free_at = slots.peek().expect("a slot").0.max(attempt.at);
        let response = free_at - attempt.at + SERVICE_MS;
        let timeout = TIMEOUT_MS.min(attempt.deadline - attempt.at);
        let is_accepted = match claim {
            Claim::Due => (response as f64) < timeout as f64 * USEFUL_FRACTION,
            Claim::Early(_) => false,
            Claim::None => {
                free_at == attempt.at
                    || response as f64 + due * SERVICE_MS as f64 <= TARGET.0 as f64
            }
        };
        if is_accepted {
            slots.pop();
            slots.push(Reverse(free_at + SERVICE_MS));
            self.outcome.first_in_target += u32::from(!attempt.is_return);
        } else if attempt.is_return {
            self.outcome.refused_twice += 1;
            self.outcome.reserved_refused += u32::from(is_reserved);
        } else {
            self.refuse(attempt, caller, (free_at - now.0) as f64, claim);
        }
    }

    fn book_slots(&self) -> f64 {
        (SLOTS * HOMES / self.books.len()) as f64
    }

    fn refuse(&mut self, attempt: Attempt, caller: Caller, wait_ms: f64, claim: Claim) {
        let now = Millis(attempt.at);
        let longest = Millis((attempt.deadline - attempt.at) / 3);
        let service_ms = SERVICE_MS as f64;
        let book = attempt.home % self.books.len();
        let (told, is_reserved) = match (self.rule, claim) {
            (Rule::Wait, _) => (Millis(wait_ms as u64), false),
            (_, Claim::Early(left)) => (left, false),
            _ => {
                let params = ReturnParams {
                    urgency: attempt.urgency,
                    earliest: earliest_return(wait_ms, service_ms, Millis(0), TARGET, longest),
                    longest,
                    interval_ms: return_interval_ms(self.book_slots(), service_ms),
                    draw: self.rng.f64(),
                };
                match self.books[book].reserve(caller, &params, now) {
                    ToldReturn::Reserved(told) => {
                        self.outcome.due[book].push((now + told).0);
                        (told, true)
                    }
                    ToldReturn::Unreserved(told) => (told, false),
                }
            }
        };
        self.outcome.refused_once += 1;
        self.outcome.reserved += u32::from(is_reserved);
        let wait = told.0.max(MIN_TOLD_MS) + self.rng.u64(..JITTER_MS);
        let at = attempt.at + wait;
        let number = self.returning.len() as u64;
        self.returns.push(Reverse((at, number)));
        let attempt = Attempt {
            at,
            is_return: true,
            ..attempt
        };
        self.returning.push((attempt, is_reserved));
    }
}

/// Returns the number of returns that a book of `homes` homes may take in 100 ms.
pub fn room_in_100_ms(homes: usize) -> usize {
    let interval_ms = return_interval_ms((SLOTS * homes) as f64, SERVICE_MS as f64);
    (100.0 / interval_ms).ceil() as usize
}

/// Returns the largest number of `times` in any 100 ms.
pub fn most_in_100_ms(times: &[u64]) -> usize {
    let mut times = times.to_vec();
    times.sort_unstable();
    let in_window = |from: &u64| {
        times
            .iter()
            .filter(|at| (*from..from + 100).contains(at))
            .count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}
