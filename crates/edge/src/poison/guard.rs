//! Decides before each send whether a request may be sent, and records how it ended.

use std::rc::Rc;
use std::sync::Arc;

use futures_util::future::select;
use heatherknot_http::Flag;
use heatherknot_types::prelude::*;
use log::info;

use super::fingerprint::Fingerprint;
use super::state::SuspectInFlightGuard;
use super::suspects::{CrashId, RequestSummary, SendPolicy};
use crate::call::Call;
use crate::context::EdgeContext;
use crate::homes::HomePeer;
use crate::reachability::diagnosis::{self, Diagnosis};
use crate::switches::Mechanism;
use crate::upstream::Upstream;

/// How long an idempotent request waits, before it is sent again, for the probe whether its server
/// crashed. A server in another region refuses a connection after about 100 ms.
const PROBE_WAIT: Millis = Millis(250);
/// The cause with which rejected requests are refused.
const REJECTED: &str = "servers end under it, so it is rejected";
/// Retry-after of a rejected request: an operator has to release it first.
const REJECTED_RETRY_AFTER: Millis = Millis(3_600_000);
/// Retry-after of a suspected request while another attempt of it is in flight.
const IN_FLIGHT_RETRY_AFTER: Millis = Millis(1_000);

/// Whether and how a request may be sent now.
pub(crate) enum SendDecision {
    /// It may be sent to any server.
    Normal,
    /// It may be sent, is placed by its fingerprint and counts as in flight until the guard is
    /// dropped.
    Isolated(Fingerprint, SuspectInFlightGuard),
    /// It may not be sent, for this cause; its caller may retry after this time.
    Refused(&'static str, Millis),
}

/// Decides whether and how a request may be sent now.
pub(crate) fn check(cx: &EdgeContext, call: &Call) -> SendDecision {
    let Some(fingerprint) = find_suspect(cx, call) else {
        return SendDecision::Normal;
    };
    let policy = cx.poison.suspects().send_policy(&fingerprint, cx.now());
    match policy {
        SendPolicy::Normal => SendDecision::Normal,
        SendPolicy::Rejected => SendDecision::Refused(REJECTED, REJECTED_RETRY_AFTER),
        SendPolicy::Delayed(left) => SendDecision::Refused("servers ended under it just now", left),
        SendPolicy::Isolated => match cx.poison.try_start(fingerprint) {
            Some(in_flight) => SendDecision::Isolated(fingerprint, in_flight),
            None => SendDecision::Refused(
                "servers ended under one like it that is under way",
                IN_FLIGHT_RETRY_AFTER,
            ),
        },
    }
}

/// Returns the fingerprint under which a request may be a suspect. The quick hash rules out nearly
/// all requests, so that no fingerprint is computed for them.
fn find_suspect(cx: &EdgeContext, call: &Call) -> Option<Fingerprint> {
    let suspects = cx.poison.suspects();
    if suspects.is_empty() || !cx.switches.is_on(Mechanism::Poison) {
        return None;
    }
    if !suspects.contains_quick_hash(call.quick_hash(cx)) {
        return None;
    }
    let fingerprints = call.fingerprints(cx).into_iter();
    fingerprints.max_by_key(|fingerprint| suspects.verdict(fingerprint))
}

/// Returns whether servers may have crashed while running a request.
pub(crate) fn is_suspected(cx: &EdgeContext, call: &Call) -> bool {
    find_suspect(cx, call).is_some()
}

/// Reads the rest of a long body if the request may be a suspect, which only its whole body tells.
pub(crate) async fn read_body_if_suspected(cx: &EdgeContext, call: &Call) {
    let may_be_suspect = {
        let suspects = cx.poison.suspects();
        !suspects.is_empty() && suspects.contains_quick_hash(call.quick_hash(cx))
    };
    if may_be_suspect {
        call.body.read_rest().await;
    }
}

/// Records that a request ran without crashing its server.
pub(crate) fn record_clean_run(cx: &EdgeContext, call: &Call) {
    if cx.switches.is_on(Mechanism::Poison) {
        cx.poison
            .record_clean_run(call.quick_hash(cx), find_suspect(cx, call));
    }
}

fn summary_of(cx: &EdgeContext, call: &Call) -> RequestSummary {
    RequestSummary {
        fingerprint: call.fingerprint(cx),
        quick_hash: call.quick_hash(cx),
        route: Arc::clone(&call.route.name),
        account: call.account.as_ref().map(|account| account.name.clone()),
    }
}

/// Finds out whether the server crashed when the connection of a request broke, and records the
/// crash. An idempotent request waits for the result, since it may be sent again.
pub(crate) async fn investigate_broken_connection(
    cx: &Rc<EdgeContext>,
    call: &Call,
    upstream: &Rc<Upstream>,
) {
    let broken = BrokenRequest {
        request: summary_of(cx, call),
        id: call.id(cx).to_owned(),
        upstream: Rc::clone(upstream),
    };
    let recorded = Flag::new();
    // Spawned, because the probe may finish long after the caller has been answered.
    monoio::spawn(record_if_crashed(Rc::clone(cx), broken, recorded.clone()));
    if call.route.idempotent {
        select(recorded.wait(), cx.timer.wait(PROBE_WAIT)).await;
    }
}

/// A request whose connection to a server broke.
struct BrokenRequest {
    request: RequestSummary,
    id: String,
    upstream: Rc<Upstream>,
}

async fn record_if_crashed(cx: Rc<EdgeContext>, broken: BrokenRequest, recorded: Flag) {
    let BrokenRequest {
        request,
        id,
        upstream,
    } = broken;
    let others = upstream.in_flight();
    // A server that announced that it leaves drops the requests that it still runs, which is no
    // evidence against them.
    let is_leaving = !upstream.accepts_requests();
    if !is_leaving && diagnosis::diagnose(&cx, &upstream).await == Diagnosis::Crashed {
        let service = upstream.service.as_str();
        cx.metrics
            .requests_at_server_crash
            .with_label_values(&[service])
            .inc();
        info!(id = id.as_str(), fingerprint:% = request.fingerprint, route:% = request.route,
            upstream:% = upstream.id, service, others; "backend server crashed during a request");
        if cx.switches.is_on(Mechanism::Poison) {
            let crash = CrashId::of(&upstream.id, upstream.started_at);
            cx.poison.record_crash(&request, crash);
        }
    }
    recorded.fire();
}

/// Finds out whether the home crashed when the connection of a handed-over request broke, and
/// records the crash: a request may crash the daemons that parse it as well as the servers that
/// run it.
pub(crate) fn investigate_broken_handover(cx: &Rc<EdgeContext>, call: &Call, peer: &Rc<HomePeer>) {
    if !cx.switches.is_on(Mechanism::Poison) {
        return;
    }
    let request = summary_of(cx, call);
    let (cx, peer) = (Rc::clone(cx), Rc::clone(peer));
    monoio::spawn(async move {
        let reopened = peer.pool.preconnect().await;
        if reopened.is_err_and(|error| error.is_refused()) {
            info!(fingerprint:% = request.fingerprint, home:% = peer.pool.address(); "home crashed during a request that was handed over to it");
            // A random identifier will do, since no other VM saw this attempt.
            let crash = CrashId(cx.rng.borrow_mut().u64(..));
            cx.poison.record_crash(&request, crash);
        }
    });
}
