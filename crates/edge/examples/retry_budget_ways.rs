//! Compares ways to share a retry budget among VMs, by simulated failures, starts and moved callers.
//!
//! `cargo run --release --locked -p heatherknot-edge --example retry_budget_ways -- [SEEDS]` prints,
//! for each way, the worst use of the budget in each scenario with the number of seeds that exceed
//! it, and the part of the retries that is granted in failures of several lengths.

#[path = "../tests/support/retry_model.rs"]
mod retry_model;

use std::collections::VecDeque;

use heatherknot_edge::budget::RetryBudget;
use heatherknot_edge::settings::Bounds;
use heatherknot_edge::window::SlidingWindow;
use heatherknot_types::prelude::*;
use retry_model::{Budget, Event, Query, Scenario, bounds, product_budget, simulate};

const DEFAULT_SEEDS: u64 = 300;
const WINDOW: Millis = Millis(10_000);

/// Each VM compares its retries of some spans with its requests of the same spans. A new run may use
/// the part of the budget that corresponds to its age if `by_age` is set.
fn own_windows(spans: &'static [u64], by_age: bool) -> impl Fn(Millis) -> Budget {
    move |started| {
        let new = || spans.iter().map(|span| SlidingWindow::new(Millis(*span)));
        let (mut requests, mut retries): (Vec<_>, Vec<_>) = (new().collect(), new().collect());
        Box::new(move |now, query| {
            let Query::Retry(vms) = query else {
                requests.iter_mut().for_each(|window| window.add(now, 1.0));
                return false;
            };
            let age = now.since(started).0 as f64 / WINDOW.0 as f64;
            let part = if by_age { age.min(1.0) } else { 1.0 };
            let fixed = 60.0 / vms as f64;
            let mut pairs = requests.iter_mut().zip(&mut retries);
            let is_granted = pairs.all(|(requests, retries)| {
                let limit = 0.8 * (0.2 * requests.total(now) + fixed);
                retries.total(now) + 1.0 <= limit * part
            });
            if is_granted {
                retries.iter_mut().for_each(|window| window.add(now, 1.0));
            }
            is_granted
        })
    }
}

/// Each request deposits parts of a retry, given as pairs of a share of the ratio and a lifetime.
fn deposits(parts: &'static [(f64, u64)]) -> impl Fn(Millis) -> Budget {
    move |_| {
        let mut deposited: Vec<VecDeque<(u64, f64)>> = vec![VecDeque::new(); parts.len()];
        Box::new(move |now, query| {
            for (queue, (share, life)) in deposited.iter_mut().zip(parts) {
                while queue.front().is_some_and(|(at, _)| at + life < now.0) {
                    queue.pop_front();
                }
                if matches!(query, Query::Request) {
                    queue.push_back((now.0, 0.2 * share));
                }
            }
            let total: f64 = deposited.iter().flatten().map(|(_, amount)| amount).sum();
            if matches!(query, Query::Request) || total < 1.0 {
                return false;
            }
            let mut due = 1.0_f64;
            for (_, amount) in deposited.iter_mut().flatten() {
                let taken = amount.min(due);
                *amount -= taken;
                due -= taken;
            }
            true
        })
    }
}

/// Half deposits, with a fixed part that grows with the age of the run, half of it at most at once.
fn fixed_by_time(started: Millis) -> Budget {
    let mut budget = RetryBudget::new(
        &Bounds {
            retry_slack: 0.0,
            ..bounds()
        },
        started,
    );
    let (mut fixed, mut refilled) = (0.0_f64, started);
    Box::new(move |now, query| {
        let Query::Retry(vms) = query else {
            budget.record_request(now);
            return false;
        };
        let half = 0.5 * 60.0 / vms as f64;
        fixed = (fixed + half * now.since(refilled).0 as f64 / WINDOW.0 as f64).min(0.8 * half);
        refilled = now;
        if budget.try_take(now, vms).is_granted() {
            return true;
        }
        let is_granted = fixed >= 1.0;
        fixed -= if is_granted { 1.0 } else { 0.0 };
        is_granted
    })
}

/// Failures at `at`, each of its length, with an event in between.
fn scenario(seed: u64, failures: &[(u64, u64)], event: Option<Event>) -> Scenario {
    let mut rng = fastrand::Rng::with_seed(seed);
    let last = failures.last().map_or(0, |(at, length)| at + length);
    Scenario {
        vms: *rng.choice(&[8, 11, 60]).expect("sizes"),
        rate: *rng.choice(&[30.0, 200.0, 600.0]).expect("rates"),
        swing: 0.5 * rng.f64(),
        failures: failures
            .iter()
            .map(|(at, length)| (*at, at + length, 0.8))
            .collect(),
        events: event.map(|event| (17_000, event)).into_iter().collect(),
        duration: last + 12_000,
        seed,
    }
}

fn print_way(name: &str, seeds: u64, new_budget: &dyn Fn(Millis) -> Budget) {
    const TWO: &[(u64, u64)] = &[(14_000, 1_500), (22_000, 1_500)];
    let events = [
        None,
        Some(Event::Killed(1.0)),
        Some(Event::Rolled(4_000)),
        Some(Event::Moved(1.0)),
        Some(Event::Moved(0.33)),
        Some(Event::Frozen(1.0)),
        Some(Event::ScaledOut),
    ];
    let worst = events.map(|event| {
        let shares =
            (1..=seeds).map(|seed| simulate(&scenario(seed, TWO, event), new_budget).worst_share());
        let shares: Vec<f64> = shares.collect();
        let over = shares.iter().filter(|share| **share > 1.0).count();
        format!("{:.2} ({over})", shares.iter().copied().fold(0.0, f64::max))
    });
    let lengths = [
        (15_000, 500),
        (15_000, 1_500),
        (15_000, 6_000),
        (15_000, 20_000),
        (2_000, 1_500),
    ];
    let granted = lengths.map(|failure| {
        let outcomes =
            (1..=seeds).map(|seed| simulate(&scenario(seed, &[failure], None), new_budget));
        let (granted, denied) = outcomes.fold((0, 0), |(granted, denied), outcome| {
            (granted + outcome.granted(), denied + outcome.denied)
        });
        format!("{:.2}", granted as f64 / (granted + denied) as f64)
    });
    println!("{name:<34} {} | {}", worst.join("  "), granted.join("  "));
}

fn main() {
    let seeds = std::env::args().nth(1);
    let seeds = seeds.map_or(DEFAULT_SEEDS, |text| {
        text.parse().expect("a number of seeds")
    });
    println!(
        "{seeds} seeds. Worst use (seeds over): none, all killed, rolled, all moved, a third moved, frozen, scaled out | \
         granted in failures of 0.5, 1.5, 6 and 20 s, and of 1.5 s after a start"
    );
    print_way("product", seeds, &product_budget);
    print_way("fixed part by time", seeds, &fixed_by_time);
    print_way("own window", seeds, &own_windows(&[10_000], false));
    print_way("own window, by age", seeds, &own_windows(&[10_000], true));
    print_way(
        "own windows of 10, 5 and 2 s",
        seeds,
        &own_windows(&[10_000, 5_000, 2_000], false),
    );
    print_way("deposits for 1 s", seeds, &deposits(&[(0.91, 1_000)]));
    print_way("deposits for 5 s", seeds, &deposits(&[(0.67, 5_000)]));
    print_way("half deposits for 8 s", seeds, &deposits(&[(0.5, 8_000)]));
    print_way(
        "deposits, part for 0.5, part for 8 s",
        seeds,
        &deposits(&[(0.6, 500), (0.4, 8_000)]),
    );
}
