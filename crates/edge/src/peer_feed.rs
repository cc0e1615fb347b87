//! What changed in the store, heard from peers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::future::select;
use heatherknot_peer::options::CallOptions;
use heatherknot_peer::{MethodTable, PeerError};
use heatherknot_store::port::StoreRevision;
use heatherknot_types::prelude::*;
use log::{debug, warn};
use serde::{Deserialize, Serialize};

use crate::context::EdgeContext;
use crate::feed::Feed;
use crate::mirror::{Change, Mirror, VersionedValue};
use crate::packed;
use crate::presence;

/// The method that gives what changed after a revision.
const CHANGES: &str = "e.changed";
/// Keys from which a message is compressed. With fewer, what is saved is under a kilobyte.
const MANY: usize = 32;
/// How long an answer is held back while nothing changes that matters. It is well under the
/// time after which a VM that hears nothing watches the store itself.
const HOLD: Millis = Millis(400);
/// The time allowed for an answer.
const ASK_LIMIT: Millis = Millis(1_100);
/// The pause after a question that brought nothing of use.
const FAILED_PAUSE: Millis = Millis(200);
/// The same while this VM has heard nothing of the store for so long that it counts as away.
const QUIET_PAUSE: Millis = Millis(300);
/// The age from which what a peer last heard of the store is too old to go on asking it. Over
/// two VMs on the way, a word is up to 1.4 s old when all goes well: half a second from one
/// reading to the next, and an answer held back at each of the two. A peer's own is a hold
/// less.
const STALE: Millis = Millis(1_200);
/// How long a peer that did not answer, or had nothing new, is left alone.
const AVOID_FOR: Millis = Millis(3_000);
/// The same while this VM has heard nothing of the store for so long that it counts as away. A
/// leader that the store serves has found that out by then, and tells its domain at once.
const QUIET_AVOID_FOR: Millis = Millis(1_000);

/// One key on its way between daemons.
#[derive(Debug, Serialize, Deserialize)]
struct SentKey {
    #[serde(rename = "k")]
    key: String,
    #[serde(rename = "r")]
    revision: u64,
    /// Nothing where the key was deleted.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    value: Option<String>,
}

/// What changed, or all keys where the daemon that was asked has forgotten too much.
#[derive(Debug, Serialize, Deserialize)]
struct Changes {
    #[serde(rename = "a")]
    at: u64,
    #[serde(rename = "w")]
    whole: bool,
    /// How long ago the store said the newest of it, where it said anything.
    #[serde(rename = "o")]
    age_ms: Option<Millis>,
    /// Whether a missing entry means that it was taken away.
    #[serde(rename = "s")]
    settled: bool,
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    keys: Vec<SentKey>,
    /// The keys, compressed, where they are many.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    packed: Option<String>,
}

/// The last copy of all keys that was compressed. After a restart every VM of a domain asks for
/// the same one, and compressing it for each would take the head a second of a tenth of a core.
#[derive(Default)]
struct LastPacked {
    generation: u64,
    packed: Option<String>,
}

/// Registers the method that answers peers.
///
/// An answer is held back while it would tell nothing new, or nothing at all: where VMs start
/// together, the one that is asked may be just about to hear.
pub fn register(methods: &mut MethodTable, feed: &Rc<Feed>, timer: &Timer) {
    let (feed, timer) = (Rc::clone(feed), timer.clone());
    let last = Rc::new(RefCell::new(LastPacked::default()));
    methods.register(CHANGES, move |_, after: u64| {
        let (feed, timer, last) = (Rc::clone(&feed), timer.clone(), Rc::clone(&last));
        async move {
            let after = StoreRevision(after);
            let news = feed.news();
            let now = changes_after(&feed, after, &last);
            let has_keys = now.packed.is_some() || !now.keys.is_empty();
            // Who asks is to ask somebody else soon where nothing was heard here either.
            let is_quiet = now.age_ms.is_some_and(|age| age >= STALE);
            if now.whole || is_quiet || (has_keys && now.age_ms.is_some()) {
                return Ok(now);
            }
            select(news.wait(), timer.wait(HOLD)).await;
            Ok(changes_after(&feed, after, &last))
        }
    });
}

fn changes_after(feed: &Feed, after: StoreRevision, last: &RefCell<LastPacked>) -> Changes {
    let mirror = feed.mirror();
    let newer = mirror.since(after);
    let mut changes = Changes {
        at: mirror.at().0,
        whole: newer.is_none(),
        age_ms: feed.age(),
        settled: feed.is_settled(),
        keys: Vec::new(),
        packed: None,
    };
    match newer {
        Some(newer) if newer.len() < MANY => changes.keys = to_sent(newer),
        Some(newer) => changes.packed = Some(packed::pack(&to_sent(newer))),
        None => changes.packed = Some(all_packed(&mirror, &mut last.borrow_mut())),
    }
    changes
}

fn all_packed(mirror: &Mirror, last: &mut LastPacked) -> String {
    let is_same = last.generation == mirror.generation();
    let known = last.packed.take().filter(|_| is_same);
    let packed = known.unwrap_or_else(|| packed::pack(&to_sent(mirror.all())));
    last.generation = mirror.generation();
    last.packed = Some(packed.clone());
    packed
}

/// Hears from peers for as long as this VM does not watch the store, or the store is quiet.
pub async fn run(cx: Rc<EdgeContext>) {
    let mut avoided = HashMap::new();
    loop {
        let knows_nobody = cx.feed.is_awaiting_peers() && !cx.has_read_vm_entries.get();
        let has_the_store = cx.feed.is_to_watch() && cx.feed.is_fresh();
        if cx.leaving.is_fired() || has_the_store || knows_nobody {
            cx.timer.wait(cx.feed.idle_pause()).await;
            continue;
        }
        let source = source(&cx, &mut avoided);
        if source.is_none() {
            cx.feed.end_patience();
        }
        if source.is_none() && !cx.feed.is_cut_off() {
            // The store will tell it, and a seed may be in any region.
            cx.timer.wait(FAILED_PAUSE).await;
            continue;
        }
        let is_stale = match ask(&cx, source.as_ref()).await {
            Ok(Some(age)) if age < STALE => continue,
            // Where VMs start together, the one that is asked may just not have read it yet.
            Ok(None) if cx.feed.is_awaiting_peers() => false,
            Ok(_) => {
                note_quiet_peer(&cx);
                true
            }
            Err(error) => {
                debug!(error:% = error; "a peer could not be asked for what changed");
                true
            }
        };
        if let Some(vm) = source.filter(|_| is_stale) {
            avoided.insert(vm, cx.now() + avoid_for(&cx));
        }
        cx.timer.wait(failed_pause(&cx)).await;
    }
}

/// Asks the seeds for everything, where this VM is the head of a domain that has just started.
///
/// Its domain waits for it. Where the store is in another region, reading it takes five questions
/// one after the other and a second in all; a seed near the store has the whole copy by then, and
/// gives it in one answer.
pub async fn fetch_from_seeds(cx: Rc<EdgeContext>) {
    while !cx.has_read_vm_entries.get() {
        cx.timer.wait(cx.feed.idle_pause()).await;
    }
    if !cx.relay.borrow().is_head(&cx.cfg.vm, &cx.cfg.domain) {
        return;
    }
    let own = cx.cfg.listen.peers;
    for seed in cx.cfg.seeds.iter().copied().filter(|seed| *seed != own) {
        monoio::spawn(ask_first(Rc::clone(&cx), seed));
    }
}

async fn ask_first(cx: Rc<EdgeContext>, seed: SocketAddr) {
    while cx.feed.is_awaiting_peers() {
        if let Err(error) = ask_at(&cx, seed).await {
            debug!(seed:% = seed, error:% = error; "a seed could not be asked for everything");
        }
        cx.timer.wait(cx.feed.idle_pause()).await;
    }
}

async fn ask_at(cx: &EdgeContext, at: SocketAddr) -> Result<Option<Millis>, PeerError> {
    let after = cx.feed.mirror().at();
    let opts = CallOptions::idempotent(ASK_LIMIT);
    let answer: Changes = cx.net.call_address(at, CHANGES, &after.0, opts).await?;
    Ok(take_answer(cx, answer, after))
}

/// Leaves the tries of a store that is away for peers as well to the leaders of domains.
fn note_quiet_peer(cx: &EdgeContext) {
    if !cx.relay.borrow().is_leader(&cx.cfg.vm, &cx.cfg.domain) {
        cx.feed.note_quiet_peer();
    }
}

fn avoid_for(cx: &EdgeContext) -> Millis {
    match cx.feed.is_fresh() {
        true => AVOID_FOR,
        false => QUIET_AVOID_FOR,
    }
}

/// Gives the pause after a question that brought nothing of use. It is longer while the store is
/// away for everybody, who would otherwise all ask each other five times a second.
fn failed_pause(cx: &EdgeContext) -> Millis {
    if cx.feed.is_awaiting_peers() {
        // The one that is asked is about to hear, and holds its answer back until then.
        return cx.feed.idle_pause();
    }
    match cx.feed.is_fresh() {
        true => FAILED_PAUSE,
        false => QUIET_PAUSE,
    }
}

/// Asks a VM for what changed, or one of the seeds where no VM is known. Gives how long ago the
/// store said what it holds.
async fn ask(cx: &EdgeContext, source: Option<&VmName>) -> Result<Option<Millis>, PeerError> {
    let after = cx.feed.mirror().at();
    let opts = CallOptions::idempotent(ASK_LIMIT);
    let answer: Changes = match source {
        // Just after a start the entries are known and the heartbeats have found nobody.
        Some(vm) => match presence::peer_address(cx, vm) {
            Some(at) => cx.net.call_address(at, CHANGES, &after.0, opts).await?,
            None => cx.net.call_with(vm, CHANGES, &after.0, opts).await?,
        },
        None => {
            let own = cx.cfg.listen.peers;
            let seeds: Vec<_> = cx.cfg.seeds.iter().filter(|s| **s != own).collect();
            let Some(seed) = cx.rng.borrow_mut().choice(seeds).copied() else {
                return Ok(None);
            };
            return ask_at(cx, seed).await;
        }
    };
    Ok(take_answer(cx, answer, after))
}

/// Takes in an answer to the question what changed `after`. Gives how long ago the store said
/// the newest of it.
fn take_answer(cx: &EdgeContext, answer: Changes, after: StoreRevision) -> Option<Millis> {
    let age = answer.age_ms;
    let is_read = answer.at < after.0 || take(cx, answer);
    let age = age.filter(|_| is_read)?;
    cx.feed.heard_from_peer(age);
    Some(age)
}

/// Gives the VM to ask: the best source that is not to be avoided, or any VM where there is
/// none and the store does not answer either.
///
/// A source that is cut off from the store goes on answering. Whoever went on asking it would
/// hear nothing for as long as the cut lasts, and be thrown back on the store itself together
/// with everybody else who asks there.
fn source(cx: &EdgeContext, avoided: &mut HashMap<VmName, Millis>) -> Option<VmName> {
    let now = cx.now();
    avoided.retain(|_, until| *until > now);
    let sources = cx.relay.borrow().sources(&cx.cfg.vm, &cx.cfg.domain);
    let has_lost_the_store = cx.feed.age().is_some() && !cx.feed.is_fresh();
    let asks_any = cx.feed.is_cut_off() || has_lost_the_store;
    whom_to_ask(sources, avoided, || {
        cx.membership.random_peer().filter(|_| asks_any)
    })
}

/// Gives the first source that is not avoided, or any VM, as `any` draws it.
///
/// Where the store turns away the leaders of a domain and serves others, some VM elsewhere has
/// heard. The domain's VMs ask one after the other until their leaders' pause ends; were the
/// leaders asked again after each, it would take them 3 s a try, and a change of the
/// configuration the bound on its being in force.
pub fn whom_to_ask(
    sources: Vec<VmName>,
    avoided: &HashMap<VmName, Millis>,
    any: impl FnOnce() -> Option<VmName>,
) -> Option<VmName> {
    let usable = sources.into_iter().find(|vm| !avoided.contains_key(vm));
    usable.or_else(any)
}

/// Takes in what a peer told; says whether it could be read.
fn take(cx: &EdgeContext, answer: Changes) -> bool {
    let at = StoreRevision(answer.at);
    let keys = match answer.packed.as_deref().map(packed::unpack) {
        None => answer.keys,
        Some(Ok(keys)) => keys,
        Some(Err(error)) => {
            warn!(error:% = error, at:% = at; "what a peer told can't be read");
            return false;
        }
    };
    let keys = keys.into_iter().map(from_sent).collect();
    match answer.whole {
        true => cx.feed.take_list(keys, at, answer.settled),
        false => cx.feed.take_changes(keys, at, answer.settled),
    }
    if answer.settled {
        cx.feed.confirm();
    }
    true
}

fn to_sent(changes: Vec<Change>) -> Vec<SentKey> {
    let sent = changes.into_iter().map(|change| SentKey {
        key: change.key,
        revision: change.current.revision.0,
        value: change
            .current
            .value
            .map(|v| String::from_utf8_lossy(&v).into_owned()),
    });
    sent.collect()
}

fn from_sent(sent: SentKey) -> Change {
    Change {
        key: sent.key,
        current: VersionedValue {
            revision: StoreRevision(sent.revision),
            value: sent.value.map(Bytes::from),
        },
    }
}
