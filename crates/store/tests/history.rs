//! Tests of snapshots, packs and reading the history of changes.

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

/// Pages of changes overlap, have gaps or report wrongly whether there are more.
#[test]
fn changes_are_read_in_order_and_in_pages() {
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

/// Packing removes changes from the audit trail, or followers do not notice that a change is
/// packed.
#[test]
fn packed_changes_are_in_the_audit_trail_but_not_among_unpacked_changes() {
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

/// A daemon packs old changes and the response is lost, then another daemon packs as well. No
/// change may be lost from the audit trail or appear in it twice.
#[test]
fn packing_again_after_a_lost_response_loses_no_change() {
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

/// A pack exceeds the maximum size of a value, or contains changes that were not compacted.
#[test]
fn long_changes_are_shortened_and_packs_fit_into_a_value() {
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

/// A tree that exceeds the maximum size of a value cannot be written or read back.
#[test]
fn tree_larger_than_a_value_is_split_into_parts() {
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

/// Two daemons write the same snapshot. Only one of them may succeed, so that the parts are never
/// a mixture of both.
#[test]
fn snapshot_has_only_one_writer() {
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

/// A part of the newest snapshot is corrupt. A new daemon must not start from it, but get an
/// error that reports the wrong hash.
#[test]
fn corrupt_snapshot_is_rejected() {
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

/// A daemon crashes after it wrote the first part of a snapshot. The head must not name this
/// snapshot, the next one must be written, and the cleanup must delete the leftover part.
#[test]
fn incomplete_snapshot_is_ignored_and_removed() {
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

/// A snapshot becomes due too early, or stays due after it was written.
#[test]
fn snapshot_is_due_after_the_given_number_of_changes() {
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

/// An accepted change is deleted from the store: in the middle, at the end, or with a whole pack.
/// The audit trail must report the missing change and not be shorter without an error.
#[test]
fn audit_trail_reports_a_deleted_change() {
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
