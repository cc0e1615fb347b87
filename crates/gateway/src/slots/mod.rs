//! Slots of upstreams, shared by all entry VMs of a failure domain.
//!
//! Each upstream has one home VM, chosen by rendezvous hashing over the VMs of the capacity
//! ledger. The home counts the upstream's slots; the other VMs borrow one for the time of one
//! request. Every VM answers for the slots that it uses itself, so a new home learns what is in
//! use from the users, not from the home before it.
//!
//! At most one VM lends at any time: a VM becomes the home once every VM of the ledger has
//! said that it takes slots of that upstream from nobody else. A VM that can't be asked holds
//! this up until the ledger no longer lists it.

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

/// Spans that the sharing of slots uses.
#[derive(Clone, Copy, Debug)]
pub struct SlotTiming {
    /// How long after the end of its term a slot is taken back from a VM that has not given
    /// it back: for messages under way and clocks that run at different speeds.
    pub reclaim_margin: Millis,
    /// How long a new home keeps the slots free that a VM which is gone may have used. Backend
    /// servers that see closed connections free their slots at once; where a VM's loss leaves
    /// connections silent, this is to be the longest deadline.
    pub orphan_hold: Millis,
    /// The time between two tries to reach a VM that must let go.
    pub adopt_retry_interval: Millis,
    /// Longest time for a call to another VM and back, besides the time that the call waits there.
    pub call_timeout: Millis,
    /// How long a home that gave no answer is not asked again.
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

/// Gives the number of slots of an upstream in force, or zero where it gets no new work.
pub type SlotLimit = Rc<dyn Fn(&UpstreamKey) -> usize>;

/// What [`Slots`] needs from its surroundings.
#[derive(Clone)]
pub struct SlotContext {
    /// This VM.
    pub own: Member,
    /// Calls to the other VMs.
    pub port: SlotPort,
    /// The slots in force.
    pub limit: SlotLimit,
    /// Told of upstreams that another VM found to be leaving.
    pub on_leaving: Rc<dyn Fn(&UpstreamKey)>,
    /// The time.
    pub clock: Clock,
    /// Waiting.
    pub timer: Timer,
    /// The spans used.
    pub timing: SlotTiming,
}

/// One VM's part in the sharing of its failure domain's slots.
pub struct Slots {
    cx: SlotContext,
    members: RefCell<Members>,
    homes: RefCell<HashMap<UpstreamKey, Home>>,
    adopting: RefCell<HashMap<UpstreamKey, HashSet<LoanId>>>,
    /// The epoch that this VM has agreed to, which may never begin.
    agreed_epochs: RefCell<HashMap<UpstreamKey, HomeEpoch>>,
    /// The newest epoch under which this VM has seen slots lent.
    last_lending_epoch: RefCell<HashMap<UpstreamKey, HomeEpoch>>,
    own_loans: RefCell<HashMap<UpstreamKey, HashMap<LoanId, Millis>>>,
    upstreams: RefCell<HashSet<UpstreamKey>>,
    /// Homes that gave no answer of late, and until when they are not asked.
    unreachable: RefCell<HashMap<Member, Millis>>,
    next_loan: Cell<u64>,
}

impl Slots {
    /// Makes the part of a VM that knows of no members yet.
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

    /// Takes over a newer list of members; an older one changes nothing.
    pub fn on_members(self: &Rc<Self>, members: Members) {
        if members.version <= self.members.borrow().version {
            return;
        }
        *self.members.borrow_mut() = members;
        self.stop_lending();
        self.adopt_missing();
    }

    /// Takes over the upstreams of the VM's own failure domain that the plan in force names.
    pub fn on_upstreams(self: &Rc<Self>, keys: HashSet<UpstreamKey>) {
        // An upstream that comes back is counted anew from what the VMs then use.
        self.homes.borrow_mut().retain(|key, _| keys.contains(key));
        *self.upstreams.borrow_mut() = keys;
        self.adopt_missing();
    }

    /// Gives the version of the members in force, zero where none are known.
    pub fn version(&self) -> u64 {
        self.members.borrow().version
    }

    /// Says whether this VM is one of the `count` that win `key` among the members in force.
    pub fn is_among_top(&self, count: usize, key: &str) -> bool {
        self.members.borrow().is_among_top(count, key, &self.cx.own)
    }

    /// Gives the number of members in force.
    pub fn member_count(&self) -> usize {
        self.members.borrow().list.len()
    }

    /// Says whether this VM lends the slots of `key`.
    pub fn is_home(&self, key: &UpstreamKey) -> bool {
        self.homes
            .borrow()
            .get(key)
            .is_some_and(|home| home.lending)
    }

    /// Gives the home of `key` under the members in force.
    pub fn home_of(&self, key: &UpstreamKey) -> Option<Member> {
        self.members.borrow().home_of(key).cloned()
    }

    /// Gives the number of slots of `key` that this VM uses.
    pub fn own_use(&self, key: &UpstreamKey) -> usize {
        self.own_loans.borrow().get(key).map_or(0, HashMap::len)
    }

    /// Gives the number of slots of `key` that are lent, where this VM is the home.
    pub fn lent(&self, key: &UpstreamKey) -> Option<usize> {
        self.homes.borrow().get(key).map(Home::in_use)
    }

    /// Ends the agreed_epochs that the members in force no longer give to this VM.
    ///
    /// A VM that is not listed is not asked to let go. It would lend beside the next home as
    /// soon as it is listed again, and both would lend the same slots.
    fn stop_lending(&self) {
        let members = self.members.borrow();
        for (key, home) in self.homes.borrow_mut().iter_mut() {
            home.lending &= members.home_of(key) == Some(&self.cx.own);
        }
    }

    /// Remembers that slots of `key` are lent under `epoch`.
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

    /// Runs `f` on what this VM counts as the home of `key`.
    fn with_home<T>(&self, key: &UpstreamKey, f: impl FnOnce(&mut Home) -> T) -> Option<T> {
        self.homes.borrow_mut().get_mut(key).map(f)
    }

    /// Lends what is free to those that wait for `key`.
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
