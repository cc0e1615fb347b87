//! Requests changes of the store's keys from peers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use futures_util::future::{Either, LocalBoxFuture, select};
use heatherknot_peer::PeerError;
use heatherknot_store::port::StoreRevision;
use heatherknot_types::prelude::*;
use log::{debug, info, warn};

use super::offers::{Offer, Offers};
use super::wire::{Changes, WireKey, from_wire};
use crate::feed::{Feed, UpdateSource};
use crate::mirror::UnconfirmedKeys;
use crate::packed;
use crate::propagation::{MAX_OFFERED_AGE, MAX_PEER_AGE};

/// Timeout of a request for changes.
const CALL_TIMEOUT: Millis = Millis(1_100);
/// Timeout of a request for the first copy of all keys, which takes longer than a few changes. One
/// that timed out would be sent again from its first byte.
const FIRST_COPY_TIMEOUT: Millis = Millis(2_500);
/// How much longer a VM waits for its first copy after a peer has answered that it has none yet.
const PEER_WAIT_EXTENSION: Millis = Millis(1_500);
/// Interval before the next request after one that returned nothing useful.
const RETRY_INTERVAL: Millis = Millis(200);
/// The same interval while this VM's own copy is stale, so that the store counts as unavailable.
const RETRY_INTERVAL_WHILE_STALE: Millis = Millis(300);
/// How long a peer that did not answer is avoided.
const AVOID_FOR: Millis = Millis(3_000);
/// The same period while this VM's own copy is stale. A leader that the store serves notices within
/// that time and informs its domain at once.
const AVOID_FOR_WHILE_STALE: Millis = Millis(1_000);
/// How long a peer is avoided whose data is stale. A head asks the store then, and answers soon.
const AVOID_STALE_FOR: Millis = Millis(500);
/// Longest time by which an age is too short, as it is told in whole milliseconds. Without it, two VMs
/// that only have each other's data would find it a little newer with each exchange.
const ROUNDING: Millis = Millis(1);

/// What a VM requests changes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// Another VM.
    Vm(VmName),
    /// A seed, whose name is not known.
    Seed(SocketAddr),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Source::Vm(vm) => vm.fmt(f),
            Source::Seed(address) => address.fmt(f),
        }
    }
}

impl From<&Source> for UpdateSource {
    fn from(source: &Source) -> Self {
        match source {
            Source::Vm(vm) => UpdateSource::Vm(vm.clone()),
            Source::Seed(address) => UpdateSource::Seed(*address),
        }
    }
}

type Reply = LocalBoxFuture<'static, Result<Changes, PeerError>>;
type SendRequest = Box<dyn Fn(&Source, StoreRevision, Millis) -> Reply>;

/// How a VM reaches its peers.
pub struct PeerLinks {
    /// Returns whether this VM knows peers and is not leaving.
    pub may_request: Box<dyn Fn() -> bool>,
    /// Returns the VMs that this one asks for changes, in order of preference.
    pub sources: Box<dyn Fn() -> Vec<VmName>>,
    /// Returns a random VM.
    pub random_peer: Box<dyn Fn() -> Option<VmName>>,
    /// Returns a random seed.
    pub random_seed: Box<dyn Fn() -> Option<SocketAddr>>,
    /// Requests the changes after a revision, with a timeout.
    pub request: SendRequest,
    /// Sends an offer without waiting for its receipt.
    pub offer: Box<dyn Fn(VmName, Offer)>,
}

/// A VM that sends recent data in place of the regular sources.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Fallback {
    vm: VmName,
    /// Number of VMs that its data has passed.
    hops: u32,
}

/// The part of a feed that requests changes from peers.
pub struct PeerRequests {
    feed: Rc<Feed>,
    offers: Rc<Offers>,
    timer: Timer,
    links: PeerLinks,
    /// Until when a VM is not asked.
    avoided: RefCell<HashMap<VmName, Millis>>,
    /// The VM other than the regular sources that has sent recent data last, while those have none that
    /// has passed fewer VMs.
    fallback: RefCell<Option<Fallback>>,
}

impl PeerRequests {
    /// Creates the part of a feed that requests changes over `links`.
    pub fn new(feed: &Rc<Feed>, offers: &Rc<Offers>, timer: &Timer, links: PeerLinks) -> Rc<Self> {
        Rc::new(Self {
            feed: Rc::clone(feed),
            offers: Rc::clone(offers),
            timer: timer.clone(),
            links,
            avoided: RefCell::default(),
            fallback: RefCell::default(),
        })
    }

    /// Requests changes while the store does not serve this VM itself, until the process ends.
    pub async fn run(self: Rc<Self>) {
        loop {
            if !(self.links.may_request)() || self.feed.is_served() {
                self.timer.wait(self.feed.idle_interval()).await;
                continue;
            }
            let offered = self.take_offer();
            let vm = offered.clone().or_else(|| self.next_vm());
            if vm.is_none() {
                self.feed.stop_awaiting_peers();
            }
            if vm.is_none() && !self.feed.is_store_unreachable() {
                // The store will deliver the changes, and a seed may be in any region.
                self.timer.wait(RETRY_INTERVAL).await;
                continue;
            }
            let seed = || (self.links.random_seed)().map(Source::Seed);
            let Some(source) = vm.map(Source::Vm).or_else(seed) else {
                self.pause().await;
                continue;
            };
            let outcome = match offered {
                Some(_) => Some(self.request(&source).await),
                None => self.request_until_offer(&source).await,
            };
            if outcome.is_some_and(|outcome| !self.record(&source, outcome)) {
                self.pause().await;
            }
        }
    }

    /// Offers recent data to peers whose data was old, until the process ends.
    pub async fn run_offers(self: Rc<Self>) {
        loop {
            let (recovery, behind) = (self.feed.next_recovery(), self.offers.next_behind());
            let age = self.feed.age().filter(|age| *age < MAX_OFFERED_AGE);
            if let Some(age) = age {
                let now = self.timer.now();
                let sources = (self.links.sources)();
                for peer in self.offers.take_behind(now) {
                    if sources.contains(&peer) {
                        self.offers.record_offer_to_source(peer.clone(), now);
                    }
                    (self.links.offer)(peer, Offer { age });
                }
            }
            select(recovery.wait(), behind.wait()).await;
        }
    }

    /// Takes the latest offer, unless the copy is recent by now.
    fn take_offer(&self) -> Option<VmName> {
        let offered = self.offers.take_received()?;
        let is_behind = self.feed.age().is_none_or(|age| age >= MAX_OFFERED_AGE);
        is_behind.then_some(offered)
    }

    /// Requests changes. Returns `None` if a peer offers recent data meanwhile.
    async fn request_until_offer(&self, source: &Source) -> Option<Result<PeerData, PeerError>> {
        let receipt = self.offers.next_receipt();
        let request = pin!(self.request(source));
        match select(request, receipt.wait()).await {
            Either::Left((outcome, _)) => Some(outcome),
            Either::Right(_) => None,
        }
    }

    /// Requests changes and applies them; returns what the answer says of the source.
    pub async fn request(&self, source: &Source) -> Result<PeerData, PeerError> {
        let asked_at = self.timer.now();
        let after = self.feed.mirror().revision();
        let timeout = match self.feed.is_awaiting_peers() {
            true => FIRST_COPY_TIMEOUT,
            false => CALL_TIMEOUT,
        };
        self.feed.extend_peer_wait(timeout);
        let answer = (self.links.request)(source, after, timeout).await?;
        self.feed.set_source(source.into());
        let hops = answer.hops + 1;
        let age = self.apply(answer, after, asked_at);
        Ok(PeerData { age, hops })
    }

    /// Records the outcome of a request. Returns whether the next one may follow at once.
    fn record(&self, source: &Source, outcome: Result<PeerData, PeerError>) -> bool {
        let avoid_for = match outcome {
            Ok(data) if data.age.is_some_and(|age| age < MAX_PEER_AGE) => {
                if let Source::Vm(vm) = source {
                    self.record_recent(vm, data.hops);
                }
                return true;
            }
            // When VMs start together, the peer may not have read the store yet.
            Ok(data) if data.age.is_none() && self.feed.is_awaiting_peers() => {
                self.feed.extend_peer_wait(PEER_WAIT_EXTENSION);
                return false;
            }
            Ok(_) => self.record_old(source),
            Err(error) => {
                debug!(source:% = source, error:% = error; "a request for changes to a peer failed");
                match self.feed.is_fresh() {
                    true => AVOID_FOR,
                    false => AVOID_FOR_WHILE_STALE,
                }
            }
        };
        if let Source::Vm(vm) = source {
            self.avoid(vm, avoid_for);
            let mut fallback = self.fallback.borrow_mut();
            fallback.take_if(|fallback| fallback.vm == *vm);
        }
        self.fallback.borrow().is_some()
    }

    fn avoid(&self, vm: &VmName, span: Millis) {
        let until = self.timer.now() + span;
        self.avoided.borrow_mut().insert(vm.clone(), until);
    }

    /// Records that a VM has sent recent data, which has passed `hops` VMs. If that VM is no regular
    /// source, the next requests go to it while the regular sources have no data that has passed as few.
    ///
    /// A regular source may have the data from this VM. Two VMs that each took the other's data for
    /// recent would have no source at all.
    fn record_recent(&self, vm: &VmName, hops: u32) {
        self.offers.record_recent(vm);
        let before = self.fallback.borrow().clone();
        let is_regular = (self.links.sources)().contains(vm);
        if is_regular && before.as_ref().is_some_and(|before| before.hops < hops) {
            self.avoid(vm, AVOID_FOR);
            return;
        }
        let fallback = (!is_regular).then(|| Fallback {
            vm: vm.clone(),
            hops,
        });
        let name = |fallback: &Option<Fallback>| fallback.as_ref().map(|f| f.vm.to_string());
        if name(&before) != name(&fallback) {
            info!(fallback:? = name(&fallback), before:? = name(&before), hops;
                "changed the VM that replaces the regular sources of changes");
        }
        *self.fallback.borrow_mut() = fallback;
    }

    /// Records that a source has old data; returns how long it is avoided.
    fn record_old(&self, source: &Source) -> Millis {
        if let Source::Vm(vm) = source {
            self.offers.record_behind(vm.clone(), self.timer.now());
        }
        match self.fallback.borrow().is_some() {
            true => AVOID_FOR,
            false => AVOID_STALE_FOR,
        }
    }

    /// Waits before the next request after one that returned nothing useful, or until a peer offers
    /// recent data. The wait is longer while the copy is stale: in a store outage all VMs would
    /// otherwise query each other five times a second.
    async fn pause(&self) {
        let interval = if self.feed.is_awaiting_peers() {
            // The peer is about to receive its first update and holds its answer back until then.
            self.feed.idle_interval()
        } else if self.feed.is_fresh() {
            RETRY_INTERVAL
        } else {
            RETRY_INTERVAL_WHILE_STALE
        };
        let receipt = self.offers.next_receipt();
        select(self.timer.wait(interval), receipt.wait()).await;
    }

    /// Returns the VM to ask: the best source that is not avoided, or any VM if there is none and the
    /// store does not answer either.
    ///
    /// A source that is cut off from the store still answers. A VM that kept asking it would receive
    /// nothing until connectivity returns, and would then fall back to the store together with all
    /// other VMs that ask the same source.
    fn next_vm(&self) -> Option<VmName> {
        let now = self.timer.now();
        let mut avoided = self.avoided.borrow_mut();
        avoided.retain(|_, until| *until > now);
        let has_stale_data = self.feed.age().is_some() && !self.feed.is_fresh();
        let may_ask_any = self.feed.is_store_unreachable() || has_stale_data;
        select_source((self.links.sources)(), &avoided, || {
            let fallback = self.fallback.borrow().as_ref().map(|f| f.vm.clone());
            fallback.or_else(|| (self.links.random_peer)().filter(|_| may_ask_any))
        })
    }

    /// Applies an answer and returns the age of its data. What is not known to have passed at the peer
    /// may have passed before it, so it counts as part of the age.
    fn apply(&self, answer: Changes, after: StoreRevision, asked_at: Millis) -> Option<Millis> {
        let on_the_way = self.timer.now().since(asked_at) - answer.held_ms;
        let hops = answer.hops + 1;
        let age = answer.age_ms.map(|age| age + on_the_way + ROUNDING);
        if answer.era < self.feed.mirror().revision().era {
            // The peer has not heard yet that the store has lost changes. Its answer tells nothing of
            // the store's present state, but it will hear of it soon.
            return age;
        }
        let is_applied = answer.revision() < after || apply_keys(&self.feed, answer);
        let age = age.filter(|_| is_applied)?;
        self.feed.record_peer_data(age, hops);
        Some(age)
    }
}

/// What a peer's answer says of its copy.
#[derive(Clone, Copy, Debug)]
pub struct PeerData {
    /// Age of the data, if it was applied.
    age: Option<Millis>,
    /// Number of VMs that it has passed.
    hops: u32,
}

/// Returns the first source that is not avoided, or the result of `any`.
///
/// If the store rejects the leaders of a domain but serves other VMs, some VM elsewhere has the
/// changes. The domain's VMs ask one VM after another until the leaders are no longer avoided.
/// Returning to the leaders after each attempt would cost 3 s per attempt and exceed the limit on
/// how long a configuration change may take to come into force.
pub fn select_source(
    sources: Vec<VmName>,
    avoided: &HashMap<VmName, Millis>,
    any: impl FnOnce() -> Option<VmName>,
) -> Option<VmName> {
    let usable = sources.into_iter().find(|vm| !avoided.contains_key(vm));
    usable.or_else(any)
}

/// Applies the keys in an answer; returns whether they could be decoded.
fn apply_keys(feed: &Feed, answer: Changes) -> bool {
    let at = answer.revision();
    let keys = match answer.packed.as_deref().map(packed::unpack) {
        None => answer.keys,
        Some(Ok(keys)) => keys,
        Some(Err(error)) => {
            warn!(error:% = error, at:% = at; "keys from a peer could not be decoded");
            return false;
        }
    };
    let changes = |keys: Vec<WireKey>| keys.into_iter().map(|key| from_wire(key, at.era));
    let keys = changes(keys).collect();
    match answer.is_snapshot {
        true => feed.apply_snapshot(keys, at, answer.settled),
        false => feed.apply_changes(keys, at, answer.settled),
    }
    let returned = changes(answer.returned);
    feed.extend_unconfirmed(UnconfirmedKeys {
        missing: answer.missing,
        returned: returned
            .map(|change| (change.key, change.current))
            .collect(),
    });
    if answer.settled {
        feed.remove_missing_servers();
    }
    // A peer that has just started is not settled and can't tell what the store has lost.
    if answer.settled && !answer.is_confirming {
        feed.stop_confirming();
    }
    true
}
