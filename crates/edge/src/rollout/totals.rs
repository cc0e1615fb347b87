//! The evidence of all VMs on one rollout, as collected by the head of a failure domain.

use std::collections::{HashMap, VecDeque};

use heatherknot_types::prelude::*;

use super::evidence::Evidence;
use super::verdict::{self, Flaw};

/// Time after which a report no longer says whether a VM has requests at the previous version.
const REPORT_TTL: Millis = Millis(1_500);
/// Span over which recent outcomes are compared.
const RECENT_SPAN: Millis = Millis(4_000);
/// Interval between two snapshots from which recent outcomes are computed.
const SNAPSHOT_INTERVAL: Millis = Millis(500);

/// The evidence of all VMs on one rollout.
#[derive(Debug, Default)]
pub struct RolloutTotals {
    /// Latest reports of the VMs of this domain.
    vms: HashMap<VmName, VmReport>,
    /// Evidence of earlier runs of those VMs' daemons.
    earlier_runs: Evidence,
    /// Latest reports of the heads of the other domains.
    domains: HashMap<DomainName, DomainReport>,
    /// Earlier totals, oldest first.
    snapshots: VecDeque<(Millis, Evidence)>,
}

#[derive(Debug)]
struct VmReport {
    incarnation: Incarnation,
    evidence: Evidence,
    is_drained: bool,
    received_at: Millis,
}

#[derive(Debug)]
struct DomainReport {
    evidence: Evidence,
    undrained_vms: usize,
    received_at: Millis,
}

impl RolloutTotals {
    /// Applies the report of a VM of this domain, which replaces that VM's earlier ones.
    /// `is_drained` says whether it has no requests left at the previous version.
    pub fn apply_vm(
        &mut self,
        vm: &VmName,
        incarnation: Incarnation,
        evidence: Evidence,
        is_drained: bool,
        now: Millis,
    ) {
        let report = VmReport {
            incarnation,
            evidence,
            is_drained,
            received_at: now,
        };
        if let Some(before) = self.vms.insert(vm.clone(), report)
            && before.incarnation != incarnation
        {
            self.earlier_runs.merge(&before.evidence);
        }
    }

    /// Applies the report of the head of another domain, which replaces that domain's earlier ones.
    pub fn apply_domain(
        &mut self,
        domain: &DomainName,
        evidence: Evidence,
        undrained_vms: usize,
        now: Millis,
    ) {
        let report = DomainReport {
            evidence,
            undrained_vms,
            received_at: now,
        };
        self.domains.insert(domain.clone(), report);
    }

    /// Returns the evidence of this domain's VMs.
    pub fn of_domain(&self) -> Evidence {
        let mut sum = self.earlier_runs.clone();
        self.vms
            .values()
            .for_each(|report| sum.merge(&report.evidence));
        sum
    }

    /// Returns the evidence of all VMs.
    pub fn of_fleet(&self) -> Evidence {
        let mut sum = self.of_domain();
        let domains = self.domains.values();
        domains.for_each(|report| sum.merge(&report.evidence));
        sum
    }

    /// Returns whether a VM of this domain has reported lately.
    pub fn has_report_of(&self, vm: &VmName, now: Millis) -> bool {
        let report = self.vms.get(vm);
        report.is_some_and(|report| now.since(report.received_at) < REPORT_TTL)
    }

    /// Returns how many of this domain's `vms` may still have requests at the previous version.
    pub fn undrained_in_domain<'a>(
        &self,
        vms: impl Iterator<Item = &'a VmName>,
        now: Millis,
    ) -> usize {
        let is_drained = |vm: &VmName| {
            let report = self.vms.get(vm);
            report.is_some_and(|r| r.is_drained && now.since(r.received_at) < REPORT_TTL)
        };
        vms.filter(|vm| !is_drained(vm)).count()
    }

    /// Returns how many VMs of the other `domains` may still have requests at the previous version,
    /// or `None` if the head of one of them has not reported lately.
    pub fn undrained_elsewhere<'a>(
        &self,
        mut domains: impl Iterator<Item = &'a DomainName>,
        now: Millis,
    ) -> Option<usize> {
        domains.try_fold(0, |sum, domain| {
            let report = self.domains.get(domain)?;
            let is_recent = now.since(report.received_at) < REPORT_TTL;
            is_recent.then_some(sum + report.undrained_vms)
        })
    }

    /// Compares the two versions by the evidence of all VMs.
    pub fn find_flaw(&mut self, now: Millis) -> Option<Flaw> {
        let total = self.of_fleet();
        let earliest = self.snapshots.front();
        let recent = earliest.map_or_else(|| total.clone(), |(_, then)| total.since(then));
        let flaw = verdict::find_flaw(&total, &recent);
        self.take_snapshot(total, now);
        flaw
    }

    fn take_snapshot(&mut self, total: Evidence, now: Millis) {
        let is_due = |(at, _): &(Millis, Evidence)| now.since(*at) >= SNAPSHOT_INTERVAL;
        if !self.snapshots.back().is_none_or(is_due) {
            return;
        }
        self.snapshots.push_back((now, total));
        // Keeps one snapshot that is at least as old as the span.
        while let Some((second, _)) = self.snapshots.get(1)
            && now.since(*second) >= RECENT_SPAN
        {
            self.snapshots.pop_front();
        }
    }
}
