//! At-most-once execution of requests across VMs and failures.

mod common;

use std::rc::Rc;
use std::sync::Arc;

use common::{
    TestRequest, Vm, backend, members, one_vm, one_vm_with, plan, two_vms, wait_until, warm_up,
};
use heatherknot_gateway::GatewaySettings;
use heatherknot_gateway::once::RecordLimits;
use heatherknot_test_support::backend::{FakeBackend, Fault};
use heatherknot_test_support::caller::RawCaller;
use heatherknot_test_support::runtime::block_on;
use heatherknot_types::prelude::*;
use http::StatusCode;

fn ticket_of(vm: &Vm) -> String {
    vm.gateway.new_ticket(&ServiceName::from(common::SERVICE))
}

fn total_runs(server: &FakeBackend) -> usize {
    server.runs().values().sum()
}

/// Sends the same request to the two VMs concurrently, and returns both responses.
async fn send_to_both(a: &Rc<Vm>, b: &Rc<Vm>, key: &str) -> [common::TestResponse; 2] {
    let at_a = a.spawn_send(TestRequest::post("at-a").key(key));
    let at_b = b.spawn_send(TestRequest::post("at-b").key(key));
    [at_a.await, at_b.await]
}

#[test]
fn repeat_gets_the_first_response() {
    // A caller loses its connection just before the response and repeats its request with the
    // same key. The request must not run twice, and the caller gets the first response.
    block_on(async {
        let server = backend(3);
        let (vm, _time, _network) = one_vm(plan(&[&server], 3)).await;

        for key in [ticket_of(&vm), "own-key".to_owned()] {
            let before = total_runs(&server);
            let first = vm.send(TestRequest::post(&key[..4]).key(&key)).await;
            let second = vm.send(TestRequest::post("again").key(&key)).await;

            assert_eq!(first.outcome, "answered");
            assert_eq!(second.outcome, "answered");
            assert_eq!(first.body, second.body);
            assert_eq!(total_runs(&server), before + 1);
        }
    });
}

#[test]
fn same_key_at_two_vms_concurrently_runs_once() {
    // A caller sends the same request to two VMs concurrently; only one of them may run it.
    block_on(async {
        let server = backend(3);
        let (a, b, _time, _network) = two_vms(plan(&[&server], 3)).await;

        for key in [ticket_of(&a), ticket_of(&b), "own-key".to_owned()] {
            let before = total_runs(&server);
            let [at_a, at_b] = send_to_both(&a, &b, &key).await;

            assert_eq!(total_runs(&server), before + 1, "{key}");
            for answer in [&at_a, &at_b] {
                assert_eq!(answer.outcome, "answered", "{key} {answer:?}");
            }
            assert_eq!(at_a.body, at_b.body);
        }
    });
}

#[test]
fn disconnected_caller_finds_its_response() {
    // A caller disconnects while its request runs, and repeats it later. The run must continue:
    // if it were cancelled, the outcome would stay unknown.
    block_on(async {
        let server = backend(3);
        server.change(|s| s.held = true);
        let (vm, _time, _network) = one_vm(plan(&[&server], 3)).await;
        let mut caller = RawCaller::connect(vm.address).await.expect("a connection");
        let request = format!(
            "POST /orders HTTP/1.1\r\nhost: h\r\nheatherknot-service: {}\r\n\
             idempotency-key: k1\r\nx-request-id: first\r\ncontent-length: 2\r\n\r\nhi",
            common::SERVICE
        );
        caller.send(request).await.expect("sent");
        wait_until("it runs", || server.running() == 1).await;

        drop(caller);
        common::run_tasks().await;
        let repeat = vm.spawn_send(TestRequest::post("repeat").key("k1"));
        common::run_tasks().await;
        server.change(|s| s.held = false);
        let repeat = repeat.await;

        assert_eq!(repeat.outcome, "answered");
        assert!(repeat.body.starts_with(b"first"));
        assert_eq!(total_runs(&server), 1);
    });
}

#[test]
fn lost_response_of_the_backend_stays_unknown() {
    // The backend server runs the request and its response is lost. No repeat may run it a second
    // time, although it is not known whether it ran.
    block_on(async {
        let server = backend(3);
        server.change(|s| s.fault = Fault::ClosesAfterRun);
        let (a, b, _time, _network) = two_vms(plan(&[&server], 3)).await;

        for key in [ticket_of(&a), "own-key".to_owned()] {
            let before = total_runs(&server);
            let first = a.send(TestRequest::post("first").key(&key)).await;
            server.change(|s| s.fault = Fault::None);
            let at_a = a.send(TestRequest::post("again").key(&key)).await;
            let at_b = b.send(TestRequest::post("again").key(&key)).await;
            server.change(|s| s.fault = Fault::ClosesAfterRun);

            for answer in [first, at_a, at_b] {
                assert_eq!(answer.outcome, "unknown", "{key}");
            }
            assert_eq!(total_runs(&server), before + 1);
        }
    });
}

#[test]
fn request_that_did_not_run_may_be_repeated() {
    // The backend server refuses the request before it runs it. A repeat with the same key must
    // then be able to run.
    block_on(async {
        let server = backend(3);
        let (vm, time, _network) = one_vm(plan(&[&server], 3)).await;

        for key in [ticket_of(&vm), "own-key".to_owned()] {
            server.change(|s| s.shed_all = true);
            let before = total_runs(&server);
            let refused = vm.send(TestRequest::post("first").key(&key)).await;
            server.change(|s| s.shed_all = false);
            warm_up(&[&vm], &time).await;
            let repeat = vm.send(TestRequest::post("again").key(&key)).await;

            assert_eq!(refused.outcome, "not-run", "{key}");
            assert_eq!(repeat.outcome, "answered", "{key}");
            assert_eq!(total_runs(&server), before + 1);
        }
    });
}

#[test]
fn request_of_a_dead_vm_is_unknown_elsewhere() {
    // A VM runs a request and dies before it responds, so no record states whether it ran. A
    // repeat at another VM must not run it a second time.
    block_on(async {
        let server = backend(3);
        server.change(|s| s.fault = Fault::NeverAnswers);
        let (a, b, _time, network) = two_vms(plan(&[&server], 3)).await;

        for key in [ticket_of(&a), "own-key".to_owned()] {
            let before = total_runs(&server);
            let _lost = a.spawn_send(TestRequest::post("first").key(&key));
            wait_until("it runs", || total_runs(&server) == before + 1).await;
            network.cut(&a.member.vm);
            let repeat = b.send(TestRequest::post("again").key(&key)).await;
            network.heal(&a.member.vm);

            assert_eq!(repeat.outcome, "unknown", "{key}");
            assert_eq!(repeat.status, StatusCode::BAD_GATEWAY);
            assert_eq!(repeat.reason, "owner-gone");
            assert_eq!(total_runs(&server), before + 1);
        }
    });
}

#[test]
fn restarted_vm_does_not_rerun_requests_of_its_predecessor() {
    // A VM is replaced by a new incarnation of the same name without records. A repeat must not
    // run there as a new request, whether it arrives directly or from another VM.
    block_on(async {
        let server = backend(3);
        let (a, b, time, network) = two_vms(plan(&[&server], 3)).await;
        let keys = [ticket_of(&a), "own-key".to_owned()];
        for key in &keys {
            a.send(TestRequest::post("first").key(key)).await;
        }
        let before = total_runs(&server);

        let new = Vm::start(a.member.vm.as_str(), 77, &time, &network);
        let both = members(2, &[&new.member, &b.member]);
        new.configure(&Arc::new(plan(&[&server], 3)), &both, &time);
        b.gateway.on_members(both);
        warm_up(&[&new, &b], &time).await;

        for key in &keys {
            for vm in [&new, &*b] {
                let repeat = vm.send(TestRequest::post("again").key(key)).await;
                assert_eq!(repeat.outcome, "unknown", "{key} at {}", vm.member.vm);
            }
        }
        assert_eq!(total_runs(&server), before);
    });
}

#[test]
fn partition_from_the_owner_heals() {
    // The VM that ran a request is partitioned from the one that gets the repeat. The outcome of
    // the repeat is "unknown" until the partition heals, and then the first response.
    block_on(async {
        let server = backend(3);
        let (a, b, _time, network) = two_vms(plan(&[&server], 3)).await;

        for key in [ticket_of(&a), "own-key".to_owned()] {
            let first = a.send(TestRequest::post("first").key(&key)).await;
            network.cut(&a.member.vm);
            let cut_off = b.send(TestRequest::post("again").key(&key)).await;
            network.heal(&a.member.vm);
            let healed = b.send(TestRequest::post("again").key(&key)).await;

            assert_eq!(first.outcome, "answered");
            assert_eq!(cut_off.outcome, "unknown", "{key}");
            assert_eq!(healed.outcome, "answered", "{key}");
            assert_eq!(healed.body, first.body);
        }
        assert_eq!(total_runs(&server), 2);
    });
}

#[test]
fn store_that_is_down_refuses_keys_but_not_tickets() {
    // While the store is down a caller's own key can't be claimed, so nothing is sent. A request
    // that states it is a repeat must not get "not run", because an earlier attempt may have run
    // at another VM.
    block_on(async {
        let server = backend(3);
        let (vm, _time, network) = one_vm(plan(&[&server], 3)).await;
        network.claims.down.set(true);

        let first = vm.send(TestRequest::post("first").key("k1")).await;
        let again = TestRequest::post("again")
            .key("k1")
            .header("heatherknot-attempt", "2");
        let again = vm.send(again).await;
        let with_ticket = vm
            .send(TestRequest::post("ticket").key(&ticket_of(&vm)))
            .await;

        assert_eq!(first.outcome, "not-run");
        assert_eq!(first.reason, "claim-failed");
        assert!(first.retry_after.is_some());
        assert_eq!(again.outcome, "unknown");
        assert_eq!(with_ticket.outcome, "answered");
        assert_eq!(total_runs(&server), 1);
    });
}

#[test]
fn claim_whose_reply_is_lost_is_still_usable() {
    // A claim takes effect but its reply is lost, and the outcome is "not run". On the repeat the
    // store reports that this daemon holds the claim. Its record shows that the request has not
    // run, so it must run now, also if another VM forwards the repeat.
    block_on(async {
        let server = backend(3);
        let (a, b, _time, network) = two_vms(plan(&[&server], 3)).await;

        for (key, repeat_at) in [("k1", &a), ("k2", &b)] {
            network.claims.lose_reply.set(true);
            let first = a.send(TestRequest::post("first").key(key)).await;
            network.claims.lose_reply.set(false);
            let repeat = repeat_at.send(TestRequest::post("again").key(key)).await;

            assert_eq!(first.outcome, "not-run");
            assert_eq!(repeat.outcome, "answered", "{key}");
        }
        assert_eq!(total_runs(&server), 2);
    });
}

#[test]
fn daemon_paused_past_its_claim_sends_nothing() {
    // A daemon is paused after its claim until the claim expires. Another daemon may since have
    // claimed the key and run the request, so the first one must not send it when it resumes.
    block_on(async {
        let server = backend(1);
        server.change(|s| s.held = true);
        let (vm, time, network) = one_vm(plan(&[&server], 1)).await;
        let running = vm.spawn_send(TestRequest::get("running").deadline(60_000));
        wait_until("one runs", || server.running() == 1).await;
        network
            .claims
            .start_by
            .set(Some(time.clock().now() + Millis(1_000)));
        let waits = vm.spawn_send(TestRequest::post("waits").key("k1").deadline(60_000));
        wait_until("it has its claim", || network.claims.calls.get() == 1).await;

        time.advance(Millis(1_001));
        let paused = waits.await;
        server.change(|s| s.held = false);
        running.await;

        assert_eq!(paused.outcome, "not-run");
        assert_eq!(server.runs_of("waits"), 0);
    });
}

#[test]
fn forged_and_foreign_tickets_are_refused() {
    // A ticket with a wrong tag or for another service must not let a request run.
    block_on(async {
        let server = backend(3);
        let (vm, _time, _network) = one_vm(plan(&[&server], 3)).await;
        let good = ticket_of(&vm);
        let forged = format!("{}AAAA", &good[..good.len() - 4]);
        let foreign = vm.gateway.new_ticket(&ServiceName::from("acme:other"));

        for ticket in [forged, foreign] {
            let answer = vm.send(TestRequest::post("r1").key(&ticket)).await;

            assert_eq!(answer.status, StatusCode::BAD_REQUEST);
            assert_eq!(answer.reason, "bad-ticket");
        }
        assert_eq!(total_runs(&server), 0);
    });
}

#[test]
fn expired_ticket_is_unknown() {
    // A caller repeats a request long after its ticket expired. The record expired with the
    // ticket, so the request must not run as a new one.
    block_on(async {
        let server = backend(3);
        let (vm, time, _network) = one_vm(plan(&[&server], 3)).await;
        let ticket = ticket_of(&vm);
        vm.send(TestRequest::post("first").key(&ticket)).await;

        time.advance(Millis(120_000));
        let late = vm.send(TestRequest::post("late").key(&ticket)).await;

        assert_eq!(late.outcome, "unknown");
        assert_eq!(late.reason, "ticket-expired");
        assert_eq!(total_runs(&server), 1);
    });
}

#[test]
fn key_whose_record_expired_is_unknown() {
    // A caller repeats a request with its own key after the record expired. This daemon still
    // holds the claim in the store, which alone must not permit a run.
    block_on(async {
        let server = backend(3);
        let (a, b, time, _network) = two_vms(plan(&[&server], 3)).await;
        a.send(TestRequest::post("first").key("k1")).await;

        time.advance(Millis(600_001));
        warm_up(&[&a, &b], &time).await;
        let at_a = a.send(TestRequest::post("late").key("k1")).await;
        let at_b = b.send(TestRequest::post("late").key("k1")).await;

        assert_eq!(at_a.outcome, "unknown");
        assert_eq!(at_b.outcome, "unknown");
        assert_eq!(total_runs(&server), 1);
    });
}

#[test]
fn full_record_table_refuses_and_evicts_no_record() {
    // More requests arrive than records are allowed. If an old record were evicted for a new
    // one, a repeat of the old request would run again.
    block_on(async {
        let server = backend(3);
        let settings = GatewaySettings {
            records: RecordLimits {
                records: 2,
                answer_bytes: 600,
            },
            ..GatewaySettings::default()
        };
        let (vm, _time, _network) = one_vm_with(plan(&[&server], 3), settings).await;
        vm.send(TestRequest::post("r1").key("k1")).await;
        vm.send(TestRequest::post("r2").key("k2")).await;

        let third = vm.send(TestRequest::post("r3").key("k3")).await;
        let repeat_of_first = vm.send(TestRequest::post("again").key("k1")).await;
        let repeat_of_second = vm.send(TestRequest::post("again").key("k2")).await;

        assert_eq!(third.outcome, "not-run");
        assert_eq!(third.reason, "memory-full");
        // Only one response fits: the older one was evicted, its record was not.
        assert_eq!(repeat_of_first.reason, "answer-not-kept");
        assert_eq!(repeat_of_second.outcome, "answered");
        assert_eq!(total_runs(&server), 2);
    });
}

#[test]
fn large_response_is_forwarded_and_not_stored() {
    // A response above the limit must reach the caller in full; a repeat must not run again.
    block_on(async {
        let server = backend(3);
        server.change(|s| s.body_len = 1 << 20);
        let (vm, _time, _network) = one_vm(plan(&[&server], 3)).await;

        let first = vm.send(TestRequest::post("r1").key("k1")).await;
        let repeat = vm.send(TestRequest::post("again").key("k1")).await;

        assert_eq!(first.body.len(), 1 << 20);
        assert_eq!(repeat.outcome, "unknown");
        assert_eq!(repeat.reason, "answer-not-kept");
        assert_eq!(total_runs(&server), 1);
    });
}

#[test]
fn alternative_spelling_of_a_path_runs_at_most_once() {
    // A request uses another spelling of a path that the backend server treats as the same. If
    // the spelling were not normalized, the request would be retried as if it were idempotent.
    block_on(async {
        let server = backend(3);
        server.change(|s| s.fault = Fault::ClosesAfterRun);
        let mut plan = plan(&[&server], 3);
        for service in plan.services.values_mut() {
            service.at_most_once = vec!["POST /orders".to_owned()];
        }
        let (vm, _time, _network) = one_vm(plan).await;

        for (i, path) in ["/orders", "//orders", "/%6frders", "/orders/5"]
            .into_iter()
            .enumerate()
        {
            let id = format!("r{i}");
            let ask = TestRequest::new(http::Method::POST, path, &id);
            let answer = vm.send(ask).await;

            assert_ne!(answer.outcome, "answered", "{path}");
            assert!(server.runs_of(&id) <= 1, "{path}");
        }
        assert!(total_runs(&server) > 0);
    });
}
