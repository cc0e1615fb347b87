//! What changed in the store, asked of peers while the store turns this VM away.

use std::rc::Rc;

use bytes::Bytes;
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
/// The pause between two questions while the store is quiet. Half a second and the answer's
/// way are well under the time in which changes must be in force.
const ASK_PAUSE: Millis = Millis(400);
/// The time allowed for an answer.
const ASK_LIMIT: Millis = Millis(800);

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
    #[serde(rename = "s")]
    settled: bool,
    #[serde(rename = "c")]
    keys: Vec<SentKey>,
}

/// Registers the method that answers peers.
pub fn register(methods: &mut MethodTable, feed: &Rc<Feed>) {
    let feed = Rc::clone(feed);
    methods.register(CHANGES, move |_, after: u64| {
        let answer = changes_after(&feed, StoreRevision(after));
        async move { Ok(answer) }
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
        settled: feed.is_settled(),
        keys: changes.into_iter().map(to_sent).collect(),
    }
}

/// Asks peers for as long as the store is quiet.
pub async fn run(cx: Rc<EdgeContext>) {
    loop {
        cx.timer.wait(ASK_PAUSE).await;
        if cx.feed.is_fresh() || cx.leaving.is_fired() {
            continue;
        }
        if let Err(error) = ask_one(&cx).await {
            debug!(error:% = error; "a peer could not be asked for what changed");
        }
    }
}

async fn ask_one(cx: &EdgeContext) -> Result<(), PeerError> {
    let after = cx.feed.mirror().at();
    let opts = CallOptions::quick(ASK_LIMIT);
    let answer: Changes = match cx.membership.random_peer() {
        Some(vm) => cx.net.call_with(&vm, CHANGES, &after.0, opts).await?,
        None => {
            let own = cx.cfg.listen.peers;
            let seeds: Vec<_> = cx.cfg.seeds.iter().filter(|s| **s != own).collect();
            let Some(seed) = cx.rng.borrow_mut().choice(seeds).copied() else {
                return Ok(());
            };
            cx.net.call_address(seed, CHANGES, &after.0, opts).await?
        }
    };
    if answer.at <= after.0 {
        return Ok(());
    }
    let at = StoreRevision(answer.at);
    let keys = answer.keys.into_iter().map(from_sent).collect();
    match answer.whole {
        true => cx.feed.take_list(keys, at, answer.settled),
        false => cx.feed.take_changes(keys, at, answer.settled),
    }
    Ok(())
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
