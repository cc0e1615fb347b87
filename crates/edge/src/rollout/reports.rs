//! Reports of evidence on rollouts, and what a VM does with those that it receives.

use std::rc::Rc;

use heatherknot_store::port::StoreRevision;
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::controller::FleetView;
use super::evidence::Evidence;
use super::response_times::ResponseTimeReport;
use super::state::Rollouts;
use super::versions::RolloutAges;

/// Maximum length of a failure's cause in a message, in bytes.
const MAX_CAUSE_LEN: usize = 200;

/// The evidence on the rollouts in progress, of one VM or of all VMs of a domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Whether it is that of a domain.
    #[serde(rename = "d")]
    pub is_of_domain: bool,
    /// One entry for each rollout.
    #[serde(rename = "r")]
    pub rollouts: Vec<RolloutReport>,
}

/// The evidence on one rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Revision of the order.
    #[serde(rename = "o")]
    pub order: u64,
    /// The counts.
    #[serde(rename = "e")]
    pub evidence: Evidence,
    /// Number of VMs that may still have requests at the previous version.
    #[serde(rename = "u")]
    pub undrained_vms: usize,
    /// What the sender knows of the progress.
    #[serde(flatten)]
    pub progress: RolloutProgress,
    /// Why the target version has failed, if the sender knows that it has.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub failure: Option<String>,
}

/// The answer to a report: what the receiver knows of the rollouts in progress.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Service, revision of the order and cause, of each whose target version has failed.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub failures: Vec<(ServiceName, u64, String)>,
    /// Service, revision of the order and progress, of each rollout.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub progress: Vec<(ServiceName, u64, RolloutProgress)>,
}

/// What a VM knows of the progress of a rollout.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutProgress {
    /// The ages of the order and of the shift.
    #[serde(flatten)]
    pub ages: RolloutAges,
    /// The response times of the previous version.
    #[serde(flatten)]
    pub response_times: ResponseTimeReport,
}

/// The daemon that sent a report.
#[derive(Clone, Copy, Debug)]
pub struct Reporter<'a> {
    /// The VM.
    pub vm: &'a VmName,
    /// Its failure domain.
    pub domain: &'a DomainName,
    /// The run of its daemon.
    pub incarnation: Incarnation,
}

/// Returns this VM's own report.
pub fn own_report(rollouts: &Rollouts) -> Report {
    let unfinished = rollouts.unfinished();
    let entries = unfinished.iter().map(|(service, order)| {
        let (evidence, is_drained) = rollouts.own_evidence(service, *order);
        report_of(
            rollouts,
            service,
            *order,
            evidence,
            usize::from(!is_drained),
        )
    });
    Report {
        is_of_domain: false,
        rollouts: entries.collect(),
    }
}

/// Returns the report of this VM's domain, whose evidence this VM collects.
pub fn domain_report(rollouts: &Rollouts, view: &FleetView<'_>) -> Report {
    let now = rollouts.now();
    let unfinished = rollouts.unfinished();
    let entries = unfinished.iter().map(|(service, order)| {
        let (evidence, undrained_vms) = rollouts.with_state(service, *order, |state| {
            let undrained = state.totals.undrained_in_domain(view.vms_in_domain(), now);
            (state.totals.of_domain(), undrained)
        });
        report_of(rollouts, service, *order, evidence, undrained_vms)
    });
    Report {
        is_of_domain: true,
        rollouts: entries.collect(),
    }
}

fn report_of(
    rollouts: &Rollouts,
    service: &ServiceName,
    order: StoreRevision,
    evidence: Evidence,
    undrained_vms: usize,
) -> RolloutReport {
    let failure = rollouts.with_state(service, order, |state| state.failure.clone());
    RolloutReport {
        service: service.clone(),
        order: order.number,
        evidence,
        undrained_vms,
        progress: rollouts.progress(service, order),
        failure: failure.map(|cause| truncated(&cause)),
    }
}

/// Adds this VM's own report to the evidence that it collects.
pub fn collect_own(rollouts: &Rollouts, me: Reporter<'_>, own: Report) {
    let orders: Vec<_> = own
        .rollouts
        .iter()
        .map(|r| (r.service.clone(), r.order))
        .collect();
    apply_report(rollouts, me, me.domain, own);
    record_contact(rollouts, &orders);
}

/// Applies a report and returns the answer. `domain` is the domain of this VM.
pub fn apply_report(
    rollouts: &Rollouts,
    from: Reporter<'_>,
    domain: &DomainName,
    report: Report,
) -> Answer {
    if report.is_of_domain == (from.domain == domain) {
        return Answer::default();
    }
    let now = rollouts.now();
    let unfinished = rollouts.unfinished();
    for entry in report.rollouts {
        let Some(order) = order_numbered(&unfinished, &entry.service, entry.order) else {
            continue;
        };
        rollouts.apply_progress(&entry.service, order, &entry.progress);
        let has_new_failures = rollouts.with_state(&entry.service, order, |state| {
            let totals = &mut state.totals;
            let before = totals.of_domain().sums().0.failures;
            match report.is_of_domain {
                true => totals.apply_domain(from.domain, entry.evidence, entry.undrained_vms, now),
                false => {
                    let is_drained = entry.undrained_vms == 0;
                    totals.apply_vm(from.vm, from.incarnation, entry.evidence, is_drained, now);
                }
            }
            totals.of_domain().sums().0.failures > before
        });
        if has_new_failures {
            rollouts.wake_for_failure();
        }
        match &entry.failure {
            Some(cause) => rollouts.record_failure(&entry.service, order, cause),
            None => find_flaw(rollouts, &entry.service, order),
        }
    }
    Answer {
        failures: failures(rollouts),
        progress: progress(rollouts),
    }
}

/// Applies the answer to this VM's own report, if `orders` lists the rollouts that it was about, or
/// to the report of its domain.
pub fn apply_answer(rollouts: &Rollouts, orders: &[(ServiceName, u64)], answer: Answer) {
    record_contact(rollouts, orders);
    let unfinished = rollouts.unfinished();
    for (service, number, cause) in answer.failures {
        if let Some(order) = order_numbered(&unfinished, &service, number) {
            rollouts.record_failure(&service, order, &cause);
        }
    }
    for (service, number, progress) in answer.progress {
        if let Some(order) = order_numbered(&unfinished, &service, number) {
            rollouts.apply_progress(&service, order, &progress);
        }
    }
}

/// Returns the order of an unfinished rollout by its number in a message. A service has one order at
/// a time, so that messages need not tell its era.
fn order_numbered(
    unfinished: &[(ServiceName, StoreRevision)],
    service: &ServiceName,
    number: u64,
) -> Option<StoreRevision> {
    let mut orders = unfinished.iter();
    let found = orders.find(|(of, order)| of == service && order.number == number);
    found.map(|(_, order)| *order)
}

fn record_contact(rollouts: &Rollouts, orders: &[(ServiceName, u64)]) {
    let now = rollouts.now();
    let unfinished = rollouts.unfinished();
    for (service, number) in orders {
        if let Some(order) = order_numbered(&unfinished, service, *number) {
            rollouts.with_state(service, order, |state| state.contact_at = Some(now));
        }
    }
}

/// Compares the versions of a rollout by the evidence that this VM has collected.
fn find_flaw(rollouts: &Rollouts, service: &ServiceName, order: StoreRevision) {
    let now = rollouts.now();
    let flaw = rollouts.with_state(service, order, |state| match state.failure {
        Some(_) => None,
        None => state.totals.find_flaw(now),
    });
    if let Some(flaw) = flaw {
        rollouts.record_failure(service, order, &flaw.to_string());
    }
}

fn failures(rollouts: &Rollouts) -> Vec<(ServiceName, u64, String)> {
    let unfinished = rollouts.unfinished().into_iter();
    let failed = unfinished.filter_map(|(service, order)| {
        let failure: Option<Rc<str>> =
            rollouts.with_state(&service, order, |state| state.failure.clone());
        Some((service, order.number, truncated(&failure?)))
    });
    failed.collect()
}

fn progress(rollouts: &Rollouts) -> Vec<(ServiceName, u64, RolloutProgress)> {
    let unfinished = rollouts.unfinished().into_iter();
    let progress = unfinished.map(|(service, order)| {
        let progress = rollouts.progress(&service, order);
        (service, order.number, progress)
    });
    progress.collect()
}

fn truncated(cause: &str) -> String {
    cause[..cause.floor_char_boundary(MAX_CAUSE_LEN)].to_owned()
}

/// Returns whether the head of the domain, `head`, reports to this VM.
pub fn has_report_of(rollouts: &Rollouts, head: &VmName) -> bool {
    let now = rollouts.now();
    rollouts.unfinished().iter().any(|(service, order)| {
        rollouts.with_state(service, *order, |state| {
            state.totals.has_report_of(head, now)
        })
    })
}
