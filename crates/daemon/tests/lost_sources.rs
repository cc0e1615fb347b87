//! Tests how long a change of the configuration takes to daemons in three regions while those fail
//! from which they get it.
//!
//! `HEATHERKNOT_PROPAGATION_SEEDS` says how many seeds each test plays, `HEATHERKNOT_FIRST_SEED` from
//! which on, and `HEATHERKNOT_VMS_PER_DOMAIN` how many daemons run in each of the six domains. The logs
//! of a seed that fails are kept in the directory that is printed.

#[path = "lost_sources/fleet.rs"]
mod fleet;
#[path = "../../../platform/tests/support/mod.rs"]
mod support;

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use fleet::{Fleet, Refused};
use support::store::StoreMode;

/// Time by which a change has to be in force after the store has acknowledged it: the shortest that a
/// deployment states.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time that a test observes after the change.
const OBSERVED: Duration = Duration::from_secs(8);
/// Time for which all daemons run undisturbed before some of them fail.
const CALM: Duration = Duration::from_secs(4);
/// Longest time between the failure and the change.
const MAX_LEAD_MS: u64 = 1_500;
/// The same where the store refuses the VMs, which takes longer until the others notice.
const MAX_REFUSAL_LEAD_MS: u64 = 5_000;
/// Time for which processes are stopped.
const FREEZE: Duration = Duration::from_millis(3_500);
/// Time after which killed processes are started again.
const RESTART_AFTER: Duration = Duration::from_secs(1);
const DEFAULT_SEEDS: u64 = 1;

fn setting(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Which VMs fail.
#[derive(Clone, Copy, Debug)]
enum Failing {
    /// The VMs that watch the store, and others: the percentage of all VMs.
    Watchers(usize),
    /// The leaders of the domains of a region far from the store.
    Leaders,
    /// The leaders of all domains, the watchers among them.
    AllLeaders,
    /// All VMs but one, which is no leader.
    AllButOne,
}

/// How they fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    Killed,
    /// Killed, and started again.
    Restarted,
    /// Stopped, and continued.
    Frozen,
    /// The store answers their calls in this way.
    Store(StoreMode),
}

fn choose(fleet: &Fleet, failing: Failing, rng: &mut fastrand::Rng) -> Vec<usize> {
    match failing {
        Failing::Watchers(percent) => {
            let mut vms = fleet.watchers();
            let others = (0..fleet.vms.len()).filter(|vm| !vms.contains(vm));
            let count = (fleet.vms.len() * percent / 100).saturating_sub(vms.len());
            let others = rng.choose_multiple(others, count);
            vms.extend(others);
            vms
        }
        Failing::Leaders => fleet.leaders("far"),
        Failing::AllLeaders => fleet.all_leaders(),
        Failing::AllButOne => {
            let leaders = fleet.all_leaders();
            let others = (0..fleet.vms.len()).filter(|vm| !leaders.contains(vm));
            let served = rng.choose_multiple(others, 1);
            (0..fleet.vms.len())
                .filter(|vm| !served.contains(vm))
                .collect()
        }
    }
}

fn fail(fleet: &mut Fleet, vms: &[usize], failure: Failure) {
    for vm in vms {
        match failure {
            Failure::Frozen => fleet.set_frozen(*vm, true),
            Failure::Killed | Failure::Restarted => fleet.kill(*vm),
            Failure::Store(mode) => fleet.set_store_mode(*vm, mode),
        }
    }
    if failure == Failure::Restarted {
        std::thread::sleep(RESTART_AFTER);
        vms.iter().for_each(|vm| fleet.spawn(*vm));
    }
}

/// Returns the requests that VMs without a failure refused too late.
fn play(seed: u64, failing: Failing, failure: Failure) -> Vec<(String, Duration)> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut fleet = Fleet::start(seed, setting("HEATHERKNOT_VMS_PER_DOMAIN", 5) as usize);
    std::thread::sleep(CALM);
    let failed = choose(&fleet, failing, &mut rng);
    let max_lead_ms = match failure {
        Failure::Store(_) => MAX_REFUSAL_LEAD_MS,
        _ => MAX_LEAD_MS,
    };
    let lead = Duration::from_millis(rng.u64(0..max_lead_ms));
    fail(&mut fleet, &failed, failure);
    std::thread::sleep(lead);
    let others = (0..fleet.vms.len()).filter(|vm| !failed.contains(vm));
    let others: Vec<usize> = others.collect();
    let (acked, refused) = std::thread::scope(|scope| {
        if failure == Failure::Frozen {
            scope.spawn(|| {
                std::thread::sleep(FREEZE.saturating_sub(lead));
                failed.iter().for_each(|vm| fleet.set_frozen(*vm, false));
            });
        }
        fleet.add_route(&others, OBSERVED)
    });
    let after = |refused: &Refused| refused.sent_at.duration_since(acked);
    let worst = refused.iter().map(after).max();
    println!("seed {seed}, {failing:?} {failure:?} {lead:?} before: refused until {worst:?} after");
    let late = refused.iter().filter(|r| after(r) > CHANGE_TIMEOUT);
    let late: Vec<_> = late
        .map(|refused| (fleet.vms[refused.vm].name.clone(), after(refused)))
        .collect();
    match late.is_empty() {
        true => fleet.remove_logs(),
        false => println!("logs of seed {seed}: {}", fleet.directory.display()),
    }
    late
}

/// Plays the seeds. One fleet at a time, as a change is late as well where the processes of several
/// fleets wait for the processor.
fn check(failing: Failing, failure: Failure) {
    static ONE_FLEET: Mutex<()> = Mutex::new(());
    let _one_fleet = ONE_FLEET.lock().unwrap_or_else(PoisonError::into_inner);
    let first = setting("HEATHERKNOT_FIRST_SEED", 1);
    let seeds = first..first + setting("HEATHERKNOT_PROPAGATION_SEEDS", DEFAULT_SEEDS);
    let late: Vec<_> = seeds
        .flat_map(|seed| play(seed, failing, failure))
        .collect();
    assert!(
        late.is_empty(),
        "{} requests were refused too late: {late:?}",
        late.len()
    );
}

/// Guards against VMs that take the old copies of their peers for an outage of the store and stop
/// asking it.
#[test]
fn a_route_is_served_in_time_while_the_watchers_and_other_vms_are_frozen() {
    check(Failing::Watchers(20), Failure::Frozen);
}

/// Guards against the same after a loss of most VMs.
#[test]
fn a_route_is_served_in_time_after_most_vms_are_killed() {
    check(Failing::Watchers(55), Failure::Killed);
}

/// Guards against VMs that wait for peers which have just started and have no copy yet.
#[test]
fn a_route_is_served_in_time_while_most_vms_are_restarted() {
    check(Failing::Watchers(55), Failure::Restarted);
}

/// Guards against a domain that waits for both of its leaders.
#[test]
fn a_route_is_served_in_time_while_the_leaders_of_a_region_are_frozen() {
    check(Failing::Leaders, Failure::Frozen);
}

/// Guards against VMs that take a store which refuses other VMs for one that is down, and don't ask it.
#[test]
fn a_route_is_served_in_time_while_the_store_refuses_all_leaders() {
    check(Failing::AllLeaders, Failure::Store(StoreMode::RateLimited));
}

/// Guards against the same where the refused VMs get no answer.
#[test]
fn a_route_is_served_in_time_while_the_store_answers_no_leader() {
    check(Failing::AllLeaders, Failure::Store(StoreMode::Hanging));
}

/// Guards against a VM that does not notice that it is the only one that the store serves.
#[test]
fn a_route_is_served_in_time_by_the_only_vm_that_the_store_serves() {
    check(Failing::AllButOne, Failure::Store(StoreMode::Unavailable));
}
