//! Tests of which VM is the home of a backend server, and of the connections that handing over
//! saves.

mod support;

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use heatherknot_edge::hand_over::{HandOverHeader, Purpose};
use heatherknot_edge::homes::{HomeDirectory, find_home, find_issuer};
use heatherknot_edge::presence::VmEntry;
use heatherknot_edge::upstream::Upstream;
use heatherknot_types::prelude::*;
use support::{TestClock, upstream};

fn vm(name: &str, domain: &str, (cpu_permille, link_mbps): (u32, u32)) -> VmEntry {
    VmEntry {
        name: name.into(),
        domain: domain.into(),
        region: domain.into(),
        requests: "127.0.0.1:1".parse().expect("an address"),
        peers: "127.0.0.1:2".parse().expect("an address"),
        incarnation: Incarnation(1),
        link_mbps,
        cpu_permille,
        handed: Some("127.0.0.1:3".parse().expect("an address")),
        store_rtt: None,
    }
}

const TOKEN: &str = "token";
const WIDE: (u32, u32) = (500, 200);
const NARROW: (u32, u32) = (100, 20);

/// Domains with three large VMs (`wide`) and thirty small ones (`narrow`) each.
fn vms(domains: &[&str]) -> Vec<VmEntry> {
    let of = |domain: &&str| {
        let wide = (0..3).map(|i| vm(&format!("{domain}-wide-{i}"), domain, WIDE));
        let narrow = (0..30).map(|i| vm(&format!("{domain}-narrow-{i}"), domain, NARROW));
        wide.chain(narrow).collect::<Vec<_>>()
    };
    domains.iter().flat_map(of).collect()
}

fn servers(domain: &str, count: usize, clock: &Clock) -> Vec<Rc<Upstream>> {
    let id = |i| format!("{domain}-server-{i}");
    (0..count)
        .map(|i| upstream(&id(i), domain, clock))
        .collect()
}

#[test]
fn every_vm_finds_the_same_home_in_the_servers_own_domain() {
    let clock = TestClock::default().clock();
    let one = vms(&["a", "b"]);
    let mut other = one.clone();
    other.reverse();
    for server in servers("a", 100, &clock) {
        let home = find_home(&server, &one).expect("there are VMs");
        assert_eq!(Some(&home), find_home(&server, &other).as_ref());
        assert!(home.vm.as_str().starts_with("a-"));
    }
}

#[test]
fn a_domain_without_vms_that_take_requests_has_no_home() {
    let clock = TestClock::default().clock();
    let mut vms = vms(&["a"]);
    vms.iter_mut().for_each(|vm| vm.handed = None);
    let server = upstream("s", "a", &clock);
    assert_eq!(find_home(&server, &vms), None);
    assert_eq!(find_home(&server, &[]), None);
}

#[test]
fn when_a_vm_leaves_only_its_own_servers_get_another_home() {
    let clock = TestClock::default().clock();
    let (before, servers) = (vms(&["a"]), servers("a", 300, &clock));
    let after: Vec<VmEntry> = before[1..].to_vec();
    for server in &servers {
        let home = find_home(server, &before).expect("there are VMs");
        if home.vm != before[0].name {
            assert_eq!(Some(home), find_home(server, &after));
        }
    }
}

#[test]
fn homes_are_recomputed_when_the_vms_change() {
    let clock = TestClock::default().clock();
    let (all, server) = (vms(&["a"]), upstream("s", "a", &clock));
    let homes = HomeDirectory::default();
    let first = homes.home_of(&server, &all).expect("there are VMs");
    let others: Vec<VmEntry> = all.into_iter().filter(|vm| vm.name != first.vm).collect();

    homes.vms_changed(&others);

    let second = homes.home_of(&server, &others).expect("there are others");
    assert_ne!(first.vm, second.vm);
}

/// Guards against opening a connection for most requests, where there are more pairs of VMs and
/// backend servers than requests. Each of 297 VMs gets 16 requests per second for objects on 1,600
/// servers. Nine in ten would find no open connection to their server and wait an additional round
/// trip across regions, and no VM would hear from a server often enough to know its load.
///
/// 297 VMs, three in 33 of them large, 1,600 servers in nine domains and 4,800 requests per second
/// are the largest deployment served. Idle connections are kept for eight seconds to a server and
/// for forty between VMs.
#[test]
fn requests_handed_to_homes_find_open_connections() {
    let clock = TestClock::default().clock();
    let domains = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
    let vms = vms(&domains);
    let servers: Vec<_> = domains
        .iter()
        .flat_map(|d| servers(d, 178, &clock))
        .collect();
    let homes: Vec<VmName> = servers
        .iter()
        .map(|s| find_home(s, &vms).expect("there are VMs").vm)
        .collect();
    let mut rng = fastrand::Rng::with_seed(7);
    let (requests_per_second, seconds) = (4_800_u64, 30_u64);
    let mut direct: HashMap<(usize, usize), u64> = HashMap::new();
    let mut via_homes = HashSet::new();
    let (mut new_direct, mut new_via_homes) = (0_u64, 0_u64);

    for request in 0..requests_per_second * seconds {
        let at = request * 1_000 / requests_per_second;
        let (from, to) = (rng.usize(..vms.len()), rng.usize(..servers.len()));
        let last = direct.insert((from, to), at);
        new_direct += u64::from(last.is_none_or(|last| at - last > 8_000));
        let is_home = homes[to] == vms[from].name;
        new_via_homes += u64::from(!is_home && via_homes.insert((from, homes[to].clone())));
    }

    let all = requests_per_second * seconds;
    assert!(new_direct > all * 9 / 10, "{new_direct} of {all}");
    assert!(new_via_homes < all / 3, "{new_via_homes} of {all}");
}

/// Guards against spreading the servers of a domain evenly over its VMs. A small VM would then
/// receive as many requests as a large one with fifty times its capacity, and most connections
/// would lead to VMs that get one request in ten seconds.
#[test]
fn large_vms_are_the_home_of_most_servers() {
    let clock = TestClock::default().clock();
    let vms = vms(&["a"]);
    let servers = servers("a", 600, &clock);
    let is_wide = |s: &&Rc<Upstream>| {
        let home = find_home(s, &vms).expect("there are VMs");
        home.vm.as_str().contains("wide")
    };
    let on_wide = servers.iter().filter(is_wide).count();
    assert!(on_wide > 400, "{on_wide}");
    assert!(on_wide < 600, "small VMs are the home of some servers");
}

#[test]
fn a_hand_over_header_round_trips() {
    for purpose in [Purpose::Home, Purpose::Relay] {
        let header = HandOverHeader {
            version: 12,
            service: "gallery".into(),
            server: "i-7".into(),
            purpose,
        };
        let value = header
            .to_value(TOKEN)
            .expect("these names can stand in a header");
        assert_eq!(
            HandOverHeader::parse(value.to_str().expect("text"), TOKEN),
            Some(header)
        );
    }
}

/// Guards against a client outside the deployment that reaches the hand-over address and names the
/// server that is to get all requests.
#[test]
fn a_hand_over_header_with_another_token_is_rejected() {
    for text in [
        "another 12 gallery i-7",
        "toke 12 gallery i-7",
        "12 gallery i-7",
    ] {
        assert_eq!(HandOverHeader::parse(text, TOKEN), None, "{text}");
    }
}

#[test]
fn an_incomplete_hand_over_header_is_rejected() {
    for text in [
        "",
        "12",
        "12 gallery",
        "12  i-7",
        "x gallery i-7",
        "1 a b c",
        "1 a b relay c",
    ] {
        assert_eq!(
            HandOverHeader::parse(&format!("{TOKEN} {text}"), TOKEN),
            None,
            "{text}"
        );
    }
    let with_space = HandOverHeader {
        version: 1,
        service: "two words".into(),
        server: "i-7".into(),
        purpose: Purpose::Home,
    };
    assert_eq!(with_space.to_value(TOKEN), None);
}

/// Guards against several VMs that each issue the permits of a server, and a server without any.
#[test]
fn every_vm_finds_the_same_issuer_which_is_the_home_if_there_is_one() {
    let clock = TestClock::default().clock();
    let all = vms(&["a", "b"]);
    let mut reversed = all.clone();
    reversed.reverse();
    let without_home: Vec<VmEntry> = all
        .iter()
        .filter(|vm| vm.domain != "a".into())
        .cloned()
        .collect();
    for server in servers("a", 100, &clock) {
        let issuer = find_issuer(&server, &all);

        assert_eq!(issuer, find_issuer(&server, &reversed));
        assert_eq!(issuer, find_home(&server, &all).map(|home| home.vm));
        assert!(find_issuer(&server, &without_home).is_some());
    }
}
