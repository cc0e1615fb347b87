//! What the processes and the stand-in have used up to one moment.

use std::net::SocketAddr;
use std::time::Instant;

use heatherknot_http::{Body, Pool, PoolConfig, RequestHead, SendOptions};
use heatherknot_test_support::platform::Calls;
use heatherknot_test_support::runtime;
use heatherknot_types::prelude::*;

/// Clock ticks a second in `/proc/<pid>/stat`.
const TICKS_A_SECOND: f64 = 100.0;
const MAX_PAGE: usize = 1 << 20;

/// What one daemon has used since its start.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    pub cpu_seconds: f64,
    pub rss_kb: u64,
    pub pss_kb: u64,
    pub sent: f64,
    pub received: f64,
}

/// What all of a fleet has used.
pub struct Sample {
    pub at: Instant,
    pub usage: Vec<(VmName, Usage)>,
    pub calls: Calls,
}

/// Reads what one process has used, with its counters from the metrics page.
pub fn usage(pid: u32, operators: SocketAddr) -> Result<Usage, String> {
    let page = metrics(operators)?;
    let stat = read(pid, "stat")?;
    // The second field is the program's name in brackets, which may hold blanks.
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok());
    let (user, system) = (ticks(11), ticks(12));
    let cpu = user.zip(system).ok_or("no times in /proc/<pid>/stat")?;
    let memory = read(pid, "smaps_rollup")?;
    Ok(Usage {
        cpu_seconds: (cpu.0 + cpu.1) / TICKS_A_SECOND,
        rss_kb: kilobytes(&memory, "Rss:"),
        pss_kb: kilobytes(&memory, "Pss:"),
        sent: counter(&page, "heatherknot_peer_sent_bytes"),
        received: counter(&page, "heatherknot_peer_received_bytes"),
    })
}

fn read(pid: u32, file: &str) -> Result<String, String> {
    let path = format!("/proc/{pid}/{file}");
    std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))
}

fn kilobytes(text: &str, name: &str) -> u64 {
    let line = text.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

fn counter(page: &str, name: &str) -> f64 {
    let values = page.lines().filter_map(|line| line.strip_prefix(name));
    let value = values.filter_map(|rest| rest.strip_prefix(' ')).next();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(f64::NAN)
}

fn metrics(operators: SocketAddr) -> Result<String, String> {
    runtime::block_on(async {
        let pool = Pool::new(operators, PoolConfig::default(), Clock::system());
        let path = "/metrics".parse().expect("a path");
        let head = RequestHead::new(http::Method::GET, path);
        let response = pool.send(head, Body::empty(), SendOptions::default()).await;
        let response = response.map_err(|e| format!("metrics of {operators}: {e}"))?;
        let body = response.body.collect(MAX_PAGE).await;
        let body = body.map_err(|e| format!("metrics of {operators}: {e}"))?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    })
}
