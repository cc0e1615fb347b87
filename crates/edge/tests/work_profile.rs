//! Load patterns in which estimates of a request's work decide who is served in time. No network is
//! used.

mod support;

use std::rc::Rc;
use std::sync::Arc;

use heatherknot_edge::load_control::LoadControl;
use heatherknot_edge::machine_speed::{MachineSpeed, parse_factor};
use heatherknot_edge::placement::ObjectPlacement;
use heatherknot_edge::selection::{Candidate, Locality, SelectionParams, select};
use heatherknot_edge::service_times::ServiceTimes;
use heatherknot_edge::switches::Switches;
use heatherknot_edge::upstream::Upstream;
use heatherknot_edge::work_profile::{FinishedRun, WorkEstimate, WorkProfile};
use heatherknot_types::prelude::*;
use support::{TestClock, upstream};

const TARGET: Millis = Millis(1_000);
/// Times of a cached and of an uncached object.
const CACHED: Millis = Millis(360);
const UNCACHED: Millis = Millis(1_200);

fn region() -> RegionName {
    "north".into()
}

fn route(name: &str) -> Arc<str> {
    name.into()
}

fn run(region: &RegionName, knew_object: bool, took: Millis) -> FinishedRun<'_> {
    FinishedRun {
        region,
        is_sticky: true,
        knew_object,
        took,
        latency_target: TARGET,
    }
}

fn servers(clock: &Clock) -> Vec<Rc<Upstream>> {
    let names = ["a", "b", "c", "d"];
    names.map(|name| upstream(name, "north", clock)).to_vec()
}

fn select_at_home(
    object: u64,
    servers: &[Rc<Upstream>],
    times: &ServiceTimes,
    work: Option<WorkEstimate>,
    placement: Option<&ObjectPlacement>,
) -> Candidate {
    let (region, domain) = (region(), "north-1".into());
    let params = SelectionParams {
        object,
        sticky: true,
        region: &region,
        domain: &domain,
        latency_target: TARGET,
        time_left: Millis(8_000),
        now: Millis(0),
        switches: Switches::default(),
        is_region_restricted: false,
        assigned: None,
        is_home: &|_| true,
        placement,
        work,
    };
    select(&params, servers, times, Locality::Region).expect("there are servers")
}

/// A profile of one route in which first requests for an object take `first`, others [`CACHED`].
fn profile(name: &Arc<str>, first: Millis) -> WorkProfile {
    let (work, region) = (WorkProfile::default(), region());
    for _ in 0..40 {
        work.record(name, &run(&region, false, first));
        work.record(name, &run(&region, true, CACHED));
    }
    work
}

/// Guards against long queues that look short: 30 requests of another route that take 3 ms each, as
/// an operator's checks do, between those of a route that takes 360 ms.
#[test]
fn quick_requests_of_another_route_do_not_shorten_the_estimate() {
    let (views, checks, region) = (route("views"), route("checks"), region());
    let work = profile(&views, UNCACHED);

    for _ in 0..30 {
        work.record(&checks, &run(&region, true, Millis(3)));
    }

    let expected_ms = work.times(&views).expected_ms(&region, true, 0.0);
    assert!(expected_ms >= CACHED.0 as f64 * 0.9, "{expected_ms}");
}

/// Guards against uncached work taken for cached work after a loss of all caches: the estimate of a
/// first request exceeds the latency target as the work does.
#[test]
fn first_requests_after_a_loss_of_all_caches_are_estimated_uncached() {
    let views = route("views");
    let clock = TestClock::default().clock();
    let work = profile(&views, UNCACHED);

    let chosen = select_at_home(
        7,
        &servers(&clock),
        &work.times(&views),
        Some(work.estimate(0.0)),
        None,
    );

    assert!(!chosen.is_warm);
    assert!(
        chosen.response_ms > TARGET.0 as f64,
        "{}",
        chosen.response_ms
    );
}

/// Guards against a wave of refusals after a VM becomes the home of servers whose caches are full:
/// it has sent them no object, yet first requests turn out to be cached.
#[test]
fn first_requests_at_a_new_home_of_warm_servers_are_estimated_cached() {
    let views = route("views");
    let clock = TestClock::default().clock();
    let work = profile(&views, CACHED);

    let chosen = select_at_home(
        7,
        &servers(&clock),
        &work.times(&views),
        Some(work.estimate(0.0)),
        None,
    );

    assert!(chosen.is_warm);
    assert!(
        chosen.response_ms < TARGET.0 as f64,
        "{}",
        chosen.response_ms
    );
}

/// Guards against uncached work that queues at a full server while others are idle: the first request
/// for an object goes to a free server, and later ones follow it there.
#[test]
fn an_uncached_object_is_placed_on_a_free_server() {
    let views = route("views");
    let clock = TestClock::default().clock();
    let servers = servers(&clock);
    let work = profile(&views, UNCACHED);
    let (times, estimate) = (work.times(&views), Some(work.estimate(0.0)));
    let placement = ObjectPlacement::default();
    let full = select_at_home(7, &servers, &times, estimate, None).upstream;
    let slots = full.slots.get() + 2;
    let _requests: Vec<_> = (0..slots).map(|_| full.start_request()).collect();

    let first = select_at_home(7, &servers, &times, estimate, Some(&placement));
    first.upstream.record_object(7, Millis(0));
    let second = select_at_home(7, &servers, &times, estimate, Some(&placement));

    assert!(first.has_free_slot);
    assert_ne!(first.upstream.id, full.id);
    assert_eq!(second.upstream.id, first.upstream.id);
    assert!(second.is_warm);
}

/// Guards against a server that rejected the first request for an object and counts as having it
/// cached.
#[test]
fn a_rejected_first_request_leaves_the_object_unknown() {
    let clock = TestClock::default().clock();
    let server = upstream("a", "north", &clock);

    server.record_object(7, Millis(0));
    server.forget_object(7);

    assert!(!server.likely_caches(7, Millis(0)));
}

/// Guards against requests that wait at a server on a machine that others slow down to two and a half
/// times, while a faster server has the object cached as well.
#[test]
fn a_busy_server_on_a_slow_machine_loses_requests_to_a_faster_copy() {
    let views = route("views");
    let clock = TestClock::default().clock();
    let servers = servers(&clock);
    let work = profile(&views, UNCACHED);
    let (times, estimate) = (work.times(&views), Some(work.estimate(0.0)));
    servers.iter().for_each(|u| u.record_object(7, Millis(0)));
    let ranked_first = select_at_home(7, &servers, &times, estimate, None).upstream;
    let slots = ranked_first.slots.get();
    let _requests: Vec<_> = (0..slots).map(|_| ranked_first.start_request()).collect();

    ranked_first.machine.record(2.5, Millis(0));
    let chosen = select_at_home(7, &servers, &times, estimate, None);

    assert_ne!(chosen.upstream.id, ranked_first.id);
}

/// Guards against a machine that was slow once and counts as slow for good: what runs beside a server
/// changes several times per second.
#[test]
fn a_stated_speed_loses_its_weight_within_seconds() {
    let machine = MachineSpeed::default();

    machine.record(2.5, Millis(1_000));

    assert!((machine.factor(Millis(1_000)) - 2.5).abs() < 1e-9);
    assert!(machine.factor(Millis(4_000)) < 1.1);
}

/// Guards against load headers with a damaged fourth figure, which state no speed.
#[test]
fn only_a_positive_number_states_a_speed() {
    assert_eq!(parse_factor("3,0,8,250"), Some(2.5));
    for text in [
        "3,0,8",
        "3,0,8,",
        "3,0,8,fast",
        "3,0,8,0",
        "3,0,8,-5",
        "3,0,8,NaN",
        "",
    ] {
        assert_eq!(parse_factor(text), None, "{text}");
    }
}

/// Guards against load control in a deployment that doesn't call for it, and against an operator's
/// setting that servers override.
#[test]
fn load_control_follows_the_setting_then_the_contract_then_the_servers() {
    let states = |setting, is_required| {
        let control = LoadControl::new(setting, is_required);
        let before = control.is_on();
        control.record_stated_speed();
        (before, control.is_on())
    };

    assert_eq!(states(None, false), (false, true));
    assert_eq!(states(None, true), (true, true));
    assert_eq!(states(Some(false), true), (false, false));
    assert_eq!(states(Some(true), false), (true, true));
}

/// Guards against an estimate that stays at zero for good and makes every ratio to it not a number: a
/// route answered within a millisecond, or so after its time was divided by a machine's factor.
#[test]
fn times_below_a_millisecond_leave_all_estimates_finite() {
    let (checks, region, work) = (route("checks"), region(), WorkProfile::default());
    for _ in 0..3 {
        work.record(&checks, &run(&region, true, Millis(0)));
        work.record_response(&checks, Millis(0));
    }

    let slowness = work
        .record(&checks, &run(&region, true, Millis(0)))
        .slowness;
    for _ in 0..200 {
        work.record(&checks, &run(&region, true, Millis(40)));
    }

    assert_eq!(slowness, Some(1.0));
    let expected_ms = work.times(&checks).expected_ms(&region, true, 0.0);
    assert!(expected_ms >= 30.0, "{expected_ms}");
    assert!(work.record_response(&checks, Millis(40)) > 0.0);
}

/// Guards against routes without cached objects that are always estimated uncached, at more than
/// their latency target, and that hide how first requests of other routes turn out.
#[test]
fn a_route_that_is_not_sticky_has_one_time_and_says_nothing_about_caches() {
    let (views, exports, region) = (route("views"), route("exports"), region());
    let work = profile(&views, UNCACHED);
    let first_hit_rate = work.estimate(0.0).first_hit_rate;

    for _ in 0..40 {
        let export = FinishedRun {
            is_sticky: false,
            ..run(&region, false, CACHED)
        };
        assert_eq!(work.record(&exports, &export).first_was_cached, None);
    }

    assert!((work.estimate(0.0).first_hit_rate - first_hit_rate).abs() < 1e-9);
    let expected_ms = work.times(&exports).expected_ms(&region, false, 0.0);
    assert!((expected_ms - CACHED.0 as f64).abs() < 1.0, "{expected_ms}");
}

/// Guards against requests of a rare route that are let into queues in which they can't finish: until
/// its own times are known, the mean time in a slot of its service stands for them.
#[test]
fn a_route_without_times_is_estimated_by_its_service() {
    let (views, rare) = (route("views"), route("rare"));
    let clock = TestClock::default().clock();
    let (work, region) = (WorkProfile::default(), region());
    for _ in 0..200 {
        work.record(&views, &run(&region, true, Millis(900)));
    }

    let chosen = select_at_home(
        7,
        &servers(&clock),
        &work.times(&rare),
        Some(work.estimate(0.0)),
        None,
    );

    assert!(chosen.response_ms >= 800.0, "{}", chosen.response_ms);
}
