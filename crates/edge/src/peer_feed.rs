//! What changed in the store, heard from peers.

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

/// The method that gives what changed after a revision.
const CHANGES: &str = "e.changes";
/// How long an answer is held back while nothing changes that matters. It is well under the
/// time after which a VM that hears nothing watches the store itself.
const HOLD: Millis = Millis(400);
/// The time allowed for an answer.
const ASK_LIMIT: Millis = Millis(1_100);
/// The pause after a question that brought nothing of use.
const FAILED_PAUSE: Millis = Millis(200);
/// The pause between two looks at whether this VM is to ask.
const IDLE_PAUSE: Millis = Millis(200);

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
pub fn register(methods: &mut MethodTable, feed: &Rc<Feed>, timer: &Timer) {
    let (feed, timer) = (Rc::clone(feed), timer.clone());
    methods.register(CHANGES, move |_, after: u64| {
        let (feed, timer) = (Rc::clone(&feed), timer.clone());
        async move {
            let after = StoreRevision(after);
            let news = feed.news();
            let now = changes_after(&feed, after);
            if !now.keys.is_empty() || now.whole {
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
    loop {
        if cx.leaving.is_fired() || (cx.feed.is_to_watch() && cx.feed.is_fresh()) {
            cx.timer.wait(IDLE_PAUSE).await;
            continue;
        }
        match ask_one(&cx).await {
            Ok(true) => {}
            Ok(false) => cx.timer.wait(FAILED_PAUSE).await,
            Err(error) => {
                debug!(error:% = error; "a peer could not be asked for what changed");
                cx.timer.wait(FAILED_PAUSE).await;
            }
        }
    }
}

/// Asks one peer for what changed; says whether it hears from the store.
async fn ask_one(cx: &EdgeContext) -> Result<bool, PeerError> {
    let after = cx.feed.mirror().at();
    let opts = CallOptions::idempotent(ASK_LIMIT);
    let answer: Changes = match source(cx) {
        Some(vm) => cx.net.call_with(&vm, CHANGES, &after.0, opts).await?,
        None => {
            let own = cx.cfg.listen.peers;
            let seeds: Vec<_> = cx.cfg.seeds.iter().filter(|s| **s != own).collect();
            let Some(seed) = cx.rng.borrow_mut().choice(seeds).copied() else {
                return Ok(false);
            };
            cx.net.call_address(seed, CHANGES, &after.0, opts).await?
        }
    };
    if let Some(age) = answer.age_ms {
        cx.feed.heard_from_peer(age);
    }
    if answer.at >= after.0 {
        take(cx, answer);
    }
    Ok(cx.feed.is_fresh())
}

/// Gives the VM to ask: a watcher of this domain, or any VM once nothing is heard.
fn source(cx: &EdgeContext) -> Option<VmName> {
    if cx.feed.is_fresh() {
        let watchers = cx.membership.watchers();
        if let Some(vm) = watchers.into_iter().find(|vm| *vm != cx.cfg.vm) {
            return Some(vm);
        }
    }
    cx.membership.random_peer()
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
