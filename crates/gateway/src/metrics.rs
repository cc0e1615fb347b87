//! Prometheus metrics of the request path.

use std::fmt;

use heatherknot_types::prelude::*;
use prometheus::{
    HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, exponential_buckets,
};

/// The upper bound of the first latency bucket, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
const BUCKET_FACTOR: f64 = 2.0;
const BUCKET_COUNT: usize = 16;

/// Counters, gauges and histograms of the request path.
#[derive(Clone)]
pub struct GatewayMetrics {
    requests: IntCounterVec,
    sent: IntCounterVec,
    latency: HistogramVec,
    retries: IntCounterVec,
    truncated: IntCounterVec,
    handed_over: IntCounterVec,
    repeats: IntCounterVec,
    probes: IntCounterVec,
    /// The number of slots that this VM uses, by service and upstream.
    pub slots: IntGaugeVec,
    /// The number of queued requests, by service and class.
    pub queued: IntGaugeVec,
    /// The number of recorded requests that must not run twice.
    pub remembered: IntGaugeVec,
}

impl GatewayMetrics {
    /// Creates the metrics and adds them to `registry`.
    ///
    /// # Errors
    ///
    /// Returns an error if the registry already has metrics of the same names.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let buckets = exponential_buckets(FIRST_BUCKET_SECONDS, BUCKET_FACTOR, BUCKET_COUNT)?;
        let latency = HistogramOpts::new(
            "heatherknot_request_seconds",
            "Time from a request to the head of its answer.",
        );
        let metrics = Self {
            requests: counter(
                "heatherknot_requests_total",
                "Requests by what became of them.",
                &["service", "class", "outcome", "reason"],
            )?,
            sent: counter(
                "heatherknot_sent_total",
                "Requests admitted and sent, by the place that they went to.",
                &["service", "place"],
            )?,
            latency: HistogramVec::new(latency.buckets(buckets), &["service", "class"])?,
            retries: counter(
                "heatherknot_retries_total",
                "Requests sent again.",
                &["service"],
            )?,
            truncated: truncated_counter()?,
            handed_over: counter(
                "heatherknot_handed_over_total",
                "Requests handed to another VM.",
                &["service", "why"],
            )?,
            repeats: counter(
                "heatherknot_repeats_total",
                "Repeats of requests that run at most once, by how they were answered.",
                &["service", "answer"],
            )?,
            probes: counter(
                "heatherknot_probes_total",
                "Probes of backend servers by what they found.",
                &["service", "upstream", "found"],
            )?,
            slots: gauge(
                "heatherknot_slots_in_use",
                "Slots that this VM uses.",
                &["service", "upstream"],
            )?,
            queued: gauge(
                "heatherknot_queued_requests",
                "Requests that wait.",
                &["service", "class"],
            )?,
            remembered: gauge(
                "heatherknot_remembered_requests",
                "Requests that are remembered because they must not run twice.",
                &[],
            )?,
        };
        metrics.register_all(registry)?;
        Ok(metrics)
    }

    fn register_all(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        registry.register(Box::new(self.requests.clone()))?;
        registry.register(Box::new(self.latency.clone()))?;
        registry.register(Box::new(self.retries.clone()))?;
        registry.register(Box::new(self.truncated.clone()))?;
        registry.register(Box::new(self.handed_over.clone()))?;
        registry.register(Box::new(self.repeats.clone()))?;
        registry.register(Box::new(self.probes.clone()))?;
        registry.register(Box::new(self.slots.clone()))?;
        registry.register(Box::new(self.queued.clone()))?;
        registry.register(Box::new(self.remembered.clone()))
    }

    /// Counts a request that got its response from a backend server or from the gateway, and
    /// observes its latency.
    pub fn request(
        &self,
        service: &str,
        class: Class,
        outcome: &str,
        reason: &str,
        latency: Millis,
    ) {
        self.requests
            .with_label_values(&[service, class.as_str(), outcome, reason])
            .inc();
        self.latency
            .with_label_values(&[service, class.as_str()])
            .observe(latency.as_secs_f64());
    }

    /// Counts a request that was admitted and is sent to `place`.
    pub fn sent(&self, service: &ServiceName, place: &PlaceName) {
        self.sent
            .with_label_values(&[service.as_str(), place.as_str()])
            .inc();
    }

    /// Counts a retry of a request.
    pub fn retry(&self, service: &ServiceName) {
        self.retries.with_label_values(&[service.as_str()]).inc();
    }

    /// Counts a response of which the caller got only a part.
    pub fn truncated(&self, service: &ServiceName) {
        self.truncated.with_label_values(&[service.as_str()]).inc();
    }

    /// Counts a request that is forwarded to another VM; `reason` becomes the label `why`.
    pub fn hand_over(&self, service: &ServiceName, reason: &str) {
        self.handed_over
            .with_label_values(&[service.as_str(), reason])
            .inc();
    }

    /// Counts a probe of a backend server; `result` becomes the label `found`.
    pub fn probe(&self, service: &ServiceName, upstream: &UpstreamName, result: &str) {
        let labels = [service.as_str(), upstream.as_str(), result];
        self.probes.with_label_values(&labels).inc();
    }

    /// Counts a repeat of a request that runs at most once; `answer` says how it was answered.
    pub fn repeat(&self, service: &ServiceName, answer: &str) {
        self.repeats
            .with_label_values(&[service.as_str(), answer])
            .inc();
    }
}

fn counter(name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec, prometheus::Error> {
    IntCounterVec::new(Opts::new(name, help), labels)
}

fn truncated_counter() -> Result<IntCounterVec, prometheus::Error> {
    counter(
        "heatherknot_truncated_responses_total",
        "Responses of which callers got only a part.",
        &["service"],
    )
}

fn gauge(name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec, prometheus::Error> {
    IntGaugeVec::new(Opts::new(name, help), labels)
}

impl fmt::Debug for GatewayMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("GatewayMetrics")
    }
}
