//! Tests of what backend servers ask of a VM in their responses.

mod support;

use std::rc::Rc;

use heatherknot_edge::backpressure::{RunSignals, parse_backoff};
use heatherknot_edge::routing_state::RoutingState;
use heatherknot_types::prelude::*;
use support::{TestClock, delete, entry_of_run, put, routing_state};

const ASKED: Millis = Millis(3_000);

/// Guards against a backoff of unbounded length, and against one from a value that is no time.
#[test]
fn only_a_time_in_seconds_is_a_backoff() {
    let longest = Millis(600_000);
    for (text, expected) in [
        ("3", Some(ASKED)),
        (" 0.25 ", Some(Millis(250))),
        ("0", Some(Millis(0))),
        ("1e300", Some(longest)),
        ("999999999999999999999", Some(longest)),
        ("-1", None),
        ("NaN", None),
        ("inf", None),
        ("", None),
        ("3,3", None),
        ("Fri, 31 Dec 1999 23:59:59 GMT", None),
    ] {
        assert_eq!(parse_backoff(text).ok(), expected, "{text:?}");
    }
}

/// Guards against a later, shorter backoff that ends an earlier one.
#[test]
fn a_shorter_backoff_does_not_end_a_longer_one() {
    let signals = RunSignals::default();
    signals.back_off(ASKED, Millis(1_000));
    signals.back_off(Millis(100), Millis(1_500));
    assert!(signals.is_in_backoff(Millis(3_999)));
    assert!(!signals.is_in_backoff(Millis(4_000)));
    signals.back_off(ASKED, Millis(4_500));
    assert!(signals.is_in_backoff(Millis(7_499)));
}

/// Guards against the full load on a server at the instant at which its backoff ends.
#[test]
fn the_load_returns_step_by_step_after_a_backoff() {
    let signals = RunSignals::default();
    let (now, slots) = (Millis(5_000), 3);
    signals.back_off(ASKED, Millis(0));
    signals.record_accepted(slots, Millis(1_000));
    assert!(!signals.holds_back(0, now) && signals.holds_back(1, now));
    signals.record_accepted(slots, now);
    assert!(!signals.holds_back(1, now) && signals.holds_back(2, now));
    signals.record_accepted(slots, now);
    signals.record_accepted(slots, now);
    assert!(!signals.holds_back(100, now));
}

/// Guards against forgetting a backoff when a server's entry is lost and comes back.
#[test]
fn a_backoff_outlives_a_lost_entry_but_not_the_run() {
    let clock = TestClock::default().clock();
    let mut state = routing_state(&clock);
    let id = UpstreamName::from("a");
    let is_backed_off = |state: &RoutingState| {
        let upstream = state.upstream(&id).expect("it is there");
        upstream.is_backed_off(clock.now())
    };
    state.apply(&[put("server/a", entry_of_run(1, "ready", 0), 1)], true);
    let first = Rc::clone(state.upstream(&id).expect("it is there"));
    first.signals.back_off(ASKED, clock.now());
    state.apply(&[delete("server/a", 2)], true);
    assert!(state.upstream(&id).is_none());

    state.apply(&[put("server/a", entry_of_run(1, "ready", 0), 3)], true);
    assert!(is_backed_off(&state));

    state.apply(&[put("server/a", entry_of_run(2, "ready", 0), 4)], true);
    assert!(!is_backed_off(&state));
}

/// Guards against forgetting that a server is leaving when its entry is lost and comes back as ready.
#[test]
fn a_leaving_server_stays_so_for_its_run() {
    let clock = TestClock::default().clock();
    let mut state = routing_state(&clock);
    let accepts = |state: &RoutingState, id: &str| {
        let upstream = state.upstream(&id.into()).expect("it is there");
        upstream.accepts_requests()
    };
    let ready = |run| entry_of_run(run, "ready", 0);
    state.apply(&[put("server/a", entry_of_run(1, "leaving", 0), 1)], true);
    state.apply(&[put("server/b", ready(1), 2)], true);
    let b = Rc::clone(state.upstream(&"b".into()).expect("it is there"));
    assert!(b.signals.leave());

    state.apply(&[put("server/a", ready(1), 3)], true);
    assert!(!accepts(&state, "a") && !accepts(&state, "b"));

    state.apply(&[delete("server/a", 4), delete("server/b", 5)], true);
    state.apply(
        &[put("server/a", ready(1), 6), put("server/b", ready(1), 7)],
        true,
    );
    assert!(!accepts(&state, "a") && !accepts(&state, "b"));

    state.apply(
        &[put("server/a", ready(2), 8), put("server/b", ready(2), 9)],
        true,
    );
    assert!(accepts(&state, "a") && accepts(&state, "b"));
}
