//! What this VM knows of one run of a backend server.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use heatherknot_http::{LivenessOptions, Pool, PoolConfig};
use heatherknot_types::prelude::*;

use crate::ewma::{Ewma, decay};
use crate::poison::crash::CrashProbe;
use crate::registration::Registration;

/// Objects that are remembered of one backend server. Servers keep tens of objects at most,
/// and one that was forgotten here is only taken for slower than it is.
const MAX_TRACKED_OBJECTS: usize = 256;
/// How long an idle connection to a backend server is kept.
pub const IDLE_TIMEOUT: Millis = Millis(8_000);
/// How long a handled object is taken for kept.
const ASSUMED_CACHED_FOR: Millis = Millis(60_000);
/// The weight of one response in the average of what other VMs have running.
const OTHER_LOAD_WEIGHT: f64 = 0.4;
/// The time after which what was told of others counts for half.
const OTHER_LOAD_HALF_LIFE: Millis = Millis(350);
/// The time after which what was seen of its slowness and failures counts for half.
const QUALITY_HALF_LIFE: Millis = Millis(3_000);
/// The weight of one response in the average slowness and failure rate.
const QUALITY_WEIGHT: f64 = 0.2;
/// The pause after the first failure to reach a backend server.
const INITIAL_BACKOFF: Millis = Millis(250);
/// The longest pause between two tries of a backend server that can't be reached.
const MAX_BACKOFF: Millis = Millis(4_000);
/// How often a failing pause doubles at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// One run of a backend server.
pub struct Upstream {
    /// Its identifier.
    pub id: UpstreamName,
    /// When it started, in its own Unix time, where it told that.
    pub started_at: Option<Millis>,
    /// The service that it runs.
    pub service: ServiceName,
    /// The failure domain that it lies in.
    pub domain: DomainName,
    /// The region of that domain.
    pub region: RegionName,
    /// The connections to it.
    pub pool: Pool,
    /// The requests that it runs at once.
    pub slots: Cell<u32>,
    /// Whether it said that it leaves.
    pub leaving: Cell<bool>,
    /// Whether another server answers at its address.
    pub replaced: Cell<bool>,
    /// Until when it counts as cold.
    pub cold_until: Cell<Millis>,
    /// Whether it counts as cold only until it says otherwise.
    pub is_presumed_cold: Cell<bool>,
    /// The part of its room that is left to requests which may run anywhere.
    pub unbound_share: Cell<f64>,
    /// When it registered, on this process's clock.
    pub registered_at: Millis,
    /// The last question whether it has ended.
    pub(crate) end_probe: RefCell<Option<CrashProbe>>,
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

/// Gives how connections that carry requests are tested. A peer that is gone without a word is
/// found out within about three seconds, while most requests still have time.
pub fn liveness_options() -> LivenessOptions {
    LivenessOptions {
        user_timeout: Duration::from_millis(1_500),
        keepalive: Duration::from_secs(1),
        keepalive_probes: 2,
    }
}

/// The load that a backend server tells with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

impl ServerLoad {
    /// Gives how long the next request waits for a slot, if each takes `work` milliseconds. The
    /// request that was answered is still among those that run, and has left its slot by then.
    pub fn next_wait_ms(self, service_ms: f64) -> f64 {
        let slots = self.slots.max(1);
        let excess = (self.running + self.waiting).saturating_sub(slots);
        f64::from(excess) / f64::from(slots) * service_ms
    }

    /// Reads `running,waiting,slots`.
    pub fn parse(text: &str) -> Option<Self> {
        let mut numbers = text.split(',').map(|n| n.trim().parse().ok());
        Some(Self {
            running: numbers.next()??,
            waiting: numbers.next()??,
            slots: numbers.next()??,
        })
    }
}

impl Upstream {
    /// Makes the record of a backend server that has just registered.
    pub fn new(reg: &Registration, region: RegionName, pool: PoolConfig, clock: &Clock) -> Self {
        Self {
            id: reg.id.clone(),
            started_at: reg.started_at,
            service: reg.service.clone(),
            domain: reg.domain.clone(),
            region,
            pool: Pool::new(reg.address, pool, clock.clone()),
            slots: Cell::new(reg.slots.max(1)),
            leaving: Cell::new(reg.leaving),
            replaced: Cell::new(false),
            cold_until: Cell::new(Millis(0)),
            is_presumed_cold: Cell::new(false),
            unbound_share: Cell::new(1.0),
            registered_at: clock.now(),
            end_probe: RefCell::default(),
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

    /// Says whether it takes requests at all, as far as it is known.
    pub fn accepts_requests(&self) -> bool {
        !self.leaving.get() && !self.replaced.get()
    }

    /// Says whether it is cold at `now`.
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until.get()
    }

    /// Says whether it is worth a try at `now`. One that failed is tried by one request at a
    /// time until it answers.
    pub fn is_reachable(&self, now: Millis) -> bool {
        match self.consecutive_failures.get() {
            0 => true,
            _ => now >= self.backoff_until.get() && self.in_flight.get() == 0,
        }
    }

    /// Gives the requests that it is expected to have, of this VM and of others.
    ///
    /// What it told of others counts for less with age, and `usual`, the average of all
    /// servers of the service, for more. Otherwise a server that was once full would get
    /// nothing from this VM, and so could never tell that it is free again.
    pub fn load(&self, typical_other_load: f64, now: Millis) -> f64 {
        let confidence = self.load_confidence(now);
        let reported = self.other_load.get().unwrap_or(typical_other_load);
        f64::from(self.in_flight.get())
            + typical_other_load
            + (reported - typical_other_load) * confidence
    }

    /// Gives how far its own word of its load counts at `now`, from one to zero.
    pub fn load_confidence(&self, now: Millis) -> f64 {
        decay(now.since(self.load_reported_at.get()), OTHER_LOAD_HALF_LIFE)
    }

    /// Gives how old what it told of its load is.
    pub fn load_age(&self, now: Millis) -> Millis {
        now.since(self.load_reported_at.get())
    }

    /// Gives this VM's own requests at it.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Gives how many times as long as usual its requests take.
    ///
    /// It fades with time, as what is told of load does, so that a server that was slow once
    /// is tried again.
    pub fn slowness(&self, now: Millis) -> f64 {
        let average = self.slowness.get().unwrap_or(1.0);
        1.0 + (average - 1.0) * decay(now.since(self.quality_updated_at.get()), QUALITY_HALF_LIFE)
    }

    /// Gives the part of its requests that failed lately.
    pub fn failure_rate(&self, now: Millis) -> f64 {
        let age = now.since(self.quality_updated_at.get());
        self.failure_rate.get().unwrap_or(0.0) * decay(age, QUALITY_HALF_LIFE)
    }

    /// Says whether it lately handled an object.
    pub fn likely_caches(&self, object: u64, now: Millis) -> bool {
        let recent_objects = self.recent_objects.borrow();
        let at = recent_objects.get(&object);
        at.is_some_and(|at| now.since(*at) < ASSUMED_CACHED_FOR)
    }

    /// Counts a request for as long as the returned guard lives.
    pub fn start_request(self: &Rc<Self>) -> InFlightGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightGuard {
            upstream: Rc::clone(self),
        }
    }

    /// Takes in the load that it told; gives the requests of other VMs among them.
    pub fn record_load(&self, load: ServerLoad, now: Millis) -> f64 {
        self.load_reported_at.set(now);
        let total = f64::from(load.running + load.waiting);
        let other_load = (total - f64::from(self.in_flight.get())).max(0.0);
        self.other_load.add(other_load, OTHER_LOAD_WEIGHT);
        self.slots.set(load.slots.max(1));
        other_load
    }

    /// Takes in a good answer that took `slowness` times as long as usual, where that is
    /// known.
    pub fn record_success(&self, object: u64, slowness: Option<f64>, now: Millis) {
        self.consecutive_failures.set(0);
        self.failure_rate.add(0.0, QUALITY_WEIGHT);
        self.quality_updated_at.set(now);
        if let Some(slowness) = slowness {
            self.slowness.add(slowness.clamp(0.2, 20.0), QUALITY_WEIGHT);
        }
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

    /// Takes in that it answered something, whatever that was.
    pub fn record_response(&self, now: Millis) {
        self.end_probe.take();
        self.last_response_at.set(now);
    }

    /// Says whether it has answered nothing at all since `since`.
    pub fn is_silent_since(&self, since: Millis) -> bool {
        self.last_response_at.get() < since
    }

    /// Takes in that a request was without an answer after `slowness` times the usual time.
    pub fn record_unanswered(&self, slowness: f64, now: Millis) {
        self.quality_updated_at.set(now);
        self.slowness.add(slowness.clamp(1.0, 20.0), QUALITY_WEIGHT);
    }

    /// Takes in an answer that says that the request failed or was refused.
    pub fn record_error_response(&self, now: Millis) {
        self.quality_updated_at.set(now);
        self.consecutive_failures.set(0);
        self.failure_rate.add(1.0, QUALITY_WEIGHT);
    }

    /// Takes in that it could not be reached, or broke off.
    ///
    /// A server that is gone without a word costs each request that tries it the time of a
    /// connect. It is left alone for a pause that doubles, and then tried by one request.
    pub fn record_connection_failure(&self, now: Millis) {
        self.record_hang(Millis(0), now);
    }

    /// Takes in the same of a request that has `waited` for nothing. The pause is no shorter than
    /// that, or the server would get the next request, which waits as long, almost at once.
    pub fn record_hang(&self, waited: Millis, now: Millis) {
        let consecutive_failures = self.consecutive_failures.get();
        self.consecutive_failures.set(consecutive_failures + 1);
        let backoff = Millis(INITIAL_BACKOFF.0 << consecutive_failures.min(MAX_BACKOFF_DOUBLINGS))
            .min(MAX_BACKOFF);
        self.backoff_until.set(now + backoff.max(waited));
        self.quality_updated_at.set(now);
        self.failure_rate.add(1.0, QUALITY_WEIGHT);
        self.pool.close_idle();
    }
}

/// A request at a backend server.
pub struct InFlightGuard {
    upstream: Rc<Upstream>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let cell = &self.upstream.in_flight;
        cell.set(cell.get().saturating_sub(1));
    }
}
