//! Slots of upstreams, shared by the VMs of a failure domain.

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

fn want(class: Class, wait: u64, term: u64) -> SlotRequest {
    SlotRequest {
        class,
        waited: Millis(0),
        wait: Millis(wait),
        term: Millis(term),
    }
}

fn now_free() -> SlotRequest {
    want(Class::Interactive, 0, 10_000)
}

async fn take(vm: &Vm, want: SlotRequest) -> Result<Slot, AcquireError> {
    vm.gateway.slots().acquire(&key("u0"), want).await
}

/// Gives the two VMs with the home of `u0` first.
fn home_first(a: Rc<Vm>, b: Rc<Vm>) -> (Rc<Vm>, Rc<Vm>) {
    match a.gateway.slots().is_home(&key("u0")) {
        true => (a, b),
        false => (b, a),
    }
}

#[test]
fn slots_hold_over_two_vms_together() {
    block_on(async {
        let server = backend(3);
        server.change(|b| b.held = true);
        let (a, b, _time, _network) = two_vms(plan(&[&server], 3)).await;
        let mut asks = Vec::new();

        for i in 0..10 {
            asks.push(a.spawn_send(TestRequest::get(&format!("a{i}"))));
            asks.push(b.spawn_send(TestRequest::get(&format!("b{i}"))));
        }
        wait_until("three run", || server.running() == 3).await;
        server.change(|b| b.held = false);
        let mut answered = 0;
        for ask in asks {
            answered += usize::from(ask.await.outcome == "answered");
        }

        assert_eq!(answered, 20);
        assert_eq!(server.most_running(), 3);
        assert!(server.runs().values().all(|runs| *runs == 1));
    });
}

#[test]
fn borrowed_slot_comes_back_when_its_vm_dies() {
    // A VM borrows the only slot of an upstream and dies with it. Callers of the other VM find
    // the upstream busy for good, although nothing runs there. The home takes the slot back
    // once the request's term and a margin have passed, and not before: the request may run
    // until its term ends.
    block_on(async {
        let server = backend(1);
        let (a, b, time, network) = two_vms(plan(&[&server], 1)).await;
        let (home, other) = home_first(a, b);
        network.lose_release_messages.set(true);

        let lent = take(&other, want(Class::Interactive, 0, 5_000));
        drop(lent.await.expect("a slot"));
        run_tasks().await;
        let at_once = take(&home, now_free()).await;
        time.advance(Millis(5_500));
        let before_margin = take(&home, now_free()).await;
        time.advance(Millis(600));
        let after_margin = take(&home, now_free()).await;

        assert!(matches!(at_once, Err(AcquireError::Busy { .. })));
        assert!(matches!(before_margin, Err(AcquireError::Busy { .. })));
        assert!(after_margin.is_ok());
    });
}

#[test]
fn waiter_gets_slot_that_is_reclaimed() {
    // The borrower of the last slot dies while a request waits for it at the home. No message
    // ever frees the slot, so only time can wake the request.
    block_on(async {
        let server = backend(1);
        let (a, b, time, network) = two_vms(plan(&[&server], 1)).await;
        let (home, other) = home_first(a, b);
        network.lose_release_messages.set(true);
        let lent = take(&other, want(Class::Interactive, 0, 2_000));
        drop(lent.await.expect("a slot"));
        let vm = Rc::clone(&home);

        let waiting = monoio::spawn(async move {
            take(&vm, want(Class::Interactive, 9_000, 9_000))
                .await
                .is_ok()
        });
        run_tasks().await;
        time.advance(Millis(3_100));

        assert!(waiting.await);
    });
}

#[test]
fn lent_slot_whose_answer_is_lost_comes_back() {
    // A VM asks for a slot, the home lends it, and the answer is lost. The caller leaves; its
    // VM never knew of the slot. It gives back the name that it asked under.
    block_on(async {
        let server = backend(1);
        let (a, b, _time, network) = two_vms(plan(&[&server], 1)).await;
        let (home, other) = home_first(a, b);
        network.lose_acquire_replies.set(true);
        let vm = Rc::clone(&other);

        let asking = monoio::spawn(async move {
            let take = std::pin::pin!(take(&vm, now_free()));
            let leaving = std::pin::pin!(run_tasks());
            futures_util::future::select(take, leaving).await;
        });
        wait_until("the slot is lent", || {
            home.gateway.slots().lent(&key("u0")) == Some(1)
        })
        .await;
        asking.await;
        wait_until("the slot is back", || {
            home.gateway.slots().lent(&key("u0")) == Some(0)
        })
        .await;

        assert!(take(&home, now_free()).await.is_ok());
    });
}

#[test]
fn new_home_waits_for_a_vm_that_cannot_be_asked() {
    // The home of an upstream is cut off from its peers with requests in flight, and a change
    // of the ledger makes another VM the home. To the new home the slots look free. It must not
    // lend them: the old home still does. Only when the ledger no longer lists the old home, and
    // its requests have had time to end, the slots are lent again.
    block_on(async {
        let server = backend(2);
        let (a, b, time, network) = two_vms(plan(&[&server], 2)).await;
        let (old, other) = home_first(a, b);
        let _in_flight = take(&old, now_free()).await.expect("a slot");
        network.cut(&old.member.vm);

        let listed = [&old.member, &other.member];
        let new = joining_home(&listed, &time, &network);
        let three = members(2, &[&old.member, &other.member, &new.member]);
        new.configure(&Arc::new(plan(&[&server], 2)), &three, &time);
        warm_up(&[&new], &time).await;
        let while_cut = take(&new, now_free()).await;
        new.gateway
            .on_members(members(3, &[&other.member, &new.member]));
        run_tasks().await;
        let just_gone = take(&new, now_free()).await;
        time.advance(Millis(2_000));
        let later = take(&new, now_free()).await;

        assert!(matches!(while_cut, Err(AcquireError::NoHome { .. })));
        assert!(
            matches!(just_gone, Err(AcquireError::Busy { .. })),
            "{just_gone:?}"
        );
        assert!(later.is_ok());
    });
}

#[test]
fn slots_of_a_vm_that_is_gone_move_to_the_new_home() {
    // A VM that borrowed a slot is gone, and its request still runs at the backend server. In
    // the same change another VM becomes the home. Nobody listed uses the slot, so only the old
    // home can tell the new one of it.
    block_on(async {
        let server = backend(1);
        let (a, b, time, network) = two_vms(plan(&[&server], 1)).await;
        let (old, other) = home_first(a, b);
        network.lose_release_messages.set(true);
        let lent = take(&other, want(Class::Interactive, 0, 5_000)).await;
        drop(lent.expect("a slot"));

        let new = joining_home(&[&old.member], &time, &network);
        let two = members(2, &[&old.member, &new.member]);
        new.configure(&Arc::new(plan(&[&server], 1)), &two, &time);
        wait_until("the home has moved", || {
            new.gateway.slots().is_home(&key("u0"))
        })
        .await;
        let at_once = take(&new, now_free()).await;
        time.advance(Millis(7_500));
        let after_term = take(&new, now_free()).await;

        assert!(matches!(at_once, Err(AcquireError::Busy { .. })));
        assert!(after_term.is_ok());
    });
}

#[test]
fn new_home_counts_what_the_others_use() {
    // A third VM joins and becomes the home of an upstream that the first two use. If it began
    // to count at zero, two requests more than the slots would run.
    block_on(async {
        let time = ManualTime::new();
        let network = FakeNetwork::new();
        let a = Vm::start("vm-a", 1, &time, &network);
        let joins = joining_home(&[&a.member], &time, &network);
        let server = backend(2);
        let plan = Arc::new(plan(&[&server], 2));
        a.configure(&plan, &members(1, &[&a.member]), &time);
        warm_up(&[&a], &time).await;
        let first = take(&a, now_free()).await.expect("a slot");
        let _second = take(&a, now_free()).await.expect("a slot");

        let both = members(2, &[&a.member, &joins.member]);
        joins.configure(&plan, &both, &time);
        wait_until("the home has moved", || {
            joins.gateway.slots().is_home(&key("u0"))
        })
        .await;
        let full = take(&joins, now_free()).await;
        drop(first);
        run_tasks().await;
        let free = take(&joins, now_free()).await;

        assert!(!a.gateway.slots().is_home(&key("u0")));
        assert!(matches!(full, Err(AcquireError::Busy { .. })));
        assert!(free.is_ok());
    });
}

/// Starts a VM that wins `u0` from those listed.
fn joining_home(listed: &[&Member], time: &ManualTime, network: &Rc<FakeNetwork>) -> Vm {
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
    // A VM waits at the old home for a slot. Before the answer arrives it tells the new home
    // that it uses nothing. If it then used the late slot, the new home would lend that slot a
    // second time.
    block_on(async {
        let server = backend(1);
        let (a, b, time, network) = two_vms(plan(&[&server], 1)).await;
        let (old, other) = home_first(a, b);
        let under_way = Flag::new();
        *network.hold_acquire_replies.borrow_mut() = Some(under_way.clone());
        let vm = Rc::clone(&other);
        let asking = monoio::spawn(async move { take(&vm, now_free()).await });
        let lent = || old.gateway.slots().lent(&key("u0")) == Some(1);
        wait_until("the slot is lent", lent).await;

        let new = joining_home(&[&old.member, &other.member], &time, &network);
        let all = members(2, &[&old.member, &other.member, &new.member]);
        new.configure(&Arc::new(plan(&[&server], 1)), &all, &time);
        wait_until("the home has moved", || {
            new.gateway.slots().is_home(&key("u0"))
        })
        .await;
        let fresh = take(&new, now_free()).await;
        under_way.fire();
        let late = asking.await;

        assert!(fresh.is_ok(), "{fresh:?}");
        assert!(late.is_err(), "{late:?}");
    });
}

#[test]
fn bulk_leaves_the_last_slot_to_interactive() {
    block_on(async {
        let server = backend(3);
        let (a, b, _time, _network) = two_vms(plan(&[&server], 3)).await;
        let (home, other) = home_first(a, b);
        let bulk = want(Class::Bulk, 0, 10_000);

        let _first = take(&home, bulk).await.expect("a slot");
        let _second = take(&other, bulk).await.expect("a slot");
        let third = take(&other, bulk).await;
        let interactive = take(&other, now_free()).await;

        assert!(matches!(third, Err(AcquireError::Busy { .. })));
        assert!(interactive.is_ok());
    });
}

#[test]
fn interactive_goes_before_bulk_that_waited_longer() {
    block_on(async {
        let server = backend(1);
        let (a, b, _time, _network) = two_vms(plan(&[&server], 1)).await;
        let (home, other) = home_first(a, b);
        let taken = take(&home, now_free()).await.expect("a slot");
        let order = Rc::new(std::cell::RefCell::new(Vec::new()));
        let mut waiting = Vec::new();
        for (vm, class) in [(&home, Class::Bulk), (&other, Class::Interactive)] {
            let vm = Rc::clone(vm);
            let order = Rc::clone(&order);
            waiting.push(monoio::spawn(async move {
                let slot = take(&vm, want(class, 9_000, 9_000)).await;
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
fn upstream_that_begins_to_leave_turns_waiters_away() {
    // Requests wait for a slot of a backend server that then says it is leaving. Without a
    // word to them they would wait on, and one of them would get the slot that comes free.
    block_on(async {
        let server = backend(1);
        let (a, b, _time, _network) = two_vms(plan(&[&server], 1)).await;
        let (home, other) = home_first(a, b);
        let taken = take(&home, now_free()).await.expect("a slot");
        let vm = Rc::clone(&other);
        let waiting =
            monoio::spawn(async move { take(&vm, want(Class::Interactive, 9_000, 9_000)).await });
        run_tasks().await;

        taken.mark_leaving();
        drop(taken);
        let turned_away = waiting.await;
        let asked_anew = take(&other, now_free()).await;

        assert!(turned_away.is_err());
        assert!(matches!(asked_anew, Err(AcquireError::Leaving { .. })));
    });
}

#[test]
fn home_that_missed_a_change_lends_again() {
    // A ledger change made a third VM the home for a moment; one VM agreed to it, the old home
    // was cut off and never heard. The third VM is then gone, the ledger names the old home
    // again, and every loan of it is refused by the VM that had agreed: it borrows nothing for
    // good. The old home sees the difference and becomes the home anew.
    block_on(async {
        let server = backend(2);
        let (a, b, time, network) = two_vms(plan(&[&server], 2)).await;
        let (old, other) = home_first(a, b);
        let third = joining_home(&[&old.member, &other.member], &time, &network);
        network.cut(&old.member.vm);
        let all = members(2, &[&old.member, &other.member, &third.member]);
        third.configure(&Arc::new(plan(&[&server], 2)), &all, &time);
        warm_up(&[&third], &time).await;
        network.cut(&third.member.vm);
        network.heal(&old.member.vm);
        let back = members(3, &[&old.member, &other.member]);
        other.gateway.on_members(back.clone());
        old.gateway.on_members(back);

        let first = take(&other, now_free()).await;
        warm_up(&[&old, &other], &time).await;
        let second = take(&other, now_free()).await;

        assert!(first.is_err());
        assert!(second.is_ok(), "{second:?}");
    });
}

#[test]
fn silent_home_holds_up_one_request_and_not_the_next() {
    // Messages to the home of an upstream are swallowed. The first request waits for the limit
    // of a call; each of the next would too, and every answer would be late by as much, though
    // another upstream of the place has free slots.
    block_on(async {
        let server = backend(2);
        let (a, b, time, network) = two_vms(plan(&[&server], 2)).await;
        let (home, other) = home_first(a, b);
        network
            .unresponsive
            .borrow_mut()
            .insert(home.member.vm.clone());

        let vm = Rc::clone(&other);
        let first = monoio::spawn(async move { take(&vm, now_free()).await });
        run_tasks().await;
        time.advance(Millis(200));
        let first = first.await;
        let second = take(&other, now_free()).await;
        network.unresponsive.borrow_mut().clear();
        time.advance(Millis(1_000));
        let later = take(&other, now_free()).await;

        assert!(matches!(first, Err(AcquireError::Unreachable { .. })));
        assert!(matches!(second, Err(AcquireError::Unreachable { .. })));
        assert!(later.is_ok(), "{later:?}");
    });
}

#[test]
fn connections_hold_over_two_vms_together() {
    // An upstream takes few connections. If each VM opened as many as the upstream takes, the
    // upstream would refuse connections of both.
    block_on(async {
        let server = backend(4);
        server.change(|b| b.held = true);
        let mut settings = plan(&[&server], 4);
        for service in settings.services.values_mut() {
            service.upstreams[0].connections = 4;
        }
        let (a, b, _time, _network) = two_vms(settings).await;
        let mut asks = Vec::new();

        for i in 0..6 {
            asks.push(a.spawn_send(TestRequest::get(&format!("a{i}"))));
            asks.push(b.spawn_send(TestRequest::get(&format!("b{i}"))));
        }
        wait_until("four run", || server.running() >= 4).await;
        let most = server.connections();
        server.change(|b| b.held = false);
        for ask in asks {
            let answer = ask.await;
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
