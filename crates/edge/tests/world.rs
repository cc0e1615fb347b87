//! What follows from the store's keys: routes, backend servers, evacuations.

mod support;

use heatherknot_types::prelude::*;
use support::{TestClock, delete, entry, entry_of_run, put, world};

fn version(world: &heatherknot_edge::world::RoutingState) -> Option<u64> {
    world.catalog().map(|catalog| catalog.version)
}

#[test]
fn a_configuration_that_cannot_be_read_leaves_the_last_one_in_force() {
    let clock = TestClock::default().clock();
    let mut world = world(&clock);
    world.apply(&[put("catalog", "3 gallery", 5)], true);
    world.apply(&[put("catalog", "nonsense", 6)], true);
    world.apply(&[delete("catalog", 7)], true);
    assert_eq!(version(&world), Some(3));
}

/// Story: a peer that was cut off tells of an older configuration after a newer one is in
/// force. A request would be served by a service that it was moved away from.
#[test]
fn no_configuration_goes_back() {
    let clock = TestClock::default().clock();
    let mut world = world(&clock);
    world.apply(&[put("catalog", "3 gallery", 5)], true);
    world.apply(&[put("catalog", "2 gallery", 9)], true);
    assert_eq!(version(&world), Some(3));
    world.apply(&[put("catalog", "4 gallery", 10)], true);
    world.apply(&[put("catalog", "9 gallery", 5)], true);
    assert_eq!(version(&world), Some(4));
}

/// Story: entries lapse while the store is away, and their servers live on. Were they dropped
/// at once, every request would be refused although nothing is wrong with the servers.
#[test]
fn entries_missing_after_an_outage_are_kept_until_it_has_settled() {
    let clock = TestClock::default().clock();
    let mut world = world(&clock);
    let service = "gallery".into();
    world.apply(&[put("server/a", entry("ready", 0, 1), 1)], true);
    world.apply(&[put("server/b", entry("ready", 0, 1), 2)], true);
    world.apply(&[delete("server/a", 3), delete("server/b", 4)], false);
    assert_eq!(world.upstreams(&service).len(), 2);
    world.apply(&[put("server/a", entry("ready", 0, 2), 5)], false);
    world.remove_missing();
    let left = world.upstreams(&service);
    assert_eq!(left.len(), 1);
    assert_eq!(left[0].id.as_str(), "a");
}

/// Story: a domain is taken back after an evacuation and its servers have turned cold
/// unnoticed. The full load at once would crash them.
#[test]
fn servers_count_as_cold_after_an_evacuation_until_they_say_otherwise() {
    let test = TestClock::default();
    let clock = test.clock();
    let mut world = world(&clock);
    let service = "gallery".into();
    world.apply(&[put("catalog", "1 gallery", 1)], true);
    world.apply(&[put("server/a", entry("ready", 0, 1), 2)], true);
    world.apply(&[put("evacuated/north-1", "{}", 3)], true);
    assert!(world.is_evacuated(&"north-1".into()));
    world.apply(&[delete("evacuated/north-1", 4)], true);

    let a = world.upstreams(&service)[0].clone();
    assert!(!world.is_evacuated(&"north-1".into()));
    assert!(a.is_cold(clock.now()));
    let told = put("server/a", entry("ready", 0, 2), 5);
    assert!(world.matters(&told), "other VMs wait for it too");
    world.apply(&[told], true);
    assert!(!a.is_cold(clock.now()));
}

#[test]
fn a_leaving_server_takes_no_requests_and_a_cold_one_is_known_as_such() {
    let test = TestClock::default();
    let clock = test.clock();
    let mut world = world(&clock);
    world.apply(&[put("server/a", entry("ready", 2_000, 1), 1)], true);
    let a = world.upstreams(&"gallery".into())[0].clone();
    assert!(a.is_cold(clock.now()));
    test.advance(2_000);
    assert!(!a.is_cold(clock.now()));
    world.apply(&[put("server/a", entry("leaving", 0, 2), 2)], true);
    assert!(!a.accepts_requests());
}

#[test]
fn routes_are_chosen_by_host_and_longest_prefix() {
    use heatherknot_edge::catalog::{Catalog, CatalogParts};
    let routes = vec![
        support::route("a.example", "/", "all"),
        support::route("a.example", "/shots/", "shots"),
    ];
    let catalog = Catalog::new(CatalogParts {
        routes,
        ..CatalogParts::default()
    });
    let service = |host: &str, path: &str| {
        let route = catalog.route(host, path);
        route.map(|route| route.targets[0].service.to_string())
    };
    assert_eq!(service("a.example", "/shots/1").as_deref(), Some("shots"));
    assert_eq!(service("a.example:80", "/shotsx").as_deref(), Some("all"));
    assert_eq!(service("b.example", "/shots/1"), None);
}

/// Story: a server crashes and starts again under its identifier, cold. The VM takes the new
/// run for the old one, which was warm and kept objects, and sends it the load under which a
/// cold server crashes; or a late word of the old run brings that run back.
#[test]
fn a_server_that_starts_again_under_its_identifier_is_another_run() {
    let test = TestClock::default();
    let clock = test.clock();
    let mut world = world(&clock);
    let service = "gallery".into();
    world.apply(&[put("server/a", entry_of_run(100, "ready", 0), 1)], true);
    let old = world.upstreams(&service)[0].clone();
    let _at_old = old.start_request();
    old.record_success(7, Some(1.0), clock.now());

    let again = put("server/a", entry_of_run(200, "ready", 3_000), 2);
    assert!(world.matters(&again), "other VMs wait for it too");
    world.apply(&[again], true);

    let new = world.upstreams(&service)[0].clone();
    assert!(!old.accepts_requests(), "sends to the old run are over");
    assert!(new.accepts_requests() && new.is_cold(clock.now()));
    assert!(!new.likely_caches(7, clock.now()));
    assert_eq!(new.in_flight(), 0);
    world.apply(&[put("server/a", entry_of_run(100, "leaving", 0), 3)], true);
    let kept = world.upstreams(&service)[0].clone();
    assert_eq!(kept.started_at, Some(Millis(200)));
    assert!(
        kept.accepts_requests(),
        "a late word of the old run is passed over"
    );
}

/// Story: the new run's entry has vanished, and a word of the run before it arrives. Requests
/// would go to a server that ended two runs ago.
#[test]
fn a_word_of_an_ended_run_names_no_server() {
    let clock = TestClock::default().clock();
    let mut world = world(&clock);
    world.apply(&[put("server/a", entry_of_run(200, "ready", 0), 1)], true);
    world.apply(&[delete("server/a", 2)], true);
    world.apply(&[put("server/a", entry_of_run(100, "ready", 0), 3)], true);
    assert!(world.upstreams(&"gallery".into()).is_empty());
    world.apply(&[put("server/a", entry_of_run(200, "ready", 0), 4)], true);
    assert_eq!(world.upstreams(&"gallery".into()).len(), 1);
}

/// Story: somebody else writes over a server's entry. The server was known, so requests went on
/// to it for as long as nobody wrote again, and it had left long since.
#[test]
fn an_entry_that_cannot_be_read_any_more_names_no_server() {
    let clock = TestClock::default().clock();
    let mut world = world(&clock);
    let service = "gallery".into();
    world.apply(&[put("server/a", entry_of_run(100, "ready", 0), 1)], true);
    world.apply(&[put("server/b", entry("ready", 0, 1), 2)], true);
    for damaged in [&b"\xff\xfe"[..], b"{}", b""] {
        world.apply(&[put("server/a", damaged, 3)], true);
        let left = world.upstreams(&service);
        assert_eq!(left.len(), 1, "the others hold");
        assert_eq!(left[0].id.as_str(), "b");
    }
    world.apply(&[put("server/a", entry("ready", 0, 2), 4)], true);
    assert_eq!(
        world.upstreams(&service).len(),
        1,
        "an entry without its start"
    );
    world.apply(&[put("server/a", entry_of_run(100, "ready", 0), 5)], true);
    assert_eq!(world.upstreams(&service).len(), 2);
}
