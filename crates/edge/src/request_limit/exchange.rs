//! Calls to the VMs that issue permits for requests to limited backend servers.

use std::rc::Rc;

use heatherknot_peer::options::CallOptions;
use heatherknot_peer::{MethodTable, PeerError};
use heatherknot_types::prelude::*;
use log::debug;

use super::messages::{PermitAnswer, PermitRequest};
use super::state::{RETRY_DELAY, RequestLimits};
use crate::context::EdgeContext;
use crate::presence;
use crate::upstream::Upstream;

/// RPC method that reports a limit and asks for a permit.
const METHOD: &str = "e.permit";
/// Timeout of a call; more than twice the round trip between regions. The request waits meanwhile.
const CALL_TIMEOUT: Millis = Millis(250);

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
        Ok(answer) => cx.request_limits.apply_answer(upstream, &answer),
        Err(error) => {
            debug!(vm:% = issuer, upstream:% = upstream.id, error:% = error; "asking for a permit failed");
            Err(RETRY_DELAY)
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
