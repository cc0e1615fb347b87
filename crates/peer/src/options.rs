//! Limits and timeouts of the connections between daemons.

use heatherknot_types::prelude::*;

/// Limits and timeouts of the connections between daemons.
#[derive(Clone, Debug)]
pub struct PeerOptions {
    /// Largest message that is sent or accepted, in bytes.
    pub max_message: usize,
    /// Timeout of opening a TCP connection.
    pub connect_timeout: Millis,
    /// Timeout of the handshake.
    pub handshake_timeout: Millis,
    /// Time without received data after which a connection is probed: when the next call is
    /// sent, and repeatedly while calls wait for answers.
    pub heartbeat_period: Millis,
    /// Time without any response to a probe after which a connection is replaced.
    pub heartbeat_timeout: Millis,
    /// Time after which an outgoing connection without calls is closed.
    pub idle_timeout: Millis,
    /// Time after which an incoming connection without messages is closed.
    pub incoming_idle_timeout: Millis,
    /// Maximum number of calls to one peer that are queued or wait for their answers.
    pub max_outstanding_calls: usize,
    /// Maximum number of calls of one incoming connection that run concurrently.
    pub max_running_calls: usize,
    /// Maximum number of incoming connections.
    pub max_incoming_connections: usize,
    /// Maximum number of connections on which an idempotent call is attempted.
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

/// Options of a call.
#[derive(Clone, Debug)]
pub struct CallOptions {
    /// Timeout of the whole call.
    pub timeout: Millis,
    /// Whether the call may be sent again on another connection although the peer may already
    /// have run it.
    pub idempotent: bool,
    /// Whether the method answers immediately, so that the call itself probes an idle connection
    /// and no separate heartbeat is sent.
    pub quick: bool,
    /// The only incarnation that may run the call; any, if not set.
    pub incarnation: Option<Incarnation>,
}

impl CallOptions {
    /// Returns the options of a call that runs at most once.
    pub fn once(timeout: Millis) -> Self {
        Self {
            timeout,
            idempotent: false,
            quick: false,
            incarnation: None,
        }
    }

    /// Returns the options of a call that may run more than once.
    pub fn idempotent(timeout: Millis) -> Self {
        Self {
            idempotent: true,
            ..Self::once(timeout)
        }
    }

    /// Returns the options of a call that may run more than once and is answered immediately.
    pub fn quick(timeout: Millis) -> Self {
        Self {
            quick: true,
            ..Self::idempotent(timeout)
        }
    }
}
