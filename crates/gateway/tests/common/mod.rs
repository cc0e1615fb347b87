//! Test fixtures: VMs with real sockets to callers and backend servers, and fakes for the calls
//! between VMs, the store of claims and the clock.
#![allow(dead_code)]

pub mod network;
pub mod time;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use heatherknot_gateway::slots::{Member, Members};
use heatherknot_gateway::{Gateway, GatewayContext, GatewaySettings, KEPT_HEADERS};
use heatherknot_http::{
    Body, Flag, Handler, Limits, Pool, PoolConfig, RequestHead, Response, SendError, SendOptions,
    serve,
};
use heatherknot_steering::{Identity, Steering, Tuning};
use heatherknot_test_support::backend::{Behavior, FakeBackend, REQUEST_ID_HEADER};
use heatherknot_types::outcome::{
    CLASS_HEADER, DEADLINE_HEADER, IDEMPOTENCY_HEADER, OUTCOME_HEADER, SERVICE_HEADER,
};
use heatherknot_types::plan::UpstreamPlan;
use heatherknot_types::plan::{Cap, DomainPlan, PlacePlan, Plan, RegionPlan, ServicePlan};
use heatherknot_types::prelude::*;
use http::{HeaderName, HeaderValue, Method, StatusCode};
use monoio::net::TcpListener;
use prometheus::Registry;

use network::FakeNetwork;
use time::ManualTime;

pub const SERVICE: &str = "acme:shop";
pub const PLACE: &str = "shop-a";
pub const DOMAIN: &str = "north-1";
pub const SECRET: &[u8] = b"a secret of the deployment";

/// An entry VM that serves callers on a real socket.
pub struct Vm {
    pub gateway: Rc<Gateway>,
    pub steering: Rc<RefCell<Steering>>,
    pub registry: Registry,
    pub member: Member,
    pub address: SocketAddr,
    pub stop: Flag,
    pool: Pool,
}

/// A received response, with the headers that the tests check.
#[derive(Debug)]
pub struct TestResponse {
    pub status: StatusCode,
    pub outcome: String,
    pub reason: String,
    pub retry_after: Option<String>,
    pub body: Vec<u8>,
}

/// A request to send to a VM.
#[derive(Clone, Debug)]
pub struct TestRequest {
    pub head: RequestHead,
    pub body: Vec<u8>,
}

impl TestRequest {
    pub fn get(id: &str) -> Self {
        Self::new(Method::GET, "/items", id)
    }

    pub fn post(id: &str) -> Self {
        let mut req = Self::new(Method::POST, "/orders", id);
        req.body = b"an order".to_vec();
        req
    }

    pub fn new(method: Method, path: &str, id: &str) -> Self {
        let head = RequestHead::new(method, path.parse().expect("a path"));
        let req = Self {
            head,
            body: Vec::new(),
        };
        req.header(SERVICE_HEADER, SERVICE)
            .header(REQUEST_ID_HEADER.as_str(), id)
    }

    pub fn header(mut self, name: &str, value: &str) -> Self {
        let name = HeaderName::try_from(name).expect("a header name");
        let value = HeaderValue::try_from(value).expect("a header value");
        self.head.headers.insert(name, value);
        self
    }

    pub fn key(self, key: &str) -> Self {
        self.header(IDEMPOTENCY_HEADER, key)
    }

    pub fn deadline(self, millis: u64) -> Self {
        self.header(DEADLINE_HEADER, &millis.to_string())
    }

    pub fn bulk(self) -> Self {
        self.header(CLASS_HEADER, Class::Bulk.as_str())
    }
}

impl Vm {
    /// Returns the metrics page.
    pub fn metrics_text(&self) -> String {
        prometheus::TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .expect("metrics have a text form")
    }

    /// Starts a VM without settings and members.
    pub fn start(
        name: &str,
        incarnation: u64,
        time: &ManualTime,
        network: &Rc<FakeNetwork>,
    ) -> Self {
        Self::start_with(name, incarnation, time, network, GatewaySettings::default())
    }

    pub fn start_with(
        name: &str,
        incarnation: u64,
        time: &ManualTime,
        network: &Rc<FakeNetwork>,
        settings: GatewaySettings,
    ) -> Self {
        Self::start_in_domain(DOMAIN, name, incarnation, time, network, settings)
    }

    pub fn start_in_domain(
        domain: &str,
        name: &str,
        incarnation: u64,
        time: &ManualTime,
        network: &Rc<FakeNetwork>,
        settings: GatewaySettings,
    ) -> Self {
        let member = member(name, incarnation);
        let domain = DomainName::from(domain);
        let identity = Identity {
            vm: member.vm.clone(),
            domain: domain.clone(),
            incarnation: member.incarnation,
        };
        let now = time.clock().now();
        let steering = Steering::new(identity, Tuning::default(), now);
        let steering = Rc::new(RefCell::new(steering));
        let registry = Registry::new();
        let gateway = Gateway::new(GatewayContext {
            own: member.clone(),
            domain,
            steering: Rc::clone(&steering),
            clock: time.clock(),
            timer: time.timer(),
            rng: Rc::new(RefCell::new(fastrand::Rng::with_seed(incarnation))),
            secret: Rc::from(SECRET),
            slot_port: network.slot_port(&member),
            claims: network.claim_port(),
            hand_over: network.hand_over(&member),
            registry: registry.clone(),
            settings,
        })
        .expect("a new registry");
        let listener = TcpListener::bind("127.0.0.1:0").expect("an ephemeral port");
        let address = listener.local_addr().expect("a bound address");
        let stop = Flag::new();
        let limits = Limits {
            kept_headers: KEPT_HEADERS,
            ..Limits::default()
        };
        let handler = gateway_handler(&gateway);
        monoio::spawn(serve(listener, handler, limits, stop.clone()));
        network.add(&member, &gateway, address);
        Self {
            gateway,
            steering,
            registry,
            member,
            address,
            stop,
            pool: Pool::new(address, PoolConfig::default(), Clock::system()),
        }
    }

    /// Gives the VM its settings, its members and an equal part of the failure domain's capacity.
    pub fn configure(&self, plan: &Arc<Plan>, members: &Members, time: &ManualTime) {
        let vm_count = members.list.len().max(1) as u16;
        self.gateway.on_plan(Arc::clone(plan));
        let mut steering = self.steering.borrow_mut();
        steering.on_capacity_part(1000 / vm_count, time.clock().now());
        drop(steering);
        self.gateway.on_members(members.clone());
    }

    pub async fn try_send(&self, req: TestRequest) -> Result<TestResponse, SendError> {
        let options = SendOptions::default();
        let sent = self.pool.send(req.head, Body::full(req.body), options);
        Ok(read_response(sent.await?).await)
    }

    /// Sends a request and reads the complete response.
    pub async fn send(&self, req: TestRequest) -> TestResponse {
        self.try_send(req).await.expect("an answer")
    }

    /// Sends a request in a separate task.
    pub fn spawn_send(self: &Rc<Self>, req: TestRequest) -> monoio::task::JoinHandle<TestResponse> {
        let vm = Rc::clone(self);
        monoio::spawn(async move { vm.send(req).await })
    }
}

pub async fn read_response(response: Response) -> TestResponse {
    let header = |name: &str| {
        let value = response.headers.get(name);
        value.map(|v| v.to_str().expect("text").to_owned())
    };
    let (outcome, reason) = (header(OUTCOME_HEADER), header("heatherknot-reason"));
    let retry_after = header("retry-after");
    TestResponse {
        status: response.status,
        outcome: outcome.unwrap_or_default(),
        reason: reason.unwrap_or_default(),
        retry_after,
        body: match response.body.collect(64 << 20).await {
            Ok(body) => body.to_vec(),
            Err(error) => panic!("failed to read the body: {error}"),
        },
    }
}

fn gateway_handler(gateway: &Rc<Gateway>) -> Handler {
    let gateway = Rc::clone(gateway);
    Rc::new(move |req| Box::pin(Rc::clone(&gateway).handle(req)))
}

pub fn member(name: &str, incarnation: u64) -> Member {
    Member {
        vm: VmName::from(name),
        incarnation: Incarnation(incarnation),
    }
}

pub fn members(version: u64, list: &[&Member]) -> Members {
    Members {
        version,
        list: list.iter().map(|m| (*m).clone()).collect(),
    }
}

/// Starts a backend server that sets the not-run header on requests that it refuses.
pub fn backend(slots: usize) -> FakeBackend {
    let not_run = HeaderName::from_static("x-not-run");
    FakeBackend::start(Behavior {
        slots,
        shed_response: (
            StatusCode::SERVICE_UNAVAILABLE,
            vec![(not_run, HeaderValue::from_static("1"))],
        ),
        body_len: 64,
        ..Behavior::default()
    })
}

/// Returns settings with one service on these backend servers, with `slots` slots each.
pub fn plan(backends: &[&FakeBackend], slots: u16) -> Plan {
    let addresses: Vec<SocketAddr> = backends.iter().map(|b| b.address()).collect();
    plan_with_addresses(&addresses, slots)
}

pub fn plan_with_addresses(addresses: &[SocketAddr], slots: u16) -> Plan {
    let cap = Cap {
        per_second: 1_000_000,
        in_flight: 100_000,
    };
    let region = RegionName::from("north");
    let place = PlaceName::from(PLACE);
    let domain = DomainName::from(DOMAIN);
    Plan {
        revision: Revision(1),
        regions: BTreeMap::from([(
            region.clone(),
            RegionPlan {
                cap,
                draining: false,
            },
        )]),
        domains: BTreeMap::from([(
            domain.clone(),
            DomainPlan {
                region,
                draining_vms: Vec::new(),
            },
        )]),
        links: Vec::new(),
        accounts: BTreeMap::new(),
        places: BTreeMap::from([(
            place.clone(),
            PlacePlan {
                domain,
                cap,
                draining: false,
            },
        )]),
        services: BTreeMap::from([(ServiceName::from(SERVICE), service(addresses, slots))]),
    }
}

fn service(addresses: &[SocketAddr], slots: u16) -> ServicePlan {
    let upstream = |(i, address): (usize, &SocketAddr)| UpstreamPlan {
        name: UpstreamName::from(format!("u{i}")),
        place: PlaceName::from(PLACE),
        address: *address,
        slots,
        connections: 330,
        draining: false,
    };
    ServicePlan {
        account: AccountName::from("acme"),
        account_share_permille: 1000,
        class: Class::Interactive,
        deadline: Millis(10_000),
        max_body: 1 << 30,
        queue_len: 100,
        retry_permille: 1000,
        lookup_ttl: Millis(10_000),
        latency_weight_permille: 500,
        growth_permille: 1000,
        at_most_once: vec!["POST /".to_owned()],
        upstreams: addresses.iter().enumerate().map(upstream).collect(),
    }
}

/// Starts one VM that is ready to serve requests under `plan`.
pub async fn one_vm(plan: Plan) -> (Rc<Vm>, ManualTime, Rc<FakeNetwork>) {
    one_vm_with(plan, GatewaySettings::default()).await
}

pub async fn one_vm_with(
    plan: Plan,
    settings: GatewaySettings,
) -> (Rc<Vm>, ManualTime, Rc<FakeNetwork>) {
    let time = ManualTime::new();
    let network = FakeNetwork::new();
    let vm = Vm::start_with("vm-a", 1, &time, &network, settings);
    let members = members(1, &[&vm.member]);
    vm.configure(&Arc::new(plan), &members, &time);
    warm_up(&[&vm], &time).await;
    (Rc::new(vm), time, network)
}

/// Starts two VMs of one failure domain that are ready to serve requests under `plan`.
pub async fn two_vms(plan: Plan) -> (Rc<Vm>, Rc<Vm>, ManualTime, Rc<FakeNetwork>) {
    let time = ManualTime::new();
    let network = FakeNetwork::new();
    let a = Vm::start("vm-a", 1, &time, &network);
    let b = Vm::start("vm-b", 2, &time, &network);
    let plan = Arc::new(plan);
    let members = members(1, &[&a.member, &b.member]);
    a.configure(&plan, &members, &time);
    b.configure(&plan, &members, &time);
    warm_up(&[&a, &b], &time).await;
    (Rc::new(a), Rc::new(b), time, network)
}

/// Advances the clock past the first window, in which nothing is admitted, until homes are
/// ready.
pub async fn warm_up(vms: &[&Vm], time: &ManualTime) {
    const STEPS: u64 = 30;
    for _ in 0..STEPS {
        time.advance(Millis(100));
        for vm in vms {
            vm.steering.borrow_mut().tick(time.clock().now());
        }
        run_tasks().await;
    }
}

/// Yields to the other tasks.
pub async fn run_tasks() {
    monoio::time::sleep(std::time::Duration::from_millis(1)).await;
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics with `what` if the condition does not hold after 10,000 checks.
pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    const MAX_CHECKS: usize = 10_000;
    for _ in 0..MAX_CHECKS {
        if holds() {
            return;
        }
        run_tasks().await;
    }
    panic!("condition did not hold in time: {what}");
}
