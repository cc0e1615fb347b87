//! Keeps the copy of the store's keys up to date, from the store or from peers.
//!
//! A few VMs watch the store and the others hear from them, since a call on the store costs
//! about as much as a request, and most of what it says changes nothing. The store's revisions
//! tell which of two words is newer, so it does not matter who brings them. A VM that hears
//! nothing watches the store itself, and one that the store turns away asks any peer.

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
use crate::world::RoutingState;

/// The pause before a VM looks again whether it is to watch the store.
const IDLE_PAUSE: Millis = Millis(200);
/// The same while a process that has just started knows nothing yet.
const START_PAUSE: Millis = Millis(20);
/// The pause between two readings of a watch. Backend servers write about once a second
/// each, so a watch that answered each write would cost a call for each; a pause lets them
/// gather. Others hear of it over two VMs, each of which may hold an answer back, and all of
/// that must stay under [`QUIET_LIMIT`] or every VM would watch for itself.
const WATCH_PAUSE: Millis = Millis(500);
/// Without word from the store for this long, peers are asked.
const QUIET_LIMIT: Millis = Millis(1_700);
/// How long a process that has just started waits for its peers' copy of the store's keys
/// before it reads all of them itself. A whole list for each VM of a far region would cross
/// between regions where hundreds of VMs start together. Where they do so for the first time, each enters
/// itself in the store, waits for the others' entries, reads them and asks one of them, which
/// takes a little over a second in far regions.
const START_PATIENCE: Millis = Millis(2_000);
/// How long a VM that the store answers watches it in the place of watchers that hear nothing.
const STAND_IN: Millis = Millis(5_000);
/// The longest pause between two tries of a store that does not answer.
const LONGEST_PAUSE: std::time::Duration = std::time::Duration::from_millis(400);

/// Gives the pause of a VM that is no watcher between two tries of a store that does not answer,
/// while the daemon runs.
type PauseAlone = Rc<dyn Fn() -> Option<Millis>>;

/// The copy of the store's keys, and how it is kept.
pub struct Feed {
    store: Store,
    timer: Timer,
    mirror: RefCell<Mirror>,
    world: Rc<RefCell<RoutingState>>,
    settle: Millis,
    /// The time of the newest word of the store, first hand or through peers.
    last_word: Cell<Option<Millis>>,
    /// Whether this VM's own last call failed; peers may be heard all the while.
    unreachable: Cell<bool>,
    settled_at: Cell<Millis>,
    /// When this VM reads all keys itself where it has not heard anything by then.
    patient_until: Cell<Millis>,
    is_watcher: RefCell<Option<Rc<dyn Fn() -> bool>>>,
    /// Gives the pause between two tries of a VM that is no watcher.
    pause_alone: RefCell<Option<PauseAlone>>,
    /// Until when this VM leaves the store alone although it hears nothing.
    spared_until: Cell<Millis>,
    /// Until when this VM may watch the store in the place of watchers that hear nothing.
    stands_in_until: Cell<Millis>,
    news: RefCell<Flag>,
    /// What else takes in changes, with the beginning of the keys that it wants.
    followers: RefCell<Vec<(&'static str, Follower)>>,
}

/// Takes in a change of the store.
type Follower = Rc<dyn Fn(&Change)>;

impl Feed {
    /// Makes a feed that has read nothing.
    pub fn new(
        store: Store,
        timer: Timer,
        world: Rc<RefCell<RoutingState>>,
        settle: Millis,
    ) -> Rc<Self> {
        let patient_until = Cell::new(timer.now() + START_PATIENCE);
        Rc::new(Self {
            patient_until,
            store,
            timer,
            mirror: RefCell::default(),
            world,
            settle,
            last_word: Cell::new(None),
            unreachable: Cell::new(false),
            settled_at: Cell::new(Millis(0)),
            is_watcher: RefCell::default(),
            pause_alone: RefCell::default(),
            spared_until: Cell::new(Millis(0)),
            stands_in_until: Cell::new(Millis(0)),
            news: RefCell::default(),
            followers: RefCell::default(),
        })
    }

    /// Gives the copy.
    pub fn mirror(&self) -> std::cell::Ref<'_, Mirror> {
        self.mirror.borrow()
    }

    /// Sets what tells whether this VM is one of those that watch the store, and how long it
    /// waits between two tries of a store that does not answer where it is not.
    pub fn set_watch_policy(
        &self,
        is_watcher: impl Fn() -> bool + 'static,
        pause_alone: impl Fn() -> Option<Millis> + 'static,
    ) {
        *self.is_watcher.borrow_mut() = Some(Rc::new(is_watcher));
        *self.pause_alone.borrow_mut() = Some(Rc::new(pause_alone));
    }

    /// Has `follower` take in each change of keys that begin with `prefix`, before anything that
    /// came with it has an effect.
    pub fn subscribe(&self, prefix: &'static str, follower: impl Fn(&Change) + 'static) {
        let mut followers = self.followers.borrow_mut();
        followers.push((prefix, Rc::new(follower)));
    }

    /// Gives an event that happens when a change comes that peers need.
    pub fn news(&self) -> Flag {
        self.news.borrow().clone()
    }

    /// Says whether this VM is to call the store: it is a watcher, or nobody else has told it
    /// anything lately.
    pub fn is_to_watch(&self) -> bool {
        let is_spared = self.timer.now() < self.spared_until.get();
        let is_left_alone = !self.is_fresh() && !self.is_awaiting_peers() && !is_spared;
        is_left_alone || self.is_watcher()
    }

    fn is_watcher(&self) -> bool {
        let is_watcher = self.is_watcher.borrow().clone();
        is_watcher.is_none_or(|is_watcher| is_watcher())
    }

    /// Leaves the store alone for a while, since it did not answer, or peers that can be reached
    /// hear nothing of it either. Where it is away for all, a try by each VM of a large fleet
    /// costs more than what the store would tell is worth.
    pub fn spare_store(&self) {
        let pause_alone = self.pause_alone.borrow().clone();
        let pause = pause_alone.and_then(|pause_alone| pause_alone());
        let until = self.timer.now() + pause.unwrap_or_default();
        self.spared_until.set(until.max(self.spared_until.get()));
    }

    /// Notes that a peer answered and has heard nothing of the store lately either. It counts once
    /// until the store is heard of again, so that the tries of this VM are never put off for good.
    pub fn note_quiet_peer(&self) {
        if self.spared_until.get() == Millis(0) {
            self.spare_store();
        }
    }

    /// Says whether this process has just started and leaves it to its peers to tell it what
    /// the store holds.
    pub fn is_awaiting_peers(&self) -> bool {
        self.last_word.get().is_none() && self.timer.now() < self.patient_until.get()
    }

    /// Gives the pause before a VM looks again whether it is to call anybody.
    pub fn idle_pause(&self) -> Millis {
        if self.is_awaiting_peers() {
            START_PAUSE
        } else {
            IDLE_PAUSE
        }
    }

    /// Says whether this VM's own last call on the store failed.
    pub fn is_cut_off(&self) -> bool {
        self.unreachable.get()
    }

    /// Ends the wait for peers after a start, since there are none to be found.
    pub fn end_patience(&self) {
        let now = self.timer.now();
        self.patient_until.set(self.patient_until.get().min(now));
    }

    /// Reads the keys that begin with `prefix`, and no others.
    ///
    /// # Errors
    ///
    /// Fails where the store does not answer.
    pub async fn read_some(&self, prefix: &str, may_be_stale: bool) -> Result<(), StoreError> {
        let req = RangeRequest {
            may_be_stale,
            ..RangeRequest::prefix(prefix)
        };
        let found = self.store.range(req).await?;
        let listed = found.kvs.into_iter().map(Change::from).collect();
        // What else there is, and what changed of it, is not here.
        self.take_changes(listed, StoreRevision(0), false);
        Ok(())
    }

    /// Says whether the store was heard from lately.
    pub fn is_fresh(&self) -> bool {
        let now = self.timer.now();
        let heard = self.last_word.get();
        heard.is_some_and(|heard| now.since(heard) < QUIET_LIMIT)
    }

    /// Says whether a missing entry means that it was taken away, rather than that it lapsed
    /// while the store was away and may come back.
    pub fn is_settled(&self) -> bool {
        self.is_fresh() && self.timer.now() >= self.settled_at.get()
    }

    /// Follows the store for as long as the process runs.
    pub async fn follow(self: Rc<Self>) {
        let first = std::time::Duration::from_millis(50);
        let backoff = Backoff::new(first, LONGEST_PAUSE, fastrand::Rng::new());
        let mut failures = 0;
        let mut forgotten = false;
        loop {
            if !self.is_to_watch() {
                self.timer.wait(self.idle_pause()).await;
                continue;
            }
            match self.follow_once(&mut forgotten, &mut failures).await {
                Ok(()) => continue,
                Err(error) => {
                    failures += 1;
                    forgotten |= matches!(error.source, Cause::Compacted { .. });
                    self.note_failure(&error);
                    if !self.is_watcher() {
                        self.spare_store();
                    }
                }
            }
            backoff.pause(failures).await;
        }
    }

    /// Watches until this VM need not any more. A list is read first where nothing is held
    /// yet, or the store has `forgotten` what came after what is held.
    async fn follow_once(
        &self,
        forgotten: &mut bool,
        failures: &mut u32,
    ) -> Result<(), StoreError> {
        if *forgotten || self.mirror.borrow().at() == StoreRevision(0) {
            self.list().await?;
            *forgotten = false;
        }
        let mut watch = self.watch().await?;
        while self.is_to_watch() {
            let began = self.timer.now();
            let Some(message) = watch.next().await else {
                return Ok(());
            };
            self.take_message(message?);
            *failures = 0;
            self.note_own_word();
            let spent = self.timer.now().since(began);
            self.timer.wait(WATCH_PAUSE - spent).await;
        }
        Ok(())
    }

    /// Notes that the store has answered this VM itself. Where it is no watcher, those hear nothing.
    fn note_own_word(&self) {
        if !self.is_watcher() {
            let until = self.timer.now() + STAND_IN;
            self.stands_in_until.set(until);
        }
    }

    /// Says whether the store has lately answered this VM while the watchers heard nothing.
    ///
    /// A leader of a domain then watches in their place. Otherwise its word would be over a
    /// second old half of the time, and the VMs that ask it would take it for cut off as well.
    pub fn is_substitute_watcher(&self) -> bool {
        self.timer.now() < self.stands_in_until.get()
    }

    async fn watch(&self) -> Result<WatchStream, StoreError> {
        let at = self.mirror.borrow().at();
        let req = WatchRequest {
            key: String::new(),
            end: Some(heatherknot_store::port::prefix_end("")),
            start: StoreRevision(at.0 + 1),
        };
        (self.store.watch)(req).await
    }

    async fn list(&self) -> Result<(), StoreError> {
        let found = self.store.range(RangeRequest::prefix("")).await?;
        let listed = found.kvs.into_iter().map(Change::from).collect();
        self.heard();
        self.take_list(listed, found.revision, self.is_settled());
        Ok(())
    }

    fn take_message(&self, message: WatchMessage) {
        self.heard();
        let changes: Vec<Change> = message.events.into_iter().map(to_change).collect();
        self.take_changes(changes, message.revision, self.is_settled());
    }

    /// Takes in changes up to revision `at`.
    pub fn take_changes(&self, changes: Vec<Change>, at: StoreRevision, settled: bool) {
        let mut mirror = self.mirror.borrow_mut();
        let news: Vec<Change> = changes.into_iter().filter(|c| mirror.apply(c)).collect();
        mirror.advance(at);
        drop(mirror);
        self.take_news(&news, settled);
    }

    /// Takes in a whole list that was read at revision `at`.
    pub fn take_list(&self, listed: Vec<Change>, at: StoreRevision, settled: bool) {
        let news = self.mirror.borrow_mut().replace(listed, at);
        self.take_news(&news, settled);
    }

    fn take_news(&self, news: &[Change], settled: bool) {
        let mattering: Vec<&Change> = {
            let world = self.world.borrow();
            news.iter().filter(|change| world.matters(change)).collect()
        };
        for (prefix, follower) in self.followers.borrow().iter() {
            let wanted = news.iter().filter(|change| change.key.starts_with(prefix));
            wanted.for_each(|change| follower(change));
        }
        self.world.borrow_mut().apply(news, settled);
        let mut mirror = self.mirror.borrow_mut();
        mattering
            .iter()
            .for_each(|change| mirror.mark_mattered(&change.key));
        drop(mirror);
        if !mattering.is_empty() {
            self.news.take().fire();
        }
    }

    /// Gives how old the newest word of the store is.
    pub fn age(&self) -> Option<Millis> {
        let now = self.timer.now();
        self.last_word.get().map(|at| now.since(at))
    }

    /// Notes that a peer has told what the store said `age` ago.
    ///
    /// The age is passed on with every word. Two VMs that are both cut off from the store
    /// would otherwise take each other's answers for the store's for ever.
    pub fn heard_from_peer(&self, age: Millis) {
        self.note_word(self.timer.now() - age);
    }

    /// Takes it from a peer whose word is settled that entries which are missing here are gone.
    ///
    /// A VM whose own way to the store is cut, while its peers' is not, could otherwise not tell
    /// a server that was taken away from an entry that lapsed, and would go on sending to it.
    pub fn confirm(&self) {
        self.world.borrow_mut().remove_missing();
    }

    fn heard(&self) {
        if self.unreachable.replace(false) {
            info!(store:% = self.store.peer; "the store answers again");
        }
        self.note_word(self.timer.now());
    }

    /// Notes what the store said at `said`. After a time without any word, from itself or
    /// through peers, entries may have lapsed and come back a little later. A process that has
    /// just started doesn't know what was before, and takes it for such a time.
    fn note_word(&self, said: Millis) {
        let last = self.last_word.get();
        if last.is_some_and(|last| last >= said) {
            return;
        }
        self.last_word.set(Some(said));
        self.spared_until.set(Millis(0));
        let quiet = last.map(|last| said.since(last));
        if quiet.is_none_or(|quiet| quiet > QUIET_LIMIT + WATCH_PAUSE) {
            info!(quiet_ms = quiet.unwrap_or_default().0; "the store is heard of");
            self.settled_at.set(self.timer.now() + self.settle);
        }
    }

    fn note_failure(&self, error: &StoreError) {
        if !self.unreachable.replace(true) {
            let at = self.mirror.borrow().at();
            warn!(step:% = error.step, store:% = error.peer, error:% = error.source, held:% = at;
                "the store does not answer; what is held stays in force");
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
                value: None,
            },
        },
    }
}
