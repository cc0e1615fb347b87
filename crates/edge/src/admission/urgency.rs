//! Orders requests by the priorities of their client accounts and routes.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::accounts::Account;
use crate::catalog::Route;

/// Urgency of a request. The smaller one is more urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Urgency {
    /// Priority of the client account, or that of the route if the account has none.
    pub priority: u32,
    /// Priority of the route.
    pub route: u32,
}

impl Urgency {
    /// Returns the urgency of a request of `account` on `route`.
    pub fn of(account: Option<&Account>, route: &Route) -> Self {
        let of_account = account.and_then(|account| account.priority);
        Self {
            priority: of_account.unwrap_or(route.priority),
            route: route.priority,
        }
    }
}

impl fmt::Display for Urgency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.priority, self.route)
    }
}
