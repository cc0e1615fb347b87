//! Reports request counts to the heads of domains and receives the admitted fractions in return.

use std::rc::Rc;

use futures_util::future::select;
use heatherknot_peer::options::CallOptions;
use heatherknot_peer::{MethodTable, PeerError};
use heatherknot_types::prelude::*;
use log::debug;

use super::state::{Answer, Quota};
use super::usage::{Counts, UsageReport};
use crate::context::EdgeContext;
use crate::presence;
use crate::switches::Mechanism;

/// RPC method that receives usage reports.
const COUNTS_METHOD: &str = "e.counts";
/// Interval between two reports to a peer while no account surges. Until the next report, what is
/// admitted of an account that begins to surge exceeds its limit. Three reports per second from
/// each of 570 VMs take 0.5 % of a core on a domain's head.
const REPORT_INTERVAL: Millis = Millis(300);
/// Interval between two reports while an account surges.
const MIN_REPORT_INTERVAL: Millis = Millis(60);
/// Timeouts of a report within a domain and between domains, where a round trip takes 0.1 s.
const TIMEOUT_WITHIN_DOMAIN: Millis = Millis(400);
const TIMEOUT_BETWEEN_DOMAINS: Millis = Millis(700);

/// Registers the RPC method that receives usage reports.
pub fn register(methods: &mut MethodTable, quota: &Rc<Quota>) {
    let quota = Rc::clone(quota);
    methods.register(COUNTS_METHOD, move |from, report: UsageReport| {
        let answer = quota.apply_report(&from.vm, from.incarnation, &report);
        async move { Ok(answer) }
    });
}

/// Reports counts until the process ends.
pub async fn run(cx: Rc<EdgeContext>) {
    loop {
        let surge = cx.quota.next_surge();
        cx.timer.wait(MIN_REPORT_INTERVAL).await;
        if cx.quota.has_fresh_fractions() || !cx.quota.has_limits() {
            let rest = Millis(REPORT_INTERVAL.0 - MIN_REPORT_INTERVAL.0);
            select(surge.wait(), cx.timer.wait(rest)).await;
        }
        report_once(&cx);
    }
}

fn report_once(cx: &Rc<EdgeContext>) {
    let quota = &cx.quota;
    if !quota.has_limits() || !quota.knows_vms() {
        return;
    }
    let counts = quota.take_unreported();
    if !cx.switches.is_on(Mechanism::ToldQuota) {
        return;
    }
    let leaders = leaders_to_report_to(cx, &cx.cfg.domain);
    let is_collector = leaders.last() == Some(&cx.cfg.vm);
    match is_collector {
        true => collect_own(cx, &counts),
        false => report_to_leaders(cx, &leaders, &counts),
    }
    let reporting_vms = quota.reporting_vms() + u32::from(is_collector);
    if reporting_vms > 0 {
        report_to_other_heads(cx, reporting_vms);
    }
    let live = presence::live_vms(cx);
    quota.retain_reporters(|name| live.iter().any(|vm| vm.name == *name));
}

/// Returns the leaders of a domain up to and including the first one that answers. The ones before
/// it are contacted again from time to time.
fn leaders_to_report_to(cx: &EdgeContext, domain: &DomainName) -> Vec<VmName> {
    let topology = cx.feed_topology.borrow();
    let leaders = topology.leaders(domain);
    let answers = |vm: &VmName| *vm == cx.cfg.vm || !cx.quota.is_avoided(vm);
    let first = leaders.iter().position(answers);
    leaders[..first.map_or(leaders.len(), |first| first + 1)].to_vec()
}

fn collect_own(cx: &EdgeContext, counts: &Counts) {
    let catalog = cx.quota.catalog();
    if let Some(accounts) = catalog.as_ref().and_then(|catalog| catalog.accounts()) {
        cx.quota.collect_own(counts, accounts);
    }
}

/// Sends this VM's counts to the last of `leaders`, and empty reports to the others. If none
/// answers, the counts are lost; by then the other VMs have set this VM's share of the limits
/// aside.
fn report_to_leaders(cx: &Rc<EdgeContext>, leaders: &[VmName], counts: &Counts) {
    let no_counts = Counts::new();
    for (at, leader) in leaders.iter().enumerate() {
        let is_last = at + 1 == leaders.len();
        report_to(cx, leader, if is_last { counts } else { &no_counts }, None);
    }
}

/// Sends the counts collected in this domain to the heads of the other domains, and to that of this
/// domain if this VM substitutes for it.
fn report_to_other_heads(cx: &Rc<EdgeContext>, reporting_vms: u32) {
    let collected = cx.quota.take_collected();
    let domains: Vec<DomainName> = cx.feed_topology.borrow().domains().cloned().collect();
    for domain in domains {
        let leaders = leaders_to_report_to(cx, &domain);
        for leader in leaders.iter().filter(|leader| **leader != cx.cfg.vm) {
            report_to(cx, leader, &collected, Some(reporting_vms));
        }
    }
}

fn report_to(cx: &Rc<EdgeContext>, to: &VmName, counts: &Counts, vms: Option<u32>) {
    let now = cx.now();
    let report = cx.quota.with_reporter(to, |reporter| {
        for (account, count) in counts {
            reporter.add(account, *count, now);
        }
        reporter.next_report(vms, now)
    });
    if let Some(report) = report {
        monoio::spawn(send_report(Rc::clone(cx), to.clone(), report));
    }
}

async fn send_report(cx: Rc<EdgeContext>, to: VmName, report: UsageReport) {
    let answer = call(&cx, &to, &report).await;
    let now = cx.now();
    match answer {
        Ok(answer) => {
            cx.quota
                .with_reporter(&to, |reporter| reporter.on_answer(now));
            if let Some(fractions) = answer.fractions {
                cx.quota.set_fractions(fractions);
            }
        }
        Err(error) => {
            debug!(vm:% = to, error:% = error; "reporting account counts to a peer failed");
            let unreported = cx
                .quota
                .with_reporter(&to, |reporter| reporter.on_failure(now));
            if report.vms.is_none() {
                cx.quota.restore_unreported(unreported);
            }
        }
    }
}

async fn call(cx: &EdgeContext, to: &VmName, report: &UsageReport) -> Result<Answer, PeerError> {
    let limit = match report.vms {
        None => TIMEOUT_WITHIN_DOMAIN,
        Some(_) => TIMEOUT_BETWEEN_DOMAINS,
    };
    let opts = CallOptions::idempotent(limit);
    match presence::peer_address(cx, to) {
        Some(at) => cx.net.call_address(at, COUNTS_METHOD, report, opts).await,
        None => cx.net.call_with(to, COUNTS_METHOD, report, opts).await,
    }
}
