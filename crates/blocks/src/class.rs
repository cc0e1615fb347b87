//! The class of preferences that a block belongs to.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A class of preferences; blocks with the same preferences share one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BlockClass(pub u16);

impl fmt::Display for BlockClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "class {}", self.0)
    }
}
