//! What the log tells of a request: a line for each send, with what decided it, and one for
//! its end.
//!
//! Lines are written at the end of a request, when it is known whether it went well. Those of
//! requests that failed, were refused or came late are always written. Of the others every VM
//! tells the same small part, drawn by the request's identifier, so that all lines of a
//! request are there or none.

use heatherknot_http::Response;
use heatherknot_types::hash;
use heatherknot_types::prelude::*;
use http::StatusCode;
use log::info;

use crate::accounts::Account;
use crate::attempt::Attempt;
use crate::call::{Call, Unroutable};
use crate::context::EdgeContext;
use crate::forward::Tries;
use crate::quota::meter::OverLimit;
use crate::selection::Candidate;

/// Of the requests that went well, one in this many is told of.
const SAMPLED: u64 = 64;

/// One send of a request.
pub(crate) struct Sent {
    at: Millis,
    took: Millis,
    upstream: UpstreamName,
    region: RegionName,
    result: &'static str,
    cause: &'static str,
    warm: bool,
    free: bool,
    expected: u64,
    load: f64,
    load_age: Millis,
    own: u32,
}

impl Sent {
    /// Notes a send that began at `at`.
    pub(crate) fn new(
        cx: &EdgeContext,
        call: &Call,
        prospect: &Candidate,
        at: Millis,
        attempt: &Attempt,
    ) -> Self {
        let upstream = &prospect.upstream;
        let cause = match attempt {
            Attempt::NotRun(cause)
            | Attempt::NotSent(cause)
            | Attempt::Unknown(cause)
            | Attempt::Broken(cause) => cause,
            Attempt::Answer(_) | Attempt::Failure(_) | Attempt::Late | Attempt::CallerGone => "",
        };
        Self {
            at: at.since(call.started),
            took: cx.now().since(at),
            upstream: upstream.id.clone(),
            region: upstream.region.clone(),
            result: attempt.label(),
            cause,
            warm: prospect.is_warm,
            free: prospect.has_free_slot,
            expected: prospect.response_ms as u64,
            load: prospect.load,
            load_age: prospect.load_age,
            own: prospect.own_in_flight,
        }
    }
}

/// Counts the end of a request, and tells its story where it is one to be told.
pub(crate) fn tell(cx: &EdgeContext, call: &Call, tries: &Tries, response: &Response) {
    let outcome = match response.status {
        status if status.is_success() => "answered",
        StatusCode::SERVICE_UNAVAILABLE => "not-run",
        _ => "failed",
    };
    let took = cx.now().since(call.started);
    let labels = [call.service.as_str(), outcome];
    cx.metrics.requests.with_label_values(&labels).inc();
    let latency = cx.metrics.latency.with_label_values(&labels);
    latency.observe(took.as_secs_f64());
    let went_well = outcome == "answered" && took <= call.route.latency_target;
    let id = call.id(cx);
    if went_well && !hash::digest(id.as_bytes()).is_multiple_of(SAMPLED) {
        return;
    }
    for (number, sent) in tries.sent.iter().enumerate() {
        tell_send(id, number + 1, sent);
    }
    if let Some(best) = &tries.refused_by {
        info!(id, upstream:% = best.upstream.id, region:% = best.upstream.region, warm = best.is_warm,
            expected_ms = best.response_ms as u64, load = best.load,
            load_age_ms = best.load_age.0; "best server, too late");
    }
    let account = call
        .account
        .as_ref()
        .map_or("", |account| account.name.as_str());
    info!(id, route:% = call.route.name, account, service:% = call.service, object = call.object,
        config = call.catalog.version, outcome, status = response.status.as_u16(), took_ms = took.0,
        target_ms = call.route.latency_target.0, given_ms = call.deadline.since(call.started).0,
        sends = tries.sent.len(), cause = tries.cause, store_age_ms = cx.feed.age().unwrap_or_default().0;
        "request ended");
}

/// Counts a request that got no further than its route, and tells its story.
pub(crate) fn tell_unrouted(
    cx: &EdgeContext,
    id: &str,
    unroutable: &Unroutable,
    response: &Response,
) {
    let cause = unroutable.cause();
    cx.metrics.unrouted.with_label_values(&[cause]).inc();
    let config = cx
        .world
        .borrow()
        .catalog()
        .map_or(0, |catalog| catalog.version);
    if let Unroutable::OverLimit(account, over) = unroutable {
        return tell_over_limit(cx, id, config, account, over);
    }
    info!(id, status = response.status.as_u16(), cause, config,
        store_age_ms = cx.feed.age().unwrap_or_default().0; "request not routed");
}

/// Tells of a request that its account's limit refused. Of those every VM tells a few a second:
/// an account that sends many times its limit would else fill the log.
fn tell_over_limit(cx: &EdgeContext, id: &str, config: u64, account: &Account, over: &OverLimit) {
    if !cx.refused_lines.borrow_mut().take(cx.now()) {
        return;
    }
    let limit = account.limit.map_or(0.0, |limit| limit.per_second);
    info!(id, status = 429, account:% = account.name, limit, config,
        part:? = over.fraction, told_ms_ago:? = over.fraction_age.map(|age| age.0), come_back_ms = over.retry_after.0;
        "request over its account's limit");
}

fn tell_send(id: &str, number: usize, sent: &Sent) {
    info!(id, send = number, at_ms = sent.at.0, took_ms = sent.took.0, upstream:% = sent.upstream,
        region:% = sent.region, result = sent.result, cause = sent.cause, warm = sent.warm,
        free = sent.free, expected_ms = sent.expected, load = sent.load,
        load_age_ms = sent.load_age.0, own = sent.own; "request sent");
}
