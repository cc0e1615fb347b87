//! Following the accepted settings through the failures of watches and of the store.

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

/// How long a test waits for what must come before it fails.
const PATIENCE: Duration = Duration::from_secs(20);
/// A check so rare that no test lives to see one: what arrives came by the watch.
const NEVER: Duration = Duration::from_secs(3_600);
/// A check so frequent that a test soon sees one.
const OFTEN: Duration = Duration::from_millis(20);

#[derive(Clone, Default)]
struct Daemon {
    held: Rc<Cell<Revision>>,
    log: Rc<RefCell<Vec<String>>>,
    refuses: Rc<Cell<bool>>,
}

impl Daemon {
    fn follow(&self) -> FollowCallbacks {
        let (held, daemon) = (self.held.clone(), self.clone());
        FollowCallbacks {
            current_revision: Rc::new(move || held.get()),
            deliver: Rc::new(move |update| daemon.take(update)),
        }
    }

    fn take(&self, update: SettingsUpdate) {
        if self.refuses.get() {
            self.log.borrow_mut().push("refused".to_owned());
            return;
        }
        match update {
            SettingsUpdate::Changes(changes) => {
                for stored in changes {
                    assert_eq!(stored.revision, self.held.get().next());
                    self.held.set(stored.revision);
                    self.log.borrow_mut().push(stored.revision.to_string());
                }
            }
            SettingsUpdate::Snapshot { at, tree } => {
                assert!(at.revision > self.held.get());
                self.held.set(at.revision);
                let tree = String::from_utf8(tree.to_vec()).unwrap();
                self.log
                    .borrow_mut()
                    .push(format!("{tree} at {}", at.revision));
            }
        }
    }

    async fn reaches(&self, revision: u64) {
        eventually(|| self.held.get() == Revision(revision)).await;
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
    let waited = monoio::time::timeout(PATIENCE, wait).await;
    waited.expect("what the test waits for should come");
}

fn following(store: &Store, daemon: &Daemon, check_every: Duration) -> Follower {
    let cfg = FollowConfig {
        check_every,
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

#[test]
fn changes_arrive_by_the_watch_in_order() {
    let platform = platform();
    let store = store(&platform);
    let daemon = Daemon::default();

    block_on(async {
        accept(&store, 0, 2).await;
        let _follower = following(&store, &daemon, NEVER);
        daemon.reaches(2).await;
        accept(&store, 2, 5).await;
        daemon.reaches(5).await;
    });

    assert_eq!(daemon.log(), ["r1", "r2", "r3", "r4", "r5"]);
}

/// The watch's connection is forgotten on its way: it stays open and brings nothing. The
/// periodic read finds the new revision and the watch is started again.
#[test]
fn a_quiet_watch_is_found_out_by_a_read() {
    let platform = platform();
    let store = store(&platform);
    let daemon = Daemon::default();

    let status = block_on(async {
        let follower = following(&store, &daemon, OFTEN);
        eventually(|| platform.calls().watching == 1).await;
        platform.faults(|faults| faults.watch_stalled = true);
        accept(&store, 0, 1).await;
        daemon.reaches(1).await;
        eventually(|| follower.status().missed > 0).await;
        follower.status()
    });

    assert_eq!(daemon.log(), ["r1"]);
    assert_eq!(status.newest, Revision(1));
}

/// The watch leaves out one change and reports the next. The daemon must get both, in order.
#[test]
fn a_change_that_the_watch_skipped_arrives_before_the_next() {
    let platform = platform();
    let store = store(&platform);
    let daemon = Daemon::default();

    block_on(async {
        let _follower = following(&store, &daemon, NEVER);
        eventually(|| platform.calls().watching == 1).await;
        platform.faults(|faults| faults.skip_events = 1);
        accept(&store, 0, 1).await;
        eventually(|| platform.current_faults().skip_events == 0).await;
        accept(&store, 1, 2).await;
        daemon.reaches(2).await;
    });

    assert_eq!(daemon.log(), ["r1", "r2"]);
}

/// The watch leaves out the last change for a long time to come. Only a read can find it.
#[test]
fn a_skipped_last_change_is_found_out_by_a_read() {
    let platform = platform();
    let store = store(&platform);
    let daemon = Daemon::default();

    block_on(async {
        let _follower = following(&store, &daemon, OFTEN);
        eventually(|| platform.calls().watching == 1).await;
        platform.faults(|faults| faults.skip_events = 1);
        accept(&store, 0, 1).await;
        daemon.reaches(1).await;
    });

    assert_eq!(daemon.log(), ["r1"]);
}

/// The store goes down and comes back with newer settings. The daemon keeps what it has
/// meanwhile and then catches up, without going back.
#[test]
fn a_follower_resumes_after_an_outage() {
    let platform = platform();
    let store = store(&platform);
    let daemon = Daemon::default();

    let during = block_on(async {
        accept(&store, 0, 1).await;
        let follower = following(&store, &daemon, OFTEN);
        daemon.reaches(1).await;
        platform.faults(|faults| faults.down = Some(Down::Closes));
        eventually(|| follower.status().failures > 1).await;
        let during = daemon.held.get();
        platform.faults(|faults| faults.down = None);
        accept(&store, 1, 3).await;
        daemon.reaches(3).await;
        during
    });

    assert_eq!(during, Revision(1));
    assert_eq!(daemon.log(), ["r1", "r2", "r3"]);
}

/// The store forgets its old changes while a watch starts from one of them. The follower
/// reads the head again and goes on from there.
#[test]
fn a_compacted_start_is_left_behind() {
    let platform = platform();
    let store = store(&platform);
    let daemon = Daemon::default();

    block_on(async {
        accept(&store, 0, 1).await;
        let follower = following(&store, &daemon, NEVER);
        daemon.reaches(1).await;
        eventually(|| platform.calls().watching == 1).await;
        platform.faults(|faults| faults.watch_stalled = true);
        accept(&store, 1, 2).await;
        platform.compact();
        platform.faults(|faults| faults.watch_stalled = false);
        daemon.reaches(2).await;
        assert!(follower.status().failures > 0);
    });

    assert_eq!(daemon.log(), ["r1", "r2"]);
}

#[test]
fn a_daemon_far_behind_takes_the_snapshot_and_then_the_changes() {
    let platform = platform();
    let store = store(&platform);
    let daemon = Daemon::default();

    block_on(async {
        accept(&store, 0, 12).await;
        let tree = Bytes::from("tree");
        snapshot::write(&store, Revision(12), &tree).await.unwrap();
        accept(&store, 12, 14).await;
        let rule = pack::PackRule {
            changes: 6,
            keep: 2,
        };
        let packed = pack::pack_oldest(&store, Revision(14), rule, &Bytes::clone).await;
        assert_eq!(packed.unwrap(), Some(Revision(6)));
        let _follower = following(&store, &daemon, NEVER);
        daemon.reaches(14).await;
    });

    assert_eq!(daemon.log(), ["tree at r12", "r13", "r14"]);
}

/// A daemon can't read a change of a newer schema. It keeps its last good settings, is not
/// asked over and over, and goes on when it can read what follows.
#[test]
fn a_refused_update_is_offered_again_with_the_next_revision_only() {
    let platform = platform();
    let store = store(&platform);
    let daemon = Daemon::default();

    block_on(async {
        let _follower = following(&store, &daemon, NEVER);
        eventually(|| platform.calls().watching == 1).await;
        daemon.refuses.set(true);
        accept(&store, 0, 1).await;
        eventually(|| !daemon.log().is_empty()).await;
        daemon.refuses.set(false);
        accept(&store, 1, 2).await;
        daemon.reaches(2).await;
    });

    assert_eq!(daemon.log(), ["refused", "r1", "r2"]);
}

#[test]
fn a_stopped_follower_no_longer_watches() {
    let platform = platform();
    let store = store(&platform);
    let daemon = Daemon::default();

    block_on(async {
        let follower = following(&store, &daemon, NEVER);
        eventually(|| platform.calls().watching == 1).await;
        follower.stop();
        eventually(|| platform.calls().watching == 0).await;
        accept(&store, 0, 1).await;
    });

    assert_eq!(daemon.held.get(), Revision::NONE);
    assert_eq!(platform.keys(keys::CHANGES).len(), 1);
}

/// A change is accepted after the follower has read the head and before its watch stands.
/// The watch must still bring it, or the daemon would stay behind until the next read.
#[test]
fn a_change_between_the_read_and_the_watch_is_not_missed() {
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
        let _follower = following(&racing, &daemon, NEVER);
        daemon.reaches(1).await;
    });

    assert_eq!(daemon.log(), ["r1"]);
}
