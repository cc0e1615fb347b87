//! The start settings of a daemon on the platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use heatherknot_types::prelude::*;
use serde::Deserialize;

use crate::switches::Mechanism;

/// The start settings of one daemon, as its JSON file holds them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EdgeConfig {
    /// The deployment that this daemon belongs to.
    pub deployment: String,
    /// The secret that all daemons of the deployment share.
    pub secret: String,
    /// The name of this VM.
    pub vm: VmName,
    /// The failure domain that this VM lies in.
    pub domain: DomainName,
    /// The region of each failure domain.
    pub domains: BTreeMap<DomainName, RegionName>,
    /// Where this daemon listens.
    pub listen: EdgeListen,
    /// Peers that may be there, as addresses for daemons.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: StorePlace,
    /// What this VM's link carries each way, in megabits a second, where it is known.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// The part of a core that this VM has, where it is known.
    #[serde(default)]
    pub cpu_share: Option<f64>,
    /// The memory, in megabytes, for long request bodies that may have to be sent again. Bodies
    /// beyond it can be sent once only.
    #[serde(default = "default_kept_bodies_mb")]
    pub kept_bodies_mb: u32,
    /// The requests for each backend server of a service, within the time for which an idle
    /// connection to one is kept, below which this daemon hands requests to the servers' homes.
    #[serde(default = "default_hand_over_below")]
    pub hand_over_below: f64,
    /// Mechanisms of the decisions that are switched off, to measure what they are worth.
    #[serde(default)]
    pub off: Vec<Mechanism>,
    /// The bounds that the deployment states.
    #[serde(default)]
    pub bounds: StatedBounds,
    /// The least severe level that is logged.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

fn default_log_level() -> String {
    "info".to_owned()
}

/// An eighth of the memory of a VM of 256 MB: 90 bodies of 360 KB at once.
fn default_kept_bodies_mb() -> u32 {
    32
}

/// Beside connections that are used again, a home knows the load of its servers, which a VM that
/// asks each of them seldom does not.
fn default_hand_over_below() -> f64 {
    3.0
}

impl EdgeConfig {
    /// Gives the memory for long request bodies, in bytes.
    pub fn kept_bodies_bytes(&self) -> u64 {
        u64::from(self.kept_bodies_mb) * 1024 * 1024
    }
}

/// The addresses that a daemon listens on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EdgeListen {
    /// For requests of callers.
    pub requests: SocketAddr,
    /// For the platform's question whether this daemon is ready.
    pub ready: SocketAddr,
    /// For look-ups.
    pub lookups: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
    /// For requests that other daemons hand to this one. Without it this daemon hands none over
    /// and takes none.
    #[serde(default)]
    pub handed: Option<SocketAddr>,
}

/// The platform's store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StorePlace {
    /// Its address.
    pub address: SocketAddr,
    /// The shortest lease, in seconds.
    pub min_lease_s: f64,
}

/// The bounds as the file holds them; one that is missing or null has its default.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatedBounds {
    /// See [`Bounds::grace`], in seconds.
    pub grace_s: Option<f64>,
    /// See [`Bounds::retry_ratio`].
    pub retry_ratio: Option<f64>,
    /// See [`Bounds::retry_slack`].
    pub retry_slack: Option<f64>,
    /// See [`Bounds::retry_window`], in seconds.
    pub retry_window_s: Option<f64>,
    /// See [`Bounds::max_lookup_ttl`], in seconds.
    pub max_lookup_ttl_s: Option<f64>,
}

impl From<&StatedBounds> for Bounds {
    fn from(stated: &StatedBounds) -> Self {
        let default = Bounds::default();
        let span = |stated: Option<f64>, default: Millis| {
            stated.map_or(default, |secs| {
                Millis((secs.max(0.0) * 1000.0).round() as u64)
            })
        };
        Self {
            grace: span(stated.grace_s, default.grace),
            retry_ratio: stated.retry_ratio.unwrap_or(default.retry_ratio),
            retry_slack: stated.retry_slack.unwrap_or(default.retry_slack),
            retry_window: span(stated.retry_window_s, default.retry_window),
            max_lookup_ttl: span(stated.max_lookup_ttl_s, default.max_lookup_ttl),
            settle: default.settle,
        }
    }
}

/// The bounds that a deployment states for its system.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// How long after SIGTERM the process is killed.
    pub grace: Millis,
    /// Further sends of requests, as a part of the requests.
    pub retry_ratio: f64,
    /// Further sends beyond that part, over all VMs, in a window.
    pub retry_slack: f64,
    /// The window of the two.
    pub retry_window: Millis,
    /// The longest life of a look-up answer.
    pub max_lookup_ttl: Millis,
    /// How long after the store's return entries may still be missing.
    pub settle: Millis,
}

impl Default for Bounds {
    /// Cautious bounds for a deployment that states none.
    fn default() -> Self {
        Self {
            grace: Millis(5_000),
            retry_ratio: 0.1,
            retry_slack: 10.0,
            retry_window: Millis(10_000),
            max_lookup_ttl: Millis(2_000),
            settle: Millis(2_200),
        }
    }
}
