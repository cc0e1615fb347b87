//! Calls between daemons on loopback.

mod support;

use std::cell::Cell;
use std::rc::Rc;

use heatherknot_peer::{
    CallOptions, Cause, Handled, MethodTable, PeerContext, PeerNet, Step, not_run,
};
use heatherknot_types::prelude::*;
use support::{Network, Path, TestTime, context, introduce, let_sockets_progress, run, start};

const TIMEOUT: Millis = Millis(5_000);

/// A daemon whose methods count how often they ran.
struct Callee {
    net: PeerNet,
    run_count: Rc<Cell<u32>>,
}

fn callee(time: &TestTime) -> Callee {
    let run_count = Rc::new(Cell::new(0));
    let mut cx = context("callee", "a", time);
    cx.methods = methods(&run_count, time);
    Callee {
        net: start(cx),
        run_count,
    }
}

fn methods(run_count: &Rc<Cell<u32>>, time: &TestTime) -> MethodTable {
    let mut table = MethodTable::default();
    let counter = Rc::clone(run_count);
    table.register("add", move |_, (a, b): (u64, u64)| {
        counter.set(counter.get() + 1);
        async move { Ok(a + b) }
    });
    table.register("who", |caller, ()| async move { Ok(caller.vm) });
    table.register("refuse", |_, ()| async move {
        Err::<(), _>(not_run("no slot is free"))
    });
    let timer = time.timer();
    table.register("hang", move |_, ()| {
        let timer = timer.clone();
        async move {
            timer.wait(Millis(u64::MAX / 2)).await;
            Ok(())
        }
    });
    table.register("blob", |_, len: usize| async move { Ok("x".repeat(len)) });
    table
}

fn caller(time: &TestTime, callee: &PeerNet, adjust: impl FnOnce(&mut PeerContext)) -> PeerNet {
    let mut cx = context("caller", "a", time);
    adjust(&mut cx);
    let net = start(cx);
    introduce(&net, callee);
    net
}

#[test]
fn a_call_gets_its_answer_and_the_callee_learns_the_caller() {
    run(async {
        let time = TestTime::default();
        let callee = callee(&time);
        let net = caller(&time, &callee.net, |_| {});
        let vm = callee.net.me().vm;

        let sum: u64 = net.call(&vm, "add", &(2, 3), TIMEOUT).await.expect("a sum");
        let name: VmName = net.call(&vm, "who", &(), TIMEOUT).await.expect("a name");

        assert_eq!(sum, 5);
        assert_eq!(name, VmName::from("caller"));
        assert_eq!(
            callee.net.identity_of(&name).expect("learned").address,
            net.me().address
        );
    });
}

#[test]
fn many_calls_at_once_each_get_their_own_answer() {
    run(async {
        let time = TestTime::default();
        let callee = callee(&time);
        let net = caller(&time, &callee.net, |_| {});
        let vm = callee.net.me().vm;

        let calls = (0..100_u64).map(|n| {
            let (net, vm) = (net.clone(), vm.clone());
            async move { net.call::<_, u64>(&vm, "add", &(n, 1_000), TIMEOUT).await }
        });
        let sums = futures_util::future::join_all(calls).await;

        for (n, sum) in sums.into_iter().enumerate() {
            assert_eq!(sum.expect("a sum"), n as u64 + 1_000);
        }
        assert_eq!(net.connections().0, 1);
    });
}

#[test]
fn a_notification_runs_the_method() {
    run(async {
        let time = TestTime::default();
        let callee = callee(&time);
        let net = caller(&time, &callee.net, |_| {});

        net.notify(&callee.net.me().vm, "add", &(1, 1))
            .expect("queued");

        time.wait_until("the method ran", || callee.run_count.get() == 1)
            .await;
    });
}

#[test]
fn errors_state_the_step_the_peer_and_whether_the_call_ran() {
    run(async {
        let time = TestTime::default();
        let callee = callee(&time);
        let net = caller(&time, &callee.net, |_| {});
        let vm = callee.net.me().vm;

        let unknown = net
            .call::<_, ()>(&"nobody".into(), "add", &(), TIMEOUT)
            .await;
        let refused = net.call::<_, ()>(&vm, "refuse", &(), TIMEOUT).await;
        let missing = net.call::<_, ()>(&vm, "no-such-method", &(), TIMEOUT).await;
        let unanswered = {
            let (net, vm) = (net.clone(), vm.clone());
            time.drive(async move { net.call::<_, ()>(&vm, "hang", &(), TIMEOUT).await })
                .await
        };

        let unknown = unknown.expect_err("no address");
        assert_eq!(
            (unknown.step, unknown.handled),
            (Step::Resolve, Handled::No)
        );
        assert_eq!(unknown.peer, "nobody");
        let refused = refused.expect_err("refused");
        assert_eq!((refused.step, refused.handled), (Step::Answer, Handled::No));
        assert_eq!(refused.peer, "callee");
        assert_eq!(missing.expect_err("no method").handled, Handled::Yes);
        let unanswered = unanswered.expect_err("no answer");
        assert_eq!(unanswered.handled, Handled::Maybe);
        assert_eq!(unanswered.source, Cause::Timeout { timeout: TIMEOUT });
    });
}

#[test]
fn an_oversized_call_is_refused_before_it_is_sent_and_the_connection_stays() {
    run(async {
        let time = TestTime::default();
        let callee = callee(&time);
        let net = caller(&time, &callee.net, |cx| cx.options.max_message = 4_096);
        let vm = callee.net.me().vm;

        let oversized = net
            .call::<_, ()>(&vm, "add", &"x".repeat(5_000), TIMEOUT)
            .await;
        let sum: u64 = net.call(&vm, "add", &(1, 1), TIMEOUT).await.expect("a sum");

        let oversized = oversized.expect_err("too large");
        assert_eq!(
            (oversized.step, oversized.handled),
            (Step::Send, Handled::No)
        );
        assert_eq!(sum, 2);
    });
}

#[test]
fn an_oversized_answer_ends_the_connection_and_the_call_may_have_run() {
    run(async {
        let time = TestTime::default();
        let callee = callee(&time);
        let net = caller(&time, &callee.net, |cx| cx.options.max_message = 4_096);
        let vm = callee.net.me().vm;

        let oversized = net.call::<_, String>(&vm, "blob", &5_000, TIMEOUT).await;
        let sum: u64 = net
            .call(&vm, "add", &(1, 1), TIMEOUT)
            .await
            .expect("a new connection");

        assert_eq!(oversized.expect_err("too large").handled, Handled::Maybe);
        assert_eq!(sum, 2);
    });
}

#[test]
fn a_call_for_another_incarnation_does_not_run() {
    run(async {
        let time = TestTime::default();
        let callee = callee(&time);
        let net = caller(&time, &callee.net, |_| {});
        let vm = callee.net.me().vm;
        let opts = CallOptions {
            incarnation: Some(Incarnation(7)),
            ..CallOptions::once(TIMEOUT)
        };

        let refused = net.call_with::<_, u64>(&vm, "add", &(1, 1), opts).await;

        let refused = refused.expect_err("another incarnation");
        assert_eq!(refused.handled, Handled::No);
        assert!(matches!(refused.source, Cause::WrongIncarnation { .. }));
        assert_eq!(callee.run_count.get(), 0);
    });
}

/// Guards against calls that fail after a NAT or firewall drops the state of an idle connection.
/// The heartbeat sent with the call gets no response, so the connection is replaced and the
/// idempotent call is answered on the new one.
#[test]
fn an_idempotent_call_is_retried_after_its_connection_goes_silent() {
    run(async {
        let time = TestTime::default();
        let network = Network::default();
        let callee = callee(&time);
        let net = caller(&time, &callee.net, |cx| cx.dial = network.dial("caller"));
        let vm = callee.net.me().vm;
        let _: u64 = net
            .call(&vm, "add", &(1, 1), TIMEOUT)
            .await
            .expect("the path is open");
        time.advance(30_000);
        network.set_path("caller", callee.net.me().address, Path::CutExisting);

        let sum = time
            .drive(async move {
                let opts = CallOptions::idempotent(TIMEOUT);
                net.call_with::<_, u64>(&vm, "add", &(2, 2), opts).await
            })
            .await;

        assert_eq!(sum.expect("answered on a new connection"), 4);
    });
}

/// Guards against running a call twice that must run at most once. After its connection goes silent
/// the call fails before its own timeout, with the information that it may have run, and the next
/// call uses a new connection.
#[test]
fn a_non_idempotent_call_is_not_retried_after_its_connection_goes_silent() {
    run(async {
        let time = TestTime::default();
        let network = Network::default();
        let callee = callee(&time);
        let net = caller(&time, &callee.net, |cx| cx.dial = network.dial("caller"));
        let vm = callee.net.me().vm;
        let _: u64 = net
            .call(&vm, "add", &(1, 1), TIMEOUT)
            .await
            .expect("the path is open");
        time.advance(30_000);
        network.set_path("caller", callee.net.me().address, Path::CutExisting);

        let (first, second) = time
            .drive(async move {
                let first = net.call::<_, u64>(&vm, "add", &(2, 2), TIMEOUT).await;
                (
                    first,
                    net.call::<_, u64>(&vm, "add", &(3, 3), TIMEOUT).await,
                )
            })
            .await;

        let first = first.expect_err("the answer is lost");
        assert_eq!(first.handled, Handled::Maybe);
        assert!(matches!(first.source, Cause::Silent { .. }));
        assert_eq!(second.expect("a new connection"), 6);
        assert_eq!(callee.run_count.get(), 2);
    });
}

/// Guards against a peer that cannot be reached delaying calls to other peers: all bytes to it are
/// dropped, and a call to another peer must be answered without any time passing.
#[test]
fn a_hanging_peer_does_not_delay_calls_to_others() {
    run(async {
        let time = TestTime::default();
        let network = Network::default();
        let callee = callee(&time);
        let hanging = start(context("hanging", "a", &time));
        let net = caller(&time, &callee.net, |cx| cx.dial = network.dial("caller"));
        introduce(&net, &hanging);
        network.set_path("caller", hanging.me().address, Path::Cut);
        let (other, vm) = (net.clone(), hanging.me().vm);
        let pending = monoio::spawn(async move {
            let opts = CallOptions::idempotent(TIMEOUT);
            other.call_with::<_, u64>(&vm, "add", &(1, 1), opts).await
        });
        let_sockets_progress().await;

        let before = time.now();
        let sum: u64 = net
            .call(&callee.net.me().vm, "add", &(1, 1), TIMEOUT)
            .await
            .expect("the other peer answers");

        assert_eq!((sum, time.now()), (2, before));
        let pending = time.drive(pending).await.expect_err("the peer hangs");
        assert_eq!(pending.handled, Handled::No);
    });
}
