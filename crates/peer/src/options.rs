//! Limits and periods of the connections between daemons.

use heatherknot_types::prelude::*;

/// Limits and periods of the connections between daemons.
#[derive(Clone, Debug)]
pub struct PeerOptions {
    /// Largest message either way, in bytes.
    pub max_message: usize,
    /// Time allowed to open a TCP connection.
    pub connect_timeout: Millis,
    /// Time allowed for a handshake.
    pub handshake_timeout: Millis,
    /// A connection that carried nothing for this long is tested before it is relied on, and
    /// at this period while calls wait for answers.
    pub heartbeat_period: Millis,
    /// A connection whose test got nothing back for this long is replaced.
    pub heartbeat_timeout: Millis,
    /// An outgoing connection without calls is closed after this.
    pub idle_timeout: Millis,
    /// An incoming connection without messages is closed after this.
    pub incoming_idle_timeout: Millis,
    /// Calls that may wait for one peer.
    pub max_outstanding_calls: usize,
    /// Calls of one incoming connection that may run at once.
    pub max_running_calls: usize,
    /// Incoming connections at once.
    pub max_incoming_connections: usize,
    /// Connections on which an idempotent call is tried before it fails.
    pub max_attempts: u8,
}

impl Default for PeerOptions {
    fn default() -> Self {
        Self {
            max_message: 256 * 1024,
            connect_timeout: Millis(1_000),
            handshake_timeout: Millis(2_000),
            heartbeat_period: Millis(1_000),
            heartbeat_timeout: Millis(800),
            idle_timeout: Millis(90_000),
            incoming_idle_timeout: Millis(180_000),
            max_outstanding_calls: 512,
            max_running_calls: 128,
            max_incoming_connections: 512,
            max_attempts: 2,
        }
    }
}

/// How one call is made.
#[derive(Clone, Debug)]
pub struct CallOptions {
    /// Time allowed for the whole call.
    pub timeout: Millis,
    /// Whether the call may be sent again on another connection although the peer may have
    /// run it already.
    pub idempotent: bool,
    /// Whether the method answers at once, so that the call itself tests a connection that
    /// carried nothing for a while.
    pub quick: bool,
    /// The only incarnation that may run the call, where it matters.
    pub incarnation: Option<Incarnation>,
}

impl CallOptions {
    /// A call that runs at most once.
    pub fn once(timeout: Millis) -> Self {
        Self {
            timeout,
            idempotent: false,
            quick: false,
            incarnation: None,
        }
    }

    /// A call that may run more than once.
    pub fn idempotent(timeout: Millis) -> Self {
        Self {
            idempotent: true,
            ..Self::once(timeout)
        }
    }

    /// A call that may run more than once, of a method that answers at once.
    pub fn quick(timeout: Millis) -> Self {
        Self {
            quick: true,
            ..Self::idempotent(timeout)
        }
    }
}
