//! Servers of a soak that end under a request, and a caller who brings it again and again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::fleet::{ACCOUNTS, HOST, key_header};
use crate::support::caller::{Connection, new_id};
use crate::support::server::{CRASH_SUFFIX, FakeServer};
use crate::support::store::FakeStore;

/// The beginning of the paths of these servers' route, and their service.
pub const PREFIX: &str = "/d/";
pub const SERVICE: &str = "studio";

const SERVERS: usize = 8;
/// How long after a server's end its entry lapses, and it is back under another name.
const LAPSES_AFTER: Duration = Duration::from_millis(1_500);
const BACK_AFTER: Duration = Duration::from_millis(2_500);
/// The ends after which the request is to be known, the while after the third of them, and the
/// attempts that may bring it to a server after that.
const ENDS: usize = 3;
const KNOWN_AFTER: Duration = Duration::from_secs(4);
const FURTHER: usize = 3;
/// The pause of the caller between two attempts, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 50..400;

struct Mortal {
    server: FakeServer,
    id: String,
    starts: u32,
    ended: Option<Instant>,
}

/// The servers.
pub struct Mortals {
    all: Vec<Mortal>,
    domains: [&'static str; 2],
}

impl Mortals {
    /// Starts the servers and enters them in the store.
    pub fn start(store: &FakeStore, domains: [&'static str; 2]) -> Self {
        let mortal = |n: usize| {
            let id = format!("m-{n}-0");
            Mortal {
                server: FakeServer::start(&id),
                id,
                starts: 0,
                ended: None,
            }
        };
        let mortals = Self {
            all: (0..SERVERS).map(mortal).collect(),
            domains,
        };
        (0..SERVERS).for_each(|n| mortals.enter(store, n));
        mortals
    }

    fn enter(&self, store: &FakeStore, n: usize) {
        let mortal = &self.all[n];
        let domain = self.domains[n % self.domains.len()];
        let entry = mortal.server.entry(SERVICE, domain, "ready");
        store.put(&format!("servers/{}", mortal.id), &entry);
    }

    /// Has entries of servers lapse that have ended, and starts those anew.
    pub fn step(&mut self, store: &FakeStore) {
        for n in 0..SERVERS {
            let mortal = &mut self.all[n];
            if !mortal.server.has_crashed() {
                continue;
            }
            let ended = *mortal.ended.get_or_insert_with(Instant::now);
            if ended.elapsed() >= LAPSES_AFTER {
                store.delete(&format!("servers/{}", mortal.id));
            }
            if ended.elapsed() >= BACK_AFTER {
                mortal.ended = None;
                mortal.starts += 1;
                mortal.id = format!("m-{n}-{}", mortal.starts);
                mortal.server.restart(&mortal.id);
                self.enter(store, n);
            }
        }
    }

    /// Says what was broken: attempts that reached servers when every daemon had to know.
    pub fn broken(&self) -> Option<String> {
        let reached = self
            .all
            .iter()
            .flat_map(|mortal| mortal.server.crash_requests());
        let mut reached: Vec<Instant> = reached.map(|(_, at)| at).collect();
        reached.sort();
        let known = *reached.get(ENDS - 1)? + KNOWN_AFTER;
        let further = reached.iter().filter(|at| **at > known).count();
        (further > FURTHER).then(|| {
            format!(
                "a request that ends servers reached them {further} times after it was to be known, {} in all",
                reached.len()
            )
        })
    }
}

/// The caller.
pub struct Bringer {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Bringer {
    /// Brings the request to any of the daemons until it is stopped.
    pub fn start(addresses: Vec<SocketAddr>, seed: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let path = format!("{PREFIX}soak{CRASH_SUFFIX}");
        let thread = std::thread::spawn(move || {
            let mut rng = fastrand::Rng::with_seed(seed);
            while !stopped.load(Ordering::Relaxed) {
                let at = addresses[rng.usize(..addresses.len())];
                if let Some(mut caller) = Connection::open(at) {
                    caller.extra_headers = key_header(ACCOUNTS[0].1);
                    caller.request("GET", HOST, &path, &new_id());
                }
                std::thread::sleep(Duration::from_millis(rng.u64(PAUSE_MS)));
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
