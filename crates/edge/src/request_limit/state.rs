//! What a VM knows of the request limits of all backend servers, and the permits that it issues.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use heatherknot_types::prelude::*;
use log::info;

use super::issuer::{ADVANCE_LIFETIME, COUNT_WINDOW, PermitIssuer};
use super::messages::{PermitAnswer, PermitRequest};
use super::observed::{LimitChange, Observation, ObservedLimit};
use super::outbox::Outbox;
use crate::homes;
use crate::log_limit::LogRateLimit;
use crate::presence::VmEntry;
use crate::routing_state::RoutingState;
use crate::upstream::Upstream;
use crate::window::SlidingWindow;

/// How long a VM that got no permit for another reason than the limit waits before it asks again.
pub(super) const RETRY_DELAY: Millis = Millis(250);

/// The request limit of one run of a backend server that has stated one.
#[derive(Debug)]
pub struct LimitState {
    /// The limit as far as is known.
    pub observed: ObservedLimit,
    /// Permits that this VM got in advance, and until when it may use them.
    advance: u32,
    advance_until: Millis,
    /// Until when this VM does not ask for a permit.
    blocked_until: Millis,
    /// Number of requests that got no permit on this VM.
    held_back: u64,
    /// This VM's recent sends to the server.
    sends: SlidingWindow,
    /// Issues permits if this VM is the issuer of the server.
    issuer: Option<PermitIssuer>,
}

/// This VM's part in enforcing request limits.
pub struct RequestLimits {
    pub(super) timer: Timer,
    vm: VmName,
    routing_state: Rc<RefCell<RoutingState>>,
    vms: RefCell<Rc<Vec<VmEntry>>>,
    /// Issuer of each server that was looked up since the last change of the VMs.
    issuers: RefCell<HashMap<UpstreamName, Option<VmName>>>,
    /// The part of each limit that this VM may issue permits for.
    share: Cell<f64>,
    /// Servers of which other VMs are to be told, and to which VMs.
    pub(super) outbox: RefCell<Outbox>,
    /// Limits the log lines about request limits.
    pub(super) log_limit: RefCell<LogRateLimit>,
}

impl RequestLimits {
    /// Creates the state of VM `vm`, which has just started.
    pub fn new(timer: Timer, vm: VmName, routing_state: Rc<RefCell<RoutingState>>) -> Self {
        Self {
            timer,
            vm,
            routing_state,
            vms: RefCell::default(),
            issuers: RefCell::default(),
            outbox: RefCell::default(),
            share: Cell::new(0.0),
            log_limit: RefCell::default(),
        }
    }

    /// Updates the issuers after a change of the live VMs.
    pub fn set_vms(&self, vms: &Rc<Vec<VmEntry>>) {
        self.issuers.borrow_mut().clear();
        *self.vms.borrow_mut() = Rc::clone(vms);
    }

    /// Updates the part of each limit that this VM may issue permits for.
    pub fn set_share(&self, share: f64) {
        self.share.set(share);
    }

    /// Returns the VM that issues the permits of a server.
    pub fn issuer_of(&self, upstream: &Upstream) -> Option<VmName> {
        let mut issuers = self.issuers.borrow_mut();
        if let Some(issuer) = issuers.get(&upstream.id) {
            return issuer.clone();
        }
        let issuer = homes::find_issuer(upstream, &self.vms.borrow());
        issuers.insert(upstream.id.clone(), issuer.clone());
        issuer
    }

    /// Returns whether this VM issues the permits of a server.
    fn is_issuer(&self, upstream: &Upstream) -> bool {
        self.issuer_of(upstream).as_ref() == Some(&self.vm)
    }

    /// Issues a permit for a request to a server; returns how many more the VM may use.
    ///
    /// # Errors
    ///
    /// Returns the time after which to ask again if there is no permit.
    pub fn issue(&self, upstream: &Upstream) -> Result<u32, Millis> {
        if !self.is_issuer(upstream) {
            return Err(RETRY_DELAY);
        }
        let now = self.timer.now();
        let mut state = upstream.request_limit.borrow_mut();
        let Some(state) = state.as_mut() else {
            return Ok(0);
        };
        let Some(per_second) = state.observed.per_second() else {
            return Ok(0);
        };
        match self.share.get() {
            share if share > 0.0 => state.issuer(now).issue(per_second, share, now),
            _ => Err(RETRY_DELAY),
        }
    }

    /// Handles another VM's report of a limit, and its request for a permit.
    pub fn answer(&self, req: &PermitRequest) -> PermitAnswer {
        let Some(upstream) = self.apply_report(req) else {
            return PermitAnswer::unknown_server(RETRY_DELAY);
        };
        let result = match req.wants_permit {
            true => self.issue(&upstream),
            false => Err(RETRY_DELAY),
        };
        PermitAnswer::new(result, &upstream, self.timer.now())
    }

    /// Applies the answer of the issuer.
    ///
    /// # Errors
    ///
    /// Returns the time after which to ask again if there is no permit.
    pub fn apply_answer(&self, upstream: &Upstream, answer: &PermitAnswer) -> Result<(), Millis> {
        if let Some(observation) = answer.observation(self.timer.now()) {
            self.observe(upstream, observation, "issuer");
        }
        if let Some(wait) = answer.wait {
            return Err(wait);
        }
        if let Some(state) = upstream.request_limit.borrow_mut().as_mut() {
            state.advance = answer.advance;
            state.advance_until = self.timer.now() + ADVANCE_LIFETIME;
        }
        Ok(())
    }

    /// Uses a permit that this VM got in advance; returns whether there was one.
    pub fn use_advance(&self, upstream: &Upstream) -> bool {
        let mut state = upstream.request_limit.borrow_mut();
        let state = state.as_mut().filter(|state| {
            state.is_limited() && state.advance > 0 && self.timer.now() < state.advance_until
        });
        state.map(|state| state.advance -= 1).is_some()
    }

    /// Applies an observation of a server's limit and logs how it changed the limit; `source` says
    /// whose observation it is.
    pub fn observe(
        &self,
        upstream: &Upstream,
        observation: Observation,
        source: &str,
    ) -> Option<LimitChange> {
        let mut state = upstream.request_limit.borrow_mut();
        if state.is_none() && observation.limit.is_none() {
            return None;
        }
        let state = state.get_or_insert_default();
        let before = state.observed.per_second();
        let change = state.observed.apply(observation)?;
        state.advance = 0;
        let now = self.timer.now();
        let is_announced = matches!(change, LimitChange::Stated | LimitChange::Removed);
        if is_announced && self.is_issuer(upstream) {
            state.issuer = Some(PermitIssuer::of_new_limit(now));
            self.outbox.borrow_mut().announce(&upstream.id);
        }
        if self.log_limit.borrow_mut().try_take(now) {
            info!(upstream:% = upstream.id, service:% = upstream.service, change = change.label(),
                limit:? = observation.limit, before:? = before, source,
                age_ms = now.since(observation.received_at).0; "request limit of a backend server changed");
        }
        Some(change)
    }

    /// Applies what another VM tells of limits; `is_relay` says whether this VM is to tell the VMs of
    /// its domain.
    pub fn receive(&self, reports: &[PermitRequest], is_relay: bool) {
        for report in reports {
            self.apply_report(report);
            if is_relay {
                self.outbox.borrow_mut().relay(&report.upstream);
            }
        }
    }

    /// Returns what this VM knows of the limits of some servers.
    pub fn reports_of(&self, ids: &[UpstreamName]) -> Vec<PermitRequest> {
        let routing_state = self.routing_state.borrow();
        let upstreams = ids.iter().filter_map(|id| routing_state.upstream(id));
        let now = self.timer.now();
        let reports = upstreams.filter_map(|u| PermitRequest::new(u, false, now));
        reports.collect()
    }

    /// Returns the servers with a limit, at most `most` of them.
    pub(super) fn limited_servers(&self, most: usize) -> Vec<UpstreamName> {
        let routing_state = self.routing_state.borrow();
        let limited = routing_state.all_upstreams().filter(|u| u.is_limited());
        limited.map(|u| u.id.clone()).take(most).collect()
    }

    /// Removes and returns servers whose limits all VMs are to be told, for a test without peers.
    pub fn take_announcements(&self) -> Vec<UpstreamName> {
        self.outbox.borrow_mut().take_announced()
    }

    /// Applies another VM's report; returns the server if this VM knows the same run of it.
    fn apply_report(&self, report: &PermitRequest) -> Option<Rc<Upstream>> {
        let upstream = {
            let routing_state = self.routing_state.borrow();
            let known = routing_state.upstream(&report.upstream);
            known.filter(|u| u.started_at == report.started_at).cloned()
        }?;
        self.observe(&upstream, report.observation(self.timer.now()), "peer");
        Some(upstream)
    }
}

impl Default for LimitState {
    fn default() -> Self {
        Self {
            observed: ObservedLimit::default(),
            advance: 0,
            advance_until: Millis(0),
            blocked_until: Millis(0),
            held_back: 0,
            sends: SlidingWindow::new(COUNT_WINDOW),
            issuer: None,
        }
    }
}

impl LimitState {
    fn issuer(&mut self, now: Millis) -> &mut PermitIssuer {
        self.issuer
            .get_or_insert_with(|| PermitIssuer::of_known_limit(now))
    }

    /// Returns whether the server has a limit.
    pub fn is_limited(&self) -> bool {
        self.observed.per_second().is_some()
    }

    /// Returns whether this VM got no permit and is to wait before it asks again.
    pub fn is_blocked(&self, now: Millis) -> bool {
        self.is_limited() && now < self.blocked_until
    }

    /// Returns the time until which this VM does not ask for a permit.
    pub fn blocked_until(&self) -> Millis {
        self.blocked_until
    }

    /// Records that a request got no permit, and when to ask again.
    pub fn record_denial(&mut self, wait: Millis, now: Millis) {
        self.blocked_until = self.blocked_until.max(now + wait);
        self.held_back += 1;
    }

    /// Returns the number of requests that got no permit on this VM.
    pub fn held_back(&self) -> u64 {
        self.held_back
    }

    /// Records that this VM sends a request to the server.
    pub fn record_send(&mut self, now: Millis) {
        self.sends.add(now, 1.0);
    }

    /// Returns the number of requests that this VM sent in the last [`COUNT_WINDOW`].
    pub fn recently_sent(&mut self, now: Millis) -> u32 {
        self.sends.total(now) as u32
    }

    /// Returns the number of permits that this VM issued lately, if it issues any.
    pub fn recently_issued(&mut self, now: Millis) -> Option<u32> {
        let issuer = self.issuer.as_mut()?;
        Some(issuer.recently_issued(now))
    }
}
