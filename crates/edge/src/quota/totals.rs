//! What all VMs together admitted of each account, as one VM knows it, and what may be admitted now.

use std::collections::HashMap;

use heatherknot_types::prelude::*;

use super::SILENT_AFTER;
use super::usage::{Counts, UsageReport, add};
use crate::accounts::{Accounts, RateLimit};
use crate::window::SlidingWindow;

/// The time over which what is left of a burst is given out, or what was admitted too much is
/// taken back. It is over twice as long as a report takes from one VM to another and back: with
/// less, what is admitted would swing about the limit.
const SETTLE: f64 = 1.0;
/// The time, in seconds, for which VMs go on admitting by the parts before, until what they admitted
/// is known here and what follows from it is known there.
const UNDER_WAY: f64 = 0.6;
/// The shortest span over which demand is measured.
const SHORTEST_SPAN: Millis = Millis(300);
/// The longest one.
const LONGEST_SPAN: Millis = Millis(5_000);
/// Requests at the limit's rate that the span is to hold. Of fewer, chance alone makes demand look
/// several times as high as it is.
const IN_A_SPAN: f64 = 10.0;
/// The least time over which demand is measured in totals that have just begun to hear of any.
const LEAST_HEARD: f64 = 0.2;
/// How long what is admitted too much counts. It bounds the pause after a surge.
const LONGEST_DEBT: f64 = 5.0;
/// How long a sender that says nothing is remembered, so that a report of its that comes late is
/// known. Reports wait for two seconds at most.
const SENDER_KEPT: Millis = Millis(60_000);
/// The part of an account's limit of a second from which what was collected is told at once.
const SURGE_PART: f64 = 0.05;
/// The requests that are no surge, however low the limit.
const NO_SURGE: f64 = 8.0;

/// What is known of all VMs' requests.
#[derive(Debug)]
pub struct Totals {
    /// When the first report came of those that have come without a pause since.
    started: Millis,
    /// When the last report came.
    heard: Millis,
    totals: HashMap<AccountName, AccountTotal>,
    senders: HashMap<VmName, Sender>,
    /// The part of all VMs that are not silent.
    reached: f64,
    /// What VMs of this domain told, for the other domains.
    collected: Counts,
    has_surge: bool,
}

/// One account's requests at all VMs.
#[derive(Debug)]
struct AccountTotal {
    limit: RateLimit,
    /// What may be admitted at once; below zero where too much was.
    level: f64,
    filled: Millis,
    asked: SlidingWindow,
    span: Millis,
    /// The part by which VMs are taken to admit now.
    in_force: f64,
    /// When that was worked out.
    judged: Millis,
}

/// A peer that tells its counts.
#[derive(Debug)]
struct Sender {
    incarnation: Incarnation,
    number: u64,
    heard: Millis,
    vms: Option<u32>,
}

/// What is known of an account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Requests that callers send, a second.
    pub asked: f64,
    /// What may be admitted at once; below zero where too much was.
    pub level: f64,
    /// The part of the requests that may be admitted.
    pub part: f64,
}

impl Totals {
    /// Makes totals that know nothing of what was admitted before `now`, so that nothing is left of
    /// any burst.
    pub fn new(now: Millis) -> Self {
        Self {
            started: now,
            heard: now,
            totals: HashMap::new(),
            senders: HashMap::new(),
            reached: 0.0,
            collected: Counts::new(),
            has_surge: false,
        }
    }

    /// Takes in a peer's report. One that came before is passed over.
    pub fn take(
        &mut self,
        vm: &VmName,
        incarnation: Incarnation,
        report: &UsageReport,
        accounts: &Accounts,
        now: Millis,
    ) {
        let sender = self.senders.entry(vm.clone()).or_insert(Sender {
            incarnation,
            number: 0,
            heard: now,
            vms: None,
        });
        if sender.incarnation != incarnation {
            sender.incarnation = incarnation;
            sender.number = 0;
        }
        sender.heard = now;
        sender.vms = report.vms;
        if report.number <= sender.number {
            return;
        }
        sender.number = report.number;
        self.count(&report.counts, accounts, now);
        if report.vms.is_none() {
            self.collect(&report.counts, accounts);
        }
    }

    /// Takes in what this VM itself counted.
    pub fn take_own(&mut self, counts: &Counts, accounts: &Accounts, now: Millis) {
        self.count(counts, accounts, now);
        self.collect(counts, accounts);
    }

    /// Notes that this VM is told what others count.
    ///
    /// One that was not, because another VM of its domain was, knows nothing of what was admitted
    /// meanwhile. Where it takes that one's place in the middle of a surge, bursts that have
    /// filled up here in peace would be granted a second time.
    fn note_heard(&mut self, now: Millis) {
        if now.since(self.heard) >= SILENT_AFTER {
            self.totals.clear();
            self.started = now;
        }
        self.heard = now;
    }

    fn count(&mut self, counts: &Counts, accounts: &Accounts, now: Millis) {
        self.note_heard(now);
        for (name, count) in counts {
            let Some(limit) = accounts.limit_of(name) else {
                continue;
            };
            let started = self.started;
            let total = self.totals.entry(name.clone());
            let total = total.or_insert_with(|| AccountTotal::new(limit, started));
            total.fill(limit, self.reached, now);
            total.level -= f64::from(count.admitted);
            total.asked.add(now, f64::from(count.asked));
        }
    }

    fn collect(&mut self, counts: &Counts, accounts: &Accounts) {
        for (name, count) in counts {
            add(&mut self.collected, name, *count);
            let limit = accounts.limit_of(name);
            let Some((limit, collected)) = limit.zip(self.collected.get(name)) else {
                continue;
            };
            let surge = (limit.per_second * SURGE_PART).max(NO_SURGE);
            self.has_surge |= f64::from(collected.asked) >= surge;
        }
    }

    /// Takes what VMs of this domain told since it was taken last.
    pub fn take_collected(&mut self) -> Counts {
        self.has_surge = false;
        std::mem::take(&mut self.collected)
    }

    /// Says whether so much was collected of an account that it is to be told at once.
    pub fn has_surge(&self) -> bool {
        self.has_surge
    }

    /// Gives the VMs that told this one their own counts lately.
    pub fn heard_here(&self, now: Millis) -> u32 {
        let lately = self.heard_lately(now);
        lately.filter(|sender| sender.vms.is_none()).count() as u32
    }

    fn heard_lately(&self, now: Millis) -> impl Iterator<Item = &Sender> {
        let senders = self.senders.values();
        senders.filter(move |sender| now.since(sender.heard) < SILENT_AFTER)
    }

    /// Gives the accounts of whose requests not all may be admitted, with the part that may, and
    /// forgets what is not worth keeping. `vms` is the number of VMs that there may be.
    pub fn parts(
        &mut self,
        accounts: &Accounts,
        vms: usize,
        now: Millis,
    ) -> HashMap<AccountName, f64> {
        self.reach(vms, now);
        self.forget(accounts, now);
        let (reached, known_for) = (self.reached, now.since(self.started));
        let totals = self.totals.iter_mut();
        let parts = totals
            .map(|(name, total)| (name.clone(), total.standing(reached, known_for, now).part));
        parts.filter(|(_, part)| *part < 1.0).collect()
    }

    /// Gives what is known of each account of which anything is.
    pub fn standings(&mut self, vms: usize, now: Millis) -> HashMap<AccountName, Standing> {
        self.reach(vms, now);
        let (reached, known_for) = (self.reached, now.since(self.started));
        let totals = self.totals.iter_mut();
        totals
            .map(|(name, total)| (name.clone(), total.standing(reached, known_for, now)))
            .collect()
    }

    /// Takes in which part of the VMs is heard. The others may be there and admit their own shares
    /// of the limits, which those that hear each other must not use then.
    fn reach(&mut self, vms: usize, now: Millis) {
        let lately = self.heard_lately(now);
        let heard: u32 = lately.map(|sender| sender.vms.unwrap_or(1)).sum();
        // This VM itself is one more.
        let reached = (heard as usize + 1).min(vms);
        self.reached = reached as f64 / vms.max(1) as f64;
    }

    fn forget(&mut self, accounts: &Accounts, now: Millis) {
        let reached = self.reached;
        self.totals.retain(|name, total| {
            let limit = accounts.limit_of(name);
            limit.is_some_and(|limit| {
                total.fill(limit, reached, now);
                // Full and not asked for: as it would be made anew, once the totals are old enough.
                total.level < limit.burst * reached || total.asked.total(now) > 0.0
            })
        });
        self.senders
            .retain(|_, sender| now.since(sender.heard) < SENDER_KEPT);
    }
}

impl AccountTotal {
    fn new(limit: RateLimit, started: Millis) -> Self {
        let span = Millis((IN_A_SPAN / limit.per_second * 1000.0) as u64);
        let span = span.clamp(SHORTEST_SPAN, LONGEST_SPAN);
        Self {
            limit,
            level: 0.0,
            filled: started,
            asked: SlidingWindow::new(span),
            span,
            in_force: 1.0,
            judged: started,
        }
    }

    /// Brings the level up to `now`. The VMs that are reached may use their part of the limit and
    /// of its burst: a head that is cut off would else hold the whole account's burst for itself.
    fn fill(&mut self, limit: RateLimit, reached: f64, now: Millis) {
        let gained = now.since(self.filled).as_secs_f64() * limit.per_second * reached;
        let least = -limit.per_second * LONGEST_DEBT;
        self.level = (self.level.max(least) + gained).min(limit.burst * reached);
        self.limit = limit;
        self.filled = now;
    }

    fn standing(&mut self, reached: f64, known_for: Millis, now: Millis) -> Standing {
        let elapsed = now.since(self.judged).as_secs_f64();
        self.judged = now;
        self.fill(self.limit, reached, now);
        let span = self.span.min(known_for).as_secs_f64().max(LEAST_HEARD);
        let asked = self.asked.total(now) / span;
        let per_second = self.limit.per_second * reached;
        let part_for = |may: f64| match asked > may {
            true => may.max(0.0) / asked,
            false => 1.0,
        };
        let may = per_second + self.level / SETTLE;
        // What is still admitted by a larger part. Without it a surge of seven times the usual goes
        // on for 0.75 s, with it for 0.5 s. A fraction of a request is none, or small accounts
        // would be refused for nothing.
        let unknown = asked * (self.in_force - part_for(may)).max(0.0) * UNDER_WAY;
        let part = part_for(may - (unknown - 1.0).max(0.0) / SETTLE);
        self.in_force += (part - self.in_force) * (elapsed / UNDER_WAY).min(1.0);
        Standing {
            asked,
            level: self.level,
            part,
        }
    }
}
