//! Tests of the local copy of the store's keys: the higher revision wins, whatever the source.

mod support;

use bytes::Bytes;
use heatherknot_edge::mirror::Mirror;
use heatherknot_store::port::StoreRevision;
use support::{delete, put};

#[test]
fn an_older_update_is_ignored() {
    let mut mirror = Mirror::default();
    assert!(mirror.apply(&put("a", "new", 7)));
    assert!(!mirror.apply(&put("a", "old", 5)));
    assert!(!mirror.apply(&delete("a", 6)));
    assert_eq!(mirror.get("a"), Some(&Bytes::from("new")));
}

#[test]
fn an_older_update_does_not_restore_a_deleted_key() {
    let mut mirror = Mirror::default();
    mirror.apply(&put("a", "x", 3));
    mirror.apply(&delete("a", 4));
    assert!(!mirror.apply(&put("a", "x", 3)));
    assert_eq!(mirror.get("a"), None);
}

/// The pages of a list are read one after another while the store changes, so a watch may have
/// delivered a key that is missing from the list, which was read from an earlier revision on.
#[test]
fn a_list_removes_only_keys_older_than_itself() {
    let mut mirror = Mirror::default();
    mirror.apply(&put("gone", "x", 3));
    mirror.apply(&put("newer", "x", 9));
    let changed = mirror.apply_snapshot(vec![put("kept", "x", 2)], StoreRevision::from(5));
    let keys: Vec<&str> = changed.iter().map(|c| c.key.as_str()).collect();
    assert_eq!(keys, ["gone", "kept"]);
    assert_eq!(mirror.get("newer"), Some(&Bytes::from("x")));
    assert_eq!(mirror.revision(), StoreRevision::from(5));
}

#[test]
fn peers_get_the_relevant_changes_after_their_revision() {
    let mut mirror = Mirror::default();
    mirror.apply(&put("config", "1", 2));
    mirror.apply(&put("server", "seq 1", 3));
    mirror.apply(&put("server", "seq 2", 6));
    mirror.advance(StoreRevision::from(6));
    assert_eq!(
        mirror.changes_since(StoreRevision::from(3)),
        Some(Vec::new())
    );
    mirror.mark_relevant("server");
    let changes = mirror
        .changes_since(StoreRevision::from(3))
        .expect("all is known");
    assert_eq!(changes, [put("server", "seq 2", 6)]);
}

#[test]
fn a_peer_older_than_the_list_gets_a_full_copy() {
    let mut mirror = Mirror::default();
    mirror.apply_snapshot(vec![put("a", "x", 2)], StoreRevision::from(5));
    assert_eq!(mirror.changes_since(StoreRevision::from(4)), None);
    assert_eq!(mirror.snapshot(), [put("a", "x", 2)]);
}

/// After the store compacts its history, a VM reads a full list instead of the changes. Peers that
/// were up to date until then must not each be sent a full copy.
#[test]
fn a_peer_that_was_up_to_date_before_a_list_gets_only_the_changes() {
    let mut mirror = Mirror::default();
    mirror.apply_snapshot(
        vec![put("kept", "x", 2), put("gone", "x", 3)],
        StoreRevision::from(5),
    );
    let changed = mirror.apply_snapshot(
        vec![put("kept", "x", 2), put("new", "x", 8)],
        StoreRevision::from(9),
    );
    changed.iter().for_each(|c| mirror.mark_relevant(&c.key));

    let changes = mirror
        .changes_since(StoreRevision::from(5))
        .expect("nothing is missing");

    assert_eq!(changes, [delete("gone", 9), put("new", "x", 8)]);
}

/// A key may have been created and deleted unseen between the two lists. A peer whose revision lies
/// between them may have it, and only a full copy shows that it is gone.
#[test]
fn a_peer_between_two_lists_gets_a_full_copy() {
    let mut mirror = Mirror::default();
    mirror.apply_snapshot(vec![put("kept", "x", 2)], StoreRevision::from(5));
    mirror.apply_snapshot(vec![put("kept", "x", 2)], StoreRevision::from(9));

    assert_eq!(mirror.changes_since(StoreRevision::from(7)), None);
    assert_eq!(
        mirror.changes_since(StoreRevision::from(9)),
        Some(Vec::new())
    );
}
