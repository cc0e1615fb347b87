//! Measures the document size, memory and CPU time that the settings take in one daemon, for a
//! given number of accounts, 7 regions, 16 failure domains and 110 places.
//!
//! Run with `cargo run --release -p heatherknot-settings --example settings-cost [ACCOUNTS]`.

use std::hint::black_box;
use std::time::Instant;

use heatherknot_settings::{
    Author, Change, Digest, Edit, SettingsReplica, Snapshot, Tree, TreePath,
};
use heatherknot_types::prelude::*;
use serde_json::json;

const REGIONS: usize = 7;
const DOMAINS: usize = 16;
const PLACES: usize = 110;
const SERVICES: usize = 3;
const UPSTREAMS: usize = 12;
const DEFAULT_ACCOUNTS: usize = 300;
const ROUNDS: usize = 15;

fn main() {
    let accounts = std::env::args().nth(1);
    let accounts = accounts.map_or(DEFAULT_ACCOUNTS, |text| text.parse().expect("a number"));
    let text = document(accounts);
    println!("accounts {accounts}, services {}", accounts * SERVICES);
    println!("document {} bytes", text.len());
    let before = resident_kib("VmRSS");
    let mut replica = SettingsReplica::new();
    replica
        .accept_snapshot(snapshot(&text))
        .expect("the tree is valid");
    let loaded = resident_kib("VmRSS");
    println!("resident: {before} KiB before, {loaded} KiB with the tree in force");
    time_changes(&mut replica);
    let (after, peak) = (resident_kib("VmRSS"), resident_kib("VmHWM"));
    println!("resident: {after} KiB after {ROUNDS} changes, {peak} KiB at the peak");
    let tree = timed("parse and check", || {
        Tree::parse(&text).expect("the tree is valid")
    });
    timed("compile", || tree.compile(Revision(1)));
}

/// Returns the snapshot, deserialized from its wire format.
fn snapshot(text: &str) -> Snapshot {
    let (hash, digest) = (
        Digest::of_bytes(b"first"),
        Digest::of_bytes(text.as_bytes()),
    );
    let text = format!(r#"{{"r":1,"h":"{hash}","d":"{digest}","s":{text}}}"#);
    serde_json::from_str(&text).expect("a snapshot")
}

/// Measures how long the replica takes to accept and compile a change of a single value.
fn time_changes(replica: &mut SettingsReplica) {
    let mut times = Vec::new();
    let mut bytes = 0;
    for round in 0..ROUNDS {
        let text = next_change(replica, round);
        bytes = text.len();
        let start = Instant::now();
        let change: Change = serde_json::from_str(&text).expect("a change");
        replica
            .accept_changes(&[change])
            .expect("the change applies");
        black_box(replica.tree().compile(replica.revision()));
        times.push(start.elapsed().as_secs_f64() * 1000.0);
    }
    println!("one change of one value: {bytes} bytes");
    print_times("accept one change and compile", times);
}

fn next_change(replica: &SettingsReplica, round: usize) -> String {
    let path = "accounts/account-7/services/service-1/queue_len".to_string();
    let before = replica.tree().get(&TreePath::parse(&path).expect("a path"));
    let edit = Edit {
        path,
        before,
        after: Some(json!(100 + round)),
        dropped: None,
    };
    let after = replica.tree().edited(&[edit]).expect("the tree is valid");
    let author = Author {
        command: "0123456789abcdef".into(),
        who: "Night shift".into(),
        key: "night".into(),
        at_ms: 1_796_238_123_000,
    };
    let change = Change::between(replica.at(), replica.tree(), &after, author);
    json!(change.expect("the value is new")).to_string()
}

fn timed<T>(what: &str, mut run: impl FnMut() -> T) -> T {
    let mut times = Vec::new();
    for _ in 1..ROUNDS {
        let start = Instant::now();
        black_box(run());
        times.push(start.elapsed().as_secs_f64() * 1000.0);
    }
    print_times(what, times);
    run()
}

fn print_times(what: &str, mut times: Vec<f64>) {
    times.sort_by(f64::total_cmp);
    let (least, median) = (times[0], times[times.len() / 2]);
    let most = times[times.len() - 1];
    println!(
        "{what}: median {median:.2} ms, from {least:.2} to {most:.2}, {} runs",
        times.len()
    );
}

fn resident_kib(key: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix(key)?.strip_prefix(':'));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0)
}

/// Builds the document as text, so that building it doesn't affect the resident memory measured.
fn document(accounts: usize) -> String {
    let list = |count: usize, entry: &dyn Fn(usize) -> String| {
        let entries: Vec<String> = (0..count).map(entry).collect();
        format!("{{{}}}", entries.join(","))
    };
    let cap = |limit: u32| format!(r#""per_second":{},"in_flight":{limit}"#, limit * 10);
    let regions = list(REGIONS, &|n| {
        format!(r#""region-{n}":{{{}}}"#, cap(100_000))
    });
    let domains = list(DOMAINS, &|n| {
        format!(r#""domain-{n}":{{"region":"region-{}"}}"#, n % REGIONS)
    });
    let places = list(PLACES, &|n| {
        format!(
            r#""place-{n}":{{"domain":"domain-{}",{}}}"#,
            n % DOMAINS,
            cap(10_000)
        )
    });
    let quotas = list(accounts, &|n| {
        format!(r#""account-{n}":{{"networks":["10.0.0.0/8"]}}"#)
    });
    let accounts = list(accounts, &|n| {
        let services = list(SERVICES, &|s| service(s, n * SERVICES + s));
        format!(r#""account-{n}":{{"defaults":{{"queue_len":32}},"services":{services}}}"#)
    });
    let platform = format!(
        r#"{{"regions":{regions},"domains":{domains},"places":{places},"quotas":{quotas}}}"#
    );
    format!(r#"{{"accounts":{accounts},"platform":{platform},"schema":1}}"#)
}

fn service(name: usize, number: usize) -> String {
    let upstreams = (0..UPSTREAMS).map(|n| {
        let host = number * UPSTREAMS + n;
        let address = format!(
            "10.{}.{}.{}:8080",
            host >> 16,
            (host >> 8) & 255,
            host & 255
        );
        let place = host % PLACES;
        format!(r#""upstream-{n}":{{"place":"place-{place}","address":"{address}","slots":3}}"#)
    });
    let upstreams: Vec<String> = upstreams.collect();
    let upstreams = upstreams.join(",");
    format!(r#""service-{name}":{{"deadline_ms":2000,"upstreams":{{{upstreams}}}}}"#)
}
