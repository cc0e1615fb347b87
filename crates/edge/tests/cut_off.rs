//! Simulates VMs that lose their paths to backend servers, by seed.
//!
//! `HEATHERKNOT_CUT_SEEDS` says how many seeds of each scenario are played,
//! `HEATHERKNOT_FIRST_SEED` from which one on.

mod support;

use std::net::TcpListener;
use std::rc::Rc;

use heatherknot_edge::reachability::state::{
    MAX_RETURN_TIME, MIN_UNREACHED, ReachChange, Reachability,
};
use heatherknot_edge::relay::targets::MAX_ATTEMPTS;
use heatherknot_edge::upstream::Upstream;
use heatherknot_http::PoolConfig;
use heatherknot_test_support::runtime::block_on;
use heatherknot_types::prelude::*;
use support::cut_model::{Count, Cut, Outcome, Scenario, Way, run};
use support::registration;

const DEFAULT_SEEDS: u64 = 20;
/// Time after the beginning of a cut from which its VMs have to serve like others.
const SETTLED_AFTER: u64 = 1_000;
/// Time after which the platform judges a cut.
const JUDGED_AFTER: u64 = 4_000;
/// Largest difference of the shares served by VMs with and without a cut.
const MAX_DIFFERENCE: f64 = 0.02;
/// Longest time to a refusal where no VM reaches a server, in milliseconds.
const MAX_REFUSAL_TIME: u64 = 20;

const SMALL: Scenario = Scenario {
    vms: 8,
    domains: 6,
    servers: 14,
    rate: 40,
    cut_fraction: 0.25,
    whole_domain: false,
    crashed_servers: 0.0,
    killed_vms: 0.0,
    cut: Cut::Refused,
};

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn seeds() -> std::ops::Range<u64> {
    let first = number("HEATHERKNOT_FIRST_SEED").unwrap_or(1);
    first..first + number("HEATHERKNOT_CUT_SEEDS").unwrap_or(DEFAULT_SEEDS)
}

/// Runs a scenario over all seeds and adds the outcomes up.
fn run_all(scenario: &Scenario, way: Way, judged_after: u64) -> Outcome {
    let mut sum = Outcome::default();
    for seed in seeds() {
        let outcome = run(scenario, way, judged_after, seed);
        sum.cut = add(sum.cut, outcome.cut);
        sum.others = add(sum.others, outcome.others);
        sum.refused_after.extend(outcome.refused_after);
        sum.max_hops = sum.max_hops.max(outcome.max_hops);
        sum.lost_at_end += outcome.lost_at_end;
    }
    println!(
        "{way:?} from {judged_after} ms: cut {:.4} of {}, others {:.4} of {}",
        sum.cut.share(),
        sum.cut.all,
        sum.others.share(),
        sum.others.all
    );
    sum
}

fn add(a: Count, b: Count) -> Count {
    Count {
        served: a.served + b.served,
        all: a.all + b.all,
    }
}

fn assert_served_alike(scenario: &Scenario, judged_after: u64) {
    let outcome = run_all(scenario, Way::Relay, judged_after);
    let (cut, others) = (outcome.cut.share(), outcome.others.share());
    assert!(cut >= others - MAX_DIFFERENCE, "cut {cut}, others {others}");
    assert!(others >= 1.0 - MAX_DIFFERENCE, "others {others}");
    assert_eq!(outcome.lost_at_end, 0, "a VM does not return");
}

/// Guards against refusing the callers of VMs whose connections are refused.
#[test]
fn callers_of_cut_vms_are_served_like_others() {
    assert_served_alike(&SMALL, SETTLED_AFTER);
}

/// Guards against refusing the callers of VMs whose packets are lost, once the platform judges it.
#[test]
fn callers_of_vms_whose_links_hang_are_served_like_others() {
    let scenario = Scenario {
        cut: Cut::Hangs,
        ..SMALL
    };
    assert_served_alike(&scenario, JUDGED_AFTER);
}

/// Guards against ways that hold only while few VMs are cut, or only in a small deployment.
#[test]
fn callers_are_served_where_most_vms_of_a_large_deployment_are_cut() {
    for cut_fraction in [0.1, 0.5, 0.8] {
        let scenario = Scenario {
            vms: 78,
            servers: 60,
            rate: 6,
            cut_fraction,
            whole_domain: true,
            ..SMALL
        };
        assert_served_alike(&scenario, SETTLED_AFTER);
    }
}

/// Guards against relaying to VMs that were killed, and against taking crashed servers for a cut.
#[test]
fn callers_are_served_beside_crashed_servers_and_killed_vms() {
    let scenario = Scenario {
        crashed_servers: 0.3,
        killed_vms: 0.2,
        ..SMALL
    };
    assert_served_alike(&scenario, SETTLED_AFTER);
}

/// Guards against requests that circulate, or wait, while all servers are down.
#[test]
fn requests_are_refused_at_once_while_all_servers_are_down() {
    let scenario = Scenario {
        crashed_servers: 1.1,
        ..SMALL
    };
    let outcome = run_all(&scenario, Way::Relay, SETTLED_AFTER);
    let mut took = outcome.refused_after;
    took.sort_unstable();
    assert!(took[took.len() * 9 / 10] <= MAX_REFUSAL_TIME);
    assert!(outcome.max_hops <= MAX_ATTEMPTS);
    assert_eq!(outcome.lost_at_end, 0, "a VM does not return");
}

/// Compares the ways to serve the callers of cut VMs; a table, to be printed by hand.
#[test]
#[ignore = "a table, to be printed by hand"]
fn print_comparison_of_ways() {
    let large = Scenario {
        vms: 985,
        domains: 9,
        servers: 600,
        rate: 3,
        whole_domain: true,
        ..SMALL
    };
    for scenario in [
        SMALL,
        Scenario {
            cut: Cut::Hangs,
            ..SMALL
        },
        large,
    ] {
        println!("{scenario:?}");
        for way in [Way::Refuse, Way::LookUp, Way::Relay, Way::Both] {
            for judged_after in [SETTLED_AFTER, JUDGED_AFTER] {
                run_all(&scenario, way, judged_after);
            }
        }
    }
}

/// Guards against taking a single server's failures for a cut, and against never noticing one.
#[test]
fn servers_are_lost_after_failures_of_several_without_a_response() {
    let reachability = Reachability::default();
    let fail = |server: &str| reachability.record_failure(&server.into(), 9, Millis(5));
    for _ in 0..MIN_UNREACHED {
        assert_eq!(fail("i-1"), None, "one server alone");
    }
    assert_eq!(fail("i-2"), None);
    reachability.record_response(Millis(4));
    assert_eq!(fail("i-3"), None, "another server responded");
    assert_eq!(fail("i-1"), None);
    let lost = fail("i-2");
    assert!(matches!(lost, Some(ReachChange::Lost { .. })), "{lost:?}");
}

/// Guards against sending all of a VM's requests to the first server that it reaches again.
#[test]
fn servers_return_once_half_of_them_accept_connections_or_some_time_has_passed() {
    let lose = || {
        let reachability = Reachability::default();
        for server in ["i-1", "i-2", "i-3"] {
            reachability.record_failure(&server.into(), 9, Millis(0));
        }
        reachability
    };
    let by_share = lose();
    for server in ["i-1", "i-2", "i-3", "i-4"] {
        by_share.record_connection(&server.into(), 9, Millis(1));
        assert!(by_share.is_lost());
    }
    by_share.record_connection(&"i-5".into(), 9, Millis(1));
    assert!(!by_share.is_lost());
    let by_time = lose();
    by_time.record_connection(&"i-1".into(), 9, Millis(1));
    by_time.record_connection(&"i-1".into(), 9, Millis(1) + MAX_RETURN_TIME);
    assert!(!by_time.is_lost());
}

/// Guards against closing the connections that still work because a new one was refused.
#[test]
fn a_refused_connection_leaves_open_ones_alone() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an address is free");
        let mut reg = registration("i-1", "port");
        reg.address = listener.local_addr().expect("a bound socket");
        let clock = Clock::system();
        let server = Upstream::new(&reg, "port".into(), PoolConfig::default(), &clock);
        let server = Rc::new(server);
        server.pool.preconnect().await.expect("it listens");

        server.record_connection_refused(clock.now());
        assert_eq!(server.pool.idle(), 1);

        server.record_connection_failure(clock.now());
        assert_eq!(server.pool.idle(), 0);
    });
}
