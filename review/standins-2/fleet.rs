//! Starts, signals and ends the daemons of a case.

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::record::Record;
use crate::store::Store;

const START_LIMIT: Duration = Duration::from_secs(10);
/// Number of attempts to start the daemons. A free port may be taken before its daemon listens on it.
const START_ATTEMPTS: usize = 3;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// A daemon process.
pub struct Daemon {
    pub name: String,
    pub requests: SocketAddr,
    ready: SocketAddr,
    process: Child,
}

/// The daemons of a case, one for each zone of the list. All end with the value.
pub struct Fleet {
    pub daemons: Vec<Daemon>,
    folder: PathBuf,
}

/// The addresses of one daemon, all on free ports of the loopback address.
struct Addresses {
    requests: SocketAddr,
    ready: SocketAddr,
    lookups: SocketAddr,
    peers: SocketAddr,
    metrics: SocketAddr,
    handed: SocketAddr,
}

impl Addresses {
    fn free() -> Self {
        // All are bound at once, so that no port is given twice.
        let listeners: Vec<TcpListener> = (0..6)
            .map(|_| TcpListener::bind("127.0.0.1:0").expect("a loopback port is free"))
            .collect();
        let at = |n: usize| {
            listeners[n]
                .local_addr()
                .expect("a bound listener has an address")
        };
        Self {
            requests: at(0),
            ready: at(1),
            lookups: at(2),
            peers: at(3),
            metrics: at(4),
            handed: at(5),
        }
    }
}

impl Fleet {
    /// Starts a daemon for each of `zones`, each with its region, and waits until all are ready.
    pub fn start(store: &Store, zones: &[(&str, &str)], record: &Record) -> Option<Self> {
        (0..START_ATTEMPTS).find_map(|_| Self::try_start(store, zones, record))
    }

    /// The settings are those that the platform would fill into the project's template for a small
    /// installation.
    fn try_start(store: &Store, zones: &[(&str, &str)], record: &Record) -> Option<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let addresses: Vec<Addresses> = zones.iter().map(|_| Addresses::free()).collect();
        let seeds = addresses.iter().take(3);
        let seeds: Vec<String> = seeds.map(|at| format!("\"{}\"", at.peers)).collect();
        let domains = zones.iter();
        let domains: Vec<String> = domains
            .map(|(zone, region)| format!("\"{zone}\":\"{region}\""))
            .collect();
        let mut fleet = Self {
            daemons: Vec::new(),
            folder,
        };
        for (n, ((zone, _), at)) in zones.iter().zip(&addresses).enumerate() {
            let name = format!("front-{zone}-{}", n + 1);
            let lists = (seeds.join(","), domains.join(","));
            let settings = settings(&name, zone, at, (&lists.0, &lists.1), store);
            let process = fleet.spawn(&name, &settings)?;
            fleet.daemons.push(Daemon {
                name,
                requests: at.requests,
                ready: at.ready,
                process,
            });
        }
        let until = Instant::now() + START_LIMIT;
        while !fleet.daemons.iter().all(|daemon| is_ready(daemon.ready)) {
            let has_ended =
                |daemon: &mut Daemon| daemon.process.try_wait().ok().flatten().is_some();
            if Instant::now() > until || fleet.daemons.iter_mut().any(has_ended) {
                return None;
            }
            thread::sleep(Duration::from_millis(50));
        }
        record.add(format!("{} daemons are ready", fleet.daemons.len()));
        Some(fleet)
    }

    fn spawn(&self, name: &str, settings: &str) -> Option<Child> {
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).ok()?;
        self.launch(name)
    }

    fn launch(&self, name: &str) -> Option<Child> {
        let path = self.folder.join(format!("{name}.json"));
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log).ok()?;
        Command::new("target/release/heatherknotd")
            .arg("--platform")
            .env("HEATHERKNOT_NODE_FILE", &path)
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .stdin(Stdio::null())
            .spawn()
            .ok()
    }

    /// Sends a signal to a daemon.
    pub fn signal(&self, n: usize, signal: i32, record: &Record) -> f64 {
        let daemon = &self.daemons[n];
        // SAFETY: the process was started here and is not reaped before the fleet ends.
        unsafe { kill(daemon.process.id() as i32, signal) };
        record.add(format!("signal {signal} to {}", daemon.name))
    }

    /// Waits until a daemon has ended, at most until the end of the grace period, when it is killed as the platform
    /// does, and starts it again with the same settings.
    pub fn restart(&mut self, n: usize, grace: Duration, record: &Record) {
        let until = Instant::now() + grace;
        while Instant::now() < until
            && self.daemons[n]
                .process
                .try_wait()
                .is_ok_and(|status| status.is_none())
        {
            thread::sleep(Duration::from_millis(20));
        }
        let _ = self.daemons[n].process.kill();
        let _ = self.daemons[n].process.wait();
        let name = self.daemons[n].name.clone();
        record.add(format!("{name} has ended, and starts again"));
        if let Some(process) = self.launch(&name) {
            self.daemons[n].process = process;
        }
    }

    /// Keeps the daemons' logs in a folder, for looking into a run.
    pub fn keep_logs(&self, to: &Path) {
        for daemon in &self.daemons {
            let log = format!("{}.log", daemon.name);
            let _ = fs::copy(self.folder.join(&log), to.join(&log));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            let _ = daemon.process.kill();
            let _ = daemon.process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn settings(
    name: &str,
    zone: &str,
    at: &Addresses,
    (seeds, domains): (&str, &str),
    store: &Store,
) -> String {
    let Addresses {
        requests,
        ready,
        lookups,
        peers,
        metrics,
        handed,
    } = at;
    let store = store.address;
    format!(
        r#"{{
  "deployment": "heatherknot",
  "secret": "set one of your own for each deployment",
  "vm": "{name}",
  "domain": "{zone}",
  "domains": {{{domains}}},
  "listen": {{
    "requests": "{requests}", "ready": "{ready}", "lookups": "{lookups}",
    "peers": "{peers}", "metrics": "{metrics}", "handed": "{handed}"
  }},
  "seeds": [{seeds}],
  "store": {{ "address": "{store}", "min_lease_s": 1 }},
  "link_mbps": 1000.0,
  "cpu_share": 0.2,
  "contracts": ["base","drain","config","cost","retry","recover","places","platform"],
  "bounds": {{
    "grace_s": 6, "retry_ratio": 0.2, "retry_slack": 56, "retry_window_s": 10, "max_lookup_ttl_s": 5,
    "canary_share": null
  }},
  "log_level": "info"
}}
"#
    )
}

fn is_ready(at: SocketAddr) -> bool {
    let ask = || {
        let stream = TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        let mut connection = Connection::new(stream);
        let request = b"GET /heatherknot/readyz HTTP/1.1\r\nHost: ready.example\r\n\r\n";
        connection.stream.write_all(request).ok()?;
        connection.read_head().ok()?
    };
    ask().is_some_and(|head| head.status() == 200)
}
