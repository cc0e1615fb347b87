//! Tests of the request limits that backend servers state.

use heatherknot_edge::request_limit::observed::{
    LOOSEN_DELAY, LimitChange, Observation, ObservedLimit, parse,
};
use heatherknot_types::prelude::*;

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
