//! Distributed allocation of upstream slots among the entry VMs of a failure domain.
//!
//! A slot is the right to have one request in progress at an upstream. Each upstream has one
//! home VM, chosen by rendezvous hashing over the members that the capacity ledger lists. The
//! home counts the upstream's slots and lends them; a VM borrows one slot for the duration of a
//! request. Every VM reports the slots that it uses itself, so a new home rebuilds the count
//! from the borrowers and doesn't depend on the previous home.
//!
//! At most one VM lends the slots of an upstream at any time: a VM becomes the home only after
//! every listed member has agreed to borrow from no other VM. A member that can't be reached
//! blocks the change until the ledger no longer lists it.

mod acquire;
mod adopt;
mod home;
mod members;
mod message;
mod port;
mod serve;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::rc::Rc;

use heatherknot_types::prelude::*;

pub use acquire::{AcquireError, Slot, SlotRequest};
pub use home::Home;
pub use message::{
    AcquireReply, AcquireSlot, ActiveLoan, AdoptReply, AdoptSlots, ExtendSlot, HomeEpoch, LoanId,
    Member, Members, ReleaseSlot, UpstreamKey, UpstreamState,
};
pub use port::{PeerCall, PeerError, SlotPort};

/// Durations that govern the lending of slots and the change of homes.
#[derive(Clone, Copy, Debug)]
pub struct SlotTiming {
    /// How long after the end of its term an unreleased loan is reclaimed. Allows for messages
    /// in transit and for clocks that run at different rates.
    pub reclaim_margin: Millis,
    /// How long a new home holds back the slots that a VM which is gone may still be using.
    ///
    /// Backend servers that see the connections close free their slots at once. Where the loss
    /// of a VM leaves connections half-open, set this to the longest request deadline.
    pub orphan_hold: Millis,
    /// Interval between attempts to reach a member that has not yet agreed to a new home.
    pub adopt_retry_interval: Millis,
    /// Timeout of a call to another VM, in addition to the time that the call may wait there.
    pub call_timeout: Millis,
    /// How long a home that didn't reply is not called again.
    pub unreachable_backoff: Millis,
}

impl Default for SlotTiming {
    fn default() -> Self {
        Self {
            reclaim_margin: Millis(1_000),
            orphan_hold: Millis(2_000),
            adopt_retry_interval: Millis(200),
            call_timeout: Millis(200),
            unreachable_backoff: Millis(1_000),
        }
    }
}

/// Returns the configured number of slots of an upstream, or zero if it gets no new work.
pub type SlotLimit = Rc<dyn Fn(&UpstreamKey) -> usize>;

/// The dependencies of [`Slots`].
#[derive(Clone)]
pub struct SlotContext {
    /// This VM.
    pub own: Member,
    /// Calls to the other VMs.
    pub port: SlotPort,
    /// Looks up the number of slots of an upstream.
    pub limit: SlotLimit,
    /// Called with an upstream that a borrower found to be leaving.
    pub on_leaving: Rc<dyn Fn(&UpstreamKey)>,
    /// The clock.
    pub clock: Clock,
    /// The timer for waits and timeouts.
    pub timer: Timer,
    /// The durations in use.
    pub timing: SlotTiming,
}

/// One VM's side of the slot allocation, as a borrower and as a home.
pub struct Slots {
    cx: SlotContext,
    members: RefCell<Members>,
    homes: RefCell<HashMap<UpstreamKey, Home>>,
    /// The upstreams that this VM is becoming the home of, with the loans released meanwhile.
    adopting: RefCell<HashMap<UpstreamKey, HashSet<LoanId>>>,
    /// The epoch that this VM agreed to borrow under. It may never begin.
    agreed_epochs: RefCell<HashMap<UpstreamKey, HomeEpoch>>,
    /// The newest epoch under which this VM has lent or borrowed slots.
    last_lending_epoch: RefCell<HashMap<UpstreamKey, HomeEpoch>>,
    /// The slots that this VM uses, with the time at which the home reclaims each.
    own_loans: RefCell<HashMap<UpstreamKey, HashMap<LoanId, Millis>>>,
    /// The upstreams of the failure domain that the current plan names.
    upstreams: RefCell<HashSet<UpstreamKey>>,
    /// Homes that recently didn't reply, and the time until which they are not called.
    unreachable: RefCell<HashMap<Member, Millis>>,
    next_loan: Cell<u64>,
}

impl Slots {
    /// Creates the state of a VM that knows of no members yet.
    pub fn new(cx: SlotContext) -> Rc<Self> {
        Rc::new(Self {
            cx,
            members: RefCell::default(),
            homes: RefCell::default(),
            adopting: RefCell::default(),
            agreed_epochs: RefCell::default(),
            last_lending_epoch: RefCell::default(),
            own_loans: RefCell::default(),
            upstreams: RefCell::default(),
            unreachable: RefCell::default(),
            next_loan: Cell::new(0),
        })
    }

    /// Replaces the list of members if `members` is newer, and adopts the upstreams it assigns
    /// to this VM.
    pub fn on_members(self: &Rc<Self>, members: Members) {
        if members.version <= self.members.borrow().version {
            return;
        }
        *self.members.borrow_mut() = members;
        self.stop_lending();
        self.adopt_missing();
    }

    /// Replaces the set of upstreams of this VM's failure domain that the current plan names.
    pub fn on_upstreams(self: &Rc<Self>, keys: HashSet<UpstreamKey>) {
        // The count of an upstream that reappears is rebuilt from what the VMs use then.
        self.homes.borrow_mut().retain(|key, _| keys.contains(key));
        *self.upstreams.borrow_mut() = keys;
        self.adopt_missing();
    }

    /// Returns the version of the current members, or zero if none are known.
    pub fn version(&self) -> u64 {
        self.members.borrow().version
    }

    /// Returns whether this VM is among the `count` members that rank highest for `key`.
    pub fn is_among_top(&self, count: usize, key: &str) -> bool {
        self.members.borrow().is_among_top(count, key, &self.cx.own)
    }

    /// Returns the number of current members.
    pub fn member_count(&self) -> usize {
        self.members.borrow().list.len()
    }

    /// Returns whether this VM lends the slots of `key`.
    pub fn is_home(&self, key: &UpstreamKey) -> bool {
        self.homes
            .borrow()
            .get(key)
            .is_some_and(|home| home.lending)
    }

    /// Returns the home of `key` under the current members.
    pub fn home_of(&self, key: &UpstreamKey) -> Option<Member> {
        self.members.borrow().home_of(key).cloned()
    }

    /// Returns the number of slots of `key` that this VM uses.
    pub fn own_use(&self, key: &UpstreamKey) -> usize {
        self.own_loans.borrow().get(key).map_or(0, HashMap::len)
    }

    /// Returns the number of slots of `key` that are lent, if this VM counts them.
    pub fn lent(&self, key: &UpstreamKey) -> Option<usize> {
        self.homes.borrow().get(key).map(Home::in_use)
    }

    /// Stops lending the slots of upstreams whose home under the current members is another VM.
    ///
    /// A VM that is not listed is not asked to relinquish its upstreams. Without this it would
    /// lend alongside the next home once it is listed again, and both would lend the same slots.
    fn stop_lending(&self) {
        let members = self.members.borrow();
        for (key, home) in self.homes.borrow_mut().iter_mut() {
            home.lending &= members.home_of(key) == Some(&self.cx.own);
        }
    }

    /// Records that slots of `key` are lent under `epoch`.
    fn record_lending(&self, key: &UpstreamKey, epoch: &HomeEpoch) {
        let mut last_lending_epoch = self.last_lending_epoch.borrow_mut();
        if last_lending_epoch.get(key) != Some(epoch) {
            last_lending_epoch.insert(key.clone(), epoch.clone());
        }
    }

    fn new_loan_id(&self) -> LoanId {
        let number = self.next_loan.get();
        self.next_loan.set(number + 1);
        LoanId {
            borrower: self.cx.own.clone(),
            number,
        }
    }

    /// Calls `f` with the home state of `key`, if this VM counts its slots.
    fn with_home<T>(&self, key: &UpstreamKey, f: impl FnOnce(&mut Home) -> T) -> Option<T> {
        self.homes.borrow_mut().get_mut(key).map(f)
    }

    /// Lends the free slots of `key` to its waiters, or rejects them if it gets no new work.
    fn lend_free_slots(&self, key: &UpstreamKey) {
        let limit = (self.cx.limit)(key);
        let now = self.cx.clock.now();
        let margin = self.cx.timing.reclaim_margin;
        self.with_home(key, |home| match limit {
            0 => home.reject_waiters(),
            _ => home.lend_to_waiters(now, limit, margin),
        });
    }
}

impl fmt::Debug for Slots {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Slots")
            .field("own", &self.cx.own)
            .field("members", &self.members.borrow())
            .finish_non_exhaustive()
    }
}
