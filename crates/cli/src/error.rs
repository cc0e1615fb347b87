//! Why a command failed.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

use crate::exit::Exit;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CliError {
    /// The command line is wrong.
    #[snafu(display("{message}; `heatherknot help` lists the commands"))]
    Usage {
        /// What is wrong.
        message: String,
    },
    /// A file can't be read or written.
    #[snafu(display("{operation} `{path}`: {source}"))]
    File {
        /// What was being done.
        operation: &'static str,
        /// The file.
        path: String,
        /// What the system reported.
        source: io::Error,
    },
    /// A file isn't JSON.
    #[snafu(display("read `{path}`: not JSON: {source}"))]
    Json {
        /// The file.
        path: String,
        /// What is wrong, with line and column.
        source: serde_json::Error,
    },
    /// The system has no randomness to give.
    #[snafu(display("draw random bytes: {cause}"))]
    Random {
        /// What the system reported.
        cause: getrandom::Error,
    },
    /// The runtime can't be started.
    #[snafu(display("start: {source}"))]
    Start {
        /// What the system reported.
        source: io::Error,
    },
    /// No daemon answered.
    #[snafu(display("no daemon answered: {causes}"))]
    NoAnswer {
        /// What each of them failed with.
        causes: String,
    },
    /// A daemon refused the call.
    #[snafu(display("{peer}: {error}"))]
    Refused {
        /// The daemon.
        peer: SocketAddr,
        /// Why.
        error: String,
    },
    /// A daemon's answer can't be read.
    #[snafu(display("{peer}: an answer that can't be read: {problem}"))]
    InvalidAnswer {
        /// The daemon.
        peer: SocketAddr,
        /// What is wrong with it.
        problem: String,
    },
    /// A trace can't be replayed.
    #[snafu(display("replay: {source}"), context(false))]
    Replay {
        /// What the replay reported.
        source: heatherknot_replay::Error,
    },
}

impl CliError {
    /// Makes a usage error.
    pub fn usage(message: impl Into<String>) -> CliError {
        UsageSnafu { message }.build()
    }

    /// Gives the exit code.
    pub fn exit(&self) -> Exit {
        match self {
            CliError::Usage { .. } => Exit::Usage,
            _ => Exit::Failed,
        }
    }
}
