//! What operators see of requests under which servers ended, and how they release them.

use std::rc::Rc;
use std::sync::Arc;

use heatherknot_http::{Request, Response};
use heatherknot_types::prelude::*;
use http::header::AUTHORIZATION;
use http::{HeaderMap, Method, StatusCode};
use log::warn;
use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;
use super::records::{self, Row};
use super::suspects::{Held, Standing};
use crate::context::EdgeContext;

/// Where a daemon tells of such requests, on its metrics address.
pub const REJECTED_PATH: &str = "/rejected";
/// Where it takes releases.
pub const RELEASE_PATH: &str = "/rejected/release";
/// What the word is made for by which operators release requests.
pub const RELEASE_PURPOSE: &str = "releases of rejected requests";
/// The longest release, in bytes.
const MAX_RELEASE: usize = 64 * 1024;

/// What one VM knows of one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SuspectStatus {
    /// Which request.
    pub fingerprint: Fingerprint,
    /// Whether it is rejected; else it is suspected.
    pub is_rejected: bool,
    /// Its route.
    pub route: Arc<str>,
    /// Its client account, where it is of one.
    pub account: Option<AccountName>,
    /// How many servers ended under it.
    pub ends: usize,
    /// How long ago this VM heard the last news of it.
    pub changed_ms_ago: Millis,
    /// When its row was written to the store, in Unix seconds, and by which VM.
    pub written_s: Option<u64>,
    /// The VM that wrote the row.
    pub written_by: Option<VmName>,
    /// When it is forgotten, in Unix seconds.
    pub until_s: Option<u64>,
}

/// What an operator wants to release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReleaseTarget {
    /// One request.
    Fingerprint(Fingerprint),
    /// All of a route.
    Route(Arc<str>),
    /// All.
    All,
}

/// A release of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReleaseRequest {
    /// Which.
    pub which: ReleaseTarget,
    /// Whether it is only to be told which they would be.
    pub dry_run: bool,
    /// Who releases them, for the audit trail.
    pub operator: String,
}

impl ReleaseTarget {
    fn holds(&self, held: &Held) -> bool {
        let subject = &held.case.subject;
        match self {
            ReleaseTarget::Fingerprint(fingerprint) => subject.fingerprint == *fingerprint,
            ReleaseTarget::Route(route) => subject.route == *route,
            ReleaseTarget::All => true,
        }
    }
}

/// Answers on the metrics address where the path is one of these; else gives nothing.
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
    if !is_operator(&req.head.headers, &cx.release_token) {
        return Response::text(
            StatusCode::UNAUTHORIZED,
            "the operator's word is missing or wrong\n",
        );
    }
    let body = req.body.collect(MAX_RELEASE).await;
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
    let released = statuses(cx, |held| release.which.holds(held));
    if !release.dry_run {
        for status in &released {
            warn!(fingerprint:% = status.fingerprint, route:% = status.route, ends = status.ends,
                operator = release.operator.as_str(); "an operator releases a request");
            cx.poison.release(&status.fingerprint, &release.operator);
        }
    }
    json(&released)
}

/// Says whether a request bears the operators' word, in a time that doesn't tell how much of it is
/// right.
fn is_operator(headers: &HeaderMap, token: &str) -> bool {
    let told = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
    let told = told.and_then(|text| text.strip_prefix("Bearer "));
    told.is_some_and(|told| crate::hand_over::constant_time_eq(told, token))
}

fn statuses(cx: &EdgeContext, is_wanted: impl Fn(&Held) -> bool) -> Vec<SuspectStatus> {
    let suspects = cx.poison.suspects();
    let now = cx.now();
    let of = |held: &Held| {
        let subject = &held.case.subject;
        let row = records::row_of(cx, &subject.fingerprint);
        let standing = suspects.standing(&subject.fingerprint);
        status_of(held, standing, row.as_ref(), now)
    };
    let known = suspects.all().filter(|held| !held.case.ends.is_empty());
    let mut all: Vec<SuspectStatus> = known.filter(|held| is_wanted(held)).map(of).collect();
    all.sort_by_key(|status| (!status.is_rejected, status.fingerprint));
    all
}

fn status_of(held: &Held, standing: Standing, row: Option<&Row>, now: Millis) -> SuspectStatus {
    let subject = &held.case.subject;
    SuspectStatus {
        fingerprint: subject.fingerprint,
        is_rejected: standing == Standing::Rejected,
        route: Arc::clone(&subject.route),
        account: subject.account.clone(),
        ends: held.case.ends.len(),
        changed_ms_ago: now.since(held.changed),
        written_s: row.map(|row| row.at_s),
        written_by: row.map(|row| row.by.clone()),
        until_s: row.map(|row| row.at_s + records::KEPT_FOR_S),
    }
}

fn json(answer: &impl Serialize) -> Response {
    match serde_json::to_vec(answer) {
        Ok(body) => Response::json(StatusCode::OK, body),
        Err(error) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}
