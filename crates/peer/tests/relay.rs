//! Relay of settings over loopback: every daemon receives new revisions and none reverts to an
//! older one.

mod support;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use heatherknot_peer::{Delivery, Origin, RelayedSnapshot, SettingsPort};
use heatherknot_settings::change::ChainPoint;
use heatherknot_settings::replica::{SettingsReplica, Snapshot};
use heatherknot_types::prelude::*;
use support::fleet::{
    FakeStore, TestDaemon, TestDaemonSetup, all_alive, change, set_path_between,
    settled_fleet_with_store,
};
use support::{Network, Path, TestTime, run};

/// Clock, network and store shared by the daemons of a test.
#[derive(Default)]
struct Fixture {
    time: TestTime,
    network: Network,
    store: FakeStore,
}

impl Fixture {
    async fn fleet(&self, domains: &[(&str, usize)]) -> Vec<TestDaemon> {
        settled_fleet_with_store(domains, &self.time, &self.network, &self.store).await
    }

    fn setup(&self, vm: &str, domain: &str) -> TestDaemonSetup {
        TestDaemonSetup::new(vm, domain, &self.time, &self.network)
            .with_store(&self.store, &self.time)
    }

    async fn until_in_force<'a>(
        &self,
        nodes: impl IntoIterator<Item = &'a TestDaemon>,
        rev: Revision,
    ) {
        let nodes: Vec<_> = nodes.into_iter().collect();
        let in_force = || nodes.iter().all(|node| node.settings.revision() == rev);
        self.time
            .wait_until("the revision is in force", in_force)
            .await;
    }
}

fn any_reverted(nodes: &[TestDaemon]) -> bool {
    nodes.iter().any(|node| node.settings.reverted.get())
}

/// Guards against load on the store that grows with the number of VMs: only two VMs of each domain
/// watch it, and a change still reaches all.
#[test]
fn a_change_reaches_all_while_two_vms_of_each_domain_watch() {
    run(async {
        let fixture = Fixture::default();
        let nodes = fixture.fleet(&[("a", 5), ("b", 5)]).await;
        fixture.store.commit("first");
        fixture.until_in_force(&nodes, Revision(1)).await;
        fixture.time.run_for(5_000).await;

        let waiting = fixture.store.waiting.get();
        let before = fixture.time.now();
        let newest = fixture.store.commit("second");
        fixture.until_in_force(&nodes, newest).await;

        assert_eq!(waiting, 4);
        let watching = nodes.iter().filter(|node| node.relay.status().watching);
        assert_eq!(watching.count(), 4);
        assert!(fixture.time.now().since(before) < Millis(6_000));
    });
}

/// Guards against a domain that misses changes because it cannot reach the store: it must receive
/// them from another domain.
#[test]
fn a_domain_cut_off_from_the_store_is_updated_by_other_domains() {
    run(async {
        let fixture = Fixture::default();
        let nodes = fixture.fleet(&[("a", 3), ("b", 3)]).await;
        nodes[3..].iter().for_each(|node| node.store_cut.set(true));

        let newest = fixture.store.commit("first");
        fixture.until_in_force(&nodes, newest).await;

        for node in &nodes[3..] {
            let status = node.relay.status();
            assert!(matches!(status.origin, Some(Origin::Peer(_))), "{status:?}");
        }
    });
}

/// Guards against a partitioned domain that brings back older settings. The settings change twice
/// during the partition; the domain keeps its own, and catches up after the partition heals.
#[test]
fn a_partitioned_domain_catches_up_without_reverting_others() {
    run(async {
        let fixture = Fixture::default();
        let nodes = fixture.fleet(&[("a", 3), ("b", 3)]).await;
        let first = fixture.store.commit("first");
        fixture.until_in_force(&nodes, first).await;
        let (a, b) = nodes.split_at(3);
        let (a, b): (Vec<_>, Vec<_>) = (a.iter().collect(), b.iter().collect());

        set_path_between(&fixture.network, &a, &b, Path::Cut);
        b.iter().for_each(|node| node.store_cut.set(true));
        fixture.store.commit("second");
        let third = fixture.store.commit("third");
        fixture.until_in_force(a.iter().copied(), third).await;
        fixture.time.run_for(20_000).await;
        let revisions_while_cut: Vec<_> = b.iter().map(|node| node.settings.revision()).collect();
        set_path_between(&fixture.network, &a, &b, Path::Open);
        fixture.until_in_force(&nodes, third).await;

        assert_eq!(revisions_while_cut, [first; 3]);
        assert!(!any_reverted(&nodes));
    });
}

/// Guards against a lagging replica of the store that answers a watch with an older revision: no
/// daemon may revert to it, or call the store again without a delay.
#[test]
fn a_stale_read_of_the_store_changes_nothing() {
    run(async {
        let fixture = Fixture::default();
        let nodes = fixture.fleet(&[("a", 3)]).await;
        fixture.store.commit("first");
        let second = fixture.store.commit("second");
        fixture.until_in_force(&nodes, second).await;

        let stale = Delivery::Changes(vec![change(1, "first")]);
        *fixture.store.stale.borrow_mut() = Some(stale);
        let before = fixture.store.calls.get();
        fixture.time.run_for(60_000).await;

        assert!(!any_reverted(&nodes));
        assert!(nodes.iter().all(|node| node.settings.revision() == second));
        assert!(fixture.store.calls.get() - before < 60);
    });
}

/// Guards against daemons that cannot start while the store is down: all VMs of a domain are
/// replaced at once, and the new ones must get the settings from another domain.
#[test]
fn a_replaced_domain_starts_from_other_domains_while_the_store_is_down() {
    run(async {
        let fixture = Fixture::default();
        let mut nodes = fixture.fleet(&[("a", 3), ("b", 3)]).await;
        let newest = fixture.store.commit("first");
        fixture.until_in_force(&nodes, newest).await;

        fixture.store.down.set(true);
        let seed = nodes[0].address();
        nodes.drain(3..).for_each(|node| node.net.close());
        for vm in ["new0", "new1", "new2"] {
            let mut setup = fixture.setup(vm, "b");
            setup.seeds.push(seed);
            nodes.push(setup.start());
        }
        fixture.until_in_force(&nodes, newest).await;

        let status = nodes[5].relay.status();
        assert_eq!(status.waiting_for, None);
        assert!(matches!(status.origin, Some(Origin::Peer(_))));
    });
}

/// Guards against a daemon that waits for settings without reporting why: it starts with no peer
/// and a store that is down, and gets the settings once the store is back.
#[test]
fn a_daemon_with_no_peer_and_no_store_reports_what_it_waits_for() {
    run(async {
        let fixture = Fixture::default();
        fixture.store.commit("first");
        fixture.store.down.set(true);
        let node = fixture.setup("a0", "a").start();

        fixture.time.run_for(10_000).await;
        let waiting = node.relay.status().waiting_for;
        fixture.store.down.set(false);
        fixture.until_in_force([&node], Revision(1)).await;

        let waiting = waiting.expect("it waits");
        assert!(waiting.contains("no peer is known"), "{waiting}");
        assert!(waiting.contains("the store is unreachable"), "{waiting}");
        assert_eq!(node.relay.status().waiting_for, None);
    });
}

/// Guards against a new VM that cannot catch up because its peers no longer have all changes: it
/// must receive a snapshot, in parts that fit in a message.
#[test]
fn a_daemon_far_behind_gets_a_snapshot_in_parts() {
    run(async {
        let fixture = Fixture::default();
        let mut nodes = Vec::new();
        for (vm, domain) in [("a0", "a"), ("a1", "a"), ("a2", "a")] {
            let mut setup = fixture.setup(vm, domain);
            setup.relay_options.max_log_bytes = 5_000;
            setup.relay_options.max_part_bytes = 1_000;
            setup.seeds.extend(nodes.first().map(TestDaemon::address));
            nodes.push(setup.start());
        }
        for _ in 0..30 {
            fixture.store.commit(&"é".repeat(400));
        }
        fixture.until_in_force(&nodes, Revision(30)).await;

        fixture.store.down.set(true);
        let mut setup = fixture.setup("a3", "a");
        setup.seeds.push(nodes[0].address());
        nodes.push(setup.start());
        fixture.until_in_force(&nodes, Revision(30)).await;

        let (old, new) = (nodes[0].settings.snapshot(), nodes[3].settings.snapshot());
        let text = |s: Option<RelayedSnapshot>| s.map(|s| s.body.get().to_string());
        assert!(old.is_some());
        assert_eq!(text(new), text(old));
    });
}

/// Guards against a daemon that loses its settings, or pulls again at every heartbeat, because it
/// cannot read the newest revision, for example after a downgrade. It must keep the last readable
/// revision and report the refusal.
#[test]
fn an_unreadable_revision_leaves_the_previous_one_in_force() {
    run(async {
        let fixture = Fixture::default();
        let nodes = fixture.fleet(&[("a", 4)]).await;
        let first = fixture.store.commit("first");
        fixture.until_in_force(&nodes, first).await;
        let (old, rest) = nodes.split_first().expect("a fleet");
        old.settings.unreadable.set(Some(Revision(2)));

        fixture.store.commit("second");
        fixture.until_in_force(rest, Revision(2)).await;
        fixture.time.run_for(20_000).await;
        let (status, refusals) = (old.relay.status(), old.settings.refusals.get());
        fixture.store.commit("third");
        fixture.until_in_force(rest, Revision(3)).await;
        old.settings.unreadable.set(None);
        fixture.until_in_force(&nodes, Revision(3)).await;

        assert_eq!(status.revision, first);
        assert_eq!(
            status.refused,
            Some((Revision(2), String::from("a newer schema")))
        );
        assert!((1..10).contains(&refusals), "{refusals} refusals");
    });
}

/// Guards against a paused process that spreads its older settings when it resumes after a change.
#[test]
fn a_paused_daemon_resumes_without_reverting_others() {
    run(async {
        let fixture = Fixture::default();
        let nodes = fixture.fleet(&[("a", 4)]).await;
        let first = fixture.store.commit("first");
        fixture.until_in_force(&nodes, first).await;
        let (stopped, rest) = nodes.split_first().expect("a fleet");
        let rest: Vec<_> = rest.iter().collect();

        stopped.paused.set(true);
        stopped.store_cut.set(true);
        set_path_between(&fixture.network, &[stopped], &rest, Path::Cut);
        let second = fixture.store.commit("second");
        fixture.until_in_force(rest.iter().copied(), second).await;
        fixture.time.run_for(30_000).await;
        let current = stopped.settings.revision();
        set_path_between(&fixture.network, &[stopped], &rest, Path::Open);
        stopped.paused.set(false);
        fixture.until_in_force(&nodes, second).await;

        assert_eq!(current, first);
        assert!(!any_reverted(&nodes));
    });
}

/// Guards against a domain without watchers: both of its watchers die just before a change, and
/// other VMs of the domain must take over.
#[test]
fn watchers_that_die_are_replaced() {
    run(async {
        let fixture = Fixture::default();
        let mut nodes = fixture.fleet(&[("a", 6)]).await;
        let first = fixture.store.commit("first");
        fixture.until_in_force(&nodes, first).await;
        // Every daemon watches the store until it knows its peers; these watches end by then.
        fixture.time.run_for(5_000).await;

        nodes.retain(|node| {
            let dies = node.relay.status().watching;
            if dies {
                node.net.close();
                node.store_cut.set(true);
            }
            !dies
        });
        let second = fixture.store.commit("second");
        fixture.until_in_force(&nodes, second).await;

        assert_eq!(nodes.len(), 4);
        assert!(nodes.iter().any(|node| node.relay.status().watching));
    });
}

/// Guards against a corrupted message with a revision far ahead: after applying it, every later
/// change would be ignored as old.
#[test]
fn a_revision_too_far_ahead_is_refused() {
    run(async {
        let fixture = Fixture::default();
        let nodes = fixture.fleet(&[("a", 2)]).await;
        let first = fixture.store.commit("first");
        fixture.until_in_force(&nodes, first).await;

        let jump = RelayedSnapshot {
            revision: Revision(u64::MAX),
            body: serde_json::value::to_raw_value(&[change(u64::MAX, "far")]).expect("JSON"),
        };
        let refused = nodes[0].relay.deliver(Delivery::Snapshot(jump));
        let second = fixture.store.commit("second");
        fixture.until_in_force(&nodes, second).await;

        let refused = refused.expect_err("too far");
        assert!(refused.contains("too far ahead"), "{refused}");
    });
}

#[test]
fn a_replica_applies_only_newer_snapshots_and_notifies_of_each() {
    let snapshot = |revision: u64| {
        let empty = SettingsReplica::new().snapshot();
        let at = ChainPoint {
            revision: Revision(revision),
            ..empty.at
        };
        Delivery::Snapshot(RelayedSnapshot {
            revision: Revision(revision),
            body: serde_json::value::to_raw_value(&Snapshot { at, ..empty }).expect("JSON"),
        })
    };
    let notified = Rc::new(RefCell::new(Vec::new()));
    let recorder = Rc::clone(&notified);
    let replica = Rc::new(RefCell::new(SettingsReplica::new()));
    let port =
        SettingsPort::for_replica(replica, Rc::new(move |rev| recorder.borrow_mut().push(rev)));
    let initial = (port.snapshot)();

    for revision in [5, 3, 7] {
        (port.apply)(&snapshot(revision)).expect("read");
    }

    assert!(initial.is_none());
    assert_eq!((port.revision)(), Revision(7));
    assert_eq!(*notified.borrow(), [Revision(5), Revision(7)]);
    assert_eq!((port.snapshot)().map(|s| s.revision), Some(Revision(7)));
}

/// Guards against overloading a store that is down: its watchers must retry with growing delays.
#[test]
fn a_store_that_is_down_is_called_rarely() {
    run(async {
        let fixture = Fixture::default();
        let nodes = fixture.fleet(&[("a", 4)]).await;
        let first = fixture.store.commit("first");
        fixture.until_in_force(&nodes, first).await;
        fixture.time.run_for(5_000).await;

        fixture.store.down.set(true);
        let before = fixture.store.calls.get();
        fixture.time.run_for(60_000).await;
        let calls = fixture.store.calls.get() - before;
        fixture.store.down.set(false);
        let second = fixture.store.commit("second");
        fixture.until_in_force(&nodes, second).await;

        assert!(calls < 60, "{calls} calls of 2 watchers in a minute");
        assert!(all_alive(&nodes));
    });
}

/// Guards against a watch that stops delivering without an error: a daemon without settings must
/// renew the watch to receive a later change.
#[test]
fn a_watch_that_stops_delivering_is_renewed() {
    run(async {
        let fixture = Fixture::default();
        let quiet = Rc::new(Cell::new(true));
        let mut setup = fixture.setup("a0", "a");
        let (store, time) = (
            fixture.store.port(&fixture.time, &Rc::default()),
            fixture.time.timer(),
        );
        let is_quiet = Rc::clone(&quiet);
        setup.store = Some(heatherknot_peer::StorePort {
            next: Rc::new(move |after| {
                if !is_quiet.get() {
                    return (store.next)(after);
                }
                let time = time.clone();
                Box::pin(async move {
                    time.wait(Millis(u64::MAX / 2)).await;
                    Err(String::from("never"))
                })
            }),
        });
        let node = setup.start();
        fixture.time.run_for(5_000).await;

        quiet.set(false);
        let first = fixture.store.commit("first");
        fixture.until_in_force([&node], first).await;

        assert_eq!(node.relay.status().origin, Some(Origin::Store));
    });
}
