//! Log lines of a request: one for each send with the figures that decided it, and one for the
//! request's end.
//!
//! They are written when the request ends, because only then it is known whether it succeeded in
//! time. Requests that failed, were refused or were late are always logged. Of the others, all VMs
//! log the same small sample, selected by a hash of the request's identifier, so that either all
//! lines of a request are logged or none.

use std::fmt;
use std::net::SocketAddr;

use heatherknot_http::{BodyError, Response};
use heatherknot_types::hash;
use heatherknot_types::prelude::*;
use http::StatusCode;
use log::{debug, info, warn};

use crate::accounts::Account;
use crate::admission::gate::Rejection;
use crate::attempt::SendOutcome;
use crate::call::{AdmitError, Call};
use crate::call_selection::HeldBack;
use crate::context::EdgeContext;
use crate::feed::UpdateSource;
use crate::forward::SendHistory;
use crate::hand_over::HandOverOutcome;
use crate::quota::meter::OverLimit;
use crate::relay::RelayReason;
use crate::selection::Candidate;

/// One in this many requests that were answered in time is logged.
const SAMPLE_INTERVAL: u64 = 64;

/// One send of a request.
pub(crate) struct SendRecord {
    started_after: Millis,
    took: Millis,
    upstream: UpstreamName,
    region: RegionName,
    result: &'static str,
    /// Whether the server stated that it did not run the request.
    is_rejected: bool,
    cause: &'static str,
    is_warm: bool,
    has_free_slot: bool,
    expected_ms: u64,
    load: f64,
    load_age: Millis,
    own_in_flight: u32,
    /// How long work takes on the server's machine, as a multiple of the usual time, if load control
    /// is on.
    machine_factor: Option<f64>,
}

impl SendRecord {
    /// Records a send that began at `at` and has ended with `outcome`.
    pub(crate) fn new(
        cx: &EdgeContext,
        call: &Call,
        candidate: &Candidate,
        at: Millis,
        outcome: &SendOutcome,
    ) -> Self {
        let upstream = &candidate.upstream;
        let cause = match outcome {
            SendOutcome::NotRun(cause)
            | SendOutcome::NotSent(cause)
            | SendOutcome::Withheld(cause)
            | SendOutcome::Unknown(cause)
            | SendOutcome::Broken(cause) => cause,
            SendOutcome::Answer(_)
            | SendOutcome::Failure(_)
            | SendOutcome::TimedOut
            | SendOutcome::CallerDisconnected => "",
        };
        Self {
            started_after: at.since(call.started),
            took: cx.now().since(at),
            upstream: upstream.id.clone(),
            region: upstream.region.clone(),
            result: outcome.label(),
            is_rejected: matches!(outcome, SendOutcome::NotRun(_)),
            cause,
            is_warm: candidate.is_warm,
            has_free_slot: candidate.has_free_slot,
            expected_ms: candidate.response_ms as u64,
            load: candidate.load,
            load_age: candidate.load_age,
            own_in_flight: candidate.own_in_flight,
            machine_factor: cx
                .load_control
                .is_on()
                .then(|| upstream.machine.last_stated()),
        }
    }
}

impl SendRecord {
    /// Returns whether a server rejected the request although it was expected to have a free slot.
    pub(crate) fn was_rejected_while_free(&self) -> bool {
        self.has_free_slot && self.is_rejected
    }
}

/// Counts a finished request in the metrics, and logs it if it failed, was late or is sampled.
pub(crate) fn record_end(
    cx: &EdgeContext,
    call: &Call,
    history: &SendHistory,
    response: &Response,
) {
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
    if went_well && !is_sampled(id) {
        return;
    }
    for (number, sent) in history.sends.iter().enumerate() {
        log_send(id, number + 1, sent);
    }
    if let Some(best) = &history.best_when_refused {
        info!(id, upstream:% = best.upstream.id, region:% = best.upstream.region, warm = best.is_warm,
            expected_ms = best.response_ms as u64, load = best.load,
            load_age_ms = best.load_age.0; "the best backend server would respond too late");
    }
    match &history.held_back {
        Some(HeldBack::Limit(upstream, limit)) => {
            info!(id, upstream:% = upstream, limit; "request held back by the limit of a backend server");
        }
        Some(HeldBack::Backoff(upstream, left)) => {
            info!(id, upstream:% = upstream, left_ms = left.0; "request held back by the backoff of a backend server");
        }
        Some(HeldBack::Admission(rejection)) => log_rejection(id, rejection),
        None => {}
    }
    if let Some(told) = &history.told_return {
        info!(id, retry_after_ms = told.retry_after.0, returned = told.is_return, cause = history.cause;
            "request refused");
    }
    let account = call
        .account
        .as_ref()
        .map_or("", |account| account.name.as_str());
    info!(id, route:% = call.route.name, account, service:% = call.service, object = call.object,
        config = call.catalog.version, outcome, status = response.status.as_u16(), took_ms = took.0,
        target_ms = call.route.latency_target.0, given_ms = call.deadline.since(call.started).0,
        sends = history.sends.len(), cause = history.cause, store_age_ms = cx.feed.age().unwrap_or_default().0;
        "request ended");
}

fn is_sampled(id: &str) -> bool {
    hash::digest(id.as_bytes()).is_multiple_of(SAMPLE_INTERVAL)
}

/// Logs a request that was relayed to `vm` at `began`, if it got no successful response there or is
/// sampled. Its other lines are in that VM's log.
pub(crate) fn record_relayed(
    cx: &EdgeContext,
    call: &Call,
    vm: &VmName,
    reason: RelayReason,
    outcome: &HandOverOutcome,
    began: Millis,
) {
    let status = match outcome {
        HandOverOutcome::Answered(response) => response.status.as_u16(),
        _ => 0,
    };
    let id = call.id(cx);
    if StatusCode::OK == status && !is_sampled(id) {
        return;
    }
    info!(id, vm:% = vm, service:% = call.service, reason = reason.label(), result = outcome.label(),
        cause = outcome.cause(), status, at_ms = began.since(call.started).0,
        took_ms = cx.now().since(began).0; "request relayed");
}

/// Who sent a response to this VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ResponseSender {
    /// A backend server.
    BackendServer(UpstreamName),
    /// Another VM that the request was handed over to, by its address.
    Vm(SocketAddr),
}

impl ResponseSender {
    /// Returns the value of the metrics label.
    fn label(&self) -> &'static str {
        match self {
            ResponseSender::BackendServer(_) => "backend-server",
            ResponseSender::Vm(_) => "vm",
        }
    }
}

impl fmt::Display for ResponseSender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ResponseSender::BackendServer(id) => id.fmt(f),
            ResponseSender::Vm(address) => address.fmt(f),
        }
    }
}

/// Returns a function that counts and logs a response of which the caller got only a part. One that
/// ends because the caller's upload broke is not counted.
pub(crate) fn truncation_recorder(
    cx: &EdgeContext,
    call: &Call,
    sender: ResponseSender,
) -> impl FnOnce(&BodyError) + 'static {
    let labels = [call.service.as_str(), sender.label()];
    let truncated = cx.metrics.truncated_responses.with_label_values(&labels);
    let id = call.id(cx).to_owned();
    let service = call.service.clone();
    move |error| {
        if matches!(error, BodyError::RequestBody { .. }) {
            debug!(id = id.as_str(), service:% = service, cause:% = error; "response not received completely");
            return;
        }
        truncated.inc();
        warn!(id = id.as_str(), service:% = service, sender:% = sender, cause:% = error; "response truncated");
    }
}

/// Logs what was used of the services' retry budgets since the previous call, for each service with a
/// retry.
pub(crate) fn record_retry_budgets(cx: &EdgeContext) {
    let vms = cx.max_sending_vms();
    for (service, state) in cx.services.borrow().iter() {
        let spent = state.budget.borrow_mut().take_use();
        if spent.proportional + spent.fixed + spent.denied > 0 {
            info!(service:% = service, requests = spent.requests, proportional = spent.proportional,
                fixed = spent.fixed, denied = spent.denied, vms; "retry budget used");
        }
    }
}

/// Counts and logs a request that was not admitted.
pub(crate) fn record_not_admitted(
    cx: &EdgeContext,
    id: &str,
    admit_error: &AdmitError,
    response: &Response,
) {
    let cause = admit_error.cause();
    cx.metrics.unrouted.with_label_values(&[cause]).inc();
    let config = cx
        .routing_state
        .borrow()
        .catalog()
        .map_or(0, |catalog| catalog.version);
    if let AdmitError::OverLimit(account, over) = admit_error {
        return log_over_limit(cx, id, config, account, over);
    }
    let origin = cx.feed.catalog_origin();
    let config_source = origin
        .as_ref()
        .map_or(UpdateSource::None, |origin| origin.source.clone());
    info!(id, status = response.status.as_u16(), cause, config,
        config_age_ms:? = origin.map(|origin| cx.now().since(origin.since).0),
        config_source:% = config_source, revision:% = cx.feed.mirror().revision(),
        store_age_ms = cx.feed.age().unwrap_or_default().0, store_source:% = cx.feed.last_source();
        "request not routed");
}

/// Counts and logs a request that the shutdown of this VM cuts off.
pub(crate) fn record_cut_off(cx: &EdgeContext, id: &str, service: &ServiceName) {
    let labels = [service.as_str(), "failed"];
    cx.metrics.requests.with_label_values(&labels).inc();
    info!(id, service:% = service; "request cut off by the shutdown");
}

/// Logs a request that exceeded its account's limit. Each VM logs only a few of these a second,
/// because an account that sends many times its limit would otherwise fill the log.
fn log_over_limit(cx: &EdgeContext, id: &str, config: u64, account: &Account, over: &OverLimit) {
    if !cx.over_limit_log.borrow_mut().try_take(cx.now()) {
        return;
    }
    let limit = account.limit.map_or(0.0, |limit| limit.per_second);
    info!(id, status = 429, account:% = account.name, limit, config,
        part:? = over.fraction, told_ms_ago:? = over.fraction_age.map(|age| age.0), come_back_ms = over.retry_after.0;
        "request over its account's limit");
}

fn log_rejection(id: &str, rejection: &Rejection) {
    let contender = &rejection.contender;
    info!(id, cause = rejection.cause.text(), urgency:% = contender.urgency,
        account_share = rejection.account_share, slot_ms = contender.slot_ms as u64,
        expected_ms = (contender.response_ms + contender.spent_ms) as u64,
        allowed_ms = contender.target_ms as u64, left_ms = contender.left_ms as u64;
        "request rejected for lack of slots");
}

fn log_send(id: &str, number: usize, sent: &SendRecord) {
    let Some(machine_factor) = sent.machine_factor else {
        info!(id, send = number, at_ms = sent.started_after.0, took_ms = sent.took.0, upstream:% = sent.upstream,
            region:% = sent.region, result = sent.result, cause = sent.cause, warm = sent.is_warm,
            free = sent.has_free_slot, expected_ms = sent.expected_ms, load = sent.load,
            load_age_ms = sent.load_age.0, own = sent.own_in_flight; "request sent");
        return;
    };
    info!(id, send = number, at_ms = sent.started_after.0, took_ms = sent.took.0, upstream:% = sent.upstream,
        region:% = sent.region, result = sent.result, cause = sent.cause, warm = sent.is_warm,
        free = sent.has_free_slot, expected_ms = sent.expected_ms, load = sent.load,
        load_age_ms = sent.load_age.0, own = sent.own_in_flight, machine_factor; "request sent");
}
