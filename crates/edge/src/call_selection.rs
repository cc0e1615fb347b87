//! Selects the backend server of a request by what this VM knows, or refuses the request
//! immediately.

use std::rc::Rc;

use heatherknot_types::hash;
use heatherknot_types::prelude::*;

use crate::accounts::AllowedRegions;
use crate::admission::control::RejectCause;
use crate::admission::gate::{self, Rejection};
use crate::admission::returns;
use crate::call::Call;
use crate::context::EdgeContext;
use crate::hand_over;
use crate::request_limit::issuer::permits_per_second;
use crate::request_work;
use crate::rollout::state::VersionChoice;
use crate::selection::{self, Candidate, Locality, SelectionParams, select};
use crate::switches::Mechanism;
use crate::upstream::Upstream;

/// `retry-after` where no better estimate exists.
const DEFAULT_RETRY_AFTER: Millis = Millis(500);
/// Fraction of the time left beyond which a response is not expected to be of use.
const USEFUL_FRACTION: f64 = 0.95;

/// How far beyond the latency target a request may be expected to finish at a server of whose load
/// nothing recent is known, as a fraction of the target.
const STALE_LOAD_TOLERANCE: f64 = 0.6;

/// Why a request is refused, and when the caller may retry.
pub(crate) struct Refusal {
    pub(crate) cause: &'static str,
    pub(crate) retry_after: Millis,
    /// The best available server, if it was expected to respond too late.
    pub(crate) best: Option<Candidate>,
    /// Who chooses the time told to the caller.
    pub(crate) return_time: ReturnTime,
    /// What kept the request from a server that is otherwise available.
    pub(crate) held_back: Option<HeldBack>,
    /// Whether this VM reaches less than half of the servers that may run the request, so that
    /// another VM might serve it.
    pub(crate) is_cut_off: bool,
}

/// How the time told to a refused caller is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReturnTime {
    /// It is that of the refusal.
    Stated,
    /// It is reserved for the caller if servers are busy or rejected the request.
    ToReserve,
    /// It is the rest of the time until the caller's reservation.
    Kept,
}

/// What keeps a request from a server.
#[derive(Clone, Debug)]
pub(crate) enum HeldBack {
    /// The server's request limit.
    Limit(UpstreamName, f64),
    /// The server's backoff, which is the first to end, and the rest of it.
    Backoff(UpstreamName, Millis),
    /// The admission to busy servers.
    Admission(Box<Rejection>),
}

impl Refusal {
    /// Refuses a request that is suspected of crashing servers.
    pub(crate) fn suspected(cause: &'static str, retry_after: Millis) -> Self {
        refuse(cause, retry_after)
    }

    pub(crate) fn caller_disconnected() -> Self {
        refuse("the caller has disconnected", DEFAULT_RETRY_AFTER)
    }

    pub(crate) fn no_more_sends() -> Self {
        Self {
            return_time: ReturnTime::ToReserve,
            ..refuse("no further send is allowed", DEFAULT_RETRY_AFTER)
        }
    }

    /// Refuses a caller that returns before the time reserved for it, which is `left` away.
    pub(crate) fn early_return(left: Millis) -> Self {
        Self {
            return_time: ReturnTime::Kept,
            ..refuse("the caller returned before its time", left)
        }
    }

    /// Refuses a request that was sent to as many unreachable servers as it may be.
    pub(crate) fn unreachable() -> Self {
        Self {
            is_cut_off: true,
            return_time: ReturnTime::Stated,
            ..Self::no_more_sends()
        }
    }
}

/// The servers that a request may not be sent to.
pub(crate) struct Exclusions<'a> {
    /// Servers that it was already sent to.
    pub(crate) tried: &'a [UpstreamName],
    /// Whether servers with a request limit are excluded.
    pub(crate) limited: bool,
    /// Whether servers that this VM can't reach are excluded.
    pub(crate) unreachable: bool,
}

impl Exclusions<'_> {
    /// Returns whether a server's request limit or backoff keeps the request from it.
    fn is_held_back(&self, upstream: &Upstream, now: Millis) -> bool {
        let is_over_limit = self.limited && upstream.is_limited();
        is_over_limit || upstream.is_blocked_by_limit(now) || upstream.is_backed_off(now)
    }
}

/// Selects the server for a request that may not be sent to the servers in `excluded`.
///
/// # Errors
///
/// Returns a refusal if no server can be expected to answer in time.
pub(crate) fn select_or_refuse(
    cx: &EdgeContext,
    call: &Call,
    excluded: &Exclusions<'_>,
) -> Result<Candidate, Refusal> {
    let now = cx.now();
    let left = call.time_left(now);
    if left.0 == 0 {
        return Err(refuse("the time ran out", DEFAULT_RETRY_AFTER));
    }
    let candidates = candidates(cx, call, excluded, now);
    let is_home = |u: &Upstream| is_home(cx, u);
    // A retry leaves its object where it is placed.
    let may_place_object =
        excluded.tried.is_empty() && !call.is_isolated && hand_over::may_place_object(cx, call);
    let params = SelectionParams {
        placement: may_place_object.then_some(&call.state.placement),
        ..selection_params(cx, call, now, &is_home)
    };
    let locality = locality(cx, call);
    let best = request_work::with_service_times(cx, call, |times| {
        select(&params, &candidates, times, locality)
    });
    let Some(best) = best else {
        let held_back = limit_refusal(cx, call, excluded, now)
            .or_else(|| backoff_refusal(cx, call, excluded, now));
        return Err(held_back.unwrap_or_else(|| no_server(cx, call, excluded)));
    };
    // A response after the latency target is worth little, and the work on it would make the next
    // requests late as well. A request that would have to wait that long is refused at once.
    let spent = now.since(call.started).0 as f64;
    let returning_ms = returns::expected_wait_ms(cx, call, &best);
    let target_ms = max_completion_ms(cx, call, &best, now) - returning_ms;
    // A caller that returns in its time gives up if it is refused again.
    let is_late = !call.is_returning && best.response_ms + spent > target_ms;
    // A free server gets the request even if it is expected to finish late: the estimate may stem
    // from other routes' requests, and a refusal would leave the server idle.
    let useful_ms = left.0 as f64 * USEFUL_FRACTION;
    let is_useless = best.response_ms > useful_ms;
    // A retry was admitted before.
    if gate::is_on(cx) && excluded.tried.is_empty() {
        return match gate::check(cx, call, &best, target_ms, useful_ms) {
            Ok(()) => Ok(best),
            Err(rejection) => Err(Refusal {
                cause: rejection.cause.text(),
                held_back: Some(HeldBack::Admission(rejection)),
                ..busy(cx, call, excluded, best)
            }),
        };
    }
    if !best.has_free_slot && (is_late || is_useless) && cx.switches.is_on(Mechanism::Refusal) {
        return Err(busy(cx, call, excluded, best));
    }
    Ok(best)
}

/// Refuses a request whose best server is busy.
fn busy(cx: &EdgeContext, call: &Call, excluded: &Exclusions<'_>, best: Candidate) -> Refusal {
    let left = call.time_left(cx.now());
    let wait = (best.response_ms - best.service_ms).max(0.0);
    let retry_after = Millis(wait as u64).min(Millis(left.0 / 3));
    Refusal {
        best: Some(best),
        return_time: ReturnTime::ToReserve,
        is_cut_off: is_cut_off(cx, call, excluded),
        ..refuse(RejectCause::Busy.text(), retry_after)
    }
}

/// Refuses a request that no server can get.
fn no_server(cx: &EdgeContext, call: &Call, excluded: &Exclusions<'_>) -> Refusal {
    match is_cut_off(cx, call, excluded) {
        true => Refusal {
            is_cut_off: true,
            ..refuse("no backend server can be reached", DEFAULT_RETRY_AFTER)
        },
        false => Refusal {
            return_time: ReturnTime::ToReserve,
            ..refuse("no backend server can take it", DEFAULT_RETRY_AFTER)
        },
    }
}

/// Returns whether this VM reaches less than half of the servers that may run the request.
fn is_cut_off(cx: &EdgeContext, call: &Call, excluded: &Exclusions<'_>) -> bool {
    let now = cx.now();
    let all = cx.routing_state.borrow().upstreams(&call.service);
    if all.iter().all(|u| u.is_reachable(now)) {
        return false;
    }
    let count = |unreachable| {
        let excluded = Exclusions {
            unreachable,
            ..*excluded
        };
        let choices = version_choices(cx, call, excluded.tried).into_iter();
        let servers = choices.map(|choice| eligible(cx, call, &excluded, choice, now, |_| true));
        servers.map(|servers| servers.len()).sum::<usize>()
    };
    2 * count(true) < count(false)
}

/// Returns the server that gets a request while that server has capacity, or `None` if no warm
/// server that this VM reaches may get it. All VMs that reach it compute the same one.
pub(crate) fn first_ranked(cx: &EdgeContext, call: &Call) -> Option<Rc<Upstream>> {
    first_ranked_except(cx, call, true)
}

/// Returns the server that gets a request while that server has capacity, whether or not this VM
/// reaches it.
pub(crate) fn first_ranked_anywhere(cx: &EdgeContext, call: &Call) -> Option<Rc<Upstream>> {
    first_ranked_except(cx, call, false)
}

fn first_ranked_except(cx: &EdgeContext, call: &Call, unreachable: bool) -> Option<Rc<Upstream>> {
    let now = cx.now();
    let excluded = Exclusions {
        tried: &[],
        limited: false,
        unreachable,
    };
    let warm = warm_candidates(cx, call, &excluded, now);
    let is_home = |u: &Upstream| is_home(cx, u);
    selection::first_ranked(
        &selection_params(cx, call, now, &is_home),
        &warm,
        locality(cx, call),
    )
}

fn selection_params<'a>(
    cx: &'a EdgeContext,
    call: &'a Call,
    now: Millis,
    is_home: &'a dyn Fn(&Upstream) -> bool,
) -> SelectionParams<'a> {
    SelectionParams {
        object: call.object,
        sticky: call.route.sticky,
        region: &cx.region,
        domain: &cx.cfg.domain,
        latency_target: call.route.latency_target,
        time_left: call.time_left(now),
        now,
        is_region_restricted: call.regions != AllowedRegions::Any,
        switches: cx.switches,
        assigned: call.assigned_server.as_ref().filter(|_| !call.is_isolated),
        is_home,
        placement: None,
        work: request_work::knows_work(cx).then(|| {
            let other_load = call.state.service_times.typical_other_load(now);
            call.state.work.estimate(other_load)
        }),
    }
}

/// Returns whether this VM is the home VM of a server.
fn is_home(cx: &EdgeContext, upstream: &Upstream) -> bool {
    let is_here = upstream.domain == cx.cfg.domain;
    is_here
        && cx
            .homes
            .home_of(upstream, &cx.vms.borrow())
            .is_some_and(|home| home.vm == cx.cfg.vm)
}

/// Returns where the object of a request is served. A request that was handed over is served in the
/// region of its server's home VM, as the other VM has decided.
fn locality(cx: &EdgeContext, call: &Call) -> Locality {
    if call.is_isolated {
        return Locality::AnyRegion;
    }
    if call.assigned_server.is_some() {
        return Locality::Region;
    }
    call.state.unrestricted_shares.mark_used();
    let route = cx.route(&call.route.name);
    route.locality_of(call.object, &call.state.spillover, cx.switches)
}

/// Returns the longest expected time to completion, in milliseconds, with which a request still
/// waits in a server's queue.
///
/// If nothing was heard of a server lately, its load is estimated by the average of all servers.
/// Without a tolerance, a VM would refuse everything as soon as that average is high, although many
/// servers are below it. In a large fleet each VM rarely hears of any one server.
fn max_completion_ms(cx: &EdgeContext, call: &Call, best: &Candidate, now: Millis) -> f64 {
    let uncertainty = match cx.switches.is_on(Mechanism::Doubt) {
        true => 1.0 - best.upstream.load_confidence(now),
        false => 0.0,
    };
    call.route.latency_target.0 as f64 * (1.0 + STALE_LOAD_TOLERANCE * uncertainty)
}

fn refuse(cause: &'static str, retry_after: Millis) -> Refusal {
    Refusal {
        cause,
        retry_after,
        best: None,
        return_time: ReturnTime::Stated,
        held_back: None,
        is_cut_off: false,
    }
}

/// Returns the servers that may get the request now.
fn candidates(
    cx: &EdgeContext,
    call: &Call,
    excluded: &Exclusions<'_>,
    now: Millis,
) -> Vec<Rc<Upstream>> {
    let warm = warm_candidates(cx, call, excluded, now);
    if !warm.is_empty() {
        return warm;
    }
    let choices = version_choices(cx, call, excluded.tried).into_iter();
    let is_free = |u: &Upstream| !excluded.is_held_back(u, now);
    let cold = choices.flat_map(|choice| eligible(cx, call, excluded, choice, now, is_free));
    let may = |u: &Rc<Upstream>| claim_cold_send(cx, call, u, now);
    cold.into_iter().find(may).into_iter().collect()
}

/// Returns the slots of the servers that may run the request and whose requests this VM handles: as
/// their home VM, or its equal part of all.
pub(crate) fn handled_slots(cx: &EdgeContext, call: &Call) -> f64 {
    let excluded = Exclusions {
        tried: &[],
        limited: false,
        unreachable: true,
    };
    let servers = warm_candidates(cx, call, &excluded, cx.now());
    let slots = |u: &Rc<Upstream>| f64::from(u.slots.get());
    let at_home = servers.iter().filter(|u| is_home(cx, u)).map(slots);
    let at_home = at_home.sum::<f64>();
    let uses_home = call.assigned_server.is_some() || hand_over::uses_home(cx, call);
    if uses_home && at_home > 0.0 {
        return at_home;
    }
    let vms = cx.vms.borrow().len().max(1) as f64;
    servers.iter().map(slots).sum::<f64>() / vms
}

/// Returns the versions that a request may be sent to, the preferred one first.
fn version_choices(cx: &EdgeContext, call: &Call, tried: &[UpstreamName]) -> Vec<VersionChoice> {
    let first = match tried.is_empty() {
        true => call.versions,
        false => cx.rollouts.choose_for_retry(&call.service, call.versions),
    };
    cx.rollouts.in_order(&call.service, first)
}

fn warm_candidates(
    cx: &EdgeContext,
    call: &Call,
    excluded: &Exclusions<'_>,
    now: Millis,
) -> Vec<Rc<Upstream>> {
    let choices = version_choices(cx, call, excluded.tried).into_iter();
    let is_free = |u: &Upstream| !u.is_cold(now) && !excluded.is_held_back(u, now);
    let warm = choices.map(|choice| eligible(cx, call, excluded, choice, now, is_free));
    let mut non_empty = warm.filter(|servers| !servers.is_empty());
    non_empty.next().unwrap_or_default()
}

/// Returns the servers matching `wanted` of the versions `choice` that may run the request and are
/// reachable.
fn eligible(
    cx: &EdgeContext,
    call: &Call,
    excluded: &Exclusions<'_>,
    choice: VersionChoice,
    now: Millis,
    wanted: impl Fn(&Upstream) -> bool,
) -> Vec<Rc<Upstream>> {
    let has_version = cx.rollouts.filter(&call.service, choice);
    let routing_state = cx.routing_state.borrow();
    let all = routing_state.upstreams(&call.service);
    let eligible = all.iter().filter(|u| {
        u.accepts_requests()
            && has_version(u)
            && wanted(u)
            && !routing_state.is_evacuated(&u.domain)
            && call.regions.allows(&u.region)
            && (!excluded.unreachable || u.is_reachable(now))
            && !excluded.tried.contains(&u.id)
    });
    eligible.cloned().collect()
}

/// Refuses a request that only request limits keep from being sent. Returns `None` if none does.
///
/// The callers that this VM refuses are to return at the rate at which it gets permits if all VMs
/// get as many.
fn limit_refusal(
    cx: &EdgeContext,
    call: &Call,
    excluded: &Exclusions<'_>,
    now: Millis,
) -> Option<Refusal> {
    let choices = version_choices(cx, call, excluded.tried).into_iter();
    let is_held_back = |u: &Upstream| excluded.is_held_back(u, now);
    let held_back =
        choices.flat_map(|choice| eligible(cx, call, excluded, choice, now, is_held_back));
    let limits = held_back.filter_map(|u| {
        let state = u.request_limit.borrow();
        let state = state.as_ref()?;
        let per_second = state.observed.per_second()?;
        Some((state.blocked_until(), per_second, u.id.clone()))
    });
    let limits: Vec<(Millis, f64, UpstreamName)> = limits.collect();
    let (first_at, per_second, first) = limits.iter().min_by_key(|(at, ..)| *at)?;
    let rates = limits
        .iter()
        .map(|(_, limit, _)| permits_per_second(*limit));
    let vms = cx.vms.borrow().len().max(1) as f64;
    let interval_ms = 1000.0 * vms / rates.sum::<f64>();
    let longest = Millis(call.time_left(now).0 / 3);
    let draw = cx.rng.borrow_mut().f64();
    let mut returns = call.state.limit_returns.borrow_mut();
    Some(Refusal {
        held_back: Some(HeldBack::Limit(first.clone(), *per_second)),
        ..refuse(
            "the request limits of the backend servers are used up",
            returns.next(first_at.since(now), longest, interval_ms, draw, now),
        )
    })
}

/// Refuses a request that only backoffs of the servers keep from being sent. Returns `None` if none
/// does.
///
/// The callers that this VM refuses are to return from the end of the first backoff on, at this VM's
/// equal part of the rate at which the servers in a backoff can serve them.
fn backoff_refusal(
    cx: &EdgeContext,
    call: &Call,
    excluded: &Exclusions<'_>,
    now: Millis,
) -> Option<Refusal> {
    // Includes servers that the request was sent to, since the caller may return to them.
    let untried = Exclusions {
        tried: &[],
        ..*excluded
    };
    let choices = version_choices(cx, call, excluded.tried).into_iter();
    let is_backed_off = |u: &Upstream| u.is_backed_off(now);
    let servers: Vec<Rc<Upstream>> = choices
        .flat_map(|choice| eligible(cx, call, &untried, choice, now, is_backed_off))
        .collect();
    let first = servers.iter().min_by_key(|u| u.signals.backoff_until())?;
    let slots = servers.iter().map(|u| f64::from(u.slots.get()));
    let vms = cx.vms.borrow().len().max(1) as f64;
    let interval_ms = call.route.latency_target.0 as f64 * vms / slots.sum::<f64>();
    let longest = Millis(call.time_left(now).0 / 3);
    let left = first.signals.backoff_until().since(now);
    let draw = cx.rng.borrow_mut().f64();
    let mut returns = call.state.backoff_returns.borrow_mut();
    Some(Refusal {
        held_back: Some(HeldBack::Backoff(first.id.clone(), left)),
        is_cut_off: is_cut_off(cx, call, excluded),
        ..refuse(
            "all backend servers have asked for a backoff",
            returns.next(left, longest, interval_ms, draw, now),
        )
    })
}

/// Returns whether this VM may send a request to a cold server now. If so, it counts the send.
///
/// A cold server crashes under more than a few requests a second from all VMs together. Therefore a
/// single VM, on which all VMs agree by rank, sends to it, at the rate that the service states. VMs
/// that don't reach each other may each consider themselves that VM, and use their shares of the
/// rate.
fn claim_cold_send(cx: &EdgeContext, call: &Call, upstream: &Upstream, now: Millis) -> bool {
    let rate = call
        .catalog
        .service(&call.service)
        .map_or(0.0, |spec| spec.cold_rate);
    let share = cx.reachable_share();
    let mut cold_sends = call.state.cold_sends.borrow_mut();
    is_cold_sender(cx, &upstream.id) && cold_sends.try_claim(&upstream.id, rate, share, now)
}

/// Returns whether this VM ranks first among the live VMs, so that it is the one that sends
/// requests to the cold server `id`.
fn is_cold_sender(cx: &EdgeContext, id: &UpstreamName) -> bool {
    let me = &cx.cfg.vm;
    let rank = |vm: &VmName| hash::rendezvous(&[id.as_str().as_bytes()], vm.as_str());
    let own_rank = rank(me);
    crate::presence::live_vms(cx)
        .iter()
        .all(|vm| vm.name == *me || rank(&vm.name) < own_rank)
}
