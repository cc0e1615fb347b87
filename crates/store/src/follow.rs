//! Follows the accepted settings: a watch on the head, with reads that make up for whatever
//! the watch leaves out.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::{AbortHandle, Either, abortable, select};
use heatherknot_types::prelude::*;
use monoio::time::Instant;

use crate::backoff::Backoff;
use crate::commit::head::{Head, SnapshotRef, from_json, unreadable};
use crate::commit::history::{StoredChange, changes_after};
use crate::commit::{keys, snapshot};
use crate::error::{Step, StoreError};
use crate::port::{
    Event, RangeRequest, Store, StoreRevision, WatchMessage, WatchRequest, WatchStream,
};

/// What a follower brings, in the order of revisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsUpdate {
    /// The changes that follow what the daemon holds.
    Changes(Vec<StoredChange>),
    /// A whole tree, newer than what the daemon holds.
    Snapshot {
        /// Its revision.
        at: SnapshotRef,
        /// The tree.
        tree: Bytes,
    },
}

/// The daemon's side of a follower.
#[derive(Clone)]
pub struct FollowCallbacks {
    /// Gives the revision that the daemon holds now, from the store or from a peer.
    pub current_revision: Rc<dyn Fn() -> Revision>,
    /// Takes an update. The daemon may refuse it, and [`current_revision`](Self::current_revision) then stays.
    pub deliver: Rc<dyn Fn(SettingsUpdate)>,
}

/// How a follower follows.
#[derive(Clone, Debug)]
pub struct FollowConfig {
    /// How often the head is read beside the watch.
    pub check_every: Duration,
    /// The most changes that are read one by one; a daemon further behind takes the snapshot.
    pub max_changes: u64,
    /// The waits after failures.
    pub backoff: Backoff,
}

impl Default for FollowConfig {
    fn default() -> Self {
        Self {
            check_every: Duration::from_secs(2),
            max_changes: 64,
            backoff: Backoff::default(),
        }
    }
}

/// What a follower has met so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowStatus {
    /// The newest accepted revision that it saw.
    pub newest: Revision,
    /// Watches that had to be started again because of an error.
    pub failures: u64,
    /// Watches found to have left out a revision that a read showed.
    pub missed: u64,
}

/// A running follower. Dropping the handle stops it.
pub struct Follower {
    abort: AbortHandle,
    status: Rc<Cell<FollowStatus>>,
}

impl Follower {
    /// Gives what the follower has met so far.
    pub fn status(&self) -> FollowStatus {
        self.status.get()
    }

    /// Stops the follower; its watch no longer counts on the platform.
    pub fn stop(self) {}
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.abort.abort();
    }
}

impl fmt::Debug for Follower {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Follower({:?})", self.status.get())
    }
}

/// Starts following on a task of the current runtime.
pub fn start(store: Store, follow: FollowCallbacks, cfg: FollowConfig) -> Follower {
    let status = Rc::new(Cell::new(FollowStatus::default()));
    let task = Task {
        store,
        follow,
        cfg,
        status: status.clone(),
    };
    let (task, abort) = abortable(async move { task.run().await });
    monoio::spawn(task);
    Follower { abort, status }
}

struct Task {
    store: Store,
    follow: FollowCallbacks,
    cfg: FollowConfig,
    status: Rc<Cell<FollowStatus>>,
}

/// A head and the store's revision at the time it was read.
struct Seen {
    head: Head,
    at: StoreRevision,
}

impl Task {
    async fn run(&self) {
        let mut failures = 0;
        loop {
            let progressed = Cell::new(false);
            let Err(err) = self.follow_once(&progressed).await else {
                // The watch was found wanting and is started again at once.
                failures = 0;
                continue;
            };
            failures = if progressed.get() { 1 } else { failures + 1 };
            self.count(|status| status.failures += 1);
            log::warn!(err:% = err, failures; "following the settings failed");
            self.cfg.backoff.pause(failures).await;
        }
    }

    /// Reads the head and watches it until the watch fails or is found to leave out changes.
    async fn follow_once(&self, progressed: &Cell<bool>) -> Result<(), StoreError> {
        let seen = self.read_head().await?;
        self.catch_up(&seen.head).await?;
        progressed.set(true);
        // The watch starts just after the read, so no change falls between the two.
        let req = WatchRequest {
            key: keys::HEAD.to_owned(),
            end: None,
            start: StoreRevision(seen.at.0 + 1),
        };
        let mut watch = (self.store.watch)(req).await?;
        let mut newest = seen.head.revision;
        let mut next_check = Instant::now() + self.cfg.check_every;
        loop {
            match self.next(&mut watch, next_check).await {
                Some(message) => {
                    if let Some(head) = self.newest_head(message?)? {
                        newest = head.revision;
                        self.catch_up(&head).await?;
                    }
                }
                None => {
                    next_check = Instant::now() + self.cfg.check_every;
                    let seen = self.read_head().await?;
                    self.catch_up(&seen.head).await?;
                    // The watch is quiet, as after its connection was forgotten on the way,
                    // or it leaves out changes. It shows in a read that is ahead of it. A
                    // message that is merely late costs one more start of a watch.
                    if seen.head.revision > newest {
                        self.count(|status| status.missed += 1);
                        log::warn!(newest:% = seen.head.revision; "watch left out a revision");
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Gives the next message, or `None` when it is time to read the head. The time stays
    /// when messages come, since a watch that skips changes may still report progress.
    async fn next(
        &self,
        watch: &mut WatchStream,
        next_check: Instant,
    ) -> Option<Result<WatchMessage, StoreError>> {
        let pause = Box::pin(monoio::time::sleep_until(next_check));
        match select(watch.next(), pause).await {
            Either::Left((Some(message), _)) => Some(message),
            Either::Left((None, _)) => {
                let message = "the watch ended".to_owned();
                Some(Err(unreadable(&self.store, Step::Watch, message)))
            }
            Either::Right(_) => None,
        }
    }

    fn newest_head(&self, message: WatchMessage) -> Result<Option<Head>, StoreError> {
        match message.events.last() {
            Some(Event::Put(kv)) => from_json(&self.store, Step::Watch, kv).map(Some),
            Some(Event::Delete(..)) | None => Ok(None),
        }
    }

    async fn read_head(&self) -> Result<Seen, StoreError> {
        let found = self.store.range(RangeRequest::key(keys::HEAD)).await?;
        let head = match found.kvs.first() {
            Some(kv) => from_json(&self.store, Step::Range, kv)?,
            None => Head::default(),
        };
        let at = found.revision;
        Ok(Seen { head, at })
    }

    /// Delivers what lies between the daemon's revision and the head's.
    async fn catch_up(&self, head: &Head) -> Result<(), StoreError> {
        self.count(|status| status.newest = status.newest.max(head.revision));
        loop {
            let held = (self.follow.current_revision)();
            if held >= head.revision {
                return Ok(());
            }
            let Some(update) = self.read_update(held, head).await? else {
                let message = format!("{held} is followed by no change and no snapshot");
                return Err(unreadable(&self.store, Step::Range, message));
            };
            (self.follow.deliver)(update);
            // A daemon that can't read a revision keeps its own; asking again would bring
            // the same, so it waits for the next one.
            if (self.follow.current_revision)() == held {
                return Ok(());
            }
        }
    }

    async fn read_update(
        &self,
        held: Revision,
        head: &Head,
    ) -> Result<Option<SettingsUpdate>, StoreError> {
        let behind = head.revision.0 - held.0;
        if behind <= self.cfg.max_changes
            && let Some(history) = changes_after(&self.store, held).await?
            && !history.changes.is_empty()
        {
            return Ok(Some(SettingsUpdate::Changes(history.changes)));
        }
        self.read_snapshot(held, head).await
    }

    async fn read_snapshot(
        &self,
        held: Revision,
        head: &Head,
    ) -> Result<Option<SettingsUpdate>, StoreError> {
        let newer = head.snapshot.as_ref().filter(|at| at.revision > held);
        let Some(at) = newer else {
            let history = changes_after(&self.store, held).await?;
            let changes = history.map(|history| history.changes).unwrap_or_default();
            return Ok((!changes.is_empty()).then_some(SettingsUpdate::Changes(changes)));
        };
        let tree = snapshot::read(&self.store, at).await?;
        Ok(tree.map(|tree| SettingsUpdate::Snapshot {
            at: at.clone(),
            tree,
        }))
    }

    fn count(&self, change: impl FnOnce(&mut FollowStatus)) {
        let mut status = self.status.get();
        change(&mut status);
        self.status.set(status);
    }
}
