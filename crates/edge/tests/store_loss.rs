//! Plays seeded losses of the store's latest changes on the local copies of its keys.

#[path = "support/loss_model.rs"]
mod loss_model;

use loss_model::{Outcome, Way, play};

const DEFAULT_SEEDS: u64 = 60;
/// Seeds that failed once.
const FAILED_ONCE: [u64; 4] = [1572, 1641, 1659, 2790];

fn setting(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Returns the seeds whose outcome is wrong.
fn seeds(way: Way, is_wrong: impl Fn(&Outcome) -> bool) -> Vec<u64> {
    let wrong = outcomes(way).filter(|(_, outcome)| is_wrong(outcome));
    wrong.map(|(seed, _)| seed).collect()
}

fn outcomes(way: Way) -> impl Iterator<Item = (u64, Outcome)> {
    let first = setting("HEATHERKNOT_FIRST_SEED", 1);
    let seeds = setting("HEATHERKNOT_LOSS_SEEDS", DEFAULT_SEEDS);
    let seeds = (first..first + seeds).chain(FAILED_ONCE);
    seeds.map(move |seed| (seed, play(way, seed)))
}

/// Guards against changes after the loss that some VM ignores or gets too late.
#[test]
fn changes_after_a_loss_are_in_force_in_time() {
    let late = seeds(Way::ErasAndWait, |outcome| outcome.late > 0);
    assert!(late.is_empty(), "{late:?}");
}

/// Guards against using servers that have ended, or a domain that is evacuated, because the copy is
/// from before that.
#[test]
fn ended_servers_and_evacuated_domains_stay_unused() {
    let used = seeds(Way::ErasAndWait, |outcome| {
        outcome.ended + outcome.opened > 0
    });
    assert!(used.is_empty(), "{used:?}");
}

/// Guards against dropping servers that the copy does not show and that still run.
#[test]
fn running_servers_stay_in_use() {
    let unused = seeds(Way::ErasAndWait, |outcome| outcome.unused > 0);
    assert!(unused.is_empty(), "{unused:?}");
}

/// Guards against a model that would not show the fault: by number, changes are missed.
#[test]
fn revisions_compared_by_number_miss_changes() {
    let late = seeds(Way::Numbers, |outcome| outcome.late > 0);
    assert!(!late.is_empty());
}
