//! The home's count of the slots of one upstream.

use std::collections::HashMap;

use heatherknot_types::prelude::*;
use local_sync::oneshot;

use super::message::{AcquireSlot, ActiveLoan, HomeEpoch, LoanId};

/// Number of slots that bulk requests leave free for interactive ones.
const INTERACTIVE_RESERVE: usize = 1;

/// The loans of the slots of one upstream, and the requests that wait for a slot.
#[derive(Debug)]
pub struct Home {
    /// The epoch under which slots are lent.
    pub epoch: HomeEpoch,
    /// Whether slots are lent. A home that another VM has replaced, or may have replaced, keeps
    /// counting and lends nothing.
    pub lending: bool,
    /// The slots lent, with the time at which each is reclaimed.
    loans: HashMap<LoanId, Millis>,
    waiters: Vec<Waiter>,
    held_until: Millis,
    /// Number of slots held back until `held_until` for requests of a VM that is gone.
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
    /// Creates the home of an upstream whose slots in use are `loans`, with the times at which
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

    /// Holds back `count` slots until `until`, for requests of a VM that is gone.
    pub fn hold_back(&mut self, count: usize, until: Millis) {
        self.held = count;
        self.held_until = until;
    }

    /// Returns the time until which slots are held back for a VM that is gone.
    pub fn held_until(&self) -> Millis {
        self.held_until
    }

    /// Returns the number of slots lent, including those that the home itself uses.
    pub fn in_use(&self) -> usize {
        self.loans.len()
    }

    /// Returns the number of requests that wait for a slot.
    pub fn waiter_count(&self) -> usize {
        self.waiters.iter().filter(|w| !w.tx.is_closed()).count()
    }

    /// Lends a slot if one is free and no request of the same or a more urgent class waits.
    ///
    /// `slots` is the number of slots of the upstream. The loan is reclaimed `margin` after its
    /// term.
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

    /// Adds a request to the waiters; the receiver gets the epoch once a slot is lent to it.
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

    /// Ends a loan, or removes the waiter that asked for it.
    pub fn release(&mut self, loan: &LoanId) {
        self.loans.remove(loan);
        self.waiters.retain(|w| w.loan != *loan);
    }

    /// Extends a loan until `until`. A loan that was already reclaimed is counted again.
    pub fn extend(&mut self, loan: LoanId, until: Millis) {
        self.loans.insert(loan, until);
    }

    /// Lends the free slots to waiters: interactive before bulk, then the oldest first.
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

    /// Rejects all waiters, because the upstream gets no new work.
    pub fn reject_waiters(&mut self) {
        self.waiters.clear();
    }

    /// Resumes lending under a new epoch, and adds the `loans` that members reported.
    pub fn resume_lending(&mut self, epoch: HomeEpoch, loans: HashMap<LoanId, Millis>) {
        self.epoch = epoch;
        self.loans.extend(loans);
        self.lending = true;
    }

    /// Returns the next time at which a slot becomes free without being released.
    pub fn next_reclaim(&self, now: Millis) -> Option<Millis> {
        let held = (self.held_until > now).then_some(self.held_until);
        self.loans.values().copied().chain(held).min()
    }

    /// Returns the active loans that `filter` accepts, with the time left.
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
            // With the reserve, an upstream with one slot could never serve bulk requests.
            Class::Bulk if slots <= INTERACTIVE_RESERVE => free > 0,
            Class::Bulk => free > INTERACTIVE_RESERVE,
        }
    }

    /// Removes the loans whose reclaim time has passed.
    ///
    /// A borrower that died, or whose release message was lost, never releases its slot, which
    /// would otherwise count as in use forever. A borrower starts nothing after the term of its
    /// loan, and the reclaim time lies a margin later, so the slot is free.
    fn reclaim(&mut self, now: Millis) {
        self.loans.retain(|_, until| *until > now);
    }
}
