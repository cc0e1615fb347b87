//! The quantile that follows its samples.

use heatherknot_edge::quantile::Quantile;
use heatherknot_edge::service_times::ServiceTimes;
use heatherknot_types::prelude::*;

#[test]
fn it_settles_where_its_part_of_the_samples_lies_below() {
    let quantile = Quantile::new(0.25);
    for at in 0..4_000_u32 {
        quantile.add(f64::from(at * 37 % 100) + 1.0);
    }
    let value = quantile.get().expect("there were samples");
    assert!((15.0..40.0).contains(&value), "{value}");
}

/// Story: under a rush most answers have waited in their server's queue. The waits were taken
/// for work, so every server seemed too slow to answer in time, requests were spread over all
/// of them, none kept its objects any more, and the rush went on for as long as callers came.
#[test]
fn waits_in_queues_are_not_taken_for_work() {
    let service_times = ServiceTimes::default();
    let region: RegionName = "north".into();
    for at in 0..400 {
        let waited = if at % 3 == 0 { 0 } else { 700 };
        service_times.record(&region, true, Millis(260 + waited));
    }
    let work = service_times.expected_ms(&region, true, 600.0);
    assert!((200.0..320.0).contains(&work), "{work}");
}
