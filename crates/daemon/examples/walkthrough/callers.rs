//! The callers: they ask for entry VMs, keep the answers, and send the trace's requests.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use heatherknot_daemon::callers::{TICKET_PATH, TicketAnswer};
use heatherknot_daemon::lookup::answer::{LOOKUP_PATH, LookupAnswer};
use heatherknot_http::{Body, Pool, PoolConfig, RequestHead, Response, SendOptions};
use heatherknot_replay::trace::{Demand, Event, Seen};
use heatherknot_test_support::runtime;
use heatherknot_types::outcome::{
    CLASS_HEADER, IDEMPOTENCY_HEADER, OUTCOME_HEADER, SERVICE_HEADER,
};
use heatherknot_types::prelude::*;
use http::{HeaderValue, Method};

use crate::daemons::Daemons;
use crate::scenario::Scenario;

/// How often new requests are sent.
const STEP: Duration = Duration::from_millis(20);
/// Entry VMs that a caller tries for one request.
const MAX_TRIES: usize = 3;
/// Time allowed for what was sent last.
const TAIL: Duration = Duration::from_secs(5);
/// One in this many requests of a service with at-most-once paths is such a request.
const ONCE_EVERY: u64 = 4;

/// What callers saw of one service and class.
pub struct Tally {
    /// Requests answered.
    pub answered: u64,
    /// Requests whose last answer was "not run".
    pub not_run: u64,
    /// Requests with an unknown outcome.
    pub unknown: u64,
    /// Times of answered requests, in microseconds.
    pub latency: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            answered: 0,
            not_run: 0,
            unknown: 0,
            latency: Histogram::new(3).expect("3 digits"),
        }
    }
}

/// The last answers to the requests of one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Second {
    /// Requests answered.
    pub answered: u64,
    /// Requests that were not run.
    pub not_run: u64,
}

/// What callers saw.
#[derive(Default)]
pub struct Results {
    /// By service and class.
    pub seen: BTreeMap<(ServiceName, Class), Tally>,
    /// The requests that must run at most once.
    pub once: Vec<String>,
    /// The requests whose last answer was "not run".
    pub not_run: Vec<String>,
    /// Look-ups that got no answer from any daemon.
    pub failed_lookups: u64,
    /// Why requests were not run, by the reason header.
    pub reasons: BTreeMap<String, u64>,
    /// Last answers by the second in which the request was made.
    pub seconds: BTreeMap<u64, Second>,
}

/// The running traffic.
pub struct Traffic {
    thread: JoinHandle<Results>,
}

impl Traffic {
    /// Waits for the end of the trace and gives what callers saw.
    pub fn finish(self) -> Results {
        self.thread.join().expect("the callers' thread ends")
    }
}

/// Starts sending the trace's requests.
pub fn start(scenario: &Scenario, daemons: &Daemons) -> Traffic {
    let events = scenario.trace.events.clone();
    let duration = Duration::from_millis(scenario.trace.head.duration_ms.0);
    let plan = &scenario.trace.head.plan;
    let once = plan.services.iter().filter_map(|(name, service)| {
        let (method, path) = service.at_most_once.first()?.split_once(' ')?;
        let method = Method::from_bytes(method.as_bytes()).ok()?;
        Some((
            name.clone(),
            OncePath {
                method,
                path: path.to_owned(),
            },
        ))
    });
    let once: BTreeMap<ServiceName, OncePath> = once.collect();
    let near = plan.domains.keys();
    let near = near.map(|domain| (domain.clone(), daemons.callers_addresses(domain)));
    let near: BTreeMap<DomainName, Vec<SocketAddr>> = near.collect();
    let thread = std::thread::spawn(move || {
        runtime::block_on(async move {
            let callers = Rc::new(Callers::new(near, once));
            send_all(&callers, &events, duration).await;
            let started = Instant::now();
            while callers.open.get() > 0 && started.elapsed() < TAIL {
                monoio::time::sleep(STEP).await;
            }
            callers.results.take()
        })
    });
    Traffic { thread }
}

#[derive(Clone)]
struct OncePath {
    method: Method,
    path: String,
}

struct Callers {
    near: BTreeMap<DomainName, Vec<SocketAddr>>,
    once: BTreeMap<ServiceName, OncePath>,
    clock: Clock,
    pools: RefCell<BTreeMap<SocketAddr, Pool>>,
    answers: RefCell<BTreeMap<(ServiceName, IpAddr), Cached>>,
    results: RefCell<Results>,
    open: Cell<usize>,
    sent: Cell<u64>,
}

#[derive(Clone)]
struct Cached {
    answer: LookupAnswer,
    until: Millis,
}

/// One request of a caller.
struct Wanted {
    id: String,
    service: ServiceName,
    class: Class,
    source: DomainName,
    block: IpAddr,
    once: Option<OncePath>,
}

async fn send_all(callers: &Rc<Callers>, events: &[Event], duration: Duration) {
    let started = Instant::now();
    let mut flows: BTreeMap<(DomainName, String, ServiceName, Class), (Demand, f64)> =
        BTreeMap::new();
    let mut next = events.iter().peekable();
    let mut last = started;
    while started.elapsed() < duration {
        let at = Millis(started.elapsed().as_millis() as u64);
        while let Some(event) = next.next_if(|event| event.at <= at) {
            let Seen::Demand(demand) = &event.seen else {
                continue;
            };
            let key = (
                demand.source.clone(),
                demand.block.clone(),
                demand.service.clone(),
                demand.class,
            );
            flows.entry(key).or_insert((demand.clone(), 0.0)).0 = demand.clone();
        }
        let passed = last.elapsed().as_secs_f64();
        last = Instant::now();
        for (demand, owed) in flows.values_mut() {
            *owed += demand.per_second * passed;
            while *owed >= 1.0 {
                *owed -= 1.0;
                callers.spawn_one(demand);
            }
        }
        monoio::time::sleep(STEP).await;
    }
}

impl Callers {
    fn new(
        near: BTreeMap<DomainName, Vec<SocketAddr>>,
        once: BTreeMap<ServiceName, OncePath>,
    ) -> Self {
        Self {
            near,
            once,
            clock: Clock::system(),
            pools: RefCell::default(),
            answers: RefCell::default(),
            results: RefCell::default(),
            open: Cell::new(0),
            sent: Cell::new(0),
        }
    }

    fn spawn_one(self: &Rc<Self>, demand: &Demand) {
        let n = self.sent.get() + 1;
        self.sent.set(n);
        let once = self
            .once
            .get(&demand.service)
            .filter(|_| n.is_multiple_of(ONCE_EVERY))
            .cloned();
        let wanted = Wanted {
            id: format!("w{n}"),
            service: demand.service.clone(),
            class: demand.class,
            source: demand.source.clone(),
            block: block_of(&demand.source, n),
            once,
        };
        if wanted.once.is_some() {
            self.results.borrow_mut().once.push(wanted.id.clone());
        }
        self.open.set(self.open.get() + 1);
        let callers = Rc::clone(self);
        monoio::spawn(async move {
            callers.request(&wanted).await;
            callers.open.set(callers.open.get() - 1);
        });
    }

    /// Sends one request, to the next entry VM where one says that it did not run.
    async fn request(&self, wanted: &Wanted) {
        let started = Instant::now();
        let mut last = Outcome::NotRun;
        let entries = self.entries(wanted).await;
        for address in entries.into_iter().take(MAX_TRIES) {
            last = self.try_one(wanted, address).await;
            if last != Outcome::NotRun {
                break;
            }
        }
        self.note(wanted, last, started.elapsed());
    }

    async fn try_one(&self, wanted: &Wanted, address: SocketAddr) -> Outcome {
        let Ok(head) = self.head(wanted, address).await else {
            return Outcome::NotRun;
        };
        let options = SendOptions {
            idempotent: wanted.once.is_none(),
            ..SendOptions::default()
        };
        match self.pool(address).send(head, Body::empty(), options).await {
            Ok(response) => self.read(response).await,
            Err(error) if error.send_progress() == heatherknot_http::SendProgress::NotSent => {
                Outcome::NotRun
            }
            Err(_) if wanted.once.is_none() => Outcome::NotRun,
            Err(_) => Outcome::Unknown,
        }
    }

    async fn head(&self, wanted: &Wanted, address: SocketAddr) -> Result<RequestHead, ()> {
        let (method, path) = match &wanted.once {
            Some(once) => (once.method.clone(), once.path.as_str()),
            None => (Method::GET, "/preview"),
        };
        let mut head = RequestHead::new(method, path.parse().map_err(|_| ())?);
        let mut set = |name: &'static str, value: &str| {
            let value = HeaderValue::from_str(value).map_err(|_| ())?;
            head.headers.insert(name, value);
            Ok(())
        };
        set(SERVICE_HEADER, wanted.service.as_str())?;
        set(CLASS_HEADER, wanted.class.as_str())?;
        set(REQUEST_ID_NAME, &wanted.id)?;
        if wanted.once.is_some() {
            set(IDEMPOTENCY_HEADER, &self.ticket(wanted, address).await?)?;
        }
        Ok(head)
    }

    async fn ticket(&self, wanted: &Wanted, address: SocketAddr) -> Result<String, ()> {
        let target = format!("{TICKET_PATH}?service={}", wanted.service);
        let body = self.get(address, &target).await.ok_or(())?;
        let answer: TicketAnswer = serde_json::from_slice(&body).map_err(|_| ())?;
        Ok(answer.ticket)
    }

    async fn read(&self, response: Response) -> Outcome {
        let header = |name: &str| response.headers.get(name).and_then(|v| v.to_str().ok());
        let outcome = match header(OUTCOME_HEADER) {
            Some("answered") => Outcome::Answered,
            Some("not-run") => Outcome::NotRun,
            _ => Outcome::Unknown,
        };
        if outcome != Outcome::Answered {
            let reason = header(heatherknot_gateway::REASON_HEADER.as_str())
                .unwrap_or("none")
                .to_owned();
            *self.results.borrow_mut().reasons.entry(reason).or_default() += 1;
        }
        let whole = response.body.collect(1 << 20).await;
        if outcome == Outcome::Answered && whole.is_err() {
            return Outcome::Unknown;
        }
        outcome
    }

    /// Gives the entry VMs to use, from the kept answer where it has not expired.
    async fn entries(&self, wanted: &Wanted) -> Vec<SocketAddr> {
        let key = (wanted.service.clone(), wanted.block);
        let kept = self.answers.borrow().get(&key).cloned();
        if let Some(kept) = kept.filter(|kept| kept.until > self.clock.now()) {
            return kept
                .answer
                .entries
                .iter()
                .map(|entry| entry.address)
                .collect();
        }
        let target = format!(
            "{LOOKUP_PATH}?service={}&block={}",
            wanted.service, wanted.block
        );
        let near = self.near.get(&wanted.source).into_iter().flatten();
        let others = self.near.values().flatten();
        let asked = self.clock.now();
        for address in near.chain(others).take(2 * MAX_TRIES) {
            let Some(body) = self.get(*address, &target).await else {
                continue;
            };
            let Ok(answer) = serde_json::from_slice::<LookupAnswer>(&body) else {
                continue;
            };
            let until = asked + answer.ttl_ms;
            let entries = answer.entries.iter().map(|entry| entry.address).collect();
            self.answers
                .borrow_mut()
                .insert(key, Cached { answer, until });
            return entries;
        }
        self.results.borrow_mut().failed_lookups += 1;
        Vec::new()
    }

    async fn get(&self, address: SocketAddr, target: &str) -> Option<Vec<u8>> {
        let head = RequestHead::new(Method::GET, target.parse().ok()?);
        let options = SendOptions {
            idempotent: true,
            ..SendOptions::default()
        };
        let response = self
            .pool(address)
            .send(head, Body::empty(), options)
            .await
            .ok()?;
        if !response.status.is_success() {
            return None;
        }
        response
            .body
            .collect(64 * 1024)
            .await
            .ok()
            .map(|body| body.to_vec())
    }

    fn pool(&self, address: SocketAddr) -> Pool {
        let mut pools = self.pools.borrow_mut();
        let make = || {
            let config = PoolConfig {
                max_connections: 1024,
                ..PoolConfig::default()
            };
            Pool::new(address, config, self.clock.clone())
        };
        pools.entry(address).or_insert_with(make).clone()
    }

    fn note(&self, wanted: &Wanted, outcome: Outcome, took: Duration) {
        let mut results = self.results.borrow_mut();
        let began = self.clock.now().0.saturating_sub(took.as_millis() as u64);
        let second = results.seconds.entry(began / 1000).or_default();
        match outcome {
            Outcome::Answered => second.answered += 1,
            Outcome::NotRun => second.not_run += 1,
            Outcome::Unknown => {}
        }
        let key = (wanted.service.clone(), wanted.class);
        let seen = results.seen.entry(key).or_default();
        match outcome {
            Outcome::Answered => {
                seen.answered += 1;
                let _ = seen.latency.record(took.as_micros() as u64);
            }
            Outcome::NotRun => seen.not_run += 1,
            Outcome::Unknown => seen.unknown += 1,
        }
        if outcome == Outcome::NotRun {
            results.not_run.push(wanted.id.clone());
        }
    }
}

const REQUEST_ID_NAME: &str = "x-request-id";

/// Gives one of a few caller blocks near a failure domain.
fn block_of(source: &DomainName, n: u64) -> IpAddr {
    const BLOCKS: u64 = 32;
    let sum = source.as_str().bytes().fold(0u8, u8::wrapping_add);
    IpAddr::V4(Ipv4Addr::new(10, sum, (n % BLOCKS) as u8, 1))
}
