//! Measures a fleet of daemons in one process on loopback, with the real clock: the cost of
//! heartbeats and the relay of settings while nothing changes, the time until a lost VM is
//! detected, the time until a change is in force, and for comparison the cost of heartbeats in a
//! full mesh.
//!
//! `cargo run --release -p heatherknot-peer --example peer_fleet -- 32 64 128 192`
//!
//! Each fleet size takes about two minutes. The size is limited by the number of open files of a
//! process, because both ends of each connection are in this process.

mod baseline;
mod daemons;
mod figures;

use std::time::{Duration, Instant};

use baseline::full_mesh;
use daemons::{DOMAINS, Fleet};
use figures::{Cost, Row, Spread, fit_line};

/// Number of daemons that the system is designed for.
const FULL_SIZE: f64 = 570.0;
/// Time for the updates of the start to spread.
const SETTLING: Duration = Duration::from_secs(30);
/// Duration of the measurement without changes.
const IDLE: Duration = Duration::from_secs(15);
const LOSSES: usize = 4;
const CHANGES: usize = 10;
/// Fleet sizes of the full mesh, which opens a connection for each pair and direction and therefore
/// cannot be measured at the same sizes.
const MESH_SIZES: [usize; 4] = [16, 32, 48, 64];
/// Time after which waiting for a condition gives up.
const LIMIT: Duration = Duration::from_secs(60);

fn main() {
    let args = std::env::args().skip(1);
    let mut sizes: Vec<usize> = args.filter_map(|arg| arg.parse().ok()).collect();
    if sizes.is_empty() {
        sizes.extend([32, 64, 128, 192]);
    }
    println!("{DOMAINS} domains, one process, one thread, real clock");
    println!("{}", Row::HEADER);
    let rows: Vec<Row> = sizes.into_iter().map(measure).collect();
    println!("\nslopes over the fleet's size, by least squares:");
    let fit = |name, value: fn(&Row) -> f64| {
        print_slope(name, rows.iter().map(|row| (row.size as f64, value(row))));
    };
    fit("idle bytes/s", |row| row.idle.bytes);
    fit("idle CPU %", |row| row.idle.cpu);
    fit("ms to in force", |row| row.in_force.median);
    fit("ms to gone everywhere, process killed", |row| {
        row.killed_gone.median
    });
    fit("ms to gone everywhere, VM vanished", |row| {
        row.vanished_gone.median
    });
    measure_meshes();
}

fn measure_meshes() {
    println!("\nfull mesh, a heartbeat to every other daemon each second:");
    let costs = MESH_SIZES.map(|size| (size as f64, runtime().block_on(full_mesh(size))));
    for (size, cost) in &costs {
        println!("| {size} | {cost} |");
    }
    print_slope(
        "bytes/s",
        costs.iter().map(|(size, cost)| (*size, cost.bytes)),
    );
    print_slope("CPU %", costs.iter().map(|(size, cost)| (*size, cost.cpu)));
}

fn print_slope(name: &str, points: impl Iterator<Item = (f64, f64)>) {
    let (slope, base) = fit_line(points);
    let at = base + slope * FULL_SIZE;
    println!("{name}: {base:.3} + {slope:.5} per daemon; at {FULL_SIZE}: {at:.3}");
}

fn runtime() -> monoio::Runtime<monoio::time::TimeDriver<monoio::LegacyDriver>> {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime")
}

fn measure(size: usize) -> Row {
    let row = runtime().block_on(measure_fleet(size));
    println!("{row}");
    row
}

async fn measure_fleet(size: usize) -> Row {
    let mut fleet = Fleet::start(size);
    let joined = until(|| fleet.all_know_all()).await;
    monoio::time::sleep(SETTLING).await;
    let idle = cost(&fleet, IDLE).await;
    let connections = fleet.connections();
    let watchers = fleet.watchers();
    let report_age = Spread::of(fleet.report_ages());
    let (in_force, change) = measure_changes(&fleet).await;
    fleet.cut_off(true);
    let (cut_off, _) = measure_changes(&fleet).await;
    fleet.cut_off(false);
    let mut killed = Losses::default();
    let mut vanished = Losses::default();
    for _ in 0..LOSSES {
        killed.measure(&mut fleet, false).await;
        vanished.measure(&mut fleet, true).await;
    }
    fleet.stop();
    monoio::time::sleep(baseline::SHUTDOWN).await;
    Row {
        size,
        joined,
        idle,
        connections,
        watchers,
        report_age,
        change,
        in_force,
        cut_off,
        killed_suspect: Spread::of(killed.suspect),
        killed_gone: Spread::of(killed.gone),
        vanished_suspect: Spread::of(vanished.suspect),
        vanished_gone: Spread::of(vanished.gone),
    }
}

/// Waits until `done` returns true. Returns the elapsed time in milliseconds, or NaN after
/// [`LIMIT`].
async fn until(mut done: impl FnMut() -> bool) -> f64 {
    let started_at = Instant::now();
    while !done() {
        if started_at.elapsed() > LIMIT {
            return f64::NAN;
        }
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
    started_at.elapsed().as_secs_f64() * 1_000.0
}

async fn cost(fleet: &Fleet, span: Duration) -> Cost {
    let before = Cost::start_measuring(fleet.traffic());
    monoio::time::sleep(span).await;
    before.finish(fleet.traffic(), fleet.len())
}

/// Returns the time in milliseconds until a change is in force on all daemons, and the bytes that a
/// daemon sent and received in that time, as the median over all changes.
async fn measure_changes(fleet: &Fleet) -> (Spread, f64) {
    let mut times = Vec::new();
    let mut bytes = Vec::new();
    for _ in 0..CHANGES {
        let before = fleet.traffic();
        let revision = fleet.commit();
        times.push(until(|| fleet.all_hold(revision)).await);
        let moved = fleet.traffic().bytes - before.bytes;
        bytes.push(moved as f64 / fleet.len() as f64);
        monoio::time::sleep(Duration::from_millis(300)).await;
    }
    (Spread::of(times), Spread::of(bytes).median)
}

#[derive(Default)]
struct Losses {
    suspect: Vec<f64>,
    gone: Vec<f64>,
}

impl Losses {
    /// Stops one daemon and measures the time until any other suspects it and until all consider it
    /// gone.
    async fn measure(&mut self, fleet: &mut Fleet, silently: bool) {
        let begun = Instant::now();
        let vm = fleet.stop_one(silently);
        until(|| fleet.anybody_suspects(&vm)).await;
        self.suspect.push(begun.elapsed().as_secs_f64() * 1_000.0);
        until(|| fleet.all_count_gone(&vm)).await;
        self.gone.push(begun.elapsed().as_secs_f64() * 1_000.0);
    }
}
