//! Which VM meets the requests for a backend server: its home.
//!
//! With hundreds of VMs and more than a thousand backend servers there are more pairs of them
//! than requests within the time for which a connection is kept. Nearly every request opens one,
//! which takes a round trip more, and no VM hears of a server often enough to know its load. So
//! each server has a home in its own failure domain, to which the other VMs hand its requests:
//! the home keeps the connections to it and knows its load.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use heatherknot_http::{Pool, PoolConfig};
use heatherknot_types::hash;
use heatherknot_types::prelude::*;

use crate::dialect::Dialect;
use crate::presence::VmEntry;
use crate::upstream::{self, Upstream};

/// The pause after the first failure to reach a home.
const INITIAL_BACKOFF: Millis = Millis(250);
/// How often a pause doubles at most: four seconds then, in which the peers have noticed that a
/// VM is gone and its servers have another home.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// The connections to the homes of backend servers, and who those are.
#[derive(Default)]
pub struct HomeDirectory {
    /// The home of each server that was asked for since the VMs changed last.
    homes: RefCell<HashMap<UpstreamName, Option<HomeVm>>>,
    peers: RefCell<HashMap<SocketAddr, Rc<HomePeer>>>,
}

/// The home of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeVm {
    /// The VM.
    pub vm: VmName,
    /// Where it takes requests that are handed to it.
    pub hand_over_address: SocketAddr,
}

/// The connections to one VM that is the home of some servers.
pub struct HomePeer {
    /// The connections.
    pub pool: Pool,
    consecutive_failures: Cell<u32>,
    backoff_until: Cell<Millis>,
}

/// Gives the home of a backend server among `vms`, alike on every VM that knows the same ones.
///
/// VMs with more processor time and wider links are the home of more servers, in proportion to
/// both: a few wide ones among many small ones meet most requests, so that connections to them
/// are used again.
pub fn find_home(upstream: &Upstream, vms: &[VmEntry]) -> Option<HomeVm> {
    let in_domain = vms.iter().filter(|vm| vm.domain == upstream.domain);
    let accepting = in_domain.filter_map(|vm| Some((vm, vm.handed?)));
    let rank_key = |vm: &VmEntry| {
        let digest = hash::rendezvous(&[upstream.id.as_str().as_bytes()], vm.name.as_str());
        -hash::unit_interval(digest).ln() / capacity(vm)
    };
    let ranked = accepting.map(|(vm, handed)| (rank_key(vm), vm, handed));
    let (_, vm, handed) = ranked.min_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(HomeVm {
        vm: vm.name.clone(),
        hand_over_address: handed,
    })
}

/// Gives how much a VM can carry beside others.
fn capacity(vm: &VmEntry) -> f64 {
    f64::from(vm.cpu_permille.max(1)) * f64::from(vm.link_mbps.max(1))
}

impl HomeDirectory {
    /// Gives the home of a backend server.
    pub fn home_of(&self, upstream: &Upstream, vms: &[VmEntry]) -> Option<HomeVm> {
        let mut homes = self.homes.borrow_mut();
        if let Some(home) = homes.get(&upstream.id) {
            return home.clone();
        }
        let home = find_home(upstream, vms);
        homes.insert(upstream.id.clone(), home.clone());
        home
    }

    /// Takes in that there are other VMs than before.
    pub fn vms_changed(&self, vms: &[VmEntry]) {
        self.homes.borrow_mut().clear();
        let is_present = |at: &SocketAddr| vms.iter().any(|vm| vm.handed == Some(*at));
        self.peers.borrow_mut().retain(|at, _| is_present(at));
    }

    /// Gives the connections to a home.
    pub fn peer(&self, home: &HomeVm, dialect: &Dialect, clock: &Clock) -> Rc<HomePeer> {
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(home.hand_over_address).or_insert_with(|| {
            Rc::new(HomePeer {
                pool: Pool::new(home.hand_over_address, pool_config(dialect), clock.clone()),
                consecutive_failures: Cell::new(0),
                backoff_until: Cell::new(Millis(0)),
            })
        });
        Rc::clone(peer)
    }

    /// Closes connections that were idle for too long.
    pub fn sweep(&self) {
        let peers = self.peers.borrow();
        peers.values().for_each(|peer| peer.pool.sweep());
    }
}

impl HomePeer {
    /// Says whether requests may be handed to it at `now`.
    pub fn is_reachable(&self, now: Millis) -> bool {
        now >= self.backoff_until.get()
    }

    /// Takes in that it answered.
    pub fn record_success(&self) {
        self.consecutive_failures.set(0);
    }

    /// Takes in that it could not be reached, broke off or did not answer in time. A VM that is
    /// gone without a word would cost each request for its servers the time of a connect until
    /// the peers have noticed.
    pub fn record_failure(&self, now: Millis) {
        let consecutive_failures = self.consecutive_failures.get();
        self.consecutive_failures.set(consecutive_failures + 1);
        let backoff = Millis(INITIAL_BACKOFF.0 << consecutive_failures.min(MAX_BACKOFF_DOUBLINGS));
        self.backoff_until.set(now + backoff);
        self.pool.close_idle();
    }
}

/// Gives the settings of the connections to homes. A home closes an idle connection after a
/// minute; this VM does so well before.
fn pool_config(dialect: &Dialect) -> PoolConfig {
    PoolConfig {
        max_connections: 256,
        max_idle: Millis(40_000),
        max_idle_once: Millis(40_000),
        connect_timeout: Duration::from_millis(500),
        liveness: upstream::liveness_options(),
        may_end_with_connection: true,
        echoed: Some(dialect.headers.request_id.clone()),
        ..PoolConfig::default()
    }
}
