//! Handlers of the slot messages of other VMs.

use std::collections::HashMap;
use std::rc::Rc;

use heatherknot_types::prelude::*;

use super::Slots;
use super::acquire::AcquireError;
use super::message::{
    AcquireReply, AcquireSlot, ActiveLoan, AdoptReply, AdoptSlots, ExtendSlot, HomeEpoch, LoanId,
    Members, ReleaseSlot, UpstreamKey, UpstreamState,
};

/// Releases a loan on drop unless its reply is about to be sent. If the connection to the
/// borrower breaks while the call waits, the borrower never learns of the loan.
struct UndeliveredLoan<'a> {
    slots: &'a Rc<Slots>,
    release: Option<ReleaseSlot>,
}

impl Drop for UndeliveredLoan<'_> {
    fn drop(&mut self) {
        if let Some(release) = self.release.take() {
            self.slots.serve_release(&release);
        }
    }
}

impl Slots {
    /// Handles the request of another VM for a slot.
    pub async fn serve_acquire(self: &Rc<Self>, req: AcquireSlot) -> AcquireReply {
        let mut undelivered = UndeliveredLoan {
            slots: self,
            release: Some(ReleaseSlot {
                key: req.key.clone(),
                loan: req.loan.clone(),
                leaving: false,
            }),
        };
        if self.epoch_differs(&req) {
            self.readopt(&req.key);
            return AcquireReply::NotHome;
        }
        match self.acquire_local(&req).await {
            Ok(epoch) => {
                undelivered.release = None;
                AcquireReply::Lent(epoch)
            }
            Err(AcquireError::Busy { .. }) => AcquireReply::Busy,
            Err(AcquireError::Leaving { .. }) => AcquireReply::Leaving,
            Err(AcquireError::NoHome { .. } | AcquireError::Unreachable { .. }) => {
                AcquireReply::NotHome
            }
        }
    }

    /// Returns whether this VM lends under another epoch than the one the borrower accepts.
    ///
    /// This happens when another VM started to adopt the upstream, got the borrower's agreement
    /// and was superseded by further changes of the members, none of which this VM saw. The
    /// borrower would reject every loan of this VM.
    fn epoch_differs(&self, req: &AcquireSlot) -> bool {
        let homes = self.homes.borrow();
        match (&req.known, homes.get(&req.key)) {
            (Some(known), Some(home)) => home.lending && *known != home.epoch,
            _ => false,
        }
    }

    fn readopt(self: &Rc<Self>, key: &UpstreamKey) {
        self.with_home(key, |home| home.lending = false);
        self.adopt_missing();
    }

    /// Handles the release of a slot.
    pub fn serve_release(&self, release: &ReleaseSlot) {
        if release.leaving {
            (self.cx.on_leaving)(&release.key);
        }
        if let Some(released) = self.adopting.borrow_mut().get_mut(&release.key) {
            released.insert(release.loan.clone());
        }
        self.with_home(&release.key, |home| home.release(&release.loan));
        self.lend_free_slots(&release.key);
    }

    /// Handles the extension of a loan.
    pub fn serve_extend(&self, extend: ExtendSlot) {
        let until = self.cx.clock.now() + extend.term + self.cx.timing.reclaim_margin;
        self.with_home(&extend.key, |home| home.extend(extend.loan, until));
    }

    /// Handles the adoption of upstreams by another VM.
    pub fn serve_adopt(self: &Rc<Self>, adopt: AdoptSlots) -> AdoptReply {
        if adopt.members.version < self.version() {
            return AdoptReply::Newer(self.members.borrow().clone());
        }
        let epoch = HomeEpoch {
            home: adopt.home.clone(),
            version: adopt.members.version,
        };
        self.on_members(adopt.members.clone());
        let assigned = adopt
            .keys
            .into_iter()
            .filter(|key| adopt.members.home_of(key) == Some(&adopt.home));
        let states = assigned
            .map(|key| self.relinquish(key, &epoch, &adopt.members))
            .collect();
        AdoptReply::Adopted(states)
    }

    /// Ends this VM's own lending of `key`, if any, and accepts loans only under `epoch` from
    /// now on.
    fn relinquish(&self, key: UpstreamKey, epoch: &HomeEpoch, members: &Members) -> UpstreamState {
        let now = self.cx.clock.now();
        self.agreed_epochs
            .borrow_mut()
            .insert(key.clone(), epoch.clone());
        let previous = self.last_lending_epoch.borrow().get(&key).cloned();
        let mut loans = self.own_active_loans(&key, now);
        let mut held = Millis::default();
        if let Some(home) = self.homes.borrow_mut().remove(&key) {
            // Listed VMs report their own loans. Those of other VMs would be lost.
            loans.extend(home.active_loans(now, |loan| !members.contains(&loan.borrower)));
            held = home.held_until().since(now);
        }
        UpstreamState {
            key,
            previous,
            loans,
            held,
        }
    }

    /// Returns the loans of `key` that this VM uses, with the time left.
    pub(super) fn own_active_loans(&self, key: &UpstreamKey, now: Millis) -> Vec<ActiveLoan> {
        let own_loans = self.own_loans.borrow();
        let of_key = own_loans.get(key).into_iter().flatten();
        let left = |(loan, until): (&LoanId, &Millis)| ActiveLoan {
            loan: loan.clone(),
            left: until.since(now),
        };
        of_key.map(left).collect()
    }

    /// Returns the reported loans with the times at which they are reclaimed here.
    pub(super) fn reclaim_times(
        &self,
        states: &[UpstreamState],
        now: Millis,
    ) -> HashMap<LoanId, Millis> {
        let margin = self.cx.timing.reclaim_margin;
        let left = states.iter().flat_map(|state| state.loans.iter());
        left.map(|loan| (loan.loan.clone(), now + loan.left + margin))
            .collect()
    }
}
