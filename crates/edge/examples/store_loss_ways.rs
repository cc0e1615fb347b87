//! Compares ways to treat a store that loses its latest changes and comes back from a copy.
//!
//! `cargo run --release --locked -p heatherknot-edge --example store_loss_ways -- [SEEDS]` prints for
//! each way: in how many plays a change after the return was late, the longest time until one was in
//! force, the time in which running servers were not used, ended ones were, and an evacuated domain
//! was, a play and VM, and the keys that were sent to VMs after the loss, a play.

#[path = "../tests/support/loss_model.rs"]
mod loss_model;

use loss_model::{Outcome, VMS, Way, play};

const DEFAULT_SEEDS: u64 = 300;

fn main() {
    let seeds = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seeds = seeds.unwrap_or(DEFAULT_SEEDS);
    println!("{seeds} seeds; times in ms");
    println!("way            late plays  worst  unused   ended  opened    keys");
    for way in [Way::Numbers, Way::Eras, Way::Empty, Way::ErasAndWait] {
        let outcomes: Vec<Outcome> = (1..=seeds).map(|seed| play(way, seed)).collect();
        let late = outcomes.iter().filter(|outcome| outcome.late > 0).count();
        let worst = outcomes.iter().map(|outcome| outcome.worst).max();
        let mean =
            |of: fn(&Outcome) -> u64| outcomes.iter().map(of).sum::<u64>() as f64 / seeds as f64;
        let by_vm = |of: fn(&Outcome) -> u64| mean(of) / VMS as f64;
        println!(
            "{:<14} {late:>10} {:>6} {:>7.0} {:>7.0} {:>7.0} {:>7.0}",
            format!("{way:?}"),
            worst.unwrap_or(0),
            by_vm(|o| o.unused),
            by_vm(|o| o.ended),
            by_vm(|o| o.opened),
            mean(|o| o.keys),
        );
    }
}
