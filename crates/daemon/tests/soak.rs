//! A soak of real daemon processes under faults from outside, drawn from a seed.
//!
//! `HEATHERKNOT_SOAK_SEEDS=50 cargo test --release -p heatherknot-daemon --test soak` plays
//! fifty seeds, from `HEATHERKNOT_FIRST_SEED` on. The logs of a seed that fails are kept under
//! the directory that the failure names; `heatherknot trace` reads them.

#[path = "soak/callers.rs"]
mod callers;
#[path = "soak/fleet.rs"]
mod fleet;
#[path = "soak/limits.rs"]
mod limits;
#[path = "soak/mortal.rs"]
mod mortal;
#[path = "soak/rollouts.rs"]
mod rollouts;
#[path = "../../../platform/tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use callers::Callers;
use fleet::Fleet;
use limits::LimitCallers;
use mortal::Bringer;
use rollouts::RolloutCaller;

/// Seeds that failed once, with what was wrong; each is played in every run.
const FAILED_ONCE: &[(u64, &str)] = &[
    (
        105,
        "a daemon's port was taken by an outgoing connection while it restarted",
    ),
    (301, "the same, at another daemon"),
    (
        1014,
        "a daemon told to stop before the end of the faults stopped between two checks that it serves",
    ),
];
/// Seeds that a run plays where nothing else is asked for; the second one has load control on.
const SEEDS: u64 = 2;
/// How long faults come, and the pause between two.
const FAULTS_FOR: Duration = Duration::from_secs(10);
const FAULT_PAUSE_MS: std::ops::Range<u64> = 150..600;
/// How long after the last fault every daemon must serve again.
const RECOVERY: Duration = Duration::from_secs(15);

fn number(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.map_or(default, |text| {
        text.parse().expect("the variable holds a number")
    })
}

#[test]
fn promises_hold_under_random_faults() {
    let first = number("HEATHERKNOT_FIRST_SEED", 1);
    let fresh = first..first + number("HEATHERKNOT_SOAK_SEEDS", SEEDS);
    for seed in FAILED_ONCE.iter().map(|(seed, _)| *seed).chain(fresh) {
        let broken = play(seed);
        assert!(
            broken.is_empty(),
            "seed {seed}: {broken:#?}; logs: {}",
            Fleet::logs(seed).display()
        );
        let _ = std::fs::remove_dir_all(Fleet::logs(seed));
    }
}

/// Plays one seed; gives the promises that were broken.
fn play(seed: u64) -> Vec<String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut fleet = Fleet::start(seed);
    fleet.until_served();
    let callers = Callers::start(&fleet, seed);
    let bringer = Bringer::start(fleet.addresses(), seed);
    let rollout_caller = RolloutCaller::start(fleet.addresses(), seed);
    let limit_callers = LimitCallers::start(&fleet.addresses(), seed);
    let began = Instant::now();
    while began.elapsed() < FAULTS_FOR {
        fleet.strike(&mut rng);
        fleet.step();
        std::thread::sleep(Duration::from_millis(rng.u64(FAULT_PAUSE_MS)));
    }
    fleet.heal();
    let healed = Instant::now();
    let has_recovered =
        |fleet: &Fleet| !fleet.is_stopping() && fleet.all_serve() && fleet.has_rollout_ended();
    while !has_recovered(&fleet) && healed.elapsed() < RECOVERY {
        fleet.step();
        std::thread::sleep(Duration::from_millis(100));
    }
    bringer.stop();
    rollout_caller.stop();
    limit_callers.stop();
    let mut broken = fleet.broken();
    if !fleet.all_serve() {
        broken.push(format!(
            "not all daemons serve {RECOVERY:?} after the last fault"
        ));
    }
    broken.extend(callers.stop(&fleet));
    broken
}
