//! The baselines that a replay compares the product's decisions with.
//!
//! Each is what a simple balancer would do: split every cap in advance, follow the least load
//! in reports, or draw a place at random.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use heatherknot_steering::Peer;
use heatherknot_types::plan::{Cap, Plan};
use heatherknot_types::prelude::*;

/// How a baseline chooses a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Every VM has the same fixed part of every place's, region's and link's cap, and fills
    /// the nearest place first.
    StaticSplit,
    /// The place with the least load in the reports that have arrived.
    LeastLoaded,
    /// Any place that serves the service.
    Random,
}

/// The span in which starts are held against a static part.
const WINDOW: Millis = Millis(1000);

/// One VM that decides by a baseline.
#[derive(Clone, Debug)]
pub struct Baseline {
    rule: Rule,
    vm: VmName,
    domain: DomainName,
    plan: Arc<Plan>,
    parts: u32,
    loads: BTreeMap<PlaceName, u32>,
    used: BTreeMap<PlaceName, Used>,
    turn: usize,
    serving: BTreeMap<ServiceName, Vec<PlaceName>>,
    usable: BTreeMap<DomainName, Vec<VmName>>,
}

/// What one VM has sent to one place of late.
#[derive(Clone, Debug, Default)]
struct Used {
    starts: VecDeque<Millis>,
    in_flight: u32,
}

impl Baseline {
    /// Makes a VM; `parts` is the number of VMs among which caps are split.
    pub fn new(rule: Rule, vm: VmName, domain: DomainName, parts: u32) -> Self {
        Self {
            rule,
            vm,
            domain,
            plan: Arc::new(Plan::default()),
            parts: parts.max(1),
            loads: BTreeMap::new(),
            used: BTreeMap::new(),
            turn: 0,
            serving: BTreeMap::new(),
            usable: BTreeMap::new(),
        }
    }

    /// Gives the VM's name.
    pub fn vm(&self) -> &VmName {
        &self.vm
    }

    /// Takes over settings.
    pub fn on_plan(&mut self, plan: Arc<Plan>) {
        self.plan = plan;
        self.find_places();
    }

    /// Takes over the list of known VMs.
    pub fn on_peers(&mut self, peers: Arc<Vec<Peer>>) {
        self.usable.clear();
        for peer in peers.iter().filter(|peer| peer.usable) {
            self.usable
                .entry(peer.domain.clone())
                .or_default()
                .push(peer.vm.clone());
        }
        self.find_places();
    }

    /// Notes the reported load of a place, in thousandths of its cap.
    pub fn on_load(&mut self, place: &PlaceName, permille: u32) {
        self.loads.insert(place.clone(), permille);
    }

    /// Chooses a place for a request, or none, and the VM there that takes it.
    pub fn choose(
        &mut self,
        service: &ServiceName,
        now: Millis,
        rng: &mut fastrand::Rng,
    ) -> Option<(PlaceName, VmName)> {
        let places = self.serving.get(service)?;
        let place = match self.rule {
            Rule::Random => rng.choice(places).cloned(),
            Rule::LeastLoaded => self.least_loaded(places, rng),
            Rule::StaticSplit => {
                let places = places.clone();
                places.into_iter().find(|place| self.has_room(place, now))
            }
        }?;
        let vm = self.vm_at(&place)?;
        let used = self.used.entry(place.clone()).or_default();
        used.starts.push_back(now);
        used.in_flight += 1;
        Some((place, vm))
    }

    /// Notes that a request which was sent to a place has ended.
    pub fn finish(&mut self, place: &PlaceName) {
        if let Some(used) = self.used.get_mut(place) {
            used.in_flight = used.in_flight.saturating_sub(1);
        }
    }

    /// Gives the rate that the VM holds at a place and can't lend to others, and how much of
    /// it is used; nothing where the rule holds nothing.
    pub fn held(&mut self, place: &PlaceName, now: Millis) -> (u32, u32) {
        if self.rule != Rule::StaticSplit {
            return (0, 0);
        }
        let cap = self.plan.places[place].cap.per_second / self.parts;
        (cap, self.rate(place, now))
    }

    /// Lists the places of each service, the nearest first.
    fn find_places(&mut self) {
        let plan = Arc::clone(&self.plan);
        let Some(own) = plan.domains.get(&self.domain).map(|d| &d.region) else {
            return;
        };
        self.serving.clear();
        for (service, settings) in &plan.services {
            let upstreams = settings.upstreams.iter().filter(|u| !u.draining);
            let all: BTreeSet<&PlaceName> = upstreams.map(|u| &u.place).collect();
            let open = all.into_iter().filter(|place| self.open(&plan, place));
            let mut places: Vec<PlaceName> = open.cloned().collect();
            places.sort_by_key(|place| {
                let domain = &plan.places[place].domain;
                (*domain != self.domain, plan.domains[domain].region != *own)
            });
            self.serving.insert(service.clone(), places);
        }
    }

    fn open(&self, plan: &Plan, place: &PlaceName) -> bool {
        let settings = &plan.places[place];
        let region = &plan.regions[region_of(plan, place)];
        let reached = settings.domain == self.domain || self.usable.contains_key(&settings.domain);
        !settings.draining && !region.draining && reached
    }

    fn vm_at(&mut self, place: &PlaceName) -> Option<VmName> {
        let domain = &self.plan.places[place].domain;
        if *domain == self.domain {
            return Some(self.vm.clone());
        }
        let there = self.usable.get(domain)?;
        self.turn += 1;
        there.get(self.turn % there.len()).cloned()
    }

    fn least_loaded(&self, places: &[PlaceName], rng: &mut fastrand::Rng) -> Option<PlaceName> {
        let load = |place: &PlaceName| self.loads.get(place).copied().unwrap_or(0);
        let least = places.iter().map(load).min()?;
        let all: Vec<&PlaceName> = places.iter().filter(|p| load(p) == least).collect();
        rng.choice(all).cloned()
    }

    fn has_room(&mut self, place: &PlaceName, now: Millis) -> bool {
        let plan = Arc::clone(&self.plan);
        let region = region_of(&plan, place);
        let own = &plan.domains[&self.domain].region;
        if !self.fits(&[place], plan.places[place].cap, self.parts, now) {
            return false;
        }
        let of_region: Vec<&PlaceName> = plan
            .places
            .keys()
            .filter(|p| region_of(&plan, p) == region)
            .collect();
        if !self.fits(&of_region, plan.regions[region].cap, self.parts, now) {
            return false;
        }
        let link = plan
            .links
            .iter()
            .find(|l| l.from == *own && l.to == *region);
        link.is_none_or(|link| self.fits(&of_region, link.cap, self.parts, now))
    }

    fn fits(&mut self, places: &[&PlaceName], cap: Cap, parts: u32, now: Millis) -> bool {
        let rate: u32 = places.iter().map(|p| self.rate(p, now)).sum();
        let used = |p: &&PlaceName| self.used.get(*p).map_or(0, |u| u.in_flight);
        let in_flight: u32 = places.iter().map(used).sum();
        rate < cap.per_second / parts && in_flight < cap.in_flight / parts
    }

    fn rate(&mut self, place: &PlaceName, now: Millis) -> u32 {
        let Some(used) = self.used.get_mut(place) else {
            return 0;
        };
        while used.starts.front().is_some_and(|at| *at + WINDOW <= now) {
            used.starts.pop_front();
        }
        used.starts.len() as u32
    }
}

fn region_of<'a>(plan: &'a Plan, place: &PlaceName) -> &'a RegionName {
    &plan.domains[&plan.places[place].domain].region
}
