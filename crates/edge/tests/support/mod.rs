//! Fixtures: a clock that tests advance, registrations and a plain-text dialect.

#![allow(dead_code)]

pub mod admission_model;
pub mod cut_model;
pub mod feed_model;
pub mod limit_model;
pub mod poison_model;
pub mod quota_model;
pub mod region_model;
pub mod return_model;
pub mod rollout_model;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use heatherknot_edge::accounts::Accounts;
use heatherknot_edge::catalog::{Catalog, CatalogParts, Route, ServiceSpec, Target};
use heatherknot_edge::dialect::{Dialect, HeaderNames, KeyNames, LookupAnswer, LookupQuery};
use heatherknot_edge::feed::Feed;
use heatherknot_edge::mirror::{Change, VersionedValue};
use heatherknot_edge::registration::Registration;
use heatherknot_edge::rollout::record::RolloutOrder;
use heatherknot_edge::routing_state::RoutingState;
use heatherknot_edge::upstream::Upstream;
use heatherknot_http::{PoolConfig, Response};
use heatherknot_store::port::{Store, StoreEra, StoreRevision};
use heatherknot_types::prelude::*;
use http::{HeaderName, StatusCode};

/// A clock that tests advance by hand.
#[derive(Clone, Default)]
pub struct TestClock {
    now: Rc<Cell<u64>>,
}

impl TestClock {
    pub fn clock(&self) -> Clock {
        let now = Rc::clone(&self.now);
        Clock::new(move || Millis(now.get()))
    }

    pub fn timer(&self) -> Timer {
        Timer {
            clock: self.clock(),
            sleep: Rc::new(|_| Box::pin(std::future::pending())),
        }
    }

    pub fn advance(&self, millis: u64) {
        self.now.set(self.now.get() + millis);
    }
}

/// How long a feed of [`feed`] waits for keys to be written again.
pub const SETTLE_TIME: Millis = Millis(2_500);

/// A store that never answers; the tests inject all updates themselves.
pub fn silent_store() -> Store {
    Store {
        peer: "127.0.0.1:9".parse().expect("an address"),
        range: Rc::new(|_| Box::pin(std::future::pending())),
        txn: Rc::new(|_| Box::pin(std::future::pending())),
        lease_grant: Rc::new(|_| Box::pin(std::future::pending())),
        lease_keepalive: Rc::new(|_| Box::pin(std::future::pending())),
        lease_revoke: Rc::new(|_| Box::pin(std::future::pending())),
        watch: Rc::new(|_| Box::pin(std::future::pending())),
    }
}

/// Creates the feed of a VM that is not a watcher and has been running for a long time.
pub fn feed(clock: &TestClock) -> (Rc<Feed>, Rc<RefCell<RoutingState>>) {
    let routing_state = Rc::new(RefCell::new(routing_state(&clock.clock())));
    let feed = Feed::new(
        silent_store(),
        clock.timer(),
        Rc::clone(&routing_state),
        SETTLE_TIME,
    );
    feed.set_watch_policy(|| false, || None);
    feed.stop_awaiting_peers();
    (feed, routing_state)
}

pub fn registration(id: &str, domain: &str) -> Registration {
    Registration {
        id: id.into(),
        service: "gallery".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        domain: domain.into(),
        version: None,
        slots: 3,
        leaving: false,
        cold_remaining: Millis(0),
        started_at: None,
    }
}

pub fn upstream(id: &str, region: &str, clock: &Clock) -> Rc<Upstream> {
    let reg = registration(id, region);
    Rc::new(Upstream::new(
        &reg,
        region.into(),
        PoolConfig::default(),
        clock,
    ))
}

/// Encodes a registration as `service domain state cold_ms sequence`.
pub fn entry(state: &str, cold_ms: u64, sequence: u64) -> Bytes {
    format!("gallery north-1 {state} {cold_ms} {sequence}").into()
}

/// Encodes a registration that includes the start of the run in milliseconds.
pub fn entry_of_run(started_at: u64, state: &str, cold_ms: u64) -> Bytes {
    format!("gallery north-1 {state} {cold_ms} 1 {started_at}").into()
}

pub fn put(key: &str, value: impl Into<Bytes>, revision: u64) -> Change {
    Change {
        key: key.to_owned(),
        current: VersionedValue {
            revision: StoreRevision::from(revision),
            created: revision,
            value: Some(value.into()),
        },
    }
}

pub fn delete(key: &str, revision: u64) -> Change {
    Change {
        key: key.to_owned(),
        current: VersionedValue {
            revision: StoreRevision::from(revision),
            created: 0,
            value: None,
        },
    }
}

/// Returns the same change in an era of the store.
pub fn in_era(era: u64, mut change: Change) -> Change {
    change.current.revision.era = StoreEra(era);
    change
}

pub fn route(host: &str, prefix: &str, service: &str) -> Route {
    Route {
        name: format!("{host}{prefix}").into(),
        host: host.into(),
        prefix: prefix.into(),
        targets: vec![Target {
            service: service.into(),
            weight: 1,
        }],
        idempotent: true,
        attempts: 2,
        timeout: Millis(1_500),
        latency_target: Millis(600),
        priority: 1,
        home_regions: Vec::new(),
        large_answers: false,
        large_bodies: false,
        sticky: true,
        public: false,
    }
}

pub fn spec(name: &str) -> ServiceSpec {
    ServiceSpec {
        name: name.into(),
        cold_time: Millis(3_000),
        cold_rate: 2.0,
    }
}

/// Decodes a catalog from its version and the service of its only route.
fn read_catalog(_: &str, value: &Bytes) -> Result<Catalog, String> {
    let text = String::from_utf8_lossy(value);
    let (version, service) = text.split_once(' ').ok_or("no service")?;
    let version = version.parse().map_err(|_| "no version")?;
    let routes = vec![route("shots.example", "/", service)];
    Ok(Catalog::new(CatalogParts {
        version,
        routes,
        services: vec![spec(service)],
        ..CatalogParts::default()
    }))
}

fn read_registration(key: &str, value: &Bytes) -> Result<Registration, String> {
    let text = String::from_utf8_lossy(value).into_owned();
    let words: Vec<&str> = text.split(' ').collect();
    let (service, domain, state, cold, started_at) = match words[..] {
        [service, domain, state, cold, _sequence] => (service, domain, state, cold, None),
        [service, domain, state, cold, _sequence, started_at]
        | [service, domain, state, cold, _sequence, started_at, _] => {
            (service, domain, state, cold, Some(started_at))
        }
        _ => return Err("not five to seven words".to_owned()),
    };
    let mut reg = registration(key.trim_start_matches("server/"), domain);
    reg.version = words.get(6).map(|version| VersionName::from(*version));
    reg.service = service.into();
    reg.leaving = state == "leaving";
    reg.cold_remaining = Millis(cold.parse().map_err(|_| "no time")?);
    let started_at = started_at.map(str::parse).transpose();
    reg.started_at = started_at.map_err(|_| "no start")?.map(Millis);
    Ok(reg)
}

/// Encodes a registration that includes the version.
pub fn entry_of_version(domain: &str, version: &str, cold_ms: u64) -> Bytes {
    format!("gallery {domain} ready {cold_ms} 1 1 {version}").into()
}

/// Decodes a rollout order from its target version and time limit in milliseconds.
fn read_order(key: &str, value: &Bytes) -> Result<RolloutOrder, String> {
    let text = String::from_utf8_lossy(value);
    let (target, limit) = text.split_once(' ').ok_or("no time limit")?;
    Ok(RolloutOrder {
        service: key.trim_start_matches("rollout/").into(),
        target: target.into(),
        time_limit: Millis(limit.parse().map_err(|_| "no number")?),
    })
}

/// Header names of the test platform.
pub fn header_names() -> HeaderNames {
    let name = HeaderName::from_static;
    HeaderNames {
        request_id: name("id"),
        time_left: name("left"),
        expected_server: name("expected"),
        signature: name("signature"),
        not_run: name("not-run"),
        server_load: name("load"),
        leaving: name("leaving"),
        request_limit: name("request-limit"),
        key: name("caller-key"),
        account: name("account"),
    }
}

pub fn dialect() -> Dialect {
    Dialect {
        headers: header_names(),
        keys: KeyNames {
            catalog: "catalog",
            server_prefix: "server/",
            evacuation_prefix: "evacuated/",
            rollout_prefix: "rollout/",
            rollout_status_prefix: "rollout-status/",
        },
        catalog: Rc::new(read_catalog),
        registration: Rc::new(read_registration),
        rollout_order: Rc::new(read_order),
        rollout_status: Rc::new(|status| format!("{:?} {}", status.state, status.target).into()),
        object: Rc::new(|_| None::<Arc<str>>),
        is_readiness_check: Rc::new(|_| true),
        lookup: Rc::new(|_| {
            Ok(LookupQuery {
                region: None,
                domain: None,
            })
        }),
        lookup_answer: Rc::new(|_: &LookupAnswer| Response::text(StatusCode::OK, "")),
    }
}

pub fn routing_state(clock: &Clock) -> RoutingState {
    let regions = BTreeMap::from([("north-1".into(), "north".into())]);
    RoutingState::new(dialect(), regions, PoolConfig::default(), clock.clone())
}

/// Creates a routing state whose configuration has these client accounts.
pub fn routing_state_with_accounts(accounts: Accounts, clock: &Clock) -> RoutingState {
    let read = move |_: &str, _: &Bytes| {
        Ok(Catalog::new(CatalogParts {
            version: 1,
            accounts: Some(accounts.clone()),
            ..CatalogParts::default()
        }))
    };
    let dialect = Dialect {
        catalog: Rc::new(read),
        ..dialect()
    };
    let mut routing_state = RoutingState::new(
        dialect,
        BTreeMap::new(),
        PoolConfig::default(),
        clock.clone(),
    );
    routing_state.apply(&[put("catalog", "1", 1)], true);
    routing_state
}
