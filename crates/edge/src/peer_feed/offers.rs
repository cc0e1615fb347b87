//! Offers of recent data between VMs whose copies of the store's keys were old.
//!
//! The store may refuse the VMs from which others get its changes. VMs that exchange old data remember
//! each other for a while. The first of them that gets recent data offers it to the others, which then
//! request it, and offer it on. So the data takes the paths of the feed topology in both directions.

use std::cell::RefCell;
use std::collections::HashMap;

use heatherknot_http::Flag;
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Time for which a VM remembers that a peer had old data.
const MEMORY: Millis = Millis(3_000);
/// Time after its last request for which a VM watches the store in place of one of its sources.
const RELIANCE_PERIOD: Millis = Millis(5_000);

/// States that the sender has recent data of the store.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Offer {
    /// Age of the data.
    #[serde(rename = "o")]
    pub age: Millis,
}

/// The peers with which this VM has exchanged old data, and the offers between them.
#[derive(Default)]
pub struct Offers {
    /// Peers whose data was old, with the time of the last exchange.
    behind: RefCell<HashMap<VmName, Millis>>,
    /// Fires when a peer is added to them.
    added: RefCell<Flag>,
    /// The VM that made the latest offer, which was not taken up yet.
    received: RefCell<Option<VmName>>,
    /// Fires when an offer is received.
    receipt: RefCell<Flag>,
    /// The sources of this VM to which it has made an offer, with the time of the offer or of the latest
    /// request that followed it.
    made_to_sources: RefCell<HashMap<VmName, Millis>>,
}

impl Offers {
    /// Records that a peer's data was old at `now`.
    pub fn record_behind(&self, peer: VmName, now: Millis) {
        self.behind.borrow_mut().insert(peer, now);
        self.added.take().fire();
    }

    /// Records that a peer has recent data.
    pub fn record_recent(&self, peer: &VmName) {
        self.behind.borrow_mut().remove(peer);
    }

    /// Returns a flag that fires when the next peer is found to have old data.
    pub fn next_behind(&self) -> Flag {
        self.added.borrow().clone()
    }

    /// Takes the peers whose data was old within the last seconds.
    pub fn take_behind(&self, now: Millis) -> Vec<VmName> {
        let behind = self.behind.take().into_iter();
        let recent = behind.filter(|(_, at)| now.since(*at) < MEMORY);
        recent.map(|(peer, _)| peer).collect()
    }

    /// Records an offer of a peer.
    pub fn receive(&self, from: VmName) {
        *self.received.borrow_mut() = Some(from);
        self.receipt.take().fire();
    }

    /// Returns a flag that fires when the next offer is received.
    pub fn next_receipt(&self) -> Flag {
        self.receipt.borrow().clone()
    }

    /// Takes the VM that made the latest offer.
    pub fn take_received(&self) -> Option<VmName> {
        self.received.take()
    }

    /// Records that an offer was made to one of the sources of this VM.
    pub fn record_offer_to_source(&self, source: VmName, now: Millis) {
        let mut made = self.made_to_sources.borrow_mut();
        made.retain(|_, at| now.since(*at) < RELIANCE_PERIOD);
        made.insert(source, now);
    }

    /// Returns until when this VM watches the store in place of `caller`, which requests changes, if
    /// `caller` is one of its sources and has taken up its offer.
    ///
    /// Without this, the two would depend on each other, and both copies would get old again and again.
    pub fn extend_reliance(&self, caller: &VmName, now: Millis) -> Option<Millis> {
        let mut made = self.made_to_sources.borrow_mut();
        let at = made.get_mut(caller)?;
        if now.since(*at) >= RELIANCE_PERIOD {
            return None;
        }
        *at = now;
        Some(now + RELIANCE_PERIOD)
    }
}
