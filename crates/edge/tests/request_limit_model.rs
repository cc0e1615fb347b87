//! Simulations of backend servers with request limits, with and without faults.
//!
//! `HEATHERKNOT_LIMIT_SEEDS=1000 cargo test --release -p heatherknot-edge --test request_limit_model -- --nocapture`
//! simulates a thousand seeds of each scenario and prints a summary of each.

mod support;

use support::limit_model::{Event, Outcome, Policy, Scenario, simulate};

const LIMIT: f64 = 5.0;
/// When the servers state their limits, and from when their use is measured.
const STATED_AT: u64 = 4_000;
const MEASURED_FROM: u64 = 8_000;
/// Part of the limits that has to be used while callers send three times as much.
const MIN_USED: f64 = 0.8;
/// Part of the requests whose first choice a server is that it gets once its limit is removed; a
/// few are on their way at the end.
const MIN_SERVED: f64 = 0.95;
/// Default number of seeds of each scenario, and of one with hundreds of VMs.
const SEEDS: u64 = 20;
const SEEDS_OF_LARGE: u64 = 1;

fn seeds(scenario: &Scenario) -> std::ops::RangeInclusive<u64> {
    let requested = std::env::var("HEATHERKNOT_LIMIT_SEEDS").ok();
    let default = match scenario.vms {
        500.. => SEEDS_OF_LARGE,
        _ => SEEDS,
    };
    let count = requested.map_or(default, |text| text.parse().expect("a number of seeds"));
    1..=count
}

/// One of four servers is limited, and callers send each server three times that limit.
fn one_limited(seed: u64) -> Scenario {
    Scenario {
        regions: 3,
        domains: 6,
        vms: 8,
        servers: 4,
        limited: 1,
        rate: 3.0 * LIMIT,
        policy: Policy::Permits,
        events: vec![(STATED_AT, Event::Limit(Some(LIMIT)))],
        duration: 30_000,
        seed,
    }
}

fn all_limited(seed: u64) -> Scenario {
    Scenario {
        limited: 4,
        ..one_limited(seed)
    }
}

fn with_faults(scenario: Scenario) -> Scenario {
    let mut rng = fastrand::Rng::with_seed(scenario.seed);
    let mut events = scenario.events.clone();
    for _ in 0..rng.usize(1..5) {
        let time = rng.u64(1_000..6_000);
        let faults = [
            Event::IssuerKilled,
            Event::VmKilled,
            Event::AllKilled,
            Event::DomainCut(time),
            Event::IssuerFrozen(time),
        ];
        events.push((
            rng.u64(5_000..scenario.duration),
            faults[rng.usize(..faults.len())],
        ));
    }
    Scenario { events, ..scenario }
}

/// Simulates all seeds of a scenario and prints a summary.
fn simulate_all(name: &str, scenario: impl Fn(u64) -> Scenario) -> Vec<(u64, Outcome)> {
    let outcomes: Vec<(u64, Outcome)> = seeds(&scenario(1))
        .map(|seed| (seed, simulate(&scenario(seed))))
        .collect();
    let all = || outcomes.iter().map(|(_, outcome)| outcome);
    let worst = |only_counted| {
        let excesses = all().map(|outcome| outcome.worst_excess(only_counted));
        excesses.fold(f64::NEG_INFINITY, f64::max)
    };
    let used = all().map(|outcome| outcome.used(MEASURED_FROM, LIMIT));
    let mut used: Vec<f64> = used.collect();
    used.sort_by(f64::total_cmp);
    let mut waits: Vec<u64> = all().flat_map(|outcome| outcome.waits.clone()).collect();
    waits.sort();
    let at = |part: f64| waits.get((waits.len() as f64 * part) as usize).copied();
    let bytes: u64 = all().map(|outcome| outcome.bytes).sum();
    println!(
        "{name}: {} seeds; worst excess {:.1} ({:.1} with disturbed VMs); used {:.2} (lowest {:.2}); \
         waits {:?} ms median, {:?} ms of 99 in 100; {} bytes a second",
        outcomes.len(),
        worst(true),
        worst(false),
        used[used.len() / 2],
        used[0],
        at(0.5).unwrap_or(0),
        at(0.99).unwrap_or(0),
        bytes / 30 / outcomes.len() as u64
    );
    outcomes
}

fn assert_within_limits(outcomes: &[(u64, Outcome)]) {
    for (seed, outcome) in outcomes {
        let excess = outcome.worst_excess(true);
        assert!(excess <= 0.0, "seed {seed}: {excess} requests too many");
    }
}

fn assert_used(outcomes: &[(u64, Outcome)]) {
    for (seed, outcome) in outcomes {
        let used = outcome.used(MEASURED_FROM, LIMIT);
        assert!(used >= MIN_USED, "seed {seed}: {used:.2} of the limit used");
    }
}

/// Guards against VMs that together exceed a limit, or leave most of it unused.
#[test]
fn limits_are_kept_and_used_without_faults() {
    for (name, scenario) in [
        ("one limited", one_limited as fn(u64) -> Scenario),
        ("all limited", all_limited),
    ] {
        let outcomes = simulate_all(name, scenario);
        assert_within_limits(&outcomes);
        assert_used(&outcomes);
    }
}

/// Guards against exceeding a limit while VMs are killed, cut off or hang.
#[test]
fn limits_are_kept_under_faults() {
    let outcomes = simulate_all("one limited, faults", |seed| with_faults(one_limited(seed)));
    assert_within_limits(&outcomes);
    let outcomes = simulate_all("all limited, faults", |seed| with_faults(all_limited(seed)));
    assert_within_limits(&outcomes);
}

/// Guards against changed limits that are applied late, and removed ones that stay in force.
#[test]
fn changed_limits_are_kept_and_removed_ones_end() {
    let changed = |seed| Scenario {
        events: vec![
            (4_000, Event::Limit(Some(20.0))),
            (12_000, Event::Limit(Some(2.0))),
            (20_000, Event::Limit(None)),
        ],
        ..one_limited(seed)
    };
    let outcomes = simulate_all("changed limits", changed);
    assert_within_limits(&outcomes);
    for (seed, outcome) in &outcomes {
        let served = outcome.served_fraction(24_000);
        assert!(
            served >= MIN_SERVED,
            "seed {seed}: {served:.2} after the removal"
        );
    }
}

/// Guards against a round trip for each request to a server whose limit is far above its load.
#[test]
fn a_limit_far_above_the_load_costs_few_calls() {
    let scenario = |seed| Scenario {
        rate: 60.0,
        events: vec![(STATED_AT, Event::Limit(Some(300.0)))],
        ..all_limited(seed)
    };
    for (seed, outcome) in simulate_all("limits above the load", scenario) {
        assert_eq!(outcome.refused, 0, "seed {seed}");
        assert!(
            outcome.calls < outcome.served / 3,
            "seed {seed}: {} calls for {} requests",
            outcome.calls,
            outcome.served
        );
    }
}

/// Guards against costs or a sum that grow with the number of VMs.
#[test]
fn limits_are_kept_by_hundreds_of_vms() {
    for (vms, policy) in [
        (78, Policy::Permits),
        (985, Policy::Permits),
        (985, Policy::HandedOver),
    ] {
        let scenario = |seed| Scenario {
            domains: 9,
            vms,
            policy,
            ..all_limited(seed)
        };
        let outcomes = simulate_all(&format!("{vms} VMs, {policy:?}"), scenario);
        assert_within_limits(&outcomes);
        assert_used(&outcomes);
    }
}

/// Compares the policies on the same seeds.
#[test]
#[ignore = "prints the comparison of docs/design/request-limits.md"]
fn compare_policies() {
    for vms in [8, 78, 985] {
        for policy in [Policy::EqualParts, Policy::Permits, Policy::HandedOver] {
            let scenario = |seed| Scenario {
                domains: if vms == 8 { 6 } else { 9 },
                vms,
                policy,
                ..all_limited(seed)
            };
            simulate_all(&format!("{vms} VMs, {policy:?}"), scenario);
            if vms < 500 {
                let faults = |seed| with_faults(scenario(seed));
                simulate_all(&format!("{vms} VMs, {policy:?}, faults"), faults);
            }
        }
    }
}
