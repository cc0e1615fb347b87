//! The holder's side of grants: what this VM may send to places of other failure domains.

use std::collections::BTreeMap;

use heatherknot_types::prelude::*;

use crate::messages::{GrantReply, GrantToken, PlaceRequest};
use crate::tuning::Tuning;
use crate::window::Window;

/// The grant held for one place.
#[derive(Clone, Debug)]
pub struct HeldGrant {
    /// The VM that issued it.
    pub issuer: VmName,
    /// The incarnation of that VM.
    pub issuer_incarnation: Incarnation,
    /// The sequence number of the grant.
    pub seq: u64,
    /// Requests that may start in one window.
    pub rate: u32,
    /// Requests that may be in flight at once.
    pub in_flight: u32,
    /// When this VM stops using the grant.
    pub until: Millis,
    sent: Window,
    used: u32,
}

/// A grant request that awaits its reply.
#[derive(Clone, Debug)]
struct PendingRequest {
    number: u64,
    issuer: VmName,
    at: Millis,
}

/// All grants held by one VM.
#[derive(Clone, Debug)]
pub struct Holder {
    tuning: Tuning,
    vm: VmName,
    incarnation: Incarnation,
    held: BTreeMap<PlaceName, HeldGrant>,
    pending: BTreeMap<DomainName, PendingRequest>,
    next_request: u64,
}

impl Holder {
    /// Creates a holder without grants.
    pub fn new(vm: VmName, incarnation: Incarnation, tuning: Tuning) -> Self {
        Self {
            tuning,
            vm,
            incarnation,
            held: BTreeMap::new(),
            pending: BTreeMap::new(),
            next_request: 1,
        }
    }

    /// Records that `issuer` in `domain` is about to be asked, and returns the number of the
    /// request. A reply to an earlier request to that failure domain is no longer accepted.
    pub fn start_request(&mut self, domain: &DomainName, issuer: &VmName, now: Millis) -> u64 {
        let number = self.next_request;
        self.next_request += 1;
        let ask = PendingRequest {
            number,
            issuer: issuer.clone(),
            at: now,
        };
        self.pending.insert(domain.clone(), ask);
        number
    }

    /// Returns when `domain` was last asked, if the reply is still outstanding.
    pub fn requested_at(&self, domain: &DomainName) -> Option<Millis> {
        self.pending.get(domain).map(|ask| ask.at)
    }

    /// Builds the request for one place, including the grant of `issuer` that this VM holds, and
    /// lowers that grant to what is still wanted.
    ///
    /// The grant is lowered permanently and before the request is sent, so that the issuer can
    /// lend the rest to another holder as soon as it reads the request.
    pub fn place_request(
        &mut self,
        place: &PlaceName,
        issuer: &VmName,
        rate: u32,
        in_flight: u32,
    ) -> PlaceRequest {
        let mut want = PlaceRequest {
            place: place.clone(),
            rate,
            in_flight,
            holds: 0,
            keep_rate: 0,
            keep_in_flight: 0,
        };
        let issuer_run = self.incarnation_of(issuer);
        if let Some(held) = self.held.get_mut(place).filter(|h| h.issuer == *issuer) {
            held.rate = held.rate.min(rate);
            held.in_flight = held.in_flight.min(in_flight);
            // The request names one incarnation of the issuer; sequence numbers of another one
            // have no meaning.
            if Some(held.issuer_incarnation) == issuer_run {
                want.holds = held.seq;
                want.keep_rate = held.rate;
                want.keep_in_flight = held.in_flight;
            }
        }
        want
    }

    /// Returns the incarnation of this VM.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the incarnation of `issuer` whose grants this VM holds.
    pub fn incarnation_of(&self, issuer: &VmName) -> Option<Incarnation> {
        let mut of_issuer = self.held.values().filter(|h| h.issuer == *issuer);
        of_issuer.next().map(|h| h.issuer_incarnation)
    }

    /// Applies the reply to a grant request and returns whether it was accepted.
    ///
    /// Guards against replies that come late, twice or out of order: only the newest request to a
    /// failure domain is answered, the term counts from before that request was sent, and a grant
    /// never replaces a newer one of the same incarnation. A reply to an earlier incarnation of
    /// this VM may carry the same number; the incarnation in the reply tells them apart.
    pub fn accept_reply(&mut self, domain: &DomainName, reply: &GrantReply, now: Millis) -> bool {
        let pending = self.pending.get(domain);
        let Some(ask) = pending.filter(|a| a.number == reply.ask && a.issuer == reply.issuer)
        else {
            return false;
        };
        if reply.holder_incarnation != self.incarnation {
            return false;
        }
        let until = ask.at + reply.term.min(self.tuning.term) - self.tuning.margin;
        self.pending.remove(domain);
        if until <= now {
            return false;
        }
        for grant in &reply.grants {
            let old = self.held.remove(&grant.place);
            let newer = old.as_ref().is_some_and(|h| {
                h.issuer == reply.issuer
                    && h.issuer_incarnation == reply.issuer_incarnation
                    && h.seq >= grant.seq
            });
            if let Some(old) = old.clone().filter(|_| newer) {
                self.held.insert(grant.place.clone(), old);
                continue;
            }
            // Guards against a burst: consecutive grants, also from one issuer to another and
            // back, would each allow their full rate within the same second. So requests already
            // sent or in flight count against the next grant too.
            let (sent, used) = old.map_or_else(|| (self.new_window(), 0), |h| (h.sent, h.used));
            let held = HeldGrant {
                issuer: reply.issuer.clone(),
                issuer_incarnation: reply.issuer_incarnation,
                seq: grant.seq,
                rate: grant.rate,
                in_flight: grant.in_flight,
                until,
                sent,
                used,
            };
            self.held.insert(grant.place.clone(), held);
        }
        true
    }

    /// Drops the request to `domain`, whose reply is no longer expected.
    pub fn abandon_request(&mut self, domain: &DomainName) {
        self.pending.remove(domain);
    }

    /// Returns the grant for `place` if it is usable at `now`.
    pub fn live_grant(&self, place: &PlaceName, now: Millis) -> Option<&HeldGrant> {
        self.held.get(place).filter(|h| h.until > now && h.rate > 0)
    }

    /// Returns how many requests to `place` may still start in the window at `now`, after setting
    /// aside `committed` requests per second for callers with cached answers.
    pub fn available(&self, place: &PlaceName, committed: u32, now: Millis) -> u32 {
        self.live_grant(place, now).map_or(0, |h| {
            let rate = h.rate.saturating_sub(committed);
            let left = rate.saturating_sub(h.sent.peek(now));
            left.min(h.in_flight.saturating_sub(h.used))
        })
    }

    /// Counts a request to `place` and returns the token to send with it, or `None` if the grant
    /// has no room.
    pub fn record_send(
        &mut self,
        place: &PlaceName,
        committed: u32,
        now: Millis,
    ) -> Option<GrantToken> {
        if self.available(place, committed, now) == 0 {
            return None;
        }
        let held = self.held.get_mut(place)?;
        held.sent.count(now);
        held.sent.add(now);
        held.used += 1;
        Some(self.token(place)?.clone())
    }

    /// Returns the token to send with requests under the grant for `place`.
    pub fn token(&self, place: &PlaceName) -> Option<GrantToken> {
        let held = self.held.get(place)?;
        Some(GrantToken {
            issuer: held.issuer.clone(),
            issuer_incarnation: held.issuer_incarnation,
            holder: self.vm.clone(),
            holder_incarnation: self.incarnation,
            place: place.clone(),
            seq: held.seq,
        })
    }

    /// Counts the end of a request sent under `token`.
    pub fn finish(&mut self, token: &GrantToken) {
        if let Some(held) = self.held.get_mut(&token.place) {
            held.used = held.used.saturating_sub(1);
        }
    }

    /// Returns when the next request to `place` may start, or `None` without a usable grant.
    pub fn free_at(&self, place: &PlaceName, now: Millis) -> Option<Millis> {
        let held = self.live_grant(place, now)?;
        Some(held.sent.free_at(held.rate, now))
    }

    /// Returns all grants held, with their places.
    pub fn grants(&self) -> impl Iterator<Item = (&PlaceName, &HeldGrant)> {
        self.held.iter()
    }

    /// Removes expired grants that have nothing in flight and sent nothing in this window.
    pub fn tick(&mut self, now: Millis) {
        self.held
            .retain(|_, h| h.until > now || h.used > 0 || h.sent.count(now) > 0);
    }

    fn new_window(&self) -> Window {
        Window::new(self.tuning.window, self.tuning.window_grain)
    }
}

impl HeldGrant {
    /// Returns the requests in flight under this grant.
    pub fn used(&self) -> u32 {
        self.used
    }

    /// Returns the requests sent in the last window.
    pub fn sent(&self, now: Millis) -> u32 {
        self.sent.peek(now)
    }
}
