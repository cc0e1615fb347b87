//! Requests changes of the store's keys from peers, and answers such requests.

mod answers;
mod offers;
mod requests;
mod wire;

use std::net::SocketAddr;
use std::rc::Rc;

use heatherknot_peer::options::CallOptions;
use heatherknot_peer::{MethodTable, PeerError};
use heatherknot_store::port::StoreRevision;
use heatherknot_types::prelude::*;
use log::debug;

use crate::context::EdgeContext;
use crate::presence;

pub use answers::PeerAnswers;
pub use offers::{Offer, Offers};
pub use requests::{PeerLinks, PeerRequests, Source, select_source};
pub use wire::Changes;

/// RPC method that returns the changes after a revision.
const CHANGES_METHOD: &str = "e.changes";
/// The same for daemons that know revisions by their numbers only.
const CHANGES_BY_NUMBER_METHOD: &str = "e.changed";
/// RPC method that offers recent data.
const OFFER_METHOD: &str = "e.offer";
/// Timeout of an offer.
const OFFER_TIMEOUT: Millis = Millis(1_000);

/// Registers the RPC methods that answer peers.
pub fn register(methods: &mut MethodTable, answers: &PeerAnswers) {
    let peer_answers = answers.clone();
    methods.register(CHANGES_METHOD, move |caller, after: StoreRevision| {
        let answers = peer_answers.clone();
        async move { Ok(answers.answer(caller.vm, after).await) }
    });
    let peer_answers = answers.clone();
    methods.register(CHANGES_BY_NUMBER_METHOD, move |caller, number: u64| {
        let answers = peer_answers.clone();
        async move { Ok(answers.answer_by_number(caller.vm, number).await) }
    });
    let answers = answers.clone();
    methods.register(OFFER_METHOD, move |caller, offer: Offer| {
        answers.receive_offer(caller.vm, offer);
        async { Ok(()) }
    });
}

/// Starts to request changes from peers.
pub fn start(cx: &Rc<EdgeContext>) {
    let requests = PeerRequests::new(&cx.feed, &cx.offers, &cx.timer, links(cx));
    monoio::spawn(Rc::clone(&requests).run());
    monoio::spawn(Rc::clone(&requests).run_offers());
    monoio::spawn(fetch_from_seeds(Rc::clone(cx), requests));
}

fn links(cx: &Rc<EdgeContext>) -> PeerLinks {
    let ready_cx = Rc::clone(cx);
    let topology_cx = Rc::clone(cx);
    let peer_cx = Rc::clone(cx);
    let seed_cx = Rc::clone(cx);
    let request_cx = Rc::clone(cx);
    let offer_cx = Rc::clone(cx);
    PeerLinks {
        may_request: Box::new(move || {
            let has_no_peers =
                ready_cx.feed.is_awaiting_peers() && !ready_cx.has_read_vm_entries.get();
            !ready_cx.leaving.is_fired() && !has_no_peers
        }),
        sources: Box::new(move || sources(&topology_cx)),
        random_peer: Box::new(move || peer_cx.membership.random_peer()),
        random_seed: Box::new(move || {
            let own = seed_cx.cfg.listen.peers;
            let seeds: Vec<_> = seed_cx.cfg.seeds.iter().filter(|s| **s != own).collect();
            seed_cx.rng.borrow_mut().choice(seeds).copied()
        }),
        request: Box::new(move |source, after, timeout| {
            Box::pin(request(
                Rc::clone(&request_cx),
                source.clone(),
                after,
                timeout,
            ))
        }),
        offer: Box::new(move |vm, offer| {
            monoio::spawn(send_offer(Rc::clone(&offer_cx), vm, offer));
        }),
    }
}

fn sources(cx: &EdgeContext) -> Vec<VmName> {
    let topology = cx.feed_topology.borrow();
    match cx.feed.is_awaiting_peers() {
        true => topology.first_copy_sources(&cx.cfg.vm, &cx.cfg.domain),
        false => topology.sources(&cx.cfg.vm, &cx.cfg.domain),
    }
}

async fn request(
    cx: Rc<EdgeContext>,
    source: Source,
    after: StoreRevision,
    timeout: Millis,
) -> Result<Changes, PeerError> {
    let opts = CallOptions::idempotent(timeout);
    let net = &cx.net;
    match source {
        Source::Seed(at) => net.call_address(at, CHANGES_METHOD, &after, opts).await,
        // Just after a start the VMs' entries are known, but heartbeats have not found any peer yet.
        Source::Vm(vm) => match presence::peer_address(&cx, &vm) {
            Some(at) => net.call_address(at, CHANGES_METHOD, &after, opts).await,
            None => net.call_with(&vm, CHANGES_METHOD, &after, opts).await,
        },
    }
}

async fn send_offer(cx: Rc<EdgeContext>, vm: VmName, offer: Offer) {
    let opts = CallOptions::idempotent(OFFER_TIMEOUT);
    let sent: Result<(), PeerError> = match presence::peer_address(&cx, &vm) {
        Some(at) => cx.net.call_address(at, OFFER_METHOD, &offer, opts).await,
        None => cx.net.call_with(&vm, OFFER_METHOD, &offer, opts).await,
    };
    if let Err(error) = sent {
        debug!(vm:% = vm, error:% = error; "an offer of recent data was not received");
    }
}

/// Requests all keys from the seeds if this VM is the head of a domain that has just started.
///
/// The other VMs of the domain wait for it. Reading a store in another region takes five sequential
/// calls and about a second in total; a seed near the store has the whole copy by then and sends it
/// in one answer.
async fn fetch_from_seeds(cx: Rc<EdgeContext>, requests: Rc<PeerRequests>) {
    while !cx.has_read_vm_entries.get() {
        cx.timer.wait(cx.feed.idle_interval()).await;
    }
    if !cx
        .feed_topology
        .borrow()
        .is_head(&cx.cfg.vm, &cx.cfg.domain)
    {
        return;
    }
    let own = cx.cfg.listen.peers;
    for seed in cx.cfg.seeds.iter().copied().filter(|seed| *seed != own) {
        monoio::spawn(poll_seed(Rc::clone(&cx), Rc::clone(&requests), seed));
    }
}

async fn poll_seed(cx: Rc<EdgeContext>, requests: Rc<PeerRequests>, seed: SocketAddr) {
    while cx.feed.is_awaiting_peers() {
        if let Err(error) = requests.request(&Source::Seed(seed)).await {
            debug!(seed:% = seed, error:% = error; "a request for all keys to a seed failed");
        }
        cx.timer.wait(cx.feed.idle_interval()).await;
    }
}
