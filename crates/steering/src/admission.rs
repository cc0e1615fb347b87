//! Admission of requests: run here, relay to another VM, wait or refuse.

use std::sync::Arc;

use heatherknot_types::plan::{Cap, ServicePlan};
use heatherknot_types::prelude::*;

use crate::fair_share::{FairShare, Share};
use crate::issuer::{HolderKey, LimitReached, ScopeName};
use crate::messages::GrantToken;
use crate::steering::{Steering, shares_at};
use crate::upstream::RequestOutcome;
use crate::verdict::{Arrival, RefusalReason, Ticket, Verdict};

/// Delay before a request that found no free slot, or too many requests in flight, tries again.
const BUSY_RETRY_DELAY: Millis = Millis(20);
/// Shortest retry-after time sent with a refusal.
const MIN_RETRY_AFTER: Millis = Millis(200);
/// Retry-after time sent when no place can take the service.
const NO_PLACE_RETRY_AFTER: Millis = Millis(2_000);
/// Fraction of the usual latency that must be left before the deadline for a request to be
/// started.
const MIN_TIME_FRACTION: f64 = 0.5;
/// Rates at or below this count as zero, in requests per second.
const NEGLIGIBLE_RATE: f64 = 0.01;
/// Weight of a new sample in the moving averages of latency.
const LATENCY_GAIN: f64 = 0.05;

/// A request in progress and what it reserves.
#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    service: ServiceName,
    account: AccountName,
    started: Millis,
    /// When it was sent to its backend server.
    sent: Option<Millis>,
    place: PlaceName,
    reservation: Reservation,
}

#[derive(Clone, Debug)]
enum Reservation {
    Local {
        upstream: UpstreamName,
    },
    Granted {
        key: HolderKey,
        upstream: UpstreamName,
    },
    Relayed {
        token: GrantToken,
    },
}

/// Why one place cannot take a request now, and until when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Blocked {
    reason: RefusalReason,
    until: Millis,
}

impl Steering {
    /// Decides whether a request runs here, is relayed, waits or is refused.
    pub fn admit(&mut self, req: &Arrival, rng: &mut fastrand::Rng, now: Millis) -> Verdict {
        let plan = Arc::clone(&self.plan);
        let Some(service) = plan.services.get(&req.service) else {
            return refuse(RefusalReason::UnknownService, NO_PLACE_RETRY_AFTER);
        };
        if !self.has_time_left(req) {
            return refuse(RefusalReason::Deadline, MIN_RETRY_AFTER);
        }
        let found = match &req.grant {
            Some(token) => self.admit_granted(req, service, token, rng, now),
            None => self.admit_direct(req, service, rng, now),
        };
        found.unwrap_or_else(|blocked| self.wait_or_refuse(req, blocked, rng, now))
    }

    /// Counts the demand of a request that has joined a queue, or found it full. Its later
    /// [`Arrival`], if there is one, is marked as having waited.
    ///
    /// Guards against a VM whose queue is always full: if only the requests that leave the queue
    /// counted as demand, the demand would equal what is served, and no more capacity would be
    /// requested from other failure domains.
    pub fn on_queued(&mut self, req: &Arrival, rng: &mut fastrand::Rng, now: Millis) {
        let plan = Arc::clone(&self.plan);
        let Some(service) = plan.services.get(&req.service) else {
            return;
        };
        if req.attempt > 0 || req.waited {
            return;
        }
        if let Some(token) = &req.grant {
            if let Some(state) = self.places.get_mut(&token.place) {
                state.fair_share.demand(&service.account, req.class, now);
            }
            return;
        }
        if let Some(state) = self.services.get_mut(&req.service) {
            state.demand.add(1);
        }
        let place_order = self.place_order(&req.service, rng);
        self.count_account_demand(req, service, &place_order, now);
        let first = place_order.first().and_then(|p| self.places.get_mut(p));
        if let Some(state) = first {
            state.local_demand.add(1);
        }
    }

    fn admit_direct(
        &mut self,
        req: &Arrival,
        service: &ServicePlan,
        rng: &mut fastrand::Rng,
        now: Millis,
    ) -> Result<Verdict, Blocked> {
        let first = req.attempt == 0 && !req.waited;
        if first && let Some(state) = self.services.get_mut(&req.service) {
            state.demand.add(1);
        }
        let place_order = self.place_order(&req.service, rng);
        if first {
            self.count_account_demand(req, service, &place_order, now);
        }
        let mut blocked = Blocked {
            reason: RefusalReason::NoUpstream,
            until: now + NO_PLACE_RETRY_AFTER,
        };
        for place in place_order {
            let result = if self.is_local(&place) {
                self.try_local(req, service, &place, rng, now)
            } else {
                self.try_relay(req, service, &place, now)
            };
            match result {
                Ok(verdict) => return Ok(verdict),
                Err(b) => blocked = preferred_block(blocked, b),
            }
        }
        Err(blocked)
    }

    /// Returns the places to try: the first drawn at random in proportion to the weights, the
    /// others by descending weight.
    fn place_order(&self, service: &ServiceName, rng: &mut fastrand::Rng) -> Vec<PlaceName> {
        let Some(state) = self.services.get(service) else {
            return Vec::new();
        };
        let mut rates: Vec<(PlaceName, f64)> = state.relay.clone();
        let sum: f64 = rates.iter().map(|(_, rate)| rate).sum();
        let mut left = rng.f64() * sum;
        let picked = rates.iter().position(|(_, rate)| {
            left -= rate;
            left < 0.0
        });
        let first = picked.map(|at| rates.remove(at).0);
        rates.sort_by(|a, b| b.1.total_cmp(&a.1));
        // Guards against a drain that never ends: while the other places are briefly full, single
        // requests would fall back to the draining place, which no longer has a share.
        let open = |(place, rate): &(PlaceName, f64)| {
            self.reports.usable(place) && (*rate > NEGLIGIBLE_RATE || !self.draining(place))
        };
        let rest = rates.into_iter().filter(open).map(|(place, _)| place);
        first.into_iter().chain(rest).collect()
    }

    /// Counts the account's demand at the first local place in the order.
    fn count_account_demand(
        &mut self,
        req: &Arrival,
        service: &ServicePlan,
        place_order: &[PlaceName],
        now: Millis,
    ) {
        let local = place_order.iter().find(|p| self.places.contains_key(*p));
        if let Some(state) = local.and_then(|p| self.places.get_mut(p)) {
            state.fair_share.demand(&service.account, req.class, now);
        }
    }

    fn try_local(
        &mut self,
        req: &Arrival,
        service: &ServicePlan,
        place: &PlaceName,
        rng: &mut fastrand::Rng,
        now: Millis,
    ) -> Result<Verdict, Blocked> {
        let limit = self.issuer.local_limit(place, now);
        self.check_share(req, service, place, limit, now)?;
        // The issuer keeps capacity for this demand. Demand above the account's share is excluded,
        // so that a surge here does not take capacity from callers elsewhere.
        if !req.waited
            && let Some(state) = self.places.get_mut(place)
        {
            state.local_demand.add(1);
        }
        let upstream = self.pick_upstream(req, service, place, rng, now)?;
        self.issuer
            .check_local(place, now)
            .map_err(|reached| blocked_by(&reached, now))?;
        self.charge_retry(req, service, place, now)?;
        self.issuer.start_local(place, now);
        Ok(self.start(
            req,
            service,
            place,
            upstream,
            |upstream| Reservation::Local { upstream },
            now,
        ))
    }

    fn admit_granted(
        &mut self,
        req: &Arrival,
        service: &ServicePlan,
        token: &GrantToken,
        rng: &mut fastrand::Rng,
        now: Millis,
    ) -> Result<Verdict, Blocked> {
        let place = &token.place;
        if !self.is_local(place) || !service.upstreams.iter().any(|u| u.place == *place) {
            return Err(unavailable(RefusalReason::Grant, now));
        }
        if !req.waited
            && let Some(state) = self.places.get_mut(place)
        {
            state.fair_share.demand(&service.account, req.class, now);
        }
        let key = self
            .issuer
            .check_granted(token, now)
            .map_err(|reached| blocked_by(&reached, now))?;
        let upstream = self.pick_upstream(req, service, place, rng, now)?;
        let limit = self.issuer.usable_in(&ScopeName::Place(place.clone()));
        self.check_share(req, service, place, limit, now)?;
        self.issuer.start_granted(&key, now);
        let reservation = |upstream| Reservation::Granted { key, upstream };
        Ok(self.start(req, service, place, upstream, reservation, now))
    }

    fn try_relay(
        &mut self,
        req: &Arrival,
        service: &ServicePlan,
        place: &PlaceName,
        now: Millis,
    ) -> Result<Verdict, Blocked> {
        let Some(held) = self.holder.live_grant(place, now) else {
            return Err(unavailable(RefusalReason::Cap, now));
        };
        let limit = Cap {
            per_second: held.rate,
            in_flight: held.in_flight,
        };
        let domain = self.plan.places.get(place).map(|p| p.domain.clone());
        let delay = domain.map_or(Millis(0), |d| self.delay_to(&d));
        if req.deadline.0 <= 2 * delay.0 {
            return Err(unavailable(RefusalReason::Deadline, now));
        }
        let committed = self.committed_rate(place, now).ceil() as u32;
        let fair_share = self.remote_shares(place);
        if !req.waited {
            fair_share.demand(&service.account, req.class, now);
        }
        if fair_share.check(&service.account, req.class, limit, now) == Share::Exceeded {
            return Err(Blocked {
                reason: RefusalReason::AccountShare,
                until: now + BUSY_RETRY_DELAY,
            });
        }
        if self.holder.available(place, committed, now) == 0 {
            let until = self.holder.free_at(place, now).unwrap_or(now);
            let until = until.max(now + BUSY_RETRY_DELAY);
            return Err(Blocked {
                reason: RefusalReason::Cap,
                until,
            });
        }
        self.charge_retry(req, service, place, now)?;
        let Some(token) = self.holder.record_send(place, committed, now) else {
            return Err(unavailable(RefusalReason::Cap, now));
        };
        self.remote_shares(place)
            .start(&service.account, req.class, now);
        let vm = token.issuer.clone();
        let ticket = self.tickets.insert(InFlight {
            service: req.service.clone(),
            account: service.account.clone(),
            started: now,
            sent: None,
            place: place.clone(),
            reservation: Reservation::Relayed {
                token: token.clone(),
            },
        });
        Ok(Verdict::Relay { ticket, vm, token })
    }

    fn remote_shares(&mut self, place: &PlaceName) -> &mut FairShare {
        if !self.remote_shares.contains_key(place) {
            let mut fair_share = FairShare::new(self.tuning);
            fair_share.set_shares(&shares_at(&self.plan, place));
            self.remote_shares.insert(place.clone(), fair_share);
        }
        self.remote_shares.get_mut(place).expect("inserted above")
    }

    fn pick_upstream(
        &mut self,
        req: &Arrival,
        service: &ServicePlan,
        place: &PlaceName,
        rng: &mut fastrand::Rng,
        now: Millis,
    ) -> Result<UpstreamName, Blocked> {
        let step = self.growth_step(service, place);
        if let Some(state) = self.places.get_mut(place)
            && let Some(warm_up) = state.warm_up.get_mut(&req.service)
            && !warm_up.fits(step, now)
        {
            return Err(Blocked {
                reason: RefusalReason::Cap,
                until: warm_up.free_at(step, now),
            });
        }
        let tuning = &self.tuning;
        let picked = self
            .upstreams
            .pick(&req.service, place, req.class, tuning, rng, now);
        if let Some(upstream) = picked {
            return Ok(upstream.plan().name.clone());
        }
        if self.upstreams.any_usable(&req.service, place, now) {
            return Err(Blocked {
                reason: RefusalReason::Busy,
                until: now + BUSY_RETRY_DELAY,
            });
        }
        Err(unavailable(RefusalReason::NoUpstream, now))
    }

    fn check_share(
        &mut self,
        req: &Arrival,
        service: &ServicePlan,
        place: &PlaceName,
        limit: Cap,
        now: Millis,
    ) -> Result<(), Blocked> {
        let Some(state) = self.places.get_mut(place) else {
            return Err(unavailable(RefusalReason::NoUpstream, now));
        };
        if state
            .fair_share
            .check(&service.account, req.class, limit, now)
            != Share::Exceeded
        {
            return Ok(());
        }
        Err(Blocked {
            reason: RefusalReason::AccountShare,
            until: now + BUSY_RETRY_DELAY,
        })
    }

    fn charge_retry(
        &mut self,
        req: &Arrival,
        service: &ServicePlan,
        place: &PlaceName,
        now: Millis,
    ) -> Result<(), Blocked> {
        let key = (req.service.clone(), place.clone());
        let budget = self.retries.entry(key).or_default();
        if req.attempt == 0 {
            budget.record_first_try(now);
            return Ok(());
        }
        if budget.take(service.retry_permille, now) {
            return Ok(());
        }
        Err(unavailable(RefusalReason::RetryBudget, now))
    }

    fn start(
        &mut self,
        req: &Arrival,
        service: &ServicePlan,
        place: &PlaceName,
        upstream: UpstreamName,
        reservation: impl FnOnce(UpstreamName) -> Reservation,
        now: Millis,
    ) -> Verdict {
        self.upstreams.start(&req.service, &upstream);
        if let Some(state) = self.places.get_mut(place) {
            state.fair_share.start(&service.account, req.class, now);
            if let Some(warm_up) = state.warm_up.get_mut(&req.service) {
                warm_up.start(now);
            }
        }
        let ticket = self.tickets.insert(InFlight {
            service: req.service.clone(),
            account: service.account.clone(),
            started: now,
            sent: None,
            place: place.clone(),
            reservation: reservation(upstream.clone()),
        });
        Verdict::Run {
            ticket,
            place: place.clone(),
            upstream,
        }
    }

    /// Moves a request to another upstream of its place than the one in [`Verdict::Run`], for
    /// example if that one had no free slot.
    pub fn reassign(&mut self, ticket: Ticket, to: &UpstreamName) {
        let Some(request) = self.tickets.get_mut(ticket) else {
            return;
        };
        let (Reservation::Local { upstream } | Reservation::Granted { upstream, .. }) =
            &mut request.reservation
        else {
            return;
        };
        let from = std::mem::replace(upstream, to.clone());
        self.upstreams.reassign(&request.service, &from, to);
    }

    /// Records that a request has its slot and is about to be sent, and returns whether the time
    /// `left` covers the usual service time.
    ///
    /// Guards against a place that stays unusable after a brief overload: requests that waited too
    /// long for a slot would occupy it until their deadline, and each would count as a failure of
    /// its backend server, which would then be ejected although it is healthy.
    pub fn begin_send(&mut self, ticket: Ticket, left: Millis, now: Millis) -> bool {
        let Some(request) = self.tickets.get_mut(ticket) else {
            return false;
        };
        request.sent = Some(now);
        let state = self.services.get(&request.service);
        left.0 as f64 >= state.map_or(0.0, |s| s.service_time_ms).floor()
    }

    /// Records the end of a request. A ticket that was already finished is ignored.
    pub fn finish(&mut self, ticket: Ticket, outcome: RequestOutcome, now: Millis) {
        let Some(done) = self.tickets.remove(ticket) else {
            return;
        };
        match &done.reservation {
            Reservation::Local { upstream } => {
                self.issuer.finish_local(&done.place);
                self.finish_local_run(&done, upstream, outcome, now);
            }
            Reservation::Granted { key, upstream } => {
                self.issuer.finish_granted(key);
                self.finish_local_run(&done, upstream, outcome, now);
            }
            Reservation::Relayed { token } => {
                self.holder.finish(token);
                self.remote_shares(&done.place).finish(&done.account);
            }
        }
        self.reports.record_outcome(&done.place, outcome, now);
        if outcome == RequestOutcome::Shed {
            let until = now + self.tuning.shed_pause;
            let key = (done.service.clone(), done.place.clone());
            self.retries.entry(key).or_default().set_overloaded(until);
        }
        if outcome == RequestOutcome::Good
            && let Some(state) = self.services.get_mut(&done.service)
        {
            let took = now.since(done.started).0 as f64;
            state.latency_ms += (took - state.latency_ms) * LATENCY_GAIN;
            if let Some(sent) = done.sent {
                let ran = now.since(sent).0 as f64;
                state.service_time_ms += (ran - state.service_time_ms) * LATENCY_GAIN;
            }
        }
    }

    fn finish_local_run(
        &mut self,
        done: &InFlight,
        upstream: &UpstreamName,
        outcome: RequestOutcome,
        now: Millis,
    ) {
        self.upstreams
            .finish(&done.service, upstream, outcome, &self.tuning, now);
        if let Some(state) = self.places.get_mut(&done.place) {
            state.fair_share.finish(&done.account);
        }
    }

    fn has_time_left(&self, req: &Arrival) -> bool {
        let usual = self
            .services
            .get(&req.service)
            .map_or(0.0, |s| s.latency_ms);
        req.deadline.0 > 0 && req.deadline.0 as f64 >= usual * MIN_TIME_FRACTION
    }

    /// Lets a request wait if capacity is expected before its deadline. A refused request gets a
    /// retry-after time with random jitter, so that refused callers do not all return at once.
    fn wait_or_refuse(
        &mut self,
        req: &Arrival,
        blocked: Blocked,
        rng: &mut fastrand::Rng,
        now: Millis,
    ) -> Verdict {
        let wait = blocked.until.since(now).max(Millis(1));
        // An account that has used all it may borrow waits in the bounded queue of its service
        // like any other request. If refused at once, an account alone at a place would lose
        // requests whenever its requests in flight reach what is reserved for others, although
        // capacity is free a few milliseconds later.
        let may_wait = matches!(
            blocked.reason,
            RefusalReason::Cap | RefusalReason::Busy | RefusalReason::AccountShare
        );
        if may_wait && wait < req.deadline && wait <= self.tuning.max_wait {
            return Verdict::Wait { until: now + wait };
        }
        let least = wait.max(MIN_RETRY_AFTER);
        let jitter = rng.u64(0..=least.0 / 2);
        refuse(blocked.reason, least + Millis(jitter))
    }
}

fn refuse(reason: RefusalReason, retry_after: Millis) -> Verdict {
    Verdict::Refuse {
        reason,
        retry_after,
    }
}

fn unavailable(reason: RefusalReason, now: Millis) -> Blocked {
    Blocked {
        reason,
        until: now + NO_PLACE_RETRY_AFTER,
    }
}

fn blocked_by(reached: &LimitReached, now: Millis) -> Blocked {
    match reached {
        LimitReached::Rate(_, until) => Blocked {
            reason: RefusalReason::Cap,
            until: *until,
        },
        LimitReached::InFlight(_) | LimitReached::GrantExhausted => Blocked {
            reason: RefusalReason::Cap,
            until: now + BUSY_RETRY_DELAY,
        },
        LimitReached::NoGrant => unavailable(RefusalReason::Grant, now),
    }
}

/// Returns the block that ends first. A block for exceeding the account's share takes precedence,
/// and a block for a missing upstream gives way to any later one.
fn preferred_block(a: Blocked, b: Blocked) -> Blocked {
    let over = |x: &Blocked| x.reason == RefusalReason::AccountShare;
    match (over(&a), over(&b)) {
        (true, false) => a,
        (false, true) => b,
        _ if b.until < a.until || a.reason == RefusalReason::NoUpstream => b,
        _ => a,
    }
}
