//! Tests when refused callers return, on reservation books alone and on a model of homes, bursts and
//! callers.

mod support;

use heatherknot_edge::admission::returns::{
    CLAIM_WINDOW, Caller, Claim, MAX_RESERVATIONS, ReturnBook, ReturnParams, ToldReturn,
    earliest_return, longest_honoured,
};
use heatherknot_types::prelude::*;
use support::return_model::{HOMES, Outcome, Rule, most_in_100_ms, play, room_in_100_ms};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=10;
const BURST: (u64, u64) = (2, 6);
/// Part of the callers with a reservation that may be refused again, as one in this many.
const REFUSED_AGAIN_ONE_IN: u32 = 50;
/// Part of the new requests answered in time that returns may cost.
const MAX_NEW_LOST: f64 = 0.1;

fn caller(request: u64, deadline: u64) -> Caller {
    Caller {
        request,
        deadline: Millis(deadline),
    }
}

fn params(urgency: u32) -> ReturnParams {
    ReturnParams {
        urgency,
        earliest: Millis(500),
        longest: Millis(2_000),
        interval_ms: 20.0,
        draw: 0.5,
    }
}

fn reserve(book: &mut ReturnBook, caller: Caller, urgency: u32, now: u64) -> Option<u64> {
    match book.reserve(caller, &params(urgency), Millis(now)) {
        ToldReturn::Reserved(told) => Some(told.0),
        ToldReturn::Unreserved(_) => None,
    }
}

/// Plays all seeds and prints the sum of what came of their requests.
fn play_all(rule: Rule, bursts: &[(u64, u64)]) -> Outcome {
    let mut sum = Outcome::default();
    for outcome in SEEDS.map(|seed| play(rule, bursts, 13, seed)) {
        sum.first_attempts += outcome.first_attempts;
        sum.first_in_target += outcome.first_in_target;
        sum.refused_once += outcome.refused_once;
        sum.refused_twice += outcome.refused_twice;
        sum.reserved += outcome.reserved;
        sum.reserved_refused += outcome.reserved_refused;
    }
    println!("{rule:?}, bursts {bursts:?}: {sum:?}");
    sum
}

/// Three times the capacity for four seconds: fewer are refused twice than by the wait alone, and new
/// requests lose no more than returns may cost.
#[test]
fn a_burst_refuses_fewer_callers_twice() {
    let before = play_all(Rule::Wait, &[BURST]);
    for rule in [Rule::HomeBook, Rule::SharedBook] {
        let after = play_all(rule, &[BURST]);

        assert!(after.refused_twice < before.refused_twice);
        assert!(after.reserved > 0);
        assert!(after.reserved_refused * REFUSED_AGAIN_ONE_IN <= after.reserved);
        let kept = f64::from(after.first_in_target) / f64::from(before.first_in_target);
        assert!(kept >= 1.0 - MAX_NEW_LOST, "{kept}");
    }
}

/// Three times the capacity for four seconds: returns in any 100 ms don't exceed the room for them.
#[test]
fn returns_never_exceed_the_room() {
    for (rule, homes) in [(Rule::HomeBook, 1), (Rule::SharedBook, HOMES)] {
        for seed in SEEDS {
            let outcome = play(rule, &[BURST], 13, seed);

            for due in &outcome.due {
                assert!(
                    most_in_100_ms(due) <= room_in_100_ms(homes),
                    "{rule:?}, seed {seed}"
                );
            }
        }
    }
}

/// A second burst of three times the capacity, one second after the first: reservations still hold.
#[test]
fn returns_that_meet_a_second_burst_are_accepted() {
    let bursts = [BURST, (7, 9)];
    let before = play_all(Rule::Wait, &bursts);
    for rule in [Rule::HomeBook, Rule::SharedBook] {
        let after = play_all(rule, &bursts);

        assert!(after.refused_twice < before.refused_twice);
        assert!(after.reserved > 0);
        assert!(after.reserved_refused * REFUSED_AGAIN_ONE_IN <= after.reserved);
    }
}

/// One caller that repeats every 10 ms beside one that waits: it keeps its one reservation.
#[test]
fn a_caller_that_repeats_at_once_gains_nothing() {
    let mut book = ReturnBook::default();
    let told = reserve(&mut book, caller(1, 6_000), 0, 1_000).expect("it is free");
    let other = reserve(&mut book, caller(2, 6_000), 0, 1_000).expect("it is free");

    for now in (1_010..1_000 + told - 20).step_by(10) {
        let claim = book.claim(caller(1, 6_002), Millis(now));
        assert_eq!(claim, Claim::Early(Millis(1_000 + told - now)));
    }

    assert_eq!(book.len(), 2);
    assert_eq!(
        book.claim(caller(1, 6_002), Millis(1_000 + told)),
        Claim::Due
    );
    assert_eq!(
        book.claim(caller(2, 6_002), Millis(1_000 + other)),
        Claim::Due
    );
}

/// Another caller of the same object 50 ms later: it isn't taken for a return.
#[test]
fn another_caller_of_the_same_object_has_no_claim() {
    let mut book = ReturnBook::default();
    reserve(&mut book, caller(1, 6_000), 0, 1_000);

    assert_eq!(book.claim(caller(1, 6_050), Millis(1_050)), Claim::None);
    assert_eq!(book.claim(caller(1, 6_700), Millis(1_700)), Claim::None);
}

/// Forty urgent and forty less urgent callers refused in turn: the urgent ones return earlier.
#[test]
fn urgent_callers_return_earlier() {
    let mut book = ReturnBook::default();
    let mut times = [Vec::new(), Vec::new()];

    for number in 0..80_u32 {
        let urgency = number % 2;
        let told = reserve(&mut book, caller(number.into(), 9_000), urgency, 1_000);
        times[urgency as usize].extend(told);
    }

    let [urgent, less_urgent] = times;
    let mean = |times: &[u64]| times.iter().sum::<u64>() as f64 / times.len() as f64;
    assert!(
        mean(&urgent) < mean(&less_urgent),
        "{urgent:?} {less_urgent:?}"
    );
    assert!(urgent.len() >= less_urgent.len());
}

/// A home that takes over after a burst: a return is a new request there, and gets a reservation.
#[test]
fn a_new_home_treats_a_return_as_a_new_request() {
    let mut old = ReturnBook::default();
    let told = reserve(&mut old, caller(1, 6_000), 0, 1_000).expect("it is free");
    let mut new = ReturnBook::default();
    let now = 1_000 + told;

    assert_eq!(new.claim(caller(1, 6_000), Millis(now)), Claim::None);
    assert!(reserve(&mut new, caller(1, 6_000), 0, now).is_some());
}

/// One caller that never returns: its reservation expires and counts as load only about its time.
#[test]
fn an_unclaimed_reservation_expires() {
    let mut book = ReturnBook::default();
    let told = reserve(&mut book, caller(1, 6_000), 0, 1_000).expect("it is free");
    let due = Millis(1_000 + told);
    let expected = [Millis(1_000), due, due + CLAIM_WINDOW].map(|now| book.due(now));

    let claim = book.claim(caller(1, 6_000), due + CLAIM_WINDOW + Millis(1));

    assert_eq!(expected, [0, 1, 0]);
    assert_eq!(claim, Claim::None);
    assert!(book.is_empty());
    assert_eq!(book.take_expired(), 1);
}

/// Twice as many callers as a book holds: those beyond are told times within what they honour.
#[test]
fn a_full_book_takes_no_more() {
    let mut book = ReturnBook::default();
    let crowded = ReturnParams {
        interval_ms: 1.0,
        ..params(0)
    };

    for number in 0..2 * MAX_RESERVATIONS as u64 {
        let told = book.reserve(caller(number, 9_000), &crowded, Millis(1_000));
        let (ToldReturn::Reserved(told) | ToldReturn::Unreserved(told)) = told;
        assert!(told <= crowded.longest);
    }

    assert_eq!(book.len(), MAX_RESERVATIONS);
}

/// Callers that were rejected early or late: only those that can be in time are told to come soon.
#[test]
fn a_caller_that_can_still_be_in_time_returns_soon() {
    let earliest = |spent| {
        let (target, longest) = (Millis(500), Millis(2_000));
        earliest_return(150.0, 200.0, Millis(spent), target, longest)
    };

    assert_eq!(earliest(50), Millis(150));
    assert!(earliest(200) >= Millis(1_000));
}

/// Guards against callers that are told to wait for longer than they do: they give up, or return all
/// at once at a third of their time.
#[test]
fn no_caller_is_told_more_than_a_third_of_its_time() {
    for (left, longest) in [(0, 0), (2, 0), (900, 300), (8_000, 2_666)] {
        assert_eq!(longest_honoured(Millis(left)), Millis(longest));
    }
}
