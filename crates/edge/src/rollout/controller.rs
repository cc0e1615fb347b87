//! Decides which stage of a rollout a VM has to write, and builds the record.
//!
//! Any head of a domain may write. They take turns: the first one writes when a stage is due, the
//! others if nothing was written for a while. Each write requires that neither the order nor the
//! record has changed, so that two writers, or a write that takes effect late, cannot lead to two
//! verdicts.

use std::collections::HashMap;
use std::rc::Rc;

use heatherknot_store::port::StoreRevision;
use heatherknot_types::prelude::*;

use super::plan::{self, Progress, Transition};
use super::record::{RolloutRecord, Stage};
use super::state::Rollouts;
use super::versions::{RolloutAges, ServiceVersions};
use crate::feed_topology::FeedTopology;
use crate::presence::VmEntry;

/// How long each head waits for the one before it to write.
const TURN: Millis = Millis(600);
/// Interval between two checks whether a stage is due.
pub const CHECK_INTERVAL: Millis = Millis(200);
/// Time that a write to the store is expected to take at least.
const MIN_WRITE_TIME: Millis = Millis(200);
/// Factor by which a write may take longer than the longest one before.
const WRITE_SAFETY_FACTOR: u64 = 2;
/// Uptime up to which a VM may have received an order long after it was given.
const STARTUP_TIME: Millis = Millis(5_000);

/// The VMs as one VM knows them.
pub struct FleetView<'a> {
    /// This VM.
    pub me: &'a VmName,
    /// Its failure domain.
    pub domain: &'a DomainName,
    /// Which VMs lead the domains and watch the store.
    pub topology: &'a FeedTopology,
    /// The VMs that are alive.
    pub vms: &'a [VmEntry],
    /// The time of day, in Unix milliseconds.
    pub unix_ms: u64,
}

/// Decides when this VM writes a stage.
#[derive(Debug)]
pub struct Controller {
    /// When this process started.
    started: Millis,
    /// The stages that are due, and since when.
    due_since: HashMap<(ServiceName, Stage), Millis>,
    /// The longest time that a write of this VM has taken in the rollouts in progress.
    longest_write: Option<Millis>,
}

/// A record to be written, and what it requires.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// The service.
    pub service: ServiceName,
    /// The record.
    pub record: RolloutRecord,
    /// Required revision of the order; zero if it must not exist.
    pub order_revision: StoreRevision,
    /// Required revision of the present record; zero if it must not exist.
    pub record_revision: StoreRevision,
}

impl FleetView<'_> {
    /// Returns the names of the VMs of this VM's domain.
    pub fn vms_in_domain(&self) -> impl Iterator<Item = &VmName> {
        let in_domain = self.vms.iter().filter(|vm| vm.domain == *self.domain);
        in_domain.map(|vm| &vm.name)
    }

    /// Returns the other domains.
    pub fn other_domains(&self) -> impl Iterator<Item = &DomainName> {
        let domains = self.topology.domains();
        domains.filter(|domain| *domain != self.domain)
    }

    /// Returns the position of this VM among the heads of all domains, those near the store first,
    /// or `None` if it is not one of them.
    fn turn(&self) -> Option<u64> {
        let topology = self.topology;
        let domains = topology.domains();
        let heads = domains.filter_map(|domain| topology.leaders(domain).first());
        let (near, far): (Vec<_>, Vec<_>) = heads.partition(|vm| topology.is_watcher(vm));
        let mut ordered = near.into_iter().chain(far);
        ordered.position(|vm| vm == self.me).map(|at| at as u64)
    }
}

impl Controller {
    /// Creates the controller of a process that started at `started`.
    pub fn new(started: Millis) -> Self {
        Self {
            started,
            due_since: HashMap::new(),
            longest_write: None,
        }
    }

    /// Forgets which stages are due, and how long writes take.
    pub fn reset(&mut self) {
        self.due_since.clear();
        self.longest_write = None;
    }

    /// Records how long a write of a stage took until the store answered or the call failed.
    pub fn record_write(&mut self, took: Millis) {
        self.longest_write = self.longest_write.max(Some(took));
    }

    /// Returns how long before the deadline the VM with this turn has to propose a result that waits
    /// for requests, or `None` if it has measured no write or is not the first one. The others do
    /// not wait, so that they replace the first one in time.
    fn write_lead(&self, turn: u64) -> Option<Millis> {
        let longest = self.longest_write.filter(|_| turn == 0)?;
        let write = Millis(longest.0 * WRITE_SAFETY_FACTOR).max(MIN_WRITE_TIME);
        Some(CHECK_INTERVAL + write)
    }

    /// Returns the records that this VM has to write now.
    pub fn proposals(&mut self, rollouts: &Rollouts, view: &FleetView<'_>) -> Vec<Proposal> {
        let Some(turn) = view.turn() else {
            self.reset();
            return Vec::new();
        };
        let now = rollouts.now();
        let write_lead = self.write_lead(turn);
        self.recall_ages(rollouts, view);
        let due = rollouts.with_versions(|service, versions| {
            let transition = next_transition(rollouts, view, service, versions, write_lead)?;
            Some((service.clone(), transition))
        });
        let is_due = |key: &(ServiceName, Stage)| {
            due.iter()
                .any(|(service, transition)| *service == key.0 && transition.stage == key.1)
        };
        self.due_since.retain(|key, _| is_due(key));
        let delay = Millis(TURN.0 * turn);
        let mine = due.into_iter().filter(|(service, transition)| {
            let key = (service.clone(), transition.stage);
            let since = *self.due_since.entry(key).or_insert(now);
            now.since(since) >= delay
        });
        let mine: Vec<_> = mine.collect();
        let proposals = mine.iter().filter_map(|(service, transition)| {
            rollouts.with_versions_of(service, |versions| {
                propose(service, versions, transition, view, now)
            })
        });
        proposals.collect()
    }

    /// Applies the ages of orders that this VM has received just after its start. They may be older
    /// than its process, and after a loss of all VMs only the record's time of day tells.
    fn recall_ages(&self, rollouts: &Rollouts, view: &FleetView<'_>) {
        let inherited = rollouts.with_versions(|service, versions| {
            let received = versions.order()?;
            let is_inherited = received.received_at.since(self.started) < STARTUP_TIME;
            let record = versions.current_record().filter(|_| is_inherited)?;
            let age = Millis(view.unix_ms.saturating_sub(record.record.started_unix_ms));
            Some((service.clone(), received.revision, age))
        });
        for (service, order, age) in inherited {
            let ages = RolloutAges {
                order: age,
                shift: None,
            };
            rollouts.learn_ages(&service, order, ages);
        }
    }
}

fn next_transition(
    rollouts: &Rollouts,
    view: &FleetView<'_>,
    service: &ServiceName,
    versions: &ServiceVersions,
    write_lead: Option<Millis>,
) -> Option<Transition> {
    let now = rollouts.now();
    let received = versions.order();
    let collected = received.map(|order| collect(rollouts, view, service, order.revision));
    let Collected {
        answers,
        undrained_vms,
        failure,
        response_time,
    } = collected.unwrap_or_default();
    let record = versions.record();
    let progress = Progress {
        order: received.map(|received| (received.revision, &received.order)),
        record: record.map(|record| &record.record),
        established: versions.established(),
        elapsed: received.map_or(Millis(0), |received| received.given.age(now)),
        failure: failure.as_deref(),
        answers,
        undrained_vms,
        stage_age: record.map_or(Millis(0), |record| record.stage_began.age(now)),
        write_lead,
    };
    plan::next_stage_with(&progress, response_time)
}

/// What this VM has collected on a rollout.
#[derive(Default)]
struct Collected {
    /// Answers of the target version and of the previous one.
    answers: (u64, u64),
    /// Number of VMs that may still have requests at the previous version, if it is known.
    undrained_vms: Option<usize>,
    /// Why the target version has failed, if it has.
    failure: Option<Rc<str>>,
    /// How long a request to the previous version takes.
    response_time: Millis,
}

fn collect(
    rollouts: &Rollouts,
    view: &FleetView<'_>,
    service: &ServiceName,
    order: StoreRevision,
) -> Collected {
    let now = rollouts.now();
    rollouts.with_state(service, order, |state| {
        let (target, previous) = state.totals.of_fleet().sums();
        let here = state.totals.undrained_in_domain(view.vms_in_domain(), now);
        let elsewhere = state.totals.undrained_elsewhere(view.other_domains(), now);
        Collected {
            answers: (target.requests, previous.requests),
            undrained_vms: elsewhere.map(|count| count + here),
            failure: state.failure.clone(),
            response_time: state.response_times.usual(),
        }
    })
}

/// Builds the record of a stage, or returns `None` if there is nothing to write.
fn propose(
    service: &ServiceName,
    versions: &ServiceVersions,
    transition: &Transition,
    view: &FleetView<'_>,
    now: Millis,
) -> Option<Proposal> {
    let before = versions.record().map(|record| &record.record);
    let current = versions
        .current_record()
        .map(|record| record.record.clone());
    let mut record = match (current, versions.order()) {
        (Some(current), _) => current,
        (None, Some(received)) => {
            let age = received.given.age(now);
            RolloutRecord {
                order: received.revision.number,
                order_era: received.revision.era.0,
                target: received.order.target.clone(),
                stage: transition.stage,
                started_unix_ms: view.unix_ms.saturating_sub(age.0),
                time_limit: received.order.time_limit,
                rolled_back: before.map_or_else(Vec::new, |before| before.rolled_back.clone()),
                by: view.me.clone(),
                cause: String::new(),
            }
        }
        (None, None) => before?.clone(),
    };
    record.stage = transition.stage;
    record.by = view.me.clone();
    record.cause.clone_from(&transition.cause);
    if transition.stage == Stage::RolledBack {
        record.roll_target_back();
    }
    Some(Proposal {
        service: service.clone(),
        record,
        order_revision: versions.order().map_or(StoreRevision::ZERO, |o| o.revision),
        record_revision: versions
            .record()
            .map_or(StoreRevision::ZERO, |r| r.revision),
    })
}
