//! Look-ups a second for each core, against an empty handler on the same server.
//!
//! One thread serves, one calls; both kinds of request take turns in one run. What counts is
//! the processor time of the serving thread, so that the caller's cost doesn't enter.
//! Usage: `lookup_bench [REPEATS]`.

use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::time::Duration;

use heatherknot_daemon::config::{Config, Listen, LogLevel, PlatformAddresses};
use heatherknot_daemon::lookup::answer::LOOKUP_PATH;
use heatherknot_daemon::start;
use heatherknot_http::{
    Body, Flag, Limits, Pool, PoolConfig, RequestHead, Response, SendOptions, serve,
};
use heatherknot_settings::{Author, ChainPoint, Change, Tree};
use heatherknot_store::commit::{CommandId, CommitOutcome, Proposal, ResolvePolicy, commit};
use heatherknot_store::http_store::{self, StoreConfig};
use heatherknot_test_support::platform::{Platform, PlatformConfig};
use heatherknot_test_support::{layouts, runtime};
use heatherknot_types::prelude::*;
use monoio::net::TcpListener;

/// Requests of one measurement.
const REQUESTS: u64 = 20_000;
/// Requests before the first measurement.
const WARM_UP: u64 = 4_000;
const DEFAULT_REPEATS: usize = 5;

/// One measured server.
struct Served {
    address: SocketAddr,
    target: &'static str,
    thread: libc::clockid_t,
}

fn main() {
    let repeats = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let repeats = repeats.unwrap_or(DEFAULT_REPEATS).clamp(1, 50);
    let platform = Platform::start(PlatformConfig::default());
    commit_layout(platform.address());
    let lookups = start_daemon(platform.address());
    let empty = start_empty();
    wait_ready(&lookups);
    measure(&lookups, WARM_UP);
    measure(&empty, WARM_UP);
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    println!("{cores} cores; {REQUESTS} requests each, one at a time on one connection");
    println!(
        "{:>8} {:>20} {:>20} {:>8}",
        "repeat", "look-ups/s a core", "empty/s a core", "share"
    );
    let mut shares = Vec::new();
    for repeat in 1..=repeats {
        let (lookup, nothing) = (measure(&lookups, REQUESTS), measure(&empty, REQUESTS));
        shares.push(lookup / nothing);
        println!(
            "{repeat:>8} {lookup:>20.0} {nothing:>20.0} {:>8.2}",
            lookup / nothing
        );
    }
    shares.sort_by(f64::total_cmp);
    let (least, most) = (shares[0], shares[shares.len() - 1]);
    println!(
        "share of the empty handler: median {:.2}, {least:.2} to {most:.2}",
        shares[shares.len() / 2]
    );
}

/// Gives the requests a second of the serving thread's processor time.
fn measure(served: &Served, requests: u64) -> f64 {
    let before = thread_time(served.thread);
    runtime::block_on(async {
        let pool = Pool::new(served.address, PoolConfig::default(), Clock::system());
        for _ in 0..requests {
            let head =
                RequestHead::new(http::Method::GET, served.target.parse().expect("a target"));
            let response = pool.send(head, Body::empty(), SendOptions::default()).await;
            let response = response.expect("an answer");
            assert!(response.status.is_success(), "{}", response.status);
            response
                .body
                .collect(64 * 1024)
                .await
                .expect("a whole body");
        }
    });
    let spent = thread_time(served.thread) - before;
    requests as f64 / spent.as_secs_f64()
}

#[expect(
    unsafe_code,
    reason = "the standard library reads no thread's processor time"
)]
fn thread_time(clock: libc::clockid_t) -> Duration {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: `time` is a valid place for the result, and the thread still runs.
    let read = unsafe { libc::clock_gettime(clock, &mut time) };
    assert_eq!(read, 0, "the clock of a running thread can be read");
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

#[expect(unsafe_code, reason = "the standard library names no thread's clock")]
fn own_clock() -> libc::clockid_t {
    let mut clock = 0;
    // SAFETY: the calling thread exists and `clock` is a valid place for the result.
    let found = unsafe { libc::pthread_getcpuclockid(libc::pthread_self(), &mut clock) };
    assert_eq!(found, 0, "a running thread has a clock");
    clock
}

fn start_empty() -> Served {
    let (tx, rx) = channel();
    std::thread::spawn(move || {
        runtime::block_on(async move {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            let address = listener.local_addr().expect("an address");
            tx.send((address, own_clock()))
                .expect("the main thread waits");
            let handler = std::rc::Rc::new(
                |_| -> futures_util::future::LocalBoxFuture<'static, Response> {
                    Box::pin(std::future::ready(Response::new(
                        http::StatusCode::OK,
                        Body::empty(),
                    )))
                },
            );
            serve(listener, handler, Limits::default(), Flag::new()).await;
        });
    });
    let (address, thread) = rx.recv().expect("the server starts");
    Served {
        address,
        target: "/",
        thread,
    }
}

fn start_daemon(platform: SocketAddr) -> Served {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let cfg = Config {
        deployment: "bench".to_owned(),
        vm: "north-1-1".into(),
        domain: "north-1".into(),
        listen: Listen {
            callers: any,
            peers: any,
            operators: any,
        },
        platform: PlatformAddresses {
            store: platform,
            vm_list: platform,
        },
        peers: Vec::new(),
        secret: "the secret of the bench".to_owned(),
        first_operator: None,
        shutdown_grace_ms: 1_000,
        log_level: LogLevel::Error,
        record: None,
    };
    let (tx, rx) = channel();
    std::thread::spawn(move || {
        let ready = move |at: start::Addresses| {
            tx.send((at.callers, own_clock()))
                .expect("the main thread waits");
        };
        runtime::block_on(start::run(cfg, std::future::pending(), ready)).expect("the daemon runs");
    });
    let (address, thread) = rx.recv().expect("the daemon starts");
    let target = "/heatherknot/v1/lookup?service=utilities/port-louis:gallery&block=192.0.2.1";
    assert!(target.starts_with(LOOKUP_PATH));
    Served {
        address,
        target,
        thread,
    }
}

fn wait_ready(served: &Served) {
    runtime::block_on(async {
        let pool = Pool::new(served.address, PoolConfig::default(), Clock::system());
        loop {
            let head =
                RequestHead::new(http::Method::GET, served.target.parse().expect("a target"));
            let response = pool.send(head, Body::empty(), SendOptions::default()).await;
            if response.is_ok_and(|response| response.status.is_success()) {
                return;
            }
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
    });
}

fn commit_layout(platform: SocketAddr) {
    runtime::block_on(async {
        let store = http_store::connect(StoreConfig::new(platform));
        let document = layouts::port_louis(layouts::unused_addresses());
        let tree = Tree::from_document(document).expect("the layout passes the checks");
        let author = Author {
            command: "bench".into(),
            who: "bench".into(),
            key: "none".into(),
            at_ms: 0,
        };
        let change = Change::between(ChainPoint::default(), &Tree::empty(), &tree, author);
        let change = change.expect("a change");
        let proposal = Proposal {
            command: CommandId::parse("bench").expect("an identifier"),
            base: Revision::NONE,
            change: serde_json::to_vec(&change).expect("JSON").into(),
            hash: change.hash.to_string().into(),
        };
        let outcome = commit(&store, &proposal, &ResolvePolicy::default()).await;
        assert!(matches!(outcome, CommitOutcome::Accepted(_)), "{outcome:?}");
    });
}
