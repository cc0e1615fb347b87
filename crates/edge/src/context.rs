//! What all tasks of one daemon share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use heatherknot_http::{Flag, KeepRoom};
use heatherknot_peer::{Membership, PeerNet};
use heatherknot_store::port::Store;
use heatherknot_types::prelude::*;
use prometheus::Registry;

use crate::budget::RetryBudget;
use crate::dialect::Dialect;
use crate::feed::Feed;
use crate::homes::HomeDirectory;
use crate::lines::LineBudget;
use crate::locality::RouteLocality;
use crate::metrics::EdgeMetrics;
use crate::placement::ObjectPlacement;
use crate::poison::PoisonDetector;
use crate::presence::{self, VmEntries, VmEntry};
use crate::quota::state::Quota;
use crate::region_counts::RegionCounts;
use crate::relay::Relay;
use crate::round_trip::RegionRoundTrips;
use crate::service_times::ServiceTimes;
use crate::settings::{Bounds, EdgeConfig};
use crate::spillover::Spillover;
use crate::split::TrafficSplit;
use crate::switches::Switches;
use crate::unbound_share::UnboundShares;
use crate::upstream::IDLE_TIMEOUT;
use crate::window::SlidingWindow;
use crate::world::RoutingState;

/// What all tasks of one daemon share. Tasks run on one thread; no borrow is held across an
/// `await`.
pub struct EdgeContext {
    /// The start settings.
    pub cfg: EdgeConfig,
    /// The bounds that the deployment states.
    pub bounds: Bounds,
    /// Which mechanisms of the decisions are on.
    pub switches: Switches,
    /// The platform's names.
    pub dialect: Dialect,
    /// This VM's region.
    pub region: RegionName,
    /// This run of the daemon.
    pub incarnation: Incarnation,
    /// The time.
    pub timer: Timer,
    /// Chance.
    pub rng: RefCell<fastrand::Rng>,
    /// What is believed of routes and backend servers.
    pub world: Rc<RefCell<RoutingState>>,
    /// The copy of the store's keys, and where it comes from.
    pub feed: Rc<Feed>,
    /// The platform's store.
    pub store: Store,
    /// Which VMs there are.
    pub membership: Membership,
    /// The connections with peers.
    pub net: PeerNet,
    /// The VMs' entries in the store.
    pub entries: Rc<VmEntries>,
    /// Whether those entries were read since this process started.
    pub has_read_vm_entries: Cell<bool>,
    /// How long the store took to answer this VM's first question.
    pub store_latency: Cell<Option<Millis>>,
    /// Who hears from whom.
    pub relay: RefCell<Rc<Relay>>,
    /// The VMs that are there, as they were looked for last.
    pub vms: RefCell<Rc<Vec<VmEntry>>>,
    /// The most VMs that were ever known at once; zero until all keys of the store were heard of.
    pub max_vms_seen: Cell<usize>,
    /// What is learned of each service.
    pub services: RefCell<HashMap<ServiceName, Rc<ServiceState>>>,
    /// How requests of routes with several targets were shared, by route.
    pub splits: RefCell<HashMap<Arc<str>, TrafficSplit>>,
    /// What is learned of each route, by its name.
    pub routes: RefCell<HashMap<Arc<str>, Rc<RouteLocality>>>,
    /// The memory for long request bodies that may have to be sent again.
    pub kept_bodies: Rc<KeepRoom>,
    /// The homes of backend servers, and the connections to them.
    pub homes: HomeDirectory,
    /// Shows that a request was handed over by a VM of this deployment.
    pub handed_token: String,
    /// By which operators release rejected requests.
    pub release_token: String,
    /// This VM's part in keeping to the quotas of client accounts.
    pub quota: Rc<Quota>,
    /// This VM's part in finding out requests that end servers.
    pub poison: Rc<PoisonDetector>,
    /// How far other regions are.
    pub distances: RegionRoundTrips,
    /// The log lines that tell of requests over their accounts' limits.
    pub refused_lines: RefCell<LineBudget>,
    /// Metrics.
    pub metrics: EdgeMetrics,
    /// Where metrics are read.
    pub registry: Registry,
    /// Fires when a planned stop begins.
    pub leaving: Flag,
    /// Fires when no more connections are taken.
    pub stop: Flag,
}

/// What is learned of one service.
pub struct ServiceState {
    /// How long its backend servers take.
    pub pace: ServiceTimes,
    /// The budget of further sends.
    pub budget: RefCell<RetryBudget>,
    /// The requests that callers sent to this VM, in the time for which an idle connection to a
    /// backend server is kept.
    pub asked: RefCell<SlidingWindow>,
    /// Which part of the objects other regions serve.
    pub spill: Spillover,
    /// How many requests this VM sent to each region.
    pub sent_by_region: RegionCounts,
    /// Which part of its room each region leaves to requests that may run anywhere.
    pub region_shares: UnboundShares,
    /// Where objects are put, as far as this VM is the home of their servers.
    pub spread: ObjectPlacement,
    /// When each cold backend server may get its next request from this VM.
    pub cold_next: RefCell<HashMap<UpstreamName, Millis>>,
}

impl EdgeContext {
    /// Gives the current time.
    pub fn now(&self) -> Millis {
        self.timer.now()
    }

    /// Gives what is learned of a service.
    pub fn service(&self, name: &ServiceName) -> Rc<ServiceState> {
        let mut services = self.services.borrow_mut();
        let state = services.entry(name.clone()).or_insert_with(|| {
            Rc::new(ServiceState {
                pace: ServiceTimes::default(),
                budget: RefCell::new(RetryBudget::new(&self.bounds)),
                asked: RefCell::new(SlidingWindow::new(IDLE_TIMEOUT)),
                spill: Spillover::default(),
                sent_by_region: RegionCounts::default(),
                region_shares: UnboundShares::default(),
                spread: ObjectPlacement::default(),
                cold_next: RefCell::default(),
            })
        });
        Rc::clone(state)
    }

    /// Gives what is learned of a route.
    pub fn route(&self, name: &Arc<str>) -> Rc<RouteLocality> {
        let mut routes = self.routes.borrow_mut();
        Rc::clone(routes.entry(Arc::clone(name)).or_default())
    }

    /// Gives the number of VMs that may be sending, which may be more than are in touch.
    ///
    /// A VM that has just started knows those of its own domain, which may be few of hundreds.
    /// Were the shared part of a budget divided by those, a start of all VMs would overdraw it.
    pub fn vms_that_may_send(&self) -> usize {
        if self.max_vms_seen.get() == 0 {
            presence::refresh(self);
        }
        let seen = match self.max_vms_seen.get() {
            0 => return usize::MAX,
            seen => seen,
        };
        // VMs that were added out of this one's sight: a quarter more, and one at least.
        seen + (seen / 4).max(1)
    }

    /// Says whether this daemon takes requests and can route them.
    pub fn is_ready(&self) -> bool {
        !self.leaving.is_fired() && self.world.borrow().catalog().is_some()
    }
}
