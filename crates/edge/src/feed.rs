//! Keeps the local copy of the store's keys up to date, from the store itself or from peers.
//!
//! A few VMs watch the store and the others request changes from them: a call on the store costs
//! about as much as serving a request, and most changes are of no interest to other VMs. Store
//! revisions order all changes, so it does not matter which source delivers them. A VM whose
//! copy gets too old watches the store itself, and a VM that the store rejects asks any peer; the
//! time limits are those of [`crate::propagation`].

mod eras;
mod origin;
mod store_access;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use futures_util::StreamExt;
use heatherknot_http::Flag;
use heatherknot_store::backoff::Backoff;
use heatherknot_store::error::{Cause, StoreError};
use heatherknot_store::port::{
    Event, RangeRequest, Store, StoreRevision, WatchMessage, WatchRequest, WatchStream,
};
use heatherknot_types::prelude::*;
use log::{info, warn};

use crate::mirror::{Change, Mirror, VersionedValue};
use crate::propagation::{
    MAX_OFFERED_AGE, STALE_AFTER, STORE_HOLD, VM_ASKS_STORE_AFTER, WATCH_READ_INTERVAL,
};
use crate::routing_state::RoutingState;

pub use origin::{CatalogOrigin, UpdateSource};

/// Interval at which a VM checks whether it should watch the store.
const IDLE_INTERVAL: Millis = Millis(200);
/// Interval of the same check while a process that has just started waits for its first update.
const STARTUP_INTERVAL: Millis = Millis(20);
/// How long a process that has just started waits for its peers' copy before it reads all keys from
/// the store itself. Where hundreds of VMs of a remote region start together, one full read for
/// each of them would cross between regions. On a first start, a VM writes its own entry, waits for
/// the others' entries, reads them and asks one of those VMs, which takes a little over a second in
/// remote regions.
const PEER_WAIT_AT_START: Millis = Millis(2_000);
/// The longest such wait while peers answer that they wait too, or send their copy.
const MAX_PEER_WAIT: Millis = Millis(10_000);
/// How long a VM that reaches the store substitutes for watchers that receive nothing.
const SUBSTITUTE_PERIOD: Millis = Millis(5_000);
/// How much newer than the one before an update has to be to be passed on without changes.
const MIN_UPDATE_GAIN: Millis = Millis(50);
/// The longest backoff between two attempts to reach a store that does not answer.
const MAX_BACKOFF: std::time::Duration = std::time::Duration::from_millis(400);

/// Returns the interval between two attempts of a non-watcher to reach a store that does not
/// answer, or `None` once the daemon has stopped.
type RetryInterval = Rc<dyn Fn() -> Option<Millis>>;

/// Returns the age of the copy from which this VM asks the store itself.
type AgeLimit = Rc<dyn Fn() -> Millis>;

/// The local copy of the store's keys and the state that keeps it up to date.
pub struct Feed {
    store: Store,
    timer: Timer,
    mirror: RefCell<Mirror>,
    routing_state: Rc<RefCell<RoutingState>>,
    settle_time: Millis,
    /// The time of the newest update from the store, received directly or through peers.
    last_update_at: Cell<Option<Millis>>,
    last_source: RefCell<UpdateSource>,
    /// Number of VMs that the newest update has passed before it came here.
    hops: Cell<u32>,
    /// What the update comes from that is being applied.
    applied_source: RefCell<UpdateSource>,
    catalog_origin: RefCell<Option<CatalogOrigin>>,
    /// Whether the present copy was logged as stale.
    is_logged_as_stale: Cell<bool>,
    stale_count: Cell<u64>,
    /// Whether this VM's own last store call failed. Updates may still arrive from peers.
    store_unreachable: Cell<bool>,
    /// When a store call of this VM failed last.
    store_failed_at: Cell<Option<Millis>>,
    /// When the latest store call of this VM began that the store has answered.
    store_answered_at: Cell<Option<Millis>>,
    /// When the latest store call of this VM began.
    store_called_at: Cell<Millis>,
    /// Whether that call is in progress.
    is_calling_store: Cell<bool>,
    settled_at: Cell<Millis>,
    /// Until when the writers of keys that the store has lost may write them again.
    confirm_until: Cell<Millis>,
    /// When this process started.
    started_at: Millis,
    /// When this VM reads all keys itself if it has received no update by then.
    await_peers_until: Cell<Millis>,
    is_watcher: RefCell<Option<Rc<dyn Fn() -> bool>>>,
    /// Returns the interval between two attempts of a non-watcher to reach the store.
    retry_interval: RefCell<Option<RetryInterval>>,
    age_limit: RefCell<AgeLimit>,
    /// Until when this VM does not call the store although its copy is stale.
    back_off_until: Cell<Millis>,
    /// Until when this VM may watch the store in place of watchers that receive nothing.
    substitute_until: Cell<Millis>,
    /// Until when a source of this VM relies on it.
    relied_on_until: Cell<Millis>,
    next_change: RefCell<Flag>,
    /// Fires with the next update that is clearly newer, even if it contains no changes.
    next_update: RefCell<Flag>,
    /// Fires when the copy is recent again after it was old.
    next_recovery: RefCell<Flag>,
    /// Callbacks for changes, each with the key prefix that it subscribed to.
    subscribers: RefCell<Vec<(&'static str, Subscriber)>>,
}

/// Callback that handles one change of a key.
type Subscriber = Rc<dyn Fn(&Change)>;

impl Feed {
    /// Creates a feed with an empty copy.
    pub fn new(
        store: Store,
        timer: Timer,
        routing_state: Rc<RefCell<RoutingState>>,
        settle_time: Millis,
    ) -> Rc<Self> {
        let started_at = timer.now();
        let values = Rc::clone(&routing_state);
        let mirror = Mirror::new(Rc::new(move |key, held, value| {
            values.borrow().is_outdated(key, held, value)
        }));
        let server_prefix = routing_state.borrow().server_prefix();
        let mirror = mirror.with_renewed_prefix(server_prefix);
        Rc::new(Self {
            started_at,
            await_peers_until: Cell::new(started_at + PEER_WAIT_AT_START),
            store,
            timer,
            mirror: RefCell::new(mirror),
            routing_state,
            settle_time,
            last_update_at: Cell::new(None),
            last_source: RefCell::default(),
            hops: Cell::new(0),
            applied_source: RefCell::default(),
            catalog_origin: RefCell::default(),
            is_logged_as_stale: Cell::new(false),
            stale_count: Cell::new(0),
            store_unreachable: Cell::new(false),
            store_failed_at: Cell::new(None),
            store_answered_at: Cell::new(None),
            store_called_at: Cell::new(Millis(0)),
            is_calling_store: Cell::new(false),
            settled_at: Cell::new(Millis(0)),
            confirm_until: Cell::new(Millis(0)),
            is_watcher: RefCell::default(),
            retry_interval: RefCell::default(),
            age_limit: RefCell::new(Rc::new(|| VM_ASKS_STORE_AFTER)),
            back_off_until: Cell::new(Millis(0)),
            substitute_until: Cell::new(Millis(0)),
            relied_on_until: Cell::new(Millis(0)),
            next_change: RefCell::default(),
            next_update: RefCell::default(),
            next_recovery: RefCell::default(),
            subscribers: RefCell::default(),
        })
    }

    /// Returns the local copy of the store's keys.
    pub fn mirror(&self) -> std::cell::Ref<'_, Mirror> {
        self.mirror.borrow()
    }

    /// Sets the predicate that tells whether this VM is a watcher, and the interval between the starts of
    /// two attempts to reach an unavailable store while it is not.
    pub fn set_watch_policy(
        &self,
        is_watcher: impl Fn() -> bool + 'static,
        retry_interval: impl Fn() -> Option<Millis> + 'static,
    ) {
        *self.is_watcher.borrow_mut() = Some(Rc::new(is_watcher));
        *self.retry_interval.borrow_mut() = Some(Rc::new(retry_interval));
    }

    /// Calls `subscriber` for every change of a key with this prefix, before the change takes
    /// effect in the routing state and is passed on to peers.
    pub fn subscribe(&self, prefix: &'static str, subscriber: impl Fn(&Change) + 'static) {
        let mut subscribers = self.subscribers.borrow_mut();
        subscribers.push((prefix, Rc::new(subscriber)));
    }

    /// Returns a flag that fires on the next change that peers need.
    pub fn next_change(&self) -> Flag {
        self.next_change.borrow().clone()
    }

    /// Returns a flag that fires with the next update that is clearly newer, even if it contains no changes.
    pub fn next_update(&self) -> Flag {
        self.next_update.borrow().clone()
    }

    /// Returns a flag that fires when the copy is recent again after it was old.
    pub fn next_recovery(&self) -> Flag {
        self.next_recovery.borrow().clone()
    }

    fn is_watcher(&self) -> bool {
        let is_watcher = self.is_watcher.borrow().clone();
        is_watcher.is_none_or(|is_watcher| is_watcher())
    }

    /// Returns whether this process has just started and still waits for its peers to send the
    /// store's content.
    pub fn is_awaiting_peers(&self) -> bool {
        self.last_update_at.get().is_none() && self.timer.now() < self.await_peers_until.get()
    }

    /// Extends the wait for peers to `span` from now, because a peer is about to send its copy, or
    /// waits for one itself.
    ///
    /// With thousands of backend servers a full read takes dozens of calls. If hundreds of VMs that
    /// start together gave up on their peers, their reads would keep the store's link busy for so
    /// long that the peers' copies came no sooner either.
    pub fn extend_peer_wait(&self, span: Millis) {
        if !self.is_awaiting_peers() {
            return;
        }
        let until = (self.timer.now() + span).min(self.started_at + MAX_PEER_WAIT);
        self.await_peers_until
            .set(until.max(self.await_peers_until.get()));
    }

    /// Returns the interval at which this VM checks whether it should call the store or a peer.
    pub fn idle_interval(&self) -> Millis {
        if self.is_awaiting_peers() {
            STARTUP_INTERVAL
        } else {
            IDLE_INTERVAL
        }
    }

    /// Returns whether this VM's own last store call failed.
    pub fn is_store_unreachable(&self) -> bool {
        self.store_unreachable.get()
    }

    /// Ends the wait for peers after a start, because there are none to ask.
    pub fn stop_awaiting_peers(&self) {
        let now = self.timer.now();
        self.await_peers_until
            .set(self.await_peers_until.get().min(now));
    }

    /// Reads only the keys that begin with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer.
    pub async fn read_prefix(&self, prefix: &str, may_be_stale: bool) -> Result<(), StoreError> {
        let req = RangeRequest {
            may_be_stale,
            ..RangeRequest::prefix(prefix)
        };
        let found = self.store.range(req).await?;
        let held = self.mirror.borrow().revision();
        if held != StoreRevision::ZERO && found.revision.era != held.era {
            info!(prefix, held:% = held, at:% = found.revision; "ignored keys of another era of the store");
            return Ok(());
        }
        let listed = found.kvs.into_iter().map(Change::from).collect();
        // Revision 0, because this read says nothing about other keys or about deletions.
        self.apply_changes(listed, StoreRevision::ZERO, false);
        Ok(())
    }

    /// Returns whether the last update from the store is recent.
    pub fn is_fresh(&self) -> bool {
        let now = self.timer.now();
        let last_update = self.last_update_at.get();
        last_update.is_some_and(|last_update| now.since(last_update) < STALE_AFTER)
    }

    /// Returns whether a missing entry means that it was deleted, rather than that it expired
    /// during a store outage and may be written again.
    pub fn is_settled(&self) -> bool {
        self.is_fresh() && self.timer.now() >= self.settled_at.get()
    }

    /// Watches the store whenever this VM should, until the process ends.
    pub async fn run(self: Rc<Self>) {
        let first = std::time::Duration::from_millis(50);
        let backoff = Backoff::new(first, MAX_BACKOFF, fastrand::Rng::new());
        let mut failures = 0;
        let mut must_read_all = false;
        loop {
            self.log_if_stale();
            if !self.should_watch_store() {
                self.timer.wait(self.check_interval()).await;
                continue;
            }
            let watched = self
                .watch_while_needed(&mut must_read_all, &mut failures)
                .await;
            self.is_calling_store.set(false);
            match watched {
                Ok(()) => continue,
                Err(error) => {
                    failures += 1;
                    if matches!(error.source, Cause::EraChanged { .. }) {
                        info!(step:% = error.step, cause:% = error.source; "all keys have to be read from the store");
                        if std::mem::replace(&mut must_read_all, true) {
                            let pause = backoff.delay(failures).as_millis() as u64;
                            self.timer.wait(Millis(pause)).await;
                        }
                        continue;
                    }
                    must_read_all |= matches!(error.source, Cause::Compacted { .. });
                    self.record_store_failure(&error);
                    if !self.is_watcher() {
                        self.back_off_from_store();
                    }
                }
            }
            let pause = backoff.delay(failures).as_millis() as u64;
            self.timer.wait(Millis(pause)).await;
        }
    }

    /// Watches the store until this VM no longer needs to. Reads all keys first if the copy is
    /// empty or the store no longer has the revisions after it.
    async fn watch_while_needed(
        &self,
        must_read_all: &mut bool,
        failures: &mut u32,
    ) -> Result<(), StoreError> {
        if *must_read_all || self.mirror.borrow().revision() == StoreRevision::ZERO {
            self.fetch_all().await?;
            *must_read_all = false;
        }
        let mut watch = self.watch().await?;
        while self.should_watch_store() {
            let began = self.begin_store_call();
            let Some(message) = watch.next().await else {
                return Ok(());
            };
            let message = message?;
            // While nothing changes, nothing is batched by a longer pause.
            let interval = match message.events.is_empty() {
                true => STORE_HOLD,
                false => WATCH_READ_INTERVAL,
            };
            self.apply_message(message, began);
            *failures = 0;
            self.substitute_for_watchers();
            let spent = self.timer.now().since(began);
            self.timer.wait(interval - spent).await;
        }
        Ok(())
    }

    /// Substitutes for the watchers for a while after the store has answered this VM directly. A VM
    /// that is not a watcher calls the store only while the watchers receive nothing.
    fn substitute_for_watchers(&self) {
        if !self.is_watcher() {
            let until = self.timer.now() + SUBSTITUTE_PERIOD;
            self.substitute_until.set(until);
        }
    }

    /// Returns whether the store recently answered this VM while the watchers received nothing.
    ///
    /// A leader of a domain then watches in their place. Without this, its last update would be
    /// over a second old half of the time, and the VMs that ask it would treat it as cut off as
    /// well.
    pub fn is_substitute_watcher(&self) -> bool {
        self.timer.now() < self.substitute_until.get()
    }

    async fn watch(&self) -> Result<WatchStream, StoreError> {
        let at = self.mirror.borrow().revision();
        let req = WatchRequest {
            key: String::new(),
            end: Some(heatherknot_store::port::prefix_end("")),
            start: at.next(),
        };
        (self.store.watch)(req).await
    }

    async fn fetch_all(&self) -> Result<(), StoreError> {
        let began = self.begin_store_call();
        let found = self.store.range(RangeRequest::prefix("")).await?;
        let took = self.timer.now().since(began);
        let held = self.mirror.borrow().revision();
        info!(held:% = held, at:% = found.revision, keys = found.kvs.len(), took_ms = took.0;
            "all keys read from the store");
        self.require_present_era(found.revision)?;
        let listed = found.kvs.into_iter().map(Change::from).collect();
        self.record_store_answer(began);
        self.apply_snapshot(listed, found.revision, self.is_settled());
        Ok(())
    }

    fn apply_message(&self, message: WatchMessage, asked_at: Millis) {
        self.record_store_answer(asked_at);
        let changes: Vec<Change> = message.events.into_iter().map(to_change).collect();
        self.apply_changes(changes, message.revision, self.is_settled());
    }

    /// Applies changes up to revision `at`.
    pub fn apply_changes(&self, changes: Vec<Change>, at: StoreRevision, settled: bool) {
        let enters_era = self.record_era(at);
        let mut mirror = self.mirror.borrow_mut();
        let changes: Vec<Change> = changes.into_iter().filter(|c| mirror.apply(c)).collect();
        mirror.advance(at);
        drop(mirror);
        self.publish_changes(&changes, settled);
        self.notify_of_era(enters_era);
    }

    /// Applies a complete list of keys read at revision `at`.
    pub fn apply_snapshot(&self, listed: Vec<Change>, at: StoreRevision, settled: bool) {
        let enters_era = self.record_era(at);
        let changes = self.mirror.borrow_mut().apply_snapshot(listed, at);
        self.publish_changes(&changes, settled);
        self.notify_of_era(enters_era);
    }

    fn publish_changes(&self, changes: &[Change], settled: bool) {
        let relevant: Vec<&Change> = {
            let routing_state = self.routing_state.borrow();
            changes
                .iter()
                .filter(|change| routing_state.is_relevant(change))
                .collect()
        };
        for (prefix, subscriber) in self.subscribers.borrow().iter() {
            let matching = changes
                .iter()
                .filter(|change| change.key.starts_with(prefix));
            matching.for_each(|change| subscriber(change));
        }
        self.routing_state.borrow_mut().apply(changes, settled);
        self.record_catalog_origin();
        let mut mirror = self.mirror.borrow_mut();
        relevant
            .iter()
            .for_each(|change| mirror.mark_relevant(&change.key));
        drop(mirror);
        if !relevant.is_empty() {
            self.next_change.take().fire();
        }
    }

    /// Returns the age of the newest update from the store.
    pub fn age(&self) -> Option<Millis> {
        let now = self.timer.now();
        self.last_update_at.get().map(|at| now.since(at))
    }

    /// Returns the number of VMs that the newest update has passed on its way from the store to this VM.
    pub fn hops(&self) -> u32 {
        self.hops.get()
    }

    /// Records that a peer's data from the store is `age` old and has passed `hops` VMs.
    ///
    /// Every answer between peers carries this age. Without it, two VMs that are both cut off from
    /// the store would count each other's answers as fresh updates forever.
    pub fn record_peer_data(&self, age: Millis, hops: u32) {
        self.record_update(self.timer.now() - age, hops);
    }

    /// Removes servers whose entries are missing here, because a peer whose copy is settled has
    /// confirmed that they are gone.
    ///
    /// Without this, a VM that cannot reach the store while its peers can would be unable to tell a
    /// deleted server from one whose entry expired, and would keep sending requests to it.
    pub fn remove_missing_servers(&self) {
        self.routing_state.borrow_mut().remove_missing();
    }

    /// Records an answer of the store to a call that began at `asked_at`. The answer may have waited
    /// anywhere since, as in the buffers of a process that stood still, so nothing later is certain.
    fn record_store_answer(&self, asked_at: Millis) {
        self.set_source(UpdateSource::Store);
        self.store_answered_at.set(Some(asked_at));
        self.is_calling_store.set(false);
        if self.store_unreachable.replace(false) {
            info!(store:% = self.store.peer; "the store answers again");
        }
        self.record_update(asked_at, 0);
    }

    /// Records that the store's data was current at `updated_at`. After a period without any
    /// update, directly or through peers, entries may have expired and be written again shortly
    /// afterwards. A process that has just started does not know about the time before, and treats
    /// it as such a period.
    fn record_update(&self, updated_at: Millis, hops: u32) {
        let last = self.last_update_at.get();
        if last.is_some_and(|last| last >= updated_at) {
            return;
        }
        let was_old = self.age().is_none_or(|age| age >= MAX_OFFERED_AGE);
        self.last_update_at.set(Some(updated_at));
        self.hops.set(hops);
        *self.last_source.borrow_mut() = self.applied_source.borrow().clone();
        self.back_off_until.set(Millis(0));
        let quiet = last.map(|last| updated_at.since(last));
        if quiet.is_none_or(|quiet| quiet > STALE_AFTER + WATCH_READ_INTERVAL) {
            info!(quiet_ms = quiet.unwrap_or_default().0; "store updates are arriving");
            self.settled_at.set(self.timer.now() + self.settle_time);
        }
        if quiet.is_none_or(|quiet| quiet >= MIN_UPDATE_GAIN) {
            self.next_update.take().fire();
        }
        if was_old && self.age().is_some_and(|age| age < MAX_OFFERED_AGE) {
            self.next_recovery.take().fire();
        }
    }

    fn record_store_failure(&self, error: &StoreError) {
        self.store_failed_at.set(Some(self.timer.now()));
        if !self.store_unreachable.replace(true) {
            let at = self.mirror.borrow().revision();
            warn!(step:% = error.step, store:% = error.peer, error:% = error.source, held:% = at;
                "the store does not answer; the local copy stays in force");
        }
    }
}

fn to_change(event: Event) -> Change {
    match event {
        Event::Put(kv) => Change::from(kv),
        Event::Delete(key, revision) => Change {
            key,
            current: VersionedValue {
                revision,
                created: 0,
                value: None,
            },
        },
    }
}
