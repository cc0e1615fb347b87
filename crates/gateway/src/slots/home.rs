//! The slots of one upstream as its home VM counts them.

use std::collections::HashMap;

use heatherknot_types::prelude::*;
use local_sync::oneshot;

use super::message::{AcquireSlot, ActiveLoan, HomeEpoch, LoanId};

/// Slots that bulk requests leave free for interactive ones.
const INTERACTIVE_RESERVE: usize = 1;

/// The slots of one upstream and who uses or waits for them.
#[derive(Debug)]
pub struct Home {
    /// The epoch under which slots are lent.
    pub epoch: HomeEpoch,
    /// Whether slots are lent now. A home that another VM has replaced, or may have, counts on
    /// but lends nothing.
    pub lending: bool,
    loans: HashMap<LoanId, Millis>,
    waiters: Vec<Waiter>,
    held_until: Millis,
    held: usize,
}

#[derive(Debug)]
struct Waiter {
    loan: LoanId,
    class: Class,
    since: Millis,
    term: Millis,
    tx: oneshot::Sender<HomeEpoch>,
}

impl Home {
    /// Makes the home of an upstream whose slots in use are `loans`, with the points at which
    /// they are reclaimed.
    pub fn new(epoch: HomeEpoch, loans: HashMap<LoanId, Millis>) -> Self {
        Self {
            epoch,
            lending: true,
            loans,
            waiters: Vec::new(),
            held_until: Millis::default(),
            held: 0,
        }
    }

    /// Keeps `count` slots free until `until`, for requests of a VM that is gone.
    pub fn hold_back(&mut self, count: usize, until: Millis) {
        self.held = count;
        self.held_until = until;
    }

    /// Gives the point until which slots of a VM that is gone are kept free.
    pub fn held_until(&self) -> Millis {
        self.held_until
    }

    /// Gives the number of slots lent, the home's own uses included.
    pub fn in_use(&self) -> usize {
        self.loans.len()
    }

    /// Gives the number of requests that wait for a slot.
    pub fn waiter_count(&self) -> usize {
        self.waiters.iter().filter(|w| !w.tx.is_closed()).count()
    }

    /// Lends a slot where one is free and nobody of the same class or a more urgent one
    /// waits. It is reclaimed `margin` after the term of the loan.
    pub fn try_acquire(
        &mut self,
        now: Millis,
        slots: usize,
        req: &AcquireSlot,
        margin: Millis,
    ) -> Option<HomeEpoch> {
        self.reclaim(now);
        if !self.lending {
            return None;
        }
        let has_waiter_ahead = self
            .waiters
            .iter()
            .any(|w| !w.tx.is_closed() && w.class <= req.class);
        if has_waiter_ahead || !self.has_free_slot(req.class, now, slots) {
            return None;
        }
        let until = now + req.term + margin;
        self.loans.insert(req.loan.clone(), until);
        Some(self.epoch.clone())
    }

    /// Adds a request to those that wait; the receiver gets the epoch once a slot is lent.
    pub fn enqueue(&mut self, now: Millis, req: &AcquireSlot) -> oneshot::Receiver<HomeEpoch> {
        let (tx, rx) = oneshot::channel();
        self.waiters.push(Waiter {
            loan: req.loan.clone(),
            class: req.class,
            since: now - req.waited,
            term: req.term,
            tx,
        });
        rx
    }

    /// Takes back a slot, or the wish for one.
    pub fn release(&mut self, loan: &LoanId) {
        self.loans.remove(loan);
        self.waiters.retain(|w| w.loan != *loan);
    }

    /// Prolongs a loan; one that was reclaimed already is counted again.
    pub fn extend(&mut self, loan: LoanId, until: Millis) {
        self.loans.insert(loan, until);
    }

    /// Lends free slots to those that wait: interactive before bulk, then the oldest first.
    pub fn lend_to_waiters(&mut self, now: Millis, slots: usize, margin: Millis) {
        self.reclaim(now);
        self.waiters.retain(|w| !w.tx.is_closed());
        if !self.lending {
            return;
        }
        while let Some(next) = self.next_waiter() {
            if !self.has_free_slot(self.waiters[next].class, now, slots) {
                return;
            }
            let waiter = self.waiters.swap_remove(next);
            let until = now + waiter.term + margin;
            if waiter.tx.send(self.epoch.clone()).is_ok() {
                self.loans.insert(waiter.loan, until);
            }
        }
    }

    /// Turns away all that wait, as the upstream gets no new work.
    pub fn reject_waiters(&mut self) {
        self.waiters.clear();
    }

    /// Starts to lend again under a new epoch; loans found in use are added to those counted.
    pub fn resume_lending(&mut self, epoch: HomeEpoch, loans: HashMap<LoanId, Millis>) {
        self.epoch = epoch;
        self.loans.extend(loans);
        self.lending = true;
    }

    /// Gives the next point at which a slot comes free without being given back.
    pub fn next_reclaim(&self, now: Millis) -> Option<Millis> {
        let held = (self.held_until > now).then_some(self.held_until);
        self.loans.values().copied().chain(held).min()
    }

    /// Lists the loans that `filter` accepts, with the time left.
    pub fn active_loans(&self, now: Millis, filter: impl Fn(&LoanId) -> bool) -> Vec<ActiveLoan> {
        self.loans
            .iter()
            .filter(|(loan, until)| **until > now && filter(loan))
            .map(|(loan, until)| ActiveLoan {
                loan: loan.clone(),
                left: until.since(now),
            })
            .collect()
    }

    fn next_waiter(&self) -> Option<usize> {
        (0..self.waiters.len()).min_by_key(|&i| (self.waiters[i].class, self.waiters[i].since))
    }

    fn has_free_slot(&self, class: Class, now: Millis, slots: usize) -> bool {
        let held = if now < self.held_until { self.held } else { 0 };
        let free = slots.saturating_sub(self.loans.len() + held);
        match class {
            Class::Interactive => free > 0,
            // An upstream with one slot could never serve bulk requests otherwise.
            Class::Bulk if slots <= INTERACTIVE_RESERVE => free > 0,
            Class::Bulk => free > INTERACTIVE_RESERVE,
        }
    }

    /// Drops loans whose time is over. A borrower that died or whose message was lost never
    /// gives its slot back; it shows as a slot in use for good. The borrower starts nothing
    /// after its term and this point lies a margin later, so the slot is truly free.
    fn reclaim(&mut self, now: Millis) {
        self.loans.retain(|_, until| *until > now);
    }
}
