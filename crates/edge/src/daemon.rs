//! Starts, runs and shuts down a daemon on a platform.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures_util::FutureExt;
use heatherknot_http::{AheadRule, Flag, Handler, Limits, ReplayBudget, Response, serve};
use heatherknot_peer::{
    Membership, MembershipContext, MembershipHooks, MembershipOptions, MethodTable, PeerContext,
    PeerError, PeerId, PeerNet, PeerOptions, Secret,
};
use heatherknot_store::port::Store;
use heatherknot_types::hash;
use heatherknot_types::prelude::*;
use http::StatusCode;
use monoio::net::{ListenerOpts, TcpListener};
use prometheus::{Registry, TextEncoder};
use snafu::{ResultExt, Snafu};

use crate::admission;
use crate::admission::status::ADMISSION_PATH;
use crate::context::EdgeContext;
use crate::dialect::Dialect;
use crate::feed::Feed;
use crate::feed_policy::FeedPolicy;
use crate::homes::HomeDirectory;
use crate::load_control::LoadControl;
use crate::metrics::EdgeMetrics;
use crate::peer_feed::{Offers, PeerAnswers};
use crate::poison::PoisonDetector;
use crate::poison::status::{REJECTED_PATH, RELEASE_PATH, RELEASE_PURPOSE};
use crate::presence::VmEntries;
use crate::quota::state::Quota;
use crate::quota::{exchange, status};
use crate::reachability::diagnosis;
use crate::relay::targets::RelayTargets;
use crate::request_limit::state::RequestLimits;
use crate::request_limit::status::LIMITS_PATH;
use crate::rollout::state::Rollouts;
use crate::rollout::status::ROLLOUTS_PATH;
use crate::round_trip::RegionRoundTrips;
use crate::routing_state::RoutingState;
use crate::settings::{Bounds, EdgeConfig};
use crate::switches::{Mechanism, Switches};
use crate::{
    backpressure, call, entry_maintenance, forward, hand_over, locality_update, lookup,
    lost_records, peer_feed, poison, presence, reachability, reply, request_limit, request_log,
    request_work, rollout, round_trip, route_agreement, stop, upstream,
};

/// Interval of the periodic maintenance in [`tick`].
const TICK_INTERVAL: Millis = Millis(250);
/// Number of ticks between two sweeps of idle connections.
const TICKS_PER_SWEEP: u64 = 8;
/// Number of ticks between two log lines about the use of a service's retry budget.
const TICKS_PER_BUDGET_REPORT: u64 = 4;
/// Purpose from which the token of handed-over requests is derived.
const HAND_OVER_PURPOSE: &str = "requests handed over";
/// Purpose from which the key of the quick request hashes is derived.
const QUICK_HASH_PURPOSE: &str = "quick hashes of requests";
/// Path of the client accounts' status on the metrics address.
pub const ACCOUNTS_PATH: &str = "/accounts";
/// `retry-after` of a lookup that found no VM.
const LOOKUP_RETRY_AFTER: Millis = Millis(300);
/// Number of pipelined requests of one connection that are handled beside its first one. Their
/// responses wait in memory for the one before them, at most 64 KB each, so half a megabyte for
/// each connection.
const MAX_PIPELINED: usize = 8;
/// Longest message between daemons, in bytes. The largest one is the copy of the store's keys of a
/// whole deployment.
const MAX_PEER_MESSAGE: usize = 4 << 20;

/// Why a daemon did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// Listening on an address failed.
    #[snafu(display("listen for {purpose} on {address}: {source}"))]
    Listen {
        /// What the address is for.
        purpose: &'static str,
        /// Address in the start settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Listening on the address for peers failed.
    #[snafu(display("listen for peers: {source}"))]
    Peers {
        /// Error of the peer package.
        source: PeerError,
    },
    /// Two parts of the daemon register the same metric name.
    #[snafu(display("register metrics: {source}"))]
    Metrics {
        /// Error of the registry.
        source: prometheus::Error,
    },
    /// The start settings don't state the region of this VM's failure domain.
    #[snafu(display("start settings: key 'domains': no region for this VM's domain '{domain}'"))]
    NoRegion {
        /// This VM's failure domain.
        domain: DomainName,
    },
}

/// What a platform adapter supplies.
pub struct Platform {
    /// Names and formats.
    pub dialect: Dialect,
    /// Client of the platform's store.
    pub store: Store,
    /// Whether the deployment's contracts require load control.
    pub requires_load_control: bool,
}

/// Runs a daemon until `shutdown` completes, and then shuts it down as planned.
///
/// # Errors
///
/// Returns an error if the daemon can't listen on its addresses, can't register its metrics, or
/// doesn't find its region in the start settings.
///
/// # Panics
///
/// Panics outside a `monoio` runtime with a timer.
pub async fn run(
    cfg: EdgeConfig,
    platform: Platform,
    shutdown: impl Future<Output = ()>,
) -> Result<(), StartError> {
    let listen_at = cfg.listen.clone();
    let requests = listen("requests", listen_at.requests)?;
    let ready = listen("readiness", listen_at.ready)?;
    let lookups = listen("look-ups", listen_at.lookups)?;
    let metrics = listen("metrics", listen_at.metrics)?;
    let hand_over_listener = listen_at
        .handed
        .map(|at| listen("requests handed over", at));
    let hand_over_listener = hand_over_listener.transpose()?;
    let cx = make_context(cfg, platform)?;
    spawn_tasks(&cx);
    let limits = request_limits(&cx);
    let mut servers = vec![monoio::spawn(serve(
        requests,
        request_handler(&cx),
        limits.clone(),
        cx.stop.clone(),
    ))];
    if let Some(listener) = hand_over_listener {
        let limits = hand_over_limits(limits);
        let handler = hand_over_handler(&cx);
        servers.push(monoio::spawn(serve(
            listener,
            handler,
            limits,
            cx.stop.clone(),
        )));
    }
    let stopped = Flag::new();
    for (listener, handler) in [
        (ready, ready_handler(&cx)),
        (lookups, lookup_handler(&cx)),
        (metrics, metrics_handler(&cx)),
    ] {
        monoio::spawn(serve(listener, handler, Limits::default(), stopped.clone()));
    }
    log::info!(vm:% = cx.cfg.vm, incarnation:% = cx.incarnation, domain:% = cx.cfg.domain,
        region:% = cx.region, requests:% = listen_at.requests, peers:% = listen_at.peers; "listening");
    shutdown.await;
    stop::run(&cx, servers).await;
    stopped.fire();
    Ok(())
}

fn listen(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let opts = ListenerOpts::new().reuse_port(false).reuse_addr(true);
    TcpListener::bind_with_config(address, &opts).context(ListenSnafu { purpose, address })
}

fn make_context(cfg: EdgeConfig, platform: Platform) -> Result<Rc<EdgeContext>, StartError> {
    let Platform {
        dialect,
        store,
        requires_load_control,
    } = platform;
    let load_control = LoadControl::new(cfg.load_control, requires_load_control);
    let bounds = Bounds::from(&cfg.bounds);
    let timer = Timer::system();
    let routing_state = make_routing_state(&cfg, &dialect, &timer);
    let feed = make_feed(&store, &timer, &routing_state, &bounds);
    let registry = Registry::new();
    let metrics = EdgeMetrics::register(&registry).context(MetricsSnafu)?;
    let mut rng = fastrand::Rng::new();
    let incarnation = Incarnation(rng.u64(1..));
    let entries = Rc::new(VmEntries::new(Rc::clone(&feed)));
    let quota = Rc::new(Quota::new(timer.clone(), Rc::clone(&routing_state)));
    let offers = Rc::new(Offers::default());
    let answers = PeerAnswers::new(&feed, &offers, &timer);
    let mut methods = make_methods(&answers, &quota, &routing_state);
    let rollouts = make_rollouts(&cfg, &dialect, &timer, &feed, &routing_state, &mut methods);
    let request_limits = make_request_limits(&cfg, &timer, &routing_state, &mut methods);
    let poison = make_poison(&cfg, &timer, &feed, &mut methods);
    let (membership, net) = join_peers(&cfg, incarnation, methods, &entries, &timer)?;
    Ok(Rc::new(EdgeContext {
        region: own_region(&cfg)?,
        incarnation,
        started: timer.now(),
        timer,
        rng: RefCell::new(rng),
        load_control,
        routing_state,
        feed,
        offers,
        store,
        membership,
        net,
        entries,
        has_read_vm_entries: Cell::new(false),
        store_rtt: Cell::new(None),
        feed_topology: RefCell::default(),
        vms: RefCell::default(),
        refresh_input: RefCell::default(),
        max_vms_seen: Cell::new(0),
        services: RefCell::default(),
        splits: RefCell::default(),
        routes: RefCell::default(),
        body_memory: ReplayBudget::new(cfg.kept_bodies_bytes()),
        homes: HomeDirectory::default(),
        relay_targets: RelayTargets::default(),
        hand_over_token: derive_token(&cfg, HAND_OVER_PURPOSE),
        release_token: derive_token(&cfg, RELEASE_PURPOSE),
        quota,
        poison,
        rollouts,
        over_limit_log: RefCell::default(),
        backoff_log: RefCell::default(),
        request_limits,
        round_trips: RegionRoundTrips::default(),
        metrics,
        registry,
        leaving: Flag::new(),
        stop: Flag::new(),
        cut_off: Flag::new(),
        dialect,
        bounds,
        switches: Switches::without(&cfg.off),
        cfg,
    }))
}

fn make_feed(
    store: &Store,
    timer: &Timer,
    routing_state: &Rc<RefCell<RoutingState>>,
    bounds: &Bounds,
) -> Rc<Feed> {
    Feed::new(
        store.clone(),
        timer.clone(),
        Rc::clone(routing_state),
        bounds.store_settle_time,
    )
}

/// Returns the methods that peers may call, without those of rollouts, request limits and poison
/// requests.
fn make_methods(
    answers: &PeerAnswers,
    quota: &Rc<Quota>,
    routing_state: &Rc<RefCell<RoutingState>>,
) -> MethodTable {
    let mut methods = MethodTable::default();
    peer_feed::register(&mut methods, answers);
    round_trip::register(&mut methods);
    exchange::register(&mut methods, quota);
    diagnosis::register(&mut methods, routing_state);
    methods
}

fn make_rollouts(
    cfg: &EdgeConfig,
    dialect: &Dialect,
    timer: &Timer,
    feed: &Rc<Feed>,
    routing_state: &Rc<RefCell<RoutingState>>,
    methods: &mut MethodTable,
) -> Rc<Rollouts> {
    let rollouts = Rc::new(Rollouts::new(timer.clone(), Rc::clone(routing_state)));
    rollout::exchange::register(methods, &rollouts, &cfg.domain);
    rollout::exchange::subscribe(feed, &rollouts, dialect.keys.rollout_prefix);
    rollouts
}

fn make_request_limits(
    cfg: &EdgeConfig,
    timer: &Timer,
    routing_state: &Rc<RefCell<RoutingState>>,
    methods: &mut MethodTable,
) -> Rc<RequestLimits> {
    let limits = RequestLimits::new(timer.clone(), cfg.vm.clone(), Rc::clone(routing_state));
    let limits = Rc::new(limits);
    request_limit::register(methods, &limits);
    limits
}

fn make_poison(
    cfg: &EdgeConfig,
    timer: &Timer,
    feed: &Rc<Feed>,
    methods: &mut MethodTable,
) -> Rc<PoisonDetector> {
    let key = hash::digest(derive_token(cfg, QUICK_HASH_PURPOSE).as_bytes());
    let poison = Rc::new(PoisonDetector::new(timer.clone(), key));
    poison::exchange::register(methods, &poison, &cfg.domain);
    poison::records::subscribe(feed, &poison);
    poison
}

/// Derives a token that only holders of the deployment's secret can compute.
fn derive_token(cfg: &EdgeConfig, purpose: &str) -> String {
    Secret::new(cfg.secret.as_bytes()).token(purpose)
}

/// Returns the region of this VM's failure domain.
fn own_region(cfg: &EdgeConfig) -> Result<RegionName, StartError> {
    let domain = &cfg.domain;
    let region = cfg.domains.get(domain).cloned();
    region.ok_or_else(|| {
        NoRegionSnafu {
            domain: domain.clone(),
        }
        .build()
    })
}

fn make_routing_state(
    cfg: &EdgeConfig,
    dialect: &Dialect,
    timer: &Timer,
) -> Rc<RefCell<RoutingState>> {
    let routing_state = RoutingState::new(
        dialect.clone(),
        cfg.domains.clone(),
        upstream::pool_config(dialect),
        timer.clock.clone(),
    );
    let routing_state = routing_state.with_canary_share(Bounds::from(&cfg.bounds).canary_share);
    Rc::new(RefCell::new(routing_state))
}

fn join_peers(
    cfg: &EdgeConfig,
    incarnation: Incarnation,
    mut methods: MethodTable,
    entries: &Rc<VmEntries>,
    timer: &Timer,
) -> Result<(Membership, PeerNet), StartError> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let epoch = since_epoch.unwrap_or_default().as_millis() as u64;
    let me = PeerId {
        vm: cfg.vm.clone(),
        domain: cfg.domain.clone(),
        incarnation,
        epoch,
        address: cfg.listen.peers,
        callers: Some(cfg.listen.requests),
    };
    let membership_cx = MembershipContext {
        seeds: cfg.seeds.clone(),
        platform: Some(presence::vm_list(entries)),
        revision: Rc::new(Revision::default),
        reports: None,
        hooks: MembershipHooks::default(),
        options: MembershipOptions {
            suspicion_timeout: Millis(2_000),
            other_domain_periods: 3,
            vm_list_periods: 2,
            answer_timeout: Millis(700),
            ..MembershipOptions::default()
        },
        rng: fastrand::Rng::new(),
    };
    let membership = Membership::new(membership_cx, me, timer.clone(), &mut methods);
    let net = PeerNet::start(PeerContext {
        deployment: cfg.deployment.clone(),
        secret: Secret::new(cfg.secret.as_bytes()),
        vm: cfg.vm.clone(),
        domain: cfg.domain.clone(),
        incarnation,
        epoch,
        listen: cfg.listen.peers,
        advertise: None,
        callers: Some(cfg.listen.requests),
        timer: timer.clone(),
        dial: PeerContext::system_dial(),
        options: PeerOptions {
            max_message: MAX_PEER_MESSAGE,
            ..PeerOptions::default()
        },
        methods,
    })
    .context(PeersSnafu)?;
    Ok((membership, net))
}

fn request_limits(cx: &Rc<EdgeContext>) -> Limits {
    let drain_timeout = stop::drain_timeout(cx.bounds.grace);
    let caller_cx = Rc::clone(cx);
    Limits {
        ahead: cx.switches.is_on(Mechanism::Ahead).then(|| AheadRule {
            most: MAX_PIPELINED,
            is_allowed: Rc::new(move |head| call::may_pipeline(&caller_cx, head)),
        }),
        stop_grace: Duration::from_millis(drain_timeout.0),
        ..Limits::default()
    }
}

/// Returns the limits for requests that other daemons hand over. Their connections stay open
/// between requests, since there are few of them and opening a new one costs a round trip.
fn hand_over_limits(limits: Limits) -> Limits {
    Limits {
        kept_headers: &[
            hand_over::HAND_OVER_HEADER,
            hand_over::CALLER_LEFT_HEADER,
            route_agreement::AGREEMENT_HEADER,
        ],
        ahead: None,
        ..limits
    }
}

fn spawn_tasks(cx: &Rc<EdgeContext>) {
    presence::refresh(cx);
    FeedPolicy::new(cx).apply(&cx.feed);
    monoio::spawn(Rc::clone(&cx.feed).run());
    monoio::spawn(entry_maintenance::run(Rc::clone(cx)));
    monoio::spawn(lost_records::run(Rc::clone(cx)));
    peer_feed::start(cx);
    monoio::spawn(round_trip::run(Rc::clone(cx)));
    monoio::spawn(exchange::run(Rc::clone(cx)));
    monoio::spawn(poison::exchange::run(Rc::clone(cx)));
    monoio::spawn(poison::records::run(Rc::clone(cx)));
    monoio::spawn(rollout::exchange::run(Rc::clone(cx)));
    monoio::spawn(rollout::writer::run(Rc::clone(cx)));
    monoio::spawn(request_limit::run(Rc::clone(cx)));
    monoio::spawn(request_limit::fetch_from_peers(Rc::clone(cx)));
    monoio::spawn(reachability::probe::run(Rc::clone(cx)));
    monoio::spawn(tick(Rc::clone(cx)));
    cx.membership.run(cx.net.clone());
}

/// Runs the periodic maintenance: drops backend servers whose store entries stay missing, refreshes
/// the live VMs, updates where objects are served, and sweeps idle connections.
async fn tick(cx: Rc<EdgeContext>) {
    for round in 1_u64.. {
        cx.timer.wait(TICK_INTERVAL).await;
        cx.feed.accept_unconfirmed();
        if cx.feed.is_settled() {
            cx.routing_state.borrow_mut().remove_missing();
        }
        presence::refresh(&cx);
        locality_update::run(&cx);
        if round.is_multiple_of(TICKS_PER_BUDGET_REPORT) {
            request_log::record_retry_budgets(&cx);
        }
        if round.is_multiple_of(TICKS_PER_SWEEP) {
            let routing_state = cx.routing_state.borrow();
            routing_state
                .all_upstreams()
                .for_each(|upstream| upstream.pool.sweep());
            cx.homes.sweep();
            request_limit::status::update_metrics(&cx, &routing_state);
            reachability::update_metrics(&cx, &routing_state);
            backpressure::update_metrics(&cx, &routing_state);
            request_work::update_metrics(&cx);
            let version = routing_state.catalog().map_or(0, |catalog| catalog.version);
            cx.metrics.catalog_version.set(version as i64);
            lost_records::update_metrics(&cx);
        }
    }
}

fn request_handler(cx: &Rc<EdgeContext>) -> Handler {
    let cx = Rc::clone(cx);
    Rc::new(move |req| Box::pin(catch_panic(forward::handle(Rc::clone(&cx), req))))
}

fn hand_over_handler(cx: &Rc<EdgeContext>) -> Handler {
    let cx = Rc::clone(cx);
    Rc::new(move |req| Box::pin(catch_panic(hand_over::handle(Rc::clone(&cx), req))))
}

/// Limits a panic in a request handler to that request. Otherwise it would end the process with
/// everything that the VM was working on, and then the next VM to which the caller sends the
/// request.
async fn catch_panic(handler: impl Future<Output = Response>) -> Response {
    let result = AssertUnwindSafe(handler).catch_unwind().await;
    result.unwrap_or_else(|_| {
        log::error!("request handler panicked");
        reply::outcome_unknown("its handling failed")
    })
}

fn ready_handler(cx: &Rc<EdgeContext>) -> Handler {
    let cx = Rc::clone(cx);
    Rc::new(move |req| {
        let status = match ((cx.dialect.is_readiness_check)(&req), cx.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        Box::pin(std::future::ready(Response::text(status, "")))
    })
}

fn lookup_handler(cx: &Rc<EdgeContext>) -> Handler {
    let cx = Rc::clone(cx);
    Rc::new(move |req| {
        let response = match (cx.dialect.lookup)(&req) {
            Err(cause) => Response::text(StatusCode::BAD_REQUEST, cause),
            Ok(query) => match lookup::look_up(&cx, &query) {
                Some(answer) => {
                    cx.metrics.lookups.inc();
                    (cx.dialect.lookup_answer)(&answer)
                }
                None => reply::not_run("no VM can be named", LOOKUP_RETRY_AFTER),
            },
        };
        Box::pin(std::future::ready(response))
    })
}

/// Serves the metrics address: the status of client accounts and rejected requests, and the
/// metrics.
fn metrics_handler(cx: &Rc<EdgeContext>) -> Handler {
    let cx = Rc::clone(cx);
    Rc::new(move |req| {
        let cx = Rc::clone(&cx);
        Box::pin(async move {
            match req.head.path() {
                ACCOUNTS_PATH => accounts_page(&cx),
                REJECTED_PATH | RELEASE_PATH => poison::status::handle(&cx, req).await,
                ADMISSION_PATH => admission::status::page(&cx),
                LIMITS_PATH => request_limit::status::page(&cx),
                ROLLOUTS_PATH => rollout::status::page(&cx),
                _ => metrics_page(&cx),
            }
        })
    })
}

fn metrics_page(cx: &EdgeContext) -> Response {
    match TextEncoder::new().encode_to_string(&cx.registry.gather()) {
        Ok(text) => Response::text(StatusCode::OK, text),
        Err(error) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}

fn accounts_page(cx: &EdgeContext) -> Response {
    let catalog = cx.routing_state.borrow().catalog().cloned();
    let accounts = catalog.as_ref().and_then(|catalog| catalog.accounts());
    let statuses = accounts.map(|accounts| status::statuses(&cx.quota, accounts));
    match serde_json::to_vec(&statuses.unwrap_or_default()) {
        Ok(body) => Response::json(StatusCode::OK, body),
        Err(error) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}
