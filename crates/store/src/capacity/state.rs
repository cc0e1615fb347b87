//! The state of one VM with respect to the capacity ledger. It determines the capacity that the VM
//! may use even while the outcome of its writes is unknown.

use heatherknot_types::prelude::*;

use super::ledger::{Entry, Ledger, LedgerError};
use crate::port::StoreRevision;

/// The VMs of a failure domain that are leaving or gone according to the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Departures {
    /// The VMs that will be removed and no longer accept new requests. A VM that is asked to leave
    /// is listed here only after callers have had time to switch to other VMs.
    pub leaving: Vec<VmName>,
    /// The VMs that have been removed permanently.
    pub gone: Vec<VmName>,
}

/// A write of the ledger that has yet to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedWrite {
    /// The store revision that the ledger's key must have for the write to be applied.
    pub expected_revision: StoreRevision,
    /// The ledger to write.
    pub ledger: Ledger,
}

/// A write whose outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct UnansweredWrite {
    expected_revision: StoreRevision,
    /// The part of this VM that the write sets; the lowest one if several writes are unanswered.
    part: u16,
}

/// Tracks the capacity of its failure domain that one incarnation of a VM's daemon may use.
///
/// The limit never exceeds the VM's entry in the store. It is raised only after a response of the
/// store shows the higher entry, and lowered before the entry is lowered.
#[derive(Clone, Debug)]
pub struct CapacityState {
    vm: VmName,
    incarnation: Incarnation,
    /// The lower bound of the entry in the store, now and after any write in flight.
    guaranteed: u16,
    /// The part that this VM should have.
    target: u16,
    pending: Option<UnansweredWrite>,
    /// The latest revision of the ledger's key that was observed.
    last_seen: StoreRevision,
    status: EntryStatus,
}

/// Whether the VM's entry belongs to this incarnation of its daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntryStatus {
    /// The entry has not been observed to belong to this incarnation yet.
    NotJoined,
    /// The entry belongs to this incarnation.
    Joined,
    /// The entry belonged to this incarnation and now belongs to another one.
    Replaced,
}

impl CapacityState {
    /// Creates a state with a limit of zero.
    pub fn new(vm: VmName, incarnation: Incarnation) -> Self {
        Self {
            vm,
            incarnation,
            guaranteed: 0,
            target: 0,
            pending: None,
            last_seen: StoreRevision::ZERO,
            status: EntryStatus::NotJoined,
        }
    }

    /// Returns the name of the VM.
    pub fn vm(&self) -> &VmName {
        &self.vm
    }

    /// Returns the part that the VM may currently use, in thousandths of the failure domain's
    /// capacity.
    pub fn limit(&self) -> u16 {
        self.guaranteed.min(self.target)
    }

    /// Returns the part that the VM should have.
    pub fn target(&self) -> u16 {
        self.target
    }

    /// Returns whether a later incarnation of the VM's daemon has taken over the entry. This
    /// process must then stop.
    pub fn is_replaced(&self) -> bool {
        self.status == EntryStatus::Replaced
    }

    /// Processes a ledger that the store returned, with the revision at which its key was last
    /// modified.
    ///
    /// An unanswered write of this VM may still lower the entry that the response shows. Such a
    /// write requires an unchanged revision of the key, so it can no longer take effect once a
    /// later revision is observed. Until then, the limit is at most the part that it sets.
    ///
    /// # Errors
    ///
    /// Returns an error if the ledger is invalid. The state is unchanged then.
    pub fn observe(&mut self, ledger: &Ledger, at: StoreRevision) -> Result<(), LedgerError> {
        ledger.check()?;
        let part = ledger.part_of(&self.vm, self.incarnation);
        if at < self.last_seen {
            // A stale response may show a part that has been lowered since, so it can only lower
            // the limit.
            self.guaranteed = self.guaranteed.min(part);
            return Ok(());
        }
        self.last_seen = at;
        self.status = self.entry_status(ledger);
        self.pending = self
            .pending
            .filter(|pending| pending.expected_revision >= at);
        self.guaranteed = match self.pending {
            Some(pending) => part.min(pending.part),
            None => part,
        };
        Ok(())
    }

    /// Determines the next write of the ledger, or returns `None` if the ledger needs no change.
    /// If the write will lower the entry, the limit is lowered immediately.
    ///
    /// `used` is the capacity taken up by the VM's requests in progress and its grants to others,
    /// in thousandths. The entry is not lowered below it: requests in progress continue after the
    /// limit was lowered, and another VM must not get their capacity until they end.
    pub fn plan_write(
        &mut self,
        ledger: &Ledger,
        at: StoreRevision,
        used: u16,
        departures: &Departures,
    ) -> Option<PlannedWrite> {
        // Other VMs have removed or will remove the entry of a VM that is reported as gone. It
        // must not join again, or the entry would be added and removed repeatedly.
        // A replaced incarnation must not take the entry back: a process that resumes after a
        // pause would do so while the later incarnation still uses the capacity.
        if departures.gone.contains(&self.vm) || self.is_replaced() {
            self.target = 0;
            return None;
        }
        let mut next = ledger.clone();
        next.remove_vms(&departures.gone);
        if !self.owns(next.entry(&self.vm)) {
            next.add_or_take_over(&self.vm, self.incarnation);
        }
        self.target = next.target(&self.vm, &departures.leaving);
        next.set_part(&self.vm, self.target.max(used));
        let changed = next != *ledger;
        // An unanswered write at this revision may still take effect. Another write changes the
        // key's revision and thereby makes the unanswered one fail.
        let unresolved = self.pending.is_some();
        (changed || unresolved).then_some(PlannedWrite {
            expected_revision: at,
            ledger: next,
        })
    }

    /// Records that a write is about to be sent. From now on the limit is at most the part that it
    /// sets, since the store may apply it at any time, with or without a response.
    pub fn record_send(&mut self, write: &PlannedWrite) {
        let part = write.ledger.part_of(&self.vm, self.incarnation);
        let pending = self.pending;
        let pending =
            pending.filter(|pending| pending.expected_revision == write.expected_revision);
        let part = pending.map_or(part, |pending| part.min(pending.part));
        self.guaranteed = self.guaranteed.min(part);
        self.pending = Some(UnansweredWrite {
            expected_revision: write.expected_revision,
            part,
        });
    }

    fn entry_status(&self, ledger: &Ledger) -> EntryStatus {
        match ledger.entry(&self.vm) {
            Some(entry) if entry.incarnation == self.incarnation => EntryStatus::Joined,
            Some(_) if self.status != EntryStatus::NotJoined => EntryStatus::Replaced,
            _ => self.status,
        }
    }

    fn owns(&self, entry: Option<&Entry>) -> bool {
        entry.is_some_and(|entry| entry.incarnation == self.incarnation)
    }
}
