//! Which part of its room a region leaves to requests that may run anywhere.

use std::collections::BTreeMap;

use heatherknot_edge::accounts::RestrictedShare;
use heatherknot_edge::unbound_share::{UnboundShares, target_shares};
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

/// Gives the requests for each slot of a region, bound ones and others, as the parts put them.
fn load(slots: &BTreeMap<RegionName, f64>, shares: &[RestrictedShare], region: &str) -> f64 {
    let targets = target_shares(slots, shares);
    let free = 1.0 - shares.iter().map(|share| share.fraction).sum::<f64>();
    let weight: f64 = slots.iter().map(|(r, slots)| slots * targets[r]).sum();
    let own = slots[region];
    let homes = shares
        .iter()
        .filter(|share| share.regions.contains(&region.into()));
    let taken: f64 = homes.map(|share| share.fraction).sum();
    (taken + free * own * targets[region] / weight) / own
}

/// Pattern: an account with a fifth of all requests is bound to the region with a ninth of the
/// servers.
///
/// Story: requests that may run anywhere are spread over all servers alike, those of the small
/// region among them. What the bound account sends comes on top there: its servers get three
/// times as many requests a slot as all others, and turn them away while those are idle.
///
/// Grounds: three regions with 378, 414 and 90 slots; limits from 625 to 14 requests a second.
#[test]
fn a_small_region_is_left_to_the_account_that_is_bound_to_it() {
    let slots = slots(&[("north", 378.0), ("plaines", 414.0), ("south", 90.0)]);
    let shares = [restricted("south", 0.2)];

    let targets = target_shares(&slots, &shares);

    assert!(share_of(&targets, "south") <= 0.05);
    assert!(share_of(&targets, "north") == 1.0 && share_of(&targets, "plaines") == 1.0);
}

/// Pattern: the same account is bound to a region that has room for it.
#[test]
fn a_large_region_gives_up_what_is_bound_to_it() {
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
fn without_homes_all_room_is_left() {
    let slots = slots(&[("north", 9.0), ("south", 3.0)]);
    assert!(
        target_shares(&slots, &[])
            .values()
            .all(|target| *target == 1.0)
    );
}

/// Whatever is bound where: no part is beyond what is there, and the fullest region that takes
/// more than the least of what is free is no fuller than another that takes some.
#[test]
fn regions_that_take_what_is_free_are_filled_alike() {
    check()
        .with_type::<([u8; 3], [u8; 3])>()
        .for_each(|(sizes, taken)| {
            let names = ["a", "b", "c"];
            let sizes = names
                .iter()
                .zip(sizes)
                .map(|(n, s)| (*n, f64::from(*s) + 1.0));
            let slots = slots(&sizes.collect::<Vec<_>>());
            let all: f64 = taken.iter().map(|t| f64::from(*t)).sum::<f64>() + 1.0;
            let shares: Vec<_> = names
                .iter()
                .zip(taken)
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

/// Story: the operator binds a large account to a region while callers are served. Were the
/// region left at once, a third of the others' requests would run in another region within two
/// seconds, where nothing of theirs is kept.
///
/// Grounds: 0.15 of a region's requests may change their region in two seconds.
#[test]
fn under_traffic_parts_move_slowly() {
    let shares = UnboundShares::default();
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
fn before_the_first_request_parts_are_there_at_once() {
    let shares = UnboundShares::default();
    shares.update(&BTreeMap::from([("south".into(), 1.0)]), Millis(0));
    shares.update(&BTreeMap::from([("south".into(), 0.1)]), Millis(250));
    assert!((shares.share(&"south".into()) - 0.1).abs() < 1e-9);
}
