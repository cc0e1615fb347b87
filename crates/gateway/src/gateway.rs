//! The gateway, which turns each request into exactly one response.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;

use futures_util::future::{Either, select};
use heatherknot_http::{Body, Flag, Pool, Request, RequestHead, Response};
use heatherknot_types::outcome::{OUTCOME_HEADER, SERVICE_HEADER};
use heatherknot_types::plan::{Plan, UpstreamPlan};
use heatherknot_types::prelude::*;
use http::StatusCode;
use std::pin::pin;

use crate::answer::{REASON_HEADER, Reason, Refusal};
use crate::call::Call;
use crate::context::GatewayContext;
use crate::hop::{Hop, HopReason};
use crate::leaving::{Leaving, LeavingSource};
use crate::mac::TokenKey;
use crate::metrics::GatewayMetrics;
use crate::once::{RecordTable, Ticket};
use crate::payload::Payload;
use crate::probe::Probes;
use crate::queues::RequestQueues;
use crate::slots::{Members, SlotContext, Slots, UpstreamKey};
use crate::wait_estimator::WaitEstimator;

/// The status of a response to a caller that has disconnected, as nginx uses it.
const CLIENT_CLOSED_REQUEST: u16 = 499;

/// The request path of one daemon.
pub struct Gateway {
    pub(crate) cx: GatewayContext,
    pub(crate) slots: Rc<Slots>,
    pub(crate) queues: Rc<RequestQueues>,
    pub(crate) records: Rc<RecordTable>,
    pub(crate) tokens: TokenKey,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) pools: RefCell<HashMap<UpstreamKey, UpstreamPool>>,
    pub(crate) probes: Probes,
    pub(crate) wait_estimator: WaitEstimator,
    leaving: Rc<Leaving>,
    in_flight: Rc<InFlight>,
}

/// The connection pool of one upstream, and the parameters it was created with.
pub(crate) struct UpstreamPool {
    pub(crate) address: SocketAddr,
    pub(crate) max: usize,
    pub(crate) pool: Pool,
}

/// A received request with its body, to be sent to a backend server or another daemon.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) head: RequestHead,
    pub(crate) payload: Payload,
    pub(crate) cancelled: Flag,
    pub(crate) started: Millis,
}

/// The result of draining the gateway for a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainReport {
    /// The time until no request was in flight, or until the limit was reached, in milliseconds.
    pub took: Millis,
    /// The number of requests that were still in flight at that time.
    pub remaining: usize,
}

#[derive(Default)]
struct InFlight {
    count: Cell<usize>,
    idle: RefCell<Flag>,
}

/// Counts a request as in flight until its response has been delivered completely.
pub(crate) struct InFlightGuard {
    in_flight: Rc<InFlight>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let remaining = self.in_flight.count.get() - 1;
        self.in_flight.count.set(remaining);
        if remaining == 0 {
            self.in_flight.idle.take().fire();
        }
    }
}

impl Gateway {
    /// Creates a gateway without settings and members.
    ///
    /// # Errors
    ///
    /// Returns an error if the registry already has the gateway's metrics.
    pub fn new(cx: GatewayContext) -> Result<Rc<Self>, prometheus::Error> {
        let metrics = GatewayMetrics::register(&cx.registry)?;
        let leaving = Rc::new(Leaving::default());
        let build = |weak: &Weak<Self>| Self {
            slots: Slots::new(slot_context(&cx, weak)),
            queues: RequestQueues::new(),
            records: RecordTable::new(cx.settings.records, cx.clock.clone()),
            tokens: TokenKey::new(&cx.secret),
            metrics,
            pools: RefCell::default(),
            probes: Probes::default(),
            wait_estimator: WaitEstimator::default(),
            leaving,
            in_flight: Rc::default(),
            cx,
        };
        Ok(Rc::new_cyclic(build))
    }

    /// Applies new settings and passes them to the steering.
    pub fn on_plan(self: &Rc<Self>, plan: Arc<Plan>) {
        let now = self.cx.clock.now();
        let mut steering = self.cx.steering.borrow_mut();
        steering.on_plan(plan, now);
        let plan = Arc::clone(steering.plan());
        drop(steering);
        let keys = self.local_upstreams(&plan);
        self.pools.borrow_mut().retain(|key, _| keys.contains(key));
        self.slots.on_upstreams(keys);
    }

    /// Applies a new list of the VMs in the failure domain's capacity ledger.
    pub fn on_members(self: &Rc<Self>, members: Members) {
        self.slots.on_members(members);
    }

    /// Returns the slots that this VM shares, to serve the messages of the other VMs.
    pub fn slots(&self) -> &Rc<Slots> {
        &self.slots
    }

    /// Records whether `source` reports that a backend server is leaving.
    pub fn set_leaving(&self, key: &UpstreamKey, source: LeavingSource, leaving: bool) {
        if leaving {
            self.mark_leaving(key, source, None);
        } else if self.leaving.unmark(key, source) {
            self.cx
                .steering
                .borrow_mut()
                .on_upstream_leaving(&key.service, &key.upstream, false);
        }
    }

    /// Runs periodic work: probes the upstreams of which this VM is the home, removes expired
    /// leaving marks, closes idle connections and updates the gauges. Call it about once a second.
    pub fn tick(self: &Rc<Self>) {
        self.probe_upstreams();
        let now = self.cx.clock.now();
        for key in self.leaving.expire(now) {
            self.cx
                .steering
                .borrow_mut()
                .on_upstream_leaving(&key.service, &key.upstream, false);
        }
        for (key, upstream) in self.pools.borrow().iter() {
            upstream.pool.sweep();
            let gauge = self
                .metrics
                .slots
                .with_label_values(&[key.service.as_str(), key.upstream.as_str()]);
            gauge.set(self.slots.own_use(key) as i64);
        }
        for service in self.plan().services.keys() {
            for class in Class::ALL {
                let labels = [service.as_str(), class.as_str()];
                let gauge = self.metrics.queued.with_label_values(&labels);
                gauge.set(self.queues.len(service, class) as i64);
            }
        }
        let remembered = self.metrics.remembered.with_label_values(&[] as &[&str]);
        remembered.set(self.records.len() as i64);
    }

    /// Issues a ticket for the response to a look-up. A request to `service` that bears the ticket
    /// runs on this VM, at most once.
    pub fn new_ticket(&self, service: &ServiceName) -> String {
        let ticket = Ticket {
            owner: self.cx.own.clone(),
            service: service.clone(),
            expires: self.cx.clock.now() + self.cx.settings.ticket_ttl,
            nonce: self.cx.rng.borrow_mut().u64(..),
        };
        ticket.to_text(&self.tokens)
    }

    /// Returns the number of requests whose responses have not been delivered completely.
    pub fn in_flight(&self) -> usize {
        self.in_flight.count.get()
    }

    /// Waits until no request is in flight, for at most `limit` milliseconds.
    pub async fn wait_idle(&self, limit: Millis) -> DrainReport {
        let started = self.cx.clock.now();
        while self.in_flight() > 0 {
            let elapsed = self.cx.clock.now().since(started);
            if elapsed >= limit {
                break;
            }
            let idle = self.in_flight.idle.borrow().clone();
            self.cx.timer.limit(limit - elapsed, idle.wait()).await;
        }
        DrainReport {
            took: self.cx.clock.now().since(started),
            remaining: self.in_flight(),
        }
    }

    /// Handles a request and returns its response.
    pub async fn handle(self: Rc<Self>, req: Request) -> Response {
        let started = self.cx.clock.now();
        let cancelled = req.cancelled.clone();
        let service = req.head.headers.get(SERVICE_HEADER).cloned();
        let flight = self.track_in_flight();
        let responding = pin!(self.respond(req, started, flight));
        let (class, result) = match select(responding, cancelled.wait()).await {
            Either::Left((answered, _)) => answered,
            // The caller has disconnected. Dropping the request's future removes it from its
            // queue, releases its slot and closes the upstream connection, which tells the backend
            // server to stop.
            Either::Right(((), _)) => (Class::default(), Ok(client_closed_response())),
        };
        let response = result.unwrap_or_else(|refusal| refusal.to_response());
        let known_service = service
            .as_ref()
            .and_then(|name| name.to_str().ok())
            .filter(|name| self.plan().services.contains_key(*name));
        self.record_metrics(known_service.unwrap_or(""), class, &response, started);
        response
    }

    async fn respond(
        self: &Rc<Self>,
        req: Request,
        started: Millis,
        flight: InFlightGuard,
    ) -> (Class, Result<Response, Refusal>) {
        let mut exchange = Exchange {
            head: req.head,
            payload: Payload::Streamed(Some(req.body)),
            cancelled: req.cancelled,
            started,
        };
        let call = match self.parse_call(&mut exchange.head, started) {
            Ok(call) => call,
            Err(refusal) => return (Class::default(), Err(refusal)),
        };
        let class = call.class;
        (class, self.dispatch(call, exchange, flight).await)
    }

    async fn dispatch(
        self: &Rc<Self>,
        call: Call,
        mut exchange: Exchange,
        flight: InFlightGuard,
    ) -> Result<Response, Refusal> {
        let settings = call.settings();
        exchange
            .payload
            .prepare(settings.max_body, self.cx.settings.buffered_request_limit)
            .await?;
        let granted = matches!(
            call.hop.as_ref().map(|hop| &hop.reason),
            Some(HopReason::Grant(_))
        );
        match call.key.clone() {
            // For a request forwarded under a grant, the previous daemon keeps the record.
            Some(key) if !granted => self.run_once(call, exchange, key, flight).await,
            _ => self.run(&call, exchange, flight).await,
        }
    }

    fn parse_call(&self, head: &mut RequestHead, now: Millis) -> Result<Call, Refusal> {
        let plan = self.plan();
        if plan.revision == Revision::NONE {
            let refusal = Refusal::not_run(Reason::NoSettings, "no settings are in force yet");
            return Err(refusal.retry_after(Millis(1_000)));
        }
        let hop = Hop::from_head(head, &self.tokens, &self.cx.own.vm);
        let hop = hop.map_err(|error| Refusal::not_run(Reason::BadRequest, error.to_string()))?;
        head.headers.remove(crate::hop::HOP_HEADER);
        Call::from_head(head, plan, hop, now, self.cx.settings.max_deadline)
    }

    pub(crate) fn plan(&self) -> Arc<Plan> {
        Arc::clone(self.cx.steering.borrow().plan())
    }

    pub(crate) fn track_in_flight(&self) -> InFlightGuard {
        self.in_flight.count.set(self.in_flight.count.get() + 1);
        InFlightGuard {
            in_flight: Rc::clone(&self.in_flight),
        }
    }

    pub(crate) fn mark_leaving(
        &self,
        key: &UpstreamKey,
        source: LeavingSource,
        until: Option<Millis>,
    ) {
        if self.leaving.mark(key, source, until) {
            log::info!(service = key.service.as_str(), upstream = key.upstream.as_str(), source:? = source; "backend server is leaving");
            self.cx
                .steering
                .borrow_mut()
                .on_upstream_leaving(&key.service, &key.upstream, true);
        }
    }

    /// Returns the number of slots of an upstream that may be used now, zero if it accepts no new
    /// work.
    pub(crate) fn slot_limit(&self, key: &UpstreamKey) -> usize {
        let plan = self.plan();
        let service = plan.services.get(&key.service);
        let upstream = service.and_then(|s| s.upstreams.iter().find(|u| u.name == key.upstream));
        match upstream {
            Some(u) if !u.draining && !self.leaving.is_leaving(key) => usize::from(u.slots),
            _ => 0,
        }
    }

    /// Returns whether an upstream lies in this VM's failure domain.
    pub(crate) fn is_local(&self, plan: &Plan, upstream: &UpstreamPlan) -> bool {
        let place = plan.places.get(&upstream.place);
        place.is_some_and(|place| place.domain == self.cx.domain)
    }

    /// Returns the upstreams in this VM's failure domain.
    pub(crate) fn local_upstreams(&self, plan: &Plan) -> HashSet<UpstreamKey> {
        let mut keys = HashSet::new();
        for (name, service) in &plan.services {
            for upstream in service.upstreams.iter().filter(|u| self.is_local(plan, u)) {
                keys.insert(UpstreamKey::new(name.clone(), upstream.name.clone()));
            }
        }
        keys
    }

    fn record_metrics(&self, service: &str, class: Class, response: &Response, started: Millis) {
        let header = |name: &str| {
            let value = response.headers.get(name);
            value.and_then(|v| v.to_str().ok()).unwrap_or("").to_owned()
        };
        let took = self.cx.clock.now().since(started);
        let (outcome, reason) = (header(OUTCOME_HEADER), header(REASON_HEADER.as_str()));
        self.metrics
            .request(service, class, &outcome, &reason, took);
    }
}

fn client_closed_response() -> Response {
    let status = StatusCode::from_u16(CLIENT_CLOSED_REQUEST).expect("499 is a valid status code");
    Response::new(status, Body::empty())
}

fn slot_context(cx: &GatewayContext, gateway: &Weak<Gateway>) -> SlotContext {
    let (limit_gateway, leaving_gateway) = (gateway.clone(), gateway.clone());
    let leaving_ttl = cx.settings.leaving_ttl;
    let clock = cx.clock.clone();
    SlotContext {
        own: cx.own.clone(),
        port: cx.slot_port.clone(),
        limit: Rc::new(move |key| limit_gateway.upgrade().map_or(0, |g| g.slot_limit(key))),
        on_leaving: Rc::new(move |key| {
            if let Some(gateway) = leaving_gateway.upgrade() {
                let until = clock.now() + leaving_ttl;
                gateway.mark_leaving(key, LeavingSource::Answer, Some(until));
            }
        }),
        clock: cx.clock.clone(),
        timer: cx.timer.clone(),
        timing: cx.settings.slots,
    }
}

impl fmt::Debug for Gateway {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gateway")
            .field("own", &self.cx.own)
            .field("in_flight", &self.in_flight())
            .finish_non_exhaustive()
    }
}
