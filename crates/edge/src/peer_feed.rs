//! What changed in the store, heard from peers.

use std::collections::HashMap;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::future::select;
use heatherknot_peer::options::CallOptions;
use heatherknot_peer::{MethodTable, PeerError};
use heatherknot_store::port::StoreRevision;
use heatherknot_types::prelude::*;
use log::debug;
use serde::{Deserialize, Serialize};

use crate::context::EdgeContext;
use crate::feed::Feed;
use crate::mirror::{Change, Known};
use crate::presence;

/// The method that gives what changed after a revision.
const CHANGES: &str = "e.changes";
/// How long an answer is held back while nothing changes that matters. It is well under the
/// time after which a VM that hears nothing watches the store itself.
const HOLD: Millis = Millis(400);
/// The time allowed for an answer.
const ASK_LIMIT: Millis = Millis(1_100);
/// The pause after a question that brought nothing of use.
const FAILED_PAUSE: Millis = Millis(200);
/// The same while this VM has heard nothing of the store for so long that it counts as away.
const QUIET_PAUSE: Millis = Millis(700);
/// The age from which what a peer last heard of the store is too old to go on asking it. Over
/// two VMs on the way, a word is up to 1.4 s old when all goes well: half a second from one
/// reading to the next, and an answer held back at each of the two. A peer's own is a hold
/// less.
const STALE: Millis = Millis(1_200);
/// How long a peer that did not answer, or had nothing new, is left alone.
const AVOID_FOR: Millis = Millis(3_000);

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
    #[serde(rename = "c")]
    keys: Vec<SentKey>,
}

/// Registers the method that answers peers.
///
/// An answer is held back while it would tell nothing new, or nothing at all: where VMs start
/// together, the one that is asked may be just about to hear.
pub fn register(methods: &mut MethodTable, feed: &Rc<Feed>, timer: &Timer) {
    let (feed, timer) = (Rc::clone(feed), timer.clone());
    methods.register(CHANGES, move |_, after: u64| {
        let (feed, timer) = (Rc::clone(&feed), timer.clone());
        async move {
            let after = StoreRevision(after);
            let news = feed.news();
            let now = changes_after(&feed, after);
            let has_news = now.age_ms.is_some() && !now.keys.is_empty();
            if has_news || now.whole {
                return Ok(now);
            }
            select(news.wait(), timer.wait(HOLD)).await;
            Ok(changes_after(&feed, after))
        }
    });
}

fn changes_after(feed: &Feed, after: StoreRevision) -> Changes {
    let mirror = feed.mirror();
    let newer = mirror.since(after);
    let whole = newer.is_none();
    let changes = newer.unwrap_or_else(|| mirror.all());
    Changes {
        at: mirror.at().0,
        whole,
        age_ms: feed.age(),
        settled: feed.is_settled(),
        keys: changes.into_iter().map(to_sent).collect(),
    }
}

/// Hears from peers for as long as this VM does not watch the store, or the store is quiet.
pub async fn run(cx: Rc<EdgeContext>) {
    let mut avoided = HashMap::new();
    loop {
        let knows_nobody = cx.feed.is_patient() && !cx.knows_vms.get();
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
            Ok(None) if cx.feed.is_patient() => false,
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
            avoided.insert(vm, cx.now() + AVOID_FOR);
        }
        cx.timer.wait(failed_pause(&cx)).await;
    }
}

/// Leaves the tries of a store that is away for peers as well to the leaders of domains.
fn note_quiet_peer(cx: &EdgeContext) {
    if !cx.relay.borrow().is_leader(&cx.cfg.vm, &cx.cfg.domain) {
        cx.feed.note_quiet_peer();
    }
}

/// Gives the pause after a question that brought nothing of use. It is longer while the store is
/// away for everybody, who would otherwise all ask each other five times a second.
fn failed_pause(cx: &EdgeContext) -> Millis {
    match cx.feed.is_fresh() || cx.feed.is_patient() {
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
            cx.net.call_address(seed, CHANGES, &after.0, opts).await?
        }
    };
    let age = answer.age_ms;
    if let Some(age) = age {
        cx.feed.heard_from_peer(age);
    }
    if answer.at >= after.0 {
        take(cx, answer);
    }
    Ok(age)
}

/// Gives the VM to ask: the best source that is not to be avoided, or any VM where there is
/// none and the store does not answer either. After any VM the best sources come again.
///
/// A source that is cut off from the store goes on answering. Whoever went on asking it would
/// hear nothing for as long as the cut lasts, and be thrown back on the store itself together
/// with everybody else who asks there.
fn source(cx: &EdgeContext, avoided: &mut HashMap<VmName, Millis>) -> Option<VmName> {
    let now = cx.now();
    avoided.retain(|_, until| *until > now);
    let sources = cx.relay.borrow().sources(&cx.cfg.vm, &cx.cfg.domain);
    let usable = sources.into_iter().find(|vm| !avoided.contains_key(vm));
    if usable.is_some() {
        return usable;
    }
    let has_lost_the_store = cx.feed.age().is_some() && !cx.feed.is_fresh();
    let any = cx.membership.random_peer();
    let any = any.filter(|_| cx.feed.is_cut_off() || has_lost_the_store);
    if any.is_some() {
        avoided.clear();
    }
    any
}

fn take(cx: &EdgeContext, answer: Changes) {
    let at = StoreRevision(answer.at);
    let keys = answer.keys.into_iter().map(from_sent).collect();
    match answer.whole {
        true => cx.feed.take_list(keys, at, answer.settled),
        false => cx.feed.take_changes(keys, at, answer.settled),
    }
    if answer.settled {
        cx.feed.confirm();
    }
}

fn to_sent(change: Change) -> SentKey {
    let value = change.known.value;
    SentKey {
        key: change.key,
        revision: change.known.revision.0,
        value: value.map(|v| String::from_utf8_lossy(&v).into_owned()),
    }
}

fn from_sent(sent: SentKey) -> Change {
    Change {
        key: sent.key,
        known: Known {
            revision: StoreRevision(sent.revision),
            value: sent.value.map(Bytes::from),
        },
    }
}
