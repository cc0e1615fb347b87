//! Follows the accepted settings with a watch on the head. Periodic reads of the head find
//! revisions that the watch did not report.

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

/// New settings delivered by a follower, in the order of revisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsUpdate {
    /// The changes that follow the daemon's current revision.
    Changes(Vec<StoredChange>),
    /// A full settings tree that is newer than the daemon's current revision.
    Snapshot {
        /// The revision, number of parts and hash of the tree.
        at: SnapshotRef,
        /// The serialized tree.
        tree: Bytes,
    },
}

/// The functions through which a follower reads and updates the daemon's state.
#[derive(Clone)]
pub struct FollowCallbacks {
    /// Returns the daemon's current revision, whether it came from the store or from a peer.
    pub current_revision: Rc<dyn Fn() -> Revision>,
    /// Applies an update. The daemon may reject it and then leaves
    /// [`current_revision`](Self::current_revision) unchanged.
    pub deliver: Rc<dyn Fn(SettingsUpdate)>,
}

/// Configuration of a follower.
#[derive(Clone, Debug)]
pub struct FollowConfig {
    /// The interval at which the head is read in addition to the watch.
    pub poll_interval: Duration,
    /// The maximum number of revisions to catch up by reading changes; a daemon that is further
    /// behind reads the snapshot.
    pub max_changes: u64,
    /// The delays between attempts after failures.
    pub backoff: Backoff,
}

impl Default for FollowConfig {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_secs(2),
            max_changes: 64,
            backoff: Backoff::default(),
        }
    }
}

/// Counters of a follower.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowStatus {
    /// The newest accepted revision that the follower read.
    pub newest: Revision,
    /// The number of restarts caused by an error.
    pub failures: u64,
    /// The number of restarts because a read found a revision that the watch had not reported.
    pub incomplete_watches: u64,
}

/// A handle to a running follower, which stops when the handle is dropped.
pub struct Follower {
    abort: AbortHandle,
    status: Rc<Cell<FollowStatus>>,
}

impl Follower {
    /// Returns the counters of the follower.
    pub fn status(&self) -> FollowStatus {
        self.status.get()
    }

    /// Stops the follower and closes its watch on the platform.
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

/// Starts a follower on a task of the current runtime.
pub fn start(store: Store, callbacks: FollowCallbacks, cfg: FollowConfig) -> Follower {
    let status = Rc::new(Cell::new(FollowStatus::default()));
    let task = FollowTask {
        store,
        callbacks,
        cfg,
        status: status.clone(),
    };
    let (task, abort) = abortable(async move { task.run().await });
    monoio::spawn(task);
    Follower { abort, status }
}

struct FollowTask {
    store: Store,
    callbacks: FollowCallbacks,
    cfg: FollowConfig,
    status: Rc<Cell<FollowStatus>>,
}

/// A head and the store revision at which it was read.
struct HeadAtRevision {
    head: Head,
    store_revision: StoreRevision,
}

impl FollowTask {
    async fn run(&self) {
        let mut failures = 0;
        loop {
            let progressed = Cell::new(false);
            let Err(err) = self.follow_until_restart(&progressed).await else {
                // The watch left out a revision; start a new one without delay.
                failures = 0;
                continue;
            };
            failures = if progressed.get() { 1 } else { failures + 1 };
            self.update_status(|status| status.failures += 1);
            log::warn!(err:% = err, failures; "cannot follow the settings; retrying");
            self.cfg.backoff.pause(failures).await;
        }
    }

    /// Reads the head and watches it. Returns `Ok` when a read finds that the watch left out a
    /// revision, and sets `progressed` once the first read succeeded.
    async fn follow_until_restart(&self, progressed: &Cell<bool>) -> Result<(), StoreError> {
        let current = self.read_head().await?;
        self.catch_up(&current.head).await?;
        progressed.set(true);
        // The watch starts at the store revision after the read, so that it reports every change
        // made since.
        let req = WatchRequest {
            key: keys::HEAD.to_owned(),
            end: None,
            start: current.store_revision.next(),
        };
        let mut watch = (self.store.watch)(req).await?;
        let mut newest = current.head.revision;
        let mut next_poll = Instant::now() + self.cfg.poll_interval;
        loop {
            match self.next_message(&mut watch, next_poll).await {
                Some(message) => {
                    if let Some(head) = self.last_head(message?)? {
                        newest = head.revision;
                        self.catch_up(&head).await?;
                    }
                }
                None => {
                    next_poll = Instant::now() + self.cfg.poll_interval;
                    let current = self.read_head().await?;
                    self.catch_up(&current.head).await?;
                    // A read ahead of the watch means that the watch has stalled, for example
                    // because a middlebox dropped its connection, or that it skips changes. If
                    // its message was only delayed, the cost is one needless restart.
                    if current.head.revision > newest {
                        self.update_status(|status| status.incomplete_watches += 1);
                        log::warn!(
                            newest:% = current.head.revision;
                            "watch missed a revision; restarting it"
                        );
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Returns the next message of the watch, or `None` at `next_poll`. Messages do not postpone
    /// the poll, since a watch that skips changes may still report progress.
    async fn next_message(
        &self,
        watch: &mut WatchStream,
        next_poll: Instant,
    ) -> Option<Result<WatchMessage, StoreError>> {
        let pause = Box::pin(monoio::time::sleep_until(next_poll));
        match select(watch.next(), pause).await {
            Either::Left((Some(message), _)) => Some(message),
            Either::Left((None, _)) => {
                let message = "the watch ended".to_owned();
                Some(Err(unreadable(&self.store, Step::Watch, message)))
            }
            Either::Right(_) => None,
        }
    }

    fn last_head(&self, message: WatchMessage) -> Result<Option<Head>, StoreError> {
        match message.events.last() {
            Some(Event::Put(kv)) => from_json(&self.store, Step::Watch, kv).map(Some),
            Some(Event::Delete(..)) | None => Ok(None),
        }
    }

    async fn read_head(&self) -> Result<HeadAtRevision, StoreError> {
        let found = self.store.range(RangeRequest::key(keys::HEAD)).await?;
        let head = match found.kvs.first() {
            Some(kv) => from_json(&self.store, Step::Range, kv)?,
            None => Head::default(),
        };
        let store_revision = found.revision;
        Ok(HeadAtRevision {
            head,
            store_revision,
        })
    }

    /// Delivers updates until the daemon reaches the head's revision or rejects an update.
    async fn catch_up(&self, head: &Head) -> Result<(), StoreError> {
        self.update_status(|status| status.newest = status.newest.max(head.revision));
        loop {
            let held = (self.callbacks.current_revision)();
            if held >= head.revision {
                return Ok(());
            }
            let Some(update) = self.read_update(held, head).await? else {
                let message = format!("{held} is followed by no change and no snapshot");
                return Err(unreadable(&self.store, Step::Range, message));
            };
            (self.callbacks.deliver)(update);
            // The daemon rejected the update, for example because it cannot parse it. Reading it
            // again would return the same data, so wait for the next revision.
            if (self.callbacks.current_revision)() == held {
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

    fn update_status(&self, change: impl FnOnce(&mut FollowStatus)) {
        let mut status = self.status.get();
        change(&mut status);
        self.status.set(status);
    }
}
