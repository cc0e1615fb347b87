//! Starts a daemon, runs it, and stops it as planned.

use std::net::SocketAddr;
use std::rc::Rc;

use futures_util::future::select;
use heatherknot_gateway::KEPT_HEADERS;
use heatherknot_http::{Flag, Limits, serve};
use heatherknot_peer::PeerError;
use monoio::net::{ListenerOpts, TcpListener};
use snafu::{ResultExt, Snafu};

use crate::assemble::make_context;
use crate::config::Config;
use crate::context::DaemonContext;
use crate::{callers, capacity_task, directory_task, operators, recording, steering_task, stop};

/// Why a daemon did not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
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
}

/// Where a running daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// Runs a daemon until `until` is ready, and then stops it as planned.
///
/// `ready` is called once with the addresses when the daemon listens on all of them.
///
/// # Errors
///
/// Fails where the daemon can't listen on its addresses.
///
/// # Panics
///
/// Panics outside a `monoio` runtime with a timer.
pub async fn run(
    cfg: Config,
    until: impl Future<Output = ()>,
    ready: impl FnOnce(Addresses),
) -> Result<(), StartError> {
    let callers = listen("callers", cfg.listen.callers)?;
    let operators = listen("operators", cfg.listen.operators)?;
    let callers_address = address_of("callers", &callers, cfg.listen.callers)?;
    let operators_address = address_of("operators", &operators, cfg.listen.operators)?;
    let cx = make_context(cfg, callers_address)?;
    let addresses = Addresses {
        callers: callers_address,
        peers: cx.net.me().address,
        operators: operators_address,
    };
    spawn_tasks(&cx);
    let grace = std::time::Duration::from_millis(cx.cfg.shutdown_grace_ms);
    let limits = Limits {
        kept_headers: KEPT_HEADERS,
        stop_grace: grace,
        ..Limits::default()
    };
    let serving = monoio::spawn(serve(
        callers,
        callers::handler(&cx),
        limits,
        cx.stop.clone(),
    ));
    let operated = Flag::new();
    let handler = operators::handler(&cx);
    monoio::spawn(serve(
        operators,
        handler,
        Limits::default(),
        operated.clone(),
    ));
    log::info!(
        vm:% = cx.me.vm, incarnation:% = cx.me.incarnation, callers:% = addresses.callers,
        peers:% = addresses.peers, operators:% = addresses.operators; "listening"
    );
    ready(addresses);
    // A later run of this VM's daemon holds its part of the capacity: this one has to go.
    let until = std::pin::pin!(until);
    select(until, cx.replaced.wait()).await;
    stop::run(&cx, serving).await;
    operated.fire();
    Ok(())
}

fn listen(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    // One process at an address: a second daemon on the same VM must fail here rather than
    // share the connections and the VM's part of the capacity with the first.
    let opts = ListenerOpts::new().reuse_port(false).reuse_addr(true);
    TcpListener::bind_with_config(address, &opts).context(ListenSnafu { purpose, address })
}

fn address_of(
    purpose: &'static str,
    listener: &TcpListener,
    address: SocketAddr,
) -> Result<SocketAddr, StartError> {
    listener
        .local_addr()
        .context(ListenSnafu { purpose, address })
}

fn spawn_tasks(cx: &Rc<DaemonContext>) {
    monoio::spawn(steering_task::run(Rc::clone(cx)));
    monoio::spawn(capacity_task::run(Rc::clone(cx)));
    monoio::spawn(directory_task::run(Rc::clone(cx)));
    if let Some(record) = cx.cfg.record.clone() {
        monoio::spawn(recording::run(Rc::clone(cx), record));
    }
    cx.membership.run(cx.net.clone());
    cx.relay.run(cx.net.clone(), cx.membership.clone());
}
