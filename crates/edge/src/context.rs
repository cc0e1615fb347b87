//! State shared by all tasks of one daemon.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use heatherknot_http::{Flag, ReplayBudget};
use heatherknot_peer::{Membership, PeerNet};
use heatherknot_store::port::Store;
use heatherknot_types::prelude::*;
use prometheus::Registry;

use crate::admission::control::AdmissionControl;
use crate::admission::returns::ReturnBook;
use crate::budget::RetryBudget;
use crate::cold_sends::ColdSends;
use crate::dialect::Dialect;
use crate::feed::Feed;
use crate::feed_topology::FeedTopology;
use crate::homes::HomeDirectory;
use crate::load_control::LoadControl;
use crate::locality::RouteLocality;
use crate::log_limit::LogRateLimit;
use crate::metrics::EdgeMetrics;
use crate::peer_feed::Offers;
use crate::placement::ObjectPlacement;
use crate::poison::PoisonDetector;
use crate::presence::{self, RefreshInput, VmEntries, VmEntry};
use crate::quota::state::Quota;
use crate::reachability::state::Reachability;
use crate::region_counts::RegionCounts;
use crate::relay::targets::RelayTargets;
use crate::request_limit::return_schedule::ReturnSchedule;
use crate::request_limit::state::RequestLimits;
use crate::rollout::state::Rollouts;
use crate::round_trip::RegionRoundTrips;
use crate::routing_state::RoutingState;
use crate::service_times::ServiceTimes;
use crate::settings::{Bounds, EdgeConfig};
use crate::spillover::Spillover;
use crate::split::TrafficSplit;
use crate::switches::Switches;
use crate::unrestricted_share::UnrestrictedShares;
use crate::upstream::IDLE_TIMEOUT;
use crate::window::SlidingWindow;
use crate::work_profile::WorkProfile;

/// State shared by all tasks of one daemon. All tasks run on one thread; no borrow is held across
/// an `await`.
pub struct EdgeContext {
    /// Start settings.
    pub cfg: EdgeConfig,
    /// Bounds that the deployment states.
    pub bounds: Bounds,
    /// Which decision mechanisms are on.
    pub switches: Switches,
    /// Whether load control is on.
    pub load_control: LoadControl,
    /// Names and formats of the platform.
    pub dialect: Dialect,
    /// This VM's region.
    pub region: RegionName,
    /// Identifies this run of the daemon.
    pub incarnation: Incarnation,
    /// When this run of the daemon started.
    pub started: Millis,
    /// Clock and timer.
    pub timer: Timer,
    /// Random number generator.
    pub rng: RefCell<fastrand::Rng>,
    /// Routes, backend servers and evacuated domains, as derived from the store's keys.
    pub routing_state: Rc<RefCell<RoutingState>>,
    /// Local copy of the store's keys, and its sources.
    pub feed: Rc<Feed>,
    /// Offers of recent data between this VM and its peers.
    pub offers: Rc<Offers>,
    /// Client of the platform's store.
    pub store: Store,
    /// Membership of VMs.
    pub membership: Membership,
    /// Connections to peers.
    pub net: PeerNet,
    /// The VMs' entries in the store.
    pub entries: Rc<VmEntries>,
    /// Whether those entries were read since this process started.
    pub has_read_vm_entries: Cell<bool>,
    /// How long the store took to answer this VM's first request, if it did.
    pub store_rtt: Cell<Option<Millis>>,
    /// Which VMs watch the store, and from which VMs the others get its changes.
    pub feed_topology: RefCell<Rc<FeedTopology>>,
    /// VMs found alive by the latest refresh.
    pub vms: RefCell<Rc<Vec<VmEntry>>>,
    /// What that refresh was computed from.
    pub refresh_input: RefCell<RefreshInput>,
    /// Largest number of VMs known at once; zero until all keys of the store were received.
    pub max_vms_seen: Cell<usize>,
    /// State of each service.
    pub services: RefCell<HashMap<ServiceName, Rc<ServiceState>>>,
    /// How the requests of routes with several targets were split, by route.
    pub splits: RefCell<HashMap<Arc<str>, TrafficSplit>>,
    /// State of each route, by its name.
    pub routes: RefCell<HashMap<Arc<str>, Rc<RouteLocality>>>,
    /// Memory budget for long request bodies that may have to be sent again.
    pub body_memory: Rc<ReplayBudget>,
    /// Home VMs of backend servers, and the connections to them.
    pub homes: HomeDirectory,
    /// VMs that this VM may relay requests to.
    pub relay_targets: RelayTargets,
    /// Token that proves that a request was handed over by a VM of this deployment.
    pub hand_over_token: String,
    /// Token with which operators release rejected requests.
    pub release_token: String,
    /// This VM's part in enforcing the quotas of client accounts.
    pub quota: Rc<Quota>,
    /// This VM's part in detecting requests that crash servers.
    pub poison: Rc<PoisonDetector>,
    /// This VM's part in the rollouts of services' versions.
    pub rollouts: Rc<Rollouts>,
    /// Round trips to other regions.
    pub round_trips: RegionRoundTrips,
    /// Limits the log lines about requests over their accounts' limits.
    pub over_limit_log: RefCell<LogRateLimit>,
    /// Limits the log lines about invalid backoffs of backend servers.
    pub backoff_log: RefCell<LogRateLimit>,
    /// This VM's part in enforcing the request limits of backend servers.
    pub request_limits: Rc<RequestLimits>,
    /// Metrics.
    pub metrics: EdgeMetrics,
    /// Registry from which the metrics are exported.
    pub registry: Registry,
    /// Fires when a planned shutdown begins.
    pub leaving: Flag,
    /// Fires when the daemon stops accepting connections.
    pub stop: Flag,
    /// Fires shortly before the daemon has to end, when callers get an answer to every request that
    /// is still in flight.
    pub cut_off: Flag,
}

/// This VM's state for one service.
pub struct ServiceState {
    /// Latency statistics of its backend servers.
    pub service_times: ServiceTimes,
    /// How long its requests occupy a slot, by route.
    pub work: WorkProfile,
    /// Retry budget.
    pub budget: RefCell<RetryBudget>,
    /// Requests from callers to this VM, within the idle timeout of connections to backend servers.
    pub recent_requests: RefCell<SlidingWindow>,
    /// Which fraction of the objects other regions serve.
    pub spillover: Spillover,
    /// Number of requests that this VM sent to each region.
    pub sent_by_region: RegionCounts,
    /// Share of each region's slots that is left to requests that any region may serve.
    pub unrestricted_shares: UnrestrictedShares,
    /// Placement of objects on the servers for which this VM is the home VM.
    pub placement: ObjectPlacement,
    /// Whether this VM reaches the backend servers.
    pub reachability: Reachability,
    /// This VM's requests to cold backend servers.
    pub cold_sends: RefCell<ColdSends>,
    /// When callers refused because of request limits are to retry.
    pub limit_returns: RefCell<ReturnSchedule>,
    /// When callers refused because of backoffs are to retry.
    pub backoff_returns: RefCell<ReturnSchedule>,
    /// When callers refused because all servers are busy are to retry.
    pub returns: RefCell<ReturnBook>,
    /// Which requests may wait for slots of busy servers.
    pub admission: AdmissionControl,
}

impl EdgeContext {
    /// Returns the current time.
    pub fn now(&self) -> Millis {
        self.timer.now()
    }

    /// Returns the state of a service.
    pub fn service(&self, name: &ServiceName) -> Rc<ServiceState> {
        let mut services = self.services.borrow_mut();
        let state = services.entry(name.clone()).or_insert_with(|| {
            Rc::new(ServiceState {
                service_times: ServiceTimes::default(),
                work: WorkProfile::default(),
                budget: RefCell::new(RetryBudget::new(&self.bounds, self.started)),
                recent_requests: RefCell::new(SlidingWindow::new(IDLE_TIMEOUT)),
                spillover: Spillover::default(),
                sent_by_region: RegionCounts::default(),
                unrestricted_shares: UnrestrictedShares::default(),
                placement: ObjectPlacement::default(),
                reachability: Reachability::default(),
                cold_sends: RefCell::default(),
                limit_returns: RefCell::default(),
                backoff_returns: RefCell::default(),
                returns: RefCell::default(),
                admission: AdmissionControl::default(),
            })
        });
        Rc::clone(state)
    }

    /// Returns the state of a route.
    pub fn route(&self, name: &Arc<str>) -> Rc<RouteLocality> {
        let mut routes = self.routes.borrow_mut();
        Rc::clone(routes.entry(Arc::clone(name)).or_default())
    }

    /// Returns an upper estimate of the number of VMs that may be sending, which may be more than
    /// this VM is in contact with.
    ///
    /// A VM that has just started knows those of its own domain, which may be a few of hundreds. If
    /// the shared part of a budget were divided by those, a start of all VMs would overdraw it.
    pub fn max_sending_vms(&self) -> usize {
        if self.max_vms_seen.get() == 0 {
            presence::refresh(self);
        }
        let seen = match self.max_vms_seen.get() {
            0 => return usize::MAX,
            seen => seen,
        };
        // Allows for VMs that were added without this one noticing: a quarter more, and at least
        // one.
        seen + (seen / 4).max(1)
    }

    /// Returns the part of the VMs that may be running which this VM reaches; zero while their number
    /// is unknown.
    pub fn reachable_share(&self) -> f64 {
        if !self.quota.knows_vms() {
            presence::refresh(self);
        }
        presence::reachable_share(self.vms.borrow().len(), self.quota.most_vms())
    }

    /// Returns whether this daemon accepts requests and can route them.
    pub fn is_ready(&self) -> bool {
        !self.leaving.is_fired() && self.routing_state.borrow().catalog().is_some()
    }
}
