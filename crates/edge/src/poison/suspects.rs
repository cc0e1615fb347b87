//! What is known of the requests under which backend servers ended.
//!
//! Every VM keeps the same set, case by case: the ends since the request last ran without one.
//! Two VMs' words of a case are joined in any order and any number of times with the same
//! result, so it doesn't matter over how many VMs they came.

use std::collections::HashMap;
use std::sync::Arc;

use heatherknot_types::hash;
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;

/// The ends under one request from which on it is rejected. One or two may be chance: a server
/// that ends takes along all that it was working on.
pub const ENDS_TO_REJECT: usize = 3;
/// Ends that are kept of one request.
const MOST_ENDS: usize = 8;
/// Requests that are suspected at once; beyond them, that with the fewest and oldest ends goes.
const MOST_SUSPECTED: usize = 1_024;
/// Requests that are rejected at once; beyond them, the oldest goes. A case takes about 300 bytes.
const MOST_REJECTED: usize = 4_096;
/// How long the ends under a request count.
const KEPT_FOR: Millis = Millis(24 * 3_600_000);
/// How long it is remembered that a request was cleared, so that a late word of the ends before
/// that doesn't bring them back.
const CLEARED_FOR: Millis = Millis(3_600_000);

/// One end of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EndId(pub u64);

impl EndId {
    /// Names the end of one run of a server, alike on all VMs.
    pub fn of(server: &UpstreamName, born: Option<Millis>) -> Self {
        let born = born.map_or(u64::MAX, |born| born.0).to_le_bytes();
        Self(hash::rendezvous(&[&born], server.as_str()))
    }
}

/// A request as far as it has to be known to find it again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subject {
    /// Tells it from all others.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// The hash of its head, by which most others are told from it at hardly any cost.
    #[serde(rename = "h")]
    pub head: u64,
    /// Its route's name, for operators.
    #[serde(rename = "r")]
    pub route: Arc<str>,
    /// Its client account, for operators.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountName>,
}

/// What is known of one request, as VMs tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Case {
    /// Which request.
    #[serde(flatten)]
    pub subject: Subject,
    /// How often it was cleared: ends of an earlier epoch are void.
    #[serde(rename = "e")]
    pub epoch: u32,
    /// The servers' ends under it in this epoch, in order of their names.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub ends: Vec<EndId>,
}

impl Case {
    /// Says whether the request is rejected.
    pub fn is_rejected(&self) -> bool {
        self.ends.len() >= ENDS_TO_REJECT
    }

    /// Joins another VM's word of the same case; says whether it was news.
    fn join(&mut self, other: &Case) -> bool {
        if other.epoch < self.epoch {
            return false;
        }
        let is_later = other.epoch > self.epoch;
        if is_later {
            self.epoch = other.epoch;
            self.ends.clear();
        }
        let before = self.ends.len();
        for end in &other.ends {
            self.add(*end);
        }
        is_later || self.ends.len() > before
    }

    fn add(&mut self, end: EndId) {
        if self.ends.len() >= MOST_ENDS {
            return;
        }
        if let Err(place) = self.ends.binary_search(&end) {
            self.ends.insert(place, end);
        }
    }
}

/// What is known of a request that is about to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// No server ended under it.
    Unknown,
    /// So many did, which may be chance.
    Suspected(usize),
    /// It is sent to no server.
    Rejected,
}

/// Who brought the last news of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// This VM's own requests, or an operator here.
    Own,
    /// Another VM of this one's failure domain.
    Domain,
    /// A VM of another domain.
    Elsewhere,
    /// The platform's store.
    Store,
}

/// A case as it is held.
#[derive(Clone, Debug)]
pub struct Held {
    /// What is known.
    pub case: Case,
    /// When this VM heard the last news of it.
    pub changed: Millis,
    /// Who brought that.
    pub origin: Origin,
    /// Its place among all news.
    pub number: u64,
}

/// All cases that one VM knows.
#[derive(Debug, Default)]
pub struct Suspects {
    held: HashMap<Fingerprint, Held>,
    /// How many cases there are by the hash of their heads.
    heads: HashMap<u64, usize>,
    last_number: u64,
}

impl Suspects {
    /// Says whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Says whether any request with this hash of its head is known.
    pub fn knows_head(&self, head: u64) -> bool {
        self.heads.contains_key(&head)
    }

    /// Gives what is known of a request.
    pub fn standing(&self, fingerprint: &Fingerprint) -> Standing {
        let ends = self
            .held
            .get(fingerprint)
            .map_or(0, |held| held.case.ends.len());
        match ends {
            0 => Standing::Unknown,
            ENDS_TO_REJECT.. => Standing::Rejected,
            ends => Standing::Suspected(ends),
        }
    }

    /// Gives a case.
    pub fn get(&self, fingerprint: &Fingerprint) -> Option<&Held> {
        self.held.get(fingerprint)
    }

    /// Gives every case.
    pub fn all(&self) -> impl Iterator<Item = &Held> {
        self.held.values()
    }

    /// Gives the cases of which there was news after `number`, in the order of the news.
    pub fn since(&self, number: u64) -> Vec<&Held> {
        let newer = self.held.values().filter(|held| held.number > number);
        let mut newer: Vec<&Held> = newer.collect();
        newer.sort_by_key(|held| held.number);
        newer
    }

    /// Gives the number of the last news.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Takes in that a server ended under a request; says whether that was news.
    pub fn note_end(&mut self, subject: &Subject, end: EndId, now: Millis) -> bool {
        let epoch = self.held.get(&subject.fingerprint);
        let case = Case {
            subject: subject.clone(),
            epoch: epoch.map_or(0, |held| held.case.epoch),
            ends: vec![end],
        };
        self.take(&case, Origin::Own, now)
    }

    /// Takes in that a request ran and its server lived, or that an operator releases it: the ends
    /// before that are void. Says whether there were any.
    pub fn clear(&mut self, fingerprint: &Fingerprint, now: Millis) -> bool {
        let held = self
            .held
            .get(fingerprint)
            .filter(|held| !held.case.ends.is_empty());
        let Some(held) = held else {
            return false;
        };
        let case = Case {
            epoch: held.case.epoch + 1,
            ends: Vec::new(),
            ..held.case.clone()
        };
        self.take(&case, Origin::Own, now)
    }

    /// Takes in a word of a case; says whether it was news.
    pub fn take(&mut self, case: &Case, origin: Origin, now: Millis) -> bool {
        let number = self.last_number + 1;
        if let Some(held) = self.held.get_mut(&case.subject.fingerprint) {
            if !held.case.join(case) {
                return false;
            }
            held.changed = now;
            held.origin = origin;
            held.number = number;
        } else {
            let mut own = Case {
                ends: Vec::new(),
                ..case.clone()
            };
            own.join(case);
            self.make_room(own.is_rejected());
            *self.heads.entry(own.subject.head).or_default() += 1;
            let held = Held {
                case: own,
                changed: now,
                origin,
                number,
            };
            self.held.insert(case.subject.fingerprint, held);
        }
        self.last_number = number;
        true
    }

    /// Forgets a case whatever is known of it.
    pub fn remove(&mut self, fingerprint: &Fingerprint) {
        let Some(held) = self.held.remove(fingerprint) else {
            return;
        };
        let head = held.case.subject.head;
        if let Some(count) = self.heads.get_mut(&head) {
            *count -= 1;
            if *count == 0 {
                self.heads.remove(&head);
            }
        }
    }

    /// Forgets cases that are too old to count.
    pub fn forget(&mut self, now: Millis) {
        let is_old = |held: &&Held| {
            let kept_for = match held.case.ends.is_empty() {
                true => CLEARED_FOR,
                false => KEPT_FOR,
            };
            now.since(held.changed) >= kept_for
        };
        let old = self.held.values().filter(is_old);
        let old: Vec<Fingerprint> = old.map(|held| held.case.subject.fingerprint).collect();
        old.iter().for_each(|fingerprint| self.remove(fingerprint));
    }

    /// Makes room for one more case. Those that are rejected give way to no others: somebody who
    /// brings ever new requests would get all that were found out forgotten.
    fn make_room(&mut self, is_rejected: bool) {
        let most = match is_rejected {
            true => MOST_REJECTED,
            false => MOST_SUSPECTED,
        };
        let alike = self
            .held
            .values()
            .filter(|held| held.case.is_rejected() == is_rejected);
        if alike.clone().count() < most {
            return;
        }
        let least = alike.min_by_key(|held| (held.case.ends.len(), held.number));
        if let Some(least) = least.map(|held| held.case.subject.fingerprint) {
            self.remove(&least);
        }
    }
}
