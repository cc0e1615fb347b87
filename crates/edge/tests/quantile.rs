//! Tests of the streaming quantile estimate.

use heatherknot_edge::quantile::Quantile;
use heatherknot_edge::service_times::ServiceTimes;
use heatherknot_types::prelude::*;

#[test]
fn the_estimate_converges_to_its_quantile() {
    let quantile = Quantile::new(0.25);
    for at in 0..4_000_u32 {
        quantile.add(f64::from(at * 37 % 100) + 1.0);
    }
    let value = quantile.get().expect("there were samples");
    assert!((15.0..40.0).contains(&value), "{value}");
}

/// Guards against taking queueing time for service time. Under a burst most responses include time
/// in a queue. Every server then seemed too slow to respond in time, requests were spread over all
/// of them, none had its objects cached any more, and the overload lasted as long as callers came.
#[test]
fn queueing_time_is_not_taken_for_service_time() {
    let service_times = ServiceTimes::default();
    let region: RegionName = "north".into();
    for at in 0..400 {
        let waited = if at % 3 == 0 { 0 } else { 700 };
        service_times.record(&region, true, Millis(260 + waited));
    }
    let work = service_times.expected_ms(&region, true, 600.0);
    assert!((200.0..320.0).contains(&work), "{work}");
}
