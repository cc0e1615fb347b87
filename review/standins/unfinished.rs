//! Case 3: an upstream turns slow after it has begun its answer, and the daemon holds the request
//! past the route's timeout.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::daemon::{self, Addresses, Daemon, ZONES};
use crate::http::{Conn, End};
use crate::record::{Record, TempDir};
use crate::store::Store;

/// How long an upstream works on a request.
const WORK: Duration = Duration::from_millis(880);
/// How many times as long a slow upstream works.
const SLOWDOWN: u32 = 12;
/// Upstreams of the service.
const UPSTREAMS: usize = 12;
/// Upstreams that turn slow, a share of 0.33.
const SLOW_UPSTREAMS: usize = 4;
/// When they turn slow, and for how long, from the first request on.
const SLOW_FROM: Duration = Duration::from_secs(4);
const SLOW_FOR: Duration = Duration::from_secs(9);

/// Length of an answer in bytes, and of the part that is ready before the work on the rest.
const ANSWER_BYTES: usize = 3_000;
const FIRST_BYTES: usize = 1_000;

/// Interval between two requests at each daemon.
const INTERVAL: Duration = Duration::from_millis(100);
/// `timeout_s` of the route.
const TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after `timeout_s` at which the rule looks for an answer.
const HELD: Duration = Duration::from_millis(500);
/// Time budget of a request.
const BUDGET: Duration = Duration::from_secs(4);
/// Number of requests from which on the rule counts.
const LEAST_HELD: usize = 8;
/// How long requests are sent.
const RUN: Duration = Duration::from_secs(18);
/// Interval of the status reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(1500);

const CONFIG: &str = r#"{"version":"00000007","routes":{"columns":["name","host","prefix","kind","timeout_s","target_latency_s","priority","service","retry_attempts","sticky","home_regions","traffic_split"],"rows":[["r-preview","listing.example","/previews/","safe",1.5,0.6,2,"gallery",2,true,[],null]]},"services":{"columns":["name","health_path","max_conns","protocol","tls","cold_start_s","cold_per_s"],"rows":[["gallery","/healthz",330,"h1",false,3.0,19.0]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;

struct Upstream {
    id: String,
    address: SocketAddr,
    zone: &'static str,
    is_slow: AtomicBool,
    record: Record,
}

impl Upstream {
    fn start(number: usize, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let upstream = Arc::new(Self {
            id: format!("i-{number:08}"),
            address: listener.local_addr().expect("an address"),
            zone: ZONES[number % ZONES.len()].0,
            is_slow: AtomicBool::new(false),
            record: record.clone(),
        });
        let served = Arc::clone(&upstream);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = Arc::clone(&served);
                std::thread::spawn(move || upstream.serve(Conn::new(stream)));
            }
        });
        upstream
    }

    fn report(&self, store: &Store, sequence: u64) {
        let Self { address, zone, .. } = self;
        let entry = format!(
            "{{\"service\":\"gallery\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":9,\"state\":\"ready\",\"cold_left_s\":0,\"sequence\":{sequence}}}"
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Sends the head and the first part of an answer when they are ready, and the rest after the
    /// work on it. The answer has no length and ends with its channel.
    fn serve(&self, mut conn: Conn) {
        let Some(head) = conn.head() else { return };
        let Self { id, record, .. } = self;
        let request = head.field("request-id");
        if head.field("expected-instance") != id {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            let _ = conn.stream.write_all(text.as_bytes());
            return;
        }
        let work = match self.is_slow.load(Ordering::Relaxed) {
            true => WORK * SLOWDOWN,
            false => WORK,
        };
        record.line(&format!("{id} runs {request} for {work:?}"));
        let mut first = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Signature: {id}.{request}\r\nServer-Load: 1,0,9\r\n\r\n"
        );
        first.push_str(&"a".repeat(FIRST_BYTES));
        if conn.stream.write_all(first.as_bytes()).is_err() {
            return;
        }
        std::thread::sleep(work);
        let rest = "b".repeat(ANSWER_BYTES - FIRST_BYTES);
        let is_sent = conn.stream.write_all(rest.as_bytes()).is_ok();
        record.line(&format!("{id} has sent the rest of {request}: {is_sent}"));
        let _ = conn.stream.shutdown(Shutdown::Both);
    }
}

/// What became of a request.
struct Outcome {
    status: u16,
    /// When the answer was complete or its channel had ended; `None` where neither came within the
    /// time budget.
    ended: Option<Duration>,
}

fn preview(front: SocketAddr, id: &str, object: usize, record: &Record) -> Option<Outcome> {
    let mut conn = daemon::connect(front)?;
    let head = format!(
        "GET /previews/{object} HTTP/1.1\r\nHost: listing.example\r\nRequest-Id: {id}\r\nCookie: Affinity-Key={object}\r\nRequest-Deadline-Ms: 4000\r\n\r\n"
    );
    let began = Instant::now();
    let _ = conn.stream.set_read_timeout(Some(BUDGET));
    conn.stream.write_all(head.as_bytes()).ok()?;
    let (mut status, mut end, mut len) = (0, End::Cut, 0);
    if let Some(head) = conn.head() {
        status = head.status();
        let left = BUDGET.saturating_sub(began.elapsed());
        let left = left.max(Duration::from_millis(1));
        let _ = conn.stream.set_read_timeout(Some(left));
        let (body, ended) = conn.body(&head, true);
        (end, len) = (ended, body.len());
    } else if began.elapsed() >= BUDGET {
        end = End::Silent;
    }
    let took = began.elapsed();
    let _ = conn.stream.shutdown(Shutdown::Both);
    record.line(&format!(
        "{id}: status {status}, {len} bytes, end {end:?} after {:.2} s",
        took.as_secs_f64()
    ));
    Some(Outcome {
        status,
        ended: (end != End::Silent).then_some(took),
    })
}

/// Runs the case; returns the exit code.
pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    let dir = TempDir::create();
    let (store, store_at) = Store::start();
    store.put("op/config", CONFIG);
    let start = |n| Upstream::start(n, &record);
    let upstreams: Vec<_> = (0..UPSTREAMS).map(start).collect();
    upstreams.iter().for_each(|u| u.report(&store, 1));
    let addresses: Vec<Addresses> = (0..3).map(|_| Addresses::free()).collect();
    let seeds: Vec<SocketAddr> = addresses.iter().map(|at| at.control).collect();
    let daemons = addresses.iter().enumerate().map(|(n, at)| {
        let zone = ZONES[2 * n].0;
        let name = format!("front-{zone}-1");
        Daemon::start(&dir.0, &name, zone, *at, store_at, &seeds)
    });
    let daemons: Vec<Daemon> = daemons.collect();
    if !daemon::wait_until_ready(&daemons, &record) {
        return 2;
    }
    std::thread::sleep(Duration::from_secs(3));

    let began = Instant::now();
    let background = {
        let record = record.clone();
        std::thread::spawn(move || {
            let mut reported = began;
            for sequence in 2.. {
                while reported.elapsed() < REPORT_INTERVAL {
                    std::thread::sleep(Duration::from_millis(50));
                    let at = began.elapsed();
                    let is_slow = has_trouble && at >= SLOW_FROM && at < SLOW_FROM + SLOW_FOR;
                    for upstream in &upstreams[..SLOW_UPSTREAMS] {
                        if upstream.is_slow.swap(is_slow, Ordering::Relaxed) != is_slow {
                            record.line(&format!("{} is slow: {is_slow}", upstream.id));
                        }
                    }
                }
                if began.elapsed() > RUN + BUDGET {
                    return;
                }
                reported = Instant::now();
                upstreams.iter().for_each(|u| u.report(&store, sequence));
            }
        })
    };
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for n in 0.. {
        if began.elapsed() >= RUN {
            break;
        }
        for (d, daemon) in daemons.iter().enumerate() {
            let (record, outcomes) = (record.clone(), Arc::clone(&outcomes));
            let front = daemon.at.front;
            threads.push(std::thread::spawn(move || {
                let object = (n * 3 + d) % 47;
                let outcome = preview(front, &format!("{d:02x}{n:014x}"), object, &record);
                outcomes.lock().unwrap().extend(outcome);
            }));
        }
        std::thread::sleep(INTERVAL);
    }
    threads.into_iter().for_each(|t| drop(t.join()));
    let _ = background.join();

    let outcomes = outcomes.lock().unwrap();
    let unanswered_at = |at: Duration| {
        let late = |o: &&Outcome| o.ended.is_none_or(|ended| ended > at);
        outcomes.iter().filter(late).count()
    };
    let late = unanswered_at(TIMEOUT);
    let held = unanswered_at(TIMEOUT + HELD);
    let never = outcomes.iter().filter(|o| o.ended.is_none()).count();
    let served = outcomes
        .iter()
        .filter(|o| o.status == 200 && o.ended.is_some());
    let served = served.count();
    record.say(&format!(
        "requests sent {}, answers that ended {served}, without an end within their time budget {never}",
        outcomes.len()
    ));
    record.say(&format!(
        "requests without a final answer at the route's timeout_s {late}, of these half a second later {held}"
    ));
    match (held >= LEAST_HELD && 2 * held > late, served) {
        (true, _) => 1,
        (false, 0) => 2,
        (false, _) => 0,
    }
}
