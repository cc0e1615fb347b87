//! The state with which one VM detects poison requests.

use std::cell::{Ref, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use heatherknot_http::Flag;
use heatherknot_types::prelude::*;
use log::{info, warn};

use super::clean_runs::CleanRuns;
use super::fingerprint::Fingerprint;
use super::suspects::{
    CRASHES_TO_REJECT, CrashId, Origin, RequestSummary, Suspect, SuspectTable, Verdict,
};

/// Detects poison requests on one VM.
pub struct PoisonDetector {
    timer: Timer,
    /// The key of quick hashes. Nobody who doesn't know it can make two requests collide.
    hash_key: u64,
    suspects: RefCell<SuspectTable>,
    clean_runs: RefCell<CleanRuns>,
    /// The operators who released requests at this VM, until that is written to the store.
    released_by: RefCell<HashMap<Fingerprint, String>>,
    /// The suspected requests that this VM has in flight.
    in_flight: RefCell<HashSet<Fingerprint>>,
    update: RefCell<Flag>,
    verdict_change: RefCell<Flag>,
}

/// Keeps a suspected request marked as in flight until it is dropped.
pub(crate) struct SuspectInFlightGuard {
    detector: Rc<PoisonDetector>,
    fingerprint: Fingerprint,
}

impl Drop for SuspectInFlightGuard {
    fn drop(&mut self) {
        let mut in_flight = self.detector.in_flight.borrow_mut();
        in_flight.remove(&self.fingerprint);
    }
}

impl PoisonDetector {
    /// Makes a detector that knows no suspects.
    pub fn new(timer: Timer, hash_key: u64) -> Self {
        Self {
            timer,
            hash_key,
            clean_runs: RefCell::default(),
            suspects: RefCell::default(),
            released_by: RefCell::default(),
            in_flight: RefCell::default(),
            update: RefCell::default(),
            verdict_change: RefCell::default(),
        }
    }

    /// Returns the key of quick hashes.
    pub(crate) fn hash_key(&self) -> u64 {
        self.hash_key
    }

    /// Returns the suspects.
    pub fn suspects(&self) -> Ref<'_, SuspectTable> {
        self.suspects.borrow()
    }

    /// Returns a flag that fires at the next update that peers are to be sent.
    pub(crate) fn next_update(&self) -> Flag {
        let update = Flag::new();
        *self.update.borrow_mut() = update.clone();
        update
    }

    /// Returns a flag that fires when the next request is rejected or no longer rejected.
    pub(crate) fn next_verdict_change(&self) -> Flag {
        let verdict_change = Flag::new();
        *self.verdict_change.borrow_mut() = verdict_change.clone();
        verdict_change
    }

    /// Wakes the task that sends peers the updates that they don't have yet.
    pub(crate) fn wake_exchange(&self) {
        self.update.borrow().fire();
    }

    /// Marks a suspected request as in flight; returns `None` if it already is.
    pub(crate) fn try_start(
        self: &Rc<Self>,
        fingerprint: Fingerprint,
    ) -> Option<SuspectInFlightGuard> {
        let is_first = self.in_flight.borrow_mut().insert(fingerprint);
        is_first.then(|| SuspectInFlightGuard {
            detector: Rc::clone(self),
            fingerprint,
        })
    }

    /// Records that a server crashed during a request.
    pub(crate) fn record_crash(&self, request: &RequestSummary, crash: CrashId) {
        self.update(&request.fingerprint, |suspects, now| {
            suspects.record_crash(request, crash, now)
        });
    }

    /// Records that a request ran without a crash; `suspect` is its fingerprint if it may be a
    /// suspect.
    pub(crate) fn record_clean_run(&self, quick_hash: u64, suspect: Option<Fingerprint>) {
        self.clean_runs
            .borrow_mut()
            .record(quick_hash, self.timer.now());
        if let Some(fingerprint) = suspect {
            self.clear(&fingerprint);
        }
    }

    /// Voids the crashes during a request that ran without one.
    fn clear(&self, fingerprint: &Fingerprint) {
        let is_cleared = self.update(fingerprint, |suspects, now| {
            suspects.clear(fingerprint, now)
        });
        if is_cleared {
            info!(fingerprint:% = fingerprint; "suspected request cleared: it ran without crashing its server");
        }
    }

    /// Releases a request on behalf of an operator.
    pub(crate) fn release(&self, fingerprint: &Fingerprint, operator: &str) {
        let operator = operator.to_owned();
        self.released_by.borrow_mut().insert(*fingerprint, operator);
        self.update(fingerprint, |suspects, now| {
            suspects.clear(fingerprint, now)
        });
    }

    /// Removes and returns the operator who released a request at this VM.
    pub(crate) fn take_releaser(&self, fingerprint: &Fingerprint) -> Option<String> {
        self.released_by.borrow_mut().remove(fingerprint)
    }

    /// Merges an update from another VM or the store. A request that recently ran here without a
    /// crash is cleared at once.
    pub(crate) fn merge(&self, suspect: &Suspect, origin: Origin) {
        let request = &suspect.request;
        let has_changed = self.update(&request.fingerprint, |suspects, now| {
            suspects.merge(suspect, origin, now)
        });
        let now = self.timer.now();
        if has_changed
            && self
                .clean_runs
                .borrow_mut()
                .take_recent(request.quick_hash, now)
        {
            self.clear(&request.fingerprint);
        }
    }

    /// Removes a suspect that the store no longer holds.
    pub(crate) fn remove(&self, fingerprint: &Fingerprint) {
        let now = self.timer.now();
        self.suspects.borrow_mut().remove(fingerprint, now);
    }

    /// Removes the suspects that are past their retention.
    pub(crate) fn remove_expired(&self) {
        let now = self.timer.now();
        self.suspects.borrow_mut().remove_expired(now);
    }

    /// Applies `change` to the entry of a request and wakes the exchange if that changed it; logs
    /// whether the request is rejected now or no longer is. Returns whether the entry changed.
    fn update(
        &self,
        fingerprint: &Fingerprint,
        change: impl FnOnce(&mut SuspectTable, Millis) -> bool,
    ) -> bool {
        let now = self.timer.now();
        let mut suspects = self.suspects.borrow_mut();
        let before = suspects.verdict(fingerprint);
        let has_changed = change(&mut suspects, now);
        if has_changed {
            self.wake_exchange();
        }
        let after = suspects.verdict(fingerprint);
        let Some(entry) = suspects.get(fingerprint).filter(|_| before != after) else {
            return has_changed;
        };
        let request = &entry.suspect.request;
        let account = request.account.as_ref().map_or("", |name| name.as_str());
        let crashes = entry.suspect.crashes.len();
        match (before, after) {
            (_, Verdict::Rejected) => {
                warn!(fingerprint:% = fingerprint, route:% = request.route, account, ends = crashes;
                    "request rejected: it crashed backend servers");
                self.verdict_change.borrow().fire();
            }
            (Verdict::Rejected, _) => {
                warn!(fingerprint:% = fingerprint, route:% = request.route, account;
                    "request no longer rejected");
                self.verdict_change.borrow().fire();
            }
            (_, Verdict::Suspected(crashes)) if crashes >= CRASHES_TO_REJECT => {
                info!(fingerprint:% = fingerprint, route:% = request.route, account, ends = crashes;
                    "request held back: it may have crashed backend servers, but others crashed without it");
            }
            _ => {}
        }
        has_changed
    }
}
