//! Tests of a VM's copy when the store loses its latest changes and comes back from a copy in a new
//! era: revisions of two eras are not compared by number, and what the store has lost is kept until
//! its writers had time to write it again.

mod support;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use bytes::Bytes;
use heatherknot_edge::feed::Feed;
use heatherknot_edge::mirror::{Change, Mirror};
use heatherknot_edge::rollout::record::{RolloutRecord, Stage};
use heatherknot_edge::routing_state::RoutingState;
use heatherknot_store::port::{StoreEra, StoreRevision};
use heatherknot_types::prelude::*;
use support::{SETTLE_TIME, TestClock, delete, entry, entry_of_run, feed, in_era, put};

const CATALOG: &str = "catalog";
const SERVER: &str = "server/a";
const EVACUATION: &str = "evacuated/north-1";
const ORDER: &str = "rollout/gallery";
const RECORD: &str = "hk/rollout/gallery";
/// Revision of the VM's copy in era 1, and the one to which the store returns in era 2.
const BEFORE: u64 = 50;
const RESTORED: u64 = 40;

/// Time that a key needs to reach every VM after it was written.
const PROPAGATION_TIME: Millis = Millis(800);

fn revision(era: u64, number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra(era), number)
}

/// A VM whose copy was read in era 1.
struct Vm {
    clock: TestClock,
    feed: Rc<Feed>,
    state: Rc<RefCell<RoutingState>>,
}

fn vm(changes: &[Change]) -> Vm {
    let clock = TestClock::default();
    clock.advance(10_000);
    let (feed, state) = feed(&clock);
    let vm = Vm { clock, feed, state };
    vm.hear();
    let changes = changes.iter().map(|change| in_era(1, change.clone()));
    let config = in_era(1, put(CATALOG, "4 gallery", 2));
    let changes = std::iter::once(config).chain(changes).collect();
    vm.feed.apply_changes(changes, revision(1, BEFORE), true);
    vm
}

impl Vm {
    /// Records that the store has just answered.
    fn hear(&self) {
        self.feed.record_peer_data(Millis(0), 1);
    }

    /// Applies a complete list of era `era`, which always has the configuration.
    fn restore(&self, era: u64, listed: &[Change]) {
        let config = put(CATALOG, "4 gallery", 2);
        let listed = std::iter::once(&config).chain(listed);
        let listed = listed.map(|change| in_era(era, change.clone())).collect();
        let at = revision(era, RESTORED);
        self.feed.apply_snapshot(listed, at, true);
    }

    fn watch(&self, era: u64, change: Change) {
        let change = in_era(era, change);
        let at = change.current.revision;
        self.feed.apply_changes(vec![change], at, true);
    }

    /// Lets the time pass in which lost keys may be written again, and reach every VM.
    fn end_wait(&self) {
        self.clock.advance(SETTLE_TIME.0 + PROPAGATION_TIME.0);
        self.hear();
        self.feed.accept_unconfirmed();
    }

    fn version(&self) -> Option<u64> {
        let state = self.state.borrow();
        state.catalog().map(|catalog| catalog.version)
    }

    fn servers(&self) -> usize {
        self.state.borrow().upstreams(&"gallery".into()).len()
    }

    fn is_leaving(&self) -> bool {
        let state = self.state.borrow();
        let upstream = state.upstream(&"a".into()).expect("the server is known");
        upstream.leaving.get()
    }

    fn is_evacuated(&self) -> bool {
        self.state.borrow().is_evacuated(&"north-1".into())
    }
}

fn ready(number: u64) -> Change {
    put(SERVER, entry("ready", 0, number), number)
}

/// Guards against ignoring a change whose number was given out before the loss.
#[test]
fn a_configuration_with_a_number_given_out_again_is_in_force() {
    let vm = vm(&[put(CATALOG, "5 gallery", 45)]);
    vm.restore(2, &[]);
    vm.watch(2, put(CATALOG, "6 gallery", 45));
    assert_eq!(vm.version(), Some(6));
    assert_eq!(vm.feed.mirror().revision(), revision(2, 45));
}

/// Guards against going back to the older configuration of the copy, here or at peers.
#[test]
fn an_older_configuration_of_the_copy_has_no_effect() {
    let vm = vm(&[put(CATALOG, "5 gallery", 45)]);
    vm.restore(2, &[put("other", "x", 3)]);
    vm.end_wait();
    assert_eq!(vm.version(), Some(5));
    let mirror = vm.feed.mirror();
    assert_eq!(mirror.get(CATALOG), Some(&Bytes::from("5 gallery")));
    assert_eq!(mirror.revision_of(CATALOG), Some(revision(2, 2)));
}

/// Guards against taking a lost evacuation for one that was taken back.
#[test]
fn a_lost_evacuation_stays_in_force_until_it_is_written_again() {
    let vm = vm(&[put(EVACUATION, "", 48)]);
    vm.restore(2, &[]);
    assert!(vm.is_evacuated());
    vm.watch(2, put(EVACUATION, "", 43));
    vm.end_wait();
    assert!(vm.is_evacuated());
}

/// Guards against keeping an evacuation forever that the operator does not write again.
#[test]
fn a_lost_evacuation_ends_if_it_is_not_written_again() {
    let vm = vm(&[put(EVACUATION, "", 48)]);
    vm.restore(2, &[]);
    vm.end_wait();
    assert!(!vm.is_evacuated());
}

/// Guards against evacuating a domain again that was back in service before the loss.
#[test]
fn an_evacuation_that_was_taken_back_does_not_return() {
    let vm = vm(&[put(EVACUATION, "", 30)]);
    vm.watch(1, delete(EVACUATION, 51));
    vm.restore(2, &[put(EVACUATION, "", 30)]);
    assert!(!vm.is_evacuated());
    vm.watch(2, delete(EVACUATION, 41));
    vm.end_wait();
    assert!(!vm.is_evacuated());
}

/// Guards against missing an evacuation that was ordered between the loss and the list.
#[test]
fn a_new_evacuation_after_one_that_was_taken_back_is_in_force() {
    let vm = vm(&[put(EVACUATION, "", 30)]);
    vm.watch(1, delete(EVACUATION, 51));
    vm.restore(2, &[put(EVACUATION, "", 39)]);
    assert!(vm.is_evacuated());
}

/// Guards against sending to a leaving server because the copy still shows it as ready.
#[test]
fn a_leaving_server_stays_leaving() {
    let vm = vm(&[ready(30)]);
    vm.watch(1, put(SERVER, entry("leaving", 0, 51), 51));
    vm.restore(2, &[ready(30)]);
    vm.end_wait();
    assert!(vm.is_leaving());
    let mirror = vm.feed.mirror();
    assert_eq!(mirror.get(SERVER), Some(&entry("leaving", 0, 51)));
}

/// Guards against sending to a server that has ended because the copy still shows it.
#[test]
fn an_ended_server_does_not_return() {
    let vm = vm(&[ready(30)]);
    vm.watch(1, delete(SERVER, 51));
    vm.restore(2, &[ready(30)]);
    assert_eq!(vm.servers(), 0);
    vm.watch(2, delete(SERVER, 41));
    vm.end_wait();
    assert_eq!(vm.servers(), 0);
}

/// Guards against sending a service's requests to the former owner of an address that a server of
/// another service has now.
#[test]
fn the_former_owner_of_an_address_does_not_return() {
    let vm = vm(&[ready(30)]);
    vm.watch(1, delete(SERVER, 51));
    vm.watch(1, put("server/b", "studio north-1 ready 0 1", 52));
    vm.restore(2, &[ready(30)]);
    let state = vm.state.borrow();
    assert_eq!(state.upstreams(&"gallery".into()).len(), 0);
    assert_eq!(state.upstreams(&"studio".into()).len(), 1);
}

/// Guards against going back to an earlier run of a server that started again before the loss.
#[test]
fn an_earlier_run_of_a_server_does_not_return() {
    let vm = vm(&[put(SERVER, entry_of_run(1_000, "ready", 0), 30)]);
    vm.watch(1, put(SERVER, entry_of_run(2_000, "ready", 0), 51));
    vm.restore(2, &[put(SERVER, entry_of_run(1_000, "ready", 0), 30)]);
    let state = vm.state.borrow();
    let upstream = state.upstream(&"a".into()).expect("the server is known");
    assert_eq!(upstream.started_at, Some(Millis(2_000)));
}

/// Guards against sending to an ended server when its returned entry is taken away only after the wait.
#[test]
fn a_returned_server_is_not_used_before_its_entry_is_written_again() {
    let vm = vm(&[ready(30)]);
    vm.watch(1, delete(SERVER, 51));
    vm.restore(2, &[ready(30)]);
    vm.end_wait();
    assert_eq!(vm.servers(), 0);
    vm.restore(2, &[ready(30)]);
    vm.end_wait();
    assert_eq!(vm.servers(), 0);
    vm.restore(3, &[ready(30)]);
    vm.end_wait();
    assert_eq!(vm.servers(), 0);
}

/// Guards against taking the entry that an ended server wrote before the lost ones for a new one.
#[test]
fn a_server_that_returns_with_an_earlier_entry_is_not_used() {
    let vm = vm(&[ready(30)]);
    vm.watch(1, ready(51));
    vm.watch(1, delete(SERVER, 52));
    vm.restore(2, &[ready(30)]);
    assert_eq!(vm.servers(), 0);
    vm.end_wait();
    assert_eq!(vm.servers(), 0);
    vm.watch(2, ready(41));
    assert_eq!(vm.servers(), 1);
}

/// Guards against never using a server again whose entry had expired before the loss.
#[test]
fn a_returned_server_is_used_once_its_entry_is_written_again() {
    for waits in [false, true] {
        let vm = vm(&[ready(30)]);
        vm.watch(1, delete(SERVER, 51));
        vm.restore(2, &[ready(30)]);
        if waits {
            vm.end_wait();
        }
        vm.watch(2, ready(41));
        assert_eq!(vm.servers(), 1);
        vm.end_wait();
        assert_eq!(vm.servers(), 1);
    }
}

/// Guards against using an ended server on a VM that starts after the loss and reads the store later.
#[test]
fn a_vm_that_starts_after_the_loss_does_not_use_a_returned_server() {
    let one = vm(&[ready(30)]);
    one.watch(1, delete(SERVER, 51));
    one.restore(2, &[ready(30)]);
    let clock = TestClock::default();
    let (feed, state) = feed(&clock);
    let started = Vm { clock, feed, state };
    started.hear();
    let copy = one.feed.mirror().snapshot();
    started
        .feed
        .apply_snapshot(copy, revision(2, RESTORED), false);
    let unconfirmed = one.feed.mirror().unconfirmed().clone();
    started.feed.extend_unconfirmed(unconfirmed);
    started.end_wait();
    started.restore(2, &[ready(30)]);
    assert_eq!(started.servers(), 0);
    started.watch(2, ready(41));
    assert_eq!(started.servers(), 1);
}

/// Guards against using an ended server on a VM that enters the era by a peer and reads the store later.
#[test]
fn a_vm_that_enters_the_era_by_a_peer_does_not_use_a_returned_server() {
    let [one, other] = std::array::from_fn(|_| vm(&[ready(30)]));
    for vm in [&one, &other] {
        vm.watch(1, delete(SERVER, 51));
    }
    one.restore(2, &[ready(30)]);
    other
        .feed
        .apply_changes(Vec::new(), revision(2, RESTORED), true);
    let unconfirmed = one.feed.mirror().unconfirmed().clone();
    other.feed.extend_unconfirmed(unconfirmed);
    other.end_wait();
    other.restore(2, &[ready(30)]);
    assert_eq!(other.servers(), 0);
}

/// Guards against a VM that enters the era by a peer, then reads all keys itself, and takes a returned entry
/// for one that was written again.
#[test]
fn an_ended_server_does_not_return_by_a_list_read_after_a_peer_has_told_of_the_era() {
    let vm = vm(&[ready(30)]);
    vm.watch(1, delete(SERVER, 51));
    vm.feed
        .apply_changes(Vec::new(), revision(2, RESTORED), false);

    vm.restore(2, &[ready(30)]);
    vm.end_wait();

    assert_eq!(vm.servers(), 0);
}

/// Guards against removing servers whose entries are lost before they can write them again.
#[test]
fn a_lost_server_is_kept_until_it_had_time_to_write_its_entry() {
    let vm = vm(&[ready(48)]);
    vm.restore(2, &[]);
    assert_eq!(vm.servers(), 1);
    vm.clock.advance(SETTLE_TIME.0 + PROPAGATION_TIME.0 - 1);
    vm.hear();
    vm.feed.accept_unconfirmed();
    assert_eq!(vm.servers(), 1);
    vm.end_wait();
    assert_eq!(vm.servers(), 0);
}

/// Guards against waiting for a server whose entry was removed after the loss.
#[test]
fn a_server_that_the_copy_had_and_the_store_has_not_is_gone_at_once() {
    let vm = vm(&[ready(30), put("server/b", entry("ready", 0, 1), 35)]);
    vm.restore(2, &[put("server/b", entry("ready", 0, 1), 35)]);
    assert_eq!(vm.servers(), 1);
}

/// Guards against taking a lost server for removed because other keys got their numbers again.
#[test]
fn numbers_given_out_again_do_not_show_that_the_copy_had_a_server() {
    let vm = vm(&[ready(41), put("other", "x", 45)]);
    vm.restore(
        2,
        &[
            put("server/b", entry("ready", 0, 1), 38),
            put("other", "x", 45),
        ],
    );
    assert!(vm.state.borrow().upstream(&"a".into()).is_some());
}

/// Guards against losing a server whose entry was written again in time.
#[test]
fn a_lost_server_that_writes_its_entry_again_stays() {
    let vm = vm(&[ready(48)]);
    vm.restore(2, &[]);
    vm.watch(2, ready(44));
    vm.end_wait();
    assert_eq!(vm.servers(), 1);
}

/// Guards against a second loss that finds the first one still being repaired.
#[test]
fn two_losses_in_a_row_are_told_apart() {
    let vm = vm(&[put(CATALOG, "5 gallery", 45), put(EVACUATION, "", 48)]);
    vm.restore(2, &[]);
    vm.watch(2, put(CATALOG, "5 gallery", 49));
    vm.restore(3, &[]);
    assert_eq!((vm.version(), vm.is_evacuated()), (Some(5), true));
    vm.watch(3, put(CATALOG, "6 gallery", 41));
    vm.watch(3, put(EVACUATION, "", 42));
    vm.end_wait();
    assert_eq!((vm.version(), vm.is_evacuated()), (Some(6), true));
}

/// Guards against a VM that was cut off during two losses and knows only the era before both.
#[test]
fn a_vm_that_missed_an_era_enters_the_present_one() {
    let vm = vm(&[put(CATALOG, "5 gallery", 45)]);
    vm.restore(3, &[]);
    vm.watch(3, put(CATALOG, "6 gallery", 41));
    assert_eq!(vm.version(), Some(6));
}

/// Guards against taking the first read after a start for a loss.
#[test]
fn a_first_start_is_no_loss() {
    let clock = TestClock::default();
    let (feed, _) = feed(&clock);
    feed.apply_snapshot(vec![in_era(7, ready(3))], revision(7, 9), true);
    assert!(!feed.is_confirming());
    assert!(feed.mirror().unconfirmed().is_empty());
}

/// Guards against telling a VM of the earlier era with the higher number that it has missed nothing.
#[test]
fn a_peer_of_the_earlier_era_with_a_higher_number_gets_a_full_copy() {
    let mut mirror = Mirror::default();
    mirror.apply_snapshot(vec![in_era(1, ready(30))], revision(1, BEFORE));
    mirror.apply_snapshot(vec![in_era(2, ready(30))], revision(2, RESTORED));
    assert_eq!(mirror.changes_since(revision(1, BEFORE + 1)), None);
    assert_eq!(mirror.changes_since(revision(1, BEFORE)), Some(Vec::new()));
}

/// Guards against a VM that entered the era by a peer and passes on only what that peer had missed.
#[test]
fn a_vm_that_entered_the_era_by_changes_sends_a_full_copy_to_peers_ahead_of_it() {
    let mut mirror = Mirror::default();
    mirror.apply_snapshot(vec![in_era(1, ready(30))], revision(1, BEFORE));
    mirror.advance(revision(2, RESTORED));
    assert_eq!(mirror.changes_since(revision(1, BEFORE + 1)), None);
}

/// Guards against a key that only the receiver had seen: its change was lost, and no list has it.
#[test]
fn a_full_copy_replaces_a_lost_value_that_its_sender_never_saw() {
    let mut mirror = Mirror::default();
    mirror.apply(&in_era(1, put("key", "lost", 49)));
    mirror.advance(revision(1, BEFORE));
    mirror.apply_snapshot(
        vec![in_era(1, put("key", "kept", 30))],
        revision(2, RESTORED),
    );
    assert_eq!(mirror.get("key"), Some(&Bytes::from("kept")));
}

/// Guards against VMs that enter the era by a peer and don't know which keys are only missing.
#[test]
fn a_vm_waits_for_the_keys_for_which_its_peer_waits() {
    let (one, other) = (vm(&[ready(48)]), vm(&[ready(48)]));
    one.restore(2, &[]);
    let changes = one.feed.mirror().changes_since(revision(1, BEFORE));
    let unconfirmed = one.feed.mirror().unconfirmed().clone();
    assert_eq!(unconfirmed.missing, BTreeSet::from([SERVER.to_owned()]));

    let changes = changes.expect("nothing is missing");
    other
        .feed
        .apply_changes(changes, revision(2, RESTORED), true);
    other.feed.extend_unconfirmed(unconfirmed);

    assert_eq!(other.servers(), 1);
    other.end_wait();
    assert_eq!(other.servers(), 0);
}

/// Guards against a VM that starts after the loss and does not wait for keys that its peer knows.
#[test]
fn a_vm_that_starts_after_the_loss_waits_with_its_peer() {
    let one = vm(&[put(EVACUATION, "", 48)]);
    one.restore(2, &[]);
    let clock = TestClock::default();
    let (feed, state) = feed(&clock);
    let started = Vm { clock, feed, state };
    started.hear();
    let copy = one.feed.mirror().snapshot();

    started
        .feed
        .apply_snapshot(copy, revision(2, RESTORED), false);
    let unconfirmed = one.feed.mirror().unconfirmed().clone();
    started.feed.extend_unconfirmed(unconfirmed);
    started.feed.accept_unconfirmed();

    assert!(started.is_evacuated());
    started.end_wait();
    assert!(!started.is_evacuated());
}

/// Returns the change that writes a record of the rollout ordered at revision `order`.
fn record(order: StoreRevision, stage: Stage, number: u64) -> Change {
    let record = RolloutRecord {
        order: order.number,
        order_era: order.era.0,
        target: "v2".into(),
        stage,
        started_unix_ms: 0,
        time_limit: Millis(30_000),
        rolled_back: Vec::new(),
        by: "vm-1".into(),
        cause: String::new(),
    };
    let value = serde_json::to_vec(&record).expect("a record serializes");
    put(RECORD, value, number)
}

impl Vm {
    /// Returns the stage of the present order, if it has a record.
    fn stage(&self) -> Option<Stage> {
        let state = self.state.borrow();
        let versions = state.versions().get(&"gallery".into())?;
        Some(versions.current_record()?.record.stage)
    }
}

/// Guards against beginning a rollout anew because its order has another revision.
#[test]
fn a_rollout_goes_on_when_its_order_is_written_again() {
    let vm = vm(&[put(ORDER, "v2 30000", 45)]);
    vm.watch(1, record(revision(1, 45), Stage::Shift, 51));
    vm.restore(2, &[]);
    vm.watch(2, put(ORDER, "v2 30000", 42));
    assert_eq!(vm.stage(), Some(Stage::Shift));
    vm.watch(2, record(revision(1, 45), Stage::Completed, 43));
    assert_eq!(vm.stage(), Some(Stage::Completed));
}

/// Guards against a VM that starts after the loss and knows only the order's later revision.
#[test]
fn a_vm_that_starts_after_the_loss_recognizes_the_order_of_a_record() {
    let vm = vm(&[]);
    vm.restore(2, &[]);
    vm.watch(2, record(revision(1, 45), Stage::Completed, 43));
    vm.watch(2, put(ORDER, "v2 30000", 44));
    assert_eq!(vm.stage(), Some(Stage::Completed));
}

/// Guards against taking another order, or one after a withdrawal, for the order of a record.
#[test]
fn a_new_order_after_the_loss_begins_a_rollout() {
    let vm = vm(&[put(ORDER, "v2 30000", 45)]);
    vm.restore(2, &[]);
    vm.watch(2, record(revision(1, 45), Stage::Withdrawn, 43));
    vm.watch(2, put(ORDER, "v2 30000", 44));
    assert_eq!(
        vm.stage(),
        Some(Stage::Withdrawn),
        "it is still the held order"
    );
    vm.watch(2, delete(ORDER, 45));
    vm.watch(2, put(ORDER, "v2 30000", 46));
    assert_eq!(vm.stage(), None);
    vm.watch(2, put(ORDER, "v3 30000", 47));
    assert_eq!(vm.stage(), None);
}

/// Guards against going back to an earlier stage that the copy shows, and against leaving it there.
#[test]
fn an_earlier_stage_of_the_copy_has_no_effect_and_is_to_be_replaced() {
    let order = put(ORDER, "v2 30000", 20);
    let vm = vm(&[order.clone(), record(revision(1, 20), Stage::Canary, 30)]);
    vm.watch(1, record(revision(1, 20), Stage::Completed, 51));
    vm.restore(2, &[order, record(revision(1, 20), Stage::Canary, 30)]);
    assert_eq!(vm.stage(), Some(Stage::Completed));
    let lost = vm.feed.mirror().lost_in_store("hk/");
    let revisions: Vec<_> = lost
        .iter()
        .map(|(key, _, at)| (key.as_str(), *at))
        .collect();
    assert_eq!(revisions, [(RECORD, revision(2, 30))]);
}
