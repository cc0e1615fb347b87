//! Daemon processes in three regions, two of which are far from the store, and callers that ask each of
//! them for a route that a change of the configuration adds.

use std::collections::BTreeSet;
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use heatherknot_edge::feed_topology::FeedTopology;
use heatherknot_edge::presence::VmEntry;
use heatherknot_types::prelude::*;
use serde_json::{Value, json};

use crate::support::caller::request;
use crate::support::daemon::{ListenAddresses, settings};
use crate::support::server::FakeServer;
use crate::support::store::{FakeStore, StoreMode};
use crate::support::{free_address, wait_until};

/// The failure domains, each with its region; the first region is that of the store.
const DOMAINS: [(&str, &str); 6] = [
    ("near-1", "near"),
    ("far-1", "far"),
    ("remote-1", "remote"),
    ("near-2", "near"),
    ("far-2", "far"),
    ("remote-2", "remote"),
];
const HOST: &str = "shots.example";
const ROUTES: &[(&str, &str, &str)] = &[("/a/", "safe", "gallery")];
const ROUTES_WITH_NEW: &[(&str, &str, &str)] =
    &[("/a/", "safe", "gallery"), ("/new/", "safe", "gallery")];
/// Time that calls of the other regions take to the store, and answers on their way back.
const STORE_DELAY: Duration = Duration::from_millis(55);
/// Interval at which a backend server writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// Pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(25);

/// One VM: its settings, and its process while there is one.
pub struct Vm {
    pub name: String,
    at: ListenAddresses,
    /// Address at which it calls the store.
    endpoint: SocketAddr,
    file: PathBuf,
    child: Option<Child>,
}

/// Daemons in three regions.
pub struct Fleet {
    pub store: FakeStore,
    pub vms: Vec<Vm>,
    pub directory: PathBuf,
    topology: FeedTopology,
    ended: Arc<AtomicBool>,
    writer: Option<JoinHandle<()>>,
}

/// A request that a VM refused.
#[derive(Clone, Debug)]
pub struct Refused {
    pub vm: usize,
    pub sent_at: Instant,
}

impl Fleet {
    /// Starts the daemons and waits until all serve and know each other. Their logs are written to the
    /// directory of temporary files that is named after the seed.
    pub fn start(seed: u64, vms_per_domain: usize) -> Self {
        let directory = format!("heatherknot-lost-sources-{}-{seed}", std::process::id());
        let store = FakeStore::default();
        store.configure(2, ROUTES);
        let entry = FakeServer::start("i-0").entry("gallery", DOMAINS[0].0, "ready");
        store.put("servers/i-0", &entry);
        let mut fleet = Self {
            store,
            vms: Vec::new(),
            directory: std::env::temp_dir().join(directory),
            topology: FeedTopology::default(),
            ended: Arc::default(),
            writer: None,
        };
        std::fs::create_dir_all(&fleet.directory).expect("the directory can be made");
        for number in 0..DOMAINS.len() * vms_per_domain {
            let vm = fleet.vm(number);
            fleet.vms.push(vm);
        }
        (0..fleet.vms.len()).for_each(|vm| fleet.spawn(vm));
        let all = format!("heatherknot_vms {}", fleet.vms.len());
        for vm in &fleet.vms {
            wait_until("all daemons serve and know each other", || {
                let status = vm.get("/a/x");
                let page = request(vm.at.metrics, "GET", "x", "/metrics");
                status == Some(200) && page.is_some_and(|p| p.body.lines().any(|l| l == all))
            });
        }
        fleet.topology = fleet.read_topology();
        fleet.start_heartbeats(entry);
        fleet
    }

    fn vm(&self, number: usize) -> Vm {
        let (domain, region) = DOMAINS[number % DOMAINS.len()];
        let endpoint = self.store.open_endpoint();
        if region != DOMAINS[0].1 {
            self.store.set_delay(endpoint, STORE_DELAY);
        }
        let at = ListenAddresses {
            requests: free_address(),
            ready: free_address(),
            lookups: free_address(),
            peers: free_address(),
            metrics: free_address(),
            handed: free_address(),
        };
        let name = format!("vm-{number:02}");
        let seeds: Vec<_> = self.vms.first().map(|vm| vm.at.peers).into_iter().collect();
        let mut cfg = settings(&name, domain, &at, endpoint, &seeds);
        cfg["domains"] = Value::Object(
            DOMAINS
                .iter()
                .map(|(domain, region)| ((*domain).to_owned(), json!(region)))
                .collect(),
        );
        let file = self.directory.join(format!("{name}.json"));
        std::fs::write(&file, cfg.to_string()).expect("the directory can be written");
        Vm {
            name,
            at,
            endpoint,
            file,
            child: None,
        }
    }

    /// Removes the logs and settings of the daemons.
    pub fn remove_logs(&self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }

    /// Starts the daemon of a VM.
    pub fn spawn(&mut self, vm: usize) {
        let vm = &mut self.vms[vm];
        let log = File::options()
            .create(true)
            .append(true)
            .open(vm.file.with_extension("log"))
            .expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_heatherknotd"))
            .args(["--platform", "--config"])
            .arg(&vm.file)
            .stdout(log)
            .stdin(Stdio::null())
            .spawn();
        vm.child = Some(child.expect("the daemon starts"));
    }

    /// Kills the daemon of a VM.
    pub fn kill(&mut self, vm: usize) {
        self.vms[vm].kill();
    }

    /// Stops the process of a VM, or continues it. What arrives meanwhile stays in its sockets.
    pub fn set_frozen(&self, vm: usize, is_frozen: bool) {
        let sent = if is_frozen {
            libc::SIGSTOP
        } else {
            libc::SIGCONT
        };
        signal(&self.vms[vm], sent);
    }

    /// Sets how the store handles the calls of a VM.
    pub fn set_store_mode(&self, vm: usize, mode: StoreMode) {
        self.store.set_mode(self.vms[vm].endpoint, mode);
    }

    fn read_topology(&self) -> FeedTopology {
        let keys = self.store.keys("hk/vm/");
        let entry = |key: &String| serde_json::from_str(&self.store.text(key)?).ok();
        let entries: Vec<VmEntry> = keys.iter().filter_map(entry).collect();
        assert_eq!(entries.len(), self.vms.len(), "all VMs have an entry");
        FeedTopology::new(&entries)
    }

    fn start_heartbeats(&mut self, mut entry: Value) {
        let (store, ended) = (self.store.clone(), Arc::clone(&self.ended));
        self.writer = Some(std::thread::spawn(move || {
            for sequence in 1_u64.. {
                if ended.load(Ordering::Relaxed) {
                    return;
                }
                entry["sequence"] = sequence.into();
                store.put("servers/i-0", &entry);
                std::thread::sleep(HEARTBEAT);
            }
        }));
    }

    fn numbers(&self, names: &[VmName]) -> Vec<usize> {
        let number = |name: &VmName| {
            let found = self.vms.iter().position(|vm| vm.name == name.as_str());
            found.expect("the topology has only VMs of the fleet")
        };
        names.iter().map(number).collect()
    }

    /// Returns the VMs that watch the store.
    pub fn watchers(&self) -> Vec<usize> {
        self.numbers(self.topology.watchers())
    }

    /// Returns the leaders of all domains.
    pub fn all_leaders(&self) -> Vec<usize> {
        let regions: BTreeSet<&str> = DOMAINS.iter().map(|(_, region)| *region).collect();
        regions
            .into_iter()
            .flat_map(|region| self.leaders(region))
            .collect()
    }

    /// Returns the leaders of the domains of a region.
    pub fn leaders(&self, region: &str) -> Vec<usize> {
        let domains = DOMAINS.iter().filter(|(_, of)| *of == region);
        let leaders = domains.flat_map(|(domain, _)| {
            self.numbers(self.topology.leaders(&DomainName::from(*domain)))
        });
        leaders.collect()
    }

    /// Adds a route to the configuration. Sends requests for it to `vms` for `span`; returns those
    /// that were refused, and when the store had acknowledged the change.
    pub fn add_route(&self, vms: &[usize], span: Duration) -> (Instant, Vec<Refused>) {
        self.store.configure(5, ROUTES_WITH_NEW);
        let acked = Instant::now();
        let refused = Mutex::new(Vec::new());
        std::thread::scope(|scope| {
            for vm in vms.iter().copied() {
                let (caller, refused) = (&self.vms[vm], &refused);
                scope.spawn(move || {
                    while acked.elapsed() < span {
                        let sent_at = Instant::now();
                        if caller.get("/new/x").is_some_and(|status| status != 200) {
                            let mut refused = refused.lock().expect("unpoisoned");
                            refused.push(Refused { vm, sent_at });
                        }
                        std::thread::sleep(CALLER_PAUSE);
                    }
                });
            }
        });
        (acked, refused.into_inner().expect("unpoisoned"))
    }
}

impl Vm {
    fn get(&self, path: &str) -> Option<u16> {
        Some(request(self.at.requests, "GET", HOST, path)?.status)
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("the child is there");
            child.wait().expect("the child has ended");
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(writer) = self.writer.take() {
            writer.join().expect("the writer does not panic");
        }
        self.vms.iter_mut().for_each(Vm::kill);
    }
}

/// Sends a signal to a process that this test started.
#[allow(unsafe_code)]
fn signal(vm: &Vm, signal: i32) {
    if let Some(child) = &vm.child {
        // SAFETY: the call takes two numbers; the child has not been waited for, so its number is its
        // own.
        unsafe { libc::kill(child.id() as i32, signal) };
    }
}
