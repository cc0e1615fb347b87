//! Settings of the gateway itself.

use heatherknot_http::PoolConfig;
use heatherknot_types::prelude::*;
use http::HeaderName;

use crate::once::RecordLimits;
use crate::slots::SlotTiming;

/// Limits, timeouts and header names of the request path. They are the same on every daemon.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// The response header that a backend server sets to `1`, with status 503, if it did not run
    /// the request.
    pub not_run_header: HeaderName,
    /// The response header that a backend server sets to `1` if it is leaving.
    pub draining_header: HeaderName,
    /// The path of the backend servers' health check. It returns status 200 and a JSON object whose
    /// field `draining` says whether the server is leaving. Without a path there are no probes.
    pub health_path: Option<String>,
    /// How long a backend server counts as leaving after a response with the draining header, in
    /// milliseconds.
    pub leaving_ttl: Millis,
    /// The largest request body that is buffered so that the request can be retried, in bytes.
    pub buffered_request_limit: u64,
    /// The largest response body that is read completely before the response is delivered, in
    /// bytes.
    pub buffered_response_limit: u64,
    /// The largest response body that is stored to answer repeats, in bytes.
    pub stored_response_limit: usize,
    /// The limits of the records of requests that run at most once.
    pub records: RecordLimits,
    /// How long a ticket is valid, in milliseconds.
    pub ticket_ttl: Millis,
    /// How long the daemon that ran a request with a caller's own key keeps its record, in
    /// milliseconds.
    pub key_retention: Millis,
    /// The longest deadline that a caller may set, in milliseconds.
    pub max_deadline: Millis,
    /// The maximum number of times that a request is sent.
    pub max_attempts: u8,
    /// How long a single call to an upstream's home may wait for a slot, in milliseconds.
    pub max_slot_wait: Millis,
    /// How often a slot is renewed while a response is streamed, in milliseconds.
    pub slot_renew_interval: Millis,
    /// The timing of slot sharing.
    pub slots: SlotTiming,
    /// Settings of the connection pools to backend servers. The connection limit of each upstream
    /// takes precedence.
    pub pool: PoolConfig,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        Self {
            not_run_header: HeaderName::from_static("x-not-run"),
            draining_header: HeaderName::from_static("x-draining"),
            health_path: Some("/healthz".to_owned()),
            leaving_ttl: Millis(30_000),
            buffered_request_limit: 64 * 1024,
            buffered_response_limit: 16 * 1024,
            stored_response_limit: 64 * 1024,
            records: RecordLimits {
                records: 50_000,
                answer_bytes: 8 << 20,
            },
            ticket_ttl: Millis(120_000),
            key_retention: Millis(600_000),
            max_deadline: Millis(3_600_000),
            max_attempts: 3,
            max_slot_wait: Millis(1_000),
            slot_renew_interval: Millis(5_000),
            slots: SlotTiming::default(),
            pool: PoolConfig::default(),
        }
    }
}
