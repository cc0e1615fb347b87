//! Who counts as in touch with the store, and when a missing entry means that it is gone.

mod support;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use heatherknot_edge::feed::Feed;
use heatherknot_edge::peer_feed::whom_to_ask;
use heatherknot_edge::world::RoutingState;
use heatherknot_store::port::{Store, StoreRevision};
use heatherknot_types::prelude::*;
use support::{TestClock, delete, entry, put, world};

/// A store that nothing answers: these tests say themselves what was heard.
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

/// Makes the feed of a VM that is not among those that watch the store, and has run for long.
fn feed(clock: &TestClock) -> (Rc<Feed>, Rc<RefCell<RoutingState>>) {
    let world = Rc::new(RefCell::new(world(&clock.clock())));
    let settle = Millis(2_500);
    let feed = Feed::new(silent_store(), clock.timer(), Rc::clone(&world), settle);
    feed.set_watch_policy(|| false, || None);
    feed.end_patience();
    (feed, world)
}

fn servers(world: &RefCell<RoutingState>) -> usize {
    world.borrow().upstreams(&"gallery".into()).len()
}

/// Story: two VMs are cut off from the store and reach each other. Each asks the other what
/// changed, and counts the answer as a word of the store. Neither ever watches the store
/// again, and both serve an old configuration long after the cut has healed.
#[test]
fn two_vms_without_the_store_do_not_vouch_for_each_other() {
    let clock = TestClock::default();
    clock.advance(10_000);
    let (one, _) = feed(&clock);
    let (other, _) = feed(&clock);
    one.heard_from_peer(Millis(100));
    other.heard_from_peer(Millis(100));
    assert!(!one.is_to_watch(), "both have just heard of the store");

    for _ in 0..20 {
        clock.advance(200);
        let age = other.age().expect("it has heard once");
        one.heard_from_peer(age);
        let age = one.age().expect("it has heard once");
        other.heard_from_peer(age);
    }

    assert!(!one.is_fresh());
    assert!(one.is_to_watch() && other.is_to_watch());
}

/// Story: a VM loses the store, its domain's watcher does not. A server's entry is removed
/// meanwhile. The VM hears so from the watcher but waits for the store to settle, which it
/// never calls again: the server gets requests for good.
#[test]
fn a_vm_that_hears_from_peers_again_drops_servers_that_are_gone() {
    let clock = TestClock::default();
    clock.advance(10_000);
    let (feed, world) = feed(&clock);
    let joined = vec![put("server/a", entry("ready", 0, 1), 3)];
    feed.take_changes(joined, StoreRevision(3), true);
    assert_eq!(servers(&world), 1);

    feed.take_changes(
        vec![delete("server/a", 4)],
        StoreRevision(4),
        feed.is_settled(),
    );
    assert_eq!(servers(&world), 1, "its entry may come back");
    feed.heard_from_peer(Millis(50));
    assert_eq!(
        servers(&world),
        1,
        "a peer that is not settled confirms nothing"
    );

    feed.confirm();
    assert_eq!(servers(&world), 0);
}

#[test]
fn an_event_tells_of_changes_that_peers_need_and_of_no_others() {
    let clock = TestClock::default();
    let (feed, _) = feed(&clock);
    let news = feed.news();
    feed.take_changes(
        vec![put("server/a", entry("ready", 0, 1), 3)],
        StoreRevision(3),
        true,
    );
    assert!(news.is_fired());

    let news = feed.news();
    feed.take_changes(
        vec![put("server/a", entry("ready", 0, 2), 4)],
        StoreRevision(4),
        true,
    );
    assert!(!news.is_fired(), "the server only says that it lives");
    feed.take_changes(
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
    feed.heard_from_peer(Millis(0));
    assert!(!feed.is_settled(), "nobody knows what was before");
    for _ in 0..13 {
        clock.advance(200);
        feed.heard_from_peer(Millis(0));
    }
    assert!(feed.is_settled());

    clock.advance(5_000);
    feed.heard_from_peer(Millis(0));
    assert!(!feed.is_settled());

    for _ in 0..13 {
        clock.advance(200);
        feed.heard_from_peer(Millis(0));
    }
    assert!(feed.is_settled());
}

/// Story: three hundred VMs start together, and each reads all keys from a store that is in
/// another region for most of them. The list of thousands of servers crosses to each of them,
/// and costs more than a minute of service.
#[test]
fn a_vm_that_has_just_started_waits_for_its_peers_before_it_reads_everything() {
    let clock = TestClock::default();
    let world = Rc::new(RefCell::new(world(&clock.clock())));
    let feed = Feed::new(silent_store(), clock.timer(), world, Millis(2_500));
    feed.set_watch_policy(|| false, || None);
    assert!(!feed.is_to_watch(), "peers may tell it");

    clock.advance(2_100);
    assert!(feed.is_to_watch(), "nobody did");

    feed.heard_from_peer(Millis(100));
    assert!(!feed.is_to_watch(), "somebody does now");
}

/// Story: the store is away for nine seconds. Each of three hundred VMs tries it every 0.4 s for
/// as long, seven thousand calls that tell nothing, and each call costs as much as three requests.
#[test]
fn a_vm_whose_peers_hear_nothing_either_leaves_the_store_alone() {
    let clock = TestClock::default();
    clock.advance(10_000);
    let (feed, _) = feed(&clock);
    feed.set_watch_policy(|| false, || Some(Millis(30_000)));
    feed.heard_from_peer(Millis(0));

    clock.advance(1_300);
    feed.note_quiet_peer();
    clock.advance(9_000);
    assert!(!feed.is_to_watch(), "its peers would tell it");

    feed.heard_from_peer(Millis(50));
    clock.advance(2_000);
    assert!(
        feed.is_to_watch(),
        "no peer has told it anything since the store was back"
    );
}

/// Story: a VM and the peers that it asks are turned away by the store for good, which serves the
/// others. Each answer that tells nothing puts its next own try off once more, and it never finds
/// out that the store takes it again.
#[test]
fn quiet_peers_put_a_try_off_once_and_not_for_good() {
    let clock = TestClock::default();
    clock.advance(10_000);
    let (feed, _) = feed(&clock);
    feed.set_watch_policy(|| false, || Some(Millis(5_000)));
    feed.heard_from_peer(Millis(0));

    clock.advance(1_300);
    for _ in 0..10 {
        feed.note_quiet_peer();
        assert!(!feed.is_to_watch());
        clock.advance(500);
    }

    assert!(feed.is_to_watch());
}

#[test]
fn a_watcher_tries_the_store_whatever_its_peers_hear() {
    let clock = TestClock::default();
    clock.advance(10_000);
    let (feed, _) = feed(&clock);
    feed.set_watch_policy(|| true, || Some(Millis(30_000)));

    feed.note_quiet_peer();

    assert!(feed.is_to_watch());
}

/// Story: the store turns away both leaders of a domain and serves most other VMs. The domain's
/// VMs ask one VM elsewhere that has not heard either, then their leaders again, who hold their
/// answers back, and so on: a change of the configuration reaches them after seven seconds, and
/// callers get 404 for routes that were added.
#[test]
fn while_its_leaders_hear_nothing_a_vm_asks_one_vm_after_the_other() {
    let leaders = || vec![VmName::from("head"), VmName::from("deputy")];
    let mut avoided = HashMap::new();
    assert_eq!(
        whom_to_ask(leaders(), &avoided, || None),
        Some("head".into())
    );
    avoided.insert("head".into(), Millis(3_000));
    assert_eq!(
        whom_to_ask(leaders(), &avoided, || None),
        Some("deputy".into())
    );
    avoided.insert("deputy".into(), Millis(3_400));

    for elsewhere in ["one", "two", "three"] {
        let asked = whom_to_ask(leaders(), &avoided, || Some(elsewhere.into()));
        assert_eq!(asked, Some(elsewhere.into()));
        avoided.insert(elsewhere.into(), Millis(4_000));
    }
}
