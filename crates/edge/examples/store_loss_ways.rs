//! Compares ways to treat a store that loses its latest changes and comes back from a copy.
//!
//! `cargo run --release --locked -p heatherknot-edge --example store_loss_ways -- [SEEDS]` prints for
//! each way: in how many plays a change after the return was late, the longest time until one was in
//! force, the time in which running servers were not used, ended ones were, and an evacuated domain
//! was, a play and VM, and the keys that were sent to VMs after the loss, a play. Then it measures how
//! long a copy with many servers takes to enter an era.

#[path = "../tests/support/loss_model.rs"]
mod loss_model;

use std::time::Instant;

use heatherknot_edge::mirror::{Change, Mirror, VersionedValue};
use heatherknot_store::port::{StoreEra, StoreRevision};
use loss_model::{Outcome, VMS, Way, play};

const DEFAULT_SEEDS: u64 = 300;
/// Keys of the largest deployment: its backend servers and VMs.
const MANY_KEYS: u64 = 11_000;
/// Part of them that changed in the lost seconds.
const CHANGED_FRACTION: u64 = 100;

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
    measure_entry();
}

/// Prints how long it takes to enter an era with [`MANY_KEYS`] keys, and what peers are sent.
fn measure_entry() {
    let mut mirror = Mirror::default();
    mirror.apply_snapshot(
        keys(1, "before"),
        StoreRevision::new(StoreEra(1), 2 * MANY_KEYS),
    );
    let listed = keys(2, "after");
    let at = StoreRevision::new(StoreEra(2), MANY_KEYS);
    let before = mirror.revision();

    let began = Instant::now();
    let changes = mirror.apply_snapshot(listed, at);
    let took = began.elapsed();

    changes.iter().for_each(|c| mirror.mark_relevant(&c.key));
    let sent = mirror.changes_since(before).map(|changes| changes.len());
    println!(
        "{MANY_KEYS} keys, {} changed: entered in {took:?}, {sent:?} keys sent to a peer",
        changes.len()
    );
}

/// Returns the keys of an era. One of [`CHANGED_FRACTION`] has the given text in its value.
fn keys(era: u64, text: &str) -> Vec<Change> {
    let change = |n: u64| {
        let changed = if n.is_multiple_of(CHANGED_FRACTION) {
            text
        } else {
            ""
        };
        let value = format!("a registration of about two hundred bytes {n:0>140} {changed}");
        Change {
            key: format!("servers/{n:08x}"),
            current: VersionedValue {
                revision: StoreRevision::new(StoreEra(era), n),
                created: n,
                value: Some(value.into()),
            },
        }
    };
    (1..=MANY_KEYS).map(change).collect()
}
