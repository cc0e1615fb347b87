//! Measures the overhead of a pass-through proxy compared to direct access to the backend server.
//!
//! Backend server, proxy and caller run on a thread each. Rounds alternate between direct and
//! proxied requests, so that both see the same load of the machine, and ratios are computed
//! within a round. It takes less than a minute. The argument `latency`, `throughput`,
//! `streaming` or `memory` runs only that benchmark.

mod caller;
mod machine;
mod servers;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use caller::Caller;
use machine::{format_spread, rss_bytes};
use servers::Server;

const ROUNDS: usize = 15;
const STREAMING_ROUNDS: usize = 41;
const LATENCY_REQUESTS: usize = 2_000;
const THROUGHPUT_TIME: Duration = Duration::from_millis(700);
const THROUGHPUT_CONNECTIONS: usize = 32;
const IDLE_CONNECTIONS: usize = 2_000;
const STREAM_BYTES: u64 = 64 << 20;
const LARGE_BODY_BYTES: u64 = 1 << 30;

fn main() {
    let backend = servers::start_backend();
    let proxy = servers::start_proxy(backend.address);
    println!("{}", machine::describe());
    let part = std::env::args().nth(1);
    let is_wanted = |name: &str| part.as_deref().is_none_or(|part| part == name);
    if is_wanted("latency") {
        latency(&backend, &proxy);
    }
    if is_wanted("throughput") {
        throughput(&backend, &proxy);
    }
    if is_wanted("streaming") {
        streaming(&backend, &proxy);
    }
    if is_wanted("memory") {
        connection_memory(&backend);
        large_body_memory(&proxy);
    }
}

/// Measures latency with one caller, one request at a time and responses of 1 KB.
fn latency(backend: &Server, proxy: &Server) {
    let (mut p50, mut p99) = (Vec::new(), Vec::new());
    let (mut direct50, mut through50) = (Vec::new(), Vec::new());
    let (mut direct99, mut through99) = (Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        let (d50, d99) = latency_round(backend.address);
        let (t50, t99) = latency_round(proxy.address);
        p50.push(t50 / d50);
        p99.push(t99 / d99);
        direct50.push(d50);
        direct99.push(d99);
        through50.push(t50);
        through99.push(t99);
    }
    println!(
        "1 KB latency p50, us: direct {}",
        format_spread(&mut direct50)
    );
    println!(
        "1 KB latency p50, us: proxied {}",
        format_spread(&mut through50)
    );
    println!("1 KB latency p50, ratio: {}", format_spread(&mut p50));
    println!(
        "1 KB latency p99, us: direct {}",
        format_spread(&mut direct99)
    );
    println!(
        "1 KB latency p99, us: proxied {}",
        format_spread(&mut through99)
    );
    println!("1 KB latency p99, ratio: {}", format_spread(&mut p99));
}

fn latency_round(address: SocketAddr) -> (f64, f64) {
    let mut caller = Caller::connect(address);
    for _ in 0..LATENCY_REQUESTS / 10 {
        caller.get("/1k");
    }
    let mut times: Vec<f64> = (0..LATENCY_REQUESTS)
        .map(|_| {
            let began = Instant::now();
            caller.get("/1k");
            began.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    times.sort_by(f64::total_cmp);
    (times[times.len() / 2], times[times.len() * 99 / 100])
}

/// Measures requests per second of CPU time of the serving thread, with many callers.
fn throughput(backend: &Server, proxy: &Server) {
    let (mut direct, mut through, mut ratio) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        let d = throughput_round(backend);
        let t = throughput_round(proxy);
        ratio.push(t / d);
        direct.push(d);
        through.push(t);
    }
    println!(
        "1 KB requests/s for each core: server {}",
        format_spread(&mut direct)
    );
    println!(
        "1 KB requests/s for each core: proxy {}",
        format_spread(&mut through)
    );
    println!(
        "1 KB requests/s for each core, proxy by server: {}",
        format_spread(&mut ratio)
    );
}

fn throughput_round(server: &Server) -> f64 {
    let mut callers: Vec<Caller> = (0..THROUGHPUT_CONNECTIONS)
        .map(|_| Caller::connect(server.address))
        .collect();
    callers.iter_mut().for_each(|caller| caller.get("/1k"));
    let (began, before) = (Instant::now(), server.cpu_seconds());
    let mut requests = 0;
    while began.elapsed() < THROUGHPUT_TIME {
        callers.iter_mut().for_each(|caller| caller.send("/1k"));
        callers.iter_mut().for_each(|caller| caller.receive());
        requests += callers.len();
    }
    requests as f64 / (server.cpu_seconds() - before)
}

/// Measures the transfer rate of one large response.
fn streaming(backend: &Server, proxy: &Server) {
    let (mut direct, mut through, mut share) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..STREAMING_ROUNDS {
        let d = streaming_round(backend.address);
        let t = streaming_round(proxy.address);
        share.push(t / d);
        direct.push(d);
        through.push(t);
    }
    println!("64 MB body, MB/s: direct {}", format_spread(&mut direct));
    println!("64 MB body, MB/s: proxied {}", format_spread(&mut through));
    println!("64 MB body, share of direct: {}", format_spread(&mut share));
}

fn streaming_round(address: SocketAddr) -> f64 {
    let mut caller = Caller::connect(address);
    let began = Instant::now();
    caller.send(&format!("/stream/{STREAM_BYTES}"));
    caller.discard(STREAM_BYTES, |_| {});
    STREAM_BYTES as f64 / 1e6 / began.elapsed().as_secs_f64()
}

/// Measures the memory per connection of the server, right after a request and when idle.
fn connection_memory(server: &Server) {
    let before = rss_bytes();
    let callers: Vec<Caller> = (0..IDLE_CONNECTIONS)
        .map(|_| {
            let mut caller = Caller::with_small_buffer(server.address);
            caller.get("/1k");
            caller
        })
        .collect();
    let busy = rss_bytes().saturating_sub(before) / callers.len() as u64;
    std::thread::sleep(Duration::from_secs(3));
    let grown = rss_bytes().saturating_sub(before);
    println!(
        "memory for each connection, bytes: {busy} just used, {} idle, over {}",
        grown / callers.len() as u64,
        callers.len()
    );
}

/// Measures the growth of the process's memory while 1 GB is proxied.
fn large_body_memory(proxy: &Server) {
    let mut caller = Caller::connect(proxy.address);
    caller.send("/stream/67108864");
    caller.discard(67_108_864, |_| {});
    let before = rss_bytes();
    let mut most = before;
    caller.send(&format!("/stream/{LARGE_BODY_BYTES}"));
    caller.discard(LARGE_BODY_BYTES, |done| {
        if done % (16 << 20) < (1 << 16) {
            most = most.max(rss_bytes());
        }
    });
    println!(
        "memory through a 1 GB body, KB: {} before, at most {} more",
        before / 1024,
        (most - before) / 1024
    );
}
