//! Patterns of load that hurt callers, each against the decision that answers it. Nothing here
//! needs a network.

mod support;

use std::rc::Rc;

use heatherknot_edge::locality::{Carried, RouteLocality};
use heatherknot_edge::selection::{Locality, SelectionParams, first_ranked, select};
use heatherknot_edge::service_times::ServiceTimes;
use heatherknot_edge::spillover::{Room, Spillover};
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
    let spill = Spillover::default();
    let nothing = Room {
        regions: 3,
        ..Room::default()
    };
    let half = Room {
        own: 90.0,
        elsewhere: 90.0,
        regions: 3,
        ..Room::default()
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
    let spill = Spillover::default();
    let room = |own: f64| Room {
        own,
        elsewhere: 180.0 - own,
        regions: 3,
        ..Room::default()
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

/// Pattern: a region that was overloaded has room again.
///
/// Story: servers are slow at their first objects, and a region sends a part of them away. It never
/// takes them back: each server that tells its load has a request, so with a third of the slots busy
/// two thirds are told. In one region 72 in 100 of a service's objects went 110 ms away on a calm day.
///
/// Grounds: three slots a server, a third of them busy; callers of 30 s.
#[test]
fn a_region_with_room_again_takes_its_objects_back() {
    let spill = Spillover::default();
    let room = Room {
        own: 240.0,
        elsewhere: 240.0,
        regions: 2,
        way: Some(Millis(110)),
    };
    let load = |running, waiting| ServerLoad {
        running,
        waiting,
        slots: 3,
    };
    let play = |from: u64, own: &[ServerLoad]| {
        for tick in from..from + 40 {
            let now = Millis(tick * TICK.0);
            own.iter()
                .for_each(|told| spill.record(true, *told, Millis(260), now));
            spill.record(false, load(1, 0), Millis(370), now);
            spill.step(room, now);
        }
    };

    assert!(!spill.is_away(1), "a caller has come");
    play(1, &[load(3, 4), load(3, 5)]);
    let busy = spill.part();
    play(41, &[load(1, 0), load(2, 0), load(2, 0), load(3, 0)]);
    play(81, &[load(1, 0), load(2, 0), load(2, 0), load(3, 0)]);

    assert!(busy > 0.3, "{busy}");
    assert!(spill.part() < 0.01, "{}", spill.part());
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
    let spill = Spillover::default();
    let few = Room {
        own: 20.0,
        elsewhere: 160.0,
        regions: 3,
        way: Some(Millis(110)),
    };
    let idle = ServerLoad {
        running: 1,
        waiting: 0,
        slots: 3,
    };
    spill.step(few, Millis(0));
    let at_first = spill.part();
    let _a_caller_has_come = spill.is_away(1);

    for tick in 1..=80 {
        let now = Millis(tick * TICK.0);
        spill.record(true, idle, Millis(260), now);
        spill.record(false, idle, Millis(370), now);
        spill.step(few, now);
    }

    assert!((spill.part() - at_first).abs() < 1e-9, "{}", spill.part());
}

/// Pattern: a region with a third of the callers and a tenth of the servers.
///
/// Story: the region sends seven objects in ten away, uploads of 60 KB among them. They fill the
/// links between regions, while reads of 2 KB are kept at home in their stead.
///
/// Grounds: 20 slots of 180 in one of three regions; a way of 113 ms and a target of 400 ms.
#[test]
fn where_servers_are_few_what_carries_much_stays() {
    let spill = Spillover::default();
    let few = Room {
        own: 20.0,
        elsewhere: 160.0,
        regions: 3,
        ..Room::default()
    };
    spill.step(few, Millis(0));
    let carried = |large| Carried { large, vms_here: 1 };
    let (uploads, reads) = (RouteLocality::default(), RouteLocality::default());
    uploads.step(carried(true), Millis(0));
    reads.step(carried(false), Millis(0));

    let away = |route: &RouteLocality| {
        let places =
            (0..1_000).map(|object| route.locality_of(object, &spill, Switches::default()));
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
    let (route, spill) = (RouteLocality::default(), Spillover::default());
    let room = |way| Room {
        own: 60.0,
        elsewhere: 120.0,
        regions: 3,
        way: Some(Millis(way)),
    };
    let near = |spill: &Spillover| {
        let is_near = |object: &u64| {
            route.locality_of(*object, spill, Switches::default()) == Locality::Region
        };
        (0..1_000).filter(is_near).count()
    };

    spill.step(room(146), Millis(0));
    let at_first = near(&spill);
    spill.step(room(113), Millis(500));

    assert_eq!((at_first, near(&spill)), (1_000, 1_000));
}

/// A home of `count` servers, the wish for one object among them, and the first of its rank.
fn home_with<T>(
    count: usize,
    act: impl FnOnce(&[Rc<Upstream>], &SelectionParams<'_>, &Rc<Upstream>) -> T,
) -> T {
    let clock = TestClock::default().clock();
    let id = |i| format!("server-{i}");
    let servers: Vec<_> = (0..count)
        .map(|i| upstream(&id(i), "north", &clock))
        .collect();
    let region = "north".into();
    let domain = "north".into();
    let wish = SelectionParams {
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
    let first = first_ranked(&wish, &servers, Locality::Region).expect("there are servers");
    act(&servers, &wish, &first)
}

/// A pace by which a kept object takes 260 ms and another one 1,050 ms.
fn pace() -> ServiceTimes {
    let pace = ServiceTimes::default();
    pace.record(&"north".into(), true, Millis(260));
    pace.record(&"north".into(), false, Millis(1_050));
    pace
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
    home_with(60, |servers, wish, first| {
        let _eight: Vec<_> = (0..8).map(|_| first.start_request()).collect();

        let chosen = select(wish, servers, &pace(), Locality::Region).expect("there are servers");

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
    home_with(60, |servers, wish, first| {
        let _eight: Vec<_> = (0..8).map(|_| first.start_request()).collect();
        let others = servers.iter().filter(|u| u.id != first.id);
        let _two_each: Vec<_> = others
            .flat_map(|u| [u.start_request(), u.start_request()])
            .collect();

        let chosen = select(wish, servers, &pace(), Locality::Region).expect("there are servers");

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
    home_with(4, |servers, wish, first| {
        let _two: Vec<_> = (0..2).map(|_| first.start_request()).collect();
        let load = |running| ServerLoad {
            running,
            waiting: 0,
            slots: 3,
        };
        first.record_load(load(3), wish.now);
        (0..10).for_each(|_| {
            first.record_load(load(2), wish.now);
        });

        let chosen = select(wish, servers, &pace(), Locality::Region).expect("there are servers");

        assert!(chosen.has_free_slot && chosen.upstream.id == first.id);
    });
}
