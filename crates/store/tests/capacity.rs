//! Tests of the capacity ledger against the fake platform.

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
    reconciler: CapacityReconciler,
    used: Rc<Cell<u16>>,
}

fn vm(store: &Store, name: &str, incarnation: u64) -> Vm {
    let used = Rc::new(Cell::new(0));
    let state = CapacityState::new(VmName::from(name), Incarnation(incarnation));
    let domain = DomainName::from("north-a");
    let reported = used.clone();
    let reconciler = CapacityReconciler::new(store.clone(), &domain, state, move || reported.get());
    Vm { reconciler, used }
}

fn no_departures() -> Departures {
    Departures::default()
}

fn gone(name: &str) -> Departures {
    let gone = vec![VmName::from(name)];
    let leaving = Vec::new();
    Departures { leaving, gone }
}

async fn reconcile_all(vms: &[&Vm], departures: &Departures) {
    for _ in 0..3 {
        for vm in vms {
            vm.reconciler.reconcile(departures).await.unwrap();
        }
    }
}

fn limits(vms: &[&Vm]) -> Vec<u16> {
    vms.iter().map(|vm| vm.reconciler.limit()).collect()
}

fn ledger(platform: &PlatformHandle) -> Ledger {
    let value = platform.get(&key(&DomainName::from("north-a"))).unwrap();
    serde_json::from_slice(&value).unwrap()
}

/// VMs that join do not get equal parts, or a part of the capacity stays unallocated.
#[test]
fn vms_that_join_get_equal_parts() {
    let platform = platform();
    let store = store(&platform);
    let (a, b, c) = (vm(&store, "a", 1), vm(&store, "b", 2), vm(&store, "c", 3));

    let (alone, two, three) = block_on(async {
        reconcile_all(&[&a], &no_departures()).await;
        let alone = limits(&[&a]);
        reconcile_all(&[&a, &b], &no_departures()).await;
        let two = limits(&[&a, &b]);
        reconcile_all(&[&a, &b, &c], &no_departures()).await;
        (alone, two, limits(&[&a, &b, &c]))
    });

    assert_eq!(alone, [1000]);
    assert_eq!(two, [500, 500]);
    assert_eq!(three, [334, 333, 333]);
    assert_eq!(ledger(&platform).sum(), 1000);
}

/// A reconciliation without changes takes more calls than one read.
#[test]
fn reconciliation_without_changes_takes_one_read() {
    let platform = platform();
    let store = store(&platform);
    let a = vm(&store, "a", 1);

    let calls = block_on(async {
        reconcile_all(&[&a], &no_departures()).await;
        let before = platform.calls();
        let outcome = a.reconciler.reconcile(&no_departures()).await.unwrap();
        assert_eq!(outcome, ReconcileOutcome::Settled);
        platform.calls().total() - before.total()
    });

    assert_eq!(calls, 1);
}

/// A VM crashes. The others must not take its part before the platform's list, which lags, reports
/// the VM as gone; that it does not respond is not sufficient.
#[test]
fn part_of_a_vm_is_taken_only_after_the_list_reports_it_gone() {
    let platform = platform();
    let store = store(&platform);
    let (a, b) = (vm(&store, "a", 1), vm(&store, "b", 2));

    let (before, after) = block_on(async {
        reconcile_all(&[&a, &b], &no_departures()).await;
        reconcile_all(&[&a], &no_departures()).await;
        let before = limits(&[&a]);
        reconcile_all(&[&a], &gone("b")).await;
        (before, limits(&[&a]))
    });

    assert_eq!(before, [500]);
    assert_eq!(after, [1000]);
}

/// A restarted daemon has no capacity until the entry of its earlier process is removed.
#[test]
fn restarted_daemon_takes_over_its_entry_immediately() {
    let platform = platform();
    let store = store(&platform);
    let (a, old) = (vm(&store, "a", 1), vm(&store, "b", 2));
    let new = vm(&store, "b", 3);

    let limit = block_on(async {
        reconcile_all(&[&a, &old], &no_departures()).await;
        new.reconciler.reconcile(&no_departures()).await.unwrap();
        limits(&[&a, &new])
    });

    assert_eq!(limit, [500, 500]);
}

/// A process is paused while its VM's daemon is restarted, and resumes with its old limit. At its
/// next reconciliation it must find that its entry was taken over, stop using the capacity and
/// never take the entry back.
#[test]
fn replaced_process_stops_using_its_part() {
    let platform = platform();
    let store = store(&platform);
    let (old, new) = (vm(&store, "a", 1), vm(&store, "a", 2));

    let limits = block_on(async {
        reconcile_all(&[&old], &no_departures()).await;
        reconcile_all(&[&new], &no_departures()).await;
        reconcile_all(&[&old], &no_departures()).await;
        limits(&[&old, &new])
    });

    assert_eq!(limits, [0, 1000]);
    assert!(old.reconciler.is_replaced());
    let held = ledger(&platform).part_of(&VmName::from("a"), Incarnation(2));
    assert_eq!(held, 1000);
}

/// A second VM joins while the first one still runs requests that use its part. The second VM must
/// not get this capacity until they end, or both together would exceed the places' caps.
#[test]
fn capacity_of_requests_in_progress_is_not_released() {
    let platform = platform();
    let store = store(&platform);
    let (a, b) = (vm(&store, "a", 1), vm(&store, "b", 2));

    let (busy, eased) = block_on(async {
        reconcile_all(&[&a], &no_departures()).await;
        a.used.set(900);
        reconcile_all(&[&b, &a], &no_departures()).await;
        let busy = limits(&[&a, &b]);
        a.used.set(100);
        reconcile_all(&[&a, &b], &no_departures()).await;
        (busy, limits(&[&a, &b]))
    });

    assert_eq!(busy, [500, 100]);
    assert_eq!(eased, [500, 500]);
}

/// The store goes down. VMs must keep their parts, and a VM that starts during the outage must get
/// nothing, since the unallocated capacity is unknown.
#[test]
fn limits_are_kept_while_the_store_is_down() {
    let platform = platform();
    let store = store(&platform);
    let (a, b) = (vm(&store, "a", 1), vm(&store, "b", 2));

    let limits = block_on(async {
        reconcile_all(&[&a], &no_departures()).await;
        platform.faults(|faults| faults.down = Some(Down::Closes));
        assert!(a.reconciler.reconcile(&no_departures()).await.is_err());
        assert!(b.reconciler.reconcile(&no_departures()).await.is_err());
        limits(&[&a, &b])
    });

    assert_eq!(limits, [1000, 0]);
}

/// A VM lowers its entry, and the write is delayed in the network without a response. The VM then
/// reads the old ledger. It must not use the old part again, because the write may still be
/// applied and another VM may take the difference.
#[test]
fn unanswered_write_that_lowers_the_entry_lowers_the_limit() {
    let platform = platform();
    let store = store(&platform);
    let (a, b) = (vm(&store, "a", 1), vm(&store, "b", 2));

    let (reread, after) = block_on(async {
        reconcile_all(&[&a], &no_departures()).await;
        b.reconciler.reconcile(&no_departures()).await.unwrap();
        platform.faults(|faults| faults.hold_writes = 2);
        assert!(a.reconciler.reconcile(&no_departures()).await.is_err());
        assert!(a.reconciler.reconcile(&no_departures()).await.is_err());
        let reread = a.reconciler.limit();
        platform.apply_held_writes();
        reconcile_all(&[&b, &a], &no_departures()).await;
        (reread, limits(&[&a, &b]))
    });

    assert_eq!(reread, 500);
    assert_eq!(after, [500, 500]);
}

/// An entry is raised and the response is lost. The VM must keep its old limit until it has read
/// the new entry.
#[test]
fn limit_is_raised_only_after_the_entry_was_read() {
    let platform = platform();
    let store = store(&platform);
    let a = vm(&store, "a", 1);
    platform.faults(|faults| faults.lose_answers = 1);

    let (lost, seen) = block_on(async {
        assert!(a.reconciler.reconcile(&no_departures()).await.is_err());
        let lost = a.reconciler.limit();
        a.reconciler.reconcile(&no_departures()).await.unwrap();
        (lost, a.reconciler.limit())
    });

    assert_eq!(lost, 0);
    assert_eq!(seen, 1000);
}

/// A write that conflicts with those of other VMs is not retried by the same reconciliation.
#[test]
fn conflicting_write_is_retried_by_the_same_reconciliation() {
    let platform = platform();
    let store = store(&platform);
    let (a, b) = (vm(&store, "a", 1), vm(&store, "b", 2));

    let outcome = block_on(async {
        reconcile_all(&[&a], &no_departures()).await;
        platform.faults(|faults| faults.conflicts = 2);
        b.reconciler.reconcile(&no_departures()).await.unwrap()
    });

    assert_eq!(outcome, ReconcileOutcome::Settled);
    assert_eq!(ledger(&platform).entries.len(), 2);
}

/// An invalid ledger is used or overwritten, or the error does not name its key.
#[test]
fn invalid_ledger_is_rejected_and_not_modified() {
    let platform = platform();
    let store = store(&platform);
    let a = vm(&store, "a", 1);
    let broken = r#"{"e":[{"v":"x","i":1,"p":800},{"v":"y","i":2,"p":300}]}"#;
    platform.put("hk/capacity/north-a", broken);

    let failure = block_on(a.reconciler.reconcile(&no_departures())).unwrap_err();

    let text = failure.to_string();
    assert!(
        text.contains("hk/capacity/north-a: parts sum to 1100"),
        "{text}"
    );
    assert_eq!(platform.get("hk/capacity/north-a").unwrap(), broken);
}

/// A ledger with two entries of the same VM is accepted.
#[test]
fn duplicate_entries_are_an_error() {
    let twice = r#"{"e":[{"v":"x","i":1,"p":1},{"v":"x","i":2,"p":1}]}"#;
    let ledger: Ledger = serde_json::from_str(twice).unwrap();

    let fault = ledger.check().unwrap_err();

    let vm = VmName::from("x");
    assert_eq!(fault, LedgerError::OutOfOrder { vm });
}

/// VMs of other failure domains are taken for departures.
#[test]
fn departures_are_limited_to_the_given_failure_domain() {
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

/// All VMs of a failure domain are leaving and give up their parts before others have joined.
#[test]
fn vms_keep_their_parts_while_all_are_leaving() {
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
        reconcile_all(&[&a, &b], &no_departures()).await;
        reconcile_all(&[&a, &b], &all).await;
        let all_leaving = limits(&[&a, &b]);
        reconcile_all(&[&a, &b], &one).await;
        (all_leaving, limits(&[&a, &b]))
    });

    assert_eq!(all_leaving, [500, 500]);
    assert_eq!(one_leaving, [0, 1000]);
}

/// A VM lowers its entry without a response; then the other VM starts to leave and the first one
/// raises its entry again, also without a response. The store may still apply either write first,
/// so the lower part must limit the VM until it observes a later revision of the ledger.
#[test]
fn lower_of_two_unanswered_writes_limits_the_vm() {
    let entries = r#"{"e":[{"v":"a","i":1,"p":1000},{"v":"b","i":2,"p":0}]}"#;
    let ledger: Ledger = serde_json::from_str(entries).unwrap();
    let (before, after) = (StoreRevision::from(5), StoreRevision::from(6));
    let b_leaves = Departures {
        leaving: vec![VmName::from("b")],
        gone: Vec::new(),
    };
    let mut state = CapacityState::new(VmName::from("a"), Incarnation(1));
    state.observe(&ledger, before).unwrap();
    let lowering = state
        .plan_write(&ledger, before, 0, &no_departures())
        .unwrap();
    state.record_send(&lowering);
    state.observe(&ledger, before).unwrap();
    let raising = state.plan_write(&ledger, before, 0, &b_leaves).unwrap();
    state.record_send(&raising);

    state.observe(&ledger, before).unwrap();
    let unresolved = state.limit();
    state.observe(&ledger, after).unwrap();

    assert_eq!(unresolved, 500);
    assert_eq!(state.limit(), 1000);
}
