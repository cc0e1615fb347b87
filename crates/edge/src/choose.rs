//! Which backend server gets a request, or none.
//!
//! Servers are faster at objects that they handled lately, and keep few of them. So every
//! VM ranks the servers for an object alike, without a message, by rendezvous hashing, and
//! takes the one that is expected to answer first: the first of the rank while it has room,
//! another one where waiting there would take longer than doing the work afresh elsewhere.

use std::rc::Rc;

use heatherknot_types::hash;
use heatherknot_types::prelude::*;

use crate::pace::Pace;
use crate::upstream::Upstream;

/// The part of a failing server's usual time that its failures are taken to cost. A failed
/// request is sent again or lost, so a server that fails all of them counts as four times
/// as slow.
const FAILING_COST: f64 = 3.0;
/// Extra time for each rank after the first, as a part of the expected time, so that equal
/// servers are taken in the order that all VMs share.
const RANK_COST: f64 = 0.02;
/// The weight of a server in the caller's own domain while ranking one region's servers, for
/// answers whose bytes cost more than a second copy of their object.
const OWN_DOMAIN: f64 = 1.0;

/// What a choice is made for.
pub struct Wish<'a> {
    /// The object, or any number where the route has none.
    pub object: u64,
    /// Whether servers are faster at objects that they know.
    pub sticky: bool,
    /// The VM's own region.
    pub region: &'a RegionName,
    /// The VM's own domain.
    pub domain: &'a DomainName,
    /// The time within which an answer is worth most.
    pub target: Millis,
    /// The time that is left for the request.
    pub left: Millis,
    /// Now.
    pub now: Millis,
}

/// A server that may get the request, as it is expected to do.
#[derive(Clone)]
pub struct Prospect {
    /// The server.
    pub upstream: Rc<Upstream>,
    /// Whether it is taken to keep the object.
    pub warm: bool,
    /// Whether a slot is expected to be free.
    pub free: bool,
    /// The expected time to its answer, in milliseconds, were it free.
    pub work: f64,
    /// The expected time to its answer, in milliseconds.
    pub finish: f64,
}

/// Ranks `candidates` by what is expected of them, the best one first.
pub fn prospects(wish: &Wish<'_>, candidates: &[Rc<Upstream>], pace: &Pace) -> Vec<Prospect> {
    let mut near = ranked(wish, candidates, |u| u.region == *wish.region);
    let far = ranked(wish, candidates, |u| u.region != *wish.region);
    let first_far = near.len();
    near.extend(far);
    let mut found: Vec<Prospect> = near
        .into_iter()
        .enumerate()
        .map(|(at, upstream)| {
            let rank = if at < first_far { at } else { at - first_far };
            prospect(wish, upstream, rank, pace)
        })
        .collect();
    found.sort_by(|a, b| a.finish.total_cmp(&b.finish));
    found
}

fn ranked(
    wish: &Wish<'_>,
    candidates: &[Rc<Upstream>],
    is_wanted: impl Fn(&Upstream) -> bool,
) -> Vec<Rc<Upstream>> {
    let object = wish.object.to_le_bytes();
    let mut scored: Vec<(f64, &Rc<Upstream>)> = candidates
        .iter()
        .filter(|u| is_wanted(u))
        .map(|u| {
            let unit = hash::unit_interval(hash::rendezvous(&[&object], u.id.as_str()));
            let near = if u.domain == *wish.domain {
                OWN_DOMAIN
            } else {
                1.0
            };
            (-unit.ln() / (f64::from(u.slots.get()) * near), u)
        })
        .collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0));
    scored.into_iter().map(|(_, u)| Rc::clone(u)).collect()
}

fn prospect(wish: &Wish<'_>, upstream: Rc<Upstream>, rank: usize, pace: &Pace) -> Prospect {
    let warm = wish.sticky && (rank == 0 || upstream.keeps(wish.object, wish.now));
    let unknown = wish.target.0 as f64 / 2.0;
    let usual = pace.expected(&upstream.region, warm, unknown);
    let often = pace.expected(&upstream.region, true, unknown);
    let slots = f64::from(upstream.slots.get());
    let ahead = upstream.load() + 1.0 - slots;
    let wait = ahead.max(0.0) / slots * often * upstream.slowness();
    let work = usual * upstream.slowness();
    let cost = 1.0 + FAILING_COST * upstream.failing() + RANK_COST * rank.min(10) as f64;
    Prospect {
        warm,
        free: ahead <= 0.0,
        work,
        finish: work * cost + wait,
        upstream,
    }
}
