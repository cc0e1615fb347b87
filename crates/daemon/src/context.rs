//! What all tasks of one daemon share.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use heatherknot_gateway::Gateway;
use heatherknot_gateway::slots::Member;
use heatherknot_http::Flag;
use heatherknot_peer::{Membership, PeerNet, Relay};
use heatherknot_settings::SettingsReplica;
use heatherknot_steering::Steering;
use heatherknot_store::port::Store;
use heatherknot_store::vm_list::VmList;
use heatherknot_types::prelude::*;
use prometheus::Registry;

use crate::config::Config;
use crate::lookup::directory::Directory;
use crate::metrics::DaemonMetrics;

/// What all tasks of one daemon share. Tasks run on one thread, so none of them sees another
/// halfway through a change; no borrow is held across an `await`.
pub struct DaemonContext {
    /// The start settings.
    pub cfg: Config,
    /// This run of this VM.
    pub me: Member,
    /// The time.
    pub clock: Clock,
    /// Chance.
    pub rng: Rc<RefCell<fastrand::Rng>>,
    /// The decisions.
    pub steering: Rc<RefCell<Steering>>,
    /// The request path.
    pub gateway: Rc<Gateway>,
    /// The connections with peers.
    pub net: PeerNet,
    /// Which VMs there are, by heartbeats.
    pub membership: Membership,
    /// The relay of settings between daemons.
    pub relay: Relay,
    /// Where this daemon listens for callers.
    pub callers: SocketAddr,
    /// The platform's key-value service.
    pub store: Store,
    /// The platform's list of VMs.
    pub vm_list: VmList,
    /// The settings in force.
    pub holder: Rc<RefCell<SettingsReplica>>,
    /// Since when they are in force.
    pub in_force_since: Cell<Millis>,
    /// The version of the capacity ledger in force.
    pub members_version: Cell<u64>,
    /// The entry VMs that are known.
    pub directory: RefCell<Directory>,
    /// Where metrics are added.
    pub registry: Registry,
    /// The daemon's own metrics.
    pub metrics: DaemonMetrics,
    /// Fires when a planned stop begins: this VM leaves new look-up answers.
    pub leaving: Flag,
    /// Fires when another run of this VM's daemon has taken its place.
    pub replaced: Flag,
    /// Fires when the daemon takes no more connections.
    pub stop: Flag,
}

impl fmt::Debug for DaemonContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "DaemonContext({}/{})", self.me.vm, self.me.incarnation)
    }
}

/// Holds the context for handlers that are registered before it can be made.
#[derive(Clone, Default)]
pub struct ContextCell {
    cell: Rc<std::cell::OnceCell<Rc<DaemonContext>>>,
}

impl ContextCell {
    /// Sets the context, once.
    pub fn set(&self, cx: Rc<DaemonContext>) {
        let _ = self.cell.set(cx);
    }

    /// Gives the context, or nothing while the daemon is starting.
    pub fn get(&self) -> Option<Rc<DaemonContext>> {
        self.cell.get().cloned()
    }
}
