//! Sends reports of evidence on rollouts to the leaders of domains.
//!
//! While a rollout is in progress, each VM reports its evidence to the leaders of its domain. The
//! head passes the sum on to the heads of the other domains, so each of them knows the evidence of
//! all VMs. Every answer says whether the target version has failed.

use std::rc::Rc;

use futures_util::future::select;
use heatherknot_peer::options::CallOptions;
use heatherknot_peer::{MethodTable, PeerError};
use heatherknot_types::prelude::*;
use log::debug;

use super::controller::FleetView;
use super::record::RECORD_PREFIX;
use super::reports::{
    Answer, Report, Reporter, apply_answer, apply_report, collect_own, domain_report,
    has_report_of, own_report,
};
use super::state::Rollouts;
use crate::context::EdgeContext;
use crate::feed::Feed;
use crate::presence;

/// RPC method that receives reports.
const METHOD: &str = "e.rollout";
/// Interval between two reports. A failure reaches every VM after three reports: from a VM to its
/// head, from there to another head, and from that to a VM of its domain.
const REPORT_INTERVAL: Millis = Millis(250);
/// Interval before the next report after a failure of a target version.
const URGENT_INTERVAL: Millis = Millis(60);
/// Interval at which a VM without a rollout checks whether one is in progress.
const IDLE_INTERVAL: Millis = Millis(2_000);
/// Timeout of one call.
const CALL_TIMEOUT: Millis = Millis(800);

/// Registers the RPC method that receives reports.
pub(crate) fn register(methods: &mut MethodTable, rollouts: &Rc<Rollouts>, domain: &DomainName) {
    let (rollouts, domain) = (Rc::clone(rollouts), domain.clone());
    methods.register(METHOD, move |from, report: Report| {
        let reporter = Reporter {
            vm: &from.vm,
            domain: &from.domain,
            incarnation: from.incarnation,
        };
        let answer = apply_report(&rollouts, reporter, &domain, report);
        async move { Ok(answer) }
    });
}

/// Wakes the tasks of rollouts when an order or a record changes.
pub(crate) fn subscribe(feed: &Rc<Feed>, rollouts: &Rc<Rollouts>, order_prefix: &'static str) {
    for prefix in [order_prefix, RECORD_PREFIX] {
        let rollouts = Rc::clone(rollouts);
        feed.subscribe(prefix, move |_| rollouts.wake());
    }
}

/// Reports evidence until the process ends.
pub(crate) async fn run(cx: Rc<EdgeContext>) {
    loop {
        let news = cx.rollouts.next_news();
        if cx.rollouts.unfinished().is_empty() {
            cx.rollouts.retain_unfinished();
            select(news.wait(), cx.timer.wait(IDLE_INTERVAL)).await;
            continue;
        }
        let failure = cx.rollouts.next_failure();
        report_once(&cx);
        cx.timer.wait(URGENT_INTERVAL).await;
        let rest = REPORT_INTERVAL - URGENT_INTERVAL;
        select(failure.wait(), cx.timer.wait(rest)).await;
    }
}

/// Reports this VM's evidence to the leaders of its domain, and the domain's evidence to the heads
/// of the other domains if this VM collects it.
fn report_once(cx: &Rc<EdgeContext>) {
    let own = own_report(&cx.rollouts);
    let leaders = cx.feed_topology.borrow().leaders(&cx.cfg.domain).to_vec();
    for leader in leaders.iter().filter(|leader| **leader != cx.cfg.vm) {
        monoio::spawn(send(Rc::clone(cx), leader.clone(), own.clone()));
    }
    if !leaders.contains(&cx.cfg.vm) {
        return;
    }
    let me = Reporter {
        vm: &cx.cfg.vm,
        domain: &cx.cfg.domain,
        incarnation: cx.incarnation,
    };
    collect_own(&cx.rollouts, me, own);
    // The standby takes over if the head does not report to it any more.
    let head = &leaders[0];
    if *head == cx.cfg.vm || !has_report_of(&cx.rollouts, head) {
        report_to_other_heads(cx);
    }
}

fn report_to_other_heads(cx: &Rc<EdgeContext>) {
    let topology = Rc::clone(&cx.feed_topology.borrow());
    let view = FleetView {
        me: &cx.cfg.vm,
        domain: &cx.cfg.domain,
        topology: &topology,
        vms: &presence::live_vms(cx),
        unix_ms: 0,
    };
    let report = domain_report(&cx.rollouts, &view);
    let heads = view
        .other_domains()
        .filter_map(|domain| topology.leaders(domain).first());
    for head in heads {
        monoio::spawn(send(Rc::clone(cx), head.clone(), report.clone()));
    }
}

async fn send(cx: Rc<EdgeContext>, to: VmName, report: Report) {
    let orders = report.rollouts.iter().filter(|_| !report.is_of_domain);
    let orders: Vec<_> = orders.map(|r| (r.service.clone(), r.order)).collect();
    match call(&cx, &to, &report).await {
        Ok(answer) => apply_answer(&cx.rollouts, &orders, answer),
        Err(error) => {
            debug!(vm:% = to, error:% = error; "reporting evidence on a rollout to a peer failed");
        }
    }
}

async fn call(cx: &EdgeContext, to: &VmName, report: &Report) -> Result<Answer, PeerError> {
    let opts = CallOptions::idempotent(CALL_TIMEOUT);
    match presence::peer_address(cx, to) {
        Some(at) => cx.net.call_address(at, METHOD, report, opts).await,
        None => cx.net.call_with(to, METHOD, report, opts).await,
    }
}
