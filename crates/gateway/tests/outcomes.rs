//! The three outcomes and the retries behind them.

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

/// Gives an address at which nothing listens.
fn dead_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an ephemeral port");
    listener.local_addr().expect("a bound address")
}

fn runs(servers: &[&FakeBackend], id: &str) -> usize {
    servers.iter().map(|server| server.runs_of(id)).sum()
}

/// Sends requests until one meets the server with the fault, which is one of two.
async fn ask_each(
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
fn get_that_may_have_run_is_sent_again() {
    // One of two backend servers runs requests and closes the connection unanswered. A caller
    // that reads must not notice: reading twice does no harm.
    block_on(async {
        let (good, bad) = (backend(3), backend(3));
        bad.change(|b| b.fault = Fault::ClosesAfterRun);
        let (vm, _time, _network) = one_vm(plan(&[&good, &bad], 3)).await;

        let answers = ask_each(&vm, TestRequest::get).await;

        assert!(!bad.runs().is_empty());
        for (id, answer) in answers {
            assert_eq!(answer.outcome, "answered", "{id}");
        }
    });
}

#[test]
fn post_that_may_have_run_is_not_sent_again() {
    // The same fault under requests that must not run twice: an order would be placed twice.
    // The caller is told that the outcome is unknown, and each runs once.
    block_on(async {
        let (good, bad) = (backend(3), backend(3));
        bad.change(|b| b.fault = Fault::ClosesAfterRun);
        let (vm, _time, _network) = one_vm(plan(&[&good, &bad], 3)).await;

        let answers = ask_each(&vm, TestRequest::post).await;

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
    // One of two backend servers is gone: its port refuses connections. No byte reached it, so
    // even an order may go to the other.
    block_on(async {
        let good = backend(3);
        let (vm, _time, _network) =
            one_vm(plan_with_addresses(&[good.address(), dead_address()], 3)).await;

        let answers = ask_each(&vm, TestRequest::post).await;

        for (id, answer) in answers {
            assert_eq!(answer.outcome, "answered", "{id}");
            assert_eq!(good.runs_of(&id), 1, "{id}");
        }
    });
}

#[test]
fn post_refused_by_the_published_signal_goes_elsewhere_or_is_not_run() {
    // A backend server refuses requests before it runs them, and says so by the agreed header.
    block_on(async {
        let (good, shedding) = (backend(3), backend(3));
        shedding.change(|b| b.shed_all = true);
        let (vm, _time, _network) = one_vm(plan(&[&good, &shedding], 3)).await;

        let answers = ask_each(&vm, TestRequest::post).await;

        assert!(shedding.runs().is_empty());
        for (id, answer) in answers {
            let expected = usize::from(answer.outcome == "answered");
            assert_eq!(good.runs_of(&id), expected, "{id}");
            assert_ne!(answer.outcome, "unknown", "{id}");
        }
    });
}

#[test]
fn plain_503_is_an_answer() {
    // Without the agreed header nobody knows whether the backend server ran the request before
    // it answered 503, so it is passed on as its answer and never sent again.
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
fn overloaded_place_is_not_sent_retries() {
    // Every backend server sheds. Retries would only add to their load: each request is sent
    // once at most, and the caller is told when to come back.
    block_on(async {
        let (one, two) = (backend(3), backend(3));
        for server in [&one, &two] {
            server.change(|b| b.shed_all = true);
        }
        let (vm, _time, _network) = one_vm(plan(&[&one, &two], 3)).await;

        let first = vm.send(TestRequest::get("r1")).await;
        let text = metrics_text(&vm);

        assert_eq!(first.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(first.outcome, "not-run");
        assert!(first.retry_after.is_some());
        assert!(one.runs().is_empty() && two.runs().is_empty());
        assert!(one.accepted() + two.accepted() <= 1, "{text}");
    });
}

#[test]
fn retries_stay_within_their_budget() {
    // Each backend server closes connections unanswered. Were every request sent three times,
    // a struggling service would get three times its load.
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
            // Past the time for which a failing upstream is left alone.
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
    block_on(async {
        let server = backend(3);
        server.change(|b| b.fault = Fault::NeverAnswers);
        let (vm, time, _network) = one_vm(plan(&[&server], 3)).await;
        let ask = vm.spawn_send(TestRequest::post("r1").deadline(200));
        wait_until("it runs", || server.running() == 1).await;

        time.advance(Millis(201));
        let answer = ask.await;

        assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
        assert_eq!(answer.outcome, "unknown");
        assert_eq!(answer.reason, "timeout");
        wait_until("the backend server is told", || server.cancelled() == 1).await;
    });
}

#[test]
fn short_answer_that_breaks_off_is_unknown_or_sent_again() {
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

/// Settings under which a connection that answers nothing is given up on soon.
fn impatient() -> GatewaySettings {
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
    // Something between the two ends has forgotten an open connection: what is sent on it is
    // lost, while new connections work. A read is sent again on a new one.
    block_on(async {
        let server = backend(3);
        let (vm, _time, _network) = one_vm_with(plan(&[&server], 3), impatient()).await;
        vm.send(TestRequest::get("opens")).await;

        server.blackhole_open_connections();
        let answer = vm.send(TestRequest::get("r1")).await;

        assert_eq!(answer.outcome, "answered");
        assert_eq!(server.accepted(), 2);
    });
}

#[test]
fn silent_connection_leaves_a_post_unknown() {
    // The same under a request that must not run twice: nobody knows whether it arrived.
    block_on(async {
        let server = backend(3);
        let (vm, _time, _network) = one_vm_with(plan(&[&server], 3), impatient()).await;
        vm.send(TestRequest::get("opens")).await;

        server.blackhole_open_connections();
        let lost = vm.send(TestRequest::post("r1")).await;
        let next = vm.send(TestRequest::post("r2")).await;

        assert_eq!(lost.outcome, "unknown");
        assert_eq!(server.runs_of("r1"), 0);
        assert_eq!(next.outcome, "answered");
    });
}

fn metrics_text(vm: &Vm) -> String {
    prometheus::TextEncoder::new()
        .encode_to_string(&vm.registry.gather())
        .expect("metrics have a text form")
}

#[test]
fn every_outcome_is_counted() {
    block_on(async {
        let server = backend(3);
        let (vm, _time, _network) = one_vm(plan(&[&server], 3)).await;

        vm.send(TestRequest::get("r1")).await;
        server.change(|b| b.fault = Fault::ClosesAfterRun);
        vm.send(TestRequest::post("r2")).await;
        vm.gateway.tick();
        let text = metrics_text(&vm);

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
