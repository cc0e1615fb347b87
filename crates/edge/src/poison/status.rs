//! Lists suspected and rejected requests for operators and takes their releases.

use std::rc::Rc;
use std::sync::Arc;

use heatherknot_http::{Request, Response};
use heatherknot_types::prelude::*;
use http::header::AUTHORIZATION;
use http::{HeaderMap, Method, StatusCode};
use log::warn;
use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;
use super::records::{self, RejectionRecord};
use super::suspects::{SuspectEntry, Verdict};
use crate::context::EdgeContext;

/// The path on a daemon's metrics address that lists the requests.
pub const REJECTED_PATH: &str = "/rejected";
/// The path on a daemon's metrics address that takes releases.
pub const RELEASE_PATH: &str = "/rejected/release";
/// The purpose for which the operators' token is derived from the deployment's secret.
pub const RELEASE_PURPOSE: &str = "releases of rejected requests";
/// Maximum length of a release's body, in bytes.
const MAX_RELEASE_LEN: usize = 64 * 1024;

/// What one VM knows of a suspected or rejected request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SuspectStatus {
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// Whether it is rejected; otherwise it is suspected.
    pub is_rejected: bool,
    /// The name of its route.
    pub route: Arc<str>,
    /// Its client account, if it has one.
    pub account: Option<AccountName>,
    /// How many servers crashed during it.
    pub ends: usize,
    /// How long ago its entry last changed on this VM.
    pub changed_ms_ago: Millis,
    /// When its record was written to the store, in Unix seconds.
    pub written_s: Option<u64>,
    /// The VM that wrote the record.
    pub written_by: Option<VmName>,
    /// When the record expires, in Unix seconds.
    pub until_s: Option<u64>,
}

/// Which requests an operator releases.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReleaseTarget {
    /// The request with this fingerprint.
    Fingerprint(Fingerprint),
    /// All requests of this route.
    Route(Arc<str>),
    /// All requests.
    All,
}

/// An operator's release of requests, so that they may run again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReleaseRequest {
    /// Which requests are released.
    pub which: ReleaseTarget,
    /// Whether the answer only lists what would be released.
    pub dry_run: bool,
    /// The operator's name, for the audit trail.
    pub operator: String,
}

impl ReleaseTarget {
    fn matches(&self, entry: &SuspectEntry) -> bool {
        let request = &entry.suspect.request;
        match self {
            ReleaseTarget::Fingerprint(fingerprint) => request.fingerprint == *fingerprint,
            ReleaseTarget::Route(route) => request.route == *route,
            ReleaseTarget::All => true,
        }
    }
}

/// Handles a request for [`REJECTED_PATH`] or [`RELEASE_PATH`].
pub(crate) async fn handle(cx: &Rc<EdgeContext>, req: Request) -> Response {
    match (req.head.path(), &req.head.method) {
        (REJECTED_PATH, &Method::GET) => json(&statuses(cx, |_| true)),
        (RELEASE_PATH, &Method::POST) => release(cx, req).await,
        _ => Response::text(
            StatusCode::METHOD_NOT_ALLOWED,
            "GET to list, POST to release\n",
        ),
    }
}

async fn release(cx: &Rc<EdgeContext>, req: Request) -> Response {
    if !is_authorized(&req.head.headers, &cx.release_token) {
        return Response::text(
            StatusCode::UNAUTHORIZED,
            "the operator's word is missing or wrong\n",
        );
    }
    let body = req.body.collect(MAX_RELEASE_LEN).await;
    let body = match body {
        Ok(body) => body,
        Err(error) => return Response::text(error.status(), format!("{error}\n")),
    };
    let release: ReleaseRequest = match serde_json::from_slice(&body) {
        Ok(release) => release,
        Err(error) => {
            return Response::text(StatusCode::BAD_REQUEST, format!("release: {error}\n"));
        }
    };
    let released = statuses(cx, |entry| release.which.matches(entry));
    if !release.dry_run {
        for status in &released {
            warn!(fingerprint:% = status.fingerprint, route:% = status.route, ends = status.ends,
                operator = release.operator.as_str(); "request released by an operator");
            cx.poison.release(&status.fingerprint, &release.operator);
        }
    }
    json(&released)
}

/// Returns whether a request carries the operators' token. The comparison takes constant time.
fn is_authorized(headers: &HeaderMap, token: &str) -> bool {
    let given = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
    let given = given.and_then(|text| text.strip_prefix("Bearer "));
    given.is_some_and(|given| crate::hand_over::constant_time_eq(given, token))
}

/// Returns the status of all matching entries that have crashes, rejected requests first.
fn statuses(cx: &EdgeContext, is_match: impl Fn(&SuspectEntry) -> bool) -> Vec<SuspectStatus> {
    let suspects = cx.poison.suspects();
    let now = cx.now();
    let status = |entry: &SuspectEntry| {
        let request = &entry.suspect.request;
        let record = records::record_of(cx, &request.fingerprint);
        let verdict = suspects.verdict(&request.fingerprint);
        status_of(entry, verdict, record.as_ref(), now)
    };
    let with_crashes = suspects
        .entries()
        .filter(|entry| !entry.suspect.crashes.is_empty());
    let mut statuses: Vec<SuspectStatus> = with_crashes
        .filter(|entry| is_match(entry))
        .map(status)
        .collect();
    statuses.sort_by_key(|status| (!status.is_rejected, status.fingerprint));
    statuses
}

fn status_of(
    entry: &SuspectEntry,
    verdict: Verdict,
    record: Option<&RejectionRecord>,
    now: Millis,
) -> SuspectStatus {
    let request = &entry.suspect.request;
    SuspectStatus {
        fingerprint: request.fingerprint,
        is_rejected: verdict == Verdict::Rejected,
        route: Arc::clone(&request.route),
        account: request.account.clone(),
        ends: entry.suspect.crashes.len(),
        changed_ms_ago: now.since(entry.changed_at),
        written_s: record.map(|record| record.at_s),
        written_by: record.map(|record| record.by.clone()),
        until_s: record.map(|record| record.at_s + records::RETENTION_S),
    }
}

fn json(value: &impl Serialize) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => Response::json(StatusCode::OK, body),
        Err(error) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}
