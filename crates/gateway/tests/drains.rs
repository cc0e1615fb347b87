//! Backend servers that leave, and planned stops of a daemon.

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
    // A backend server begins to leave and says so in its answers. One VM hears it. Within
    // seconds no VM of the failure domain may send it anything new; the home of its slots
    // hears with the slot that is given back, and lends no more.
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
        let told = leaving.runs().len();
        wait_until("the home has heard", || {
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

        assert_eq!(leaving.runs().len(), told);
    });
}

#[test]
fn leaving_by_each_source_stops_new_work() {
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
fn health_answer_of_a_leaving_server_stops_new_work() {
    // A backend server that gets little traffic begins to leave. No answer of its carries the
    // header; only its health answer says so. The home probes it and lends no more slots, so
    // that the other VM, which never probed it, sends it nothing either.
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
        wait_until("the home knows", || !lends(home)).await;
        for i in 0..10 {
            a.send(TestRequest::get(&format!("a{i}"))).await;
            b.send(TestRequest::get(&format!("b{i}"))).await;
        }
        let while_leaving = leaving.runs().len();
        leaving.change(|s| s.draining = false);
        a.gateway.tick();
        b.gateway.tick();
        wait_until("the home knows again", || lends(home)).await;

        assert_eq!(while_leaving, 0);
    });
}

fn metrics_text(vm: &common::Vm) -> String {
    prometheus::TextEncoder::new()
        .encode_to_string(&vm.registry.gather())
        .expect("metrics have a text form")
}

/// Says whether a VM finds a free slot of `u0` at this moment.
fn lends(home: &common::Vm) -> bool {
    let want = SlotRequest {
        class: Class::Interactive,
        waited: Millis(0),
        wait: Millis(0),
        term: Millis(1_000),
    };
    let key = key("u0");
    let taking = home.gateway.slots().acquire(&key, want);
    matches!(taking.now_or_never(), Some(Ok(_)))
}

#[test]
fn list_of_vms_stops_new_work() {
    block_on(async {
        let (leaving, staying) = (backend(3), backend(3));
        let (vm, _time, _network) = one_vm(plan(&[&leaving, &staying], 3)).await;
        let mut whole_vm = leaving.address();
        whole_vm.set_port(0);

        vm.gateway
            .on_leaving_servers(&HashSet::from([leaving.address()]));
        for i in 0..10 {
            assert_eq!(
                vm.send(TestRequest::get(&format!("r{i}"))).await.outcome,
                "answered"
            );
        }
        vm.gateway.on_leaving_servers(&HashSet::from([whole_vm]));
        let all_leave = vm.send(TestRequest::get("none")).await;
        vm.gateway.on_leaving_servers(&HashSet::new());
        let none_leave = vm.send(TestRequest::get("some")).await;

        assert!(leaving.runs_of("r0") == 0 && staying.runs().len() >= 10);
        assert_eq!(all_leave.outcome, "not-run");
        assert_eq!(none_leave.outcome, "answered");
    });
}

#[test]
fn list_of_vms_read_by_one_vm_holds_for_all() {
    // Only some VMs read the platform's list. One that is not the home of an upstream reads that
    // it is leaving; the home must hear of it, or it goes on lending slots to the others.
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
        wait_until("the home knows", || !lends(home)).await;
        for i in 0..10 {
            a.send(TestRequest::get(&format!("a{i}"))).await;
            b.send(TestRequest::get(&format!("b{i}"))).await;
        }

        assert!(leaving.runs().is_empty());
        assert!(a.gateway.reads_vm_list() && b.gateway.reads_vm_list());
    });
}

#[test]
fn server_whose_health_answer_fails_is_left_alone() {
    // A backend server is gone without a word. Before requests fail on it, its probes do.
    block_on(async {
        let (gone, staying) = (backend(3), backend(3));
        let (vm, _time, _network) = one_vm(plan(&[&gone, &staying], 3)).await;
        gone.kill();
        for n in 1..=3 {
            vm.gateway.tick();
            let line = format!(
                "heatherknot_probes_total{{found=\"failed\",service=\"acme:shop\",upstream=\"u0\"}} {n}"
            );
            wait_until("a probe has failed", || metrics_text(&vm).contains(&line)).await;
        }

        for i in 0..20 {
            assert_eq!(
                vm.send(TestRequest::get(&format!("r{i}"))).await.outcome,
                "answered"
            );
        }
        let text = metrics_text(&vm);

        assert!(!text.contains("heatherknot_retries_total{"), "{text}");
    });
}

#[test]
fn drain_in_the_settings_stops_new_work() {
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
fn request_in_flight_at_a_leaving_server_ends() {
    // A backend server begins to leave while it runs a request. The request is not cut.
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
fn mark_of_a_header_ends_by_itself() {
    // A backend server is replaced by another at the same address. Nothing takes the old
    // one's word back, so the mark must end.
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
