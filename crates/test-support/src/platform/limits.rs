//! Rate limits and call counters of the fake platform.

use std::time::Instant;

/// Rate limits, in calls per second. Each token bucket holds one second's worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rates {
    /// Transactions with a write, puts, and calls on leases.
    pub writes: u32,
    /// Reads. Each open watch uses one read per second.
    pub reads: u32,
}

impl Default for Rates {
    fn default() -> Self {
        Self {
            writes: 400,
            reads: 2_000,
        }
    }
}

/// Number of calls received, by kind, including rejected calls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Range reads.
    pub range: u64,
    /// Transactions.
    pub txn: u64,
    /// Puts and deletes outside a transaction.
    pub put: u64,
    /// Calls on leases.
    pub lease: u64,
    /// Watches started.
    pub watch: u64,
    /// Watches currently open.
    pub watching: u64,
    /// Reads of the VM list.
    pub vms: u64,
    /// Calls rejected by a rate limit.
    pub limited: u64,
}

impl Calls {
    /// Returns the total number of calls.
    pub fn total(&self) -> u64 {
        self.range + self.txn + self.put + self.lease + self.watch + self.vms
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    Read,
    Write,
}

#[derive(Debug)]
pub(super) struct Limits {
    rates: Rates,
    reads: f64,
    writes: f64,
    last_refill: Instant,
    pub calls: Calls,
}

impl Limits {
    pub fn new(rates: Rates) -> Self {
        Self {
            rates,
            reads: rates.reads.into(),
            writes: rates.writes.into(),
            last_refill: Instant::now(),
            calls: Calls::default(),
        }
    }

    /// Takes a token for one call and returns whether the call is admitted.
    pub fn admit(&mut self, kind: CallKind) -> bool {
        self.refill();
        let bucket = match kind {
            CallKind::Read => &mut self.reads,
            CallKind::Write => &mut self.writes,
        };
        let admitted = *bucket >= 1.0;
        if admitted {
            *bucket -= 1.0;
        } else {
            self.calls.limited += 1;
        }
        admitted
    }

    fn refill(&mut self) {
        let elapsed = self.last_refill.elapsed().as_secs_f64();
        self.last_refill = Instant::now();
        let watching = self.calls.watching as f64;
        let reads = f64::from(self.rates.reads);
        let writes = f64::from(self.rates.writes);
        self.reads = (self.reads + elapsed * (reads - watching)).clamp(0.0, reads);
        self.writes = (self.writes + elapsed * writes).min(writes);
    }
}
