//! Case 1: an upstream breaks off an answer without a length before it has read a long upload, which
//! resets the channel.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::daemon::{self, Addresses, Daemon, ZONES};
use crate::http::{Conn, End};
use crate::record::{Record, TempDir};
use crate::store::Store;

/// Length of an upload, in bytes; the configuration allows 64 MiB.
const UPLOAD_BYTES: usize = 16 << 20;
/// Length of an answer, in bytes.
const ANSWER_BYTES: usize = 96 * 1024;
/// Time from the head of a request to the answer.
const WORK: Duration = Duration::from_millis(400);
/// Clients that upload at each daemon.
const CLIENTS: usize = 6;
/// Upstreams of the service.
const UPSTREAMS: usize = 12;
/// Upstreams that break off answers, a share of 0.5.
const FAULTY_UPSTREAMS: usize = 6;
/// How long they do so, and the pause until they do so again.
const FAULTY_FOR: Duration = Duration::from_secs(5);
const SOUND_FOR: Duration = Duration::from_secs(1);
/// One in this many answers of such an upstream is broken off.
const ANSWERS_PER_FAULT: u32 = 20;
/// How long uploads are sent.
const RUN: Duration = Duration::from_secs(40);
/// Interval of the status reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(1500);

const CONFIG: &str = r#"{"version":"00000007","routes":{"columns":["name","host","prefix","kind","timeout_s","target_latency_s","priority","service","retry_attempts","sticky","home_regions","traffic_split"],"rows":[["r-submit","listing.example","/bundles/","unsafe",6,0.8,1,"publisher",2,false,[],null]]},"services":{"columns":["name","health_path","max_conns","protocol","tls","cold_start_s","cold_per_s"],"rows":[["publisher","/healthz",330,"h1",false,3.0,19.0]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;

/// Returns the upstream's whole answer to a request.
fn answer_body(request: &str) -> Vec<u8> {
    let mix = |sum: u8, b: u8| sum.wrapping_mul(31).wrapping_add(b);
    let seed = request.bytes().fold(7, mix);
    let byte = |n: usize| seed.wrapping_add((n % 251) as u8);
    (0..ANSWER_BYTES).map(byte).collect()
}

/// An upstream, which runs on threads of this process.
struct Upstream {
    id: String,
    address: SocketAddr,
    zone: &'static str,
    /// Whether it breaks off some answers.
    is_faulty: bool,
    answers: AtomicU32,
    /// From when on the faulty and the sound spans follow each other.
    began: Instant,
    record: Record,
}

impl Upstream {
    fn start(number: usize, is_faulty: bool, began: Instant, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let upstream = Arc::new(Self {
            id: format!("i-{number:08}"),
            address: listener.local_addr().expect("an address"),
            zone: ZONES[number % ZONES.len()].0,
            is_faulty,
            answers: AtomicU32::new(0),
            began,
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
            "{{\"service\":\"publisher\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\"cold_left_s\":0,\"sequence\":{sequence}}}"
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Answers one request before it has read the body. The answer ends with its channel.
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
        record.line(&format!("{id} runs {request}"));
        std::thread::sleep(WORK);
        let body = answer_body(request);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Signature: {id}.{request}\r\nServer-Load: 1,0,3\r\n\r\n"
        );
        let count = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        let cycle = (FAULTY_FOR + SOUND_FOR).as_millis();
        let at = self.began.elapsed().as_millis() % cycle;
        let is_faulty = self.is_faulty && at < FAULTY_FOR.as_millis();
        if is_faulty && count.is_multiple_of(ANSWERS_PER_FAULT) {
            let half = &body[..ANSWER_BYTES / 2];
            let answer = [head.as_bytes(), half].concat();
            let _ = conn.stream.write_all(&answer);
            // The channel closes with unread bytes, which resets it.
            drop(conn);
            let sent = half.len();
            record.line(&format!(
                "{id} broke off its answer to {request} after {sent} bytes"
            ));
            return;
        }
        if conn
            .stream
            .write_all(&[head.as_bytes(), &body].concat())
            .is_ok()
        {
            record.line(&format!(
                "{id} has answered {request} with {ANSWER_BYTES} bytes"
            ));
        }
        let _ = conn.stream.shutdown(Shutdown::Write);
        conn.drain();
    }
}

/// What became of the uploads.
#[derive(Default)]
struct Totals {
    sent: AtomicU32,
    whole: AtomicU32,
    cut: AtomicU32,
    refused: AtomicU32,
    failed: AtomicU32,
    /// Successes that look complete and are not the upstream's whole body.
    wrong: AtomicU32,
}

fn upload_once(front: SocketAddr, id: &str, record: &Record, totals: &Totals) {
    let Some(mut conn) = daemon::connect(front) else {
        return;
    };
    let Ok(mut writing) = conn.stream.try_clone() else {
        return;
    };
    let head = format!(
        "POST /bundles/{id} HTTP/1.1\r\nHost: listing.example\r\nRequest-Id: {id}\r\nRequest-Deadline-Ms: 6000\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
    );
    totals.sent.fetch_add(1, Ordering::Relaxed);
    let seed = id.to_owned();
    let sending = std::thread::spawn(move || {
        let piece: Vec<u8> = seed.bytes().cycle().take(64 * 1024).collect();
        if writing.write_all(head.as_bytes()).is_ok() {
            for _ in 0..UPLOAD_BYTES / piece.len() {
                if writing.write_all(&piece).is_err() {
                    return;
                }
            }
        }
    });
    match conn.head() {
        None => {
            totals.failed.fetch_add(1, Ordering::Relaxed);
            record.line(&format!("{id}: the channel ended without an answer"));
        }
        Some(head) => {
            let (body, end) = conn.body(&head, true);
            let (status, len) = (head.status(), body.len());
            let is_success = (200..300).contains(&status);
            let (counter, what) = match (is_success, end) {
                (true, End::Whole) if body == answer_body(id) => (&totals.whole, ""),
                (true, End::Whole) => (&totals.wrong, ", WRONG: it looks complete"),
                (true, _) => (&totals.cut, ""),
                (false, _) if status == 503 => (&totals.refused, ""),
                (false, _) => (&totals.failed, ""),
            };
            counter.fetch_add(1, Ordering::Relaxed);
            let signature = head.field("response-signature");
            record.line(&format!(
                "{id}: answered {status}, signature '{signature}', {len} bytes, end {end:?}{what}"
            ));
        }
    }
    let _ = conn.stream.shutdown(Shutdown::Both);
    let _ = sending.join();
}

/// Runs the case; returns the exit code.
pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    let dir = TempDir::create();
    let (store, store_at) = Store::start();
    store.put("op/config", CONFIG);
    let began = Instant::now();
    let start = |n| Upstream::start(n, has_trouble && n < FAULTY_UPSTREAMS, began, &record);
    let upstreams: Vec<_> = (0..UPSTREAMS).map(start).collect();
    upstreams.iter().for_each(|u| u.report(&store, 1));
    let addresses: Vec<Addresses> = (0..3).map(|_| Addresses::free()).collect();
    let seeds: Vec<SocketAddr> = addresses.iter().map(|at| at.control).collect();
    let daemons = addresses.iter().enumerate().map(|(n, at)| {
        let zone = ZONES[2 * n].0;
        Daemon::start(
            &dir.0,
            &format!("front-{zone}-1"),
            zone,
            *at,
            store_at,
            &seeds,
        )
    });
    let daemons: Vec<Daemon> = daemons.collect();
    if !daemon::wait_until_ready(&daemons, &record) {
        return 2;
    }
    std::thread::sleep(Duration::from_secs(3));

    let (totals, stop) = (
        Arc::new(Totals::default()),
        Arc::new(AtomicBool::new(false)),
    );
    let reporting = {
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
    };
    let mut clients = Vec::new();
    for (d, daemon) in daemons.iter().enumerate() {
        for c in 0..CLIENTS {
            let (record, totals, stop) = (record.clone(), Arc::clone(&totals), Arc::clone(&stop));
            let front = daemon.at.front;
            clients.push(std::thread::spawn(move || {
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    upload_once(front, &format!("{d:02x}{c:02x}{n:012x}"), &record, &totals);
                    std::thread::sleep(Duration::from_millis(20));
                }
            }));
        }
    }
    std::thread::sleep(RUN);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let _ = reporting.join();

    let count = |counter: &AtomicU32| counter.load(Ordering::Relaxed);
    let (wrong, whole) = (count(&totals.wrong), count(&totals.whole));
    record.say(&format!(
        "uploads sent {}, answered whole {whole}, visibly cut {}, refused {}, failed {}",
        count(&totals.sent),
        count(&totals.cut),
        count(&totals.refused),
        count(&totals.failed)
    ));
    record.say(&format!(
        "successes that look complete and are not the upstream's whole body: {wrong}"
    ));
    match (wrong, whole) {
        (0, 0) => 2,
        (0, _) => 0,
        _ => 1,
    }
}
