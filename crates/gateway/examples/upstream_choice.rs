//! Compares four strategies for sharing the slots of a few upstreams among the entry VMs of one
//! failure domain, with the same seeded arrivals.
//!
//! It is a discrete-event simulation without sockets or a real clock, so the same seed produces
//! the same table. `docs/upstream-choice.md` describes the strategies and the choice.
//!
//! ```text
//! cargo run --release -p heatherknot-gateway --example upstream_choice
//! ```

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Microseconds, as a duration or since the start of the simulation.
type Micros = u64;

const MS: Micros = 1_000;
const UPSTREAMS: usize = 3;
const SLOTS: usize = 3;
const REQUESTS: usize = 200_000;
/// One-way delay between two VMs of a failure domain.
const PEER_DELAY: Micros = 250;
/// Duration of one probe of an upstream's load.
const PROBE_TIME: Micros = 6 * MS;
/// Interval between reports of an upstream's load.
const REPORT_INTERVAL: Micros = 200 * MS;
const DEADLINE: Micros = 1_000 * MS;
const MAX_QUEUE_LEN: usize = 50;
/// Interval after which a request that found no free slot tries again.
const RETRY_INTERVAL: Micros = 10 * MS;
/// Mean service time of nine requests in ten, in microseconds.
const SHORT_MEAN: f64 = 30_000.0;
/// Mean service time of the tenth, in microseconds.
const LONG_MEAN: f64 = 150_000.0;
/// Thousandths of the requests that arrive at the first VM. The others arrive evenly at the rest.
const FIRST_VM_PERMILLE: u32 = 600;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Strategy {
    /// Each upstream has a home VM that lends its slots.
    Home,
    /// Each VM has a fixed share of the slots.
    Split,
    /// Each request probes two upstreams and goes to the less loaded one.
    TwoChoices,
    /// Reported load, corrected by the requests that the VM has started and finished since.
    Reported,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    /// A request is assigned to an upstream, on the first or a later attempt.
    Place {
        request: usize,
    },
    /// The replies to a request's probes arrive.
    Probed {
        request: usize,
    },
    Finish {
        request: usize,
        upstream: usize,
    },
    /// The home learns that a slot is free.
    Free {
        upstream: usize,
    },
    Report,
}

#[derive(Clone, Copy, Debug, Default)]
struct Request {
    vm: usize,
    arrived: Micros,
    work: Micros,
    sheds: usize,
}

#[derive(Clone, Debug, Default)]
struct Stats {
    waits: Vec<Micros>,
    refused: usize,
    refused_while_free: usize,
    shed: usize,
    messages: usize,
}

struct Simulation {
    strategy: Strategy,
    vms: usize,
    rng: fastrand::Rng,
    mean_gap: f64,
    now: Micros,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    sequence: u64,
    requests: Vec<Request>,
    /// Requests running at each upstream.
    running: [usize; UPSTREAMS],
    /// Slots of each upstream that its home counts as lent. It learns of an end with a delay.
    lent: [usize; UPSTREAMS],
    /// Requests of each VM running at each upstream.
    own_running: Vec<[usize; UPSTREAMS]>,
    /// Each VM's estimate of the load of each upstream.
    believed_load: Vec<[i64; UPSTREAMS]>,
    /// Waiting requests. With homes all VMs share the first queue; otherwise each VM has its own.
    queues: Vec<VecDeque<usize>>,
    stats: Stats,
}

impl Simulation {
    fn new(strategy: Strategy, vms: usize, load: f64, seed: u64) -> Self {
        let mean = 0.9 * SHORT_MEAN + 0.1 * LONG_MEAN;
        let capacity = (UPSTREAMS * SLOTS) as f64 / mean;
        Self {
            strategy,
            vms,
            rng: fastrand::Rng::with_seed(seed),
            mean_gap: 1.0 / (capacity * load),
            now: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            requests: Vec::new(),
            running: [0; UPSTREAMS],
            lent: [0; UPSTREAMS],
            own_running: vec![[0; UPSTREAMS]; vms],
            believed_load: vec![[0; UPSTREAMS]; vms],
            queues: vec![VecDeque::new(); vms],
            stats: Stats::default(),
        }
    }

    fn schedule(&mut self, delay: Micros, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + delay, self.sequence, event)));
    }

    fn exponential(&mut self, mean: f64) -> Micros {
        (-(1.0 - self.rng.f64()).ln() * mean) as Micros
    }

    fn run(mut self) -> Stats {
        self.schedule(0, Event::Arrive);
        self.schedule(REPORT_INTERVAL, Event::Report);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.now = now;
            match event {
                Event::Arrive => self.arrive(),
                Event::Place { request } => self.place(request),
                Event::Probed { request } => self.place_probed(request),
                Event::Finish { request, upstream } => self.finish(request, upstream),
                Event::Free { upstream } => {
                    self.lent[upstream] -= 1;
                    self.lend_to_waiting();
                }
                Event::Report => self.report(),
            }
        }
        self.stats
    }

    fn arrive(&mut self) {
        let first = self.rng.u32(0..1_000) < FIRST_VM_PERMILLE;
        let vm = match first || self.vms == 1 {
            true => 0,
            false => self.rng.usize(1..self.vms),
        };
        let mean = if self.rng.u8(0..10) == 0 {
            LONG_MEAN
        } else {
            SHORT_MEAN
        };
        let work = self.exponential(mean).max(MS);
        self.requests.push(Request {
            vm,
            arrived: self.now,
            work,
            sheds: 0,
        });
        let request = self.requests.len() - 1;
        self.place(request);
        if self.requests.len() < REQUESTS {
            let gap = self.exponential(self.mean_gap);
            self.schedule(gap, Event::Arrive);
        }
    }

    fn place(&mut self, request: usize) {
        if self.now - self.requests[request].arrived >= DEADLINE {
            return self.refuse();
        }
        match self.strategy {
            Strategy::Home => self.place_with_home(request),
            Strategy::Split => self.place_with_split(request),
            Strategy::TwoChoices => {
                self.stats.messages += 2;
                self.schedule(PROBE_TIME, Event::Probed { request });
            }
            Strategy::Reported => self.place_with_reports(request),
        }
    }

    /// Prefers the upstreams whose home is the request's VM. A slot of another home costs a
    /// round trip.
    fn place_with_home(&mut self, request: usize) {
        let vm = self.requests[request].vm;
        let free = |u: &usize| self.lent[*u] < SLOTS;
        let here = (0..UPSTREAMS).filter(|u| u % self.vms == vm).find(free);
        if let Some(upstream) = here {
            self.lent[upstream] += 1;
            return self.start(request, upstream, 0);
        }
        self.stats.messages += 2;
        let there = (0..UPSTREAMS).filter(|u| u % self.vms != vm).find(free);
        if let Some(upstream) = there {
            self.lent[upstream] += 1;
            return self.start(request, upstream, 2 * PEER_DELAY);
        }
        self.enqueue(request, 0);
    }

    fn place_with_split(&mut self, request: usize) {
        let vm = self.requests[request].vm;
        let free = (0..UPSTREAMS).find(|u| self.own_running[vm][*u] < self.share_of(vm, *u));
        match free {
            Some(upstream) => self.start(request, upstream, 0),
            None => self.enqueue(request, vm),
        }
    }

    /// Returns the share of one VM in the slots of an upstream. The remainder rotates among the
    /// VMs.
    fn share_of(&self, vm: usize, upstream: usize) -> usize {
        let remainder = SLOTS % self.vms;
        SLOTS / self.vms + usize::from((vm + upstream) % self.vms < remainder)
    }

    /// Chooses the less loaded of two random upstreams. Their load is at least half a probe old when
    /// the request arrives.
    fn place_probed(&mut self, request: usize) {
        let one = self.rng.usize(0..UPSTREAMS);
        let other = (one + self.rng.usize(1..UPSTREAMS)) % UPSTREAMS;
        let upstream = match self.running[one] <= self.running[other] {
            true => one,
            false => other,
        };
        if self.running[upstream] < SLOTS {
            return self.start(request, upstream, PROBE_TIME / 2);
        }
        self.schedule(RETRY_INTERVAL, Event::Place { request });
    }

    fn place_with_reports(&mut self, request: usize) {
        let vm = self.requests[request].vm;
        let load = |u: &usize| self.believed_load[vm][*u].max(self.own_running[vm][*u] as i64);
        let least = (0..UPSTREAMS).min_by_key(load).unwrap_or(0);
        match load(&least) < SLOTS as i64 {
            true => self.start(request, least, 0),
            false => self.enqueue(request, vm),
        }
    }

    fn enqueue(&mut self, request: usize, queue: usize) {
        if self.queues[queue].len() >= MAX_QUEUE_LEN {
            return self.refuse();
        }
        self.queues[queue].push_back(request);
    }

    fn refuse(&mut self) {
        self.stats.refused += 1;
        if self.running.iter().any(|running| *running < SLOTS) {
            self.stats.refused_while_free += 1;
        }
    }

    /// Sends a request. An upstream without a free slot sheds it, and it is assigned once more.
    fn start(&mut self, request: usize, upstream: usize, delay: Micros) {
        let Request {
            vm, arrived, work, ..
        } = self.requests[request];
        if self.running[upstream] >= SLOTS {
            self.stats.shed += 1;
            self.believed_load[vm][upstream] = SLOTS as i64;
            self.requests[request].sheds += 1;
            match self.requests[request].sheds {
                1 => self.schedule(MS, Event::Place { request }),
                _ => self.refuse(),
            }
            return;
        }
        self.running[upstream] += 1;
        self.own_running[vm][upstream] += 1;
        self.believed_load[vm][upstream] += 1;
        self.stats.waits.push(self.now + delay - arrived);
        self.schedule(delay + work, Event::Finish { request, upstream });
    }

    fn finish(&mut self, request: usize, upstream: usize) {
        let vm = self.requests[request].vm;
        self.running[upstream] -= 1;
        self.own_running[vm][upstream] -= 1;
        self.believed_load[vm][upstream] -= 1;
        match self.strategy {
            Strategy::Home => {
                let is_here = upstream % self.vms == vm;
                self.stats.messages += usize::from(!is_here);
                let delay = if is_here { 0 } else { PEER_DELAY };
                self.schedule(delay, Event::Free { upstream });
            }
            Strategy::Split | Strategy::Reported => self.place_waiting(vm),
            Strategy::TwoChoices => {}
        }
    }

    fn lend_to_waiting(&mut self) {
        while let Some(upstream) = (0..UPSTREAMS).find(|u| self.lent[*u] < SLOTS) {
            let Some(request) = self.queues[0].pop_front() else {
                return;
            };
            if self.now - self.requests[request].arrived >= DEADLINE {
                self.refuse();
                continue;
            }
            let is_here = upstream % self.vms == self.requests[request].vm;
            self.lent[upstream] += 1;
            self.start(request, upstream, if is_here { 0 } else { PEER_DELAY });
        }
    }

    fn place_waiting(&mut self, vm: usize) {
        if let Some(request) = self.queues[vm].pop_front() {
            self.place(request);
        }
    }

    fn report(&mut self) {
        for vm in 0..self.vms {
            self.stats.messages += UPSTREAMS;
            self.believed_load[vm] = self.running.map(|running| running as i64);
            if self.strategy == Strategy::Reported {
                for _ in 0..self.queues[vm].len() {
                    self.place_waiting(vm);
                }
            }
        }
        let is_over = self.requests.len() >= REQUESTS && self.running == [0; UPSTREAMS];
        if !is_over {
            self.schedule(REPORT_INTERVAL, Event::Report);
        }
    }
}

fn percentile(sorted: &[Micros], permille: usize) -> f64 {
    let at = (sorted.len() * permille / 1_000).min(sorted.len() - 1);
    sorted[at] as f64 / MS as f64
}

fn main() {
    const SEEDS: [u64; 3] = [1, 2, 3];
    println!(
        "way         VMs  load  p50 wait ms  p99 wait ms (of seeds)  refused  of them while free  shed   messages a request"
    );
    for vms in [2, 4] {
        for load in [0.6, 0.8, 0.95] {
            for strategy in [
                Strategy::Home,
                Strategy::Split,
                Strategy::TwoChoices,
                Strategy::Reported,
            ] {
                print_row(strategy, vms, load, &SEEDS);
            }
        }
    }
}

fn print_row(strategy: Strategy, vms: usize, load: f64, seeds: &[u64]) {
    let mut p50 = Vec::new();
    let mut p99 = Vec::new();
    let mut sum = Stats::default();
    for seed in seeds {
        let mut stats = Simulation::new(strategy, vms, load, *seed).run();
        stats.waits.sort_unstable();
        p50.push(percentile(&stats.waits, 500));
        p99.push(percentile(&stats.waits, 990));
        sum.refused += stats.refused;
        sum.refused_while_free += stats.refused_while_free;
        sum.shed += stats.shed;
        sum.messages += stats.messages;
    }
    p50.sort_by(f64::total_cmp);
    p99.sort_by(f64::total_cmp);
    let all = (REQUESTS * seeds.len()) as f64;
    let percent = |count: usize| 100.0 * count as f64 / all;
    println!(
        "{:<11} {vms:>3} {load:>5}  {:>11.1}  {:>6.1} ({:.1} to {:.1}) {:>12.3}%  {:>17.3}%  {:>5.2}%  {:>8.2}",
        format!("{strategy:?}"),
        p50[p50.len() / 2],
        p99[p99.len() / 2],
        p99[0],
        p99[p99.len() - 1],
        percent(sum.refused),
        percent(sum.refused_while_free),
        percent(sum.shed),
        sum.messages as f64 / all,
    );
}
