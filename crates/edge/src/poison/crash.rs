//! Whether a backend server ended while it had a request, or only a connection to it broke.

use std::cell::Cell;
use std::rc::Rc;

use heatherknot_http::Flag;

use crate::upstream::Upstream;

/// A question whether a server has ended, asked once for all requests that broke off together.
#[derive(Clone, Default)]
pub struct CrashProbe {
    /// Fires when the answer is there.
    done: Flag,
    has_ended: Rc<Cell<bool>>,
}

impl CrashProbe {
    /// Says whether the server is known to have ended.
    fn tells_end(&self) -> bool {
        self.done.is_fired() && self.has_ended.get()
    }
}

/// Finds out whether a server has ended to which a connection just broke.
///
/// Connections break for other reasons as well: reset on their way, closed while idle. A process
/// that has ended refuses new ones. One that left as it had said takes what it was still working
/// on with it, which says nothing of that.
pub(crate) async fn has_ended(upstream: &Rc<Upstream>) -> bool {
    if !upstream.accepts_requests() {
        return false;
    }
    let probe = probe(upstream);
    probe.done.wait().await;
    probe.has_ended.get()
}

fn probe(upstream: &Rc<Upstream>) -> CrashProbe {
    let mut held = upstream.end_probe.borrow_mut();
    let is_of_use = |probe: &&CrashProbe| !probe.done.is_fired() || probe.tells_end();
    if let Some(probe) = held.as_ref().filter(is_of_use) {
        return probe.clone();
    }
    let probe = CrashProbe::default();
    *held = Some(probe.clone());
    // A task of its own: the request that asks first may be dropped, and others wait, too.
    monoio::spawn(ask(Rc::clone(upstream), probe.clone()));
    probe
}

async fn ask(upstream: Rc<Upstream>, probe: CrashProbe) {
    let reopened = upstream.pool.reopen().await;
    let is_refused = reopened.is_err_and(|error| error.is_refused());
    probe.has_ended.set(is_refused);
    probe.done.fire();
}
