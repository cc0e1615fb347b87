//! Tests of the feed: when a VM's copy counts as fresh, when it calls the store, and when a missing
//! entry means that a server is gone.

mod support;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use futures_util::{FutureExt, StreamExt, stream};
use heatherknot_edge::feed::Feed;
use heatherknot_edge::peer_feed::select_source;
use heatherknot_edge::propagation::{HEAD_ASKS_STORE_AFTER, UNANSWERED_AFTER, VM_ASKS_STORE_AFTER};
use heatherknot_edge::routing_state::RoutingState;
use heatherknot_http::Flag;
use heatherknot_store::port::{RangeResponse, Store, StoreRevision, WatchMessage, WatchStream};
use heatherknot_types::prelude::*;
use support::{TestClock, delete, entry, feed, put, routing_state, silent_store};

fn servers(routing_state: &RefCell<RoutingState>) -> usize {
    routing_state.borrow().upstreams(&"gallery".into()).len()
}

/// Two VMs that are cut off from the store must not take each other's answers for fresh updates:
/// neither would ever watch the store again, and both would keep an old configuration long after
/// the connection is restored.
#[test]
fn vms_without_the_store_do_not_refresh_each_other() {
    let clock = TestClock::default();
    clock.advance(10_000);
    let (one, _) = feed(&clock);
    let (other, _) = feed(&clock);
    one.record_peer_data(Millis(100), 1);
    other.record_peer_data(Millis(100), 1);
    assert!(!one.should_watch_store(), "both have a recent update");

    for _ in 0..20 {
        clock.advance(200);
        let age = other.age().expect("it received an update");
        one.record_peer_data(age, 1);
        let age = one.age().expect("it received an update");
        other.record_peer_data(age, 1);
    }

    assert!(!one.is_fresh());
    assert!(one.should_watch_store() && other.should_watch_store());
}

/// A VM that cannot reach the store itself learns of a deleted entry from its domain's watcher. If
/// it waited until its own store connection settled, it would keep sending requests to the removed
/// server.
#[test]
fn a_settled_peer_confirms_that_a_server_is_gone() {
    let clock = TestClock::default();
    clock.advance(10_000);
    let (feed, routing_state) = feed(&clock);
    let joined = vec![put("server/a", entry("ready", 0, 1), 3)];
    feed.apply_changes(joined, StoreRevision::from(3), true);
    assert_eq!(servers(&routing_state), 1);

    feed.apply_changes(
        vec![delete("server/a", 4)],
        StoreRevision::from(4),
        feed.is_settled(),
    );
    assert_eq!(servers(&routing_state), 1, "its entry may be written again");
    feed.record_peer_data(Millis(50), 1);
    assert_eq!(
        servers(&routing_state),
        1,
        "an unsettled peer confirms nothing"
    );

    feed.remove_missing_servers();
    assert_eq!(servers(&routing_state), 0);
}

#[test]
fn the_flag_fires_only_for_changes_that_peers_need() {
    let clock = TestClock::default();
    let (feed, _) = feed(&clock);
    let next_change = feed.next_change();
    feed.apply_changes(
        vec![put("server/a", entry("ready", 0, 1), 3)],
        StoreRevision::from(3),
        true,
    );
    assert!(next_change.is_fired());

    let next_change = feed.next_change();
    feed.apply_changes(
        vec![put("server/a", entry("ready", 0, 2), 4)],
        StoreRevision::from(4),
        true,
    );
    assert!(
        !next_change.is_fired(),
        "the server only confirms that it is alive"
    );
    feed.apply_changes(
        vec![put("server/a", entry("leaving", 0, 3), 5)],
        StoreRevision::from(5),
        true,
    );
    assert!(next_change.is_fired());
}

#[test]
fn missing_entries_are_unsettled_after_a_period_without_updates() {
    let clock = TestClock::default();
    clock.advance(10_000);
    let (feed, _) = feed(&clock);
    feed.record_peer_data(Millis(0), 1);
    assert!(!feed.is_settled(), "the time before is unknown");
    for _ in 0..13 {
        clock.advance(200);
        feed.record_peer_data(Millis(0), 1);
    }
    assert!(feed.is_settled());

    clock.advance(5_000);
    feed.record_peer_data(Millis(0), 1);
    assert!(!feed.is_settled());

    for _ in 0..13 {
        clock.advance(200);
        feed.record_peer_data(Millis(0), 1);
    }
    assert!(feed.is_settled());
}

/// If each of three hundred VMs that start together read all keys from a store in another region,
/// the traffic between regions would exceed that of a minute of service.
#[test]
fn a_starting_vm_waits_for_its_peers_before_it_reads_all_keys() {
    let clock = TestClock::default();
    let routing_state = Rc::new(RefCell::new(routing_state(&clock.clock())));
    let feed = Feed::new(silent_store(), clock.timer(), routing_state, Millis(2_500));
    feed.set_watch_policy(|| false, || None);
    assert!(!feed.should_watch_store(), "it waits for its peers");

    clock.advance(2_100);
    assert!(feed.should_watch_store(), "no peer answered");

    feed.record_peer_data(Millis(100), 1);
    assert!(!feed.should_watch_store(), "a peer has answered");
}

/// Guards against a VM that stops asking the store because its peers have old data: the store may refuse
/// them and serve this VM.
#[test]
fn a_vm_asks_the_store_however_old_the_data_of_its_peers_is() {
    let clock = TestClock::default();
    clock.advance(10_000);
    let (feed, _) = feed(&clock);
    feed.set_watch_policy(|| false, || Some(Millis(30_000)));
    feed.record_peer_data(Millis(0), 1);

    for _ in 0..10 {
        clock.advance(VM_ASKS_STORE_AFTER.0 / 10);
        let age = feed.age().expect("it received an update");
        feed.record_peer_data(age, 2);
    }

    assert!(feed.should_watch_store());
}

/// Guards against a VM that takes itself for served because a peer has sent recent data, and so requests
/// none while the store refuses it.
#[test]
fn a_watcher_is_served_only_by_answers_of_the_store() {
    let clock = TestClock::default();
    clock.advance(10_000);
    let answered = Flag::new();
    let feed = watching_feed(&clock, StoreRevision::from(7), &answered);
    feed.record_peer_data(Millis(0), 1);
    assert!(feed.is_fresh() && !feed.is_served());

    let mut running = Box::pin(Rc::clone(&feed).run());
    answered.fire();
    assert!(running.as_mut().now_or_never().is_none());
    assert!(feed.is_served());

    clock.advance(UNANSWERED_AFTER.0);
    assert!(!feed.is_served(), "the store has not answered since");
}

/// Guards against a copy that counts as new because an answer of the store was read late: a process
/// that stood still finds it in its buffers, and would pass it on as new.
#[test]
fn a_copy_is_as_old_as_the_call_that_brought_it() {
    let clock = TestClock::default();
    clock.advance(10_000);
    let answered = Flag::new();
    let feed = watching_feed(&clock, StoreRevision::from(7), &answered);
    let mut running = Box::pin(Rc::clone(&feed).run());
    assert!(
        running.as_mut().now_or_never().is_none(),
        "the store has not answered"
    );

    clock.advance(3_500);
    answered.fire();
    assert!(running.as_mut().now_or_never().is_none());

    assert_eq!(feed.mirror().revision(), StoreRevision::from(7));
    assert_eq!(feed.age(), Some(Millis(3_500)));
    assert!(!feed.is_fresh());
}

/// Guards against a head that asks the store only together with all VMs of its domain.
#[test]
fn a_head_asks_the_store_before_the_other_vms() {
    let clock = TestClock::default();
    clock.advance(10_000);
    let (head, _) = feed(&clock);
    let (other, _) = feed(&clock);
    head.set_age_limit(|| HEAD_ASKS_STORE_AFTER);
    head.record_peer_data(Millis(0), 1);
    other.record_peer_data(Millis(0), 1);

    clock.advance(HEAD_ASKS_STORE_AFTER.0 - 1);
    assert!(!head.should_watch_store());
    clock.advance(1);
    assert!(head.should_watch_store() && !other.should_watch_store());

    clock.advance(VM_ASKS_STORE_AFTER.0 - HEAD_ASKS_STORE_AFTER.0);
    assert!(other.should_watch_store());
}

#[test]
fn a_watcher_calls_the_store_even_if_its_peers_are_stale() {
    let clock = TestClock::default();
    clock.advance(10_000);
    let (feed, _) = feed(&clock);
    feed.set_watch_policy(|| true, || Some(Millis(30_000)));

    feed.record_peer_data(Millis(9_000), 1);

    assert!(feed.should_watch_store());
}

/// If the store rejects both leaders of a domain but serves other VMs, the domain's VMs must keep
/// asking VMs elsewhere. Returning to the leaders, who hold their answers back, after each attempt
/// delayed a configuration change by seven seconds, and callers got 404 for new routes.
#[test]
fn a_vm_asks_other_vms_in_turn_while_its_leaders_are_avoided() {
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

/// Creates the feed of a watcher whose store has no keys, and answers a watch with revision `at` once
/// `answered` has fired.
fn watching_feed(clock: &TestClock, at: StoreRevision, answered: &Flag) -> Rc<Feed> {
    let answered = answered.clone();
    let store = Store {
        range: Rc::new(|_| {
            let found = RangeResponse {
                revision: StoreRevision::from(6),
                ..RangeResponse::default()
            };
            Box::pin(std::future::ready(Ok(found)))
        }),
        watch: Rc::new(move |_| {
            let answered = answered.clone();
            let message = async move {
                answered.wait().await;
                Ok(WatchMessage {
                    revision: at,
                    events: Vec::new(),
                })
            };
            let messages = stream::once(message).chain(stream::pending());
            let messages: WatchStream = Box::pin(messages);
            Box::pin(std::future::ready(Ok(messages)))
        }),
        ..silent_store()
    };
    let routing_state = Rc::new(RefCell::new(routing_state(&clock.clock())));
    let feed = Feed::new(store, clock.timer(), routing_state, Millis(2_500));
    feed.set_watch_policy(|| true, || None);
    feed
}

/// Creates the feed of a VM that is not a watcher and has just started.
fn starting_feed(clock: &TestClock) -> Rc<Feed> {
    let routing_state = Rc::new(RefCell::new(routing_state(&clock.clock())));
    let feed = Feed::new(silent_store(), clock.timer(), routing_state, Millis(2_500));
    feed.set_watch_policy(|| false, || None);
    feed
}

/// Guards against hundreds of VMs that start together and all read the store in full, because their
/// peers' copies take longer than usual.
#[test]
fn a_vm_does_not_read_the_store_while_a_peer_is_about_to_send_its_copy() {
    let clock = TestClock::default();
    let feed = starting_feed(&clock);

    clock.advance(1_900);
    feed.extend_peer_wait(Millis(1_500));
    clock.advance(1_000);
    assert!(!feed.should_watch_store(), "a peer has answered");
    clock.advance(1_000);
    assert!(feed.should_watch_store(), "no peer answers any more");
}

/// Guards against VMs that wait for each other's copies forever.
#[test]
fn the_wait_for_peers_is_bounded() {
    let clock = TestClock::default();
    let feed = starting_feed(&clock);

    for _ in 0..15 {
        feed.extend_peer_wait(Millis(1_500));
        clock.advance(1_000);
    }

    assert!(feed.should_watch_store());
}
