//! Sends updates of suspects to other VMs and receives theirs.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use futures_util::future::select;
use heatherknot_peer::options::CallOptions;
use heatherknot_peer::{MemberState, MethodTable, PeerError};
use heatherknot_types::prelude::*;
use log::debug;
use serde::{Deserialize, Serialize};

use super::PoisonDetector;
use super::propagation::{PeerProgress, Update, recipients};
use super::suspects::{Origin, Suspect};
use crate::context::EdgeContext;
use crate::presence;

/// The peer method that receives updates.
const METHOD: &str = "e.poison";
/// How long updates are gathered into one batch: a server that crashes takes several requests
/// with it.
pub const BATCH_DELAY: Millis = Millis(30);
/// The pause between two checks for peers that have restarted or did not answer.
pub const RETRY_INTERVAL: Millis = Millis(1_000);
/// The timeout of one call.
const CALL_TIMEOUT: Millis = Millis(1_000);

/// The payload of a call.
#[derive(Debug, Serialize, Deserialize)]
struct Payload {
    #[serde(rename = "c")]
    suspects: Vec<Suspect>,
}

type SharedProgress = Rc<RefCell<PeerProgress>>;

/// Registers the peer method that merges received updates.
pub(crate) fn register(
    methods: &mut MethodTable,
    detector: &Rc<PoisonDetector>,
    domain: &DomainName,
) {
    let (detector, domain) = (Rc::clone(detector), domain.clone());
    methods.register(METHOD, move |from, payload: Payload| {
        let origin = match from.domain == domain {
            true => Origin::SameDomain,
            false => Origin::OtherDomain,
        };
        payload
            .suspects
            .iter()
            .for_each(|suspect| detector.merge(suspect, origin));
        async move { Ok(()) }
    });
}

/// Sends updates to peers until the process ends.
pub(crate) async fn run(cx: Rc<EdgeContext>) {
    let progress = SharedProgress::default();
    loop {
        let update = cx.poison.next_update();
        if cx.poison.suspects().is_empty() {
            update.wait().await;
        } else {
            select(update.wait(), cx.timer.wait(RETRY_INTERVAL)).await;
        }
        cx.timer.wait(BATCH_DELAY).await;
        cx.poison.remove_expired();
        start_updates(&cx, &progress);
    }
}

/// Starts a call to each peer that lacks updates and has no call in flight.
fn start_updates(cx: &Rc<EdgeContext>, progress: &SharedProgress) {
    let vms = presence::live_vms(cx);
    let recipients = recipients(&cx.feed_topology.borrow(), &vms, &cx.cfg.vm, &cx.cfg.domain);
    let incarnations = incarnations(cx);
    let suspects = cx.poison.suspects();
    let mut peers = progress.borrow_mut();
    peers.retain(|vm| recipients.iter().any(|(to, _)| to == vm));
    for (vm, role) in recipients {
        let incarnation = incarnations.get(&vm).copied();
        if let Some(update) = peers.start_update(&suspects, &vm, role, incarnation) {
            monoio::spawn(send_update(Rc::clone(cx), Rc::clone(progress), vm, update));
        }
    }
}

/// Returns the incarnations of the daemons that are members.
fn incarnations(cx: &EdgeContext) -> HashMap<VmName, Incarnation> {
    let views = cx.membership.views().into_iter();
    let present = views.filter(|view| view.state != MemberState::Gone);
    present
        .map(|view| (view.id.vm, view.id.incarnation))
        .collect()
}

async fn send_update(cx: Rc<EdgeContext>, progress: SharedProgress, to: VmName, update: Update) {
    let Update { suspects, version } = update;
    let result = call(&cx, &to, &Payload { suspects }).await;
    if let Err(error) = &result {
        debug!(vm:% = to, error:% = error; "failed to send suspected requests to a peer");
    }
    let is_acked = result.is_ok();
    progress.borrow_mut().finish_update(&to, version, is_acked);
    if is_acked && cx.poison.suspects().last_version() > version {
        cx.poison.wake_exchange();
    }
}

async fn call(cx: &EdgeContext, to: &VmName, payload: &Payload) -> Result<(), PeerError> {
    let opts = CallOptions::idempotent(CALL_TIMEOUT);
    match presence::peer_address(cx, to) {
        Some(at) => cx.net.call_address(at, METHOD, payload, opts).await,
        None => cx.net.call_with(to, METHOD, payload, opts).await,
    }
}
