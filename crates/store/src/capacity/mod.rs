//! How the VMs of a failure domain share its capacity: a ledger in the store that is changed
//! only by compare-and-swap. See `docs/capacity-ledger.md` for the ways that were weighed.

pub mod ledger;
pub mod state;

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use heatherknot_types::prelude::*;

use crate::commit::head::{from_json, to_json, unreadable};
use crate::error::{Step, StoreError};
use crate::port::{Compare, KeyValue, Op, Store, StoreRevision, Txn};
use crate::vm_list::{VmRecord, VmState};

pub use ledger::{Entry, Ledger, LedgerError, TOTAL_PARTS};
pub use state::{CapacityState, Departures, PlannedWrite};

/// How often one round starts over because another VM changed the ledger meanwhile.
const MAX_CONFLICTS: u32 = 6;

/// Gives the key of a failure domain's ledger.
pub fn key(domain: &DomainName) -> String {
    format!("hk/capacity/{domain}")
}

/// Picks the VMs of one failure domain that the platform reports leaving or gone.
pub fn departures(list: &[VmRecord], domain: &DomainName) -> Departures {
    let named = |state: VmState| -> Vec<VmName> {
        let found = list.iter();
        let found = found.filter(|vm| vm.domain == *domain && vm.state == state);
        found.map(|vm| vm.name.clone()).collect()
    };
    Departures {
        leaving: named(VmState::Leaving),
        gone: named(VmState::Gone),
    }
}

/// What a round came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReconcileOutcome {
    /// The ledger holds what this VM wants of it.
    Settled,
    /// Other VMs changed the ledger each time; the next round goes on.
    Contended,
}

/// Keeps one VM's entry in the ledger of its failure domain, round by round.
#[derive(Clone)]
pub struct CapacityReconciler {
    store: Store,
    key: Rc<str>,
    holder: Rc<RefCell<CapacityState>>,
    used: Rc<dyn Fn() -> u16>,
    seen: Rc<RefCell<ObservedLedger>>,
}

/// The newest ledger that a keeper saw.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObservedLedger {
    /// The ledger.
    pub ledger: Ledger,
    /// The store's revision that wrote it; it grows with each change of the ledger.
    pub revision: StoreRevision,
}

struct Read {
    ledger: Ledger,
    at: StoreRevision,
}

impl CapacityReconciler {
    /// Makes a keeper for a VM that has bound its address.
    ///
    /// `used` gives what the VM's requests in progress and its grants to others take up, in
    /// thousandths of the domain's capacity. It never exceeds the limit that held when they
    /// were admitted.
    pub fn new(
        store: Store,
        domain: &DomainName,
        holder: CapacityState,
        used: impl Fn() -> u16 + 'static,
    ) -> Self {
        Self {
            store,
            key: key(domain).into(),
            holder: Rc::new(RefCell::new(holder)),
            used: Rc::new(used),
            seen: Rc::default(),
        }
    }

    /// Gives the part that the VM may use now. Ask again for each request.
    pub fn limit(&self) -> u16 {
        self.holder.borrow().limit()
    }

    /// Gives the newest ledger that a round saw.
    pub fn newest_ledger(&self) -> ObservedLedger {
        self.seen.borrow().clone()
    }

    /// Says whether a later run of the VM's daemon has taken the entry over.
    pub fn is_replaced(&self) -> bool {
        self.holder.borrow().is_replaced()
    }

    /// Reads the ledger and brings this VM's entry, and those of VMs that are gone, to what
    /// they should be.
    ///
    /// While the store is down every round fails and the limit stays or falls.
    ///
    /// # Errors
    ///
    /// Returns an error where the store does not answer, or holds a ledger that breaks its
    /// rules. The limit is right all the same.
    pub async fn reconcile(&self, departures: &Departures) -> Result<ReconcileOutcome, StoreError> {
        let kv = self.store.get(&self.key).await?;
        let mut read = self.observe(Step::Range, kv.as_ref())?;
        for _ in 0..MAX_CONFLICTS {
            let used = (self.used)();
            let intent =
                self.holder
                    .borrow_mut()
                    .plan_write(&read.ledger, read.at, used, departures);
            let Some(intent) = intent else {
                return Ok(ReconcileOutcome::Settled);
            };
            let answer = self.write(&intent).await?;
            if answer.succeeded {
                read = self.observed(Step::Txn, intent.ledger, answer.revision)?;
            } else {
                read = self.observe(Step::Txn, answer.first_of(0))?;
            }
        }
        Ok(ReconcileOutcome::Contended)
    }

    async fn write(&self, intent: &PlannedWrite) -> Result<crate::port::TxnResponse, StoreError> {
        self.holder.borrow_mut().record_send(intent);
        let txn = Txn {
            compares: vec![Compare::unchanged(&*self.key, intent.compare)],
            success: vec![Op::put(&*self.key, to_json(&intent.ledger))],
            failure: vec![Op::get(&*self.key)],
        };
        self.store.txn(txn).await
    }

    fn observe(&self, step: Step, kv: Option<&KeyValue>) -> Result<Read, StoreError> {
        let Some(kv) = kv else {
            return self.observed(step, Ledger::default(), StoreRevision(0));
        };
        let ledger = from_json(&self.store, step, kv)?;
        self.observed(step, ledger, kv.mod_revision)
    }

    fn observed(&self, step: Step, ledger: Ledger, at: StoreRevision) -> Result<Read, StoreError> {
        let outcome = self.holder.borrow_mut().observe(&ledger, at);
        outcome.map_err(|fault| {
            let message = format!("{}: {fault}", self.key);
            unreadable(&self.store, step, message)
        })?;
        let mut seen = self.seen.borrow_mut();
        if at >= seen.revision {
            seen.ledger.clone_from(&ledger);
            seen.revision = at;
        }
        Ok(Read { ledger, at })
    }
}

impl fmt::Debug for CapacityReconciler {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Keeper({}, limit {})", self.key, self.limit())
    }
}
