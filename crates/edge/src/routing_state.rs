//! Routing state derived from the store's keys: routes, backend servers and evacuated domains.

mod disputes;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

use bytes::Bytes;
use heatherknot_http::PoolConfig;
use heatherknot_store::port::StoreRevision;
use heatherknot_types::prelude::*;
use log::{info, warn};

use crate::backpressure::RunSignals;
use crate::catalog::Catalog;
use crate::dialect::Dialect;
use crate::log_limit::LogRateLimit;
use crate::mirror::Change;
use crate::poison;
use crate::registration::Registration;
use crate::rollout;
use crate::rollout::record::{RECORD_PREFIX, RolloutRecord};
use crate::rollout::versions::{ReceivedOrder, RolloutAges, VersionTable};
use crate::settings::Bounds;
use crate::upstream::Upstream;

use disputes::{Claim, EntryDisputes};

/// Time, in addition to its configured cold time, that a cold backend server may take to report
/// that it is cold.
const COLD_REPORT_DELAY: Millis = Millis(3_000);
/// Maximum number of backend servers whose last ended run is remembered. Updates about an ended run
/// arrive seconds late, and far fewer servers end in that time.
const MAX_ENDED_RUNS: usize = 1_024;
/// Maximum number of log lines about invalid parts of one configuration.
const MAX_LOGGED_PROBLEMS: usize = 8;
/// Largest batch of changes for which each joining server is logged. A starting VM reads thousands
/// of entries.
const MAX_LOGGED_JOINS: usize = 64;
/// Maximum number of logged bytes of a cause. A cause quotes the input, which anyone may have
/// written.
const MAX_LOGGED_CAUSE_LEN: usize = 200;

/// Routes, backend servers and evacuated domains as this VM knows them.
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
    versions: VersionTable,
    /// Backend servers whose entries are missing, possibly because of a store outage.
    missing: BTreeSet<UpstreamName>,
    /// Ended runs of backend servers, oldest first.
    ended_runs: VecDeque<(UpstreamName, Millis)>,
    /// What removed runs of backend servers have asked for, oldest first. A run may return, if its
    /// entry was lost while the store was down.
    removed_runs: VecDeque<(Run, Rc<RunSignals>)>,
    /// Entries that contradict what is known of their servers.
    disputes: EntryDisputes,
    /// Limits the log lines about invalid entries, which anyone may write as often as they like.
    invalid_entry_log: LogRateLimit,
    /// Whether each joining server is logged.
    logs_joins: bool,
}

/// Identifies a run of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Run {
    id: UpstreamName,
    started_at: Option<Millis>,
    version: Option<VersionName>,
}

impl RoutingState {
    /// Creates an empty state.
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
            catalog_revision: StoreRevision::ZERO,
            upstreams: HashMap::new(),
            by_service: HashMap::new(),
            evacuated: BTreeSet::new(),
            versions: VersionTable::new(Bounds::default().canary_share),
            missing: BTreeSet::new(),
            ended_runs: VecDeque::new(),
            removed_runs: VecDeque::new(),
            disputes: EntryDisputes::default(),
            invalid_entry_log: LogRateLimit::default(),
            logs_joins: true,
        }
    }

    /// Sets the part of a service's requests that a bad version may get during its rollout.
    pub fn with_canary_share(self, allowed: f64) -> Self {
        Self {
            versions: VersionTable::new(allowed),
            ..self
        }
    }

    /// Returns the catalog in force.
    pub fn catalog(&self) -> Option<&Rc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Returns the backend servers of a service.
    pub fn upstreams(&self, service: &ServiceName) -> Rc<Vec<Rc<Upstream>>> {
        self.by_service.get(service).cloned().unwrap_or_default()
    }

    /// Returns the versions of the services, and their rollouts.
    pub fn versions(&self) -> &VersionTable {
        &self.versions
    }

    /// Excludes the target version of a rollout, because it has failed. Returns whether this was
    /// not known before.
    pub fn fail_rollout(&mut self, service: &ServiceName, order: StoreRevision) -> bool {
        let is_news = self.versions.fail(service, order);
        self.assign_roles(service);
        is_news
    }

    /// Applies the ages of a rollout's order and shift as a peer knows them.
    pub fn learn_rollout_ages(
        &mut self,
        service: &ServiceName,
        order: StoreRevision,
        ages: RolloutAges,
    ) {
        let now = self.clock.now();
        self.versions.learn_ages(service, order, ages, now);
    }

    /// Returns the current run of a backend server.
    pub fn upstream(&self, id: &UpstreamName) -> Option<&Rc<Upstream>> {
        self.upstreams.get(id)
    }

    /// Returns all backend servers.
    pub fn all_upstreams(&self) -> impl Iterator<Item = &Rc<Upstream>> {
        self.upstreams.values()
    }

    /// Returns whether a domain is evacuated, so that its backend servers get no requests.
    pub fn is_evacuated(&self, domain: &DomainName) -> bool {
        self.evacuated.contains(domain)
    }

    /// Returns the region of a domain.
    pub fn region_of(&self, domain: &DomainName) -> RegionName {
        let region = self.regions.get(domain).cloned();
        region.unwrap_or_else(|| RegionName::from(domain.as_str()))
    }

    /// Applies changes of the store. While `settled` is false, a missing entry may be the result of
    /// a store outage, and its backend server is kept until [`RoutingState::remove_missing`].
    pub fn apply(&mut self, changes: &[Change], settled: bool) {
        let mut changed_services = BTreeSet::new();
        let before = self.upstreams.len();
        self.logs_joins = changes.len() <= MAX_LOGGED_JOINS;
        for change in changes {
            let keys = self.dialect.keys.clone();
            if change.key == keys.catalog {
                self.apply_catalog(change);
            } else if let Some(domain) = change.key.strip_prefix(keys.evacuation_prefix) {
                self.apply_evacuation(domain, change.current.value.is_some());
            } else if let Some(service) = change.key.strip_prefix(keys.rollout_prefix) {
                changed_services.extend(self.apply_rollout_order(service, change));
            } else if let Some(service) = change.key.strip_prefix(RECORD_PREFIX) {
                changed_services.extend(self.apply_rollout_record(service, change));
            } else if change.key.starts_with(keys.server_prefix) {
                changed_services.extend(self.apply_server(change, settled));
            }
        }
        self.servers_changed(&changed_services);
        if !self.logs_joins {
            info!(changes = changes.len(), before, servers = self.upstreams.len(); "read many entries of backend servers");
        }
    }

    /// Returns whether peers need a change. They do not need an update by which a backend server
    /// only confirms that it is alive; such updates far outnumber all others.
    pub fn is_relevant(&self, change: &Change) -> bool {
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
        match self.decode_server(&change.key, value) {
            Ok(reg) => {
                let held = upstream.registration.borrow();
                reg.cold_remaining.0 > 0
                    || reg.leaving != upstream.leaving.get()
                    || !reg.is_same_run(&held)
                    || reg.slots != held.slots
                    || self.missing.contains(&reg.id)
                    || self.disputes.is_open(&reg.id)
                    || self.claim_of(&reg).is_some()
            }
            Err(_) => true,
        }
    }

    /// Decodes an entry of a backend server.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn decode_server(&self, key: &str, value: &Bytes) -> Result<Registration, String> {
        let reg = (self.dialect.registration)(key, value)?;
        reg.check()?;
        Ok(reg)
    }

    /// Returns the prefix of the keys of backend servers' entries.
    pub fn server_prefix(&self) -> &'static str {
        self.dialect.keys.server_prefix
    }

    /// Returns whether `value` of a key is from an earlier time than `held`, judged by the values. A
    /// store that has lost its latest changes returns such values in newer revisions.
    pub fn is_outdated(&self, key: &str, held: &Bytes, value: &Bytes) -> bool {
        let keys = &self.dialect.keys;
        if key == keys.catalog {
            let version = (self.dialect.catalog)(key, value).map(|catalog| catalog.version);
            let held = self.catalog.as_ref().map(|held| held.version);
            return version.is_ok_and(|version| held.is_some_and(|held| version < held));
        }
        if let Some(id) = key.strip_prefix(keys.server_prefix) {
            let upstream = self.upstreams.get(&UpstreamName::from(id));
            let leaving = upstream.filter(|upstream| upstream.leaving.get());
            return leaving.is_some_and(|upstream| {
                self.decode_server(key, value)
                    .is_ok_and(|reg| !reg.leaving && reg.started_at == upstream.started_at)
            });
        }
        if key.starts_with(RECORD_PREFIX) {
            return rollout::record::is_outdated(held, value);
        }
        key.starts_with(poison::records::KEY_PREFIX) && poison::records::is_outdated(held, value)
    }

    /// Removes the backend servers whose entries are still missing.
    pub fn remove_missing(&mut self) {
        let missing = std::mem::take(&mut self.missing);
        if missing.is_empty() {
            return;
        }
        let removed = missing
            .iter()
            .filter_map(|id| self.remove(id, "its entry did not come back"));
        let changed_services = removed.collect();
        self.servers_changed(&changed_services);
    }

    fn apply_catalog(&mut self, change: &Change) {
        let Some(value) = &change.current.value else {
            warn!(key = change.key.as_str(); "the configuration was deleted; the last one stays in force");
            return;
        };
        match (self.dialect.catalog)(&change.key, value) {
            Ok(catalog) => self.install_catalog(catalog, change.current.revision),
            Err(cause) => {
                warn!(key = change.key.as_str(), revision:% = change.current.revision, cause = truncated(&cause);
                    "a configuration is invalid; the last one stays in force");
            }
        }
    }

    /// Puts a catalog in force unless it is older than the current one. Whatever the source of an
    /// update, a process never returns to outdated routes.
    fn install_catalog(&mut self, catalog: Catalog, revision: StoreRevision) {
        let held = self.catalog.as_ref().map(|held| held.version);
        if revision <= self.catalog_revision || held.is_some_and(|held| catalog.version < held) {
            info!(version = catalog.version, revision:% = revision; "ignored an older configuration");
            return;
        }
        info!(version = catalog.version, revision:% = revision, routes = catalog.route_count(); "configuration in force");
        log_problems(&catalog);
        self.catalog_revision = revision;
        self.catalog = Some(Rc::new(catalog));
    }

    fn apply_evacuation(&mut self, domain: &str, is_evacuated: bool) {
        let domain = DomainName::from(domain);
        if is_evacuated {
            info!(domain:% = domain; "domain is evacuated; its backend servers get no more requests");
            self.evacuated.insert(domain);
            return;
        }
        if !self.evacuated.remove(&domain) {
            return;
        }
        info!(domain:% = domain; "domain is back in service; its backend servers count as cold until they report otherwise");
        // The servers have received no requests for a while and may have turned cold unnoticed. The
        // full load at once would crash them.
        let now = self.clock.now();
        for upstream in self.upstreams.values().filter(|u| u.domain == domain) {
            let spec = self
                .catalog
                .as_ref()
                .and_then(|c| c.service(&upstream.service));
            let cold_time = spec.map_or(Millis(0), |spec| spec.cold_time);
            let until = now + cold_time + COLD_REPORT_DELAY;
            upstream
                .cold_until
                .set(until.max(upstream.cold_until.get()));
            upstream.is_presumed_cold.set(true);
        }
    }

    /// Applies a change of a server's entry; returns the services whose servers changed.
    fn apply_server(&mut self, change: &Change, settled: bool) -> BTreeSet<ServiceName> {
        let id = UpstreamName::from(&change.key[self.dialect.keys.server_prefix.len()..]);
        let Some(value) = &change.current.value else {
            if settled {
                return self
                    .remove(&id, "its entry was removed")
                    .into_iter()
                    .collect();
            }
            self.missing.insert(id);
            return BTreeSet::new();
        };
        match self.decode_server(&change.key, value) {
            Ok(reg) => {
                self.missing.remove(&reg.id);
                self.upsert(&reg)
            }
            Err(cause) => {
                if self.invalid_entry_log.try_take(self.clock.now()) {
                    warn!(key = change.key.as_str(), revision:% = change.current.revision, cause = truncated(&cause);
                        "a backend server's entry is invalid");
                }
                // The entry may have been overwritten by anyone. It no longer shows that the server
                // takes requests, so the server is removed.
                self.missing.remove(&id);
                self.remove(&id, "its entry can't be read")
                    .into_iter()
                    .collect()
            }
        }
    }

    /// Applies a valid registration; returns the services whose servers changed.
    ///
    /// A server that restarts under the same identifier holds no objects, may be cold and has none
    /// of the requests of its previous run. Statistics of that run would direct more work to it
    /// than it can handle. A late update of the previous run must not bring that run back.
    fn upsert(&mut self, reg: &Registration) -> BTreeSet<ServiceName> {
        let now = self.clock.now();
        let mut changed = BTreeSet::new();
        match self.claim_of(reg) {
            None => self.disputes.settle(&reg.id, now),
            Some(claim) if self.disputes.record(&reg.id, claim, now) => {
                warn!(upstream:% = reg.id, service:% = reg.service, claim:? = claim;
                    "a backend server keeps contradicting an entry under its identifier; that entry was not its own");
                changed.extend(self.accept_claim(reg, claim));
            }
            Some(Claim::EarlierStart(None)) => {
                changed.extend(self.remove(&reg.id, "its entry doesn't tell its start"));
                return changed;
            }
            Some(Claim::EarlierStart(Some(_))) => {
                info!(upstream:% = reg.id, service:% = reg.service; "ignored an entry of an earlier run");
                return changed;
            }
            Some(Claim::NotLeaving | Claim::NotCold) => {}
        }
        if let Some(upstream) = self.upstreams.get(&reg.id) {
            if reg.is_same_run(&upstream.registration.borrow()) {
                update_upstream(upstream, reg, now);
                return changed;
            }
            let why = match upstream.started_at == reg.started_at {
                true => "its entry has changed",
                false => "it has started again",
            };
            changed.extend(self.remove(&reg.id, why));
        }
        let region = self.region_of(&reg.domain);
        let signals = self.take_signals_of_removed(reg);
        let mut upstream = Upstream::new(reg, region, self.pool.clone(), &self.clock);
        upstream.signals = signals.unwrap_or_default();
        upstream.leaving.set(upstream.signals.has_leaving_entry());
        let upstream = Rc::new(upstream);
        update_upstream(&upstream, reg, now);
        if self.logs_joins {
            let version = reg.version.as_ref().map_or("", VersionName::as_str);
            info!(upstream:% = reg.id, service:% = reg.service, address:% = reg.address, domain:% = reg.domain,
                version, slots = reg.slots, leaving = reg.leaving, cold_ms = reg.cold_remaining.0; "backend server joined");
        }
        self.upstreams.insert(reg.id.clone(), upstream);
        changed.insert(reg.service.clone());
        changed
    }

    /// Returns when the newest run under an identifier started, if known.
    fn newest_run(&self, id: &UpstreamName) -> Option<Millis> {
        match self.upstreams.get(id) {
            Some(upstream) => upstream.started_at,
            None => {
                let mut ended = self.ended_runs.iter().rev();
                ended
                    .find(|(of, _)| of == id)
                    .map(|(_, started_at)| *started_at)
            }
        }
    }

    /// Removes a server; returns its service if the server was known.
    fn remove(&mut self, id: &UpstreamName, why: &str) -> Option<ServiceName> {
        let upstream = self.upstreams.remove(id)?;
        info!(upstream:% = id, service:% = upstream.service, why; "backend server is gone");
        upstream.leaving.set(true);
        upstream.pool.close_idle();
        let run = Run {
            id: id.clone(),
            started_at: upstream.started_at,
            version: upstream.version.clone(),
        };
        self.removed_runs
            .push_back((run, Rc::clone(&upstream.signals)));
        self.removed_runs
            .drain(..self.removed_runs.len().saturating_sub(MAX_ENDED_RUNS));
        if let Some(started_at) = upstream.started_at {
            self.ended_runs.push_back((id.clone(), started_at));
            self.ended_runs
                .drain(..self.ended_runs.len().saturating_sub(MAX_ENDED_RUNS));
        }
        Some(upstream.service.clone())
    }

    /// Takes what a run that was removed has asked for, if it is the run of this registration.
    fn take_signals_of_removed(&mut self, reg: &Registration) -> Option<Rc<RunSignals>> {
        let run = Run {
            id: reg.id.clone(),
            started_at: reg.started_at,
            version: reg.version.clone(),
        };
        let at = self.removed_runs.iter().position(|(of, _)| *of == run)?;
        self.removed_runs.remove(at).map(|(_, signals)| signals)
    }

    fn apply_rollout_order(&mut self, service: &str, change: &Change) -> Option<ServiceName> {
        let service = ServiceName::from(service);
        let Some(value) = &change.current.value else {
            info!(service:% = service; "rollout order removed");
            self.versions.set_order(&service, None);
            return Some(service);
        };
        match (self.dialect.rollout_order)(&change.key, value) {
            Ok(order) => {
                info!(service:% = service, target:% = order.target, limit_ms = order.time_limit.0,
                    revision:% = change.current.revision; "rollout order received");
                let now = self.clock.now();
                let order = ReceivedOrder::new(change.current.revision, order, now);
                self.versions.set_order(&service, Some(order));
                Some(service)
            }
            Err(cause) => {
                warn!(key = change.key.as_str(), revision:% = change.current.revision, cause = truncated(&cause);
                    "a rollout order is invalid; it has no effect");
                None
            }
        }
    }

    fn apply_rollout_record(&mut self, service: &str, change: &Change) -> Option<ServiceName> {
        let value = change.current.value.as_ref()?;
        let service = ServiceName::from(service);
        match serde_json::from_slice::<RolloutRecord>(value) {
            Ok(record) => {
                info!(service:% = service, target:% = record.target, stage:? = record.stage, order = record.order,
                    by:% = record.by, cause = record.cause.as_str(); "rollout stage in force");
                let (revision, now) = (change.current.revision, self.clock.now());
                self.versions.set_record(&service, revision, record, now);
                Some(service)
            }
            Err(error) => {
                warn!(key = change.key.as_str(), error:% = error; "failed to parse a rollout record");
                None
            }
        }
    }

    /// Rebuilds what is derived from the servers of some services.
    fn servers_changed(&mut self, services: &BTreeSet<ServiceName>) {
        if services.is_empty() {
            return;
        }
        let mut groups: HashMap<&ServiceName, Vec<Rc<Upstream>>> = HashMap::new();
        for upstream in self.upstreams.values() {
            if let Some(service) = services.get(&upstream.service) {
                groups.entry(service).or_default().push(Rc::clone(upstream));
            }
        }
        for service in services {
            let mut group = groups.remove(service).unwrap_or_default();
            group.sort_by(|a, b| a.id.cmp(&b.id));
            self.versions.assign_roles(service, &group);
            match group.is_empty() {
                true => self.by_service.remove(service),
                false => self.by_service.insert(service.clone(), Rc::new(group)),
            };
        }
    }

    fn assign_roles(&mut self, service: &ServiceName) {
        let servers = self.upstreams(service);
        self.versions.assign_roles(service, &servers);
    }
}

/// Logs the invalid parts of a configuration.
fn log_problems(catalog: &Catalog) {
    let problems = catalog.problems();
    for problem in problems.iter().take(MAX_LOGGED_PROBLEMS) {
        warn!(version = catalog.version, cause = truncated(problem); "a part of the configuration is invalid");
    }
    if problems.len() > MAX_LOGGED_PROBLEMS {
        warn!(version = catalog.version, parts = problems.len(); "further parts of the configuration are invalid");
    }
}

/// Truncates a cause to a length suitable for a log line.
fn truncated(cause: &str) -> &str {
    &cause[..cause.floor_char_boundary(MAX_LOGGED_CAUSE_LEN)]
}

/// Updates a known backend server from its registration.
fn update_upstream(upstream: &Upstream, reg: &Registration, now: Millis) {
    if reg.leaving {
        upstream.signals.set_leaving_entry(true);
        if !upstream.leaving.replace(true) {
            info!(upstream:% = upstream.id, service:% = upstream.service; "backend server is leaving");
        }
    }
    *upstream.registration.borrow_mut() = reg.clone();
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
