//! One VM's side of the capacity ledger: what it may use, whatever became of its writes.

use heatherknot_types::prelude::*;

use super::ledger::{Entry, Ledger, LedgerError};
use crate::port::StoreRevision;

/// What the platform's list says of other VMs of the failure domain, as VM names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Departures {
    /// The VMs that are going away and no longer take new requests. A VM that is told to
    /// leave is listed here only after callers have had time to turn to others.
    pub leaving: Vec<VmName>,
    /// The VMs that have been taken away for good.
    pub gone: Vec<VmName>,
}

/// A write of the ledger that is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedWrite {
    /// The revision that the ledger's key must have for the write to take effect.
    pub compare: StoreRevision,
    /// The ledger to write.
    pub ledger: Ledger,
}

/// A write whose outcome is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Pending {
    compare: StoreRevision,
    /// The own part that it sets; the least of them where several went unanswered.
    part: u16,
}

/// What one run of a VM's daemon may use of its failure domain's capacity.
///
/// The limit is never above the VM's entry in the store. It rises only by what an answer of
/// the store shows, and it falls before the entry does.
#[derive(Clone, Debug)]
pub struct CapacityState {
    vm: VmName,
    incarnation: Incarnation,
    /// The least that the entry in the store can be, now and after any write on its way.
    certain: u16,
    /// The part that this VM should come to hold.
    target: u16,
    pending: Option<Pending>,
    /// The latest revision of the key that was seen.
    seen: StoreRevision,
    standing: Standing,
}

/// Whether the VM's entry names this run of its daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// It has not been seen to yet.
    Outside,
    /// It has been seen to.
    Joined,
    /// It did and now names another run.
    Replaced,
}

impl CapacityState {
    /// Makes a holder that may use nothing yet.
    pub fn new(vm: VmName, incarnation: Incarnation) -> Self {
        Self {
            vm,
            incarnation,
            certain: 0,
            target: 0,
            pending: None,
            seen: StoreRevision(0),
            standing: Standing::Outside,
        }
    }

    /// Gives the VM.
    pub fn vm(&self) -> &VmName {
        &self.vm
    }

    /// Gives the part that the VM may use now, in thousandths of the domain's capacity.
    pub fn limit(&self) -> u16 {
        self.certain.min(self.target)
    }

    /// Gives the part that the VM should come to hold.
    pub fn target(&self) -> u16 {
        self.target
    }

    /// Says whether a later run of the VM's daemon has taken the entry. This run then has
    /// nothing left to do but to stop.
    pub fn is_replaced(&self) -> bool {
        self.standing == Standing::Replaced
    }

    /// Takes in the ledger as the store's answer gave it, at the revision of its key.
    ///
    /// An answer may show an entry that a write of this VM's own, which was sent and never
    /// answered, is still to lower. Such a write compares the key's revision, so it is out
    /// of the way once the key is seen at a later one; until then its part counts.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with a ledger that breaks its rules, and changes nothing.
    pub fn observe(&mut self, ledger: &Ledger, at: StoreRevision) -> Result<(), LedgerError> {
        ledger.check()?;
        let part = ledger.part_of(&self.vm, self.incarnation);
        if at < self.seen {
            // A stale answer may show a part that has been lowered since; only a lower part
            // than the present one can be believed.
            self.certain = self.certain.min(part);
            return Ok(());
        }
        self.seen = at;
        self.standing = self.standing_in(ledger);
        self.pending = self.pending.filter(|pending| pending.compare >= at);
        self.certain = match self.pending {
            Some(pending) => part.min(pending.part),
            None => part,
        };
        Ok(())
    }

    /// Decides on the next change of the ledger, and lowers the limit at once where the
    /// change will lower the entry. `None` where the ledger is as it should be.
    ///
    /// `used` is what the VM's requests in progress and its grants to others take up, in
    /// thousandths. The entry is lowered no further than that: requests in flight go on
    /// after the limit fell, and until they end another VM must not get their part.
    pub fn plan_write(
        &mut self,
        ledger: &Ledger,
        at: StoreRevision,
        used: u16,
        departures: &Departures,
    ) -> Option<PlannedWrite> {
        // A VM that is reported gone has lost its entry to the others, or is about to. It
        // must not join again, or each round would add the entry and remove it.
        // A run that was replaced must not take the entry back: a paused process that wakes
        // would do so while the later run still uses the part.
        if departures.gone.contains(&self.vm) || self.is_replaced() {
            self.target = 0;
            return None;
        }
        let mut next = ledger.clone();
        next.remove_vms(&departures.gone);
        if !self.is_own(next.entry(&self.vm)) {
            next.join(&self.vm, self.incarnation);
        }
        self.target = next.target(&self.vm, &departures.leaving);
        next.set_part(&self.vm, self.target.max(used));
        let wrong_entries = next != *ledger;
        // An unanswered write at this revision may still take effect. Writing the ledger
        // again moves the key's revision, which puts the other one out of the way.
        let unresolved = self.pending.is_some();
        (wrong_entries || unresolved).then_some(PlannedWrite {
            compare: at,
            ledger: next,
        })
    }

    /// Notes that a write is about to be sent. Its part counts from now on, since the store
    /// may apply it at any moment, before an answer or without one.
    pub fn record_send(&mut self, intent: &PlannedWrite) {
        let part = intent.ledger.part_of(&self.vm, self.incarnation);
        let same = self.pending;
        let same = same.filter(|pending| pending.compare == intent.compare);
        let part = same.map_or(part, |pending| part.min(pending.part));
        self.certain = self.certain.min(part);
        self.pending = Some(Pending {
            compare: intent.compare,
            part,
        });
    }

    fn standing_in(&self, ledger: &Ledger) -> Standing {
        match ledger.entry(&self.vm) {
            Some(entry) if entry.incarnation == self.incarnation => Standing::Joined,
            Some(_) if self.standing != Standing::Outside => Standing::Replaced,
            _ => self.standing,
        }
    }

    fn is_own(&self, entry: Option<&Entry>) -> bool {
        entry.is_some_and(|entry| entry.incarnation == self.incarnation)
    }
}
