//! The steering state of one VM and the inputs that change it.

use std::collections::BTreeMap;
use std::sync::Arc;

use heatherknot_types::plan::{AccountPlan, Plan, ServicePlan};
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::admission::InFlight;
use crate::allowance::{AllowanceHistory, Allowances};
use crate::fair_share::FairShare;
use crate::holder::Holder;
use crate::issuer::{Issuer, ScopeName};
use crate::lookup::CachedAnswers;
use crate::messages::{PlaceReport, VmReport};
use crate::meter::RateMeter;
use crate::peer::Peer;
use crate::placement::TrafficSplit;
use crate::report::Reports;
use crate::retry::RetryBudget;
use crate::tuning::Tuning;
use crate::upstream::{UpstreamLoad, Upstreams};
use crate::verdict::TicketKey;
use crate::warm_up::WarmUp;

/// Delay assumed to a failure domain of the same region until it is measured.
const SAME_REGION_DELAY: Millis = Millis(1);
/// Delay assumed to a failure domain of another region until it is measured.
const OTHER_REGION_DELAY: Millis = Millis(55);
/// The whole of a limit, in thousandths.
const WHOLE_PERMILLE: u16 = 1_000;
/// How often the traffic splits are recomputed.
const SPLIT_INTERVAL: Millis = Millis(500);

/// Identifies a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The VM.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// The incarnation of its daemon, new with each start.
    pub incarnation: Incarnation,
}

/// What this VM measures and plans for one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceState {
    /// Rate of requests from callers of this VM.
    pub(crate) demand: RateMeter,
    /// Moving average of the time from admission to the end of a request, in milliseconds.
    pub(crate) latency_ms: f64,
    /// Moving average of the time a local backend server takes, in milliseconds.
    pub(crate) service_time_ms: f64,
    /// Request rate that one cached look-up answer causes, in requests per second.
    pub(crate) rate_per_answer: f64,
    /// Traffic split under the current limits.
    pub(crate) split: TrafficSplit,
    /// Rate this VM would send to each place without the limits of its grants, in requests per
    /// second.
    pub(crate) desired: Vec<(PlaceName, f64)>,
    /// Rate to send to each place in addition to what callers with cached answers bring there, in
    /// requests per second.
    pub(crate) relay: Vec<(PlaceName, f64)>,
}

/// What this VM measures at one place of its failure domain.
#[derive(Clone, Debug)]
pub(crate) struct PlaceState {
    /// Rate of this VM's callers' requests to the place.
    pub(crate) local_demand: RateMeter,
    /// Use of the place by each client account.
    pub(crate) fair_share: FairShare,
    /// Warm-up state by service.
    pub(crate) warm_up: BTreeMap<ServiceName, WarmUp>,
}

/// Steering state of one VM. The crate documentation describes how it is driven.
pub struct Steering {
    pub(crate) identity: Identity,
    pub(crate) region: RegionName,
    pub(crate) tuning: Tuning,
    pub(crate) plan: Arc<Plan>,
    pub(crate) part: u16,
    pub(crate) allowances: AllowanceHistory,
    pub(crate) issuer: Issuer,
    pub(crate) holder: Holder,
    /// Use of the grant for each place of other failure domains by client account.
    pub(crate) remote_shares: BTreeMap<PlaceName, FairShare>,
    pub(crate) peers: BTreeMap<DomainName, Vec<Peer>>,
    pub(crate) delays: BTreeMap<DomainName, Millis>,
    /// VMs that did not answer a grant request, with the time until which they are avoided.
    pub(crate) avoided_until: BTreeMap<VmName, Millis>,
    /// When each failure domain was last asked for grants.
    pub(crate) last_request: BTreeMap<DomainName, Millis>,
    /// The rate, the requests in flight and the time of the last grant for each place.
    pub(crate) last_granted: BTreeMap<PlaceName, (u32, u32, Millis)>,
    pub(crate) reports: Reports,
    pub(crate) report_seq: u64,
    pub(crate) services: BTreeMap<ServiceName, ServiceState>,
    pub(crate) places: BTreeMap<PlaceName, PlaceState>,
    pub(crate) upstreams: Upstreams,
    pub(crate) retries: BTreeMap<(ServiceName, PlaceName), RetryBudget>,
    pub(crate) answers: CachedAnswers,
    pub(crate) tickets: SlotMap<TicketKey, InFlight>,
    pub(crate) last_split_update: Millis,
    /// Draining places and since when no traffic is planned for them.
    pub(crate) drained_since: BTreeMap<PlaceName, Millis>,
}

impl Steering {
    /// Creates the state of a daemon that started at `now`. It admits nothing until `on_plan` and
    /// `on_capacity_part` have been called and one window has passed.
    pub fn new(identity: Identity, tuning: Tuning, now: Millis) -> Self {
        Self {
            issuer: Issuer::new(identity.vm.clone(), identity.incarnation, tuning, now),
            holder: Holder::new(identity.vm.clone(), identity.incarnation, tuning),
            region: RegionName::new(""),
            tuning,
            plan: Arc::default(),
            part: 0,
            allowances: AllowanceHistory::default(),
            remote_shares: BTreeMap::new(),
            peers: BTreeMap::new(),
            delays: BTreeMap::new(),
            avoided_until: BTreeMap::new(),
            last_request: BTreeMap::new(),
            last_granted: BTreeMap::new(),
            reports: Reports::new(tuning),
            report_seq: 0,
            services: BTreeMap::new(),
            places: BTreeMap::new(),
            upstreams: Upstreams::default(),
            retries: BTreeMap::new(),
            answers: CachedAnswers::default(),
            tickets: SlotMap::with_key(),
            last_split_update: now,
            drained_since: BTreeMap::new(),
            identity,
        }
    }

    /// Returns the identity of this VM.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns the plan in force.
    pub fn plan(&self) -> &Arc<Plan> {
        &self.plan
    }

    /// Applies a plan; one older than the plan in force is ignored. A lowered cap stops new grants
    /// at once, and outstanding grants end within their term.
    pub fn on_plan(&mut self, plan: Arc<Plan>, now: Millis) {
        if plan.revision < self.plan.revision {
            return;
        }
        let domain = plan.domains.get(&self.identity.domain);
        self.region = domain.map_or_else(|| RegionName::new(""), |d| d.region.clone());
        self.plan = plan;
        let plan = Arc::clone(&self.plan);
        let local = |place: &PlaceName| is_local(&plan, place, &self.identity.domain);
        self.upstreams.set_plan(&plan.services, &local);
        self.services
            .retain(|name, _| plan.services.contains_key(name));
        for name in plan.services.keys() {
            if !self.services.contains_key(name) {
                self.services.insert(name.clone(), ServiceState::default());
            }
        }
        self.update_places(now);
        self.retries.retain(|(service, place), _| {
            plan.services.contains_key(service) && plan.places.contains_key(place)
        });
        self.allowances.set_plan(plan, now);
        self.apply_allowances(now);
    }

    /// Sets this VM's part of its failure domain's capacity, in thousandths. To give up capacity,
    /// lower the part here first, and in the capacity ledger only once
    /// [`Steering::fits_capacity_part`] returns true.
    pub fn on_capacity_part(&mut self, part: u16, now: Millis) {
        self.part = part;
        self.allowances.set_part(part, now);
        self.apply_allowances(now);
    }

    /// Returns this VM's part of its failure domain's capacity, in thousandths.
    pub fn capacity_part(&self) -> u16 {
        self.part
    }

    /// Returns whether all capacity that this VM has lent out or uses fits into `part`
    /// thousandths, so that the rest can go to another VM.
    pub fn fits_capacity_part(&self, part: u16, now: Millis) -> bool {
        let lower = Allowances::of(&self.plan, &self.identity.domain, part);
        let mut bounds = vec![(ScopeName::Region, lower.region)];
        bounds.extend(
            lower
                .places
                .into_iter()
                .map(|(p, c)| (ScopeName::Place(p), c)),
        );
        bounds.extend(
            lower
                .links
                .into_iter()
                .map(|(r, c)| (ScopeName::Link(r), c)),
        );
        bounds.iter().all(|(name, cap)| {
            let lent = self.issuer.lent_in(name, None, now);
            let local = self.issuer.local_in(name, now);
            let used = self.issuer.used_in(name, now);
            lent.per_second
                .saturating_add(local.per_second)
                .max(used.per_second)
                <= cap.per_second
                && lent.in_flight.saturating_add(local.in_flight) <= cap.in_flight
        })
    }

    /// Replaces the list of known VMs.
    pub fn on_peers(&mut self, peers: Vec<Peer>) {
        self.peers.clear();
        for peer in peers {
            self.peers
                .entry(peer.domain.clone())
                .or_default()
                .push(peer);
        }
    }

    /// Records the one-way delay measured to a failure domain.
    pub fn on_delay(&mut self, domain: &DomainName, delay: Millis) {
        self.delays.insert(domain.clone(), delay);
    }

    /// Records a VM's load report.
    pub fn on_report(&mut self, report: &VmReport, now: Millis) {
        self.reports.record(report, now);
    }

    /// Records an upstream's load or health response.
    pub fn on_upstream_load(
        &mut self,
        service: &ServiceName,
        upstream: &UpstreamName,
        load: UpstreamLoad,
        now: Millis,
    ) {
        self.upstreams.report(service, upstream, load, now);
    }

    /// Sets whether an upstream of this failure domain is shutting down.
    pub fn on_upstream_leaving(
        &mut self,
        service: &ServiceName,
        upstream: &UpstreamName,
        leaving: bool,
    ) {
        self.upstreams.set_leaving(service, upstream, leaving);
    }

    /// Records that an upstream of this failure domain has just started with cold caches.
    pub fn on_upstream_cold(
        &mut self,
        service: &ServiceName,
        upstream: &UpstreamName,
        now: Millis,
    ) {
        self.upstreams.mark_cold(service, upstream, now);
    }

    /// Sets the warmed rate of a place of this failure domain: zero after its caches were lost, or
    /// this VM's part of a rate, in requests per second, known from a VM that served the place
    /// before.
    pub fn on_warmed(&mut self, place: &PlaceName, rate: f64) {
        if let Some(state) = self.places.get_mut(place) {
            let n = state.warm_up.len().max(1) as f64;
            for warm_up in state.warm_up.values_mut() {
                warm_up.set_warmed_rate(rate / n);
            }
        }
    }

    /// Advances the state to `now`. Call it about ten times a second.
    pub fn tick(&mut self, now: Millis) {
        if self.allowances.prune(&self.tuning, now) {
            self.apply_allowances(now);
        }
        self.issuer.tick(now);
        self.holder.tick(now);
        self.answers.tick(now);
        self.upstreams.tick(&self.tuning, now);
        self.tick_meters(now);
        self.reports.update_hold_downs(now);
        self.avoided_until.retain(|_, until| *until > now);
        if now.since(self.last_split_update) >= SPLIT_INTERVAL {
            let span = now.since(self.last_split_update);
            self.last_split_update = now;
            self.update_splits(span, now);
        }
    }

    /// Returns this VM's load report for the places of its failure domain.
    pub fn report(&mut self, now: Millis) -> VmReport {
        self.report_seq += 1;
        let places = self
            .places
            .keys()
            .map(|p| self.place_report(p, now))
            .collect();
        VmReport {
            vm: self.identity.vm.clone(),
            domain: self.identity.domain.clone(),
            incarnation: self.identity.incarnation,
            seq: self.report_seq,
            places,
        }
    }

    pub(crate) fn place_report(&self, place: &PlaceName, now: Millis) -> PlaceReport {
        let name = ScopeName::Place(place.clone());
        let usable = self.issuer.usable_in(&name).per_second;
        let used = self.issuer.used_in(&name, now).per_second;
        let lent = self.issuer.lent_in(&name, None, now).per_second;
        let local = self.issuer.local_in(&name, now).per_second;
        let warm_up = self.places.get(place).map(|s| &s.warm_up);
        let warmed: f64 = warm_up.map_or(0.0, |w| w.values().map(WarmUp::warmed_rate).sum());
        PlaceReport {
            place: place.clone(),
            age: Millis(0),
            rate: used,
            allowance: usable,
            lendable: usable.saturating_sub(lent).saturating_sub(local),
            health: self.local_health(place, now),
            warmed: warmed as u32,
            without: self.unavailable_services(place, now),
        }
    }

    /// Returns the services with backend servers at `place`, none of which is usable now.
    fn unavailable_services(&self, place: &PlaceName, now: Millis) -> Vec<ServiceName> {
        let here = |s: &ServicePlan| s.upstreams.iter().any(|u| u.place == *place);
        let services = self.plan.services.iter().filter(|(_, s)| here(s));
        let without = services.filter(|(name, _)| !self.upstreams.any_usable(name, place, now));
        without.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the health of a place of this failure domain as seen by this VM's requests, or zero
    /// if no backend server there is usable.
    pub(crate) fn local_health(&self, place: &PlaceName, now: Millis) -> u16 {
        let services = self.places.get(place).map(|s| s.warm_up.keys());
        let mut services = services.into_iter().flatten();
        if services.any(|s| self.upstreams.any_usable(s, place, now)) {
            self.reports.own_health(place)
        } else {
            0
        }
    }

    /// Returns the current split of `service`'s traffic.
    pub fn weights(&self, service: &ServiceName) -> &TrafficSplit {
        static NONE: TrafficSplit = TrafficSplit::EMPTY;
        self.services.get(service).map_or(&NONE, |s| &s.split)
    }

    /// Returns how often the share of any place changed direction, over all services.
    pub fn direction_changes(&self) -> u64 {
        self.services
            .values()
            .map(|s| s.split.direction_changes)
            .sum()
    }

    /// Returns the grant issuer, for metrics and tests.
    pub fn issuer(&self) -> &Issuer {
        &self.issuer
    }

    /// Returns the grant holder, for metrics and tests.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    pub(crate) fn is_local(&self, place: &PlaceName) -> bool {
        is_local(&self.plan, place, &self.identity.domain)
    }

    /// Returns whether an operator is draining `place` or its region.
    pub(crate) fn draining(&self, place: &PlaceName) -> bool {
        let Some(plan) = self.plan.places.get(place) else {
            return false;
        };
        let domain = self.plan.domains.get(&plan.domain);
        let region = domain.and_then(|d| self.plan.regions.get(&d.region));
        plan.draining || region.is_some_and(|r| r.draining)
    }

    /// Returns whether an operator is draining this VM.
    pub(crate) fn vm_draining(&self) -> bool {
        let domain = self.plan.domains.get(&self.identity.domain);
        domain.is_some_and(|d| d.draining_vms.contains(&self.identity.vm))
    }

    pub(crate) fn region_of(&self, domain: &DomainName) -> Option<&RegionName> {
        self.plan.domains.get(domain).map(|d| &d.region)
    }

    pub(crate) fn delay_to(&self, domain: &DomainName) -> Millis {
        if *domain == self.identity.domain {
            return Millis(0);
        }
        let near = self.region_of(domain) == Some(&self.region);
        let assumed = if near {
            SAME_REGION_DELAY
        } else {
            OTHER_REGION_DELAY
        };
        self.delays.get(domain).copied().unwrap_or(assumed)
    }

    /// Returns the growth allowed to a service at a place of this failure domain within one
    /// second, in requests per second.
    pub(crate) fn growth_step(&self, service: &ServicePlan, place: &PlaceName) -> f64 {
        let usable = self.issuer.usable_in(&ScopeName::Place(place.clone()));
        f64::from(usable.per_second) * f64::from(service.growth_permille) / 1_000.0
    }

    fn update_places(&mut self, now: Millis) {
        let plan = Arc::clone(&self.plan);
        let domain = self.identity.domain.clone();
        self.places.retain(|name, _| is_local(&plan, name, &domain));
        let local = plan.places.iter().filter(|(_, p)| p.domain == domain);
        for (name, _) in local {
            let tuning = self.tuning;
            let state = self
                .places
                .entry(name.clone())
                .or_insert_with(|| PlaceState {
                    local_demand: RateMeter::default(),
                    fair_share: FairShare::new(tuning),
                    warm_up: BTreeMap::new(),
                });
            state.fair_share.set_shares(&shares_at(&plan, name));
            let here = |service: &ServicePlan| service.upstreams.iter().any(|u| u.place == *name);
            state
                .warm_up
                .retain(|s, _| plan.services.get(s).is_some_and(here));
            for (service, _) in plan.services.iter().filter(|(_, s)| here(s)) {
                let cold = || WarmUp::new(&tuning, now);
                state.warm_up.entry(service.clone()).or_insert_with(cold);
            }
        }
        self.remote_shares
            .retain(|name, _| plan.places.contains_key(name));
        for (name, fair_share) in &mut self.remote_shares {
            fair_share.set_shares(&shares_at(&plan, name));
        }
    }

    fn apply_allowances(&mut self, now: Millis) {
        let usable = self
            .allowances
            .usable(&self.identity.domain, &self.tuning, now);
        let lendable = self
            .allowances
            .lendable(&self.identity.domain, &self.tuning, now);
        self.issuer.set_allowances(&self.region, &usable, &lendable);
    }

    fn tick_meters(&mut self, now: Millis) {
        let memory = self.tuning.peak_memory;
        for state in self.services.values_mut() {
            state.demand.tick(now, memory);
        }
        for place in self.places.values_mut() {
            place.local_demand.tick(now, memory);
            place.fair_share.tick(now);
            for warm_up in place.warm_up.values_mut() {
                warm_up.tick(&self.tuning, now);
            }
        }
        for fair_share in self.remote_shares.values_mut() {
            fair_share.tick(now);
        }
    }
}

fn is_local(plan: &Plan, place: &PlaceName, domain: &DomainName) -> bool {
    plan.places.get(place).is_some_and(|p| p.domain == *domain)
}

/// Returns the shares of each account with a service at `place`. For an account that the plan does
/// not list, as in a trace written by hand, the guaranteed share is the largest share of any of
/// its services there.
pub(crate) fn shares_at(plan: &Plan, place: &PlaceName) -> BTreeMap<AccountName, AccountPlan> {
    let mut shares: BTreeMap<AccountName, AccountPlan> = BTreeMap::new();
    for service in plan.services.values() {
        if !service.upstreams.iter().any(|u| u.place == *place) {
            continue;
        }
        let known = plan.accounts.get(&service.account).cloned();
        let share = shares.entry(service.account.clone()).or_insert_with(|| {
            known.unwrap_or(AccountPlan {
                share_permille: WHOLE_PERMILLE,
                guaranteed_permille: 0,
            })
        });
        if !plan.accounts.contains_key(&service.account) {
            let most = service
                .account_share_permille
                .max(share.guaranteed_permille);
            share.guaranteed_permille = most;
        }
    }
    shares
}
