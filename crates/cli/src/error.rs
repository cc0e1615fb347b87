//! Errors of commands.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

use crate::exit::Exit;

/// The error of a failed command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CliError {
    /// The command line is invalid.
    #[snafu(display("{message}; `heatherknot help` lists the commands"))]
    Usage {
        /// What is invalid and what was expected.
        message: String,
    },
    /// Reading or writing a file failed.
    #[snafu(display("{operation} `{path}`: {source}"))]
    File {
        /// The operation that failed, as a verb phrase.
        operation: &'static str,
        /// The file.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file is not valid JSON.
    #[snafu(display("read `{path}`: not JSON: {source}"))]
    Json {
        /// The file.
        path: String,
        /// The syntax error, with line and column.
        source: serde_json::Error,
    },
    /// The operating system's random generator failed.
    #[snafu(display("read random bytes: {cause}"))]
    Random {
        /// The error of the operating system.
        cause: getrandom::Error,
    },
    /// The asynchronous runtime failed to start.
    #[snafu(display("start the async runtime: {source}"))]
    Start {
        /// The error of the operating system.
        source: io::Error,
    },
    /// No daemon answered.
    #[snafu(display("no daemon answered: {causes}"))]
    NoAnswer {
        /// The error of each daemon, separated by semicolons.
        causes: String,
    },
    /// A daemon answered with an error.
    #[snafu(display("{peer}: {error}"))]
    Refused {
        /// The daemon.
        peer: SocketAddr,
        /// The daemon's error message.
        error: String,
    },
    /// A daemon's answer could not be read or parsed.
    #[snafu(display("{peer}: invalid answer: {problem}"))]
    InvalidAnswer {
        /// The daemon.
        peer: SocketAddr,
        /// The read or parse error.
        problem: String,
    },
    /// A replay failed.
    #[snafu(display("replay: {source}"), context(false))]
    Replay {
        /// The error of the replay.
        source: heatherknot_replay::Error,
    },
}

impl CliError {
    /// Creates a usage error.
    pub fn usage(message: impl Into<String>) -> CliError {
        UsageSnafu { message }.build()
    }

    /// Returns the exit code.
    pub fn exit(&self) -> Exit {
        match self {
            CliError::Usage { .. } => Exit::Usage,
            _ => Exit::Failed,
        }
    }
}
