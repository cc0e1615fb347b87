//! Admission of requests by their accounts' limits on one VM.

use std::collections::HashMap;

use heatherknot_types::prelude::*;

use super::SILENT_AFTER;
use super::usage::{Count, Counts, add_count};
use crate::accounts::RateLimit;

/// Number of unreported requests of one account from which they may count as a surge, which is
/// reported at once. With three reports per second, a VM that receives this many sooner sees a
/// surge: what it admits until the other VMs know of it exceeds the limit.
const SURGE_MIN_REQUESTS: u32 = 4;
/// Surge threshold as a multiple of what the VM would receive between two reports if the account
/// used its limit evenly over all VMs. Random variation of such a count stays far below twice the
/// mean.
const SURGE_SHARE_FACTOR: f64 = 2.0;
/// Interval between two reports, in seconds, for the surge threshold.
const REPORT_INTERVAL_S: f64 = 0.3;
/// The longest delay after which a caller over its account's limit is asked to retry. Which
/// fraction will be admitted later than that is not known.
const MAX_RETRY_AFTER: Millis = Millis(5_000);
/// Quota of an account on a VM for each answer of its head: this many requests, plus the VM's equal
/// share of the limit for this many seconds. If heads are lost just as an account surges, all VMs
/// together admit at most two seconds' worth of the limit until they notice. The quota is twice
/// what random variation brings between two reports.
const ROUND_QUOTA_REQUESTS: u32 = 2;
const ROUND_QUOTA_SHARE_S: f64 = 1.6;
/// How far below zero a VM's own tokens may fall while it follows its head's answers, in seconds of
/// its share. It makes up for this debt once it receives no more answers.
const MAX_DEBT_S: f64 = 1.0;
/// Delay after which a caller may retry on a VM without a current answer, in seconds. A VM that has
/// started gets one within half a second.
const RETRY_AFTER_WITHOUT_ANSWER_S: f64 = 0.5;
/// Credit that a VM needs to admit a return, and the most that returns leave to new requests. All
/// VMs together then admit at most half a request per VM beyond what an even spread admits at any
/// time.
const RETURN_CREDIT: f64 = 1.5;
/// Maximum number of accounts in the table; at the limit the table is cleared. Bounds memory over
/// many changes of the configuration, at 100 bytes per account.
const MAX_ACCOUNTS: usize = 20_000;

/// Place of a request in the order of its account's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOrder {
    /// A new request.
    First,
    /// A request whose caller was refused before.
    Return,
}

/// The decision about a request by its account's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The request may run.
    Admitted,
    /// The request would exceed the limit.
    OverLimit(OverLimit),
}

/// The reason why a request exceeds its account's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverLimit {
    /// The fraction of the account's requests that is admitted; `None` if the VM has no current
    /// answer and uses its own share of the limit.
    pub fraction: Option<f64>,
    /// Age of that fraction.
    pub fraction_age: Option<Millis>,
    /// Delay after which the caller may retry.
    pub retry_after: Millis,
}

/// Per-account request counts and admission state of one VM.
#[derive(Debug, Default)]
pub struct Meter {
    accounts: HashMap<AccountName, Admission>,
    /// The admitted fraction of each account whose requests are not all admitted.
    fractions: HashMap<AccountName, f64>,
    /// When the fractions were received.
    fractions_set_at: Option<Millis>,
    /// Number of times that fractions were received.
    round_count: u64,
    unreported: Counts,
    has_surge: bool,
}

/// Admission state of one account.
#[derive(Debug)]
struct Admission {
    /// Accumulated fractions of requests; a request is admitted for each whole one.
    credit: f64,
    /// Requests that may still be admitted from this VM's own share.
    tokens: f64,
    /// When the tokens were last refilled.
    refilled_at: Millis,
    /// The round (see `Meter::round_count`) of the last admitted request, and the number of
    /// requests admitted in that round.
    round: u64,
    in_round: u32,
}

/// This VM's own share of a limit.
#[derive(Clone, Copy, Debug)]
struct Share {
    per_second: f64,
    burst: f64,
}

impl Share {
    fn of(limit: RateLimit, vms: usize) -> Self {
        let vms = vms.max(1) as f64;
        Self {
            per_second: limit.per_second / vms,
            burst: limit.burst / vms,
        }
    }

    /// Returns the number of requests that may be admitted in one round.
    fn round_quota(self) -> u32 {
        ROUND_QUOTA_REQUESTS + (self.per_second * ROUND_QUOTA_SHARE_S) as u32
    }
}

impl Meter {
    /// Decides whether a request of an account may run, and counts it. `vms` is the number of VMs
    /// that may admit requests; `draw` is uniformly distributed between 0 and 1.
    pub fn admit(
        &mut self,
        account: &AccountName,
        limit: RateLimit,
        vms: usize,
        now: Millis,
        draw: f64,
    ) -> Verdict {
        self.admit_in_order(account, limit, RequestOrder::First, vms, now, draw)
    }

    /// Like [`Meter::admit`], for a request with a place in the order of its account's requests.
    pub fn admit_in_order(
        &mut self,
        account: &AccountName,
        limit: RateLimit,
        order: RequestOrder,
        vms: usize,
        now: Millis,
        draw: f64,
    ) -> Verdict {
        let share = Share::of(limit, vms);
        let fraction = self.fraction(account, now);
        let answer_expires_at = self
            .fractions_set_at
            .map_or(Millis(0), |set_at| set_at + SILENT_AFTER);
        let round = self.round_count;
        let admission = self.admission(account, now, draw);
        admission.refill(share, round, answer_expires_at, now, draw);
        let is_admitted = admission.admit(fraction, order, share);
        self.record(account, share, is_admitted);
        match is_admitted {
            true => Verdict::Admitted,
            false => Verdict::OverLimit(self.over_limit(fraction, now)),
        }
    }

    fn admission(&mut self, account: &AccountName, now: Millis, draw: f64) -> &mut Admission {
        if self.accounts.len() >= MAX_ACCOUNTS && !self.accounts.contains_key(account) {
            self.accounts.clear();
        }
        let entry = self.accounts.entry(account.clone());
        // Randomized on each VM, or all VMs would admit or refuse their first requests together.
        // Admissions before this process started are unknown, so it starts without a burst: with a
        // fifth of it, a start of all VMs during a surge admitted up to a tenth too many requests
        // in five seconds.
        entry.or_insert(Admission {
            credit: draw,
            tokens: draw,
            refilled_at: now,
            round: 0,
            in_round: 0,
        })
    }

    fn record(&mut self, account: &AccountName, share: Share, is_admitted: bool) {
        let one = Count {
            asked: 1,
            admitted: i32::from(is_admitted),
        };
        add_count(&mut self.unreported, account, one);
        let asked = self.unreported.get(account).map_or(0, |count| count.asked);
        let expected = share.per_second * REPORT_INTERVAL_S;
        self.has_surge |=
            asked >= SURGE_MIN_REQUESTS && f64::from(asked) >= expected * SURGE_SHARE_FACTOR;
    }

    fn over_limit(&self, fraction: Option<f64>, now: Millis) -> OverLimit {
        let retry_after = match fraction {
            // At the admitted rate, the requests refused within one second need this long.
            Some(fraction) => 1.0 / fraction.max(f64::MIN_POSITIVE) - 1.0,
            None => RETRY_AFTER_WITHOUT_ANSWER_S,
        };
        let longest = MAX_RETRY_AFTER.as_secs_f64();
        OverLimit {
            fraction,
            fraction_age: self.fraction_age(now),
            retry_after: Millis((retry_after.min(longest) * 1000.0) as u64),
        }
    }

    /// Records that an admitted request did not run.
    pub fn refund(&mut self, account: &AccountName) {
        let refunded = Count {
            asked: 0,
            admitted: -1,
        };
        add_count(&mut self.unreported, account, refunded);
        if let Some(admission) = self.accounts.get_mut(account) {
            admission.tokens += 1.0;
        }
    }

    /// Takes the counts since the last call.
    pub fn take_unreported(&mut self) -> Counts {
        self.has_surge = false;
        std::mem::take(&mut self.unreported)
    }

    /// Adds back counts that could not be reported.
    pub fn restore_unreported(&mut self, counts: Counts) {
        for (account, count) in counts {
            add_count(&mut self.unreported, &account, count);
        }
    }

    /// Returns whether an account has so many unreported requests that they should be reported at
    /// once.
    pub fn has_surge(&self) -> bool {
        self.has_surge
    }

    /// Sets the admitted fractions of the accounts whose requests are not all admitted.
    pub fn set_fractions(&mut self, fractions: HashMap<AccountName, f64>, now: Millis) {
        self.fractions = fractions;
        self.fractions_set_at = Some(now);
        self.round_count += 1;
    }

    /// Returns the age of the fractions while they are valid.
    pub fn fraction_age(&self, now: Millis) -> Option<Millis> {
        let age = now.since(self.fractions_set_at?);
        (age < SILENT_AFTER).then_some(age)
    }

    /// Returns the admitted fraction of an account's requests, if there is a valid answer.
    pub fn fraction(&self, account: &AccountName, now: Millis) -> Option<f64> {
        self.fraction_age(now)?;
        Some(self.fractions.get(account).copied().unwrap_or(1.0))
    }
}

impl Admission {
    /// Refills the tokens up to `now`, and starts a new round if fractions have arrived.
    fn refill(
        &mut self,
        share: Share,
        round: u64,
        answer_expires_at: Millis,
        now: Millis,
        draw: f64,
    ) {
        let has_just_expired = self.refilled_at < answer_expires_at && now >= answer_expires_at;
        let gained = now.since(self.refilled_at).as_secs_f64() * share.per_second;
        self.tokens = (self.tokens + gained).min(share.burst.max(1.0));
        if has_just_expired {
            // A whole token on each VM would be many times a small account's burst.
            self.tokens = self.tokens.min(share.burst + draw);
        }
        self.refilled_at = now;
        if self.round != round {
            self.round = round;
            self.in_round = 0;
        }
    }

    /// Decides whether a request may run: by the head's answer, or from this VM's own share while
    /// there is no answer or the answer's quota is used up.
    ///
    /// A VM that is cut off must keep serving, yet the sum over all VMs must stay within the limit
    /// whatever the connectivity. VMs that hear each other set the shares of the others aside.
    fn admit(&mut self, fraction: Option<f64>, order: RequestOrder, share: Share) -> bool {
        let has_token = self.tokens >= 1.0;
        let is_admitted = match fraction {
            Some(fraction) if self.in_round < share.round_quota() => {
                self.admit_fraction(fraction, order)
            }
            Some(fraction) => has_token && self.admit_fraction(fraction, order),
            None => has_token,
        };
        if is_admitted {
            let lower_bound = -share.per_second * MAX_DEBT_S;
            self.tokens = (self.tokens - 1.0).max(lower_bound);
            self.in_round += 1;
        }
        is_admitted
    }

    /// Admits a fraction of the requests, spread as evenly as possible.
    ///
    /// A return leaves its part to new requests unless those leave some over. Both need the same
    /// work, but only a new request can still be answered within its latency target.
    fn admit_fraction(&mut self, fraction: f64, order: RequestOrder) -> bool {
        if fraction >= 1.0 {
            return true;
        }
        self.credit += fraction;
        let needed = match order {
            RequestOrder::First => 1.0,
            RequestOrder::Return => {
                self.credit = self.credit.min(RETURN_CREDIT);
                RETURN_CREDIT
            }
        };
        let is_admitted = self.credit >= needed;
        if is_admitted {
            self.credit -= 1.0;
        }
        is_admitted
    }
}
