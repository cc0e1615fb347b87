//! Requests admitted by all VMs together for each account, as known to one VM, and the fractions
//! that follow from them.

use std::collections::HashMap;

use heatherknot_types::prelude::*;

use super::SILENT_AFTER;
use super::usage::{Counts, UsageReport, add_count};
use crate::accounts::{Accounts, RateLimit};
use crate::window::SlidingWindow;

/// Time, in seconds, over which remaining burst is granted or excess admissions are compensated.
/// Over twice the round trip of a report between VMs; with less, the admitted rate would oscillate
/// around the limit.
const BURST_SPREAD_S: f64 = 1.0;
/// Time, in seconds, for which VMs still admit by the previous fractions, until their admissions
/// are known here and the resulting fractions have reached them.
const FEEDBACK_DELAY_S: f64 = 0.6;
/// The shortest window over which demand is measured.
const MIN_DEMAND_WINDOW: Millis = Millis(300);
/// The longest window over which demand is measured.
const MAX_DEMAND_WINDOW: Millis = Millis(5_000);
/// Number of requests at the limit's rate that the window should hold. With fewer, random variation
/// makes demand look several times too high.
const REQUESTS_PER_WINDOW: f64 = 10.0;
/// The shortest time, in seconds, over which demand is measured in totals that have just started to
/// receive reports.
const MIN_DEMAND_WINDOW_AT_START_S: f64 = 0.2;
/// How long excess admissions count, in seconds of the limit. Bounds the pause after a surge.
const MAX_DEBT_S: f64 = 5.0;
/// How long a silent sender is remembered, so that a late report from it is recognized. Reports
/// wait for two seconds at most.
const SENDER_TTL: Millis = Millis(60_000);
/// Fraction of an account's limit per second from which collected counts are passed on at once.
const SURGE_LIMIT_FRACTION: f64 = 0.05;
/// Number of collected requests below which nothing counts as a surge, however low the limit.
const SURGE_MIN_REQUESTS: f64 = 8.0;

/// Usage of all accounts on all VMs.
#[derive(Debug)]
pub struct Totals {
    /// Time of the first report since reports have been arriving without interruption.
    started: Millis,
    /// Time of the last report.
    last_report_at: Millis,
    totals: HashMap<AccountName, AccountTotal>,
    senders: HashMap<VmName, Sender>,
    /// The fraction of all VMs that are not silent.
    reachable_fraction: f64,
    /// Counts reported by VMs of this domain, to be passed on to the other domains.
    collected: Counts,
    has_surge: bool,
}

/// One account's usage on all VMs.
#[derive(Debug)]
struct AccountTotal {
    limit: RateLimit,
    /// Requests that may be admitted at once; negative after excess admissions.
    level: f64,
    refilled_at: Millis,
    asked: SlidingWindow,
    window: Millis,
    /// Estimate of the fraction that VMs currently apply.
    applied_fraction: f64,
    /// When `applied_fraction` was last updated.
    evaluated_at: Millis,
}

/// A peer that reports its counts.
#[derive(Debug)]
struct Sender {
    incarnation: Incarnation,
    number: u64,
    last_report_at: Millis,
    vms: Option<u32>,
}

/// Current usage of an account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountUsage {
    /// Requests per second that callers send.
    pub asked: f64,
    /// Requests that may be admitted at once; negative after excess admissions.
    pub level: f64,
    /// The fraction of the requests that may be admitted.
    pub fraction: f64,
}

impl Totals {
    /// Creates totals that know of no admissions before `now` and therefore grant no burst.
    pub fn new(now: Millis) -> Self {
        Self {
            started: now,
            last_report_at: now,
            totals: HashMap::new(),
            senders: HashMap::new(),
            reachable_fraction: 0.0,
            collected: Counts::new(),
            has_surge: false,
        }
    }

    /// Applies a peer's report, unless it was received before.
    pub fn apply_report(
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
            last_report_at: now,
            vms: None,
        });
        if sender.incarnation != incarnation {
            sender.incarnation = incarnation;
            sender.number = 0;
        }
        sender.last_report_at = now;
        sender.vms = report.vms;
        if report.number <= sender.number {
            return;
        }
        sender.number = report.number;
        self.apply_counts(&report.counts, accounts, now);
        if report.vms.is_none() {
            self.collect_for_other_domains(&report.counts, accounts);
        }
    }

    /// Applies this VM's own counts.
    pub fn apply_own(&mut self, counts: &Counts, accounts: &Accounts, now: Millis) {
        self.apply_counts(counts, accounts, now);
        self.collect_for_other_domains(counts, accounts);
    }

    /// Records that this VM receives reports.
    ///
    /// While another VM of its domain received them instead, this one missed what was admitted. If
    /// it took over in the middle of a surge with the bursts that have refilled here meanwhile,
    /// those would be granted a second time.
    fn record_report(&mut self, now: Millis) {
        if now.since(self.last_report_at) >= SILENT_AFTER {
            self.totals.clear();
            self.started = now;
        }
        self.last_report_at = now;
    }

    fn apply_counts(&mut self, counts: &Counts, accounts: &Accounts, now: Millis) {
        self.record_report(now);
        for (name, count) in counts {
            let Some(limit) = accounts.limit_of(name) else {
                continue;
            };
            let started = self.started;
            let total = self.totals.entry(name.clone());
            let total = total.or_insert_with(|| AccountTotal::new(limit, started));
            total.refill(limit, self.reachable_fraction, now);
            total.level -= f64::from(count.admitted);
            total.asked.add(now, f64::from(count.asked));
        }
    }

    fn collect_for_other_domains(&mut self, counts: &Counts, accounts: &Accounts) {
        for (name, count) in counts {
            add_count(&mut self.collected, name, *count);
            let limit = accounts.limit_of(name);
            let Some((limit, collected)) = limit.zip(self.collected.get(name)) else {
                continue;
            };
            let surge = (limit.per_second * SURGE_LIMIT_FRACTION).max(SURGE_MIN_REQUESTS);
            self.has_surge |= f64::from(collected.asked) >= surge;
        }
    }

    /// Takes the counts reported by VMs of this domain since the last call.
    pub fn take_collected(&mut self) -> Counts {
        self.has_surge = false;
        std::mem::take(&mut self.collected)
    }

    /// Returns whether the collected counts of an account should be passed on at once.
    pub fn has_surge(&self) -> bool {
        self.has_surge
    }

    /// Returns the number of VMs that recently reported their own counts to this one.
    pub fn reporting_vms(&self, now: Millis) -> u32 {
        let active = self.active_senders(now);
        active.filter(|sender| sender.vms.is_none()).count() as u32
    }

    fn active_senders(&self, now: Millis) -> impl Iterator<Item = &Sender> {
        let senders = self.senders.values();
        senders.filter(move |sender| now.since(sender.last_report_at) < SILENT_AFTER)
    }

    /// Returns the admitted fraction of each account whose requests may not all be admitted, and
    /// drops accounts that need not be tracked. `vms` is the highest number of VMs that may be
    /// running.
    pub fn fractions(
        &mut self,
        accounts: &Accounts,
        vms: usize,
        now: Millis,
    ) -> HashMap<AccountName, f64> {
        self.update_reachable(vms, now);
        self.prune(accounts, now);
        let (reachable, known_for) = (self.reachable_fraction, now.since(self.started));
        let totals = self.totals.iter_mut();
        let fractions = totals.map(|(name, total)| {
            (
                name.clone(),
                total.usage(reachable, known_for, now).fraction,
            )
        });
        fractions.filter(|(_, fraction)| *fraction < 1.0).collect()
    }

    /// Returns the usage of each known account.
    pub fn usages(&mut self, vms: usize, now: Millis) -> HashMap<AccountName, AccountUsage> {
        self.update_reachable(vms, now);
        let (reachable, known_for) = (self.reachable_fraction, now.since(self.started));
        let totals = self.totals.iter_mut();
        totals
            .map(|(name, total)| (name.clone(), total.usage(reachable, known_for, now)))
            .collect()
    }

    /// Updates the fraction of VMs that report here. The others may be running and admitting their
    /// own shares of the limits, which the reporting VMs must not use in that case.
    fn update_reachable(&mut self, vms: usize, now: Millis) {
        let active = self.active_senders(now);
        let reporting: u32 = active.map(|sender| sender.vms.unwrap_or(1)).sum();
        // Plus this VM itself.
        let reachable = (reporting as usize + 1).min(vms);
        self.reachable_fraction = reachable as f64 / vms.max(1) as f64;
    }

    fn prune(&mut self, accounts: &Accounts, now: Millis) {
        let reachable = self.reachable_fraction;
        self.totals.retain(|name, total| {
            let limit = accounts.limit_of(name);
            limit.is_some_and(|limit| {
                total.refill(limit, reachable, now);
                // A full level without demand equals a new entry, once the totals are old enough.
                total.level < limit.burst * reachable || total.asked.total(now) > 0.0
            })
        });
        self.senders
            .retain(|_, sender| now.since(sender.last_report_at) < SENDER_TTL);
    }
}

impl AccountTotal {
    fn new(limit: RateLimit, started: Millis) -> Self {
        let window = Millis((REQUESTS_PER_WINDOW / limit.per_second * 1000.0) as u64);
        let window = window.clamp(MIN_DEMAND_WINDOW, MAX_DEMAND_WINDOW);
        Self {
            limit,
            level: 0.0,
            refilled_at: started,
            asked: SlidingWindow::new(window),
            window,
            applied_fraction: 1.0,
            evaluated_at: started,
        }
    }

    /// Refills the level up to `now`. The reachable VMs may use their fraction of the limit and of
    /// its burst; otherwise a head that is cut off would keep the account's whole burst for itself.
    fn refill(&mut self, limit: RateLimit, reachable: f64, now: Millis) {
        let gained = now.since(self.refilled_at).as_secs_f64() * limit.per_second * reachable;
        let lower_bound = -limit.per_second * MAX_DEBT_S;
        self.level = (self.level.max(lower_bound) + gained).min(limit.burst * reachable);
        self.limit = limit;
        self.refilled_at = now;
    }

    fn usage(&mut self, reachable: f64, known_for: Millis, now: Millis) -> AccountUsage {
        let elapsed = now.since(self.evaluated_at).as_secs_f64();
        self.evaluated_at = now;
        self.refill(self.limit, reachable, now);
        let window_s = self
            .window
            .min(known_for)
            .as_secs_f64()
            .max(MIN_DEMAND_WINDOW_AT_START_S);
        let asked = self.asked.total(now) / window_s;
        let per_second = self.limit.per_second * reachable;
        let fraction_for = |allowed_rate: f64| match asked > allowed_rate {
            true => allowed_rate.max(0.0) / asked,
            false => 1.0,
        };
        let allowed_rate = per_second + self.level / BURST_SPREAD_S;
        // What VMs still admit by an older, larger fraction. With this correction a surge of seven
        // times the usual rate is contained within 0.5 s instead of 0.75 s. Less than one request
        // is ignored, or small accounts would be refused for no reason.
        let still_admitted = asked
            * (self.applied_fraction - fraction_for(allowed_rate)).max(0.0)
            * FEEDBACK_DELAY_S;
        let fraction =
            fraction_for(allowed_rate - (still_admitted - 1.0).max(0.0) / BURST_SPREAD_S);
        self.applied_fraction +=
            (fraction - self.applied_fraction) * (elapsed / FEEDBACK_DELAY_S).min(1.0);
        AccountUsage {
            asked,
            level: self.level,
            fraction,
        }
    }
}
