//! Which servers of a service may get which requests, by their versions.
//!
//! A service has one version in use. Servers of any other version get no requests, unless a rollout
//! to that version is in progress. A version that was rolled back gets none ever again.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use heatherknot_store::port::StoreRevision;
use heatherknot_types::hash;
use heatherknot_types::prelude::*;
use log::info;
use serde::{Deserialize, Serialize};

use super::moment::PastMoment;
use super::plan;
use super::record::{RolloutOrder, RolloutRecord, Stage};
use crate::upstream::Upstream;

/// Assumed age of an order when the first VM receives it.
const ORDER_AGE: Millis = Millis(100);

/// How many times as many servers run another version if the version in use is determined anew.
const MIN_MAJORITY: usize = 3;

/// Which requests a server may get, by its version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VersionRole {
    /// Its version is in use.
    #[default]
    InUse,
    /// It gets requests of the canary.
    Canary,
    /// It gets requests once the traffic shifts to its version.
    Standby,
    /// It gets none.
    Excluded,
}

/// The versions of all services, and their rollouts.
#[derive(Debug)]
pub struct VersionTable {
    /// Part of the requests that goes to the target version in the canary stage.
    canary_share: f64,
    services: HashMap<ServiceName, ServiceVersions>,
}

/// The versions of one service, and its latest rollout.
#[derive(Debug, Default)]
pub struct ServiceVersions {
    /// The version in use.
    established: Option<VersionName>,
    order: Option<ReceivedOrder>,
    record: Option<ReceivedRecord>,
    /// Revision of the order whose shift has begun, as a peer says before the record has arrived,
    /// and when.
    announced_shift: Option<(StoreRevision, PastMoment)>,
    /// Revision of the order whose target version has failed, as this VM knows, even if the record
    /// does not say so yet.
    failed_order: Option<StoreRevision>,
}

/// An order as it was received.
#[derive(Clone, Debug)]
pub struct ReceivedOrder {
    /// Its revision.
    pub revision: StoreRevision,
    /// The order.
    pub order: RolloutOrder,
    /// When it was received.
    pub received_at: Millis,
    /// When it was given, as far as any VM knows.
    pub given: PastMoment,
}

impl ReceivedOrder {
    /// Creates an order that is received at `now`.
    pub fn new(revision: StoreRevision, order: RolloutOrder, now: Millis) -> Self {
        Self {
            revision,
            order,
            received_at: now,
            // All VMs start from the same assumption, so that the one that ends the rollout and those
            // that send requests expect the deadline at the same time.
            given: PastMoment::with_age(ORDER_AGE, now),
        }
    }
}

impl ReceivedOrder {
    /// Returns whether this is the `held` order, written again in a later era of the store.
    fn repeats(&self, held: &ReceivedOrder) -> bool {
        self.revision.era > held.revision.era && self.order == held.order
    }
}

/// A record as it was received.
#[derive(Clone, Debug)]
pub struct ReceivedRecord {
    /// Its revision.
    pub revision: StoreRevision,
    /// The record.
    pub record: RolloutRecord,
    /// When its stage began, as far as any VM knows.
    pub stage_began: PastMoment,
}

/// A rollout in which servers of the target version may get requests.
#[derive(Clone, Copy, Debug)]
pub struct ActiveRollout<'a> {
    /// Revision of its order.
    pub order: StoreRevision,
    /// The version that is to get the traffic.
    pub target: &'a VersionName,
    /// The stage, which is not final.
    pub stage: Stage,
    /// When the stage began, as far as any VM knows.
    pub stage_began: PastMoment,
}

/// The ages of a rollout's order and of its shift, as one VM knows them. They are lower bounds,
/// because a VM receives orders and records late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutAges {
    /// Age of the order.
    #[serde(rename = "a", default)]
    pub order: Millis,
    /// Time since the shift began, if it has.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub shift: Option<Millis>,
}

impl VersionTable {
    /// Creates a table without services. A bad version may get `allowed` of a service's requests.
    pub fn new(allowed: f64) -> Self {
        Self {
            canary_share: plan::canary_share(allowed),
            services: HashMap::new(),
        }
    }

    /// Returns the part of the requests that goes to the target version in the canary stage.
    pub fn canary_share(&self) -> f64 {
        self.canary_share
    }

    /// Returns the versions of a service.
    pub fn get(&self, service: &ServiceName) -> Option<&ServiceVersions> {
        self.services.get(service)
    }

    /// Returns the services that have an order or a record of a rollout.
    pub fn rollouts(&self) -> impl Iterator<Item = (&ServiceName, &ServiceVersions)> {
        let services = self.services.iter();
        services.filter(|(_, versions)| versions.order.is_some() || versions.record.is_some())
    }

    /// Sets or removes the order of a service.
    ///
    /// An order that the store has lost and that was written again keeps its first revision, by which
    /// its record and the VMs' messages name it.
    pub fn set_order(&mut self, service: &ServiceName, order: Option<ReceivedOrder>) {
        let versions = self.versions_mut(service);
        versions.order = match (versions.order.take(), order) {
            (Some(held), Some(order)) if order.repeats(&held) => Some(held),
            (_, order) => order,
        };
        versions.recognize_order();
    }

    /// Sets the record of a service.
    pub fn set_record(
        &mut self,
        service: &ServiceName,
        revision: StoreRevision,
        record: RolloutRecord,
        now: Millis,
    ) {
        let versions = self.versions_mut(service);
        if record.stage == Stage::Completed {
            versions.established = Some(record.target.clone());
        }
        let before = versions.record.as_ref();
        let is_same_stage = |before: &&ReceivedRecord| {
            before.record.order == record.order && before.record.stage == record.stage
        };
        let stage_began = before
            .filter(is_same_stage)
            .map(|before| before.stage_began);
        let announced = versions
            .announced_shift
            .filter(|(order, _)| *order == record.order_revision() && record.stage == Stage::Shift)
            .map(|(_, began)| began);
        versions.record = Some(ReceivedRecord {
            revision,
            record,
            stage_began: stage_began
                .or(announced)
                .unwrap_or_else(|| PastMoment::new(now)),
        });
        versions.recognize_order();
    }

    /// Applies the ages of a rollout as a peer knows them.
    pub fn learn_ages(
        &mut self,
        service: &ServiceName,
        order: StoreRevision,
        ages: RolloutAges,
        now: Millis,
    ) {
        let versions = self.versions_mut(service);
        if let Some(received) = versions.order.as_mut().filter(|o| o.revision == order) {
            received.given.learn(ages.order, now);
        }
        let Some(shift_age) = ages.shift else {
            return;
        };
        let is_shift = |r: &&mut ReceivedRecord| {
            r.record.order_revision() == order && r.record.stage == Stage::Shift
        };
        match versions.record.as_mut().filter(is_shift) {
            Some(record) => record.stage_began.learn(shift_age, now),
            None => {
                let known = versions.announced_shift.filter(|(of, _)| *of == order);
                let mut began = known.map_or(PastMoment::new(now), |(_, began)| began);
                began.learn(shift_age, now);
                versions.announced_shift = Some((order, began));
            }
        }
    }

    /// Excludes the target version of an order, because it has failed. Returns whether this was not
    /// known before.
    pub fn fail(&mut self, service: &ServiceName, order: StoreRevision) -> bool {
        let versions = self.versions_mut(service);
        let is_news = versions.failed_order != Some(order);
        versions.failed_order = Some(order);
        is_news
    }

    fn versions_mut(&mut self, service: &ServiceName) -> &mut ServiceVersions {
        self.services.entry(service.clone()).or_default()
    }

    /// Sets the role of each of a service's servers.
    pub fn assign_roles(&mut self, service: &ServiceName, servers: &[Rc<Upstream>]) {
        if !self.services.contains_key(service) && servers.iter().all(|u| u.version.is_none()) {
            return;
        }
        let canary_share = self.canary_share;
        let versions = self.versions_mut(service);
        versions.update_established(service, servers);
        for upstream in servers {
            upstream
                .role
                .set(versions.role_of(upstream.version.as_ref()));
        }
        mark_canary_servers(servers, canary_share);
    }
}

/// Gives some of the servers with the role [`VersionRole::Standby`] in each region the requests of
/// the canary. All VMs that know the same servers pick the same ones.
fn mark_canary_servers(servers: &[Rc<Upstream>], canary_share: f64) {
    let mut by_region: BTreeMap<&RegionName, Vec<&Rc<Upstream>>> = BTreeMap::new();
    for upstream in servers {
        if upstream.role.get() == VersionRole::Standby && upstream.accepts_requests() {
            by_region
                .entry(&upstream.region)
                .or_default()
                .push(upstream);
        }
    }
    for mut standby in by_region.into_values() {
        standby.sort_by_cached_key(|u| hash::digest(u.id.as_str().as_bytes()));
        let count = plan::canary_servers(standby.len(), canary_share);
        for upstream in &standby[..count] {
            upstream.role.set(VersionRole::Canary);
        }
    }
}

impl ServiceVersions {
    /// Returns the version in use.
    pub fn established(&self) -> Option<&VersionName> {
        self.established.as_ref()
    }

    /// Returns the order, if there is one.
    pub fn order(&self) -> Option<&ReceivedOrder> {
        self.order.as_ref()
    }

    /// Returns the latest record, if there is one.
    pub fn record(&self) -> Option<&ReceivedRecord> {
        self.record.as_ref()
    }

    /// Takes the present order for the one of the record, if it was written again in a later era of
    /// the store. A VM that starts afterwards knows only its later revision.
    fn recognize_order(&mut self) {
        let (Some(order), Some(record)) = (&mut self.order, &self.record) else {
            return;
        };
        let record = &record.record;
        let is_same = record.target == order.order.target
            && record.time_limit == order.order.time_limit
            && record.stage != Stage::Withdrawn;
        if is_same && order.revision.era > record.order_revision().era {
            order.revision = record.order_revision();
        }
    }

    /// Returns whether the target version of the present order is known to have failed.
    pub fn has_failed(&self) -> bool {
        let order = self.order.as_ref().map(|order| order.revision);
        order.is_some() && self.failed_order == order
    }

    /// Returns the record of the present order, if it has one.
    pub fn current_record(&self) -> Option<&ReceivedRecord> {
        let order = self.order.as_ref()?.revision;
        let record = self.record.as_ref()?;
        (record.record.order_revision() == order).then_some(record)
    }

    /// Returns the rollout in progress, if servers of its target version may get requests.
    pub fn active(&self) -> Option<ActiveRollout<'_>> {
        let current = self.current_record()?;
        let record = &current.record;
        let may_send = !record.stage.is_final()
            && !self.has_failed()
            && !record.has_rolled_back(&record.target);
        let order = record.order_revision();
        let announced = self
            .announced_shift
            .filter(|(of, _)| *of == order && record.stage == Stage::Canary);
        let (stage, stage_began) = match announced {
            Some((_, began)) => (Stage::Shift, began),
            None => (record.stage, current.stage_began),
        };
        may_send.then_some(ActiveRollout {
            order,
            target: &record.target,
            stage,
            stage_began,
        })
    }

    /// Returns the ages of the rollout in progress, to be told to peers.
    pub fn ages(&self, now: Millis) -> RolloutAges {
        let order = self.order.as_ref();
        let active = self.active().filter(|active| active.stage == Stage::Shift);
        RolloutAges {
            order: order.map_or(Millis(0), |order| order.given.age(now)),
            shift: active.map(|active| active.stage_began.age(now)),
        }
    }

    /// Returns the role of servers of a version. Servers of the target version of a rollout in
    /// progress are on standby. A server that reports no version is taken to run the one in use.
    pub fn role_of(&self, version: Option<&VersionName>) -> VersionRole {
        let Some(version) = version else {
            return VersionRole::InUse;
        };
        if self.active().is_some_and(|active| active.target == version) {
            return VersionRole::Standby;
        }
        let is_in_use = match &self.established {
            Some(established) => established == version,
            None => self.may_establish(version),
        };
        match is_in_use && !self.was_rolled_back(version) {
            true => VersionRole::InUse,
            false => VersionRole::Excluded,
        }
    }

    fn was_rolled_back(&self, version: &VersionName) -> bool {
        let record = self.record.as_ref();
        record.is_some_and(|record| record.record.has_rolled_back(version))
    }

    /// Returns whether a version may become the one in use without a rollout.
    fn may_establish(&self, version: &VersionName) -> bool {
        let order = self.order.as_ref();
        let is_target = order.is_some_and(|order| order.order.target == *version);
        !is_target && !self.was_rolled_back(version)
    }

    /// Determines the version in use if it is not known, has no servers left, or was never rolled out and
    /// has far fewer servers than another one: the one that most servers run.
    fn update_established(&mut self, service: &ServiceName, servers: &[Rc<Upstream>]) {
        let mut counts: BTreeMap<&VersionName, usize> = BTreeMap::new();
        for upstream in servers.iter().filter(|u| u.accepts_requests()) {
            if let Some(version) = &upstream.version {
                *counts.entry(version).or_default() += 1;
            }
        }
        let most = counts.values().max().copied().unwrap_or_default();
        // Without a rollout, the version in use was determined by a count like this one, and may be that
        // of the first entry that was read.
        let is_by_rollout = self.order.is_some() || self.record.is_some();
        let is_in_use = |version: &VersionName| {
            let count = counts.get(version).copied().unwrap_or_default();
            count > 0 && (is_by_rollout || count * MIN_MAJORITY > most)
        };
        if self.established.as_ref().is_some_and(is_in_use) {
            return;
        }
        let eligible = counts
            .iter()
            .filter(|(version, _)| self.may_establish(version));
        // Of two that are as common, all VMs take the same one.
        let most_common = eligible.max_by_key(|(version, count)| (**count, Reverse(*version)));
        if let Some((version, count)) = most_common {
            let version = (*version).clone();
            info!(service:% = service, version:% = version, servers = *count; "version in use determined");
            self.established = Some(version);
        }
    }
}
