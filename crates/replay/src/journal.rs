//! What a replay writes down while it runs, second by second.

use std::collections::BTreeMap;

use heatherknot_types::plan::{Cap, Plan};
use heatherknot_types::prelude::*;

use crate::gauge::{Gauge, Second};
use crate::index::Index;

/// Requests of one stream that were asked in one second, and what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    /// Requests that callers asked; a repeat by the caller counts no second time.
    pub asked: u32,
    /// Requests answered within their deadline.
    pub answered: u32,
    /// Refusals that a caller got, its repeats included.
    pub refused: u32,
    /// Refusals while a place that could have run the request had room.
    pub refused_with_room: u32,
    /// Requests that a backend server shed.
    pub shed: u32,
    /// Requests whose outcome no caller learnt.
    pub unknown: u32,
    /// Runs of at-most-once requests beyond the first.
    pub double_runs: u32,
}

/// The callers of one source domain who ask for one service in one class.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamKey {
    /// The failure domain that the callers are nearest to.
    pub source: usize,
    /// The service.
    pub service: ServiceName,
    /// The class.
    pub class: Class,
    /// Whether each request may run only once.
    pub at_most_once: bool,
}

/// Messages between daemons in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Control {
    /// Messages sent.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Daemons that were up.
    pub daemons: u32,
    /// Capacity lent and not used, in thousandths of all caps.
    pub stranded_permille: f64,
}

/// What a replay writes down while it runs.
#[derive(Clone, Debug)]
pub struct Journal {
    /// The places by number.
    pub place_names: Index<PlaceName>,
    /// The failure domains by number.
    pub domain_names: Index<DomainName>,
    /// The regions by number.
    pub region_names: Index<RegionName>,
    /// The region of each failure domain.
    pub region_of_domain: Vec<usize>,
    /// The failure domain of each place.
    pub domain_of_place: Vec<usize>,
    /// The links between regions, by their ends.
    pub links: BTreeMap<(usize, usize), Gauge>,
    /// The true load of each place.
    pub places: Vec<Gauge>,
    /// The true load of each region.
    pub regions: Vec<Gauge>,
    /// The true load of each account in each place.
    pub accounts: BTreeMap<(AccountName, usize), Gauge>,
    /// What became of requests, by stream and second.
    pub streams: BTreeMap<StreamKey, Vec<Tally>>,
    /// Requests started, by source domain and place, by second.
    pub flows: BTreeMap<(usize, usize), Vec<u32>>,
    /// Messages between daemons, by second.
    pub control: Vec<Control>,
    /// Refusals by service and reason.
    pub reasons: BTreeMap<(ServiceName, &'static str), u32>,
    /// When requests were cut by a stop, and how many.
    pub cut_by_stop: Vec<(Millis, u32)>,
}

impl Journal {
    /// Makes an empty journal for a plan.
    pub fn new(plan: &Plan, duration: Millis) -> Self {
        let region_names = Index::new(plan.regions.keys().cloned());
        let domain_names = Index::new(plan.domains.keys().cloned());
        let place_names = Index::new(plan.places.keys().cloned());
        let region_of_domain = plan.domains.values().map(|d| region_names.of(&d.region));
        let domain_of_place = plan.places.values().map(|p| domain_names.of(&p.domain));
        let seconds = duration.0.div_ceil(1000) as usize;
        let mut journal = Self {
            region_of_domain: region_of_domain.collect(),
            domain_of_place: domain_of_place.collect(),
            links: BTreeMap::new(),
            places: plan.places.values().map(|p| Gauge::new(p.cap)).collect(),
            regions: plan.regions.values().map(|r| Gauge::new(r.cap)).collect(),
            accounts: BTreeMap::new(),
            streams: BTreeMap::new(),
            flows: BTreeMap::new(),
            control: vec![Control::default(); seconds],
            reasons: BTreeMap::new(),
            cut_by_stop: Vec::new(),
            place_names,
            domain_names,
            region_names,
        };
        journal.on_plan(Millis(0), plan);
        journal
    }

    /// Takes over the caps of a plan.
    pub fn on_plan(&mut self, now: Millis, plan: &Plan) {
        for (gauge, place) in self.places.iter_mut().zip(plan.places.values()) {
            gauge.set_cap(now, place.cap);
        }
        for (gauge, region) in self.regions.iter_mut().zip(plan.regions.values()) {
            gauge.set_cap(now, region.cap);
        }
        for link in &plan.links {
            let ends = (
                self.region_names.of(&link.from),
                self.region_names.of(&link.to),
            );
            let gauge = self
                .links
                .entry(ends)
                .or_insert_with(|| Gauge::new(link.cap));
            gauge.set_cap(now, link.cap);
        }
        for service in plan.services.values() {
            for (number, place) in plan.places.values().enumerate() {
                let cap = account_cap(place.cap, service.account_share_permille);
                let key = (service.account.clone(), number);
                let gauge = self.accounts.entry(key).or_insert_with(|| Gauge::new(cap));
                gauge.set_cap(now, cap);
            }
        }
    }

    /// Counts a request that starts at a place. `from` is the region that sends it.
    pub fn start(&mut self, now: Millis, load: &Load) {
        self.on_load(load, |gauge| gauge.start(now));
        let flow = self.flows.entry((load.source, load.place)).or_default();
        let second = now.0 as usize / 1000;
        if flow.len() <= second {
            flow.resize(second + 1, 0);
        }
        flow[second] += 1;
    }

    /// Counts a request that ends at a place.
    pub fn end(&mut self, now: Millis, load: &Load) {
        self.on_load(load, |gauge| gauge.end(now));
    }

    fn on_load(&mut self, load: &Load, change: impl Fn(&mut Gauge)) {
        let region = self.region_of_domain[self.domain_of_place[load.place]];
        change(&mut self.places[load.place]);
        change(&mut self.regions[region]);
        if let Some(link) = self.links.get_mut(&(load.from_region, region)) {
            change(link);
        }
        if let Some(gauge) = self.accounts.get_mut(&(load.account.clone(), load.place)) {
            change(gauge);
        }
    }

    /// Gives the tally of the second in which a request was asked.
    pub fn tally(&mut self, key: &StreamKey, born: Millis) -> &mut Tally {
        if !self.streams.contains_key(key) {
            let empty = vec![Tally::default(); self.control.len()];
            self.streams.insert(key.clone(), empty);
        }
        let seconds = self.streams.get_mut(key).expect("just made");
        let second = (born.0 as usize / 1000).min(seconds.len() - 1);
        &mut seconds[second]
    }

    /// Gives the control figures of the second that holds `now`.
    pub fn control_at(&mut self, now: Millis) -> &mut Control {
        let second = (now.0 as usize / 1000).min(self.control.len() - 1);
        &mut self.control[second]
    }

    /// Gives the least room of everything that a request at `place` counts against, in
    /// thousandths of its cap.
    pub fn room_permille(&mut self, now: Millis, load: &Load) -> u32 {
        let region = self.region_of_domain[self.domain_of_place[load.place]];
        let place = self.places[load.place].room_permille(now);
        let whole = self.regions[region].room_permille(now);
        let link = self.links.get_mut(&(load.from_region, region));
        let link = link.map_or(1000, |gauge| gauge.room_permille(now));
        let account = self.accounts.get_mut(&(load.account.clone(), load.place));
        let account = account.map_or(1000, |gauge| gauge.room_permille(now));
        place.min(whole).min(link).min(account)
    }

    /// Gives the seconds of every place, region and link.
    pub fn into_loads(self, end: Millis) -> (Self, Loads) {
        let mut journal = self;
        let close = |gauges: Vec<Gauge>| gauges.into_iter().map(|g| g.finish(end)).collect();
        let loads = Loads {
            places: close(std::mem::take(&mut journal.places)),
            regions: close(std::mem::take(&mut journal.regions)),
            links: std::mem::take(&mut journal.links)
                .into_iter()
                .map(|(ends, gauge)| (ends, gauge.finish(end)))
                .collect(),
        };
        (journal, loads)
    }
}

/// Where one request counts.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// The failure domain of the caller.
    pub source: usize,
    /// The region that the request came to the place's region from.
    pub from_region: usize,
    /// The place.
    pub place: usize,
    /// The client account.
    pub account: AccountName,
}

/// The true loads of a whole replay.
#[derive(Clone, Debug)]
pub struct Loads {
    /// Each place, second by second.
    pub places: Vec<Vec<Second>>,
    /// Each region, second by second.
    pub regions: Vec<Vec<Second>>,
    /// Each link, second by second.
    pub links: BTreeMap<(usize, usize), Vec<Second>>,
}

fn account_cap(cap: Cap, permille: u16) -> Cap {
    let part = |whole: u32| (u64::from(whole) * u64::from(permille) / 1000) as u32;
    Cap {
        per_second: part(cap.per_second),
        in_flight: part(cap.in_flight),
    }
}
