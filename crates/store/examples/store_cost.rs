//! Measures the calls and the latency of commits, claims, the capacity ledger and followers.
//!
//! Runs against the fake platform on this machine for some seconds and prints one line per
//! measurement:
//!
//!     cargo run --release --locked -p heatherknot-store --example store_cost
//!
//! Each response of the fake platform is delayed by the first argument, in milliseconds; the
//! default is 2.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use heatherknot_store::capacity::{
    CapacityReconciler, CapacityState, Departures, ReconcileOutcome,
};
use heatherknot_store::claim::{ClaimConfig, ClaimKey, ClaimOwner, ClaimResult, Claims};
use heatherknot_store::commit::{
    CommandId, CommitOutcome, Proposal, Rejection, ResolvePolicy, commit,
};
use heatherknot_store::follow::{FollowCallbacks, FollowConfig, SettingsUpdate, start};
use heatherknot_store::http_store::{StoreConfig, connect};
use heatherknot_store::port::Store;
use heatherknot_test_support::platform::{Platform, PlatformConfig, PlatformHandle, Rates};
use heatherknot_test_support::runtime::block_on;
use heatherknot_types::prelude::*;

/// The number of consecutive commits.
const COMMITS: u64 = 300;
/// The number of writers that commit concurrently.
const CONCURRENT_WRITERS: u64 = 4;
/// The duration of each measurement of claims.
const CLAIM_DURATION: Duration = Duration::from_secs(2);
/// Rate limits that are never reached.
const UNLIMITED: Rates = Rates {
    writes: 1_000_000,
    reads: 1_000_000,
};

fn main() {
    let delay = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let delay = Duration::from_millis(delay.unwrap_or(2));
    println!("the fake platform responds after {} ms", delay.as_millis());
    commits(delay);
    concurrent_commits(delay);
    for callers in [1, 8, 64] {
        claims(delay, UNLIMITED, callers);
    }
    claims(delay, Rates::default(), 256);
    for vms in [2, 3, 9] {
        capacity(delay, vms);
    }
    followers(delay, false);
    followers(delay, true);
}

fn platform(delay: Duration, rates: Rates) -> PlatformHandle {
    let cfg = PlatformConfig {
        rates,
        ..PlatformConfig::default()
    };
    let platform = Platform::start(cfg);
    platform.faults(|faults| faults.delay = delay);
    platform
}

fn store(platform: &PlatformHandle) -> Store {
    connect(StoreConfig::new(platform.address()))
}

fn proposal(command: String, base: u64) -> Proposal {
    Proposal {
        command: CommandId::parse(&command).expect("a short plain identifier"),
        base: Revision(base),
        change: vec![b'x'; 1_000].into(),
        hash: "0".repeat(64).into(),
    }
}

fn commits(delay: Duration) {
    let platform = platform(delay, UNLIMITED);
    let store = store(&platform);
    let mut times = Vec::new();
    block_on(async {
        for base in 0..COMMITS {
            let started = Instant::now();
            let next = proposal(format!("c{base}"), base);
            let outcome = commit(&store, &next, &ResolvePolicy::default()).await;
            assert_eq!(outcome, CommitOutcome::Accepted(Revision(base + 1)));
            times.push(started.elapsed());
        }
    });
    let calls = platform.calls().total() as f64 / COMMITS as f64;
    println!(
        "commit: {COMMITS} consecutive commits, {calls:.2} calls each, {}",
        percentiles(times)
    );
}

fn concurrent_commits(delay: Duration) {
    let platform = platform(delay, UNLIMITED);
    let store = store(&platform);
    let attempts = Cell::new(0);
    let commits_per_writer = COMMITS / CONCURRENT_WRITERS / 3;
    block_on(join_all((0..CONCURRENT_WRITERS).map(|writer| {
        let (store, attempts) = (&store, &attempts);
        async move {
            let mut base = 0;
            for round in 0..commits_per_writer {
                base = commit_until_accepted(store, writer, round, base, attempts).await;
            }
        }
    })));
    let accepted = CONCURRENT_WRITERS * commits_per_writer;
    let calls = platform.calls().total() as f64 / accepted as f64;
    let attempts = attempts.get() as f64 / accepted as f64;
    println!(
        "commit: {CONCURRENT_WRITERS} racing writers, {accepted} accepted, {attempts:.2} attempts and {calls:.2} calls each"
    );
}

async fn commit_until_accepted(
    store: &Store,
    writer: u64,
    round: u64,
    mut base: u64,
    attempts: &Cell<u64>,
) -> u64 {
    loop {
        attempts.set(attempts.get() + 1);
        let next = proposal(format!("r{writer}-{round}"), base);
        match commit(store, &next, &ResolvePolicy::default()).await {
            CommitOutcome::Accepted(revision) => return revision.0,
            CommitOutcome::NotAccepted(Rejection::Conflict { newest, .. }) => base = newest.0,
            other => panic!("unexpected outcome {other:?}"),
        }
    }
}

fn claims(delay: Duration, rates: Rates, callers: usize) {
    let platform = platform(delay, rates);
    let store = store(&platform);
    let claims = Claims::new(
        store,
        Clock::system(),
        ClaimConfig::default(),
        fastrand::Rng::new(),
    );
    let times = RefCell::new(Vec::new());
    let failed = Cell::new(0_u64);
    let started = Instant::now();
    block_on(join_all((0..callers).map(|caller| {
        let (claims, times, failed) = (&claims, &times, &failed);
        async move {
            let mut round = 0;
            while started.elapsed() < CLAIM_DURATION {
                round += 1;
                let started_at = Instant::now();
                match claims.claim(claim_key(caller, round), owner()).await {
                    Ok(ClaimResult::Won { .. }) => times.borrow_mut().push(started_at.elapsed()),
                    Ok(ClaimResult::Held(_)) => panic!("every key is claimed once"),
                    Err(_) => failed.set(failed.get() + 1),
                }
            }
        }
    })));
    let times = times.into_inner();
    let count = times.len() as f64;
    let rate = count / started.elapsed().as_secs_f64();
    let writes = platform.calls().txn as f64 / count.max(1.0);
    let limit = rates.writes;
    println!(
        "claims: {callers} callers, {limit} writes/s allowed: {rate:.0}/s, {writes:.3} transactions each, {} failed, {}",
        failed.get(),
        percentiles(times)
    );
}

fn claim_key(caller: usize, round: u64) -> ClaimKey {
    let account = AccountName::from("utilities/port-louis");
    let service = ServiceName::from("utilities/port-louis:publisher");
    ClaimKey::new(&account, &service, &format!("{caller}/{round}"))
}

fn owner() -> ClaimOwner {
    ClaimOwner {
        vm: VmName::from("vm-1"),
        incarnation: Incarnation(1),
        address: "127.0.0.1:7000".parse().expect("a constant address"),
    }
}

fn capacity(delay: Duration, vms: u64) {
    let platform = platform(delay, UNLIMITED);
    let store = store(&platform);
    let domain = DomainName::from("north-a");
    let reconcilers: Vec<CapacityReconciler> = (0..vms)
        .map(|vm| {
            let state = CapacityState::new(VmName::from(format!("vm-{vm}")), Incarnation(vm + 1));
            CapacityReconciler::new(store.clone(), &domain, state, || 0)
        })
        .collect();
    let started = Instant::now();
    let rounds = block_on(reconcile_until_equal(&reconcilers, vms));
    let elapsed = started.elapsed().as_millis();
    let calls = platform.calls().total();
    println!(
        "capacity: {vms} VMs that start together get equal parts in {rounds} rounds, {calls} calls, {elapsed} ms without pauses"
    );
}

async fn reconcile_until_equal(reconcilers: &[CapacityReconciler], vms: u64) -> u32 {
    let equal_part = 1000 / vms as u16;
    let mut rounds = 0;
    while reconcilers
        .iter()
        .any(|reconciler| reconciler.limit() < equal_part)
    {
        rounds += 1;
        let outcomes = join_all(
            reconcilers
                .iter()
                .map(|reconciler| async { reconciler.reconcile(&Departures::default()).await }),
        );
        for outcome in outcomes.await {
            let _: ReconcileOutcome = outcome.expect("the fake platform responds");
        }
    }
    rounds
}

fn followers(delay: Duration, stalled: bool) {
    let platform = platform(delay, UNLIMITED);
    let store = store(&platform);
    let current = Rc::new(Cell::new(Revision::NONE));
    let (read, write) = (current.clone(), current.clone());
    let follow = FollowCallbacks {
        current_revision: Rc::new(move || read.get()),
        deliver: Rc::new(move |update| match update {
            SettingsUpdate::Changes(changes) => {
                write.set(changes.last().map_or(write.get(), |stored| stored.revision));
            }
            SettingsUpdate::Snapshot { at, .. } => write.set(at.revision),
        }),
    };
    let commits = if stalled { 6 } else { 100 };
    let (times, idle_calls) = block_on(async {
        let _follower = start(store.clone(), follow, FollowConfig::default());
        while platform.calls().watching == 0 {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        let before = platform.calls().total();
        monoio::time::sleep(Duration::from_secs(4)).await;
        let idle_calls = platform.calls().total() - before;
        platform.faults(|faults| faults.watch_stalled = stalled);
        let mut times = Vec::new();
        for base in 0..commits {
            let next = proposal(format!("f{base}"), base);
            commit(&store, &next, &ResolvePolicy::default()).await;
            let accepted = Instant::now();
            while current.get() < Revision(base + 1) {
                monoio::time::sleep(Duration::from_micros(200)).await;
            }
            times.push(accepted.elapsed());
        }
        (times, idle_calls)
    });
    let watch = if stalled { "stalled" } else { "working" };
    let per_second = idle_calls as f64 / 4.0;
    println!(
        "follower, {watch} watch: {per_second:.2} reads/s while idle, accepted to delivered {}",
        percentiles(times)
    );
}

fn percentiles(mut times: Vec<Duration>) -> String {
    if times.is_empty() {
        return "no measurements".to_owned();
    }
    times.sort();
    let at = |quantile: f64| {
        let index = ((times.len() - 1) as f64 * quantile).round() as usize;
        times[index].as_secs_f64() * 1000.0
    };
    format!(
        "ms: min {:.2}, median {:.2}, 99% {:.2}, max {:.2} of {}",
        at(0.0),
        at(0.5),
        at(0.99),
        at(1.0),
        times.len()
    )
}
