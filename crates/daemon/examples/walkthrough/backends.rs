//! The backend servers, all on one thread.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;
use std::time::Duration;

use heatherknot_test_support::backend::{Behavior, FakeBackend, WhenFull};
use heatherknot_test_support::layouts::UpstreamSpec;
use heatherknot_test_support::runtime;
use heatherknot_types::prelude::*;

use crate::scenario::Scenario;

/// How often the thread looks for commands.
const POLL: Duration = Duration::from_millis(5);
/// Length of each answer, in bytes.
const BODY_LEN: usize = 1024;

/// What a backend server says of itself at the end.
#[derive(Clone, Debug)]
pub struct BackendTruth {
    /// The name of the upstream.
    pub name: String,
    /// Requests that it runs at once.
    pub slots: u16,
    /// The most requests that were there at once, running or waiting for a slot.
    pub most_running: usize,
    /// How often each request ran.
    pub runs: BTreeMap<String, usize>,
}

/// What all backend servers say of themselves at the end.
#[derive(Clone, Debug, Default)]
pub struct Truth {
    /// Each server.
    pub servers: Vec<BackendTruth>,
    /// The most requests that ran at once at each place.
    pub peaks: BTreeMap<String, usize>,
    /// The most requests that ran at once in each region.
    pub region_peaks: BTreeMap<String, usize>,
}

enum Command {
    Drain(String),
    Running(String, Sender<usize>),
    Finish(Sender<Truth>),
}

/// The backend servers of a layout.
pub struct Backends {
    /// The settings of the layout, with the servers' addresses.
    pub settings: serde_json::Value,
    count: usize,
    tx: Sender<Command>,
    thread: Option<JoinHandle<()>>,
}

struct Server {
    spot: UpstreamSpec,
    backend: FakeBackend,
}

impl Backends {
    /// Starts a server for each upstream of the layout.
    pub fn start(scenario: &Scenario) -> Self {
        let mut spots = Vec::new();
        let placeholder = SocketAddr::from(([127, 0, 0, 1], 1));
        scenario.settings(|spot| {
            spots.push(spot.clone());
            placeholder
        });
        let count = spots.len();
        let times = scenario.service_times();
        let (tx, rx) = channel();
        let (ready_tx, ready_rx) = channel();
        let thread = std::thread::spawn(move || {
            runtime::block_on(async move {
                let servers: Vec<Server> = spots
                    .into_iter()
                    .map(|spot| start_one(spot, &times))
                    .collect();
                let addresses: BTreeMap<String, SocketAddr> = servers
                    .iter()
                    .map(|s| (s.spot.name.clone(), s.backend.address()))
                    .collect();
                let _ = ready_tx.send(addresses);
                obey(&servers, &rx).await;
            });
        });
        let addresses = ready_rx
            .recv()
            .expect("the backend thread reports its addresses");
        let settings = scenario.settings(|spot| addresses[&spot.name]);
        Self {
            settings,
            count,
            tx,
            thread: Some(thread),
        }
    }

    /// Gives the number of servers.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Makes a server say in its answers that it is leaving.
    pub fn drain(&self, name: &str) {
        let _ = self.tx.send(Command::Drain(name.to_owned()));
    }

    /// Gives the number of requests that a server runs now.
    pub fn running(&self, name: &str) -> usize {
        let (tx, rx) = channel();
        let _ = self.tx.send(Command::Running(name.to_owned(), tx));
        rx.recv().unwrap_or(0)
    }

    /// Stops the servers and gives what they say of themselves.
    pub fn finish(mut self) -> Truth {
        let (tx, rx) = channel();
        let _ = self.tx.send(Command::Finish(tx));
        let truth = rx.recv().unwrap_or_default();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        truth
    }
}

fn start_one(spot: UpstreamSpec, times: &BTreeMap<ServiceName, Duration>) -> Server {
    let time = times
        .iter()
        .find(|(service, _)| service.as_str().rsplit(':').next() == Some(spot.service));
    let behavior = Behavior {
        slots: usize::from(spot.slots),
        when_full: WhenFull::Queue,
        response_time: time.map_or(Duration::from_millis(50), |(_, span)| *span),
        body_len: BODY_LEN,
        ..Behavior::default()
    };
    let backend = FakeBackend::start(behavior);
    Server { spot, backend }
}

async fn obey(servers: &[Server], rx: &Receiver<Command>) {
    let find = |name: &str| servers.iter().find(|server| server.spot.name == name);
    let mut truth = Truth::default();
    loop {
        while let Ok(command) = rx.try_recv() {
            match command {
                Command::Drain(name) => {
                    if let Some(server) = find(&name) {
                        server.backend.change(|behavior| behavior.draining = true);
                    }
                }
                Command::Running(name, tx) => {
                    let running = find(&name).map_or(0, |server| server.backend.running());
                    let _ = tx.send(running);
                }
                Command::Finish(tx) => {
                    truth.servers = servers.iter().map(truth_of).collect();
                    let _ = tx.send(truth);
                    return;
                }
            }
        }
        sample(servers, &mut truth);
        monoio::time::sleep(POLL).await;
    }
}

fn sample(servers: &[Server], truth: &mut Truth) {
    let mut places: BTreeMap<&str, usize> = BTreeMap::new();
    let mut regions: BTreeMap<&str, usize> = BTreeMap::new();
    for server in servers {
        let running = server.backend.running();
        let place = server.spot.place.as_str();
        *places.entry(place).or_default() += running;
        *regions.entry(region_of(place)).or_default() += running;
    }
    raise(&mut truth.peaks, places);
    raise(&mut truth.region_peaks, regions);
}

fn raise(peaks: &mut BTreeMap<String, usize>, now: BTreeMap<&str, usize>) {
    for (name, running) in now {
        let peak = peaks.entry(name.to_owned()).or_default();
        *peak = running.max(*peak);
    }
}

/// Gives the region of a place; the layouts name it before the last dash.
fn region_of(place: &str) -> &str {
    place.rsplit_once('-').map_or(place, |(region, _)| region)
}

fn truth_of(server: &Server) -> BackendTruth {
    BackendTruth {
        name: server.spot.name.clone(),
        slots: server.spot.slots,
        most_running: server.backend.most_running(),
        runs: server.backend.runs().into_iter().collect(),
    }
}
