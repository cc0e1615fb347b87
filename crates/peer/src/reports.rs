//! Load reports between daemons, sent as deltas with their age in batches of limited size.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The load values of one VM by name. The crates that report and read loads define the names.
pub type Loads = BTreeMap<Arc<str>, u32>;

/// One VM's report as sent to peers: all values, or those that changed since report `base`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportDelta {
    /// The VM that reports.
    #[serde(rename = "v")]
    vm: VmName,
    /// The incarnation of the VM that reports.
    #[serde(rename = "i")]
    incarnation: Incarnation,
    /// Orders the reports of one incarnation.
    #[serde(rename = "n")]
    number: u64,
    /// Age of the values when the message was created.
    #[serde(rename = "g")]
    age: Millis,
    /// Number of the report that the delta applies to; zero if `loads` holds all values.
    #[serde(rename = "b", default, skip_serializing_if = "is_zero")]
    base: u64,
    #[serde(rename = "l")]
    loads: Loads,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// The reports in one message.
pub type Batch = Vec<ReportDelta>;

/// The recipients of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// A VM of the same domain, which receives the reports of all VMs and forwards them.
    Domain,
    /// A VM of another domain, which receives only this VM's own report and does not forward it.
    OtherDomain,
}

type NextBatch = Rc<dyn Fn(Scope) -> Option<Batch>>;

/// Interface through which heartbeats exchange reports.
#[derive(Clone)]
pub struct ReportPort {
    /// Returns the batch to send in the next message, if there is anything to send.
    pub next_batch: NextBatch,
    /// Merges a received batch.
    pub merge: Rc<dyn Fn(Scope, Batch)>,
}

/// The latest report of one VM.
#[derive(Clone, Debug)]
struct Report {
    incarnation: Incarnation,
    number: u64,
    measured_at: Millis,
    loads: Loads,
    /// The values that changed since report `base`.
    changed: Loads,
    base: u64,
    /// Number of messages that carried the report.
    send_count: u32,
}

/// A snapshot of a VM's latest report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportView {
    /// The incarnation of the VM that reports.
    pub incarnation: Incarnation,
    /// Minimum age of the values; time in transit is not included.
    pub age: Millis,
    /// The values.
    pub loads: Loads,
}

/// Limits of the exchange of reports.
#[derive(Clone, Debug)]
pub struct ReportOptions {
    /// Maximum number of values in a message. Each report counts as one more value.
    pub max_values_per_message: usize,
    /// Number of messages in which a daemon sends each of its own reports.
    pub max_own_sends: u32,
    /// Number of messages in which a daemon forwards each report of another VM.
    pub max_forwards: u32,
    /// Age at which reports are dropped.
    pub max_age: Millis,
}

impl Default for ReportOptions {
    fn default() -> Self {
        Self {
            max_values_per_message: 14,
            max_own_sends: 6,
            max_forwards: 2,
            max_age: Millis(30_000),
        }
    }
}

/// The latest known report of each VM.
#[derive(Clone)]
pub struct ReportTable {
    me: VmName,
    timer: Timer,
    options: ReportOptions,
    reports: Rc<RefCell<BTreeMap<VmName, Report>>>,
}

impl ReportTable {
    /// Creates an empty table.
    pub fn new(me: VmName, timer: Timer, options: ReportOptions) -> Self {
        Self {
            me,
            timer,
            options,
            reports: Rc::default(),
        }
    }

    /// Publishes this daemon's own loads. Unchanged values are left out of deltas.
    pub fn publish(&self, incarnation: Incarnation, loads: Loads) {
        let mut reports = self.reports.borrow_mut();
        let last = reports
            .get(&self.me)
            .filter(|r| r.incarnation == incarnation);
        let (number, changed, base) = match last {
            // A delta cannot express that a value was removed.
            Some(last) if last.loads.keys().all(|name| loads.contains_key(name)) => {
                let differs =
                    |(name, load): &(&Arc<str>, &u32)| last.loads.get(*name) != Some(load);
                let changed = loads.iter().filter(differs);
                let changed = changed
                    .map(|(name, load)| (Arc::clone(name), *load))
                    .collect();
                (last.number + 1, changed, last.number)
            }
            Some(last) => (last.number + 1, loads.clone(), 0),
            None => (1, loads.clone(), 0),
        };
        let report = Report {
            incarnation,
            number,
            measured_at: self.timer.now(),
            loads,
            changed,
            base,
            send_count: 0,
        };
        reports.insert(self.me.clone(), report);
    }

    /// Returns the latest report of a VM.
    pub fn view(&self, vm: &VmName) -> Option<ReportView> {
        let now = self.timer.now();
        let reports = self.reports.borrow();
        reports.get(vm).map(|report| ReportView {
            incarnation: report.incarnation,
            age: now.since(report.measured_at),
            loads: report.loads.clone(),
        })
    }

    /// Returns the batch for the next message: the reports sent least often come first, and of
    /// those the most recent.
    pub fn next_batch(&self, scope: Scope) -> Option<Batch> {
        let now = self.timer.now();
        if scope == Scope::OtherDomain {
            let reports = self.reports.borrow();
            let own = reports.get(&self.me)?;
            return Some(vec![own.full(&self.me, now)]);
        }
        let mut reports = self.reports.borrow_mut();
        reports.retain(|_, r| now.since(r.measured_at) < self.options.max_age);
        let max_sends = |vm: &VmName| match *vm == self.me {
            true => self.options.max_own_sends,
            false => self.options.max_forwards,
        };
        let mut queue: Vec<_> = reports
            .iter_mut()
            .filter(|(vm, r)| r.send_count < max_sends(vm))
            .collect();
        queue.sort_by_key(|(_, r)| (r.send_count, now.since(r.measured_at)));
        let mut batch = Vec::new();
        let mut values = 0;
        for (vm, report) in queue {
            let delta = report.delta(vm, now);
            values += delta.loads.len() + 1;
            if values > self.options.max_values_per_message && !batch.is_empty() {
                break;
            }
            report.send_count += 1;
            batch.push(delta);
        }
        (!batch.is_empty()).then_some(batch)
    }

    /// Merges a received batch. A delta whose base report this daemon does not have is ignored; a
    /// later message carries all values.
    pub fn merge(&self, scope: Scope, batch: Batch) {
        let now = self.timer.now();
        let mut reports = self.reports.borrow_mut();
        for delta in batch {
            if delta.vm == self.me || delta.age >= self.options.max_age {
                continue;
            }
            let known = reports.get(&delta.vm);
            if let Some(mut report) = Report::from_delta(known, &delta, now) {
                if scope == Scope::OtherDomain {
                    // Not forwarded: reports of other domains would crowd out those of this one.
                    report.send_count = u32::MAX;
                }
                reports.insert(delta.vm, report);
            }
        }
    }

    /// Returns the interface for heartbeats.
    pub fn port(&self) -> ReportPort {
        let (sender, receiver) = (self.clone(), self.clone());
        ReportPort {
            next_batch: Rc::new(move |scope| sender.next_batch(scope)),
            merge: Rc::new(move |scope, batch| receiver.merge(scope, batch)),
        }
    }
}

impl Report {
    /// Returns the changed values, or in every other message all values, for VMs that missed the
    /// base report.
    fn delta(&self, vm: &VmName, now: Millis) -> ReportDelta {
        let full = self.full(vm, now);
        if self.base == 0 || self.send_count % 2 == 1 {
            return full;
        }
        ReportDelta {
            base: self.base,
            loads: self.changed.clone(),
            ..full
        }
    }

    fn full(&self, vm: &VmName, now: Millis) -> ReportDelta {
        ReportDelta {
            vm: vm.clone(),
            incarnation: self.incarnation,
            number: self.number,
            age: now.since(self.measured_at),
            base: 0,
            loads: self.loads.clone(),
        }
    }

    fn from_delta(known: Option<&Report>, delta: &ReportDelta, now: Millis) -> Option<Report> {
        let known = known.filter(|r| r.incarnation == delta.incarnation);
        if known.is_some_and(|r| r.number >= delta.number) {
            return None;
        }
        let mut loads = Loads::new();
        if delta.base != 0 {
            loads.clone_from(&known.filter(|r| r.number == delta.base)?.loads);
        }
        loads.extend(delta.loads.clone());
        Some(Report {
            incarnation: delta.incarnation,
            number: delta.number,
            measured_at: now - delta.age,
            loads,
            changed: delta.loads.clone(),
            base: delta.base,
            send_count: 0,
        })
    }
}
