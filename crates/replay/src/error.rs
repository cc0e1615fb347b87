//! What can be wrong with a trace, a policy's name or a chart.

use std::path::PathBuf;

use snafu::Snafu;

/// A failure to read a trace or to write what a replay found.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The file can't be read.
    #[snafu(display("read trace {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        source: std::io::Error,
    },

    /// A line isn't what the format asks for.
    #[snafu(display("{file}:{line}: key `{key}`: {cause}"))]
    Line {
        /// The file.
        file: String,
        /// The number of the line, from 1.
        line: usize,
        /// The key, with the keys above it.
        key: String,
        /// What was found and what was expected.
        cause: String,
    },

    /// A trace has no head.
    #[snafu(display("{file}:1: key `kind`: the first line must be the head, found no line"))]
    Empty {
        /// The file.
        file: String,
    },

    /// No policy has the name.
    #[snafu(display("policy `{name}` is not known; known are {known}"))]
    Policy {
        /// The name that was asked for.
        name: String,
        /// The names that exist.
        known: String,
    },

    /// A chart can't be drawn.
    #[snafu(display("draw chart {}: {cause}", path.display()))]
    Chart {
        /// The file of the chart.
        path: PathBuf,
        /// What went wrong.
        cause: String,
    },

    /// A file or directory can't be written.
    #[snafu(display("write {}: {source}", path.display()))]
    Write {
        /// The file or directory.
        path: PathBuf,
        /// What the operating system said.
        source: std::io::Error,
    },
}

/// The result of reading or replaying a trace.
pub type Result<T> = std::result::Result<T, Error>;
