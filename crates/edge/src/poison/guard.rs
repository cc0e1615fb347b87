//! Decides at each send whether a request may go to a server, and learns from what came of it.

use std::rc::Rc;
use std::sync::Arc;

use futures_util::future::select;
use heatherknot_http::Flag;
use heatherknot_types::prelude::*;
use log::info;

use super::crash;
use super::fingerprint::Fingerprint;
use super::state::UnderWay;
use super::suspects::{EndId, Judgement, Subject};
use crate::call::Call;
use crate::context::EdgeContext;
use crate::homes::HomePeer;
use crate::switches::Mechanism;
use crate::upstream::Upstream;

/// How long a request that may be sent again waits for the word whether its server has ended. A
/// server in another region refuses a connection after about a tenth of a second.
const WORD_LIMIT: Millis = Millis(250);
/// Why a request is refused that is rejected.
const REJECTED: &str = "servers end under it, so it is rejected";
/// When the caller of one may come back: an operator has to release it first.
const REJECTED_RETURN: Millis = Millis(3_600_000);
/// The same for one like which another is under way, until that one has ended.
const UNDER_WAY_RETURN: Millis = Millis(1_000);

/// Whether a request may go to a server now.
pub(crate) enum SendDecision {
    /// It may. Nothing speaks against it.
    Unrestricted,
    /// It may, and counts as under way meanwhile. It goes where its fingerprint leads.
    Isolated(Fingerprint, UnderWay),
    /// It may not, for this cause; when its caller may come back.
    Refused(&'static str, Millis),
}

/// Says whether a request may go to a server now.
pub(crate) fn check(cx: &EdgeContext, call: &Call) -> SendDecision {
    let Some(fingerprint) = find(cx, call) else {
        return SendDecision::Unrestricted;
    };
    let judgement = cx.poison.suspects().judge(&fingerprint, cx.now());
    match judgement {
        Judgement::Free => SendDecision::Unrestricted,
        Judgement::Rejected => SendDecision::Refused(REJECTED, REJECTED_RETURN),
        Judgement::Wait(left) => SendDecision::Refused("servers ended under it just now", left),
        Judgement::Apart => match cx.poison.begin(fingerprint) {
            Some(under_way) => SendDecision::Isolated(fingerprint, under_way),
            None => SendDecision::Refused(
                "servers ended under one like it that is under way",
                UNDER_WAY_RETURN,
            ),
        },
    }
}

/// Gives what is known of a request. For nearly all requests that is nothing, which their
/// quick hash tells.
fn find(cx: &EdgeContext, call: &Call) -> Option<Fingerprint> {
    let suspects = cx.poison.suspects();
    if suspects.is_empty() || !cx.switches.is_on(Mechanism::Poison) {
        return None;
    }
    if !suspects.knows_quick(call.quick_hash(cx)) {
        return None;
    }
    let fingerprints = call.fingerprints(cx).into_iter();
    fingerprints.max_by_key(|fingerprint| suspects.standing(fingerprint))
}

/// Reads the rest of a long body where only that tells whether its request is known.
pub(crate) async fn read_body_if_suspected(cx: &EdgeContext, call: &Call) {
    let is_doubtful = {
        let suspects = cx.poison.suspects();
        !suspects.is_empty() && suspects.knows_quick(call.quick_hash(cx))
    };
    if is_doubtful {
        call.body.read_rest().await;
    }
}

/// Takes in that a request ran and its server lived.
pub(crate) fn record_clean_run(cx: &EdgeContext, call: &Call) {
    if cx.switches.is_on(Mechanism::Poison) {
        cx.poison
            .note_clean_run(call.quick_hash(cx), find(cx, call));
    }
}

fn subject_of(cx: &EdgeContext, call: &Call) -> Subject {
    Subject {
        fingerprint: call.fingerprint(cx),
        quick: call.quick_hash(cx),
        route: Arc::clone(&call.route.name),
        account: call.account.as_ref().map(|account| account.name.clone()),
    }
}

/// Finds out whether the server has ended to which a request's connection broke, and takes that in.
/// Waits for the word where the request may be sent again.
pub(crate) async fn investigate_broken_connection(
    cx: &Rc<EdgeContext>,
    call: &Call,
    upstream: &Rc<Upstream>,
) {
    let broken = Broken {
        subject: subject_of(cx, call),
        id: call.id(cx).to_owned(),
        upstream: Rc::clone(upstream),
    };
    let noted = Flag::new();
    // A task of its own: the word may come when the caller has long been answered.
    monoio::spawn(note_break(Rc::clone(cx), broken, noted.clone()));
    if call.route.idempotent {
        select(noted.wait(), cx.timer.wait(WORD_LIMIT)).await;
    }
}

/// A request whose connection to a server broke.
struct Broken {
    subject: Subject,
    id: String,
    upstream: Rc<Upstream>,
}

async fn note_break(cx: Rc<EdgeContext>, broken: Broken, noted: Flag) {
    let Broken {
        subject,
        id,
        upstream,
    } = broken;
    let others = upstream.in_flight();
    if crash::has_ended(&upstream).await {
        let service = upstream.service.as_str();
        cx.metrics
            .requests_at_server_end
            .with_label_values(&[service])
            .inc();
        info!(id = id.as_str(), fingerprint:% = subject.fingerprint, route:% = subject.route,
            upstream:% = upstream.id, service, others; "a backend server ended while it had a request");
        if cx.switches.is_on(Mechanism::Poison) {
            let end = EndId::of(&upstream.id, upstream.started_at);
            cx.poison.note_end(&subject, end);
        }
    }
    noted.fire();
}

/// Finds out whether the home has ended to which a request was handed over, and takes that in: a
/// request may end the daemons that read it as well as the servers that run it.
pub(crate) fn investigate_broken_handover(cx: &Rc<EdgeContext>, call: &Call, peer: &Rc<HomePeer>) {
    if !cx.switches.is_on(Mechanism::Poison) {
        return;
    }
    let subject = subject_of(cx, call);
    let (cx, peer) = (Rc::clone(cx), Rc::clone(peer));
    monoio::spawn(async move {
        let reopened = peer.pool.reopen().await;
        if reopened.is_err_and(|error| error.is_refused()) {
            info!(fingerprint:% = subject.fingerprint, home:% = peer.pool.address(); "a home ended while it had a request");
            // Nobody else saw this attempt, so any new name will do.
            let end = EndId(cx.rng.borrow_mut().u64(..));
            cx.poison.note_end(&subject, end);
        }
    });
}
