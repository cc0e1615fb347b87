//! The slots of one upstream as its home VM counts them.

use std::collections::HashMap;

use heatherknot_types::prelude::*;
use local_sync::oneshot;

use super::message::{AcquireSlot, LoanId, LoanLeft, Tenure};

/// Slots that bulk requests leave free for interactive ones.
const RESERVED_FROM_BULK: usize = 1;

/// The slots of one upstream and who uses or waits for them.
#[derive(Debug)]
pub struct Home {
    /// The tenure under which slots are lent.
    pub tenure: Tenure,
    /// Whether slots are lent now. A home that another VM has replaced, or may have, counts on
    /// but lends nothing.
    pub lending: bool,
    loans: HashMap<LoanId, Millis>,
    waiting: Vec<Waiting>,
    held_until: Millis,
    held: usize,
}

#[derive(Debug)]
struct Waiting {
    loan: LoanId,
    class: Class,
    since: Millis,
    term: Millis,
    tx: oneshot::Sender<Tenure>,
}

impl Home {
    /// Makes the home of an upstream whose slots in use are `loans`, with the points at which
    /// they are reclaimed.
    pub fn new(tenure: Tenure, loans: HashMap<LoanId, Millis>) -> Self {
        Self {
            tenure,
            lending: true,
            loans,
            waiting: Vec::new(),
            held_until: Millis::default(),
            held: 0,
        }
    }

    /// Keeps `count` slots free until `until`, for requests of a VM that is gone.
    pub fn hold(&mut self, count: usize, until: Millis) {
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
    pub fn waiting(&self) -> usize {
        self.waiting.iter().filter(|w| !w.tx.is_closed()).count()
    }

    /// Lends a slot where one is free and nobody of the same class or a more urgent one
    /// waits. It is reclaimed `margin` after the term of the loan.
    pub fn try_take(
        &mut self,
        now: Millis,
        slots: usize,
        take: &AcquireSlot,
        margin: Millis,
    ) -> Option<Tenure> {
        self.reclaim(now);
        if !self.lending {
            return None;
        }
        let overtakes = self
            .waiting
            .iter()
            .any(|w| !w.tx.is_closed() && w.class <= take.class);
        if overtakes || !self.has_slot_for(take.class, now, slots) {
            return None;
        }
        let until = now + take.term + margin;
        self.loans.insert(take.loan.clone(), until);
        Some(self.tenure.clone())
    }

    /// Adds a request to those that wait; the receiver gets the tenure once a slot is lent.
    pub fn wait(&mut self, now: Millis, take: &AcquireSlot) -> oneshot::Receiver<Tenure> {
        let (tx, rx) = oneshot::channel();
        self.waiting.push(Waiting {
            loan: take.loan.clone(),
            class: take.class,
            since: now - take.waited,
            term: take.term,
            tx,
        });
        rx
    }

    /// Takes back a slot, or the wish for one.
    pub fn give(&mut self, loan: &LoanId) {
        self.loans.remove(loan);
        self.waiting.retain(|w| w.loan != *loan);
    }

    /// Prolongs a loan; one that was reclaimed already is counted again.
    pub fn keep(&mut self, loan: LoanId, until: Millis) {
        self.loans.insert(loan, until);
    }

    /// Lends free slots to those that wait: interactive before bulk, then the oldest first.
    pub fn lend_to_waiting(&mut self, now: Millis, slots: usize, margin: Millis) {
        self.reclaim(now);
        self.waiting.retain(|w| !w.tx.is_closed());
        if !self.lending {
            return;
        }
        while let Some(next) = self.next_waiting() {
            if !self.has_slot_for(self.waiting[next].class, now, slots) {
                return;
            }
            let waiting = self.waiting.swap_remove(next);
            let until = now + waiting.term + margin;
            if waiting.tx.send(self.tenure.clone()).is_ok() {
                self.loans.insert(waiting.loan, until);
            }
        }
    }

    /// Turns away all that wait, as the upstream gets no new work.
    pub fn turn_away(&mut self) {
        self.waiting.clear();
    }

    /// Starts to lend again under a new tenure; loans found in use are added to those counted.
    pub fn renew(&mut self, tenure: Tenure, loans: HashMap<LoanId, Millis>) {
        self.tenure = tenure;
        self.loans.extend(loans);
        self.lending = true;
    }

    /// Gives the next point at which a slot comes free without being given back.
    pub fn next_reclaim(&self, now: Millis) -> Option<Millis> {
        let held = (self.held_until > now).then_some(self.held_until);
        self.loans.values().copied().chain(held).min()
    }

    /// Lists the loans that `wanted` accepts, with the time left.
    pub fn loans_left(&self, now: Millis, wanted: impl Fn(&LoanId) -> bool) -> Vec<LoanLeft> {
        self.loans
            .iter()
            .filter(|(loan, until)| **until > now && wanted(loan))
            .map(|(loan, until)| LoanLeft {
                loan: loan.clone(),
                left: until.since(now),
            })
            .collect()
    }

    fn next_waiting(&self) -> Option<usize> {
        (0..self.waiting.len()).min_by_key(|&i| (self.waiting[i].class, self.waiting[i].since))
    }

    fn has_slot_for(&self, class: Class, now: Millis, slots: usize) -> bool {
        let held = if now < self.held_until { self.held } else { 0 };
        let free = slots.saturating_sub(self.loans.len() + held);
        match class {
            Class::Interactive => free > 0,
            // An upstream with one slot could never serve bulk requests otherwise.
            Class::Bulk if slots <= RESERVED_FROM_BULK => free > 0,
            Class::Bulk => free > RESERVED_FROM_BULK,
        }
    }

    /// Drops loans whose time is over. A borrower that died or whose message was lost never
    /// gives its slot back; it shows as a slot in use for good. The borrower starts nothing
    /// after its term and this point lies a margin later, so the slot is truly free.
    fn reclaim(&mut self, now: Millis) {
        self.loans.retain(|_, until| *until > now);
    }
}
