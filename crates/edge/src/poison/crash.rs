//! Distinguishes the crash of a backend server from a connection that merely broke.

use std::cell::Cell;
use std::rc::Rc;

use heatherknot_http::Flag;

use crate::upstream::Upstream;

/// A probe whether a server has crashed, shared by all requests whose connections broke together.
#[derive(Clone, Default)]
pub struct CrashProbe {
    /// Fires when the result is known.
    done: Flag,
    has_crashed: Rc<Cell<bool>>,
}

impl CrashProbe {
    /// Returns whether the probe has finished and found a crash.
    fn found_crash(&self) -> bool {
        self.done.is_fired() && self.has_crashed.get()
    }
}

/// Finds out whether a server has crashed after a connection to it broke.
///
/// Connections also break when they are reset on their way or closed while idle. A process that
/// has ended refuses new connections. A server that announced that it leaves is never taken for
/// crashed: it drops the requests that it still runs, which is no evidence against them.
pub(crate) async fn has_crashed(upstream: &Rc<Upstream>) -> bool {
    if !upstream.accepts_requests() {
        return false;
    }
    let probe = shared_probe(upstream);
    probe.done.wait().await;
    probe.has_crashed.get()
}

/// Returns the server's probe that is running or has found a crash, or starts one.
fn shared_probe(upstream: &Rc<Upstream>) -> CrashProbe {
    let mut current = upstream.crash_probe.borrow_mut();
    let is_reusable = |probe: &&CrashProbe| !probe.done.is_fired() || probe.found_crash();
    if let Some(probe) = current.as_ref().filter(is_reusable) {
        return probe.clone();
    }
    let probe = CrashProbe::default();
    *current = Some(probe.clone());
    // Spawned, because the request that starts the probe may be dropped while others wait for it.
    monoio::spawn(run_probe(Rc::clone(upstream), probe.clone()));
    probe
}

async fn run_probe(upstream: Rc<Upstream>, probe: CrashProbe) {
    let reopened = upstream.pool.preconnect().await;
    let is_refused = reopened.is_err_and(|error| error.is_refused());
    probe.has_crashed.set(is_refused);
    probe.done.fire();
}
