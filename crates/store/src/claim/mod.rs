//! Claims of callers' idempotency keys. They ensure that only one process of one daemon runs a
//! request.

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
use crate::port::Store;
use crate::shared_leases::SharedLeases;

pub use record::{ClaimKey, ClaimOwner, ClaimRequest, Nonce};

/// The minimum time for which a claim is kept. A request that is repeated later than this may run
/// again.
pub const CLAIM_RETENTION: Millis = Millis(24 * 60 * 60 * 1_000);
/// The time window in which claims share a lease.
const LEASE_SHARING_WINDOW: Millis = Millis(60 * 60 * 1_000);

/// The result of a claim: who may run the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The claimant, exclusively, if it starts the request in time.
    Won {
        /// The time on the local clock by which the request must have started. A claimant that
        /// was paused past it must not start the request, since the claim may have expired and
        /// another daemon may have claimed the key.
        start_by: Millis,
    },
    /// The owner of an earlier claim, which may be the claimant itself.
    Held(ClaimOwner),
}

/// The error of a claim without a result.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ClaimError {
    /// The queue of claims is full.
    #[snafu(display("the queue of claims is full: {waiting} are waiting"))]
    Busy {
        /// The number of waiting claims.
        waiting: usize,
    },
    /// The store returned no result. The claimant must not run the request, although the key may
    /// have been claimed in its name.
    #[snafu(display("claim: {source}"))]
    Store {
        /// The error of the last attempt.
        source: StoreError,
    },
    /// The task that processes claims was stopped.
    #[snafu(display("the task that processes claims was stopped"))]
    Stopped,
}

/// Configuration of the claims of one daemon.
#[derive(Clone, Debug)]
pub struct ClaimConfig {
    /// The maximum number of queued claims.
    pub max_queued: usize,
    /// The maximum number of claims in one transaction.
    pub max_batch: usize,
    /// The number of failed attempts after which a batch fails.
    pub max_attempts: u32,
    /// The delays between attempts.
    pub backoff: Backoff,
    /// The maximum delay before an attempt. If a longer one is required, the claims fail
    /// immediately.
    pub max_wait: Duration,
}

impl Default for ClaimConfig {
    fn default() -> Self {
        Self {
            max_queued: 512,
            // The service usually allows 128 preconditions and 128 operations.
            max_batch: 100,
            max_attempts: 3,
            backoff: Backoff::default(),
            max_wait: Duration::from_millis(250),
        }
    }
}

/// Claims keys for one process of a daemon.
///
/// Claims that are requested while a transaction is in flight share the next one, so that the
/// number of writes grows more slowly than the number of requests.
#[derive(Clone)]
pub struct Claims {
    inner: Rc<Inner>,
}

struct Inner {
    store: Store,
    leases: SharedLeases,
    cfg: ClaimConfig,
    queue: RefCell<VecDeque<QueuedClaim>>,
    task_running: Cell<bool>,
    nonce_rng: RefCell<fastrand::Rng>,
}

struct QueuedClaim {
    request: ClaimRequest,
    tx: oneshot::Sender<Result<ClaimResult, ClaimError>>,
}

impl ClaimError {
    /// Returns the time after which a claim may succeed, if the daemon's call budget was exhausted.
    pub fn retry_after(&self) -> Option<Millis> {
        match self {
            ClaimError::Store { source } => source.retry_after(),
            ClaimError::Busy { .. } | ClaimError::Stopped => None,
        }
    }
}

impl Claims {
    /// Creates the claims of one process of a daemon. `rng` must be seeded from the operating
    /// system, since the nonces of two daemons must differ.
    pub fn new(store: Store, clock: Clock, cfg: ClaimConfig, rng: fastrand::Rng) -> Self {
        let leases = SharedLeases::new(store.clone(), clock, CLAIM_RETENTION, LEASE_SHARING_WINDOW);
        Self {
            inner: Rc::new(Inner {
                store,
                leases,
                cfg,
                queue: RefCell::default(),
                task_running: Cell::new(false),
                nonce_rng: RefCell::new(rng),
            }),
        }
    }

    /// Claims a key, or returns the owner of an earlier claim.
    ///
    /// # Errors
    ///
    /// Returns an error if the result is unknown. The claimant must not run the request then.
    pub async fn claim(&self, key: ClaimKey, owner: ClaimOwner) -> Result<ClaimResult, ClaimError> {
        let nonce = Nonce(self.inner.nonce_rng.borrow_mut().u64(..));
        let request = ClaimRequest { key, owner, nonce };
        let (tx, rx) = oneshot::channel();
        {
            let mut queue = self.inner.queue.borrow_mut();
            let waiting = queue.len();
            if waiting >= self.inner.cfg.max_queued {
                return BusySnafu { waiting }.fail();
            }
            queue.push_back(QueuedClaim { request, tx });
        }
        if !self.inner.task_running.replace(true) {
            monoio::spawn(run(self.inner.clone()));
        }
        rx.await.unwrap_or(StoppedSnafu.fail())
    }
}

impl fmt::Debug for Claims {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Claims({} waiting)", self.inner.queue.borrow().len())
    }
}

async fn run(inner: Rc<Inner>) {
    while let Some(batch) = next_batch(&inner) {
        let requests: Vec<ClaimRequest> =
            batch.iter().map(|queued| queued.request.clone()).collect();
        let results = batch::claim_all(&inner.store, &inner.leases, &inner.cfg, &requests).await;
        for (queued, result) in batch.into_iter().zip(results) {
            // The receiver is dropped if the caller has gone. Its claim remains in the store, but
            // the request is not run.
            let _ = queued.tx.send(result);
        }
    }
}

/// Removes the oldest claims with distinct keys from the queue. Returns `None` and marks the task
/// as stopped if the queue is empty.
fn next_batch(inner: &Inner) -> Option<Vec<QueuedClaim>> {
    let mut queue = inner.queue.borrow_mut();
    let mut batch: Vec<QueuedClaim> = Vec::new();
    let mut deferred = VecDeque::new();
    while batch.len() < inner.cfg.max_batch {
        let Some(queued) = queue.pop_front() else {
            break;
        };
        // A transaction can write each key only once.
        match batch
            .iter()
            .any(|other| other.request.key == queued.request.key)
        {
            true => deferred.push_back(queued),
            false => batch.push(queued),
        }
    }
    deferred.append(&mut queue);
    *queue = deferred;
    inner.task_running.set(!batch.is_empty());
    (!batch.is_empty()).then_some(batch)
}
