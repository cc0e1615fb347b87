//! Simulated regions of callers and backend servers with their own clock and network. Server
//! selection is the real code; servers and transit times are simulated.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::rc::Rc;

use heatherknot_edge::locality::{RouteLocality, TransferProfile};
use heatherknot_edge::placement::ObjectPlacement;
use heatherknot_edge::selection::{Locality, SelectionParams, first_ranked, select};
use heatherknot_edge::service_times::ServiceTimes;
use heatherknot_edge::spillover::{SlotCounts, Spillover};
use heatherknot_edge::switches::Switches;
use heatherknot_edge::upstream::{InFlightGuard, ServerLoad, Upstream};
use heatherknot_types::prelude::*;

use super::{TestClock, upstream};

/// Interval between threshold updates of a daemon.
const TICK_MS: u64 = 250;
/// One-way delay within a region.
const LOCAL_ONE_WAY_MS: u64 = 1;
/// Slots per server.
const SLOTS: usize = 3;
/// Fraction of the work that remains if the server has the object cached.
const WARM_WORK_FRACTION: f64 = 0.27;
/// Interval between the starts of compared windows.
const WINDOW_STEP_MS: u64 = 100;
/// Length of a window.
const WINDOW_MS: u64 = 2_000;
/// Minimum number of executions per window for a shift to be distinguishable from chance. With
/// fewer, two standard deviations of a fraction of one half exceed the bound of 0.15.
const MIN_EXECUTIONS: usize = 40;

/// Callers and servers of a region.
#[derive(Clone, Copy, Debug)]
pub struct Region {
    pub name: &'static str,
    pub servers: usize,
    /// Request rate of the region's callers.
    pub requests_per_second: f64,
}

/// Input of a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub regions: Vec<Region>,
    /// One-way delay to another region, in milliseconds.
    pub one_way_ms: u64,
    /// Number of objects, all equally popular.
    pub objects: u64,
    /// Number of objects that a server caches.
    pub cache_capacity: usize,
    /// Work for an uncached object, in milliseconds.
    pub cold_work_ms: f64,
    pub target: Millis,
    /// Time of the last request, in milliseconds.
    pub end_ms: u64,
    pub seed: u64,
}

/// A request that a server started to process.
#[derive(Clone, Copy, Debug)]
pub struct Execution {
    /// Index of the caller's region.
    pub from: usize,
    /// Index of the server's region.
    pub at: usize,
    /// Time at which the caller sent it, in milliseconds.
    pub sent_at: u64,
    /// Time at which the server started to process it, in milliseconds.
    pub started_at: u64,
}

/// Outcome of a simulation.
#[derive(Debug, Default)]
pub struct SimulationResult {
    pub executions: Vec<Execution>,
    pub requests: usize,
    pub within_target: usize,
    pub refused: usize,
    /// Sum of all response times, in milliseconds.
    pub total_latency_ms: u64,
}

impl SimulationResult {
    /// Returns the largest fraction of a region's requests that changes the region of execution
    /// from one two-second window to the next, and the time of that change. Windows with too few
    /// executions are skipped.
    pub fn largest_shift(&self, from: usize, regions: usize, after: u64) -> (f64, u64) {
        let last = self
            .executions
            .iter()
            .map(|execution| execution.started_at)
            .max()
            .unwrap_or(0);
        let ends = (after + WINDOW_MS..=last).step_by(WINDOW_STEP_MS as usize);
        let region_fractions = |start| self.region_fractions(from, regions, start);
        let shift = |at: u64| {
            let (before, now) = (region_fractions(at - WINDOW_MS)?, region_fractions(at)?);
            let moved: f64 = before.iter().zip(&now).map(|(a, b)| (a - b).abs()).sum();
            Some((moved / 2.0, at))
        };
        let shifts = ends.filter_map(shift);
        shifts.fold(
            (0.0, 0),
            |most, next| if next.0 > most.0 { next } else { most },
        )
    }

    /// Returns the fractions of a region's requests that are executed in each region, within the
    /// window beginning at `start`.
    fn region_fractions(&self, from: usize, regions: usize, start: u64) -> Option<Vec<f64>> {
        let window = start..start + WINDOW_MS;
        let executions = self.executions.iter();
        let executions: Vec<_> = executions
            .filter(|execution| execution.from == from && window.contains(&execution.started_at))
            .collect();
        if executions.len() < MIN_EXECUTIONS {
            return None;
        }
        let executed_in = |region| {
            executions
                .iter()
                .filter(|execution| execution.at == region)
                .count()
        };
        let fraction = |region| executed_in(region) as f64 / executions.len() as f64;
        Some((0..regions).map(fraction).collect())
    }

    /// Returns the fraction of the requests of `from` that is executed in other regions.
    pub fn remote_fraction(&self, from: usize) -> f64 {
        let all = self
            .executions
            .iter()
            .filter(|execution| execution.from == from);
        let (remote, all) = all.fold((0_u32, 0_u32), |(remote, all), execution| {
            (remote + u32::from(execution.at != from), all + 1)
        });
        f64::from(remote) / f64::from(all.max(1))
    }
}

/// A request in transit, queued or being processed.
struct InFlightRequest {
    from: usize,
    object: u64,
    sent_at: u64,
    server: usize,
    guard: Option<InFlightGuard>,
    had_free_slot: bool,
}

enum Event {
    Send(usize),
    HandedOver(InFlightRequest),
    Arrived(InFlightRequest),
    Finished(InFlightRequest, u64),
    Answered(InFlightRequest, ServerLoad, u64),
    Tick,
}

/// Actual state of a server, as opposed to what VMs assume.
#[derive(Default)]
struct Server {
    running: usize,
    queue: VecDeque<InFlightRequest>,
    cached: VecDeque<u64>,
}

/// Index of a server and of its region.
#[derive(Clone, Copy)]
struct ServerLocation {
    server: usize,
    region: usize,
}

/// State that the VMs of a region have learned.
struct RegionState {
    name: RegionName,
    spillover: Spillover,
    route_locality: RouteLocality,
    service_times: ServiceTimes,
    placement: ObjectPlacement,
}

struct Model<'a> {
    scenario: &'a Scenario,
    test: TestClock,
    servers: Vec<Server>,
    upstreams: Vec<Rc<Upstream>>,
    locations: HashMap<UpstreamName, ServerLocation>,
    regions: Vec<RegionState>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending: Vec<Option<Event>>,
    rng: fastrand::Rng,
    /// Time of the next request of each region, in milliseconds.
    next_request_at: Vec<f64>,
    result: SimulationResult,
}

/// Runs a scenario to its end.
pub fn simulate(scenario: &Scenario) -> SimulationResult {
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
    let locations = upstreams.iter().enumerate().map(|(server, upstream)| {
        let region = region_of(upstream).expect("a region");
        (upstream.id.clone(), ServerLocation { server, region })
    });
    let locations = locations.collect();
    let new_state = |region: &Region| RegionState {
        name: region.name.into(),
        spillover: Spillover::default(),
        route_locality: RouteLocality::default(),
        service_times: ServiceTimes::default(),
        placement: ObjectPlacement::default(),
    };
    let mut model = Model {
        scenario,
        test,
        servers: upstreams.iter().map(|_| Server::default()).collect(),
        upstreams,
        locations,
        regions: scenario.regions.iter().map(new_state).collect(),
        events: BinaryHeap::new(),
        pending: Vec::new(),
        next_request_at: vec![0.0; scenario.regions.len()],
        rng: fastrand::Rng::with_seed(scenario.seed),
        result: SimulationResult::default(),
    };
    model.tick();
    for from in 0..scenario.regions.len() {
        model.schedule_next_request(from);
    }
    model.run();
    model.result
}

impl Model<'_> {
    fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.events.pop() {
            let now = self.now();
            self.test.advance(at - now);
            match self.pending[number as usize].take() {
                Some(Event::Send(from)) => self.send(from),
                Some(Event::HandedOver(request)) => self.select_server(request),
                Some(Event::Arrived(request)) => self.arrive(request),
                Some(Event::Finished(request, started_at)) => self.finish(request, started_at),
                Some(Event::Answered(request, load, started_at)) => {
                    self.receive_answer(request, load, started_at)
                }
                Some(Event::Tick) => self.tick(),
                None => {}
            }
        }
    }

    fn now(&self) -> u64 {
        self.test.clock().now().0
    }

    fn schedule_after(&mut self, millis: u64, event: Event) {
        let at = self.now() + millis;
        let number = self.pending.len() as u64;
        self.pending.push(Some(event));
        self.events.push(Reverse((at, number)));
    }

    fn one_way_ms(&self, from: usize, to: usize) -> u64 {
        if from == to {
            LOCAL_ONE_WAY_MS
        } else {
            self.scenario.one_way_ms
        }
    }

    fn region_of(&self, server: usize) -> usize {
        self.locations[&self.upstreams[server].id].region
    }

    fn index_of(&self, upstream: &Upstream) -> usize {
        self.locations[&upstream.id].server
    }

    fn schedule_next_request(&mut self, from: usize) {
        let requests_per_ms = self.scenario.regions[from].requests_per_second / 1_000.0;
        self.next_request_at[from] += -(1.0 - self.rng.f64()).ln() / requests_per_ms;
        let at = self.next_request_at[from];
        if at < self.scenario.end_ms as f64 {
            self.schedule_after(at as u64 - self.now(), Event::Send(from));
        }
    }

    fn tick(&mut self) {
        let now = Millis(self.now());
        let slots = |region: &Region| (region.servers * SLOTS) as f64;
        let all: f64 = self.scenario.regions.iter().map(slots).sum();
        for (region, state) in self.scenario.regions.iter().zip(&self.regions) {
            let slot_counts = SlotCounts {
                local: slots(region),
                remote: all - slots(region),
                region_count: self.regions.len(),
                round_trip: Some(Millis(2 * self.scenario.one_way_ms)),
            };
            state.spillover.update(slot_counts, now);
            let profile = TransferProfile {
                expects_large: false,
                local_vms: 1,
            };
            state.route_locality.update(profile, now);
        }
        if now.0 < self.scenario.end_ms {
            self.schedule_after(TICK_MS, Event::Tick);
        }
    }

    fn params<'a>(
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
            is_region_restricted: false,
            switches: Switches::default(),
            assigned: None,
            is_home,
            placement: None,
            work: None,
        }
    }

    /// The caller's VM decides where the request is served and hands it over to the home VM there.
    fn send(&mut self, from: usize) {
        let now = self.now();
        self.schedule_next_request(from);
        self.result.requests += 1;
        let object = self.rng.u64(..self.scenario.objects);
        let state = &self.regions[from];
        state.route_locality.record_request(object, Millis(now));
        let locality =
            state
                .route_locality
                .locality_of(object, &state.spillover, Switches::default());
        let domain = DomainName::from(state.name.as_str());
        let params = self.params(object, &state.name, &domain, &|_| false);
        let server = first_ranked(&params, &self.upstreams, locality).expect("there are servers");
        let server = self.index_of(&server);
        let request = InFlightRequest {
            from,
            object,
            sent_at: now,
            server,
            guard: None,
            had_free_slot: false,
        };
        let one_way_ms = self.one_way_ms(from, self.region_of(server));
        self.schedule_after(one_way_ms, Event::HandedOver(request));
    }

    /// The home VM selects the server by load, or refuses the request.
    fn select_server(&mut self, mut request: InFlightRequest) {
        let at = self.region_of(request.server);
        let state = &self.regions[at];
        let domain = DomainName::from(state.name.as_str());
        let name = state.name.clone();
        let is_home = |u: &Upstream| u.region == name;
        let assigned = &self.upstreams[request.server];
        let params = SelectionParams {
            assigned: Some(&assigned.id),
            placement: Some(&state.placement),
            work: None,
            ..self.params(request.object, &state.name, &domain, &is_home)
        };
        let best = select(
            &params,
            &self.upstreams,
            &state.service_times,
            Locality::Region,
        );
        let best = best.expect("there are servers");
        if !best.has_free_slot && best.response_ms > self.scenario.target.0 as f64 {
            self.result.refused += 1;
            return;
        }
        request.server = self.index_of(&best.upstream);
        request.had_free_slot = best.has_free_slot;
        request.guard = Some(best.upstream.start_request());
        self.schedule_after(LOCAL_ONE_WAY_MS, Event::Arrived(request));
    }

    fn arrive(&mut self, request: InFlightRequest) {
        let server = &mut self.servers[request.server];
        if server.running == SLOTS {
            server.queue.push_back(request);
            return;
        }
        self.start(request);
    }

    fn start(&mut self, request: InFlightRequest) {
        let now = self.now();
        self.result.executions.push(Execution {
            from: request.from,
            at: self.region_of(request.server),
            sent_at: request.sent_at,
            started_at: now,
        });
        let server = &mut self.servers[request.server];
        server.running += 1;
        let cached = server.cached.iter().position(|o| *o == request.object);
        let fraction = match cached {
            Some(_) => WARM_WORK_FRACTION,
            None => 1.0,
        };
        cached.map(|index| server.cached.remove(index));
        server.cached.push_back(request.object);
        if server.cached.len() > self.scenario.cache_capacity {
            server.cached.pop_front();
        }
        let work_ms = self.scenario.cold_work_ms * fraction * (0.85 + 0.3 * self.rng.f64());
        self.schedule_after(work_ms as u64, Event::Finished(request, now));
    }

    fn finish(&mut self, request: InFlightRequest, started_at: u64) {
        let server = &mut self.servers[request.server];
        let load = ServerLoad {
            running: server.running as u32,
            waiting: server.queue.len() as u32,
            slots: SLOTS as u32,
        };
        server.running -= 1;
        let next = server.queue.pop_front();
        self.schedule_after(LOCAL_ONE_WAY_MS, Event::Answered(request, load, started_at));
        if let Some(next) = next {
            self.start(next);
        }
    }

    /// The home VM records the response. So does the caller's VM at the same time, which is one
    /// transit earlier than in reality.
    fn receive_answer(&mut self, mut request: InFlightRequest, load: ServerLoad, started_at: u64) {
        let now = self.now();
        let at = self.region_of(request.server);
        let home = &self.regions[at];
        let upstream = &self.upstreams[request.server];
        let others = upstream.record_load(load, Millis(now));
        drop(request.guard.take());
        home.service_times.record_other_load(others, Millis(now));
        let cached = upstream.likely_caches(request.object, Millis(now));
        if request.had_free_slot {
            home.service_times
                .record(&home.name, cached, Millis(now - started_at));
        }
        upstream.record_success(request.object, None, Millis(now));
        let spillover = &self.regions[request.from].spillover;
        let latency_ms = now + self.one_way_ms(request.from, at) - request.sent_at;
        spillover.record(at == request.from, load, Millis(latency_ms), Millis(now));
        self.result.total_latency_ms += latency_ms;
        self.result.within_target += usize::from(latency_ms <= self.scenario.target.0);
    }
}
