//! Assigns each backend server a home VM, through which its requests pass.
//!
//! With hundreds of VMs and more than a thousand backend servers, there are more pairs of them than
//! requests within the idle timeout of a connection. Nearly every request would open a connection,
//! which takes an additional round trip, and no VM would hear from a server often enough to know
//! its load. Each server therefore has a home VM in its own failure domain, to which the other VMs
//! hand over its requests. The home keeps the connections to the server and knows its load.

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

/// Backoff after the first failure to reach a home VM.
const INITIAL_BACKOFF: Millis = Millis(250);
/// Maximum number of times that the backoff doubles. It is four seconds then, within which the
/// peers detect that a VM is gone and assign its servers another home.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// The home VMs of backend servers and the connections to them.
#[derive(Default)]
pub struct HomeDirectory {
    /// Home of each server that was looked up since the last change of the VMs.
    homes: RefCell<HashMap<UpstreamName, Option<HomeVm>>>,
    peers: RefCell<HashMap<SocketAddr, Rc<HomePeer>>>,
}

/// The home VM of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeVm {
    /// Name of the VM.
    pub vm: VmName,
    /// Address at which the VM accepts requests that are handed over.
    pub hand_over_address: SocketAddr,
}

/// Connections to one home VM.
pub struct HomePeer {
    /// Pool of connections.
    pub pool: Pool,
    consecutive_failures: Cell<u32>,
    backoff_until: Cell<Millis>,
}

/// Returns the home VM of a backend server. All VMs with the same `vms` compute the same one.
///
/// VMs are weighted by processor time and link bandwidth: a few large VMs among many small ones
/// become the home of most servers, so that connections to them are reused.
pub fn find_home(upstream: &Upstream, vms: &[VmEntry]) -> Option<HomeVm> {
    let in_domain = vms.iter().filter(|vm| vm.domain == upstream.domain);
    let accepting = in_domain.filter_map(|vm| Some((vm, vm.handed?)));
    let ranked = accepting.map(|(vm, handed)| (rank_key(upstream, vm), vm, handed));
    let (_, vm, handed) = ranked.min_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(HomeVm {
        vm: vm.name.clone(),
        hand_over_address: handed,
    })
}

/// Returns the VM that issues permits for requests to a backend server with a request limit: its
/// home VM if there is one, else the first-ranked VM nearest to the server. All VMs with the same
/// `vms` compute the same one.
pub fn find_issuer(upstream: &Upstream, vms: &[VmEntry]) -> Option<VmName> {
    let distance = |vm: &VmEntry| {
        if vm.domain == upstream.domain {
            u8::from(vm.handed.is_none())
        } else {
            2 + u8::from(vm.region != upstream.region)
        }
    };
    let nearest = vms.iter().map(distance).min()?;
    let candidates = vms.iter().filter(|vm| distance(vm) == nearest);
    let ranked = candidates.map(|vm| (rank_key(upstream, vm), vm));
    let (_, vm) = ranked.min_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(vm.name.clone())
}

/// Returns a VM's sort key in the rank for a backend server, lowest first.
fn rank_key(upstream: &Upstream, vm: &VmEntry) -> f64 {
    let digest = hash::rendezvous(&[upstream.id.as_str().as_bytes()], vm.name.as_str());
    -hash::unit_interval(digest).ln() / capacity(vm)
}

/// Returns the weight of a VM.
pub(crate) fn capacity(vm: &VmEntry) -> f64 {
    f64::from(vm.cpu_permille.max(1)) * f64::from(vm.link_mbps.max(1))
}

impl HomeDirectory {
    /// Returns the home VM of a backend server.
    pub fn home_of(&self, upstream: &Upstream, vms: &[VmEntry]) -> Option<HomeVm> {
        let mut homes = self.homes.borrow_mut();
        if let Some(home) = homes.get(&upstream.id) {
            return home.clone();
        }
        let home = find_home(upstream, vms);
        homes.insert(upstream.id.clone(), home.clone());
        home
    }

    /// Updates the homes after a change of the VMs.
    pub fn vms_changed(&self, vms: &[VmEntry]) {
        self.homes.borrow_mut().clear();
        let is_present = |at: &SocketAddr| vms.iter().any(|vm| vm.handed == Some(*at));
        self.peers.borrow_mut().retain(|at, _| is_present(at));
    }

    /// Returns the connections to a home VM.
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

    /// Returns whether requests may be handed over to a VM at `now`.
    pub fn is_reachable(&self, vm: &VmEntry, now: Millis) -> bool {
        let peers = self.peers.borrow();
        let peer = vm.handed.and_then(|address| peers.get(&address));
        peer.is_none_or(|peer| peer.is_reachable(now))
    }

    /// Returns the number of requests that this VM has in flight at a VM.
    pub fn in_flight(&self, vm: &VmEntry) -> usize {
        let peers = self.peers.borrow();
        let peer = vm.handed.and_then(|address| peers.get(&address));
        peer.map_or(0, |peer| peer.pool.open() - peer.pool.idle())
    }

    /// Closes connections whose idle timeout has passed.
    pub fn sweep(&self) {
        let peers = self.peers.borrow();
        peers.values().for_each(|peer| peer.pool.sweep());
    }
}

impl HomePeer {
    /// Returns whether requests may be handed over to the VM at `now`.
    pub fn is_reachable(&self, now: Millis) -> bool {
        now >= self.backoff_until.get()
    }

    /// Records that the VM responded.
    pub fn record_success(&self) {
        self.consecutive_failures.set(0);
    }

    /// Records that the VM could not be reached, closed the connection prematurely or did not
    /// respond in time. Without a backoff, every request for the servers of an unresponsive VM
    /// would cost the time of a connection attempt until the peers have detected the failure.
    pub fn record_failure(&self, now: Millis) {
        let consecutive_failures = self.consecutive_failures.get();
        self.consecutive_failures.set(consecutive_failures + 1);
        let backoff = Millis(INITIAL_BACKOFF.0 << consecutive_failures.min(MAX_BACKOFF_DOUBLINGS));
        self.backoff_until.set(now + backoff);
        self.pool.close_idle();
    }
}

/// Returns the configuration of connections to home VMs. A home closes an idle connection after a
/// minute; this VM closes it well before that.
fn pool_config(dialect: &Dialect) -> PoolConfig {
    PoolConfig {
        max_connections: 256,
        max_idle: Millis(40_000),
        max_idle_non_idempotent: Millis(40_000),
        connect_timeout: Duration::from_millis(500),
        liveness: upstream::liveness_options(),
        allow_close_delimited: true,
        echoed_header: Some(dialect.headers.request_id.clone()),
        ..PoolConfig::default()
    }
}
