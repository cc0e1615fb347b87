//! The capacity ledger against the stand-in.

mod support;

use std::cell::Cell;
use std::rc::Rc;

use heatherknot_store::capacity::{
    CapacityReconciler, CapacityState, Departures, Ledger, LedgerError, ReconcileOutcome,
    departures, key,
};
use heatherknot_store::port::{Store, StoreRevision};
use heatherknot_store::vm_list::{VmRecord, VmState};
use heatherknot_test_support::platform::{Down, PlatformHandle};
use heatherknot_test_support::runtime::block_on;
use heatherknot_types::prelude::*;
use support::{platform, store};

struct Vm {
    keeper: CapacityReconciler,
    used: Rc<Cell<u16>>,
}

fn vm(store: &Store, name: &str, incarnation: u64) -> Vm {
    let used = Rc::new(Cell::new(0));
    let holder = CapacityState::new(VmName::from(name), Incarnation(incarnation));
    let domain = DomainName::from("north-a");
    let reported = used.clone();
    let keeper = CapacityReconciler::new(store.clone(), &domain, holder, move || reported.get());
    Vm { keeper, used }
}

fn nobody() -> Departures {
    Departures::default()
}

fn gone(name: &str) -> Departures {
    let gone = vec![VmName::from(name)];
    let leaving = Vec::new();
    Departures { leaving, gone }
}

async fn rounds(vms: &[&Vm], departures: &Departures) {
    for _ in 0..3 {
        for vm in vms {
            vm.keeper.reconcile(departures).await.unwrap();
        }
    }
}

fn limits(vms: &[&Vm]) -> Vec<u16> {
    vms.iter().map(|vm| vm.keeper.limit()).collect()
}

fn ledger(platform: &PlatformHandle) -> Ledger {
    let value = platform.get(&key(&DomainName::from("north-a"))).unwrap();
    serde_json::from_slice(&value).unwrap()
}

#[test]
fn vms_that_join_come_to_equal_parts() {
    let platform = platform();
    let store = store(&platform);
    let (a, b, c) = (vm(&store, "a", 1), vm(&store, "b", 2), vm(&store, "c", 3));

    let (alone, two, three) = block_on(async {
        rounds(&[&a], &nobody()).await;
        let alone = limits(&[&a]);
        rounds(&[&a, &b], &nobody()).await;
        let two = limits(&[&a, &b]);
        rounds(&[&a, &b, &c], &nobody()).await;
        (alone, two, limits(&[&a, &b, &c]))
    });

    assert_eq!(alone, [1000]);
    assert_eq!(two, [500, 500]);
    assert_eq!(three, [334, 333, 333]);
    assert_eq!(ledger(&platform).sum(), 1000);
}

#[test]
fn a_settled_ledger_costs_one_read_a_round() {
    let platform = platform();
    let store = store(&platform);
    let a = vm(&store, "a", 1);

    let calls = block_on(async {
        rounds(&[&a], &nobody()).await;
        let before = platform.calls();
        let round = a.keeper.reconcile(&nobody()).await.unwrap();
        assert_eq!(round, ReconcileOutcome::Settled);
        platform.calls().total() - before.total()
    });

    assert_eq!(calls, 1);
}

/// A VM dies and its capacity is missing until the platform's late list says so. Only then
/// do the others take its part; a suspicion of their own is not enough.
#[test]
fn the_part_of_a_dead_vm_is_taken_only_once_the_list_reports_it_gone() {
    let platform = platform();
    let store = store(&platform);
    let (a, b) = (vm(&store, "a", 1), vm(&store, "b", 2));

    let (before, after) = block_on(async {
        rounds(&[&a, &b], &nobody()).await;
        rounds(&[&a], &nobody()).await;
        let before = limits(&[&a]);
        rounds(&[&a], &gone("b")).await;
        (before, limits(&[&a]))
    });

    assert_eq!(before, [500]);
    assert_eq!(after, [1000]);
}

#[test]
fn a_restarted_daemon_takes_its_entry_over_at_once() {
    let platform = platform();
    let store = store(&platform);
    let (a, old) = (vm(&store, "a", 1), vm(&store, "b", 2));
    let new = vm(&store, "b", 3);

    let limit = block_on(async {
        rounds(&[&a, &old], &nobody()).await;
        new.keeper.reconcile(&nobody()).await.unwrap();
        limits(&[&a, &new])
    });

    assert_eq!(limit, [500, 500]);
}

/// A process is paused past the restart of its VM's daemon and wakes up with its old limit.
/// It finds the entry in the later run's hands at its first look, uses nothing more and
/// does not take the entry back, however often it looks.
#[test]
fn a_run_that_was_replaced_stops_and_stays_out() {
    let platform = platform();
    let store = store(&platform);
    let (old, new) = (vm(&store, "a", 1), vm(&store, "a", 2));

    let limits = block_on(async {
        rounds(&[&old], &nobody()).await;
        rounds(&[&new], &nobody()).await;
        rounds(&[&old], &nobody()).await;
        limits(&[&old, &new])
    });

    assert_eq!(limits, [0, 1000]);
    assert!(old.keeper.is_replaced());
    let held = ledger(&platform).part_of(&VmName::from("a"), Incarnation(2));
    assert_eq!(held, 1000);
}

/// A second VM joins while the first still runs requests for its whole part. The newcomer
/// must wait for them to end, or both together would pass the places' caps.
#[test]
fn a_part_that_requests_in_flight_still_use_is_not_given_away() {
    let platform = platform();
    let store = store(&platform);
    let (a, b) = (vm(&store, "a", 1), vm(&store, "b", 2));

    let (busy, eased) = block_on(async {
        rounds(&[&a], &nobody()).await;
        a.used.set(900);
        rounds(&[&b, &a], &nobody()).await;
        let busy = limits(&[&a, &b]);
        a.used.set(100);
        rounds(&[&a, &b], &nobody()).await;
        (busy, limits(&[&a, &b]))
    });

    assert_eq!(busy, [500, 100]);
    assert_eq!(eased, [500, 500]);
}

/// The store goes down while VMs hold their parts. They go on with what they have, and a VM
/// that starts meanwhile gets nothing, since nobody can tell what is free.
#[test]
fn limits_stay_while_the_store_is_down() {
    let platform = platform();
    let store = store(&platform);
    let (a, b) = (vm(&store, "a", 1), vm(&store, "b", 2));

    let limits = block_on(async {
        rounds(&[&a], &nobody()).await;
        platform.faults(|faults| faults.down = Some(Down::Closes));
        assert!(a.keeper.reconcile(&nobody()).await.is_err());
        assert!(b.keeper.reconcile(&nobody()).await.is_err());
        limits(&[&a, &b])
    });

    assert_eq!(limits, [1000, 0]);
}

/// A VM lowers its entry, and the write hangs in the network: no answer, no effect yet. The
/// VM reads the old ledger back. It must not go on with the old part, because the write can
/// still land and another VM take the difference.
#[test]
fn a_lowering_that_lands_late_was_already_counted() {
    let platform = platform();
    let store = store(&platform);
    let (a, b) = (vm(&store, "a", 1), vm(&store, "b", 2));

    let (reread, after) = block_on(async {
        rounds(&[&a], &nobody()).await;
        b.keeper.reconcile(&nobody()).await.unwrap();
        platform.faults(|faults| faults.hold_writes = 2);
        assert!(a.keeper.reconcile(&nobody()).await.is_err());
        assert!(a.keeper.reconcile(&nobody()).await.is_err());
        let reread = a.keeper.limit();
        platform.apply_held_writes();
        rounds(&[&b, &a], &nobody()).await;
        (reread, limits(&[&a, &b]))
    });

    assert_eq!(reread, 500);
    assert_eq!(after, [500, 500]);
}

/// Raising an entry takes effect and the answer is lost. The VM stays at its old limit until
/// it has seen the new entry.
#[test]
fn a_raise_counts_only_once_it_was_seen() {
    let platform = platform();
    let store = store(&platform);
    let a = vm(&store, "a", 1);
    platform.faults(|faults| faults.lose_answers = 1);

    let (lost, seen) = block_on(async {
        assert!(a.keeper.reconcile(&nobody()).await.is_err());
        let lost = a.keeper.limit();
        a.keeper.reconcile(&nobody()).await.unwrap();
        (lost, a.keeper.limit())
    });

    assert_eq!(lost, 0);
    assert_eq!(seen, 1000);
}

#[test]
fn a_conflict_is_tried_again_in_the_same_round() {
    let platform = platform();
    let store = store(&platform);
    let (a, b) = (vm(&store, "a", 1), vm(&store, "b", 2));

    let round = block_on(async {
        rounds(&[&a], &nobody()).await;
        platform.faults(|faults| faults.conflicts = 2);
        b.keeper.reconcile(&nobody()).await.unwrap()
    });

    assert_eq!(round, ReconcileOutcome::Settled);
    assert_eq!(ledger(&platform).entries.len(), 2);
}

#[test]
fn a_ledger_that_breaks_its_rules_is_refused_and_left_alone() {
    let platform = platform();
    let store = store(&platform);
    let a = vm(&store, "a", 1);
    let broken = r#"{"e":[{"v":"x","i":1,"p":800},{"v":"y","i":2,"p":300}]}"#;
    platform.put("hk/capacity/north-a", broken);

    let failure = block_on(a.keeper.reconcile(&nobody())).unwrap_err();

    let text = failure.to_string();
    assert!(
        text.contains("hk/capacity/north-a: parts sum to 1100"),
        "{text}"
    );
    assert_eq!(platform.get("hk/capacity/north-a").unwrap(), broken);
}

#[test]
fn entries_out_of_order_are_a_fault() {
    let twice = r#"{"e":[{"v":"x","i":1,"p":1},{"v":"x","i":2,"p":1}]}"#;
    let ledger: Ledger = serde_json::from_str(twice).unwrap();

    let fault = ledger.check().unwrap_err();

    let vm = VmName::from("x");
    assert_eq!(fault, LedgerError::Order { vm });
}

#[test]
fn departures_are_those_of_the_own_domain() {
    let record = |name: &str, domain: &str, state| VmRecord {
        name: VmName::from(name),
        domain: DomainName::from(domain),
        address: "127.0.0.1:1".parse().unwrap(),
        state,
        age_ms: Millis(0),
    };
    let list = [
        record("a", "north-a", VmState::Live),
        record("b", "north-a", VmState::Leaving),
        record("c", "north-a", VmState::Gone),
        record("d", "north-b", VmState::Gone),
    ];

    let found = departures(&list, &DomainName::from("north-a"));

    assert_eq!(found.leaving, [VmName::from("b")]);
    assert_eq!(found.gone, [VmName::from("c")]);
}

#[test]
fn a_domain_whose_vms_are_all_leaving_keeps_its_parts() {
    let platform = platform();
    let store = store(&platform);
    let (a, b) = (vm(&store, "a", 1), vm(&store, "b", 2));
    let all = Departures {
        leaving: vec![VmName::from("a"), VmName::from("b")],
        gone: Vec::new(),
    };
    let one = Departures {
        leaving: vec![VmName::from("a")],
        gone: Vec::new(),
    };

    let (all_leaving, one_leaving) = block_on(async {
        rounds(&[&a, &b], &nobody()).await;
        rounds(&[&a, &b], &all).await;
        let all_leaving = limits(&[&a, &b]);
        rounds(&[&a, &b], &one).await;
        (all_leaving, limits(&[&a, &b]))
    });

    assert_eq!(all_leaving, [500, 500]);
    assert_eq!(one_leaving, [0, 1000]);
}

/// A VM lowers its entry and hears nothing; then the other VM starts to leave, it raises the
/// entry back, and hears nothing again. Of the two writes the store may still apply either
/// one first, so the lower part counts until the ledger is seen to have moved.
#[test]
fn of_two_unanswered_writes_the_lower_part_counts() {
    let entries = r#"{"e":[{"v":"a","i":1,"p":1000},{"v":"b","i":2,"p":0}]}"#;
    let ledger: Ledger = serde_json::from_str(entries).unwrap();
    let (before, after) = (StoreRevision(5), StoreRevision(6));
    let b_leaves = Departures {
        leaving: vec![VmName::from("b")],
        gone: Vec::new(),
    };
    let mut holder = CapacityState::new(VmName::from("a"), Incarnation(1));
    holder.observe(&ledger, before).unwrap();
    let lowering = holder.plan_write(&ledger, before, 0, &nobody()).unwrap();
    holder.record_send(&lowering);
    holder.observe(&ledger, before).unwrap();
    let raising = holder.plan_write(&ledger, before, 0, &b_leaves).unwrap();
    holder.record_send(&raising);

    holder.observe(&ledger, before).unwrap();
    let unresolved = holder.limit();
    holder.observe(&ledger, after).unwrap();

    assert_eq!(unresolved, 500);
    assert_eq!(holder.limit(), 1000);
}
