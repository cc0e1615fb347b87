//! The processes of a soak, what surrounds them, and the faults.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::limits::{self, LimitedServers};
use crate::mortal::{self, Mortals};
use crate::rollouts::{self, Rollout};
use crate::support::caller::{Connection, new_id};
use crate::support::daemon::{ListenAddresses, settings};
use crate::support::proxy::{Proxy, ProxyMode};
use crate::support::server::{Behavior, FakeServer};
use crate::support::store::{FakeStore, StoreMode, TestAccount};
use crate::support::{free_address, wait_until};

/// The host of all routes.
pub const HOST: &str = "shots.example";
/// A path whose requests may run more than once.
pub const SAFE: &str = "/a/x";
/// A path whose requests run once at most.
pub const ONCE: &str = "/once/x";
/// The client accounts, with a key of each and the requests a second that it may send.
pub const ACCOUNTS: [(&str, &str, f64); 3] = [
    ("north", "k-north", 0.0),
    ("south", "k-south", 0.0),
    ("tight", "k-tight", 20.0),
];
/// The priorities under load control of these accounts, and of the routes of [`SAFE`] and [`ONCE`].
const ACCOUNT_PRIORITIES: [Option<u32>; 3] = [Some(0), Some(2), None];
const ROUTE_PRIORITIES: [u32; 2] = [2, 1];
/// A key of no account.
pub const UNKNOWN_KEY: &str = "k-guess";

/// Whether a seed is played with load control: half of them, of good and bad rollouts alike, and none
/// that failed before there was any.
fn has_load_control(seed: u64) -> bool {
    [0, 2, 3, 7].contains(&(seed % 8))
}

/// Gives the line of a request's head that bears a key.
pub fn key_header(key: &str) -> String {
    format!("Key: {key}\r\n")
}

/// Daemons, two in each domain.
const DAEMONS: usize = 4;
/// Backend servers, in turn in each domain.
const SERVERS: usize = 6;
/// The grace time in the daemons' settings, and what a busy machine may add.
const STOP_LIMIT: Duration = Duration::from_secs(6);
/// Requests for each backend server below which a daemon hands requests to the servers' homes: all.
const HAND_OVER_ALWAYS: f64 = 1e9;
const DOMAINS: [&str; 2] = ["port-1", "hill-1"];

/// A backend server behind its proxy.
pub struct Server {
    pub id: String,
    pub server: FakeServer,
    proxy: Proxy,
    domain: &'static str,
}

/// One VM: its settings, and its process while there is one.
struct Vm {
    name: String,
    at: ListenAddresses,
    door: SocketAddr,
    proxy: Proxy,
    file: PathBuf,
    child: Option<Child>,
    /// When it was paused until, and when it was told to stop.
    paused_until: Option<Instant>,
    stopping_since: Option<Instant>,
}

/// Everything that a soak runs.
pub struct Fleet {
    seed: u64,
    store: FakeStore,
    servers: Vec<Server>,
    mortals: Mortals,
    rollout: Rollout,
    limited: LimitedServers,
    vms: Vec<Vm>,
    version: u32,
    broken: Vec<String>,
}

impl Fleet {
    /// Gives the directory of a seed's settings and logs.
    pub fn logs(seed: u64) -> PathBuf {
        std::env::temp_dir().join(format!("heatherknot-soak-{}-{seed}", std::process::id()))
    }

    /// Starts all processes and what surrounds them.
    pub fn start(seed: u64) -> Self {
        std::fs::create_dir_all(Self::logs(seed)).expect("the directory can be made");
        let store = FakeStore::default();
        let servers: Vec<Server> = (0..SERVERS).map(|n| server(seed, n)).collect();
        let mut fleet = Self {
            seed,
            mortals: Mortals::start(&store, DOMAINS),
            rollout: Rollout::start(&store, DOMAINS, seed),
            limited: LimitedServers::start(&store, DOMAINS, seed),
            store,
            servers,
            vms: Vec::new(),
            version: 1,
            broken: Vec::new(),
        };
        fleet.configure();
        (0..SERVERS).for_each(|number| fleet.register(number, "ready"));
        for number in 0..DAEMONS {
            let vm = fleet.vm(number);
            fleet.vms.push(vm);
            fleet.spawn(number);
        }
        fleet
    }

    /// Says whether the daemons have load control on.
    pub fn has_load_control(&self) -> bool {
        has_load_control(self.seed)
    }

    /// Gives where callers connect.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(|vm| vm.at.requests).collect()
    }

    /// Gives the backend servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter()
    }

    /// Gives the promises that were broken so far.
    pub fn broken(&mut self) -> Vec<String> {
        self.broken.extend(self.mortals.broken());
        self.broken.extend(self.rollout.broken());
        self.broken.extend(self.limited.broken());
        std::mem::take(&mut self.broken)
    }

    /// Returns whether the rollout has ended.
    pub fn has_rollout_ended(&self) -> bool {
        self.rollout.has_ended()
    }

    /// Returns whether a daemon was told to stop and has not been started again.
    pub fn is_stopping(&self) -> bool {
        self.vms.iter().any(|vm| vm.stopping_since.is_some())
    }

    /// Waits until every daemon serves.
    pub fn until_served(&self) {
        wait_until("all daemons serve", || self.all_serve());
    }

    /// Says whether every daemon serves.
    pub fn all_serve(&self) -> bool {
        let serves = |vm: &Vm| {
            let answer = Connection::open(vm.at.requests).and_then(|mut caller| {
                caller.extra_headers = key_header(ACCOUNTS[0].1);
                caller.request("GET", HOST, SAFE, &new_id())
            });
            answer.is_some_and(|answer| answer.status == 200)
        };
        self.vms.iter().all(serves)
    }

    fn vm(&self, number: usize) -> Vm {
        let at = ListenAddresses {
            requests: free_address(),
            ready: free_address(),
            lookups: free_address(),
            peers: free_address(),
            metrics: free_address(),
            handed: free_address(),
        };
        let door = self.store.open_endpoint();
        let proxy = Proxy::start(door);
        let name = format!("vm-{number}");
        let seeds: Vec<SocketAddr> = self.vms.iter().map(|vm| vm.at.peers).collect();
        let mut cfg = settings(&name, DOMAINS[number % 2], &at, proxy.address, &seeds);
        // So few daemons would keep connections to all backend servers themselves. The last one does.
        let hands_over = number + 1 < DAEMONS;
        cfg["hand_over_below"] = json!(if hands_over { HAND_OVER_ALWAYS } else { 0.0 });
        if has_load_control(self.seed) {
            cfg["load_control"] = json!(true);
        }
        let file = Self::logs(self.seed).join(format!("{name}.json"));
        std::fs::write(&file, cfg.to_string()).expect("the directory can be written");
        Vm {
            name,
            at,
            door,
            proxy,
            file,
            child: None,
            paused_until: None,
            stopping_since: None,
        }
    }

    fn spawn(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        let log = Self::logs(self.seed).join(format!("{}.log", vm.name));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_heatherknotd"))
            .args(["--platform", "--config"])
            .arg(&vm.file)
            .stdout(log)
            .stdin(Stdio::null())
            .spawn();
        vm.child = Some(child.expect("the daemon starts"));
        vm.stopping_since = None;
    }

    fn configure(&mut self) {
        self.version += 1;
        let routes = [
            ("/a/", "safe", "gallery"),
            ("/once/", "unsafe", "gallery"),
            (mortal::PREFIX, "safe", mortal::SERVICE),
            (rollouts::PREFIX, "safe", rollouts::SERVICE),
            (limits::PREFIX, "safe", limits::SERVICE),
        ];
        let mut accounts = ACCOUNTS.map(|(name, key, per_second)| TestAccount {
            per_second,
            burst: per_second,
            ..TestAccount::new(name, key)
        });
        let mut priorities: &[u32] = &[];
        if has_load_control(self.seed) {
            priorities = &ROUTE_PRIORITIES;
            for (account, priority) in accounts.iter_mut().zip(ACCOUNT_PRIORITIES) {
                account.priority = priority;
            }
        }
        self.store
            .configure_with_priorities(self.version, &routes, priorities, &accounts);
    }

    fn register(&self, number: usize, state: &str) {
        let server = &self.servers[number];
        let mut entry = server.server.entry("gallery", server.domain, state);
        entry["address"] = serde_json::json!(server.proxy.address);
        self.store.put(&format!("servers/{}", server.id), &entry);
    }

    /// Does one thing that a deployment has to bear.
    pub fn strike(&mut self, rng: &mut fastrand::Rng) {
        let vm = rng.usize(..DAEMONS);
        // One server is left alone, so that there is always somebody to serve.
        let server = rng.usize(1..SERVERS);
        let pause = Duration::from_millis(rng.u64(200..2_000));
        let manners: &[Behavior] = match has_load_control(self.seed) {
            true => &FULL_MANNERS,
            false => &MANNERS,
        };
        match rng.u32(..12) {
            0 => self.kill(vm),
            1 => self.terminate(vm),
            2 => self.pause(vm, pause),
            3 => self
                .store
                .set_mode(self.vms[vm].door, *rng.choice(&TURNS).expect("some")),
            4 => self.vms[vm]
                .proxy
                .set_mode(*rng.choice(&PASSAGES).expect("some")),
            5 => self.servers[server]
                .proxy
                .set_mode(*rng.choice(&PASSAGES).expect("some")),
            6 => self.servers[server]
                .server
                .set_behavior(rng.choice(manners).expect("some").clone()),
            7 => self.register(server, "draining"),
            8 => self.register(server, "ready"),
            9 => self.store.compact(),
            10 => self.store.lose_answers(rng.u32(1..3)),
            _ => self.configure(),
        }
    }

    /// Ends pauses that are over, and starts processes that have ended.
    pub fn step(&mut self) {
        self.mortals.step(&self.store);
        self.rollout.step(&self.store);
        self.limited.step();
        for number in 0..DAEMONS {
            let vm = &mut self.vms[number];
            if vm.paused_until.is_some_and(|until| Instant::now() >= until) {
                vm.paused_until = None;
                signal(vm, libc::SIGCONT);
            }
            let ended = vm
                .child
                .as_mut()
                .and_then(|child| child.try_wait().expect("a child"));
            match (ended, vm.stopping_since) {
                (Some(status), since) => {
                    if since.is_none() || !status.success() {
                        self.broken
                            .push(format!("{} ended by itself: {status}", vm.name));
                    }
                    self.spawn(number);
                }
                (None, Some(since)) if since.elapsed() > STOP_LIMIT => {
                    self.broken
                        .push(format!("{} did not stop in {STOP_LIMIT:?}", vm.name));
                    self.kill(number);
                }
                _ => {}
            }
        }
    }

    /// Ends every fault.
    pub fn heal(&mut self) {
        for vm in &mut self.vms {
            if vm.paused_until.take().is_some() {
                signal(vm, libc::SIGCONT);
            }
            vm.proxy.set_mode(ProxyMode::Forward);
            self.store.set_mode(vm.door, StoreMode::Normal);
        }
        for number in 0..SERVERS {
            self.servers[number].proxy.set_mode(ProxyMode::Forward);
            self.servers[number].server.set_behavior(Behavior::Answers);
            self.register(number, "ready");
        }
    }

    fn kill(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        vm.paused_until = None;
        if let Some(mut child) = vm.child.take() {
            child.kill().expect("the child is there");
            child.wait().expect("the child has ended");
        }
        self.spawn(number);
    }

    fn terminate(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        if vm.paused_until.is_none() && vm.stopping_since.is_none() {
            vm.stopping_since = Some(Instant::now());
            signal(vm, libc::SIGTERM);
        }
    }

    fn pause(&mut self, number: usize, span: Duration) {
        let vm = &mut self.vms[number];
        if vm.stopping_since.is_none() {
            vm.paused_until = Some(Instant::now() + span);
            signal(vm, libc::SIGSTOP);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.vms.iter_mut().filter_map(|vm| vm.child.as_mut()) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

const TURNS: [StoreMode; 4] = [
    StoreMode::Normal,
    StoreMode::Normal,
    StoreMode::Unavailable,
    StoreMode::Hanging,
];
const PASSAGES: [ProxyMode; 6] = [
    ProxyMode::Forward,
    ProxyMode::Forward,
    ProxyMode::Delay,
    ProxyMode::Stall,
    ProxyMode::StallReplies,
    ProxyMode::Disconnect,
];
const MANNERS: [Behavior; 4] = [
    Behavior::Answers,
    Behavior::Answers,
    Behavior::NeverAnswers,
    Behavior::Refuses,
];
/// Under load control; servers with limited slots are full while an account bursts.
const FULL_MANNERS: [Behavior; 6] = [
    Behavior::LimitedSlots,
    Behavior::LimitedSlots,
    Behavior::Answers,
    Behavior::AnswersLate,
    Behavior::NeverAnswers,
    Behavior::Refuses,
];

fn server(seed: u64, number: usize) -> Server {
    let id = format!("i-{seed}-{number}");
    let server = FakeServer::start(&id);
    if has_load_control(seed) {
        server.set_behavior(Behavior::LimitedSlots);
    }
    let proxy = Proxy::start(server.address);
    let domain = DOMAINS[number % 2];
    Server {
        id,
        server,
        proxy,
        domain,
    }
}

/// Sends a signal to a process that this soak started.
#[allow(unsafe_code)]
fn signal(vm: &Vm, signal: i32) {
    if let Some(child) = &vm.child {
        // SAFETY: the call takes two numbers; the child has not been waited for, so its
        // number is its own.
        unsafe { libc::kill(child.id() as i32, signal) };
    }
}
