//! Stand-ins for backend servers on a thread of their own, and callers that wait.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender, TryRecvError, channel};
use std::time::Duration;

use heatherknot_gateway::REASON_HEADER;
use heatherknot_http::{Body, Pool, PoolConfig, RequestHead, SendOptions};
use heatherknot_test_support::backend::{Behavior, FakeBackend, REQUEST_ID_HEADER};
use heatherknot_test_support::layouts::{self, UpstreamSpec};
use heatherknot_test_support::runtime;
use heatherknot_types::outcome::{DEADLINE_HEADER, IDEMPOTENCY_HEADER, OUTCOME_HEADER};
use heatherknot_types::outcome::{Outcome, SERVICE_HEADER};
use heatherknot_types::prelude::*;
use http::{HeaderMap, Method, StatusCode};
use serde_json::{Value as Json, json};

use super::pause;

/// A service with requests that must not run twice.
pub const PUBLISHER: &str = "utilities/port-louis:publisher";
/// A non-idempotent request of [`PUBLISHER`].
pub const SUBMISSIONS: &str = "/submissions";

/// How often the thread of the servers looks for something to do.
const LOOK: Duration = Duration::from_millis(1);
/// Longer than any test runs, in milliseconds.
const NO_DEADLINE_MS: u64 = 600_000;
const MAX_ANSWER: usize = 16 << 20;

type Servers = BTreeMap<String, FakeBackend>;
type Job = Box<dyn FnOnce(&Servers) + Send>;

/// The backend servers of [`PUBLISHER`] in `north-1`, by the names of their upstreams.
pub struct Backends {
    jobs: Sender<Job>,
    addresses: BTreeMap<String, SocketAddr>,
}

impl Backends {
    /// Starts a backend server for each upstream.
    pub fn start(behavior: Behavior) -> Self {
        let (jobs, rx) = channel();
        let (tx, addresses) = channel();
        std::thread::spawn(move || runtime::block_on(serve(behavior, rx, tx)));
        let addresses = addresses.recv().expect("the servers start");
        Self { jobs, addresses }
    }

    /// Gives the settings in which these servers stand, with no deadline that a test can meet.
    pub fn document(&self) -> Json {
        let mut unused = layouts::unused_addresses();
        let mut document = layouts::port_louis(|spot| {
            let own = self.addresses.get(&spot.name);
            own.copied().unwrap_or_else(|| unused(spot))
        });
        let account = &mut document["accounts"]["utilities"]["accounts"]["port-louis"];
        account["services"]["publisher"]["deadline_ms"] = json!(NO_DEADLINE_MS);
        document
    }

    /// Gives the names of the upstreams.
    pub fn names(&self) -> Vec<String> {
        self.addresses.keys().cloned().collect()
    }

    /// Gives the address of an upstream.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.addresses[name]
    }

    /// Changes how all servers treat requests.
    pub fn change(&self, change: impl Fn(&mut Behavior) + Send + 'static) {
        self.on_thread(move |servers| {
            for server in servers.values() {
                server.change(&change);
            }
        });
    }

    /// Gives how often a request ran, on all servers together.
    pub fn runs_of(&self, id: &str) -> usize {
        let id = id.to_owned();
        self.on_thread(move |servers| servers.values().map(|server| server.runs_of(&id)).sum())
    }

    /// Gives how many requests ran on one server.
    pub fn runs_at(&self, name: &str) -> usize {
        let name = name.to_owned();
        self.on_thread(move |servers| servers[&name].runs().values().sum())
    }

    fn on_thread<R: Send + 'static>(&self, job: impl FnOnce(&Servers) -> R + Send + 'static) -> R {
        let (tx, rx) = channel();
        let job: Job = Box::new(move |servers| {
            let _ = tx.send(job(servers));
        });
        self.jobs.send(job).expect("the servers run");
        rx.recv().expect("the servers run")
    }
}

/// Runs the servers until nobody can send jobs any more.
async fn serve(behavior: Behavior, jobs: Receiver<Job>, tx: Sender<BTreeMap<String, SocketAddr>>) {
    let mut servers = Servers::new();
    layouts::port_louis(|spot| {
        let is_own = is_own(spot);
        let server = is_own.then(|| FakeBackend::start(behavior.clone()));
        let address = server.as_ref().map(FakeBackend::address);
        servers.extend(server.map(|server| (spot.name.clone(), server)));
        address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 1)))
    });
    let addresses = servers.iter().map(|(name, s)| (name.clone(), s.address()));
    let _ = tx.send(addresses.collect());
    loop {
        match jobs.try_recv() {
            Ok(job) => job(&servers),
            Err(TryRecvError::Empty) => monoio::time::sleep(LOOK).await,
            Err(TryRecvError::Disconnected) => return,
        }
    }
}

fn is_own(spot: &UpstreamSpec) -> bool {
    spot.service == "publisher" && spot.place == "north-1"
}

/// A caller's whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// What became of the request.
    pub outcome: String,
    /// Why the daemon answered by itself.
    pub reason: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Says whether the daemon says that the request did not run.
    pub fn is_not_run(&self) -> bool {
        self.outcome == Outcome::NotRun.as_str()
    }

    /// Says whether a backend server's answer came.
    pub fn is_answered(&self) -> bool {
        self.outcome == Outcome::Answered.as_str()
    }

    /// Says whether nobody knows what became of the request.
    pub fn is_unknown(&self) -> bool {
        self.outcome == Outcome::Unknown.as_str()
    }
}

/// Sends a non-idempotent request once with a key. Gives nothing where the connection broke
/// before the whole answer had come.
pub fn submit(callers: SocketAddr, key: &str, id: &str) -> Option<Answer> {
    let mut head = head(Method::POST, SUBMISSIONS, id);
    head.headers
        .insert(IDEMPOTENCY_HEADER, key.parse().expect("a header"));
    runtime::block_on(exchange(callers, head))
}

/// Sends a non-idempotent request again and again, as long as it is told that it did not run.
///
/// A daemon refuses so in its first second, in which it has decided nothing yet.
pub fn submit_until_run(callers: SocketAddr, key: &str, id: &str) -> Option<Answer> {
    loop {
        match submit(callers, key, id) {
            Some(answer) if answer.is_not_run() => pause(),
            other => return other,
        }
    }
}

/// Sends idempotent requests until one is answered.
pub fn fetch_until_answered(callers: SocketAddr, id: &str) {
    let fetch = || runtime::block_on(exchange(callers, head(Method::GET, "/list", id)));
    while !fetch().is_some_and(|answer| answer.is_answered()) {
        pause();
    }
}

fn head(method: Method, path: &str, id: &str) -> RequestHead {
    let mut head = RequestHead::new(method, path.parse().expect("a target"));
    let headers = &mut head.headers;
    headers.insert(SERVICE_HEADER, PUBLISHER.parse().expect("a header"));
    headers.insert(REQUEST_ID_HEADER, id.parse().expect("a header"));
    headers.insert(DEADLINE_HEADER, NO_DEADLINE_MS.into());
    head
}

async fn exchange(callers: SocketAddr, head: RequestHead) -> Option<Answer> {
    let patient = Duration::from_millis(NO_DEADLINE_MS);
    let cfg = PoolConfig {
        silence_limit: patient,
        body_timeout: patient,
        ..PoolConfig::default()
    };
    let pool = Pool::new(callers, cfg, Clock::system());
    let sent = pool.send(head, Body::empty(), SendOptions::default()).await;
    let response = sent.ok()?;
    let text = |headers: &HeaderMap, name: &str| {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    Some(Answer {
        status: response.status,
        outcome: text(&response.headers, OUTCOME_HEADER),
        reason: text(&response.headers, REASON_HEADER.as_str()),
        body: response.body.collect(MAX_ANSWER).await.ok()?.to_vec(),
    })
}
