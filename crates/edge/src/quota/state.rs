//! What one VM knows and admits of all accounts, between its requests and the reports of its peers.

use std::cell::{Ref, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use heatherknot_http::Flag;
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::meter::{Meter, Verdict};
use super::totals::{Standing, Totals};
use super::usage::{Counts, Reporter, UsageReport};
use crate::accounts::{Account, Accounts};
use crate::catalog::Catalog;
use crate::world::RoutingState;

/// How long a VM that is not seen any more may still be there and admit requests: longer than
/// most cuts last. Beyond it, those that are left use its share as well.
const REMEMBERED_FOR: Millis = Millis(30_000);
/// For how long the parts of all accounts that were worked out may be told again. A head is asked
/// by dozens of VMs, and working them out takes time for each account.
const PARTS_KEPT: Millis = Millis(40);

/// One VM's part in keeping to the quotas of all accounts.
pub struct Quota {
    timer: Timer,
    world: Rc<RefCell<RoutingState>>,
    meter: RefCell<Meter>,
    totals: RefCell<Totals>,
    reporters: RefCell<HashMap<VmName, Reporter>>,
    seen: RefCell<MostSeen>,
    parts: RefCell<KeptParts>,
    /// Fires when an account surges.
    surge: RefCell<Flag>,
}

/// The parts of accounts' requests that may be admitted, as they were worked out last.
#[derive(Default)]
struct KeptParts {
    at: Millis,
    parts: BTreeMap<AccountName, f64>,
}

/// The answer to a usage report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The accounts of whose requests not all may be admitted, with the part that may; nothing
    /// where the VM can't say, as it has just started, or is not asked.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub parts: Option<BTreeMap<AccountName, f64>>,
}

/// The most VMs that were there at once within [`REMEMBERED_FOR`], or up to twice as long.
#[derive(Debug, Default)]
struct MostSeen {
    since: Millis,
    before: usize,
    now: usize,
}

impl MostSeen {
    fn note(&mut self, vms: usize, now: Millis) {
        if now.since(self.since) >= REMEMBERED_FOR {
            self.since = now;
            self.before = std::mem::take(&mut self.now);
        }
        self.now = self.now.max(vms);
    }

    fn most(&self) -> usize {
        self.before.max(self.now)
    }
}

impl Quota {
    /// Makes the part of a VM that has just started.
    pub fn new(timer: Timer, world: Rc<RefCell<RoutingState>>) -> Self {
        let totals = Totals::new(timer.now());
        Self {
            timer,
            world,
            meter: RefCell::default(),
            totals: RefCell::new(totals),
            reporters: RefCell::default(),
            seen: RefCell::default(),
            parts: RefCell::default(),
            surge: RefCell::default(),
        }
    }

    /// Takes in how many VMs there are, once all of them are known.
    pub fn note_vms(&self, vms: usize) {
        self.seen.borrow_mut().note(vms, self.timer.now());
    }

    /// Says whether it is known how many VMs there are.
    pub fn knows_vms(&self) -> bool {
        self.seen.borrow().most() > 0
    }

    /// Says whether a request of an account may run, and counts it; `draw` is drawn evenly from 0
    /// to 1.
    pub fn admit(&self, account: &Account, draw: f64) -> Verdict {
        let Some(limit) = account.limit else {
            return Verdict::Admitted;
        };
        let vms = match self.seen.borrow().most() {
            // Nobody knows how many share the limit.
            0 => usize::MAX,
            most => most,
        };
        let mut meter = self.meter.borrow_mut();
        let verdict = meter.ask(&account.name, limit, vms, self.timer.now(), draw);
        if meter.has_surge() {
            self.surge.borrow().fire();
        }
        verdict
    }

    /// Takes in that a request that was admitted did not run.
    pub fn refund(&self, account: &Account) {
        if account.limit.is_some() {
            self.meter.borrow_mut().give_back(&account.name);
        }
    }

    /// Gives what this VM admits by.
    pub fn meter(&self) -> Ref<'_, Meter> {
        self.meter.borrow()
    }

    /// Gives the current time.
    pub fn now(&self) -> Millis {
        self.timer.now()
    }

    /// Gives what is known of each account of which this VM collects any counts.
    pub fn standings(&self) -> HashMap<AccountName, Standing> {
        let vms = self.seen.borrow().most();
        self.totals.borrow_mut().standings(vms, self.timer.now())
    }

    /// Says whether any account has a limit.
    pub fn has_limits(&self) -> bool {
        let catalog = self.catalog();
        let accounts = catalog.as_ref().and_then(|catalog| catalog.accounts());
        accounts.is_some_and(Accounts::has_limits)
    }

    /// Says whether this VM was told lately what may be admitted. One that has just started refuses
    /// a part of what callers may send until it is.
    pub(super) fn is_told(&self) -> bool {
        let now = self.timer.now();
        self.meter.borrow().told_age(now).is_some()
    }

    pub(super) fn catalog(&self) -> Option<Rc<Catalog>> {
        self.world.borrow().catalog().cloned()
    }

    pub(super) fn is_avoided(&self, vm: &VmName) -> bool {
        let reporters = self.reporters.borrow();
        reporters.get(vm).is_some_and(Reporter::is_avoided)
    }

    pub(super) fn with_reporter<T>(&self, vm: &VmName, act: impl FnOnce(&mut Reporter) -> T) -> T {
        let mut reporters = self.reporters.borrow_mut();
        act(reporters.entry(vm.clone()).or_default())
    }

    /// Gives an event that happens when an account surges from now on.
    pub(super) fn next_surge(&self) -> Flag {
        let surge = Flag::new();
        *self.surge.borrow_mut() = surge.clone();
        surge
    }

    /// Takes what this VM counted since it was taken last.
    pub(super) fn take_untold(&self) -> Counts {
        self.meter.borrow_mut().take_untold()
    }

    /// Takes back what could not be told.
    pub(super) fn put_back(&self, counts: Counts) {
        self.meter.borrow_mut().put_back(counts);
    }

    /// Takes in what may be admitted, as the head of this VM's domain says.
    pub(super) fn take_parts(&self, parts: BTreeMap<AccountName, f64>) {
        let parts = parts.into_iter().collect();
        self.meter.borrow_mut().take_parts(parts, self.now());
    }

    /// Takes in what this VM counted, as the one that collects the counts of its domain.
    pub(super) fn collect_own(&self, counts: &Counts, accounts: &Accounts) {
        let now = self.now();
        self.totals.borrow_mut().take_own(counts, accounts, now);
        let parts = self.parts(accounts);
        self.take_parts(parts);
    }

    /// Gives the VMs that told this one their own counts lately.
    pub(super) fn heard_here(&self) -> u32 {
        self.totals.borrow().heard_here(self.now())
    }

    /// Takes what VMs of this domain told since it was taken last.
    pub(super) fn take_collected(&self) -> Counts {
        self.totals.borrow_mut().take_collected()
    }

    /// Forgets what was to be told to VMs that are gone.
    pub(super) fn retain_reporters(&self, is_there: impl Fn(&VmName) -> bool) {
        let mut reporters = self.reporters.borrow_mut();
        reporters.retain(|vm, _| is_there(vm));
    }

    /// Takes in what a peer counted.
    ///
    /// A VM that has just started does not know how many share the limits. It would take itself
    /// for all or for none of them, and its whole domain would admit anything or nothing by that.
    pub fn take(&self, from: &VmName, incarnation: Incarnation, report: &UsageReport) -> Answer {
        let Some(catalog) = self.catalog() else {
            return Answer::default();
        };
        let Some(accounts) = catalog.accounts() else {
            return Answer::default();
        };
        let mut totals = self.totals.borrow_mut();
        totals.take(from, incarnation, report, accounts, self.now());
        if totals.has_surge() {
            self.surge.borrow().fire();
        }
        drop(totals);
        let is_asked = report.vms.is_none() && self.knows_vms();
        Answer {
            parts: is_asked.then(|| self.parts(accounts)),
        }
    }

    fn parts(&self, accounts: &Accounts) -> BTreeMap<AccountName, f64> {
        let now = self.timer.now();
        let mut kept = self.parts.borrow_mut();
        if now.since(kept.at) >= PARTS_KEPT || kept.at == Millis(0) {
            let vms = self.seen.borrow().most();
            let parts = self.totals.borrow_mut().parts(accounts, vms, now);
            kept.parts = parts
                .into_iter()
                .map(|(name, part)| (name, rounded(part)))
                .collect();
            kept.at = now;
        }
        kept.parts.clone()
    }
}

/// Gives a part with as many digits as make a difference on the wire.
fn rounded(part: f64) -> f64 {
    (part * 10_000.0).round() / 10_000.0
}
