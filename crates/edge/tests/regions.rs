//! Simulations of the regions in which callers' requests are processed over time. No network is
//! used.

mod support;

use heatherknot_types::prelude::*;
use support::region_model::{Region, Scenario, SimulationResult, simulate};

/// Maximum fraction of a region's requests that may change their region from one two-second window
/// to the next.
const MAX_SHIFT: f64 = 0.15;
/// End of the start phase in milliseconds; windows before it are not compared.
const WARM_UP_MS: u64 = 3_000;

/// Three regions with equal demand and 41, 49 and 10 in 100 of the servers.
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

/// Guards against a sudden shift between regions when callers stop. After eight calm seconds, 34 in
/// 100 of the requests from one region and 40 in 100 of those from another were suddenly processed
/// in other regions, although the logs show the same fraction sent to each region until the end.
/// Each object had a single server in all regions, so half of the requests were always in transit
/// for 55 ms, despite free capacity in their own region, and only those were left.
#[test]
fn the_last_requests_of_a_region_with_capacity_do_not_shift() {
    for seed in 1..=3 {
        let scenario = uneven_regions(seed);

        let result = simulate(&scenario);

        assert_no_shift(&scenario, &result, &["north", "plaines"]);
    }
}

/// Guards against the same shift in the region that has a tenth of the servers and a third of the
/// callers. It has to redirect most of its requests. They are in transit for 55 ms and local ones
/// for 1 ms, so hardly any local ones are left when callers stop.
#[test]
#[ignore = "known to fail, see KNOWN-RED.txt"]
fn the_last_requests_of_a_region_with_too_few_servers_do_not_shift() {
    for seed in 1..=3 {
        let scenario = uneven_regions(seed);

        let result = simulate(&scenario);

        assert_no_shift(&scenario, &result, &["north", "plaines", "south"]);
    }
}
