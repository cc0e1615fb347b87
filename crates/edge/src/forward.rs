//! The way of one request: its route, its backend servers one after the other, its answer.

use std::rc::Rc;

use heatherknot_http::{Request, Response};
use heatherknot_types::prelude::*;

use crate::attempt::{self, Attempt};
use crate::call::{self, Call, Unroutable};
use crate::context::EdgeContext;
use crate::hand_over;
use crate::identify::IdentifyError;
use crate::pick::{self, Refusal};
use crate::poison::guard::{self, SendDecision};
use crate::reply;
use crate::selection::Candidate;
use crate::story::{self, Sent};

/// When a caller may come back to a daemon that has no configuration yet.
const NO_CATALOG_RETURN: Millis = Millis(300);
/// When a caller may come back whose requests the operator has first to make possible, by another
/// configuration. Those are in force some seconds after they are written.
const AMISS_RETURN: Millis = Millis(5_000);
/// Servers that could not be reached at all which one request tries.
const MAX_UNREACHED: u32 = 3;
/// Sends beyond the route's attempts that one request may make after refusals: a server that
/// refuses at once has cost it little time.
const EXTRA_AFTER_REFUSAL: u32 = 1;

/// What has become of a request so far.
#[derive(Default)]
pub(crate) struct Tries {
    /// Servers that were tried.
    pub(crate) servers: Vec<UpstreamName>,
    /// What was known at each send, and what came of it.
    pub(crate) sent: Vec<Sent>,
    /// Sends that reached a server.
    arrived: u32,
    /// Sends that a server may have run.
    may_have_run: u32,
    /// Sends that reached nobody.
    unreached: u32,
    /// The last server's own answer that it failed.
    failure: Option<Response>,
    pub(crate) cause: &'static str,
    /// The server that was the best one when the request was refused.
    pub(crate) refused_by: Option<Candidate>,
}

/// Answers a request.
pub async fn handle(cx: Rc<EdgeContext>, req: Request) -> Response {
    let id = call::id_of(&cx, &req.head).to_owned();
    match call::admit(&cx, req, None).await {
        Ok(call) => {
            let account = call.account.clone();
            let response = answer(&cx, call).await;
            if let Some(account) = account.filter(|_| reply::tells_not_run(&response)) {
                cx.quota.refund(&account);
            }
            response
        }
        Err(unroutable) => {
            let response = refuse_unrouted(&unroutable);
            story::tell_unrouted(&cx, &id, &unroutable, &response);
            response
        }
    }
}

fn refuse_unrouted(unroutable: &Unroutable) -> Response {
    let cause = unroutable.cause();
    match unroutable {
        Unroutable::NoRoute => reply::no_route(cause),
        Unroutable::Unidentified(IdentifyError::NoAccount) => reply::no_account(cause),
        Unroutable::OverLimit(_, over) => reply::over_limit(cause, over.retry_after),
        Unroutable::Body(error) => reply::bad_body(error.status(), cause),
        Unroutable::NoCatalog | Unroutable::UnreadRoute | Unroutable::NoTarget => {
            reply::not_run(cause, NO_CATALOG_RETURN)
        }
        Unroutable::Unidentified(IdentifyError::UnreadableAccount) | Unroutable::NoRegion => {
            reply::not_run(cause, AMISS_RETURN)
        }
    }
}

/// Answers a request that has a route: by the home of its server, or from here.
pub(crate) async fn answer(cx: &Rc<EdgeContext>, mut call: Call) -> Response {
    let mut tries = Tries::default();
    guard::read_body_if_suspected(cx, &call).await;
    // Asked before it is handed over as well: a home that has not heard of it yet would send it.
    match guard::check(cx, &call) {
        SendDecision::Unrestricted => {}
        SendDecision::Isolated(fingerprint, _) => call.set_apart(&fingerprint),
        SendDecision::Refused(cause, come_back) => {
            let refusal = Refusal::stopped(cause, come_back);
            let response = give_up(cx, &call, &mut tries, &refusal);
            story::tell(cx, &call, &tries, &response);
            return response;
        }
    }
    if let Some(response) = hand_over::hand_over(cx, &mut call, &mut tries).await {
        return response;
    }
    // A request that was handed over counts at the home, which makes its further sends.
    call.state.budget.borrow_mut().record_request(call.started);
    let response = serve(cx, &mut call, &mut tries).await;
    story::tell(cx, &call, &tries, &response);
    response
}

async fn serve(cx: &Rc<EdgeContext>, call: &mut Call, tries: &mut Tries) -> Response {
    while call.body.is_there() {
        let under_way = match guard::check(cx, call) {
            SendDecision::Unrestricted => None,
            SendDecision::Isolated(fingerprint, under_way) => {
                call.set_apart(&fingerprint);
                Some(under_way)
            }
            SendDecision::Refused(cause, come_back) => {
                let refusal = Refusal::stopped(cause, come_back);
                return give_up(cx, call, tries, &refusal);
            }
        };
        let prospect = match pick::pick(cx, call, &tries.servers) {
            Ok(prospect) => prospect,
            Err(refusal) => return give_up(cx, call, tries, &refusal),
        };
        if !may_send(cx, call, tries) {
            return give_up(cx, call, tries, &Refusal::out_of_tries());
        }
        tries.servers.push(prospect.upstream.id.clone());
        let at = cx.now();
        let is_callers = call.meant.is_none();
        let _under_way = is_callers.then(|| {
            call.state
                .sent_by_region
                .start_request(&prospect.upstream.region)
        });
        let attempt = attempt::send(cx, call, &prospect).await;
        drop(under_way);
        tries
            .sent
            .push(Sent::new(cx, call, &prospect, at, &attempt));
        let labels = [call.service.as_str(), attempt.label()];
        cx.metrics.sends.with_label_values(&labels).inc();
        if let Some(response) = take_in(cx, call, tries, &prospect, attempt).await {
            return response;
        }
        if tries.may_have_run > 0 && !call.route.idempotent {
            break;
        }
    }
    give_up(cx, call, tries, &Refusal::out_of_tries())
}

/// Takes in what came of a send; gives the answer for the caller where there is one.
async fn take_in(
    cx: &Rc<EdgeContext>,
    call: &Call,
    tries: &mut Tries,
    prospect: &Candidate,
    attempt: Attempt,
) -> Option<Response> {
    match attempt {
        Attempt::Answer(response) => {
            guard::record_clean_run(cx, call);
            return Some(response);
        }
        Attempt::CallerGone => {
            tries.cause = "the caller has disconnected";
            return Some(reply::unknown(tries.cause));
        }
        Attempt::Late => {
            tries.cause = "no answer came in time";
            return Some(reply::timed_out());
        }
        Attempt::NotSent(cause) => {
            tries.unreached += 1;
            tries.cause = cause;
        }
        Attempt::NotRun(cause) => {
            tries.arrived += 1;
            tries.cause = cause;
        }
        Attempt::Failure(response) => {
            guard::record_clean_run(cx, call);
            tries.note_may_have_run("the server failed");
            tries.failure = Some(response);
        }
        Attempt::Unknown(cause) => {
            tries.note_may_have_run(cause);
            tries.failure = None;
        }
        Attempt::Broken(cause) => {
            tries.note_may_have_run(cause);
            tries.failure = None;
            guard::investigate_broken_connection(cx, call, &prospect.upstream).await;
        }
    }
    None
}

impl Tries {
    /// Notes a send that a server may have run and to which there is no usable answer.
    pub(crate) fn note_may_have_run(&mut self, cause: &'static str) {
        self.arrived += 1;
        self.may_have_run += 1;
        self.cause = cause;
    }
}

/// Says whether the request may be sent once more, and takes that from the budget.
fn may_send(cx: &EdgeContext, call: &Call, tries: &Tries) -> bool {
    let attempts = call.route.attempts.max(1);
    let within = tries.unreached <= MAX_UNREACHED
        && tries.may_have_run < attempts
        && tries.arrived < attempts + EXTRA_AFTER_REFUSAL;
    if !within || tries.arrived == 0 {
        return within;
    }
    let mut budget = call.state.budget.borrow_mut();
    budget.try_take(cx.now(), cx.vms_that_may_send())
}

/// Gives the final answer to a request that no server answered.
fn give_up(cx: &EdgeContext, call: &Call, tries: &mut Tries, refusal: &Refusal) -> Response {
    if let Some(response) = tries.failure.take() {
        return response;
    }
    if tries.may_have_run > 0 {
        return reply::unknown(tries.cause);
    }
    if tries.arrived + tries.unreached == 0 {
        tries.cause = refusal.cause;
        tries.refused_by.clone_from(&refusal.best);
    }
    let cause = tries.cause;
    cx.metrics
        .refusals
        .with_label_values(&[call.service.as_str(), cause])
        .inc();
    reply::not_run(cause, refusal.come_back)
}
