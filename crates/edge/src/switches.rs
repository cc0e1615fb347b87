//! Mechanisms of the decisions that can be switched off, to measure what each is worth.

use serde::Deserialize;

/// A mechanism of the decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mechanism {
    /// A busy region sends a part of its objects away.
    Spill,
    /// Objects that carry much are served in the caller's failure domain.
    OwnDomain,
    /// What carries much is not sent away.
    LargeStays,
    /// What would be refused may go to a free server of another region that keeps the object.
    OtherRegions,
    /// What every server would answer too late is refused at once.
    Refusal,
    /// Later answers are allowed where a server's load is little known.
    Doubt,
    /// What servers tell of their load counts.
    ToldLoad,
    /// Servers that take longer than usual get less.
    Slowness,
    /// Servers that fail or refuse get less.
    Failing,
    /// A server that answers nothing at all is left alone.
    HangingServers,
    /// Work without a kept object counts more than its time.
    ColdCost,
    /// Requests are handed to the home of their backend server.
    HandOver,
    /// Requests that may run anywhere leave room to those that may not.
    GiveWay,
    /// Client accounts are held to their limits.
    Quota,
    /// VMs tell each other what they admitted; else each keeps to its share of the limits.
    ToldQuota,
    /// Homes spread objects evenly over their servers.
    Spread,
    /// Requests sent ahead are handled side by side.
    Ahead,
    /// Requests under which servers ended are suspected, and rejected after three ends.
    Poison,
}

/// Which mechanisms are on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Switches {
    /// One bit for each mechanism that is off.
    off: u32,
}

impl Switches {
    /// Switches off what `off` names; all else is on.
    pub fn without(off: &[Mechanism]) -> Self {
        let bits = off.iter().map(|mechanism| mechanism.bit());
        Self {
            off: bits.fold(0, |all, bit| all | bit),
        }
    }

    /// Says whether a mechanism is on.
    pub fn is_on(self, mechanism: Mechanism) -> bool {
        self.off & mechanism.bit() == 0
    }
}

impl Mechanism {
    fn bit(self) -> u32 {
        1 << self as u32
    }
}
