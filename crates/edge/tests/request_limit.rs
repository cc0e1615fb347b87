//! Tests of the request limits that backend servers state.

mod support;

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

use heatherknot_edge::request_limit::issuer::{PermitIssuer, permits_per_second};
use heatherknot_edge::request_limit::messages::PermitRequest;
use heatherknot_edge::request_limit::observed::{
    LOOSEN_DELAY, LimitChange, Observation, ObservedLimit, parse,
};
use heatherknot_edge::request_limit::return_schedule::ReturnSchedule;
use heatherknot_edge::request_limit::state::RequestLimits;
use heatherknot_types::prelude::*;
use support::{TestClock, entry_of_run, put, routing_state};

fn observation(limit: Option<f64>, sent_at: u64, received_at: u64) -> Observation {
    Observation {
        limit,
        sent_at: Millis(sent_at),
        received_at: Millis(received_at),
    }
}

/// Guards against a response that was sent before the server stated its limit and removes it.
#[test]
fn an_older_response_without_a_limit_does_not_remove_it() {
    let mut limit = ObservedLimit::default();

    limit.apply(observation(Some(5.0), 1_000, 1_100));
    let change = limit.apply(observation(None, 1_050, 2_000));

    assert_eq!(change, None);
    assert_eq!(limit.per_second(), Some(5.0));
}

/// Guards against a limit that stays in force after the server has stopped stating it.
#[test]
fn a_later_response_without_a_limit_removes_it() {
    let mut limit = ObservedLimit::default();

    limit.apply(observation(Some(5.0), 1_000, 1_100));
    let sent_at = 1_100 + LOOSEN_DELAY.0;
    let change = limit.apply(observation(None, sent_at, sent_at + 50));

    assert_eq!(change, Some(LimitChange::Removed));
    assert_eq!(limit.per_second(), None);
}

/// Guards against a late response that brings a removed limit back for good.
#[test]
fn a_limit_brought_back_by_a_late_response_is_removed_by_the_next_one() {
    let mut limit = ObservedLimit::default();
    limit.apply(observation(Some(5.0), 0, 100));
    limit.apply(observation(None, 1_000, 1_050));

    limit.apply(observation(Some(5.0), 900, 1_100));
    let change = limit.apply(observation(None, 1_700, 1_750));

    assert_eq!(change, Some(LimitChange::Removed));
}

/// Guards against a lowered limit that is applied late, and a raised one that is applied too early.
#[test]
fn a_lower_limit_applies_at_once_and_a_higher_one_after_a_delay() {
    let mut limit = ObservedLimit::default();

    limit.apply(observation(Some(5.0), 0, 100));
    assert_eq!(
        limit.apply(observation(Some(2.0), 50, 150)),
        Some(LimitChange::Lowered)
    );
    assert_eq!(limit.apply(observation(Some(5.0), 60, 200)), None);
    assert_eq!(
        limit.apply(observation(Some(5.0), 700, 800)),
        Some(LimitChange::Raised)
    );
}

/// Guards against values that are no limit and would stop all requests or permit any number.
#[test]
fn values_that_are_no_limit_are_rejected() {
    for text in [
        "",
        "NaN",
        "inf",
        "-3",
        "1e400",
        "five",
        "5,6",
        "5 per second",
    ] {
        assert!(parse(text).is_err(), "{text:?}");
    }
    assert_eq!(parse(" 6.4 "), Ok(6.4));
    assert_eq!(parse("0"), Ok(0.0));
}

/// Guards against a report about an earlier run of a server that limits its current run.
#[test]
fn a_limit_ends_with_the_run_of_its_server() {
    let clock = TestClock::default();
    clock.advance(10_000);
    let routing_state = Rc::new(RefCell::new(routing_state(&clock.clock())));
    let limits = RequestLimits::new(clock.timer(), "vm-1".into(), Rc::clone(&routing_state));
    let start = |started_at| {
        let change = put(
            "server/i-1",
            entry_of_run(started_at, "ready", 0),
            started_at,
        );
        routing_state.borrow_mut().apply(&[change], true);
        let upstream = routing_state.borrow().upstream(&"i-1".into()).cloned();
        upstream.expect("it is registered")
    };
    let first_run = start(1);
    limits.observe(&first_run, observation(Some(5.0), 9_000, 9_100), "own");
    let report = PermitRequest::new(&first_run, true, Millis(10_000)).expect("it has a limit");

    let second_run = start(2);
    let answer = limits.answer(&report);

    assert!(first_run.is_limited() && !second_run.is_limited());
    assert!(answer.wait.is_some());
}

/// Guards against a server with a limit near zero that never gets a request again.
#[test]
fn a_server_with_a_limit_of_zero_gets_a_request_now_and_then() {
    let mut issuer = PermitIssuer::of_known_limit(Millis(0));

    let issued = (0..60_000).filter(|at| issuer.issue(0.0, 1.0, Millis(*at)).is_ok());

    let expected = 60.0 * permits_per_second(0.0);
    assert!((issued.count() as f64 - expected).abs() <= 1.0);
}

/// Guards against VMs without a permit that all ask again at the same time.
#[test]
fn vms_without_a_permit_are_told_different_times() {
    let mut issuer = PermitIssuer::of_known_limit(Millis(0));

    let waits = (0..4).filter_map(|_| issuer.issue(20.0, 1.0, Millis(500)).err());
    let waits: HashSet<Millis> = waits.collect();

    assert_eq!(waits.len(), 4, "{waits:?}");
}

/// Guards against refused callers that return together, or later than they are able to wait.
#[test]
fn refused_callers_return_one_after_the_other() {
    let mut returns = ReturnSchedule::default();
    let (earliest, longest, now) = (Millis(100), Millis(1_000), Millis(5_000));

    let next = |n: u32| returns.next(earliest, longest, 300.0, f64::from(n) / 8.0, now);
    let delays: Vec<Millis> = (0..8).map(next).collect();

    assert_eq!(delays[..4], [100, 400, 700, 1_000].map(Millis));
    let different: HashSet<&Millis> = delays[4..].iter().collect();
    assert_eq!(different.len(), 4, "{delays:?}");
    assert!(delays.iter().all(|delay| *delay <= longest));
}
