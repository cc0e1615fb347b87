//! Measures the cost of each mode of at-most-once execution, over real sockets.
//!
//! One process runs a backend server, the gateways of two daemons and a fake of the platform's
//! store with a latency of 2 ms. Each of several rounds measures every mode in turn, so that
//! fluctuations of the machine affect all of them. `docs/at-most-once.md` describes the modes.
//!
//! ```text
//! cargo run --release -p heatherknot-gateway --example at_most_once
//! ```

#[path = "../tests/common/mod.rs"]
mod common;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use common::network::FakeNetwork;
use common::time::ManualTime;
use common::{SERVICE, TestRequest, Vm, backend, members, plan_with_addresses};
use heatherknot_gateway::once::{ClaimError, ClaimOutcome, ClaimPort};
use heatherknot_gateway::slots::Member;
use heatherknot_http::{Body, Pool, PoolConfig, SendOptions};
use heatherknot_store::claim::{ClaimConfig, ClaimKey, ClaimOwner, ClaimResult, Claims};
use heatherknot_store::http_store::{StoreConfig, connect};
use heatherknot_test_support::platform::{Platform, PlatformConfig, PlatformHandle};
use heatherknot_test_support::runtime::block_on;
use heatherknot_types::prelude::*;

const STORE_LATENCY: Duration = Duration::from_millis(2);
const ROUNDS: usize = 5;
const PER_ROUND: usize = 300;
const CALLERS: usize = 32;
const PER_CALLER: usize = 30;
const SLOTS: u16 = 64;

/// How a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendMode {
    /// Directly to the backend server.
    Direct,
    /// A read through the gateway.
    Get,
    /// A request that must not run twice, without a key.
    NoKey,
    /// With a ticket, to the VM that it names.
    Ticket,
    /// With a ticket, to another VM, which forwards it.
    TicketElsewhere,
    /// With the caller's own key, claimed in the store.
    OwnKey,
    /// The repeat of a request that was answered.
    Repeat,
}

const MODES: [SendMode; 7] = [
    SendMode::Direct,
    SendMode::Get,
    SendMode::NoKey,
    SendMode::Ticket,
    SendMode::TicketElsewhere,
    SendMode::OwnKey,
    SendMode::Repeat,
];

struct Bench {
    a: Rc<Vm>,
    b: Rc<Vm>,
    direct: Pool,
    platform: PlatformHandle,
    next_id: Cell<u64>,
    repeated_ticket: RefCell<String>,
}

impl Bench {
    async fn start() -> Self {
        let platform = Platform::start(PlatformConfig::default());
        platform.faults(|faults| faults.delay = STORE_LATENCY);
        let server = backend(usize::from(SLOTS));
        server.change(|behavior| behavior.body_len = 1024);
        let (time, network) = (ManualTime::system(), FakeNetwork::new());
        *network.claim_override.borrow_mut() = Some(claim_port(&platform, &time.clock()));
        let a = Vm::start("vm-a", 1, &time, &network);
        let b = Vm::start("vm-b", 2, &time, &network);
        let both = members(1, &[&a.member, &b.member]);
        let plan = std::sync::Arc::new(plan_with_addresses(&[server.address()], SLOTS));
        for vm in [&a, &b] {
            vm.configure(&plan, &both, &time);
        }
        let steerings = [Rc::clone(&a.steering), Rc::clone(&b.steering)];
        let clock = time.clock();
        monoio::spawn(async move {
            loop {
                for steering in &steerings {
                    steering.borrow_mut().tick(clock.now());
                }
                monoio::time::sleep(Duration::from_millis(100)).await;
            }
        });
        monoio::time::sleep(Duration::from_secs(5)).await;
        Self {
            repeated_ticket: RefCell::default(),
            a: Rc::new(a),
            b: Rc::new(b),
            direct: Pool::new(server.address(), PoolConfig::default(), Clock::system()),
            platform,
            next_id: Cell::new(0),
        }
    }

    /// Runs a request once, so that repeats find its stored response.
    async fn prepare_repeats(&self) {
        let ticket = self.a.gateway.new_ticket(&ServiceName::from(SERVICE));
        let first = self
            .a
            .send(TestRequest::post("repeated").key(&ticket))
            .await;
        assert_eq!(first.outcome, "answered");
        *self.repeated_ticket.borrow_mut() = ticket;
    }

    /// Sends one request and returns whether it was answered.
    async fn send(&self, mode: SendMode) -> bool {
        let n = self.next_id.get();
        self.next_id.set(n + 1);
        let id = format!("r{n}");
        let ticket = || self.a.gateway.new_ticket(&ServiceName::from(SERVICE));
        let (vm, request) = match mode {
            SendMode::Direct => return self.send_direct(&id).await,
            SendMode::Get => (&self.a, TestRequest::get(&id)),
            SendMode::NoKey => (&self.a, TestRequest::post(&id)),
            SendMode::Ticket => (&self.a, TestRequest::post(&id).key(&ticket())),
            SendMode::TicketElsewhere => (&self.b, TestRequest::post(&id).key(&ticket())),
            SendMode::OwnKey => (&self.a, TestRequest::post(&id).key(&id)),
            SendMode::Repeat => (
                &self.a,
                TestRequest::post(&id).key(&self.repeated_ticket.borrow()),
            ),
        };
        vm.send(request).await.outcome == "answered"
    }

    async fn send_direct(&self, id: &str) -> bool {
        let request = TestRequest::post(id);
        let options = SendOptions::default();
        let sent = self
            .direct
            .send(request.head, Body::full(request.body), options);
        let response = sent.await.expect("an answer");
        response.body.collect(1 << 20).await.is_ok()
    }
}

/// Returns a port that makes claims in the fake store as the daemon does.
fn claim_port(platform: &PlatformHandle, clock: &Clock) -> ClaimPort {
    let store = connect(StoreConfig::new(platform.address()));
    let rng = fastrand::Rng::with_seed(7);
    let claims = Claims::new(store, clock.clone(), ClaimConfig::default(), rng);
    let address: SocketAddr = platform.address();
    ClaimPort {
        claim: Rc::new(move |req| {
            let claims = claims.clone();
            Box::pin(async move {
                let key = ClaimKey::new(&req.account, &req.service, &req.key);
                let owner = ClaimOwner {
                    vm: req.owner.vm,
                    incarnation: req.owner.incarnation,
                    address,
                };
                match claims.claim(key, owner).await {
                    Ok(ClaimResult::Won { start_by }) => Ok(ClaimOutcome::New { start_by }),
                    Ok(ClaimResult::Held(owner)) => Ok(ClaimOutcome::Held(Member {
                        vm: owner.vm,
                        incarnation: owner.incarnation,
                    })),
                    Err(error) => Err(ClaimError {
                        step: "claim",
                        cause: error.to_string(),
                    }),
                }
            })
        }),
    }
}

/// The measurements of one mode.
#[derive(Default)]
struct Row {
    p50: Vec<f64>,
    p99: Vec<f64>,
    per_second: f64,
    unanswered: usize,
    store_calls: f64,
}

async fn run_sequential(bench: &Bench, mode: SendMode, row: &mut Row) {
    bench.prepare_repeats().await;
    let mut latencies = Vec::with_capacity(PER_ROUND);
    for _ in 0..PER_ROUND {
        let started = Instant::now();
        row.unanswered += usize::from(!bench.send(mode).await);
        latencies.push(started.elapsed().as_secs_f64() * 1_000.0);
    }
    latencies.sort_by(f64::total_cmp);
    row.p50.push(latencies[PER_ROUND / 2]);
    row.p99.push(latencies[PER_ROUND * 99 / 100]);
}

async fn run_concurrent(bench: &Rc<Bench>, mode: SendMode, row: &mut Row) {
    bench.prepare_repeats().await;
    let calls = bench.platform.calls().total();
    let started = Instant::now();
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let bench = Rc::clone(bench);
        callers.push(monoio::spawn(async move {
            let mut unanswered = 0;
            for _ in 0..PER_CALLER {
                unanswered += usize::from(!bench.send(mode).await);
            }
            unanswered
        }));
    }
    for caller in callers {
        row.unanswered += caller.await;
    }
    let sent = (CALLERS * PER_CALLER) as f64;
    row.per_second = sent / started.elapsed().as_secs_f64();
    row.store_calls = (bench.platform.calls().total() - calls) as f64 / sent;
}

fn median_and_range(values: &mut [f64]) -> (f64, f64, f64) {
    values.sort_by(f64::total_cmp);
    let last = values.len() - 1;
    (values[last / 2], values[0], values[last])
}

fn main() {
    block_on(async {
        let bench = Rc::new(Bench::start().await);
        let mut rows: Vec<Row> = MODES.iter().map(|_| Row::default()).collect();
        for _ in 0..ROUNDS {
            for (mode, row) in MODES.iter().zip(&mut rows) {
                run_sequential(&bench, *mode, row).await;
            }
        }
        for (mode, row) in MODES.iter().zip(&mut rows) {
            run_concurrent(&bench, *mode, row).await;
        }
        println!(
            "way              p50 ms (of rounds)     p99 ms (of rounds)      of direct  \
             {CALLERS} at once: per second  store calls a request  not answered"
        );
        let direct = median_and_range(&mut rows[0].p50).0;
        for (mode, row) in MODES.iter().zip(&mut rows) {
            let (p50, low50, high50) = median_and_range(&mut row.p50);
            let (p99, low99, high99) = median_and_range(&mut row.p99);
            println!(
                "{:<16} {p50:>5.3} ({low50:.3} to {high50:.3})  {p99:>6.3} ({low99:.3} to \
                 {high99:.3})  {:>9.2}  {:>21.0}  {:>21.2}  {:>12}",
                format!("{mode:?}"),
                p50 / direct,
                row.per_second,
                row.store_calls,
                row.unanswered,
            );
        }
    });
}
