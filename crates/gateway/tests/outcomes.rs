//! The three outcomes of a request, and retries.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use common::{
    TestRequest, Vm, backend, one_vm, one_vm_with, plan, plan_with_addresses, wait_until,
};
use heatherknot_gateway::GatewaySettings;
use heatherknot_http::PoolConfig;
use heatherknot_test_support::backend::{FakeBackend, Fault};
use heatherknot_test_support::runtime::block_on;
use heatherknot_types::prelude::*;
use http::StatusCode;
use monoio::net::TcpListener;

/// Returns an address at which nothing listens.
fn dead_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an ephemeral port");
    listener.local_addr().expect("a bound address")
}

fn runs(servers: &[&FakeBackend], id: &str) -> usize {
    servers.iter().map(|server| server.runs_of(id)).sum()
}

/// Sends 12 requests, so that some of them reach the faulty one of two servers.
async fn send_requests(
    vm: &Rc<Vm>,
    make: impl Fn(&str) -> TestRequest,
) -> Vec<(String, common::TestResponse)> {
    let mut answers = Vec::new();
    for i in 0..12 {
        let id = format!("r{i}");
        answers.push((id.clone(), vm.send(make(&id)).await));
    }
    answers
}

#[test]
fn get_that_may_have_run_is_retried() {
    // One of two backend servers runs requests and then closes the connection without a response.
    // Guards against failed reads: a GET is idempotent, so it is retried.
    block_on(async {
        let (good, bad) = (backend(3), backend(3));
        bad.change(|b| b.fault = Fault::ClosesAfterRun);
        let (vm, _time, _network) = one_vm(plan(&[&good, &bad], 3)).await;

        let answers = send_requests(&vm, TestRequest::get).await;

        assert!(!bad.runs().is_empty());
        for (id, answer) in answers {
            assert_eq!(answer.outcome, "answered", "{id}");
        }
    });
}

#[test]
fn post_that_may_have_run_is_not_retried() {
    // Guards against running a non-idempotent request twice after the same fault, such as placing
    // an order twice. The caller is told that the outcome is unknown.
    block_on(async {
        let (good, bad) = (backend(3), backend(3));
        bad.change(|b| b.fault = Fault::ClosesAfterRun);
        let (vm, _time, _network) = one_vm(plan(&[&good, &bad], 3)).await;

        let answers = send_requests(&vm, TestRequest::post).await;

        let mut unknown = 0;
        for (id, answer) in answers {
            assert_eq!(runs(&[&good, &bad], &id), 1, "{id}");
            if answer.outcome == "unknown" {
                unknown += 1;
                assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
                assert_eq!(answer.reason, "connection-lost");
            }
        }
        assert!(unknown > 0);
    });
}

#[test]
fn post_that_was_not_sent_goes_elsewhere() {
    // Guards against needless failures: one of two backend servers refuses connections, so no byte
    // reached it, and even a non-idempotent request may be sent to the other.
    block_on(async {
        let good = backend(3);
        let (vm, _time, _network) =
            one_vm(plan_with_addresses(&[good.address(), dead_address()], 3)).await;

        let answers = send_requests(&vm, TestRequest::post).await;

        for (id, answer) in answers {
            assert_eq!(answer.outcome, "answered", "{id}");
            assert_eq!(good.runs_of(&id), 1, "{id}");
        }
    });
}

#[test]
fn post_refused_with_the_not_run_header_goes_elsewhere_or_is_not_run() {
    // Guards against the outcome "unknown" for requests that a backend server refuses with the
    // not-run header, and against lost or doubled runs of them.
    block_on(async {
        let (good, shedding) = (backend(3), backend(3));
        shedding.change(|b| b.shed_all = true);
        let (vm, _time, _network) = one_vm(plan(&[&good, &shedding], 3)).await;

        let answers = send_requests(&vm, TestRequest::post).await;

        assert!(shedding.runs().is_empty());
        for (id, answer) in answers {
            let expected = usize::from(answer.outcome == "answered");
            assert_eq!(good.runs_of(&id), expected, "{id}");
            assert_ne!(answer.outcome, "unknown", "{id}");
        }
    });
}

#[test]
fn status_503_without_the_not_run_header_is_delivered() {
    // Guards against a retry after a 503 without the not-run header: the backend server may have
    // run the request, so its response is delivered as it is.
    block_on(async {
        let server = backend(3);
        server.change(|b| {
            b.shed_all = true;
            b.shed_response.1.clear();
        });
        let (vm, _time, _network) = one_vm(plan(&[&server], 3)).await;

        let answer = vm.send(TestRequest::post("r1")).await;

        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(answer.outcome, "answered");
    });
}

#[test]
fn overloaded_place_gets_no_retries() {
    // Guards against retries that add to the load of servers that all shed requests. Each request
    // is sent at most once, and the response has a `Retry-After`.
    block_on(async {
        let (one, two) = (backend(3), backend(3));
        for server in [&one, &two] {
            server.change(|b| b.shed_all = true);
        }
        let (vm, _time, _network) = one_vm(plan(&[&one, &two], 3)).await;

        let first = vm.send(TestRequest::get("r1")).await;
        let text = vm.metrics_text();

        assert_eq!(first.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(first.outcome, "not-run");
        assert!(first.retry_after.is_some());
        assert!(one.runs().is_empty() && two.runs().is_empty());
        assert!(one.accepted() + two.accepted() <= 1, "{text}");
    });
}

#[test]
fn retries_stay_within_their_budget() {
    // Every backend server closes connections without a response. Guards against sending every
    // request three times, which would triple the load of a failing service.
    block_on(async {
        let (one, two) = (backend(3), backend(3));
        for server in [&one, &two] {
            server.change(|b| b.fault = Fault::ClosesAfterRun);
        }
        let mut plan = plan(&[&one, &two], 3);
        for service in plan.services.values_mut() {
            service.retry_permille = 100;
        }
        let (vm, time, _network) = one_vm(plan).await;

        for i in 0..50 {
            vm.send(TestRequest::get(&format!("r{i}"))).await;
            // Moves the clock past the time for which a failing upstream is avoided.
            time.advance(Millis(100));
        }
        let first_tries = one.runs().len() + two.runs().len();
        let sent: usize = one.runs().values().chain(two.runs().values()).sum();

        assert!(first_tries > 0);
        let budget = 1 + first_tries / 10 + 1;
        assert!(
            sent <= first_tries + budget,
            "{sent} sent for {first_tries}"
        );
    });
}

#[test]
fn deadline_that_passes_after_sending_is_unknown() {
    // Guards against "not run" for a request that was sent, and against leaving the backend server
    // to work on it past the deadline.
    block_on(async {
        let server = backend(3);
        server.change(|b| b.fault = Fault::NeverAnswers);
        let (vm, time, _network) = one_vm(plan(&[&server], 3)).await;
        let pending = vm.spawn_send(TestRequest::post("r1").deadline(200));
        wait_until("it runs", || server.running() == 1).await;

        time.advance(Millis(201));
        let answer = pending.await;

        assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
        assert_eq!(answer.outcome, "unknown");
        assert_eq!(answer.reason, "timeout");
        wait_until("the backend server sees the cancellation", || {
            server.cancelled() == 1
        })
        .await;
    });
}

#[test]
fn post_with_a_truncated_short_response_is_unknown() {
    // Guards against delivering half of a short response, or retrying a POST that may have run.
    block_on(async {
        let server = backend(3);
        server.change(|b| b.fault = Fault::TruncatedBody);
        let (vm, _time, _network) = one_vm(plan(&[&server], 3)).await;

        let answer = vm.send(TestRequest::post("r1")).await;

        assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
        assert_eq!(answer.outcome, "unknown");
        assert_eq!(server.runs_of("r1"), 1);
    });
}

/// Returns settings with a short limit for connections that receive nothing.
fn short_silence_limit() -> GatewaySettings {
    GatewaySettings {
        pool: PoolConfig {
            silence_limit: Duration::from_millis(100),
            ..PoolConfig::default()
        },
        ..GatewaySettings::default()
    }
}

#[test]
fn silent_connection_is_replaced_under_a_get() {
    // A middlebox drops the state of an open connection, so data sent on it is lost while new
    // connections work. Guards against failing a GET, which is retried on a new connection.
    block_on(async {
        let server = backend(3);
        let (vm, _time, _network) = one_vm_with(plan(&[&server], 3), short_silence_limit()).await;
        vm.send(TestRequest::get("opens")).await;

        server.blackhole_open_connections();
        let answer = vm.send(TestRequest::get("r1")).await;

        assert_eq!(answer.outcome, "answered");
        assert_eq!(server.accepted(), 2);
    });
}

#[test]
fn silent_connection_leaves_a_post_unknown() {
    // Guards against retrying a non-idempotent request after the same fault, as it may have
    // arrived.
    block_on(async {
        let server = backend(3);
        let (vm, _time, _network) = one_vm_with(plan(&[&server], 3), short_silence_limit()).await;
        vm.send(TestRequest::get("opens")).await;

        server.blackhole_open_connections();
        let lost = vm.send(TestRequest::post("r1")).await;
        let next = vm.send(TestRequest::post("r2")).await;

        assert_eq!(lost.outcome, "unknown");
        assert_eq!(server.runs_of("r1"), 0);
        assert_eq!(next.outcome, "answered");
    });
}

#[test]
fn every_outcome_is_counted() {
    // Guards against outcomes that are missing from the request metric or lack their reason.
    block_on(async {
        let server = backend(3);
        let (vm, _time, _network) = one_vm(plan(&[&server], 3)).await;

        vm.send(TestRequest::get("r1")).await;
        server.change(|b| b.fault = Fault::ClosesAfterRun);
        vm.send(TestRequest::post("r2")).await;
        vm.gateway.tick();
        let text = vm.metrics_text();

        let line = |outcome: &str, reason: &str| {
            format!(
                "heatherknot_requests_total{{class=\"interactive\",outcome=\"{outcome}\",\
                 reason=\"{reason}\",service=\"acme:shop\"}} 1"
            )
        };
        assert!(text.contains(&line("answered", "")), "{text}");
        assert!(text.contains(&line("unknown", "connection-lost")), "{text}");
    });
}
