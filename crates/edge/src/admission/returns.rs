//! Reserves times at which refused callers are to return.
//!
//! A refused caller returns once, as a new request with a new identifier, to any VM. The request
//! comes back to the VM that refused it, because that VM is the home of the object's server. A
//! caller that is refused a second time gives up. The VM therefore keeps a book of reservations for
//! each service: it spaces them so that returns take no more than a part of its servers' slots, and
//! accepts a caller that returns in its time although the servers are busy.

use heatherknot_types::prelude::*;

use crate::call::Call;
use crate::call_selection::{self, Refusal, ReturnTime};
use crate::context::EdgeContext;
use crate::forward::SendHistory;
use crate::reply::MIN_RETRY_AFTER;
use crate::request_limit::return_schedule;
use crate::request_work;
use crate::selection::Candidate;
use crate::switches::Mechanism;

/// Part of the slots' time that is reserved for returns. The rest is left to new requests, most of
/// which can still be answered within their latency target.
pub const RETURN_SHARE: f64 = 0.05;
/// Maximum number of reservations for one service.
pub const MAX_RESERVATIONS: usize = 1_024;
/// How far the deadlines stated by two attempts of one caller may differ. The attempts may arrive
/// through VMs of different regions.
pub const DEADLINE_TOLERANCE: Millis = Millis(150);
/// The same for attempts that follow each other at once. Times left are stated in milliseconds.
const MIN_DEADLINE_TOLERANCE: Millis = Millis(10);
/// How long before its time a caller may return. `retry-after` is rounded to hundredths of a second.
pub const EARLY_TOLERANCE: Millis = Millis(20);
/// How long after its time a caller may claim its reservation. Callers allow a connection one second
/// to open.
pub const CLAIM_WINDOW: Millis = Millis(1_000);
/// How long before and after its time a return counts as load. Most returns arrive within one round
/// trip of their time.
const LOAD_BEFORE: Millis = Millis(50);
const LOAD_AFTER: Millis = Millis(250);
/// Fraction of the longest wait before which a caller isn't told to return that can't be answered
/// within the latency target any more, or for which no time is free.
const LATE_CALLER_FRACTION: f64 = 0.75;
/// Maximum number of intervals that a reservation leaves free next to it for more urgent ones.
const MAX_FREE_INTERVALS: u32 = 3;
/// Divisor of the time that a caller has left, up to which it honours `retry-after`.
const HONOURED_DIVISOR: u64 = 3;
/// How much shorter the longest time told is, since the caller has less time left when it learns it.
const HONOURED_MARGIN: Millis = Millis(50);

/// Identifies a caller across its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Hash of the request, including its object and without its identifier.
    pub request: u64,
    /// When the caller gives up. It counts down the time that it states in each attempt.
    pub deadline: Millis,
}

/// When a caller may return.
#[derive(Clone, Copy, Debug)]
pub struct ReturnParams {
    /// Urgency of the request; zero is the most urgent.
    pub urgency: u32,
    /// Shortest time to tell the caller.
    pub earliest: Millis,
    /// Longest time that the caller honours.
    pub longest: Millis,
    /// Time in which the slots left to returns can take one, in milliseconds.
    pub interval_ms: f64,
    /// Random number between 0 and 1, which spreads callers without a reservation.
    pub draw: f64,
}

/// What a refused caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ToldReturn {
    /// The time until its reservation.
    Reserved(Millis),
    /// A time at which nothing is reserved, because nothing is free as long as it can wait.
    Unreserved(Millis),
}

/// Whether a request is a return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The request has no reservation.
    None,
    /// The caller returned before its time, which is this far away. It keeps its reservation.
    Early(Millis),
    /// The caller returned in its time. Its reservation is used up.
    Due,
}

#[derive(Clone, Copy, Debug)]
struct Reservation {
    caller: Caller,
    urgency: u32,
    made: Millis,
    due: Millis,
}

/// The reservations of one service at one VM.
#[derive(Debug, Default)]
pub struct ReturnBook {
    /// Reservations that were not claimed, the next one first.
    reservations: Vec<Reservation>,
    expired: u64,
}

impl ReturnBook {
    /// Reserves a time for a refused caller: the first one between `earliest` and `longest` that is
    /// at least `interval_ms` away from all others.
    ///
    /// A less urgent caller leaves further intervals free on both sides. More urgent ones that are
    /// refused later find them, and return earlier.
    pub fn reserve(&mut self, caller: Caller, params: &ReturnParams, now: Millis) -> ToldReturn {
        self.sweep(now);
        let gap = self.gap(params);
        let taken = self.reservations.iter().map(|r| r.due);
        let due = return_schedule::first_gap(taken, now + params.earliest, gap);
        if due > now + params.longest || self.reservations.len() >= MAX_RESERVATIONS {
            let (longest, draw) = (params.longest, params.draw);
            let told = return_schedule::without_reservation(longest, LATE_CALLER_FRACTION, draw);
            return ToldReturn::Unreserved(told);
        }
        let at = self.reservations.partition_point(|r| r.due <= due);
        let reservation = Reservation {
            caller,
            urgency: params.urgency,
            made: now,
            due,
        };
        self.reservations.insert(at, reservation);
        ToldReturn::Reserved(due.since(now))
    }

    /// Returns how far a reservation must be from all others.
    fn gap(&self, params: &ReturnParams) -> Millis {
        let most_urgent = self.reservations.iter().map(|r| r.urgency).min();
        let level = most_urgent.map_or(0, |most| params.urgency.saturating_sub(most));
        let intervals = 1 + u64::from(level.min(MAX_FREE_INTERVALS));
        Millis((params.interval_ms.ceil() as u64).saturating_mul(intervals))
    }

    /// Uses up the reservation of a caller if its time has come.
    pub fn claim(&mut self, caller: Caller, now: Millis) -> Claim {
        self.sweep(now);
        let Some(at) = self.position(caller, now) else {
            return Claim::None;
        };
        let left = self.reservations[at].due.since(now);
        if left > EARLY_TOLERANCE {
            return Claim::Early(left);
        }
        self.reservations.remove(at);
        Claim::Due
    }

    /// Returns the position of the reservation whose caller stated the closest deadline.
    ///
    /// Another caller that sends the same request shortly afterwards states a deadline that is later
    /// by the time between them, so deadlines must be closer to each other than to that.
    fn position(&self, caller: Caller, now: Millis) -> Option<usize> {
        let own = self.reservations.iter().enumerate();
        let own = own.filter(|(_, r)| r.caller.request == caller.request);
        let apart = own.map(|(at, r)| {
            let tolerance = now.since(r.made).0 / 2;
            let tolerance = tolerance.clamp(MIN_DEADLINE_TOLERANCE.0, DEADLINE_TOLERANCE.0);
            let apart = r.caller.deadline.0.abs_diff(caller.deadline.0);
            (at, apart, tolerance)
        });
        let (at, ..) = apart
            .filter(|(_, apart, tolerance)| apart <= tolerance)
            .min_by_key(|(_, apart, _)| *apart)?;
        Some(at)
    }

    /// Returns the number of callers that are expected to return about now.
    pub fn due(&self, now: Millis) -> usize {
        let is_due =
            |r: &&Reservation| r.due <= now + LOAD_BEFORE && now.since(r.due) <= LOAD_AFTER;
        self.reservations.iter().filter(is_due).count()
    }

    /// Returns the number of reservations.
    pub fn len(&self) -> usize {
        self.reservations.len()
    }

    /// Returns whether there is no reservation.
    pub fn is_empty(&self) -> bool {
        self.reservations.is_empty()
    }

    /// Returns the number of reservations that expired unclaimed since the previous call.
    pub fn take_expired(&mut self) -> u64 {
        std::mem::take(&mut self.expired)
    }

    fn sweep(&mut self, now: Millis) {
        let is_expired = |r: &Reservation| now.since(r.due) > CLAIM_WINDOW;
        let expired = self.reservations.partition_point(is_expired);
        self.reservations.drain(..expired);
        self.expired += expired as u64;
    }
}

/// Returns the earliest time to tell a caller that would wait for `wait_ms` and then be served in
/// `service_ms`, of which `spent` has passed since its request arrived.
///
/// A caller that can still be answered within the latency target is told to return as soon as the
/// wait is over. One that can't loses nothing by waiting for longer, and leaves the next moments to
/// those that can.
pub fn earliest_return(
    wait_ms: f64,
    service_ms: f64,
    spent: Millis,
    latency_target: Millis,
    longest: Millis,
) -> Millis {
    let soonest = Millis(wait_ms as u64).max(MIN_RETRY_AFTER);
    let completion_ms = (spent + soonest).0 as f64 + service_ms;
    if completion_ms <= latency_target.0 as f64 {
        return soonest;
    }
    soonest.max(Millis((longest.0 as f64 * LATE_CALLER_FRACTION) as u64))
}

/// Returns the time in which `slots` can take one return, in milliseconds.
pub fn return_interval_ms(slots: f64, service_ms: f64) -> f64 {
    service_ms / (slots * RETURN_SHARE)
}

/// Returns the longest time that a caller with `left` until it gives up honours.
pub fn longest_honoured(left: Millis) -> Millis {
    Millis(left.0 / HONOURED_DIVISOR)
}

/// Shortens the time told to a caller that is over its account's limit to what the caller honours,
/// if returns are on and the caller states its time left.
pub(crate) fn shorten_over_limit(cx: &EdgeContext, told: Millis, left: Option<Millis>) -> Millis {
    match left {
        Some(left) if is_on(cx) => told.min(longest_honoured(left)),
        _ => told,
    }
}

fn is_on(cx: &EdgeContext) -> bool {
    cx.load_control.is_on() && cx.switches.is_on(Mechanism::Returns)
}

fn caller_of(cx: &EdgeContext, call: &Call) -> Caller {
    Caller {
        request: call.quick_hash(cx),
        deadline: call.caller_deadline,
    }
}

fn count(cx: &EdgeContext, call: &Call, event: &str, number: u64) {
    let labels = [call.service.as_str(), event];
    let events = &cx.metrics.returns.events;
    events.with_label_values(&labels).inc_by(number);
}

/// Claims the reservation of a request, if it has one, and notes in `call` whether it returns in its
/// time. Returns a refusal if it returns too early.
pub(crate) fn claim(cx: &EdgeContext, call: &mut Call) -> Option<Refusal> {
    if !is_on(cx) || call.state.returns.borrow().is_empty() {
        return None;
    }
    let caller = caller_of(cx, call);
    let (claim, expired) = {
        let mut book = call.state.returns.borrow_mut();
        (book.claim(caller, cx.now()), book.take_expired())
    };
    if expired > 0 {
        count(cx, call, "expired", expired);
    }
    match claim {
        Claim::None => None,
        Claim::Early(left) => {
            count(cx, call, "early", 1);
            Some(Refusal::early_return(left))
        }
        Claim::Due => {
            count(cx, call, "due", 1);
            call.is_returning = true;
            None
        }
    }
}

/// Returns the time to wait that the callers add that are expected to return now, in milliseconds.
pub(crate) fn expected_wait_ms(cx: &EdgeContext, call: &Call, best: &Candidate) -> f64 {
    if !is_on(cx) || call.is_returning {
        return 0.0;
    }
    let due = call.state.returns.borrow().due(cx.now());
    match due {
        0 => 0.0,
        due => due as f64 / call_selection::handled_slots(cx, call).max(1.0) * best.service_ms,
    }
}

/// Returns the `retry-after` of a refusal, and notes it for the log.
pub(crate) fn retry_after(
    cx: &EdgeContext,
    call: &Call,
    history: &mut SendHistory,
    refusal: &Refusal,
) -> Millis {
    if !is_on(cx) {
        return refusal.retry_after;
    }
    let is_for_load = refusal.return_time == ReturnTime::ToReserve
        && (refusal.best.is_some() || history.was_delivered());
    let retry_after = match (is_for_load, call.is_returning) {
        (false, _) => refusal.retry_after,
        (true, true) => {
            // The caller gives up, so that a reservation would hold a slot for nobody.
            count(cx, call, "refused-again", 1);
            refusal.retry_after
        }
        (true, false) if history.was_rejected_by_free_servers() => {
            let draw = cx.rng.borrow_mut().f64();
            reserve(cx, call, &immediate_return(cx, call, draw))
        }
        (true, false) => {
            let params = return_params(cx, call, refusal);
            reserve(cx, call, &params)
        }
    };
    let left = call.caller_deadline.since(cx.now());
    let retry_after = retry_after.min(longest_honoured(left));
    history.told_return = Some(ReturnRecord {
        retry_after,
        is_return: call.is_returning || refusal.return_time == ReturnTime::Kept,
    });
    retry_after
}

/// What a refused caller was told, for the log.
pub(crate) struct ReturnRecord {
    pub(crate) retry_after: Millis,
    /// Whether the request was itself a return.
    pub(crate) is_return: bool,
}

fn urgency(call: &Call) -> u32 {
    let account_priority = call.account.as_ref().and_then(|account| account.priority);
    account_priority.unwrap_or(call.route.priority)
}

/// Returns when a caller may return that servers rejected although they have room: at once, however
/// many others do.
fn immediate_return(cx: &EdgeContext, call: &Call, draw: f64) -> ReturnParams {
    ReturnParams {
        urgency: urgency(call),
        earliest: MIN_RETRY_AFTER + Millis((MIN_RETRY_AFTER.0 as f64 * draw) as u64),
        longest: longest_honoured(call.caller_deadline.since(cx.now())),
        interval_ms: 0.0,
        draw,
    }
}

/// Returns when a caller may return that has to wait for room.
fn return_params(cx: &EdgeContext, call: &Call, refusal: &Refusal) -> ReturnParams {
    let now = cx.now();
    let left = call.caller_deadline.since(now);
    let longest = longest_honoured(left) - HONOURED_MARGIN;
    let target = call.route.latency_target;
    let (wait_ms, service_ms) = match &refusal.best {
        Some(best) => (
            (best.response_ms - best.service_ms).max(0.0),
            best.service_ms,
        ),
        None => {
            let service_ms = request_work::with_service_times(cx, call, |times| {
                times.expected_ms(&cx.region, true, target.0 as f64)
            });
            // The servers that rejected the request had at least one request in each slot.
            (service_ms, service_ms)
        }
    };
    let spent = now.since(call.started);
    let slots = call_selection::handled_slots(cx, call);
    ReturnParams {
        urgency: urgency(call),
        earliest: earliest_return(wait_ms, service_ms, spent, target, longest),
        longest,
        interval_ms: return_interval_ms(slots, service_ms),
        draw: cx.rng.borrow_mut().f64(),
    }
}

/// Reserves a time for the caller of a refused request.
fn reserve(cx: &EdgeContext, call: &Call, params: &ReturnParams) -> Millis {
    let caller = caller_of(cx, call);
    let told = call
        .state
        .returns
        .borrow_mut()
        .reserve(caller, params, cx.now());
    let (event, wait) = match told {
        ToldReturn::Reserved(wait) => ("reserved", wait),
        ToldReturn::Unreserved(wait) => ("unreserved", wait),
    };
    count(cx, call, event, 1);
    let told_seconds = &cx.metrics.returns.told_seconds;
    told_seconds
        .with_label_values(&[call.service.as_str()])
        .observe(wait.as_secs_f64());
    wait
}
