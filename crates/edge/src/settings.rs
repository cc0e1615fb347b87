//! Start settings of a daemon on a platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use heatherknot_types::prelude::*;
use serde::Deserialize;

use crate::switches::Mechanism;

/// Start settings of one daemon, as read from its JSON file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EdgeConfig {
    /// Deployment that this daemon belongs to.
    pub deployment: String,
    /// Secret shared by all daemons of the deployment.
    pub secret: String,
    /// Name of this VM.
    pub vm: VmName,
    /// Failure domain of this VM.
    pub domain: DomainName,
    /// Region of each failure domain.
    pub domains: BTreeMap<DomainName, RegionName>,
    /// Addresses that this daemon listens on.
    pub listen: ListenConfig,
    /// Addresses at which peers may be found.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: StoreConfig,
    /// Bandwidth of this VM's link in each direction, in megabits a second, if known.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Share of a CPU core that this VM has, if known.
    #[serde(default)]
    pub cpu_share: Option<f64>,
    /// Memory, in megabytes, for long request bodies that may have to be sent again. Bodies that
    /// don't fit can be sent only once.
    #[serde(default = "default_kept_bodies_mb")]
    pub kept_bodies_mb: u32,
    /// Number of requests for each backend server of a service, within the idle timeout of a
    /// connection to it, below which this daemon hands requests over to the servers' home VMs.
    #[serde(default = "default_hand_over_below")]
    pub hand_over_below: f64,
    /// Decision mechanisms that are switched off, to measure their effect.
    #[serde(default)]
    pub off: Vec<Mechanism>,
    /// Contracts that the deployment states, by the platform's names for them.
    #[serde(default)]
    pub contracts: Vec<Arc<str>>,
    /// Whether load control is on. If it is missing, the contracts and the backend servers decide.
    #[serde(default)]
    pub load_control: Option<bool>,
    /// Bounds that the deployment states.
    #[serde(default)]
    pub bounds: BoundsConfig,
    /// Least severe level that is logged.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

fn default_log_level() -> String {
    "info".to_owned()
}

/// An eighth of the memory of a VM with 256 MB, enough for 90 bodies of 360 KB at once.
fn default_kept_bodies_mb() -> u32 {
    32
}

/// Besides reusing connections, a home VM knows the load of its servers, which a VM that rarely
/// sends to each of them does not.
fn default_hand_over_below() -> f64 {
    3.0
}

impl EdgeConfig {
    /// Returns the memory for long request bodies, in bytes.
    pub fn kept_bodies_bytes(&self) -> u64 {
        u64::from(self.kept_bodies_mb) * 1024 * 1024
    }
}

/// Addresses that a daemon listens on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenConfig {
    /// For callers' requests.
    pub requests: SocketAddr,
    /// For the platform's readiness checks.
    pub ready: SocketAddr,
    /// For lookups.
    pub lookups: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
    /// For requests that other daemons hand over. If it is missing, this daemon neither hands
    /// requests over nor accepts any.
    #[serde(default)]
    pub handed: Option<SocketAddr>,
}

/// Settings of the platform's store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreConfig {
    /// Address of the store.
    pub address: SocketAddr,
    /// Shortest lease that the store grants, in seconds.
    pub min_lease_s: f64,
}

/// Bounds as read from the settings file. A missing or null value means its default.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoundsConfig {
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
    /// See [`Bounds::canary_share`].
    pub canary_share: Option<f64>,
}

impl From<&BoundsConfig> for Bounds {
    fn from(config: &BoundsConfig) -> Self {
        let default = Bounds::default();
        let duration = |configured: Option<f64>, default: Millis| {
            configured.map_or(default, |secs| {
                Millis((secs.max(0.0) * 1000.0).round() as u64)
            })
        };
        Self {
            grace: duration(config.grace_s, default.grace),
            retry_ratio: config.retry_ratio.unwrap_or(default.retry_ratio),
            retry_slack: config.retry_slack.unwrap_or(default.retry_slack),
            retry_window: duration(config.retry_window_s, default.retry_window),
            max_lookup_ttl: duration(config.max_lookup_ttl_s, default.max_lookup_ttl),
            canary_share: config.canary_share.unwrap_or(default.canary_share),
            store_settle_time: default.store_settle_time,
        }
    }
}

/// Bounds that a deployment states for its system.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time from SIGTERM until the process is killed.
    pub grace: Millis,
    /// Retries allowed, as a fraction of the requests.
    pub retry_ratio: f64,
    /// Retries allowed beyond that fraction in a window, over all VMs.
    pub retry_slack: f64,
    /// Window to which the retry limits apply.
    pub retry_window: Millis,
    /// Longest lifetime of a lookup answer.
    pub max_lookup_ttl: Millis,
    /// Part of a service's requests that a bad version may get during its rollout.
    pub canary_share: f64,
    /// How long entries may still be missing after the store has come back.
    pub store_settle_time: Millis,
}

impl Default for Bounds {
    /// Returns cautious bounds for a deployment that states none.
    fn default() -> Self {
        Self {
            grace: Millis(5_000),
            retry_ratio: 0.1,
            retry_slack: 10.0,
            retry_window: Millis(10_000),
            max_lookup_ttl: Millis(2_000),
            canary_share: 0.1,
            store_settle_time: Millis(2_200),
        }
    }
}
