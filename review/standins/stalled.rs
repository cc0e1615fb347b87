//! Case 2: a body that comes in short chunks stops a daemon for all its other callers.

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

/// Length of a bundle, in bytes; the configuration allows 64 MiB.
const BUNDLE_BYTES: usize = 16 << 20;
/// Length of one record of a bundle, which its client sends as one chunk.
const RECORD_BYTES: usize = 16;
/// Clients that submit bundles at each daemon, one after the other.
const SUBMITTERS: usize = 2;
/// Pause of such a client between two bundles.
const SUBMIT_PAUSE: Duration = Duration::from_secs(2);
/// Time budget of a submission.
const SUBMIT_BUDGET: Duration = Duration::from_secs(6);

/// Interval between two approvals at each daemon.
const APPROVE_INTERVAL: Duration = Duration::from_millis(100);
/// `timeout_s` of the approvals' route.
const APPROVE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after `timeout_s` at which the rule looks for an answer.
const HELD: Duration = Duration::from_millis(500);
/// Time budget of an approval.
const APPROVE_BUDGET: Duration = Duration::from_secs(4);
/// Number of requests from which on the rule counts.
const LEAST_HELD: usize = 8;

/// How long an upstream works on a request.
const WORK: Duration = Duration::from_millis(200);
/// Upstreams of each service.
const UPSTREAMS: usize = 6;
/// How long requests are sent.
const RUN: Duration = Duration::from_secs(25);
/// Interval of the status reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(1500);

const CONFIG: &str = r#"{"version":"00000007","routes":{"columns":["name","host","prefix","kind","timeout_s","target_latency_s","priority","service","retry_attempts","sticky","home_regions","traffic_split"],"rows":[["r-submit","listing.example","/bundles/","unsafe",2,0.8,1,"publisher",2,false,[],null],["r-approve","listing.example","/templates/","unsafe",1.5,0.6,2,"studio",2,false,[],null]]},"services":{"columns":["name","health_path","max_conns","protocol","tls","cold_start_s","cold_per_s"],"rows":[["publisher","/healthz",330,"h1",false,3.0,19.0],["studio","/healthz",330,"h1",false,3.0,19.0]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;

struct Upstream {
    id: String,
    service: &'static str,
    address: SocketAddr,
    zone: &'static str,
    record: Record,
}

impl Upstream {
    fn start(service: &'static str, number: usize, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let upstream = Arc::new(Self {
            id: format!("i-{service}-{number}"),
            service,
            address: listener.local_addr().expect("an address"),
            zone: ZONES[number % ZONES.len()].0,
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
        let Self {
            address,
            zone,
            service,
            ..
        } = self;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":9,\"state\":\"ready\",\"cold_left_s\":0,\"sequence\":{sequence}}}"
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }

    fn serve(&self, mut conn: Conn) {
        let Self { id, record, .. } = self;
        while let Some(head) = conn.head() {
            let request = head.field("request-id").to_owned();
            let (body, end) = conn.body(&head, false);
            let answer = if head.field("expected-instance") != id {
                format!(
                    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                )
            } else if end != End::Whole {
                return;
            } else {
                record.line(&format!("{id} runs {request}, {} bytes", body.len()));
                std::thread::sleep(WORK);
                format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Signature: {id}.{request}\r\nServer-Load: 1,0,9\r\nContent-Length: 5\r\n\r\ndone\n"
                )
            };
            if conn.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Submits a bundle, in chunks of one record or with a length.
fn submit(front: SocketAddr, id: &str, in_chunks: bool, record: &Record) {
    let Some(mut conn) = daemon::connect(front) else {
        return;
    };
    let began = Instant::now();
    let _ = conn.stream.set_write_timeout(Some(SUBMIT_BUDGET));
    let framing = match in_chunks {
        true => "Transfer-Encoding: chunked".to_owned(),
        false => format!("Content-Length: {BUNDLE_BYTES}"),
    };
    let head = format!(
        "POST /bundles/{id} HTTP/1.1\r\nHost: listing.example\r\nRequest-Id: {id}\r\nRequest-Deadline-Ms: 6000\r\n{framing}\r\n\r\n"
    );
    let mut piece = Vec::new();
    for n in 0..1024 {
        let line = format!("{n:0width$}\n", width = RECORD_BYTES - 1);
        match in_chunks {
            true => piece.extend(format!("{RECORD_BYTES:x}\r\n{line}\r\n").bytes()),
            false => piece.extend(line.bytes()),
        }
    }
    let mut sent = conn.stream.write_all(head.as_bytes()).is_ok();
    for _ in 0..BUNDLE_BYTES / RECORD_BYTES / 1024 {
        sent = sent && began.elapsed() < SUBMIT_BUDGET && conn.stream.write_all(&piece).is_ok();
    }
    if in_chunks {
        sent = sent && conn.stream.write_all(b"0\r\n\r\n").is_ok();
    }
    let left = SUBMIT_BUDGET.saturating_sub(began.elapsed());
    let left = left.max(Duration::from_millis(1));
    let _ = conn.stream.set_read_timeout(Some(left));
    let status = conn.head().map_or(0, |head| head.status());
    let took = began.elapsed().as_secs_f64();
    record.line(&format!(
        "bundle {id}: sent whole {sent}, answered {status} after {took:.2} s"
    ));
}

/// What became of an approval: the time to its answer, if there was one, and the status.
type Outcome = (Option<Duration>, u16);

fn approve(front: SocketAddr, id: &str, record: &Record) -> Option<Outcome> {
    let mut conn = daemon::connect(front)?;
    let _ = conn.stream.set_read_timeout(Some(APPROVE_BUDGET));
    let head = format!(
        "POST /templates/{id} HTTP/1.1\r\nHost: listing.example\r\nRequest-Id: {id}\r\nRequest-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n"
    );
    let began = Instant::now();
    conn.stream.write_all(head.as_bytes()).ok()?;
    let answer = conn.head().map(|head| {
        let (_, end) = conn.body(&head, true);
        (head.status(), end)
    });
    let took = began.elapsed();
    let _ = conn.stream.shutdown(Shutdown::Both);
    let outcome = match answer {
        Some((status, End::Whole)) => (Some(took), status),
        _ => (None, 0),
    };
    let (status, took) = (outcome.1, took.as_secs_f64());
    record.line(&format!("approval {id}: status {status} after {took:.2} s"));
    Some(outcome)
}

/// Runs the case; returns the exit code.
pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    let dir = TempDir::create();
    let (store, store_at) = Store::start();
    store.put("op/config", CONFIG);
    let services = ["publisher", "studio"].into_iter();
    let upstreams: Vec<_> = services
        .flat_map(|service| (0..UPSTREAMS).map(move |n| (service, n)))
        .map(|(service, n)| Upstream::start(service, n, &record))
        .collect();
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

    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    threads.push({
        let stop = Arc::clone(&stop);
        std::thread::spawn(move || {
            for sequence in 2.. {
                std::thread::sleep(REPORT_INTERVAL);
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                upstreams.iter().for_each(|u| u.report(&store, sequence));
            }
        })
    });
    for (d, daemon) in daemons.iter().enumerate() {
        for s in 0..SUBMITTERS {
            let (record, stop, front) = (record.clone(), Arc::clone(&stop), daemon.at.front);
            threads.push(std::thread::spawn(move || {
                for n in 0.. {
                    std::thread::sleep(SUBMIT_PAUSE);
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    submit(front, &format!("b{d}{s}{n:013x}"), has_trouble, &record);
                }
            }));
        }
    }
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let began = Instant::now();
    let mut approvals = Vec::new();
    for n in 0.. {
        if began.elapsed() >= RUN {
            break;
        }
        for (d, daemon) in daemons.iter().enumerate() {
            let (record, outcomes) = (record.clone(), Arc::clone(&outcomes));
            let front = daemon.at.front;
            approvals.push(std::thread::spawn(move || {
                let outcome = approve(front, &format!("a{d}{n:014x}"), &record);
                outcomes.lock().unwrap().extend(outcome);
            }));
        }
        std::thread::sleep(APPROVE_INTERVAL);
    }
    approvals.into_iter().for_each(|t| drop(t.join()));
    stop.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|t| drop(t.join()));

    let outcomes = outcomes.lock().unwrap();
    let unanswered_at = |at: Duration| {
        let late = |took: &Option<Duration>| took.is_none_or(|took| took > at);
        outcomes.iter().filter(|(took, _)| late(took)).count()
    };
    let late = unanswered_at(APPROVE_TIMEOUT);
    let held = unanswered_at(APPROVE_TIMEOUT + HELD);
    let never = outcomes.iter().filter(|(took, _)| took.is_none()).count();
    let served = outcomes.iter().filter(|(_, status)| *status == 200).count();
    record.say(&format!(
        "approvals sent {}, answered 200 {served}, without an answer within their time budget {never}",
        outcomes.len()
    ));
    record.say(&format!(
        "approvals unanswered at the route's timeout_s {late}, of these half a second later {held}"
    ));
    match (held >= LEAST_HELD && 2 * held > late, served) {
        (true, _) => 1,
        (false, 0) => 2,
        (false, _) => 0,
    }
}
