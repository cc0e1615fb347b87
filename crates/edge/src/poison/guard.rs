//! Decides at each send whether a request may go to a server, and learns from what came of it.

use std::rc::Rc;
use std::sync::Arc;

use futures_util::future::select;
use heatherknot_http::Flag;
use heatherknot_types::hash;
use heatherknot_types::prelude::*;
use log::info;

use super::crash;
use super::fingerprint::{Fingerprint, hash_head};
use super::state::UnderWay;
use super::suspects::{ENDS_TO_REJECT, EndId, Standing, Subject};
use crate::call::Call;
use crate::context::EdgeContext;
use crate::homes::HomePeer;
use crate::switches::Mechanism;
use crate::upstream::Upstream;

/// How long a request that may be sent again waits for the word whether its server has ended. A
/// server in another region refuses a connection after about a tenth of a second.
const WORD_LIMIT: Millis = Millis(250);

/// Whether a request may go to a server now.
pub(crate) enum Pass {
    /// It may. Nothing speaks against it.
    Free,
    /// It may, and counts as under way meanwhile. It goes where its own fingerprint leads: all
    /// VMs send it to the same server then, and requests that ended together part.
    Apart(Fingerprint, UnderWay),
    /// It may not.
    Stopped(&'static str),
}

/// Says whether a request may go to a server, after `ended` servers that ended in this attempt.
pub(crate) fn ask(cx: &EdgeContext, call: &Call, ended: usize) -> Pass {
    let Some((fingerprint, standing)) = find(cx, call) else {
        return Pass::Free;
    };
    match standing {
        Standing::Unknown => Pass::Free,
        Standing::Rejected => Pass::Stopped(REJECTED),
        // The next end would be the one by which it is rejected. Its caller gets an answer first.
        Standing::Suspected(ends) if ended > 0 && ends + 1 >= ENDS_TO_REJECT => {
            Pass::Stopped("servers ended under it")
        }
        Standing::Suspected(_) => match cx.poison.begin(fingerprint) {
            Some(under_way) => Pass::Apart(fingerprint, under_way),
            None => Pass::Stopped("a request like it is under way, and servers ended under it"),
        },
    }
}

/// Why a request is refused that is rejected.
pub(crate) const REJECTED: &str = "servers end under it, so it is rejected";

/// Gives the number by which a suspected request is placed.
pub(crate) fn place_of(fingerprint: &Fingerprint) -> u64 {
    hash::digest(fingerprint.as_bytes())
}

/// Gives what is known of a request. For nearly all requests that is nothing, which the hash of
/// their heads tells.
fn find(cx: &EdgeContext, call: &Call) -> Option<(Fingerprint, Standing)> {
    let suspects = cx.poison.suspects();
    if suspects.is_empty() || !cx.switches.has(Mechanism::Poison) {
        return None;
    }
    if !suspects.knows_head(hash_head(&call.head)) {
        return None;
    }
    let fingerprints = call.fingerprints(cx).into_iter();
    let known = fingerprints.map(|fingerprint| (fingerprint, suspects.standing(&fingerprint)));
    known.max_by_key(|(_, standing)| *standing)
}

/// Reads the rest of a long body where only that tells whether its request is known.
pub(crate) async fn read_body(cx: &EdgeContext, call: &Call) {
    let is_doubtful = {
        let suspects = cx.poison.suspects();
        !suspects.is_empty() && suspects.knows_head(hash_head(&call.head))
    };
    if is_doubtful {
        call.body.read_rest().await;
    }
}

/// Takes in that a request ran and its server lived.
pub(crate) fn note_clean_run(cx: &EdgeContext, call: &Call) {
    if let Some((fingerprint, Standing::Suspected(_) | Standing::Rejected)) = find(cx, call) {
        cx.poison.note_clean_run(&fingerprint);
    }
}

fn subject_of(cx: &EdgeContext, call: &Call) -> Subject {
    Subject {
        fingerprint: call.fingerprint(cx),
        head: hash_head(&call.head),
        route: Arc::clone(&call.route.name),
        account: call.account.as_ref().map(|account| account.name.clone()),
    }
}

/// Finds out whether the server has ended to which a request's connection broke, and takes that in.
/// Says whether it has, as far as that is known soon.
pub(crate) async fn look_into_break(
    cx: &Rc<EdgeContext>,
    call: &Call,
    upstream: &Rc<Upstream>,
) -> bool {
    let subject = subject_of(cx, call);
    let id = call.id(cx).to_owned();
    let noted = Flag::new();
    // A task of its own: the word may come when the caller has long been answered.
    monoio::spawn(note_break(
        Rc::clone(cx),
        subject,
        id,
        Rc::clone(upstream),
        noted.clone(),
    ));
    if !call.route.idempotent {
        return false;
    }
    select(noted.wait(), cx.timer.wait(WORD_LIMIT)).await;
    upstream.is_known_to_have_ended()
}

async fn note_break(
    cx: Rc<EdgeContext>,
    subject: Subject,
    id: String,
    upstream: Rc<Upstream>,
    noted: Flag,
) {
    let others = upstream.in_flight();
    if crash::has_ended(&upstream).await {
        let service = upstream.service.as_str();
        cx.metrics.server_ends.with_label_values(&[service]).inc();
        info!(id = id.as_str(), fingerprint:% = subject.fingerprint, route:% = subject.route,
            upstream:% = upstream.id, service, others; "a backend server ended while it had a request");
        if cx.switches.has(Mechanism::Poison) {
            let end = EndId::of(&upstream.id, upstream.born);
            cx.poison.note_end(&subject, end);
        }
    }
    noted.fire();
}

/// Finds out whether the home has ended to which a request was handed over, and takes that in: a
/// request may end the daemons that read it as well as the servers that run it.
pub(crate) fn look_into_home(cx: &Rc<EdgeContext>, call: &Call, peer: &Rc<HomePeer>) {
    if !cx.switches.has(Mechanism::Poison) {
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
