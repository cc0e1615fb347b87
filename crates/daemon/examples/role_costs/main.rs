//! Measures what each role of a daemon costs as its state grows: one line for each size, and a
//! straight line through them.
//!
//! `cargo run --release --locked -p heatherknot-daemon --example role_costs [FILE.csv]`
//!
//! Everything runs in this process, without sockets; it ends by itself within two minutes.

#[path = "../fleet/deployment.rs"]
#[allow(dead_code)]
mod deployment;

use std::fmt::Write as _;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Instant;

use heatherknot_blocks::BlockTable;
use heatherknot_blocks::generate::{self, Mix};
use heatherknot_daemon::lookup::directory::{Directory, EntryVm, Presence};
use heatherknot_daemon::lookup::order::order;
use heatherknot_peer::PeerId;
use heatherknot_peer::members::{Claim, MemberState, Members, Source};
use heatherknot_settings::Tree;
use heatherknot_steering::{Identity, Peer, Steering, Tuning};
use heatherknot_types::prelude::*;

use deployment::{document, domain_name};

const DOMAINS: usize = 16;
const SITES: usize = 110;
const SERVICES: usize = 20;
const VMS: usize = 570;
const ROUNDS: usize = 9;
/// How long one round of a measurement lasts at least, in seconds.
const ROUND_SECONDS: f64 = 0.02;

/// One measured figure at one size.
#[derive(Clone)]
struct Point {
    size: usize,
    median: f64,
    least: f64,
    greatest: f64,
}

/// A figure as its state grows.
#[derive(Clone)]
struct Series {
    name: &'static str,
    unit: &'static str,
    grows: &'static str,
    target: usize,
    points: Vec<Point>,
}

fn main() -> ExitCode {
    let all = [lookups(), decisions(), membership(), settings()].concat();
    let mut csv = String::from("role,unit,grows,size,median,least,greatest\n");
    for series in &all {
        print(series);
        append(&mut csv, series);
    }
    match std::env::args()
        .nth(1)
        .map(|path| std::fs::write(path, csv))
    {
        Some(Err(error)) => {
            eprintln!("role_costs: {error}");
            ExitCode::FAILURE
        }
        _ => ExitCode::SUCCESS,
    }
}

fn lookups() -> Vec<Series> {
    vec![
        series(
            "look-up: block table",
            "ns",
            "blocks",
            1_500_000,
            block_lookup,
        ),
        series(
            "look-up: block table, held",
            "MB",
            "blocks",
            1_500_000,
            block_bytes,
        ),
        series("look-up: order of entry VMs", "ns", "VMs", VMS, order_vms),
        series("look-up: decision", "ns", "sites", SITES, decide),
    ]
}

fn decisions() -> Vec<Series> {
    vec![
        series(
            "steering: tick, ten a second",
            "us",
            "services",
            SERVICES,
            tick_by_services,
        ),
        series(
            "steering: tick, ten a second",
            "us",
            "sites",
            SITES,
            tick_by_sites,
        ),
        series(
            "steering: asking for grants, one a second",
            "us",
            "VMs",
            VMS,
            ask,
        ),
        series(
            "reports: report of this VM",
            "bytes",
            "sites",
            SITES,
            report_bytes,
        ),
    ]
}

fn membership() -> Vec<Series> {
    vec![
        series(
            "membership: digest, about five a second",
            "us",
            "VMs",
            VMS,
            digest,
        ),
        series(
            "membership: views, about seven a second",
            "us",
            "VMs",
            VMS,
            views,
        ),
        series(
            "membership: all claims as JSON",
            "bytes",
            "VMs",
            VMS,
            claims_bytes,
        ),
    ]
}

fn settings() -> Vec<Series> {
    vec![
        series(
            "settings: parse and compile",
            "ms",
            "services",
            SERVICES,
            compile,
        ),
        series(
            "settings: plan into steering, with a tick",
            "us",
            "services",
            SERVICES,
            on_plan,
        ),
        series(
            "settings: tree as JSON",
            "bytes",
            "services",
            SERVICES,
            tree_bytes,
        ),
    ]
}

/// Measures at a quarter, half, the whole and the double of the size of two years.
fn series(
    name: &'static str,
    unit: &'static str,
    grows: &'static str,
    target: usize,
    measure: fn(usize) -> Vec<f64>,
) -> Series {
    let sizes = [target / 4, target / 2, target, target * 2];
    let points = sizes.map(|size| {
        let mut rounds = measure(size);
        rounds.sort_by(f64::total_cmp);
        Point {
            size,
            median: rounds[rounds.len() / 2],
            least: rounds[0],
            greatest: rounds[rounds.len() - 1],
        }
    });
    Series {
        name,
        unit,
        grows,
        target,
        points: points.into(),
    }
}

fn print(series: &Series) {
    println!("{}, {} by {}", series.name, series.unit, series.grows);
    for p in &series.points {
        let (size, median) = (p.size, p.median);
        println!(
            "  {size:>9} {median:>12.2} ({:.2} to {:.2})",
            p.least, p.greatest
        );
    }
    let (at_zero, slope) = line(&series.points);
    println!(
        "  fit {at_zero:.2} + {slope:.6} x {}; at {}: {:.2}",
        series.grows,
        series.target,
        at_zero + slope * series.target as f64
    );
}

fn append(csv: &mut String, series: &Series) {
    for p in &series.points {
        let _ = writeln!(
            csv,
            "\"{}\",{},{},{},{:.3},{:.3},{:.3}",
            series.name, series.unit, series.grows, p.size, p.median, p.least, p.greatest
        );
    }
}

/// Gives the straight line through the medians by least squares: its value at zero, its slope.
fn line(points: &[Point]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.size as f64).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.median).sum::<f64>() / n;
    let over = points
        .iter()
        .map(|p| (p.size as f64 - mean_x) * (p.median - mean_y));
    let under = points.iter().map(|p| (p.size as f64 - mean_x).powi(2));
    let slope = over.sum::<f64>() / under.sum::<f64>();
    (mean_y - slope * mean_x, slope)
}

/// Times a step, and gives seconds for each run of it, one value a round.
fn time(mut step: impl FnMut()) -> Vec<f64> {
    let begun = Instant::now();
    step();
    let once = begun.elapsed().as_secs_f64().max(1e-9);
    let runs = (ROUND_SECONDS / once).clamp(1.0, 1e6) as usize;
    let round = |_| {
        let begun = Instant::now();
        (0..runs).for_each(|_| step());
        begun.elapsed().as_secs_f64() / runs as f64
    };
    (0..ROUNDS).map(round).collect()
}

fn scaled(rounds: Vec<f64>, factor: f64) -> Vec<f64> {
    rounds.into_iter().map(|seconds| seconds * factor).collect()
}

fn block_table(blocks: usize) -> BlockTable {
    BlockTable::from_blocks(Revision(1), generate::blocks(Mix::of(blocks, 20)))
}

fn block_lookup(blocks: usize) -> Vec<f64> {
    let table = block_table(blocks);
    let mut rng = fastrand::Rng::with_seed(1);
    let all: Vec<IpAddr> = table.blocks().map(|(prefix, _)| prefix.address()).collect();
    let asked: Vec<IpAddr> = (0..1 << 16).map(|_| all[rng.usize(..all.len())]).collect();
    let mut next = asked.iter().cycle();
    scaled(
        time(|| {
            black_box(table.lookup(*next.next().expect("cycle")));
        }),
        1e9,
    )
}

fn block_bytes(blocks: usize) -> Vec<f64> {
    vec![block_table(blocks).resident_bytes() as f64 / f64::from(1 << 20)]
}

fn vm_name(at: usize) -> VmName {
    VmName::from(format!("vm-{at:04}"))
}

fn order_vms(vms: usize) -> Vec<f64> {
    let vm = |at: usize| EntryVm {
        vm: vm_name(at),
        incarnation: Incarnation(at as u64),
        domain: domain_name(at % DOMAINS),
        callers: SocketAddr::from(([127, 0, 0, 1], 80)),
        presence: Presence::Alive,
    };
    let directory = Directory::new((0..vms).map(vm));
    let domains: Vec<DomainName> = (0..DOMAINS).map(domain_name).collect();
    let service = ServiceName::from("operators/fleet:service-0");
    let mut block = 0_u32;
    let step = || {
        block = block.wrapping_add(256);
        let address = IpAddr::V4(Ipv4Addr::from(block));
        black_box(order(&directory, &domains, &service, address));
    };
    scaled(time(step), 1e9)
}

fn plan(sites: usize, services: usize) -> Arc<heatherknot_types::plan::Plan> {
    let tree = Tree::from_document(document(DOMAINS, sites, services)).expect("good settings");
    Arc::new(tree.compile(Revision(1)))
}

/// Gives a VM's decisions with settings, its part of the capacity and its peers known.
fn steering(sites: usize, services: usize, vms: usize) -> Steering {
    let me = Identity {
        vm: vm_name(0),
        domain: domain_name(0),
        incarnation: Incarnation(1),
    };
    let mut steering = Steering::new(me, Tuning::default(), Millis(0));
    steering.on_plan(plan(sites, services), Millis(0));
    steering.on_capacity_part((DOMAINS * 1000 / vms.max(DOMAINS)) as u16, Millis(0));
    steering.on_peers(peers(vms));
    (1..100).for_each(|tick| steering.tick(Millis(tick * 100)));
    steering
}

fn peers(vms: usize) -> Vec<Peer> {
    let peer = |at: usize| Peer {
        vm: vm_name(at),
        domain: domain_name(at % DOMAINS),
        usable: true,
    };
    (1..vms).map(peer).collect()
}

fn decide(sites: usize) -> Vec<f64> {
    let mut steering = steering(sites, SERVICES, VMS);
    let services: Vec<ServiceName> = steering.plan().services.keys().cloned().collect();
    let mut now = 10_000_000_u64;
    let step = || {
        // 526 look-ups a second: 300,000 over 570 daemons.
        now += 1_900;
        let service = &services[now as usize % services.len()];
        black_box(steering.on_lookup(service, &now.to_le_bytes(), Millis(now / 1000)));
    };
    scaled(time(step), 1e9)
}

fn tick(sites: usize, services: usize) -> Vec<f64> {
    let mut steering = steering(sites, services, VMS);
    let mut now = 10_000;
    let step = || {
        now += 100;
        steering.tick(Millis(now));
    };
    scaled(time(step), 1e6)
}

fn tick_by_services(services: usize) -> Vec<f64> {
    tick(SITES, services)
}

fn tick_by_sites(sites: usize) -> Vec<f64> {
    tick(sites, SERVICES)
}

fn ask(vms: usize) -> Vec<f64> {
    let mut steering = steering(SITES, SERVICES, vms);
    let mut now = 10_000;
    let step = || {
        now += 1_000;
        black_box(steering.request_grants(Millis(now)));
    };
    scaled(time(step), 1e6)
}

fn report_bytes(sites: usize) -> Vec<f64> {
    let mut steering = steering(sites, SERVICES, VMS);
    let report = serde_json::to_vec(&steering.report(Millis(10_000))).expect("serialises");
    vec![report.len() as f64]
}

fn peer_id(at: usize) -> PeerId {
    PeerId {
        vm: vm_name(at),
        domain: domain_name(at % DOMAINS),
        incarnation: Incarnation(0x0123_4567_89ab_cdef + at as u64),
        epoch: 1_790_000_000_000,
        address: SocketAddr::from(([10, 1, 2, 3], 7000)),
        callers: Some(SocketAddr::from(([10, 1, 2, 3], 8080))),
    }
}

fn members(vms: usize) -> Members {
    let mut members = Members::new(peer_id(0));
    for at in 1..vms {
        let claim = Claim {
            id: peer_id(at),
            version: 1,
            state: MemberState::Alive,
        };
        members.merge(claim, Source::Peer, Millis(1));
    }
    members
}

fn digest(vms: usize) -> Vec<f64> {
    let members = members(vms);
    scaled(
        time(|| {
            black_box(members.digest());
        }),
        1e6,
    )
}

fn views(vms: usize) -> Vec<f64> {
    let members = members(vms);
    scaled(time(|| drop(black_box(members.views(Millis(2))))), 1e6)
}

fn claims_bytes(vms: usize) -> Vec<f64> {
    let members = members(vms);
    let claims: Vec<Claim> = members.others().map(|m| m.claim.clone()).collect();
    vec![serde_json::to_vec(&claims).expect("serialises").len() as f64]
}

fn compile(services: usize) -> Vec<f64> {
    let document = document(DOMAINS, SITES, services);
    let step = || {
        let tree = Tree::from_document(document.clone()).expect("good settings");
        black_box(tree.compile(Revision(1)));
    };
    scaled(time(step), 1e3)
}

/// Each plan comes ten minutes after the one before; the tick between them, which forgets what
/// bounded the grants of before, is measured with it.
fn on_plan(services: usize) -> Vec<f64> {
    let plan = plan(SITES, services);
    let mut steering = steering(SITES, services, VMS);
    let mut now = 10_000;
    let step = || {
        now += 600_000;
        steering.on_plan(Arc::clone(&plan), Millis(now));
        steering.tick(Millis(now + 100));
    };
    scaled(time(step), 1e6)
}

fn tree_bytes(services: usize) -> Vec<f64> {
    vec![document(DOMAINS, SITES, services).to_string().len() as f64]
}
