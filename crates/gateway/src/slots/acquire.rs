//! Taking a slot of an upstream, from this VM or from the upstream's home.

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

/// What a request wants of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest {
    /// The class of the request.
    pub class: Class,
    /// How long the request has waited already.
    pub waited: Millis,
    /// How long it may wait for a slot now; zero asks for a slot that is free.
    pub wait: Millis,
    /// How long the slot is used at most.
    pub term: Millis,
}

/// Why a slot could not be taken. Nothing has been sent to the upstream.
#[derive(Clone, Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum AcquireError {
    /// No slot came free in the time given.
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
    /// The home of the upstream is not known, not ready or just changing.
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

/// A slot in use. Dropping it gives it back.
pub struct Slot {
    slots: Rc<Slots>,
    key: UpstreamKey,
    loan: LoanId,
    leaving: Cell<bool>,
    /// Whether the home may have lent the slot.
    may_be_lent: Cell<bool>,
}

impl Slots {
    /// Takes a slot of `key`.
    ///
    /// Dropping the future leaves the queue, and gives back a slot lent meanwhile.
    ///
    /// # Errors
    ///
    /// Returns an error where no slot came free in time, the upstream gets no new work, or its
    /// home can't be asked.
    pub async fn acquire(
        self: &Rc<Self>,
        key: &UpstreamKey,
        want: SlotRequest,
    ) -> Result<Slot, AcquireError> {
        let no_home = || AcquireError::NoHome { key: key.clone() };
        // A new home asks the VMs listed for what they use. What others used would be forgotten.
        if !self.members.borrow().contains(&self.cx.own) {
            return Err(no_home());
        }
        let home = self.home_of(key).ok_or_else(no_home)?;
        let asked_at = self.cx.clock.now();
        let req = AcquireSlot {
            key: key.clone(),
            loan: self.new_loan_id(),
            class: want.class,
            waited: want.waited,
            wait: want.wait,
            term: want.term,
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
        self.accept_loan(&slot, epoch, asked_at + want.term)?;
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

    /// Leaves a home alone that gave no answer.
    ///
    /// Where a cut swallows messages, each request would wait for the whole limit of a call
    /// before it went to an upstream whose home can be reached.
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

    /// Waits for a slot at this VM, whoever borrows it.
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
        let taken = self
            .with_home(key, |home| home.try_acquire(now, limit, req, margin))
            .ok_or_else(no_home)?;
        if let Some(epoch) = taken {
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
        end: Millis,
    ) -> Result<HomeEpoch, AcquireError> {
        let key = &req.key;
        loop {
            self.lend_free_slots(key);
            let now = self.cx.clock.now();
            if now >= end {
                return Err(AcquireError::Busy { key: key.clone() });
            }
            // A slot that is never given back comes free by time alone, so no message wakes
            // the wait; it looks again at that point.
            let reclaim = self.with_home(key, |home| home.next_reclaim(now)).flatten();
            let wake = reclaim.filter(|at| *at > now).map_or(end, |at| at.min(end));
            match self.cx.timer.limit(wake.since(now), &mut rx).await {
                Some(Ok(epoch)) => return Ok(epoch),
                Some(Err(_)) => return Err(AcquireError::NoHome { key: key.clone() }),
                None => {}
            }
        }
    }

    /// Counts a slot lent as in use, unless it was lent under a epoch that this VM has since
    /// given up.
    ///
    /// A home that lent a slot just before another VM became the home is no longer the one that
    /// counts: the answer is still under way when this VM tells the new home what it uses, and
    /// the slot would be lent twice. The epoch was recorded in that answer, so the late loan
    /// differs from it and is given back unused. A loan whose term passed meanwhile (a paused
    /// process) is given back as well.
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

    /// Tells the home of `key` that the upstream is leaving.
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
                debug!(peer = home.vm.as_str(), error:% = error; "slot not given back; the home reclaims it after its term");
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
    /// Gives the upstream.
    pub fn key(&self) -> &UpstreamKey {
        &self.key
    }

    /// Notes that the upstream said that it is leaving; its home hears of it with the slot.
    pub fn mark_leaving(&self) {
        self.leaving.set(true);
    }

    /// Prolongs the use of the slot to `term` from now, for an answer still being streamed.
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
                debug!(peer = home.vm.as_str(), error:% = error; "slot not prolonged");
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
