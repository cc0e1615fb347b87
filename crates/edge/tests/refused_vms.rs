//! Tests, on a model of the feeds, how long a change takes to VMs while the store refuses some VMs, and
//! how many calls an outage of the store costs.
//!
//! `HEATHERKNOT_REFUSED_SEEDS` says how many seeds the test of changing refusals plays,
//! `HEATHERKNOT_FIRST_SEED` from which on.

mod support;

use heatherknot_edge::propagation::{
    STORE_RETRY_INTERVAL, longest_delay, longest_delay_of_refused, longest_return,
};
use support::feed_model::{Access, FeedModel, TICK};

/// Two domains beside the store and two far from it, one of which has VMs that are no leaders.
const SMALL_FLEET: &[&[usize]] = &[&[3, 2], &[3], &[2]];
/// Time for which a fleet runs undisturbed.
const CALM: u64 = 3_000;
/// Longest time between the refusal and the change.
const MAX_LEAD: u64 = 6_000;
/// Time in which the effect of a change is awaited.
const OBSERVED: u64 = 8_000;
const DEFAULT_SEEDS: u64 = 6;

fn setting(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Plays a change while the store refuses a set of VMs; returns when each VM has it in force.
fn play(model: &FeedModel, refused: &[usize], access: Access, lead: u64) -> Vec<Option<u64>> {
    model.advance(CALM);
    refused.iter().for_each(|vm| model.set_access(*vm, access));
    model.advance(lead);
    model.configure(2);
    let mut in_force: Vec<Option<u64>> = vec![None; model.len()];
    for at in (0..OBSERVED).step_by(TICK as usize) {
        for (vm, in_force) in in_force.iter_mut().enumerate() {
            if in_force.is_none() && model.has_version(vm, 2) {
                *in_force = Some(at);
            }
        }
        if in_force.iter().all(Option::is_some) {
            break;
        }
        model.advance(TICK);
    }
    in_force
}

fn members(subset: usize, vms: usize) -> Vec<usize> {
    (0..vms).filter(|vm| subset >> vm & 1 == 1).collect()
}

/// Plays all sets of VMs that the store may refuse. `lead` is the time between refusal and change.
fn check_all_subsets(access: Access, lead: impl Fn(usize) -> u64) {
    let vms = FeedModel::new(SMALL_FLEET, 0).len();
    let mut worst = (0, 0);
    for subset in 0..(1 << vms) - 1 {
        let refused = members(subset, vms);
        let model = FeedModel::new(SMALL_FLEET, subset as u64);
        let lead = lead(subset) / TICK * TICK;
        let in_force = play(&model, &refused, access, lead);
        for (vm, at) in in_force.into_iter().enumerate() {
            let is_refused = refused.contains(&vm);
            let limit = match is_refused {
                true => longest_delay_of_refused().0,
                false => longest_delay().0,
            };
            let at = at.unwrap_or(OBSERVED);
            assert!(
                at <= limit,
                "VM {vm}, refused: {is_refused}, has the change after {at} ms; {limit} are allowed; {access:?} for {refused:?}, {lead} ms before"
            );
            match is_refused {
                true => worst.1 = at.max(worst.1),
                false => worst.0 = at.max(worst.0),
            }
        }
    }
    println!(
        "{access:?}: longest delay of served VMs {} ms, of others {} ms",
        worst.0, worst.1
    );
}

fn spread(subset: usize) -> u64 {
    subset as u64 * 7_919 % MAX_LEAD
}

/// Guards against VMs that the store serves and that don't ask it, as it refuses others.
#[test]
fn a_change_is_in_force_in_time_whichever_vms_the_store_refuses() {
    check_all_subsets(Access::Refused, spread);
}

/// Guards against the same where the store does not answer.
#[test]
fn a_change_is_in_force_in_time_whichever_vms_the_store_leaves_unanswered() {
    check_all_subsets(Access::Unanswered, spread);
}

/// Guards against a change that is written at the moment of the refusal and reaches no watcher.
#[test]
fn a_change_at_the_moment_of_a_refusal_is_in_force_in_time() {
    check_all_subsets(Access::Refused, |subset| subset as u64 % 40 * TICK);
}

/// Guards against VMs that wait too long to ask a store that serves them again.
#[test]
fn copies_of_served_vms_stay_recent_while_refusals_change() {
    let first = setting("HEATHERKNOT_FIRST_SEED", 1);
    for seed in first..first + setting("HEATHERKNOT_REFUSED_SEEDS", DEFAULT_SEEDS) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let model = FeedModel::new(SMALL_FLEET, seed);
        let vms = model.len();
        model.advance(CALM);
        let mut served_since = vec![Some(0); vms];
        let mut next_change = vec![0; vms];
        let allowed = longest_return(vms as u64).0;
        for now in (0..60_000).step_by(TICK as usize) {
            for vm in 0..vms {
                if now >= next_change[vm] {
                    next_change[vm] = now + rng.u64(200..9_000);
                    let accesses = [Access::Served, Access::Refused, Access::Unanswered];
                    let access = rng.choice(accesses).expect("there are some");
                    model.set_access(vm, access);
                    served_since[vm] = match access {
                        Access::Served => served_since[vm].or(Some(now)),
                        _ => None,
                    };
                }
                let age = model.vms.borrow()[vm].feed.age().unwrap_or_default().0;
                let served_for = served_since[vm].map_or(0, |since| now - since);
                assert!(
                    served_for < allowed || age <= longest_delay().0,
                    "seed {seed}: the copy of VM {vm} is {age} ms old at {now} ms, and the store has served it for {served_for} ms"
                );
            }
            model.advance(TICK);
        }
    }
}

/// Guards against served VMs that depend on peers which are gone.
#[test]
fn served_vms_have_a_change_in_time_while_refused_vms_are_cut_off_from_their_peers() {
    let vms = FeedModel::new(SMALL_FLEET, 0).len();
    for subset in 1..(1 << vms) - 1 {
        let refused = members(subset, vms);
        let model = FeedModel::new(SMALL_FLEET, subset as u64);
        refused.iter().for_each(|vm| model.cut_from_peers(*vm));
        let in_force = play(
            &model,
            &refused,
            Access::Unanswered,
            spread(subset) / TICK * TICK,
        );
        for vm in (0..vms).filter(|vm| !refused.contains(vm)) {
            let at = in_force[vm].unwrap_or(OBSERVED);
            assert!(
                at <= longest_delay().0,
                "VM {vm} has the change after {at} ms; cut off: {refused:?}"
            );
        }
    }
}

/// Returns the calls a second that a fleet makes while the store serves all VMs, refuses a third of them
/// and refuses all.
fn calls_per_s(regions: &[&[usize]]) -> [f64; 3] {
    const SPAN: u64 = 12_000;
    let model = FeedModel::new(regions, 1);
    model.advance(CALM);
    let measure = |model: &FeedModel| {
        let before = model.calls();
        model.advance(SPAN);
        (model.calls() - before) as f64 * 1_000.0 / SPAN as f64
    };
    let calm = measure(&model);
    (0..model.len())
        .step_by(3)
        .for_each(|vm| model.set_access(vm, Access::Refused));
    let part = measure(&model);
    (0..model.len()).for_each(|vm| model.set_access(vm, Access::Refused));
    [calm, part, measure(&model)]
}

fn check_calls(regions: &[&[usize]]) {
    let vms: usize = regions.iter().copied().flatten().sum();
    let domains = regions.iter().copied().flatten().count();

    let [calm, part, all] = calls_per_s(regions);

    println!(
        "{vms} VMs: calls a second {calm:.1}, a third refused {part:.1}, all refused {all:.1}"
    );
    // All VMs ask twice in a retry interval at most, a domain's leaders more often.
    let limit = vms as f64 * 2_000.0 / STORE_RETRY_INTERVAL.0 as f64 + domains as f64 * 5.0;
    assert!(
        all <= limit,
        "{all} calls a second in an outage; {limit} are allowed"
    );
    assert!(
        part <= limit,
        "{part} calls a second in a partial outage; {limit} are allowed"
    );
}

/// Guards against outages in which every VM keeps calling the store.
#[test]
fn the_calls_of_85_vms_in_an_outage_are_bounded() {
    check_calls(&[&[10, 10, 9], &[9, 9, 9], &[9, 10, 10]]);
}

/// Guards against the same in a larger fleet.
#[test]
fn the_calls_of_299_vms_in_an_outage_are_bounded() {
    check_calls(&[&[50, 50], &[50, 50], &[50, 49]]);
}

/// Guards against the same in the largest fleet.
#[test]
#[ignore = "takes minutes without optimization"]
fn the_calls_of_985_vms_in_an_outage_are_bounded() {
    check_calls(&[&[109, 110, 109], &[110, 109, 110], &[109, 110, 109]]);
}
