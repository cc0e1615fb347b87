//! Answers to the other VMs of the failure domain.

use std::collections::HashMap;
use std::rc::Rc;

use heatherknot_types::prelude::*;

use super::Slots;
use super::message::{
    AcquireReply, AcquireSlot, AdoptReply, AdoptSlots, ExtendSlot, KeyState, LoanId, LoanLeft,
    Members, ReleaseSlot, Tenure, UpstreamKey,
};
use super::take::AcquireError;

/// Takes a loan back where the message that lends it is never sent: the connection to the
/// borrower broke while it waited, so the borrower does not know of the loan.
struct Undelivered<'a> {
    slots: &'a Rc<Slots>,
    give: Option<ReleaseSlot>,
}

impl Drop for Undelivered<'_> {
    fn drop(&mut self) {
        if let Some(give) = self.give.take() {
            self.slots.serve_release(&give);
        }
    }
}

impl Slots {
    /// Answers a VM that asks for a slot.
    pub async fn serve_acquire(self: &Rc<Self>, take: AcquireSlot) -> AcquireReply {
        let mut undelivered = Undelivered {
            slots: self,
            give: Some(ReleaseSlot {
                key: take.key.clone(),
                loan: take.loan.clone(),
                leaving: false,
            }),
        };
        if self.differs(&take) {
            self.readopt(&take.key);
            return AcquireReply::NotHome;
        }
        match self.take_here(&take).await {
            Ok(tenure) => {
                undelivered.give = None;
                AcquireReply::Lent(tenure)
            }
            Err(AcquireError::Busy { .. }) => AcquireReply::Busy,
            Err(AcquireError::Leaving { .. }) => AcquireReply::Leaving,
            Err(AcquireError::NoHome { .. } | AcquireError::Unreachable { .. }) => {
                AcquireReply::NotHome
            }
        }
    }

    /// Says whether the borrower takes slots under another tenure than this VM's.
    ///
    /// It does where a VM began to become the home, got the borrower's word, and was overtaken
    /// by further changes that this VM never saw. The borrower would refuse every loan.
    fn differs(&self, take: &AcquireSlot) -> bool {
        let homes = self.homes.borrow();
        match (&take.known, homes.get(&take.key)) {
            (Some(known), Some(home)) => home.lending && *known != home.tenure,
            _ => false,
        }
    }

    fn readopt(self: &Rc<Self>, key: &UpstreamKey) {
        self.with_home(key, |home| home.lending = false);
        self.adopt_missing();
    }

    /// Takes a slot back.
    pub fn serve_release(&self, give: &ReleaseSlot) {
        if give.leaving {
            (self.cx.on_leaving)(&give.key);
        }
        if let Some(given) = self.adopting.borrow_mut().get_mut(&give.key) {
            given.insert(give.loan.clone());
        }
        self.with_home(&give.key, |home| home.give(&give.loan));
        self.lend(&give.key);
    }

    /// Prolongs the use of a slot.
    pub fn serve_extend(&self, keep: ExtendSlot) {
        let until = self.cx.clock.now() + keep.term + self.cx.timing.margin;
        self.with_home(&keep.key, |home| home.keep(keep.loan, until));
    }

    /// Lets go of upstreams for a VM that becomes their home.
    pub fn serve_adopt(self: &Rc<Self>, adopt: AdoptSlots) -> AdoptReply {
        if adopt.members.version < self.version() {
            return AdoptReply::Newer(self.members.borrow().clone());
        }
        let tenure = Tenure {
            home: adopt.home.clone(),
            version: adopt.members.version,
        };
        self.on_members(adopt.members.clone());
        let named = adopt
            .keys
            .into_iter()
            .filter(|key| adopt.members.home_of(key) == Some(&adopt.home));
        let states = named
            .map(|key| self.let_go(key, &tenure, &adopt.members))
            .collect();
        AdoptReply::Adopted(states)
    }

    /// Ends this VM's own tenure of `key`, where it has one, and takes slots from `tenure`
    /// alone from here on.
    fn let_go(&self, key: UpstreamKey, tenure: &Tenure, members: &Members) -> KeyState {
        let now = self.cx.clock.now();
        self.tenures
            .borrow_mut()
            .insert(key.clone(), tenure.clone());
        let previous = self.lent_under.borrow().get(&key).cloned();
        let mut loans = self.own_loans(&key, now);
        let mut held = Millis::default();
        if let Some(home) = self.homes.borrow_mut().remove(&key) {
            // The VMs listed answer for their own loans; those of others would be forgotten.
            loans.extend(home.loans_left(now, |loan| !members.contains(&loan.borrower)));
            held = home.held_until().since(now);
        }
        KeyState {
            key,
            previous,
            loans,
            held,
        }
    }

    pub(super) fn own_loans(&self, key: &UpstreamKey, now: Millis) -> Vec<LoanLeft> {
        let uses = self.uses.borrow();
        let of_key = uses.get(key).into_iter().flatten();
        let left = |(loan, until): (&LoanId, &Millis)| LoanLeft {
            loan: loan.clone(),
            left: until.since(now),
        };
        of_key.map(left).collect()
    }

    pub(super) fn loans_of(&self, states: &[KeyState], now: Millis) -> HashMap<LoanId, Millis> {
        let margin = self.cx.timing.margin;
        let left = states.iter().flat_map(|state| state.loans.iter());
        left.map(|loan| (loan.loan.clone(), now + loan.left + margin))
            .collect()
    }
}
