//! Compares ways to treat servers that reject requests and ask for a backoff, on a simulated service.
//!
//! `cargo run --release --locked -p heatherknot-edge --example backoff_ways -- [SEEDS]` prints, for
//! each way and scenario, the most requests that one VM sent to a server in a backoff (without the
//! half second after the rejection), the share of requests that were served while servers rejected,
//! and the share that was rejected in the two seconds after.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use heatherknot_edge::backpressure::RunSignals;
use heatherknot_types::prelude::*;

// All times are in milliseconds.

const DEFAULT_SEEDS: u64 = 100;
const VMS: usize = 8;
const SERVERS: usize = 6;
const SLOTS: u32 = 9;
const QUEUE: usize = 9;
const SERVICE_TIME: std::ops::Range<u64> = 60..180;
const LATENCY: std::ops::Range<u64> = 1..30;
/// Part of the slots of all servers that the requests need.
const UTILIZATION: f64 = 0.6;
const BACKOFF: Millis = Millis(3_000);
const IN_FLIGHT: u64 = 500;
/// When servers begin to reject.
const FROM: u64 = 5_000;
/// Time after it for which rejections are counted.
const AFTER: u64 = 2_000;
/// Sends that a request may need.
const MAX_SENDS: u32 = 3;

/// How a VM treats a server that asked for a backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// It sends on.
    Ignore,
    /// It sends nothing until the end, and all from then on.
    Backoff,
    /// After the end, the load returns with the server's responses.
    StepByStep,
}

/// Which servers reject, and for how long.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    name: &'static str,
    rejecting: usize,
    length: u64,
    /// Slots of those servers once they run requests again.
    slots_after: u32,
}

#[derive(Debug)]
struct Server {
    rejects_until: u64,
    slots: u32,
    running: u32,
    queue: VecDeque<Request>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    vm: usize,
    at: u64,
    sends: u32,
    tried: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize, Request),
    Completion(usize, Request),
    Response(usize, Request, bool),
}

#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    most_in_backoff: usize,
    served: u64,
    lost: u64,
    rejected_after: u64,
    sends_after: u64,
}

struct Simulation {
    way: Way,
    until: u64,
    rng: fastrand::Rng,
    servers: Vec<Server>,
    /// Each VM's signals, requests in flight and latest rejection, by server.
    views: Vec<Vec<(RunSignals, u32, Option<u64>)>>,
    in_backoff: Vec<Vec<usize>>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    totals: Totals,
}

impl Simulation {
    fn new(way: Way, scenario: Scenario, seed: u64) -> Self {
        let until = FROM + scenario.length;
        let server = |n| Server {
            rejects_until: if n < scenario.rejecting { until } else { 0 },
            slots: if n < scenario.rejecting {
                scenario.slots_after
            } else {
                SLOTS
            },
            running: 0,
            queue: VecDeque::new(),
        };
        let view = || {
            (0..SERVERS)
                .map(|_| (RunSignals::default(), 0, None))
                .collect()
        };
        Self {
            way,
            until,
            rng: fastrand::Rng::with_seed(seed),
            servers: (0..SERVERS).map(server).collect(),
            views: (0..VMS).map(|_| view()).collect(),
            in_backoff: vec![vec![0; SERVERS]; VMS],
            events: BinaryHeap::new(),
            totals: Totals::default(),
        }
    }

    fn run(mut self) -> Totals {
        let mean_service = (SERVICE_TIME.start + SERVICE_TIME.end) as f64 / 2.0;
        let rate = UTILIZATION * f64::from(SLOTS) * SERVERS as f64 / mean_service;
        let mut next = 0.0;
        while (next as u64) < self.until + AFTER {
            let now = next as u64;
            while let Some(Reverse((at, event))) = self.events.peek().copied() {
                if at > now {
                    break;
                }
                self.events.pop();
                self.process(at, event);
            }
            let vm = self.rng.usize(0..VMS);
            self.send(
                now,
                Request {
                    vm,
                    at: now,
                    sends: 0,
                    tried: 0,
                },
            );
            next += -self.rng.f64().max(1e-9).ln() / rate;
        }
        self.totals
    }

    fn is_available(&self, vm: usize, server: usize, now: u64) -> bool {
        let (signals, in_flight, _) = &self.views[vm][server];
        match self.way {
            Way::Ignore => true,
            Way::Backoff => !signals.is_in_backoff(Millis(now)),
            Way::StepByStep => !signals.holds_back(*in_flight, Millis(now)),
        }
    }

    fn send(&mut self, now: u64, req: Request) {
        let untried = (0..SERVERS).filter(|server| req.tried & (1 << server) == 0);
        let available = untried.filter(|server| self.is_available(req.vm, *server, now));
        let best = available.min_by_key(|server| self.views[req.vm][*server].1);
        let Some(server) = best.filter(|_| req.sends < MAX_SENDS) else {
            return self.end(now, req, false);
        };
        let (signals, in_flight, rejected_at) = &mut self.views[req.vm][server];
        *in_flight += 1;
        let latency = self.rng.u64(LATENCY);
        let settled = rejected_at.is_some_and(|at| now + latency >= at + IN_FLIGHT);
        if signals.is_in_backoff(Millis(now + latency)) && settled {
            self.in_backoff[req.vm][server] += 1;
            let most = &mut self.totals.most_in_backoff;
            *most = (*most).max(self.in_backoff[req.vm][server]);
        }
        let req = Request {
            sends: req.sends + 1,
            tried: req.tried | (1 << server),
            ..req
        };
        self.events
            .push(Reverse((now + latency, Event::Arrival(server, req))));
    }

    fn end(&mut self, now: u64, req: Request, is_served: bool) {
        if (FROM..self.until).contains(&req.at) && now < self.until {
            self.totals.served += u64::from(is_served);
            self.totals.lost += u64::from(!is_served);
        }
    }

    fn process(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrival(server, req) => self.arrive(now, server, req),
            Event::Completion(server, req) => {
                self.servers[server].running -= 1;
                self.respond(now, server, req, true);
                if let Some(next) = self.servers[server].queue.pop_front() {
                    self.start(now, server, next);
                }
            }
            Event::Response(server, req, is_served) => self.receive(now, server, req, is_served),
        }
    }

    fn arrive(&mut self, now: u64, server: usize, req: Request) {
        let is_after = (self.until..self.until + AFTER).contains(&now);
        self.totals.sends_after += u64::from(is_after);
        let state = &mut self.servers[server];
        let is_down = now >= FROM && now < state.rejects_until;
        if is_down || (state.running >= state.slots && state.queue.len() >= QUEUE) {
            self.totals.rejected_after += u64::from(is_after);
            self.respond(now, server, req, false);
        } else if state.running >= state.slots {
            state.queue.push_back(req);
        } else {
            self.start(now, server, req);
        }
    }

    fn start(&mut self, now: u64, server: usize, req: Request) {
        self.servers[server].running += 1;
        let took = self.rng.u64(SERVICE_TIME);
        self.events
            .push(Reverse((now + took, Event::Completion(server, req))));
    }

    fn respond(&mut self, now: u64, server: usize, req: Request, is_served: bool) {
        let at = now + self.rng.u64(LATENCY);
        self.events
            .push(Reverse((at, Event::Response(server, req, is_served))));
    }

    fn receive(&mut self, now: u64, server: usize, req: Request, is_served: bool) {
        let (signals, in_flight, rejected_at) = &mut self.views[req.vm][server];
        *in_flight -= 1;
        if is_served {
            signals.record_accepted(SLOTS, Millis(now));
            return self.end(now, req, true);
        }
        if !signals.is_in_backoff(Millis(now)) {
            self.in_backoff[req.vm][server] = 0;
            *rejected_at = Some(now);
        }
        signals.back_off(BACKOFF, Millis(now));
        self.send(now, req);
    }
}

fn main() {
    let seeds = std::env::args().nth(1);
    let seeds = seeds.map_or(DEFAULT_SEEDS, |text| {
        text.parse().expect("a number of seeds")
    });
    println!("{seeds} seeds: most in a backoff, served meanwhile, rejected after");
    let scenario = |name, rejecting, length, slots_after| Scenario {
        name,
        rejecting,
        length,
        slots_after,
    };
    let scenarios = [
        scenario("one of six, 9 s", 1, 9_000, SLOTS),
        scenario("two of six, 9 s", 2, 9_000, SLOTS),
        scenario(
            "two of six, 9 s, then a third of the slots",
            2,
            9_000,
            SLOTS / 3,
        ),
        scenario("five of six, 6 s", 5, 6_000, SLOTS),
        scenario(
            "all, 6 s, then a third of the slots",
            SERVERS,
            6_000,
            SLOTS / 3,
        ),
    ];
    for scenario in scenarios {
        for way in [Way::Ignore, Way::Backoff, Way::StepByStep] {
            let runs = (1..=seeds).map(|seed| Simulation::new(way, scenario, seed).run());
            let sum = runs.fold(Totals::default(), |sum, run| Totals {
                most_in_backoff: sum.most_in_backoff.max(run.most_in_backoff),
                served: sum.served + run.served,
                lost: sum.lost + run.lost,
                rejected_after: sum.rejected_after + run.rejected_after,
                sends_after: sum.sends_after + run.sends_after,
            });
            let served = sum.served as f64 / (sum.served + sum.lost) as f64;
            let rejected = sum.rejected_after as f64 / sum.sends_after.max(1) as f64;
            println!(
                "{:<44} {way:?}: {}, {served:.3}, {rejected:.3}",
                scenario.name, sum.most_in_backoff
            );
        }
    }
}
