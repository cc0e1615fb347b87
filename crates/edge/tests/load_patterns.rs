//! Patterns of load that hurt callers, each against the decision that answers it. Nothing here
//! needs a network.

mod support;

use heatherknot_edge::spill::{Room, Spill};
use heatherknot_types::prelude::*;

/// How often a daemon moves its thresholds.
const TICK: Millis = Millis(250);

/// Pattern: everything starts at once, and callers come eight seconds later.
///
/// Story: a daemon reads the routes a moment before the servers' entries. With no server known in
/// its region it takes the part to send away for all, and comes back from there by 0.04 a second:
/// seven objects in ten are served 110 ms away when callers come, and warmed once more near them
/// in the next 20 s.
///
/// Grounds: eight seconds are the shortest head start that a deployment gives its VMs; a region
/// with half of the slots and a third of the callers need send nothing away.
#[test]
fn callers_after_a_start_find_their_objects_near() {
    let spill = Spill::default();
    let nothing = Room {
        regions: 3,
        ..Room::default()
    };
    let half = Room {
        own: 90.0,
        elsewhere: 90.0,
        regions: 3,
    };

    spill.step(nothing, Millis(0));
    for tick in 1..=32 {
        spill.step(half, Millis(tick * TICK.0));
    }

    let away = (0..1_000).filter(|object| spill.is_away(*object)).count();
    assert_eq!(away, 0);
}

/// Pattern: servers of a region vanish and come back under traffic.
///
/// Story: a freed threshold that jumped under traffic would move most of a region's callers to
/// servers that hold none of their objects, within one tick.
///
/// Grounds: 0.15 of a region's requests may change their region in two seconds.
#[test]
fn under_traffic_the_threshold_never_jumps() {
    let spill = Spill::default();
    let room = |own: f64| Room {
        own,
        elsewhere: 180.0 - own,
        regions: 3,
    };
    spill.step(room(90.0), Millis(0));
    assert!(!spill.is_away(1), "a caller has come");

    let mut before = spill.part();
    for tick in 1..=64 {
        let own = if tick < 32 { 9.0 } else { 90.0 };
        spill.step(room(own), Millis(tick * TICK.0));
        assert!((spill.part() - before).abs() <= 0.15 * TICK.as_secs_f64() / 2.0);
        before = spill.part();
    }
}
