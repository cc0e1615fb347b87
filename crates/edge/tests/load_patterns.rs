//! Patterns of load that hurt callers, each against the decision that answers it. Nothing here
//! needs a network.

mod support;

use std::rc::Rc;

use heatherknot_edge::locality::{RouteLocality, TransferProfile};
use heatherknot_edge::selection::{Locality, SelectionParams, first_ranked, select};
use heatherknot_edge::service_times::ServiceTimes;
use heatherknot_edge::spillover::{SlotCounts, Spillover};
use heatherknot_edge::switches::Switches;
use heatherknot_edge::upstream::{ServerLoad, Upstream};
use heatherknot_types::prelude::*;
use support::{TestClock, upstream};

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
    let spillover = Spillover::default();
    let no_slots = SlotCounts {
        region_count: 3,
        ..SlotCounts::default()
    };
    let half_local = SlotCounts {
        local: 90.0,
        remote: 90.0,
        region_count: 3,
        ..SlotCounts::default()
    };

    spillover.update(no_slots, Millis(0));
    for tick in 1..=32 {
        spillover.update(half_local, Millis(tick * TICK.0));
    }

    let away = (0..1_000)
        .filter(|object| spillover.is_remote(*object))
        .count();
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
    let spillover = Spillover::default();
    let slot_counts = |own: f64| SlotCounts {
        local: own,
        remote: 180.0 - own,
        region_count: 3,
        ..SlotCounts::default()
    };
    spillover.update(slot_counts(90.0), Millis(0));
    assert!(!spillover.is_remote(1), "a caller has come");

    let mut before = spillover.remote_fraction();
    for tick in 1..=64 {
        let own = if tick < 32 { 9.0 } else { 90.0 };
        spillover.update(slot_counts(own), Millis(tick * TICK.0));
        assert!((spillover.remote_fraction() - before).abs() <= 0.15 * TICK.as_secs_f64() / 2.0);
        before = spillover.remote_fraction();
    }
}

/// Pattern: a region that was overloaded has room again.
///
/// Story: servers are slow at their first objects, and a region sends a part of them away. It never
/// takes them back: each server that tells its load has a request, so with a third of the slots busy
/// two thirds are told. In one region 72 in 100 of a service's objects went 110 ms away on a calm day.
///
/// Grounds: three slots a server, a third of them busy; callers of 30 s.
#[test]
fn a_region_with_room_again_takes_its_objects_back() {
    let spillover = Spillover::default();
    let slot_counts = SlotCounts {
        local: 240.0,
        remote: 240.0,
        region_count: 2,
        round_trip: Some(Millis(110)),
    };
    let load = |running, waiting| ServerLoad {
        running,
        waiting,
        slots: 3,
    };
    let run_ticks = |from: u64, own: &[ServerLoad]| {
        for tick in from..from + 40 {
            let now = Millis(tick * TICK.0);
            own.iter()
                .for_each(|reported| spillover.record(true, *reported, Millis(260), now));
            spillover.record(false, load(1, 0), Millis(370), now);
            spillover.update(slot_counts, now);
        }
    };

    assert!(!spillover.is_remote(1), "a caller has come");
    run_ticks(1, &[load(3, 4), load(3, 5)]);
    let busy = spillover.remote_fraction();
    run_ticks(41, &[load(1, 0), load(2, 0), load(2, 0), load(3, 0)]);
    run_ticks(81, &[load(1, 0), load(2, 0), load(2, 0), load(3, 0)]);

    assert!(busy > 0.3, "{busy}");
    assert!(
        spillover.remote_fraction() < 0.01,
        "{}",
        spillover.remote_fraction()
    );
}

/// Pattern: a region with few servers, some of whose slots are free.
///
/// Story: the region takes back what it had sent away until its requests wait. Twice as many
/// requests of the deployment are refused as before; its servers are thought to get more objects
/// than they keep.
///
/// Grounds: a ninth of the slots in one of three regions, none of them waited for in 20 s.
#[test]
fn a_region_takes_no_more_objects_than_its_part_of_the_slots() {
    let spillover = Spillover::default();
    let few_local = SlotCounts {
        local: 20.0,
        remote: 160.0,
        region_count: 3,
        round_trip: Some(Millis(110)),
    };
    let idle = ServerLoad {
        running: 1,
        waiting: 0,
        slots: 3,
    };
    spillover.update(few_local, Millis(0));
    let at_first = spillover.remote_fraction();
    let _a_caller_has_come = spillover.is_remote(1);

    for tick in 1..=80 {
        let now = Millis(tick * TICK.0);
        spillover.record(true, idle, Millis(260), now);
        spillover.record(false, idle, Millis(370), now);
        spillover.update(few_local, now);
    }

    assert!(
        (spillover.remote_fraction() - at_first).abs() < 1e-9,
        "{}",
        spillover.remote_fraction()
    );
}

/// Pattern: a region with a third of the callers and a tenth of the servers.
///
/// Story: the region sends seven objects in ten away, uploads of 60 KB among them. They fill the
/// links between regions, while reads of 2 KB are kept at home in their stead.
///
/// Grounds: 20 slots of 180 in one of three regions; a way of 113 ms and a target of 400 ms.
#[test]
fn where_servers_are_few_what_carries_much_stays() {
    let spillover = Spillover::default();
    let few_local = SlotCounts {
        local: 20.0,
        remote: 160.0,
        region_count: 3,
        ..SlotCounts::default()
    };
    spillover.update(few_local, Millis(0));
    let profile = |large| TransferProfile {
        expects_large: large,
        local_vms: 1,
    };
    let (uploads, reads) = (RouteLocality::default(), RouteLocality::default());
    uploads.update(profile(true), Millis(0));
    reads.update(profile(false), Millis(0));

    let away = |route: &RouteLocality| {
        let places =
            (0..1_000).map(|object| route.locality_of(object, &spillover, Switches::default()));
        places
            .filter(|place| *place == Locality::OtherRegions)
            .count()
    };

    assert_eq!(away(&uploads), 0);
    assert!((600..730).contains(&away(&reads)), "{}", away(&reads));
}

/// Pattern: everything starts at once, and the first measurement of a way takes too long.
///
/// Story: two VMs of a region measure 146 ms and 113 ms while they start. One serves an object
/// near and the other far away; both servers run it without having it, and the first VM then moves
/// its objects for 25 s.
///
/// Grounds: the longest and the shortest of 90 first measurements of a way of 110 ms.
#[test]
fn a_way_measured_too_long_at_a_start_moves_nothing_later() {
    let (route, spillover) = (RouteLocality::default(), Spillover::default());
    let slot_counts = |way| SlotCounts {
        local: 60.0,
        remote: 120.0,
        region_count: 3,
        round_trip: Some(Millis(way)),
    };
    let near = |spillover: &Spillover| {
        let is_near = |object: &u64| {
            route.locality_of(*object, spillover, Switches::default()) == Locality::Region
        };
        (0..1_000).filter(is_near).count()
    };

    spillover.update(slot_counts(146), Millis(0));
    let at_first = near(&spillover);
    spillover.update(slot_counts(113), Millis(500));

    assert_eq!((at_first, near(&spillover)), (1_000, 1_000));
}

/// A home of `count` servers, the wish for one object among them, and the first of its rank.
fn with_servers<T>(
    count: usize,
    body: impl FnOnce(&[Rc<Upstream>], &SelectionParams<'_>, &Rc<Upstream>) -> T,
) -> T {
    let clock = TestClock::default().clock();
    let id = |i| format!("server-{i}");
    let servers: Vec<_> = (0..count)
        .map(|i| upstream(&id(i), "north", &clock))
        .collect();
    let region = "north".into();
    let domain = "north".into();
    let params = SelectionParams {
        object: 1,
        sticky: true,
        region: &region,
        domain: &domain,
        latency_target: Millis(600),
        time_left: Millis(2_500),
        now: clock.now(),
        switches: Switches::default(),
        is_region_bound: false,
        assigned: None,
        is_home: &|_| true,
        placement: None,
    };
    let first = first_ranked(&params, &servers, Locality::Region).expect("there are servers");
    body(&servers, &params, &first)
}

/// A pace by which a kept object takes 260 ms and another one 1,050 ms.
fn service_times() -> ServiceTimes {
    let service_times = ServiceTimes::default();
    service_times.record(&"north".into(), true, Millis(260));
    service_times.record(&"north".into(), false, Millis(1_050));
    service_times
}

/// Pattern: fewer objects than servers, and some servers are the first of three or four.
///
/// Story: four objects share a server of three slots, and five requests wait there. The next ones
/// are refused, one in ten of all, while the servers beside it have had nothing to do all day.
///
/// Grounds: of 711 objects over 996 servers, each asked for 4.3 times a second, one in eight
/// lies at a server with three or more; a third of all slots is busy.
#[test]
fn where_others_are_idle_a_crowded_servers_objects_get_copies() {
    with_servers(60, |servers, params, first| {
        let _eight: Vec<_> = (0..8).map(|_| first.start_request()).collect();

        let chosen =
            select(params, servers, &service_times(), Locality::Region).expect("there are servers");

        assert_ne!(chosen.upstream.id, first.id);
        assert!(chosen.has_free_slot);
    });
}

/// Pattern: more work than servers can do.
///
/// Story: each request that would wait makes a copy of its object somewhere else. Objects push
/// each other out, every request is work afresh, and the overload feeds itself.
///
/// Grounds: two slots in three busy leave one of each server's three in the mean.
#[test]
fn where_all_servers_are_busy_no_copies_are_made() {
    with_servers(60, |servers, params, first| {
        let _eight: Vec<_> = (0..8).map(|_| first.start_request()).collect();
        let others = servers.iter().filter(|u| u.id != first.id);
        let _two_each: Vec<_> = others
            .flat_map(|u| [u.start_request(), u.start_request()])
            .collect();

        let chosen =
            select(params, servers, &service_times(), Locality::Region).expect("there are servers");

        assert_eq!(chosen.upstream.id, first.id);
    });
}

/// Pattern: one slot of three is free.
///
/// Story: a server was heard to have a hundredth of a request of other VMs, an average that never
/// quite ends. With two requests of three slots it counted as full, and what it could have begun
/// at once was refused.
///
/// Grounds: of the refusals at homes of a day, half named a server with under one request of
/// others beside free slots.
#[test]
fn a_fraction_of_a_request_does_not_fill_a_server() {
    with_servers(4, |servers, params, first| {
        let _two: Vec<_> = (0..2).map(|_| first.start_request()).collect();
        let load = |running| ServerLoad {
            running,
            waiting: 0,
            slots: 3,
        };
        first.record_load(load(3), params.now);
        (0..10).for_each(|_| {
            first.record_load(load(2), params.now);
        });

        let chosen =
            select(params, servers, &service_times(), Locality::Region).expect("there are servers");

        assert!(chosen.has_free_slot && chosen.upstream.id == first.id);
    });
}
