//! Errors of requests to a backend server or peer.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

use crate::body::BodyError;
use crate::head::HeadError;

/// Whether any byte of a request's head was passed to the operating system for sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendProgress {
    /// No byte was passed, so the peer did not run the request.
    NotSent,
    /// Some bytes were passed, so the peer may have run the request.
    MaybeSent,
}

/// The step at which a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Obtaining a connection.
    Connect,
    /// Sending the head and body.
    Send,
    /// Waiting for the head of the response.
    Receive,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Step::Connect => "connecting",
            Step::Send => "sending",
            Step::Receive => "receiving",
        })
    }
}

/// Why [`Pool::send`](crate::Pool::send) returned no response.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SendError {
    /// Every connection that the pool may open is in use.
    #[snafu(display("{peer}: all {max} connections are in use"))]
    PoolFull {
        /// The backend server or peer.
        peer: SocketAddr,
        /// The maximum number of connections.
        max: usize,
    },
    /// The sender withheld the request when a connection was there.
    #[snafu(display("{peer}: the request was withheld before it was sent"))]
    Withheld {
        /// The backend server or peer.
        peer: SocketAddr,
    },
    /// No connection could be opened.
    #[snafu(display("{peer}: connecting failed: {source}"))]
    Connect {
        /// The backend server or peer.
        peer: SocketAddr,
        /// What the operating system reported; its kind is `TimedOut` after the connect timeout.
        source: io::Error,
    },
    /// The deadline passed.
    #[snafu(display("{peer}: the deadline passed while {step}"))]
    Expired {
        /// The backend server or peer.
        peer: SocketAddr,
        /// The step that was in progress.
        step: Step,
        /// Whether a byte of the head was passed on for sending.
        progress: SendProgress,
    },
    /// The connection is unresponsive: the peer sent no byte of a response within the silence
    /// limit, took no bytes, or did not acknowledge them.
    #[snafu(display("{peer}: the connection went silent while {step} (reused: {reused})"))]
    Silent {
        /// The backend server or peer.
        peer: SocketAddr,
        /// The step that was in progress.
        step: Step,
        /// Whether a byte of the head was passed on for sending.
        progress: SendProgress,
        /// Whether the connection had served a request before. Silence on a new connection
        /// points to the peer, on a reused one to the network path.
        reused: bool,
    },
    /// The connection failed.
    #[snafu(display("{peer}: the connection failed while {step} (reused: {reused}): {source}"))]
    Broken {
        /// The backend server or peer.
        peer: SocketAddr,
        /// The step that was in progress.
        step: Step,
        /// Whether a byte of the head was passed on for sending.
        progress: SendProgress,
        /// Whether the connection had served a request before.
        reused: bool,
        /// What the operating system reported.
        source: io::Error,
    },
    /// The response violates the protocol.
    #[snafu(display("{peer}: the response was refused: {source}"))]
    BadResponse {
        /// The backend server or peer.
        peer: SocketAddr,
        /// What was wrong with it.
        source: HeadError,
    },
    /// Reading the body of the request failed.
    #[snafu(display("{peer}: the body of the request broke: {source}"))]
    RequestBody {
        /// The backend server or peer.
        peer: SocketAddr,
        /// Whether a byte of the head was passed on for sending.
        progress: SendProgress,
        /// Why it failed.
        source: BodyError,
    },
}

impl SendError {
    /// Returns whether a byte of the request's head was passed on for sending.
    pub fn send_progress(&self) -> SendProgress {
        match self {
            SendError::PoolFull { .. } | SendError::Withheld { .. } | SendError::Connect { .. } => {
                SendProgress::NotSent
            }
            SendError::BadResponse { .. } => SendProgress::MaybeSent,
            SendError::Expired { progress, .. }
            | SendError::Silent { progress, .. }
            | SendError::Broken { progress, .. }
            | SendError::RequestBody { progress, .. } => *progress,
        }
    }

    /// Returns whether the connection was refused, which means that no process listens there.
    pub fn is_refused(&self) -> bool {
        match self {
            SendError::Connect { source, .. } => source.kind() == io::ErrorKind::ConnectionRefused,
            _ => false,
        }
    }

    /// Returns whether the request failed on a reused connection that was closed or silent. A
    /// new connection may succeed immediately.
    pub fn is_stale_connection(&self) -> bool {
        match self {
            SendError::Silent { reused, .. } | SendError::Broken { reused, .. } => *reused,
            _ => false,
        }
    }
}
