//! Leases shared by many records, which the store deletes when the lease expires.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

use heatherknot_types::prelude::*;

use crate::error::StoreError;
use crate::port::{LeaseId, Store};

/// The divisor of a lease's time to live that gives the margin for clock drift: 1 %.
const CLOCK_MARGIN_DIVISOR: u64 = 100;

/// A lease and the time until which it is guaranteed to be valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerm {
    /// The lease.
    pub id: LeaseId,
    /// The time on the local clock until which the lease is guaranteed to be valid. It is
    /// computed from a time before the request was sent, so the lease expires in the store later.
    pub valid_until: Millis,
}

/// Provides leases for records. Each lease is shared by the records written during a time window
/// and is never extended.
#[derive(Clone)]
pub struct SharedLeases {
    store: Store,
    clock: Clock,
    min_retention: Millis,
    sharing_window: Millis,
    current: Rc<Cell<Option<LeaseTerm>>>,
}

impl SharedLeases {
    /// Creates a provider of leases that keep a record for at least `min_retention` and at most
    /// about `sharing_window` longer.
    ///
    /// At most one lease is granted per `sharing_window`, and none while no records are written.
    pub fn new(store: Store, clock: Clock, min_retention: Millis, sharing_window: Millis) -> Self {
        Self {
            store,
            clock,
            min_retention,
            sharing_window,
            current: Rc::default(),
        }
    }

    /// Returns a lease that is valid for at least the minimum retention.
    ///
    /// # Errors
    ///
    /// Returns an error if a new lease is needed and the store does not grant one.
    pub async fn lease(&self) -> Result<LeaseTerm, StoreError> {
        let now = self.clock.now();
        if let Some(current) = self.current.get()
            && current.valid_until >= now + self.min_retention
        {
            return Ok(current);
        }
        let lease = (self.store.lease_grant)(self.requested_ttl()).await?;
        // The margin allows for clocks that run at slightly different speeds.
        let reliable_ttl = lease.ttl - Millis(lease.ttl.0 / CLOCK_MARGIN_DIVISOR);
        let term = LeaseTerm {
            id: lease.id,
            valid_until: now + reliable_ttl,
        };
        self.current.set(Some(term));
        Ok(term)
    }

    /// Returns the time to live to request, such that `min_retention` and `sharing_window` remain
    /// after the clock margin is subtracted.
    fn requested_ttl(&self) -> Millis {
        let wanted = self.min_retention + self.sharing_window;
        wanted + Millis(wanted.0.div_ceil(CLOCK_MARGIN_DIVISOR - 1))
    }

    /// Discards a lease that no longer exists in the store, so that a new one is requested next.
    pub fn invalidate(&self, id: LeaseId) {
        if self.current.get().is_some_and(|term| term.id == id) {
            self.current.set(None);
        }
    }
}

impl fmt::Debug for SharedLeases {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "SharedLeases({:?})", self.current.get())
    }
}
