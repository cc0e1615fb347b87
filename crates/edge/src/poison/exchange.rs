//! Tells other VMs of requests that end servers.
//!
//! A VM tells the leaders of its domain what it found out. Those tell all VMs of their domain, and
//! the leaders of the other domains, which tell theirs. A peer that does not answer is told again
//! until it does or is gone; one that has started anew is told all that this VM would tell it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use futures_util::future::select;
use heatherknot_peer::options::CallOptions;
use heatherknot_peer::{MemberState, MethodTable, PeerError};
use heatherknot_types::prelude::*;
use log::debug;
use serde::{Deserialize, Serialize};

use super::Poison;
use super::suspects::{Case, Held, Origin};
use crate::context::EdgeContext;
use crate::presence;

/// The method that takes in cases.
const CASES: &str = "e.poison";
/// The time in which news gathers before it is told: a server that ends takes several requests
/// with it.
const GATHER: Millis = Millis(30);
/// The time after which peers that have started, or did not answer, are told.
const AGAIN: Millis = Millis(1_000);
/// The time allowed for an answer.
const LIMIT: Millis = Millis(1_000);
/// Cases of one message. It stays under 4 KB, and a flood of news under that a second to a peer.
const MOST_AT_ONCE: usize = 16;

/// Some cases.
#[derive(Debug, Serialize, Deserialize)]
struct Cases {
    #[serde(rename = "c")]
    cases: Vec<Case>,
}

/// How much one peer was told.
#[derive(Debug, Default)]
struct Told {
    /// The run of its daemon, where one is known.
    incarnation: Option<Incarnation>,
    /// The number of the last news that it has taken in.
    number: u64,
    is_under_way: bool,
}

type AllTold = Rc<RefCell<HashMap<VmName, Told>>>;

/// Whom a VM tells of which cases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Audience {
    /// A leader of the own domain, by a VM that is none.
    Leader,
    /// A VM of the own domain, by its leader.
    Neighbour,
    /// A leader of another domain, by a leader.
    OtherLeader,
}

impl Audience {
    /// Says whether such a peer is told of a case. Each is told by those that it doesn't hear of
    /// otherwise; what the store has told needs no telling.
    fn hears(self, held: &Held) -> bool {
        match (self, held.origin) {
            (_, Origin::Store) => false,
            (Audience::Neighbour, _) | (_, Origin::Own) => true,
            (Audience::OtherLeader, origin) => origin == Origin::Domain,
            (Audience::Leader, _) => false,
        }
    }
}

/// Registers the method that takes cases in.
pub(crate) fn register(methods: &mut MethodTable, poison: &Rc<Poison>, domain: &DomainName) {
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

fn step(cx: &Rc<EdgeContext>, all_told: &AllTold) {
    let incarnations = incarnations(cx);
    let audiences = audiences(cx);
    let mut told = all_told.borrow_mut();
    told.retain(|vm, _| audiences.iter().any(|(to, _)| to == vm));
    for (vm, audience) in audiences {
        let incarnation = incarnations.get(&vm).copied();
        let peer = told.entry(vm.clone()).or_default();
        if peer.incarnation != incarnation {
            *peer = Told {
                incarnation,
                ..Told::default()
            };
        }
        let Some(news) = news_for(cx, audience, peer) else {
            continue;
        };
        peer.is_under_way = true;
        monoio::spawn(tell(Rc::clone(cx), Rc::clone(all_told), vm, news));
    }
}

/// What a peer is told at once.
struct News {
    cases: Vec<Case>,
    /// The number up to which that is all of it.
    number: u64,
}

/// Gives what a peer is to be told next, where there is anything and nothing is under way to it.
fn news_for(cx: &EdgeContext, audience: Audience, peer: &mut Told) -> Option<News> {
    let suspects = cx.poison.suspects();
    if peer.is_under_way || peer.number >= suspects.last_number() {
        return None;
    }
    let newer = suspects.since(peer.number).into_iter();
    let heard = newer.filter(|held| audience.hears(held));
    let heard: Vec<&Held> = heard.take(MOST_AT_ONCE).collect();
    let number = match heard.last() {
        Some(last) if heard.len() == MOST_AT_ONCE => last.number,
        _ => suspects.last_number(),
    };
    if heard.is_empty() {
        peer.number = number;
        return None;
    }
    let cases = heard.into_iter().map(|held| held.case.clone()).collect();
    Some(News { cases, number })
}

/// Gives whom this VM tells.
fn audiences(cx: &EdgeContext) -> Vec<(VmName, Audience)> {
    let (me, domain) = (&cx.cfg.vm, &cx.cfg.domain);
    let relay = cx.relay.borrow();
    if !relay.is_leader(me, domain) {
        let leaders = relay.leaders(domain).iter();
        return leaders.map(|vm| (vm.clone(), Audience::Leader)).collect();
    }
    let vms = presence::alive(cx);
    let neighbours = vms
        .iter()
        .filter(|vm| vm.domain == *domain && vm.name != *me);
    let neighbours = neighbours.map(|vm| (vm.name.clone(), Audience::Neighbour));
    let others = relay.domains().filter(|other| *other != domain);
    let leaders = others.flat_map(|other| relay.leaders(other).iter().cloned());
    let leaders = leaders.map(|vm| (vm, Audience::OtherLeader));
    neighbours.chain(leaders).collect()
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
    let has_more = {
        let mut told = told.borrow_mut();
        let Some(told) = told.get_mut(&to) else {
            return;
        };
        told.is_under_way = false;
        if answer.is_ok() {
            told.number = told.number.max(number);
        }
        answer.is_ok() && cx.poison.suspects().last_number() > number
    };
    if has_more {
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
