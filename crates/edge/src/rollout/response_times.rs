//! How long requests to servers of the previous version take.
//!
//! Those servers stop when a rollout is completed, and with them every request that they still run.
//! The longest response time of a server says until when it may get requests.

use std::collections::{BTreeMap, HashMap, HashSet};

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::plan::Shift;

/// Quantile of the servers' longest response times that counts as the usual one. Servers above it
/// are the slow ones, which get their last requests earlier than the others.
const USUAL_QUANTILE: f64 = 0.9;
/// Number of measured servers from which the usual response time is told from that of slow ones.
const MIN_SERVERS: usize = 4;
/// Factor by which a request to a usual server may take longer than measured.
const SAFETY_FACTOR: f64 = 1.25;
/// The same for a slow server: its queue may still be growing, and a request for an object that it
/// has not cached takes several times as long.
const SLOW_SAFETY_FACTOR: f64 = 2.5;
/// Response time assumed while nothing was measured.
const DEFAULT_RESPONSE_TIME: Millis = Millis(1_000);
/// Maximum number of slow servers in a message. The slowest are named.
const MAX_SLOW_SERVERS: usize = 16;

/// The longest response times of the previous version's servers in one rollout.
#[derive(Clone, Debug, Default)]
pub struct ResponseTimes {
    /// Those of this VM's own requests.
    own: HashMap<UpstreamName, Millis>,
    /// The usual one of `own` at the last report, or zero if there were too few.
    own_usual: Millis,
    /// What peers have reported.
    of_peers: ResponseTimeReport,
}

/// Response times in a message. Reports are merged by taking the longest ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseTimeReport {
    /// The usual one.
    #[serde(rename = "q", default)]
    pub usual: Millis,
    /// Those of the slow servers.
    #[serde(rename = "l", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub slow: BTreeMap<UpstreamName, Millis>,
}

impl ResponseTimes {
    /// Records that a request of this VM has taken, or has been in flight for, `took`.
    pub fn record(&mut self, server: &UpstreamName, took: Millis) {
        match self.own.get_mut(server) {
            Some(longest) => *longest = took.max(*longest),
            None => {
                self.own.insert(server.clone(), took);
            }
        }
    }

    /// Applies the report of a peer.
    pub fn apply(&mut self, report: &ResponseTimeReport) {
        self.of_peers.merge(report);
    }

    /// Returns the report for peers, which includes what they have reported.
    pub fn report(&mut self) -> ResponseTimeReport {
        self.own_usual = usual_of(&self.own);
        let usual = self.own_usual;
        let slow = self.own.iter().filter(|(_, took)| **took > usual);
        let mut report = ResponseTimeReport {
            usual,
            slow: slow.map(|(server, took)| (server.clone(), *took)).collect(),
        };
        report.merge(&self.of_peers);
        report
    }

    /// Returns how long a request to any but the slow servers may take.
    pub fn usual(&self) -> Millis {
        match self.measured_usual() {
            Millis(0) => DEFAULT_RESPONSE_TIME,
            usual => scaled(usual, SAFETY_FACTOR),
        }
    }

    /// Returns the servers that could not answer a request before the previous version has to be
    /// drained.
    pub fn slower_than(&self, shift: Shift) -> HashSet<UpstreamName> {
        let usual = match self.measured_usual() {
            Millis(0) => Millis(u64::MAX),
            usual => usual,
        };
        let is_too_slow = |took: Millis| {
            let factor = if took > usual {
                SLOW_SAFETY_FACTOR
            } else {
                SAFETY_FACTOR
            };
            !shift.has_time_for(scaled(took, factor))
        };
        let all = self.own.iter().chain(&self.of_peers.slow);
        let too_slow = all.filter(|(_, took)| is_too_slow(**took));
        too_slow.map(|(server, _)| server.clone()).collect()
    }

    /// Returns the usual response time, or zero if it is not known.
    fn measured_usual(&self) -> Millis {
        self.own_usual.max(self.of_peers.usual)
    }
}

/// Returns the quantile that counts as usual, or zero if too few servers were measured.
fn usual_of(longest: &HashMap<UpstreamName, Millis>) -> Millis {
    if longest.len() < MIN_SERVERS {
        return Millis(0);
    }
    let mut sorted: Vec<Millis> = longest.values().copied().collect();
    sorted.sort_unstable();
    let index = ((sorted.len() - 1) as f64 * USUAL_QUANTILE) as usize;
    sorted[index]
}

impl ResponseTimeReport {
    fn merge(&mut self, other: &ResponseTimeReport) {
        self.usual = self.usual.max(other.usual);
        for (server, took) in &other.slow {
            let longest = self.slow.entry(server.clone()).or_default();
            *longest = (*longest).max(*took);
        }
        while self.slow.len() > MAX_SLOW_SERVERS {
            let fastest = self.slow.iter().min_by_key(|(_, took)| **took);
            let fastest = fastest.map(|(server, _)| server.clone());
            fastest.and_then(|server| self.slow.remove(&server));
        }
    }
}

fn scaled(took: Millis, factor: f64) -> Millis {
    Millis((took.0 as f64 * factor) as u64)
}
