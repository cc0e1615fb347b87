//! Decides by the evidence whether the target version is worse than the previous one.
//!
//! Servers of the previous version fail some requests too, and servers of either version fail for
//! reasons of their own. The target version counts as worse if it is clearly worse than the
//! previous one on the same route at the same time, on most of its servers.

use std::collections::BTreeMap;
use std::fmt;

use super::evidence::{Evidence, Outcomes, RequestKind, RouteHash, ServerGroup};

/// Failures from which a route is compared at all.
const MIN_FAILURES: u64 = 5;
/// Fraction of failures that is assumed of the previous version if it failed less.
const MIN_FAILURE_RATE: f64 = 0.005;
/// Requests of the previous version, one of them failed, that are added to those counted, because a
/// failure rate of zero among few requests says little.
const PRIOR_REQUESTS: f64 = 50.0;
/// Multiple of the expected failures, and number of their standard deviations, above which failures
/// are no chance.
const FAILURE_FACTOR: f64 = 2.0;
const FAILURE_DEVIATIONS: f64 = 5.0;
/// Part of its expected failures with which a group of servers is affected.
const AFFECTED_FRACTION: f64 = 0.5;
/// Factor by which the target version has to be slower.
const SLOW_FACTOR: f64 = 2.5;
/// The same for a single group of servers, of which less is known.
const GROUP_SLOW_FACTOR: f64 = 1.6;
/// Response time, in milliseconds, below which differences are not told from chance.
const MIN_RESPONSE_MS: f64 = 100.0;
/// Timed answers of the previous version that its response time is estimated from.
const MIN_TIMED_ANSWERS: u64 = 20;
/// Timed requests of the target version from which response times are compared.
const MIN_TIMED_REQUESTS: u64 = 8;
/// Requests to the previous version in a time span from which that span is compared with itself,
/// rather than with all of the previous version's requests.
const MIN_PREVIOUS_REQUESTS: u64 = 20;
/// Affected groups of servers without which a fault is not put down to the version.
const MIN_AFFECTED_GROUPS: usize = 2;

/// How the target version is worse.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Flaw {
    /// Too many of a route's requests fail.
    Failures {
        /// The route.
        route: RouteHash,
        /// Failures and requests of the target version.
        target: (u64, u64),
        /// Failures and requests of the previous version.
        previous: (u64, u64),
    },
    /// A route's requests take too long.
    Slowness {
        /// The route.
        route: RouteHash,
        /// Estimated response time of the target version, in milliseconds.
        target_ms: f64,
        /// Response time of the previous version, in milliseconds.
        previous_ms: f64,
    },
}

impl Flaw {
    /// Returns the route on which the target version is worse.
    pub fn route(&self) -> RouteHash {
        match self {
            Flaw::Failures { route, .. } | Flaw::Slowness { route, .. } => *route,
        }
    }
}

impl fmt::Display for Flaw {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Flaw::Failures {
                target, previous, ..
            } => write!(
                f,
                "{} of {} requests failed, {} of {} at the previous version",
                target.0, target.1, previous.0, previous.1
            ),
            Flaw::Slowness {
                target_ms,
                previous_ms,
                ..
            } => write!(
                f,
                "requests take {target_ms:.0} ms, {previous_ms:.0} ms at the previous version"
            ),
        }
    }
}

/// Returns how the target version is worse, if it is, by `total`, all that was counted, or by
/// `recent`, what was counted lately.
pub fn find_flaw(total: &Evidence, recent: &Evidence) -> Option<Flaw> {
    find_in(total, total).or_else(|| find_in(recent, total))
}

/// Compares the target version in `span` with the previous version in `span`, or in `total` where
/// the previous version has had too few requests in `span`.
fn find_in(span: &Evidence, total: &Evidence) -> Option<Flaw> {
    find_failures(span, total).or_else(|| find_slowness(span, total))
}

/// Outcomes of one version by server group.
type ByGroup = BTreeMap<ServerGroup, Outcomes>;

fn find_failures(span: &Evidence, total: &Evidence) -> Option<Flaw> {
    let (target, in_span) = by_route(span);
    let (_, in_total) = by_route(total);
    target.into_iter().find_map(|(route, groups)| {
        let previous = comparable(in_span.get(&route), in_total.get(&route));
        let rate = (previous.failures as f64 + 1.0) / (previous.requests as f64 + PRIOR_REQUESTS);
        let rate = rate.max(MIN_FAILURE_RATE);
        let sum = sum(groups.values());
        let is_flawed = exceeds_chance(&sum, rate) && {
            let overall = sum.failures as f64 / sum.requests as f64;
            let is_affected = |outcomes: &Outcomes| {
                let expected = overall * outcomes.requests as f64;
                outcomes.failures > 0 && outcomes.failures as f64 >= AFFECTED_FRACTION * expected
            };
            are_most_affected(&groups, is_affected)
        };
        is_flawed.then_some(Flaw::Failures {
            route,
            target: (sum.failures, sum.requests),
            previous: (previous.failures, previous.requests),
        })
    })
}

fn exceeds_chance(outcomes: &Outcomes, rate: f64) -> bool {
    let expected = rate * outcomes.requests as f64;
    let limit = FAILURE_FACTOR * expected + FAILURE_DEVIATIONS * expected.sqrt();
    outcomes.failures >= MIN_FAILURES && outcomes.failures as f64 > limit
}

fn find_slowness(span: &Evidence, total: &Evidence) -> Option<Flaw> {
    let (target, in_span) = by_kind(span);
    let (_, in_total) = by_kind(total);
    target.into_iter().find_map(|(kind, groups)| {
        let previous = comparable(in_span.get(&kind), in_total.get(&kind));
        if previous.timed < MIN_TIMED_ANSWERS {
            return None;
        }
        let previous_ms = previous.time_ms as f64 / previous.timed as f64;
        let previous_ms = previous_ms.max(MIN_RESPONSE_MS);
        let is_slower = |outcomes: &Outcomes, factor: f64| {
            let mean_ms = mean_ms(outcomes, previous_ms);
            mean_ms.is_some_and(|mean_ms| mean_ms > factor * previous_ms)
        };
        let sum = sum(groups.values());
        let is_flawed = sum.timed + sum.waiting >= MIN_TIMED_REQUESTS
            && is_slower(&sum, SLOW_FACTOR)
            && are_most_affected(&groups, |o| is_slower(o, GROUP_SLOW_FACTOR));
        is_flawed.then(|| Flaw::Slowness {
            route: kind.route(),
            target_ms: mean_ms(&sum, previous_ms).unwrap_or_default(),
            previous_ms,
        })
    })
}

/// Returns a lower bound of the mean response time. Requests in flight count once they have waited
/// for longer than the previous version takes, because until then they tell nothing.
fn mean_ms(outcomes: &Outcomes, previous_ms: f64) -> Option<f64> {
    let is_overdue = outcomes.waiting_ms as f64 > outcomes.waiting as f64 * previous_ms;
    let (waiting, waiting_ms) = match is_overdue {
        true => (outcomes.waiting, outcomes.waiting_ms),
        false => (0, 0),
    };
    let requests = outcomes.timed + waiting;
    (requests > 0).then(|| (outcomes.time_ms + waiting_ms) as f64 / requests as f64)
}

/// Returns whether more than half of the groups of servers that had requests are affected.
fn are_most_affected(groups: &ByGroup, is_affected: impl Fn(&Outcomes) -> bool) -> bool {
    let had_requests = |o: &&Outcomes| o.requests + o.waiting > 0;
    let all = groups.values().filter(had_requests);
    let affected = all.clone().filter(|outcomes| is_affected(outcomes)).count();
    let all = all.count();
    2 * affected > all && affected >= MIN_AFFECTED_GROUPS.min(all)
}

/// Returns the outcomes of the previous version in the same span if there are enough of them, and
/// otherwise all of them.
fn comparable(in_span: Option<&Outcomes>, in_total: Option<&Outcomes>) -> Outcomes {
    let in_span = in_span.filter(|outcomes| outcomes.requests >= MIN_PREVIOUS_REQUESTS);
    in_span.or(in_total).copied().unwrap_or_default()
}

fn sum<'a>(all: impl Iterator<Item = &'a Outcomes>) -> Outcomes {
    let mut sum = Outcomes::default();
    all.for_each(|outcomes| sum.add(outcomes));
    sum
}

/// Splits evidence by route: the target version's outcomes by server group, and the previous
/// version's.
fn by_route(evidence: &Evidence) -> (BTreeMap<RouteHash, ByGroup>, BTreeMap<RouteHash, Outcomes>) {
    split_by(evidence, RequestKind::route)
}

/// Splits evidence in the same way by kind of request.
fn by_kind(
    evidence: &Evidence,
) -> (
    BTreeMap<RequestKind, ByGroup>,
    BTreeMap<RequestKind, Outcomes>,
) {
    split_by(evidence, |kind| kind)
}

fn split_by<K: Ord>(
    evidence: &Evidence,
    key: impl Fn(RequestKind) -> K,
) -> (BTreeMap<K, ByGroup>, BTreeMap<K, Outcomes>) {
    let (mut target, mut previous) = (BTreeMap::new(), BTreeMap::new());
    for (kind, group, outcomes) in evidence.counts() {
        let sum: &mut Outcomes = match group {
            ServerGroup::Previous => previous.entry(key(kind)).or_default(),
            ServerGroup::Target(_) => {
                let groups: &mut ByGroup = target.entry(key(kind)).or_default();
                groups.entry(group).or_default()
            }
        };
        sum.add(outcomes);
    }
    (target, previous)
}
