//! Snapshots, packs and reading the history back.

mod support;

use bytes::Bytes;
use heatherknot_store::commit::head::read_head;
use heatherknot_store::commit::history::{HistoryPage, audit_after, changes_after};
use heatherknot_store::commit::pack::{PackPolicy, pack_oldest};
use heatherknot_store::commit::snapshot::{self, SnapshotOutcome};
use heatherknot_store::commit::{commit, keys};
use heatherknot_store::error::StoreError;
use heatherknot_store::port::{Op, Store, Txn};
use heatherknot_test_support::runtime::block_on;
use heatherknot_types::prelude::*;
use support::{platform, policy, proposal, store};

const POLICY: PackPolicy = PackPolicy {
    max_changes: 4,
    keep_unpacked: 2,
};

async fn commit_many(store: &Store, count: u64) {
    for base in 0..count {
        commit(store, &proposal(&format!("c{base}"), base), &policy(3)).await;
    }
}

async fn read_audit_trail(store: &Store) -> Vec<(u64, Bytes)> {
    let mut found = Vec::new();
    let mut after = Revision::NONE;
    loop {
        let page = audit_after(store, after).await.unwrap();
        let changes = page.changes.into_iter();
        found.extend(changes.map(|stored| (stored.revision.0, stored.change)));
        after = Revision(found.last().map_or(0, |(revision, _)| *revision));
        if !page.more {
            return found;
        }
    }
}

fn expected(count: u64) -> Vec<(u64, Bytes)> {
    let change = |base| (base + 1, Bytes::from(format!("change of c{base}")));
    (0..count).map(change).collect()
}

fn unchanged(change: &Bytes) -> Bytes {
    change.clone()
}

#[test]
fn a_follower_reads_the_changes_it_missed_in_order() {
    let platform = platform();
    let store = store(&platform);

    let (first, rest, none) = block_on(async {
        commit_many(&store, 6).await;
        let first = changes_after(&store, Revision(1)).await.unwrap().unwrap();
        let rest = changes_after(&store, Revision(5)).await.unwrap().unwrap();
        let none = changes_after(&store, Revision(6)).await.unwrap().unwrap();
        (first, rest, none)
    });

    let revisions = |history: HistoryPage| -> Vec<u64> {
        history
            .changes
            .iter()
            .map(|stored| stored.revision.0)
            .collect()
    };
    assert!(first.more);
    assert_eq!(revisions(first), [2, 3, 4, 5]);
    assert!(!rest.more);
    assert_eq!(revisions(rest), [6]);
    assert_eq!(revisions(none), Vec::<u64>::new());
}

#[test]
fn packed_changes_stay_in_the_audit_trail_and_send_followers_to_the_snapshot() {
    let platform = platform();
    let store = store(&platform);

    let (audit, missed) = block_on(async {
        commit_many(&store, 11).await;
        let newest = Revision(11);
        let mut packed = Vec::new();
        while let Some(last) = pack_oldest(&store, newest, POLICY, &unchanged)
            .await
            .unwrap()
        {
            packed.push(last.0);
        }
        assert_eq!(packed, [4, 8]);
        let missed = changes_after(&store, Revision(2)).await.unwrap();
        (read_audit_trail(&store).await, missed)
    });

    assert_eq!(audit, expected(11));
    assert_eq!(missed, None);
    assert_eq!(platform.keys(keys::CHANGES).len(), 3);
}

/// A daemon packs old changes and the answer is lost; another daemon, which can't know,
/// packs as well. No change may be lost from the audit trail or appear twice.
#[test]
fn packing_twice_after_a_lost_answer_loses_no_change() {
    let platform = platform();
    let store = store(&platform);

    let (first, audit) = block_on(async {
        commit_many(&store, 8).await;
        platform.faults(|faults| faults.lose_answers = 1);
        let first = pack_oldest(&store, Revision(8), POLICY, &unchanged).await;
        pack_oldest(&store, Revision(8), POLICY, &unchanged)
            .await
            .unwrap();
        (first, read_audit_trail(&store).await)
    });

    assert!(first.is_err());
    assert_eq!(audit, expected(8));
}

#[test]
fn long_changes_are_packed_shortened_and_within_one_value() {
    let platform = platform();
    let store = store(&platform);
    let shorten = |change: &Bytes| change.slice(..change.len().min(400_000));

    let lengths = block_on(async {
        for base in 0..6 {
            let mut long = proposal(&format!("c{base}"), base);
            long.change = vec![b'x'; 900_000].into();
            commit(&store, &long, &policy(3)).await;
        }
        let packed = pack_oldest(&store, Revision(6), POLICY, &shorten).await;
        assert_eq!(packed.unwrap(), Some(Revision(2)));
        let audit = read_audit_trail(&store).await;
        audit
            .iter()
            .map(|(_, change)| change.len())
            .collect::<Vec<_>>()
    });

    assert_eq!(
        lengths,
        [400_000, 400_000, 900_000, 900_000, 900_000, 900_000]
    );
}

#[test]
fn a_tree_longer_than_a_value_is_kept_in_parts_and_read_back_whole() {
    let platform = platform();
    let store = store(&platform);
    let tree: Bytes = (0..2_500_000).map(|i| (i % 251) as u8).collect();

    let (outcome, read) = block_on(async {
        commit_many(&store, 1).await;
        let outcome = snapshot::write(&store, Revision(1), &tree).await.unwrap();
        let named = read_head(&store).await.unwrap().head.snapshot.unwrap();
        (outcome, snapshot::read(&store, &named).await.unwrap())
    });

    assert!(matches!(outcome, SnapshotOutcome::Written(named) if named.parts == 3));
    assert_eq!(read, Some(tree));
}

/// Two daemons find the same snapshot due. One writes it, the other leaves it, and the
/// parts are those of one writer, never a mixture.
#[test]
fn a_snapshot_has_one_writer() {
    let platform = platform();
    let store = store(&platform);

    let (second, read) = block_on(async {
        commit_many(&store, 1).await;
        let tree = Bytes::from("tree");
        snapshot::write(&store, Revision(1), &tree).await.unwrap();
        let second = snapshot::write(&store, Revision(1), &Bytes::from("else")).await;
        let named = read_head(&store).await.unwrap().head.snapshot.unwrap();
        (
            second.unwrap(),
            snapshot::read(&store, &named).await.unwrap(),
        )
    });

    assert_eq!(second, SnapshotOutcome::Superseded);
    assert_eq!(read, Some(Bytes::from("tree")));
}

/// A part of the newest snapshot holds other bytes than were written. A new daemon must
/// not start from it; it is told that the snapshot does not have its hash.
#[test]
fn a_damaged_snapshot_is_refused() {
    let platform = platform();
    let store = store(&platform);

    let failure = block_on(async {
        commit_many(&store, 1).await;
        snapshot::write(&store, Revision(1), &Bytes::from("tree"))
            .await
            .unwrap();
        platform.put(&keys::snapshot_part(Revision(1), 0), "tred");
        let named = read_head(&store).await.unwrap().head.snapshot.unwrap();
        snapshot::read(&store, &named).await.unwrap_err()
    });

    assert!(
        failure.to_string().contains("does not have its hash"),
        "{failure}"
    );
}

/// A daemon dies after the first part of a snapshot. The head goes on naming the older
/// one, the next snapshot is written, and clearing up removes what the dead one left.
#[test]
fn an_unfinished_snapshot_is_passed_over_and_removed() {
    let platform = platform();
    let store = store(&platform);

    let read = block_on(async {
        commit_many(&store, 3).await;
        platform.put(&keys::snapshot_part(Revision(2), 0), "half");
        let tree = Bytes::from("tree");
        snapshot::write(&store, Revision(2), &tree).await.unwrap();
        assert_eq!(read_head(&store).await.unwrap().head.snapshot, None);
        snapshot::write(&store, Revision(3), &tree).await.unwrap();
        snapshot::remove_old(&store, Revision(3)).await.unwrap();
        let named = read_head(&store).await.unwrap().head.snapshot.unwrap();
        snapshot::read(&store, &named).await.unwrap()
    });

    assert_eq!(read, Some(Bytes::from("tree")));
    assert_eq!(platform.keys(keys::SNAPSHOTS).len(), 1);
}

#[test]
fn a_snapshot_is_due_after_the_given_number_of_changes() {
    let platform = platform();
    let store = store(&platform);

    let (before, at, after) = block_on(async {
        commit_many(&store, 3).await;
        let before = read_head(&store).await.unwrap().head;
        let at = snapshot::is_due(&before, 3);
        snapshot::write(&store, Revision(3), &Bytes::from("t"))
            .await
            .unwrap();
        let after = read_head(&store).await.unwrap().head;
        (
            snapshot::is_due(&before, 4),
            at,
            snapshot::is_due(&after, 3),
        )
    });

    assert!(!before);
    assert!(at);
    assert!(!after);
}

/// Somebody deletes an accepted change from the store: in the middle, at the end, or a whole
/// pack. The audit trail must say which one is missing, and not show a shorter trail.
#[test]
fn a_change_that_was_removed_is_missed_by_the_audit_trail() {
    let platform = platform();
    let store = store(&platform);
    let delete = |key: String| Txn {
        success: vec![Op::delete(key)],
        ..Txn::default()
    };

    let (pack, middle, end) = block_on(async {
        commit_many(&store, 11).await;
        let newest = Revision(11);
        while pack_oldest(&store, newest, POLICY, &unchanged)
            .await
            .unwrap()
            .is_some()
        {}
        let last = delete(keys::change(newest));
        store.txn(last).await.unwrap();
        let end = audit_after(&store, Revision(8)).await;
        store.txn(delete(keys::change(Revision(9)))).await.unwrap();
        let middle = audit_after(&store, Revision(8)).await;
        store.txn(delete(keys::pack(Revision(4)))).await.unwrap();
        (audit_after(&store, Revision::NONE).await, middle, end)
    });

    let text = |outcome: Result<HistoryPage, StoreError>| outcome.unwrap_err().to_string();
    assert!(text(pack).contains("change r1 is missing"));
    assert!(text(middle).contains("change r9 is missing"));
    assert!(text(end).contains("change r11 is missing"));
}
