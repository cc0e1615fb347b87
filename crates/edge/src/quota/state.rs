//! One VM's quota state for all accounts, shared by its requests and its peers' reports.

use std::cell::{Ref, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use heatherknot_http::Flag;
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::meter::{Meter, RequestOrder, Verdict};
use super::totals::{AccountUsage, Totals};
use super::usage::{Counts, Reporter, UsageReport};
use crate::accounts::{Account, Accounts};
use crate::catalog::Catalog;
use crate::routing_state::RoutingState;

/// How long a VM that is no longer seen may still be running and admit requests; longer than most
/// network partitions. After that the remaining VMs use its share as well.
const VM_COUNT_WINDOW: Millis = Millis(30_000);
/// How long computed fractions are reused. A head answers dozens of VMs, and computing the
/// fractions takes time for each account.
const FRACTIONS_TTL: Millis = Millis(40);

/// One VM's part in enforcing the limits of all accounts.
pub struct Quota {
    timer: Timer,
    routing_state: Rc<RefCell<RoutingState>>,
    meter: RefCell<Meter>,
    totals: RefCell<Totals>,
    reporters: RefCell<HashMap<VmName, Reporter>>,
    vm_count: RefCell<PeakVmCount>,
    fractions: RefCell<CachedFractions>,
    /// Fires when an account surges.
    surge: RefCell<Flag>,
}

/// The admitted fractions as computed last.
#[derive(Default)]
struct CachedFractions {
    at: Millis,
    fractions: BTreeMap<AccountName, f64>,
}

/// The answer to a usage report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The admitted fraction of each account whose requests may not all be admitted; `None` if the
    /// VM can't tell because it has just started, or was not asked.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub fractions: Option<BTreeMap<AccountName, f64>>,
}

/// The highest number of live VMs within the last one to two [`VM_COUNT_WINDOW`]s.
#[derive(Debug, Default)]
struct PeakVmCount {
    since: Millis,
    previous: usize,
    current: usize,
}

impl PeakVmCount {
    fn record(&mut self, vms: usize, now: Millis) {
        if now.since(self.since) >= VM_COUNT_WINDOW {
            self.since = now;
            self.previous = std::mem::take(&mut self.current);
        }
        self.current = self.current.max(vms);
    }

    fn peak(&self) -> usize {
        self.previous.max(self.current)
    }
}

impl Quota {
    /// Creates the state of a VM that has just started.
    pub fn new(timer: Timer, routing_state: Rc<RefCell<RoutingState>>) -> Self {
        let totals = Totals::new(timer.now());
        Self {
            timer,
            routing_state,
            meter: RefCell::default(),
            totals: RefCell::new(totals),
            reporters: RefCell::default(),
            vm_count: RefCell::default(),
            fractions: RefCell::default(),
            surge: RefCell::default(),
        }
    }

    /// Records the number of live VMs, once all of them are known.
    pub fn record_vm_count(&self, vms: usize) {
        self.vm_count.borrow_mut().record(vms, self.timer.now());
    }

    /// Returns the highest number of VMs that may be running; zero while it is unknown.
    pub fn most_vms(&self) -> usize {
        self.vm_count.borrow().peak()
    }

    /// Returns whether the number of live VMs is known.
    pub fn knows_vms(&self) -> bool {
        self.vm_count.borrow().peak() > 0
    }

    /// Decides whether a request of an account may run, and counts it; `draw` is uniformly
    /// distributed between 0 and 1.
    pub fn admit(&self, account: &Account, draw: f64) -> Verdict {
        self.decide(account, RequestOrder::First, draw)
    }

    /// Like [`Quota::admit`], for a caller that was refused before and that new requests of its
    /// account precede.
    pub fn admit_return(&self, account: &Account, draw: f64) -> Verdict {
        self.decide(account, RequestOrder::Return, draw)
    }

    fn decide(&self, account: &Account, order: RequestOrder, draw: f64) -> Verdict {
        let Some(limit) = account.limit else {
            return Verdict::Admitted;
        };
        let vms = match self.vm_count.borrow().peak() {
            // It is unknown how many VMs share the limit.
            0 => usize::MAX,
            most => most,
        };
        let mut meter = self.meter.borrow_mut();
        let now = self.timer.now();
        let verdict = meter.admit_in_order(&account.name, limit, order, vms, now, draw);
        if meter.has_surge() {
            self.surge.borrow().fire();
        }
        verdict
    }

    /// Records that an admitted request did not run.
    pub fn refund(&self, account: &Account) {
        if account.limit.is_some() {
            self.meter.borrow_mut().refund(&account.name);
        }
    }

    /// Returns the meter that decides on admission.
    pub fn meter(&self) -> Ref<'_, Meter> {
        self.meter.borrow()
    }

    /// Returns the current time.
    pub fn now(&self) -> Millis {
        self.timer.now()
    }

    /// Returns the usage of each account of which this VM collects counts.
    pub fn usages(&self) -> HashMap<AccountName, AccountUsage> {
        let vms = self.vm_count.borrow().peak();
        self.totals.borrow_mut().usages(vms, self.timer.now())
    }

    /// Returns whether any account has a limit.
    pub fn has_limits(&self) -> bool {
        let catalog = self.catalog();
        let accounts = catalog.as_ref().and_then(|catalog| catalog.accounts());
        accounts.is_some_and(Accounts::has_limits)
    }

    /// Returns whether this VM has a current answer about what may be admitted. A VM that has just
    /// started refuses some requests within the limits until it has one.
    pub(super) fn has_fresh_fractions(&self) -> bool {
        let now = self.timer.now();
        self.meter.borrow().fraction_age(now).is_some()
    }

    pub(super) fn catalog(&self) -> Option<Rc<Catalog>> {
        self.routing_state.borrow().catalog().cloned()
    }

    pub(super) fn is_avoided(&self, vm: &VmName) -> bool {
        let reporters = self.reporters.borrow();
        reporters.get(vm).is_some_and(Reporter::is_avoided)
    }

    pub(super) fn with_reporter<T>(&self, vm: &VmName, act: impl FnOnce(&mut Reporter) -> T) -> T {
        let mut reporters = self.reporters.borrow_mut();
        act(reporters.entry(vm.clone()).or_default())
    }

    /// Returns a flag that fires on the next surge of an account.
    pub(super) fn next_surge(&self) -> Flag {
        let surge = Flag::new();
        *self.surge.borrow_mut() = surge.clone();
        surge
    }

    /// Takes this VM's own counts since the last call.
    pub(super) fn take_unreported(&self) -> Counts {
        self.meter.borrow_mut().take_unreported()
    }

    /// Adds back counts that could not be reported.
    pub(super) fn restore_unreported(&self, counts: Counts) {
        self.meter.borrow_mut().restore_unreported(counts);
    }

    /// Sets the admitted fractions received from the head of this VM's domain.
    pub(super) fn set_fractions(&self, fractions: BTreeMap<AccountName, f64>) {
        let fractions = fractions.into_iter().collect();
        self.meter.borrow_mut().set_fractions(fractions, self.now());
    }

    /// Adds this VM's own counts to the totals, as the VM that collects the counts of its domain.
    pub(super) fn collect_own(&self, counts: &Counts, accounts: &Accounts) {
        let now = self.now();
        self.totals.borrow_mut().apply_own(counts, accounts, now);
        let fractions = self.fractions(accounts);
        self.set_fractions(fractions);
    }

    /// Returns the number of VMs that recently reported their own counts to this one.
    pub(super) fn reporting_vms(&self) -> u32 {
        self.totals.borrow().reporting_vms(self.now())
    }

    /// Takes the counts reported by VMs of this domain since the last call.
    pub(super) fn take_collected(&self) -> Counts {
        self.totals.borrow_mut().take_collected()
    }

    /// Drops the reporters of VMs that are gone.
    pub(super) fn retain_reporters(&self, is_live: impl Fn(&VmName) -> bool) {
        let mut reporters = self.reporters.borrow_mut();
        reporters.retain(|vm, _| is_live(vm));
    }

    /// Applies a peer's usage report and returns the answer.
    ///
    /// A VM that has just started does not know how many VMs share the limits. If it answered, it
    /// would count itself as all of them or as none, and its whole domain would admit everything or
    /// nothing.
    pub fn apply_report(
        &self,
        from: &VmName,
        incarnation: Incarnation,
        report: &UsageReport,
    ) -> Answer {
        let Some(catalog) = self.catalog() else {
            return Answer::default();
        };
        let Some(accounts) = catalog.accounts() else {
            return Answer::default();
        };
        let mut totals = self.totals.borrow_mut();
        totals.apply_report(from, incarnation, report, accounts, self.now());
        if totals.has_surge() {
            self.surge.borrow().fire();
        }
        drop(totals);
        let wants_fractions = report.vms.is_none() && self.knows_vms();
        Answer {
            fractions: wants_fractions.then(|| self.fractions(accounts)),
        }
    }

    fn fractions(&self, accounts: &Accounts) -> BTreeMap<AccountName, f64> {
        let now = self.timer.now();
        let mut cached = self.fractions.borrow_mut();
        if now.since(cached.at) >= FRACTIONS_TTL || cached.at == Millis(0) {
            let vms = self.vm_count.borrow().peak();
            let fractions = self.totals.borrow_mut().fractions(accounts, vms, now);
            cached.fractions = fractions
                .into_iter()
                .map(|(name, fraction)| (name, rounded(fraction)))
                .collect();
            cached.at = now;
        }
        cached.fractions.clone()
    }
}

/// Rounds a fraction to the precision that matters on the wire.
fn rounded(fraction: f64) -> f64 {
    (fraction * 10_000.0).round() / 10_000.0
}
