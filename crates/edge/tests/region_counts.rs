//! Tests of the log summary of the regions to which a VM sends requests.

use heatherknot_edge::region_counts::RegionCounts;
use heatherknot_types::prelude::*;

/// Guards against a summary that cannot tell requests sent from requests in flight. Much of a
/// region's traffic was suddenly served in another region. Only one request in 64 is logged, so the
/// logs did not show whether VMs had redirected more requests or only those in transit to remote
/// regions were left.
#[test]
fn sent_and_in_flight_requests_are_counted_separately() {
    let counts = RegionCounts::default();
    let near = counts.start_request(&"north".into());
    let far: Vec<_> = (0..3)
        .map(|_| counts.start_request(&"south".into()))
        .collect();
    drop(near);
    let first = counts
        .take_summary(Millis(2_000))
        .expect("a summary is due");
    let _late = counts.start_request(&"south".into());

    let second = counts
        .take_summary(Millis(4_000))
        .expect("a summary is due");

    assert_eq!(
        (first.requests, first.sent.as_str()),
        (4, "north=1 south=3")
    );
    assert_eq!(first.in_flight, "north=0 south=3");
    assert_eq!(second.sent, "north=0 south=1");
    assert_eq!(second.in_flight, "north=0 south=4");
    drop(far);
}

#[test]
fn no_summary_before_the_interval_or_for_an_idle_service() {
    let counts = RegionCounts::default();
    let one = counts.start_request(&"north".into());

    assert_eq!(counts.take_summary(Millis(1_999)), None);
    assert!(counts.take_summary(Millis(2_000)).is_some());
    drop(one);
    assert_eq!(counts.take_summary(Millis(4_000)), None);
}
