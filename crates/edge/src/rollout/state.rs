//! One VM's part in the rollouts of all services.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use heatherknot_http::Flag;
use heatherknot_store::port::StoreRevision;
use heatherknot_types::prelude::*;
use log::warn;
use slotmap::{SlotMap, new_key_type};

use super::evidence::{Evidence, Outcomes, RequestKind, ServerGroup};
use super::plan::{self, Shift};
use super::popular_objects::PopularObjects;
use super::reports::RolloutProgress;
use super::response_times::ResponseTimes;
use super::totals::RolloutTotals;
use super::versions::{RolloutAges, ServiceVersions, VersionRole};
use crate::routing_state::RoutingState;
use crate::upstream::Upstream;

/// How long after the last answer of its domain's head a VM may send requests to the canary. A VM
/// that hears from nobody would not learn that the version has failed.
const CONTACT_TTL: Millis = Millis(1_500);

new_key_type! {
    /// Identifies a request in flight whose outcome is evidence.
    struct SendKey;
}

/// The versions of its service that a request may be sent to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VersionChoice {
    /// The version in use.
    #[default]
    InUse,
    /// The target version of a rollout, and the version in use if the target version has no server
    /// that may get the request.
    Target,
}

impl VersionChoice {
    /// Returns whether a server with this role may get the request, where `is_shifting` says whether
    /// the traffic shifts to the target version.
    fn allows(self, role: VersionRole, is_shifting: bool) -> bool {
        match (self, role) {
            (VersionChoice::InUse, VersionRole::InUse)
            | (VersionChoice::Target, VersionRole::Canary) => true,
            (VersionChoice::Target, VersionRole::Standby) => is_shifting,
            _ => false,
        }
    }
}

/// One VM's part in the rollouts of all services.
pub struct Rollouts {
    timer: Timer,
    routing_state: Rc<RefCell<RoutingState>>,
    services: RefCell<HashMap<ServiceName, RolloutState>>,
    /// Fires when the next rollout starts, changes its stage or fails.
    news: RefCell<Flag>,
    /// Fires at the next failure of a target version.
    failure_news: RefCell<Flag>,
    /// The same for the task that writes records.
    controller_news: RefCell<Flag>,
}

/// One VM's part in one rollout.
#[derive(Debug)]
pub(super) struct RolloutState {
    /// Revision of the order.
    pub(super) order: StoreRevision,
    /// This VM's own evidence, without requests in flight.
    own: Evidence,
    in_flight: SlotMap<SendKey, InFlightSend>,
    /// Response times of the previous version's servers, without requests in flight.
    pub(super) response_times: ResponseTimes,
    popular_objects: PopularObjects,
    /// The evidence of all VMs, if this VM collects it.
    pub(super) totals: RolloutTotals,
    /// When the head of the domain answered last, or this VM collected evidence itself.
    pub(super) contact_at: Option<Millis>,
    /// Why the target version has failed, if it has.
    pub(super) failure: Option<Rc<str>>,
}

/// A request in flight whose outcome is evidence.
#[derive(Debug)]
struct InFlightSend {
    kind: RequestKind,
    group: ServerGroup,
    server: UpstreamName,
    sent_at: Millis,
    /// Whether its response time is evidence.
    is_timed: bool,
}

/// How a request ended, as evidence on the version of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// The server answered.
    Answered,
    /// The server failed the request, broke it off or did not answer in time.
    Failed,
    /// The end says nothing about the version.
    Unrelated,
}

/// A request in flight whose outcome is evidence. If it is dropped before [`ObservedSend::finish`],
/// its end says nothing about the version.
pub struct ObservedSend {
    rollouts: Rc<Rollouts>,
    service: ServiceName,
    order: StoreRevision,
    key: SendKey,
    is_target: bool,
    result: SendResult,
}

impl Rollouts {
    /// Creates the state of a VM that has just started.
    pub fn new(timer: Timer, routing_state: Rc<RefCell<RoutingState>>) -> Self {
        Self {
            timer,
            routing_state,
            services: RefCell::default(),
            news: RefCell::default(),
            failure_news: RefCell::default(),
            controller_news: RefCell::default(),
        }
    }

    /// Returns a flag that fires when the next rollout starts, changes its stage or fails.
    pub(super) fn next_news(&self) -> Flag {
        replace_flag(&self.news)
    }

    /// Returns a flag that fires at the next failed request of a target version, here or as reported
    /// by another VM.
    pub(super) fn next_failure(&self) -> Flag {
        replace_flag(&self.failure_news)
    }

    /// Wakes the task that reports evidence, because a request of a target version has failed.
    pub(super) fn wake_for_failure(&self) {
        self.failure_news.borrow().fire();
    }

    /// Returns the flag of [`Rollouts::next_news`] for the task that writes records.
    pub(super) fn next_controller_news(&self) -> Flag {
        replace_flag(&self.controller_news)
    }

    /// Wakes the tasks that wait for news.
    pub(super) fn wake(&self) {
        self.news.borrow().fire();
        self.controller_news.borrow().fire();
    }

    /// Returns the current time.
    pub(super) fn now(&self) -> Millis {
        self.timer.now()
    }

    /// Returns the rollouts in progress: those whose order has no final record.
    pub(super) fn unfinished(&self) -> Vec<(ServiceName, StoreRevision)> {
        self.with_versions(|service, versions| {
            let order = versions.order()?;
            let record = versions.current_record();
            let is_final = record.is_some_and(|record| record.record.stage.is_final());
            (!is_final).then(|| (service.clone(), order.revision))
        })
    }

    /// Returns whether a record has to be written for some rollout before it has ended.
    pub(super) fn has_unfinished_records(&self) -> bool {
        let is_unfinished = |versions: &ServiceVersions| match versions.order() {
            Some(_) => {
                let record = versions.current_record();
                record.is_none_or(|record| !record.record.stage.is_final())
            }
            None => {
                let record = versions.record();
                record.is_some_and(|record| !record.record.stage.is_final())
            }
        };
        let found = self.with_versions(|_, versions| is_unfinished(versions).then_some(()));
        !found.is_empty()
    }

    /// Applies `act` to the versions of each service that has an order or a record.
    pub(super) fn with_versions<T>(
        &self,
        act: impl Fn(&ServiceName, &ServiceVersions) -> Option<T>,
    ) -> Vec<T> {
        let routing_state = self.routing_state.borrow();
        let rollouts = routing_state.versions().rollouts();
        rollouts
            .filter_map(|(service, versions)| act(service, versions))
            .collect()
    }

    /// Applies `act` to the versions of a service.
    pub(super) fn with_versions_of<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&ServiceVersions) -> Option<T>,
    ) -> Option<T> {
        let routing_state = self.routing_state.borrow();
        routing_state.versions().get(service).and_then(act)
    }

    /// Returns what this VM knows of the progress of a rollout.
    pub(super) fn progress(&self, service: &ServiceName, order: StoreRevision) -> RolloutProgress {
        let now = self.timer.now();
        let ages = self.with_versions_of(service, |versions| Some(versions.ages(now)));
        let response_times = self.with_state(service, order, |state| {
            state.record_waiting(now);
            state.response_times.report()
        });
        RolloutProgress {
            ages: ages.unwrap_or_default(),
            response_times,
        }
    }

    /// Applies what a peer knows of the progress of a rollout.
    pub(super) fn apply_progress(
        &self,
        service: &ServiceName,
        order: StoreRevision,
        progress: &RolloutProgress,
    ) {
        self.learn_ages(service, order, progress.ages);
        self.with_existing(service, order, |state| {
            state.response_times.apply(&progress.response_times);
        });
    }

    /// Applies the ages of a rollout as a peer or the record knows them.
    pub(super) fn learn_ages(
        &self,
        service: &ServiceName,
        order: StoreRevision,
        ages: RolloutAges,
    ) {
        let mut routing_state = self.routing_state.borrow_mut();
        routing_state.learn_rollout_ages(service, order, ages);
    }

    /// Drops the state of rollouts that have ended.
    pub(super) fn retain_unfinished(&self) {
        let unfinished = self.unfinished();
        let mut services = self.services.borrow_mut();
        services.retain(|service, state| {
            unfinished
                .iter()
                .any(|(name, order)| name == service && *order == state.order)
        });
    }

    /// Applies `act` to the state of the rollout with this order.
    pub(super) fn with_state<T>(
        &self,
        service: &ServiceName,
        order: StoreRevision,
        act: impl FnOnce(&mut RolloutState) -> T,
    ) -> T {
        let mut services = self.services.borrow_mut();
        let state = services
            .entry(service.clone())
            .or_insert_with(|| RolloutState::new(order));
        if state.order != order {
            *state = RolloutState::new(order);
        }
        act(state)
    }

    /// Applies `act` to the state of the rollout with this order, if it is still the latest one.
    fn with_existing(
        &self,
        service: &ServiceName,
        order: StoreRevision,
        act: impl FnOnce(&mut RolloutState),
    ) {
        let mut services = self.services.borrow_mut();
        let state = services.get_mut(service);
        if let Some(state) = state.filter(|state| state.order == order) {
            act(state);
        }
    }

    /// Chooses the version that a request gets. `object` is the hash of its object, and `request` a
    /// hash that differs between all attempts of callers.
    pub fn choose(&self, service: &ServiceName, object: u64, request: u64) -> VersionChoice {
        let routing_state = self.routing_state.borrow();
        let table = routing_state.versions();
        let Some(versions) = table.get(service) else {
            return VersionChoice::InUse;
        };
        let Some(active) = versions.active() else {
            return VersionChoice::InUse;
        };
        let now = self.timer.now();
        let is_in_canary = plan::is_in_canary(request, table.canary_share());
        let is_popular = self.with_state(service, active.order, |state| {
            state.popular_objects.record(object);
            state.popular_objects.contains(object)
        });
        let is_target = match self.shift_of(service, versions, now) {
            None => is_in_canary && self.has_contact(service, active.order, now),
            Some(shift) => is_in_canary || shift.has_shifted(object, is_popular),
        };
        match is_target {
            true => VersionChoice::Target,
            false => VersionChoice::InUse,
        }
    }

    fn has_contact(&self, service: &ServiceName, order: StoreRevision, now: Millis) -> bool {
        let services = self.services.borrow();
        let state = services.get(service).filter(|state| state.order == order);
        let contact_at = state.and_then(|state| state.contact_at);
        contact_at.is_some_and(|at| now.since(at) < CONTACT_TTL)
    }

    /// Returns the version that a retry gets. A request that failed at the target version goes to
    /// the previous one while that still gets requests.
    pub fn choose_for_retry(&self, service: &ServiceName, first: VersionChoice) -> VersionChoice {
        match self.shift(service) {
            Some(shift) if shift.is_complete() => first,
            _ => VersionChoice::InUse,
        }
    }

    /// Returns how far the shift of a service's traffic has come, as far as this VM knows; `None` if
    /// there is none.
    fn shift(&self, service: &ServiceName) -> Option<Shift> {
        let routing_state = self.routing_state.borrow();
        let versions = routing_state.versions().get(service)?;
        self.shift_of(service, versions, self.timer.now())
    }

    fn shift_of(
        &self,
        service: &ServiceName,
        versions: &ServiceVersions,
        now: Millis,
    ) -> Option<Shift> {
        let received = versions.order()?;
        let ages = versions.ages(now);
        let response_time = self.with_state(service, received.revision, |state| {
            state.response_times.usual()
        });
        let time_limit = received.order.time_limit;
        Some(Shift::new(
            time_limit,
            ages.order,
            ages.shift?,
            response_time,
        ))
    }

    /// Returns the versions that a request with this choice may be sent to, the preferred one first.
    /// While the traffic shifts, the target version takes what no server of the previous one can
    /// answer in time.
    pub fn in_order(&self, service: &ServiceName, choice: VersionChoice) -> Vec<VersionChoice> {
        match choice {
            VersionChoice::InUse if self.shift(service).is_none() => vec![VersionChoice::InUse],
            VersionChoice::InUse => vec![VersionChoice::InUse, VersionChoice::Target],
            VersionChoice::Target => vec![VersionChoice::Target, VersionChoice::InUse],
        }
    }

    /// Returns a filter for the servers of a service that a request with this choice may get.
    pub fn filter(
        &self,
        service: &ServiceName,
        choice: VersionChoice,
    ) -> impl Fn(&Upstream) -> bool + use<> {
        let shift = self.shift(service);
        let slow = shift.map_or_else(HashSet::new, |shift| self.too_slow(service, shift));
        move |upstream| {
            choice.allows(upstream.role.get(), shift.is_some()) && !slow.contains(&upstream.id)
        }
    }

    /// Returns the servers of the previous version that could not answer a request any more before
    /// they stop. While the traffic shifts, the others get their requests.
    fn too_slow(&self, service: &ServiceName, shift: Shift) -> HashSet<UpstreamName> {
        let now = self.timer.now();
        let mut services = self.services.borrow_mut();
        let Some(state) = services.get_mut(service).filter(|_| !shift.is_complete()) else {
            return HashSet::new();
        };
        state.record_waiting(now);
        state.response_times.slower_than(shift)
    }

    /// Returns the choice that another VM has made for a request that it handed over, by the server
    /// that it chose.
    pub fn choice_of_peer(&self, service: &ServiceName, server: &UpstreamName) -> VersionChoice {
        let routing_state = self.routing_state.borrow();
        let upstreams = routing_state.upstreams(service);
        let found = upstreams.binary_search_by(|u| u.id.cmp(server));
        match found.map(|at| upstreams[at].role.get()) {
            Ok(VersionRole::Canary | VersionRole::Standby) => VersionChoice::Target,
            _ => VersionChoice::InUse,
        }
    }

    /// Starts to observe a request to a server. Returns `None` if no rollout of its service is in
    /// progress. The response is timed if the server was expected to be free.
    pub fn observe(
        self: &Rc<Self>,
        upstream: &Upstream,
        kind: RequestKind,
        is_timed: bool,
    ) -> Option<ObservedSend> {
        let service = &upstream.service;
        let order = {
            let routing_state = self.routing_state.borrow();
            routing_state.versions().get(service)?.active()?.order
        };
        let group = match upstream.role.get() {
            VersionRole::InUse => ServerGroup::Previous,
            VersionRole::Canary | VersionRole::Standby => ServerGroup::of_target(&upstream.id),
            VersionRole::Excluded => return None,
        };
        let send = InFlightSend {
            kind,
            group,
            server: upstream.id.clone(),
            sent_at: self.timer.now(),
            is_timed,
        };
        let key = self.with_state(service, order, |state| state.in_flight.insert(send));
        Some(ObservedSend {
            rollouts: Rc::clone(self),
            service: service.clone(),
            order,
            key,
            is_target: group != ServerGroup::Previous,
            result: SendResult::Unrelated,
        })
    }

    /// Returns this VM's own evidence on a rollout, and whether it has no requests left at the
    /// previous version and sends no more there.
    pub(super) fn own_evidence(
        &self,
        service: &ServiceName,
        order: StoreRevision,
    ) -> (Evidence, bool) {
        let now = self.timer.now();
        let evidence = self.with_state(service, order, |state| state.own_evidence(now));
        let shift = self.shift(service);
        let has_shifted = shift.is_some_and(|shift| shift.is_complete());
        (
            evidence,
            has_shifted && !self.has_previous_in_flight(service),
        )
    }

    fn has_previous_in_flight(&self, service: &ServiceName) -> bool {
        let upstreams = self.routing_state.borrow().upstreams(service);
        upstreams
            .iter()
            .any(|u| u.role.get() == VersionRole::InUse && u.in_flight() > 0)
    }

    /// Records that the target version of a rollout has failed, as found here or by a peer.
    pub(super) fn record_failure(&self, service: &ServiceName, order: StoreRevision, cause: &str) {
        let is_unfinished = self.unfinished().contains(&(service.clone(), order));
        if !is_unfinished {
            return;
        }
        self.with_state(service, order, |state| {
            state.failure.get_or_insert_with(|| cause.into());
        });
        let is_news = self.routing_state.borrow_mut().fail_rollout(service, order);
        if is_news {
            warn!(service:% = service, order:% = order, cause; "the target version of a rollout has failed; it gets no more requests");
            self.wake();
        }
    }
}

fn replace_flag(flag: &RefCell<Flag>) -> Flag {
    let next = Flag::new();
    *flag.borrow_mut() = next.clone();
    next
}

impl RolloutState {
    fn new(order: StoreRevision) -> Self {
        Self {
            order,
            own: Evidence::default(),
            in_flight: SlotMap::with_key(),
            response_times: ResponseTimes::default(),
            popular_objects: PopularObjects::default(),
            totals: RolloutTotals::default(),
            contact_at: None,
            failure: None,
        }
    }

    /// Returns this VM's evidence, with the requests in flight.
    fn own_evidence(&self, now: Millis) -> Evidence {
        let mut evidence = self.own.clone();
        for send in self.in_flight.values().filter(|send| send.is_timed) {
            let waiting = Outcomes {
                waiting: 1,
                waiting_ms: now.since(send.sent_at).0,
                ..Outcomes::default()
            };
            evidence.add(send.kind, send.group, &waiting);
        }
        evidence
    }

    /// Records for how long requests to the previous version have been in flight.
    fn record_waiting(&mut self, now: Millis) {
        let to_previous = self.in_flight.values();
        let to_previous = to_previous.filter(|send| send.group == ServerGroup::Previous);
        for send in to_previous {
            let waiting = now.since(send.sent_at);
            self.response_times.record(&send.server, waiting);
        }
    }

    /// Records how a request ended.
    fn finish(&mut self, key: SendKey, result: SendResult, now: Millis) {
        let Some(send) = self.in_flight.remove(key) else {
            return;
        };
        let took = now.since(send.sent_at);
        if send.group == ServerGroup::Previous {
            self.response_times.record(&send.server, took);
        }
        let is_timed = send.is_timed && result == SendResult::Answered;
        let outcomes = Outcomes {
            requests: u64::from(result != SendResult::Unrelated),
            failures: u64::from(result == SendResult::Failed),
            timed: u64::from(is_timed),
            time_ms: if is_timed { took.0 } else { 0 },
            ..Outcomes::default()
        };
        self.own.add(send.kind, send.group, &outcomes);
    }
}

impl ObservedSend {
    /// Records how the request ended.
    pub fn finish(mut self, result: SendResult) {
        self.result = result;
    }
}

impl Drop for ObservedSend {
    fn drop(&mut self) {
        let now = self.rollouts.timer.now();
        let (key, result) = (self.key, self.result);
        self.rollouts
            .with_existing(&self.service, self.order, |state| {
                state.finish(key, result, now);
            });
        if result == SendResult::Failed && self.is_target {
            self.rollouts.wake_for_failure();
        }
    }
}
