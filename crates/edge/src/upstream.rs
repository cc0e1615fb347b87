//! State that this VM keeps about one run of a backend server.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use heatherknot_http::{LivenessOptions, Pool, PoolConfig};
use heatherknot_types::prelude::*;

use crate::backpressure::RunSignals;
use crate::dialect::Dialect;
use crate::ewma::{Ewma, decay};
use crate::machine_speed::MachineSpeed;
use crate::reachability::diagnosis::SharedDiagnosis;
use crate::registration::Registration;
use crate::request_limit::state::LimitState;
use crate::rollout::versions::VersionRole;

/// Maximum number of objects remembered per backend server. Servers cache tens of objects at most,
/// and a server whose object was forgotten here is merely assumed to be slower than it is.
const MAX_TRACKED_OBJECTS: usize = 256;
/// Time after which an idle connection to a backend server is closed.
pub const IDLE_TIMEOUT: Millis = Millis(8_000);
/// Time for which an object is assumed to stay cached after a request for it.
const ASSUMED_CACHED_FOR: Millis = Millis(60_000);
/// Weight of one response in the average load by other VMs.
const OTHER_LOAD_WEIGHT: f64 = 0.4;
/// Time after which the reported load by other VMs counts half.
const OTHER_LOAD_HALF_LIFE: Millis = Millis(350);
/// Time after which recorded slowness and failures count half.
const QUALITY_HALF_LIFE: Millis = Millis(3_000);
/// Weight of one response in the average slowness and failure rate.
const QUALITY_WEIGHT: f64 = 0.2;
/// Backoff after the first failure to reach a backend server.
const INITIAL_BACKOFF: Millis = Millis(250);
/// Largest valid number in a server's load report.
const MAX_REPORTED_LOAD: u32 = 1_000_000;
/// Maximum backoff between two attempts to reach a backend server.
const MAX_BACKOFF: Millis = Millis(4_000);
/// Maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// One run of a backend server, from its start to its end.
pub struct Upstream {
    /// Identifier of the server.
    pub id: UpstreamName,
    /// When the run started, in the server's Unix time, if it reported that.
    pub started_at: Option<Millis>,
    /// Service that it runs.
    pub service: ServiceName,
    /// Failure domain that it belongs to.
    pub domain: DomainName,
    /// Region of the failure domain.
    pub region: RegionName,
    /// Version of the software that it runs, if it reports one.
    pub version: Option<VersionName>,
    /// Which requests it may get, by its version.
    pub role: Cell<VersionRole>,
    /// Connections to the server.
    pub pool: Pool,
    /// Its latest registration.
    pub registration: RefCell<Registration>,
    /// Number of requests that it processes concurrently.
    pub slots: Cell<u32>,
    /// Whether it announced that it is shutting down.
    pub leaving: Cell<bool>,
    /// Whether another server has taken over its address.
    pub replaced: Cell<bool>,
    /// Time until which it counts as cold.
    pub cold_until: Cell<Millis>,
    /// Whether it counts as cold only until it reports otherwise.
    pub is_presumed_cold: Cell<bool>,
    /// Share of its slots that is left to requests that any region may serve.
    pub unrestricted_share: Cell<f64>,
    /// When it registered, on this process's clock.
    pub registered_at: Millis,
    /// Its request limit, if it has stated one.
    pub request_limit: RefCell<Option<Box<LimitState>>>,
    /// What this run has asked of this VM.
    pub signals: Rc<RunSignals>,
    /// How fast its machine is, as it states.
    pub machine: MachineSpeed,
    /// Why the latest connection to it broke.
    pub(crate) diagnosis: RefCell<Option<SharedDiagnosis>>,
    in_flight: Cell<u32>,
    other_load: Ewma,
    load_reported_at: Cell<Millis>,
    last_response_at: Cell<Millis>,
    slowness: Ewma,
    quality_updated_at: Cell<Millis>,
    failure_rate: Ewma,
    consecutive_failures: Cell<u32>,
    backoff_until: Cell<Millis>,
    recent_objects: RefCell<HashMap<u64, Millis>>,
}

/// Returns the liveness options of connections that carry requests. An unresponsive peer is
/// detected 1.5 s after sending to it, or two seconds after its last packet if a request only waits
/// for its response, while most requests still have time left.
pub fn liveness_options() -> LivenessOptions {
    LivenessOptions {
        user_timeout: Duration::from_millis(1_500),
        keepalive: Duration::from_secs(1),
    }
}

/// Returns the settings of the connections to backend servers.
///
/// A server that has vanished without closing its connections answers no packet. The connect
/// timeout is short enough for another server to still answer the request, and a probe detects within
/// two seconds that a request which such a server has taken is lost.
pub(crate) fn pool_config(dialect: &Dialect) -> PoolConfig {
    PoolConfig {
        max_connections: 64,
        max_idle: IDLE_TIMEOUT,
        max_idle_non_idempotent: Millis(2_000),
        connect_timeout: Duration::from_millis(500),
        liveness: liveness_options(),
        allow_close_delimited: true,
        echoed_header: Some(dialect.headers.request_id.clone()),
        ..PoolConfig::default()
    }
}

/// Load that a backend server reports with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests being processed.
    pub running: u32,
    /// Requests waiting for a slot.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

impl ServerLoad {
    /// Returns how long the next request would wait for a slot, in milliseconds, if each request
    /// takes `service_ms`. The request that was just answered is still counted as running, but has
    /// freed its slot by then.
    pub fn next_wait_ms(self, service_ms: f64) -> f64 {
        let slots = self.slots.max(1);
        let excess = (self.running + self.waiting).saturating_sub(slots);
        f64::from(excess) / f64::from(slots) * service_ms
    }

    /// Parses `running,waiting,slots`. Numbers that no server can have are no load.
    pub fn parse(text: &str) -> Option<Self> {
        let number = |text: &str| text.trim().parse().ok().filter(|n| *n <= MAX_REPORTED_LOAD);
        let mut numbers = text.split(',').map(number);
        Some(Self {
            running: numbers.next()??,
            waiting: numbers.next()??,
            slots: numbers.next()??,
        })
    }
}

impl Upstream {
    /// Creates the state of a backend server that has just registered.
    pub fn new(reg: &Registration, region: RegionName, pool: PoolConfig, clock: &Clock) -> Self {
        Self {
            id: reg.id.clone(),
            started_at: reg.started_at,
            service: reg.service.clone(),
            domain: reg.domain.clone(),
            region,
            version: reg.version.clone(),
            role: Cell::default(),
            pool: Pool::new(reg.address, pool, clock.clone()),
            registration: RefCell::new(reg.clone()),
            slots: Cell::new(reg.slots.max(1)),
            leaving: Cell::new(reg.leaving),
            replaced: Cell::new(false),
            cold_until: Cell::new(Millis(0)),
            is_presumed_cold: Cell::new(false),
            unrestricted_share: Cell::new(1.0),
            registered_at: clock.now(),
            request_limit: RefCell::default(),
            signals: Rc::default(),
            machine: MachineSpeed::default(),
            diagnosis: RefCell::default(),
            in_flight: Cell::new(0),
            other_load: Ewma::default(),
            load_reported_at: Cell::new(Millis(0)),
            last_response_at: Cell::new(Millis(0)),
            slowness: Ewma::default(),
            quality_updated_at: Cell::new(Millis(0)),
            failure_rate: Ewma::default(),
            consecutive_failures: Cell::new(0),
            backoff_until: Cell::new(Millis(0)),
            recent_objects: RefCell::default(),
        }
    }

    /// Returns whether the server accepts requests, as far as is known.
    pub fn accepts_requests(&self) -> bool {
        !self.leaving.get() && !self.signals.is_leaving() && !self.replaced.get()
    }

    /// Returns whether the server counts as cold at `now`.
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until.get()
    }

    /// Returns whether the server has a request limit.
    pub fn is_limited(&self) -> bool {
        let state = self.request_limit.borrow();
        state.as_ref().is_some_and(|state| state.is_limited())
    }

    /// Returns whether this VM got no permit for the server and is to wait before it asks again.
    pub fn is_blocked_by_limit(&self, now: Millis) -> bool {
        let state = self.request_limit.borrow();
        state.as_ref().is_some_and(|state| state.is_blocked(now))
    }

    /// Returns whether a backoff that the server asked for keeps further requests from it.
    pub fn is_backed_off(&self, now: Millis) -> bool {
        self.signals.holds_back(self.in_flight.get(), now)
    }

    /// Returns whether the server may be tried at `now`. After a failure it gets one request at a
    /// time until it responds.
    pub fn is_reachable(&self, now: Millis) -> bool {
        match self.consecutive_failures.get() {
            0 => true,
            _ => now >= self.backoff_until.get() && self.in_flight.get() == 0,
        }
    }

    /// Returns the expected number of requests at the server, from this VM and others.
    ///
    /// The reported load of other VMs is weighted less as it ages, and `typical_other_load`, the
    /// average over the service's servers, is weighted more. Otherwise a server that was once full
    /// would get no further requests from this VM and could never report that it is free again.
    pub fn load(&self, typical_other_load: f64, now: Millis) -> f64 {
        let confidence = self.load_confidence(now);
        let reported = self.other_load.get().unwrap_or(typical_other_load);
        f64::from(self.in_flight.get())
            + typical_other_load
            + (reported - typical_other_load) * confidence
    }

    /// Returns the weight of the server's own load report at `now`, decaying from 1 to 0.
    pub fn load_confidence(&self, now: Millis) -> f64 {
        decay(now.since(self.load_reported_at.get()), OTHER_LOAD_HALF_LIFE)
    }

    /// Returns the age of the last load report.
    pub fn load_age(&self, now: Millis) -> Millis {
        now.since(self.load_reported_at.get())
    }

    /// Returns the number of this VM's own requests at the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Returns the ratio of the server's response times to the typical ones.
    ///
    /// It decays to 1 like the reported load, so that a server that was slow once is tried again.
    pub fn slowness(&self, now: Millis) -> f64 {
        let average = self.slowness.get().unwrap_or(1.0);
        1.0 + (average - 1.0) * decay(now.since(self.quality_updated_at.get()), QUALITY_HALF_LIFE)
    }

    /// Returns the fraction of the server's recent requests that failed.
    pub fn failure_rate(&self, now: Millis) -> f64 {
        let age = now.since(self.quality_updated_at.get());
        self.failure_rate.get().unwrap_or(0.0) * decay(age, QUALITY_HALF_LIFE)
    }

    /// Returns whether the server handled the object recently enough to still have it cached.
    pub fn likely_caches(&self, object: u64, now: Millis) -> bool {
        let recent_objects = self.recent_objects.borrow();
        let at = recent_objects.get(&object);
        at.is_some_and(|at| now.since(*at) < ASSUMED_CACHED_FOR)
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn start_request(self: &Rc<Self>) -> InFlightGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightGuard {
            upstream: Rc::clone(self),
        }
    }

    /// Records the load that the server reported. Returns the number of requests of other VMs in
    /// it.
    pub fn record_load(&self, load: ServerLoad, now: Millis) -> f64 {
        self.load_reported_at.set(now);
        let total = f64::from(load.running + load.waiting);
        let other_load = (total - f64::from(self.in_flight.get())).max(0.0);
        self.other_load.add(other_load, OTHER_LOAD_WEIGHT);
        self.slots.set(load.slots.max(1));
        other_load
    }

    /// Records a successful response that took `slowness` times the typical time, if that is known.
    pub fn record_success(&self, object: u64, slowness: Option<f64>, now: Millis) {
        self.consecutive_failures.set(0);
        self.failure_rate.add(0.0, QUALITY_WEIGHT);
        self.quality_updated_at.set(now);
        if let Some(slowness) = slowness {
            self.slowness.add(slowness.clamp(0.2, 20.0), QUALITY_WEIGHT);
        }
        self.record_object(object, now);
    }

    /// Records that the server handles an object, which it has cached from then on.
    pub fn record_object(&self, object: u64, now: Millis) {
        let mut recent_objects = self.recent_objects.borrow_mut();
        if recent_objects.len() >= MAX_TRACKED_OBJECTS && !recent_objects.contains_key(&object) {
            let oldest = recent_objects
                .iter()
                .min_by_key(|(_, at)| **at)
                .map(|(o, _)| *o);
            oldest.map(|oldest| recent_objects.remove(&oldest));
        }
        recent_objects.insert(object, now);
    }

    /// Records that the server did not handle an object after all, or no longer has it cached.
    pub fn forget_object(&self, object: u64) {
        self.recent_objects.borrow_mut().remove(&object);
    }

    /// Records that the server has lost its cache.
    pub fn forget_objects(&self) {
        self.recent_objects.borrow_mut().clear();
    }

    /// Records that the server sent a response of any kind.
    pub fn record_response(&self, now: Millis) {
        self.diagnosis.take();
        self.last_response_at.set(now);
    }

    /// Returns whether the server has sent no response at all since `since`.
    pub fn is_silent_since(&self, since: Millis) -> bool {
        self.last_response_at.get() < since
    }

    /// Records that a request was still unanswered after `slowness` times the typical time.
    pub fn record_unanswered(&self, slowness: f64, now: Millis) {
        self.quality_updated_at.set(now);
        self.slowness.add(slowness.clamp(1.0, 20.0), QUALITY_WEIGHT);
    }

    /// Records a response by which the request failed or was refused.
    pub fn record_error_response(&self, now: Millis) {
        self.quality_updated_at.set(now);
        self.consecutive_failures.set(0);
        self.failure_rate.add(1.0, QUALITY_WEIGHT);
    }

    /// Records that the server accepted a connection, so that it may be tried at once.
    pub fn record_connection(&self, now: Millis) {
        self.backoff_until.set(self.backoff_until.get().min(now));
    }

    /// Records that the server could not be reached or closed the connection prematurely.
    ///
    /// Every request sent to an unresponsive server costs the time of a connection attempt. The
    /// server is therefore avoided for an exponentially growing backoff and then probed with a
    /// single request.
    pub fn record_connection_failure(&self, now: Millis) {
        self.record_unreachable(Millis(0), now);
    }

    /// Records that the server refused a new connection. Open ones may still work: if its process
    /// had ended, they would have been closed as well.
    pub fn record_connection_refused(&self, now: Millis) {
        self.back_off(Millis(0), now);
    }

    /// Records that the server counts as unreachable after a request has waited for `waited`. The
    /// backoff is at least that long. Otherwise the server would get the next request, which waits
    /// as long, almost immediately.
    pub fn record_unreachable(&self, waited: Millis, now: Millis) {
        self.back_off(waited, now);
        self.pool.close_idle();
    }

    fn back_off(&self, waited: Millis, now: Millis) {
        let consecutive_failures = self.consecutive_failures.get();
        self.consecutive_failures.set(consecutive_failures + 1);
        let backoff = Millis(INITIAL_BACKOFF.0 << consecutive_failures.min(MAX_BACKOFF_DOUBLINGS))
            .min(MAX_BACKOFF);
        self.backoff_until.set(now + backoff.max(waited));
        self.quality_updated_at.set(now);
        self.failure_rate.add(1.0, QUALITY_WEIGHT);
    }
}

/// Counts a request as in flight at a backend server until dropped.
pub struct InFlightGuard {
    upstream: Rc<Upstream>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let cell = &self.upstream.in_flight;
        cell.set(cell.get().saturating_sub(1));
    }
}
