//! Load reports on their way between tables, and over heartbeats.

mod support;

use std::sync::Arc;

use heatherknot_peer::reports::{Loads, Scope};
use heatherknot_peer::{ReportOptions, ReportTable};
use heatherknot_types::prelude::*;
use support::fleet::{TestDaemon, TestDaemonSetup, all_alive};
use support::{Network, TestTime, run};

const RUN: Incarnation = Incarnation(1);

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
fn a_report_arrives_with_its_age() {
    let time = TestTime::default();
    let (a, b, c) = (table("a", &time), table("b", &time), table("c", &time));

    a.publish(RUN, loads(&[("x", 3), ("y", 4)]));
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
fn only_what_changed_is_sent_to_who_has_the_report_before() {
    let time = TestTime::default();
    let (a, b) = (table("a", &time), table("b", &time));
    a.publish(RUN, loads(&[("x", 3), ("y", 4)]));
    transfer(&a, &b);

    a.publish(RUN, loads(&[("x", 3), ("y", 9)]));
    let batch = a.next_batch(Scope::Domain).expect("a difference");
    let text = serde_json::to_string(&batch).expect("JSON");
    b.merge(Scope::Domain, batch);

    assert!(!text.contains("\"x\""), "{text}");
    assert_eq!(seen(&b, "a"), Some(loads(&[("x", 3), ("y", 9)])));
}

/// A daemon missed a report, since a message was lost. The next difference does not fit what
/// it has, and it must not mix the two: it keeps the old values with their age until the
/// whole values come.
#[test]
fn a_difference_from_a_report_that_was_missed_is_left_out() {
    let time = TestTime::default();
    let (a, b) = (table("a", &time), table("b", &time));
    a.publish(RUN, loads(&[("x", 1), ("y", 1)]));
    transfer(&a, &b);
    a.publish(RUN, loads(&[("x", 2), ("y", 1)]));
    a.next_batch(Scope::Domain).expect("lost on the way");
    a.publish(RUN, loads(&[("x", 2), ("y", 2)]));

    transfer(&a, &b);
    let after_difference = seen(&b, "a");
    transfer(&a, &b);

    assert_eq!(after_difference, Some(loads(&[("x", 1), ("y", 1)])));
    assert_eq!(seen(&b, "a"), Some(loads(&[("x", 2), ("y", 2)])));
}

#[test]
fn an_older_report_does_not_replace_a_newer_one() {
    let time = TestTime::default();
    let (a, b) = (table("a", &time), table("b", &time));
    a.publish(RUN, loads(&[("x", 1)]));
    let late = a.next_batch(Scope::Domain).expect("a report");
    a.publish(RUN, loads(&[("x", 2), ("z", 5)]));
    a.next_batch(Scope::Domain).expect("a difference");
    transfer(&a, &b);

    b.merge(Scope::Domain, late);

    assert_eq!(seen(&b, "a"), Some(loads(&[("x", 2), ("z", 5)])));
}

/// A VM restarts and reports from the beginning. Its report replaces that of the run before,
/// though its number is lower.
#[test]
fn a_new_run_replaces_the_reports_of_the_one_before() {
    let time = TestTime::default();
    let b = table("b", &time);
    let old = table("a", &time);
    for n in 0..5 {
        old.publish(RUN, loads(&[("x", n)]));
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

#[test]
fn a_value_that_disappears_is_gone_at_the_others() {
    let time = TestTime::default();
    let (a, b) = (table("a", &time), table("b", &time));
    a.publish(RUN, loads(&[("x", 1), ("y", 1)]));
    transfer(&a, &b);

    a.publish(RUN, loads(&[("y", 1)]));
    transfer(&a, &b);

    assert_eq!(seen(&b, "a"), Some(loads(&[("y", 1)])));
}

#[test]
fn a_message_keeps_to_its_bound_and_each_report_is_sent_a_few_times() {
    let time = TestTime::default();
    let (a, b) = (table("a", &time), table("b", &time));
    for n in 0..40 {
        let other = table(&format!("vm{n}"), &time);
        other.publish(RUN, loads(&[("x", n), ("y", n), ("z", n)]));
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
fn old_reports_are_forgotten_and_not_taken_in() {
    let time = TestTime::default();
    let (a, b) = (table("a", &time), table("b", &time));
    a.publish(RUN, loads(&[("x", 1)]));
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
fn a_report_of_another_domain_is_kept_and_not_passed_on() {
    let time = TestTime::default();
    let (a, b) = (table("a", &time), table("b", &time));
    a.publish(RUN, loads(&[("x", 1)]));

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

        // A message that comes too late for one report carries the next one.
        for n in 0..5 {
            tables[0].publish(RUN, loads(&[("x", n)]));
            time.run_for(3_000).await;
        }

        for table in &tables {
            let view = table.view(&"a0".into()).expect("a report");
            assert!(view.age < Millis(10_000), "{view:?}");
        }
    });
}
