//! Tracks the load that look-up answers in callers' caches can still cause.

use std::collections::{BTreeMap, VecDeque};

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::messages::GrantToken;

/// Resolution of the stored expiry times, in milliseconds; an answer counts until the end of its
/// step.
const EXPIRY_STEP_MS: u64 = 250;

/// One place in a look-up answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// The place.
    pub place: PlaceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// The entry VM that issued the grant, if the place is in another failure domain.
    pub vm: Option<VmName>,
    /// The token that the caller's requests carry there.
    pub grant: Option<GrantToken>,
}

/// The answer to a look-up.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LookupAnswer {
    /// The places to use, best first.
    pub choices: Vec<Choice>,
    /// How long the answer may be cached. It never outlives the grant it relies on.
    pub ttl: Millis,
}

/// Unexpired answers about one service that name one place first.
#[derive(Clone, Debug, Default)]
pub struct LiveAnswers {
    expiries: VecDeque<(u64, u32)>,
    live: u32,
}

impl LiveAnswers {
    /// Counts an answer that expires at `until`.
    pub fn add(&mut self, until: Millis) {
        let step = until.0.div_ceil(EXPIRY_STEP_MS);
        self.live += 1;
        let at = self.expiries.partition_point(|(s, _)| *s < step);
        match self.expiries.get_mut(at) {
            Some((s, n)) if *s == step => *n += 1,
            _ => self.expiries.insert(at, (step, 1)),
        }
    }

    /// Returns the number of answers unexpired at `now` and removes the others.
    pub fn count(&mut self, now: Millis) -> u32 {
        while let Some(&(step, n)) = self.expiries.front() {
            if step * EXPIRY_STEP_MS > now.0 {
                break;
            }
            self.expiries.pop_front();
            self.live -= n;
        }
        self.live
    }

    /// Returns when the last answer expires, or `None` if there is none.
    pub fn last_expiry(&self) -> Option<Millis> {
        self.expiries
            .back()
            .map(|(step, _)| Millis(step * EXPIRY_STEP_MS))
    }
}

/// The unexpired answers given by one VM, by service and place.
#[derive(Clone, Debug, Default)]
pub struct CachedAnswers {
    answers: BTreeMap<ServiceName, BTreeMap<PlaceName, LiveAnswers>>,
}

impl CachedAnswers {
    /// Counts an answer that expires at `until`.
    pub fn add(&mut self, service: &ServiceName, place: &PlaceName, until: Millis) {
        if !self.answers.contains_key(service) {
            self.answers.insert(service.clone(), BTreeMap::new());
        }
        let places = self.answers.get_mut(service).expect("inserted above");
        places.entry(place.clone()).or_default().add(until);
    }

    /// Returns the number of unexpired answers about `service` that name `place` first.
    pub fn live(&mut self, service: &ServiceName, place: &PlaceName, now: Millis) -> u32 {
        let places = self.answers.get_mut(service);
        places
            .and_then(|p| p.get_mut(place))
            .map_or(0, |l| l.count(now))
    }

    /// Returns each service with its number of unexpired answers that name `place` first.
    pub fn at_place(&mut self, place: &PlaceName, now: Millis) -> Vec<(ServiceName, u32)> {
        let all = self.answers.iter_mut();
        let live = all.filter_map(|(service, places)| {
            let n = places.get_mut(place)?.count(now);
            (n > 0).then(|| (service.clone(), n))
        });
        live.collect()
    }

    /// Returns each place with its number of unexpired answers about `service` that name it first.
    pub fn of_service(&mut self, service: &ServiceName, now: Millis) -> Vec<(PlaceName, u32)> {
        let places = self.answers.get_mut(service).into_iter().flatten();
        let live = places.map(|(place, live)| (place.clone(), live.count(now)));
        live.filter(|(_, n)| *n > 0).collect()
    }

    /// Returns when the last answer that names `place` first expires, or `None` if there is none.
    pub fn last_expiry(&self, place: &PlaceName) -> Option<Millis> {
        let of_place = self.answers.values().filter_map(|p| p.get(place));
        of_place.filter_map(LiveAnswers::last_expiry).max()
    }

    /// Removes expired answers.
    pub fn tick(&mut self, now: Millis) {
        for places in self.answers.values_mut() {
            places.retain(|_, live| live.count(now) > 0);
        }
        self.answers.retain(|_, places| !places.is_empty());
    }
}
