//! The daemons, each on a thread of its own.

use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::sync::mpsc::{Receiver, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};
use heatherknot_daemon::config::{Config, Listen, LogLevel, PeerAddress, PlatformAddresses};
use heatherknot_daemon::operators::page::{DAEMON_PATH, DaemonStatus};
use heatherknot_daemon::start::{self, Addresses};
use heatherknot_http::{Body, Pool, PoolConfig, RequestHead, SendOptions};
use heatherknot_settings::{Author, ChainPoint, Change, Tree};
use heatherknot_store::commit::{CommandId, CommitOutcome, Proposal, ResolvePolicy, commit};
use heatherknot_store::http_store::{self, StoreConfig};
use heatherknot_test_support::platform::{PlatformHandle, PlatformVm, PlatformVmState};
use heatherknot_test_support::runtime;
use heatherknot_types::prelude::*;
use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;

use crate::scenario::{Scenario, VmSpec};

const STOP: u8 = b's';
const KILL: u8 = b'k';
const SECRET: &str = "walkthrough deployment secret";

/// One daemon.
struct Daemon {
    spec: VmSpec,
    addresses: Addresses,
    control: StdUnixStream,
    thread: Option<JoinHandle<()>>,
    stopping: Option<Instant>,
    ended: Receiver<Instant>,
}

/// How long one planned stop took.
#[derive(Clone, Debug)]
pub struct StopTime {
    /// The VM.
    pub vm: VmName,
    /// From the signal to the end.
    pub took: Duration,
}

/// All daemons of the scenario.
pub struct Daemons {
    daemons: Vec<Daemon>,
}

impl Daemons {
    /// Starts a daemon for each entry VM and adds the VMs to the platform's list.
    pub fn start(scenario: &Scenario, platform: &PlatformHandle) -> Self {
        let mut daemons: Vec<Daemon> = Vec::new();
        for spec in scenario.vms() {
            let peers = daemons.iter().map(peer_of).collect();
            daemons.push(start_one(spec, platform.address(), peers));
        }
        let all = Self { daemons };
        all.list_vms(platform, &[]);
        all
    }

    /// Gives the number of daemons that run.
    pub fn running(&self) -> usize {
        self.daemons
            .iter()
            .filter(|daemon| daemon.thread.is_some())
            .count()
    }

    /// Gives where callers of one failure domain reach the system first.
    pub fn callers_addresses(&self, domain: &DomainName) -> Vec<SocketAddr> {
        let near = self
            .daemons
            .iter()
            .filter(|daemon| daemon.spec.domain == *domain);
        near.map(|daemon| daemon.addresses.callers).collect()
    }

    /// Waits until every daemon has settings and a part of its domain's capacity.
    pub fn wait_ready(&self, limit: Duration) -> Result<(), String> {
        let started = Instant::now();
        loop {
            let waiting = self.daemons.iter().find(|daemon| !is_ready(daemon));
            let Some(waiting) = waiting else {
                return Ok(());
            };
            if started.elapsed() > limit {
                return Err(format!("{} is not ready after {limit:?}", waiting.spec.vm));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Ends a daemon at once, as a loss of its VM would.
    pub fn kill(&mut self, vm: &VmName, platform: &PlatformHandle) {
        if let Some(daemon) = self.daemons.iter_mut().find(|daemon| daemon.spec.vm == *vm) {
            let _ = daemon.control.write_all(&[KILL]);
            if let Some(thread) = daemon.thread.take() {
                let _ = thread.join();
            }
        }
        self.list_vms(platform, std::slice::from_ref(vm));
    }

    /// Begins a planned stop.
    pub fn stop(&mut self, vm: &VmName) {
        if let Some(daemon) = self.daemons.iter_mut().find(|daemon| daemon.spec.vm == *vm) {
            daemon.stopping = Some(Instant::now());
            let _ = daemon.control.write_all(&[STOP]);
        }
    }

    /// Ends all daemons, and gives how long the planned stops took.
    pub fn finish(mut self) -> Vec<StopTime> {
        let mut times = Vec::new();
        for daemon in &mut self.daemons {
            let began = daemon.stopping;
            if began.is_none() {
                let _ = daemon.control.write_all(&[KILL]);
            }
            if let Some(thread) = daemon.thread.take() {
                let _ = thread.join();
            }
            let (Some(began), Ok(ended)) = (began, daemon.ended.try_recv()) else {
                continue;
            };
            let took = ended.duration_since(began);
            times.push(StopTime {
                vm: daemon.spec.vm.clone(),
                took,
            });
        }
        times
    }

    fn list_vms(&self, platform: &PlatformHandle, gone: &[VmName]) {
        let vms = self.daemons.iter().map(|daemon| PlatformVm {
            name: daemon.spec.vm.clone(),
            domain: daemon.spec.domain.clone(),
            address: daemon.addresses.peers,
            state: match gone.contains(&daemon.spec.vm) || daemon.thread.is_none() {
                true => PlatformVmState::Gone,
                false => PlatformVmState::Live,
            },
        });
        platform.set_vms(vms.collect());
    }
}

/// Has the layout's settings accepted as the first revision.
pub fn commit_settings(store: SocketAddr, settings: &serde_json::Value) -> Result<(), String> {
    runtime::block_on(async {
        let store = http_store::connect(StoreConfig::new(store));
        let tree = Tree::from_document(settings.clone()).map_err(|e| e.to_string())?;
        let command = "walkthrough-settings";
        let author = Author {
            command: command.into(),
            who: "walkthrough".into(),
            key: "none".into(),
            at_ms: 0,
        };
        let change = Change::between(ChainPoint::default(), &Tree::empty(), &tree, author)
            .map_err(|e| e.to_string())?;
        let proposal = Proposal {
            command: CommandId::parse(command).ok_or("a command identifier")?,
            base: Revision::NONE,
            change: serde_json::to_vec(&change)
                .map_err(|e| e.to_string())?
                .into(),
            hash: change.hash.to_string().into(),
        };
        match commit(&store, &proposal, &ResolvePolicy::default()).await {
            CommitOutcome::Accepted(_) => Ok(()),
            other => Err(format!("settings were not accepted: {other:?}")),
        }
    })
}

fn start_one(spec: VmSpec, platform: SocketAddr, peers: Vec<PeerAddress>) -> Daemon {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let cfg = Config {
        deployment: "walkthrough".to_owned(),
        vm: spec.vm.clone(),
        domain: spec.domain.clone(),
        listen: Listen {
            callers: any,
            peers: any,
            operators: any,
        },
        platform: PlatformAddresses {
            store: platform,
            vm_list: platform,
        },
        peers,
        secret: SECRET.to_owned(),
        first_operator: None,
        shutdown_grace_ms: 10_000,
        log_level: LogLevel::Warn,
        record: None,
    };
    let (control, far_end) = StdUnixStream::pair().expect("a socket pair");
    let (ready_tx, ready_rx) = channel();
    let (ended_tx, ended) = channel();
    let thread = std::thread::spawn(move || {
        runtime::block_on(run_until_told(cfg, far_end, move |at| {
            let _ = ready_tx.send(at);
        }));
        let _ = ended_tx.send(Instant::now());
    });
    let addresses = ready_rx.recv().expect("the daemon listens");
    Daemon {
        spec,
        addresses,
        control,
        thread: Some(thread),
        stopping: None,
        ended,
    }
}

/// Runs a daemon until a stop is asked for, or drops it on the spot where a kill is.
async fn run_until_told(cfg: Config, control: StdUnixStream, ready: impl FnOnce(Addresses)) {
    control
        .set_nonblocking(true)
        .expect("a socket can be made non-blocking");
    let mut control = UnixStream::from_std(control).expect("epoll takes the socket");
    let (stop_tx, stop_rx) = futures_channel::oneshot::channel::<()>();
    let until = async {
        let _ = stop_rx.await;
    };
    let running = std::pin::pin!(start::run(cfg, until, ready));
    let told = std::pin::pin!(async move {
        let mut stop_tx = Some(stop_tx);
        loop {
            let (read, buf) = control.read(vec![0u8; 1]).await;
            if !matches!(read, Ok(1)) || buf[0] == KILL {
                return;
            }
            if let Some(tx) = stop_tx.take() {
                let _ = tx.send(());
            }
        }
    });
    if let Either::Left((Err(error), _)) = select(running, told).await {
        eprintln!("walkthrough: {error}");
    }
}

fn peer_of(daemon: &Daemon) -> PeerAddress {
    PeerAddress {
        vm: daemon.spec.vm.clone(),
        domain: daemon.spec.domain.clone(),
        peers: daemon.addresses.peers,
        callers: daemon.addresses.callers,
    }
}

fn is_ready(daemon: &Daemon) -> bool {
    let status = runtime::block_on(async {
        let pool = Pool::new(
            daemon.addresses.operators,
            PoolConfig::default(),
            Clock::system(),
        );
        let head = RequestHead::new(http::Method::GET, DAEMON_PATH.parse().ok()?);
        let response = pool
            .send(head, Body::empty(), SendOptions::default())
            .await
            .ok()?;
        let body = response.body.collect(64 * 1024).await.ok()?;
        serde_json::from_slice::<DaemonStatus>(&body).ok()
    });
    status.is_some_and(|status| status.revision > Revision::NONE && status.capacity_part > 0)
}
