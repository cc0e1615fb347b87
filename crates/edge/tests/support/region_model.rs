//! Regions of callers and backend servers, with a clock and a network of the test's own: the real
//! decisions of where requests are served, and what comes of them at the servers.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::rc::Rc;

use heatherknot_edge::locality::{Carried, RouteLocality};
use heatherknot_edge::placement::ObjectPlacement;
use heatherknot_edge::selection::{Locality, SelectionParams, first_ranked, select};
use heatherknot_edge::service_times::ServiceTimes;
use heatherknot_edge::spillover::{Room, Spillover};
use heatherknot_edge::switches::Switches;
use heatherknot_edge::upstream::{InFlightGuard, ServerLoad, Upstream};
use heatherknot_types::prelude::*;

use super::{TestClock, upstream};

/// How often a daemon moves its thresholds.
const TICK: u64 = 250;
/// One way within a region.
const NEAR: u64 = 1;
/// The slots of a server.
const SLOTS: usize = 3;
/// What is left of the work at a server that keeps the object.
const KEPT_PART: f64 = 0.27;
/// The time between two starts of windows that are compared.
const STRIDE: u64 = 100;
/// The span of a window.
const SPAN: u64 = 2_000;
/// The requests that a window must hold for its parts to be told from chance: with fewer, two
/// standard deviations of a part of one half are more than the bound of 0.15.
const ENOUGH: usize = 40;

/// A region's callers and servers.
#[derive(Clone, Copy, Debug)]
pub struct Region {
    pub name: &'static str,
    pub servers: usize,
    /// The requests a second of its callers.
    pub demand: f64,
}

/// What the model plays.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub regions: Vec<Region>,
    /// One way to another region, in milliseconds.
    pub way: u64,
    /// The objects that are asked for, all alike.
    pub objects: u64,
    /// The objects that a server keeps.
    pub kept: usize,
    /// The work of an object that a server does not keep, in milliseconds.
    pub work: f64,
    pub target: Millis,
    /// When the last caller has sent its last request, in milliseconds.
    pub end: u64,
    pub seed: u64,
}

/// A request that a server began to work on.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// The region of its caller.
    pub from: usize,
    /// The region of the server.
    pub at: usize,
    /// When its caller sent it.
    pub sent: u64,
    /// When the server began to work on it.
    pub began: u64,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Played {
    pub runs: Vec<Run>,
    pub asked: usize,
    pub in_time: usize,
    pub refused: usize,
    /// The sum of all answers' times, in milliseconds.
    pub took: u64,
}

impl Played {
    /// Gives the largest part of a region's requests that changes the region in which they run
    /// from one window of two seconds to the next, and when, for windows that hold enough.
    pub fn largest_shift(&self, from: usize, regions: usize, after: u64) -> (f64, u64) {
        let last = self.runs.iter().map(|run| run.began).max().unwrap_or(0);
        let ends = (after + SPAN..=last).step_by(STRIDE as usize);
        let parts = |begin| self.parts(from, regions, begin);
        let shift = |at: u64| {
            let (before, now) = (parts(at - SPAN)?, parts(at)?);
            let moved: f64 = before.iter().zip(&now).map(|(a, b)| (a - b).abs()).sum();
            Some((moved / 2.0, at))
        };
        let shifts = ends.filter_map(shift);
        shifts.fold(
            (0.0, 0),
            |most, next| if next.0 > most.0 { next } else { most },
        )
    }

    /// Gives the part of a region's requests that runs in each region, from `begin` for a window.
    fn parts(&self, from: usize, regions: usize, begin: u64) -> Option<Vec<f64>> {
        let window = begin..begin + SPAN;
        let runs = self.runs.iter();
        let runs: Vec<_> = runs
            .filter(|run| run.from == from && window.contains(&run.began))
            .collect();
        if runs.len() < ENOUGH {
            return None;
        }
        let of = |region| runs.iter().filter(|run| run.at == region).count();
        let part = |region| of(region) as f64 / runs.len() as f64;
        Some((0..regions).map(part).collect())
    }

    /// Gives the part of the requests of `from` that runs in other regions.
    pub fn part_away(&self, from: usize) -> f64 {
        let all = self.runs.iter().filter(|run| run.from == from);
        let (away, all) = all.fold((0_u32, 0_u32), |(away, all), run| {
            (away + u32::from(run.at != from), all + 1)
        });
        f64::from(away) / f64::from(all.max(1))
    }
}

/// A request on its way.
struct Flying {
    from: usize,
    object: u64,
    sent: u64,
    server: usize,
    flight: Option<InFlightGuard>,
    free: bool,
}

enum Event {
    Send(usize),
    Handed(Flying),
    Arrived(Flying),
    Done(Flying, u64),
    Answered(Flying, ServerLoad, u64),
    Tick,
}

/// A server as it is, not as it is believed to be.
#[derive(Default)]
struct Server {
    running: usize,
    queue: VecDeque<Flying>,
    kept: VecDeque<u64>,
}

/// Where a server is found.
#[derive(Clone, Copy)]
struct ServerPlace {
    server: usize,
    region: usize,
}

/// What the VMs of a region have learned.
struct Learned {
    name: RegionName,
    spill: Spillover,
    reach: RouteLocality,
    pace: ServiceTimes,
    spread: ObjectPlacement,
}

struct Model<'a> {
    scenario: &'a Scenario,
    test: TestClock,
    servers: Vec<Server>,
    upstreams: Vec<Rc<Upstream>>,
    places: HashMap<UpstreamName, ServerPlace>,
    regions: Vec<Learned>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    held: Vec<Option<Event>>,
    rng: fastrand::Rng,
    /// When the next caller of each region comes, in milliseconds.
    next_at: Vec<f64>,
    played: Played,
}

/// Plays a scenario to its end.
pub fn play(scenario: &Scenario) -> Played {
    let test = TestClock::default();
    let clock = test.clock();
    let of_region = |region: &Region| {
        let names = (0..region.servers).map(|n| format!("{}-{n}", region.name));
        let all = names.map(|id| upstream(&id, region.name, &clock));
        all.collect::<Vec<_>>()
    };
    let upstreams: Vec<_> = scenario.regions.iter().flat_map(of_region).collect();
    let region_of = |upstream: &Upstream| {
        let mut regions = scenario.regions.iter();
        regions.position(|region| region.name == upstream.region.as_str())
    };
    let places = upstreams.iter().enumerate().map(|(server, upstream)| {
        let region = region_of(upstream).expect("a region");
        (upstream.id.clone(), ServerPlace { server, region })
    });
    let places = places.collect();
    let learned = |region: &Region| Learned {
        name: region.name.into(),
        spill: Spillover::default(),
        reach: RouteLocality::default(),
        pace: ServiceTimes::default(),
        spread: ObjectPlacement::default(),
    };
    let mut model = Model {
        scenario,
        test,
        servers: upstreams.iter().map(|_| Server::default()).collect(),
        upstreams,
        places,
        regions: scenario.regions.iter().map(learned).collect(),
        events: BinaryHeap::new(),
        held: Vec::new(),
        next_at: vec![0.0; scenario.regions.len()],
        rng: fastrand::Rng::with_seed(scenario.seed),
        played: Played::default(),
    };
    model.tick();
    for from in 0..scenario.regions.len() {
        model.next_caller(from);
    }
    model.run();
    model.played
}

impl Model<'_> {
    fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.events.pop() {
            let now = self.now();
            self.test.advance(at - now);
            match self.held[number as usize].take() {
                Some(Event::Send(from)) => self.send(from),
                Some(Event::Handed(flying)) => self.choose(flying),
                Some(Event::Arrived(flying)) => self.arrive(flying),
                Some(Event::Done(flying, began)) => self.done(flying, began),
                Some(Event::Answered(flying, load, began)) => self.answered(flying, load, began),
                Some(Event::Tick) => self.tick(),
                None => {}
            }
        }
    }

    fn now(&self) -> u64 {
        self.test.clock().now().0
    }

    fn after(&mut self, millis: u64, event: Event) {
        let at = self.now() + millis;
        let number = self.held.len() as u64;
        self.held.push(Some(event));
        self.events.push(Reverse((at, number)));
    }

    fn way(&self, from: usize, to: usize) -> u64 {
        if from == to { NEAR } else { self.scenario.way }
    }

    fn region_of(&self, server: usize) -> usize {
        self.places[&self.upstreams[server].id].region
    }

    fn index_of(&self, upstream: &Upstream) -> usize {
        self.places[&upstream.id].server
    }

    fn next_caller(&mut self, from: usize) {
        let demand = self.scenario.regions[from].demand / 1_000.0;
        self.next_at[from] += -(1.0 - self.rng.f64()).ln() / demand;
        let at = self.next_at[from];
        if at < self.scenario.end as f64 {
            self.after(at as u64 - self.now(), Event::Send(from));
        }
    }

    fn tick(&mut self) {
        let now = Millis(self.now());
        let slots = |region: &Region| (region.servers * SLOTS) as f64;
        let all: f64 = self.scenario.regions.iter().map(slots).sum();
        for (region, learned) in self.scenario.regions.iter().zip(&self.regions) {
            let room = Room {
                own: slots(region),
                elsewhere: all - slots(region),
                regions: self.regions.len(),
                way: Some(Millis(2 * self.scenario.way)),
            };
            learned.spill.step(room, now);
            let carried = Carried {
                large: false,
                vms_here: 1,
            };
            learned.reach.step(carried, now);
        }
        if now.0 < self.scenario.end {
            self.after(TICK, Event::Tick);
        }
    }

    fn wish<'a>(
        &self,
        object: u64,
        region: &'a RegionName,
        domain: &'a DomainName,
        is_home: &'a dyn Fn(&Upstream) -> bool,
    ) -> SelectionParams<'a> {
        SelectionParams {
            object,
            sticky: true,
            region,
            domain,
            latency_target: self.scenario.target,
            time_left: Millis(self.scenario.target.0 * 4),
            now: Millis(self.now()),
            is_region_bound: false,
            switches: Switches::default(),
            assigned: None,
            is_home,
            placement: None,
        }
    }

    /// The VM of a caller decides where its request is served, and hands it to the home there.
    fn send(&mut self, from: usize) {
        let now = self.now();
        self.next_caller(from);
        self.played.asked += 1;
        let object = self.rng.u64(..self.scenario.objects);
        let learned = &self.regions[from];
        learned.reach.record_request(object, Millis(now));
        let place = learned
            .reach
            .locality_of(object, &learned.spill, Switches::default());
        let domain = DomainName::from(learned.name.as_str());
        let wish = self.wish(object, &learned.name, &domain, &|_| false);
        let server = first_ranked(&wish, &self.upstreams, place).expect("there are servers");
        let server = self.index_of(&server);
        let flying = Flying {
            from,
            object,
            sent: now,
            server,
            flight: None,
            free: false,
        };
        let way = self.way(from, self.region_of(server));
        self.after(way, Event::Handed(flying));
    }

    /// The home picks the server by load, or refuses.
    fn choose(&mut self, mut flying: Flying) {
        let at = self.region_of(flying.server);
        let learned = &self.regions[at];
        let domain = DomainName::from(learned.name.as_str());
        let name = learned.name.clone();
        let is_home = |u: &Upstream| u.region == name;
        let meant = &self.upstreams[flying.server];
        let wish = SelectionParams {
            assigned: Some(&meant.id),
            placement: Some(&learned.spread),
            ..self.wish(flying.object, &learned.name, &domain, &is_home)
        };
        let best = select(&wish, &self.upstreams, &learned.pace, Locality::Region);
        let best = best.expect("there are servers");
        if !best.has_free_slot && best.response_ms > self.scenario.target.0 as f64 {
            self.played.refused += 1;
            return;
        }
        flying.server = self.index_of(&best.upstream);
        flying.free = best.has_free_slot;
        flying.flight = Some(best.upstream.start_request());
        self.after(NEAR, Event::Arrived(flying));
    }

    fn arrive(&mut self, flying: Flying) {
        let server = &mut self.servers[flying.server];
        if server.running == SLOTS {
            server.queue.push_back(flying);
            return;
        }
        self.begin(flying);
    }

    fn begin(&mut self, flying: Flying) {
        let now = self.now();
        self.played.runs.push(Run {
            from: flying.from,
            at: self.region_of(flying.server),
            sent: flying.sent,
            began: now,
        });
        let server = &mut self.servers[flying.server];
        server.running += 1;
        let kept = server.kept.iter().position(|o| *o == flying.object);
        let part = match kept {
            Some(_) => KEPT_PART,
            None => 1.0,
        };
        kept.map(|place| server.kept.remove(place));
        server.kept.push_back(flying.object);
        if server.kept.len() > self.scenario.kept {
            server.kept.pop_front();
        }
        let took = self.scenario.work * part * (0.85 + 0.3 * self.rng.f64());
        self.after(took as u64, Event::Done(flying, now));
    }

    fn done(&mut self, flying: Flying, began: u64) {
        let server = &mut self.servers[flying.server];
        let load = ServerLoad {
            running: server.running as u32,
            waiting: server.queue.len() as u32,
            slots: SLOTS as u32,
        };
        server.running -= 1;
        let next = server.queue.pop_front();
        self.after(NEAR, Event::Answered(flying, load, began));
        if let Some(next) = next {
            self.begin(next);
        }
    }

    /// The home takes in the answer; the caller's VM does so as soon, which is by one way sooner
    /// than it could.
    fn answered(&mut self, mut flying: Flying, load: ServerLoad, began: u64) {
        let now = self.now();
        let at = self.region_of(flying.server);
        let home = &self.regions[at];
        let upstream = &self.upstreams[flying.server];
        let others = upstream.record_load(load, Millis(now));
        drop(flying.flight.take());
        home.pace.record_other_load(others, Millis(now));
        let kept = upstream.likely_caches(flying.object, Millis(now));
        if flying.free {
            home.pace.record(&home.name, kept, Millis(now - began));
        }
        upstream.record_success(flying.object, None, Millis(now));
        let spill = &self.regions[flying.from].spill;
        let took = now + self.way(flying.from, at) - flying.sent;
        spill.record(at == flying.from, load, Millis(took), Millis(now));
        self.played.took += took;
        self.played.in_time += usize::from(took <= self.scenario.target.0);
    }
}
