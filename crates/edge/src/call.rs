//! State of a caller's request while this VM handles it, and its admission.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use heatherknot_http::{Body, BodyError, Flag, ReplayBudget, ReplayableBody, Request, RequestHead};
use heatherknot_types::hash;
use heatherknot_types::prelude::*;
use http::header::HOST;

use crate::accounts::{Account, AllowedRegions};
use crate::admission::returns;
use crate::catalog::{Catalog, Route};
use crate::context::{EdgeContext, ServiceState};
use crate::hand_over::{self, HandOverHeader, Purpose};
use crate::identify::{self, IdentifyError};
use crate::poison::fingerprint::{Fingerprint, Identity, KnownBody, quick_hash};
use crate::poison::suspects::placement_hash;
use crate::presence;
use crate::quota::meter::{OverLimit, Verdict};
use crate::rollout::state::VersionChoice;
use crate::switches::Mechanism;

/// Longest request body, in bytes, that is read completely before it is sent. Longer bodies are
/// streamed, so that their transfer over a slow link is not waited for twice.
const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Timeout of a request that states none.
const DEFAULT_TIMEOUT: Millis = Millis(30_000);
/// Longest time that a caller is taken to wait, whatever it states.
const MAX_CALLER_LEFT: Millis = Millis(60_000);

/// A caller's request that has been admitted.
pub(crate) struct Call {
    /// Route that matched the request.
    pub(crate) route: Arc<Route>,
    /// Configuration in which the route was found.
    pub(crate) catalog: Rc<Catalog>,
    /// Service that runs the request.
    pub(crate) service: ServiceName,
    /// This VM's state for that service.
    pub(crate) state: Rc<ServiceState>,
    /// Client account that the request belongs to, if any.
    pub(crate) account: Option<Arc<Account>>,
    /// Regions that may run the request.
    pub(crate) regions: AllowedRegions,
    /// Request head, without the caller's key.
    pub(crate) head: RequestHead,
    /// Request body.
    pub(crate) body: RequestBody,
    /// Hash of the request's object, or a random number if the request has none.
    pub(crate) object: u64,
    /// Whether servers crashed while running this request. If so, `object` is derived from its
    /// fingerprint and the request may go to any region.
    pub(crate) is_isolated: bool,
    /// Versions of the service that may run the request.
    pub(crate) versions: VersionChoice,
    /// Backend server that another VM ranked first before it handed the request over to this VM.
    pub(crate) assigned_server: Option<UpstreamName>,
    /// Whether another VM relayed the request because it can't reach its servers.
    pub(crate) is_relayed: bool,
    /// When the request head had been read.
    pub(crate) started: Millis,
    /// When the request has to be answered at the latest.
    pub(crate) deadline: Millis,
    /// When the caller gives up, which may be after `deadline`.
    pub(crate) caller_deadline: Millis,
    /// Whether the caller was refused before and returns in the time reserved for it.
    pub(crate) is_returning: bool,
    /// Fires when the caller disconnects.
    pub(crate) cancelled: Flag,
}

/// Request body, either in memory or still being read from the caller.
pub(crate) enum RequestBody {
    /// The complete body is in memory.
    Buffered(Bytes),
    /// The body is read from the caller while it is sent. It can be sent again as long as
    /// everything read so far fits into the memory for such bodies.
    Streamed(ReplayableBody),
}

impl RequestBody {
    async fn read_if_short(body: Body, room: &Rc<ReplayBudget>) -> Result<Self, BodyError> {
        match body.known_len() {
            Some(len) if len <= MAX_BUFFERED_BODY_BYTES as u64 => {
                Ok(Self::Buffered(body.collect(MAX_BUFFERED_BODY_BYTES).await?))
            }
            _ => Ok(Self::Streamed(ReplayableBody::new(body, room))),
        }
    }

    /// Returns the length of the whole body in bytes, or zero if it is not known.
    pub(crate) fn len(&self) -> u64 {
        match self {
            RequestBody::Buffered(bytes) => bytes.len() as u64,
            RequestBody::Streamed(kept) => kept.known_len().unwrap_or(0),
        }
    }

    /// Returns what is known of the body so far.
    fn known_content(&self) -> KnownBody {
        match self {
            RequestBody::Buffered(bytes) => KnownBody::Whole(vec![bytes.clone()]),
            RequestBody::Streamed(kept) => match kept.complete_chunks() {
                Some(chunks) => KnownBody::Whole(chunks),
                None => KnownBody::Length(kept.known_len()),
            },
        }
    }

    /// Reads the rest of a streamed body if its length is known and all of it can be kept in
    /// memory.
    pub(crate) async fn read_rest(&self) {
        if let RequestBody::Streamed(kept) = self {
            kept.read_rest().await;
        }
    }

    /// Returns whether the body can be sent from its first byte on.
    pub(crate) fn can_send(&self) -> bool {
        match self {
            RequestBody::Buffered(_) => true,
            RequestBody::Streamed(kept) => kept.is_replayable(),
        }
    }

    /// Returns the body for one send, or `None` if it can't be sent again.
    pub(crate) fn body_for_send(&self) -> Option<Body> {
        match self {
            RequestBody::Buffered(bytes) => Some(Body::full(bytes.clone())),
            RequestBody::Streamed(kept) => kept.replay(),
        }
    }
}

impl Call {
    /// Returns the identifier that the caller gave the request, for log lines.
    pub(crate) fn id<'a>(&'a self, cx: &EdgeContext) -> &'a str {
        request_id(cx, &self.head)
    }

    /// Makes the request's placement follow its fingerprint instead of its object.
    pub(crate) fn isolate(&mut self, fingerprint: &Fingerprint) {
        self.object = placement_hash(fingerprint);
        self.is_isolated = true;
        // A crash under it would count against a target version.
        self.versions = VersionChoice::InUse;
    }

    /// Returns the fingerprint that identifies the request across the caller's attempts.
    pub(crate) fn fingerprint(&self, cx: &EdgeContext) -> Fingerprint {
        self.fingerprint_with(cx, &self.body.known_content())
    }

    /// Returns all fingerprints under which the request may have been recorded. If a server crashed
    /// before a long body had been read completely, only its length was part of the fingerprint.
    pub(crate) fn fingerprints(&self, cx: &EdgeContext) -> Vec<Fingerprint> {
        let known = self.body.known_content();
        let mut all = vec![self.fingerprint_with(cx, &known)];
        if let (RequestBody::Streamed(kept), KnownBody::Whole(_)) = (&self.body, &known) {
            let length_only = KnownBody::Length(kept.known_len());
            all.push(self.fingerprint_with(cx, &length_only));
        }
        all
    }

    fn fingerprint_with(&self, cx: &EdgeContext, body: &KnownBody) -> Fingerprint {
        self.with_identity(cx, body, Fingerprint::of)
    }

    /// Returns a cheap hash that tells the request from nearly all others.
    pub(crate) fn quick_hash(&self, cx: &EdgeContext) -> u64 {
        // What is known of a streamed body changes while it is read, so only its length is hashed.
        let body = match &self.body {
            RequestBody::Buffered(_) => self.body.known_content(),
            RequestBody::Streamed(kept) => KnownBody::Length(kept.known_len()),
        };
        self.with_identity(cx, &body, |identity| {
            quick_hash(identity, cx.poison.hash_key())
        })
    }

    fn with_identity<T>(
        &self,
        cx: &EdgeContext,
        body: &KnownBody,
        compute: impl FnOnce(&Identity<'_>) -> T,
    ) -> T {
        let object = (cx.dialect.object)(&self.head.headers);
        compute(&Identity {
            head: &self.head,
            account: self.account.as_ref().map(|account| account.name.as_str()),
            object: object.as_deref(),
            body,
        })
    }

    /// Returns the time from `now` until the deadline.
    pub(crate) fn time_left(&self, now: Millis) -> Millis {
        self.deadline.since(now)
    }
}

/// Why a request was not admitted.
pub(crate) enum AdmitError {
    /// The daemon has no configuration yet.
    NoCatalog,
    /// No route matches.
    NoRoute,
    /// No route matches, but the configuration has routes that could not be read.
    UnreadableRoute,
    /// No route or client account matches, but the local copy is stale and may lack it.
    StaleCopy,
    /// The route has no service.
    NoTarget,
    /// The request's client account could not be determined.
    Unidentified(IdentifyError),
    /// The route and the client account have no allowed region in common.
    NoRegion,
    /// The client account is over its request limit.
    OverLimit(Arc<Account>, OverLimit),
    /// The request body could not be read.
    Body(BodyError),
}

/// Returns the identifier that the caller gave a request, for log lines.
pub(crate) fn request_id<'a>(cx: &EdgeContext, head: &'a RequestHead) -> &'a str {
    let id = head.headers.get(&cx.dialect.headers.request_id);
    id.and_then(|id| id.to_str().ok()).unwrap_or("")
}

impl AdmitError {
    /// Returns the cause as used in log lines, metrics and responses.
    pub(crate) fn cause(&self) -> &'static str {
        match self {
            Self::NoCatalog => "no configuration yet",
            Self::NoRoute => "no route takes this host and path",
            Self::UnreadableRoute => "its route may be one that can't be read",
            Self::StaleCopy => "its route or account may have been added since the last update",
            Self::NoTarget => "the route has no service",
            Self::Unidentified(IdentifyError::NoAccount) => "it bears no key of a client account",
            Self::Unidentified(IdentifyError::UnreadableAccount) => {
                "its key may be that of an account that can't be read"
            }
            Self::NoRegion => "its route and its account allow no region in common",
            Self::OverLimit(..) => "its client account is over its limit",
            Self::Body(_) => "the body could not be read",
        }
    }
}

/// Returns whether a pipelined request may be handled while an earlier one of its connection is
/// still in progress. Only requests that may run more than once qualify.
pub(crate) fn may_pipeline(cx: &EdgeContext, head: &RequestHead) -> bool {
    let catalog = cx.routing_state.borrow().catalog().cloned();
    catalog.is_some_and(|catalog| find_route(&catalog, head).is_some_and(|r| r.idempotent))
}

/// Returns the route that matches a request.
pub(crate) fn find_route<'a>(catalog: &'a Catalog, head: &RequestHead) -> Option<&'a Arc<Route>> {
    let host = head.headers.get(HOST).and_then(|v| v.to_str().ok());
    catalog.route(host.unwrap_or(""), head.path())
}

/// Route of a request, with its client account and allowed regions.
struct Routed {
    catalog: Rc<Catalog>,
    route: Arc<Route>,
    account: Option<Arc<Account>>,
    regions: AllowedRegions,
}

/// Finds the route and the client account of a request, and replaces the caller's key in the head
/// by the name of the account.
fn route_request(
    cx: &EdgeContext,
    head: &mut RequestHead,
    is_handed_over: bool,
) -> Result<Routed, AdmitError> {
    let catalog = cx.routing_state.borrow().catalog().cloned();
    let catalog = catalog.ok_or(AdmitError::NoCatalog)?;
    let route = find_route(&catalog, head).cloned();
    let is_stale = || !cx.feed.is_fresh();
    let route = route.ok_or_else(|| match catalog.has_unmatchable_routes() {
        true => AdmitError::UnreadableRoute,
        false if is_stale() => AdmitError::StaleCopy,
        false => AdmitError::NoRoute,
    })?;
    let names = &cx.dialect.headers;
    let account = match is_handed_over {
        true => identify::account_named_by_peer(&catalog, &route, names, head),
        false => identify::identify(&catalog, &route, names, head),
    };
    let account = account.map_err(|error| match error {
        IdentifyError::NoAccount if is_stale() => AdmitError::StaleCopy,
        error => AdmitError::Unidentified(error),
    })?;
    identify::set_account_header(names, head, account.as_deref());
    let regions = allowed_regions(&route, account.as_deref());
    if regions.is_empty() {
        return Err(AdmitError::NoRegion);
    }
    if route.targets.is_empty() {
        return Err(AdmitError::NoTarget);
    }
    Ok(Routed {
        catalog,
        route,
        account,
        regions,
    })
}

/// Admits a request: finds its route, checks the account's limit, chooses the service and reads a
/// short body.
///
/// For a request that another VM handed over, that VM has already chosen the service and counted
/// the request for the route and the account.
pub(crate) async fn admit(
    cx: &EdgeContext,
    req: Request,
    handed: Option<HandOverHeader>,
) -> Result<Call, AdmitError> {
    let started = cx.now();
    let mut head = req.head;
    let Routed {
        catalog,
        route,
        account,
        regions,
    } = route_request(cx, &mut head, handed.is_some())?;
    if handed.is_none() {
        enforce_account_limit(cx, account.as_ref(), &route, &head)?;
    }
    let service = match &handed {
        Some(header) => allowed_service(&route, &header.service),
        None => next_service(cx, &route),
    };
    let service = service.ok_or(AdmitError::NoTarget)?;
    let state = cx.service(&service);
    let (timeout, caller_left) = time_limits(cx, &mut head, &route, handed.is_some());
    let object = object_hash(cx, &head);
    let versions = choose_versions(cx, &service, object, &head, handed.as_ref());
    if handed.is_none() {
        state.recent_requests.borrow_mut().add(started, 1.0);
        cx.route(&route.name).record_request(object, started);
    }
    let body = RequestBody::read_if_short(req.body, &cx.body_memory).await;
    let body = body.map_err(|error| {
        if let Some(account) = account.as_ref().filter(|_| handed.is_none()) {
            cx.quota.refund(account);
        }
        AdmitError::Body(error)
    })?;
    Ok(Call {
        route,
        catalog,
        service,
        state,
        account,
        regions,
        head,
        body,
        object,
        is_isolated: false,
        versions,
        is_relayed: handed
            .as_ref()
            .is_some_and(|header| header.purpose == Purpose::Relay),
        assigned_server: handed.map(|header| header.server),
        started,
        deadline: started + timeout,
        caller_deadline: started + caller_left,
        is_returning: false,
        cancelled: req.cancelled,
    })
}

/// Returns the time for which the caller still waits, if it states that.
fn stated_time_left(cx: &EdgeContext, head: &RequestHead) -> Option<Millis> {
    let value = head.headers.get(&cx.dialect.headers.time_left)?;
    value.to_str().ok()?.trim().parse().ok().map(Millis)
}

/// Returns whether the caller has probably been refused before, if load control is on.
fn is_probable_return(cx: &EdgeContext, route: &Route, head: &RequestHead) -> bool {
    if !cx.load_control.is_on() || !cx.switches.is_on(Mechanism::Returns) {
        return false;
    }
    let state = cx.route(&route.name);
    stated_time_left(cx, head).is_some_and(|left| state.caller_budget.record(left, cx.now()))
}

/// Returns the time in which a request has to be answered, and the time after which its caller gives
/// up.
fn time_limits(
    cx: &EdgeContext,
    head: &mut RequestHead,
    route: &Route,
    is_handed_over: bool,
) -> (Millis, Millis) {
    let requested = stated_time_left(cx, head);
    let timeout = requested.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    let told_by_peer = hand_over::take_caller_left(&mut head.headers);
    let caller_left = told_by_peer.filter(|_| is_handed_over).or(requested);
    (timeout, caller_left.unwrap_or(timeout).min(MAX_CALLER_LEFT))
}

/// Counts a request against its account's limit and rejects it if it exceeds the limit. Not called
/// for requests that were handed over, since the VM that received them has counted them.
fn enforce_account_limit(
    cx: &EdgeContext,
    account: Option<&Arc<Account>>,
    route: &Route,
    head: &RequestHead,
) -> Result<(), AdmitError> {
    let is_return = is_probable_return(cx, route, head);
    let Some(account) = account.filter(|_| cx.switches.is_on(Mechanism::Quota)) else {
        return Ok(());
    };
    if !cx.quota.knows_vms() {
        presence::refresh(cx);
    }
    let draw = cx.rng.borrow_mut().f64();
    let verdict = match is_return {
        true => cx.quota.admit_return(account, draw),
        false => cx.quota.admit(account, draw),
    };
    match verdict {
        Verdict::Admitted => Ok(()),
        Verdict::OverLimit(over) => {
            let left = stated_time_left(cx, head);
            let over = OverLimit {
                retry_after: returns::shorten_over_limit(cx, over.retry_after, left),
                ..over
            };
            Err(AdmitError::OverLimit(Arc::clone(account), over))
        }
    }
}

fn allowed_regions(route: &Route, account: Option<&Account>) -> AllowedRegions {
    let account_regions = account.map_or(&[][..], |account| &account.home_regions);
    AllowedRegions::intersect(&route.home_regions, account_regions)
}

/// Returns the service that another VM has chosen if it is a target of the route.
fn allowed_service(route: &Route, chosen: &ServiceName) -> Option<ServiceName> {
    let target = route.targets.iter().find(|t| t.service == *chosen);
    target.map(|target| target.service.clone())
}

/// Chooses the service of the route's next request.
fn next_service(cx: &EdgeContext, route: &Route) -> Option<ServiceName> {
    let target = match route.targets.as_slice() {
        [only] => Some(only),
        targets => {
            let mut splits = cx.splits.borrow_mut();
            let split = splits.entry(Arc::clone(&route.name)).or_default();
            split.next(targets)
        }
    };
    target.map(|target| target.service.clone())
}

/// Returns a hash of the request's object, or a random number if it has none, which spreads such
/// requests evenly.
///
/// The hash doesn't include the route because the routes of one service may share objects.
fn object_hash(cx: &EdgeContext, head: &RequestHead) -> u64 {
    match (cx.dialect.object)(&head.headers) {
        Some(object) => hash::digest(object.as_bytes()),
        None => cx.rng.borrow_mut().u64(..),
    }
}

/// Chooses the versions of a service that may run a request. For one that was handed over, the other
/// VM has chosen them.
fn choose_versions(
    cx: &EdgeContext,
    service: &ServiceName,
    object: u64,
    head: &RequestHead,
    handed: Option<&HandOverHeader>,
) -> VersionChoice {
    match handed {
        Some(header) => cx.rollouts.choice_of_peer(service, &header.server),
        None => cx.rollouts.choose(service, object, attempt_hash(cx, head)),
    }
}

/// Returns a hash that differs between all attempts of callers, or a random number if the request
/// has no identifier.
fn attempt_hash(cx: &EdgeContext, head: &RequestHead) -> u64 {
    match request_id(cx, head) {
        "" => cx.rng.borrow_mut().u64(..),
        id => hash::digest(id.as_bytes()),
    }
}
