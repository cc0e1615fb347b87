//! The planned stop: leave look-up answers, serve those that still hold one, finish.

use std::rc::Rc;

use heatherknot_types::prelude::*;
use monoio::task::JoinHandle;

use crate::context::EdgeContext;
use crate::presence;

/// The part of the grace time in which requests are still taken. Callers keep a look-up
/// answer for seconds; a closed port before they ask again would cost each a failed connect.
const TAKING_PART: f64 = 0.4;
/// The part of the grace time after which nothing may be in flight any more; the rest is for
/// the process to end by itself.
const FINISHED_PART: f64 = 0.95;

/// Stops the daemon without cutting a request, within the grace time.
pub(crate) async fn run(cx: &Rc<EdgeContext>, serving: Vec<JoinHandle<()>>) {
    let began = cx.now();
    cx.leaving.fire();
    presence::refresh(cx);
    cx.membership.leave();
    let taking = part(cx, TAKING_PART);
    log::info!(taking_ms = taking.0; "leaving; requests are still taken for a while");
    cx.timer.wait(taking).await;
    cx.stop.fire();
    for served in serving {
        served.await;
    }
    log::info!(took_ms = cx.now().since(began).0; "stopped");
    cx.net.close();
}

/// Gives how long requests in flight may still take once no more are taken.
pub(crate) fn finishing_time(grace: Millis) -> Millis {
    Millis((grace.0 as f64 * (FINISHED_PART - TAKING_PART)) as u64)
}

fn part(cx: &EdgeContext, part: f64) -> Millis {
    Millis((cx.bounds.grace.0 as f64 * part) as u64)
}
