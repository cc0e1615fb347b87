//! Allocation of upstream slots among the VMs of a failure domain.

mod common;

use std::rc::Rc;
use std::sync::Arc;

use common::network::FakeNetwork;
use common::{
    TestRequest, Vm, backend, members, plan, run_tasks, time::ManualTime, two_vms, wait_until,
    warm_up,
};
use heatherknot_gateway::slots::{AcquireError, Member, Slot, SlotRequest, UpstreamKey};
use heatherknot_http::Flag;
use heatherknot_test_support::runtime::block_on;
use heatherknot_types::prelude::*;

fn key(upstream: &str) -> UpstreamKey {
    UpstreamKey::new(
        ServiceName::from(common::SERVICE),
        UpstreamName::from(upstream),
    )
}

fn slot_request(class: Class, wait: u64, term: u64) -> SlotRequest {
    SlotRequest {
        class,
        waited: Millis(0),
        wait: Millis(wait),
        term: Millis(term),
    }
}

fn if_free_now() -> SlotRequest {
    slot_request(Class::Interactive, 0, 10_000)
}

async fn acquire(vm: &Vm, req: SlotRequest) -> Result<Slot, AcquireError> {
    vm.gateway.slots().acquire(&key("u0"), req).await
}

/// Returns the two VMs, the home of `u0` first.
fn home_and_other(a: Rc<Vm>, b: Rc<Vm>) -> (Rc<Vm>, Rc<Vm>) {
    match a.gateway.slots().is_home(&key("u0")) {
        true => (a, b),
        false => (b, a),
    }
}

#[test]
fn two_vms_together_keep_the_slot_limit() {
    // Requests through two VMs must not exceed the slots of an upstream in total.
    block_on(async {
        let server = backend(3);
        server.change(|b| b.held = true);
        let (a, b, _time, _network) = two_vms(plan(&[&server], 3)).await;
        let mut requests = Vec::new();

        for i in 0..10 {
            requests.push(a.spawn_send(TestRequest::get(&format!("a{i}"))));
            requests.push(b.spawn_send(TestRequest::get(&format!("b{i}"))));
        }
        wait_until("three run", || server.running() == 3).await;
        server.change(|b| b.held = false);
        let mut answered = 0;
        for request in requests {
            answered += usize::from(request.await.outcome == "answered");
        }

        assert_eq!(answered, 20);
        assert_eq!(server.most_running(), 3);
        assert!(server.runs().values().all(|runs| *runs == 1));
    });
}

#[test]
fn loan_of_a_dead_vm_is_reclaimed() {
    // A VM borrows the only slot of an upstream and dies. Without reclaiming, the upstream stays
    // busy forever. The home reclaims the slot after the term and the margin, and not before,
    // because the request may run until its term ends.
    block_on(async {
        let server = backend(1);
        let (a, b, time, network) = two_vms(plan(&[&server], 1)).await;
        let (home, other) = home_and_other(a, b);
        network.lose_release_messages.set(true);

        let lent = acquire(&other, slot_request(Class::Interactive, 0, 5_000));
        drop(lent.await.expect("a slot"));
        run_tasks().await;
        let at_once = acquire(&home, if_free_now()).await;
        time.advance(Millis(5_500));
        let before_margin = acquire(&home, if_free_now()).await;
        time.advance(Millis(600));
        let after_margin = acquire(&home, if_free_now()).await;

        assert!(matches!(at_once, Err(AcquireError::Busy { .. })));
        assert!(matches!(before_margin, Err(AcquireError::Busy { .. })));
        assert!(after_margin.is_ok());
    });
}

#[test]
fn waiter_gets_reclaimed_slot() {
    // The borrower of the last slot dies while a request waits for it at the home. No release
    // message arrives, so the waiter must wake at the reclaim time.
    block_on(async {
        let server = backend(1);
        let (a, b, time, network) = two_vms(plan(&[&server], 1)).await;
        let (home, other) = home_and_other(a, b);
        network.lose_release_messages.set(true);
        let lent = acquire(&other, slot_request(Class::Interactive, 0, 2_000));
        drop(lent.await.expect("a slot"));
        let vm = Rc::clone(&home);

        let waiting = monoio::spawn(async move {
            acquire(&vm, slot_request(Class::Interactive, 9_000, 9_000))
                .await
                .is_ok()
        });
        run_tasks().await;
        time.advance(Millis(3_100));

        assert!(waiting.await);
    });
}

#[test]
fn loan_whose_reply_is_lost_is_released() {
    // The home lends a slot, its reply is lost, and the caller disconnects. The borrower doesn't
    // know of the loan, but must release the loan ID that it requested.
    block_on(async {
        let server = backend(1);
        let (a, b, _time, network) = two_vms(plan(&[&server], 1)).await;
        let (home, other) = home_and_other(a, b);
        network.lose_acquire_replies.set(true);
        let vm = Rc::clone(&other);

        let pending = monoio::spawn(async move {
            let acquire = std::pin::pin!(acquire(&vm, if_free_now()));
            let leaving = std::pin::pin!(run_tasks());
            futures_util::future::select(acquire, leaving).await;
        });
        wait_until("the slot is lent", || {
            home.gateway.slots().lent(&key("u0")) == Some(1)
        })
        .await;
        pending.await;
        wait_until("the slot is back", || {
            home.gateway.slots().lent(&key("u0")) == Some(0)
        })
        .await;

        assert!(acquire(&home, if_free_now()).await.is_ok());
    });
}

#[test]
fn new_home_waits_for_unreachable_vm() {
    // The home is partitioned from its peers with requests in flight, and a ledger change makes
    // another VM the home. The new home must not lend the slots, because the old one still does.
    // They are lent again only after the ledger no longer lists the old home and its requests
    // have had time to end.
    block_on(async {
        let server = backend(2);
        let (a, b, time, network) = two_vms(plan(&[&server], 2)).await;
        let (old, other) = home_and_other(a, b);
        let _in_flight = acquire(&old, if_free_now()).await.expect("a slot");
        network.cut(&old.member.vm);

        let listed = [&old.member, &other.member];
        let new = start_joining_home(&listed, &time, &network);
        let three = members(2, &[&old.member, &other.member, &new.member]);
        new.configure(&Arc::new(plan(&[&server], 2)), &three, &time);
        warm_up(&[&new], &time).await;
        let while_cut = acquire(&new, if_free_now()).await;
        new.gateway
            .on_members(members(3, &[&other.member, &new.member]));
        run_tasks().await;
        let just_gone = acquire(&new, if_free_now()).await;
        time.advance(Millis(2_000));
        let later = acquire(&new, if_free_now()).await;

        assert!(matches!(while_cut, Err(AcquireError::NoHome { .. })));
        assert!(
            matches!(just_gone, Err(AcquireError::Busy { .. })),
            "{just_gone:?}"
        );
        assert!(later.is_ok());
    });
}

#[test]
fn loans_of_a_removed_vm_move_to_the_new_home() {
    // A borrower is removed from the ledger while its request still runs at the backend server,
    // and the same change makes another VM the home. No listed VM uses the slot, so the old home
    // must report it to the new one.
    block_on(async {
        let server = backend(1);
        let (a, b, time, network) = two_vms(plan(&[&server], 1)).await;
        let (old, other) = home_and_other(a, b);
        network.lose_release_messages.set(true);
        let lent = acquire(&other, slot_request(Class::Interactive, 0, 5_000)).await;
        drop(lent.expect("a slot"));

        let new = start_joining_home(&[&old.member], &time, &network);
        let two = members(2, &[&old.member, &new.member]);
        new.configure(&Arc::new(plan(&[&server], 1)), &two, &time);
        wait_until("the home has moved", || {
            new.gateway.slots().is_home(&key("u0"))
        })
        .await;
        let at_once = acquire(&new, if_free_now()).await;
        time.advance(Millis(7_500));
        let after_term = acquire(&new, if_free_now()).await;

        assert!(matches!(at_once, Err(AcquireError::Busy { .. })));
        assert!(after_term.is_ok());
    });
}

#[test]
fn new_home_counts_loans_of_other_vms() {
    // A VM joins and becomes the home of an upstream whose slots are in use. If it started to
    // count at zero, more requests than slots would run.
    block_on(async {
        let time = ManualTime::new();
        let network = FakeNetwork::new();
        let a = Vm::start("vm-a", 1, &time, &network);
        let joins = start_joining_home(&[&a.member], &time, &network);
        let server = backend(2);
        let plan = Arc::new(plan(&[&server], 2));
        a.configure(&plan, &members(1, &[&a.member]), &time);
        warm_up(&[&a], &time).await;
        let first = acquire(&a, if_free_now()).await.expect("a slot");
        let _second = acquire(&a, if_free_now()).await.expect("a slot");

        let both = members(2, &[&a.member, &joins.member]);
        joins.configure(&plan, &both, &time);
        wait_until("the home has moved", || {
            joins.gateway.slots().is_home(&key("u0"))
        })
        .await;
        let full = acquire(&joins, if_free_now()).await;
        drop(first);
        run_tasks().await;
        let free = acquire(&joins, if_free_now()).await;

        assert!(!a.gateway.slots().is_home(&key("u0")));
        assert!(matches!(full, Err(AcquireError::Busy { .. })));
        assert!(free.is_ok());
    });
}

/// Starts a VM that becomes the home of `u0` when it joins the listed ones.
fn start_joining_home(listed: &[&Member], time: &ManualTime, network: &Rc<FakeNetwork>) -> Vm {
    const INCARNATION: u64 = 3;
    let wins = |joining: &Member| {
        let mut all = members(2, listed);
        all.list.push(joining.clone());
        all.home_of(&key("u0")) == Some(joining)
    };
    let joining = (0..100)
        .map(|i| common::member(&format!("vm-{i}"), INCARNATION))
        .find(wins)
        .expect("a VM that wins");
    Vm::start(joining.vm.as_str(), INCARNATION, time, network)
}

#[test]
fn late_loan_of_the_old_home_is_not_used() {
    // The reply of the old home is in transit when the borrower reports to the new home that it
    // uses no slot. If the borrower then used the late loan, the slot would be lent twice.
    block_on(async {
        let server = backend(1);
        let (a, b, time, network) = two_vms(plan(&[&server], 1)).await;
        let (old, other) = home_and_other(a, b);
        let in_transit = Flag::new();
        *network.hold_acquire_replies.borrow_mut() = Some(in_transit.clone());
        let vm = Rc::clone(&other);
        let pending = monoio::spawn(async move { acquire(&vm, if_free_now()).await });
        let lent = || old.gateway.slots().lent(&key("u0")) == Some(1);
        wait_until("the slot is lent", lent).await;

        let new = start_joining_home(&[&old.member, &other.member], &time, &network);
        let all = members(2, &[&old.member, &other.member, &new.member]);
        new.configure(&Arc::new(plan(&[&server], 1)), &all, &time);
        wait_until("the home has moved", || {
            new.gateway.slots().is_home(&key("u0"))
        })
        .await;
        let fresh = acquire(&new, if_free_now()).await;
        in_transit.fire();
        let late = pending.await;

        assert!(fresh.is_ok(), "{fresh:?}");
        assert!(late.is_err(), "{late:?}");
    });
}

#[test]
fn bulk_leaves_the_last_slot_to_interactive() {
    // Bulk requests must not occupy the last slot, so that an interactive request finds one.
    block_on(async {
        let server = backend(3);
        let (a, b, _time, _network) = two_vms(plan(&[&server], 3)).await;
        let (home, other) = home_and_other(a, b);
        let bulk = slot_request(Class::Bulk, 0, 10_000);

        let _first = acquire(&home, bulk).await.expect("a slot");
        let _second = acquire(&other, bulk).await.expect("a slot");
        let third = acquire(&other, bulk).await;
        let interactive = acquire(&other, if_free_now()).await;

        assert!(matches!(third, Err(AcquireError::Busy { .. })));
        assert!(interactive.is_ok());
    });
}

#[test]
fn interactive_precedes_bulk_that_waited_longer() {
    // A waiting bulk request must not delay an interactive one that arrives later.
    block_on(async {
        let server = backend(1);
        let (a, b, _time, _network) = two_vms(plan(&[&server], 1)).await;
        let (home, other) = home_and_other(a, b);
        let taken = acquire(&home, if_free_now()).await.expect("a slot");
        let order = Rc::new(std::cell::RefCell::new(Vec::new()));
        let mut waiting = Vec::new();
        for (vm, class) in [(&home, Class::Bulk), (&other, Class::Interactive)] {
            let vm = Rc::clone(vm);
            let order = Rc::clone(&order);
            waiting.push(monoio::spawn(async move {
                let slot = acquire(&vm, slot_request(class, 9_000, 9_000)).await;
                order.borrow_mut().push(class);
                drop(slot.expect("a slot"));
            }));
            run_tasks().await;
        }

        drop(taken);
        for task in waiting {
            task.await;
        }

        assert_eq!(*order.borrow(), [Class::Interactive, Class::Bulk]);
    });
}

#[test]
fn leaving_upstream_rejects_waiters() {
    // Requests wait for a slot of a backend server that then starts to leave. Unless they are
    // rejected they keep waiting, and one of them gets the slot that becomes free.
    block_on(async {
        let server = backend(1);
        let (a, b, _time, _network) = two_vms(plan(&[&server], 1)).await;
        let (home, other) = home_and_other(a, b);
        let taken = acquire(&home, if_free_now()).await.expect("a slot");
        let vm = Rc::clone(&other);
        let waiting = monoio::spawn(async move {
            acquire(&vm, slot_request(Class::Interactive, 9_000, 9_000)).await
        });
        run_tasks().await;

        taken.mark_leaving();
        drop(taken);
        let rejected = waiting.await;
        let second_attempt = acquire(&other, if_free_now()).await;

        assert!(rejected.is_err());
        assert!(matches!(second_attempt, Err(AcquireError::Leaving { .. })));
    });
}

#[test]
fn home_that_missed_a_change_adopts_again() {
    // One VM agrees to a third VM as the home, while the old home is partitioned and misses the
    // change. The third VM is then removed, and the old home is the home again. The first VM
    // would reject its loans forever, so the old home must notice the difference and adopt the
    // upstream again.
    block_on(async {
        let server = backend(2);
        let (a, b, time, network) = two_vms(plan(&[&server], 2)).await;
        let (old, other) = home_and_other(a, b);
        let third = start_joining_home(&[&old.member, &other.member], &time, &network);
        network.cut(&old.member.vm);
        let all = members(2, &[&old.member, &other.member, &third.member]);
        third.configure(&Arc::new(plan(&[&server], 2)), &all, &time);
        warm_up(&[&third], &time).await;
        network.cut(&third.member.vm);
        network.heal(&old.member.vm);
        let back = members(3, &[&old.member, &other.member]);
        other.gateway.on_members(back.clone());
        old.gateway.on_members(back);

        let first = acquire(&other, if_free_now()).await;
        warm_up(&[&old, &other], &time).await;
        let second = acquire(&other, if_free_now()).await;

        assert!(first.is_err());
        assert!(second.is_ok(), "{second:?}");
    });
}

#[test]
fn unresponsive_home_delays_only_one_request() {
    // Messages to the home are dropped. The first request waits for the timeout of a call. If
    // each of the next did so too, every response would be delayed by it although another
    // upstream of the place has free slots.
    block_on(async {
        let server = backend(2);
        let (a, b, time, network) = two_vms(plan(&[&server], 2)).await;
        let (home, other) = home_and_other(a, b);
        network
            .unresponsive
            .borrow_mut()
            .insert(home.member.vm.clone());

        let vm = Rc::clone(&other);
        let first = monoio::spawn(async move { acquire(&vm, if_free_now()).await });
        run_tasks().await;
        time.advance(Millis(200));
        let first = first.await;
        let second = acquire(&other, if_free_now()).await;
        network.unresponsive.borrow_mut().clear();
        time.advance(Millis(1_000));
        let later = acquire(&other, if_free_now()).await;

        assert!(matches!(first, Err(AcquireError::Unreachable { .. })));
        assert!(matches!(second, Err(AcquireError::Unreachable { .. })));
        assert!(later.is_ok(), "{later:?}");
    });
}

#[test]
fn two_vms_together_keep_the_connection_limit() {
    // If each VM opened as many connections as the upstream accepts, the upstream would refuse
    // some of both.
    block_on(async {
        let server = backend(4);
        server.change(|b| b.held = true);
        let mut settings = plan(&[&server], 4);
        for service in settings.services.values_mut() {
            service.upstreams[0].connections = 4;
        }
        let (a, b, _time, _network) = two_vms(settings).await;
        let mut requests = Vec::new();

        for i in 0..6 {
            requests.push(a.spawn_send(TestRequest::get(&format!("a{i}"))));
            requests.push(b.spawn_send(TestRequest::get(&format!("b{i}"))));
        }
        wait_until("four run", || server.running() >= 4).await;
        let most = server.connections();
        server.change(|b| b.held = false);
        for request in requests {
            let answer = request.await;
            assert_ne!(answer.outcome, "unknown");
            assert!(
                answer.outcome == "answered" || answer.reason == "no-room",
                "{answer:?}"
            );
        }

        assert!(most <= 4, "{most} connections");
        assert!(server.accepted() <= 4);
    });
}
