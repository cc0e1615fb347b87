//! Exit codes of the program.

use std::process::ExitCode;

/// The result of a run, as an exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Ok,
    /// The command failed, or a wait timed out.
    Failed,
    /// The command line is invalid.
    Usage,
    /// A change was not accepted.
    NotAccepted,
    /// Whether a change was accepted is unknown.
    Unknown,
}

impl Exit {
    /// Returns the exit code.
    pub fn code(self) -> u8 {
        match self {
            Exit::Ok => 0,
            Exit::Failed => 1,
            Exit::Usage => 2,
            Exit::NotAccepted => 3,
            Exit::Unknown => 4,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit.code())
    }
}
