//! The gateway's own settings.

use heatherknot_http::PoolConfig;
use heatherknot_types::prelude::*;
use http::HeaderName;

use crate::once::RecordLimits;
use crate::slots::SlotTiming;

/// Bounds and signals of the request path. They are the same on every daemon.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// The response header with which a backend server says, as `1` beside status 503, that it
    /// did not run the request.
    pub not_run_header: HeaderName,
    /// The response header with which a backend server says, as `1`, that it is leaving.
    pub draining_header: HeaderName,
    /// The path of the backend servers' health answer: status 200 and JSON whose `draining` says
    /// whether the server is leaving. Without a path nothing is probed.
    pub health_path: Option<String>,
    /// How long an answer's word that its backend server is leaving counts.
    pub leaving_ttl: Millis,
    /// Largest request body that is held so that the request can be sent again, in bytes.
    pub replay_body: u64,
    /// Largest response body that is read whole before the response is passed on, in bytes.
    pub whole_answer: u64,
    /// Largest response body that is held for repeats, in bytes.
    pub stored_response_limit: usize,
    /// Bounds of the records of requests that run at most once.
    pub records: RecordLimits,
    /// How long a ticket lasts.
    pub ticket_term: Millis,
    /// How long a request with a caller's own key is remembered by the daemon that ran it.
    pub key_retention: Millis,
    /// The longest deadline that a caller may name.
    pub max_deadline: Millis,
    /// Times that one request is sent at most.
    pub max_attempts: u8,
    /// How long one message may wait for a slot at an upstream's home.
    pub max_slot_wait: Millis,
    /// How often the use of a slot is prolonged while an answer is streamed.
    pub slot_keep: Millis,
    /// Spans of the sharing of slots.
    pub slots: SlotTiming,
    /// Settings of the connections to backend servers; each upstream's own limit goes first.
    pub pool: PoolConfig,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        Self {
            not_run_header: HeaderName::from_static("x-not-run"),
            draining_header: HeaderName::from_static("x-draining"),
            health_path: Some("/healthz".to_owned()),
            leaving_ttl: Millis(30_000),
            replay_body: 64 * 1024,
            whole_answer: 16 * 1024,
            stored_response_limit: 64 * 1024,
            records: RecordLimits {
                records: 50_000,
                answer_bytes: 8 << 20,
            },
            ticket_term: Millis(120_000),
            key_retention: Millis(600_000),
            max_deadline: Millis(3_600_000),
            max_attempts: 3,
            max_slot_wait: Millis(1_000),
            slot_keep: Millis(5_000),
            slots: SlotTiming::default(),
            pool: PoolConfig::default(),
        }
    }
}
