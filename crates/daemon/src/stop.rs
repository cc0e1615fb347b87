//! The planned stop: leave new look-up answers, wait for the old ones to expire, drain.

use std::rc::Rc;
use std::time::Duration;

use heatherknot_types::prelude::*;
use monoio::task::JoinHandle;

use crate::context::DaemonContext;

/// Time in which the peers learn that this VM is leaving.
const PROPAGATION: Millis = Millis(2_000);

/// Stops the daemon without cutting a request, within the grace time of the start settings.
pub async fn run(cx: &Rc<DaemonContext>, serving: JoinHandle<()>) {
    cx.leaving.fire();
    cx.membership.leave();
    let wait = answers_expire(cx);
    log::info!(wait_ms = wait.0; "leaving; waiting for look-up answers to expire");
    monoio::time::sleep(Duration::from_millis(wait.0)).await;
    cx.stop.fire();
    serving.await;
    let report = cx.gateway.wait_idle(Millis(cx.cfg.shutdown_grace_ms)).await;
    log::info!(took_ms = report.took.0, left = report.remaining; "stopped");
    cx.net.close();
}

/// Gives how long answers that name this VM may still be used. A caller with such an answer
/// would meet a closed port if the VM stopped before, although every daemon knew better.
fn answers_expire(cx: &DaemonContext) -> Millis {
    let longest = {
        let steering = cx.steering.borrow();
        let ttls = steering
            .plan()
            .services
            .values()
            .map(|service| service.lookup_ttl);
        ttls.max().unwrap_or_default()
    };
    (longest + PROPAGATION).min(Millis(cx.cfg.shutdown_grace_ms))
}
