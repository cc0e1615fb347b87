//! What this VM knows of one run of a backend server.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use heatherknot_http::{LivenessOptions, Pool, PoolConfig};
use heatherknot_types::prelude::*;

use crate::ewma::{Ewma, fade};
use crate::poison::crash::CrashProbe;
use crate::registration::Registration;

/// Objects that are remembered of one backend server. Servers keep tens of objects at most,
/// and one that was forgotten here is only taken for slower than it is.
const MAX_OBJECTS: usize = 256;
/// How long an idle connection to a backend server is kept.
pub const IDLE_TIMEOUT: Millis = Millis(8_000);
/// How long a handled object is taken for kept.
const OBJECT_KEPT: Millis = Millis(60_000);
/// The weight of one response in the average of what other VMs have running.
const OTHERS_PART: f64 = 0.4;
/// The time after which what was told of others counts for half.
const OTHERS_HALF_LIFE: Millis = Millis(350);
/// The time after which what was seen of its slowness and failures counts for half.
const JUDGED_HALF_LIFE: Millis = Millis(3_000);
/// The weight of one response in the average slowness and failure rate.
const QUALITY_PART: f64 = 0.2;
/// The pause after the first failure to reach a backend server.
const FIRST_PAUSE: Millis = Millis(250);
/// The longest pause between two tries of a backend server that can't be reached.
const LONGEST_PAUSE: Millis = Millis(4_000);
/// How often a failing pause doubles at most.
const MAX_DOUBLINGS: u32 = 4;

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
    pub open_part: Cell<f64>,
    /// When it registered, on this process's clock.
    pub joined: Millis,
    /// The last question whether it has ended.
    pub(crate) end_probe: RefCell<Option<CrashProbe>>,
    in_flight: Cell<u32>,
    others: Ewma,
    told_at: Cell<Millis>,
    answered_at: Cell<Millis>,
    slowness: Ewma,
    judged_at: Cell<Millis>,
    failing: Ewma,
    failures: Cell<u32>,
    avoid_until: Cell<Millis>,
    objects: RefCell<HashMap<u64, Millis>>,
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
    pub fn next_wait(self, work: f64) -> f64 {
        let slots = self.slots.max(1);
        let ahead = (self.running + self.waiting).saturating_sub(slots);
        f64::from(ahead) / f64::from(slots) * work
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
            open_part: Cell::new(1.0),
            joined: clock.now(),
            end_probe: RefCell::default(),
            in_flight: Cell::new(0),
            others: Ewma::default(),
            told_at: Cell::new(Millis(0)),
            answered_at: Cell::new(Millis(0)),
            slowness: Ewma::default(),
            judged_at: Cell::new(Millis(0)),
            failing: Ewma::default(),
            failures: Cell::new(0),
            avoid_until: Cell::new(Millis(0)),
            objects: RefCell::default(),
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
        match self.failures.get() {
            0 => true,
            _ => now >= self.avoid_until.get() && self.in_flight.get() == 0,
        }
    }

    /// Gives the requests that it is expected to have, of this VM and of others.
    ///
    /// What it told of others counts for less with age, and `usual`, the average of all
    /// servers of the service, for more. Otherwise a server that was once full would get
    /// nothing from this VM, and so could never tell that it is free again.
    pub fn load(&self, usual: f64, now: Millis) -> f64 {
        let trust = self.load_confidence(now);
        let told = self.others.get().unwrap_or(usual);
        f64::from(self.in_flight.get()) + usual + (told - usual) * trust
    }

    /// Gives how far its own word of its load counts at `now`, from one to zero.
    pub fn load_confidence(&self, now: Millis) -> f64 {
        fade(now.since(self.told_at.get()), OTHERS_HALF_LIFE)
    }

    /// Gives how old what it told of its load is.
    pub fn load_age(&self, now: Millis) -> Millis {
        now.since(self.told_at.get())
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
        let judged = self.slowness.get().unwrap_or(1.0);
        1.0 + (judged - 1.0) * fade(now.since(self.judged_at.get()), JUDGED_HALF_LIFE)
    }

    /// Gives the part of its requests that failed lately.
    pub fn failing(&self, now: Millis) -> f64 {
        let age = now.since(self.judged_at.get());
        self.failing.get().unwrap_or(0.0) * fade(age, JUDGED_HALF_LIFE)
    }

    /// Says whether it lately handled an object.
    pub fn likely_caches(&self, object: u64, now: Millis) -> bool {
        let objects = self.objects.borrow();
        let at = objects.get(&object);
        at.is_some_and(|at| now.since(*at) < OBJECT_KEPT)
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
        self.told_at.set(now);
        let total = f64::from(load.running + load.waiting);
        let others = (total - f64::from(self.in_flight.get())).max(0.0);
        self.others.add(others, OTHERS_PART);
        self.slots.set(load.slots.max(1));
        others
    }

    /// Takes in a good answer that took `slowness` times as long as usual, where that is
    /// known.
    pub fn record_success(&self, object: u64, slowness: Option<f64>, now: Millis) {
        self.failures.set(0);
        self.failing.add(0.0, QUALITY_PART);
        self.judged_at.set(now);
        if let Some(slowness) = slowness {
            self.slowness.add(slowness.clamp(0.2, 20.0), QUALITY_PART);
        }
        let mut objects = self.objects.borrow_mut();
        if objects.len() >= MAX_OBJECTS && !objects.contains_key(&object) {
            let oldest = objects.iter().min_by_key(|(_, at)| **at).map(|(o, _)| *o);
            oldest.map(|oldest| objects.remove(&oldest));
        }
        objects.insert(object, now);
    }

    /// Takes in that it answered something, whatever that was.
    pub fn record_response(&self, now: Millis) {
        self.end_probe.take();
        self.answered_at.set(now);
    }

    /// Says whether it has answered nothing at all since `since`.
    pub fn is_silent_since(&self, since: Millis) -> bool {
        self.answered_at.get() < since
    }

    /// Takes in that a request was without an answer after `slowness` times the usual time.
    pub fn record_unanswered(&self, slowness: f64, now: Millis) {
        self.judged_at.set(now);
        self.slowness.add(slowness.clamp(1.0, 20.0), QUALITY_PART);
    }

    /// Takes in an answer that says that the request failed or was refused.
    pub fn record_error_response(&self, now: Millis) {
        self.judged_at.set(now);
        self.failures.set(0);
        self.failing.add(1.0, QUALITY_PART);
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
        let failures = self.failures.get();
        self.failures.set(failures + 1);
        let pause = Millis(FIRST_PAUSE.0 << failures.min(MAX_DOUBLINGS)).min(LONGEST_PAUSE);
        self.avoid_until.set(now + pause.max(waited));
        self.judged_at.set(now);
        self.failing.add(1.0, QUALITY_PART);
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
