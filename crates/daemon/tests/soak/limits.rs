//! Servers of a soak that state request limits, and the sum of what all daemons send them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::fleet::{ACCOUNTS, HOST, key_header};
use crate::support::caller::{Connection, new_id};
use crate::support::server::FakeServer;
use crate::support::store::FakeStore;

/// The prefix of the paths of these servers' route, and their service.
pub const PREFIX: &str = "/l/";
pub const SERVICE: &str = "tickets";

/// Number of servers; the last one states no limit.
const SERVERS: usize = 4;
/// The limits that servers state, in requests per second.
const LIMITS: [f64; 4] = [0.2, 2.5, 5.0, 6.4];
/// How long a server states the same limit.
const CHANGE_AFTER_MS: std::ops::Range<u64> = 8_000..12_000;
/// Number of callers, and the pause of each between two requests.
const CALLERS: u64 = 3;
const PAUSE: Duration = Duration::from_millis(25);
/// Length of the windows in which the platform counts requests, and time after a change from which
/// it does.
const WINDOW: Duration = Duration::from_secs(4);
const JUDGED_AFTER: Duration = Duration::from_secs(4);

/// A limit that a server states.
struct Stated {
    per_second: f64,
    from: Instant,
    until: Option<Instant>,
}

struct Limited {
    server: FakeServer,
    stated: Vec<Stated>,
    change_at: Instant,
}

/// The servers.
pub struct LimitedServers {
    all: Vec<Limited>,
    rng: fastrand::Rng,
}

impl LimitedServers {
    /// Starts the servers and registers them.
    pub fn start(store: &FakeStore, domains: [&'static str; 2], seed: u64) -> Self {
        let mut all = Vec::new();
        for n in 0..SERVERS {
            let id = format!("l-{n}");
            let server = FakeServer::start(&id);
            let domain = domains[n % domains.len()];
            let entry = server.entry(SERVICE, domain, "ready");
            store.put(&format!("servers/{id}"), &entry);
            all.push(Limited {
                server,
                stated: Vec::new(),
                change_at: Instant::now(),
            });
        }
        let rng = fastrand::Rng::with_seed(seed);
        Self { all, rng }
    }

    /// Changes the limits that are due.
    pub fn step(&mut self) {
        let now = Instant::now();
        for limited in &mut self.all[..SERVERS - 1] {
            if now < limited.change_at {
                continue;
            }
            let per_second = LIMITS[self.rng.usize(..LIMITS.len())];
            limited.change_at = now + Duration::from_millis(self.rng.u64(CHANGE_AFTER_MS));
            limited.end_last(now);
            let text = per_second.to_string();
            limited.server.set_request_limits(&[text.as_str()]);
            limited.stated.push(Stated {
                per_second,
                from: now,
                until: None,
            });
        }
    }

    /// Returns what was broken: windows in which a server got more than the platform allows.
    pub fn broken(&self) -> Vec<String> {
        self.all.iter().filter_map(Limited::broken).collect()
    }
}

impl Limited {
    fn end_last(&mut self, now: Instant) {
        if let Some(last) = self.stated.last_mut() {
            last.until = Some(now);
        }
    }

    fn broken(&self) -> Option<String> {
        let received = self.server.received();
        let times: Vec<Instant> = received.iter().map(|req| req.at).collect();
        self.stated.iter().find_map(|stated| {
            let allowed = 1.5 * stated.per_second * WINDOW.as_secs_f64() + 5.0;
            let from = stated.from + JUDGED_AFTER;
            let begins = times.iter().filter(|at| **at >= from);
            let begins = begins.filter(|at| stated.until.is_none_or(|until| **at + WINDOW <= until));
            let in_window = |begin: &Instant| {
                let all = times.iter().filter(|at| **at >= *begin);
                all.filter(|at| **at < *begin + WINDOW).count()
            };
            let worst = begins.map(in_window).max()?;
            (worst as f64 > allowed).then(|| {
                let limit = stated.per_second;
                format!("a server that stated {limit} a second got {worst} in {WINDOW:?}, {allowed} allowed")
            })
        })
    }
}

/// The callers of these servers.
pub struct LimitCallers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl LimitCallers {
    /// Sends requests to any of the daemons until it is stopped.
    pub fn start(addresses: &[SocketAddr], seed: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let caller = |n: u64| {
            let (addresses, stopped) = (addresses.to_vec(), Arc::clone(&stop));
            std::thread::spawn(move || {
                let mut rng = fastrand::Rng::with_seed(seed ^ n);
                while !stopped.load(Ordering::Relaxed) {
                    let at = addresses[rng.usize(..addresses.len())];
                    if let Some(mut caller) = Connection::open(at) {
                        caller.extra_headers = key_header(ACCOUNTS[0].1);
                        caller.object = rng.u64(..40);
                        caller.request("GET", HOST, &format!("{PREFIX}x"), &new_id());
                    }
                    std::thread::sleep(PAUSE);
                }
            })
        };
        let threads = (0..CALLERS).map(caller).collect();
        Self { stop, threads }
    }

    /// Stops them.
    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("the caller ends");
        }
    }
}
