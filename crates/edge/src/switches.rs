//! Switches that turn single mechanisms of the request path off, to measure the effect of each.

use serde::Deserialize;

/// A mechanism that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mechanism {
    /// A busy region redirects a fraction of its objects to other regions.
    Spill,
    /// Objects with large transfers are served in the caller's failure domain.
    OwnDomain,
    /// Objects with large transfers are not redirected to other regions.
    LargeStays,
    /// A request that would be refused may be sent to a free server in another region that has the
    /// object cached.
    OtherRegions,
    /// A request that every server would answer too late is refused immediately.
    Refusal,
    /// Longer response times are accepted from a server whose load is uncertain.
    Doubt,
    /// Load reported by servers is taken into account.
    ToldLoad,
    /// Servers that are slower than usual get fewer requests.
    Slowness,
    /// Servers that fail or refuse requests get fewer requests.
    Failing,
    /// A server that does not respond at all is avoided.
    HangingServers,
    /// Work on an uncached object is weighted more than its time.
    ColdCost,
    /// Requests are handed over to the home VM of their backend server.
    HandOver,
    /// Requests whose backend servers this VM can't reach are relayed to other VMs.
    Relay,
    /// Requests that any region may serve leave capacity to those restricted to certain regions.
    GiveWay,
    /// Rate limits of client accounts are enforced.
    Quota,
    /// VMs tell each other how much they admitted. Otherwise each VM enforces its own share of the
    /// limits.
    ToldQuota,
    /// Home VMs place objects evenly on their servers.
    Spread,
    /// Pipelined requests are handled concurrently.
    Ahead,
    /// Requests during which servers crashed are suspected, and rejected after three such crashes.
    Poison,
    /// Request limits that backend servers state are enforced.
    RequestLimits,
    /// The speed that a backend server states of its machine is taken into account.
    MachineSpeed,
    /// Service times are kept by route, and whether a backend server has an object cached is learned
    /// from its responses.
    WorkProfile,
    /// Requests compete for the slots of busy servers by priority and client account.
    Admission,
    /// Refused callers get a reserved time to return.
    Returns,
    /// Large transfers pass through home VMs with a wide link.
    WideHomes,
    /// A home VM accepts requests routed by another configuration that agrees on their route.
    RouteAgreement,
}

/// The set of mechanisms that are switched on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Switches {
    /// One bit for each mechanism that is switched off.
    off: u32,
}

impl Switches {
    /// Returns switches with the mechanisms in `off` switched off and all others on.
    pub fn without(off: &[Mechanism]) -> Self {
        let bits = off.iter().map(|mechanism| mechanism.bit());
        Self {
            off: bits.fold(0, |all, bit| all | bit),
        }
    }

    /// Returns whether a mechanism is switched on.
    pub fn is_on(self, mechanism: Mechanism) -> bool {
        self.off & mechanism.bit() == 0
    }
}

impl Mechanism {
    fn bit(self) -> u32 {
        1 << self as u32
    }
}
