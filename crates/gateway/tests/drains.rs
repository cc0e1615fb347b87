//! Draining of backend servers, and planned stops of a daemon.

mod common;

use std::collections::HashSet;
use std::sync::Arc;

use common::{TestRequest, backend, one_vm, plan, two_vms, wait_until};
use futures_util::FutureExt;
use heatherknot_gateway::LeavingSource;
use heatherknot_gateway::slots::{SlotRequest, UpstreamKey};
use heatherknot_test_support::runtime::block_on;
use heatherknot_types::prelude::*;

fn key(upstream: &str) -> UpstreamKey {
    UpstreamKey::new(
        ServiceName::from(common::SERVICE),
        UpstreamName::from(upstream),
    )
}

#[test]
fn leaving_header_stops_new_work_from_every_vm() {
    // Guards against new requests to a leaving server from VMs that have not seen its draining
    // header. Within seconds after one VM has received it, no VM of the failure domain may send new
    // requests: that VM tells the home when it releases the slot, and the home stops lending.
    block_on(async {
        let (leaving, staying) = (backend(3), backend(3));
        let (a, b, _time, _network) = two_vms(plan(&[&leaving, &staying], 3)).await;
        leaving.change(|s| s.draining = true);
        let mut i = 0;
        while leaving.runs().is_empty() {
            a.send(TestRequest::get(&format!("first{i}"))).await;
            i += 1;
        }
        let home = match a.gateway.slots().is_home(&key("u0")) {
            true => &a,
            false => &b,
        };
        let runs_before = leaving.runs().len();
        wait_until("the home stops lending", || {
            home.gateway.slots().lent(&key("u0")) == Some(0)
        })
        .await;

        for i in 0..20 {
            assert_eq!(
                a.send(TestRequest::get(&format!("a{i}"))).await.outcome,
                "answered"
            );
            assert_eq!(
                b.send(TestRequest::get(&format!("b{i}"))).await.outcome,
                "answered"
            );
        }

        assert_eq!(leaving.runs().len(), runs_before);
    });
}

#[test]
fn leaving_by_each_source_stops_new_work() {
    // Guards against a source of leaving marks that is ignored, or whose mark can't be removed.
    for source in [LeavingSource::Health, LeavingSource::VmList] {
        block_on(async {
            let (leaving, staying) = (backend(3), backend(3));
            let (vm, _time, _network) = one_vm(plan(&[&leaving, &staying], 3)).await;

            vm.gateway.set_leaving(&key("u0"), source, true);
            for i in 0..10 {
                vm.send(TestRequest::get(&format!("r{i}"))).await;
            }
            let while_leaving = leaving.runs().len();
            vm.gateway.set_leaving(&key("u0"), source, false);
            for i in 0..20 {
                vm.send(TestRequest::get(&format!("later{i}"))).await;
            }

            assert_eq!(while_leaving, 0, "{source:?}");
            assert!(!leaving.runs().is_empty(), "{source:?}");
        });
    }
}

#[test]
fn health_check_of_a_leaving_server_stops_new_work() {
    // Guards against new requests to a leaving server with too little traffic for any response to
    // carry the draining header; only its health check reports it. The home, which probes the
    // server, stops lending its slots, so the other VM sends no requests either.
    block_on(async {
        let (leaving, staying) = (backend(3), backend(3));
        let (a, b, _time, _network) = two_vms(plan(&[&leaving, &staying], 3)).await;
        let home = match a.gateway.slots().is_home(&key("u0")) {
            true => &a,
            false => &b,
        };
        leaving.change(|s| s.draining = true);

        a.gateway.tick();
        b.gateway.tick();
        wait_until("the home stops lending", || !lends(home)).await;
        for i in 0..10 {
            a.send(TestRequest::get(&format!("a{i}"))).await;
            b.send(TestRequest::get(&format!("b{i}"))).await;
        }
        let while_leaving = leaving.runs().len();
        leaving.change(|s| s.draining = false);
        a.gateway.tick();
        b.gateway.tick();
        wait_until("the home lends again", || lends(home)).await;

        assert_eq!(while_leaving, 0);
    });
}

/// Returns whether the home has a free slot of `u0` to lend now.
fn lends(home: &common::Vm) -> bool {
    let request = SlotRequest {
        class: Class::Interactive,
        waited: Millis(0),
        wait: Millis(0),
        term: Millis(1_000),
    };
    let key = key("u0");
    let acquired = home.gateway.slots().acquire(&key, request);
    matches!(acquired.now_or_never(), Some(Ok(_)))
}

#[test]
fn vm_list_stops_new_work() {
    // Guards against ignoring list entries for a single server (with port) or a whole VM (port
    // zero).
    block_on(async {
        let (leaving, staying) = (backend(3), backend(3));
        let (vm, _time, _network) = one_vm(plan(&[&leaving, &staying], 3)).await;
        let mut any_port = leaving.address();
        any_port.set_port(0);

        vm.gateway
            .on_leaving_servers(&HashSet::from([leaving.address()]));
        for i in 0..10 {
            assert_eq!(
                vm.send(TestRequest::get(&format!("r{i}"))).await.outcome,
                "answered"
            );
        }
        vm.gateway.on_leaving_servers(&HashSet::from([any_port]));
        let all_leave = vm.send(TestRequest::get("none")).await;
        vm.gateway.on_leaving_servers(&HashSet::new());
        let none_leave = vm.send(TestRequest::get("some")).await;

        assert!(leaving.runs_of("r0") == 0 && staying.runs().len() >= 10);
        assert_eq!(all_leave.outcome, "not-run");
        assert_eq!(none_leave.outcome, "answered");
    });
}

#[test]
fn vm_list_read_by_one_vm_applies_to_all() {
    // Only some VMs read the platform's list. If a VM that is not the upstream's home did not
    // report a leaving server to the home, the home would go on lending its slots to other VMs.
    block_on(async {
        let (leaving, staying) = (backend(3), backend(3));
        let (a, b, _time, _network) = two_vms(plan(&[&leaving, &staying], 3)).await;
        let (home, reader) = match a.gateway.slots().is_home(&key("u0")) {
            true => (&a, &b),
            false => (&b, &a),
        };

        reader
            .gateway
            .on_leaving_servers(&HashSet::from([leaving.address()]));
        wait_until("the home stops lending", || !lends(home)).await;
        for i in 0..10 {
            a.send(TestRequest::get(&format!("a{i}"))).await;
            b.send(TestRequest::get(&format!("b{i}"))).await;
        }

        assert!(leaving.runs().is_empty());
        assert!(a.gateway.reads_vm_list() && b.gateway.reads_vm_list());
    });
}

#[test]
fn server_that_fails_health_checks_gets_no_requests() {
    // Guards against requests to a server that died without notice: its health checks fail before
    // any request does.
    block_on(async {
        let (gone, staying) = (backend(3), backend(3));
        let (vm, _time, _network) = one_vm(plan(&[&gone, &staying], 3)).await;
        gone.kill();
        for n in 1..=3 {
            vm.gateway.tick();
            let line = format!(
                "heatherknot_probes_total{{found=\"failed\",service=\"acme:shop\",upstream=\"u0\"}} {n}"
            );
            wait_until("a probe has failed", || vm.metrics_text().contains(&line)).await;
        }

        for i in 0..20 {
            assert_eq!(
                vm.send(TestRequest::get(&format!("r{i}"))).await.outcome,
                "answered"
            );
        }
        let text = vm.metrics_text();

        assert!(!text.contains("heatherknot_retries_total{"), "{text}");
    });
}

#[test]
fn drain_in_the_settings_stops_new_work() {
    // Guards against new requests to a server that an operator drains in the settings.
    block_on(async {
        let (leaving, staying) = (backend(3), backend(3));
        let settings = plan(&[&leaving, &staying], 3);
        let (vm, _time, _network) = one_vm(settings.clone()).await;
        let mut drained = settings;
        drained.revision = Revision(2);
        for service in drained.services.values_mut() {
            service.upstreams[0].draining = true;
        }

        vm.gateway.on_plan(Arc::new(drained));
        for i in 0..10 {
            assert_eq!(
                vm.send(TestRequest::get(&format!("r{i}"))).await.outcome,
                "answered"
            );
        }

        assert!(leaving.runs().is_empty());
    });
}

#[test]
fn request_in_flight_at_a_leaving_server_completes() {
    // Guards against cutting off the requests that a server runs when it begins to leave.
    block_on(async {
        let server = backend(3);
        server.change(|s| s.held = true);
        let (vm, _time, _network) = one_vm(plan(&[&server], 3)).await;
        let running = vm.spawn_send(TestRequest::post("running"));
        wait_until("it runs", || server.running() == 1).await;

        vm.gateway
            .set_leaving(&key("u0"), LeavingSource::VmList, true);
        let refused = vm.send(TestRequest::get("new")).await;
        server.change(|s| s.held = false);

        assert_eq!(running.await.outcome, "answered");
        assert_eq!(refused.outcome, "not-run");
        assert_eq!(refused.reason, "no-upstream");
    });
}

#[test]
fn leaving_mark_from_a_header_expires() {
    // A leaving server may be replaced by another at the same address. Nothing revokes the mark of
    // the old one, so without an expiry the new one would never receive requests.
    block_on(async {
        let server = backend(3);
        server.change(|s| s.draining = true);
        let (vm, time, _network) = one_vm(plan(&[&server], 3)).await;
        vm.send(TestRequest::get("last")).await;
        server.change(|s| s.draining = false);

        let while_marked = vm.send(TestRequest::get("r1")).await;
        time.advance(Millis(30_001));
        vm.gateway.tick();
        let after = vm.send(TestRequest::get("r2")).await;

        assert_eq!(while_marked.outcome, "not-run");
        assert_eq!(after.outcome, "answered");
    });
}

#[test]
fn planned_stop_waits_for_requests_in_flight() {
    // Guards against a planned stop that cuts off running requests.
    block_on(async {
        let server = backend(3);
        server.change(|s| s.held = true);
        let (vm, time, _network) = one_vm(plan(&[&server], 3)).await;
        let running = vm.spawn_send(TestRequest::post("running"));
        wait_until("it runs", || server.running() == 1).await;

        vm.stop.fire();
        let gateway = std::rc::Rc::clone(&vm.gateway);
        let draining = monoio::spawn(async move { gateway.wait_idle(Millis(5_000)).await });
        common::run_tasks().await;
        time.advance(Millis(1_500));
        server.change(|s| s.held = false);
        let report = draining.await;

        assert_eq!(running.await.outcome, "answered");
        assert_eq!(report.remaining, 0);
        assert_eq!(report.took, Millis(1_500));
    });
}

#[test]
fn planned_stop_is_bounded() {
    // Guards against a planned stop that waits forever for a request that does not end.
    block_on(async {
        let server = backend(3);
        server.change(|s| s.held = true);
        let (vm, time, _network) = one_vm(plan(&[&server], 3)).await;
        let _running = vm.spawn_send(TestRequest::post("running"));
        wait_until("it runs", || server.running() == 1).await;

        let gateway = std::rc::Rc::clone(&vm.gateway);
        let draining = monoio::spawn(async move { gateway.wait_idle(Millis(5_000)).await });
        common::run_tasks().await;
        time.advance(Millis(5_000));
        let report = draining.await;

        assert_eq!(report.remaining, 1);
        assert_eq!(report.took, Millis(5_000));
    });
}
