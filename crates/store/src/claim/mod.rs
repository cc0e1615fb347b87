//! Claims of callers' idempotency keys, so that one run of one daemon runs the request.

mod batch;
mod record;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use heatherknot_types::prelude::*;
use local_sync::oneshot;
use snafu::Snafu;

use crate::backoff::Backoff;
use crate::error::StoreError;
use crate::lease_book::LeaseBook;
use crate::port::Store;

pub use record::{ClaimKey, ClaimOwner, ClaimRecord, Nonce};

/// How long a claim is kept at least: a caller that repeats its request later than this may
/// have it run again.
pub const KEEP: Millis = Millis(24 * 60 * 60 * 1_000);
/// How long claims share a lease.
const SHARE: Millis = Millis(60 * 60 * 1_000);

/// Who may run the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The asker, and nobody else ever, if it starts the run in time.
    Won {
        /// The time on the own clock by which the run must have started. A holder that was
        /// paused past it must not start: the claim may have ended and be another's.
        start_by: Millis,
    },
    /// The holder of an earlier claim, which may be the asker.
    Held(ClaimOwner),
}

/// Why a claim has no outcome.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ClaimError {
    /// More claims wait than the queue holds.
    #[snafu(display("{waiting} claims wait already"))]
    Busy {
        /// The number of waiting claims.
        waiting: usize,
    },
    /// The store gave no outcome. The asker must not run the request; the key may be claimed
    /// in its name all the same.
    #[snafu(display("claim: {source}"))]
    Store {
        /// The last failure.
        source: StoreError,
    },
    /// The task that makes claims was stopped.
    #[snafu(display("claims were stopped"))]
    Stopped,
}

/// Limits of the claims of one daemon.
#[derive(Clone, Debug)]
pub struct ClaimConfig {
    /// Claims that may wait.
    pub max_waiting: usize,
    /// Claims made by one transaction.
    pub max_batch: usize,
    /// Calls on the store for one batch, where it fails.
    pub tries: u32,
    /// The waits between them.
    pub backoff: Backoff,
    /// The longest single wait; where a longer one is due the claims fail at once.
    pub max_wait: Duration,
}

impl Default for ClaimConfig {
    fn default() -> Self {
        Self {
            max_waiting: 512,
            // The service's usual limit is 128 conditions and 128 steps.
            max_batch: 100,
            tries: 3,
            backoff: Backoff::default(),
            max_wait: Duration::from_millis(250),
        }
    }
}

/// Makes claims for one run of a daemon.
///
/// Claims that are asked for while a transaction is on its way share the next one, so the
/// number of writes grows more slowly than the number of requests.
#[derive(Clone)]
pub struct Claims {
    inner: Rc<Inner>,
}

struct Inner {
    store: Store,
    leases: LeaseBook,
    cfg: ClaimConfig,
    waiting: RefCell<VecDeque<Waiting>>,
    running: Cell<bool>,
    nonces: RefCell<fastrand::Rng>,
}

struct Waiting {
    record: ClaimRecord,
    tx: oneshot::Sender<Result<ClaimResult, ClaimError>>,
}

impl ClaimError {
    /// Gives the time after which a claim may succeed, where the daemon's own limit of calls
    /// held this one back.
    pub fn retry_after(&self) -> Option<Millis> {
        match self {
            ClaimError::Store { source } => source.retry_after(),
            ClaimError::Busy { .. } | ClaimError::Stopped => None,
        }
    }
}

impl Claims {
    /// Makes the claims of one run of a daemon. `rng` must be seeded from the operating
    /// system, since nonces of two daemons must differ.
    pub fn new(store: Store, clock: Clock, cfg: ClaimConfig, rng: fastrand::Rng) -> Self {
        let leases = LeaseBook::new(store.clone(), clock, KEEP, SHARE);
        Self {
            inner: Rc::new(Inner {
                store,
                leases,
                cfg,
                waiting: RefCell::default(),
                running: Cell::new(false),
                nonces: RefCell::new(rng),
            }),
        }
    }

    /// Claims a key, or tells who holds it.
    ///
    /// # Errors
    ///
    /// Returns an error where nothing was found out. The request must then not be run here.
    pub async fn claim(&self, key: ClaimKey, owner: ClaimOwner) -> Result<ClaimResult, ClaimError> {
        let nonce = Nonce(self.inner.nonces.borrow_mut().u64(..));
        let record = ClaimRecord { key, owner, nonce };
        let (tx, rx) = oneshot::channel();
        {
            let mut queue = self.inner.waiting.borrow_mut();
            let waiting = queue.len();
            if waiting >= self.inner.cfg.max_waiting {
                return BusySnafu { waiting }.fail();
            }
            queue.push_back(Waiting { record, tx });
        }
        if !self.inner.running.replace(true) {
            monoio::spawn(run(self.inner.clone()));
        }
        rx.await.unwrap_or(StoppedSnafu.fail())
    }
}

impl fmt::Debug for Claims {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Claims({} waiting)", self.inner.waiting.borrow().len())
    }
}

async fn run(inner: Rc<Inner>) {
    while let Some(batch) = next_batch(&inner) {
        let records: Vec<ClaimRecord> = batch.iter().map(|one| one.record.clone()).collect();
        let outcomes = batch::claim_all(&inner.store, &inner.leases, &inner.cfg, &records).await;
        for (one, outcome) in batch.into_iter().zip(outcomes) {
            // A caller that went away hears nothing; its claim stands and is not run.
            let _ = one.tx.send(outcome);
        }
    }
}

/// Takes the oldest claims of distinct keys, or notes that the task has ended.
fn next_batch(inner: &Inner) -> Option<Vec<Waiting>> {
    let mut queue = inner.waiting.borrow_mut();
    let mut batch: Vec<Waiting> = Vec::new();
    let mut later = VecDeque::new();
    while batch.len() < inner.cfg.max_batch {
        let Some(one) = queue.pop_front() else {
            break;
        };
        // A transaction may write a key once only.
        match batch.iter().any(|other| other.record.key == one.record.key) {
            true => later.push_back(one),
            false => batch.push(one),
        }
    }
    later.append(&mut queue);
    *queue = later;
    inner.running.set(!batch.is_empty());
    (!batch.is_empty()).then_some(batch)
}
