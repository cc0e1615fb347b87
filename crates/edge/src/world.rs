//! What this VM believes of routes, backend servers and evacuations, from the store's keys.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

use heatherknot_http::PoolConfig;
use heatherknot_store::port::StoreRevision;
use heatherknot_types::prelude::*;
use log::{info, warn};

use crate::catalog::Catalog;
use crate::dialect::Dialect;
use crate::mirror::Change;
use crate::registration::Registration;
use crate::upstream::Upstream;

/// Time in which a cold backend server tells that it is cold, beyond its configured time.
const COLD_REPORT: Millis = Millis(3_000);
/// Identifiers whose last run has ended that are remembered at most. Words of an ended run come
/// late by seconds, and in that time far fewer servers end.
const MAX_ENDED: usize = 1_024;
/// Lines that are logged at most of what can't be read in one configuration.
const MAX_REMARKS: usize = 8;
/// Changes that come at once of which each server that joins is logged. A VM that starts reads
/// thousands of entries.
const MAX_TOLD: usize = 64;
/// Bytes of a cause that are logged at most. A cause repeats what it found, which anybody may
/// have written.
const MAX_CAUSE: usize = 200;

/// What this VM believes.
pub struct RoutingState {
    dialect: Dialect,
    regions: BTreeMap<DomainName, RegionName>,
    clock: Clock,
    pool: PoolConfig,
    catalog: Option<Rc<Catalog>>,
    catalog_revision: StoreRevision,
    upstreams: HashMap<UpstreamName, Rc<Upstream>>,
    by_service: HashMap<ServiceName, Rc<Vec<Rc<Upstream>>>>,
    evacuated: BTreeSet<DomainName>,
    /// Backend servers whose entries are missing while that may be the store's doing.
    missing: BTreeSet<UpstreamName>,
    /// The runs of backend servers whose entries are gone, oldest first.
    ended: VecDeque<(UpstreamName, Millis)>,
    /// Whether each server that joins is told of in the log.
    tells_each: bool,
}

impl RoutingState {
    /// Makes a world that knows nothing.
    pub fn new(
        dialect: Dialect,
        regions: BTreeMap<DomainName, RegionName>,
        pool: PoolConfig,
        clock: Clock,
    ) -> Self {
        Self {
            dialect,
            regions,
            clock,
            pool,
            catalog: None,
            catalog_revision: StoreRevision(0),
            upstreams: HashMap::new(),
            by_service: HashMap::new(),
            evacuated: BTreeSet::new(),
            missing: BTreeSet::new(),
            ended: VecDeque::new(),
            tells_each: true,
        }
    }

    /// Gives the catalog in force.
    pub fn catalog(&self) -> Option<&Rc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Gives the backend servers of a service.
    pub fn upstreams(&self, service: &ServiceName) -> Rc<Vec<Rc<Upstream>>> {
        self.by_service.get(service).cloned().unwrap_or_default()
    }

    /// Gives every backend server.
    pub fn all_upstreams(&self) -> impl Iterator<Item = &Rc<Upstream>> {
        self.upstreams.values()
    }

    /// Says whether nothing is to be sent to the backend servers of a domain.
    pub fn is_evacuated(&self, domain: &DomainName) -> bool {
        self.evacuated.contains(domain)
    }

    /// Gives the region of a domain.
    pub fn region_of(&self, domain: &DomainName) -> RegionName {
        let region = self.regions.get(domain).cloned();
        region.unwrap_or_else(|| RegionName::from(domain.as_str()))
    }

    /// Takes in changes of the store. While `settled` is false a missing entry of a backend
    /// server may be the store's doing, and the server is kept until [`RoutingState::remove_missing`].
    pub fn apply(&mut self, changes: &[Change], settled: bool) {
        let mut regrouped = false;
        let before = self.upstreams.len();
        self.tells_each = changes.len() <= MAX_TOLD;
        for change in changes {
            let keys = self.dialect.keys.clone();
            if change.key == keys.catalog {
                self.take_catalog(change);
            } else if let Some(domain) = change.key.strip_prefix(keys.evacuation_prefix) {
                self.take_evacuation(domain, change.current.value.is_some());
            } else if change.key.starts_with(keys.server_prefix) {
                regrouped |= self.take_server(change, settled);
            }
        }
        if regrouped {
            self.regroup();
        }
        if !self.tells_each {
            info!(changes = changes.len(), before, servers = self.upstreams.len(); "many entries of backend servers were read");
        }
    }

    /// Says whether peers need a change: an entry by which a backend server only says that
    /// it still lives is none. There are far more of those than of all others.
    pub fn matters(&self, change: &Change) -> bool {
        let servers = self.dialect.keys.server_prefix;
        let Some(value) = change
            .current
            .value
            .as_ref()
            .filter(|_| change.key.starts_with(servers))
        else {
            return true;
        };
        let upstream = self.upstreams.get(&change.key[servers.len()..]);
        let Some(upstream) = upstream.filter(|u| !u.is_presumed_cold.get()) else {
            return true;
        };
        match (self.dialect.registration)(&change.key, value) {
            Ok(reg) => {
                reg.cold_remaining.0 > 0
                    || reg.leaving != upstream.leaving.get()
                    || reg.started_at != upstream.started_at
                    || self.missing.contains(&reg.id)
            }
            Err(_) => true,
        }
    }

    /// Drops the backend servers whose entries are still missing.
    pub fn remove_missing(&mut self) {
        let missing = std::mem::take(&mut self.missing);
        if missing.is_empty() {
            return;
        }
        for id in missing {
            self.remove(&id, "its entry did not come back");
        }
        self.regroup();
    }

    fn take_catalog(&mut self, change: &Change) {
        let Some(value) = &change.current.value else {
            warn!(key = change.key.as_str(); "the configuration was deleted; the last one stays in force");
            return;
        };
        match (self.dialect.catalog)(&change.key, value) {
            Ok(catalog) => self.put_catalog(catalog, change.current.revision),
            Err(cause) => {
                warn!(key = change.key.as_str(), revision:% = change.current.revision, cause = bounded(&cause);
                    "a configuration can't be read; the last one stays in force");
            }
        }
    }

    /// Puts a catalog in force, unless it is older than the one that is: whichever way it
    /// came, a process never goes back to routes that it has left.
    fn put_catalog(&mut self, catalog: Catalog, revision: StoreRevision) {
        let held = self.catalog.as_ref().map(|held| held.version);
        if revision <= self.catalog_revision || held.is_some_and(|held| catalog.version < held) {
            info!(version = catalog.version, revision:% = revision; "an older configuration was passed over");
            return;
        }
        info!(version = catalog.version, revision:% = revision, routes = catalog.route_count(); "configuration in force");
        tell_remarks(&catalog);
        self.catalog_revision = revision;
        self.catalog = Some(Rc::new(catalog));
    }

    fn take_evacuation(&mut self, domain: &str, begins: bool) {
        let domain = DomainName::from(domain);
        if begins {
            info!(domain:% = domain; "evacuated: its backend servers get nothing more");
            self.evacuated.insert(domain);
            return;
        }
        if !self.evacuated.remove(&domain) {
            return;
        }
        info!(domain:% = domain; "taken back: its backend servers count as cold until they say otherwise");
        // Nothing was sent there for a while, so the servers may have turned cold without
        // anybody noticing. The full load at once would crash them.
        let now = self.clock.now();
        for upstream in self.upstreams.values().filter(|u| u.domain == domain) {
            let spec = self
                .catalog
                .as_ref()
                .and_then(|c| c.service(&upstream.service));
            let cold_time = spec.map_or(Millis(0), |spec| spec.cold_time);
            let until = now + cold_time + COLD_REPORT;
            upstream
                .cold_until
                .set(until.max(upstream.cold_until.get()));
            upstream.is_presumed_cold.set(true);
        }
    }

    /// Takes in a registration; says whether the set of servers changed.
    fn take_server(&mut self, change: &Change, settled: bool) -> bool {
        let id = UpstreamName::from(&change.key[self.dialect.keys.server_prefix.len()..]);
        let Some(value) = &change.current.value else {
            return match settled {
                true => self.remove(&id, "its entry was removed"),
                false => {
                    self.missing.insert(id);
                    false
                }
            };
        };
        match (self.dialect.registration)(&change.key, value) {
            Ok(reg) => {
                self.missing.remove(&reg.id);
                self.put(&reg)
            }
            Err(cause) => {
                warn!(key = change.key.as_str(), revision:% = change.current.revision, cause = bounded(&cause);
                    "a backend server's entry can't be read");
                // What stands there now may be anybody's. It says of no server that it still
                // takes requests, so the one that it named before gets nothing more.
                self.missing.remove(&id);
                self.remove(&id, "its entry can't be read")
            }
        }
    }

    /// Takes in a registration that could be read.
    ///
    /// A server that starts again under its identifier holds no object, may be cold and has
    /// none of the requests that its last run had: what was learned of that run would send it
    /// work at a rate that it can't stand. A word of the last run that arrives after it must
    /// not bring that run back.
    fn put(&mut self, reg: &Registration) -> bool {
        let now = self.clock.now();
        match (self.newest_run(&reg.id), reg.started_at) {
            (Some(_), None) => return self.remove(&reg.id, "its entry doesn't tell its start"),
            (Some(known), Some(born)) if born < known => {
                info!(upstream:% = reg.id, service:% = reg.service; "an entry of an earlier run was passed over");
                return false;
            }
            _ => {}
        }
        if let Some(upstream) = self.upstreams.get(&reg.id) {
            if upstream.started_at == reg.started_at {
                refresh(upstream, reg, now);
                return false;
            }
            self.remove(&reg.id, "it has started again");
        }
        let region = self.region_of(&reg.domain);
        let upstream = Rc::new(Upstream::new(reg, region, self.pool.clone(), &self.clock));
        refresh(&upstream, reg, now);
        if self.tells_each {
            info!(upstream:% = reg.id, service:% = reg.service, address:% = reg.address, domain:% = reg.domain,
                slots = reg.slots, leaving = reg.leaving, cold_ms = reg.cold_remaining.0; "backend server joined");
        }
        self.upstreams.insert(reg.id.clone(), upstream);
        true
    }

    /// Gives when the newest run under an identifier began, where that was told.
    fn newest_run(&self, id: &UpstreamName) -> Option<Millis> {
        match self.upstreams.get(id) {
            Some(upstream) => upstream.started_at,
            None => {
                let mut ended = self.ended.iter().rev();
                ended.find(|(of, _)| of == id).map(|(_, born)| *born)
            }
        }
    }

    fn remove(&mut self, id: &UpstreamName, why: &str) -> bool {
        let Some(upstream) = self.upstreams.remove(id) else {
            return false;
        };
        info!(upstream:% = id, service:% = upstream.service, why; "backend server is gone");
        upstream.leaving.set(true);
        upstream.pool.close_idle();
        if let Some(born) = upstream.started_at {
            self.ended.push_back((id.clone(), born));
            self.ended
                .drain(..self.ended.len().saturating_sub(MAX_ENDED));
        }
        true
    }

    fn regroup(&mut self) {
        let mut by_service: HashMap<ServiceName, Vec<Rc<Upstream>>> = HashMap::new();
        for upstream in self.upstreams.values() {
            let group = by_service.entry(upstream.service.clone()).or_default();
            group.push(Rc::clone(upstream));
        }
        for group in by_service.values_mut() {
            group.sort_by(|a, b| a.id.cmp(&b.id));
        }
        let shared = by_service.into_iter().map(|(s, group)| (s, Rc::new(group)));
        self.by_service = shared.collect();
    }
}

/// Logs what of a configuration can't be read.
fn tell_remarks(catalog: &Catalog) {
    let remarks = catalog.problems();
    for remark in remarks.iter().take(MAX_REMARKS) {
        warn!(version = catalog.version, cause = bounded(remark); "a part of the configuration can't be read");
    }
    if remarks.len() > MAX_REMARKS {
        warn!(version = catalog.version, parts = remarks.len(); "more parts of the configuration can't be read");
    }
}

/// Gives the beginning of a cause that is short enough for a log line.
fn bounded(cause: &str) -> &str {
    &cause[..cause.floor_char_boundary(MAX_CAUSE)]
}

/// Takes over what a known backend server says anew.
fn refresh(upstream: &Upstream, reg: &Registration, now: Millis) {
    if reg.leaving && !upstream.leaving.replace(true) {
        info!(upstream:% = upstream.id, service:% = upstream.service; "backend server is leaving");
    }
    upstream.slots.set(reg.slots.max(1));
    if reg.cold_remaining.0 > 0 {
        if !upstream.is_cold(now) {
            info!(upstream:% = upstream.id, service:% = upstream.service, cold_ms = reg.cold_remaining.0; "backend server is cold");
        }
        upstream.cold_until.set(now + reg.cold_remaining);
        upstream.is_presumed_cold.set(false);
    } else if upstream.is_presumed_cold.replace(false) {
        upstream.cold_until.set(now);
    }
}
