//! Carries news of requests that end servers to other VMs.

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
use super::suspects::{Case, Origin};
use super::told::{News, Peers, audiences};
use crate::context::EdgeContext;
use crate::presence;

/// The method that takes cases in.
const CASES: &str = "e.poison";
/// The time in which news gathers before it is told: a server that ends takes several requests
/// with it.
pub const GATHER: Millis = Millis(30);
/// The time after which peers that have started, or did not answer, are told.
pub const AGAIN: Millis = Millis(1_000);
/// The time allowed for an answer.
const LIMIT: Millis = Millis(1_000);

/// Some cases.
#[derive(Debug, Serialize, Deserialize)]
struct Cases {
    #[serde(rename = "c")]
    cases: Vec<Case>,
}

type AllTold = Rc<RefCell<Peers>>;

/// Registers the method that takes cases in.
pub(crate) fn register(
    methods: &mut MethodTable,
    poison: &Rc<PoisonDetector>,
    domain: &DomainName,
) {
    let (poison, domain) = (Rc::clone(poison), domain.clone());
    methods.register(CASES, move |from, told: Cases| {
        let origin = match from.domain == domain {
            true => Origin::Domain,
            false => Origin::Elsewhere,
        };
        told.cases.iter().for_each(|case| poison.take(case, origin));
        async move { Ok(()) }
    });
}

/// Tells peers for as long as the process runs.
pub(crate) async fn run(cx: Rc<EdgeContext>) {
    let told = AllTold::default();
    loop {
        let news = cx.poison.next_news();
        if cx.poison.suspects().is_empty() {
            news.wait().await;
        } else {
            select(news.wait(), cx.timer.wait(AGAIN)).await;
        }
        cx.timer.wait(GATHER).await;
        cx.poison.forget();
        step(&cx, &told);
    }
}

fn step(cx: &Rc<EdgeContext>, told: &AllTold) {
    let vms = presence::live_vms(cx);
    let audiences = audiences(&cx.relay.borrow(), &vms, &cx.cfg.vm, &cx.cfg.domain);
    let incarnations = incarnations(cx);
    let suspects = cx.poison.suspects();
    let mut peers = told.borrow_mut();
    peers.retain(|vm| audiences.iter().any(|(to, _)| to == vm));
    for (vm, audience) in audiences {
        let incarnation = incarnations.get(&vm).copied();
        if let Some(news) = peers.begin(&suspects, &vm, audience, incarnation) {
            monoio::spawn(tell(Rc::clone(cx), Rc::clone(told), vm, news));
        }
    }
}

/// Gives the runs of the daemons that are there.
fn incarnations(cx: &EdgeContext) -> HashMap<VmName, Incarnation> {
    let views = cx.membership.views().into_iter();
    let there = views.filter(|view| view.state != MemberState::Gone);
    there
        .map(|view| (view.id.vm, view.id.incarnation))
        .collect()
}

async fn tell(cx: Rc<EdgeContext>, told: AllTold, to: VmName, news: News) {
    let News { cases, number } = news;
    let answer = call(&cx, &to, &Cases { cases }).await;
    if let Err(error) = &answer {
        debug!(vm:% = to, error:% = error; "a peer could not be told of requests that end servers");
    }
    let has_taken = answer.is_ok();
    told.borrow_mut().ended(&to, number, has_taken);
    if has_taken && cx.poison.suspects().last_number() > number {
        cx.poison.tell_again();
    }
}

async fn call(cx: &EdgeContext, to: &VmName, cases: &Cases) -> Result<(), PeerError> {
    let opts = CallOptions::idempotent(LIMIT);
    match presence::peer_address(cx, to) {
        Some(at) => cx.net.call_address(at, CASES, cases, opts).await,
        None => cx.net.call_with(to, CASES, cases, opts).await,
    }
}
