//! Requests changes of the store's keys from peers, and answers such requests.

mod wire;

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use futures_util::future::select;
use heatherknot_peer::options::CallOptions;
use heatherknot_peer::{MethodTable, PeerError};
use heatherknot_store::port::{StoreEra, StoreRevision};
use heatherknot_types::prelude::*;
use log::{debug, info, warn};

use crate::context::EdgeContext;
use crate::feed::{Feed, UpdateSource};
use crate::mirror::{Change, Mirror, UnconfirmedKeys};
use crate::packed;
use crate::presence;
use crate::propagation::{MAX_PEER_AGE, PEER_HOLD};

use wire::{Changes, WireKey, from_wire, to_wire};

/// RPC method that returns the changes after a revision.
const CHANGES_METHOD: &str = "e.changes";
/// The same for daemons that know revisions by their numbers only.
const CHANGES_BY_NUMBER_METHOD: &str = "e.changed";
/// Number of keys from which a message is compressed. Below it, compression saves less than a
/// kilobyte.
const COMPRESS_FROM_KEYS: usize = 32;
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

/// The last compressed copy of all keys. After a restart every VM of a domain requests the same
/// copy, and compressing it for each of them would take the domain's head one second on a tenth of
/// a core.
#[derive(Default)]
struct PackedCache {
    generation: u64,
    era: StoreEra,
    packed: Option<String>,
}

/// Registers the RPC method that answers peers.
///
/// An answer is held back while it would contain no changes or this VM has received nothing yet:
/// when VMs start together, the VM that is asked may be about to receive its first update.
pub fn register(methods: &mut MethodTable, feed: &Rc<Feed>, timer: &Timer) {
    let cache = Rc::new(RefCell::new(PackedCache::default()));
    let source = (Rc::clone(feed), timer.clone(), Rc::clone(&cache));
    methods.register(CHANGES_METHOD, move |_, after: StoreRevision| {
        let (feed, timer, cache) = source.clone();
        async move { Ok(answer(feed, timer, cache, after).await) }
    });
    let source = (Rc::clone(feed), timer.clone(), cache);
    methods.register(CHANGES_BY_NUMBER_METHOD, move |_, number: u64| {
        let (feed, timer, cache) = source.clone();
        let era = feed.mirror().revision().era;
        async move { Ok(answer(feed, timer, cache, StoreRevision::new(era, number)).await) }
    });
}

/// Returns the changes after a revision. Waits up to [`PEER_HOLD`] for one if there is none.
async fn answer(
    feed: Rc<Feed>,
    timer: Timer,
    cache: Rc<RefCell<PackedCache>>,
    after: StoreRevision,
) -> Changes {
    let change = feed.next_change();
    let answer = changes_after(&feed, after, &cache);
    let has_keys = answer.packed.is_some() || !answer.keys.is_empty();
    let enters_era = after.era < answer.era;
    // A stale peer answers at once, so that the caller can ask another peer soon, unless the store is
    // about to answer it.
    let is_stale = answer.age_ms.is_some_and(|age| age >= MAX_PEER_AGE) && !feed.is_asking_store();
    if answer.is_snapshot || is_stale || ((has_keys || enters_era) && answer.age_ms.is_some()) {
        return answer;
    }
    let began = timer.now();
    select(change.wait(), timer.wait(PEER_HOLD)).await;
    Changes {
        held_ms: timer.now().since(began),
        ..changes_after(&feed, after, &cache)
    }
}

fn changes_after(feed: &Feed, after: StoreRevision, cache: &RefCell<PackedCache>) -> Changes {
    let mirror = feed.mirror();
    let newer = mirror.changes_since(after);
    let at = mirror.revision();
    let mut changes = Changes {
        revision: at.number,
        era: at.era,
        is_snapshot: newer.is_none(),
        age_ms: feed.age(),
        held_ms: Millis(0),
        store_failed: feed.has_store_failed(),
        settled: feed.is_settled(),
        keys: Vec::new(),
        packed: None,
        is_confirming: feed.is_confirming(),
        missing: BTreeSet::new(),
        returned: Vec::new(),
    };
    if newer.is_none() || after.era < at.era {
        let unconfirmed = mirror.unconfirmed().clone();
        changes.missing = unconfirmed.missing;
        let returned = unconfirmed.returned.into_iter();
        let returned = returned.map(|(key, current)| Change { key, current });
        changes.returned = to_wire(returned.collect(), at.era);
    }
    match newer {
        Some(newer) if newer.len() < COMPRESS_FROM_KEYS => changes.keys = to_wire(newer, at.era),
        Some(newer) => changes.packed = Some(packed::pack(&to_wire(newer, at.era))),
        None => changes.packed = Some(pack_all(&mirror, &mut cache.borrow_mut())),
    }
    changes
}

fn pack_all(mirror: &Mirror, cache: &mut PackedCache) -> String {
    let is_same = cache.generation == mirror.generation() && cache.era == mirror.revision().era;
    let cached = cache.packed.take().filter(|_| is_same);
    let packed =
        cached.unwrap_or_else(|| packed::pack(&to_wire(mirror.snapshot(), mirror.revision().era)));
    cache.generation = mirror.generation();
    cache.era = mirror.revision().era;
    cache.packed = Some(packed.clone());
    packed
}

/// Requests changes from peers while this VM does not watch the store, or gets no updates from it.
pub async fn run(cx: Rc<EdgeContext>) {
    let mut avoided = HashMap::new();
    loop {
        let has_no_peers = cx.feed.is_awaiting_peers() && !cx.has_read_vm_entries.get();
        let has_fresh_store_data = cx.feed.should_watch_store() && cx.feed.is_fresh();
        if cx.leaving.is_fired() || has_fresh_store_data || has_no_peers {
            cx.timer.wait(cx.feed.idle_interval()).await;
            continue;
        }
        let source = next_source(&cx, &mut avoided);
        if source.is_none() {
            cx.feed.stop_awaiting_peers();
        }
        if source.is_none() && !cx.feed.is_store_unreachable() {
            // The store will deliver the changes, and a seed may be in any region.
            cx.timer.wait(RETRY_INTERVAL).await;
            continue;
        }
        let avoid_for = match request_changes(&cx, source.as_ref()).await {
            Ok(PeerData { age: Some(age), .. }) if age < MAX_PEER_AGE => continue,
            // When VMs start together, the peer may not have read the store yet.
            Ok(PeerData { age: None, .. }) if cx.feed.is_awaiting_peers() => {
                cx.feed.extend_peer_wait(PEER_WAIT_EXTENSION);
                None
            }
            Ok(data) => {
                back_off_if_store_failed(&cx, source.as_ref(), &data);
                Some(AVOID_STALE_FOR)
            }
            Err(error) => {
                debug!(error:% = error; "a request for changes to a peer failed");
                Some(avoid_for(&cx))
            }
        };
        if let (Some(vm), Some(avoid_for)) = (source, avoid_for) {
            avoided.insert(vm, cx.now() + avoid_for);
        }
        cx.timer.wait(retry_interval(&cx)).await;
    }
}

/// Requests all keys from the seeds if this VM is the head of a domain that has just started.
///
/// The other VMs of the domain wait for it. Reading a store in another region takes five sequential
/// calls and about a second in total; a seed near the store has the whole copy by then and sends it
/// in one answer.
pub async fn fetch_from_seeds(cx: Rc<EdgeContext>) {
    while !cx.has_read_vm_entries.get() {
        cx.timer.wait(cx.feed.idle_interval()).await;
    }
    if !cx
        .feed_topology
        .borrow()
        .is_head(&cx.cfg.vm, &cx.cfg.domain)
    {
        return;
    }
    let own = cx.cfg.listen.peers;
    for seed in cx.cfg.seeds.iter().copied().filter(|seed| *seed != own) {
        monoio::spawn(poll_seed(Rc::clone(&cx), seed));
    }
}

async fn poll_seed(cx: Rc<EdgeContext>, seed: SocketAddr) {
    while cx.feed.is_awaiting_peers() {
        if let Err(error) = request_changes_at(&cx, seed).await {
            debug!(seed:% = seed, error:% = error; "a request for all keys to a seed failed");
        }
        cx.timer.wait(cx.feed.idle_interval()).await;
    }
}

/// What a peer's answer says of the store.
struct PeerData {
    /// Age of the data, if it was applied.
    age: Option<Millis>,
    /// Whether the store has failed the peer since the data.
    store_failed: bool,
}

async fn request_changes_at(cx: &EdgeContext, at: SocketAddr) -> Result<PeerData, PeerError> {
    let after = cx.feed.mirror().revision();
    let asked_at = cx.now();
    let opts = CallOptions::idempotent(CALL_TIMEOUT);
    let answer: Changes = cx
        .net
        .call_address(at, CHANGES_METHOD, &after, opts)
        .await?;
    cx.feed.set_source(UpdateSource::Seed(at));
    Ok(apply_answer(cx, answer, after, asked_at))
}

/// Delays this VM's own attempts to reach the store if it has failed a peer, unless this VM is a
/// leader: in an outage that affects peers too, only leaders of domains keep trying.
fn back_off_if_store_failed(cx: &EdgeContext, peer: Option<&VmName>, data: &PeerData) {
    let topology = Rc::clone(&cx.feed_topology.borrow());
    if !data.store_failed || topology.is_leader(&cx.cfg.vm, &cx.cfg.domain) {
        return;
    }
    if let Some(wait) = cx.feed.record_store_failure_at_peer() {
        let age = |age: Option<Millis>| age.map(|age| age.0);
        info!(peer = peer.map_or("a seed", VmName::as_str), peer_age_ms:? = age(data.age),
            age_ms:? = age(cx.feed.age()), wait_ms = wait.0;
            "not asking the store, as it has failed a peer");
    }
}

fn avoid_for(cx: &EdgeContext) -> Millis {
    match cx.feed.is_fresh() {
        true => AVOID_FOR,
        false => AVOID_FOR_WHILE_STALE,
    }
}

/// Returns the interval before the next request after one that returned nothing useful. It is
/// longer while the copy is stale: in a store outage all VMs would otherwise query each other five
/// times a second.
fn retry_interval(cx: &EdgeContext) -> Millis {
    if cx.feed.is_awaiting_peers() {
        // The peer is about to receive its first update and holds its answer back until then.
        return cx.feed.idle_interval();
    }
    match cx.feed.is_fresh() {
        true => RETRY_INTERVAL,
        false => RETRY_INTERVAL_WHILE_STALE,
    }
}

/// Requests changes from a VM, or from a random seed if no VM is known.
async fn request_changes(cx: &EdgeContext, source: Option<&VmName>) -> Result<PeerData, PeerError> {
    let asked_at = cx.now();
    let after = cx.feed.mirror().revision();
    let timeout = match cx.feed.is_awaiting_peers() {
        true => FIRST_COPY_TIMEOUT,
        false => CALL_TIMEOUT,
    };
    cx.feed.extend_peer_wait(timeout);
    let opts = CallOptions::idempotent(timeout);
    let answer: Changes = match source {
        // Just after a start the VMs' entries are known, but heartbeats have not found any peer
        // yet.
        Some(vm) => match presence::peer_address(cx, vm) {
            Some(at) => {
                cx.net
                    .call_address(at, CHANGES_METHOD, &after, opts)
                    .await?
            }
            None => cx.net.call_with(vm, CHANGES_METHOD, &after, opts).await?,
        },
        None => {
            let own = cx.cfg.listen.peers;
            let seeds: Vec<_> = cx.cfg.seeds.iter().filter(|s| **s != own).collect();
            let Some(seed) = cx.rng.borrow_mut().choice(seeds).copied() else {
                return Ok(PeerData {
                    age: None,
                    store_failed: false,
                });
            };
            return request_changes_at(cx, seed).await;
        }
    };
    if let Some(vm) = source {
        cx.feed.set_source(UpdateSource::Vm(vm.clone()));
    }
    Ok(apply_answer(cx, answer, after, asked_at))
}

/// Applies the answer to a request for changes `after` a revision that was sent at `asked_at`.
fn apply_answer(
    cx: &EdgeContext,
    answer: Changes,
    after: StoreRevision,
    asked_at: Millis,
) -> PeerData {
    let store_failed = answer.store_failed;
    let age = apply_and_age(cx, answer, after, asked_at);
    PeerData { age, store_failed }
}

/// Applies an answer and returns the age of its data. What is not known to have passed at the peer may
/// have passed before it, so it counts as part of the age.
fn apply_and_age(
    cx: &EdgeContext,
    answer: Changes,
    after: StoreRevision,
    asked_at: Millis,
) -> Option<Millis> {
    let on_the_way = cx.now().since(asked_at) - answer.held_ms;
    let age = answer.age_ms.map(|age| age + on_the_way);
    if answer.era < cx.feed.mirror().revision().era {
        // The peer has not heard yet that the store has lost changes. Its answer tells nothing of the
        // store's present state, but it will hear of it soon.
        return age;
    }
    let is_applied = answer.revision() < after || apply_keys(cx, answer);
    let age = age.filter(|_| is_applied)?;
    cx.feed.record_peer_data_age(age);
    Some(age)
}

/// Returns the VM to ask: the best source that is not avoided, or any VM if there is none and the
/// store does not answer either.
///
/// A source that is cut off from the store still answers. A VM that kept asking it would receive
/// nothing until connectivity returns, and would then fall back to the store together with all
/// other VMs that ask the same source.
fn next_source(cx: &EdgeContext, avoided: &mut HashMap<VmName, Millis>) -> Option<VmName> {
    let now = cx.now();
    avoided.retain(|_, until| *until > now);
    let topology = Rc::clone(&cx.feed_topology.borrow());
    let sources = match cx.feed.is_awaiting_peers() {
        true => topology.first_copy_sources(&cx.cfg.vm, &cx.cfg.domain),
        false => topology.sources(&cx.cfg.vm, &cx.cfg.domain),
    };
    let has_stale_data = cx.feed.age().is_some() && !cx.feed.is_fresh();
    let may_ask_any = cx.feed.is_store_unreachable() || has_stale_data;
    select_source(sources, avoided, || {
        cx.membership.random_peer().filter(|_| may_ask_any)
    })
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
fn apply_keys(cx: &EdgeContext, answer: Changes) -> bool {
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
        true => cx.feed.apply_snapshot(keys, at, answer.settled),
        false => cx.feed.apply_changes(keys, at, answer.settled),
    }
    let returned = changes(answer.returned);
    cx.feed.extend_unconfirmed(UnconfirmedKeys {
        missing: answer.missing,
        returned: returned
            .map(|change| (change.key, change.current))
            .collect(),
    });
    if answer.settled {
        cx.feed.remove_missing_servers();
    }
    // A peer that has just started is not settled and can't tell what the store has lost.
    if answer.settled && !answer.is_confirming {
        cx.feed.stop_confirming();
    }
    true
}
