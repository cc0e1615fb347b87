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
const FIRST_PAUSE: Millis = Millis(250);
/// How often a pause doubles at most: four seconds then, in which the peers have noticed that a
/// VM is gone and its servers have another home.
const MAX_DOUBLINGS: u32 = 4;

/// The connections to the homes of backend servers, and who those are.
#[derive(Default)]
pub struct HomeDirectory {
    /// The home of each server that was asked for since the VMs changed last.
    of: RefCell<HashMap<UpstreamName, Option<HomeVm>>>,
    peers: RefCell<HashMap<SocketAddr, Rc<HomePeer>>>,
}

/// The home of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeVm {
    /// The VM.
    pub vm: VmName,
    /// Where it takes requests that are handed to it.
    pub handed: SocketAddr,
}

/// The connections to one VM that is the home of some servers.
pub struct HomePeer {
    /// The connections.
    pub pool: Pool,
    failures: Cell<u32>,
    avoid_until: Cell<Millis>,
}

/// Gives the home of a backend server among `vms`, alike on every VM that knows the same ones.
///
/// VMs with more processor time and wider links are the home of more servers, in proportion to
/// both: a few wide ones among many small ones meet most requests, so that connections to them
/// are used again.
pub fn home_of(upstream: &Upstream, vms: &[VmEntry]) -> Option<HomeVm> {
    let here = vms.iter().filter(|vm| vm.domain == upstream.domain);
    let taking = here.filter_map(|vm| Some((vm, vm.handed?)));
    let place = |vm: &VmEntry| {
        let drawn = hash::rendezvous(&[upstream.id.as_str().as_bytes()], vm.name.as_str());
        -hash::unit_interval(drawn).ln() / carries(vm)
    };
    let placed = taking.map(|(vm, handed)| (place(vm), vm, handed));
    let (_, vm, handed) = placed.min_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(HomeVm {
        vm: vm.name.clone(),
        handed,
    })
}

/// Gives how much a VM can carry beside others.
fn carries(vm: &VmEntry) -> f64 {
    f64::from(vm.cpu_permille.max(1)) * f64::from(vm.link_mbps.max(1))
}

impl HomeDirectory {
    /// Gives the home of a backend server.
    pub fn home_of(&self, upstream: &Upstream, vms: &[VmEntry]) -> Option<HomeVm> {
        let mut of = self.of.borrow_mut();
        if let Some(home) = of.get(&upstream.id) {
            return home.clone();
        }
        let home = home_of(upstream, vms);
        of.insert(upstream.id.clone(), home.clone());
        home
    }

    /// Takes in that there are other VMs than before.
    pub fn vms_changed(&self, vms: &[VmEntry]) {
        self.of.borrow_mut().clear();
        let is_there = |at: &SocketAddr| vms.iter().any(|vm| vm.handed == Some(*at));
        self.peers.borrow_mut().retain(|at, _| is_there(at));
    }

    /// Gives the connections to a home.
    pub fn peer(&self, home: &HomeVm, dialect: &Dialect, clock: &Clock) -> Rc<HomePeer> {
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(home.handed).or_insert_with(|| {
            Rc::new(HomePeer {
                pool: Pool::new(home.handed, peer_pool(dialect), clock.clone()),
                failures: Cell::new(0),
                avoid_until: Cell::new(Millis(0)),
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
        now >= self.avoid_until.get()
    }

    /// Takes in that it answered.
    pub fn record_success(&self) {
        self.failures.set(0);
    }

    /// Takes in that it could not be reached, broke off or did not answer in time. A VM that is
    /// gone without a word would cost each request for its servers the time of a connect until
    /// the peers have noticed.
    pub fn record_failure(&self, now: Millis) {
        let failures = self.failures.get();
        self.failures.set(failures + 1);
        let pause = Millis(FIRST_PAUSE.0 << failures.min(MAX_DOUBLINGS));
        self.avoid_until.set(now + pause);
        self.pool.close_idle();
    }
}

/// Gives the settings of the connections to homes. A home closes an idle connection after a
/// minute; this VM does so well before.
fn peer_pool(dialect: &Dialect) -> PoolConfig {
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
