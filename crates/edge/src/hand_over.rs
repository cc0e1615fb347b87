//! Hands a request to the home of its backend server, and takes in what others hand over.
//!
//! The VM that the caller connected to decides everything that must be decided once or alike for
//! a region: the route, the part of a split, where the object is served. The home picks the
//! server by load, sends, and refuses. It declines what it would route by another configuration,
//! and the request is then served as if it had no home, so no request is handled by an older
//! configuration than its VM has used before.
//!
//! A request that may run once stays so: where the connection to the home breaks after a byte
//! went out, nobody sends the request again, and the caller is told that it may have run.

use std::pin::pin;
use std::rc::Rc;

use futures_util::future::{Either, select};
use heatherknot_http::{Handed, Request, RequestHead, Response, SendError, SendOptions};
use heatherknot_types::prelude::*;
use http::{HeaderName, HeaderValue, StatusCode};

use crate::attempt;
use crate::call::{self, Call, Unroutable};
use crate::context::EdgeContext;
use crate::forward::{self, Tries};
use crate::homes::{HomePeer, HomeVm};
use crate::pick;
use crate::poison::guard;
use crate::reply;
use crate::switches::Mechanism;
use crate::upstream::{ServerLoad, Upstream};

/// The header by which a VM hands a request over: a token that shows that it holds the deployment's
/// secret, the version of its configuration, the service and the backend server, with spaces
/// between them. The system removes it from callers' requests.
pub const HANDED: &str = "heatherknot-handed";
/// The header of an answer by which a home declines a request that it has not begun.
const DECLINED: &str = "heatherknot-declined";

/// What another VM has decided of a request that it hands over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandOverHeader {
    /// The version of the configuration that chose the route.
    pub version: u64,
    /// The service that runs it.
    pub service: ServiceName,
    /// The first backend server of its object's rank.
    pub server: UpstreamName,
}

impl HandOverHeader {
    /// Reads the header's value; nothing where its token is another one.
    pub fn parse(text: &str, token: &str) -> Option<Self> {
        let mut words = text.split(' ');
        if !constant_time_eq(words.next()?, token) {
            return None;
        }
        let version = words.next()?.parse().ok()?;
        let (service, server) = (words.next()?, words.next()?);
        let is_whole = words.next().is_none() && !service.is_empty() && !server.is_empty();
        is_whole.then(|| Self {
            version,
            service: service.into(),
            server: server.into(),
        })
    }

    /// Writes the header's value, where the names can stand in one.
    pub fn to_value(&self, token: &str) -> Option<HeaderValue> {
        let text = format!("{token} {} {} {}", self.version, self.service, self.server);
        let value = HeaderValue::from_str(&text).ok()?;
        (Self::parse(&text, token).as_ref() == Some(self)).then_some(value)
    }
}

/// Compares two tokens in a time that doesn't tell how much of them is the same.
pub(crate) fn constant_time_eq(one: &str, other: &str) -> bool {
    let pairs = one.bytes().zip(other.bytes());
    one.len() == other.len() && pairs.fold(0, |differs, (a, b)| differs | (a ^ b)) == 0
}

/// What came of handing a request over.
enum Outcome {
    /// The home's answer.
    Answered(Response),
    /// The home has not begun it, or no byte of it reached the home.
    NotBegun(&'static str),
    /// It may have run, and there is no usable answer.
    Unknown(&'static str),
    /// The same, as the connection to the home broke.
    Broken(&'static str),
    /// The time ran out.
    Late,
    /// The caller has disconnected.
    CallerGone,
}

impl Outcome {
    /// Gives the value of the metric's label.
    fn label(&self) -> &'static str {
        match self {
            Outcome::Answered(_) => "answered",
            Outcome::NotBegun(_) => "not-begun",
            Outcome::Unknown(_) | Outcome::Broken(_) => "unknown",
            Outcome::Late => "late",
            Outcome::CallerGone => "caller-gone",
        }
    }

    /// Gives why there is no answer, for the log.
    fn cause(&self) -> &'static str {
        match self {
            Outcome::NotBegun(cause) | Outcome::Unknown(cause) | Outcome::Broken(cause) => cause,
            Outcome::Answered(_) | Outcome::Late | Outcome::CallerGone => "",
        }
    }
}

/// Hands a request to the home of its server, where that is of use. Gives the answer for the
/// caller, or nothing where the request is still to be served here.
pub(crate) async fn hand_over(
    cx: &Rc<EdgeContext>,
    call: &mut Call,
    tries: &mut Tries,
) -> Option<Response> {
    let (upstream, home) = wanted_home(cx, call)?;
    let clock = &cx.timer.clock;
    let peer = cx.homes.peer(&home, &cx.dialect, clock);
    if !peer.is_reachable(cx.now()) {
        return None;
    }
    let began = cx.now();
    let _under_way = call.state.sent_by_region.start_request(&upstream.region);
    let outcome = send(cx, call, &peer, &upstream).await;
    let label = outcome.label();
    cx.metrics.handed.with_label_values(&[label]).inc();
    if !matches!(outcome, Outcome::Answered(_)) {
        log::info!(id = call.id(cx), home:% = home.vm, upstream:% = upstream.id, result = label, cause = outcome.cause(),
            took_ms = cx.now().since(began).0; "a request could not be handed over");
    }
    match outcome {
        Outcome::Answered(response) => Some(response),
        Outcome::NotBegun(_) => None,
        Outcome::Broken(cause) => {
            guard::investigate_broken_handover(cx, call, &peer);
            tries.note_may_have_run(cause);
            (!call.route.idempotent).then(|| reply::unknown(cause))
        }
        Outcome::Unknown(cause) => {
            tries.note_may_have_run(cause);
            (!call.route.idempotent).then(|| reply::unknown(cause))
        }
        Outcome::Late => Some(reply::timed_out()),
        Outcome::CallerGone => Some(reply::unknown("the caller has disconnected")),
    }
}

/// Gives the first server of a request's rank and that server's home, where the request is to be
/// handed over.
fn wanted_home(cx: &EdgeContext, call: &Call) -> Option<(Rc<Upstream>, HomeVm)> {
    if call.meant.is_some() || !goes_by_home(cx, call) {
        return None;
    }
    let first = pick::first(cx, call)?;
    let home = cx.homes.home_of(&first, &cx.vms.borrow())?;
    (home.vm != cx.cfg.vm).then_some((first, home))
}

/// Says whether a request goes by the home of its server, which may be this VM.
///
/// It does not where this VM asks the service's servers so often that it keeps connections to
/// them itself, and knows their load; nor where the request carries much, which would go through
/// the links of one VM more.
pub(crate) fn goes_by_home(cx: &EdgeContext, call: &Call) -> bool {
    let takes_part = cx.cfg.listen.handed.is_some() && cx.switches.is_on(Mechanism::HandOver);
    takes_part && !cx.route(&call.route.name).has_large_transfers() && is_seldom(cx, call)
}

/// Says whether objects may be put where this VM, as the home of their servers, likes: a request
/// came here over another VM, or this VM would hand it over if it were not the home itself.
pub(crate) fn may_put(cx: &EdgeContext, call: &Call) -> bool {
    cx.switches.is_on(Mechanism::Spread) && (call.meant.is_some() || goes_by_home(cx, call))
}

/// Says whether this VM has so few requests for each server of a service, in the time for which an
/// idle connection to one is kept, that most would open one.
fn is_seldom(cx: &EdgeContext, call: &Call) -> bool {
    let servers = cx.world.borrow().upstreams(&call.service).len();
    let asked = call.state.asked.borrow_mut().total(cx.now());
    asked < servers as f64 * cx.cfg.hand_over_below
}

async fn send(cx: &EdgeContext, call: &mut Call, peer: &HomePeer, to: &Upstream) -> Outcome {
    let Some(head) = head_for(cx, call, to) else {
        return Outcome::NotBegun("its names are no header value");
    };
    let Some(body) = call.body.take() else {
        return Outcome::NotBegun("its body can't be sent again");
    };
    let began = cx.now();
    let cancelled = call.cancelled.wait();
    let options = SendOptions {
        deadline: Some(call.deadline),
        idempotent: call.route.idempotent,
        new_connection: false,
    };
    let call = &*call;
    let exchange = pin!(async {
        match peer.pool.send(head, body, options).await {
            Ok(response) => answered(cx, call, peer, to, response, began).await,
            Err(error) => failed(cx, call, peer, &error),
        }
    });
    match select(exchange, cancelled).await {
        Either::Left((outcome, _)) => outcome,
        // Dropping the exchange closes its connection, by which the home notices.
        Either::Right(_) => Outcome::CallerGone,
    }
}

fn head_for(cx: &EdgeContext, call: &Call, to: &Upstream) -> Option<RequestHead> {
    let word = HandOverHeader {
        version: call.catalog.version,
        service: call.service.clone(),
        server: to.id.clone(),
    };
    let mut head = call.head.clone();
    let left = HeaderValue::from(call.left(cx.now()).0);
    head.headers.insert(&cx.dialect.headers.time_left, left);
    let handed = HeaderName::from_static(HANDED);
    head.headers
        .insert(handed, word.to_value(&cx.handed_token)?);
    Some(head)
}

async fn answered(
    cx: &EdgeContext,
    call: &Call,
    peer: &HomePeer,
    to: &Upstream,
    response: Response,
    began: Millis,
) -> Outcome {
    peer.record_success();
    if response.headers.contains_key(DECLINED) {
        return Outcome::NotBegun("the home declined it");
    }
    let told = response.headers.get(&cx.dialect.headers.server_load);
    if let Some(load) = told.and_then(|v| ServerLoad::parse(v.to_str().ok()?)) {
        let is_own = to.region == cx.region;
        let now = cx.now();
        if cx.route(&call.route.name).may_spill_over(cx.switches) {
            call.state.spill.record(is_own, load, now.since(began), now);
        }
    }
    if let Some(bytes) = response
        .body
        .known_len()
        .filter(|_| response.status.is_success())
    {
        let route = cx.route(&call.route.name);
        route.record_bytes(bytes + call.body.len());
    }
    match attempt::hold(call, cx, response).await {
        Ok(response) => Outcome::Answered(response),
        Err(cause) => Outcome::Unknown(cause),
    }
}

fn failed(cx: &EdgeContext, call: &Call, peer: &HomePeer, error: &SendError) -> Outcome {
    let now = cx.now();
    log::debug!(id = call.id(cx), home:% = peer.pool.address(), error:% = error; "a request was not handed over");
    let is_callers = matches!(error, SendError::RequestBody { .. });
    if !is_callers && !error.is_stale_connection() {
        peer.record_failure(now);
    }
    match (error.handed(), now >= call.deadline) {
        (Handed::NotSent, _) => Outcome::NotBegun("its home could not be reached"),
        (Handed::MaySent, true) => Outcome::Late,
        (Handed::MaySent, false) => Outcome::Broken("the connection to its server's home broke"),
    }
}

/// Answers a request that another VM has handed over.
pub(crate) async fn handle(cx: Rc<EdgeContext>, mut req: Request) -> Response {
    let value = req.head.headers.remove(HANDED);
    let word = value.and_then(|v| HandOverHeader::parse(v.to_str().ok()?, &cx.handed_token));
    let Some(word) = word else {
        return declined("it names no server, or holds no token of this deployment");
    };
    let version = cx.world.borrow().catalog().map(|catalog| catalog.version);
    if version != Some(word.version) {
        return declined("another configuration is in force here");
    }
    match call::admit(&cx, req, Some(word)).await {
        Ok(call) => forward::answer(&cx, call).await,
        Err(unroutable) => match &unroutable {
            Unroutable::Body(error) => reply::bad_body(error.status(), unroutable.cause()),
            _ => declined("it has no such route here"),
        },
    }
}

/// Declines a request of which nothing was begun. The VM that handed it over serves it.
fn declined(cause: &'static str) -> Response {
    let value = HeaderValue::from_static(cause);
    let response = Response::text(StatusCode::MISDIRECTED_REQUEST, cause);
    response.with_header(HeaderName::from_static(DECLINED), value)
}
