//! Why a request to a backend server or peer got no response.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

use crate::body::BodyError;
use crate::head::HeadError;

/// Whether a byte of a request's head was handed to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendProgress {
    /// No byte was, so the peer did not run the request.
    NotSent,
    /// Some bytes were, so the peer may have run the request.
    MaybeSent,
}

/// The step at which a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Finding a connection.
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

/// Why [`Pool::send`](crate::Pool::send) gave no response.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SendError {
    /// Every connection that the pool may open is in use.
    #[snafu(display("{peer}: all {max} connections are in use"))]
    PoolFull {
        /// The backend server or peer.
        peer: SocketAddr,
        /// The most connections.
        max: usize,
    },
    /// No connection could be opened.
    #[snafu(display("{peer}: connecting failed: {source}"))]
    Connect {
        /// The backend server or peer.
        peer: SocketAddr,
        /// What the system reported; its kind is `TimedOut` after the connect timeout.
        source: io::Error,
    },
    /// The deadline passed.
    #[snafu(display("{peer}: the deadline passed while {step}"))]
    Expired {
        /// The backend server or peer.
        peer: SocketAddr,
        /// What was being done.
        step: Step,
        /// Whether a byte of the head was handed to a connection.
        progress: SendProgress,
    },
    /// The connection went silent: it took the request but gave no byte within the silence
    /// limit, or its bytes were not acknowledged.
    #[snafu(display("{peer}: the connection went silent while {step} (reused: {reused})"))]
    Silent {
        /// The backend server or peer.
        peer: SocketAddr,
        /// What was being done.
        step: Step,
        /// Whether a byte of the head was handed to a connection.
        progress: SendProgress,
        /// Whether the connection had served a request before. A new one that is silent
        /// points at the peer; a reused one at the path between.
        reused: bool,
    },
    /// The connection failed.
    #[snafu(display("{peer}: the connection failed while {step} (reused: {reused}): {source}"))]
    Broken {
        /// The backend server or peer.
        peer: SocketAddr,
        /// What was being done.
        step: Step,
        /// Whether a byte of the head was handed to a connection.
        progress: SendProgress,
        /// Whether the connection had served a request before.
        reused: bool,
        /// What the system reported.
        source: io::Error,
    },
    /// The response breaks the protocol.
    #[snafu(display("{peer}: the response was refused: {source}"))]
    BadResponse {
        /// The backend server or peer.
        peer: SocketAddr,
        /// What was wrong with it.
        source: HeadError,
    },
    /// The body of the request broke at its source.
    #[snafu(display("{peer}: the body of the request broke: {source}"))]
    RequestBody {
        /// The backend server or peer.
        peer: SocketAddr,
        /// Whether a byte of the head was handed to a connection.
        progress: SendProgress,
        /// How it broke.
        source: BodyError,
    },
}

impl SendError {
    /// Says whether a byte of the request's head was handed to a connection.
    pub fn send_progress(&self) -> SendProgress {
        match self {
            SendError::PoolFull { .. } | SendError::Connect { .. } => SendProgress::NotSent,
            SendError::BadResponse { .. } => SendProgress::MaybeSent,
            SendError::Expired { progress, .. }
            | SendError::Silent { progress, .. }
            | SendError::Broken { progress, .. }
            | SendError::RequestBody { progress, .. } => *progress,
        }
    }

    /// Says whether the peer's system refused a connection: no process listens there.
    pub fn is_refused(&self) -> bool {
        match self {
            SendError::Connect { source, .. } => source.kind() == io::ErrorKind::ConnectionRefused,
            _ => false,
        }
    }

    /// Says whether a new connection may do better at once: the request failed on a reused
    /// connection that closed or went silent.
    pub fn is_stale_connection(&self) -> bool {
        match self {
            SendError::Silent { reused, .. } | SendError::Broken { reused, .. } => *reused,
            _ => false,
        }
    }
}
