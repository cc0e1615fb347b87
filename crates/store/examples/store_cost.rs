//! Measures what commits, claims, the capacity ledger and followers cost on the platform.
//!
//! Runs against the stand-in on this machine for some seconds and prints one line a figure:
//!
//!     cargo run --release --locked -p heatherknot-store --example store_cost
//!
//! Every answer of the stand-in takes at least the time that the first argument gives in
//! milliseconds, two if there is none.

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

/// Commits in one run.
const COMMITS: u64 = 300;
/// Writers that race for the same settings.
const RACERS: u64 = 4;
/// How long claims are made at each number of callers.
const CLAIM_TIME: Duration = Duration::from_secs(2);
/// Rates so high that nothing is refused.
const UNLIMITED: Rates = Rates {
    writes: 1_000_000,
    reads: 1_000_000,
};

fn main() {
    let delay = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let delay = Duration::from_millis(delay.unwrap_or(2));
    println!("stand-in answers after {} ms", delay.as_millis());
    commits(delay);
    racing_commits(delay);
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
        "commit: {COMMITS} one after the other, {calls:.2} calls each, {}",
        spread(times)
    );
}

fn racing_commits(delay: Duration) {
    let platform = platform(delay, UNLIMITED);
    let store = store(&platform);
    let tries = Cell::new(0);
    let each = COMMITS / RACERS / 3;
    block_on(join_all((0..RACERS).map(|racer| {
        let (store, tries) = (&store, &tries);
        async move {
            let mut base = 0;
            for turn in 0..each {
                base = accepted_in_the_end(store, racer, turn, base, tries).await;
            }
        }
    })));
    let accepted = RACERS * each;
    let calls = platform.calls().total() as f64 / accepted as f64;
    let tries = tries.get() as f64 / accepted as f64;
    println!(
        "commit: {RACERS} racing writers, {accepted} accepted, {tries:.2} tries and {calls:.2} calls each"
    );
}

async fn accepted_in_the_end(
    store: &Store,
    racer: u64,
    turn: u64,
    mut base: u64,
    tries: &Cell<u64>,
) -> u64 {
    loop {
        tries.set(tries.get() + 1);
        let next = proposal(format!("r{racer}-{turn}"), base);
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
            let mut turn = 0;
            while started.elapsed() < CLAIM_TIME {
                turn += 1;
                let asked = Instant::now();
                match claims.claim(claim_key(caller, turn), owner()).await {
                    Ok(ClaimResult::Won { .. }) => times.borrow_mut().push(asked.elapsed()),
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
        spread(times)
    );
}

fn claim_key(caller: usize, turn: u64) -> ClaimKey {
    let account = AccountName::from("utilities/port-louis");
    let service = ServiceName::from("utilities/port-louis:publisher");
    ClaimKey::new(&account, &service, &format!("{caller}/{turn}"))
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
    let keepers: Vec<CapacityReconciler> = (0..vms)
        .map(|vm| {
            let holder = CapacityState::new(VmName::from(format!("vm-{vm}")), Incarnation(vm + 1));
            CapacityReconciler::new(store.clone(), &domain, holder, || 0)
        })
        .collect();
    let started = Instant::now();
    let rounds = block_on(settle_all(&keepers, vms));
    let elapsed = started.elapsed().as_millis();
    let calls = platform.calls().total();
    println!(
        "capacity: {vms} VMs that start together settle in {rounds} rounds, {calls} calls, {elapsed} ms without pauses"
    );
}

async fn settle_all(keepers: &[CapacityReconciler], vms: u64) -> u32 {
    let fair = 1000 / vms as u16;
    let mut rounds = 0;
    while keepers.iter().any(|keeper| keeper.limit() < fair) {
        rounds += 1;
        let outcomes = join_all(
            keepers
                .iter()
                .map(|keeper| async { keeper.reconcile(&Departures::default()).await }),
        );
        for outcome in outcomes.await {
            let _: ReconcileOutcome = outcome.expect("the stand-in answers");
        }
    }
    rounds
}

fn followers(delay: Duration, quiet: bool) {
    let platform = platform(delay, UNLIMITED);
    let store = store(&platform);
    let held = Rc::new(Cell::new(Revision::NONE));
    let (read, write) = (held.clone(), held.clone());
    let follow = FollowCallbacks {
        current_revision: Rc::new(move || read.get()),
        deliver: Rc::new(move |update| match update {
            SettingsUpdate::Changes(changes) => {
                write.set(changes.last().map_or(write.get(), |stored| stored.revision));
            }
            SettingsUpdate::Snapshot { at, .. } => write.set(at.revision),
        }),
    };
    let commits = if quiet { 6 } else { 100 };
    let (times, idle_calls) = block_on(async {
        let _follower = start(store.clone(), follow, FollowConfig::default());
        while platform.calls().watching == 0 {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        let before = platform.calls().total();
        monoio::time::sleep(Duration::from_secs(4)).await;
        let idle_calls = platform.calls().total() - before;
        platform.faults(|faults| faults.watch_stalled = quiet);
        let mut times = Vec::new();
        for base in 0..commits {
            let next = proposal(format!("f{base}"), base);
            commit(&store, &next, &ResolvePolicy::default()).await;
            let accepted = Instant::now();
            while held.get() < Revision(base + 1) {
                monoio::time::sleep(Duration::from_micros(200)).await;
            }
            times.push(accepted.elapsed());
        }
        (times, idle_calls)
    });
    let watch = if quiet { "quiet" } else { "sound" };
    let per_second = idle_calls as f64 / 4.0;
    println!(
        "follower, {watch} watch: {per_second:.2} reads/s at rest, accepted to delivered {}",
        spread(times)
    );
}

fn spread(mut times: Vec<Duration>) -> String {
    if times.is_empty() {
        return "no times".to_owned();
    }
    times.sort();
    let at = |part: f64| {
        let index = ((times.len() - 1) as f64 * part).round() as usize;
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
