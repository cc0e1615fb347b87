//! Tests of the requests that VMs send to cold backend servers.

use heatherknot_edge::cold_sends::ColdSends;
use heatherknot_edge::presence::reachable_share;
use heatherknot_types::prelude::*;

/// Guards against two VMs in a partition that each send a cold server the whole rate.
#[test]
fn both_sides_of_a_partition_together_keep_to_the_rate_of_a_cold_server() {
    const RATE: f64 = 19.0;
    let server = UpstreamName::from("i-1");
    let mut sides = [
        (ColdSends::default(), reachable_share(3, 8)),
        (ColdSends::default(), reachable_share(5, 8)),
    ];

    let mut sends = Vec::new();
    for at in (0..10_000).map(Millis) {
        for (side, share) in &mut sides {
            if side.try_claim(&server, RATE, *share, at) {
                sends.push(at);
            }
        }
    }

    let in_second = |from: &Millis| {
        let later = sends.iter().filter(|at| **at >= *from);
        later
            .take_while(|at| at.since(*from) < Millis(1_000))
            .count()
    };
    let worst = sends
        .iter()
        .map(in_second)
        .max()
        .expect("requests were sent");
    // Each of the two may begin a second with a request.
    assert!(worst as f64 <= RATE + 2.0, "{worst} in a second");
}
