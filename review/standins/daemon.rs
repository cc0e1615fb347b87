//! Starts the project's daemon as a process, with settings like those of the deploy template.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use crate::http::Conn;
use crate::record::Record;
use std::io::Write;

/// A zone and its region.
pub type Zone = (&'static str, &'static str);

/// The zones of a small deployment.
pub const ZONES: [Zone; 6] = [
    ("pamplemousses", "north"),
    ("riviere-du-rempart", "north"),
    ("curepipe", "plaines"),
    ("vacoas", "plaines"),
    ("mahebourg", "south"),
    ("souillac", "south"),
];

/// The lowest port of a daemon. All of them lie below the ephemeral ports, so that no outgoing
/// connection can take one before its daemon listens.
const FIRST_PORT: u16 = 20_000;
/// Number of these ports.
const PORTS: u16 = 10_000;

/// Returns a free loopback address that no other caller gets, in this process or a concurrent one.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let [.., high, low] = std::process::id().to_be_bytes();
    loop {
        let port = FIRST_PORT + NEXT.fetch_add(1, Ordering::Relaxed) % PORTS;
        let address = SocketAddr::from(([127, 2, high, low], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// The addresses of one daemon.
#[derive(Clone, Copy)]
pub struct Addresses {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub control: SocketAddr,
    pub metrics: SocketAddr,
    pub handed: SocketAddr,
}

impl Addresses {
    pub fn free() -> Self {
        Self {
            front: free_address(),
            ready: free_address(),
            directory: free_address(),
            control: free_address(),
            metrics: free_address(),
            handed: free_address(),
        }
    }
}

/// A daemon, which is killed when this is dropped.
pub struct Daemon {
    pub at: Addresses,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    /// Writes the settings of a daemon into `dir` and starts it.
    pub fn start(
        dir: &Path,
        name: &str,
        zone: &str,
        at: Addresses,
        store: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Self {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let domains = ZONES.map(|(zone, region)| format!("\"{zone}\":\"{region}\""));
        let Addresses {
            front,
            ready,
            directory,
            control,
            metrics,
            handed,
        } = at;
        let text = format!(
            r#"{{
  "deployment": "heatherknot",
  "secret": "set one of your own for each deployment",
  "vm": "{name}",
  "domain": "{zone}",
  "domains": {{{}}},
  "listen": {{
    "requests": "{front}", "ready": "{ready}", "lookups": "{directory}",
    "peers": "{control}", "metrics": "{metrics}", "handed": "{handed}"
  }},
  "seeds": [{}],
  "store": {{"address": "{store}", "min_lease_s": 1}},
  "link_mbps": 1000.0,
  "cpu_share": 0.2,
  "contracts": ["base","drain","config","cost","retry","recover","places","platform"],
  "bounds": {{
    "grace_s": 6, "retry_ratio": 0.2, "retry_slack": 58, "retry_window_s": 10,
    "max_lookup_ttl_s": 5, "canary_share": null
  }},
  "log_level": "info"
}}
"#,
            domains.join(","),
            seeds.join(",")
        );
        let settings = dir.join(format!("{name}.json"));
        std::fs::write(&settings, text).expect("the folder is writable");
        let mut daemon = Self {
            at,
            log: dir.join(format!("{name}.log")),
            settings,
            child: None,
        };
        daemon.spawn();
        daemon
    }

    /// Starts the process with the command of the deploy file.
    pub fn spawn(&mut self) {
        let mut options = std::fs::OpenOptions::new();
        let log = options.create(true).append(true).open(&self.log);
        let log = log.expect("the folder is writable");
        let errors = log.try_clone().expect("a second handle");
        let child = Command::new("target/release/heatherknotd")
            .arg("--platform")
            .env("HEATHERKNOT_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(child.expect("the build of the deploy file has run"));
    }

    /// Returns what the process has written.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        let Some(mut conn) = connect(self.at.ready) else {
            return false;
        };
        let asked = b"GET /heatherknot/readyz HTTP/1.1\r\nHost: x\r\n\r\n";
        conn.stream.write_all(asked).is_ok() && conn.head().is_some_and(|h| h.status() == 200)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Connects to a loopback address.
pub fn connect(address: SocketAddr) -> Option<Conn> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .ok()?;
    Some(Conn::new(stream))
}

/// Waits until all daemons are ready. Returns whether they were within 20 s; if not, their logs go
/// into the record.
pub fn wait_until_ready(daemons: &[Daemon], record: &Record) -> bool {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        if daemons.iter().all(Daemon::is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    record.say("the daemons did not become ready");
    for daemon in daemons {
        daemon.log_text().lines().for_each(|line| record.line(line));
    }
    false
}
