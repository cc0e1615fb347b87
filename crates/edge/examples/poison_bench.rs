//! Measures what the detection of poison requests costs each request.
//!
//! `cargo run --release --locked -p heatherknot-edge --example poison_bench` prints the median and
//! the range over all rounds of a lookup in an empty and in a full table, of a clean run, a
//! fingerprint, the policy for a rejected request and the merge of an update; and the serialized
//! size of a suspect.

use std::hint::black_box;
use std::time::Instant;

use bytes::Bytes;
use heatherknot_edge::poison::clean_runs::CleanRuns;
use heatherknot_edge::poison::fingerprint::{Fingerprint, Identity, KnownBody, quick_hash};
use heatherknot_edge::poison::suspects::{CrashId, Origin, RequestSummary, Suspect, SuspectTable};
use heatherknot_http::RequestHead;
use heatherknot_types::prelude::*;
use http::{HeaderValue, Method};

/// Number of rounds of each measurement.
const ROUNDS: usize = 21;
/// Number of calls in one round.
const CALLS: u64 = 2_000;
/// Number of suspected requests, more than a table holds.
const SUSPECTED: u64 = 2_000;
/// Number of rejected requests, more than a table holds.
const REJECTED: u64 = 8_000;
const HASH_KEY: u64 = 17;
const NOW: Millis = Millis(1_000);

/// Returns the minimum, the median and the maximum over all rounds of the nanoseconds of one call.
fn measure(mut call: impl FnMut(u64)) -> [f64; 3] {
    let mut rounds: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            let start = Instant::now();
            (0..CALLS).for_each(&mut call);
            start.elapsed().as_secs_f64() * 1e9 / CALLS as f64
        })
        .collect();
    rounds.sort_by(f64::total_cmp);
    [rounds[0], rounds[ROUNDS / 2], rounds[ROUNDS - 1]]
}

fn print(what: &str, [min, median, max]: [f64; 3]) {
    println!("{what:<52} {median:>8.0} ns ({min:.0} to {max:.0})");
}

fn head() -> RequestHead {
    let uri = "/goti80/wu89/3b/4ab0?lang=en".parse().expect("a target");
    let mut head = RequestHead::new(Method::GET, uri);
    let host = HeaderValue::from_static("listings.example");
    head.headers.insert("host", host);
    head
}

fn suspect(number: u64, crashes: u64) -> Suspect {
    let fingerprint: Fingerprint = format!("{number:032x}").parse().expect("digits");
    Suspect {
        request: RequestSummary {
            fingerprint,
            quick_hash: number,
            route: "r-t2kmty4".into(),
            account: None,
        },
        epoch: 0,
        crashes: (0..crashes)
            .map(|crash| CrashId(number * 10 + crash))
            .collect(),
        is_confirmed: crashes >= 3,
    }
}

/// Returns a table that is full.
fn full_table() -> SuspectTable {
    let mut suspects = SuspectTable::default();
    for number in 0..SUSPECTED {
        suspects.merge(&suspect(number, 1), Origin::SameDomain, NOW);
    }
    for number in SUSPECTED..SUSPECTED + REJECTED {
        suspects.merge(&suspect(number, 3), Origin::SameDomain, NOW);
    }
    suspects
}

fn main() {
    let head = head();
    let body = KnownBody::Whole(vec![Bytes::new()]);
    let long_body = KnownBody::Whole(vec![Bytes::from(vec![7; 64 * 1024])]);
    let identity = |body| Identity {
        head: &head,
        account: Some("north"),
        object: Some("3b"),
        body,
    };
    let lookup = |suspects: &SuspectTable| {
        measure(|_| {
            let may_be_suspect = !suspects.is_empty()
                && suspects.contains_quick_hash(quick_hash(&identity(&body), HASH_KEY));
            black_box(may_be_suspect);
        })
    };
    let mut clean_runs = CleanRuns::default();
    let mut table = full_table();
    let count = table.entries().count();
    print("lookup, empty table", lookup(&SuspectTable::default()));
    print(&format!("lookup, {count} suspects"), lookup(&table));
    print(
        "recording a clean run",
        measure(|_| clean_runs.record(quick_hash(&identity(&body), HASH_KEY), NOW)),
    );
    print(
        "recording a clean run, 64 KiB body",
        measure(|_| clean_runs.record(quick_hash(&identity(&long_body), HASH_KEY), NOW)),
    );
    print(
        "computing a fingerprint",
        measure(|_| {
            black_box(Fingerprint::of(&identity(&body)));
        }),
    );
    let rejected = suspect(SUSPECTED + REJECTED - 1, 3).request.fingerprint;
    print(
        "policy for a rejected request",
        measure(|_| {
            black_box(table.send_policy(&rejected, NOW));
        }),
    );
    print(
        &format!("merging a new crash, {count} suspects"),
        measure(|n| {
            table.merge(&suspect(n, 1), Origin::SameDomain, NOW);
        }),
    );
    let size = serde_json::to_vec(&suspect(1, 3))
        .expect("a suspect serializes")
        .len();
    println!("serialized size of a rejected suspect: {size} bytes");
}
