//! What this VM's own connections show about whether it reaches the backend servers of a service.

use std::cell::RefCell;

use heatherknot_types::prelude::*;

/// Number of servers that fail one after the other, without a response of any server in between,
/// from which the fault is considered to be on this VM's side. A service with fewer servers needs
/// all of them to fail.
pub const MIN_UNREACHED: usize = 3;
/// Time from the first new connection on after which the servers are used again, even if most of
/// them were not connected to yet.
pub const MAX_RETURN_TIME: Millis = Millis(1_000);
/// Fraction of a service's servers that have to be connected to before they are used again. The
/// first ones would otherwise get all of the VM's requests.
pub const RETURN_FRACTION: f64 = 0.5;

/// Whether this VM reaches the backend servers of one service.
#[derive(Debug, Default)]
pub struct Reachability {
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    last_response: Option<Millis>,
    /// Servers that failed since the last response, each once.
    unreached: Vec<UpstreamName>,
    lost: Option<Lost>,
}

/// A period in which no server of the service can be reached.
#[derive(Debug)]
struct Lost {
    since: Millis,
    /// Servers that accepted a connection in this period, each once.
    connected: Vec<UpstreamName>,
    first_connected: Option<Millis>,
}

/// A change of whether the servers of a service can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// No server can be reached any more.
    Lost {
        /// Age of the last response, if there was one.
        last_response_age: Option<Millis>,
    },
    /// Servers can be reached again.
    Regained {
        /// Length of the period in which none could be.
        after: Millis,
    },
}

impl Reachability {
    /// Returns whether no server of the service can be reached.
    pub fn is_lost(&self) -> bool {
        self.state.borrow().lost.is_some()
    }

    /// Records a response of any server.
    pub fn record_response(&self, now: Millis) -> Option<ReachChange> {
        let mut state = self.state.borrow_mut();
        state.last_response = Some(now);
        state.regain(now)
    }

    /// Records that `server`, one of `servers`, could not be reached or did not respond.
    pub fn record_failure(
        &self,
        server: &UpstreamName,
        servers: usize,
        now: Millis,
    ) -> Option<ReachChange> {
        let mut state = self.state.borrow_mut();
        if state.lost.is_some() || state.unreached.contains(server) {
            return None;
        }
        state.unreached.push(server.clone());
        if state.unreached.len() < MIN_UNREACHED.min(servers) {
            return None;
        }
        state.lost = Some(Lost {
            since: now,
            connected: Vec::new(),
            first_connected: None,
        });
        let last_response_age = state.last_response.map(|at| now.since(at));
        Some(ReachChange::Lost { last_response_age })
    }

    /// Records that `server`, one of `servers`, accepted a connection.
    pub fn record_connection(
        &self,
        server: &UpstreamName,
        servers: usize,
        now: Millis,
    ) -> Option<ReachChange> {
        let mut state = self.state.borrow_mut();
        let lost = state.lost.as_mut()?;
        if !lost.connected.contains(server) {
            lost.connected.push(server.clone());
        }
        let first = *lost.first_connected.get_or_insert(now);
        let is_enough = lost.connected.len() as f64 >= servers as f64 * RETURN_FRACTION;
        if is_enough || now.since(first) >= MAX_RETURN_TIME {
            return state.regain(now);
        }
        None
    }
}

impl State {
    fn regain(&mut self, now: Millis) -> Option<ReachChange> {
        self.unreached.clear();
        let lost = self.lost.take()?;
        let after = now.since(lost.since);
        Some(ReachChange::Regained { after })
    }
}
