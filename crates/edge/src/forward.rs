//! Handles a request: admits it, sends it to backend servers one after the other, and responds.

use std::pin::pin;
use std::rc::Rc;

use futures_util::future::{Either, select};
use heatherknot_http::{Request, Response};
use heatherknot_types::prelude::*;

use crate::admission::returns::{self, ReturnRecord};
use crate::attempt::{self, SendOutcome};
use crate::call::{self, AdmitError, Call};
use crate::call_selection::{self, Exclusions, HeldBack, Refusal};
use crate::context::EdgeContext;
use crate::hand_over;
use crate::identify::IdentifyError;
use crate::poison::guard::{self, SendDecision};
use crate::relay::{self, RelayReason};
use crate::reply;
use crate::request_limit::gate::{self, Admission};
use crate::request_log::{self, SendRecord};
use crate::selection::Candidate;

/// `retry-after` while the daemon has no configuration, or waits for a newer one.
const NO_CATALOG_RETRY_AFTER: Millis = Millis(300);
/// `retry-after` of a daemon that is about to end.
const CUT_OFF_RETRY_AFTER: Millis = Millis(100);
/// Cause of the responses to requests that a shutdown cuts off.
const CUT_OFF_CAUSE: &str = "the shutdown of this VM";
/// `retry-after` for requests that only a configuration change can make possible. A change takes
/// some seconds to come into force.
const CONFIG_ERROR_RETRY_AFTER: Millis = Millis(5_000);
/// Number of unreachable servers after which a request may still try one more.
const MAX_UNREACHABLE_SERVERS: u32 = 3;
/// Number of sends beyond the route's attempts that a request may make after refusals. A server
/// that refuses at once has cost the request little time.
const EXTRA_SENDS_AFTER_REFUSAL: u32 = 1;
/// Number of servers that may deny a request a permit before it is sent only to servers without a
/// request limit. Each denial takes up to a round trip to another VM.
const MAX_PERMITS_DENIED: u32 = 2;

/// The sends of one request so far, and what came of them.
#[derive(Default)]
pub(crate) struct SendHistory {
    /// Servers that were tried.
    pub(crate) servers: Vec<UpstreamName>,
    /// Record of each send, for the log.
    pub(crate) sends: Vec<SendRecord>,
    /// Number of sends that reached a server.
    delivered: u32,
    /// Number of sends that a server may have run.
    may_have_run: u32,
    /// Number of sends that reached no server.
    not_delivered: u32,
    /// Number of servers with a request limit for which the request got no permit.
    permits_denied: u32,
    /// What kept the request from a server when it was refused.
    pub(crate) held_back: Option<HeldBack>,
    /// Whether another VM may have counted the request for the retry budget.
    pub(crate) is_counted_elsewhere: bool,
    /// The latest error response of a server, unless a later send ended without a usable response.
    failure: Option<Response>,
    /// Cause of the latest failed send or of the refusal, for the response and the log.
    pub(crate) cause: &'static str,
    /// The best server at the time the request was refused.
    pub(crate) best_when_refused: Option<Candidate>,
    /// What a refused caller was told, if returns are reserved.
    pub(crate) told_return: Option<ReturnRecord>,
}

/// Handles a caller's request.
pub async fn handle(cx: Rc<EdgeContext>, req: Request) -> Response {
    let id = call::request_id(&cx, &req.head).to_owned();
    if cx.cut_off.is_fired() {
        let labels = [CUT_OFF_CAUSE];
        cx.metrics.unrouted.with_label_values(&labels).inc();
        return reply::not_run(CUT_OFF_CAUSE, CUT_OFF_RETRY_AFTER);
    }
    match call::admit(&cx, req, None).await {
        Ok(call) => {
            let account = call.account.clone();
            let response = answer_until_cut_off(&cx, call, &id).await;
            if let Some(account) = account.filter(|_| reply::is_not_run(&response)) {
                cx.quota.refund(&account);
            }
            response
        }
        Err(admit_error) => {
            let response = error_response(&admit_error);
            request_log::record_not_admitted(&cx, &id, &admit_error, &response);
            response
        }
    }
}

/// Answers an admitted request, or responds when the shutdown cuts it off. The responses behind it
/// on its connection, which may be ready, can then be sent.
async fn answer_until_cut_off(cx: &Rc<EdgeContext>, call: Call, id: &str) -> Response {
    let service = call.service.clone();
    let answering = pin!(answer(cx, call));
    match select(answering, cx.cut_off.wait()).await {
        Either::Left((response, _)) => response,
        // Dropping the rest closes its connections, which makes the server stop its work.
        Either::Right(_) => {
            request_log::record_cut_off(cx, id, &service);
            reply::outcome_unknown(CUT_OFF_CAUSE)
        }
    }
}

fn error_response(admit_error: &AdmitError) -> Response {
    let cause = admit_error.cause();
    match admit_error {
        AdmitError::NoRoute => reply::no_route(cause),
        AdmitError::Unidentified(IdentifyError::NoAccount) => reply::unauthenticated(cause),
        AdmitError::OverLimit(_, over) => reply::over_limit(cause, over.retry_after),
        AdmitError::Body(error) => reply::bad_body(error.status(), cause),
        AdmitError::NoCatalog
        | AdmitError::StaleCopy
        | AdmitError::UnreadableRoute
        | AdmitError::NoTarget => reply::not_run(cause, NO_CATALOG_RETRY_AFTER),
        AdmitError::Unidentified(IdentifyError::UnreadableAccount) | AdmitError::NoRegion => {
            reply::not_run(cause, CONFIG_ERROR_RETRY_AFTER)
        }
    }
}

/// Answers an admitted request, through the home VM of its server or directly.
pub(crate) async fn answer(cx: &Rc<EdgeContext>, mut call: Call) -> Response {
    let mut history = SendHistory::default();
    guard::read_body_if_suspected(cx, &call).await;
    // This check also comes before the hand-over: the home VM may not know of the suspicion yet and
    // would send the request.
    match guard::check(cx, &call) {
        SendDecision::Normal => {}
        SendDecision::Isolated(fingerprint, _) => call.isolate(&fingerprint),
        SendDecision::Refused(cause, retry_after) => {
            let refusal = Refusal::suspected(cause, retry_after);
            let response = give_up(cx, &call, &mut history, &refusal);
            request_log::record_end(cx, &call, &history, &response);
            return response;
        }
    }
    if let Some(response) = hand_over::hand_over(cx, &mut call, &mut history).await {
        return response;
    }
    let is_service_lost = call.state.reachability.is_lost();
    if is_service_lost && call.assigned_server.is_some() {
        return hand_over::decline_unreached(cx);
    }
    // A request that was handed over counts at the home VM, which makes its retries. One that was
    // relayed has been counted by the VM that relayed it.
    if !call.is_relayed && !history.is_counted_elsewhere {
        call.state.budget.borrow_mut().record_request(call.started);
    }
    if is_service_lost {
        let reason = RelayReason::ServiceLost;
        if let Some(response) = relay::relay(cx, &mut call, &mut history, reason).await {
            return response;
        }
    }
    let sent = match returns::claim(cx, &mut call) {
        Some(refusal) => Err(refusal),
        None => send_until_answered(cx, &mut call, &mut history).await,
    };
    let refusal = match sent {
        Ok(response) => {
            request_log::record_end(cx, &call, &history, &response);
            return response;
        }
        Err(refusal) => refusal,
    };
    if refusal.is_cut_off {
        if call.assigned_server.is_some() && !history.was_delivered() {
            return hand_over::decline_unreached(cx);
        }
        let reason = RelayReason::ServersUnreachable;
        if let Some(response) = relay::relay(cx, &mut call, &mut history, reason).await {
            return response;
        }
    }
    let response = give_up(cx, &call, &mut history, &refusal);
    request_log::record_end(cx, &call, &history, &response);
    response
}

/// Sends a request to one server after another until one answers.
///
/// # Errors
///
/// Returns why no further send is allowed.
async fn send_until_answered(
    cx: &Rc<EdgeContext>,
    call: &mut Call,
    history: &mut SendHistory,
) -> Result<Response, Refusal> {
    while call.body.can_send() {
        let suspect_guard = match guard::check(cx, call) {
            SendDecision::Normal => None,
            SendDecision::Isolated(fingerprint, guard) => {
                call.isolate(&fingerprint);
                Some(guard)
            }
            SendDecision::Refused(cause, retry_after) => {
                return Err(Refusal::suspected(cause, retry_after));
            }
        };
        let candidate = call_selection::select_or_refuse(cx, call, &history.excluded())?;
        if !acquire_permit(cx, call, history, &candidate, suspect_guard.is_some()).await {
            continue;
        }
        if call.cancelled.is_fired() {
            return Err(Refusal::caller_disconnected());
        }
        if !may_send(cx, call, history) {
            return Err(match history.was_delivered() {
                true => Refusal::no_more_sends(),
                false => Refusal::unreachable(),
            });
        }
        history.servers.push(candidate.upstream.id.clone());
        let at = cx.now();
        let is_from_caller = call.assigned_server.is_none();
        let _region_guard = is_from_caller.then(|| {
            call.state
                .sent_by_region
                .start_request(&candidate.upstream.region)
        });
        let outcome = attempt::send(cx, call, &candidate).await;
        drop(suspect_guard);
        history
            .sends
            .push(SendRecord::new(cx, call, &candidate, at, &outcome));
        let labels = [call.service.as_str(), outcome.label()];
        cx.metrics.sends.with_label_values(&labels).inc();
        if let Some(response) = process_outcome(cx, call, history, &candidate, outcome).await {
            return Ok(response);
        }
        if history.may_have_run > 0 && !call.route.idempotent {
            break;
        }
        if call.state.reachability.is_lost() && !history.was_delivered() {
            return Err(Refusal::unreachable());
        }
    }
    Err(Refusal::no_more_sends())
}

/// Takes a permit for a server with a request limit. Returns whether the request may be sent there
/// now; if not, another server is to be selected.
async fn acquire_permit(
    cx: &EdgeContext,
    call: &Call,
    history: &mut SendHistory,
    candidate: &Candidate,
    is_isolated: bool,
) -> bool {
    match gate::acquire(cx, call, &candidate.upstream).await {
        Admission::Immediate => true,
        Admission::AfterWait => {
            let is_suspected = !is_isolated && guard::is_suspected(cx, call);
            candidate.upstream.accepts_requests() && !is_suspected
        }
        Admission::Denied => {
            history.permits_denied += 1;
            false
        }
    }
}

/// Updates the history with the outcome of a send. Returns the response for the caller, or `None`
/// if the request may be sent again.
async fn process_outcome(
    cx: &Rc<EdgeContext>,
    call: &Call,
    history: &mut SendHistory,
    candidate: &Candidate,
    outcome: SendOutcome,
) -> Option<Response> {
    match outcome {
        SendOutcome::Answer(response) => {
            guard::record_clean_run(cx, call);
            return Some(response);
        }
        SendOutcome::CallerDisconnected => {
            history.cause = "the caller has disconnected";
            return Some(reply::outcome_unknown(history.cause));
        }
        SendOutcome::TimedOut => {
            history.cause = "no answer came in time";
            return Some(reply::timed_out());
        }
        SendOutcome::NotSent(cause) => {
            history.not_delivered += 1;
            history.cause = cause;
        }
        SendOutcome::Withheld(cause) => history.cause = cause,
        SendOutcome::NotRun(cause) => {
            history.delivered += 1;
            history.cause = cause;
        }
        SendOutcome::Failure(response) => {
            guard::record_clean_run(cx, call);
            history.record_possible_run("the server failed");
            history.failure = Some(response);
        }
        SendOutcome::Unknown(cause) => {
            history.record_possible_run(cause);
            history.failure = None;
        }
        SendOutcome::Broken(cause) => {
            history.record_possible_run(cause);
            history.failure = None;
            guard::investigate_broken_connection(cx, call, &candidate.upstream).await;
        }
    }
    None
}

impl SendHistory {
    /// Returns the servers that the request may not be sent to any more.
    fn excluded(&self) -> Exclusions<'_> {
        Exclusions {
            tried: &self.servers,
            limited: self.permits_denied >= MAX_PERMITS_DENIED,
            unreachable: true,
        }
    }

    /// Returns whether the request was rejected only by servers that were expected to have a free
    /// slot. They don't lack capacity, so waiting for it would not help the caller.
    pub(crate) fn was_rejected_by_free_servers(&self) -> bool {
        !self.sends.is_empty() && self.sends.iter().all(SendRecord::was_rejected_while_free)
    }

    /// Returns whether any send reached a server.
    pub(crate) fn was_delivered(&self) -> bool {
        self.delivered > 0
    }

    /// Returns whether a server may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.may_have_run > 0
    }

    /// Records a send that a server may have run and that produced no usable response.
    pub(crate) fn record_possible_run(&mut self, cause: &'static str) {
        self.delivered += 1;
        self.may_have_run += 1;
        self.cause = cause;
    }
}

/// Returns whether the request may be sent (again), and takes a retry from the budget if one is
/// needed.
fn may_send(cx: &EdgeContext, call: &Call, history: &SendHistory) -> bool {
    let attempts = call.route.attempts.max(1);
    let is_within_limits = history.not_delivered <= MAX_UNREACHABLE_SERVERS
        && history.may_have_run < attempts
        && history.delivered < attempts + EXTRA_SENDS_AFTER_REFUSAL;
    if !is_within_limits || history.delivered == 0 {
        return is_within_limits;
    }
    take_retry(cx, call)
}

/// Takes a retry from the budget. Returns whether one was left.
pub(crate) fn take_retry(cx: &EdgeContext, call: &Call) -> bool {
    let vms = cx.max_sending_vms();
    let grant = call.state.budget.borrow_mut().try_take(cx.now(), vms);
    let labels = [call.service.as_str(), grant.label()];
    cx.metrics.retries.with_label_values(&labels).inc();
    grant.is_granted()
}

/// Builds the final response to a request that no server answered.
fn give_up(
    cx: &EdgeContext,
    call: &Call,
    history: &mut SendHistory,
    refusal: &Refusal,
) -> Response {
    if let Some(response) = history.failure.take() {
        return response;
    }
    if history.may_have_run > 0 {
        return reply::outcome_unknown(history.cause);
    }
    if history.delivered + history.not_delivered == 0 {
        history.cause = refusal.cause;
        history.best_when_refused.clone_from(&refusal.best);
        history.held_back.clone_from(&refusal.held_back);
    }
    let cause = history.cause;
    cx.metrics
        .refusals
        .with_label_values(&[call.service.as_str(), cause])
        .inc();
    let retry_after = returns::retry_after(cx, call, history, refusal);
    reply::not_run(cause, retry_after)
}
