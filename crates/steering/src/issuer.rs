//! The issuer's side of grants: what this VM has lent out and what arrives.
//!
//! Three kinds of scope bind an arrival: the place, the region and, from another region, the
//! link. Each scope counts arrivals of callers of its own and of grants, in the last window and
//! in flight. For each scope and at every moment:
//!
//! * arrivals in the last window are at most the allowance;
//! * local arrivals in the last window and the rates of all grants that may still be used are
//!   together at most the allowance, and so for requests in flight.

use std::collections::BTreeMap;

use heatherknot_types::plan::Cap;
use heatherknot_types::prelude::*;

use crate::allowance::{Allowances, NO_CAP, ZERO_CAP, min_cap};
pub use crate::holder_grants::HolderKey;
use crate::holder_grants::{HolderGrants, IssuedGrant};
use crate::messages::{Grant, GrantRequest, GrantToken, PlaceRequest};
use crate::tuning::Tuning;
use crate::window::Window;

/// What a cap binds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ScopeName {
    /// A place of the VM's failure domain.
    Place(PlaceName),
    /// The VM's region.
    Region,
    /// The link from another region.
    Link(RegionName),
}

/// Why an arrival doesn't fit now.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitReached {
    /// The count in the window has reached a limit; it falls below at the time given.
    Rate(ScopeName, Millis),
    /// The requests in flight have reached a limit.
    InFlight(ScopeName),
    /// The grant is unknown, of another run, or has expired.
    NoGrant,
    /// The grant's own rate or requests in flight are used up.
    GrantExhausted,
}

/// The counts of one scope.
#[derive(Clone, Debug)]
struct Scope {
    usable: Cap,
    lendable: Cap,
    arrivals: Window,
    local: Window,
    in_flight: u32,
    local_in_flight: u32,
    lent: Cap,
}

/// What one VM lends and what has arrived.
#[derive(Clone, Debug)]
pub struct Issuer {
    tuning: Tuning,
    vm: VmName,
    incarnation: Incarnation,
    region: RegionName,
    admits_from: Millis,
    lends_from: Millis,
    next_seq: u64,
    scopes: BTreeMap<ScopeName, Scope>,
    lent: BTreeMap<HolderKey, HolderGrants>,
    wants: BTreeMap<HolderKey, (Cap, RegionName, Millis)>,
    /// The time up to which each scope's `lent` is right if nothing changes.
    lent_valid_until: Millis,
}

/// What the issuer keeps back from lending for one place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reserve {
    /// Kept for callers of its own.
    pub local: Cap,
    /// The rate up to which the place is warm enough.
    pub warm_rate: u32,
}

impl Issuer {
    /// Makes an issuer that started at `now`.
    ///
    /// Guards against a run before this one, at the same VM, whose grants the sources still
    /// hold and whose last arrivals still count in the window: it lends nothing until those
    /// grants have expired, and admits nothing for one window.
    pub fn new(vm: VmName, incarnation: Incarnation, tuning: Tuning, now: Millis) -> Self {
        Self {
            tuning,
            vm,
            incarnation,
            region: RegionName::new(""),
            admits_from: now + tuning.window,
            lends_from: now + tuning.term + tuning.margin + tuning.margin,
            next_seq: 1,
            scopes: BTreeMap::new(),
            lent: BTreeMap::new(),
            wants: BTreeMap::new(),
            lent_valid_until: Millis(0),
        }
    }

    /// Takes in what the VM may use and what it may lend. What is already lent stays so until
    /// it expires or is given back.
    pub fn set_allowances(
        &mut self,
        region: &RegionName,
        usable: &Allowances,
        lendable: &Allowances,
    ) {
        self.region = region.clone();
        for scope in self.scopes.values_mut() {
            scope.usable = ZERO_CAP;
            scope.lendable = ZERO_CAP;
        }
        for (place, cap) in &usable.places {
            let lend = lendable.places.get(place).copied().unwrap_or(ZERO_CAP);
            self.set_scope(ScopeName::Place(place.clone()), *cap, lend);
        }
        self.set_scope(ScopeName::Region, usable.region, lendable.region);
        for (from, cap) in &usable.links {
            let lend = lendable.links.get(from).copied().unwrap_or(ZERO_CAP);
            self.set_scope(ScopeName::Link(from.clone()), *cap, lend);
        }
        // A link without a cap in the settings any more has no scope; a place without one
        // stays at zero until nothing is in flight there.
        self.scopes.retain(|name, scope| match name {
            ScopeName::Link(from) => usable.links.contains_key(from),
            ScopeName::Place(place) => usable.places.contains_key(place) || scope.in_flight > 0,
            ScopeName::Region => true,
        });
        self.lent_valid_until = Millis(0);
    }

    fn set_scope(&mut self, name: ScopeName, usable: Cap, lendable: Cap) {
        let (span, grain) = (self.tuning.window, self.tuning.window_grain);
        let scope = self.scopes.entry(name).or_insert_with(|| Scope {
            usable,
            lendable,
            arrivals: Window::new(span, grain),
            local: Window::new(span, grain),
            in_flight: 0,
            local_in_flight: 0,
            lent: ZERO_CAP,
        });
        scope.usable = usable;
        scope.lendable = min_cap(lendable, usable);
    }

    /// Says whether a local arrival at `place` fits now.
    ///
    /// # Errors
    ///
    /// Gives the limit that it would pass.
    pub fn check_local(&mut self, place: &PlaceName, now: Millis) -> Result<(), LimitReached> {
        self.check_open(place, now)?;
        self.refresh(now);
        for name in [ScopeName::Place(place.clone()), ScopeName::Region] {
            let Some(scope) = self.scopes.get_mut(&name) else {
                return Err(LimitReached::Rate(name, now + self.tuning.window));
            };
            check_scope(scope, &name, now)?;
            let left = scope
                .usable
                .per_second
                .saturating_sub(scope.lent.per_second);
            if scope.local.count(now) >= left {
                return Err(LimitReached::Rate(name, scope.local.free_at(left, now)));
            }
            let busy = scope.local_in_flight.saturating_add(scope.lent.in_flight);
            if busy >= scope.usable.in_flight {
                return Err(LimitReached::InFlight(name));
            }
        }
        Ok(())
    }

    /// Counts a local arrival at `place`, which must have been checked at `now`.
    pub fn start_local(&mut self, place: &PlaceName, now: Millis) {
        for name in [ScopeName::Place(place.clone()), ScopeName::Region] {
            if let Some(scope) = self.scopes.get_mut(&name) {
                scope.arrivals.add(now);
                scope.local.add(now);
                scope.in_flight += 1;
                scope.local_in_flight += 1;
            }
        }
    }

    /// Counts the end of a local arrival.
    pub fn finish_local(&mut self, place: &PlaceName) {
        for name in [ScopeName::Place(place.clone()), ScopeName::Region] {
            if let Some(scope) = self.scopes.get_mut(&name) {
                scope.in_flight = scope.in_flight.saturating_sub(1);
                scope.local_in_flight = scope.local_in_flight.saturating_sub(1);
            }
        }
    }

    /// Says whether an arrival that bears `token` fits now, and under which grant.
    ///
    /// # Errors
    ///
    /// Gives the limit that it would pass, or says that the grant doesn't stand.
    pub fn check_granted(
        &mut self,
        token: &GrantToken,
        now: Millis,
    ) -> Result<HolderKey, LimitReached> {
        if token.issuer != self.vm || token.issuer_incarnation != self.incarnation {
            return Err(LimitReached::NoGrant);
        }
        self.check_open(&token.place, now)?;
        let key = HolderKey {
            place: token.place.clone(),
            holder: token.holder.clone(),
            incarnation: token.holder_incarnation,
        };
        let lent = self.lent.get_mut(&key).ok_or(LimitReached::NoGrant)?;
        let cap = lent.cap(now);
        if cap == ZERO_CAP {
            return Err(LimitReached::NoGrant);
        }
        if lent.arrivals.count(now) >= cap.per_second || lent.in_flight >= cap.in_flight {
            return Err(LimitReached::GrantExhausted);
        }
        let from = lent.from.clone();
        for name in self.scope_names(&key.place, &from) {
            if let Some(scope) = self.scopes.get_mut(&name) {
                check_scope(scope, &name, now)?;
            }
        }
        Ok(key)
    }

    /// Counts an arrival under the grant `key`, which must have been checked at `now`.
    pub fn start_granted(&mut self, key: &HolderKey, now: Millis) {
        let Some(lent) = self.lent.get_mut(key) else {
            return;
        };
        lent.arrivals.add(now);
        lent.in_flight += 1;
        let from = lent.from.clone();
        for name in self.scope_names(&key.place, &from) {
            if let Some(scope) = self.scopes.get_mut(&name) {
                scope.arrivals.add(now);
                scope.in_flight += 1;
            }
        }
    }

    /// Counts the end of an arrival under the grant `key`.
    pub fn finish_granted(&mut self, key: &HolderKey) {
        let Some(lent) = self.lent.get_mut(key) else {
            return;
        };
        lent.in_flight = lent.in_flight.saturating_sub(1);
        let from = lent.from.clone();
        for name in self.scope_names(&key.place, &from) {
            if let Some(scope) = self.scopes.get_mut(&name) {
                scope.in_flight = scope.in_flight.saturating_sub(1);
            }
        }
        self.lent_valid_until = Millis(0);
    }

    /// Answers a request for grants from a VM in region `from`.
    ///
    /// `reserve` gives what to keep back at each place, and none for a place that lends
    /// nothing, such as one that drains.
    pub fn lend(
        &mut self,
        req: &GrantRequest,
        from: &RegionName,
        reserve: &dyn Fn(&PlaceName) -> Option<Reserve>,
        now: Millis,
    ) -> Vec<Grant> {
        let mut grants = Vec::with_capacity(req.wants.len());
        for want in &req.wants {
            let key = HolderKey {
                place: want.place.clone(),
                holder: req.holder.clone(),
                incarnation: req.holder_incarnation,
            };
            if req.issuer_incarnation == Some(self.incarnation)
                && let Some(lent) = self.lent.get_mut(&key)
            {
                lent.release(want, self.tuning.window, now);
            }
            self.remember_want(&key, want, from, now);
            let kept = reserve(&want.place).filter(|_| now >= self.lends_from);
            let cap = kept.map_or(ZERO_CAP, |r| {
                self.grantable(&key, want, from, r, reserve, now)
            });
            grants.push(self.issue(key, from, cap, now));
        }
        grants
    }

    fn remember_want(
        &mut self,
        key: &HolderKey,
        want: &PlaceRequest,
        from: &RegionName,
        now: Millis,
    ) {
        let cap = Cap {
            per_second: want.rate,
            in_flight: want.in_flight,
        };
        if cap == ZERO_CAP {
            self.wants.remove(key);
        } else {
            self.wants.insert(key.clone(), (cap, from.clone(), now));
        }
    }

    /// Works out how much the holder can have: no more than its share of what is lendable,
    /// in proportion to what all holders want, and no more than what is free.
    fn grantable(
        &mut self,
        key: &HolderKey,
        want: &PlaceRequest,
        from: &RegionName,
        place_reserve: Reserve,
        reserve: &dyn Fn(&PlaceName) -> Option<Reserve>,
        now: Millis,
    ) -> Cap {
        let mut cap = Cap {
            per_second: want.rate,
            in_flight: want.in_flight,
        };
        for name in self.scope_names(&key.place, from) {
            let others = self.lent_in(&name, Some(key), now);
            let wanted = self.wanted_in(&name);
            let kept = match &name {
                ScopeName::Place(_) => place_reserve.local,
                ScopeName::Region => self.region_reserve(reserve),
                ScopeName::Link(_) => ZERO_CAP,
            };
            let Some(scope) = self.scopes.get_mut(&name) else {
                continue;
            };
            let mut lendable = scope.lendable;
            if matches!(name, ScopeName::Place(_)) {
                lendable.per_second = lendable.per_second.min(place_reserve.warm_rate);
            }
            let local = Cap {
                per_second: kept.per_second.max(scope.local.count(now)),
                in_flight: kept.in_flight.max(scope.local_in_flight),
            };
            let pool = minus(lendable, local);
            cap = min_cap(cap, proportion(pool, want, wanted));
            cap = min_cap(cap, minus(pool, others));
        }
        if cap.per_second == 0 || cap.in_flight == 0 {
            return ZERO_CAP;
        }
        cap
    }

    fn issue(&mut self, key: HolderKey, from: &RegionName, cap: Cap, now: Millis) -> Grant {
        let seq = self.next_seq;
        self.next_seq += 1;
        let grant = Grant {
            place: key.place.clone(),
            seq,
            rate: cap.per_second,
            in_flight: cap.in_flight,
        };
        let (span, grain) = (self.tuning.window, self.tuning.window_grain);
        if cap != ZERO_CAP {
            let lent = self.lent.entry(key).or_insert_with(|| HolderGrants {
                from: from.clone(),
                grants: Vec::new(),
                arrivals: Window::new(span, grain),
                in_flight: 0,
            });
            lent.grants.push(IssuedGrant {
                seq,
                cap,
                until: now + self.tuning.term + self.tuning.margin,
            });
        }
        self.lent_valid_until = Millis(0);
        grant
    }

    /// Forgets grants that have expired and holders that no longer ask.
    pub fn tick(&mut self, now: Millis) {
        for lent in self.lent.values_mut() {
            lent.grants.retain(|l| l.until > now);
        }
        self.lent
            .retain(|_, l| !l.grants.is_empty() || l.in_flight > 0 || l.arrivals.count(now) > 0);
        let term = self.tuning.term;
        self.wants.retain(|_, (_, _, at)| *at + term > now);
        self.lent_valid_until = Millis(0);
    }

    /// Gives the rate and requests in flight that are lent out or used under grants in `name`,
    /// leaving out one holder's.
    pub fn lent_in(&self, name: &ScopeName, except: Option<&HolderKey>, now: Millis) -> Cap {
        let in_scope = |key: &HolderKey, lent: &HolderGrants| match name {
            ScopeName::Place(place) => key.place == *place,
            ScopeName::Region => true,
            ScopeName::Link(from) => lent.from == *from && lent.from != self.region,
        };
        let mut sum = ZERO_CAP;
        for (key, lent) in &self.lent {
            if Some(key) != except && in_scope(key, lent) {
                sum = plus(sum, lent.reserved(now));
            }
        }
        sum
    }

    /// Gives the arrivals in the last window and the requests in flight in `name`.
    pub fn used_in(&self, name: &ScopeName, now: Millis) -> Cap {
        self.scopes.get(name).map_or(ZERO_CAP, |scope| Cap {
            per_second: scope.arrivals.peek(now),
            in_flight: scope.in_flight,
        })
    }

    /// Gives the local part of [`Issuer::used_in`].
    pub fn local_in(&self, name: &ScopeName, now: Millis) -> Cap {
        self.scopes.get(name).map_or(ZERO_CAP, |scope| Cap {
            per_second: scope.local.peek(now),
            in_flight: scope.local_in_flight,
        })
    }

    /// Gives the limit that local arrivals at `place` share with the arrivals under grants
    /// counted so far: what is lent and not used is not theirs, nor what the region lacks.
    pub fn local_limit(&mut self, place: &PlaceName, now: Millis) -> Cap {
        self.refresh(now);
        let name = ScopeName::Place(place.clone());
        let used = self.used_in(&name, now);
        let left = min_cap(
            self.left_in(&name, now),
            self.left_in(&ScopeName::Region, now),
        );
        plus(used, left)
    }

    fn left_in(&self, name: &ScopeName, now: Millis) -> Cap {
        let Some(scope) = self.scopes.get(name) else {
            return ZERO_CAP;
        };
        let local = Cap {
            per_second: scope.local.peek(now),
            in_flight: scope.local_in_flight,
        };
        minus(minus(scope.usable, scope.lent), local)
    }

    /// Gives what may be used in `name`; a scope without a cap is unbounded.
    pub fn usable_in(&self, name: &ScopeName) -> Cap {
        self.scopes.get(name).map_or(NO_CAP, |scope| scope.usable)
    }

    /// Gives the time at which the last grant for `place` expires, or none.
    pub fn last_expiry(&self, place: &PlaceName) -> Option<Millis> {
        let of_place = self.lent.iter().filter(|(key, _)| key.place == *place);
        of_place.flat_map(|(_, l)| &l.grants).map(|l| l.until).max()
    }

    /// Gives the run of this VM.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Gives the time from which this run lends.
    pub fn lends_from(&self) -> Millis {
        self.lends_from
    }

    fn check_open(&self, place: &PlaceName, now: Millis) -> Result<(), LimitReached> {
        if now < self.admits_from {
            return Err(LimitReached::Rate(
                ScopeName::Place(place.clone()),
                self.admits_from,
            ));
        }
        Ok(())
    }

    fn scope_names(&self, place: &PlaceName, from: &RegionName) -> Vec<ScopeName> {
        let mut names = vec![ScopeName::Place(place.clone()), ScopeName::Region];
        if *from != self.region {
            names.push(ScopeName::Link(from.clone()));
        }
        names
    }

    fn wanted_in(&self, name: &ScopeName) -> Cap {
        let in_scope = |key: &HolderKey, from: &RegionName| match name {
            ScopeName::Place(place) => key.place == *place,
            ScopeName::Region => true,
            ScopeName::Link(link) => from == link,
        };
        let wants = self
            .wants
            .iter()
            .filter(|(key, (_, from, _))| in_scope(key, from));
        wants.fold(ZERO_CAP, |sum, (_, (cap, _, _))| plus(sum, *cap))
    }

    fn region_reserve(&self, reserve: &dyn Fn(&PlaceName) -> Option<Reserve>) -> Cap {
        let places = self.scopes.keys().filter_map(|name| match name {
            ScopeName::Place(place) => reserve(place),
            _ => None,
        });
        places.fold(ZERO_CAP, |sum, r| plus(sum, r.local))
    }

    fn refresh(&mut self, now: Millis) {
        if now < self.lent_valid_until {
            return;
        }
        let names: Vec<ScopeName> = self.scopes.keys().cloned().collect();
        for name in names {
            let lent = self.lent_in(&name, None, now);
            if let Some(scope) = self.scopes.get_mut(&name) {
                scope.lent = lent;
            }
        }
        let grants = self.lent.values().flat_map(|l| &l.grants);
        let next = grants.map(|l| l.until).filter(|u| *u > now).min();
        self.lent_valid_until = next.unwrap_or(Millis(u64::MAX));
    }
}

fn check_scope(scope: &mut Scope, name: &ScopeName, now: Millis) -> Result<(), LimitReached> {
    let cap = scope.usable;
    if scope.arrivals.count(now) >= cap.per_second {
        return Err(LimitReached::Rate(
            name.clone(),
            scope.arrivals.free_at(cap.per_second, now),
        ));
    }
    if scope.in_flight >= cap.in_flight {
        return Err(LimitReached::InFlight(name.clone()));
    }
    Ok(())
}

fn proportion(pool: Cap, want: &PlaceRequest, wanted: Cap) -> Cap {
    let share = |pool: u32, want: u32, all: u32| {
        if all <= pool {
            return want;
        }
        (u64::from(pool) * u64::from(want)).div_ceil(u64::from(all)) as u32
    };
    Cap {
        per_second: share(pool.per_second, want.rate, wanted.per_second),
        in_flight: share(pool.in_flight, want.in_flight, wanted.in_flight),
    }
}

fn plus(a: Cap, b: Cap) -> Cap {
    Cap {
        per_second: a.per_second.saturating_add(b.per_second),
        in_flight: a.in_flight.saturating_add(b.in_flight),
    }
}

pub(crate) fn minus(a: Cap, b: Cap) -> Cap {
    Cap {
        per_second: a.per_second.saturating_sub(b.per_second),
        in_flight: a.in_flight.saturating_sub(b.in_flight),
    }
}
