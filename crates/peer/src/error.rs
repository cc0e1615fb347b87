//! Errors of calls between daemons: the failed step, the peer, and whether the call may have run.

use std::fmt;

use heatherknot_types::prelude::*;
use snafu::Snafu;

use crate::auth::HandshakeRefusal;
use crate::frame::FrameError;

/// The step of a call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Looking up the address of a VM.
    Resolve,
    /// Waiting in the peer's call queue.
    Queue,
    /// Opening the TCP connection.
    Connect,
    /// Authenticating both ends.
    Handshake,
    /// Writing the request.
    Send,
    /// Waiting for the answer.
    Answer,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Step::Resolve => "resolving the address",
            Step::Queue => "queueing",
            Step::Connect => "connecting",
            Step::Handshake => "the handshake",
            Step::Send => "sending",
            Step::Answer => "awaiting the answer",
        };
        f.write_str(text)
    }
}

/// Whether the peer may have run a call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handled {
    /// The call was not written, or the peer reported that it did not run it.
    No,
    /// The call was written and no answer was received.
    Maybe,
    /// The peer ran the call and answered with an error.
    Yes,
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Cause {
    /// No address of the VM is known.
    #[snafu(display("no address of the VM is known"))]
    UnknownVm,
    /// The operating system reported an error.
    #[snafu(display("{message}"))]
    Io {
        /// The operating system's error message.
        message: String,
    },
    /// One end rejected the other's identity.
    #[snafu(display("{refusal}"))]
    Refused {
        /// The reason for the refusal.
        refusal: HandshakeRefusal,
    },
    /// The connection ended or received an invalid frame.
    #[snafu(display("{frame}"))]
    Frame {
        /// The framing error.
        frame: FrameError,
    },
    /// The timeout of the call, the connect or the handshake expired.
    #[snafu(display("no answer within {timeout}"))]
    Timeout {
        /// The timeout.
        timeout: Millis,
    },
    /// The connection is open, but nothing was received, or a write did not finish in time.
    #[snafu(display("the connection made no progress for {span}"))]
    Silent {
        /// Time without progress.
        span: Millis,
    },
    /// Too many calls to this peer are outstanding.
    #[snafu(display("{waiting} calls already wait for this peer"))]
    QueueFull {
        /// Number of outstanding calls.
        waiting: usize,
    },
    /// The process at the address is not the incarnation that the call requires.
    #[snafu(display("expected incarnation {expected}, found {found}"))]
    WrongIncarnation {
        /// The incarnation that the call requires.
        expected: Incarnation,
        /// The incarnation that answered.
        found: Incarnation,
    },
    /// The peer answered with an error.
    #[snafu(display("the peer answered error {code}: {message}"))]
    Answered {
        /// The JSON-RPC error code.
        code: i32,
        /// The peer's error message.
        message: String,
    },
    /// A value could not be encoded as JSON, or an answer could not be decoded.
    #[snafu(display("{message}"))]
    Json {
        /// The error message of the codec.
        message: String,
    },
    /// This daemon is closing its connections.
    #[snafu(display("this daemon is closing its connections"))]
    Closing,
}

/// A failed call to a peer.
#[derive(Clone, Debug, Snafu)]
#[snafu(display("{step} failed for peer {peer}: {source}"))]
pub struct PeerError {
    /// The step that failed.
    pub step: Step,
    /// The VM's name, or the address if the name is not known.
    pub peer: String,
    /// Whether the peer may have run the call.
    pub handled: Handled,
    /// The cause of the failure.
    pub source: Cause,
}

impl PeerError {
    pub(crate) fn new(step: Step, peer: impl fmt::Display, handled: Handled, cause: Cause) -> Self {
        Self {
            step,
            peer: peer.to_string(),
            handled,
            source: cause,
        }
    }
}
