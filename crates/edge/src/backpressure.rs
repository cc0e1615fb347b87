//! What a backend server asks of this VM in its responses: to send it nothing for a while, or nothing
//! any more.

use std::cell::Cell;

use heatherknot_http::Response;
use heatherknot_types::prelude::*;
use http::header::RETRY_AFTER;
use http::{HeaderMap, StatusCode};
use log::{info, warn};

use crate::context::EdgeContext;
use crate::request_limit::observed;
use crate::routing_state::RoutingState;
use crate::upstream::Upstream;

/// Longest backoff that a server can ask for with one response.
const MAX_BACKOFF: Millis = Millis(600_000);
/// Shortest extension of a backoff that is logged. Each rejection of a request in flight extends it a
/// little.
const MIN_LOGGED_EXTENSION: Millis = Millis(1_000);
/// Maximum length of an invalid value in the log, in characters.
const MAX_LOGGED_VALUE_CHARS: usize = 40;

/// What a run of a backend server has asked of this VM.
#[derive(Debug, Default)]
pub struct RunSignals {
    backoff_until: Cell<Millis>,
    /// Number of requests that may be in flight while the load returns after a backoff.
    max_in_flight: Cell<Option<u32>>,
    /// Whether it is leaving, by a response of its own.
    is_leaving: Cell<bool>,
    /// Whether it is leaving, by its entry in the store.
    has_leaving_entry: Cell<bool>,
}

impl RunSignals {
    /// Starts a backoff, or extends it. A shorter one does not end the one in progress, which the
    /// server has asked for as well.
    pub fn back_off(&self, asked: Millis, now: Millis) {
        let until = now + asked.min(MAX_BACKOFF);
        self.backoff_until.set(until.max(self.backoff_until.get()));
        self.max_in_flight.set(Some(1));
    }

    /// Returns whether the server gets no further request at `now`, with `in_flight` of this VM there.
    ///
    /// After a backoff it gets one at a time, and one more with each response. The full load at once
    /// would make it reject again.
    pub fn holds_back(&self, in_flight: u32, now: Millis) -> bool {
        let is_full = self.max_in_flight.get().is_some_and(|max| in_flight >= max);
        is_full || self.is_in_backoff(now)
    }

    /// Records a response that accepted its request, from a server that runs `slots` at once.
    pub fn record_accepted(&self, slots: u32, now: Millis) {
        if let Some(max) = self
            .max_in_flight
            .get()
            .filter(|_| !self.is_in_backoff(now))
        {
            self.max_in_flight.set((max < slots).then_some(max + 1));
        }
    }

    /// Returns whether a backoff has ended and no response has come since.
    fn is_resuming(&self, now: Millis) -> bool {
        self.max_in_flight.get() == Some(1) && !self.is_in_backoff(now)
    }

    /// Records that the server is leaving. Returns whether this was not known before.
    pub fn leave(&self) -> bool {
        !self.is_leaving.replace(true)
    }

    /// Records whether the server is leaving by its entry.
    pub fn set_leaving_entry(&self, is_leaving: bool) {
        self.has_leaving_entry.set(is_leaving);
    }

    /// Returns whether the server is leaving by its entry.
    pub fn has_leaving_entry(&self) -> bool {
        self.has_leaving_entry.get()
    }

    /// Returns whether the server is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.get() || self.has_leaving_entry.get()
    }

    /// Returns whether the server has asked for no requests at `now`.
    pub fn is_in_backoff(&self, now: Millis) -> bool {
        now < self.backoff_until.get()
    }

    /// Returns the end of the latest backoff.
    pub fn backoff_until(&self) -> Millis {
        self.backoff_until.get()
    }
}

/// Parses a time in seconds, which may have a fraction.
///
/// # Errors
///
/// Returns what is wrong with the value if it isn't a finite decimal number of at least zero.
pub fn parse_backoff(text: &str) -> Result<Millis, &'static str> {
    let secs = observed::parse(text)?;
    Ok(Millis(
        (secs * 1000.0).min(MAX_BACKOFF.0 as f64).ceil() as u64
    ))
}

/// Records what a response asks for. Returns whether it states that the server is leaving.
pub(crate) fn record_response(cx: &EdgeContext, upstream: &Upstream, response: &Response) -> bool {
    let headers = &response.headers;
    if !is_own_response(cx, response) {
        return false;
    }
    if !headers.contains_key(&cx.dialect.headers.not_run) {
        let slots = upstream.slots.get();
        upstream.signals.record_accepted(slots, cx.now());
    }
    if response.status == StatusCode::SERVICE_UNAVAILABLE
        && let Some(asked) = read_backoff(cx, upstream, headers).filter(|asked| asked.0 > 0)
    {
        record_backoff(cx, upstream, asked);
    }
    let leaving = headers.get(&cx.dialect.headers.leaving);
    let is_leaving = leaving.is_some_and(|value| value.as_bytes().trim_ascii() == b"1");
    if is_leaving {
        record_leaving(upstream, "own response");
    }
    is_leaving
}

/// Returns whether a response certainly comes from the server that the request was sent to. Another
/// server at its address, or an intermediary, may have responded in its place.
fn is_own_response(cx: &EdgeContext, response: &Response) -> bool {
    let (names, headers) = (&cx.dialect.headers, &response.headers);
    let is_marked = headers.contains_key(&names.signature) || headers.contains_key(&names.not_run);
    is_marked && response.status != StatusCode::MISDIRECTED_REQUEST
}

/// Records that a server is leaving, as learnt from `source`.
pub(crate) fn record_leaving(upstream: &Upstream, source: &str) {
    if upstream.signals.leave() {
        info!(upstream:% = upstream.id, service:% = upstream.service, source,
            in_flight = upstream.in_flight(); "a response states that a backend server is leaving");
    }
}

/// Returns the backoff that a rejection asks for, if any. An invalid one is logged and ignored.
fn read_backoff(cx: &EdgeContext, upstream: &Upstream, headers: &HeaderMap) -> Option<Millis> {
    let value = headers.get(RETRY_AFTER)?;
    let text = value.to_str().map_err(|_| "not text");
    match text.and_then(parse_backoff) {
        Ok(asked) => Some(asked),
        Err(cause) => {
            if cx.backoff_log.borrow_mut().try_take(cx.now()) {
                let value = String::from_utf8_lossy(value.as_bytes());
                let value: String = value.chars().take(MAX_LOGGED_VALUE_CHARS).collect();
                warn!(upstream:% = upstream.id, value = value.as_str(), cause;
                    "a backend server asks for an invalid backoff");
            }
            None
        }
    }
}

fn record_backoff(cx: &EdgeContext, upstream: &Upstream, asked: Millis) {
    let now = cx.now();
    let end_before = upstream.signals.backoff_until();
    upstream.signals.back_off(asked, now);
    if now < end_before {
        let extension = upstream.signals.backoff_until().since(end_before);
        if extension >= MIN_LOGGED_EXTENSION {
            info!(upstream:% = upstream.id, service:% = upstream.service, asked_ms = asked.0;
                "backend server extended its backoff");
        }
        return;
    }
    let counter = &cx.metrics.backpressure.backoffs;
    let labels = [upstream.service.as_str()];
    counter.with_label_values(&labels).inc();
    info!(upstream:% = upstream.id, service:% = upstream.service, asked_ms = asked.0,
        in_flight = upstream.in_flight(); "backend server asked for a backoff");
}

/// Logs the first send to a server after a backoff.
pub(crate) fn record_send(cx: &EdgeContext, upstream: &Upstream) {
    let now = cx.now();
    if upstream.signals.is_resuming(now) {
        let ended = upstream.signals.backoff_until();
        info!(upstream:% = upstream.id, service:% = upstream.service, ended_before_ms = now.since(ended).0;
            "backend server gets requests again after a backoff");
    }
}

/// Returns whether a request that was selected for a server may still be sent there. Counts it if not.
pub(crate) fn may_send(cx: &EdgeContext, upstream: &Upstream) -> bool {
    let is_evacuated = cx.routing_state.borrow().is_evacuated(&upstream.domain);
    let is_in_backoff = upstream.signals.is_in_backoff(cx.now());
    let may_send = upstream.accepts_requests() && !is_evacuated && !is_in_backoff;
    if !may_send {
        let counter = &cx.metrics.backpressure.withheld;
        counter
            .with_label_values(&[upstream.service.as_str()])
            .inc();
    }
    may_send
}

/// Updates the number of servers in a backoff, by service.
pub(crate) fn update_metrics(cx: &EdgeContext, routing_state: &RoutingState) {
    let now = cx.now();
    for service in cx.services.borrow().keys() {
        let servers = routing_state.upstreams(service);
        let backing_off = servers.iter().filter(|u| u.signals.is_in_backoff(now));
        let gauge = &cx.metrics.backpressure.servers;
        gauge
            .with_label_values(&[service.as_str()])
            .set(backing_off.count() as f64);
    }
}
