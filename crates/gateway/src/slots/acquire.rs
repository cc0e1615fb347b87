//! Acquisition of a slot from the upstream's home, which may be this VM.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

use heatherknot_types::prelude::*;
use log::debug;
use snafu::Snafu;

use super::message::{
    AcquireReply, AcquireSlot, ExtendSlot, HomeEpoch, LoanId, Member, ReleaseSlot, UpstreamKey,
};
use super::{PeerError, Slots};

/// The parameters of an acquisition.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest {
    /// The class of the request.
    pub class: Class,
    /// How long the request has waited already.
    pub waited: Millis,
    /// How long it may wait for a slot now; zero fails at once if no slot is free.
    pub wait: Millis,
    /// Maximum duration of the loan.
    pub term: Millis,
}

/// Why no slot could be acquired. Nothing has been sent to the upstream.
#[derive(Clone, Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum AcquireError {
    /// No slot became free in the time allowed.
    #[snafu(display("{} of {} has no free slot", key.upstream, key.service))]
    Busy {
        /// The upstream.
        key: UpstreamKey,
    },
    /// The upstream gets no new work.
    #[snafu(display("{} of {} gets no new work", key.upstream, key.service))]
    Leaving {
        /// The upstream.
        key: UpstreamKey,
    },
    /// The home of the upstream is unknown, not ready or changing.
    #[snafu(display("{} of {} has no home that lends", key.upstream, key.service))]
    NoHome {
        /// The upstream.
        key: UpstreamKey,
    },
    /// The home could not be reached.
    #[snafu(display("{source}"))]
    Unreachable {
        /// The call that failed.
        source: PeerError,
    },
}

/// A slot in use. Dropping it releases it.
pub struct Slot {
    slots: Rc<Slots>,
    key: UpstreamKey,
    loan: LoanId,
    leaving: Cell<bool>,
    /// Whether the home may have lent the slot, so that it must be released.
    may_be_lent: Cell<bool>,
}

impl Slots {
    /// Acquires a slot of `key`.
    ///
    /// Dropping the future leaves the queue and releases a slot lent meanwhile.
    ///
    /// # Errors
    ///
    /// Returns an error if no slot became free in time, the upstream gets no new work, or its
    /// home can't be reached.
    pub async fn acquire(
        self: &Rc<Self>,
        key: &UpstreamKey,
        request: SlotRequest,
    ) -> Result<Slot, AcquireError> {
        let no_home = || AcquireError::NoHome { key: key.clone() };
        // A new home asks only the listed VMs what they use. It would not learn of slots that
        // other VMs use.
        if !self.members.borrow().contains(&self.cx.own) {
            return Err(no_home());
        }
        let home = self.home_of(key).ok_or_else(no_home)?;
        let asked_at = self.cx.clock.now();
        let req = AcquireSlot {
            key: key.clone(),
            loan: self.new_loan_id(),
            class: request.class,
            waited: request.waited,
            wait: request.wait,
            term: request.term,
            known: self.agreed_epochs.borrow().get(key).cloned(),
        };
        let slot = Slot {
            slots: Rc::clone(self),
            key: key.clone(),
            loan: req.loan.clone(),
            leaving: Cell::new(false),
            may_be_lent: Cell::new(true),
        };
        let epoch = if home == self.cx.own {
            self.acquire_local(&req).await
        } else {
            let lent = self.acquire_remote(&home, req).await;
            let not_lent = matches!(
                lent,
                Err(AcquireError::Busy { .. }
                    | AcquireError::NoHome { .. }
                    | AcquireError::Leaving { .. })
            );
            slot.may_be_lent.set(!not_lent);
            lent
        }?;
        self.accept_loan(&slot, epoch, asked_at + request.term)?;
        Ok(slot)
    }

    async fn acquire_remote(
        &self,
        home: &Member,
        req: AcquireSlot,
    ) -> Result<HomeEpoch, AcquireError> {
        let key = req.key.clone();
        if self.is_backed_off(home) {
            return Err(unreachable_home(home, "it gave no answer of late"));
        }
        let limit = req.wait + self.cx.timing.call_timeout;
        let call = (self.cx.port.acquire)(&home.vm, req);
        let reply = match self.cx.timer.limit(limit, call).await {
            Some(Ok(reply)) => reply,
            Some(Err(source)) => {
                self.back_off(home);
                return Err(AcquireError::Unreachable { source });
            }
            None => {
                self.back_off(home);
                return Err(unreachable_home(home, "no answer in time"));
            }
        };
        match reply {
            AcquireReply::Lent(epoch) => Ok(epoch),
            AcquireReply::Busy => Err(AcquireError::Busy { key }),
            AcquireReply::NotHome => Err(AcquireError::NoHome { key }),
            AcquireReply::Leaving => Err(AcquireError::Leaving { key }),
        }
    }

    /// Makes acquisitions from `home` fail at once for a while, because it didn't reply.
    ///
    /// In a partition that drops messages, each request would otherwise wait for the timeout of
    /// a call before it tried an upstream whose home can be reached.
    fn back_off(&self, home: &Member) {
        let until = self.cx.clock.now() + self.cx.timing.unreachable_backoff;
        self.unreachable.borrow_mut().insert(home.clone(), until);
    }

    fn is_backed_off(&self, home: &Member) -> bool {
        let now = self.cx.clock.now();
        let mut unreachable = self.unreachable.borrow_mut();
        unreachable.retain(|_, until| *until > now);
        unreachable.contains_key(home)
    }

    /// Acquires a slot from this VM, which is the home, for itself or for another borrower.
    pub(super) async fn acquire_local(&self, req: &AcquireSlot) -> Result<HomeEpoch, AcquireError> {
        let key = &req.key;
        let no_home = || AcquireError::NoHome { key: key.clone() };
        let limit = (self.cx.limit)(key);
        if limit == 0 {
            return Err(AcquireError::Leaving { key: key.clone() });
        }
        if !self.is_home(key) {
            return Err(no_home());
        }
        let now = self.cx.clock.now();
        let margin = self.cx.timing.reclaim_margin;
        let lent = self
            .with_home(key, |home| home.try_acquire(now, limit, req, margin))
            .ok_or_else(no_home)?;
        if let Some(epoch) = lent {
            return Ok(epoch);
        }
        if req.wait == Millis::default() {
            return Err(AcquireError::Busy { key: key.clone() });
        }
        let rx = self
            .with_home(key, |home| home.enqueue(now, req))
            .ok_or_else(no_home)?;
        self.wait_local(req, rx, now + req.wait).await
    }

    async fn wait_local(
        &self,
        req: &AcquireSlot,
        mut rx: local_sync::oneshot::Receiver<HomeEpoch>,
        deadline: Millis,
    ) -> Result<HomeEpoch, AcquireError> {
        let key = &req.key;
        loop {
            self.lend_free_slots(key);
            let now = self.cx.clock.now();
            if now >= deadline {
                return Err(AcquireError::Busy { key: key.clone() });
            }
            // No message announces that a loan is reclaimed, so the wait also wakes at the next
            // reclaim time.
            let reclaim = self.with_home(key, |home| home.next_reclaim(now)).flatten();
            let wake = reclaim
                .filter(|at| *at > now)
                .map_or(deadline, |at| at.min(deadline));
            match self.cx.timer.limit(wake.since(now), &mut rx).await {
                Some(Ok(epoch)) => return Ok(epoch),
                Some(Err(_)) => return Err(AcquireError::NoHome { key: key.clone() }),
                None => {}
            }
        }
    }

    /// Records a lent slot as in use, unless it was lent under an epoch that this VM no longer
    /// accepts.
    ///
    /// The old home may lend a slot just before another VM becomes the home. While its reply is
    /// in transit this VM reports its slots to the new home without that one, so using it would
    /// mean that the slot is lent twice. This VM recorded the new epoch when it reported, so the
    /// late loan differs from it and is released unused. A loan whose term passed meanwhile, as
    /// in a paused process, is released as well.
    fn accept_loan(
        &self,
        slot: &Slot,
        epoch: HomeEpoch,
        until: Millis,
    ) -> Result<(), AcquireError> {
        let key = &slot.key;
        let no_home = AcquireError::NoHome { key: key.clone() };
        let known = self.agreed_epochs.borrow().get(key).cloned();
        match known {
            Some(known) if known != epoch => return Err(no_home),
            Some(_) => {}
            None if self.home_of(key).as_ref() == Some(&epoch.home) => {
                self.agreed_epochs
                    .borrow_mut()
                    .insert(key.clone(), epoch.clone());
            }
            None => return Err(no_home),
        }
        self.record_lending(key, &epoch);
        if self.cx.clock.now() >= until {
            return Err(AcquireError::Busy { key: key.clone() });
        }
        let mut own_loans = self.own_loans.borrow_mut();
        let of_key = own_loans.entry(key.clone()).or_default();
        of_key.insert(slot.loan.clone(), until + self.cx.timing.reclaim_margin);
        Ok(())
    }

    fn remove_own_loan(&self, key: &UpstreamKey, loan: &LoanId) {
        let mut own_loans = self.own_loans.borrow_mut();
        let Some(of_key) = own_loans.get_mut(key) else {
            return;
        };
        of_key.remove(loan);
        if of_key.is_empty() {
            own_loans.remove(key);
        }
    }

    /// Reports to the home of `key` that the upstream is leaving.
    pub fn report_leaving(self: &Rc<Self>, key: &UpstreamKey) {
        let unused = self.new_loan_id();
        self.release(key, &unused, true);
    }

    fn release(self: &Rc<Self>, key: &UpstreamKey, loan: &LoanId, leaving: bool) {
        self.remove_own_loan(key, loan);
        let release = ReleaseSlot {
            key: key.clone(),
            loan: loan.clone(),
            leaving,
        };
        let Some(home) = self.home_of(key) else {
            return;
        };
        if home == self.cx.own {
            self.serve_release(&release);
            return;
        }
        let call = (self.cx.port.release)(&home.vm, release);
        monoio::spawn(async move {
            if let Err(error) = call.await {
                debug!(peer = home.vm.as_str(), error:% = error; "slot not released; the home reclaims it after its term");
            }
        });
    }
}

fn unreachable_home(home: &Member, cause: &str) -> AcquireError {
    AcquireError::Unreachable {
        source: PeerError {
            step: "take a slot",
            vm: home.vm.clone(),
            cause: cause.to_owned(),
        },
    }
}

impl Slot {
    /// Returns the upstream.
    pub fn key(&self) -> &UpstreamKey {
        &self.key
    }

    /// Marks the upstream as leaving, which is reported to its home when the slot is released.
    pub fn mark_leaving(&self) {
        self.leaving.set(true);
    }

    /// Extends the loan to `term` from now, for a response that is still being streamed.
    pub fn extend(&self, term: Millis) {
        let slots = &self.slots;
        let until = slots.cx.clock.now() + term + slots.cx.timing.reclaim_margin;
        if let Some(of_key) = slots.own_loans.borrow_mut().get_mut(&self.key) {
            of_key.insert(self.loan.clone(), until);
        }
        let extend = ExtendSlot {
            key: self.key.clone(),
            loan: self.loan.clone(),
            term,
        };
        let Some(home) = slots.home_of(&self.key) else {
            return;
        };
        if home == slots.cx.own {
            slots.serve_extend(extend);
            return;
        }
        let call = (slots.cx.port.extend)(&home.vm, extend);
        monoio::spawn(async move {
            if let Err(error) = call.await {
                debug!(peer = home.vm.as_str(), error:% = error; "loan of a slot not extended");
            }
        });
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.may_be_lent.get() {
            self.slots
                .release(&self.key, &self.loan, self.leaving.get());
        }
    }
}

impl fmt::Debug for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Slot")
            .field("key", &self.key)
            .field("loan", &self.loan)
            .finish_non_exhaustive()
    }
}
