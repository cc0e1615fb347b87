//! Tests that an odd entry of a backend server harms no other server, and that what it did ends when the
//! server writes again.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use heatherknot_edge::dialect::Dialect;
use heatherknot_edge::mirror::Change;
use heatherknot_edge::registration::Registration;
use heatherknot_edge::rollout::versions::VersionRole;
use heatherknot_edge::routing_state::RoutingState;
use heatherknot_edge::upstream::{ServerLoad, Upstream};
use heatherknot_http::PoolConfig;
use heatherknot_test_support::property::check;
use heatherknot_types::prelude::*;
use support::{TestClock, dialect, put};

const HEARTBEAT: u64 = 1_000;
/// Number of its entries after which all effects of an odd one must have ended.
const HEARTBEATS_TO_RECOVER: u64 = 4;
const SERVICE: &str = "gallery";
const HOUR: u64 = 3_600_000;
const DAY: u64 = 24 * HOUR;

/// An entry, which [`encode`] writes as text.
#[derive(Clone, Debug)]
struct Entry {
    service: String,
    address: String,
    domain: String,
    version: Option<String>,
    slots: u32,
    state: &'static str,
    cold_ms: u64,
    started_at: Option<u64>,
}

fn own_entry(server: u64) -> Entry {
    Entry {
        service: SERVICE.to_owned(),
        address: format!("10.0.0.{}:80", server + 1),
        domain: "north-1".to_owned(),
        version: Some("v1".to_owned()),
        slots: 4,
        state: "ready",
        cold_ms: 0,
        started_at: Some(1_000 + server),
    }
}

fn encode(entry: &Entry) -> Bytes {
    let Entry {
        service,
        address,
        domain,
        version,
        slots,
        state,
        cold_ms,
        started_at,
    } = entry;
    let version = version.as_deref().unwrap_or("-");
    let started_at = started_at.map_or("-".to_owned(), |at| at.to_string());
    format!("{service}|{address}|{domain}|{version}|{slots}|{state}|{cold_ms}|{started_at}").into()
}

fn decode(key: &str, value: &Bytes) -> Result<Registration, String> {
    let text = std::str::from_utf8(value).map_err(|error| error.to_string())?;
    let words: Vec<&str> = text.split('|').collect();
    let [
        service,
        address,
        domain,
        version,
        slots,
        state,
        cold_ms,
        started_at,
    ] = words[..]
    else {
        return Err("not eight words".to_owned());
    };
    let number = |text: &str| text.parse::<u64>().map_err(|error| error.to_string());
    let given = |text: &str| Some(text.to_owned()).filter(|text| text != "-");
    let address: SocketAddr = address.parse().map_err(|_| "no address")?;
    Ok(Registration {
        id: key.trim_start_matches("server/").into(),
        service: service.into(),
        address,
        domain: domain.into(),
        version: given(version).as_deref().map(VersionName::from),
        slots: slots.parse().map_err(|_| "no number of slots")?,
        leaving: state == "draining",
        cold_remaining: Millis(number(cold_ms)?),
        started_at: given(started_at)
            .map(|at| number(&at))
            .transpose()?
            .map(Millis),
    })
}

/// A VM's state, and the servers that write their entries.
struct Fleet {
    clock: TestClock,
    state: RoutingState,
    revision: u64,
    servers: Vec<Entry>,
}

impl Fleet {
    fn new(servers: u64) -> Self {
        let clock = TestClock::default();
        clock.advance(100_000);
        let dialect = Dialect {
            registration: Rc::new(decode),
            ..dialect()
        };
        let regions = BTreeMap::from([("north-1".into(), "north".into())]);
        let state = RoutingState::new(dialect, regions, PoolConfig::default(), clock.clock());
        Self {
            clock,
            state,
            revision: 0,
            servers: (0..servers).map(own_entry).collect(),
        }
    }

    fn change(&mut self, server: u64, value: Bytes) -> Change {
        self.revision += 1;
        put(&format!("server/{server}"), value, self.revision)
    }

    fn write(&mut self, server: u64, value: Bytes) {
        let change = self.change(server, value);
        self.state.apply(&[change], true);
    }

    /// Lets each server write its entry.
    fn heartbeat(&mut self) {
        self.clock.advance(HEARTBEAT);
        for server in 0..self.servers.len() as u64 {
            let value = encode(&self.servers[server as usize]);
            self.write(server, value);
        }
    }

    /// Returns what requests depend on: the servers of the service, and whether they may get requests.
    fn servers(&self) -> Vec<String> {
        let now = self.clock.clock().now();
        let describe = |u: &Rc<Upstream>| {
            format!(
                "{} {} {} {:?} slots {} accepts {} cold {} {:?}",
                u.id,
                u.pool.address(),
                u.domain,
                u.started_at,
                u.slots.get(),
                u.accepts_requests(),
                u.is_cold(now),
                u.role.get()
            )
        };
        let servers = self.state.upstreams(&SERVICE.into());
        servers.iter().map(describe).collect()
    }
}

/// Changes some fields of an entry to odd values.
fn make_odd(entry: &mut Entry, rng: &mut fastrand::Rng) {
    for _ in 0..rng.u32(1..4) {
        match rng.u32(0..8) {
            0 => entry.service = ["studio", "", "gallery2"][rng.usize(0..3)].to_owned(),
            1 => {
                let odd = [
                    "0.0.0.0:0",
                    "10.9.9.9:1",
                    "224.0.0.1:80",
                    "[::1]:80",
                    "10.0.0.1:70000",
                ];
                entry.address = odd[rng.usize(0..odd.len())].to_owned();
            }
            2 => entry.domain = ["south-9", "", "north-2"][rng.usize(0..3)].to_owned(),
            3 => {
                entry.version =
                    [None, Some("v0".to_owned()), Some("odd".repeat(90))][rng.usize(0..3)].clone()
            }
            4 => entry.slots = [0, 70_000, u32::MAX][rng.usize(0..3)],
            5 => entry.state = "draining",
            6 => entry.cold_ms = [1, 5_000, 7 * DAY][rng.usize(0..3)],
            _ => {
                let own = entry.started_at.unwrap_or_default();
                let odd = [
                    None,
                    Some(0),
                    Some(own.saturating_add(5_000)),
                    Some(own.saturating_add(DAY)),
                    Some(u64::MAX),
                ];
                entry.started_at = odd[rng.usize(0..odd.len())];
            }
        }
    }
}

/// Returns an odd value for a server's key.
fn odd_value(own: &Entry, rng: &mut fastrand::Rng) -> Bytes {
    let mut entry = own.clone();
    make_odd(&mut entry, rng);
    let mut value = encode(&entry).to_vec();
    match rng.u32(0..6) {
        0 => value.truncate(rng.usize(0..value.len())),
        1 => value = vec![b'['; 100_000],
        2 => value = vec![0xff; 8],
        _ => {}
    }
    value.into()
}

/// Guards against odd entries over a live server's that have an effect after the server has written again.
#[test]
fn what_an_odd_entry_did_ends_when_its_owner_writes_again() {
    check().with_type::<u64>().for_each(|seed| {
        let mut rng = fastrand::Rng::with_seed(*seed);
        let mut fleet = Fleet::new(3);
        let is_known_before = rng.bool();
        if is_known_before {
            fleet.heartbeat();
        }

        for _ in 0..rng.u32(1..3) {
            let value = odd_value(&fleet.servers[0], &mut rng);
            fleet.write(0, value);
        }
        (0..HEARTBEATS_TO_RECOVER).for_each(|_| fleet.heartbeat());

        let mut undisturbed = Fleet::new(3);
        (0..HEARTBEATS_TO_RECOVER).for_each(|_| undisturbed.heartbeat());
        assert_eq!(fleet.servers(), undisturbed.servers(), "seed {seed}");
    });
}

/// Guards against odd entries that change what becomes of requests to other servers.
#[test]
fn an_odd_entry_harms_no_other_server() {
    check().with_type::<u64>().for_each(|seed| {
        let mut rng = fastrand::Rng::with_seed(*seed);
        let mut fleet = Fleet::new(4);
        let odd_key = rng.u64(0..2) * 9;
        let value = odd_value(&fleet.servers[0], &mut rng);
        let is_known_before = rng.bool();
        if is_known_before {
            fleet.heartbeat();
        }
        fleet.write(odd_key, value);
        fleet.heartbeat();

        let others = |fleet: &Fleet| {
            let servers = fleet.servers().into_iter();
            let is_other =
                |server: &String| ["1 ", "2 ", "3 "].iter().any(|id| server.starts_with(id));
            servers.filter(is_other).collect::<Vec<_>>()
        };
        let mut undisturbed = Fleet::new(4);
        undisturbed.heartbeat();
        assert_eq!(others(&fleet), others(&undisturbed), "seed {seed}");
    });
}

/// Guards against a VM that has the odd entry only, because other VMs take the owner's next entry for one
/// that tells nothing new.
#[test]
fn peers_get_the_entries_of_the_owner_after_an_odd_one() {
    check().with_type::<u64>().for_each(|seed| {
        let mut rng = fastrand::Rng::with_seed(*seed);
        let mut watcher = Fleet::new(1);
        watcher.heartbeat();
        let mut peer = Fleet::new(1);
        let value = odd_value(&watcher.servers[0], &mut rng);
        let odd = watcher.change(0, value);
        let mut entries = vec![odd];
        for _ in 0..HEARTBEATS_TO_RECOVER + 2 {
            let own = encode(&watcher.servers[0]);
            entries.push(watcher.change(0, own));
        }

        // The peer has just started and has read the odd entry.
        peer.state.apply(&entries[..1], true);
        for entry in entries {
            let is_relevant = watcher.state.is_relevant(&entry);
            watcher.state.apply(std::slice::from_ref(&entry), true);
            if is_relevant {
                peer.state.apply(&[entry], true);
            }
            watcher.clock.advance(HEARTBEAT);
            peer.clock.advance(HEARTBEAT);
        }

        assert_eq!(peer.servers(), watcher.servers(), "seed {seed}");
    });
}

/// Guards against late entries of a run that has ended, or of a time before the server began to leave,
/// that are taken for the owner's.
#[test]
fn late_entries_of_an_earlier_time_are_ignored() {
    let mut fleet = Fleet::new(1);
    fleet.heartbeat();
    let before = encode(&fleet.servers[0]);
    fleet.servers[0].started_at = Some(2_000);
    fleet.heartbeat();
    fleet.write(0, before.clone());
    fleet.clock.advance(HEARTBEAT / 2);
    fleet.write(0, before);
    assert!(fleet.servers()[0].contains("2000"), "{:?}", fleet.servers());

    let ready = encode(&fleet.servers[0]);
    fleet.servers[0].state = "draining";
    for _ in 0..6 {
        fleet.heartbeat();
        fleet.write(0, ready.clone());
        assert!(fleet.servers()[0].contains("accepts false"));
    }
}

/// Guards against one server that determines the version in use against the versions of all others.
#[test]
fn the_version_of_an_odd_entry_does_not_exclude_all_others() {
    let mut fleet = Fleet::new(6);
    let mut odd = own_entry(9);
    odd.version = Some("odd".to_owned());
    fleet.write(9, encode(&odd));
    fleet.heartbeat();

    let servers = fleet.state.upstreams(&SERVICE.into());
    let in_use = servers
        .iter()
        .filter(|u| u.role.get() == VersionRole::InUse);
    assert_eq!(in_use.count(), 6);
}

/// Guards against numbers in a server's report that overflow.
#[test]
fn a_load_report_with_numbers_too_large_is_no_load() {
    let max = u32::MAX;
    for text in [
        format!("{max},{max},{max}"),
        format!("1,{max},4"),
        format!("0,0,{max}"),
    ] {
        assert_eq!(ServerLoad::parse(&text), None, "{text}");
    }
    assert!(ServerLoad::parse("3,0,8").is_some());
}
