//! The daemon's own pages, which need no operator's key: metrics, and what it says of itself.

use heatherknot_http::Response;
use heatherknot_types::prelude::*;
use http::StatusCode;
use prometheus::TextEncoder;
use serde::{Deserialize, Serialize};

use crate::context::DaemonContext;

/// The path of the metrics, as Prometheus text.
pub const METRICS_PATH: &str = "/metrics";
/// The path of what the daemon says of itself, as JSON.
pub const DAEMON_PATH: &str = "/v1/daemon";

/// What a daemon says of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// The VM.
    pub vm: VmName,
    /// The run of the daemon.
    pub incarnation: Incarnation,
    /// The failure domain.
    pub domain: DomainName,
    /// The revision in force.
    pub revision: Revision,
    /// How long it has been in force.
    pub in_force_ms: Millis,
    /// This VM's part of its failure domain's capacity, in thousandths.
    pub capacity_part: u16,
    /// Requests in flight.
    pub in_flight: usize,
    /// Whether a planned stop has begun.
    pub leaving: bool,
    /// A newer revision that the daemon can't read, and why.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unreadable: Option<String>,
    /// What the daemon waits for while it has no settings.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waiting_for: Option<String>,
}

/// Gives the status of this daemon.
pub fn status(cx: &DaemonContext) -> DaemonStatus {
    let relay = cx.relay.status();
    DaemonStatus {
        vm: cx.me.vm.clone(),
        incarnation: cx.me.incarnation,
        domain: cx.cfg.domain.clone(),
        revision: cx.holder.borrow().revision(),
        in_force_ms: cx.clock.now().since(cx.in_force_since.get()),
        capacity_part: cx.steering.borrow().capacity_part(),
        in_flight: cx.gateway.in_flight(),
        leaving: cx.leaving.is_fired(),
        unreadable: relay
            .refused
            .map(|(revision, why)| format!("{revision}: {why}")),
        waiting_for: relay.waiting_for,
    }
}

/// Answers a request for one of the daemon's own pages, or gives nothing for other paths.
pub fn answer(cx: &DaemonContext, path: &str) -> Option<Response> {
    match path {
        METRICS_PATH => Some(metrics(cx)),
        DAEMON_PATH => Some(daemon(cx)),
        _ => None,
    }
}

fn metrics(cx: &DaemonContext) -> Response {
    let traffic = cx.net.traffic();
    cx.metrics.peer_sent.set(traffic.bytes_out.get() as i64);
    cx.metrics.peer_received.set(traffic.bytes_in.get() as i64);
    match TextEncoder::new().encode_to_string(&cx.registry.gather()) {
        Ok(text) => Response::text(StatusCode::OK, text),
        Err(error) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

fn daemon(cx: &DaemonContext) -> Response {
    let body = serde_json::to_vec(&status(cx)).expect("a status always serialises");
    Response::json(StatusCode::OK, body)
}
