//! In which regions callers' requests run, over time. Nothing here needs a network.

mod support;

use heatherknot_types::prelude::*;
use support::region_model::{Region, Scenario, SimulationResult, simulate};

/// The part of a region's requests that may change the region in which they run from one window of
/// two seconds to the next.
const MAX_SHIFT: f64 = 0.15;
/// The time after which a day's start is over: windows before it are not compared.
const WARM_UP_MS: u64 = 3_000;

/// Three regions with callers alike; they have 41, 49 and 10 of 100 servers.
fn uneven_regions(seed: u64) -> Scenario {
    let region = |name, servers| Region {
        name,
        servers,
        requests_per_second: 1_300.0,
    };
    Scenario {
        regions: vec![
            region("north", 204),
            region("plaines", 244),
            region("south", 50),
        ],
        one_way_ms: 55,
        objects: 355,
        cache_capacity: 13,
        cold_work_ms: 250.0,
        target: Millis(600),
        end_ms: 15_000,
        seed,
    }
}

fn assert_no_shift(scenario: &Scenario, result: &SimulationResult, names: &[&str]) {
    let regions = scenario.regions.iter().enumerate();
    for (from, region) in regions.filter(|(_, region)| names.contains(&region.name)) {
        let (shift, at) = result.largest_shift(from, scenario.regions.len(), WARM_UP_MS);
        assert!(
            shift <= MAX_SHIFT,
            "{shift:.2} of the requests from {} change their region at {at} ms, seed {}",
            region.name,
            scenario.seed
        );
    }
}

/// Story: with no trouble near, 34 in 100 of the requests from one region and 40 in 100 of those
/// from another ran in other regions from one moment to the next, when callers ended after eight
/// calm seconds. No decision had changed: the logs show the same part sent to each region until the
/// end. Each object had one server in all regions, so half of the requests were always under way
/// for 55 ms, beside room in their own region, and only those were left.
#[test]
fn where_a_region_has_room_its_last_requests_run_where_those_before_them_did() {
    for seed in 1..=3 {
        let scenario = uneven_regions(seed);

        let result = simulate(&scenario);

        assert_no_shift(&scenario, &result, &["north", "plaines"]);
    }
}

/// Story: the same, with the region that has a tenth of the servers and a third of the callers. It
/// has to send most of its requests away; those are under way for 55 ms and the others for one, so
/// when callers end hardly any of the others are left.
#[test]
#[ignore = "known to fail, see KNOWN-RED.txt"]
fn where_callers_end_the_last_requests_run_where_those_before_them_did() {
    for seed in 1..=3 {
        let scenario = uneven_regions(seed);

        let result = simulate(&scenario);

        assert_no_shift(&scenario, &result, &["north", "plaines", "south"]);
    }
}
