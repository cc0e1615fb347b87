//! Counts of how servers of the previous and of the target version answer.
//!
//! Counts are kept by kind of request, because requests of different routes, for cached and
//! uncached objects, or to other regions take different times. Those of the target version are also
//! kept by groups of servers, so that a fault of few servers is told from one of the version.

use std::collections::BTreeMap;

use heatherknot_types::hash;
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Number of groups into which the servers of the target version are divided.
pub const SERVER_GROUPS: u8 = 8;
/// Maximum number of counts of one rollout. A service with more kinds of requests loses those of
/// the kinds that come last.
const MAX_COUNTS: usize = 512;

/// A kind of request: its route, whether the server was expected to have its object cached, and
/// whether the server is in the region of the VM that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestKind(u32);

impl RequestKind {
    /// Creates the kind of a request of `route`.
    pub fn new(route: &str, is_cached: bool, is_local: bool) -> Self {
        let route = RouteHash::of(route).0;
        Self(route << 2 | u32::from(is_cached) << 1 | u32::from(is_local))
    }

    /// Returns the route.
    pub fn route(self) -> RouteHash {
        RouteHash(self.0 >> 2)
    }
}

/// A hash of a route's name, which takes less space in messages than the name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteHash(u32);

impl RouteHash {
    /// Hashes a route's name.
    pub fn of(route: &str) -> Self {
        Self((hash::digest(route.as_bytes()) >> 34) as u32)
    }
}

/// The servers that a count is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ServerGroup {
    /// All servers of the previous version.
    #[serde(rename = "p")]
    Previous,
    /// A group of servers of the target version.
    #[serde(rename = "t")]
    Target(u8),
}

impl ServerGroup {
    /// Returns the group of a server of the target version.
    pub fn of_target(server: &UpstreamName) -> Self {
        let digest = hash::digest(server.as_str().as_bytes());
        Self::Target((digest % u64::from(SERVER_GROUPS)) as u8)
    }
}

/// How requests of one kind ended at the servers of one group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    /// Requests that were answered or failed.
    #[serde(rename = "n")]
    pub requests: u64,
    /// Those that failed: error responses of the server, broken connections and missing answers.
    #[serde(rename = "f", default)]
    pub failures: u64,
    /// Those whose answers were timed, because their server was expected to be free.
    #[serde(rename = "a", default)]
    pub timed: u64,
    /// Sum of their response times, in milliseconds.
    #[serde(rename = "t", default)]
    pub time_ms: u64,
    /// Requests to such servers that are in flight now.
    #[serde(rename = "w", default)]
    pub waiting: u64,
    /// Sum of the times for which they have been in flight, in milliseconds.
    #[serde(rename = "x", default)]
    pub waiting_ms: u64,
}

impl Outcomes {
    /// Adds other counts.
    pub fn add(&mut self, more: &Outcomes) {
        self.requests += more.requests;
        self.failures += more.failures;
        self.timed += more.timed;
        self.time_ms += more.time_ms;
        self.waiting += more.waiting;
        self.waiting_ms += more.waiting_ms;
    }

    fn minus(&self, earlier: &Outcomes) -> Outcomes {
        Outcomes {
            requests: self.requests.saturating_sub(earlier.requests),
            failures: self.failures.saturating_sub(earlier.failures),
            timed: self.timed.saturating_sub(earlier.timed),
            time_ms: self.time_ms.saturating_sub(earlier.time_ms),
            ..*self
        }
    }
}

/// The counts of one rollout. All but those of requests in flight only grow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<WireCount>", into = "Vec<WireCount>")]
pub struct Evidence {
    counts: BTreeMap<(RequestKind, ServerGroup), Outcomes>,
}

/// A count in a message.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct WireCount {
    #[serde(rename = "k")]
    kind: RequestKind,
    #[serde(rename = "g")]
    group: ServerGroup,
    #[serde(flatten)]
    outcomes: Outcomes,
}

impl From<Vec<WireCount>> for Evidence {
    fn from(wire: Vec<WireCount>) -> Self {
        let mut evidence = Evidence::default();
        for count in wire {
            evidence.add(count.kind, count.group, &count.outcomes);
        }
        evidence
    }
}

impl From<Evidence> for Vec<WireCount> {
    fn from(evidence: Evidence) -> Self {
        let counts = evidence.counts.into_iter();
        let counts = counts.map(|((kind, group), outcomes)| WireCount {
            kind,
            group,
            outcomes,
        });
        counts.collect()
    }
}

impl Evidence {
    /// Adds counts of one kind and group.
    pub fn add(&mut self, kind: RequestKind, group: ServerGroup, more: &Outcomes) {
        let is_full = self.counts.len() >= MAX_COUNTS;
        if is_full && !self.counts.contains_key(&(kind, group)) {
            return;
        }
        self.counts.entry((kind, group)).or_default().add(more);
    }

    /// Adds all counts of `other`.
    pub fn merge(&mut self, other: &Evidence) {
        for ((kind, group), outcomes) in &other.counts {
            self.add(*kind, *group, outcomes);
        }
    }

    /// Returns what was counted since `earlier`.
    pub fn since(&self, earlier: &Evidence) -> Evidence {
        let none = Outcomes::default();
        let counts = self.counts.iter().map(|(key, outcomes)| {
            let before = earlier.counts.get(key).unwrap_or(&none);
            (*key, outcomes.minus(before))
        });
        Evidence {
            counts: counts.collect(),
        }
    }

    /// Returns all counts.
    pub fn counts(&self) -> impl Iterator<Item = (RequestKind, ServerGroup, &Outcomes)> {
        let counts = self.counts.iter();
        counts.map(|((kind, group), outcomes)| (*kind, *group, outcomes))
    }

    /// Returns the sums over all kinds: those of the target version and of the previous one.
    pub fn sums(&self) -> (Outcomes, Outcomes) {
        let (mut target, mut previous) = (Outcomes::default(), Outcomes::default());
        for (_, group, outcomes) in self.counts() {
            match group {
                ServerGroup::Target(_) => target.add(outcomes),
                ServerGroup::Previous => previous.add(outcomes),
            }
        }
        (target, previous)
    }
}
