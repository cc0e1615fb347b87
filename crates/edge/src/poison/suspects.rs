//! The requests during which backend servers crashed.
//!
//! Every VM keeps a replica of the same table. An entry holds the crashes during one request
//! since that request last ran without one. Merging is commutative, associative and idempotent:
//! replicas converge whatever the order, the number and the path of the updates.

use std::cmp::{Ordering, Reverse};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use heatherknot_types::hash;
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;

/// A request is rejected after this many crashes during it. One or two may be chance: a server
/// that crashes fails all requests that it runs.
pub const CRASHES_TO_REJECT: usize = 3;
/// How long a request is held back after its second crash, before it is tried once more. Whatever
/// crashed the servers may go on crashing others for a while, and a harmless request that was
/// beside it could be hit again.
const COOL_DOWN: Millis = Millis(2_000);
/// Maximum number of crashes kept for one request.
const MAX_CRASHES: usize = 8;
/// Maximum number of entries with too few crashes for a rejection. Beyond it, the one with the
/// fewest crashes, and of those the oldest, is evicted.
const MAX_SUSPECTED: usize = 1_024;
/// Maximum number of entries with enough crashes for a rejection, at about 300 bytes each; evicted
/// in the same order.
const MAX_REJECTED: usize = 4_096;
/// How long a crash counts as recent.
const RECENT_CRASH_WINDOW: Millis = Millis(5_000);
/// How long a request with enough crashes for a rejection is held back if servers also crashed
/// without it. It is then tried once more, when those crashes are no longer recent.
const TRIAL_DELAY: Millis = RECENT_CRASH_WINDOW;
/// The same if servers go on crashing.
const MAX_TRIAL_DELAY: Millis = Millis(30_000);
/// Maximum number of crashes without a request with which [`CRASHES_TO_REJECT`] crashes during it
/// reject it.
const MAX_OTHERS_AT_FIRST: usize = 1;
/// Number of crashes during a request that reject it with as many crashes without it.
const CRASHES_WITH_MORE_OTHERS: usize = CRASHES_TO_REJECT + 1;
/// Maximum number of crashes without a request for each one during it, where there are more.
const MAX_OTHERS_PER_CRASH: usize = 2;
/// Time before the first and after the last crash during a request within which a crash without it
/// counts against its rejection. VMs learn of crashes up to that late.
const COINCIDENCE_MARGIN: Millis = Millis(300);
/// How long after its last crash a request that was not rejected may still be, because the crashes
/// without it turn out to be those of another one.
const REVIEW_TIME: Millis = Millis(4_000);
/// Maximum number of crashes remembered as recent.
const MAX_RECENT_CRASHES: usize = 4_096;
/// How long the crashes during a request count.
const CRASH_RETENTION: Millis = Millis(24 * 3_600_000);
/// How long a cleared entry is kept, so that a late update with the crashes from before doesn't
/// bring them back.
const CLEARED_RETENTION: Millis = Millis(3_600_000);

/// Identifies one crash of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashId(pub u64);

impl CrashId {
    /// Derives the identifier from the server's name and the start of its run, so that it is the
    /// same on all VMs.
    pub fn of(server: &UpstreamName, started_at: Option<Millis>) -> Self {
        let started_at = started_at
            .map_or(u64::MAX, |started_at| started_at.0)
            .to_le_bytes();
        Self(hash::rendezvous(&[&started_at], server.as_str()))
    }
}

/// What VMs and operators need to recognize a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestSummary {
    /// Identifies the request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// A cheap keyed hash of the request, which rules out nearly all other requests.
    #[serde(rename = "h")]
    pub quick_hash: u64,
    /// The name of its route, for operators.
    #[serde(rename = "r")]
    pub route: Arc<str>,
    /// Its client account, for operators.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountName>,
}

/// The replicated state of one request during which servers crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The request.
    #[serde(flatten)]
    pub request: RequestSummary,
    /// How often the request was cleared; crashes of an earlier epoch are void.
    #[serde(rename = "e")]
    pub epoch: u32,
    /// The crashes during it in this epoch, sorted.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashId>,
    /// Whether some VM has attributed the crashes to this request.
    #[serde(rename = "v", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_confirmed: bool,
}

impl Suspect {
    /// Merges another VM's state of the same request; returns whether that changed anything.
    fn merge(&mut self, other: &Suspect) -> bool {
        if other.epoch < self.epoch {
            return false;
        }
        let is_later = other.epoch > self.epoch;
        if is_later {
            self.epoch = other.epoch;
            self.crashes.clear();
            self.is_confirmed = false;
        }
        let is_newly_confirmed = other.is_confirmed && !self.is_confirmed;
        self.is_confirmed |= other.is_confirmed;
        let before = self.crashes.len();
        for crash in &other.crashes {
            if let (true, Err(index)) = (before < MAX_CRASHES, self.crashes.binary_search(crash)) {
                self.crashes.insert(index, *crash);
            }
        }
        is_later || is_newly_confirmed || self.crashes.len() > before
    }
}

/// How a request is classified.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// No server crashed during it, not counting crashes attributed to a rejected request.
    Unknown,
    /// This many servers crashed during it, which may be chance.
    Suspected(usize),
    /// It is sent to no server.
    Rejected,
}

/// Whether and how a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPolicy {
    /// It may be sent to any server.
    Normal,
    /// It may be sent while no other attempt of it is in flight, and is placed by its fingerprint.
    /// All VMs then send it to the same server, and requests that shared a server are separated.
    Isolated,
    /// It may not be sent for this time.
    Delayed(Millis),
    /// It may not be sent.
    Rejected,
}

/// Returns the hash by which a suspected request is placed, in place of that of its object.
pub fn placement_hash(fingerprint: &Fingerprint) -> u64 {
    hash::digest(fingerprint.as_bytes())
}

/// Where an update came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// This VM's own requests, or an operator at this VM.
    Local,
    /// Another VM of this VM's failure domain.
    SameDomain,
    /// A VM of another failure domain.
    OtherDomain,
    /// The platform's store.
    Store,
}

/// A suspect with this VM's bookkeeping of its changes.
#[derive(Clone, Debug)]
pub struct SuspectEntry {
    /// The replicated state.
    pub suspect: Suspect,
    /// When it last changed on this VM.
    pub changed_at: Millis,
    /// Version of the last change, whatever its origin.
    pub version: u64,
    /// Version of the last change by this VM's own requests, or by an operator at this VM.
    pub local_version: u64,
    /// Version of the last change from this VM's failure domain, itself included.
    pub domain_version: u64,
    /// Version of the last change that didn't come from the store.
    pub non_store_version: u64,
    /// Whether this VM knew of earlier crashes during the request when it learned of the last one.
    /// Otherwise it may have missed the other crashes of that time.
    is_observed: bool,
    /// Whether the last crash was in the trial after [`TRIAL_DELAY`].
    has_failed_trial: bool,
    /// Crashes during the request in earlier epochs, which don't count as crashes without it.
    void_crashes: Vec<CrashId>,
}

impl SuspectEntry {
    /// Returns whether this VM may still confirm the request's rejection.
    fn is_under_review(&self, now: Millis) -> bool {
        self.is_observed && !self.suspect.is_confirmed && now.since(self.changed_at) < REVIEW_TIME
    }

    /// Remembers the crashes that the merge with another VM's state makes void.
    fn note_void_crashes(&mut self, other: &Suspect) {
        let void = match self.suspect.epoch.cmp(&other.epoch) {
            Ordering::Less => &self.suspect.crashes,
            Ordering::Equal => return,
            Ordering::Greater => &other.crashes,
        };
        let is_new = |crash: &&CrashId| !self.void_crashes.contains(crash);
        let new: Vec<CrashId> = void.iter().filter(is_new).copied().collect();
        self.void_crashes.extend(new);
        let excess = self.void_crashes.len().saturating_sub(MAX_CRASHES);
        self.void_crashes.drain(..excess);
    }

    fn mark_changed(&mut self, origin: Origin, version: u64, now: Millis) {
        self.changed_at = now;
        self.version = version;
        if origin == Origin::Local {
            self.local_version = version;
        }
        if matches!(origin, Origin::Local | Origin::SameDomain) {
            self.domain_version = version;
        }
        if origin != Origin::Store {
            self.non_store_version = version;
        }
    }
}

/// Returns whether a request with `own` crashes stands out among recent crashes, where `others`
/// occurred without it. When many servers crash at once, harmless requests are at several of them.
fn stands_out(own: usize, others: usize) -> bool {
    match own {
        ..CRASHES_TO_REJECT => false,
        CRASHES_TO_REJECT => others <= MAX_OTHERS_AT_FIRST,
        CRASHES_WITH_MORE_OTHERS => others <= own,
        _ => others <= MAX_OTHERS_PER_CRASH * own,
    }
}

/// One VM's replica of all suspects.
#[derive(Debug, Default)]
pub struct SuspectTable {
    entries: HashMap<Fingerprint, SuspectEntry>,
    /// The number of entries by quick hash.
    quick_hashes: HashMap<u64, usize>,
    rejected: HashSet<Fingerprint>,
    /// The crashes attributed to rejected requests.
    attributed: HashSet<CrashId>,
    /// The crashes that this VM recently learned of, during whatever request, and when.
    recent_crashes: HashMap<CrashId, Millis>,
    last_version: u64,
}

impl SuspectTable {
    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether any entry has this quick hash.
    pub fn contains_quick_hash(&self, quick_hash: u64) -> bool {
        self.quick_hashes.contains_key(&quick_hash)
    }

    /// Returns the classification of a request.
    pub fn verdict(&self, fingerprint: &Fingerprint) -> Verdict {
        if self.rejected.contains(fingerprint) {
            return Verdict::Rejected;
        }
        let crashes = self
            .entries
            .get(fingerprint)
            .map(|entry| &entry.suspect.crashes);
        let unattributed = crashes.map_or(0, |crashes| self.count_unattributed(crashes));
        match unattributed {
            0 => Verdict::Unknown,
            crashes => Verdict::Suspected(crashes),
        }
    }

    fn count_unattributed(&self, crashes: &[CrashId]) -> usize {
        let unattributed = crashes
            .iter()
            .filter(|crash| !self.attributed.contains(crash));
        unattributed.count()
    }

    /// Returns whether and how a request may be sent at `now`.
    pub fn send_policy(&self, fingerprint: &Fingerprint, now: Millis) -> SendPolicy {
        match self.verdict(fingerprint) {
            Verdict::Unknown => SendPolicy::Normal,
            Verdict::Rejected => SendPolicy::Rejected,
            Verdict::Suspected(crashes) if crashes + 1 < CRASHES_TO_REJECT => SendPolicy::Isolated,
            Verdict::Suspected(crashes) => {
                let changed_at = self.entries.get(fingerprint).map(|entry| entry.changed_at);
                let changed_at = changed_at.unwrap_or_default();
                let until = match crashes < CRASHES_TO_REJECT {
                    true => changed_at + COOL_DOWN,
                    false => self.trial_at(changed_at),
                };
                match until.since(now) {
                    Millis(0) => SendPolicy::Isolated,
                    left => SendPolicy::Delayed(left),
                }
            }
        }
    }

    /// Returns when a request is tried that has had enough crashes for a rejection, the last one at
    /// `changed_at`: once no server has crashed for a while, whatever it ran.
    fn trial_at(&self, changed_at: Millis) -> Millis {
        let last_crash = self.recent_crashes.values().max().copied();
        let last_crash = last_crash.unwrap_or_default().max(changed_at);
        (last_crash + TRIAL_DELAY).min(changed_at + MAX_TRIAL_DELAY)
    }

    /// Recomputes which requests are rejected. In descending order of crashes, a request is
    /// rejected if some VM has confirmed that at least [`CRASHES_TO_REJECT`] of its crashes are its
    /// own, and if as many are not attributed to another one. A harmless request that shared every
    /// crashed server with a poison request is no longer rejected once that has crashed one more.
    fn reclassify(&mut self, now: Millis) {
        self.rejected.clear();
        self.attributed.clear();
        self.recent_crashes
            .retain(|_, at| now.since(*at) < RECENT_CRASH_WINDOW + REVIEW_TIME);
        let candidates = self.entries.values();
        let candidates =
            candidates.filter(|entry| entry.suspect.crashes.len() >= CRASHES_TO_REJECT);
        let mut candidates: Vec<(Reverse<usize>, Fingerprint)> = candidates
            .map(|entry| {
                (
                    Reverse(entry.suspect.crashes.len()),
                    entry.suspect.request.fingerprint,
                )
            })
            .collect();
        candidates.sort_unstable();
        let explained = self.explained_crashes(&candidates, now);
        for (_, fingerprint) in candidates {
            self.reclassify_one(&fingerprint, &explained, now);
        }
    }

    /// Returns the crashes of all candidates for a rejection, if one of them is under review. The
    /// crashes of another candidate may turn out to be its own, so they don't count as others.
    fn explained_crashes(
        &self,
        candidates: &[(Reverse<usize>, Fingerprint)],
        now: Millis,
    ) -> HashSet<CrashId> {
        let entries = candidates.iter();
        let entries = entries.filter_map(|(_, fingerprint)| self.entries.get(fingerprint));
        if !entries.clone().any(|entry| entry.is_under_review(now)) {
            return HashSet::new();
        }
        let crashes = entries.flat_map(|entry| &entry.suspect.crashes);
        crashes.copied().collect()
    }

    /// Decides whether a request is rejected, and attributes its crashes to it if it is.
    fn reclassify_one(
        &mut self,
        fingerprint: &Fingerprint,
        explained: &HashSet<CrashId>,
        now: Millis,
    ) {
        let Some(entry) = self.entries.get_mut(fingerprint) else {
            return;
        };
        let attributed = &self.attributed;
        let crashes = entry.suspect.crashes.iter();
        let own: Vec<CrashId> = crashes
            .copied()
            .filter(|crash| !attributed.contains(crash))
            .collect();
        if own.len() < CRASHES_TO_REJECT {
            return;
        }
        if entry.is_under_review(now) {
            let times = own
                .iter()
                .filter_map(|crash| self.recent_crashes.get(crash));
            let first = times.clone().min().copied().unwrap_or(now);
            let last = times.max().copied().unwrap_or(now);
            let is_at_that_time = |at: Millis| {
                first.since(at) <= COINCIDENCE_MARGIN && at.since(last) <= COINCIDENCE_MARGIN
            };
            let others = self.recent_crashes.iter().filter(|(crash, at)| {
                is_at_that_time(**at)
                    && !attributed.contains(crash)
                    && !explained.contains(crash)
                    && !entry.void_crashes.contains(crash)
            });
            entry.suspect.is_confirmed |=
                entry.has_failed_trial || stands_out(own.len(), others.count());
        }
        if entry.suspect.is_confirmed {
            self.rejected.insert(*fingerprint);
            self.attributed.extend(own);
        }
    }

    /// Remembers the crashes of an update as recent. Those read from the store are old.
    fn record_recent_crashes(&mut self, suspect: &Suspect, origin: Origin, now: Millis) {
        if origin == Origin::Store || self.recent_crashes.len() >= MAX_RECENT_CRASHES {
            return;
        }
        for crash in &suspect.crashes {
            self.recent_crashes.entry(*crash).or_insert(now);
        }
    }

    /// Returns the entry of a request.
    pub fn get(&self, fingerprint: &Fingerprint) -> Option<&SuspectEntry> {
        self.entries.get(fingerprint)
    }

    /// Returns all entries, in no order.
    pub fn entries(&self) -> impl Iterator<Item = &SuspectEntry> {
        self.entries.values()
    }

    /// Returns the version of the last change to any entry.
    pub fn last_version(&self) -> u64 {
        self.last_version
    }

    /// Records that a server crashed during a request; returns whether that changed its entry.
    pub fn record_crash(&mut self, request: &RequestSummary, crash: CrashId, now: Millis) -> bool {
        let entry = self.entries.get(&request.fingerprint);
        let suspect = Suspect {
            request: request.clone(),
            epoch: entry.map_or(0, |entry| entry.suspect.epoch),
            crashes: vec![crash],
            is_confirmed: false,
        };
        self.merge(&suspect, Origin::Local, now)
    }

    /// Voids the crashes during a request, because it ran without one or because an operator
    /// releases it. Returns whether there were any.
    pub fn clear(&mut self, fingerprint: &Fingerprint, now: Millis) -> bool {
        let entry = self
            .entries
            .get(fingerprint)
            .filter(|entry| !entry.suspect.crashes.is_empty());
        let Some(entry) = entry else {
            return false;
        };
        let suspect = Suspect {
            epoch: entry.suspect.epoch + 1,
            crashes: Vec::new(),
            is_confirmed: false,
            ..entry.suspect.clone()
        };
        self.merge(&suspect, Origin::Local, now)
    }

    /// Merges an update of one suspect; returns whether that changed its entry.
    pub fn merge(&mut self, suspect: &Suspect, origin: Origin, now: Millis) -> bool {
        let version = self.last_version + 1;
        let fingerprint = suspect.request.fingerprint;
        let crashes_before = self.crash_count(&fingerprint);
        // An entry that arrives with all of its crashes is an old one.
        let is_observed = crashes_before > 0 || suspect.crashes.len() < CRASHES_TO_REJECT;
        if is_observed {
            self.record_recent_crashes(suspect, origin, now);
        }
        if let Some(entry) = self.entries.get_mut(&suspect.request.fingerprint) {
            entry.note_void_crashes(suspect);
            if !entry.suspect.merge(suspect) {
                return false;
            }
            entry.has_failed_trial = crashes_before >= CRASHES_TO_REJECT
                && entry.suspect.crashes.len() > crashes_before
                && now.since(entry.changed_at) >= TRIAL_DELAY;
            entry.is_observed = is_observed && origin != Origin::Store;
            entry.mark_changed(origin, version, now);
        } else {
            // Merged into an empty one, which sorts the crashes and limits their number.
            let mut merged = Suspect {
                crashes: Vec::new(),
                is_confirmed: false,
                ..suspect.clone()
            };
            merged.merge(suspect);
            self.evict_for(merged.crashes.len(), now);
            *self
                .quick_hashes
                .entry(merged.request.quick_hash)
                .or_default() += 1;
            let mut entry = SuspectEntry {
                suspect: merged,
                changed_at: now,
                version: 0,
                local_version: 0,
                domain_version: 0,
                non_store_version: 0,
                is_observed,
                has_failed_trial: false,
                void_crashes: Vec::new(),
            };
            entry.mark_changed(origin, version, now);
            self.entries.insert(fingerprint, entry);
        }
        self.last_version = version;
        if crashes_before.max(self.crash_count(&fingerprint)) >= CRASHES_TO_REJECT {
            self.reclassify(now);
        }
        true
    }

    fn crash_count(&self, fingerprint: &Fingerprint) -> usize {
        let entry = self.entries.get(fingerprint);
        entry.map_or(0, |entry| entry.suspect.crashes.len())
    }

    /// Removes an entry, whatever its verdict.
    pub fn remove(&mut self, fingerprint: &Fingerprint, now: Millis) {
        let Some(entry) = self.entries.remove(fingerprint) else {
            return;
        };
        if entry.suspect.crashes.len() >= CRASHES_TO_REJECT {
            self.reclassify(now);
        }
        let quick_hash = entry.suspect.request.quick_hash;
        if let Some(count) = self.quick_hashes.get_mut(&quick_hash) {
            *count -= 1;
            if *count == 0 {
                self.quick_hashes.remove(&quick_hash);
            }
        }
    }

    /// Removes the entries that are past their retention.
    pub fn remove_expired(&mut self, now: Millis) {
        let is_expired = |entry: &&SuspectEntry| {
            let retention = match entry.suspect.crashes.is_empty() {
                true => CLEARED_RETENTION,
                false => CRASH_RETENTION,
            };
            now.since(entry.changed_at) >= retention
        };
        let expired = self.entries.values().filter(is_expired);
        let expired: Vec<Fingerprint> = expired
            .map(|entry| entry.suspect.request.fingerprint)
            .collect();
        expired
            .iter()
            .for_each(|fingerprint| self.remove(fingerprint, now));
    }

    /// Evicts an entry if there is no room for one more with this number of crashes. Entries with
    /// enough crashes for a rejection and those with fewer are limited separately: otherwise a
    /// client that sends ever new requests could have all rejected ones evicted.
    fn evict_for(&mut self, crashes: usize, now: Millis) {
        let is_candidate = |crashes: usize| crashes >= CRASHES_TO_REJECT;
        let max = match is_candidate(crashes) {
            true => MAX_REJECTED,
            false => MAX_SUSPECTED,
        };
        let same_class = self.entries.values();
        let same_class = same_class
            .filter(|entry| is_candidate(entry.suspect.crashes.len()) == is_candidate(crashes));
        if same_class.clone().count() < max {
            return;
        }
        let evicted = same_class.min_by_key(|entry| (entry.suspect.crashes.len(), entry.version));
        if let Some(evicted) = evicted.map(|entry| entry.suspect.request.fingerprint) {
            self.remove(&evicted, now);
        }
    }
}
