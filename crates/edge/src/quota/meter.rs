//! What one VM admits of an account's requests.

use std::collections::HashMap;

use heatherknot_types::prelude::*;

use super::SILENT_AFTER;
use super::usage::{Count, Counts, add};
use crate::accounts::RateLimit;

/// The requests of one account that a VM has not told yet from which on it tells them at once.
/// With three reports a second, a VM that gets this many in less sees a surge: what it admits until
/// the others know goes beyond the limit.
const SURGE: u32 = 4;
/// A surge as a multiple of what the VM would get between two reports if the account used its limit
/// evenly over all VMs. Twice is far above what chance does to such a count.
const SURGE_OF_SHARE: f64 = 2.0;
/// The time between two reports, for the above.
const BETWEEN_WORDS: f64 = 0.3;
/// The longest time after which a caller whose account is over its limit is asked to come back.
/// Further off, what the part is by then is not known.
const LONGEST_RETURN: Millis = Millis(5_000);
/// What a VM may admit of an account, on the last answer of its head: this
/// many requests, and its equal share of the limit for this many seconds. Where heads are lost
/// just as an account surges, the VMs together admit no more than two seconds of the limit until
/// they notice. It is twice as much as chance brings between two reports.
const LINE: u32 = 2;
const LINE_OF_SHARE: f64 = 1.6;
/// How much a VM may have taken beyond its own share, in seconds of it, while it went by its
/// head's answer, that it then makes up for when it hears nothing more.
const LONGEST_DEBT: f64 = 1.0;
/// When a caller may come back to a VM that hears nothing, in seconds. One that has started hears
/// within half a second what may be admitted.
const UNHEARD_RETURN: f64 = 0.5;
/// Accounts that are remembered at most; all that are known are forgotten beyond it. It bounds the
/// memory over many changes of the configuration: 100 bytes an account.
const MAX_ACCOUNTS: usize = 20_000;

/// What becomes of a request by its account's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It may run.
    Admitted,
    /// It would go beyond the limit.
    OverLimit(OverLimit),
}

/// What decided that a request goes beyond its account's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverLimit {
    /// The part of the account's requests that is admitted; nothing where the VM was not told, and
    /// goes by its own share of the limit.
    pub fraction: Option<f64>,
    /// How old that is.
    pub fraction_age: Option<Millis>,
    /// When the caller may come back.
    pub retry_after: Millis,
}

/// What one VM was asked for and admits, by account.
#[derive(Debug, Default)]
pub struct Meter {
    accounts: HashMap<AccountName, Admission>,
    /// The accounts of whose requests not all are admitted, with the part that is.
    parts: HashMap<AccountName, f64>,
    /// When the parts were heard.
    heard: Option<Millis>,
    /// How often they were.
    rounds: u64,
    untold: Counts,
    has_surge: bool,
}

/// How an account's requests are admitted here.
#[derive(Debug)]
struct Admission {
    /// What has been left over of parts of requests.
    credit: f64,
    /// Requests that may still be admitted by this VM's own share.
    tokens: f64,
    /// When the tokens were filled last.
    filled: Millis,
    /// The round of parts in which requests were admitted last, and how many in it.
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

    /// Gives what may be admitted in one round.
    fn line(self) -> u32 {
        LINE + (self.per_second * LINE_OF_SHARE) as u32
    }
}

impl Meter {
    /// Says whether a request of an account may run, and counts it. `vms` is the number of VMs
    /// that may admit requests; `draw` is drawn evenly from 0 to 1.
    pub fn ask(
        &mut self,
        account: &AccountName,
        limit: RateLimit,
        vms: usize,
        now: Millis,
        draw: f64,
    ) -> Verdict {
        let share = Share::of(limit, vms);
        let part = self.part(account, now);
        let lost = self.heard.map_or(Millis(0), |heard| heard + SILENT_AFTER);
        let round = self.rounds;
        let admission = self.admission(account, now, draw);
        admission.begin(share, round, lost, now, draw);
        let is_admitted = admission.admit(part, share);
        self.count(account, share, is_admitted);
        match is_admitted {
            true => Verdict::Admitted,
            false => Verdict::OverLimit(self.over(part, now)),
        }
    }

    fn admission(&mut self, account: &AccountName, now: Millis, draw: f64) -> &mut Admission {
        if self.accounts.len() >= MAX_ACCOUNTS && !self.accounts.contains_key(account) {
            self.accounts.clear();
        }
        let entry = self.accounts.entry(account.clone());
        // Drawn anew on each VM, or all of them would admit or refuse their first requests. What was
        // admitted before this process started is not known, so nothing is left of a burst: with a
        // fifth, a start of all VMs in a surge granted up to a tenth more than may run in five
        // seconds.
        entry.or_insert(Admission {
            credit: draw,
            tokens: draw,
            filled: now,
            round: 0,
            in_round: 0,
        })
    }

    fn count(&mut self, account: &AccountName, share: Share, is_admitted: bool) {
        let one = Count {
            asked: 1,
            admitted: i32::from(is_admitted),
        };
        add(&mut self.untold, account, one);
        let asked = self.untold.get(account).map_or(0, |count| count.asked);
        let usual = share.per_second * BETWEEN_WORDS;
        self.has_surge |= asked >= SURGE && f64::from(asked) >= usual * SURGE_OF_SHARE;
    }

    fn over(&self, part: Option<f64>, now: Millis) -> OverLimit {
        let come_back = match part {
            // What was refused within a second needs this long at the rate that is admitted.
            Some(part) => 1.0 / part.max(f64::MIN_POSITIVE) - 1.0,
            None => UNHEARD_RETURN,
        };
        let longest = LONGEST_RETURN.as_secs_f64();
        OverLimit {
            fraction: part,
            fraction_age: self.told_age(now),
            retry_after: Millis((come_back.min(longest) * 1000.0) as u64),
        }
    }

    /// Takes in that an admitted request was not run.
    pub fn give_back(&mut self, account: &AccountName) {
        let none = Count {
            asked: 0,
            admitted: -1,
        };
        add(&mut self.untold, account, none);
        if let Some(admission) = self.accounts.get_mut(account) {
            admission.tokens += 1.0;
        }
    }

    /// Takes what was counted since it was taken last.
    pub fn take_untold(&mut self) -> Counts {
        self.has_surge = false;
        std::mem::take(&mut self.untold)
    }

    /// Takes back what could not be told.
    pub fn put_back(&mut self, counts: Counts) {
        for (account, count) in counts {
            add(&mut self.untold, &account, count);
        }
    }

    /// Says whether so much was counted of an account that it is to be told at once.
    pub fn has_surge(&self) -> bool {
        self.has_surge
    }

    /// Takes in the accounts of whose requests not all may be admitted.
    pub fn take_parts(&mut self, parts: HashMap<AccountName, f64>, now: Millis) {
        self.parts = parts;
        self.heard = Some(now);
        self.rounds += 1;
    }

    /// Gives how old the parts are, while they may be used.
    pub fn told_age(&self, now: Millis) -> Option<Millis> {
        let age = now.since(self.heard?);
        (age < SILENT_AFTER).then_some(age)
    }

    /// Gives the part of an account's requests that is admitted, where the VM was told.
    pub fn part(&self, account: &AccountName, now: Millis) -> Option<f64> {
        self.told_age(now)?;
        Some(self.parts.get(account).copied().unwrap_or(1.0))
    }
}

impl Admission {
    /// Brings the tokens up to `now`, and begins a new round where there is one.
    fn begin(&mut self, share: Share, round: u64, lost: Millis, now: Millis, draw: f64) {
        let has_just_lost = self.filled < lost && now >= lost;
        let gained = now.since(self.filled).as_secs_f64() * share.per_second;
        self.tokens = (self.tokens + gained).min(share.burst.max(1.0));
        if has_just_lost {
            // A whole token at each VM would be many times a small account's burst.
            self.tokens = self.tokens.min(share.burst + draw);
        }
        self.filled = now;
        if self.round != round {
            self.round = round;
            self.in_round = 0;
        }
    }

    /// Says whether a request may run: by the head's answer, or by this VM's own share while there
    /// is none, or where more was admitted on that answer than it can stand for.
    ///
    /// A VM that is cut off must not stop serving, and the sum over all VMs must keep to the limit
    /// whoever hears whom. Those that hear each other set the shares of the others aside.
    fn admit(&mut self, part: Option<f64>, share: Share) -> bool {
        let has_token = self.tokens >= 1.0;
        let is_admitted = match part {
            Some(part) if self.in_round < share.line() => self.take_part(part),
            Some(part) => has_token && self.take_part(part),
            None => has_token,
        };
        if is_admitted {
            let least = -share.per_second * LONGEST_DEBT;
            self.tokens = (self.tokens - 1.0).max(least);
            self.in_round += 1;
        }
        is_admitted
    }

    /// Admits a part of the requests, as evenly as whole requests can be.
    fn take_part(&mut self, part: f64) -> bool {
        if part >= 1.0 {
            return true;
        }
        self.credit += part;
        let is_admitted = self.credit >= 1.0;
        if is_admitted {
            self.credit -= 1.0;
        }
        is_admitted
    }
}
