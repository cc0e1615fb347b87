//! Obtains a permit for each send to a backend server with a request limit.

use std::rc::Rc;

use heatherknot_types::prelude::*;

use super::exchange;
use crate::call::Call;
use crate::context::EdgeContext;
use crate::switches::Mechanism;
use crate::upstream::Upstream;

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It may be sent; the decision took no time.
    Immediate,
    /// It may be sent; meanwhile other conditions may have changed.
    AfterWait,
    /// It may not be sent, because the server's limit is used up.
    Denied,
}

/// Returns whether a request may be sent to a server, and takes a permit if the server has a limit.
pub(crate) async fn acquire(cx: &EdgeContext, call: &Call, upstream: &Rc<Upstream>) -> Admission {
    if !upstream.is_limited() || !cx.switches.is_on(Mechanism::RequestLimits) {
        return Admission::Immediate;
    }
    let limits = &cx.request_limits;
    if limits.use_advance(upstream) {
        return Admission::Immediate;
    }
    let (result, admission) = match limits.issuer_of(upstream) {
        Some(issuer) if issuer != cx.cfg.vm => {
            let time_left = call.time_left(cx.now());
            let result = exchange::ask(cx, &issuer, upstream, time_left).await;
            (result, Admission::AfterWait)
        }
        _ => (limits.issue(upstream).map(drop), Admission::Immediate),
    };
    match result {
        Ok(()) => admission,
        Err(wait) => {
            record_denial(cx, upstream, wait);
            Admission::Denied
        }
    }
}

fn record_denial(cx: &EdgeContext, upstream: &Upstream, wait: Millis) {
    if let Some(state) = upstream.request_limit.borrow_mut().as_mut() {
        state.record_denial(wait, cx.now());
    }
    let counter = &cx.metrics.limits.held_back;
    counter
        .with_label_values(&[upstream.service.as_str()])
        .inc();
}
