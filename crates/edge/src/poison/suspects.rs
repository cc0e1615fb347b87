//! What is known of the requests under which backend servers ended.
//!
//! Every VM keeps the same set, case by case: the ends since the request last ran without one.
//! Two VMs' words of a case are joined in any order and any number of times with the same
//! result, so it doesn't matter over how many VMs they came.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use heatherknot_types::hash;
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;

/// The ends under one request from which on it is rejected. One or two may be chance: a server
/// that ends takes along all that it was working on.
pub const ENDS_TO_REJECT: usize = 3;
/// How long a request is left alone after two ends, before it is tried once more. What ended the
/// servers may go on ending others for a while, and catch a harmless request beside it again.
const COOL_DOWN: Millis = Millis(2_000);
/// Ends that are kept of one request.
const MOST_ENDS: usize = 8;
/// Requests that are suspected at once; beyond them, that with the fewest and oldest ends goes.
const MOST_SUSPECTED: usize = 1_024;
/// Requests that are rejected at once; beyond them, the oldest goes. A case takes about 300 bytes.
const MOST_REJECTED: usize = 4_096;
/// How long an end counts among those of all servers, and the part of those from which on they are
/// put down to one request. Where many servers end at once, a harmless one is at some of them.
const LATELY: Millis = Millis(5_000);
const LEAST_PART: f64 = 1.0 / 3.0;
/// The servers' ends that are remembered as late ones.
const MOST_LATE_ENDS: usize = 4_096;
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
    /// A keyed hash of it, by which nearly all others are told from it at hardly any cost.
    #[serde(rename = "h")]
    pub quick: u64,
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
    /// Whether some VM has found that they are to be put down to it.
    #[serde(rename = "v", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_convicted: bool,
}

impl Case {
    /// Joins another VM's word of the same case; says whether it was news.
    fn join(&mut self, other: &Case) -> bool {
        if other.epoch < self.epoch {
            return false;
        }
        let is_later = other.epoch > self.epoch;
        if is_later {
            self.epoch = other.epoch;
            self.ends.clear();
            self.is_convicted = false;
        }
        let is_new_verdict = other.is_convicted && !self.is_convicted;
        self.is_convicted |= other.is_convicted;
        let before = self.ends.len();
        for end in &other.ends {
            if let (true, Err(place)) = (before < MOST_ENDS, self.ends.binary_search(end)) {
                self.ends.insert(place, *end);
            }
        }
        is_later || is_new_verdict || self.ends.len() > before
    }
}

/// What is known of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// No server ended under it, as far as that isn't put down to another request.
    Unknown,
    /// So many did, which may be chance.
    Suspected(usize),
    /// It is sent to no server.
    Rejected,
}

/// Whether a request may go to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// It may.
    Free,
    /// It may where no other attempt of it is at a server, and goes where its fingerprint leads.
    /// All VMs send it to the same server then, and requests that ended together part.
    Apart,
    /// It may not for this time.
    Wait(Millis),
    /// It may not.
    Rejected,
}

/// Gives the number by which a suspected request is placed, in the stead of its object.
pub fn placement_hash(fingerprint: &Fingerprint) -> u64 {
    hash::digest(fingerprint.as_bytes())
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
    /// The number of the last news, whoever brought it.
    pub number: u64,
    /// The number of the last news that this VM's own requests brought, or an operator here.
    pub own: u64,
    /// The number of the last news from this VM's failure domain, its own among them.
    pub domain: u64,
    /// The number of the last news that didn't come from the store.
    pub heard: u64,
}

impl Held {
    fn note_news(&mut self, origin: Origin, number: u64, now: Millis) {
        self.changed = now;
        self.number = number;
        if origin == Origin::Own {
            self.own = number;
        }
        if matches!(origin, Origin::Own | Origin::Domain) {
            self.domain = number;
        }
        if origin != Origin::Store {
            self.heard = number;
        }
    }
}

/// All cases that one VM knows.
#[derive(Debug, Default)]
pub struct Suspects {
    held: HashMap<Fingerprint, Held>,
    /// How many cases there are by their quick hashes.
    quick: HashMap<u64, usize>,
    rejected: HashSet<Fingerprint>,
    /// The ends that are put down to rejected requests.
    explained: HashSet<EndId>,
    /// The servers' ends that this VM lately heard of, whatever requests they had.
    late_ends: HashMap<EndId, Millis>,
    last_number: u64,
}

impl Suspects {
    /// Says whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Says whether any request with this quick hash is known.
    pub fn knows_quick(&self, quick: u64) -> bool {
        self.quick.contains_key(&quick)
    }

    /// Gives what is known of a request.
    pub fn standing(&self, fingerprint: &Fingerprint) -> Standing {
        if self.rejected.contains(fingerprint) {
            return Standing::Rejected;
        }
        let ends = self.held.get(fingerprint).map(|held| &held.case.ends);
        let unexplained = ends.map_or(0, |ends| self.unexplained(ends));
        match unexplained {
            0 => Standing::Unknown,
            ends => Standing::Suspected(ends),
        }
    }

    fn unexplained(&self, ends: &[EndId]) -> usize {
        let left = ends.iter().filter(|end| !self.explained.contains(end));
        left.count()
    }

    /// Says whether a request may go to a server at `now`.
    pub fn judge(&self, fingerprint: &Fingerprint, now: Millis) -> Judgement {
        match self.standing(fingerprint) {
            Standing::Unknown => Judgement::Free,
            Standing::Rejected => Judgement::Rejected,
            Standing::Suspected(ends) if ends + 1 < ENDS_TO_REJECT => Judgement::Apart,
            Standing::Suspected(_) => {
                let changed = self.held.get(fingerprint).map(|held| held.changed);
                let since = now.since(changed.unwrap_or_default());
                match since < COOL_DOWN {
                    true => Judgement::Wait(COOL_DOWN - since),
                    false => Judgement::Apart,
                }
            }
        }
    }

    /// Finds out anew which requests are rejected: those with the most ends, as long as three are
    /// left that no other one explains, and those are a good part of all that servers lately had. A
    /// harmless request that was beside a deadly one each time is freed when that one has ended a
    /// server more.
    fn weigh(&mut self, now: Millis) {
        self.rejected.clear();
        self.explained.clear();
        self.late_ends.retain(|_, at| now.since(*at) < LATELY);
        let grave = self.held.values();
        let grave = grave.filter(|held| held.case.ends.len() >= ENDS_TO_REJECT);
        let mut grave: Vec<(Reverse<usize>, Fingerprint)> = grave
            .map(|held| (Reverse(held.case.ends.len()), held.case.subject.fingerprint))
            .collect();
        grave.sort_unstable();
        let mut late = self.late_ends.len();
        for (_, fingerprint) in grave {
            late -= self.weigh_one(&fingerprint, late);
        }
    }

    /// Finds out whether a request is rejected, where `late` late ends are not explained yet; says
    /// how many of those it explains.
    fn weigh_one(&mut self, fingerprint: &Fingerprint, late: usize) -> usize {
        let Some(held) = self.held.get_mut(fingerprint) else {
            return 0;
        };
        let explained = &self.explained;
        let ends = held.case.ends.iter();
        let left: Vec<EndId> = ends
            .copied()
            .filter(|end| !explained.contains(end))
            .collect();
        let is_good_part = left.len() as f64 >= late as f64 * LEAST_PART;
        if left.len() < ENDS_TO_REJECT || !(held.case.is_convicted || is_good_part) {
            return 0;
        }
        held.case.is_convicted = true;
        self.rejected.insert(*fingerprint);
        let late_ends = &self.late_ends;
        let explains = left.iter().filter(|end| late_ends.contains_key(end));
        let explains = explains.count();
        self.explained.extend(left);
        explains
    }

    /// Notes the ends of a word that was not read from the store: those are old.
    fn note_late_ends(&mut self, case: &Case, origin: Origin, now: Millis) {
        if origin == Origin::Store || self.late_ends.len() >= MOST_LATE_ENDS {
            return;
        }
        for end in &case.ends {
            self.late_ends.entry(*end).or_insert(now);
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
            is_convicted: false,
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
            is_convicted: false,
            ..held.case.clone()
        };
        self.take(&case, Origin::Own, now)
    }

    /// Takes in a word of a case; says whether it was news.
    pub fn take(&mut self, case: &Case, origin: Origin, now: Millis) -> bool {
        let number = self.last_number + 1;
        let fingerprint = case.subject.fingerprint;
        let had = self.ends_of(&fingerprint);
        self.note_late_ends(case, origin, now);
        if let Some(held) = self.held.get_mut(&case.subject.fingerprint) {
            if !held.case.join(case) {
                return false;
            }
            held.note_news(origin, number, now);
        } else {
            let mut own = Case {
                ends: Vec::new(),
                is_convicted: false,
                ..case.clone()
            };
            own.join(case);
            self.make_room(own.ends.len(), now);
            *self.quick.entry(own.subject.quick).or_default() += 1;
            let mut held = Held {
                case: own,
                changed: now,
                number: 0,
                own: 0,
                domain: 0,
                heard: 0,
            };
            held.note_news(origin, number, now);
            self.held.insert(fingerprint, held);
        }
        self.last_number = number;
        if had.max(self.ends_of(&fingerprint)) >= ENDS_TO_REJECT {
            self.weigh(now);
        }
        true
    }

    fn ends_of(&self, fingerprint: &Fingerprint) -> usize {
        let held = self.held.get(fingerprint);
        held.map_or(0, |held| held.case.ends.len())
    }

    /// Forgets a case whatever is known of it.
    pub fn remove(&mut self, fingerprint: &Fingerprint, now: Millis) {
        let Some(held) = self.held.remove(fingerprint) else {
            return;
        };
        if held.case.ends.len() >= ENDS_TO_REJECT {
            self.weigh(now);
        }
        let quick = held.case.subject.quick;
        if let Some(count) = self.quick.get_mut(&quick) {
            *count -= 1;
            if *count == 0 {
                self.quick.remove(&quick);
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
        old.iter()
            .for_each(|fingerprint| self.remove(fingerprint, now));
    }

    /// Makes room for one more case. Those with enough ends to be rejected give way to no others:
    /// somebody who brings ever new requests would get all that were found out forgotten.
    fn make_room(&mut self, ends: usize, now: Millis) {
        let is_grave = |ends: usize| ends >= ENDS_TO_REJECT;
        let most = match is_grave(ends) {
            true => MOST_REJECTED,
            false => MOST_SUSPECTED,
        };
        let alike = self.held.values();
        let alike = alike.filter(|held| is_grave(held.case.ends.len()) == is_grave(ends));
        if alike.clone().count() < most {
            return;
        }
        let least = alike.min_by_key(|held| (held.case.ends.len(), held.number));
        if let Some(least) = least.map(|held| held.case.subject.fingerprint) {
            self.remove(&least, now);
        }
    }
}
