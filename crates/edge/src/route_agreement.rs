//! Compares the parts of two configurations on which the handling of one request rests.
//!
//! While a change of the configuration spreads, two VMs may hold different versions. A VM that
//! hands a request over states a digest of the request's route, service and client account. If the
//! home VM finds the same rows for the request in its own configuration, both versions handle the
//! request alike, and the home may accept it.
//!
//! The keys of an account are not part of the digest. The VM that the caller connected to has
//! checked the key by its own version, and the home receives the account instead of the key.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use heatherknot_http::RequestHead;
use heatherknot_types::hash;
use heatherknot_types::prelude::*;
use http::HeaderValue;

use crate::accounts::{Account, RateLimit};
use crate::call;
use crate::catalog::{Catalog, Route, ServiceSpec, Target};
use crate::context::EdgeContext;
use crate::dialect::HeaderNames;
use crate::hand_over::{HandOverHeader, Purpose};
use crate::identify;
use crate::switches::Mechanism;

/// Header that states the digest of a request's rows beside the
/// [`HAND_OVER_HEADER`](crate::hand_over::HAND_OVER_HEADER). Daemons that don't know it remove it.
pub const AGREEMENT_HEADER: &str = "heatherknot-agreement";
/// Cause of a decline if the versions differ and nothing shows that they agree on the request.
const OTHER_VERSION: &str = "another configuration is in force here";
/// Cause of a decline if the configurations differ on the request.
const NO_AGREEMENT: &str = "its route, service or client account is configured differently here";
/// Length of the header's value, in hexadecimal digits.
const DIGEST_DIGITS: usize = 16;

/// Host and path prefix of a route, and the service of a request.
type RouteKey = (Arc<str>, Arc<str>, ServiceName);

/// The digests of one catalog's rows that were computed so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct RowDigests {
    /// By host and prefix rather than by name, which two invalid rows may share.
    routes: RefCell<HashMap<RouteKey, u64>>,
    accounts: RefCell<HashMap<AccountName, u64>>,
}

/// Returns the digest of what the handling of a request rests on: the rows of its route, of the
/// service that runs it and of its client account.
pub fn digest(
    catalog: &Catalog,
    route: &Route,
    service: &ServiceName,
    account: Option<&Account>,
) -> u64 {
    let digests = catalog.row_digests();
    let key = (
        Arc::clone(&route.host),
        Arc::clone(&route.prefix),
        service.clone(),
    );
    let mut routes = digests.routes.borrow_mut();
    let of_route = *routes
        .entry(key)
        .or_insert_with(|| route_digest(route, service, catalog.service(service)));
    let mut rows = Encoder::default();
    rows.number(of_route);
    rows.optional(account, |rows, account| {
        let mut accounts = digests.accounts.borrow_mut();
        let of_account = accounts.entry(account.name.clone());
        rows.number(*of_account.or_insert_with(|| account_digest(account)));
    });
    rows.digest()
}

/// Returns whether `catalog` matches a request that was handed over to rows with the digest
/// `stated`. The request is to run on `service`, and its head names the client account.
pub fn agrees(
    catalog: &Catalog,
    names: &HeaderNames,
    head: &RequestHead,
    service: &ServiceName,
    stated: u64,
) -> bool {
    let Some(route) = call::find_route(catalog, head) else {
        return false;
    };
    match identify::account_named_by_peer(catalog, route, names, head) {
        Ok(account) => digest(catalog, route, service, account.as_deref()) == stated,
        Err(_) => false,
    }
}

/// Returns whether hand-overs between different versions of the configuration may be accepted.
pub(crate) fn is_on(cx: &EdgeContext) -> bool {
    cx.load_control.is_on() && cx.switches.is_on(Mechanism::RouteAgreement)
}

/// Checks whether a request that was routed by another configuration is handled alike by the one in
/// force here. The VM that handed it over states the digest `stated`.
///
/// # Errors
///
/// Returns why the request is to be declined.
pub(crate) fn check(
    cx: &EdgeContext,
    head: &RequestHead,
    header: &HandOverHeader,
    stated: Option<u64>,
) -> Result<(), &'static str> {
    let catalog = cx.routing_state.borrow().catalog().cloned();
    let is_usable = header.purpose == Purpose::Home && is_on(cx);
    let (Some(catalog), Some(stated), true) = (catalog, stated, is_usable) else {
        return Err(OTHER_VERSION);
    };
    let names = &cx.dialect.headers;
    if !agrees(&catalog, names, head, &header.service, stated) {
        return Err(NO_AGREEMENT);
    }
    cx.metrics.home.accepted_across_versions.inc();
    log::debug!(id = call::request_id(cx, head), version = header.version, held = catalog.version;
        "accepted a request that another configuration routed alike");
    Ok(())
}

/// Formats the value of [`AGREEMENT_HEADER`].
pub fn to_value(digest: u64) -> Option<HeaderValue> {
    HeaderValue::try_from(format!("{digest:0DIGEST_DIGITS$x}")).ok()
}

/// Parses the value of [`AGREEMENT_HEADER`]. Returns `None` if it is malformed.
pub fn parse(value: &HeaderValue) -> Option<u64> {
    let text = value.to_str().ok()?;
    let is_digest = text.len() == DIGEST_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
    is_digest.then(|| u64::from_str_radix(text, 16).ok())?
}

// The rows are destructured so that a field can't be added without being encoded here.

fn route_digest(route: &Route, service: &ServiceName, spec: Option<&ServiceSpec>) -> u64 {
    let Route {
        name,
        host,
        prefix,
        targets,
        idempotent,
        attempts,
        timeout,
        latency_target,
        priority,
        home_regions,
        large_answers,
        large_bodies,
        sticky,
        public,
    } = route;
    let mut row = Encoder::default();
    row.text(name);
    row.text(host);
    row.text(prefix);
    row.number(targets.len() as u64);
    for Target { service, weight } in targets {
        row.text(service.as_str());
        row.number(u64::from(*weight));
    }
    row.number(u64::from(*attempts));
    row.number(timeout.0);
    row.number(latency_target.0);
    row.number(u64::from(*priority));
    row.regions(home_regions);
    for flag in [idempotent, large_answers, large_bodies, sticky, public] {
        row.number(u64::from(*flag));
    }
    row.text(service.as_str());
    row.optional(spec, |row, spec| {
        let ServiceSpec {
            name,
            cold_time,
            cold_rate,
        } = spec;
        row.text(name.as_str());
        row.number(cold_time.0);
        row.number(cold_rate.to_bits());
    });
    row.digest()
}

fn account_digest(account: &Account) -> u64 {
    let Account {
        name,
        priority,
        limit,
        home_regions,
    } = account;
    let mut row = Encoder::default();
    row.text(name.as_str());
    row.optional(priority.as_ref(), |row, priority| {
        row.number(u64::from(*priority));
    });
    row.optional(limit.as_ref(), |row, limit| {
        let RateLimit { per_second, burst } = limit;
        row.number(per_second.to_bits());
        row.number(burst.to_bits());
    });
    row.regions(home_regions);
    row.digest()
}

/// Encodes fields such that different rows have different bytes.
#[derive(Default)]
struct Encoder {
    bytes: Vec<u8>,
}

impl Encoder {
    fn number(&mut self, number: u64) {
        self.bytes.extend_from_slice(&number.to_le_bytes());
    }

    fn text(&mut self, text: &str) {
        self.number(text.len() as u64);
        self.bytes.extend_from_slice(text.as_bytes());
    }

    fn regions(&mut self, regions: &[RegionName]) {
        self.number(regions.len() as u64);
        regions.iter().for_each(|region| self.text(region.as_str()));
    }

    fn optional<T>(&mut self, value: Option<&T>, encode: impl FnOnce(&mut Self, &T)) {
        self.number(u64::from(value.is_some()));
        if let Some(value) = value {
            encode(self, value);
        }
    }

    fn digest(&self) -> u64 {
        hash::digest(&self.bytes)
    }
}
