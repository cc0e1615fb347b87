//! Tests of the follower with failures of the watch and of the store.

mod support;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use heatherknot_store::commit::{commit, keys, pack, snapshot};
use heatherknot_store::follow::{FollowCallbacks, FollowConfig, Follower, SettingsUpdate, start};
use heatherknot_store::port::Store;
use heatherknot_test_support::platform::Down;
use heatherknot_test_support::runtime::block_on;
use heatherknot_types::prelude::*;
use support::{backoff, platform, policy, proposal, store};

/// The time after which a test fails if an expected event has not happened.
const TIMEOUT: Duration = Duration::from_secs(20);
/// A poll interval longer than any test, so that all updates come from the watch.
const NO_POLLING: Duration = Duration::from_secs(3_600);
/// A poll interval short enough for polls to happen during a test.
const FREQUENT_POLLING: Duration = Duration::from_millis(20);

#[derive(Clone, Default)]
struct Daemon {
    revision: Rc<Cell<Revision>>,
    log: Rc<RefCell<Vec<String>>>,
    rejects: Rc<Cell<bool>>,
}

impl Daemon {
    fn follow(&self) -> FollowCallbacks {
        let (revision, daemon) = (self.revision.clone(), self.clone());
        FollowCallbacks {
            current_revision: Rc::new(move || revision.get()),
            deliver: Rc::new(move |update| daemon.apply(update)),
        }
    }

    fn apply(&self, update: SettingsUpdate) {
        if self.rejects.get() {
            self.log.borrow_mut().push("rejected".to_owned());
            return;
        }
        match update {
            SettingsUpdate::Changes(changes) => {
                for stored in changes {
                    assert_eq!(stored.revision, self.revision.get().next());
                    self.revision.set(stored.revision);
                    self.log.borrow_mut().push(stored.revision.to_string());
                }
            }
            SettingsUpdate::Snapshot { at, tree } => {
                assert!(at.revision > self.revision.get());
                self.revision.set(at.revision);
                let tree = String::from_utf8(tree.to_vec()).unwrap();
                self.log
                    .borrow_mut()
                    .push(format!("{tree} at {}", at.revision));
            }
        }
    }

    async fn wait_for(&self, revision: u64) {
        eventually(|| self.revision.get() == Revision(revision)).await;
    }

    fn log(&self) -> Vec<String> {
        self.log.borrow().clone()
    }
}

async fn eventually(ready: impl Fn() -> bool) {
    let wait = async {
        while !ready() {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let waited = monoio::time::timeout(TIMEOUT, wait).await;
    waited.expect("the condition should become true before the timeout");
}

fn following(store: &Store, daemon: &Daemon, poll_interval: Duration) -> Follower {
    let cfg = FollowConfig {
        poll_interval,
        max_changes: 8,
        backoff: backoff(),
    };
    start(store.clone(), daemon.follow(), cfg)
}

async fn accept(store: &Store, from: u64, to: u64) {
    for base in from..to {
        commit(store, &proposal(&format!("c{base}"), base), &policy(3)).await;
    }
}

/// Changes from before and after the start of the watch are lost or delivered out of order.
#[test]
fn watch_delivers_changes_in_order() {
    let platform = platform();
    let store = store(&platform);
    let daemon = Daemon::default();

    block_on(async {
        accept(&store, 0, 2).await;
        let _follower = following(&store, &daemon, NO_POLLING);
        daemon.wait_for(2).await;
        accept(&store, 2, 5).await;
        daemon.wait_for(5).await;
    });

    assert_eq!(daemon.log(), ["r1", "r2", "r3", "r4", "r5"]);
}

/// A middlebox drops the watch's connection silently: it stays open but delivers nothing. A poll
/// must find the new revision, and the watch must be restarted.
#[test]
fn poll_detects_a_stalled_watch() {
    let platform = platform();
    let store = store(&platform);
    let daemon = Daemon::default();

    let status = block_on(async {
        let follower = following(&store, &daemon, FREQUENT_POLLING);
        eventually(|| platform.calls().watching == 1).await;
        platform.faults(|faults| faults.watch_stalled = true);
        accept(&store, 0, 1).await;
        daemon.wait_for(1).await;
        eventually(|| follower.status().incomplete_watches > 0).await;
        follower.status()
    });

    assert_eq!(daemon.log(), ["r1"]);
    assert_eq!(status.newest, Revision(1));
}

/// The watch skips one change and reports the next. The daemon must receive both, in order.
#[test]
fn change_skipped_by_the_watch_is_delivered_before_the_next() {
    let platform = platform();
    let store = store(&platform);
    let daemon = Daemon::default();

    block_on(async {
        let _follower = following(&store, &daemon, NO_POLLING);
        eventually(|| platform.calls().watching == 1).await;
        platform.faults(|faults| faults.skip_events = 1);
        accept(&store, 0, 1).await;
        eventually(|| platform.current_faults().skip_events == 0).await;
        accept(&store, 1, 2).await;
        daemon.wait_for(2).await;
    });

    assert_eq!(daemon.log(), ["r1", "r2"]);
}

/// The watch skips a change and no other change follows. Only a poll can find it.
#[test]
fn poll_detects_a_skipped_last_change() {
    let platform = platform();
    let store = store(&platform);
    let daemon = Daemon::default();

    block_on(async {
        let _follower = following(&store, &daemon, FREQUENT_POLLING);
        eventually(|| platform.calls().watching == 1).await;
        platform.faults(|faults| faults.skip_events = 1);
        accept(&store, 0, 1).await;
        daemon.wait_for(1).await;
    });

    assert_eq!(daemon.log(), ["r1"]);
}

/// The store is down for a while and then has newer settings. The daemon must keep its revision
/// during the outage and catch up afterwards.
#[test]
fn follower_resumes_after_an_outage() {
    let platform = platform();
    let store = store(&platform);
    let daemon = Daemon::default();

    let during = block_on(async {
        accept(&store, 0, 1).await;
        let follower = following(&store, &daemon, FREQUENT_POLLING);
        daemon.wait_for(1).await;
        platform.faults(|faults| faults.down = Some(Down::Closes));
        eventually(|| follower.status().failures > 1).await;
        let during = daemon.revision.get();
        platform.faults(|faults| faults.down = None);
        accept(&store, 1, 3).await;
        daemon.wait_for(3).await;
        during
    });

    assert_eq!(during, Revision(1));
    assert_eq!(daemon.log(), ["r1", "r2", "r3"]);
}

/// The store compacts the revision from which a watch continues. The follower must read the head
/// again and continue from there.
#[test]
fn follower_recovers_from_a_compacted_start_revision() {
    let platform = platform();
    let store = store(&platform);
    let daemon = Daemon::default();

    block_on(async {
        accept(&store, 0, 1).await;
        let follower = following(&store, &daemon, NO_POLLING);
        daemon.wait_for(1).await;
        eventually(|| platform.calls().watching == 1).await;
        platform.faults(|faults| faults.watch_stalled = true);
        accept(&store, 1, 2).await;
        platform.compact();
        platform.faults(|faults| faults.watch_stalled = false);
        daemon.wait_for(2).await;
        assert!(follower.status().failures > 0);
    });

    assert_eq!(daemon.log(), ["r1", "r2"]);
}

/// A daemon that is far behind finds its next change packed. It must read the snapshot and then
/// the changes after it.
#[test]
fn daemon_far_behind_reads_the_snapshot_and_then_the_changes() {
    let platform = platform();
    let store = store(&platform);
    let daemon = Daemon::default();

    block_on(async {
        accept(&store, 0, 12).await;
        let tree = Bytes::from("tree");
        snapshot::write(&store, Revision(12), &tree).await.unwrap();
        accept(&store, 12, 14).await;
        let policy = pack::PackPolicy {
            max_changes: 6,
            keep_unpacked: 2,
        };
        let packed = pack::pack_oldest(&store, Revision(14), policy, &Bytes::clone).await;
        assert_eq!(packed.unwrap(), Some(Revision(6)));
        let _follower = following(&store, &daemon, NO_POLLING);
        daemon.wait_for(14).await;
    });

    assert_eq!(daemon.log(), ["tree at r12", "r13", "r14"]);
}

/// A daemon cannot parse a change of a newer schema and keeps its settings. The follower must not
/// deliver the same update in a loop, but offer it again with the next revision.
#[test]
fn rejected_update_is_delivered_again_only_with_the_next_revision() {
    let platform = platform();
    let store = store(&platform);
    let daemon = Daemon::default();

    block_on(async {
        let _follower = following(&store, &daemon, NO_POLLING);
        eventually(|| platform.calls().watching == 1).await;
        daemon.rejects.set(true);
        accept(&store, 0, 1).await;
        eventually(|| !daemon.log().is_empty()).await;
        daemon.rejects.set(false);
        accept(&store, 1, 2).await;
        daemon.wait_for(2).await;
    });

    assert_eq!(daemon.log(), ["rejected", "r1", "r2"]);
}

/// A stopped follower leaves its watch open on the platform or delivers further changes.
#[test]
fn stopped_follower_closes_its_watch() {
    let platform = platform();
    let store = store(&platform);
    let daemon = Daemon::default();

    block_on(async {
        let follower = following(&store, &daemon, NO_POLLING);
        eventually(|| platform.calls().watching == 1).await;
        follower.stop();
        eventually(|| platform.calls().watching == 0).await;
        accept(&store, 0, 1).await;
    });

    assert_eq!(daemon.revision.get(), Revision::NONE);
    assert_eq!(platform.keys(keys::CHANGES).len(), 1);
}

/// A change is accepted after the follower has read the head and before its watch has started.
/// The watch must report it, or the daemon would be behind until the next poll.
#[test]
fn change_between_the_read_and_the_watch_is_not_missed() {
    let platform = platform();
    let real = store(&platform);
    let daemon = Daemon::default();
    let raced = Rc::new(Cell::new(false));
    let inner = real.clone();
    let racing = Store {
        watch: Rc::new(move |req| {
            let (inner, first) = (inner.clone(), !raced.replace(true));
            Box::pin(async move {
                if first {
                    accept(&inner, 0, 1).await;
                }
                (inner.watch)(req).await
            })
        }),
        ..real
    };

    block_on(async {
        let _follower = following(&racing, &daemon, NO_POLLING);
        daemon.wait_for(1).await;
    });

    assert_eq!(daemon.log(), ["r1"]);
}
