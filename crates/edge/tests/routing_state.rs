//! Tests of the routing state derived from the store's keys: routes, backend servers, evacuations.

mod support;

use heatherknot_types::prelude::*;
use support::{TestClock, delete, entry, entry_of_run, put, routing_state};

fn version(routing_state: &heatherknot_edge::routing_state::RoutingState) -> Option<u64> {
    routing_state.catalog().map(|catalog| catalog.version)
}

#[test]
fn an_invalid_configuration_leaves_the_last_one_in_force() {
    let clock = TestClock::default().clock();
    let mut routing_state = routing_state(&clock);
    routing_state.apply(&[put("catalog", "3 gallery", 5)], true);
    routing_state.apply(&[put("catalog", "nonsense", 6)], true);
    routing_state.apply(&[delete("catalog", 7)], true);
    assert_eq!(version(&routing_state), Some(3));
}

/// A peer that was cut off may send an older configuration after a newer one is in force. Its
/// routes would send requests to a service that they were moved away from.
#[test]
fn an_older_configuration_is_ignored() {
    let clock = TestClock::default().clock();
    let mut routing_state = routing_state(&clock);
    routing_state.apply(&[put("catalog", "3 gallery", 5)], true);
    routing_state.apply(&[put("catalog", "2 gallery", 9)], true);
    assert_eq!(version(&routing_state), Some(3));
    routing_state.apply(&[put("catalog", "4 gallery", 10)], true);
    routing_state.apply(&[put("catalog", "9 gallery", 5)], true);
    assert_eq!(version(&routing_state), Some(4));
}

/// During a store outage entries expire although their servers are healthy. Removing the servers at
/// once would refuse every request.
#[test]
fn entries_missing_after_an_outage_are_kept_until_it_has_settled() {
    let clock = TestClock::default().clock();
    let mut routing_state = routing_state(&clock);
    let service = "gallery".into();
    routing_state.apply(&[put("server/a", entry("ready", 0, 1), 1)], true);
    routing_state.apply(&[put("server/b", entry("ready", 0, 1), 2)], true);
    routing_state.apply(&[delete("server/a", 3), delete("server/b", 4)], false);
    assert_eq!(routing_state.upstreams(&service).len(), 2);
    routing_state.apply(&[put("server/a", entry("ready", 0, 2), 5)], false);
    routing_state.remove_missing();
    let left = routing_state.upstreams(&service);
    assert_eq!(left.len(), 1);
    assert_eq!(left[0].id.as_str(), "a");
}

/// While a domain is evacuated its servers may turn cold unnoticed. The full load at once after its
/// return would crash them.
#[test]
fn servers_count_as_cold_after_an_evacuation_until_they_report_otherwise() {
    let test = TestClock::default();
    let clock = test.clock();
    let mut routing_state = routing_state(&clock);
    let service = "gallery".into();
    routing_state.apply(&[put("catalog", "1 gallery", 1)], true);
    routing_state.apply(&[put("server/a", entry("ready", 0, 1), 2)], true);
    routing_state.apply(&[put("evacuated/north-1", "{}", 3)], true);
    assert!(routing_state.is_evacuated(&"north-1".into()));
    routing_state.apply(&[delete("evacuated/north-1", 4)], true);

    let a = routing_state.upstreams(&service)[0].clone();
    assert!(!routing_state.is_evacuated(&"north-1".into()));
    assert!(a.is_cold(clock.now()));
    let update = put("server/a", entry("ready", 0, 2), 5);
    assert!(routing_state.is_relevant(&update), "other VMs need it too");
    routing_state.apply(&[update], true);
    assert!(!a.is_cold(clock.now()));
}

#[test]
fn a_leaving_server_takes_no_requests_and_a_cold_one_counts_as_cold() {
    let test = TestClock::default();
    let clock = test.clock();
    let mut routing_state = routing_state(&clock);
    routing_state.apply(&[put("server/a", entry("ready", 2_000, 1), 1)], true);
    let a = routing_state.upstreams(&"gallery".into())[0].clone();
    assert!(a.is_cold(clock.now()));
    test.advance(2_000);
    assert!(!a.is_cold(clock.now()));
    routing_state.apply(&[put("server/a", entry("leaving", 0, 2), 2)], true);
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

/// A server that restarts under the same identifier is cold and holds no objects. Taking it for the
/// previous run would send it a load that crashes cold servers, and a late update of the previous
/// run must not bring that run back.
#[test]
fn a_server_that_starts_again_under_its_identifier_is_another_run() {
    let test = TestClock::default();
    let clock = test.clock();
    let mut routing_state = routing_state(&clock);
    let service = "gallery".into();
    routing_state.apply(&[put("server/a", entry_of_run(100, "ready", 0), 1)], true);
    let old = routing_state.upstreams(&service)[0].clone();
    let _at_old = old.start_request();
    old.record_success(7, Some(1.0), clock.now());

    let again = put("server/a", entry_of_run(200, "ready", 3_000), 2);
    assert!(routing_state.is_relevant(&again), "other VMs need it too");
    routing_state.apply(&[again], true);

    let new = routing_state.upstreams(&service)[0].clone();
    assert!(!old.accepts_requests(), "the old run gets no more requests");
    assert!(new.accepts_requests() && new.is_cold(clock.now()));
    assert!(!new.likely_caches(7, clock.now()));
    assert_eq!(new.in_flight(), 0);
    routing_state.apply(&[put("server/a", entry_of_run(100, "leaving", 0), 3)], true);
    let kept = routing_state.upstreams(&service)[0].clone();
    assert_eq!(kept.started_at, Some(Millis(200)));
    assert!(
        kept.accepts_requests(),
        "a late update of the old run is ignored"
    );
}

/// After the newest run's entry is deleted, a late update of the run before it must not direct
/// requests to a server that ended two runs ago.
#[test]
fn an_entry_of_an_ended_run_adds_no_server() {
    let clock = TestClock::default().clock();
    let mut routing_state = routing_state(&clock);
    routing_state.apply(&[put("server/a", entry_of_run(200, "ready", 0), 1)], true);
    routing_state.apply(&[delete("server/a", 2)], true);
    routing_state.apply(&[put("server/a", entry_of_run(100, "ready", 0), 3)], true);
    assert!(routing_state.upstreams(&"gallery".into()).is_empty());
    routing_state.apply(&[put("server/a", entry_of_run(200, "ready", 0), 4)], true);
    assert_eq!(routing_state.upstreams(&"gallery".into()).len(), 1);
}

/// After a server's entry is overwritten with invalid data, requests must not continue to the
/// server it named before, which may be long gone.
#[test]
fn an_entry_that_becomes_invalid_removes_its_server() {
    let clock = TestClock::default().clock();
    let mut routing_state = routing_state(&clock);
    let service = "gallery".into();
    routing_state.apply(&[put("server/a", entry_of_run(100, "ready", 0), 1)], true);
    routing_state.apply(&[put("server/b", entry("ready", 0, 1), 2)], true);
    for damaged in [&b"\xff\xfe"[..], b"{}", b""] {
        routing_state.apply(&[put("server/a", damaged, 3)], true);
        let left = routing_state.upstreams(&service);
        assert_eq!(left.len(), 1, "the other server stays");
        assert_eq!(left[0].id.as_str(), "b");
    }
    routing_state.apply(&[put("server/a", entry("ready", 0, 2), 4)], true);
    assert_eq!(
        routing_state.upstreams(&service).len(),
        1,
        "an entry without its start time is ignored"
    );
    routing_state.apply(&[put("server/a", entry_of_run(100, "ready", 0), 5)], true);
    assert_eq!(routing_state.upstreams(&service).len(), 2);
}
