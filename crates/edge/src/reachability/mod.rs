//! Observes whether this VM reaches the backend servers of each service.
//!
//! A VM can lose its links to all backend servers while callers, the store and other VMs still
//! reach it. Its failed connections then tell about the VM, not about the servers.

pub mod diagnosis;
pub(crate) mod probe;
pub mod state;

use heatherknot_http::SendError;
use heatherknot_types::prelude::*;
use log::{info, warn};

use crate::context::{EdgeContext, ServiceState};
use crate::reachability::state::ReachChange;
use crate::routing_state::RoutingState;
use crate::upstream::Upstream;

/// Records a response of a server.
pub(crate) fn record_response(cx: &EdgeContext, state: &ServiceState, upstream: &Upstream) {
    let change = state.reachability.record_response(cx.now());
    log_change(&upstream.service, change, upstream, "response");
}

/// Records that a server could not be reached or did not respond; `cause` says which.
pub(crate) fn record_failure(
    cx: &EdgeContext,
    state: &ServiceState,
    upstream: &Upstream,
    cause: &'static str,
) {
    let servers = cx.routing_state.borrow().upstreams(&upstream.service).len();
    let change = state
        .reachability
        .record_failure(&upstream.id, servers, cx.now());
    log_change(&upstream.service, change, upstream, cause);
}

/// Records that a server accepted a connection that a probe opened.
pub(crate) fn record_connection(cx: &EdgeContext, state: &ServiceState, upstream: &Upstream) {
    let servers = cx.routing_state.borrow().upstreams(&upstream.service).len();
    let change = state
        .reachability
        .record_connection(&upstream.id, servers, cx.now());
    log_change(&upstream.service, change, upstream, "probe connected");
}

/// Returns whether an error shows that the server can't be reached. A pooled connection that the
/// server closed while it was idle doesn't, nor does a limit of this VM's own.
pub(crate) fn is_unreached(error: &SendError) -> bool {
    match error {
        SendError::Connect { .. } | SendError::Silent { .. } => true,
        SendError::Broken { reused, .. } => !reused,
        SendError::PoolFull { .. }
        | SendError::Withheld { .. }
        | SendError::Expired { .. }
        | SendError::BadResponse { .. }
        | SendError::RequestBody { .. } => false,
    }
}

fn log_change(
    service: &ServiceName,
    change: Option<ReachChange>,
    upstream: &Upstream,
    cause: &'static str,
) {
    match change {
        Some(ReachChange::Lost { last_response_age }) => {
            warn!(service:%, upstream:% = upstream.id, cause, last_response_age_ms:? = last_response_age.map(|age| age.0);
                "no backend server of a service can be reached");
        }
        Some(ReachChange::Regained { after }) => {
            info!(service:%, upstream:% = upstream.id, cause, after_ms = after.0;
                "backend servers of a service can be reached again");
        }
        None => {}
    }
}

/// Updates the gauges of backend servers that this VM reaches.
pub(crate) fn update_metrics(cx: &EdgeContext, routing_state: &RoutingState) {
    let now = cx.now();
    for (service, state) in cx.services.borrow().iter() {
        let servers = routing_state.upstreams(service);
        let reached = match state.reachability.is_lost() {
            true => 0,
            false => servers.iter().filter(|u| u.is_reachable(now)).count(),
        };
        let gauge = &cx.metrics.servers_reached;
        gauge
            .with_label_values(&[service.as_str()])
            .set(reached as f64);
    }
}
