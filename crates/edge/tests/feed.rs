//! Tests of the feed: when a VM's copy counts as fresh, when it calls the store, and when a missing
//! entry means that a server is gone.

mod support;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use heatherknot_edge::feed::Feed;
use heatherknot_edge::peer_feed::select_source;
use heatherknot_edge::world::RoutingState;
use heatherknot_store::port::{Store, StoreRevision};
use heatherknot_types::prelude::*;
use support::{TestClock, delete, entry, put, world};

/// A store that never answers; the tests inject all updates themselves.
fn silent_store() -> Store {
    Store {
        peer: "127.0.0.1:9".parse().expect("an address"),
        range: Rc::new(|_| Box::pin(std::future::pending())),
        txn: Rc::new(|_| Box::pin(std::future::pending())),
        lease_grant: Rc::new(|_| Box::pin(std::future::pending())),
        lease_keepalive: Rc::new(|_| Box::pin(std::future::pending())),
        lease_revoke: Rc::new(|_| Box::pin(std::future::pending())),
        watch: Rc::new(|_| Box::pin(std::future::pending())),
    }
}

/// Creates the feed of a VM that is not a watcher and has been running for a long time.
fn feed(clock: &TestClock) -> (Rc<Feed>, Rc<RefCell<RoutingState>>) {
    let world = Rc::new(RefCell::new(world(&clock.clock())));
    let settle = Millis(2_500);
    let feed = Feed::new(silent_store(), clock.timer(), Rc::clone(&world), settle);
    feed.set_watch_policy(|| false, || None);
    feed.stop_awaiting_peers();
    (feed, world)
}

fn servers(world: &RefCell<RoutingState>) -> usize {
    world.borrow().upstreams(&"gallery".into()).len()
}

/// Two VMs that are cut off from the store must not take each other's answers for fresh updates:
/// neither would ever watch the store again, and both would keep an old configuration long after
/// the connection is restored.
#[test]
fn two_vms_without_the_store_do_not_vouch_for_each_other() {
    let clock = TestClock::default();
    clock.advance(10_000);
    let (one, _) = feed(&clock);
    let (other, _) = feed(&clock);
    one.note_peer_data_age(Millis(100));
    other.note_peer_data_age(Millis(100));
    assert!(
        !one.should_watch_store(),
        "both have just heard of the store"
    );

    for _ in 0..20 {
        clock.advance(200);
        let age = other.age().expect("it has heard once");
        one.note_peer_data_age(age);
        let age = one.age().expect("it has heard once");
        other.note_peer_data_age(age);
    }

    assert!(!one.is_fresh());
    assert!(one.should_watch_store() && other.should_watch_store());
}

/// A VM that cannot reach the store itself learns of a deleted entry from its domain's watcher. If
/// it waited until its own store connection settled, it would keep sending requests to the removed
/// server.
#[test]
fn a_vm_that_hears_from_peers_again_drops_servers_that_are_gone() {
    let clock = TestClock::default();
    clock.advance(10_000);
    let (feed, world) = feed(&clock);
    let joined = vec![put("server/a", entry("ready", 0, 1), 3)];
    feed.apply_changes(joined, StoreRevision(3), true);
    assert_eq!(servers(&world), 1);

    feed.apply_changes(
        vec![delete("server/a", 4)],
        StoreRevision(4),
        feed.is_settled(),
    );
    assert_eq!(servers(&world), 1, "its entry may come back");
    feed.note_peer_data_age(Millis(50));
    assert_eq!(
        servers(&world),
        1,
        "a peer that is not settled confirms nothing"
    );

    feed.remove_missing_servers();
    assert_eq!(servers(&world), 0);
}

#[test]
fn an_event_tells_of_changes_that_peers_need_and_of_no_others() {
    let clock = TestClock::default();
    let (feed, _) = feed(&clock);
    let news = feed.next_change();
    feed.apply_changes(
        vec![put("server/a", entry("ready", 0, 1), 3)],
        StoreRevision(3),
        true,
    );
    assert!(news.is_fired());

    let news = feed.next_change();
    feed.apply_changes(
        vec![put("server/a", entry("ready", 0, 2), 4)],
        StoreRevision(4),
        true,
    );
    assert!(!news.is_fired(), "the server only says that it lives");
    feed.apply_changes(
        vec![put("server/a", entry("leaving", 0, 3), 5)],
        StoreRevision(5),
        true,
    );
    assert!(news.is_fired());
}

#[test]
fn entries_may_come_back_for_a_while_after_a_time_without_any_word() {
    let clock = TestClock::default();
    clock.advance(10_000);
    let (feed, _) = feed(&clock);
    feed.note_peer_data_age(Millis(0));
    assert!(!feed.is_settled(), "nobody knows what was before");
    for _ in 0..13 {
        clock.advance(200);
        feed.note_peer_data_age(Millis(0));
    }
    assert!(feed.is_settled());

    clock.advance(5_000);
    feed.note_peer_data_age(Millis(0));
    assert!(!feed.is_settled());

    for _ in 0..13 {
        clock.advance(200);
        feed.note_peer_data_age(Millis(0));
    }
    assert!(feed.is_settled());
}

/// If each of three hundred VMs that start together read all keys from a store in another region,
/// the traffic between regions would exceed that of a minute of service.
#[test]
fn a_vm_that_has_just_started_waits_for_its_peers_before_it_reads_everything() {
    let clock = TestClock::default();
    let world = Rc::new(RefCell::new(world(&clock.clock())));
    let feed = Feed::new(silent_store(), clock.timer(), world, Millis(2_500));
    feed.set_watch_policy(|| false, || None);
    assert!(!feed.should_watch_store(), "peers may tell it");

    clock.advance(2_100);
    assert!(feed.should_watch_store(), "nobody did");

    feed.note_peer_data_age(Millis(100));
    assert!(!feed.should_watch_store(), "somebody does now");
}

/// During a store outage of nine seconds, attempts by each of three hundred VMs every 0.4 s would
/// be seven thousand useless calls, each as expensive as three requests.
#[test]
fn a_vm_whose_peers_hear_nothing_either_leaves_the_store_alone() {
    let clock = TestClock::default();
    clock.advance(10_000);
    let (feed, _) = feed(&clock);
    feed.set_watch_policy(|| false, || Some(Millis(30_000)));
    feed.note_peer_data_age(Millis(0));

    clock.advance(1_300);
    feed.note_stale_peer();
    clock.advance(9_000);
    assert!(!feed.should_watch_store(), "its peers would tell it");

    feed.note_peer_data_age(Millis(50));
    clock.advance(2_000);
    assert!(
        feed.should_watch_store(),
        "no peer has told it anything since the store was back"
    );
}

/// If every answer without news delayed a VM's own attempt once more, a VM whose peers are all
/// rejected by the store would never find out that the store accepts it again.
#[test]
fn quiet_peers_put_a_try_off_once_and_not_for_good() {
    let clock = TestClock::default();
    clock.advance(10_000);
    let (feed, _) = feed(&clock);
    feed.set_watch_policy(|| false, || Some(Millis(5_000)));
    feed.note_peer_data_age(Millis(0));

    clock.advance(1_300);
    for _ in 0..10 {
        feed.note_stale_peer();
        assert!(!feed.should_watch_store());
        clock.advance(500);
    }

    assert!(feed.should_watch_store());
}

#[test]
fn a_watcher_tries_the_store_whatever_its_peers_hear() {
    let clock = TestClock::default();
    clock.advance(10_000);
    let (feed, _) = feed(&clock);
    feed.set_watch_policy(|| true, || Some(Millis(30_000)));

    feed.note_stale_peer();

    assert!(feed.should_watch_store());
}

/// If the store rejects both leaders of a domain but serves other VMs, the domain's VMs must keep
/// asking VMs elsewhere. Returning to the leaders, who hold their answers back, after each attempt
/// delayed a configuration change by seven seconds, and callers got 404 for new routes.
#[test]
fn while_its_leaders_hear_nothing_a_vm_asks_one_vm_after_the_other() {
    let leaders = || vec![VmName::from("head"), VmName::from("deputy")];
    let mut avoided = HashMap::new();
    assert_eq!(
        select_source(leaders(), &avoided, || None),
        Some("head".into())
    );
    avoided.insert("head".into(), Millis(3_000));
    assert_eq!(
        select_source(leaders(), &avoided, || None),
        Some("deputy".into())
    );
    avoided.insert("deputy".into(), Millis(3_400));

    for elsewhere in ["one", "two", "three"] {
        let asked = select_source(leaders(), &avoided, || Some(elsewhere.into()));
        assert_eq!(asked, Some(elsewhere.into()));
        avoided.insert(elsewhere.into(), Millis(4_000));
    }
}
