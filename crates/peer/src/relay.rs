//! Relay of the settings from the daemons that watch the store to all other daemons.
//!
//! The first two VMs of each failure domain by rendezvous hash watch the store and push new
//! changes to their domain. Heartbeats carry the revision in force, so a daemon that missed a push
//! learns of it from any peer, also in another domain, and pulls the missing changes.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use heatherknot_types::prelude::*;
use log::{info, warn};

use crate::auth::PeerId;
use crate::change_log::ChangeLog;
use crate::membership::{Membership, PeerRevisionHook};
use crate::methods::MethodTable;
use crate::net::PeerNet;
use crate::relay_wire::{CachedSnapshot, register};
use crate::settings_port::{Delivery, SettingsPort, StorePort};

/// Limits and timeouts of the relay.
#[derive(Clone, Debug)]
pub struct RelayOptions {
    /// Maximum size of the changes included in a push, in bytes.
    pub max_push_bytes: usize,
    /// Maximum size of the changes in the answer to a pull, in bytes.
    pub max_changes_bytes: usize,
    /// Maximum size of a part of a snapshot, in bytes.
    pub max_part_bytes: usize,
    /// Maximum size of the log of changes kept for peers that lag behind, in bytes.
    pub max_log_bytes: usize,
    /// Maximum number of revisions that a delivery may be ahead of the revision in force.
    pub max_revision_jump: u64,
    /// Timeout of a call to a peer.
    pub call_timeout: Millis,
    /// Timeout of a watch of the store. A watch without any answer is renewed after this time.
    pub watch_timeout: Millis,
    /// Delay between attempts to fetch settings; doubled after each failed watch.
    pub retry_delay: Millis,
    /// Maximum delay between attempts.
    pub max_retry_delay: Millis,
    /// Time after the start during which a daemon without settings asks only peers, and not the
    /// store.
    pub store_delay: Millis,
    /// Time during which a refused revision is not pulled again.
    pub refusal_cooldown: Millis,
    /// Time for which a snapshot is kept for peers that fetch its parts.
    pub snapshot_retention: Millis,
    /// Maximum number of concurrent pulls. More than one, so that a peer that hangs does not delay
    /// pulls from other peers.
    pub max_concurrent_pulls: usize,
}

impl Default for RelayOptions {
    fn default() -> Self {
        Self {
            max_push_bytes: 2 * 1024,
            max_changes_bytes: 64 * 1024,
            max_part_bytes: 64 * 1024,
            max_log_bytes: 512 * 1024,
            max_revision_jump: 1_000_000,
            call_timeout: Millis(2_000),
            watch_timeout: Millis(30_000),
            retry_delay: Millis(500),
            max_retry_delay: Millis(8_000),
            store_delay: Millis(2_000),
            refusal_cooldown: Millis(30_000),
            snapshot_retention: Millis(60_000),
            max_concurrent_pulls: 3,
        }
    }
}

/// The source of the settings in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The platform's store.
    Store,
    /// Another daemon.
    Peer(VmName),
}

/// Status of the relay, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayStatus {
    /// The revision in force.
    pub revision: Revision,
    /// Time for which the revision has been in force.
    pub age: Millis,
    /// Source of the settings in force.
    pub origin: Option<Origin>,
    /// Whether this daemon watches the store.
    pub watching: bool,
    /// Error of the last call to the store, if it failed.
    pub store_error: Option<String>,
    /// The last refused revision and the reason, unless a later one is in force.
    pub refused: Option<(Revision, String)>,
    /// What this daemon is waiting for, if it has no settings.
    pub waiting_for: Option<String>,
}

struct RefusedRevision {
    revision: Revision,
    refused_at: Millis,
    reason: String,
}

pub(crate) struct RelayState {
    pub(crate) settings: SettingsPort,
    store: Option<StorePort>,
    pub(crate) timer: Timer,
    pub(crate) options: RelayOptions,
    pub(crate) log: RefCell<ChangeLog>,
    pub(crate) cached_snapshot: RefCell<Option<CachedSnapshot>>,
    pub(crate) net: RefCell<Option<PeerNet>>,
    membership: RefCell<Option<Membership>>,
    /// Number of pulls in progress.
    pub(crate) pulls: Cell<usize>,
    in_force_since: Cell<Millis>,
    origin: RefCell<Option<Origin>>,
    watching: Cell<bool>,
    store_error: RefCell<Option<String>>,
    peer_error: RefCell<Option<String>>,
    refused: RefCell<Option<RefusedRevision>>,
}

/// The relay of settings of one daemon; cheap to clone.
#[derive(Clone)]
pub struct Relay {
    state: Rc<RelayState>,
}

impl Relay {
    /// Creates the relay and registers its methods.
    pub fn new(
        settings: SettingsPort,
        store: Option<StorePort>,
        timer: Timer,
        options: RelayOptions,
        methods: &mut MethodTable,
    ) -> Self {
        let state = Rc::new(RelayState {
            settings,
            store,
            in_force_since: Cell::new(timer.now()),
            timer,
            log: RefCell::new(ChangeLog::new(options.max_log_bytes)),
            options,
            cached_snapshot: RefCell::default(),
            net: RefCell::default(),
            membership: RefCell::default(),
            pulls: Cell::new(0),
            origin: RefCell::default(),
            watching: Cell::new(false),
            store_error: RefCell::default(),
            peer_error: RefCell::default(),
            refused: RefCell::default(),
        });
        register(&state, methods);
        Self { state }
    }

    /// Returns the hook to call with the revision that a peer's heartbeat carries.
    pub fn peer_revision_hook(&self) -> PeerRevisionHook {
        let state = Rc::clone(&self.state);
        Rc::new(move |peer, revision| state.handle_peer_revision(peer, revision))
    }

    /// Starts fetching settings from peers and, while this daemon is a watcher of its domain,
    /// watching the store.
    pub fn run(&self, net: PeerNet, membership: Membership) {
        *self.state.net.borrow_mut() = Some(net);
        *self.state.membership.borrow_mut() = Some(membership);
        monoio::spawn(fetch_initial_settings(Rc::clone(&self.state)));
        if let Some(store) = self.state.store.clone() {
            monoio::spawn(watch_store(Rc::clone(&self.state), store));
        }
    }

    /// Returns the status of the relay.
    pub fn status(&self) -> RelayStatus {
        self.state.status()
    }

    /// Applies settings that this daemon has just read from or written to the store, and pushes
    /// them to its domain.
    ///
    /// # Errors
    ///
    /// Returns the reason if the settings are refused.
    pub fn deliver(&self, delivery: Delivery) -> Result<(), String> {
        self.state.apply(delivery, Origin::Store)
    }
}

/// Asks peers, and after `store_delay` also the store, until settings are in force.
async fn fetch_initial_settings(state: Rc<RelayState>) {
    let started_at = state.timer.now();
    while state.revision() == Revision::NONE && state.is_open() {
        let peer = state.membership().and_then(|m| m.random_peer());
        match peer {
            Some(vm) => Rc::clone(&state).pull(vm).await,
            None => state.record_peer_error("no peer is known"),
        }
        let now = state.timer.now();
        if state.revision() == Revision::NONE
            && now.since(started_at) >= state.options.store_delay
            && let Some(store) = &state.store
        {
            // Watchers also ask the store in `watch_store`. Asking it here covers a daemon that
            // is not a watcher while the watchers have no settings either.
            state.fetch_from_store(store).await;
        }
        state.timer.wait(state.options.retry_delay).await;
    }
}

/// Watches the store while this daemon is a watcher of its domain.
async fn watch_store(state: Rc<RelayState>, store: StorePort) {
    let mut failures = 0;
    while state.is_open() {
        let watching = state.membership().is_some_and(|m| m.is_watcher());
        state.watching.set(watching);
        if !watching {
            failures = 0;
            state.timer.wait(state.options.retry_delay).await;
            continue;
        }
        if state.fetch_from_store(&store).await {
            failures = 0;
            continue;
        }
        failures = (failures + 1).min(16);
        state.timer.wait(state.backoff(failures)).await;
    }
}

impl RelayState {
    pub(crate) fn revision(&self) -> Revision {
        (self.settings.revision)()
    }

    fn membership(&self) -> Option<Membership> {
        self.membership.borrow().clone()
    }

    fn is_open(&self) -> bool {
        let net = self.net.borrow();
        net.as_ref().is_some_and(|net| !net.is_closed())
    }

    fn backoff(&self, failures: u32) -> Millis {
        let doubled = self.options.retry_delay.0 << (failures - 1).min(16);
        let longest = doubled.min(self.options.max_retry_delay.0);
        // Random jitter, so that watchers that lost the store together do not retry together.
        Millis(fastrand::u64(longest / 2..=longest))
    }

    /// Waits for the store's next revision and applies it. Returns whether it was newer, or `true`
    /// if `watch_timeout` expired first.
    ///
    /// A watch can stop delivering without an error. The caller then watches again from the
    /// revision in force and receives what was missed.
    async fn fetch_from_store(&self, store: &StorePort) -> bool {
        let next = (store.next)(self.revision());
        match self.timer.limit(self.options.watch_timeout, next).await {
            None => true,
            Some(Ok(delivery)) => {
                *self.store_error.borrow_mut() = None;
                let before = self.revision();
                // `apply` records a refusal. A refused or stale delivery counts as a failure,
                // because the store would return it again immediately.
                let _ = self.apply(delivery, Origin::Store);
                self.revision() > before
            }
            Some(Err(error)) => {
                warn!(step = "watching the store", error:% = error; "failed to read the store");
                *self.store_error.borrow_mut() = Some(error);
                false
            }
        }
    }

    /// Applies a newer revision to the replica. Older revisions and the revision in force are
    /// ignored, whatever their origin: a failure domain that was partitioned, a process that was
    /// paused and a stale read of the store can all deliver them.
    pub(crate) fn apply(&self, delivery: Delivery, origin: Origin) -> Result<(), String> {
        let previous = self.revision();
        let given = delivery.revision();
        if given <= previous {
            return Ok(());
        }
        self.check_revision_jump(&delivery, previous)?;
        if let Err(reason) = (self.settings.apply)(&delivery) {
            self.record_refusal(given, &reason);
            return Err(reason);
        }
        self.record_in_force(&delivery, previous, &origin);
        if self.should_push_to_domain(&origin) {
            self.push_to_domain(previous);
        }
        Ok(())
    }

    /// Refuses a delivery that is too far ahead of the revision in force.
    ///
    /// Such a revision is more likely a corrupted number than the result of a long absence, and
    /// after applying it every later change would be ignored as old.
    fn check_revision_jump(&self, delivery: &Delivery, held: Revision) -> Result<(), String> {
        let given = delivery.revision();
        let is_too_far = given.0 - held.0 > self.options.max_revision_jump;
        if held != Revision::NONE && is_too_far {
            let reason = format!("{given} is too far ahead of {held}");
            self.record_refusal(given, &reason);
            return Err(reason);
        }
        Ok(())
    }

    fn record_refusal(&self, revision: Revision, reason: &str) {
        warn!(revision = revision.0, why = reason; "settings were refused");
        *self.refused.borrow_mut() = Some(RefusedRevision {
            revision,
            refused_at: self.timer.now(),
            reason: reason.to_string(),
        });
    }

    fn record_in_force(&self, delivery: &Delivery, previous: Revision, origin: &Origin) {
        let mut log = self.log.borrow_mut();
        match delivery {
            Delivery::Changes(changes) => {
                let new = changes.iter().filter(|c| c.revision > previous);
                new.cloned().for_each(|change| log.push(change));
            }
            Delivery::Snapshot(_) => log.clear(),
        }
        self.in_force_since.set(self.timer.now());
        *self.origin.borrow_mut() = Some(origin.clone());
        info!(revision = self.revision().0, origin:? = origin; "settings are in force");
    }

    /// Returns whether this daemon should push settings from `origin` to its domain: only if they
    /// came from the store or from another domain. Settings from a peer of the own domain have
    /// already been pushed by the daemon that brought them there.
    fn should_push_to_domain(&self, origin: &Origin) -> bool {
        let Origin::Peer(vm) = origin else {
            return true;
        };
        let net = self.net.borrow();
        let Some(net) = net.as_ref() else {
            return false;
        };
        net.identity_of(vm)
            .is_none_or(|id| id.domain != net.me().domain)
    }

    /// Returns whether to pull a peer's revision: if it is newer than the one in force and has not
    /// been refused recently.
    pub(crate) fn should_pull(&self, revision: Revision) -> bool {
        let refused = self.refused.borrow();
        let in_cooldown = refused.as_ref().is_some_and(|refused| {
            let age = self.timer.now().since(refused.refused_at);
            revision <= refused.revision && age < self.options.refusal_cooldown
        });
        revision > self.revision() && !in_cooldown
    }

    fn handle_peer_revision(self: &Rc<Self>, peer: &PeerId, revision: Revision) {
        if self.should_pull(revision) {
            monoio::spawn(Rc::clone(self).pull(peer.vm.clone()));
        }
    }

    pub(crate) fn record_peer_error(&self, error: &str) {
        *self.peer_error.borrow_mut() = Some(error.to_string());
    }

    pub(crate) fn domain_peers(&self) -> Vec<VmName> {
        self.membership()
            .map(|m| m.domain_peers())
            .unwrap_or_default()
    }

    fn status(&self) -> RelayStatus {
        let revision = self.revision();
        let refused = self.refused.borrow();
        let refused = refused
            .as_ref()
            .filter(|refused| refused.revision > revision);
        RelayStatus {
            revision,
            age: self.timer.now().since(self.in_force_since.get()),
            origin: self.origin.borrow().clone(),
            watching: self.watching.get(),
            store_error: self.store_error.borrow().clone(),
            refused: refused.map(|refused| (refused.revision, refused.reason.clone())),
            waiting_for: (revision == Revision::NONE).then(|| self.waiting_for()),
        }
    }

    fn waiting_for(&self) -> String {
        let peers = self.peer_error.borrow();
        let peers = peers.as_deref().unwrap_or("not asked yet");
        let store = self.store_error.borrow();
        let store = match (&self.store, store.as_deref()) {
            (None, _) => "none",
            (Some(_), error) => error.unwrap_or("no answer yet"),
        };
        format!("settings from a peer ({peers}) or the store ({store})")
    }
}
