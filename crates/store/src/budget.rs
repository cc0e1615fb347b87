//! A client-side rate limit for calls to the store. It keeps the calls of all daemons together
//! within the platform's rate limits.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use heatherknot_types::prelude::*;

use crate::backoff::Backoff;
use crate::error::{Cause, Effect, Step, StoreError};
use crate::port::{Op, Store, StoreFuture, Txn};

/// The number of consecutive failures after which calls are paused.
const FAILURES_BEFORE_PAUSE: u32 = 3;
/// The fraction of the platform's rates that all daemons together may use.
const PLANNED_FRACTION: f64 = 0.8;
/// The burst size, as the number of seconds that it takes to refill.
const BURST_SECONDS: f64 = 10.0;

/// The call limits of one daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallLimits {
    /// The sustained rate of reads per second.
    pub reads_per_second: f64,
    /// The sustained rate of writes per second.
    pub writes_per_second: f64,
    /// The maximum number of reads in a burst.
    pub read_burst: f64,
    /// The maximum number of writes in a burst.
    pub write_burst: f64,
}

/// The rate limits of the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlatformRates {
    /// The number of reads per second.
    pub reads_per_second: f64,
    /// The number of writes per second.
    pub writes_per_second: f64,
}

impl Default for PlatformRates {
    fn default() -> Self {
        Self {
            reads_per_second: 2_000.0,
            writes_per_second: 300.0,
        }
    }
}

impl CallLimits {
    /// Returns the limits of one of `daemons` equal shares of the platform's rates. A fifth of
    /// the rates stays unused.
    pub fn share_of(rates: PlatformRates, daemons: u32) -> Self {
        let fraction = PLANNED_FRACTION / f64::from(daemons.max(1));
        let reads = rates.reads_per_second * fraction;
        let writes = rates.writes_per_second * fraction;
        Self {
            reads_per_second: reads,
            writes_per_second: writes,
            read_burst: (reads * BURST_SECONDS).max(1.0),
            write_burst: (writes * BURST_SECONDS).max(1.0),
        }
    }
}

/// A token bucket for calls of one kind.
#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// Takes one token, or returns the time until one is available.
    fn take(&mut self, per_second: f64, burst: f64, now: Millis) -> Result<(), Millis> {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * per_second).min(burst);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.tokens) / per_second;
        Err(Millis((wait * 1000.0).ceil() as u64))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallKind {
    Read,
    Write,
}

/// Admits calls within the limits and pauses all calls while the platform fails.
#[derive(Debug)]
struct CallLimiter {
    reads: TokenBucket,
    writes: TokenBucket,
    backoff: Backoff,
    failures: u32,
    paused_until: Millis,
}

impl CallLimiter {
    fn admit(&mut self, kind: CallKind, limits: &CallLimits, now: Millis) -> Result<(), Millis> {
        if now < self.paused_until {
            return Err(self.paused_until.since(now));
        }
        match kind {
            CallKind::Read => self
                .reads
                .take(limits.reads_per_second, limits.read_burst, now),
            CallKind::Write => self
                .writes
                .take(limits.writes_per_second, limits.write_burst, now),
        }
    }

    /// Records the outcome of a call. Calls are paused at once when the platform's rate limit was
    /// exceeded, and otherwise after [`FAILURES_BEFORE_PAUSE`] consecutive failures, so that the
    /// retries of many daemons do not keep a recovering platform overloaded.
    fn record_outcome(&mut self, outcome: Result<(), &StoreError>, now: Millis) {
        let Err(err) = outcome else {
            self.failures = 0;
            return;
        };
        if !indicates_platform_failure(err) {
            return;
        }
        self.failures += 1;
        if err.is_rate_limited() || self.failures >= FAILURES_BEFORE_PAUSE {
            let wait = self
                .backoff
                .delay(self.failures)
                .as_micros()
                .div_ceil(1_000);
            self.paused_until = now + Millis(wait as u64);
        }
    }
}

/// Returns whether an error shows that the platform is overloaded or unreachable.
fn indicates_platform_failure(err: &StoreError) -> bool {
    matches!(
        err.source,
        Cause::Connection { .. } | Cause::Timeout { .. } | Cause::RateLimited
    )
}

/// Wraps a store so that its calls stay within `limits`, and pauses them while the platform
/// fails.
///
/// `limits` is called for each call, so that the limits can follow the number of daemons. A call
/// above the limits does not wait but fails immediately with [`Cause::BudgetExhausted`], which
/// contains the time after which to retry.
pub fn with_call_limits(
    store: Store,
    limits: impl Fn() -> CallLimits + 'static,
    clock: Clock,
    backoff: Backoff,
) -> Store {
    let (refilled_at, first) = (clock.now(), limits());
    let limiter = CallLimiter {
        reads: TokenBucket {
            tokens: first.read_burst,
            refilled_at,
        },
        writes: TokenBucket {
            tokens: first.write_burst,
            refilled_at,
        },
        backoff,
        failures: 0,
        paused_until: Millis::default(),
    };
    let budget = Budget {
        peer: store.peer,
        limits: Rc::new(limits),
        limiter: Rc::new(RefCell::new(limiter)),
        clock,
    };
    Store {
        peer: store.peer,
        range: budget.wrap(store.range, |_| CallKind::Read),
        txn: budget.wrap(store.txn, txn_kind),
        lease_grant: budget.wrap(store.lease_grant, |_| CallKind::Write),
        lease_keepalive: budget.wrap(store.lease_keepalive, |_| CallKind::Write),
        lease_revoke: budget.wrap(store.lease_revoke, |_| CallKind::Write),
        watch: budget.wrap(store.watch, |_| CallKind::Read),
    }
}

fn txn_kind(txn: &Txn) -> CallKind {
    let mut ops = txn.success.iter().chain(&txn.failure);
    match ops.all(|op| matches!(op, Op::Range(_))) {
        true => CallKind::Read,
        false => CallKind::Write,
    }
}

#[derive(Clone)]
struct Budget {
    peer: SocketAddr,
    limits: Rc<dyn Fn() -> CallLimits>,
    limiter: Rc<RefCell<CallLimiter>>,
    clock: Clock,
}

impl Budget {
    fn wrap<A: 'static, T: 'static>(
        &self,
        call: Rc<dyn Fn(A) -> StoreFuture<T>>,
        kind: fn(&A) -> CallKind,
    ) -> Rc<dyn Fn(A) -> StoreFuture<T>> {
        let budget = self.clone();
        Rc::new(move |req| {
            let admitted = budget.admit(kind(&req));
            let (budget, call) = (budget.clone(), call.clone());
            Box::pin(async move {
                admitted?;
                let outcome = call(req).await;
                let result = outcome.as_ref().map(|_| ());
                budget
                    .limiter
                    .borrow_mut()
                    .record_outcome(result, budget.clock.now());
                outcome
            })
        })
    }

    fn admit(&self, kind: CallKind) -> Result<(), StoreError> {
        let now = self.clock.now();
        let admitted = self.limiter.borrow_mut().admit(kind, &(self.limits)(), now);
        admitted.map_err(|retry_after| StoreError {
            step: Step::Budget,
            peer: self.peer,
            effect: Effect::NotApplied,
            source: Cause::BudgetExhausted { retry_after },
        })
    }
}

impl fmt::Debug for Budget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Budget({:?})", self.limiter.borrow())
    }
}
