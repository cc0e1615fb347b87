//! Carries counts to the heads of domains, and what may be admitted back.

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

/// The method that takes counts in.
const COUNTS: &str = "e.counts";
/// The time between two reports to a peer while no account surges. What is admitted meanwhile of an
/// account that begins to surge is beyond its limit; three reports a second from each of 570 VMs
/// take 0.5 % of a core of a domain's head.
const PERIOD: Millis = Millis(300);
/// The time between two reports while one does.
const LEAST_PERIOD: Millis = Millis(60);
/// The time allowed for an answer within a domain, and from another one. Between regions a report
/// takes a tenth of a second to and fro.
const LIMIT_HERE: Millis = Millis(400);
const LIMIT_AWAY: Millis = Millis(700);
/// Registers the method that takes counts in.
pub fn register(methods: &mut MethodTable, quota: &Rc<Quota>) {
    let quota = Rc::clone(quota);
    methods.register(COUNTS, move |from, report: UsageReport| {
        let answer = quota.take(&from.vm, from.incarnation, &report);
        async move { Ok(answer) }
    });
}

/// Tells counts for as long as the process runs.
pub async fn run(cx: Rc<EdgeContext>) {
    loop {
        let surge = cx.quota.next_surge();
        cx.timer.wait(LEAST_PERIOD).await;
        if cx.quota.is_told() || !cx.quota.has_limits() {
            let rest = Millis(PERIOD.0 - LEAST_PERIOD.0);
            select(surge.wait(), cx.timer.wait(rest)).await;
        }
        step(&cx);
    }
}

fn step(cx: &Rc<EdgeContext>) {
    let quota = &cx.quota;
    if !quota.has_limits() || !quota.knows_vms() {
        return;
    }
    let counts = quota.take_untold();
    if !cx.switches.is_on(Mechanism::ToldQuota) {
        return;
    }
    let leaders = leaders_to_tell(cx, &cx.cfg.domain);
    let is_collector = leaders.last() == Some(&cx.cfg.vm);
    match is_collector {
        true => collect_own(cx, &counts),
        false => tell_leaders(cx, &leaders, &counts),
    }
    let heard = quota.heard_here() + u32::from(is_collector);
    if heard > 0 {
        tell_other_heads(cx, heard);
    }
    let there = presence::live_vms(cx);
    quota.retain_reporters(|name| there.iter().any(|vm| vm.name == *name));
}

/// Gives the leaders of a domain up to the first one that answers, that one included. Those
/// before it are asked again from time to time.
fn leaders_to_tell(cx: &EdgeContext, domain: &DomainName) -> Vec<VmName> {
    let relay = cx.relay.borrow();
    let leaders = relay.leaders(domain);
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

/// Tells the last of `leaders` what this VM counted, and the others nothing. Where none answers,
/// the counts are lost: then the others have set this VM's share aside.
fn tell_leaders(cx: &Rc<EdgeContext>, leaders: &[VmName], counts: &Counts) {
    let nothing = Counts::new();
    for (at, leader) in leaders.iter().enumerate() {
        let is_last = at + 1 == leaders.len();
        tell(cx, leader, if is_last { counts } else { &nothing }, None);
    }
}

/// Tells the heads of the other domains, and that of this one where this VM stands in for it, what
/// VMs of this domain told.
fn tell_other_heads(cx: &Rc<EdgeContext>, heard: u32) {
    let collected = cx.quota.take_collected();
    let domains: Vec<DomainName> = cx.relay.borrow().domains().cloned().collect();
    for domain in domains {
        let leaders = leaders_to_tell(cx, &domain);
        for leader in leaders.iter().filter(|leader| **leader != cx.cfg.vm) {
            tell(cx, leader, &collected, Some(heard));
        }
    }
}

fn tell(cx: &Rc<EdgeContext>, to: &VmName, counts: &Counts, vms: Option<u32>) {
    let now = cx.now();
    let report = cx.quota.with_reporter(to, |reporter| {
        for (account, count) in counts {
            reporter.add(account, *count, now);
        }
        reporter.begin(vms, now)
    });
    if let Some(report) = report {
        monoio::spawn(send(Rc::clone(cx), to.clone(), report));
    }
}

async fn send(cx: Rc<EdgeContext>, to: VmName, report: UsageReport) {
    let answer = call(&cx, &to, &report).await;
    let now = cx.now();
    match answer {
        Ok(answer) => {
            cx.quota
                .with_reporter(&to, |reporter| reporter.answered(now));
            if let Some(parts) = answer.parts {
                cx.quota.take_parts(parts);
            }
        }
        Err(error) => {
            debug!(vm:% = to, error:% = error; "counts of accounts could not be told");
            let untold = cx.quota.with_reporter(&to, |reporter| reporter.failed(now));
            if report.vms.is_none() {
                cx.quota.put_back(untold);
            }
        }
    }
}

async fn call(cx: &EdgeContext, to: &VmName, report: &UsageReport) -> Result<Answer, PeerError> {
    let limit = match report.vms {
        None => LIMIT_HERE,
        Some(_) => LIMIT_AWAY,
    };
    let opts = CallOptions::idempotent(limit);
    match presence::peer_address(cx, to) {
        Some(at) => cx.net.call_address(at, COUNTS, report, opts).await,
        None => cx.net.call_with(to, COUNTS, report, opts).await,
    }
}
