//! Answers peers that request changes.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use futures_util::future::select;
use heatherknot_store::port::{StoreEra, StoreRevision};
use heatherknot_types::prelude::*;
use log::info;

use super::offers::{Offer, Offers};
use super::wire::{Changes, to_wire};
use crate::feed::Feed;
use crate::mirror::{Change, Mirror};
use crate::packed;
use crate::propagation::{MAX_PEER_AGE, MIN_OFFER_GAIN, PEER_HOLD};

/// Number of keys from which a message is compressed. Below it, compression saves less than a
/// kilobyte.
const COMPRESS_FROM_KEYS: usize = 32;
/// Number of VMs that data passes before it comes to the VMs which other VMs regularly ask.
const REGULAR_HOPS: u32 = 1;

/// The last compressed copy of all keys. After a restart every VM of a domain requests the same
/// copy, and compressing it for each of them would take the domain's head one second on a tenth of
/// a core.
#[derive(Default)]
struct PackedCache {
    generation: u64,
    era: StoreEra,
    packed: Option<String>,
}

/// Answers the requests and offers of peers.
#[derive(Clone)]
pub struct PeerAnswers {
    feed: Rc<Feed>,
    offers: Rc<Offers>,
    timer: Timer,
    cache: Rc<RefCell<PackedCache>>,
}

impl PeerAnswers {
    /// Creates the part of a feed that answers peers.
    pub fn new(feed: &Rc<Feed>, offers: &Rc<Offers>, timer: &Timer) -> Self {
        Self {
            feed: Rc::clone(feed),
            offers: Rc::clone(offers),
            timer: timer.clone(),
            cache: Rc::default(),
        }
    }

    /// Returns the changes after a number in the present era.
    pub async fn answer_by_number(self, caller: VmName, number: u64) -> Changes {
        let era = self.feed.mirror().revision().era;
        self.answer(caller, StoreRevision::new(era, number)).await
    }

    /// Returns the changes after a revision. Waits up to [`PEER_HOLD`] for one if there is none, or if
    /// this VM has received nothing yet: when VMs start together, the VM that is asked may be about to
    /// receive its first update.
    pub async fn answer(self, caller: VmName, after: StoreRevision) -> Changes {
        let relied_on_until = self.offers.extend_reliance(&caller, self.timer.now());
        if let Some(until) = relied_on_until {
            self.feed.rely_until(until);
        }
        let is_detour = relied_on_until.is_some() || self.feed.hops() > REGULAR_HOPS;
        let answer = self.answer_when_due(after, is_detour).await;
        if answer.age_ms.is_some_and(|age| age >= MAX_PEER_AGE) {
            self.offers.record_behind(caller, self.timer.now());
        }
        answer
    }

    /// Returns the changes after a revision once there are any. On a detour the caller gets each update, as
    /// the times for which every VM of a long path holds its answer back would make the data old.
    async fn answer_when_due(&self, after: StoreRevision, is_detour: bool) -> Changes {
        let feed = &self.feed;
        let change = feed.next_change();
        let answer = changes_after(feed, after, &self.cache);
        let has_keys = answer.packed.is_some() || !answer.keys.is_empty();
        let enters_era = after.era < answer.era;
        // A stale peer answers at once, so that the caller can ask another peer soon, unless the store
        // is about to answer it.
        let is_old = answer.age_ms.is_some_and(|age| age >= MAX_PEER_AGE);
        let is_stale = is_old && !feed.is_asking_store();
        if answer.is_snapshot || is_stale || ((has_keys || enters_era) && answer.age_ms.is_some()) {
            return answer;
        }
        let began = self.timer.now();
        let due = select(change.wait(), self.timer.wait(PEER_HOLD));
        match is_detour {
            true => drop(select(due, feed.next_update().wait()).await),
            false => drop(due.await),
        }
        Changes {
            held_ms: self.timer.now().since(began),
            ..changes_after(feed, after, &self.cache)
        }
    }

    /// Takes note of an offer of recent data, unless the local copy is about as recent.
    pub fn receive_offer(&self, from: VmName, offer: Offer) {
        let age = self.feed.age();
        if age.is_some_and(|age| age < offer.age + MIN_OFFER_GAIN) {
            return;
        }
        info!(peer:% = from, offered_ms = offer.age.0, age_ms = age.unwrap_or_default().0; "a peer offers recent data of the store");
        self.offers.receive(from);
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
        hops: feed.hops(),
        held_ms: Millis(0),
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
