//! The request path of one VM over real sockets.

mod common;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use common::network::FakeNetwork;
use common::time::ManualTime;
use common::{
    SERVICE, TestRequest, Vm, backend, one_vm, plan, plan_with_addresses, run_tasks, wait_until,
};
use futures_util::FutureExt;
use heatherknot_gateway::slots::{SlotRequest, UpstreamKey};
use heatherknot_test_support::backend::Fault;
use heatherknot_test_support::caller::RawCaller;
use heatherknot_test_support::runtime::block_on;
use heatherknot_types::plan::{Plan, ServicePlan};
use heatherknot_types::prelude::*;
use http::StatusCode;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpListener;

#[test]
fn backend_response_is_delivered() {
    // Guards against a response that is altered on the way, and against more than one run.
    block_on(async {
        let server = backend(3);
        let (vm, _time, _network) = one_vm(plan(&[&server], 3)).await;

        let answer = vm.send(TestRequest::get("r1")).await;

        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.outcome, "answered");
        assert!(answer.body.starts_with(b"r1"));
        assert_eq!(server.runs_of("r1"), 1);
    });
}

#[test]
fn unknown_service_is_not_run() {
    // Guards against sending a request for a service that the settings do not have.
    block_on(async {
        let server = backend(3);
        let (vm, _time, _network) = one_vm(plan(&[&server], 3)).await;

        let answer = vm
            .send(TestRequest::get("r1").header("heatherknot-service", "acme:other"))
            .await;

        assert_eq!(answer.status, StatusCode::NOT_FOUND);
        assert_eq!(answer.outcome, "not-run");
        assert_eq!(answer.reason, "no-service");
        assert_eq!(server.accepted(), 0);
    });
}

#[test]
fn deadline_and_attempt_are_forwarded() {
    // Guards against losing the headers with which a backend server can stop work whose deadline
    // has passed.
    block_on(async {
        let server = start_recorder().await;
        let (vm, _time, _network) = one_vm(plan_with_addresses(&[server.address], 3)).await;

        let answer = vm
            .send(
                TestRequest::get("r1")
                    .deadline(1234)
                    .header("heatherknot-attempt", "2"),
            )
            .await;

        let head = server.head.borrow().to_ascii_lowercase();
        assert_eq!(answer.outcome, "answered");
        assert!(head.contains("heatherknot-deadline-ms: 1234\r\n"), "{head}");
        assert!(head.contains("heatherknot-attempt: 2\r\n"), "{head}");
        assert!(!head.contains("heatherknot-hop"), "{head}");
    });
}

#[test]
fn forged_hop_header_is_refused() {
    // Guards against callers that forge the hop header of daemons, which would let them bypass the
    // caps and the records of requests that must not run twice.
    block_on(async {
        let server = backend(3);
        let (vm, _time, _network) = one_vm(plan(&[&server], 3)).await;

        let answer = vm
            .send(TestRequest::get("r1").header("heatherknot-hop", "hkh1.e30.AAAA"))
            .await;

        assert_eq!(answer.status, StatusCode::BAD_REQUEST);
        assert_eq!(answer.outcome, "not-run");
        assert!(server.runs().is_empty());
    });
}

#[test]
fn body_that_is_too_large_is_not_run() {
    // Guards against sending any part of a request whose body exceeds the limit.
    block_on(async {
        let server = backend(3);
        let mut plan = plan(&[&server], 3);
        change_services(&mut plan, |service| service.max_body = 4);
        let (vm, _time, _network) = one_vm(plan).await;

        let answer = vm.send(TestRequest::post("r1")).await;

        assert_eq!(answer.status, StatusCode::PAYLOAD_TOO_LARGE);
        assert_eq!(answer.outcome, "not-run");
        assert_eq!(server.accepted(), 0);
    });
}

#[test]
fn request_without_settings_is_not_run() {
    // Guards against a final error before the first settings arrive: the caller may retry.
    block_on(async {
        let (time, network) = (ManualTime::new(), FakeNetwork::new());
        let vm = Vm::start("vm-a", 1, &time, &network);

        let answer = vm.send(TestRequest::get("r1")).await;

        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(answer.reason, "no-settings");
        assert!(answer.retry_after.is_some());
    });
}

#[test]
fn full_queue_refuses_at_once() {
    // Every slot is in use and the queue is full. Guards against keeping the caller waiting until
    // its deadline instead of refusing the request with a `Retry-After`.
    block_on(async {
        let server = backend(1);
        server.change(|b| b.held = true);
        let mut plan = plan(&[&server], 1);
        change_services(&mut plan, |service| service.queue_len = 1);
        let (vm, _time, _network) = one_vm(plan).await;
        let running = vm.spawn_send(TestRequest::get("running"));
        wait_until("one runs", || server.running() == 1).await;
        let queued = vm.spawn_send(TestRequest::get("queued"));
        wait_until("one waits", || vm.gateway.in_flight() == 2).await;

        let refused = vm.send(TestRequest::get("refused")).await;
        server.change(|b| b.held = false);
        running.await;

        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(refused.outcome, "not-run");
        assert_eq!(refused.reason, "queue-full");
        assert!(refused.retry_after.is_some());
        assert_eq!(queued.await.outcome, "answered");
        assert_eq!(server.runs_of("refused"), 0);
    });
}

#[test]
fn deadline_that_passes_in_the_queue_is_not_run() {
    // Guards against sending a queued request after its deadline.
    block_on(async {
        let server = backend(1);
        server.change(|b| b.held = true);
        let (vm, time, _network) = one_vm(plan(&[&server], 1)).await;
        let running = vm.spawn_send(TestRequest::get("running").deadline(60_000));
        wait_until("one runs", || server.running() == 1).await;
        let queued = vm.spawn_send(TestRequest::get("queued").deadline(500));
        wait_until("one waits", || vm.gateway.in_flight() == 2).await;

        time.advance(Millis(501));
        let queued = queued.await;
        server.change(|b| b.held = false);
        running.await;

        assert_eq!(queued.outcome, "not-run");
        assert_eq!(queued.reason, "deadline");
        assert_eq!(server.runs_of("queued"), 0);
    });
}

#[test]
fn request_that_cannot_finish_in_time_is_refused_at_once() {
    // Requests take a second each, and the queue is longer than the caller's deadline allows.
    // Guards against queueing a request that can't be served in time.
    block_on(async {
        let server = backend(1);
        server.change(|b| b.held = true);
        let (vm, time, _network) = one_vm(plan(&[&server], 1)).await;
        let first = vm.spawn_send(TestRequest::get("first").deadline(60_000));
        wait_until("it runs", || server.running() == 1).await;
        time.advance(Millis(1_000));
        server.change(|b| b.held = false);
        first.await;
        server.change(|b| b.held = true);
        let running = vm.spawn_send(TestRequest::get("running").deadline(60_000));
        wait_until("one runs", || server.running() == 1).await;
        let fits = vm.spawn_send(TestRequest::get("fits").deadline(1_500));
        wait_until("one waits", || vm.gateway.in_flight() == 2).await;

        let late = vm.send(TestRequest::get("late").deadline(1_500)).await;
        server.change(|b| b.held = false);
        running.await;

        assert_eq!(late.outcome, "not-run");
        assert_eq!(late.reason, "deadline");
        assert_eq!(late.retry_after.as_deref(), Some("2"));
        assert_eq!(fits.await.outcome, "answered");
        assert_eq!(server.runs_of("late"), 0);
    });
}

#[test]
fn queued_request_of_a_disconnected_caller_is_never_sent() {
    // Guards against sending a queued request whose caller has disconnected: it would occupy a slot
    // for a response that nobody reads.
    block_on(async {
        let server = backend(1);
        server.change(|b| b.held = true);
        let (vm, _time, _network) = one_vm(plan(&[&server], 1)).await;
        let running = vm.spawn_send(TestRequest::get("running"));
        wait_until("one runs", || server.running() == 1).await;
        let mut caller = RawCaller::connect(vm.address).await.expect("a connection");
        caller.send(raw_get("leaves")).await.expect("sent");
        wait_until("it waits", || vm.gateway.in_flight() == 2).await;

        drop(caller);
        wait_until("it left", || vm.gateway.in_flight() == 1).await;
        server.change(|b| b.held = false);
        running.await;
        vm.send(TestRequest::get("after")).await;

        assert_eq!(server.runs_of("leaves"), 0);
    });
}

#[test]
fn disconnecting_caller_cancels_its_request() {
    // Guards against a slot that stays in use after its caller has disconnected.
    block_on(async {
        let server = backend(1);
        server.change(|b| b.held = true);
        let (vm, _time, _network) = one_vm(plan(&[&server], 1)).await;
        let mut caller = RawCaller::connect(vm.address).await.expect("a connection");
        caller.send(raw_get("leaves")).await.expect("sent");
        wait_until("it runs", || server.running() == 1).await;

        drop(caller);
        wait_until("the backend server sees the cancellation", || {
            server.cancelled() == 1
        })
        .await;
        wait_until("its slot is free", || vm.gateway.in_flight() == 0).await;

        server.change(|b| b.held = false);
        assert_eq!(vm.send(TestRequest::get("after")).await.outcome, "answered");
    });
}

#[test]
fn large_response_is_streamed_completely() {
    // Guards against a truncated stream, and against in-flight counts that leak after it.
    block_on(async {
        let server = backend(1);
        server.change(|b| b.body_len = 8 << 20);
        let (vm, _time, _network) = one_vm(plan(&[&server], 1)).await;

        let answer = vm.send(TestRequest::get("r1")).await;
        wait_until("no request is in flight", || vm.gateway.in_flight() == 0).await;

        assert_eq!(answer.body.len(), 8 << 20);
        assert!(answer.body.starts_with(b"r1"));
    });
}

#[test]
fn response_streamed_past_the_deadline_holds_its_slot() {
    // A caller reads a large response slowly, past the request's deadline, and the backend server
    // is busy with it all the time. Guards against reclaiming the slot at the deadline, which would
    // send a further request to a full server.
    block_on(async {
        let server = backend(1);
        server.change(|b| b.body_len = 64 << 20);
        let (vm, time, _network) = one_vm(plan(&[&server], 1)).await;
        let mut caller = RawCaller::connect(vm.address).await.expect("a connection");
        caller
            .send(raw_get("slow").replace("\r\n\r\n", "\r\nheatherknot-deadline-ms: 2000\r\n\r\n"))
            .await
            .expect("sent");
        caller.read_until("\r\n\r\n").await.expect("a head");
        let key = UpstreamKey::new(ServiceName::from(SERVICE), UpstreamName::from("u0"));
        let acquire = || {
            vm.gateway
                .slots()
                .acquire(&key, request_without_waiting())
                .now_or_never()
        };

        for _ in 0..40 {
            time.advance(Millis(1_000));
            run_tasks().await;
            assert!(!matches!(acquire(), Some(Ok(_))));
        }
        drop(caller);
        wait_until("the slot is free", || matches!(acquire(), Some(Ok(_)))).await;

        assert_eq!(server.most_running(), 1);
    });
}

fn request_without_waiting() -> SlotRequest {
    SlotRequest {
        class: Class::Interactive,
        waited: Millis(0),
        wait: Millis(0),
        term: Millis(1_000),
    }
}

#[test]
fn truncated_large_response_does_not_look_complete() {
    // A backend server dies halfway through a large response whose head has been delivered. Guards
    // against a truncated body that looks complete to the caller, or that no operator notices.
    block_on(async {
        let server = backend(1);
        server.change(|b| {
            b.body_len = 1 << 20;
            b.fault = Fault::TruncatedBody;
        });
        let (vm, _time, _network) = one_vm(plan(&[&server], 1)).await;
        let mut caller = RawCaller::connect(vm.address).await.expect("a connection");

        caller.send(raw_get("r1")).await.expect("sent");
        let head = caller.read_until("\r\n\r\n").await.expect("a head");
        let body = caller.read_to_end().await;

        assert!(head.contains("content-length: 1048576\r\n"), "{head}");
        assert!(body.len() < 1 << 20);
        let counted = "heatherknot_truncated_responses_total{service=\"acme:shop\"} 1\n";
        let metrics = vm.metrics_text();
        assert!(metrics.contains(counted), "{metrics}");
    });
}

#[test]
fn steady_interactive_traffic_does_not_starve_bulk() {
    // Guards against a bulk request that never gets its turn behind interactive ones.
    block_on(async {
        let server = backend(2);
        server.change(|b| b.held = true);
        let (vm, _time, _network) = one_vm(plan(&[&server], 2)).await;
        let mut pending = Vec::new();
        for i in 0..2 {
            pending.push(vm.spawn_send(TestRequest::get(&format!("first{i}"))));
        }
        wait_until("both slots are taken", || server.running() == 2).await;
        let bulk = vm.spawn_send(TestRequest::get("bulk").bulk());
        wait_until("it waits", || vm.gateway.in_flight() == 3).await;
        for i in 0..30 {
            pending.push(vm.spawn_send(TestRequest::get(&format!("later{i}"))));
        }
        wait_until("all wait", || vm.gateway.in_flight() == 33).await;

        server.change(|b| b.held = false);
        let bulk = bulk.await;
        for request in pending {
            assert_eq!(request.await.outcome, "answered");
        }

        assert_eq!(bulk.outcome, "answered");
    });
}

#[test]
fn surge_of_one_account_leaves_another_its_share() {
    // Two client accounts have services at one place. One floods it with requests that hang. Guards
    // against starving the other account, which had traffic recently, of its share.
    block_on(async {
        let (hanging, quick) = (backend(10), backend(10));
        hanging.change(|b| b.held = true);
        let mut plan = plan(&[&hanging], 10);
        for place in plan.places.values_mut() {
            place.cap.in_flight = 6;
        }
        let mut other = plan.services[&ServiceName::from(SERVICE)].clone();
        other.account = AccountName::from("umbrella");
        other.upstreams[0].address = quick.address();
        plan.services
            .insert(ServiceName::from("umbrella:shop"), other);
        change_services(&mut plan, |service| service.account_share_permille = 500);
        let (vm, _time, _network) = one_vm(plan).await;
        let other_request =
            |id: &str| TestRequest::get(id).header("heatherknot-service", "umbrella:shop");
        let before = vm.send(other_request("before")).await;
        let mut surge = Vec::new();
        for i in 0..20 {
            surge.push(vm.spawn_send(TestRequest::get(&format!("surge{i}"))));
        }
        wait_until("the surge has its share", || hanging.running() >= 3).await;

        let during = vm.send(other_request("during")).await;
        let running = hanging.running();
        hanging.change(|b| b.held = false);

        assert_eq!(before.outcome, "answered");
        assert_eq!(during.outcome, "answered", "{during:?}");
        assert!(running < 6, "{running} of 6");
    });
}

fn change_services(plan: &mut Plan, change: impl Fn(&mut ServicePlan)) {
    plan.services.values_mut().for_each(change);
}

fn raw_get(id: &str) -> String {
    format!(
        "GET /items HTTP/1.1\r\nhost: h\r\nheatherknot-service: {SERVICE}\r\n\
         x-request-id: {id}\r\n\r\n"
    )
}

/// A server that records the head of the one request it serves.
struct Recorder {
    address: SocketAddr,
    head: Rc<RefCell<String>>,
}

async fn start_recorder() -> Recorder {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an ephemeral port");
    let address = listener.local_addr().expect("a bound address");
    let head = Rc::new(RefCell::new(String::new()));
    let recorded = Rc::clone(&head);
    monoio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let (read, buf) = stream.read(Vec::with_capacity(4096)).await;
        read.expect("a request");
        *recorded.borrow_mut() = String::from_utf8(buf).expect("text");
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(answer).await.0.expect("sent");
    });
    Recorder { address, head }
}
