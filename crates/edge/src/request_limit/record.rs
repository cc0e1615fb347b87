//! Records the limits that responses of backend servers state.

use heatherknot_types::prelude::*;
use http::HeaderMap;
use log::{info, warn};

use super::observed::{Observation, parse};
use crate::context::EdgeContext;
use crate::upstream::Upstream;

/// Maximum length of an invalid value in the log, in characters.
const MAX_LOGGED_VALUE_CHARS: usize = 40;

/// Records what a response says about its server's request limit. `is_genuine` says whether the
/// response certainly comes from that server; only then does a missing header remove the limit.
pub(crate) fn record_response(
    cx: &EdgeContext,
    upstream: &Upstream,
    headers: &HeaderMap,
    sent_at: Millis,
    is_genuine: bool,
) {
    let Ok(limit) = read_header(cx, upstream, headers) else {
        return;
    };
    if limit.is_none() && !is_genuine {
        return;
    }
    let observation = Observation {
        limit,
        sent_at,
        received_at: cx.now(),
    };
    apply(cx, upstream, observation, "own response");
}

/// Applies an observation and logs how it changed the limit; `source` says whose it is.
pub(crate) fn apply(cx: &EdgeContext, upstream: &Upstream, observation: Observation, source: &str) {
    let mut observed = upstream.request_limit.get();
    let before = observed.per_second();
    let change = observed.apply(observation);
    upstream.request_limit.set(observed);
    let Some(change) = change else {
        return;
    };
    if cx.request_limit_log.borrow_mut().try_take(cx.now()) {
        info!(upstream:% = upstream.id, service:% = upstream.service, change = change.label(),
            limit:? = observation.limit, before:? = before, source,
            age_ms = cx.now().since(observation.received_at).0; "request limit of a backend server changed");
    }
}

/// Returns the limit that a response states, if any.
///
/// # Errors
///
/// Returns an error if the header is invalid; the limit known before then stays in force.
fn read_header(
    cx: &EdgeContext,
    upstream: &Upstream,
    headers: &HeaderMap,
) -> Result<Option<f64>, ()> {
    let name = &cx.dialect.headers.request_limit;
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let parsed = match values.next() {
        Some(_) => Err("the header is repeated"),
        None => value.to_str().map_err(|_| "not text").and_then(parse),
    };
    parsed.map(Some).map_err(|cause| {
        if cx.request_limit_log.borrow_mut().try_take(cx.now()) {
            let value = String::from_utf8_lossy(value.as_bytes());
            let value: String = value.chars().take(MAX_LOGGED_VALUE_CHARS).collect();
            warn!(upstream:% = upstream.id, value = value.as_str(), cause;
                "a backend server states an invalid request limit");
        }
    })
}
