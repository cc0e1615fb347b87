//! The faults that a test can inject.

use std::time::Duration;

use bytes::Bytes;

/// How the platform fails during an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Down {
    /// A connection is closed when it delivers a request.
    Closes,
    /// Requests are read but never answered.
    Hangs,
}

/// The active faults. A counted fault occurs that many times, then stops.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// The current outage, if any.
    pub down: Option<Down>,
    /// Delay before every answer. The call takes effect before the delay.
    pub delay: Duration,
    /// The next this many writes are applied, but their connections are closed without an answer.
    pub lose_answers: u32,
    /// The connections of the next this many reads are closed without an answer.
    pub close_reads: u32,
    /// The connections of the next this many writes are closed without an answer. The writes
    /// are applied only by
    /// [`apply_held_writes`](super::PlatformHandle::apply_held_writes).
    pub hold_writes: u32,
    /// Before each of the next this many transactions that may write, another client rewrites
    /// the compared keys.
    pub conflicts: u32,
    /// Writes by another client, applied just before the next transaction that may write.
    pub concurrent_writes: Vec<(String, Bytes)>,
    /// The next this many calls are rejected as rate limited.
    pub rate_limited: u32,
    /// Watches stay open but deliver nothing.
    pub watch_stalled: bool,
    /// Watches omit the next this many changes.
    pub skip_events: u32,
    /// How far the VM list lags behind the current state.
    pub vm_list_lag: Duration,
    /// The VM list repeats its last answer and ignores updates.
    pub vm_list_frozen: bool,
}
