//! Tests of the share of its slots that a region leaves to requests that any region may serve.

use std::collections::BTreeMap;

use heatherknot_edge::accounts::RestrictedShare;
use heatherknot_edge::unrestricted_share::{UnrestrictedShares, target_shares};
use heatherknot_test_support::property::check;
use heatherknot_types::prelude::*;

fn slots(regions: &[(&str, f64)]) -> BTreeMap<RegionName, f64> {
    let regions = regions
        .iter()
        .map(|(region, slots)| ((*region).into(), *slots));
    regions.collect()
}

fn restricted(region: &str, fraction: f64) -> RestrictedShare {
    RestrictedShare {
        regions: vec![region.into()],
        fraction,
    }
}

fn share_of(targets: &BTreeMap<RegionName, f64>, region: &str) -> f64 {
    targets[region]
}

/// Returns the requests per slot of a region, restricted and unrestricted, that result from the
/// target shares.
fn load(slots: &BTreeMap<RegionName, f64>, shares: &[RestrictedShare], region: &str) -> f64 {
    let targets = target_shares(slots, shares);
    let unrestricted = 1.0 - shares.iter().map(|share| share.fraction).sum::<f64>();
    let weight: f64 = slots.iter().map(|(r, slots)| slots * targets[r]).sum();
    let region_slots = slots[region];
    let matching = shares
        .iter()
        .filter(|share| share.regions.contains(&region.into()));
    let reserved: f64 = matching.map(|share| share.fraction).sum();
    (reserved + unrestricted * region_slots * targets[region] / weight) / region_slots
}

/// Guards against crowding out an account with a fifth of all requests that is restricted to a
/// region with a ninth of the servers. If unrestricted requests were spread evenly over all
/// servers, those of the small region would get three times as many requests per slot as the
/// others, and would refuse them while the others are idle.
///
/// The regions have 378, 414 and 90 slots; limits range from 14 to 625 requests per second.
#[test]
fn a_small_region_is_left_to_the_account_restricted_to_it() {
    let slots = slots(&[("north", 378.0), ("plaines", 414.0), ("south", 90.0)]);
    let shares = [restricted("south", 0.2)];

    let targets = target_shares(&slots, &shares);

    assert!(share_of(&targets, "south") <= 0.05);
    assert!(share_of(&targets, "north") == 1.0 && share_of(&targets, "plaines") == 1.0);
}

/// The same account is restricted to a region that has enough slots for it.
#[test]
fn a_large_region_gives_up_the_restricted_share() {
    let slots = slots(&[("north", 400.0), ("plaines", 400.0), ("south", 100.0)]);
    let shares = [restricted("north", 0.2), restricted("plaines", 0.05)];

    let loads = ["north", "plaines", "south"].map(|region| load(&slots, &shares, region));

    assert!(
        loads
            .iter()
            .all(|load| (load / loads[0] - 1.0).abs() < 0.01),
        "{loads:?}"
    );
}

#[test]
fn without_restricted_shares_all_slots_are_left() {
    let slots = slots(&[("north", 9.0), ("south", 3.0)]);
    assert!(
        target_shares(&slots, &[])
            .values()
            .all(|target| *target == 1.0)
    );
}

/// For any restricted shares, every target share is within its bounds, and regions with clearly
/// more than the minimum share are filled evenly.
#[test]
fn regions_with_unrestricted_requests_are_filled_evenly() {
    check()
        .with_type::<([u8; 3], [u8; 3])>()
        .for_each(|(sizes, reserved)| {
            let names = ["a", "b", "c"];
            let sizes = names
                .iter()
                .zip(sizes)
                .map(|(n, s)| (*n, f64::from(*s) + 1.0));
            let slots = slots(&sizes.collect::<Vec<_>>());
            let all: f64 = reserved.iter().map(|t| f64::from(*t)).sum::<f64>() + 1.0;
            let shares: Vec<_> = names
                .iter()
                .zip(reserved)
                .map(|(n, t)| restricted(n, f64::from(*t) / all))
                .collect();

            let targets = target_shares(&slots, &shares);

            assert!(targets.values().all(|target| (0.02..=1.0).contains(target)));
            let open = names
                .iter()
                .filter(|name| targets[&RegionName::from(**name)] > 0.03);
            let loads: Vec<f64> = open.map(|name| load(&slots, &shares, name)).collect();
            let most = loads.iter().copied().fold(0.0, f64::max);
            let least = loads.iter().copied().fold(f64::MAX, f64::min);
            assert!(most <= least * 1.25 + 1e-9, "{loads:?}");
        });
}

/// Guards against shares that jump when an operator restricts a large account to a region under
/// traffic. Within two seconds a third of the unrestricted requests would move to another region,
/// where none of their objects is cached.
///
/// At most 0.15 of a region's requests may move to another region in two seconds.
#[test]
fn shares_move_slowly_under_traffic() {
    let shares = UnrestrictedShares::default();
    let full = BTreeMap::from([("south".into(), 1.0)]);
    let least = BTreeMap::from([("south".into(), 0.02)]);
    shares.update(&full, Millis(0));
    shares.mark_used();

    let mut before = shares.share(&"south".into());
    for tick in 1..=200 {
        shares.update(&least, Millis(tick * 250));
        let now = shares.share(&"south".into());
        assert!(before - now <= 0.15 / 8.0);
        before = now;
    }

    assert!(before <= 0.02 + 1e-9);
}

#[test]
fn before_the_first_request_shares_jump_to_their_targets() {
    let shares = UnrestrictedShares::default();
    shares.update(&BTreeMap::from([("south".into(), 1.0)]), Millis(0));
    shares.update(&BTreeMap::from([("south".into(), 0.1)]), Millis(250));
    assert!((shares.share(&"south".into()) - 0.1).abs() < 1e-9);
}
