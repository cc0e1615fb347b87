//! One request of a caller while this VM works on it.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use heatherknot_http::{Body, BodyError, Flag, KeepRoom, KeptBody, Request, RequestHead};
use heatherknot_types::hash;
use heatherknot_types::prelude::*;
use http::header::HOST;

use crate::accounts::{Account, AllowedRegions};
use crate::catalog::{Catalog, Route};
use crate::context::{EdgeContext, ServiceState};
use crate::hand_over::HandOverHeader;
use crate::identify::{self, IdentifyError};
use crate::poison::fingerprint::{Fingerprint, Identity, KnownBody, quick_hash};
use crate::poison::suspects::placement_hash;
use crate::presence;
use crate::quota::meter::{OverLimit, Verdict};
use crate::switches::Mechanism;

/// The longest request body that is read whole before it is sent. Longer ones are sent as they
/// come, so that a slow link is not waited for twice.
const HELD_BODY: usize = 64 * 1024;
/// The time for a request whose caller states none.
const DEFAULT_TIME: Millis = Millis(30_000);

/// One request of a caller.
pub(crate) struct Call {
    /// The route that it takes.
    pub(crate) route: Arc<Route>,
    /// The configuration that chose the route.
    pub(crate) catalog: Rc<Catalog>,
    /// The service that runs it.
    pub(crate) service: ServiceName,
    /// What is learned of that service.
    pub(crate) state: Rc<ServiceState>,
    /// The client account that it is of, where it is of one.
    pub(crate) account: Option<Arc<Account>>,
    /// The regions that may run it.
    pub(crate) regions: AllowedRegions,
    /// Its head, without the caller's key.
    pub(crate) head: RequestHead,
    /// Its body.
    pub(crate) body: HeldBody,
    /// Its object, or its identifier where it has none.
    pub(crate) object: u64,
    /// Whether servers ended under it, so that its fingerprint stands for its object and it may go
    /// to any region.
    pub(crate) is_apart: bool,
    /// The backend server that another VM has chosen for it by rank, where one handed it over.
    pub(crate) meant: Option<UpstreamName>,
    /// When its head was read.
    pub(crate) started: Millis,
    /// When it gets an answer at the latest.
    pub(crate) deadline: Millis,
    /// Fires when the caller disconnects.
    pub(crate) cancelled: Flag,
}

/// A request body.
pub(crate) enum HeldBody {
    /// All of it is here.
    Whole(Bytes),
    /// It is read while it is sent. It can be sent again as far as there is memory for it.
    Kept(KeptBody),
}

impl HeldBody {
    async fn hold(body: Body, room: &Rc<KeepRoom>) -> Result<Self, BodyError> {
        match body.known_len() {
            Some(len) if len <= HELD_BODY as u64 => Ok(Self::Whole(body.collect(HELD_BODY).await?)),
            _ => Ok(Self::Kept(KeptBody::new(body, room))),
        }
    }

    /// Gives the bytes of the whole body; zero where they were not told.
    pub(crate) fn len(&self) -> u64 {
        match self {
            HeldBody::Whole(bytes) => bytes.len() as u64,
            HeldBody::Kept(kept) => kept.known_len().unwrap_or(0),
        }
    }

    /// Gives the body as far as it is known.
    fn known(&self) -> KnownBody {
        match self {
            HeldBody::Whole(bytes) => KnownBody::Whole(vec![bytes.clone()]),
            HeldBody::Kept(kept) => match kept.whole() {
                Some(chunks) => KnownBody::Whole(chunks),
                None => KnownBody::Length(kept.known_len()),
            },
        }
    }

    /// Reads the rest of a long one, where it can be kept.
    pub(crate) async fn read_rest(&self) {
        if let HeldBody::Kept(kept) = self {
            kept.read_rest().await;
        }
    }

    /// Says whether it can be sent, or sent once more.
    pub(crate) fn is_there(&self) -> bool {
        match self {
            HeldBody::Whole(_) => true,
            HeldBody::Kept(kept) => kept.is_there(),
        }
    }

    /// Gives the body for one send, or nothing where it can't be sent once more.
    pub(crate) fn take(&self) -> Option<Body> {
        match self {
            HeldBody::Whole(bytes) => Some(Body::full(bytes.clone())),
            HeldBody::Kept(kept) => kept.take(),
        }
    }
}

impl Call {
    /// Gives the identifier that the caller gave the request, for log lines.
    pub(crate) fn id<'a>(&'a self, cx: &EdgeContext) -> &'a str {
        id_of(cx, &self.head)
    }

    /// Has it go where its fingerprint leads.
    pub(crate) fn set_apart(&mut self, fingerprint: &Fingerprint) {
        self.object = placement_hash(fingerprint);
        self.is_apart = true;
    }

    /// Tells it from other requests, whatever attempt of its caller it is.
    pub(crate) fn fingerprint(&self, cx: &EdgeContext) -> Fingerprint {
        self.fingerprint_with(cx, &self.body.known())
    }

    /// Gives the fingerprints under which it may be known. A server may have ended before all of a
    /// long body was there, so that only its length told the request from others.
    pub(crate) fn fingerprints(&self, cx: &EdgeContext) -> Vec<Fingerprint> {
        let known = self.body.known();
        let mut all = vec![self.fingerprint_with(cx, &known)];
        if let (HeldBody::Kept(kept), KnownBody::Whole(_)) = (&self.body, &known) {
            let by_length = KnownBody::Length(kept.known_len());
            all.push(self.fingerprint_with(cx, &by_length));
        }
        all
    }

    fn fingerprint_with(&self, cx: &EdgeContext, body: &KnownBody) -> Fingerprint {
        self.with_identity(cx, body, Fingerprint::of)
    }

    /// Gives a number by which nearly all other requests are told from it at hardly any cost.
    pub(crate) fn quick_hash(&self, cx: &EdgeContext) -> u64 {
        // What is known of a long body changes while it is read.
        let body = match &self.body {
            HeldBody::Whole(_) => self.body.known(),
            HeldBody::Kept(kept) => KnownBody::Length(kept.known_len()),
        };
        self.with_identity(cx, &body, |identity| {
            quick_hash(identity, cx.poison.hash_key())
        })
    }

    fn with_identity<T>(
        &self,
        cx: &EdgeContext,
        body: &KnownBody,
        make: impl FnOnce(&Identity<'_>) -> T,
    ) -> T {
        let object = (cx.dialect.object)(&self.head.headers);
        make(&Identity {
            head: &self.head,
            account: self.account.as_ref().map(|account| account.name.as_str()),
            object: object.as_deref(),
            body,
        })
    }

    /// Gives the time left at `now`.
    pub(crate) fn left(&self, now: Millis) -> Millis {
        self.deadline.since(now)
    }
}

/// Why a request gets no backend server.
pub(crate) enum Unroutable {
    /// No configuration is known yet.
    NoCatalog,
    /// No route takes it.
    NoRoute,
    /// No route takes it, but there are some that can't be read.
    UnreadRoute,
    /// Its route leads to no service.
    NoTarget,
    /// It is not known whose it is.
    Unidentified(IdentifyError),
    /// Its route and its client account allow no region in common.
    NoRegion,
    /// It goes beyond the limit of its client account.
    OverLimit(Arc<Account>, OverLimit),
    /// Its body could not be read.
    Body(BodyError),
}

/// Gives the identifier that the caller gave a request, for log lines.
pub(crate) fn id_of<'a>(cx: &EdgeContext, head: &'a RequestHead) -> &'a str {
    let id = head.headers.get(&cx.dialect.headers.request_id);
    id.and_then(|id| id.to_str().ok()).unwrap_or("")
}

impl Unroutable {
    /// Gives the cause, for log lines, metrics and the answer.
    pub(crate) fn cause(&self) -> &'static str {
        match self {
            Self::NoCatalog => "no configuration yet",
            Self::NoRoute => "no route takes this host and path",
            Self::UnreadRoute => "its route may be one that can't be read",
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

/// Says whether a request may be handled while an earlier one of its connection is: one that
/// may run more than once.
pub(crate) fn may_go_ahead(cx: &EdgeContext, head: &RequestHead) -> bool {
    let catalog = cx.world.borrow().catalog().cloned();
    catalog.is_some_and(|catalog| route_of(&catalog, head).is_some_and(|r| r.idempotent))
}

fn route_of<'a>(catalog: &'a Catalog, head: &RequestHead) -> Option<&'a Arc<Route>> {
    let host = head.headers.get(HOST).and_then(|v| v.to_str().ok());
    catalog.route(host.unwrap_or(""), head.path())
}

/// Where a request goes and whose it is.
struct Routed {
    catalog: Rc<Catalog>,
    route: Arc<Route>,
    account: Option<Arc<Account>>,
    regions: AllowedRegions,
}

/// Finds the route of a request and its client account, and takes the caller's key off it.
fn find_route(
    cx: &EdgeContext,
    head: &mut RequestHead,
    is_handed: bool,
) -> Result<Routed, Unroutable> {
    let catalog = cx.world.borrow().catalog().cloned();
    let catalog = catalog.ok_or(Unroutable::NoCatalog)?;
    let route = route_of(&catalog, head).cloned();
    let route = route.ok_or_else(|| match catalog.has_unmatchable_routes() {
        true => Unroutable::UnreadRoute,
        false => Unroutable::NoRoute,
    })?;
    let names = &cx.dialect.headers;
    let account = match is_handed {
        true => identify::account_named_by_peer(&catalog, &route, names, head),
        false => identify::identify(&catalog, &route, names, head),
    };
    let account = account.map_err(Unroutable::Unidentified)?;
    identify::set_account_header(names, head, account.as_deref());
    let regions = allowed_regions(&route, account.as_deref());
    if regions.is_empty() {
        return Err(Unroutable::NoRegion);
    }
    if route.targets.is_empty() {
        return Err(Unroutable::NoTarget);
    }
    Ok(Routed {
        catalog,
        route,
        account,
        regions,
    })
}

/// Admits a request that has a route and reads its body, where that is short. Where another VM
/// handed it over, that VM has chosen the service; it has counted the request for the route and
/// for its account, too.
pub(crate) async fn admit(
    cx: &EdgeContext,
    req: Request,
    handed: Option<HandOverHeader>,
) -> Result<Call, Unroutable> {
    let started = cx.now();
    let mut head = req.head;
    let Routed {
        catalog,
        route,
        account,
        regions,
    } = find_route(cx, &mut head, handed.is_some())?;
    if handed.is_none() {
        keep_to_limit(cx, account.as_ref())?;
    }
    let service = match &handed {
        Some(word) => allowed_service(&route, &word.service),
        None => next_service(cx, &route),
    };
    let service = service.ok_or(Unroutable::NoTarget)?;
    let state = cx.service(&service);
    let stated = head.headers.get(&cx.dialect.headers.time_left);
    let stated = stated.and_then(|v| v.to_str().ok()?.trim().parse().ok());
    let patience = stated.map_or(DEFAULT_TIME, Millis).min(route.timeout);
    let object = object_of(cx, &head);
    if handed.is_none() {
        state.asked.borrow_mut().add(started, 1.0);
        cx.route(&route.name).record_request(object, started);
    }
    let body = HeldBody::hold(req.body, &cx.kept_bodies).await;
    let body = body.map_err(|error| {
        if let Some(account) = account.as_ref().filter(|_| handed.is_none()) {
            cx.quota.refund(account);
        }
        Unroutable::Body(error)
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
        is_apart: false,
        meant: handed.map(|word| word.server),
        started,
        deadline: started + patience,
        cancelled: req.cancelled,
    })
}

/// Counts a request of an account, and refuses it where it goes beyond the account's limit. What
/// another VM has handed over it has counted, too.
fn keep_to_limit(cx: &EdgeContext, account: Option<&Arc<Account>>) -> Result<(), Unroutable> {
    let Some(account) = account.filter(|_| cx.switches.is_on(Mechanism::Quota)) else {
        return Ok(());
    };
    if !cx.quota.knows_vms() {
        presence::refresh(cx);
    }
    let draw = cx.rng.borrow_mut().f64();
    match cx.quota.admit(account, draw) {
        Verdict::Admitted => Ok(()),
        Verdict::OverLimit(over) => Err(Unroutable::OverLimit(Arc::clone(account), over)),
    }
}

fn allowed_regions(route: &Route, account: Option<&Account>) -> AllowedRegions {
    let of_account = account.map_or(&[][..], |account| &account.home_regions);
    AllowedRegions::intersect(&route.home_regions, of_account)
}

/// Gives a service that another VM has chosen, where the route leads to it.
fn allowed_service(route: &Route, chosen: &ServiceName) -> Option<ServiceName> {
    let target = route.targets.iter().find(|t| t.service == *chosen);
    target.map(|target| target.service.clone())
}

/// Gives the service of the route's next request.
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

/// Gives a number for the request's object. One without an object gets a number of its own,
/// which spreads such requests evenly.
///
/// The routes of one service may share objects, so the route is not part of it.
fn object_of(cx: &EdgeContext, head: &RequestHead) -> u64 {
    match (cx.dialect.object)(&head.headers) {
        Some(object) => hash::digest(object.as_bytes()),
        None => cx.rng.borrow_mut().u64(..),
    }
}
