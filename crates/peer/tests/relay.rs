//! Relay of settings over loopback: who gets what, and that nothing goes back.

mod support;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use heatherknot_peer::{Delivery, Origin, RelayedSnapshot, SettingsPort};
use heatherknot_settings::change::ChainPoint;
use heatherknot_settings::holder::{Holder, Snapshot};
use heatherknot_types::prelude::*;
use support::fleet::{
    FakeStore, TestDaemon, TestDaemonSetup, all_alive, change, set_path_between,
    settled_fleet_with_store,
};
use support::{Network, Path, TestTime, run};

/// Everything that a test of the relay stands on.
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

/// A domain can't reach the platform, but its peers in another domain. A change accepted
/// meanwhile is in force there too, without any of its VMs having heard the store.
#[test]
fn a_domain_cut_off_from_the_store_hears_from_other_domains() {
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

/// A domain is cut off from everything while settings change twice. It keeps what it has.
/// When the cut heals it catches up, and the others never take its older settings.
#[test]
fn a_domain_that_comes_back_with_older_settings_catches_up() {
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

/// The store answers a watch with an older revision than it gave before, as a lagging replica
/// would. No daemon goes back, and the store isn't asked again and again at once.
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

/// All VMs of a domain are replaced at once while the store is down. The new ones hold
/// nothing; they start from the peers of the other domain.
#[test]
fn a_domain_replaced_whole_while_the_store_is_down_starts_from_other_domains() {
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

/// A daemon starts with no peer that answers and a store that is down. It has no settings and
/// says what it waits for; when the store comes back it has them.
#[test]
fn a_daemon_with_no_peer_and_no_store_says_what_it_waits_for() {
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
        assert!(waiting.contains("the store is away"), "{waiting}");
        assert_eq!(node.relay.status().waiting_for, None);
    });
}

/// A new VM joins after more changes than its peers keep. It gets all settings in parts, each
/// below the bound of a message.
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

/// One daemon can't read a revision, as after a downgrade. It keeps the last good one, says
/// so, and does not fetch the same thing from its peers at every heartbeat.
#[test]
fn a_revision_that_cannot_be_read_keeps_the_last_good_one() {
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

/// A process is stopped while settings change, and goes on with what it held. It takes the
/// newer settings and gives its older ones to nobody.
#[test]
fn a_paused_daemon_comes_back_without_reverting_anybody() {
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
        let held = stopped.settings.revision();
        set_path_between(&fixture.network, &[stopped], &rest, Path::Open);
        stopped.paused.set(false);
        fixture.until_in_force(&nodes, second).await;

        assert_eq!(held, first);
        assert!(!any_reverted(&nodes));
    });
}

/// Both VMs that watch the store die, and the next change comes right after. Others of the
/// domain take the watch over without a word between them.
#[test]
fn watchers_that_die_are_replaced() {
    run(async {
        let fixture = Fixture::default();
        let mut nodes = fixture.fleet(&[("a", 6)]).await;
        let first = fixture.store.commit("first");
        fixture.until_in_force(&nodes, first).await;
        // The watches that every daemon begins with, while it knows nobody, end by then.
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

/// A damaged message names a revision far ahead. Taking it would make every later change look
/// old, so it is refused and reported.
#[test]
fn a_huge_jump_of_the_revision_is_refused() {
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
fn a_holder_takes_newer_snapshots_only_and_tells_of_each_new_revision() {
    let snapshot = |revision: u64| {
        let empty = Holder::new().snapshot();
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
    let holder = Rc::new(RefCell::new(Holder::new()));
    let port =
        SettingsPort::for_holder(holder, Rc::new(move |rev| recorder.borrow_mut().push(rev)));
    let nothing = (port.snapshot)();

    for revision in [5, 3, 7] {
        (port.apply)(&snapshot(revision)).expect("read");
    }

    assert!(nothing.is_none());
    assert_eq!((port.revision)(), Revision(7));
    assert_eq!(*notified.borrow(), [Revision(5), Revision(7)]);
    assert_eq!((port.snapshot)().map(|s| s.revision), Some(Revision(7)));
}

/// The store comes and goes while the fleet watches it. Its daemons ask it again at growing
/// pauses, not all the time.
#[test]
fn a_store_that_is_down_is_asked_rarely() {
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

/// Two daemons that know each other start with nothing, and the only change is accepted after
/// their own watch went quiet without an error: the watch is renewed.
#[test]
fn a_quiet_watch_is_renewed() {
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
            next: Rc::new(move |held| {
                if !is_quiet.get() {
                    return (store.next)(held);
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
