//! Tests of the retry budget that all VMs share.
//!
//! `HEATHERKNOT_RETRY_SEEDS=1000 cargo test --release -p heatherknot-edge --test retry_budget` simulates a thousand
//! seeds of each scenario; `HEATHERKNOT_FIRST_SEED` says from which one on.

#[path = "support/retry_model.rs"]
mod retry_model;

use retry_model::{Event, Outcome, Scenario, product_budget, simulate};

/// Default number of seeds of each scenario.
const SEEDS: u64 = 40;

fn seeds() -> std::ops::Range<u64> {
    let number = |name| {
        let text = std::env::var(name).ok()?;
        Some(text.parse().expect("a number"))
    };
    let first = number("HEATHERKNOT_FIRST_SEED").unwrap_or(1);
    first..first + number("HEATHERKNOT_RETRY_SEEDS").unwrap_or(SEEDS)
}

/// Two failures up to a window apart, with `event` between them.
fn two_failures(seed: u64, event: Option<Event>) -> Scenario {
    let mut rng = fastrand::Rng::with_seed(seed);
    let first = rng.u64(12_000..16_000);
    let mut length = || rng.u64(800..3_000);
    let (first_length, second_length) = (length(), length());
    let second = first + rng.u64(first_length + 3_000..9_500);
    let share = 0.5 + 0.5 * rng.f64();
    let at = rng.u64(first + first_length..second - 1_000);
    Scenario {
        vms: *rng.choice(&[8, 11, 60]).expect("sizes"),
        rate: *rng.choice(&[30.0, 200.0, 600.0]).expect("rates"),
        swing: 0.5 * rng.f64(),
        failures: vec![
            (first, first + first_length, share),
            (second, second + second_length, share),
        ],
        events: event.map(|event| (at, event)).into_iter().collect(),
        duration: second + 12_000,
        seed,
    }
}

/// Three failures and several events, all at random times.
fn several_events(seed: u64) -> Scenario {
    let mut rng = fastrand::Rng::with_seed(seed);
    let scenario = two_failures(seed, None);
    let mut event = || match rng.u32(0..6) {
        0 => Event::Moved(1.0),
        1 => Event::Moved(0.3 + 0.4 * rng.f64()),
        2 => Event::Killed(rng.f64()),
        3 => Event::Rolled(rng.u64(1_000..8_000)),
        4 => Event::Frozen(rng.f64()),
        _ => Event::ScaledOut,
    };
    let events: Vec<Event> = (0..4).map(|_| event()).collect();
    let at = |rng: &mut fastrand::Rng| rng.u64(8_000..scenario.duration);
    Scenario {
        events: events
            .into_iter()
            .map(|event| (at(&mut rng), event))
            .collect(),
        ..scenario
    }
}

fn assert_within_budget(name: &str, scenario: impl Fn(u64) -> Scenario) {
    let play = |seed| (seed, simulate(&scenario(seed), &product_budget));
    let outcomes: Vec<(u64, Outcome)> = seeds().map(play).collect();
    let exceeded: Vec<(u64, f64)> = outcomes
        .iter()
        .map(|(seed, outcome)| (*seed, outcome.worst_share()))
        .filter(|(_, share)| *share > 1.0)
        .collect();
    assert!(
        exceeded.is_empty(),
        "{name}: seeds and shares: {exceeded:?}"
    );
}

/// Guards against retries beyond the budget in repeated failures.
#[test]
fn retries_stay_within_the_budget_in_repeated_failures() {
    assert_within_budget("repeated failures", |seed| two_failures(seed, None));
}

/// Guards against a budget that denies the retries of a short failure.
#[test]
fn nearly_all_retries_of_a_short_failure_are_granted() {
    let outcomes = seeds().map(|seed| {
        let scenario = Scenario {
            failures: vec![(15_000, 16_500, 0.5)],
            ..two_failures(seed, None)
        };
        simulate(&scenario, &product_budget)
    });
    let (granted, denied) = outcomes.fold((0, 0), |(granted, denied), outcome| {
        (granted + outcome.granted(), denied + outcome.denied)
    });
    assert!(granted >= 9 * denied, "{granted} granted, {denied} denied");
}

/// Guards against new VMs that grant retries whose budget their predecessors have used.
#[test]
fn retries_stay_within_the_budget_across_restarts() {
    assert_within_budget("all killed", |seed| {
        two_failures(seed, Some(Event::Killed(1.0)))
    });
    assert_within_budget("rolled", |seed| {
        two_failures(seed, Some(Event::Rolled(4_000)))
    });
}

/// Guards against retries granted twice for the same requests where callers move to other VMs.
#[test]
fn retries_stay_within_the_budget_when_callers_move() {
    assert_within_budget("all moved", |seed| {
        two_failures(seed, Some(Event::Moved(1.0)))
    });
    assert_within_budget("a third moved", |seed| {
        two_failures(seed, Some(Event::Moved(0.33)))
    });
}

/// Guards against retries beyond the budget under combinations of moves, kills, freezes and new VMs.
#[test]
fn retries_stay_within_the_budget_under_several_events() {
    assert_within_budget("several events", several_events);
}
