//! The issuer's side of grants: capacity lent to other VMs, and the requests that arrive.
//!
//! An arrival counts against up to three scopes: its place, the region and, if it comes from
//! another region, the link. Each scope counts the arrivals of local callers and under grants,
//! both within the last window and in flight. At any moment, for each scope:
//!
//! * arrivals in the last window are at most the allowance;
//! * local arrivals in the last window plus the rates of all usable grants are at most the
//!   allowance, and likewise for requests in flight.

use std::collections::BTreeMap;

use heatherknot_types::plan::Cap;
use heatherknot_types::prelude::*;

use crate::allowance::{Allowances, NO_CAP, ZERO_CAP, min_cap};
pub use crate::holder_grants::HolderKey;
use crate::holder_grants::{HolderGrants, IssuedGrant};
use crate::messages::{Grant, GrantRequest, GrantToken, PlaceRequest};
use crate::tuning::Tuning;
use crate::window::Window;

/// The scope of a cap.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ScopeName {
    /// A place of the VM's failure domain.
    Place(PlaceName),
    /// The VM's region.
    Region,
    /// The link from another region.
    Link(RegionName),
}

/// The limit that rejects an arrival.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitReached {
    /// The rate limit of a scope is reached; the count falls below it at the given time.
    Rate(ScopeName, Millis),
    /// The limit on requests in flight of a scope is reached.
    InFlight(ScopeName),
    /// The grant is unknown, belongs to another incarnation, or has expired.
    NoGrant,
    /// The rate or the requests in flight of the grant itself are used up.
    GrantExhausted,
}

/// Limits and counts of one scope.
#[derive(Clone, Debug)]
struct Scope {
    usable: Cap,
    lendable: Cap,
    /// Arrivals of local callers and under grants.
    arrivals: Window,
    /// Arrivals of local callers.
    local: Window,
    in_flight: u32,
    local_in_flight: u32,
    /// Cached result of [`Issuer::lent_in`].
    lent: Cap,
}

/// Capacity that one VM has lent, and its arrivals.
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
    /// The capacity last requested by each holder, its region, and when it asked.
    requested: BTreeMap<HolderKey, (Cap, RegionName, Millis)>,
    /// The time until which the cached `lent` of each scope stays valid if nothing changes.
    lent_valid_until: Millis,
}

/// Capacity that the issuer withholds from lending at one place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reserve {
    /// Capacity reserved for local callers.
    pub local: Cap,
    /// Highest rate for which the place is warm.
    pub warm_rate: u32,
}

impl Issuer {
    /// Creates an issuer that started at `now`.
    ///
    /// Guards against an earlier incarnation of this VM whose grants may still be held and whose
    /// last arrivals still count in the window: the issuer lends nothing until those grants have
    /// expired, and admits nothing for one window.
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
            requested: BTreeMap::new(),
            lent_valid_until: Millis(0),
        }
    }

    /// Sets the capacity that the VM may use and lend. Capacity already lent stays lent until its
    /// grant expires or is given back.
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
        // Drop the scopes of links that no longer have a cap. A place without an allowance stays
        // at zero until nothing is in flight there.
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

    /// Checks whether a local arrival at `place` is within all limits.
    ///
    /// # Errors
    ///
    /// Returns the limit that it would exceed.
    pub fn check_local(&mut self, place: &PlaceName, now: Millis) -> Result<(), LimitReached> {
        self.check_admitting(place, now)?;
        self.refresh_lent(now);
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
            let in_flight = scope.local_in_flight.saturating_add(scope.lent.in_flight);
            if in_flight >= scope.usable.in_flight {
                return Err(LimitReached::InFlight(name));
            }
        }
        Ok(())
    }

    /// Counts a local arrival at `place` after a successful `check_local` at the same `now`.
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

    /// Checks whether an arrival with `token` is within all limits, and returns the key of its
    /// grant.
    ///
    /// # Errors
    ///
    /// Returns the limit that it would exceed, or that the grant is not valid.
    pub fn check_granted(
        &mut self,
        token: &GrantToken,
        now: Millis,
    ) -> Result<HolderKey, LimitReached> {
        if token.issuer != self.vm || token.issuer_incarnation != self.incarnation {
            return Err(LimitReached::NoGrant);
        }
        self.check_admitting(&token.place, now)?;
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

    /// Counts an arrival under the grant `key` after a successful `check_granted` at the same
    /// `now`.
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

    /// Issues grants for a request from a VM in region `from`.
    ///
    /// `reserve` returns the capacity to withhold at a place, or `None` for a place that lends
    /// nothing, such as one that drains.
    pub fn lend(
        &mut self,
        req: &GrantRequest,
        from: &RegionName,
        reserve: &dyn Fn(&PlaceName) -> Option<Reserve>,
        now: Millis,
    ) -> Vec<Grant> {
        let mut grants = Vec::with_capacity(req.wants.len());
        for request in &req.wants {
            let key = HolderKey {
                place: request.place.clone(),
                holder: req.holder.clone(),
                incarnation: req.holder_incarnation,
            };
            if req.issuer_incarnation == Some(self.incarnation)
                && let Some(lent) = self.lent.get_mut(&key)
            {
                lent.release(request, self.tuning.window, now);
            }
            self.record_request(&key, request, from, now);
            let withheld = reserve(&request.place).filter(|_| now >= self.lends_from);
            let cap = withheld.map_or(ZERO_CAP, |r| {
                self.grantable(&key, request, from, r, reserve, now)
            });
            grants.push(self.issue(key, from, cap, now));
        }
        grants
    }

    fn record_request(
        &mut self,
        key: &HolderKey,
        request: &PlaceRequest,
        from: &RegionName,
        now: Millis,
    ) {
        let cap = Cap {
            per_second: request.rate,
            in_flight: request.in_flight,
        };
        if cap == ZERO_CAP {
            self.requested.remove(key);
        } else {
            self.requested.insert(key.clone(), (cap, from.clone(), now));
        }
    }

    /// Computes the capacity to grant: at most the holder's share of the lendable capacity, in
    /// proportion to the requests of all holders, and at most what is free.
    fn grantable(
        &mut self,
        key: &HolderKey,
        request: &PlaceRequest,
        from: &RegionName,
        place_reserve: Reserve,
        reserve: &dyn Fn(&PlaceName) -> Option<Reserve>,
        now: Millis,
    ) -> Cap {
        let mut cap = Cap {
            per_second: request.rate,
            in_flight: request.in_flight,
        };
        for name in self.scope_names(&key.place, from) {
            let others = self.lent_in(&name, Some(key), now);
            let wanted = self.requested_in(&name);
            let withheld = match &name {
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
                per_second: withheld.per_second.max(scope.local.count(now)),
                in_flight: withheld.in_flight.max(scope.local_in_flight),
            };
            let pool = sub_caps(lendable, local);
            cap = min_cap(cap, proportional_share(pool, request, wanted));
            cap = min_cap(cap, sub_caps(pool, others));
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

    /// Removes expired grants and the requests of holders that no longer ask.
    pub fn tick(&mut self, now: Millis) {
        for lent in self.lent.values_mut() {
            lent.grants.retain(|l| l.until > now);
        }
        self.lent
            .retain(|_, l| !l.grants.is_empty() || l.in_flight > 0 || l.arrivals.count(now) > 0);
        let term = self.tuning.term;
        self.requested.retain(|_, (_, _, at)| *at + term > now);
        self.lent_valid_until = Millis(0);
    }

    /// Returns the capacity lent out or in use under grants in `name`, without that of the holder
    /// `except`.
    pub fn lent_in(&self, name: &ScopeName, except: Option<&HolderKey>, now: Millis) -> Cap {
        let in_scope = |key: &HolderKey, lent: &HolderGrants| match name {
            ScopeName::Place(place) => key.place == *place,
            ScopeName::Region => true,
            ScopeName::Link(from) => lent.from == *from && lent.from != self.region,
        };
        let mut sum = ZERO_CAP;
        for (key, lent) in &self.lent {
            if Some(key) != except && in_scope(key, lent) {
                sum = add_caps(sum, lent.reserved(now));
            }
        }
        sum
    }

    /// Returns the arrivals in the last window and the requests in flight in `name`.
    pub fn used_in(&self, name: &ScopeName, now: Millis) -> Cap {
        self.scopes.get(name).map_or(ZERO_CAP, |scope| Cap {
            per_second: scope.arrivals.peek(now),
            in_flight: scope.in_flight,
        })
    }

    /// Returns the local arrivals counted in [`Issuer::used_in`].
    pub fn local_in(&self, name: &ScopeName, now: Millis) -> Cap {
        self.scopes.get(name).map_or(ZERO_CAP, |scope| Cap {
            per_second: scope.local.peek(now),
            in_flight: scope.local_in_flight,
        })
    }

    /// Returns the limit for local arrivals at `place` together with the arrivals under grants
    /// counted so far. It excludes capacity that is lent but unused, and capacity missing in the
    /// region.
    pub fn local_limit(&mut self, place: &PlaceName, now: Millis) -> Cap {
        self.refresh_lent(now);
        let name = ScopeName::Place(place.clone());
        let used = self.used_in(&name, now);
        let left = min_cap(
            self.remaining_in(&name, now),
            self.remaining_in(&ScopeName::Region, now),
        );
        add_caps(used, left)
    }

    fn remaining_in(&self, name: &ScopeName, now: Millis) -> Cap {
        let Some(scope) = self.scopes.get(name) else {
            return ZERO_CAP;
        };
        let local = Cap {
            per_second: scope.local.peek(now),
            in_flight: scope.local_in_flight,
        };
        sub_caps(sub_caps(scope.usable, scope.lent), local)
    }

    /// Returns the usable capacity of `name`; a scope without a cap is unlimited.
    pub fn usable_in(&self, name: &ScopeName) -> Cap {
        self.scopes.get(name).map_or(NO_CAP, |scope| scope.usable)
    }

    /// Returns when the last grant for `place` expires, if there is one.
    pub fn last_expiry(&self, place: &PlaceName) -> Option<Millis> {
        let of_place = self.lent.iter().filter(|(key, _)| key.place == *place);
        of_place.flat_map(|(_, l)| &l.grants).map(|l| l.until).max()
    }

    /// Returns the incarnation of this VM.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns when this incarnation starts to lend.
    pub fn lends_from(&self) -> Millis {
        self.lends_from
    }

    fn check_admitting(&self, place: &PlaceName, now: Millis) -> Result<(), LimitReached> {
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

    fn requested_in(&self, name: &ScopeName) -> Cap {
        let in_scope = |key: &HolderKey, from: &RegionName| match name {
            ScopeName::Place(place) => key.place == *place,
            ScopeName::Region => true,
            ScopeName::Link(link) => from == link,
        };
        let requested = self
            .requested
            .iter()
            .filter(|(key, (_, from, _))| in_scope(key, from));
        requested.fold(ZERO_CAP, |sum, (_, (cap, _, _))| add_caps(sum, *cap))
    }

    fn region_reserve(&self, reserve: &dyn Fn(&PlaceName) -> Option<Reserve>) -> Cap {
        let places = self.scopes.keys().filter_map(|name| match name {
            ScopeName::Place(place) => reserve(place),
            _ => None,
        });
        places.fold(ZERO_CAP, |sum, r| add_caps(sum, r.local))
    }

    fn refresh_lent(&mut self, now: Millis) {
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

fn proportional_share(pool: Cap, request: &PlaceRequest, wanted: Cap) -> Cap {
    let share = |pool: u32, request: u32, all: u32| {
        if all <= pool {
            return request;
        }
        (u64::from(pool) * u64::from(request)).div_ceil(u64::from(all)) as u32
    };
    Cap {
        per_second: share(pool.per_second, request.rate, wanted.per_second),
        in_flight: share(pool.in_flight, request.in_flight, wanted.in_flight),
    }
}

fn add_caps(a: Cap, b: Cap) -> Cap {
    Cap {
        per_second: a.per_second.saturating_add(b.per_second),
        in_flight: a.in_flight.saturating_add(b.in_flight),
    }
}

pub(crate) fn sub_caps(a: Cap, b: Cap) -> Cap {
    Cap {
        per_second: a.per_second.saturating_sub(b.per_second),
        in_flight: a.in_flight.saturating_sub(b.in_flight),
    }
}
