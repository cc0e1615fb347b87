//! A rollout during a soak: servers of two versions, a caller, and what must hold of both versions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::fleet::{ACCOUNTS, HOST, key_header};
use crate::support::caller::{Connection, new_id};
use crate::support::server::{Behavior, FakeServer};
use crate::support::store::FakeStore;

/// The prefix of the paths of these servers' route, and their service.
pub const PREFIX: &str = "/r/";
pub const SERVICE: &str = "archive";

/// Number of servers of each version.
const SERVERS: usize = 4;
/// When the rollout is ordered, after the start.
const ORDER_AFTER: Duration = Duration::from_secs(1);
const TIME_LIMIT: Duration = Duration::from_secs(7);
/// Pause of the caller between two requests.
const PAUSE: Duration = Duration::from_millis(20);

fn server_id(version: &str, number: usize) -> String {
    format!("r-{version}-{number}")
}

/// A rollout and its servers.
pub struct Rollout {
    previous: Vec<FakeServer>,
    target: Vec<FakeServer>,
    domains: [&'static str; 2],
    is_bad: bool,
    began: Instant,
    is_ordered: bool,
    runs_before_order: u32,
    /// Each state that operators have read, once.
    states: Vec<String>,
}

impl Rollout {
    /// Starts the servers, and registers those of the version in use. With an odd seed the target
    /// version is a bad one.
    pub fn start(store: &FakeStore, domains: [&'static str; 2], seed: u64) -> Self {
        let servers = |version: &str| -> Vec<FakeServer> {
            (0..SERVERS)
                .map(|n| FakeServer::start(&server_id(version, n)))
                .collect()
        };
        let rollout = Self {
            previous: servers("v1"),
            target: servers("v2"),
            domains,
            is_bad: seed % 2 == 1,
            began: Instant::now(),
            is_ordered: false,
            runs_before_order: 0,
            states: Vec::new(),
        };
        if rollout.is_bad {
            let servers = rollout.target.iter();
            servers.for_each(|server| server.set_behavior(Behavior::Fails));
        }
        rollout.register(store, &rollout.previous, "v1");
        rollout
    }

    fn register(&self, store: &FakeStore, servers: &[FakeServer], version: &str) {
        for (n, server) in servers.iter().enumerate() {
            let domain = self.domains[n % self.domains.len()];
            let entry = server.entry_of_version(SERVICE, domain, version);
            store.put(&format!("servers/{}", server_id(version, n)), &entry);
        }
    }

    /// Gives the order when it is due, and reads the state.
    pub fn step(&mut self, store: &FakeStore) {
        if !self.is_ordered && self.began.elapsed() >= ORDER_AFTER {
            self.is_ordered = true;
            self.register(store, &self.target, "v2");
            self.runs_before_order = self.runs_of_target();
            store.order_rollout(SERVICE, "v2", TIME_LIMIT);
        }
        if let Some((state, _)) = store.rollout_state(SERVICE)
            && self.states.last() != Some(&state)
        {
            self.states.push(state);
        }
    }

    /// Returns whether the rollout has ended.
    pub fn has_ended(&self) -> bool {
        let last = self.states.last();
        last.is_some_and(|state| state != "running")
    }

    fn runs_of_target(&self) -> u32 {
        self.target.iter().map(FakeServer::runs).sum()
    }

    /// Returns what was broken.
    pub fn broken(&self) -> Vec<String> {
        let mut broken = Vec::new();
        if self.runs_before_order > 0 {
            let runs = self.runs_before_order;
            broken.push(format!(
                "{runs} requests reached a version before its order"
            ));
        }
        let ends = self.states.iter().filter(|state| *state != "running");
        if ends.count() != 1 {
            broken.push(format!("the states of a rollout were {:?}", self.states));
        }
        if self.is_bad && self.states.iter().any(|state| state == "completed") {
            broken.push("a bad version was completed".to_owned());
        }
        if self.previous.iter().all(|server| server.runs() == 0) {
            broken.push("no request reached the previous version".to_owned());
        }
        broken
    }
}

/// The caller of the rollout's service.
pub struct RolloutCaller {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl RolloutCaller {
    /// Sends requests to any of the daemons until it is stopped.
    pub fn start(addresses: Vec<SocketAddr>, seed: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = std::thread::spawn(move || {
            let mut rng = fastrand::Rng::with_seed(seed);
            while !stopped.load(Ordering::Relaxed) {
                let at = addresses[rng.usize(..addresses.len())];
                if let Some(mut caller) = Connection::open(at) {
                    caller.extra_headers = key_header(ACCOUNTS[0].1);
                    caller.object = rng.u64(..40);
                    let path = format!("{PREFIX}x");
                    caller.request("GET", HOST, &path, &new_id());
                }
                std::thread::sleep(PAUSE);
            }
        });
        Self { stop, thread }
    }

    /// Stops it.
    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("the caller ends");
    }
}
