//! Decides whether a request may wait for a slot of a busy backend server.
//!
//! Requests are ordered by urgency, then by what their client account has used of its fair share,
//! then by what a slot is worth to them. The decision is made when a request arrives; nothing is
//! queued or taken back, so a rejected request was never sent.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ops::Bound;

use heatherknot_types::prelude::*;

use super::fair_share::{AccountUsage, FairShare};
use super::urgency::Urgency;
use crate::window::SlidingWindow;

/// How long less urgent requests are held back after a rejection.
const PRESSURE_SPAN: Millis = Millis(1_000);
/// Window in which requests are counted.
pub const COUNT_SPAN: Millis = Millis(2_000);
/// Part of the longest wait that is left to an urgency for each more urgent one with rejections. If
/// none were left, the servers' queues would run empty and slots would idle.
const HELD_BACK_WAIT_FRACTION: f64 = 0.5;
/// Part of the wait left to its urgency that is left to an account over its share.
const OVER_SHARE_WAIT_FRACTION: f64 = 0.5;
/// Fraction of the requests of a held-back urgency that is still admitted.
const MIN_ADMITTED_FRACTION: f64 = 0.25;
/// Admission rate of an urgency, as a fraction of the mean of all, below which its requests are
/// admitted although they are late.
const STARVATION_FRACTION: f64 = 0.25;
/// Number of requests that a credit can be ahead or behind.
const MAX_CREDIT: f64 = 2.0;
/// Smallest fraction of its latency target that a request with a long slot time may take.
const MIN_TARGET_FRACTION: f64 = 0.7;
/// Number of urgencies tracked. Others count as the next more urgent one that is tracked.
pub const MAX_URGENCIES: usize = 16;
/// Time without requests after which an urgency may be forgotten.
const IDLE_SPAN: Millis = Millis(60_000);

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectCause {
    /// It can't finish within its time left.
    TooLittleTime,
    /// It can't finish within its latency target.
    Busy,
    /// More urgent requests were rejected lately.
    MoreUrgent,
    /// Its account is over its fair share.
    OverShare,
    /// It would occupy a slot for much longer than others that were rejected lately.
    LongSlotTime,
}

impl RejectCause {
    /// All causes.
    pub const ALL: [Self; 5] = [
        Self::TooLittleTime,
        Self::Busy,
        Self::MoreUrgent,
        Self::OverShare,
        Self::LongSlotTime,
    ];

    /// Returns the cause as used in log lines, metrics and responses.
    pub fn text(self) -> &'static str {
        match self {
            Self::TooLittleTime => "it can't finish within its time left",
            Self::Busy => "every backend server is busy for too long",
            Self::MoreUrgent => "more urgent requests need the slots",
            Self::OverShare => "its account is over its share of the slots",
            Self::LongSlotTime => "it needs a slot for longer than others that wait",
        }
    }
}

/// A request whose best backend server is busy.
#[derive(Clone, Debug)]
pub struct Contender {
    /// Its urgency.
    pub urgency: Urgency,
    /// Its client account, if any.
    pub account: Option<AccountName>,
    /// Expected time in a slot, in milliseconds.
    pub slot_ms: f64,
    /// Expected time to its completion from now on, in milliseconds.
    pub response_ms: f64,
    /// Requests that already wait for a slot of the server.
    pub waiting: f64,
    /// Time already spent on it, in milliseconds.
    pub spent_ms: f64,
    /// Longest time to its completion, in milliseconds, including the time already spent.
    pub target_ms: f64,
    /// Time left in which a response is of use, in milliseconds.
    pub left_ms: f64,
    /// Whether the caller was refused before and comes back at its reserved time.
    pub is_returning: bool,
}

/// Whether a request may wait for a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It is sent to the busy server.
    Admit,
    /// It is rejected, and not sent.
    Reject {
        /// Why.
        cause: RejectCause,
        /// What its account got in the window, as a multiple of its fair share.
        account_share: f64,
    },
}

/// A number of requests that grows by a fraction for each request asked for, and shrinks by one for
/// each admitted.
#[derive(Debug, Default)]
struct Credit(Cell<f64>);

impl Credit {
    fn add(&self, amount: f64) {
        let credit = self.0.get() + amount;
        self.0.set(credit.clamp(-MAX_CREDIT, MAX_CREDIT));
    }

    fn is_available(&self) -> bool {
        self.0.get() >= 1.0
    }
}

/// State of one urgency.
#[derive(Debug)]
struct UrgencyState {
    asked: SlidingWindow,
    admitted: SlidingWindow,
    rejected: [SlidingWindow; RejectCause::ALL.len()],
    /// Rejections that hold back less urgent requests.
    pressure: SlidingWindow,
    /// Requests that may be admitted although the urgency is held back.
    held_back_credit: Credit,
    /// Requests that may be admitted although they are late.
    starvation_credit: Credit,
    shares: FairShare,
    last_asked: Millis,
}

impl Default for UrgencyState {
    fn default() -> Self {
        Self {
            asked: SlidingWindow::new(COUNT_SPAN),
            admitted: SlidingWindow::new(COUNT_SPAN),
            rejected: RejectCause::ALL.map(|_| SlidingWindow::new(COUNT_SPAN)),
            pressure: SlidingWindow::new(PRESSURE_SPAN),
            held_back_credit: Credit::default(),
            starvation_credit: Credit::default(),
            shares: FairShare::default(),
            last_asked: Millis(0),
        }
    }
}

impl UrgencyState {
    fn record_asked(&mut self, account: Option<&AccountName>, slot_ms: f64, now: Millis) {
        self.asked.add(now, 1.0);
        self.shares.record_asked(account, slot_ms, now);
        self.last_asked = now;
    }

    fn record_admitted(&mut self, account: Option<&AccountName>, slot_ms: f64, now: Millis) {
        self.admitted.add(now, 1.0);
        self.shares.record_admitted(account, slot_ms, now);
        self.held_back_credit.add(-1.0);
        self.starvation_credit.add(-1.0);
    }

    fn record_rejected(&mut self, cause: RejectCause, is_over_share: bool, now: Millis) {
        self.rejected[cause as usize].add(now, 1.0);
        // An account's own burst is no reason to hold back others.
        if !is_over_share {
            self.pressure.add(now, 1.0);
        }
    }

    fn is_under_pressure(&mut self, now: Millis) -> bool {
        self.pressure.total(now) > 0.0
    }

    /// Returns whether less than `least_admitted` of the requests of the urgency were admitted.
    fn is_starved(&mut self, least_admitted: f64, now: Millis) -> bool {
        let admitted = self.admitted.total(now);
        self.starvation_credit.is_available() && admitted < self.asked.total(now) * least_admitted
    }

    /// Returns the longest time that a request may take. While others of its urgency are rejected,
    /// one that occupies a slot for longer than they would may wait for a shorter time.
    fn target_ms(&mut self, contender: &Contender, now: Millis) -> f64 {
        if !self.is_under_pressure(now) {
            return contender.target_ms;
        }
        let mean = self.shares.mean_slot_ms(self.asked.total(now), now);
        let fraction = mean / contender.slot_ms.max(1.0);
        contender.target_ms * fraction.clamp(MIN_TARGET_FRACTION, 1.0)
    }
}

/// What one urgency was asked for in the last two seconds.
#[derive(Clone, Debug)]
pub struct UrgencyReport {
    /// The urgency.
    pub urgency: Urgency,
    /// Requests asked for.
    pub asked: f64,
    /// Requests admitted.
    pub admitted: f64,
    /// Requests rejected, by cause.
    pub rejected: Vec<(RejectCause, f64)>,
    /// Requests rejected for lack of room in the last second. They hold back less urgent ones.
    pub pressure: f64,
    /// Whether it is held back.
    pub is_held_back: bool,
    /// Fair share of each account, in milliseconds of slot time; `None` if all get what they ask
    /// for.
    pub share_ms: Option<f64>,
    /// Accounts that ask for more than their share.
    pub over_share: Vec<AccountUsage>,
}

/// A VM's admission of the requests for one service.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    urgencies: RefCell<BTreeMap<Urgency, UrgencyState>>,
}

impl AdmissionControl {
    /// Decides whether a request may wait at its best server, which has no free slot.
    pub fn decide(&self, contender: &Contender, now: Millis) -> Verdict {
        let mut urgencies = self.urgencies.borrow_mut();
        let urgency = tracked_urgency(&mut urgencies, contender.urgency, now);
        let more_urgent = urgencies.range_mut(..urgency);
        let pressed =
            more_urgent.filter_map(|(_, state)| state.is_under_pressure(now).then_some(()));
        let wait_fraction = HELD_BACK_WAIT_FRACTION.powi(pressed.count() as i32);
        let is_held_back = wait_fraction < 1.0;
        let mut less_urgent = urgencies.range_mut((Bound::Excluded(urgency), Bound::Unbounded));
        let precedes_others = !is_held_back && less_urgent.any(|(_, s)| s.asked.total(now) > 0.0);
        let mean_admitted = mean_admitted_fraction(&mut urgencies, now);
        let state = urgencies.entry(urgency).or_default();
        let account = contender.account.as_ref();
        state.record_asked(account, contender.slot_ms, now);
        let earned = match is_held_back {
            true => MIN_ADMITTED_FRACTION,
            false => 0.0,
        };
        state.held_back_credit.add(earned);
        let least_admitted = STARVATION_FRACTION * mean_admitted;
        state.starvation_credit.add(least_admitted);
        let is_starved = state.is_starved(least_admitted, now);
        let account_share = state.shares.used_fraction(account, now);
        let is_over_share = FairShare::is_over(account_share);
        let standing = Standing {
            wait_fraction,
            precedes_others,
            is_over_share,
            is_starved,
        };
        match reject_cause(state, contender, &standing, now) {
            None => {
                state.record_admitted(account, contender.slot_ms, now);
                Verdict::Admit
            }
            Some(cause) => {
                state.record_rejected(cause, is_over_share, now);
                Verdict::Reject {
                    cause,
                    account_share,
                }
            }
        }
    }

    /// Records a request that gets a free slot.
    pub fn record_free_slot(
        &self,
        urgency: Urgency,
        account: Option<&AccountName>,
        slot_ms: f64,
        now: Millis,
    ) {
        let mut urgencies = self.urgencies.borrow_mut();
        let urgency = tracked_urgency(&mut urgencies, urgency, now);
        let state = urgencies.entry(urgency).or_default();
        state.record_asked(account, slot_ms, now);
        state.record_admitted(account, slot_ms, now);
    }

    /// Returns what was asked for and decided in the last two seconds, the most urgent first.
    pub fn report(&self, now: Millis) -> Vec<UrgencyReport> {
        let mut urgencies = self.urgencies.borrow_mut();
        let mut is_held_back = false;
        let reports = urgencies.iter_mut().map(|(urgency, state)| {
            let share_ms = state.shares.share_ms(now);
            let rejected = RejectCause::ALL.map(|c| (c, state.rejected[c as usize].total(now)));
            let report = UrgencyReport {
                urgency: *urgency,
                asked: state.asked.total(now),
                admitted: state.admitted.total(now),
                rejected: rejected.into_iter().filter(|(_, n)| *n > 0.0).collect(),
                pressure: state.pressure.total(now),
                is_held_back,
                share_ms: share_ms.is_finite().then_some(share_ms),
                over_share: state.shares.accounts_over(now),
            };
            is_held_back |= report.pressure > 0.0;
            report
        });
        reports.collect()
    }
}

/// How a request compares with the others.
struct Standing {
    /// Part of the longest wait that is left to its urgency.
    wait_fraction: f64,
    /// Whether less urgent requests are to be held back before it.
    precedes_others: bool,
    is_over_share: bool,
    /// Whether it may be late, because too few of its urgency were admitted.
    is_starved: bool,
}

/// Returns why a request is rejected, or `None` if it is admitted.
fn reject_cause(
    state: &mut UrgencyState,
    contender: &Contender,
    standing: &Standing,
    now: Millis,
) -> Option<RejectCause> {
    if contender.response_ms > contender.left_ms {
        return Some(RejectCause::TooLittleTime);
    }
    if contender.is_returning {
        return None;
    }
    let response_ms = contender.response_ms + contender.spent_ms;
    let is_late = response_ms > contender.target_ms;
    if is_late && !standing.is_starved {
        return Some(RejectCause::Busy);
    }
    // Without a queue, the server's next free slot would idle.
    if is_late || contender.waiting < 1.0 {
        return None;
    }
    let wait_ms = contender.response_ms - contender.slot_ms;
    let longest_wait_ms = contender.target_ms - contender.spent_ms - contender.slot_ms;
    let is_beyond = |fraction: f64| wait_ms > longest_wait_ms * fraction;
    if is_beyond(standing.wait_fraction) && !state.held_back_credit.is_available() {
        return Some(RejectCause::MoreUrgent);
    }
    let share_fraction = OVER_SHARE_WAIT_FRACTION * standing.wait_fraction;
    if standing.is_over_share && is_beyond(share_fraction) {
        return Some(RejectCause::OverShare);
    }
    let is_too_long = !standing.precedes_others && response_ms > state.target_ms(contender, now);
    is_too_long.then_some(RejectCause::LongSlotTime)
}

/// Returns the fraction of all requests that was admitted.
fn mean_admitted_fraction(urgencies: &mut BTreeMap<Urgency, UrgencyState>, now: Millis) -> f64 {
    let (asked, admitted) = urgencies
        .values_mut()
        .fold((0.0, 0.0), |(asked, admitted), state| {
            (
                asked + state.asked.total(now),
                admitted + state.admitted.total(now),
            )
        });
    if asked > 0.0 { admitted / asked } else { 0.0 }
}

/// Returns the urgency under which a request is counted.
fn tracked_urgency(
    urgencies: &mut BTreeMap<Urgency, UrgencyState>,
    urgency: Urgency,
    now: Millis,
) -> Urgency {
    if urgencies.len() < MAX_URGENCIES || urgencies.contains_key(&urgency) {
        return urgency;
    }
    urgencies.retain(|_, state| now.since(state.last_asked) < IDLE_SPAN);
    match urgencies.len() < MAX_URGENCIES {
        true => urgency,
        false => {
            let mut at_most = urgencies.range(..=urgency);
            let nearest = at_most.next_back().or_else(|| urgencies.iter().next());
            nearest.map_or(urgency, |(tracked, _)| *tracked)
        }
    }
}
