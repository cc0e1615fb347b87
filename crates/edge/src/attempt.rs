//! A single send of a request to one backend server.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{Either, select};
use heatherknot_http::{Body, RequestHead, Response, SendError, SendOptions, SendProgress};
use heatherknot_types::outcome::OUTCOME_HEADER;
use heatherknot_types::prelude::*;
use http::{HeaderMap, HeaderValue, StatusCode};

use crate::backpressure;
use crate::call::Call;
use crate::context::EdgeContext;
use crate::hand_over;
use crate::machine_speed;
use crate::reachability;
use crate::reachability::diagnosis::{self, Diagnosis};
use crate::request_limit;
use crate::request_log::{self, ResponseSender};
use crate::request_work;
use crate::rollout::evidence::RequestKind;
use crate::rollout::state::{ObservedSend, SendResult};
use crate::selection::Candidate;
use crate::switches::Mechanism;
use crate::upstream::{InFlightGuard, ServerLoad};

/// Longest response body, in bytes, that is read completely before the caller gets its first byte.
/// If a short response breaks off, another server can then still answer the request.
const MAX_BUFFERED_RESPONSE_BYTES: u64 = 64 * 1024;

/// Multiple of the usual latency after which an unanswered request counts against its server. A
/// caller that disconnects earlier tells nothing about the server.
const SLOW_FACTOR: f64 = 2.0;
/// Multiple of the usual latency after which a server that has answered nothing is considered hung.
/// Work on an object that the server doesn't have cached takes four times as long as on a cached
/// one, and a few requests may be queued before it.
const HANG_FACTOR: f64 = 5.0;

/// Outcome of one send.
pub(crate) enum SendOutcome {
    /// A response for the caller.
    Answer(Response),
    /// The backend server's own error response.
    Failure(Response),
    /// The backend server did not run the request and never will.
    NotRun(&'static str),
    /// No byte of the request reached the backend server.
    NotSent(&'static str),
    /// The request was withheld, because the backend server no longer takes requests.
    Withheld(&'static str),
    /// The backend server may have run the request, but there is no usable response.
    Unknown(&'static str),
    /// Like `Unknown`, because the connection or the response broke off.
    Broken(&'static str),
    /// The deadline passed.
    TimedOut,
    /// The caller disconnected.
    CallerDisconnected,
}

impl SendOutcome {
    /// Returns the value of the metrics label and the log field.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            SendOutcome::Answer(_) => "answered",
            SendOutcome::Failure(_) => "failed",
            SendOutcome::NotRun(_) => "not-run",
            SendOutcome::NotSent(_) => "not-sent",
            SendOutcome::Withheld(_) => "withheld",
            SendOutcome::Unknown(_) => "unknown",
            SendOutcome::Broken(_) => "broken",
            SendOutcome::TimedOut => "late",
            SendOutcome::CallerDisconnected => "caller-gone",
        }
    }

    /// Returns whether the server has certainly not run the request.
    fn is_not_run(&self) -> bool {
        matches!(
            self,
            SendOutcome::NotRun(_) | SendOutcome::NotSent(_) | SendOutcome::Withheld(_)
        )
    }

    /// Returns what the outcome says about the version of the server.
    fn as_evidence(&self) -> SendResult {
        match self {
            SendOutcome::Answer(_) => SendResult::Answered,
            SendOutcome::Failure(_) | SendOutcome::Broken(_) | SendOutcome::TimedOut => {
                SendResult::Failed
            }
            SendOutcome::NotRun(_)
            | SendOutcome::NotSent(_)
            | SendOutcome::Withheld(_)
            | SendOutcome::Unknown(_)
            | SendOutcome::CallerDisconnected => SendResult::Unrelated,
        }
    }
}

/// Sends a request to the backend server of `candidate`.
pub(crate) async fn send(
    cx: &Rc<EdgeContext>,
    call: &mut Call,
    candidate: &Candidate,
) -> SendOutcome {
    let Some(body) = call.body.body_for_send() else {
        return SendOutcome::NotSent("its body can't be sent again");
    };
    let cancelled = call.cancelled.wait();
    let call = &*call;
    let sent = cx.now();
    let observed = observe(cx, call, candidate);
    let exchange = pin!(exchange(cx, call, body, candidate));
    let outcome = match select(exchange, cancelled).await {
        Either::Left((outcome, _)) => outcome,
        // Dropping the exchange closes its connection, which makes the server stop its work.
        Either::Right(_) => SendOutcome::CallerDisconnected,
    };
    if matches!(
        outcome,
        SendOutcome::TimedOut | SendOutcome::CallerDisconnected
    ) {
        record_unanswered(cx, call, candidate, sent);
    }
    if outcome.is_not_run() && !candidate.knows_object && request_work::knows_work(cx) {
        candidate.upstream.forget_object(call.object);
    }
    if let Some(observed) = observed {
        record_evidence(cx, call, candidate, observed, &outcome);
    }
    outcome
}

/// Records what an outcome says about the version of the server, unless the fault is this VM's: one
/// that does not reach the server can't tell how its version answers.
fn record_evidence(
    cx: &Rc<EdgeContext>,
    call: &Call,
    candidate: &Candidate,
    observed: ObservedSend,
    outcome: &SendOutcome,
) {
    match outcome {
        SendOutcome::Broken(_) => {
            let (cx, upstream) = (Rc::clone(cx), Rc::clone(&candidate.upstream));
            // Spawned, because the diagnosis may take longer than the caller waits.
            monoio::spawn(async move {
                let result = match diagnosis::diagnose(&cx, &upstream).await {
                    Diagnosis::CutOff => SendResult::Unrelated,
                    Diagnosis::Alive | Diagnosis::Crashed | Diagnosis::Silent => SendResult::Failed,
                };
                observed.finish(result);
            });
        }
        SendOutcome::TimedOut if call.state.reachability.is_lost() => {
            observed.finish(SendResult::Unrelated);
        }
        _ => observed.finish(outcome.as_evidence()),
    }
}

/// Starts to observe a request as evidence on the version of its server, if a rollout of its
/// service is in progress.
fn observe(cx: &EdgeContext, call: &Call, candidate: &Candidate) -> Option<ObservedSend> {
    let upstream = &candidate.upstream;
    if call.is_isolated || upstream.is_cold(cx.now()) {
        return None;
    }
    let is_cached = upstream.likely_caches(call.object, cx.now());
    let is_local = upstream.region == cx.region;
    let kind = RequestKind::new(&call.route.name, is_cached, is_local);
    cx.rollouts.observe(upstream, kind, candidate.has_free_slot)
}

/// Records that a request sent at `sent` has had no response until now.
///
/// A server that becomes slow no longer responds in time, so its responses alone would never show
/// that it is slow and it would keep its share of the requests. A server that meanwhile has
/// answered nobody is hung or cut off in a way that no connection shows. It is treated as
/// unreachable; otherwise each request for one of its objects would wait in vain for as long as it
/// hangs.
fn record_unanswered(cx: &EdgeContext, call: &Call, candidate: &Candidate, sent: Millis) {
    let upstream = &candidate.upstream;
    let now = cx.now();
    let knows_work = request_work::knows_work(cx);
    let is_cached = match knows_work {
        true => candidate.knows_object,
        false => upstream.likely_caches(call.object, now),
    };
    let waited = now.since(sent);
    let at_usual_speed = match knows_work && cx.switches.is_on(Mechanism::MachineSpeed) {
        true => Millis((waited.0 as f64 / upstream.machine.factor(now).max(1.0)) as u64),
        false => waited,
    };
    let slowness = request_work::with_service_times(cx, call, |times| {
        times.slowness(&upstream.region, is_cached, at_usual_speed)
    });
    let Some(slowness) = slowness.filter(|slowness| *slowness >= SLOW_FACTOR) else {
        return;
    };
    upstream.record_unanswered(slowness, now);
    let hangs = slowness >= HANG_FACTOR && upstream.is_silent_since(sent);
    if hangs && cx.switches.is_on(Mechanism::HangingServers) {
        log::info!(upstream:% = upstream.id, waited_ms = waited.0; "a backend server does not respond; treating it as unreachable");
        upstream.record_unreachable(waited, now);
        reachability::record_failure(cx, &call.state, upstream, "no response");
    }
}

/// Sends the request and receives the response, and records what both show about the server.
async fn exchange(
    cx: &Rc<EdgeContext>,
    call: &Call,
    body: Body,
    candidate: &Candidate,
) -> SendOutcome {
    let upstream = &candidate.upstream;
    let sent = cx.now();
    let Some(head) = outgoing_head(cx, call, candidate, sent) else {
        return SendOutcome::NotSent("its server's identifier is no header value");
    };
    request_limit::record::record_send(cx, upstream);
    backpressure::record_send(cx, upstream);
    let in_flight = upstream.start_request();
    // A server answers further requests for an object quickly as soon as it works on the first one.
    if request_work::knows_work(cx) {
        upstream.record_object(call.object, sent);
    }
    let options = SendOptions {
        deadline: Some(call.deadline),
        idempotent: call.route.idempotent,
        new_connection: false,
    };
    let may_send = || backpressure::may_send(cx, upstream);
    let exchange = upstream.pool.send_if(head, body, options, may_send);
    let mut response = match exchange.await {
        Ok(response) => response,
        Err(error) => return outcome_of_error(cx, call, candidate, &error),
    };
    // Only daemons report a request's outcome. A server that could set this header would have
    // requests that it ran not counted against the account's limit.
    response.headers.remove(OUTCOME_HEADER);
    response.headers.remove(hand_over::LEAVING_HEADER);
    upstream.record_response(cx.now());
    reachability::record_response(cx, &call.state, upstream);
    record_load(cx, call, candidate, &response.headers, sent);
    record_request_limit(cx, candidate, &response, sent);
    let is_leaving = backpressure::record_response(cx, upstream, &response);
    if is_leaving && call.assigned_server.is_some() {
        hand_over::add_leaving(&mut response.headers, upstream);
    }
    if let Some(outcome) = detect_refusal(cx, candidate, &response) {
        return outcome;
    }
    if !is_from_backend_server(cx, &response) {
        upstream.record_error_response(cx.now());
        return SendOutcome::Unknown("the response is not the server's own");
    }
    let sender = ResponseSender::BackendServer(upstream.id.clone());
    match read_if_short(call, cx, response, sender).await {
        Ok(response) => record_answer(cx, call, candidate, response, sent, in_flight),
        Err(cause) => {
            upstream.record_error_response(cx.now());
            SendOutcome::Broken(cause)
        }
    }
}

/// Builds the request head for one server. It states which server may run the request, and how
/// long it may take.
fn outgoing_head(
    cx: &EdgeContext,
    call: &Call,
    candidate: &Candidate,
    now: Millis,
) -> Option<RequestHead> {
    let names = &cx.dialect.headers;
    let server = HeaderValue::from_str(candidate.upstream.id.as_str()).ok()?;
    let mut head = call.head.clone();
    let left = HeaderValue::from(call.time_left(now).0);
    head.headers.insert(&names.time_left, left);
    head.headers.insert(&names.expected_server, server);
    Some(head)
}

/// Records a response from the backend server, whatever its status, and turns it into an outcome.
fn record_answer(
    cx: &EdgeContext,
    call: &Call,
    candidate: &Candidate,
    response: Response,
    sent: Millis,
    guard: InFlightGuard,
) -> SendOutcome {
    if response.status.is_server_error() {
        candidate.upstream.record_error_response(cx.now());
        return SendOutcome::Failure(response);
    }
    if response.status.is_success() {
        if let Some(bytes) = response.body.known_len() {
            cx.route(&call.route.name)
                .record_bytes(bytes + call.body.len());
        }
        record_latency(cx, call, candidate, cx.now().since(sent));
    }
    let Response {
        status,
        headers,
        body,
    } = response;
    // The request counts as in flight until the caller has received the whole response.
    SendOutcome::Answer(Response {
        status,
        headers,
        body: body.with_guard(guard),
    })
}

/// Reads a short response body completely. A longer one, or one of unknown length, is streamed, and
/// recorded if its caller receives it truncated.
pub(crate) async fn read_if_short(
    call: &Call,
    cx: &EdgeContext,
    response: Response,
    sender: ResponseSender,
) -> Result<Response, &'static str> {
    let Response {
        status,
        headers,
        body,
    } = response;
    if body
        .known_len()
        .is_none_or(|len| len > MAX_BUFFERED_RESPONSE_BYTES)
    {
        return Ok(Response {
            status,
            headers,
            body: body.on_error(request_log::truncation_recorder(cx, call, sender)),
        });
    }
    let left = Duration::from_millis(call.time_left(cx.now()).0.max(1));
    match monoio::time::timeout(left, body.collect(MAX_BUFFERED_RESPONSE_BYTES as usize)).await {
        Ok(Ok(bytes)) => {
            let body = Body::full(bytes);
            Ok(Response {
                status,
                headers,
                body,
            })
        }
        Ok(Err(error)) => {
            log::debug!(id = call.id(cx), sender:% = sender, error:% = error; "a short response broke off");
            Err("the response broke off")
        }
        Err(_) => Err("the response did not end in time"),
    }
}

/// Detects a response by which the server states that it did not run the request.
fn detect_refusal(
    cx: &EdgeContext,
    candidate: &Candidate,
    response: &Response,
) -> Option<SendOutcome> {
    let upstream = &candidate.upstream;
    if response.status == StatusCode::MISDIRECTED_REQUEST {
        // The server is gone, and another one responds at its address.
        log::info!(upstream:% = upstream.id, address:% = upstream.pool.address(); "a different server responded at a backend server's address");
        upstream.replaced.set(true);
        return Some(SendOutcome::NotRun("another server has the address"));
    }
    if response.headers.contains_key(&cx.dialect.headers.not_run) {
        upstream.record_error_response(cx.now());
        return Some(SendOutcome::NotRun("the server refused it unrun"));
    }
    None
}

/// Returns whether a response was made by a backend server, which its signature shows. A successful
/// response without one may be an error page of an intermediary, or half of another response.
fn is_from_backend_server(cx: &EdgeContext, response: &Response) -> bool {
    let signed = response.headers.contains_key(&cx.dialect.headers.signature);
    signed || !response.status.is_success()
}

/// Records the load that a response's headers state.
fn record_load(
    cx: &EdgeContext,
    call: &Call,
    candidate: &Candidate,
    headers: &HeaderMap,
    sent: Millis,
) {
    let value = headers.get(&cx.dialect.headers.server_load);
    let text = value.and_then(|v| v.to_str().ok()).unwrap_or_default();
    if let Some(factor) = machine_speed::parse_factor(text) {
        cx.load_control.record_stated_speed();
        candidate.upstream.machine.record(factor, cx.now());
    }
    if let Some(load) = ServerLoad::parse(text) {
        let now = cx.now();
        let others = candidate.upstream.record_load(load, now);
        call.state.service_times.record_other_load(others, now);
        let is_local = candidate.upstream.region == cx.region;
        request_work::record_wait(cx, call, is_local, load, now.since(sent));
    }
}

/// Records what a response says about its server's request limit.
fn record_request_limit(
    cx: &Rc<EdgeContext>,
    candidate: &Candidate,
    response: &Response,
    sent: Millis,
) {
    if response.status == StatusCode::MISDIRECTED_REQUEST {
        // Another server has the address.
        return;
    }
    let (names, headers) = (&cx.dialect.headers, &response.headers);
    let is_genuine = headers.contains_key(&names.signature) || headers.contains_key(&names.not_run);
    request_limit::record::record_response(cx, &candidate.upstream, headers, sent, is_genuine);
}

/// Turns a send error into an outcome, by whether the server may have received the request.
fn outcome_of_error(
    cx: &EdgeContext,
    call: &Call,
    candidate: &Candidate,
    error: &SendError,
) -> SendOutcome {
    let upstream = &candidate.upstream;
    let now = cx.now();
    log::debug!(id = call.id(cx), upstream:% = upstream.id, error:% = error; "sending a request failed");
    if matches!(error, SendError::Withheld { .. }) {
        return SendOutcome::Withheld("the server no longer takes requests");
    }
    if matches!(error, SendError::RequestBody { .. }) {
        return match error.send_progress() {
            SendProgress::NotSent => SendOutcome::NotSent("the caller's body broke off"),
            SendProgress::MaybeSent => SendOutcome::Unknown("the caller's body broke off"),
        };
    }
    // A pooled connection that the server had closed while it was idle says nothing about the
    // server.
    if error.is_refused() {
        upstream.record_connection_refused(now);
    } else if !error.is_stale_connection() && !matches!(error, SendError::Expired { .. }) {
        upstream.record_connection_failure(now);
    }
    if reachability::is_unreached(error) {
        reachability::record_failure(cx, &call.state, upstream, "connection failed");
    }
    match (error.send_progress(), now >= call.deadline) {
        (SendProgress::NotSent, _) => SendOutcome::NotSent("the server could not be reached"),
        (SendProgress::MaybeSent, true) => SendOutcome::TimedOut,
        (SendProgress::MaybeSent, false) => {
            SendOutcome::Broken("the connection to the server broke")
        }
    }
}

/// Records the latency of a successful response. Times of a server that was not free include time
/// spent in its queue, so they don't enter the usual times.
fn record_latency(cx: &EdgeContext, call: &Call, candidate: &Candidate, took: Millis) {
    let upstream = &candidate.upstream;
    let now = cx.now();
    if request_work::knows_work(cx) {
        let slowness = candidate
            .has_free_slot
            .then(|| request_work::record_run(cx, call, candidate, took));
        upstream.record_success(call.object, slowness.flatten(), now);
        return;
    }
    let is_cached = upstream.likely_caches(call.object, now);
    let slowness = candidate.has_free_slot.then(|| {
        let slowness = call
            .state
            .service_times
            .slowness(&upstream.region, is_cached, took);
        call.state
            .service_times
            .record(&upstream.region, is_cached, took);
        slowness
    });
    upstream.record_success(call.object, slowness.flatten(), now);
}
