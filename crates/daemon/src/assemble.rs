//! Puts the parts of a daemon together.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use heatherknot_gateway::slots::Member;
use heatherknot_gateway::{Gateway, GatewayContext, GatewaySettings};
use heatherknot_http::Flag;
use heatherknot_peer::{
    Membership, MembershipContext, MembershipHooks, MembershipOptions, MethodTable, PeerContext,
    PeerId, PeerNet, PeerOptions, Relay, RelayOptions, Secret,
};
use heatherknot_settings::SettingsReplica;
use heatherknot_steering::{Identity, Steering, Tuning};
use heatherknot_store::backoff::Backoff;
use heatherknot_store::budget::{self, CallLimits, PlatformRates};
use heatherknot_store::http_store::{self, StoreConfig};
use heatherknot_store::http_vm_list;
use heatherknot_store::port::Store;
use heatherknot_store::vm_list::VmList;
use heatherknot_types::prelude::*;
use prometheus::Registry;
use snafu::ResultExt;

use crate::config::Config;
use crate::context::{ContextCell, DaemonContext};
use crate::metrics::DaemonMetrics;
use crate::operators::fleet;
use crate::ports::{claims, grants, hand_over, settings, slots};
use crate::settings_task;
use crate::start::{MetricsSnafu, PeersSnafu, StartError};

/// What the parts of a daemon are made from.
struct Basics {
    cfg: Config,
    me: Member,
    clock: Clock,
    rng: Rc<RefCell<fastrand::Rng>>,
    callers: SocketAddr,
    store: Store,
    vm_list: VmList,
    holder: Rc<RefCell<SettingsReplica>>,
    leaving: Flag,
    cell: ContextCell,
}

/// The parts that speak with other daemons.
struct Links {
    net: PeerNet,
    membership: Membership,
    relay: Relay,
}

/// Makes a daemon that listens for peers and has no running task of its own yet.
///
/// # Errors
///
/// Fails where the address for peers can't be listened on.
pub fn make_context(cfg: Config, callers: SocketAddr) -> Result<Rc<DaemonContext>, StartError> {
    let basics = basics(cfg, callers);
    let links = link(&basics)?;
    let registry = Registry::new();
    let steering = Rc::new(RefCell::new(steering(&basics)));
    let gateway = gateway(&basics, &links, &steering, &registry).context(MetricsSnafu)?;
    let metrics = DaemonMetrics::register(&registry).context(MetricsSnafu)?;
    let cx = Rc::new(DaemonContext {
        me: basics.me,
        in_force_since: Cell::new(basics.clock.now()),
        clock: basics.clock,
        rng: basics.rng,
        steering,
        gateway,
        net: links.net,
        store: basics.store,
        membership: links.membership,
        relay: links.relay,
        callers,
        vm_list: basics.vm_list,
        holder: basics.holder,
        members_version: Cell::new(0),
        directory: RefCell::default(),
        metrics,
        registry,
        leaving: basics.leaving,
        replaced: Flag::new(),
        stop: Flag::new(),
        cfg: basics.cfg,
    });
    basics.cell.set(Rc::clone(&cx));
    Ok(cx)
}

fn basics(cfg: Config, callers: SocketAddr) -> Basics {
    let clock = Clock::system();
    let cell = ContextCell::default();
    let mut rng = fastrand::Rng::new();
    Basics {
        me: Member {
            vm: cfg.vm.clone(),
            incarnation: Incarnation(rng.u64(1..)),
        },
        rng: Rc::new(RefCell::new(rng)),
        callers,
        store: limited_store(&cfg, &cell, &clock),
        vm_list: http_vm_list::connect(cfg.platform.vm_list, VM_LIST_TIMEOUT),
        holder: Rc::new(RefCell::new(SettingsReplica::new())),
        leaving: Flag::new(),
        clock,
        cell,
        cfg,
    }
}

fn link(basics: &Basics) -> Result<Links, StartError> {
    let mut methods = MethodTable::default();
    slots::register(&mut methods, &basics.cell);
    grants::register(&mut methods, &basics.cell);
    fleet::register(&mut methods, &basics.cell);
    let relay = Relay::new(
        settings_task::port(&basics.holder, &basics.cell),
        Some(settings::store_port(&basics.store)),
        Timer::system(),
        RelayOptions::default(),
        &mut methods,
    );
    let id = peer_id(&basics.cfg, &basics.me, basics.callers);
    let membership = Membership::new(
        membership_context(basics, &relay),
        id.clone(),
        Timer::system(),
        &mut methods,
    );
    let net = start_peers(&basics.cfg, id, methods)?;
    Ok(Links {
        net,
        membership,
        relay,
    })
}

fn steering(basics: &Basics) -> Steering {
    let identity = Identity {
        vm: basics.me.vm.clone(),
        domain: basics.cfg.domain.clone(),
        incarnation: basics.me.incarnation,
    };
    Steering::new(identity, Tuning::default(), basics.clock.now())
}

fn gateway(
    basics: &Basics,
    links: &Links,
    steering: &Rc<RefCell<Steering>>,
    registry: &Registry,
) -> Result<Rc<Gateway>, prometheus::Error> {
    let (clock, net) = (&basics.clock, &links.net);
    Gateway::new(GatewayContext {
        own: basics.me.clone(),
        domain: basics.cfg.domain.clone(),
        steering: Rc::clone(steering),
        clock: clock.clone(),
        timer: Timer::system(),
        rng: Rc::clone(&basics.rng),
        secret: Rc::from(basics.cfg.secret.as_bytes()),
        slot_port: slots::port(net),
        claims: claims::port(&basics.store, clock, net.me().address),
        hand_over: hand_over::port(net, clock),
        registry: registry.clone(),
        settings: GatewaySettings::default(),
    })
}

/// Makes the store with this daemon's share of the platform's calls, which shrinks as the
/// fleet grows.
fn limited_store(cfg: &Config, cell: &ContextCell, clock: &Clock) -> Store {
    let store = http_store::connect(StoreConfig::new(cfg.platform.store));
    let (cell, seeds) = (cell.clone(), cfg.peers.len());
    let limits = move || {
        let known = cell.get().map_or(seeds, |cx| cx.membership.views().len());
        CallLimits::share_of(PlatformRates::default(), known as u32 + 1)
    };
    budget::with_call_limits(store, limits, clock.clone(), Backoff::default())
}

/// Time allowed for reading the platform's list of VMs.
const VM_LIST_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

fn start_peers(cfg: &Config, id: PeerId, methods: MethodTable) -> Result<PeerNet, StartError> {
    PeerNet::start(PeerContext {
        deployment: cfg.deployment.clone(),
        secret: Secret::new(cfg.secret.as_bytes()),
        vm: id.vm,
        domain: id.domain,
        incarnation: id.incarnation,
        epoch: id.epoch,
        listen: cfg.listen.peers,
        advertise: None,
        callers: id.callers,
        timer: Timer::system(),
        dial: PeerContext::system_dial(),
        options: PeerOptions::default(),
        methods,
    })
    .context(PeersSnafu)
}

/// Gives this daemon's identity; the epoch orders the runs of one VM by their start.
fn peer_id(cfg: &Config, me: &Member, callers: SocketAddr) -> PeerId {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    PeerId {
        vm: me.vm.clone(),
        domain: cfg.domain.clone(),
        incarnation: me.incarnation,
        epoch: since_epoch.unwrap_or_default().as_millis() as u64,
        address: cfg.listen.peers,
        callers: Some(callers),
    }
}

fn membership_context(basics: &Basics, relay: &Relay) -> MembershipContext {
    let cfg = &basics.cfg;
    let holder = Rc::clone(&basics.holder);
    let leaving = basics.leaving.clone();
    MembershipContext {
        seeds: cfg.peers.iter().map(|peer| peer.peers).collect(),
        platform: Some(basics.vm_list.clone()),
        revision: Rc::new(move || holder.borrow().revision()),
        reports: None,
        hooks: MembershipHooks {
            on_leave_request: Rc::new(move || leaving.fire()),
            on_peer_revision: relay.peer_revision_hook(),
            ..MembershipHooks::default()
        },
        options: MembershipOptions::default(),
        rng: fastrand::Rng::new(),
    }
}
