//! Tests of the maintenance of the settings in the store.

mod support;

use heatherknot_settings::{ChainPoint, Change, Digest, Snapshot};
use heatherknot_store::commit::head::read_head;
use heatherknot_store::commit::history::audit_after;
use heatherknot_store::commit::maintenance::{self, MaintenanceConfig, MaintenanceReport};
use heatherknot_store::commit::pack::PackPolicy;
use heatherknot_store::commit::{
    CommandId, CommitOutcome, Proposal, commands, commit, keys, resolve_command,
};
use heatherknot_store::port::Store;
use heatherknot_test_support::runtime::block_on;
use heatherknot_types::prelude::*;
use serde_json::json;
use support::{platform, policy, proposal, store};

const CONFIG: MaintenanceConfig = MaintenanceConfig {
    snapshot_interval: 4,
    pack: PackPolicy {
        max_changes: 3,
        keep_unpacked: 2,
    },
    max_packs_per_run: 4,
    command_records_kept: 5,
};

fn snapshot_at(revision: u64) -> Snapshot {
    let document = json!({"text": format!("tree {revision}")});
    let at = ChainPoint {
        revision: Revision(revision),
        hash: Digest::NONE,
    };
    Snapshot::new(at, &document)
}

async fn accept_with_maintenance(store: &Store, from: u64, to: u64) -> Vec<MaintenanceReport> {
    let mut reports = Vec::new();
    for base in from..to {
        commit(store, &proposal(&format!("c{base}"), base), &policy(3)).await;
        reports.push(
            maintenance::run(store, &snapshot_at(base + 1), &CONFIG)
                .await
                .unwrap(),
        );
    }
    reports
}

/// Snapshots and packs are written too often, too rarely or with wrong contents.
#[test]
fn snapshots_and_packs_are_written_at_their_intervals() {
    let platform = platform();
    let store = store(&platform);

    let (reports, audit) = block_on(async {
        let reports = accept_with_maintenance(&store, 0, 8).await;
        let audit = audit_after(&store, Revision::NONE).await.unwrap();
        (reports, audit)
    });

    let wrote: Vec<bool> = reports.iter().map(|report| report.wrote_snapshot).collect();
    let expected = [false, false, false, true, false, false, false, true];
    assert_eq!(wrote, expected);
    assert_eq!(reports[7].packs_written, 2);
    assert_eq!(audit.changes.len(), 3);
    assert_eq!(platform.keys(keys::PACKS).len(), 2);
    assert_eq!(platform.keys(keys::CHANGES).len(), 2);
    assert_eq!(platform.keys(keys::SNAPSHOTS).len(), 2);
}

/// The number of keys grows with every change. Only the number of packs may grow, and each pack
/// contains several changes.
#[test]
fn maintenance_bounds_the_number_of_keys() {
    let platform = platform();
    let store = store(&platform);

    block_on(accept_with_maintenance(&store, 0, 40));

    assert_eq!(platform.keys(keys::SNAPSHOTS).len(), 2);
    assert!(platform.keys(keys::CHANGES).len() <= 7);
    assert!(platform.keys(keys::COMMANDS).len() <= 9);
    assert_eq!(platform.keys(keys::PACKS).len(), 12);
}

/// A daemon crashes after its change was accepted and before the maintenance. The maintenance must
/// be run with the next change of any daemon.
#[test]
fn skipped_maintenance_is_done_with_the_next_change() {
    let platform = platform();
    let store = store(&platform);

    let reports = block_on(async {
        for base in 0..5 {
            commit(&store, &proposal(&format!("c{base}"), base), &policy(3)).await;
        }
        accept_with_maintenance(&store, 5, 6).await
    });

    assert!(reports[0].wrote_snapshot);
    let named = block_on(read_head(&support::store(&platform)))
        .unwrap()
        .head
        .snapshot;
    assert_eq!(named.unwrap().revision, Revision(6));
}

/// An outdated tree is written as a snapshot.
#[test]
fn outdated_tree_is_not_written() {
    let platform = platform();
    let store = store(&platform);

    let reports = block_on(async {
        for base in 0..5 {
            commit(&store, &proposal(&format!("c{base}"), base), &policy(3)).await;
        }
        maintenance::run(&store, &snapshot_at(4), &CONFIG)
            .await
            .unwrap()
    });

    assert_eq!(reports, MaintenanceReport::default());
    assert_eq!(platform.keys(keys::SNAPSHOTS).len(), 0);
}

/// Packed changes keep long values, or cannot be verified because their hash has changed.
#[test]
fn packed_changes_lose_long_values_but_keep_their_hash() {
    let platform = platform();
    let store = store(&platform);
    let change = |revision: u64| -> Change {
        let long = "x".repeat(10_000);
        let edit = json!({"p": "a", "b": null, "a": long});
        let text = json!({
            "r": revision, "q": Digest::NONE, "c": format!("c{revision}"), "w": "w", "k": "k",
            "t": 1, "e": [edit], "d": Digest::NONE, "h": Digest::NONE,
        });
        serde_json::from_value(text).unwrap()
    };

    let packed = block_on(async {
        for base in 0..8 {
            let long = Proposal {
                change: serde_json::to_vec(&change(base + 1)).unwrap().into(),
                ..proposal(&format!("c{base}"), base)
            };
            commit(&store, &long, &policy(3)).await;
        }
        maintenance::run(&store, &snapshot_at(8), &CONFIG)
            .await
            .unwrap();
        audit_after(&store, Revision::NONE).await.unwrap().changes
    });

    let kept: Change = serde_json::from_slice(&packed[0].change).unwrap();
    assert!(packed[0].change.len() < 1_000);
    assert_eq!(kept.computed_hash(), change(1).computed_hash());
}

/// Records of recent commands are deleted, so that a retried command is accepted twice, or old
/// records are kept. The record of a withdrawn command is kept until later commands are old.
#[test]
fn only_old_command_records_are_removed() {
    let platform = platform();
    let store = store(&platform);
    let id = |text: &str| CommandId::parse(text).unwrap();

    let (removed, left, again) = block_on(async {
        resolve_command(&store, &id("early"), &policy(3)).await;
        for base in 0..6 {
            commit(&store, &proposal(&format!("c{base}"), base), &policy(3)).await;
        }
        resolve_command(&store, &id("late"), &policy(3)).await;
        let removed = commands::remove_up_to(&store, Revision(4)).await.unwrap();
        let left = platform.keys(keys::COMMANDS);
        let again = commit(&store, &proposal("c5", 5), &policy(3)).await;
        (removed, left, again)
    });

    let record = |text: &str| keys::command(&id(text));
    assert_eq!(removed, 5);
    assert_eq!(left, [record("c4"), record("c5"), record("late")]);
    assert_eq!(again, CommitOutcome::Accepted(Revision(6)));
}
