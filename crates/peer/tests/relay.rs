//! Relay of settings over loopback: who gets what, and that nothing goes back.

mod support;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use heatherknot_peer::{Delivery, Origin, RelayedSnapshot, SettingsPort};
use heatherknot_settings::change::ChainPoint;
use heatherknot_settings::replica::{SettingsReplica, Snapshot};
use heatherknot_types::prelude::*;
use support::fleet::{
    FakeStore, Node, NodeSetup, all_alive, change, set_between, settled_fleet_with_store,
};
use support::{Network, Path, TestTime, run};

/// Everything that a test of the relay stands on.
#[derive(Default)]
struct Bench {
    time: TestTime,
    network: Network,
    store: FakeStore,
}

impl Bench {
    async fn fleet(&self, domains: &[(&str, usize)]) -> Vec<Node> {
        settled_fleet_with_store(domains, &self.time, &self.network, &self.store).await
    }

    fn setup(&self, vm: &str, domain: &str) -> NodeSetup {
        NodeSetup::new(vm, domain, &self.time, &self.network).with_store(&self.store, &self.time)
    }

    async fn until_in_force<'a>(&self, nodes: impl IntoIterator<Item = &'a Node>, rev: Revision) {
        let nodes: Vec<_> = nodes.into_iter().collect();
        let in_force = || nodes.iter().all(|node| node.settings.revision() == rev);
        self.time.until("the revision is in force", in_force).await;
    }
}

fn any_reverted(nodes: &[Node]) -> bool {
    nodes.iter().any(|node| node.settings.reverted.get())
}

#[test]
fn a_change_reaches_all_while_two_vms_of_each_domain_watch() {
    run(async {
        let bench = Bench::default();
        let nodes = bench.fleet(&[("a", 5), ("b", 5)]).await;
        bench.store.commit("first");
        bench.until_in_force(&nodes, Revision(1)).await;
        bench.time.pass(5_000).await;

        let waiting = bench.store.waiting.get();
        let before = bench.time.now();
        let newest = bench.store.commit("second");
        bench.until_in_force(&nodes, newest).await;

        assert_eq!(waiting, 4);
        let watching = nodes.iter().filter(|node| node.relay.status().watching);
        assert_eq!(watching.count(), 4);
        assert!(bench.time.now().since(before) < Millis(6_000));
    });
}

/// A domain can't reach the platform, but its peers in another domain. A change accepted
/// meanwhile is in force there too, without any of its VMs having heard the store.
#[test]
fn a_domain_cut_off_from_the_store_hears_from_other_domains() {
    run(async {
        let bench = Bench::default();
        let nodes = bench.fleet(&[("a", 3), ("b", 3)]).await;
        nodes[3..].iter().for_each(|node| node.store_cut.set(true));

        let newest = bench.store.commit("first");
        bench.until_in_force(&nodes, newest).await;

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
        let bench = Bench::default();
        let nodes = bench.fleet(&[("a", 3), ("b", 3)]).await;
        let first = bench.store.commit("first");
        bench.until_in_force(&nodes, first).await;
        let (a, b) = nodes.split_at(3);
        let (a, b): (Vec<_>, Vec<_>) = (a.iter().collect(), b.iter().collect());

        set_between(&bench.network, &a, &b, Path::Cut);
        b.iter().for_each(|node| node.store_cut.set(true));
        bench.store.commit("second");
        let third = bench.store.commit("third");
        bench.until_in_force(a.iter().copied(), third).await;
        bench.time.pass(20_000).await;
        let kept: Vec<_> = b.iter().map(|node| node.settings.revision()).collect();
        set_between(&bench.network, &a, &b, Path::Open);
        bench.until_in_force(&nodes, third).await;

        assert_eq!(kept, [first; 3]);
        assert!(!any_reverted(&nodes));
    });
}

/// The store answers a watch with an older revision than it gave before, as a lagging replica
/// would. No daemon goes back, and the store isn't asked again and again at once.
#[test]
fn a_stale_read_of_the_store_changes_nothing() {
    run(async {
        let bench = Bench::default();
        let nodes = bench.fleet(&[("a", 3)]).await;
        bench.store.commit("first");
        let second = bench.store.commit("second");
        bench.until_in_force(&nodes, second).await;

        let stale = Delivery::Changes(vec![change(1, "first")]);
        *bench.store.stale.borrow_mut() = Some(stale);
        let before = bench.store.calls.get();
        bench.time.pass(60_000).await;

        assert!(!any_reverted(&nodes));
        assert!(nodes.iter().all(|node| node.settings.revision() == second));
        assert!(bench.store.calls.get() - before < 60);
    });
}

/// All VMs of a domain are replaced at once while the store is down. The new ones hold
/// nothing; they start from the peers of the other domain.
#[test]
fn a_domain_replaced_whole_while_the_store_is_down_starts_from_other_domains() {
    run(async {
        let bench = Bench::default();
        let mut nodes = bench.fleet(&[("a", 3), ("b", 3)]).await;
        let newest = bench.store.commit("first");
        bench.until_in_force(&nodes, newest).await;

        bench.store.down.set(true);
        let seed = nodes[0].address();
        nodes.drain(3..).for_each(|node| node.net.close());
        for vm in ["new0", "new1", "new2"] {
            let mut setup = bench.setup(vm, "b");
            setup.seeds.push(seed);
            nodes.push(setup.start());
        }
        bench.until_in_force(&nodes, newest).await;

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
        let bench = Bench::default();
        bench.store.commit("first");
        bench.store.down.set(true);
        let node = bench.setup("a0", "a").start();

        bench.time.pass(10_000).await;
        let waiting = node.relay.status().waiting_for;
        bench.store.down.set(false);
        bench.until_in_force([&node], Revision(1)).await;

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
        let bench = Bench::default();
        let mut nodes = Vec::new();
        for (vm, domain) in [("a0", "a"), ("a1", "a"), ("a2", "a")] {
            let mut setup = bench.setup(vm, domain);
            setup.relay_options.max_log = 5_000;
            setup.relay_options.max_part = 1_000;
            setup.seeds.extend(nodes.first().map(Node::address));
            nodes.push(setup.start());
        }
        for _ in 0..30 {
            bench.store.commit(&"é".repeat(400));
        }
        bench.until_in_force(&nodes, Revision(30)).await;

        bench.store.down.set(true);
        let mut setup = bench.setup("a3", "a");
        setup.seeds.push(nodes[0].address());
        nodes.push(setup.start());
        bench.until_in_force(&nodes, Revision(30)).await;

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
        let bench = Bench::default();
        let nodes = bench.fleet(&[("a", 4)]).await;
        let first = bench.store.commit("first");
        bench.until_in_force(&nodes, first).await;
        let (old, rest) = nodes.split_first().expect("a fleet");
        old.settings.unreadable.set(Some(Revision(2)));

        bench.store.commit("second");
        bench.until_in_force(rest, Revision(2)).await;
        bench.time.pass(20_000).await;
        let (status, refusals) = (old.relay.status(), old.settings.refusals.get());
        bench.store.commit("third");
        bench.until_in_force(rest, Revision(3)).await;
        old.settings.unreadable.set(None);
        bench.until_in_force(&nodes, Revision(3)).await;

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
        let bench = Bench::default();
        let nodes = bench.fleet(&[("a", 4)]).await;
        let first = bench.store.commit("first");
        bench.until_in_force(&nodes, first).await;
        let (stopped, rest) = nodes.split_first().expect("a fleet");
        let rest: Vec<_> = rest.iter().collect();

        stopped.paused.set(true);
        stopped.store_cut.set(true);
        set_between(&bench.network, &[stopped], &rest, Path::Cut);
        let second = bench.store.commit("second");
        bench.until_in_force(rest.iter().copied(), second).await;
        bench.time.pass(30_000).await;
        let held = stopped.settings.revision();
        set_between(&bench.network, &[stopped], &rest, Path::Open);
        stopped.paused.set(false);
        bench.until_in_force(&nodes, second).await;

        assert_eq!(held, first);
        assert!(!any_reverted(&nodes));
    });
}

/// Both VMs that watch the store die, and the next change comes right after. Others of the
/// domain take the watch over without a word between them.
#[test]
fn watchers_that_die_are_replaced() {
    run(async {
        let bench = Bench::default();
        let mut nodes = bench.fleet(&[("a", 6)]).await;
        let first = bench.store.commit("first");
        bench.until_in_force(&nodes, first).await;
        // The watches that every daemon begins with, while it knows nobody, end by then.
        bench.time.pass(5_000).await;

        nodes.retain(|node| {
            let dies = node.relay.status().watching;
            if dies {
                node.net.close();
                node.store_cut.set(true);
            }
            !dies
        });
        let second = bench.store.commit("second");
        bench.until_in_force(&nodes, second).await;

        assert_eq!(nodes.len(), 4);
        assert!(nodes.iter().any(|node| node.relay.status().watching));
    });
}

/// A damaged message names a revision far ahead. Taking it would make every later change look
/// old, so it is refused and reported.
#[test]
fn a_huge_jump_of_the_revision_is_refused() {
    run(async {
        let bench = Bench::default();
        let nodes = bench.fleet(&[("a", 2)]).await;
        let first = bench.store.commit("first");
        bench.until_in_force(&nodes, first).await;

        let far = RelayedSnapshot {
            revision: Revision(u64::MAX),
            body: serde_json::value::to_raw_value(&[change(u64::MAX, "far")]).expect("JSON"),
        };
        let refused = nodes[0].relay.deliver(Delivery::Snapshot(far));
        let second = bench.store.commit("second");
        bench.until_in_force(&nodes, second).await;

        let refused = refused.expect_err("too far");
        assert!(refused.contains("too far ahead"), "{refused}");
    });
}

#[test]
fn a_holder_takes_newer_snapshots_only_and_tells_of_each_new_revision() {
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
    let told = Rc::new(RefCell::new(Vec::new()));
    let tell = Rc::clone(&told);
    let holder = Rc::new(RefCell::new(SettingsReplica::new()));
    let port = SettingsPort::for_holder(holder, Rc::new(move |rev| tell.borrow_mut().push(rev)));
    let nothing = (port.snapshot)();

    for revision in [5, 3, 7] {
        (port.apply)(&snapshot(revision)).expect("read");
    }

    assert!(nothing.is_none());
    assert_eq!((port.revision)(), Revision(7));
    assert_eq!(*told.borrow(), [Revision(5), Revision(7)]);
    assert_eq!((port.snapshot)().map(|s| s.revision), Some(Revision(7)));
}

/// The store comes and goes while the fleet watches it. Its daemons ask it again at growing
/// pauses, not all the time.
#[test]
fn a_store_that_is_down_is_asked_rarely() {
    run(async {
        let bench = Bench::default();
        let nodes = bench.fleet(&[("a", 4)]).await;
        let first = bench.store.commit("first");
        bench.until_in_force(&nodes, first).await;
        bench.time.pass(5_000).await;

        bench.store.down.set(true);
        let before = bench.store.calls.get();
        bench.time.pass(60_000).await;
        let calls = bench.store.calls.get() - before;
        bench.store.down.set(false);
        let second = bench.store.commit("second");
        bench.until_in_force(&nodes, second).await;

        assert!(calls < 60, "{calls} calls of 2 watchers in a minute");
        assert!(all_alive(&nodes));
    });
}

/// Two daemons that know each other start with nothing, and the only change is accepted after
/// their own watch went quiet without an error: the watch is renewed.
#[test]
fn a_quiet_watch_is_renewed() {
    run(async {
        let bench = Bench::default();
        let quiet = Rc::new(Cell::new(true));
        let mut setup = bench.setup("a0", "a");
        let (store, time) = (
            bench.store.port(&bench.time, &Rc::default()),
            bench.time.timer(),
        );
        let asked = Rc::clone(&quiet);
        setup.store = Some(heatherknot_peer::StorePort {
            next: Rc::new(move |held| {
                if !asked.get() {
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
        bench.time.pass(5_000).await;

        quiet.set(false);
        let first = bench.store.commit("first");
        bench.until_in_force([&node], first).await;

        assert_eq!(node.relay.status().origin, Some(Origin::Store));
    });
}
