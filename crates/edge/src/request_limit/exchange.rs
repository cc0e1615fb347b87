//! Messages between the VMs that send requests to a limited backend server and the one that issues
//! the permits.

use std::rc::Rc;

use heatherknot_peer::options::CallOptions;
use heatherknot_peer::{MethodTable, PeerError};
use heatherknot_types::prelude::*;
use log::debug;
use serde::{Deserialize, Serialize};

use super::observed::Observation;
use super::record;
use super::state::RequestLimits;
use crate::context::EdgeContext;
use crate::presence;
use crate::upstream::Upstream;

/// RPC method that reports a limit and asks for a permit.
const METHOD: &str = "e.permit";
/// Timeout of a call; more than twice the round trip between regions. The request waits meanwhile.
const CALL_TIMEOUT: Millis = Millis(250);

/// An observation as it is sent to another VM, whose clock differs.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct Report {
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    limit: Option<f64>,
    #[serde(rename = "s")]
    sent_ago: Millis,
    #[serde(rename = "r")]
    received_ago: Millis,
}

impl Report {
    fn new(observation: Observation, now: Millis) -> Self {
        Self {
            limit: observation.limit,
            sent_ago: now.since(observation.sent_at),
            received_ago: now.since(observation.received_at),
        }
    }

    pub(super) fn to_observation(self, now: Millis) -> Observation {
        Observation {
            limit: self
                .limit
                .filter(|limit| limit.is_finite() && *limit >= 0.0),
            sent_at: now - self.sent_ago,
            received_at: now - self.received_ago,
        }
    }
}

/// Reports what a VM knows of a server's limit, and asks for a permit.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct PermitRequest {
    #[serde(rename = "u")]
    pub(super) upstream: UpstreamName,
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub(super) started_at: Option<Millis>,
    #[serde(rename = "o")]
    pub(super) report: Report,
    #[serde(rename = "w")]
    pub(super) wants_permit: bool,
}

impl PermitRequest {
    fn new(upstream: &Upstream, wants_permit: bool, now: Millis) -> Option<Self> {
        let state = upstream.request_limit.borrow();
        let observation = state.as_ref()?.observed.latest()?;
        Some(Self {
            upstream: upstream.id.clone(),
            started_at: upstream.started_at,
            report: Report::new(observation, now),
            wants_permit,
        })
    }
}

/// Answer to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct PermitAnswer {
    /// When to ask again; `None` if the permit is issued.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    wait: Option<Millis>,
    /// What the issuer knows of the limit.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    report: Option<Report>,
}

impl PermitAnswer {
    pub(super) fn new(result: Result<(), Millis>, upstream: &Upstream, now: Millis) -> Self {
        let state = upstream.request_limit.borrow();
        let observation = state.as_ref().and_then(|state| state.observed.latest());
        Self {
            wait: result.err(),
            report: observation.map(|observation| Report::new(observation, now)),
        }
    }

    pub(super) fn denied(wait: Millis) -> Self {
        Self {
            wait: Some(wait),
            report: None,
        }
    }
}

/// Registers the RPC method that reports a limit and asks for a permit.
pub(crate) fn register(methods: &mut MethodTable, limits: &Rc<RequestLimits>) {
    let limits = Rc::clone(limits);
    methods.register(METHOD, move |_, req: PermitRequest| {
        let answer = limits.answer(&req);
        async move { Ok(answer) }
    });
}

/// Asks VM `issuer` for a permit for a request to a server.
///
/// # Errors
///
/// Returns when to ask again if the VM issues no permit or doesn't answer in time.
pub(super) async fn ask(
    cx: &EdgeContext,
    issuer: &VmName,
    upstream: &Upstream,
    time_left: Millis,
) -> Result<(), Millis> {
    let Some(req) = PermitRequest::new(upstream, true, cx.now()) else {
        return Ok(());
    };
    match call(cx, issuer, &req, time_left).await {
        Ok(answer) => {
            if let Some(report) = answer.report {
                let observation = report.to_observation(cx.now());
                record::apply(&cx.request_limits, upstream, observation, "issuer");
            }
            answer.wait.map_or(Ok(()), Err)
        }
        Err(error) => {
            debug!(vm:% = issuer, upstream:% = upstream.id, error:% = error; "asking for a permit failed");
            Err(super::state::RETRY_DELAY)
        }
    }
}

/// Reports a change of a server's limit to the VM that issues its permits.
pub(super) async fn report(cx: Rc<EdgeContext>, upstream: Rc<Upstream>) {
    let issuer = cx.request_limits.issuer_of(&upstream);
    let issuer = issuer.filter(|issuer| *issuer != cx.cfg.vm);
    let req = PermitRequest::new(&upstream, false, cx.now());
    let Some((issuer, req)) = issuer.zip(req) else {
        return;
    };
    if let Err(error) = call(&cx, &issuer, &req, CALL_TIMEOUT).await {
        debug!(vm:% = issuer, upstream:% = upstream.id, error:% = error; "reporting a request limit failed");
    }
}

async fn call(
    cx: &EdgeContext,
    to: &VmName,
    req: &PermitRequest,
    time_left: Millis,
) -> Result<PermitAnswer, PeerError> {
    let opts = CallOptions::quick(CALL_TIMEOUT.min(time_left));
    match presence::peer_address(cx, to) {
        Some(at) => cx.net.call_address(at, METHOD, req, opts).await,
        None => cx.net.call_with(to, METHOD, req, opts).await,
    }
}
