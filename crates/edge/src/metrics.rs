//! Counters and histograms of the request path.

use prometheus::{
    GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

/// Upper bounds of the latency histogram's buckets, in seconds. They double, so that a percentile
/// is known to within a factor of two at every scale.
const LATENCY_BUCKETS: [f64; 11] = [
    0.016, 0.032, 0.064, 0.128, 0.256, 0.512, 1.024, 2.048, 4.096, 8.192, 16.384,
];

/// Metrics of the request limits of backend servers, by service.
pub struct LimitMetrics {
    /// Sends to backend servers with a request limit.
    pub sends: IntCounterVec,
    /// Times that a request got no permit for a backend server with a request limit.
    pub held_back: IntCounterVec,
    /// Number of backend servers with a request limit that this VM knows of.
    pub servers: GaugeVec,
    /// Sum of those limits, in requests per second.
    pub per_second: GaugeVec,
}

impl LimitMetrics {
    fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counters =
            |name: &str, help: &str| register_counters(registry, name, help, &["service"]);
        let gauges = |name: &str, help: &str| register_gauges(registry, name, help);
        Ok(Self {
            sends: counters(
                "heatherknot_sends_to_limited_servers_total",
                "Sends to backend servers with a request limit, by service",
            )?,
            held_back: counters(
                "heatherknot_held_back_total",
                "Times that a request got no permit for a backend server, by service",
            )?,
            servers: gauges(
                "heatherknot_limited_servers",
                "Backend servers with a request limit, by service",
            )?,
            per_second: gauges(
                "heatherknot_request_limits_per_second",
                "Sum of the request limits of backend servers, by service",
            )?,
        })
    }
}

/// Metrics of what backend servers ask of this VM, by service.
pub struct BackpressureMetrics {
    /// Times that a backend server asked for a backoff.
    pub backoffs: IntCounterVec,
    /// Requests that were selected for a backend server and withheld before they were sent.
    pub withheld: IntCounterVec,
    /// Number of backend servers in a backoff.
    pub servers: GaugeVec,
}

impl BackpressureMetrics {
    fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counters =
            |name: &str, help: &str| register_counters(registry, name, help, &["service"]);
        Ok(Self {
            backoffs: counters(
                "heatherknot_backoffs_total",
                "Times that a backend server asked for a backoff, by service",
            )?,
            withheld: counters(
                "heatherknot_withheld_total",
                "Requests withheld from a backend server that asked for a backoff or is leaving, by service",
            )?,
            servers: register_gauges(
                registry,
                "heatherknot_servers_in_backoff",
                "Backend servers that have asked for a backoff, by service",
            )?,
        })
    }
}

/// Metrics of requests that other VMs hand over to this VM.
pub struct HomeMetrics {
    /// Declined requests, by cause.
    pub declined: IntCounterVec,
    /// Requests accepted although another configuration had routed them.
    pub accepted_across_versions: IntCounter,
}

impl HomeMetrics {
    fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let accepted_across_versions = IntCounter::new(
            "heatherknot_accepted_across_versions_total",
            "Requests handed over under another configuration that agrees on their route",
        )?;
        registry.register(Box::new(accepted_across_versions.clone()))?;
        Ok(Self {
            declined: register_counters(
                registry,
                "heatherknot_declined_hand_overs_total",
                "Requests that other VMs handed over and that this VM declined, by cause",
                &["cause"],
            )?,
            accepted_across_versions,
        })
    }
}

/// Metrics of callers that were refused and return, by service.
pub struct ReturnMetrics {
    /// Reservations made and claimed, and callers without one, by event.
    pub events: IntCounterVec,
    /// Time that refused callers were told to wait, in seconds.
    pub told_seconds: HistogramVec,
}

impl ReturnMetrics {
    fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        Ok(Self {
            events: register_counters(
                registry,
                "heatherknot_returns_total",
                "Reserved returns of refused callers, by service and event",
                &["service", "event"],
            )?,
            told_seconds: register_histogram(
                registry,
                "heatherknot_return_seconds",
                "Time that refused callers were told to wait, by service",
                &["service"],
            )?,
        })
    }
}

/// Metrics of load control and of the estimates of requests' work.
pub struct WorkMetrics {
    /// Whether load control is on.
    pub load_control: IntGauge,
    /// First requests of this VM for an object at a backend server, by service and by whether the
    /// object turned out cached.
    pub first_requests: IntCounterVec,
    /// Mean time that a request occupies a slot, in seconds, by service.
    pub slot_seconds: GaugeVec,
}

impl WorkMetrics {
    fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        Ok(Self {
            load_control: register_gauge(
                registry,
                "heatherknot_load_control",
                "Whether load control is on, 1 or 0",
            )?,
            first_requests: register_counters(
                registry,
                "heatherknot_first_requests_total",
                "First requests for an object at a backend server, by service and as cached or uncached",
                &["service", "object"],
            )?,
            slot_seconds: register_gauges(
                registry,
                "heatherknot_slot_seconds",
                "Mean time that a request occupies a slot of a backend server, by service",
            )?,
        })
    }
}

/// Metrics of a VM's copy of the store's keys.
pub struct StoreCopyMetrics {
    /// Era of the store.
    pub era: IntGauge,
    /// Keys that the store has lost and that may still be written again.
    pub unconfirmed_keys: IntGauge,
    /// Time since the state of the store that the copy reflects, in milliseconds.
    pub age_ms: IntGauge,
    /// Times that the copy became stale.
    pub stale: IntGauge,
}

impl StoreCopyMetrics {
    fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let gauge = |name: &str, help: &str| register_gauge(registry, name, help);
        Ok(Self {
            era: gauge(
                "heatherknot_store_era",
                "Era of the store in the local copy of its keys",
            )?,
            unconfirmed_keys: gauge(
                "heatherknot_unconfirmed_keys",
                "Keys that the store has lost and that may still be written again",
            )?,
            age_ms: gauge(
                "heatherknot_copy_age_milliseconds",
                "Time since the state of the store that the local copy reflects",
            )?,
            stale: gauge(
                "heatherknot_stale_copies_total",
                "Times that the local copy became stale",
            )?,
        })
    }
}

/// Metrics of a daemon. Label values are service names and priorities of the configuration, and
/// outcomes and causes from the code, never anything that a caller sends.
pub struct EdgeMetrics {
    /// Requests by service and outcome.
    pub requests: IntCounterVec,
    /// Latency by service and outcome, in seconds.
    pub latency: HistogramVec,
    /// Sends to backend servers by service and result.
    pub sends: IntCounterVec,
    /// Retries by service and the part of the budget that paid for them.
    pub retries: IntCounterVec,
    /// Metrics of what backend servers ask of this VM.
    pub backpressure: BackpressureMetrics,
    /// Metrics of request limits.
    pub limits: LimitMetrics,
    /// Metrics of load control and of work estimates.
    pub work: WorkMetrics,
    /// Metrics of returning callers.
    pub returns: ReturnMetrics,
    /// Requests that a backend server was running when it crashed, by service.
    pub requests_at_server_crash: IntCounterVec,
    /// Backend servers that this VM reaches, by service.
    pub servers_reached: GaugeVec,
    /// Responses of which callers got only a part, by service and by who broke them off.
    pub truncated_responses: IntCounterVec,
    /// Requests handed over to the home VMs of their servers, by result.
    pub handed_over: IntCounterVec,
    /// Metrics of requests that other VMs hand over to this VM.
    pub home: HomeMetrics,
    /// Requests relayed to VMs that reach their servers, by reason and result.
    pub relayed: IntCounterVec,
    /// Refusals by service and cause.
    pub refusals: IntCounterVec,
    /// Requests whose best backend server was busy, by service, urgency and verdict.
    pub admission: IntCounterVec,
    /// Requests that were not admitted, by cause.
    pub unrouted: IntCounterVec,
    /// Calls to the store by result.
    pub store_calls: IntCounterVec,
    /// Stages of rollouts that this VM has written, by service and stage.
    pub rollout_stages: IntCounterVec,
    /// Lookups answered.
    pub lookups: IntCounter,
    /// Version of the configuration in force.
    pub catalog_version: IntGauge,
    /// Metrics of the local copy of the store's keys.
    pub store_copy: StoreCopyMetrics,
    /// Number of known VMs that are alive.
    pub vms: IntGauge,
}

impl EdgeMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is already registered.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counters = |name: &str, help: &str, labels: &[&str]| {
            register_counters(registry, name, help, labels)
        };
        let gauge = |name: &str, help: &str| register_gauge(registry, name, help);
        Ok(Self {
            requests: counters(
                "heatherknot_requests_total",
                "Requests by service and outcome",
                &["service", "outcome"],
            )?,
            latency: register_latency(registry)?,
            sends: counters(
                "heatherknot_sends_total",
                "Sends to backend servers by service and result",
                &["service", "result"],
            )?,
            retries: register_retries(registry)?,
            backpressure: BackpressureMetrics::register(registry)?,
            limits: LimitMetrics::register(registry)?,
            work: WorkMetrics::register(registry)?,
            returns: ReturnMetrics::register(registry)?,
            requests_at_server_crash: counters(
                "heatherknot_requests_at_server_ends_total",
                "Requests that a backend server had when it ended, by service",
                &["service"],
            )?,
            servers_reached: register_servers_reached(registry)?,
            truncated_responses: register_truncated_responses(registry)?,
            handed_over: register_handed_over(registry)?,
            home: HomeMetrics::register(registry)?,
            relayed: register_relayed(registry)?,
            refusals: counters(
                "heatherknot_refusals_total",
                "Refused requests by service and cause",
                &["service", "cause"],
            )?,
            admission: counters(
                "heatherknot_admission_total",
                "Requests for busy servers by service, urgency and verdict",
                &["service", "urgency", "verdict"],
            )?,
            unrouted: counters(
                "heatherknot_unrouted_total",
                "Requests that got no further than their route, by cause",
                &["cause"],
            )?,
            store_calls: register_store_calls(registry)?,
            rollout_stages: counters(
                "heatherknot_rollout_stages_total",
                "Rollout stages written by this VM, by service and stage",
                &["service", "stage"],
            )?,
            lookups: register_lookups(registry)?,
            catalog_version: gauge("heatherknot_config_version", "Configuration in force")?,
            store_copy: StoreCopyMetrics::register(registry)?,
            vms: gauge("heatherknot_vms", "Known VMs that are alive")?,
        })
    }
}

fn register_gauge(
    registry: &Registry,
    name: &str,
    help: &str,
) -> Result<IntGauge, prometheus::Error> {
    let gauge = IntGauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn register_counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, prometheus::Error> {
    let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(counters.clone()))?;
    Ok(counters)
}

fn register_retries(registry: &Registry) -> Result<IntCounterVec, prometheus::Error> {
    register_counters(
        registry,
        "heatherknot_retries_total",
        "Retries by service, and by the part of the budget that paid or as denied",
        &["service", "grant"],
    )
}

fn register_truncated_responses(registry: &Registry) -> Result<IntCounterVec, prometheus::Error> {
    register_counters(
        registry,
        "heatherknot_truncated_responses_total",
        "Responses of which callers got only a part, by service and sender",
        &["service", "sender"],
    )
}

fn register_handed_over(registry: &Registry) -> Result<IntCounterVec, prometheus::Error> {
    register_counters(
        registry,
        "heatherknot_handed_total",
        "Requests handed to the homes of their servers, by result",
        &["result"],
    )
}

fn register_relayed(registry: &Registry) -> Result<IntCounterVec, prometheus::Error> {
    register_counters(
        registry,
        "heatherknot_relayed_total",
        "Requests relayed to VMs that reach their servers, by reason and result",
        &["reason", "result"],
    )
}

fn register_servers_reached(registry: &Registry) -> Result<GaugeVec, prometheus::Error> {
    register_gauges(
        registry,
        "heatherknot_servers_reached",
        "Backend servers that this VM reaches, by service",
    )
}

fn register_store_calls(registry: &Registry) -> Result<IntCounterVec, prometheus::Error> {
    register_counters(
        registry,
        "heatherknot_store_calls_total",
        "Calls on the platform's store by result",
        &["result"],
    )
}

fn register_gauges(
    registry: &Registry,
    name: &str,
    help: &str,
) -> Result<GaugeVec, prometheus::Error> {
    let gauges = GaugeVec::new(Opts::new(name, help), &["service"])?;
    registry.register(Box::new(gauges.clone()))?;
    Ok(gauges)
}

fn register_lookups(registry: &Registry) -> Result<IntCounter, prometheus::Error> {
    let lookups = IntCounter::new("heatherknot_lookups_total", "Look-ups answered")?;
    registry.register(Box::new(lookups.clone()))?;
    Ok(lookups)
}

fn register_latency(registry: &Registry) -> Result<HistogramVec, prometheus::Error> {
    register_histogram(
        registry,
        "heatherknot_request_seconds",
        "Time from a request's head to its answer",
        &["service", "outcome"],
    )
}

fn register_histogram(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<HistogramVec, prometheus::Error> {
    let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
    let histogram = HistogramVec::new(opts, labels)?;
    registry.register(Box::new(histogram.clone()))?;
    Ok(histogram)
}
