//! Planned shutdown: leave the lookup answers, keep serving callers that still use an older answer,
//! and finish the requests in flight.

use std::rc::Rc;

use heatherknot_types::prelude::*;
use monoio::task::JoinHandle;

use crate::context::EdgeContext;
use crate::presence;

/// Fraction of the grace period in which requests are still accepted. Callers cache a lookup answer
/// for seconds; if the port closed before they ask again, each would run into a failed connect.
const ACCEPTING_FRACTION: f64 = 0.4;
/// Fraction of the grace period after which requests in flight are answered without waiting for
/// their backend servers. Pipelined requests behind them may have been answered long before, and
/// their responses have to be sent by [`DRAINED_FRACTION`].
const CUT_OFF_FRACTION: f64 = 0.9;
/// Fraction of the grace period after which no request may be in flight. The rest is left for the
/// process to exit by itself.
const DRAINED_FRACTION: f64 = 0.95;

/// Shuts the daemon down within the grace period without cutting off requests.
pub(crate) async fn run(cx: &Rc<EdgeContext>, servers: Vec<JoinHandle<()>>) {
    let began = cx.now();
    cx.leaving.fire();
    presence::refresh(cx);
    cx.membership.leave();
    let accepting = grace_fraction(cx, ACCEPTING_FRACTION);
    log::info!(taking_ms = accepting.0; "shutting down; requests are still accepted for a while");
    cx.timer.wait(accepting).await;
    cx.stop.fire();
    monoio::spawn(cut_off_requests(Rc::clone(cx)));
    for server in servers {
        server.await;
    }
    log::info!(took_ms = cx.now().since(began).0; "stopped");
    cx.net.close();
}

/// Ends the requests that are still in flight when the grace period is almost over.
async fn cut_off_requests(cx: Rc<EdgeContext>) {
    let span = grace_fraction(&cx, CUT_OFF_FRACTION - ACCEPTING_FRACTION);
    cx.timer.wait(span).await;
    cx.cut_off.fire();
}

/// Returns how long requests in flight may still take once no more are accepted.
pub(crate) fn drain_timeout(grace: Millis) -> Millis {
    Millis((grace.0 as f64 * (DRAINED_FRACTION - ACCEPTING_FRACTION)) as u64)
}

fn grace_fraction(cx: &EdgeContext, fraction: f64) -> Millis {
    Millis((cx.bounds.grace.0 as f64 * fraction) as u64)
}
