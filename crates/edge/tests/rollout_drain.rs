//! The end of a rollout of a good version: when the last requests go to the previous version, and
//! when the head writes that it is completed. Both are the real decisions; the test controls the
//! clock, when each VM receives the order, and how long each request takes.

mod support;

use std::cell::RefCell;
use std::rc::Rc;

use heatherknot_edge::feed_topology::FeedTopology;
use heatherknot_edge::mirror::Change;
use heatherknot_edge::presence::VmEntry;
use heatherknot_edge::rollout::controller::{Controller, FleetView, Proposal};
use heatherknot_edge::rollout::evidence::RequestKind;
use heatherknot_edge::rollout::record::{RolloutRecord, Stage};
use heatherknot_edge::rollout::reports::{
    Reporter, apply_answer, apply_report, collect_own, own_report,
};
use heatherknot_edge::rollout::state::{ObservedSend, Rollouts, SendResult, VersionChoice};
use heatherknot_edge::routing_state::RoutingState;
use heatherknot_edge::upstream::{InFlightGuard, Upstream};
use heatherknot_types::prelude::*;
use support::{TestClock, entry_of_version, put, routing_state};

// All times are in milliseconds.

/// Interval at which the simulated clock advances.
const STEP: u64 = 10;
const REPORT_INTERVAL: u64 = 250;
/// Interval between two checks of a head whether a stage is due.
const CHECK_INTERVAL: u64 = 200;
/// How long a write to the store takes.
const WRITE_TIME: u64 = 60;
/// When the head receives the order, and when it writes the canary stage.
const ORDER_RECEIVED: u64 = 100;
const CANARY_AT: u64 = 300;
/// Part of the time limit after which the traffic shifts.
const SHIFT_AT: f64 = 0.5;
/// Time after the deadline for which a rollout is played.
const GRACE: u64 = 1_000;
const OBJECTS: u64 = 64;
/// A hash of a request that is not part of the canary.
const REQUEST: u64 = u64::MAX;

/// The parameters of one rollout.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    time_limit: u64,
    /// How long the requests before the shift took.
    response_time: u64,
    /// How much longer the last request takes than its VM may expect.
    excess: u64,
    /// Time between the receipt of the order by the head and by the VM that sends.
    order_lag: u64,
    /// Whether the head has measured how long its writes take.
    has_written: bool,
}

/// What happened at the end of a rollout; times count from the order.
#[derive(Debug)]
struct End {
    /// When the last request to the previous version ended.
    drained_at: u64,
    /// When the head decided to write that the rollout is completed.
    completed_at: u64,
}

struct Vm {
    name: VmName,
    routing_state: Rc<RefCell<RoutingState>>,
    rollouts: Rc<Rollouts>,
}

impl Vm {
    fn new(name: &str, clock: &TestClock) -> Self {
        let routing_state = Rc::new(RefCell::new(routing_state(&clock.clock())));
        let rollouts = Rollouts::new(clock.timer(), Rc::clone(&routing_state));
        Self {
            name: name.into(),
            routing_state,
            rollouts: Rc::new(rollouts),
        }
    }

    fn apply(&self, changes: &[Change]) {
        self.routing_state.borrow_mut().apply(changes, true);
    }

    fn reporter<'a>(&'a self, domain: &'a DomainName) -> Reporter<'a> {
        Reporter {
            vm: &self.name,
            domain,
            incarnation: Incarnation(1),
        }
    }

    /// Returns a server of the previous version that may get a request, while any object has not
    /// shifted yet.
    fn previous_server(&self) -> Option<Rc<Upstream>> {
        let service = ServiceName::from("gallery");
        let is_unshifted =
            |object| self.rollouts.choose(&service, object, REQUEST) == VersionChoice::InUse;
        let has_unshifted = (0..OBJECTS).any(is_unshifted);
        let may_get = self.rollouts.filter(&service, VersionChoice::InUse);
        let servers = self.routing_state.borrow().upstreams(&service);
        let mut servers = servers.iter().filter(|u| has_unshifted && may_get(u));
        servers.next().cloned()
    }

    /// Sends a request to each server of the previous version.
    fn send_to_all(&self) -> Vec<Request> {
        let servers = self.routing_state.borrow().upstreams(&"gallery".into());
        let previous = servers.iter().filter(|u| u.version == Some("v1".into()));
        previous.map(|u| Request::new(&self.rollouts, u)).collect()
    }
}

struct Request {
    observed: ObservedSend,
    _guard: InFlightGuard,
}

impl Request {
    fn new(rollouts: &Rc<Rollouts>, server: &Rc<Upstream>) -> Self {
        let kind = RequestKind::new("read", true, true);
        let observed = rollouts.observe(server, kind, true);
        Self {
            observed: observed.expect("a rollout in progress"),
            _guard: server.start_request(),
        }
    }

    fn finish(self) {
        self.observed.finish(SendResult::Answered);
    }
}

/// A head and a VM that sends requests, in one domain.
struct Rollout {
    scenario: Scenario,
    clock: TestClock,
    domain: DomainName,
    vms: Vec<VmEntry>,
    topology: FeedTopology,
    head: Vm,
    sender: Vm,
    controller: Controller,
}

fn vm_entry(name: &str) -> VmEntry {
    VmEntry {
        name: name.into(),
        domain: "north-1".into(),
        region: "north".into(),
        requests: "127.0.0.1:1".parse().expect("an address"),
        peers: "127.0.0.1:2".parse().expect("an address"),
        incarnation: Incarnation(1),
        link_mbps: 100,
        cpu_permille: 100,
        handed: None,
        store_rtt: Some(Millis(1)),
    }
}

impl Rollout {
    fn new(scenario: Scenario) -> Self {
        let clock = TestClock::default();
        let vms = vec![vm_entry("vm-1"), vm_entry("vm-2")];
        let topology = FeedTopology::new(&vms);
        let domain = DomainName::from("north-1");
        let leaders = topology.leaders(&domain);
        let (head, sender) = (leaders[0].clone(), leaders[1].clone());
        let rollout = Self {
            scenario,
            head: Vm::new(head.as_str(), &clock),
            sender: Vm::new(sender.as_str(), &clock),
            controller: Controller::new(Millis(0)),
            clock,
            domain,
            vms,
            topology,
        };
        let servers = ["a", "b", "c", "d", "e"].map(|id| {
            let entry = entry_of_version("north-1", "v1", 0);
            put(&format!("server/{id}"), entry, 1)
        });
        let target = put("server/t", entry_of_version("north-1", "v2", 0), 2);
        rollout.apply(&servers);
        rollout.apply(&[target]);
        rollout
    }

    /// Adds a head that writes before the one that is played, and that never does.
    fn add_silent_head(&mut self) {
        let entry = VmEntry {
            domain: "north-0".into(),
            ..vm_entry("vm-0")
        };
        self.vms.push(entry);
        self.topology = FeedTopology::new(&self.vms);
    }

    fn apply(&self, changes: &[Change]) {
        self.head.apply(changes);
        self.sender.apply(changes);
    }

    fn now(&self) -> u64 {
        self.clock.clock().now().0
    }

    fn apply_record(&self, stage: Stage, revision: u64) {
        let record = RolloutRecord {
            order: 3,
            order_era: 0,
            target: "v2".into(),
            stage,
            started_unix_ms: 0,
            time_limit: Millis(self.scenario.time_limit),
            rolled_back: Vec::new(),
            by: self.head.name.clone(),
            cause: String::new(),
        };
        let value = serde_json::to_vec(&record).expect("a record serializes");
        self.apply(&[put("hk/rollout/gallery", value, revision)]);
    }

    /// Lets the clock advance to `until`, with the reports that are due meanwhile.
    fn advance_to(&mut self, until: u64) {
        while self.now() < until {
            let span = STEP.min(until - self.now());
            self.clock.advance(span);
            if self.now().is_multiple_of(REPORT_INTERVAL) {
                self.report();
            }
        }
    }

    fn report(&self) {
        let own = own_report(&self.head.rollouts);
        collect_own(&self.head.rollouts, self.head.reporter(&self.domain), own);
        let report = own_report(&self.sender.rollouts);
        let orders = report.rollouts.iter();
        let orders: Vec<_> = orders.map(|r| (r.service.clone(), r.order)).collect();
        let reporter = self.sender.reporter(&self.domain);
        let answer = apply_report(&self.head.rollouts, reporter, &self.domain, report);
        apply_answer(&self.sender.rollouts, &orders, answer);
    }

    fn proposals(&mut self) -> Vec<Proposal> {
        let view = FleetView {
            me: &self.head.name,
            domain: &self.domain,
            topology: &self.topology,
            vms: &self.vms,
            unix_ms: 0,
        };
        self.controller.proposals(&self.head.rollouts, &view)
    }

    /// Plays the rollout up to the start of the shift.
    fn start(&mut self) {
        let order = format!("v2 {}", self.scenario.time_limit);
        let order = put("rollout/gallery", order, 3);
        self.advance_to(ORDER_RECEIVED);
        self.head.apply(std::slice::from_ref(&order));
        self.advance_to(ORDER_RECEIVED + self.scenario.order_lag);
        self.sender.apply(&[order]);
        self.advance_to(CANARY_AT);
        self.apply_record(Stage::Canary, 4);
        let requests = self.sender.send_to_all();
        self.advance_to(CANARY_AT + self.scenario.response_time);
        requests.into_iter().for_each(Request::finish);
        if self.scenario.has_written {
            self.controller.record_write(Millis(WRITE_TIME));
        }
        self.advance_to((self.scenario.time_limit as f64 * SHIFT_AT) as u64);
        self.apply_record(Stage::Shift, 5);
    }

    /// Plays the shift. The VM sends to the previous version for as long as it may. Only its latest
    /// request is followed, which takes as long as the VM expects, and the excess.
    fn end(&mut self) -> End {
        let Scenario {
            time_limit,
            response_time,
            excess,
            ..
        } = self.scenario;
        let took = response_time * 5 / 4 + excess;
        let mut in_flight: Option<Request> = None;
        let mut drained_at = self.now();
        while self.now() < time_limit + GRACE {
            self.advance_to(self.now() + STEP);
            if let Some(server) = self.sender.previous_server() {
                drained_at = self.now() + took;
                in_flight = Some(Request::new(&self.sender.rollouts, &server));
            }
            if self.now() >= drained_at {
                in_flight.take().into_iter().for_each(Request::finish);
            }
            if self.now().is_multiple_of(CHECK_INTERVAL) && self.is_completed() {
                return End {
                    drained_at,
                    completed_at: self.now(),
                };
            }
        }
        panic!("{:?} was not completed", self.scenario);
    }

    fn is_completed(&mut self) -> bool {
        let proposals = self.proposals();
        let mut stages = proposals.iter().map(|proposal| proposal.record.stage);
        stages.any(|stage| stage == Stage::Completed)
    }
}

fn play(scenario: Scenario) -> End {
    let mut rollout = Rollout::new(scenario);
    rollout.start();
    rollout.end()
}

/// Time limits with response times that leave time for a shift of two seconds.
fn scenarios() -> impl Iterator<Item = Scenario> {
    let sizes = [
        (8_000, 200),
        (11_000, 1_000),
        (14_000, 1_400),
        (14_000, 2_000),
        (30_000, 4_000),
        (120_000, 20_000),
        (600_000, 400),
    ];
    sizes
        .into_iter()
        .map(|(time_limit, response_time)| Scenario {
            time_limit,
            response_time,
            excess: 0,
            order_lag: 0,
            has_written: false,
        })
}

/// Guards against a VM that expects the previous servers to run longer than the head lets them.
#[test]
fn a_request_that_takes_as_long_as_expected_is_not_cut_off() {
    for scenario in scenarios() {
        let end = play(scenario);

        assert!(end.drained_at <= end.completed_at, "{scenario:?}: {end:?}");
    }
}

/// Guards against requests that are broken off while there is time to wait for them.
#[test]
fn the_head_waits_for_late_requests_while_a_write_is_in_time() {
    for scenario in scenarios() {
        for (excess, order_lag) in [(0, 160), (300, 0), (200, 100)] {
            let scenario = Scenario {
                excess,
                order_lag,
                has_written: true,
                ..scenario
            };

            let end = play(scenario);

            assert!(end.drained_at <= end.completed_at, "{scenario:?}: {end:?}");
        }
    }
}

/// Guards against good versions that are late because of a request that takes too long.
#[test]
fn a_rollout_is_completed_in_time_although_a_request_is_left() {
    for scenario in scenarios() {
        for has_written in [false, true] {
            let scenario = Scenario {
                excess: 20_000,
                has_written,
                ..scenario
            };

            let end = play(scenario);

            let written_at = end.completed_at + WRITE_TIME;
            assert!(written_at <= scenario.time_limit, "{scenario:?}: {end:?}");
        }
    }
}

/// Guards against a head that is lost while it waits, and that the next one replaces too late.
#[test]
fn the_next_head_writes_in_time_if_the_first_one_does_not() {
    for scenario in scenarios() {
        let scenario = Scenario {
            excess: 20_000,
            has_written: true,
            ..scenario
        };
        let mut rollout = Rollout::new(scenario);
        rollout.add_silent_head();
        rollout.start();

        let end = rollout.end();

        let written_at = end.completed_at + WRITE_TIME;
        assert!(written_at <= scenario.time_limit, "{scenario:?}: {end:?}");
    }
}
