//! A daemon's own limit of calls on the store, so that a fleet stays within the platform's.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use heatherknot_types::prelude::*;

use crate::backoff::Backoff;
use crate::error::{Cause, Effect, Step, StoreError};
use crate::port::{Op, Store, StoreFuture, Txn};

/// Failures in a row after which calls are held back.
const FAILURES_BEFORE_PAUSE: u32 = 3;
/// The part of the platform's rates that a fleet plans to use.
const PLANNED_PART: f64 = 0.8;
/// Seconds' worth of calls that may be made at once.
const BURST_SECONDS: f64 = 10.0;

/// The calls that one daemon may make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallLimits {
    /// Reads in a second, over a longer time.
    pub reads_per_second: f64,
    /// Writes in a second, over a longer time.
    pub writes_per_second: f64,
    /// Reads that may be made at once.
    pub read_burst: f64,
    /// Writes that may be made at once.
    pub write_burst: f64,
}

/// The calls that the platform answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlatformRates {
    /// Reads in a second.
    pub reads_per_second: f64,
    /// Writes in a second.
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
    /// Gives an equal share of the platform's rates, a fifth of which stays unused.
    pub fn share_of(rates: PlatformRates, daemons: u32) -> Self {
        let part = PLANNED_PART / f64::from(daemons.max(1));
        let reads = rates.reads_per_second * part;
        let writes = rates.writes_per_second * part;
        Self {
            reads_per_second: reads,
            writes_per_second: writes,
            read_burst: (reads * BURST_SECONDS).max(1.0),
            write_burst: (writes * BURST_SECONDS).max(1.0),
        }
    }
}

/// Tokens for calls of one kind, of which some come back with time.
#[derive(Debug)]
struct Bucket {
    tokens: f64,
    filled: Millis,
}

impl Bucket {
    /// Takes one token, or gives the time until there is one.
    fn take(&mut self, per_second: f64, burst: f64, now: Millis) -> Result<(), Millis> {
        let elapsed = now.since(self.filled).as_secs_f64();
        self.filled = now;
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
enum Kind {
    Read,
    Write,
}

/// Decides whether a call may be made now.
#[derive(Debug)]
struct Gate {
    reads: Bucket,
    writes: Bucket,
    backoff: Backoff,
    failures: u32,
    closed_until: Millis,
}

impl Gate {
    fn admit(&mut self, kind: Kind, limits: &CallLimits, now: Millis) -> Result<(), Millis> {
        if now < self.closed_until {
            return Err(self.closed_until.since(now));
        }
        match kind {
            Kind::Read => self
                .reads
                .take(limits.reads_per_second, limits.read_burst, now),
            Kind::Write => self
                .writes
                .take(limits.writes_per_second, limits.write_burst, now),
        }
    }

    /// Notes how a call ended. A platform that says "too many" is left alone at once, one
    /// that fails otherwise after a few failures in a row, so that a fleet that comes back
    /// to a slow platform does not keep it slow.
    fn note(&mut self, outcome: Result<(), &StoreError>, now: Millis) {
        let Err(err) = outcome else {
            self.failures = 0;
            return;
        };
        if !speaks_for_the_platform(err) {
            return;
        }
        self.failures += 1;
        if err.is_rate_limited() || self.failures >= FAILURES_BEFORE_PAUSE {
            let wait = self
                .backoff
                .delay(self.failures)
                .as_micros()
                .div_ceil(1_000);
            self.closed_until = now + Millis(wait as u64);
        }
    }
}

/// Says whether an error shows that the platform is overloaded or out of reach.
fn speaks_for_the_platform(err: &StoreError) -> bool {
    matches!(
        err.source,
        Cause::Connection { .. } | Cause::Timeout { .. } | Cause::RateLimited
    )
}

/// Wraps a store so that no more calls than `limits` gives are made through it, and fewer
/// while the platform fails.
///
/// `limits` is asked for each call, so that a daemon's share can follow the size of the fleet.
/// A call over the limit is refused at once with [`Cause::HeldBack`], which says when to come
/// back; it does not wait.
pub fn with_call_limits(
    store: Store,
    limits: impl Fn() -> CallLimits + 'static,
    clock: Clock,
    backoff: Backoff,
) -> Store {
    let (filled, first) = (clock.now(), limits());
    let gate = Gate {
        reads: Bucket {
            tokens: first.read_burst,
            filled,
        },
        writes: Bucket {
            tokens: first.write_burst,
            filled,
        },
        backoff,
        failures: 0,
        closed_until: Millis::default(),
    };
    let budget = Budget {
        peer: store.peer,
        limits: Rc::new(limits),
        gate: Rc::new(RefCell::new(gate)),
        clock,
    };
    Store {
        peer: store.peer,
        range: budget.wrap(store.range, |_| Kind::Read),
        txn: budget.wrap(store.txn, txn_kind),
        lease_grant: budget.wrap(store.lease_grant, |_| Kind::Write),
        lease_keepalive: budget.wrap(store.lease_keepalive, |_| Kind::Write),
        lease_revoke: budget.wrap(store.lease_revoke, |_| Kind::Write),
        watch: budget.wrap(store.watch, |_| Kind::Read),
    }
}

fn txn_kind(txn: &Txn) -> Kind {
    let mut ops = txn.success.iter().chain(&txn.failure);
    match ops.all(|op| matches!(op, Op::Range(_))) {
        true => Kind::Read,
        false => Kind::Write,
    }
}

#[derive(Clone)]
struct Budget {
    peer: SocketAddr,
    limits: Rc<dyn Fn() -> CallLimits>,
    gate: Rc<RefCell<Gate>>,
    clock: Clock,
}

impl Budget {
    fn wrap<A: 'static, T: 'static>(
        &self,
        call: Rc<dyn Fn(A) -> StoreFuture<T>>,
        kind: fn(&A) -> Kind,
    ) -> Rc<dyn Fn(A) -> StoreFuture<T>> {
        let budget = self.clone();
        Rc::new(move |req| {
            let admitted = budget.admit(kind(&req));
            let (budget, call) = (budget.clone(), call.clone());
            Box::pin(async move {
                admitted?;
                let outcome = call(req).await;
                let noted = outcome.as_ref().map(|_| ());
                budget.gate.borrow_mut().note(noted, budget.clock.now());
                outcome
            })
        })
    }

    fn admit(&self, kind: Kind) -> Result<(), StoreError> {
        let now = self.clock.now();
        let admitted = self.gate.borrow_mut().admit(kind, &(self.limits)(), now);
        admitted.map_err(|retry_after| StoreError {
            step: Step::Budget,
            peer: self.peer,
            effect: Effect::NotApplied,
            source: Cause::HeldBack { retry_after },
        })
    }
}

impl fmt::Debug for Budget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Budget({:?})", self.gate.borrow())
    }
}
