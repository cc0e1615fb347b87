//! The daemon's own metrics, beside those of the packages that it is made of.

use prometheus::{IntCounter, IntGauge, Registry};

/// The daemon's own metrics.
#[derive(Clone, Debug)]
pub struct DaemonMetrics {
    /// Look-ups answered with entry VMs.
    pub lookups: IntCounter,
    /// Look-ups refused.
    pub lookups_refused: IntCounter,
    /// The revision in force.
    pub revision: IntGauge,
    /// This VM's part of its failure domain's capacity, in thousandths.
    pub capacity_part: IntGauge,
    /// Bytes sent to peers.
    pub peer_sent: IntGauge,
    /// Bytes received from peers.
    pub peer_received: IntGauge,
}

impl DaemonMetrics {
    /// Makes the metrics and adds them to `registry`.
    ///
    /// # Errors
    ///
    /// Returns an error where the registry already has them.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let metrics = Self {
            lookups: IntCounter::new("heatherknot_lookups_total", "Look-ups answered")?,
            lookups_refused: IntCounter::new(
                "heatherknot_lookups_refused_total",
                "Look-ups refused",
            )?,
            revision: IntGauge::new("heatherknot_revision", "Revision of the settings in force")?,
            capacity_part: IntGauge::new(
                "heatherknot_capacity_part_permille",
                "Part of the failure domain's capacity held by this VM",
            )?,
            peer_sent: IntGauge::new("heatherknot_peer_sent_bytes", "Bytes sent to peers")?,
            peer_received: IntGauge::new(
                "heatherknot_peer_received_bytes",
                "Bytes received from peers",
            )?,
        };
        registry.register(Box::new(metrics.lookups.clone()))?;
        registry.register(Box::new(metrics.lookups_refused.clone()))?;
        registry.register(Box::new(metrics.revision.clone()))?;
        registry.register(Box::new(metrics.capacity_part.clone()))?;
        registry.register(Box::new(metrics.peer_sent.clone()))?;
        registry.register(Box::new(metrics.peer_received.clone()))?;
        Ok(metrics)
    }
}
