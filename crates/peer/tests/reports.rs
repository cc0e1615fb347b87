//! Exchange of load reports between tables and over heartbeats.

mod support;

use std::sync::Arc;

use heatherknot_peer::reports::{Loads, Scope};
use heatherknot_peer::{ReportOptions, ReportTable};
use heatherknot_types::prelude::*;
use support::fleet::{TestDaemon, TestDaemonSetup, all_alive};
use support::{Network, TestTime, run};

const INCARNATION: Incarnation = Incarnation(1);

fn table(vm: &str, time: &TestTime) -> ReportTable {
    ReportTable::new(VmName::from(vm), time.timer(), ReportOptions::default())
}

fn loads(values: &[(&str, u32)]) -> Loads {
    let named = values.iter().map(|(name, load)| (Arc::from(*name), *load));
    named.collect()
}

fn transfer(from: &ReportTable, to: &ReportTable) {
    if let Some(batch) = from.next_batch(Scope::Domain) {
        to.merge(Scope::Domain, batch);
    }
}

fn seen(table: &ReportTable, vm: &str) -> Option<Loads> {
    table.view(&VmName::from(vm)).map(|view| view.loads)
}

#[test]
fn a_report_arrives_with_its_total_age() {
    let time = TestTime::default();
    let (a, b, c) = (table("a", &time), table("b", &time), table("c", &time));

    a.publish(INCARNATION, loads(&[("x", 3), ("y", 4)]));
    time.advance(700);
    transfer(&a, &b);
    time.advance(500);
    transfer(&b, &c);
    time.advance(100);

    let view = c.view(&"a".into()).expect("it arrived");
    assert_eq!(view.loads, loads(&[("x", 3), ("y", 4)]));
    assert_eq!(view.age, Millis(1_300));
}

#[test]
fn a_delta_carries_only_changed_values() {
    let time = TestTime::default();
    let (a, b) = (table("a", &time), table("b", &time));
    a.publish(INCARNATION, loads(&[("x", 3), ("y", 4)]));
    transfer(&a, &b);

    a.publish(INCARNATION, loads(&[("x", 3), ("y", 9)]));
    let batch = a.next_batch(Scope::Domain).expect("a delta");
    let text = serde_json::to_string(&batch).expect("JSON");
    b.merge(Scope::Domain, batch);

    assert!(!text.contains("\"x\""), "{text}");
    assert_eq!(seen(&b, "a"), Some(loads(&[("x", 3), ("y", 9)])));
}

/// Guards against mixing values of different reports: a message was lost, so the next delta does
/// not apply to the known report. The old values are kept until a message with all values arrives.
#[test]
fn a_delta_to_a_report_that_was_missed_is_ignored() {
    let time = TestTime::default();
    let (a, b) = (table("a", &time), table("b", &time));
    a.publish(INCARNATION, loads(&[("x", 1), ("y", 1)]));
    transfer(&a, &b);
    a.publish(INCARNATION, loads(&[("x", 2), ("y", 1)]));
    a.next_batch(Scope::Domain).expect("lost on the way");
    a.publish(INCARNATION, loads(&[("x", 2), ("y", 2)]));

    transfer(&a, &b);
    let after_delta = seen(&b, "a");
    transfer(&a, &b);

    assert_eq!(after_delta, Some(loads(&[("x", 1), ("y", 1)])));
    assert_eq!(seen(&b, "a"), Some(loads(&[("x", 2), ("y", 2)])));
}

#[test]
fn an_older_report_does_not_replace_a_newer_one() {
    let time = TestTime::default();
    let (a, b) = (table("a", &time), table("b", &time));
    a.publish(INCARNATION, loads(&[("x", 1)]));
    let late = a.next_batch(Scope::Domain).expect("a report");
    a.publish(INCARNATION, loads(&[("x", 2), ("z", 5)]));
    a.next_batch(Scope::Domain).expect("a delta");
    transfer(&a, &b);

    b.merge(Scope::Domain, late);

    assert_eq!(seen(&b, "a"), Some(loads(&[("x", 2), ("z", 5)])));
}

/// Guards against ignoring the reports of a restarted VM, whose numbers start again from one.
#[test]
fn a_report_of_a_new_incarnation_replaces_the_previous_one() {
    let time = TestTime::default();
    let b = table("b", &time);
    let old = table("a", &time);
    for n in 0..5 {
        old.publish(INCARNATION, loads(&[("x", n)]));
    }
    transfer(&old, &b);
    transfer(&old, &b);
    let new = table("a", &time);

    new.publish(Incarnation(2), loads(&[("x", 50)]));
    transfer(&new, &b);

    let view = b.view(&"a".into()).expect("a report");
    assert_eq!(
        (view.incarnation, view.loads),
        (Incarnation(2), loads(&[("x", 50)]))
    );
}

/// Guards against a removed value that stays in the reports at other VMs, as a delta cannot remove
/// it.
#[test]
fn a_removed_value_is_removed_from_the_report_at_others() {
    let time = TestTime::default();
    let (a, b) = (table("a", &time), table("b", &time));
    a.publish(INCARNATION, loads(&[("x", 1), ("y", 1)]));
    transfer(&a, &b);

    a.publish(INCARNATION, loads(&[("y", 1)]));
    transfer(&a, &b);

    assert_eq!(seen(&b, "a"), Some(loads(&[("y", 1)])));
}

#[test]
fn messages_are_limited_in_size_and_each_report_is_forwarded_twice() {
    let time = TestTime::default();
    let (a, b) = (table("a", &time), table("b", &time));
    for n in 0..40 {
        let other = table(&format!("vm{n}"), &time);
        other.publish(INCARNATION, loads(&[("x", n), ("y", n), ("z", n)]));
        transfer(&other, &a);
    }

    let mut sent = 0;
    while let Some(batch) = a.next_batch(Scope::Domain) {
        assert!(batch.len() <= 3, "{} reports", batch.len());
        sent += batch.len();
        b.merge(Scope::Domain, batch);
    }

    assert_eq!(sent, 40 * 2);
    assert!((0..40).all(|n| seen(&b, &format!("vm{n}")).is_some()));
}

#[test]
fn old_reports_are_dropped_and_not_merged() {
    let time = TestTime::default();
    let (a, b) = (table("a", &time), table("b", &time));
    a.publish(INCARNATION, loads(&[("x", 1)]));
    transfer(&a, &b);
    let batch = a.next_batch(Scope::OtherDomain).expect("its own report");
    let text = serde_json::to_string(&batch).expect("JSON");

    time.advance(30_000);
    let aged = text.replace("\"g\":0", "\"g\":30000");
    b.next_batch(Scope::Domain);
    b.merge(Scope::Domain, serde_json::from_str(&aged).expect("a batch"));

    assert_eq!(seen(&b, "a"), None);
}

#[test]
fn a_report_of_another_domain_is_kept_and_not_forwarded() {
    let time = TestTime::default();
    let (a, b) = (table("a", &time), table("b", &time));
    a.publish(INCARNATION, loads(&[("x", 1)]));

    b.merge(
        Scope::OtherDomain,
        a.next_batch(Scope::OtherDomain).expect("its own report"),
    );

    assert_eq!(seen(&b, "a"), Some(loads(&[("x", 1)])));
    assert_eq!(b.next_batch(Scope::Domain), None);
}

#[test]
fn reports_reach_all_vms_of_a_domain_over_heartbeats() {
    run(async {
        let (time, network) = (TestTime::default(), Network::default());
        let mut tables = Vec::new();
        let mut nodes: Vec<TestDaemon> = Vec::new();
        for vm in ["a0", "a1", "a2", "a3"] {
            let mut setup = TestDaemonSetup::new(vm, "a", &time, &network);
            let table = table(vm, &time);
            setup.reports = Some(table.port());
            setup.seeds.extend(nodes.first().map(TestDaemon::address));
            nodes.push(setup.start());
            tables.push(table);
        }
        time.wait_until("all know all", || all_alive(&nodes)).await;

        // A VM that no message brings one report receives a later one.
        for n in 0..5 {
            tables[0].publish(INCARNATION, loads(&[("x", n)]));
            time.run_for(3_000).await;
        }

        for table in &tables {
            let view = table.view(&"a0".into()).expect("a report");
            assert!(view.age < Millis(10_000), "{view:?}");
        }
    });
}
