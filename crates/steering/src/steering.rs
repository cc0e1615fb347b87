//! The state from which one VM decides, and what changes it from outside.

use std::collections::BTreeMap;
use std::sync::Arc;

use heatherknot_types::plan::{AccountPlan, Plan, ServicePlan};
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::admission::InFlight;
use crate::allowance::{AllowanceHistory, Allowances};
use crate::fair::FairShare;
use crate::holder::Holder;
use crate::issuer::{Issuer, ScopeName};
use crate::lookup::AnswerBook;
use crate::messages::{PlaceReport, VmReport};
use crate::meter::Meter;
use crate::pairing::Peer;
use crate::placement::Spread;
use crate::report::Reports;
use crate::retry::RetryBudget;
use crate::tuning::Tuning;
use crate::upstream::{UpstreamLoad, Upstreams};
use crate::verdict::TicketKey;
use crate::warmth::Warmth;

/// Delay assumed to a failure domain of the same region that was never measured.
const NEAR_DELAY: Millis = Millis(1);
/// Delay assumed to a failure domain of another region that was never measured.
const FAR_DELAY: Millis = Millis(55);
/// All of a limit, in thousandths.
const WHOLE_PERMILLE: u16 = 1_000;
/// How often the spread of services is worked out anew.
const SPREAD_INTERVAL: Millis = Millis(500);

/// Which VM this is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The VM.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// This run of its daemon.
    pub incarnation: Incarnation,
}

/// What is measured of one service at this VM.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceState {
    /// Requests of callers at this VM.
    pub(crate) demand: Meter,
    /// Smoothed time from start to end of a request, in milliseconds.
    pub(crate) latency_ms: f64,
    /// Smoothed time that a backend server here takes, in milliseconds.
    pub(crate) run_ms: f64,
    /// Requests a second that one cached answer brings.
    pub(crate) per_answer: f64,
    /// How the traffic is spread under the limits of now.
    pub(crate) spread: Spread,
    /// Requests a second that this VM would send to each place if it were allowed to.
    pub(crate) desired: Vec<(PlaceName, f64)>,
    /// Requests a second to relay to each other place, beyond what cached answers bring there.
    pub(crate) relay: Vec<(PlaceName, f64)>,
}

/// What is measured of one place of this VM's failure domain.
#[derive(Clone, Debug)]
pub(crate) struct PlaceState {
    /// Requests that callers of this VM bring to the place.
    pub(crate) local_demand: Meter,
    /// Requests in flight of those, smoothed upwards and slowly forgotten.
    pub(crate) fair: FairShare,
    /// Warmed rates by service.
    pub(crate) warmth: BTreeMap<ServiceName, Warmth>,
}

/// The state from which one VM decides. See the package's page for how it is driven.
pub struct Steering {
    pub(crate) me: Identity,
    pub(crate) region: RegionName,
    pub(crate) tuning: Tuning,
    pub(crate) plan: Arc<Plan>,
    pub(crate) part: u16,
    pub(crate) allowances: AllowanceHistory,
    pub(crate) issuer: Issuer,
    pub(crate) holder: Holder,
    pub(crate) held_fair: BTreeMap<PlaceName, FairShare>,
    pub(crate) peers: BTreeMap<DomainName, Vec<Peer>>,
    pub(crate) delays: BTreeMap<DomainName, Millis>,
    pub(crate) avoided: BTreeMap<VmName, Millis>,
    pub(crate) last_ask: BTreeMap<DomainName, Millis>,
    pub(crate) granted: BTreeMap<PlaceName, (u32, u32, Millis)>,
    pub(crate) reports: Reports,
    pub(crate) report_seq: u64,
    pub(crate) services: BTreeMap<ServiceName, ServiceState>,
    pub(crate) places: BTreeMap<PlaceName, PlaceState>,
    pub(crate) upstreams: Upstreams,
    pub(crate) retries: BTreeMap<(ServiceName, PlaceName), RetryBudget>,
    pub(crate) answers: AnswerBook,
    pub(crate) tickets: SlotMap<TicketKey, InFlight>,
    pub(crate) last_spread: Millis,
    pub(crate) emptied: BTreeMap<PlaceName, Millis>,
}

impl Steering {
    /// Makes the state of a daemon that started at `now`. It admits nothing before `on_plan`
    /// and `on_capacity_part` have been called and one window has passed.
    pub fn new(me: Identity, tuning: Tuning, now: Millis) -> Self {
        Self {
            issuer: Issuer::new(me.vm.clone(), me.incarnation, tuning, now),
            holder: Holder::new(me.vm.clone(), me.incarnation, tuning),
            region: RegionName::new(""),
            tuning,
            plan: Arc::default(),
            part: 0,
            allowances: AllowanceHistory::default(),
            held_fair: BTreeMap::new(),
            peers: BTreeMap::new(),
            delays: BTreeMap::new(),
            avoided: BTreeMap::new(),
            last_ask: BTreeMap::new(),
            granted: BTreeMap::new(),
            reports: Reports::new(tuning),
            report_seq: 0,
            services: BTreeMap::new(),
            places: BTreeMap::new(),
            upstreams: Upstreams::default(),
            retries: BTreeMap::new(),
            answers: AnswerBook::default(),
            tickets: SlotMap::with_key(),
            last_spread: now,
            emptied: BTreeMap::new(),
            me,
        }
    }

    /// Gives which VM this is.
    pub fn identity(&self) -> &Identity {
        &self.me
    }

    /// Gives the settings in force.
    pub fn plan(&self) -> &Arc<Plan> {
        &self.plan
    }

    /// Takes in settings; older ones than those in force change nothing. Caps that shrink stop
    /// new grants at once, and grants already out run out within their term.
    pub fn on_plan(&mut self, plan: Arc<Plan>, now: Millis) {
        if plan.revision < self.plan.revision {
            return;
        }
        let domain = plan.domains.get(&self.me.domain);
        self.region = domain.map_or_else(|| RegionName::new(""), |d| d.region.clone());
        self.plan = plan;
        let plan = Arc::clone(&self.plan);
        let ours = |place: &PlaceName| is_ours(&plan, place, &self.me.domain);
        self.upstreams.set_plan(&plan.services, &ours);
        self.services
            .retain(|name, _| plan.services.contains_key(name));
        for name in plan.services.keys() {
            if !self.services.contains_key(name) {
                self.services.insert(name.clone(), ServiceState::default());
            }
        }
        self.set_places(now);
        self.retries.retain(|(service, place), _| {
            plan.services.contains_key(service) && plan.places.contains_key(place)
        });
        self.allowances.set_plan(plan, now);
        self.apply_allowances(now);
    }

    /// Takes in this VM's part of its failure domain's capacity, in thousandths. Lower it here
    /// first and in the capacity ledger only when [`Steering::fits_capacity_part`] says so.
    pub fn on_capacity_part(&mut self, part: u16, now: Millis) {
        self.part = part;
        self.allowances.set_part(part, now);
        self.apply_allowances(now);
    }

    /// Gives this VM's part of its failure domain's capacity, in thousandths.
    pub fn capacity_part(&self) -> u16 {
        self.part
    }

    /// Says whether all that this VM has lent out and in use fits into `part` thousandths, so
    /// that another VM may have the rest.
    pub fn fits_capacity_part(&self, part: u16, now: Millis) -> bool {
        let lower = Allowances::of(&self.plan, &self.me.domain, part);
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

    /// Takes in the VMs known of every failure domain.
    pub fn on_peers(&mut self, peers: Vec<Peer>) {
        self.peers.clear();
        for peer in peers {
            self.peers
                .entry(peer.domain.clone())
                .or_default()
                .push(peer);
        }
    }

    /// Takes in the one-way delay measured to a failure domain.
    pub fn on_delay(&mut self, domain: &DomainName, delay: Millis) {
        self.delays.insert(domain.clone(), delay);
    }

    /// Takes in a VM's report.
    pub fn on_report(&mut self, report: &VmReport, now: Millis) {
        self.reports.take(report, now);
    }

    /// Takes in an upstream's load or health answer.
    pub fn on_upstream_load(
        &mut self,
        service: &ServiceName,
        upstream: &UpstreamName,
        load: UpstreamLoad,
        now: Millis,
    ) {
        self.upstreams.report(service, upstream, load, now);
    }

    /// Notes that an upstream of this failure domain is leaving, or that it no longer is.
    pub fn on_upstream_leaving(
        &mut self,
        service: &ServiceName,
        upstream: &UpstreamName,
        leaving: bool,
    ) {
        self.upstreams.set_leaving(service, upstream, leaving);
    }

    /// Notes that an upstream of this failure domain has just started and is cold.
    pub fn on_upstream_cold(
        &mut self,
        service: &ServiceName,
        upstream: &UpstreamName,
        now: Millis,
    ) {
        self.upstreams.started_cold(service, upstream, now);
    }

    /// Sets the warmed rates of a place of this failure domain: to nothing where its caches
    /// were lost, or to `rate` requests a second of this VM's part where another VM that served
    /// it before knows.
    pub fn on_warmed(&mut self, place: &PlaceName, rate: f64) {
        if let Some(state) = self.places.get_mut(place) {
            let n = state.warmth.len().max(1) as f64;
            for warmth in state.warmth.values_mut() {
                warmth.set_level(rate / n);
            }
        }
    }

    /// Brings everything up to `now`. Call it about ten times a second.
    pub fn tick(&mut self, now: Millis) {
        if self.allowances.forget(&self.tuning, now) {
            self.apply_allowances(now);
        }
        self.issuer.tick(now);
        self.holder.tick(now);
        self.answers.tick(now);
        self.upstreams.tick(&self.tuning, now);
        self.tick_meters(now);
        self.reports.judge(now);
        self.avoided.retain(|_, until| *until > now);
        if now.since(self.last_spread) >= SPREAD_INTERVAL {
            let span = now.since(self.last_spread);
            self.last_spread = now;
            self.spread(span, now);
        }
    }

    /// Gives this VM's load at the places of its failure domain.
    pub fn report(&mut self, now: Millis) -> VmReport {
        self.report_seq += 1;
        let places = self
            .places
            .keys()
            .map(|p| self.place_report(p, now))
            .collect();
        VmReport {
            vm: self.me.vm.clone(),
            domain: self.me.domain.clone(),
            incarnation: self.me.incarnation,
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
        let warmth = self.places.get(place).map(|s| &s.warmth);
        let warmed: f64 = warmth.map_or(0.0, |w| w.values().map(Warmth::level).sum());
        PlaceReport {
            place: place.clone(),
            age: Millis(0),
            rate: used,
            allowance: usable,
            lendable: usable.saturating_sub(lent).saturating_sub(local),
            health: self.health_here(place, now),
            warmed: warmed as u32,
            without: self.services_without(place, now),
        }
    }

    /// Gives the services that have backend servers at `place` of which none may get work now.
    fn services_without(&self, place: &PlaceName, now: Millis) -> Vec<ServiceName> {
        let here = |s: &ServicePlan| s.upstreams.iter().any(|u| u.place == *place);
        let services = self.plan.services.iter().filter(|(_, s)| here(s));
        let without = services.filter(|(name, _)| !self.upstreams.any_usable(name, place, now));
        without.map(|(name, _)| name.clone()).collect()
    }

    /// Gives the health of a place of this failure domain: what its requests saw, and nothing
    /// where no backend server may be used.
    pub(crate) fn health_here(&self, place: &PlaceName, now: Millis) -> u16 {
        let services = self.places.get(place).map(|s| s.warmth.keys());
        let mut services = services.into_iter().flatten();
        if services.any(|s| self.upstreams.any_usable(s, place, now)) {
            self.reports.own_health(place)
        } else {
            0
        }
    }

    /// Gives the parts of `service`'s traffic by place, from 0 to 1, as they are now.
    pub fn weights(&self, service: &ServiceName) -> &Spread {
        static NONE: Spread = Spread::EMPTY;
        self.services.get(service).map_or(&NONE, |s| &s.spread)
    }

    /// Gives how often any place's part of any service turned from growing to shrinking or
    /// back.
    pub fn direction_changes(&self) -> u64 {
        self.services
            .values()
            .map(|s| s.spread.direction_changes)
            .sum()
    }

    /// Gives the issuer's side, for figures and tests.
    pub fn issuer(&self) -> &Issuer {
        &self.issuer
    }

    /// Gives the holder's side, for figures and tests.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    pub(crate) fn is_ours(&self, place: &PlaceName) -> bool {
        is_ours(&self.plan, place, &self.me.domain)
    }

    /// Says whether an operator is moving traffic away from `place` or its region.
    pub(crate) fn draining(&self, place: &PlaceName) -> bool {
        let Some(plan) = self.plan.places.get(place) else {
            return false;
        };
        let domain = self.plan.domains.get(&plan.domain);
        let region = domain.and_then(|d| self.plan.regions.get(&d.region));
        plan.draining || region.is_some_and(|r| r.draining)
    }

    /// Says whether an operator is moving traffic away from this VM.
    pub(crate) fn leaving(&self) -> bool {
        let domain = self.plan.domains.get(&self.me.domain);
        domain.is_some_and(|d| d.draining_vms.contains(&self.me.vm))
    }

    pub(crate) fn region_of(&self, domain: &DomainName) -> Option<&RegionName> {
        self.plan.domains.get(domain).map(|d| &d.region)
    }

    pub(crate) fn delay_to(&self, domain: &DomainName) -> Millis {
        if *domain == self.me.domain {
            return Millis(0);
        }
        let near = self.region_of(domain) == Some(&self.region);
        let assumed = if near { NEAR_DELAY } else { FAR_DELAY };
        self.delays.get(domain).copied().unwrap_or(assumed)
    }

    /// Gives the growth that a service may make at a place of this failure domain in a second.
    pub(crate) fn growth_step(&self, service: &ServicePlan, place: &PlaceName) -> f64 {
        let usable = self.issuer.usable_in(&ScopeName::Place(place.clone()));
        f64::from(usable.per_second) * f64::from(service.growth_permille) / 1_000.0
    }

    fn set_places(&mut self, now: Millis) {
        let plan = Arc::clone(&self.plan);
        let domain = self.me.domain.clone();
        self.places.retain(|name, _| is_ours(&plan, name, &domain));
        let ours = plan.places.iter().filter(|(_, p)| p.domain == domain);
        for (name, _) in ours {
            let tuning = self.tuning;
            let state = self
                .places
                .entry(name.clone())
                .or_insert_with(|| PlaceState {
                    local_demand: Meter::default(),
                    fair: FairShare::new(tuning),
                    warmth: BTreeMap::new(),
                });
            state.fair.set_shares(&shares_at(&plan, name));
            let here = |service: &ServicePlan| service.upstreams.iter().any(|u| u.place == *name);
            state
                .warmth
                .retain(|s, _| plan.services.get(s).is_some_and(here));
            for (service, _) in plan.services.iter().filter(|(_, s)| here(s)) {
                let cold = || Warmth::new(&tuning, now);
                state.warmth.entry(service.clone()).or_insert_with(cold);
            }
        }
        self.held_fair
            .retain(|name, _| plan.places.contains_key(name));
        for (name, fair) in &mut self.held_fair {
            fair.set_shares(&shares_at(&plan, name));
        }
    }

    fn apply_allowances(&mut self, now: Millis) {
        let usable = self.allowances.usable(&self.me.domain, &self.tuning, now);
        let lendable = self.allowances.lendable(&self.me.domain, &self.tuning, now);
        self.issuer.set_allowances(&self.region, &usable, &lendable);
    }

    fn tick_meters(&mut self, now: Millis) {
        let memory = self.tuning.peak_memory;
        for state in self.services.values_mut() {
            state.demand.tick(now, memory);
        }
        for place in self.places.values_mut() {
            place.local_demand.tick(now, memory);
            place.fair.tick(now);
            for warmth in place.warmth.values_mut() {
                warmth.tick(&self.tuning, now);
            }
        }
        for fair in self.held_fair.values_mut() {
            fair.tick(now);
        }
    }
}

fn is_ours(plan: &Plan, place: &PlaceName, domain: &DomainName) -> bool {
    plan.places.get(place).is_some_and(|p| p.domain == *domain)
}

/// Gives the shares of each account with a service at `place`. A plan without accounts, as in
/// a trace written by hand, guarantees the largest share that any of an account's services
/// there has.
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
