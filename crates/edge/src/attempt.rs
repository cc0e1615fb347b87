//! One send of a request to one backend server.

use std::pin::pin;
use std::time::Duration;

use futures_util::future::{Either, select};
use heatherknot_http::{Body, Handed, RequestHead, Response, SendError, SendOptions};
use heatherknot_types::outcome::OUTCOME_HEADER;
use heatherknot_types::prelude::*;
use http::{HeaderMap, HeaderValue, StatusCode};

use crate::call::Call;
use crate::context::EdgeContext;
use crate::selection::Candidate;
use crate::switches::Mechanism;
use crate::upstream::{InFlightGuard, ServerLoad};

/// The longest response body that is read whole before the caller gets its first byte. A
/// short answer that breaks off can then still be had from another server.
const HELD_ANSWER: u64 = 64 * 1024;

/// How many times as long as usual a request must go unanswered to count against its server.
/// Callers that leave early say nothing of it.
const SLOW_FROM: f64 = 2.0;
/// How many times as long as usual a server must answer nothing to be taken for hanging. Work
/// without a kept object takes four times as long, and a few requests wait before it.
const HANGS_FROM: f64 = 5.0;

/// What came of one send.
pub(crate) enum Attempt {
    /// An answer for the caller.
    Answer(Response),
    /// The backend server's own answer that it failed.
    Failure(Response),
    /// The backend server did not run the request and never will.
    NotRun(&'static str),
    /// No byte of the request reached the backend server.
    NotSent(&'static str),
    /// The backend server may have run the request; there is no usable answer.
    Unknown(&'static str),
    /// The same, as the connection broke.
    Broken(&'static str),
    /// The time ran out.
    Late,
    /// The caller has disconnected.
    CallerGone,
}

impl Attempt {
    /// Gives the value of the metric's label.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Attempt::Answer(_) => "answered",
            Attempt::Failure(_) => "failed",
            Attempt::NotRun(_) => "not-run",
            Attempt::NotSent(_) => "not-sent",
            Attempt::Unknown(_) => "unknown",
            Attempt::Broken(_) => "broken",
            Attempt::Late => "late",
            Attempt::CallerGone => "caller-gone",
        }
    }
}

/// Sends a request to the backend server of `prospect`.
pub(crate) async fn send(cx: &EdgeContext, call: &mut Call, prospect: &Candidate) -> Attempt {
    let Some(body) = call.body.take() else {
        return Attempt::NotSent("its body can't be sent again");
    };
    let cancelled = call.cancelled.wait();
    let call = &*call;
    let sent = cx.now();
    let sending = pin!(exchange(cx, call, body, prospect));
    let attempt = match select(sending, cancelled).await {
        Either::Left((attempt, _)) => attempt,
        // Dropping the exchange closes its connection, by which the server stops its work.
        Either::Right(_) => Attempt::CallerGone,
    };
    if matches!(attempt, Attempt::Late | Attempt::CallerGone) {
        learn_unanswered(cx, call, prospect, sent);
    }
    attempt
}

/// Takes in that a request got no answer from `sent` until now.
///
/// A server that has become slow answers nothing in time, so its answers alone would never
/// tell that it is slow, and it would go on getting its part of the requests. One that has
/// answered nobody meanwhile hangs, or is cut off in a way that no connection shows: it is left
/// alone as one that can't be reached. Otherwise each request for one of its objects would wait
/// for nothing, for as long as it hangs.
fn learn_unanswered(cx: &EdgeContext, call: &Call, prospect: &Candidate, sent: Millis) {
    let upstream = &prospect.upstream;
    let now = cx.now();
    let kept = upstream.likely_caches(call.object, now);
    let waited = now.since(sent);
    let slowness = call.state.pace.slowness(&upstream.region, kept, waited);
    let Some(slowness) = slowness.filter(|slowness| *slowness >= SLOW_FROM) else {
        return;
    };
    upstream.record_unanswered(slowness, now);
    let hangs = slowness >= HANGS_FROM && upstream.is_silent_since(sent);
    if hangs && cx.switches.is_on(Mechanism::HangingServers) {
        log::info!(upstream:% = upstream.id, waited_ms = waited.0; "a backend server answers nothing and is left alone");
        upstream.record_hang(waited, now);
    }
}

async fn exchange(cx: &EdgeContext, call: &Call, body: Body, prospect: &Candidate) -> Attempt {
    let upstream = &prospect.upstream;
    let sent = cx.now();
    let Some(head) = head_for(cx, call, prospect, sent) else {
        return Attempt::NotSent("its server's identifier is no header value");
    };
    let flight = upstream.start_request();
    let options = SendOptions {
        deadline: Some(call.deadline),
        idempotent: call.route.idempotent,
        new_connection: false,
    };
    let mut response = match upstream.pool.send(head, body, options).await {
        Ok(response) => response,
        Err(error) => return failed(cx, call, prospect, &error),
    };
    // Only a daemon says what became of a request. A server that could would have its runs counted
    // as none against its account's limit.
    response.headers.remove(OUTCOME_HEADER);
    upstream.record_response(cx.now());
    note_load(cx, call, prospect, &response.headers, sent);
    if let Some(attempt) = refused(cx, prospect, &response) {
        return attempt;
    }
    if !is_own_answer(cx, &response) {
        upstream.record_error_response(cx.now());
        return Attempt::Unknown("the response is not the server's own");
    }
    match hold(call, cx, response).await {
        Ok(response) => answered(cx, call, prospect, response, sent, flight),
        Err(cause) => {
            upstream.record_error_response(cx.now());
            Attempt::Broken(cause)
        }
    }
}

/// Makes the head of a request to one server: who may run it, and how long it may take.
fn head_for(
    cx: &EdgeContext,
    call: &Call,
    prospect: &Candidate,
    now: Millis,
) -> Option<RequestHead> {
    let names = &cx.dialect.headers;
    let server = HeaderValue::from_str(prospect.upstream.id.as_str()).ok()?;
    let mut head = call.head.clone();
    let left = HeaderValue::from(call.left(now).0);
    head.headers.insert(&names.time_left, left);
    head.headers.insert(&names.expected_server, server);
    Some(head)
}

/// Takes in a server's own answer, whatever its status.
fn answered(
    cx: &EdgeContext,
    call: &Call,
    prospect: &Candidate,
    response: Response,
    sent: Millis,
    flight: InFlightGuard,
) -> Attempt {
    if response.status.is_server_error() {
        prospect.upstream.record_error_response(cx.now());
        return Attempt::Failure(response);
    }
    if response.status.is_success() {
        if let Some(bytes) = response.body.known_len() {
            cx.route(&call.route.name)
                .record_bytes(bytes + call.body.len());
        }
        learn(cx, call, prospect, cx.now().since(sent));
    }
    let Response {
        status,
        headers,
        body,
    } = response;
    // The request counts as in flight until the caller has all of the answer.
    Attempt::Answer(Response {
        status,
        headers,
        body: body.with_guard(flight),
    })
}

/// Reads a short body whole; a longer one is passed on as it comes.
pub(crate) async fn hold(
    call: &Call,
    cx: &EdgeContext,
    response: Response,
) -> Result<Response, &'static str> {
    let Response {
        status,
        headers,
        body,
    } = response;
    if body.known_len().is_none_or(|len| len > HELD_ANSWER) {
        return Ok(Response {
            status,
            headers,
            body,
        });
    }
    let left = Duration::from_millis(call.left(cx.now()).0.max(1));
    match monoio::time::timeout(left, body.collect(HELD_ANSWER as usize)).await {
        Ok(Ok(bytes)) => {
            let body = Body::full(bytes);
            Ok(Response {
                status,
                headers,
                body,
            })
        }
        Ok(Err(_)) => Err("the response broke off"),
        Err(_) => Err("the response did not end in time"),
    }
}

/// Tells a response by which the server says that it did not run the request.
fn refused(cx: &EdgeContext, prospect: &Candidate, response: &Response) -> Option<Attempt> {
    let upstream = &prospect.upstream;
    if response.status == StatusCode::MISDIRECTED_REQUEST {
        // The server is gone and another one answers at its address.
        log::info!(upstream:% = upstream.id, address:% = upstream.pool.address(); "another server answers at a backend server's address");
        upstream.replaced.set(true);
        return Some(Attempt::NotRun("another server has the address"));
    }
    if response.headers.contains_key(&cx.dialect.headers.not_run) {
        upstream.record_error_response(cx.now());
        return Some(Attempt::NotRun("the server refused it unrun"));
    }
    None
}

/// Says whether a response was made by a backend server, as its signature shows. A response
/// without one may be an error page of something on the way, or half of another response.
fn is_own_answer(cx: &EdgeContext, response: &Response) -> bool {
    let signed = response.headers.contains_key(&cx.dialect.headers.signature);
    signed || !response.status.is_success()
}

fn note_load(
    cx: &EdgeContext,
    call: &Call,
    prospect: &Candidate,
    headers: &HeaderMap,
    sent: Millis,
) {
    let told = headers.get(&cx.dialect.headers.server_load);
    let load = told.and_then(|v| ServerLoad::parse(v.to_str().ok()?));
    if let Some(load) = load {
        let now = cx.now();
        let others = prospect.upstream.record_load(load, now);
        call.state.pace.record_other_load(others, now);
        let is_own = prospect.upstream.region == cx.region;
        if cx.route(&call.route.name).may_spill_over(cx.switches) {
            call.state.spill.record(is_own, load, now.since(sent), now);
        }
    }
}

fn failed(cx: &EdgeContext, call: &Call, prospect: &Candidate, error: &SendError) -> Attempt {
    let upstream = &prospect.upstream;
    let now = cx.now();
    log::debug!(id = call.id(cx), upstream:% = upstream.id, error:% = error; "a send failed");
    if matches!(error, SendError::RequestBody { .. }) {
        return match error.handed() {
            Handed::NotSent => Attempt::NotSent("the caller's body broke off"),
            Handed::MaySent => Attempt::Unknown("the caller's body broke off"),
        };
    }
    // A kept connection that was closed by the server says nothing about the server.
    if !error.is_stale_connection() && !matches!(error, SendError::Expired { .. }) {
        upstream.record_connection_failure(now);
    }
    match (error.handed(), now >= call.deadline) {
        (Handed::NotSent, _) => Attempt::NotSent("the server could not be reached"),
        (Handed::MaySent, true) => Attempt::Late,
        (Handed::MaySent, false) => Attempt::Broken("the connection to the server broke"),
    }
}

/// Takes in how long a good answer took.
fn learn(cx: &EdgeContext, call: &Call, prospect: &Candidate, took: Millis) {
    let upstream = &prospect.upstream;
    let now = cx.now();
    let kept = upstream.likely_caches(call.object, now);
    let slowness = prospect.has_free_slot.then(|| {
        let slowness = call.state.pace.slowness(&upstream.region, kept, took);
        call.state.pace.record(&upstream.region, kept, took);
        slowness
    });
    upstream.record_success(call.object, slowness.flatten(), now);
}
