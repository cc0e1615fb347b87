//! The number that tells one run of a daemon from the next at the same address.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One run of a daemon process, drawn at random when the process starts.
///
/// A restarted daemon has the same VM name and address but another incarnation, so a
/// message, grant or ticket meant for the earlier process is recognised and refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
