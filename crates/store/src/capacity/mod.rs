//! Divides the capacity of a failure domain among its VMs, with a ledger in the store that is
//! modified only by compare-and-swap. `docs/capacity-ledger.md` compares the alternatives.

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

/// The number of writes that one reconciliation attempts while other VMs modify the ledger.
const MAX_CONFLICTS: u32 = 6;

/// Returns the key of a failure domain's ledger.
pub fn key(domain: &DomainName) -> String {
    format!("hk/capacity/{domain}")
}

/// Returns the VMs of a failure domain that the platform reports as leaving or gone.
pub fn departures(list: &[VmRecord], domain: &DomainName) -> Departures {
    let with_state = |state: VmState| -> Vec<VmName> {
        let found = list.iter();
        let found = found.filter(|vm| vm.domain == *domain && vm.state == state);
        found.map(|vm| vm.name.clone()).collect()
    };
    Departures {
        leaving: with_state(VmState::Leaving),
        gone: with_state(VmState::Gone),
    }
}

/// The outcome of a reconciliation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReconcileOutcome {
    /// The ledger needs no further change by this VM.
    Settled,
    /// Other VMs kept modifying the ledger. The next reconciliation continues.
    Contended,
}

/// Maintains the entry of one VM in the ledger of its failure domain.
#[derive(Clone)]
pub struct CapacityReconciler {
    store: Store,
    key: Rc<str>,
    state: Rc<RefCell<CapacityState>>,
    used: Rc<dyn Fn() -> u16>,
    newest: Rc<RefCell<ObservedLedger>>,
}

/// The newest ledger that a reconciler has observed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObservedLedger {
    /// The ledger.
    pub ledger: Ledger,
    /// The store revision at which the ledger was written. It grows with each change of the ledger.
    pub revision: StoreRevision,
}

struct LedgerRead {
    ledger: Ledger,
    at: StoreRevision,
}

impl CapacityReconciler {
    /// Creates a reconciler for a VM that has bound its address.
    ///
    /// `used` returns the capacity taken up by the VM's requests in progress and its grants to
    /// others, in thousandths of the failure domain's capacity. It never exceeds the limit that
    /// was in force when they were admitted.
    pub fn new(
        store: Store,
        domain: &DomainName,
        state: CapacityState,
        used: impl Fn() -> u16 + 'static,
    ) -> Self {
        Self {
            store,
            key: key(domain).into(),
            state: Rc::new(RefCell::new(state)),
            used: Rc::new(used),
            newest: Rc::default(),
        }
    }

    /// Returns the part that the VM may currently use. Callers must read it for each request.
    pub fn limit(&self) -> u16 {
        self.state.borrow().limit()
    }

    /// Returns the newest ledger observed.
    pub fn newest_ledger(&self) -> ObservedLedger {
        self.newest.borrow().clone()
    }

    /// Returns whether a later incarnation of the VM's daemon has taken over the entry.
    pub fn is_replaced(&self) -> bool {
        self.state.borrow().is_replaced()
    }

    /// Reads the ledger, updates this VM's entry towards its target and removes the entries of VMs
    /// that are gone.
    ///
    /// While the store is unreachable, every call fails and the limit stays the same or falls.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not respond or its ledger is invalid. The limit remains
    /// safe to use.
    pub async fn reconcile(&self, departures: &Departures) -> Result<ReconcileOutcome, StoreError> {
        let kv = self.store.get(&self.key).await?;
        let mut read = self.observe_kv(Step::Range, kv.as_ref())?;
        for _ in 0..MAX_CONFLICTS {
            let used = (self.used)();
            let planned =
                self.state
                    .borrow_mut()
                    .plan_write(&read.ledger, read.at, used, departures);
            let Some(planned) = planned else {
                return Ok(ReconcileOutcome::Settled);
            };
            let resp = self.write(&planned).await?;
            if resp.succeeded {
                read = self.observe_ledger(Step::Txn, planned.ledger, resp.revision)?;
            } else {
                read = self.observe_kv(Step::Txn, resp.first_kv(0))?;
            }
        }
        Ok(ReconcileOutcome::Contended)
    }

    async fn write(&self, planned: &PlannedWrite) -> Result<crate::port::TxnResponse, StoreError> {
        self.state.borrow_mut().record_send(planned);
        let txn = Txn {
            compares: vec![Compare::unchanged(&*self.key, planned.expected_revision)],
            success: vec![Op::put(&*self.key, to_json(&planned.ledger))],
            failure: vec![Op::get(&*self.key)],
        };
        self.store.txn(txn).await
    }

    fn observe_kv(&self, step: Step, kv: Option<&KeyValue>) -> Result<LedgerRead, StoreError> {
        let Some(kv) = kv else {
            return self.observe_ledger(step, Ledger::default(), StoreRevision::ZERO);
        };
        let ledger = from_json(&self.store, step, kv)?;
        self.observe_ledger(step, ledger, kv.mod_revision)
    }

    fn observe_ledger(
        &self,
        step: Step,
        ledger: Ledger,
        at: StoreRevision,
    ) -> Result<LedgerRead, StoreError> {
        let outcome = self.state.borrow_mut().observe(&ledger, at);
        outcome.map_err(|fault| {
            let message = format!("{}: {fault}", self.key);
            unreadable(&self.store, step, message)
        })?;
        let mut newest = self.newest.borrow_mut();
        if at >= newest.revision {
            newest.ledger.clone_from(&ledger);
            newest.revision = at;
        }
        Ok(LedgerRead { ledger, at })
    }
}

impl fmt::Debug for CapacityReconciler {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Keeper({}, limit {})", self.key, self.limit())
    }
}
