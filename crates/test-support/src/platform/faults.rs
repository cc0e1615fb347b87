//! The faults that a test can switch on.

use std::time::Duration;

use bytes::Bytes;

/// How the platform is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Down {
    /// Connections are closed as soon as they bring a request.
    Closes,
    /// Requests are read and never answered.
    Hangs,
}

/// The faults in force. A count strikes that many times and then no more.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// The platform is down.
    pub down: Option<Down>,
    /// Every answer takes this long; the effect comes before the wait.
    pub delay: Duration,
    /// This many of the next writes are applied and their connections closed unanswered.
    pub lose_answers: u32,
    /// This many of the next reads are closed unanswered.
    pub close_reads: u32,
    /// This many of the next writes are closed unanswered and applied only by
    /// [`apply_held_writes`](super::PlatformHandle::apply_held_writes).
    pub hold_writes: u32,
    /// Before this many of the next transactions that may write, another client rewrites the
    /// keys compared.
    pub conflicts: u32,
    /// Writes of another client that take place just before the next transaction that may
    /// write.
    pub concurrent_writes: Vec<(String, Bytes)>,
    /// This many of the next calls are refused as too many.
    pub rate_limited: u32,
    /// Watches stay open and bring nothing.
    pub watch_stalled: bool,
    /// Watches leave out this many of the next changes.
    pub skip_events: u32,
    /// The VM list shows the state of this long ago.
    pub vm_lag: Duration,
    /// The VM list shows what it last showed, whatever is set meanwhile.
    pub vm_list_frozen: bool,
}
