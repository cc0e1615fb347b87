//! Picks the backend server of a request, or refuses the request at once.

use std::rc::Rc;

use heatherknot_types::hash;
use heatherknot_types::prelude::*;

use crate::accounts::AllowedRegions;
use crate::call::Call;
use crate::context::EdgeContext;
use crate::hand_over;
use crate::selection::{self, Candidate, Locality, SelectionParams, select};
use crate::switches::Mechanism;
use crate::upstream::Upstream;

/// When a caller may come back where nothing better is known.
const USUAL_RETURN: Millis = Millis(500);
/// The part of the time left after which an answer is not expected to be of use any more.
const USEFUL_PART: f64 = 0.95;

/// How much beyond the latency target a request may be expected to end at a server of whose
/// load nothing was heard, as a part of the target.
const DOUBT_PART: f64 = 0.6;

/// Why a request is refused, and when it may come back.
pub(crate) struct Refusal {
    pub(crate) cause: &'static str,
    pub(crate) come_back: Millis,
    /// The best server that there was, where one was expected to be too late.
    pub(crate) best: Option<Candidate>,
}

impl Refusal {
    /// Refuses a request under which servers ended.
    pub(crate) fn stopped(cause: &'static str, come_back: Millis) -> Self {
        refuse(cause, come_back)
    }

    pub(crate) fn out_of_tries() -> Self {
        Self {
            cause: "no further send is allowed",
            come_back: USUAL_RETURN,
            best: None,
        }
    }
}

/// Picks the server for a request that was sent to `tried` already.
pub(crate) fn pick(
    cx: &EdgeContext,
    call: &Call,
    tried: &[UpstreamName],
) -> Result<Candidate, Refusal> {
    let now = cx.now();
    let left = call.left(now);
    if left.0 == 0 {
        return Err(refuse("the time ran out", USUAL_RETURN));
    }
    let candidates = candidates(cx, call, tried, now);
    let is_home = |u: &Upstream| is_home(cx, u);
    // A request that is sent once more leaves its object where it is.
    let may_put = tried.is_empty() && !call.is_apart && hand_over::may_put(cx, call);
    let wish = SelectionParams {
        placement: may_put.then_some(&call.state.spread),
        ..wish(cx, call, now, &is_home)
    };
    let place = place(cx, call);
    let Some(best) = select(&wish, &candidates, &call.state.pace, place) else {
        return Err(refuse("no backend server can take it", USUAL_RETURN));
    };
    // An answer after the latency target is worth little, and the work on it would make the
    // next requests late as well: what would wait that long is refused at once.
    let spent = now.since(call.started).0 as f64;
    let late = best.response_ms + spent > latest(cx, call, &best, now);
    // A free server gets the request even if it is expected to end late: what is expected is
    // learned from other routes' requests, and a refusal would leave the server idle.
    let useless = best.response_ms > left.0 as f64 * USEFUL_PART;
    if !best.has_free_slot && (late || useless) && cx.switches.is_on(Mechanism::Refusal) {
        let over = (best.response_ms - best.service_ms).max(0.0);
        let come_back = Millis(over as u64).min(Millis(left.0 / 3));
        return Err(Refusal {
            cause: "every backend server is busy for too long",
            come_back,
            best: Some(best),
        });
    }
    Ok(best)
}

/// Gives the server that gets a request where it has room, as all VMs work it out alike; nothing
/// where none that is warm may get it.
pub(crate) fn first(cx: &EdgeContext, call: &Call) -> Option<Rc<Upstream>> {
    let now = cx.now();
    let warm = warm_candidates(cx, call, &[], now);
    let is_home = |u: &Upstream| is_home(cx, u);
    selection::first_ranked(&wish(cx, call, now, &is_home), &warm, place(cx, call))
}

fn wish<'a>(
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
        time_left: call.left(now),
        now,
        is_region_bound: call.regions != AllowedRegions::Any,
        switches: cx.switches,
        assigned: call.meant.as_ref().filter(|_| !call.is_apart),
        is_home,
        placement: None,
    }
}

fn is_home(cx: &EdgeContext, upstream: &Upstream) -> bool {
    let is_here = upstream.domain == cx.cfg.domain;
    is_here
        && cx
            .homes
            .home_of(upstream, &cx.vms.borrow())
            .is_some_and(|home| home.vm == cx.cfg.vm)
}

/// Gives where the object of a request is served. One that was handed over is served in the
/// region that the other VM has chosen, which is that of its server's home.
fn place(cx: &EdgeContext, call: &Call) -> Locality {
    if call.is_apart {
        return Locality::AnyRegion;
    }
    if call.meant.is_some() {
        return Locality::Region;
    }
    call.state.region_shares.mark_used();
    let route = cx.route(&call.route.name);
    route.locality_of(call.object, &call.state.spill, cx.switches)
}

/// Gives the longest expected time with which a request still waits in a server's queue, in
/// milliseconds.
///
/// Where nothing was heard of a server lately, its load is taken from the average of all. Held
/// to the latency target, a VM then refuses everything as soon as the average is high, though
/// many servers are below it. With a large fleet each VM hears seldom of a server.
fn latest(cx: &EdgeContext, call: &Call, best: &Candidate, now: Millis) -> f64 {
    let doubt = match cx.switches.is_on(Mechanism::Doubt) {
        true => 1.0 - best.upstream.load_confidence(now),
        false => 0.0,
    };
    call.route.latency_target.0 as f64 * (1.0 + DOUBT_PART * doubt)
}

fn refuse(cause: &'static str, come_back: Millis) -> Refusal {
    Refusal {
        cause,
        come_back,
        best: None,
    }
}

/// Gives the servers that may get the request now.
fn candidates(
    cx: &EdgeContext,
    call: &Call,
    tried: &[UpstreamName],
    now: Millis,
) -> Vec<Rc<Upstream>> {
    let warm = warm_candidates(cx, call, tried, now);
    if !warm.is_empty() {
        return warm;
    }
    let cold = eligible(cx, call, tried, now, |_| true);
    let may = |u: &Rc<Upstream>| take_cold_turn(cx, call, u, now);
    cold.into_iter().find(may).into_iter().collect()
}

fn warm_candidates(
    cx: &EdgeContext,
    call: &Call,
    tried: &[UpstreamName],
    now: Millis,
) -> Vec<Rc<Upstream>> {
    eligible(cx, call, tried, now, |u| !u.is_cold(now))
}

/// Gives the servers of which `wanted` holds that may run the request and can be reached.
fn eligible(
    cx: &EdgeContext,
    call: &Call,
    tried: &[UpstreamName],
    now: Millis,
    wanted: impl Fn(&Upstream) -> bool,
) -> Vec<Rc<Upstream>> {
    let world = cx.world.borrow();
    let all = world.upstreams(&call.service);
    let eligible = all.iter().filter(|u| {
        u.accepts_requests()
            && wanted(u)
            && !world.is_evacuated(&u.domain)
            && call.regions.allows(&u.region)
            && u.is_reachable(now)
            && !tried.contains(&u.id)
    });
    eligible.cloned().collect()
}

/// Says whether this VM may send a request to a cold server now, and notes it.
///
/// A cold server crashes under more than a few requests a second from all VMs together. One
/// VM, which all rank alike, sends to it, at the rate that the server stands. Two VMs that
/// know different peers may both take themselves for that one; the deployment's bound leaves
/// room for that.
fn take_cold_turn(cx: &EdgeContext, call: &Call, upstream: &Upstream, now: Millis) -> bool {
    let rate = call
        .catalog
        .service(&call.service)
        .map_or(0.0, |spec| spec.cold_rate);
    if rate <= 0.0 || !is_owner(cx, &upstream.id) {
        return false;
    }
    let mut next = call.state.cold_next.borrow_mut();
    let due = next.entry(upstream.id.clone()).or_default();
    if now < *due {
        return false;
    }
    *due = now + Millis((1000.0 / rate).ceil() as u64);
    true
}

fn is_owner(cx: &EdgeContext, id: &UpstreamName) -> bool {
    let me = &cx.cfg.vm;
    let rank = |vm: &VmName| hash::rendezvous(&[id.as_str().as_bytes()], vm.as_str());
    let own = rank(me);
    crate::presence::live_vms(cx)
        .iter()
        .all(|vm| vm.name == *me || rank(&vm.name) < own)
}
