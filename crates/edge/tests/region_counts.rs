//! What the log tells of the regions to which a VM sends requests.

use heatherknot_edge::region_counts::RegionCounts;
use heatherknot_types::prelude::*;

/// Story: much of a region's traffic was served in another region from one moment to the next.
/// Single requests are told of one in 64, so the logs could not say whether VMs had sent more of
/// them away, or only what was under way to far regions was left.
#[test]
fn what_was_sent_and_what_is_still_under_way_are_told_apart() {
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
fn nothing_is_told_before_its_time_or_of_a_quiet_service() {
    let counts = RegionCounts::default();
    let one = counts.start_request(&"north".into());

    assert_eq!(counts.take_summary(Millis(1_999)), None);
    assert!(counts.take_summary(Millis(2_000)).is_some());
    drop(one);
    assert_eq!(counts.take_summary(Millis(4_000)), None);
}
