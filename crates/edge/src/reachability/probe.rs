//! Opens connections to the servers of services that this VM can't reach, to find out when it can
//! again.
//!
//! Requests of callers would serve as well, but each would be lost or late until a server responds.

use std::rc::Rc;

use heatherknot_types::prelude::*;
use log::debug;

use crate::context::EdgeContext;
use crate::reachability;
use crate::upstream::Upstream;

/// Interval between two probes of this VM.
const PROBE_INTERVAL: Millis = Millis(100);
/// Interval of the checks whether a service can't be reached, while all can be.
const IDLE_INTERVAL: Millis = Millis(500);

/// Probes servers until the process ends.
pub(crate) async fn run(cx: Rc<EdgeContext>) {
    for round in 0_usize.. {
        let interval = match next_server(&cx, round) {
            Some(upstream) => {
                monoio::spawn(probe(Rc::clone(&cx), upstream));
                PROBE_INTERVAL
            }
            None => IDLE_INTERVAL,
        };
        cx.timer.wait(interval).await;
    }
}

/// Returns one server after the other of the services that can't be reached.
fn next_server(cx: &EdgeContext, round: usize) -> Option<Rc<Upstream>> {
    let services = cx.services.borrow();
    let lost = services.iter().filter(|(_, s)| s.reachability.is_lost());
    let routing_state = cx.routing_state.borrow();
    let servers = lost.flat_map(|(service, _)| routing_state.upstreams(service).to_vec());
    let mut servers: Vec<Rc<Upstream>> = servers.filter(|u| u.accepts_requests()).collect();
    let index = round.checked_rem(servers.len())?;
    Some(servers.swap_remove(index))
}

async fn probe(cx: Rc<EdgeContext>, upstream: Rc<Upstream>) {
    match upstream.pool.preconnect().await {
        Ok(()) => {
            upstream.record_connection(cx.now());
            let state = cx.service(&upstream.service);
            reachability::record_connection(&cx, &state, &upstream);
        }
        Err(error) => {
            debug!(upstream:% = upstream.id, error:% = error; "probing a backend server failed");
            match error.is_refused() {
                true => upstream.record_connection_refused(cx.now()),
                false => upstream.record_connection_failure(cx.now()),
            }
        }
    }
}
