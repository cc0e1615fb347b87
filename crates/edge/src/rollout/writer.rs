//! Writes the records of rollouts, and with them the status that operators read.

use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use futures_util::future::select;
use heatherknot_store::port::{Compare, Op, StoreRevision, Txn};
use heatherknot_types::prelude::*;
use log::{info, warn};

use super::controller::{CHECK_INTERVAL, Controller, FleetView, Proposal};
use super::record::RolloutRecord;
use crate::context::EdgeContext;
use crate::presence;

/// Interval between two checks whether a stage is due while no rollout is in progress.
const IDLE_INTERVAL: Millis = Millis(2_000);

/// Writes records until the process ends.
pub(crate) async fn run(cx: Rc<EdgeContext>) {
    let mut controller = Controller::new(cx.now());
    loop {
        let news = cx.rollouts.next_controller_news();
        match cx.rollouts.has_unfinished_records() {
            true => cx.timer.wait(CHECK_INTERVAL).await,
            false => {
                controller.reset();
                select(news.wait(), cx.timer.wait(IDLE_INTERVAL)).await;
            }
        }
        // A stale copy of the store's keys may lack a stage that was written.
        if !cx.feed.is_fresh() {
            controller.reset();
            continue;
        }
        for proposal in proposals(&cx, &mut controller) {
            let took = write(&cx, &proposal).await;
            controller.record_write(took);
        }
    }
}

fn proposals(cx: &EdgeContext, controller: &mut Controller) -> Vec<Proposal> {
    let topology = Rc::clone(&cx.feed_topology.borrow());
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let view = FleetView {
        me: &cx.cfg.vm,
        domain: &cx.cfg.domain,
        topology: &topology,
        vms: &presence::live_vms(cx),
        unix_ms: since_epoch.unwrap_or_default().as_millis() as u64,
    };
    let mut proposals = controller.proposals(&cx.rollouts, &view);
    let mirror = cx.feed.mirror();
    let revision_of = |key: &str| mirror.revision_of(key).unwrap_or(StoreRevision::ZERO);
    for proposal in &mut proposals {
        // An order that was written again keeps its first revision in the rollout.
        proposal.order_revision = revision_of(&order_key(cx, &proposal.service));
        proposal.record_revision = revision_of(&RolloutRecord::key(&proposal.service));
    }
    proposals
}

fn order_key(cx: &EdgeContext, service: &ServiceName) -> String {
    format!("{}{service}", cx.dialect.keys.rollout_prefix)
}

/// Writes a record and the operators' status. Returns how long the store took to answer.
async fn write(cx: &EdgeContext, proposal: &Proposal) -> Millis {
    let Proposal {
        service, record, ..
    } = proposal;
    let values = values(cx, proposal);
    let stage = record.stage;
    let began = cx.now();
    let result = cx.store.txn(transaction(cx, proposal, &values)).await;
    let took = cx.now().since(began);
    match result {
        Ok(done) if done.succeeded => {
            info!(service:% = service, stage:? = stage, cause = record.cause.as_str(); "rollout stage written");
            let labels = [service.as_str(), stage.label()];
            cx.metrics.rollout_stages.with_label_values(&labels).inc();
            read_back(cx, service).await;
        }
        Ok(_) => {
            info!(service:% = service, stage:? = stage; "rollout stage not written: the order or the record has changed");
        }
        Err(error) => {
            warn!(service:% = service, stage:? = stage, step:% = error.step, error:% = error.source; "writing a rollout stage failed");
        }
    }
    took
}

/// Reads a record that this VM has written, so that its peers receive it before the watch reports
/// it.
async fn read_back(cx: &EdgeContext, service: &ServiceName) {
    let key = RolloutRecord::key(service);
    if let Err(error) = cx.feed.read_prefix(&key, false).await {
        info!(service:% = service, step:% = error.step, error:% = error.source; "reading a rollout record failed; the watch will report it");
    }
}

/// Returns the keys to write, with their values.
fn values(cx: &EdgeContext, proposal: &Proposal) -> Vec<(String, Bytes)> {
    let Proposal {
        service, record, ..
    } = proposal;
    let value = serde_json::to_vec(record).expect("a record always serializes");
    let mut values = vec![(RolloutRecord::key(service), Bytes::from(value))];
    if let Some(status) = record.status() {
        let key = format!("{}{service}", cx.dialect.keys.rollout_status_prefix);
        values.push((key, (cx.dialect.rollout_status)(&status)));
    }
    values
}

fn transaction(cx: &EdgeContext, proposal: &Proposal, values: &[(String, Bytes)]) -> Txn {
    let service = &proposal.service;
    let puts = values.iter();
    let puts = puts.map(|(key, value)| Op::put(key.clone(), value.clone()));
    Txn {
        compares: vec![
            Compare::unchanged(order_key(cx, service), proposal.order_revision),
            Compare::unchanged(RolloutRecord::key(service), proposal.record_revision),
        ],
        success: puts.collect(),
        ..Txn::default()
    }
}
