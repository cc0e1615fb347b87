//! The number of an accepted configuration.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of an accepted configuration. It only grows; zero means none yet.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// No configuration has been accepted yet.
    pub const NONE: Revision = Revision(0);

    /// Gives the number of the configuration that follows this one.
    pub fn next(self) -> Revision {
        Revision(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}", self.0)
    }
}
