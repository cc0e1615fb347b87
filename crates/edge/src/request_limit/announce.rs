//! Tells all VMs of new and removed limits.
//!
//! The issuer tells the head of each domain, which tells the VMs of its domain. A VM that misses a
//! message learns of the limit from the server's next response, or from the issuer.

use std::rc::Rc;

use heatherknot_peer::options::CallOptions;
use heatherknot_peer::{MethodTable, PeerError};
use heatherknot_types::prelude::*;
use log::{debug, info};
use serde::{Deserialize, Serialize};

use super::messages::PermitRequest;
use super::state::RequestLimits;
use crate::context::EdgeContext;
use crate::presence;

/// RPC method that tells of limits.
const ANNOUNCE_METHOD: &str = "e.limits";
/// RPC method that returns all known limits.
const LIST_METHOD: &str = "e.limits-all";
/// Interval between two batches. It bounds what the head of a large domain sends if all servers
/// state limits at once.
const BATCH_INTERVAL: Millis = Millis(100);
/// Timeout of a call.
const CALL_TIMEOUT: Millis = Millis(800);
/// Maximum number of limits that a starting VM is told; about 100 KB.
const MAX_LISTED: usize = 1_024;
/// Interval at which a starting VM checks whether it knows the servers.
const READY_POLL_INTERVAL: Millis = Millis(50);
/// Interval and number of attempts of a starting VM to learn the known limits.
const FETCH_INTERVAL: Millis = Millis(250);
const FETCH_ATTEMPTS: u32 = 12;

#[derive(Debug, Serialize, Deserialize)]
struct Announcement {
    #[serde(rename = "l")]
    limits: Vec<PermitRequest>,
    /// Whether the receiver is to tell the VMs of its domain.
    #[serde(rename = "r")]
    is_relay: bool,
}

/// Registers the RPC methods that tell of limits.
pub(super) fn register(methods: &mut MethodTable, limits: &Rc<RequestLimits>) {
    let receiver = Rc::clone(limits);
    methods.register(ANNOUNCE_METHOD, move |_, announcement: Announcement| {
        receiver.receive(&announcement.limits, announcement.is_relay);
        async move { Ok(()) }
    });
    let limits = Rc::clone(limits);
    methods.register(LIST_METHOD, move |_, (): ()| {
        let reports = limits.reports_of(&limits.limited_servers(MAX_LISTED));
        async move { Ok(reports) }
    });
}

/// Tells other VMs of limits until the process ends.
pub(crate) async fn run(cx: Rc<EdgeContext>) {
    loop {
        let news = cx.request_limits.outbox.borrow_mut().next_news();
        news.wait().await;
        let (announced, relayed) = {
            let mut outbox = cx.request_limits.outbox.borrow_mut();
            (outbox.take_announced(), outbox.take_relayed())
        };
        announce(&cx, &announced);
        relay(&cx, &relayed);
        cx.timer.wait(BATCH_INTERVAL).await;
    }
}

fn announce(cx: &Rc<EdgeContext>, ids: &[UpstreamName]) {
    let limits = cx.request_limits.reports_of(ids);
    if limits.is_empty() {
        return;
    }
    let topology = Rc::clone(&cx.feed_topology.borrow());
    for domain in topology.domains() {
        let leaders = topology.leaders(domain).to_vec();
        if leaders.first() == Some(&cx.cfg.vm) {
            cx.request_limits.receive(&limits, true);
            continue;
        }
        let announcement = Announcement {
            limits: limits.clone(),
            is_relay: true,
        };
        monoio::spawn(tell_first(Rc::clone(cx), leaders, announcement));
    }
}

fn relay(cx: &Rc<EdgeContext>, ids: &[UpstreamName]) {
    let limits = cx.request_limits.reports_of(ids);
    if limits.is_empty() {
        return;
    }
    let vms = presence::live_vms(cx);
    let members = vms.iter().filter(|vm| vm.domain == cx.cfg.domain);
    for vm in members.filter(|vm| vm.name != cx.cfg.vm) {
        let announcement = Announcement {
            limits: limits.clone(),
            is_relay: false,
        };
        let to = vec![vm.name.clone()];
        monoio::spawn(tell_first(Rc::clone(cx), to, announcement));
    }
}

/// Tells the first of some VMs that answers.
async fn tell_first(cx: Rc<EdgeContext>, vms: Vec<VmName>, announcement: Announcement) {
    for vm in vms.iter().filter(|vm| **vm != cx.cfg.vm) {
        match call::<_, ()>(&cx, vm, ANNOUNCE_METHOD, &announcement).await {
            Ok(()) => return,
            Err(error) => {
                debug!(vm:% = vm, error:% = error; "telling a VM of request limits failed");
            }
        }
    }
}

/// Asks peers for the known limits after the start of this VM, until one answers.
pub(crate) async fn fetch_from_peers(cx: Rc<EdgeContext>) {
    // A limit belongs to a run of a server, so the servers have to be known first.
    while !cx.is_ready() {
        cx.timer.wait(READY_POLL_INTERVAL).await;
    }
    for _ in 0..FETCH_ATTEMPTS {
        for vm in list_sources(&cx) {
            match call::<_, Vec<PermitRequest>>(&cx, &vm, LIST_METHOD, &()).await {
                Ok(reports) => {
                    cx.request_limits.receive(&reports, false);
                    info!(vm:% = vm, servers = reports.len(); "request limits received from a peer");
                    return;
                }
                Err(error) => {
                    debug!(vm:% = vm, error:% = error; "asking a peer for request limits failed");
                }
            }
        }
        cx.timer.wait(FETCH_INTERVAL).await;
    }
}

/// Returns the VMs that know all limits, the nearest first: the leaders of this domain and the heads
/// of the others.
fn list_sources(cx: &EdgeContext) -> Vec<VmName> {
    let topology = cx.feed_topology.borrow();
    let own = topology.leaders(&cx.cfg.domain).iter();
    let heads = topology
        .domains()
        .filter_map(|domain| topology.leaders(domain).first());
    let sources = own.chain(heads).filter(|vm| **vm != cx.cfg.vm);
    sources.cloned().collect()
}

async fn call<P: Serialize, R: serde::de::DeserializeOwned>(
    cx: &EdgeContext,
    to: &VmName,
    method: &'static str,
    params: &P,
) -> Result<R, PeerError> {
    let opts = CallOptions::idempotent(CALL_TIMEOUT);
    match presence::peer_address(cx, to) {
        Some(at) => cx.net.call_address(at, method, params, opts).await,
        None => cx.net.call_with(to, method, params, opts).await,
    }
}
