//! The gateway: takes a request and gives its one answer.

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

/// The status of an answer that nobody waits for.
const CLIENT_CLOSED: u16 = 499;

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

/// The connections to one upstream, and what they were made for.
pub(crate) struct UpstreamPool {
    pub(crate) address: SocketAddr,
    pub(crate) max: usize,
    pub(crate) pool: Pool,
}

/// A request with its body, ready to be sent.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) head: RequestHead,
    pub(crate) payload: Payload,
    pub(crate) cancelled: Flag,
    pub(crate) started: Millis,
}

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainReport {
    /// How long it took until no request was in flight, or until time ran out.
    pub took: Millis,
    /// Requests still in flight then.
    pub remaining: usize,
}

#[derive(Default)]
struct InFlight {
    count: Cell<usize>,
    idle: RefCell<Flag>,
}

/// Counts a request as in flight until its answer has been passed on whole.
pub(crate) struct InFlightGuard {
    flights: Rc<InFlight>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let left = self.flights.count.get() - 1;
        self.flights.count.set(left);
        if left == 0 {
            self.flights.idle.take().fire();
        }
    }
}

impl Gateway {
    /// Makes a gateway that has no settings and no members yet.
    ///
    /// # Errors
    ///
    /// Returns an error where the registry already has the gateway's metrics.
    pub fn new(cx: GatewayContext) -> Result<Rc<Self>, prometheus::Error> {
        let metrics = GatewayMetrics::register(&cx.registry)?;
        let leaving = Rc::new(Leaving::default());
        let make = |weak: &Weak<Self>| Self {
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
        Ok(Rc::new_cyclic(make))
    }

    /// Takes over settings, and hands them to the decisions.
    pub fn on_plan(self: &Rc<Self>, plan: Arc<Plan>) {
        let now = self.cx.clock.now();
        let mut steering = self.cx.steering.borrow_mut();
        steering.on_plan(plan, now);
        let plan = Arc::clone(steering.plan());
        drop(steering);
        let keys = self.own_upstreams(&plan);
        self.pools.borrow_mut().retain(|key, _| keys.contains(key));
        self.slots.on_upstreams(keys);
    }

    /// Takes over the VMs of the failure domain's capacity ledger.
    pub fn on_members(self: &Rc<Self>, members: Members) {
        self.slots.on_members(members);
    }

    /// Gives this VM's part in the sharing of slots, to answer the other VMs' messages.
    pub fn slots(&self) -> &Rc<Slots> {
        &self.slots
    }

    /// Notes that `source` says that a backend server is leaving, or that it no longer does.
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

    /// Forgets what is past its time, sweeps idle connections, probes the upstreams of which
    /// this VM is the home and brings gauges up to date. Call it about once a second.
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

    /// Makes a ticket for a look-up answer: the bearer's request to `service` runs here, once.
    pub fn new_ticket(&self, service: &ServiceName) -> String {
        let ticket = Ticket {
            owner: self.cx.own.clone(),
            service: service.clone(),
            expires: self.cx.clock.now() + self.cx.settings.ticket_term,
            nonce: self.cx.rng.borrow_mut().u64(..),
        };
        ticket.to_text(&self.tokens)
    }

    /// Gives the number of requests whose answers have not been passed on whole.
    pub fn in_flight(&self) -> usize {
        self.in_flight.count.get()
    }

    /// Waits until no request is in flight, for at most `limit`.
    pub async fn wait_idle(&self, limit: Millis) -> DrainReport {
        let started = self.cx.clock.now();
        while self.in_flight() > 0 {
            let passed = self.cx.clock.now().since(started);
            if passed >= limit {
                break;
            }
            let idle = self.in_flight.idle.borrow().clone();
            self.cx.timer.limit(limit - passed, idle.wait()).await;
        }
        DrainReport {
            took: self.cx.clock.now().since(started),
            remaining: self.in_flight(),
        }
    }

    /// Answers a request.
    pub async fn handle(self: Rc<Self>, req: Request) -> Response {
        let started = self.cx.clock.now();
        let cancelled = req.cancelled.clone();
        let service = req.head.headers.get(SERVICE_HEADER).cloned();
        let flight = self.fly();
        let answering = pin!(self.answer(req, started, flight));
        let (class, result) = match select(answering, cancelled.wait()).await {
            Either::Left((answered, _)) => answered,
            // Dropping the request leaves its queue, gives its slot back and closes the
            // upstream connection, which tells the backend server to stop.
            Either::Right(((), _)) => (Class::default(), Ok(nobody_waits())),
        };
        let response = result.unwrap_or_else(|refusal| refusal.to_response());
        let known = service
            .as_ref()
            .and_then(|name| name.to_str().ok())
            .filter(|name| self.plan().services.contains_key(*name));
        self.count(known.unwrap_or(""), class, &response, started);
        response
    }

    async fn answer(
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
        let call = match self.read_call(&mut exchange.head, started) {
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
            .prepare(settings.max_body, self.cx.settings.replay_body)
            .await?;
        let granted = matches!(
            call.hop.as_ref().map(|hop| &hop.reason),
            Some(HopReason::Grant(_))
        );
        match call.key.clone() {
            // The daemon before keeps the record of a request that it hands over under a grant.
            Some(key) if !granted => self.run_once(call, exchange, key, flight).await,
            _ => self.run(&call, exchange, flight).await,
        }
    }

    fn read_call(&self, head: &mut RequestHead, now: Millis) -> Result<Call, Refusal> {
        let plan = self.plan();
        if plan.revision == Revision::NONE {
            let refusal = Refusal::not_run(Reason::NoSettings, "no settings are in force yet");
            return Err(refusal.retry_after(Millis(1_000)));
        }
        let hop = Hop::of_head(head, &self.tokens, &self.cx.own.vm);
        let hop = hop.map_err(|error| Refusal::not_run(Reason::BadRequest, error.to_string()))?;
        head.headers.remove(crate::hop::HOP_HEADER);
        Call::of_head(head, plan, hop, now, self.cx.settings.max_deadline)
    }

    pub(crate) fn plan(&self) -> Arc<Plan> {
        Arc::clone(self.cx.steering.borrow().plan())
    }

    pub(crate) fn fly(&self) -> InFlightGuard {
        self.in_flight.count.set(self.in_flight.count.get() + 1);
        InFlightGuard {
            flights: Rc::clone(&self.in_flight),
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

    /// Gives the slots of an upstream that may be used now.
    pub(crate) fn slot_limit(&self, key: &UpstreamKey) -> usize {
        let plan = self.plan();
        let service = plan.services.get(&key.service);
        let upstream = service.and_then(|s| s.upstreams.iter().find(|u| u.name == key.upstream));
        match upstream {
            Some(u) if !u.draining && !self.leaving.is_leaving(key) => usize::from(u.slots),
            _ => 0,
        }
    }

    /// Says whether an upstream lies in this VM's failure domain.
    pub(crate) fn is_own(&self, plan: &Plan, upstream: &UpstreamPlan) -> bool {
        let place = plan.places.get(&upstream.place);
        place.is_some_and(|place| place.domain == self.cx.domain)
    }

    /// Lists the upstreams of this VM's failure domain.
    pub(crate) fn own_upstreams(&self, plan: &Plan) -> HashSet<UpstreamKey> {
        let mut keys = HashSet::new();
        for (name, service) in &plan.services {
            for upstream in service.upstreams.iter().filter(|u| self.is_own(plan, u)) {
                keys.insert(UpstreamKey::new(name.clone(), upstream.name.clone()));
            }
        }
        keys
    }

    fn count(&self, service: &str, class: Class, response: &Response, started: Millis) {
        let text = |name: &str| {
            let value = response.headers.get(name);
            value.and_then(|v| v.to_str().ok()).unwrap_or("").to_owned()
        };
        let took = self.cx.clock.now().since(started);
        let (outcome, reason) = (text(OUTCOME_HEADER), text(REASON_HEADER.as_str()));
        self.metrics
            .request(service, class, &outcome, &reason, took);
    }
}

fn nobody_waits() -> Response {
    let status = StatusCode::from_u16(CLIENT_CLOSED).expect("499 is in range");
    Response::new(status, Body::empty())
}

fn slot_context(cx: &GatewayContext, gateway: &Weak<Gateway>) -> SlotContext {
    let (for_limit, for_leaving) = (gateway.clone(), gateway.clone());
    let leaving_ttl = cx.settings.leaving_ttl;
    let clock = cx.clock.clone();
    SlotContext {
        own: cx.own.clone(),
        port: cx.slot_port.clone(),
        limit: Rc::new(move |key| for_limit.upgrade().map_or(0, |g| g.slot_limit(key))),
        on_leaving: Rc::new(move |key| {
            if let Some(gateway) = for_leaving.upgrade() {
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
