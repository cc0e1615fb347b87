//! Records the limits that responses of backend servers state.

use std::rc::Rc;

use heatherknot_types::prelude::*;
use http::{HeaderMap, HeaderName};
use log::warn;

use super::exchange;
use super::observed::{Observation, parse};
use super::state::RequestLimits;
use crate::context::EdgeContext;
use crate::upstream::Upstream;

/// Maximum length of an invalid value in the log, in characters.
const MAX_LOGGED_VALUE_CHARS: usize = 40;

/// Counts a send if its server has a request limit.
pub(crate) fn record_send(cx: &EdgeContext, upstream: &Upstream) {
    let mut state = upstream.request_limit.borrow_mut();
    if let Some(state) = state.as_mut().filter(|state| state.is_limited()) {
        state.record_send(cx.now());
        let counter = &cx.metrics.limits.sends;
        counter
            .with_label_values(&[upstream.service.as_str()])
            .inc();
    }
}

/// Records what a response says about its server's request limit. `is_genuine` says whether the
/// response certainly comes from that server; only then does a missing header remove the limit.
pub(crate) fn record_response(
    cx: &Rc<EdgeContext>,
    upstream: &Rc<Upstream>,
    headers: &HeaderMap,
    sent_at: Millis,
    is_genuine: bool,
) {
    let limits = &cx.request_limits;
    let Ok(limit) = read_header(limits, upstream, headers, &cx.dialect.headers.request_limit)
    else {
        return;
    };
    if limit.is_none() && !(is_genuine && upstream.is_limited()) {
        return;
    }
    let observation = Observation {
        limit,
        sent_at,
        received_at: cx.now(),
    };
    if limits
        .observe(upstream, observation, "own response")
        .is_some()
    {
        monoio::spawn(exchange::report(Rc::clone(cx), Rc::clone(upstream)));
    }
}

/// Returns the limit that a response states, if any.
///
/// # Errors
///
/// Returns an error if the header is invalid; the limit known before then stays in force.
fn read_header(
    limits: &RequestLimits,
    upstream: &Upstream,
    headers: &HeaderMap,
    name: &HeaderName,
) -> Result<Option<f64>, ()> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let parsed = match values.next() {
        Some(_) => Err("the header is repeated"),
        None => value.to_str().map_err(|_| "not text").and_then(parse),
    };
    parsed.map(Some).map_err(|cause| {
        if limits.log_limit.borrow_mut().try_take(limits.timer.now()) {
            let value = String::from_utf8_lossy(value.as_bytes());
            let value: String = value.chars().take(MAX_LOGGED_VALUE_CHARS).collect();
            warn!(upstream:% = upstream.id, value = value.as_str(), cause;
                "a backend server states an invalid request limit");
        }
    })
}
