//! Operators' view of the request limits of backend servers.

use std::rc::Rc;

use heatherknot_http::Response;
use heatherknot_types::prelude::*;
use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::context::EdgeContext;
use crate::routing_state::RoutingState;
use crate::upstream::Upstream;

/// Path of the request limits on the metrics address.
pub const LIMITS_PATH: &str = "/limits";

/// What one VM knows of the request limit of one backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitStatus {
    /// The server.
    pub upstream: UpstreamName,
    /// Service that it runs.
    pub service: ServiceName,
    /// Requests per second that it takes from all VMs together.
    pub per_second: f64,
    /// Time since a response last stated the limit, in milliseconds.
    pub age_ms: Millis,
    /// The VM that issues the permits, as far as this VM knows.
    pub issuer: Option<VmName>,
    /// Requests that this VM sent to it in the last four seconds.
    pub sent: u32,
    /// Permits issued to all VMs in the last four seconds, if this VM issues them.
    pub issued: Option<u32>,
    /// Number of times that a request got no permit on this VM.
    pub held_back: u64,
}

/// Returns the status of all servers with a request limit, sorted by name.
pub(crate) fn statuses(cx: &EdgeContext) -> Vec<LimitStatus> {
    let routing_state = cx.routing_state.borrow();
    let all = routing_state.all_upstreams();
    let mut all: Vec<LimitStatus> = all.filter_map(|u| status_of(cx, u)).collect();
    all.sort_by(|a, b| a.upstream.cmp(&b.upstream));
    all
}

fn status_of(cx: &EdgeContext, upstream: &Rc<Upstream>) -> Option<LimitStatus> {
    let now = cx.now();
    let mut state = upstream.request_limit.borrow_mut();
    let state = state.as_mut()?;
    let latest = state.observed.latest()?;
    let per_second = latest.limit?;
    let issuer = cx.request_limits.issuer_of(upstream);
    let is_issuer = issuer.as_ref() == Some(&cx.cfg.vm);
    Some(LimitStatus {
        upstream: upstream.id.clone(),
        service: upstream.service.clone(),
        per_second,
        age_ms: now.since(latest.received_at),
        issuer,
        sent: state.recently_sent(now),
        issued: state.recently_issued(now).filter(|_| is_issuer),
        held_back: state.held_back(),
    })
}

/// Updates the gauges of limited servers.
pub(crate) fn update_metrics(cx: &EdgeContext, routing_state: &RoutingState) {
    let metrics = &cx.metrics.limits;
    metrics.servers.reset();
    metrics.per_second.reset();
    for upstream in routing_state.all_upstreams() {
        let state = upstream.request_limit.borrow();
        let limit = state.as_ref().and_then(|state| state.observed.per_second());
        if let Some(limit) = limit {
            let labels = [upstream.service.as_str()];
            metrics.servers.with_label_values(&labels).inc();
            metrics.per_second.with_label_values(&labels).add(limit);
        }
    }
}

/// Returns the page of the metrics address that lists the limits.
pub(crate) fn page(cx: &EdgeContext) -> Response {
    match serde_json::to_vec(&statuses(cx)) {
        Ok(body) => Response::json(StatusCode::OK, body),
        Err(error) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}
