//! Starts a daemon on the platform, runs it, and stops it as planned.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures_util::FutureExt;
use heatherknot_http::{AheadRule, Flag, Handler, KeepRoom, Limits, PoolConfig, Response, serve};
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

use crate::context::EdgeContext;
use crate::dialect::Dialect;
use crate::feed::Feed;
use crate::homes::HomeDirectory;
use crate::metrics::EdgeMetrics;
use crate::poison::PoisonDetector;
use crate::poison::status::{REJECTED_PATH, RELEASE_PATH, RELEASE_PURPOSE};
use crate::presence::VmEntries;
use crate::quota::state::Quota;
use crate::quota::{exchange, status};
use crate::round_trip::RegionRoundTrips;
use crate::settings::{Bounds, EdgeConfig};
use crate::switches::{Mechanism, Switches};
use crate::upstream::{self, IDLE_TIMEOUT};
use crate::world::RoutingState;
use crate::{
    call, enter, forward, hand_over, lookup, peer_feed, poison, presence, reply, round_trip,
    spillover_update, stop,
};

/// How often idle connections are looked through, and missing backend servers.
const TICK: Millis = Millis(250);
/// Ticks for each look through idle connections.
const TICKS_A_SWEEP: u64 = 8;
/// What the token of requests that are handed over is made for.
const HANDED_PURPOSE: &str = "requests handed over";
/// What the key of quick hashes of requests is made for.
const QUICK_PURPOSE: &str = "quick hashes of requests";
/// Where a daemon tells what it knows of client accounts, on its metrics address.
pub const ACCOUNTS_PATH: &str = "/accounts";
/// When a caller may repeat a look-up that found no VM.
const LOOKUP_RETURN: Millis = Millis(300);
/// Requests of one connection that are handled beside its first one. Their answers wait in
/// memory for the one before them, 64 KB each at most, so half a megabyte a connection.
const MOST_AHEAD: usize = 8;
/// The longest pause between two tries of the store by a leader of a domain that is no reader.
const LEADER_PAUSE: Millis = Millis(1_500);
/// The same for any other VM, however many there are. A VM that no peer tells anything of use
/// is to find the store again in bearable time.
const LONGEST_ALONE: Millis = Millis(15_000);
/// The longest message between daemons: the copy of the store's keys of a whole deployment.
const MAX_PEER_MESSAGE: usize = 4 << 20;

/// Why a daemon did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address can't be listened on.
    #[snafu(display("listen for {purpose} on {address}: {source}"))]
    Listen {
        /// Who was to connect there.
        purpose: &'static str,
        /// The address in the start settings.
        address: SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The address for peers can't be listened on.
    #[snafu(display("listen for peers: {source}"))]
    Peers {
        /// What the peer package said.
        source: PeerError,
    },
    /// Two parts of the daemon use one metric's name.
    #[snafu(display("register metrics: {source}"))]
    Metrics {
        /// What the registry said.
        source: prometheus::Error,
    },
    /// The region of this VM's failure domain is not stated.
    #[snafu(display("start settings: key 'domains': no region for this VM's domain '{domain}'"))]
    NoRegion {
        /// The failure domain.
        domain: DomainName,
    },
}

/// What a platform's adapter supplies.
pub struct Platform {
    /// Names and formats.
    pub dialect: Dialect,
    /// The store.
    pub store: Store,
}

/// Runs a daemon until `until` is ready, and then stops it as planned.
///
/// # Errors
///
/// Fails where the daemon can't listen on its addresses.
///
/// # Panics
///
/// Panics outside a `monoio` runtime with a timer.
pub async fn run(
    cfg: EdgeConfig,
    platform: Platform,
    until: impl Future<Output = ()>,
) -> Result<(), StartError> {
    let listen_at = cfg.listen.clone();
    let requests = listen("requests", listen_at.requests)?;
    let ready = listen("readiness", listen_at.ready)?;
    let lookups = listen("look-ups", listen_at.lookups)?;
    let metrics = listen("metrics", listen_at.metrics)?;
    let handed = listen_at
        .handed
        .map(|at| listen("requests handed over", at));
    let handed = handed.transpose()?;
    let cx = make_context(cfg, platform)?;
    spawn_tasks(&cx);
    let limits = request_limits(&cx);
    let mut serving = vec![monoio::spawn(serve(
        requests,
        request_handler(&cx),
        limits.clone(),
        cx.stop.clone(),
    ))];
    if let Some(handed) = handed {
        let limits = handed_limits(limits);
        let handler = handed_handler(&cx);
        serving.push(monoio::spawn(serve(
            handed,
            handler,
            limits,
            cx.stop.clone(),
        )));
    }
    let ended = Flag::new();
    for (listener, handler) in [
        (ready, ready_handler(&cx)),
        (lookups, lookup_handler(&cx)),
        (metrics, metrics_handler(&cx)),
    ] {
        monoio::spawn(serve(listener, handler, Limits::default(), ended.clone()));
    }
    log::info!(vm:% = cx.cfg.vm, incarnation:% = cx.incarnation, domain:% = cx.cfg.domain,
        region:% = cx.region, requests:% = listen_at.requests, peers:% = listen_at.peers; "listening");
    until.await;
    stop::run(&cx, serving).await;
    ended.fire();
    Ok(())
}

fn listen(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let opts = ListenerOpts::new().reuse_port(false).reuse_addr(true);
    TcpListener::bind_with_config(address, &opts).context(ListenSnafu { purpose, address })
}

fn make_context(cfg: EdgeConfig, platform: Platform) -> Result<Rc<EdgeContext>, StartError> {
    let Platform { dialect, store } = platform;
    let bounds = Bounds::from(&cfg.bounds);
    let region = own_region(&cfg)?;
    let timer = Timer::system();
    let world = make_world(&cfg, &dialect, &timer);
    let feed = Feed::new(
        store.clone(),
        timer.clone(),
        Rc::clone(&world),
        bounds.settle,
    );
    let registry = Registry::new();
    let metrics = EdgeMetrics::register(&registry).context(MetricsSnafu)?;
    let mut rng = fastrand::Rng::new();
    let incarnation = Incarnation(rng.u64(1..));
    let entries = Rc::new(VmEntries::new(Rc::clone(&feed)));
    let mut methods = MethodTable::default();
    peer_feed::register(&mut methods, &feed, &timer);
    round_trip::register(&mut methods);
    let quota = Rc::new(Quota::new(timer.clone(), Rc::clone(&world)));
    exchange::register(&mut methods, &quota);
    let poison = make_poison(&cfg, &timer, &feed, &mut methods);
    let (membership, net) = join_peers(&cfg, incarnation, methods, &entries, &timer)?;
    Ok(Rc::new(EdgeContext {
        region,
        incarnation,
        timer,
        rng: RefCell::new(rng),
        world,
        feed,
        store,
        membership,
        net,
        entries,
        has_read_vm_entries: Cell::new(false),
        store_latency: Cell::new(None),
        relay: RefCell::default(),
        vms: RefCell::default(),
        max_vms_seen: Cell::new(0),
        services: RefCell::default(),
        splits: RefCell::default(),
        routes: RefCell::default(),
        kept_bodies: KeepRoom::new(cfg.kept_bodies_bytes()),
        homes: HomeDirectory::default(),
        handed_token: token(&cfg, HANDED_PURPOSE),
        release_token: token(&cfg, RELEASE_PURPOSE),
        quota,
        poison,
        refused_lines: RefCell::default(),
        distances: RegionRoundTrips::default(),
        metrics,
        registry,
        leaving: Flag::new(),
        stop: Flag::new(),
        dialect,
        bounds,
        switches: Switches::without(&cfg.off),
        cfg,
    }))
}

fn make_poison(
    cfg: &EdgeConfig,
    timer: &Timer,
    feed: &Rc<Feed>,
    methods: &mut MethodTable,
) -> Rc<PoisonDetector> {
    let key = hash::digest(token(cfg, QUICK_PURPOSE).as_bytes());
    let poison = Rc::new(PoisonDetector::new(timer.clone(), key));
    poison::exchange::register(methods, &poison, &cfg.domain);
    poison::records::subscribe(feed, &poison);
    poison
}

/// Gives a word that only holders of the deployment's secret can make.
fn token(cfg: &EdgeConfig, purpose: &str) -> String {
    Secret::new(cfg.secret.as_bytes()).token(purpose)
}

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

fn make_world(cfg: &EdgeConfig, dialect: &Dialect, timer: &Timer) -> Rc<RefCell<RoutingState>> {
    let world = RoutingState::new(
        dialect.clone(),
        cfg.domains.clone(),
        upstream_pool(dialect),
        timer.clock.clone(),
    );
    Rc::new(RefCell::new(world))
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

/// Gives the settings of the connections to backend servers.
///
/// A server that is gone without a word answers no packet. Connecting to it is given up
/// while the request can still be answered elsewhere, and a request that it took is found
/// out by probes within about three seconds.
fn upstream_pool(dialect: &Dialect) -> PoolConfig {
    PoolConfig {
        max_connections: 64,
        max_idle: IDLE_TIMEOUT,
        max_idle_once: Millis(2_000),
        connect_timeout: Duration::from_millis(500),
        liveness: upstream::liveness_options(),
        may_end_with_connection: true,
        echoed: Some(dialect.headers.request_id.clone()),
        ..PoolConfig::default()
    }
}

fn request_limits(cx: &Rc<EdgeContext>) -> Limits {
    let finishing = stop::finishing_time(cx.bounds.grace);
    let caller_cx = Rc::clone(cx);
    Limits {
        ahead: cx.switches.is_on(Mechanism::Ahead).then(|| AheadRule {
            most: MOST_AHEAD,
            may: Rc::new(move |head| call::may_go_ahead(&caller_cx, head)),
        }),
        stop_grace: Duration::from_millis(finishing.0),
        ..Limits::default()
    }
}

/// Gives the limits of requests that other daemons hand over. Their connections stay open between
/// requests, since there are few of them and each opened anew costs a round trip.
fn handed_limits(limits: Limits) -> Limits {
    Limits {
        kept_headers: &[hand_over::HANDED],
        ahead: None,
        ..limits
    }
}

fn spawn_tasks(cx: &Rc<EdgeContext>) {
    presence::refresh(cx);
    let reader = Rc::downgrade(cx);
    let tries = Rc::downgrade(cx);
    cx.feed.set_watch_policy(
        move || reader.upgrade().is_none_or(|cx| is_to_read_store(&cx)),
        move || tries.upgrade().map(|cx| pause_alone(&cx)),
    );
    monoio::spawn(Rc::clone(&cx.feed).follow());
    monoio::spawn(enter::run(Rc::clone(cx)));
    monoio::spawn(peer_feed::run(Rc::clone(cx)));
    monoio::spawn(peer_feed::fetch_from_seeds(Rc::clone(cx)));
    monoio::spawn(round_trip::run(Rc::clone(cx)));
    monoio::spawn(exchange::run(Rc::clone(cx)));
    monoio::spawn(poison::exchange::run(Rc::clone(cx)));
    monoio::spawn(poison::records::run(Rc::clone(cx)));
    monoio::spawn(tick(Rc::clone(cx)));
    cx.membership.run(cx.net.clone());
}

/// Says whether this VM is one of those that read the store. After a start the head of a far
/// domain reads it as well: what its domain waits for is there sooner than over another VM.
fn is_to_read_store(cx: &EdgeContext) -> bool {
    let relay = cx.relay.borrow();
    let me = &cx.cfg.vm;
    let is_first_reading = cx.feed.is_awaiting_peers() && relay.is_head(me, &cx.cfg.domain);
    let stands_in = cx.feed.is_substitute_watcher() && relay.is_leader(me, &cx.cfg.domain);
    cx.has_read_vm_entries.get() && (relay.reads_store(me) || is_first_reading || stands_in)
}

/// Gives the pause between two tries of a store that does not answer, by a VM that is not one of
/// its readers. A domain's leaders try about once a second, the other VMs together as often as
/// one of those: who tries matters little, since one that succeeds tells the others.
fn pause_alone(cx: &EdgeContext) -> Millis {
    let is_leader = cx.relay.borrow().is_leader(&cx.cfg.vm, &cx.cfg.domain);
    let vms = match is_leader {
        true => 1,
        false => presence::live_vms(cx).len() as u64,
    };
    let longest = LEADER_PAUSE.0.saturating_mul(vms).min(LONGEST_ALONE.0);
    Millis(cx.rng.borrow_mut().u64(longest / 2..=longest.max(1)))
}

async fn tick(cx: Rc<EdgeContext>) {
    for round in 1_u64.. {
        cx.timer.wait(TICK).await;
        if cx.feed.is_settled() {
            cx.world.borrow_mut().remove_missing();
        }
        presence::refresh(&cx);
        spillover_update::run(&cx);
        if round.is_multiple_of(TICKS_A_SWEEP) {
            let world = cx.world.borrow();
            world
                .all_upstreams()
                .for_each(|upstream| upstream.pool.sweep());
            cx.homes.sweep();
            let version = world.catalog().map_or(0, |catalog| catalog.version);
            cx.metrics.catalog_version.set(version as i64);
        }
    }
}

fn request_handler(cx: &Rc<EdgeContext>) -> Handler {
    let cx = Rc::clone(cx);
    Rc::new(move |req| Box::pin(contain(forward::handle(Rc::clone(&cx), req))))
}

fn handed_handler(cx: &Rc<EdgeContext>) -> Handler {
    let cx = Rc::clone(cx);
    Rc::new(move |req| Box::pin(contain(hand_over::handle(Rc::clone(&cx), req))))
}

/// Has a panic in the handling of a request end that request alone. It would end the process, all
/// that the VM was working on, and the next VM to which the caller brings the request.
async fn contain(handling: impl Future<Output = Response>) -> Response {
    let handled = AssertUnwindSafe(handling).catch_unwind().await;
    handled.unwrap_or_else(|_| {
        log::error!("the handling of a request panicked");
        reply::unknown("its handling failed")
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
                None => reply::not_run("no VM can be named", LOOKUP_RETURN),
            },
        };
        Box::pin(std::future::ready(response))
    })
}

/// Answers on the metrics address: what is known of client accounts, of rejected requests, or the
/// metrics.
fn metrics_handler(cx: &Rc<EdgeContext>) -> Handler {
    let cx = Rc::clone(cx);
    Rc::new(move |req| {
        let cx = Rc::clone(&cx);
        Box::pin(async move {
            match req.head.path() {
                ACCOUNTS_PATH => accounts_page(&cx),
                REJECTED_PATH | RELEASE_PATH => poison::status::handle(&cx, req).await,
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
    let catalog = cx.world.borrow().catalog().cloned();
    let accounts = catalog.as_ref().and_then(|catalog| catalog.accounts());
    let statuses = accounts.map(|accounts| status::statuses(&cx.quota, accounts));
    match serde_json::to_vec(&statuses.unwrap_or_default()) {
        Ok(body) => Response::json(StatusCode::OK, body),
        Err(error) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}
