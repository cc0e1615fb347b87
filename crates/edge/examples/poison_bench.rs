//! Times what a request costs by the look whether servers ended under it.
//!
//! `cargo run --release --locked -p heatherknot-edge --example poison_bench` prints the median and
//! the spread over rounds, with no case known, with as many as a VM holds, for a request that is
//! known, and for a word of a peer; and the size of the cases as they are told.

use std::hint::black_box;
use std::time::Instant;

use bytes::Bytes;
use heatherknot_edge::poison::clean_runs::CleanRuns;
use heatherknot_edge::poison::fingerprint::{Fingerprint, Identity, KnownBody, quick_hash};
use heatherknot_edge::poison::suspects::{Case, EndId, Origin, Subject, Suspects};
use heatherknot_http::RequestHead;
use heatherknot_types::prelude::*;
use http::{HeaderValue, Method};

/// Rounds of each measurement, and looks of one round.
const ROUNDS: usize = 21;
const LOOKS: u64 = 2_000;
/// Requests that are suspected and rejected: more than a VM holds.
const SUSPECTED: u64 = 2_000;
const REJECTED: u64 = 8_000;
const KEY: u64 = 17;
const NOW: Millis = Millis(1_000);

/// Gives the nanoseconds of one call: the least, the median and the most over the rounds.
fn time(mut act: impl FnMut(u64)) -> [f64; 3] {
    let mut rounds: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            let began = Instant::now();
            (0..LOOKS).for_each(&mut act);
            began.elapsed().as_secs_f64() * 1e9 / LOOKS as f64
        })
        .collect();
    rounds.sort_by(f64::total_cmp);
    [rounds[0], rounds[ROUNDS / 2], rounds[ROUNDS - 1]]
}

fn tell(what: &str, [least, median, most]: [f64; 3]) {
    println!("{what:<52} {median:>8.0} ns ({least:.0} to {most:.0})");
}

fn head() -> RequestHead {
    let uri = "/goti80/wu89/3b/4ab0?lang=en".parse().expect("a target");
    let mut head = RequestHead::new(Method::GET, uri);
    let host = HeaderValue::from_static("listings.example");
    head.headers.insert("host", host);
    head
}

fn case(number: u64, ends: u64) -> Case {
    let fingerprint: Fingerprint = format!("{number:032x}").parse().expect("digits");
    Case {
        subject: Subject {
            fingerprint,
            quick: number,
            route: "r-t2kmty4".into(),
            account: None,
        },
        epoch: 0,
        ends: (0..ends).map(|end| EndId(number * 10 + end)).collect(),
        is_convicted: ends >= 3,
    }
}

fn full() -> Suspects {
    let mut suspects = Suspects::default();
    for number in 0..SUSPECTED {
        suspects.take(&case(number, 1), Origin::Domain, NOW);
    }
    for number in SUSPECTED..SUSPECTED + REJECTED {
        suspects.take(&case(number, 3), Origin::Domain, NOW);
    }
    suspects
}

fn main() {
    let head = head();
    let body = KnownBody::Whole(vec![Bytes::new()]);
    let long = KnownBody::Whole(vec![Bytes::from(vec![7; 64 * 1024])]);
    let identity = |body| Identity {
        head: &head,
        account: Some("north"),
        object: Some("3b"),
        body,
    };
    let look = |suspects: &Suspects| {
        time(|_| {
            let is_known =
                !suspects.is_empty() && suspects.knows_quick(quick_hash(&identity(&body), KEY));
            black_box(is_known);
        })
    };
    let mut runs = CleanRuns::default();
    let mut held = full();
    let count = held.all().count();
    tell("a look, nothing known", look(&Suspects::default()));
    tell(&format!("a look, {count} cases known"), look(&held));
    tell(
        "a clean run noted",
        time(|_| runs.note(quick_hash(&identity(&body), KEY), NOW)),
    );
    tell(
        "the same with a body of 64 KB",
        time(|_| runs.note(quick_hash(&identity(&long), KEY), NOW)),
    );
    tell(
        "a fingerprint, for a request that may be known",
        time(|_| {
            black_box(Fingerprint::of(&identity(&body)));
        }),
    );
    let known = case(SUSPECTED + REJECTED - 1, 3).subject.fingerprint;
    tell(
        "the judgement of a rejected request",
        time(|_| {
            black_box(held.judge(&known, NOW));
        }),
    );
    tell(
        &format!("a word of a new end, {count} cases known"),
        time(|n| {
            held.take(&case(n, 1), Origin::Domain, NOW);
        }),
    );
    let one = serde_json::to_vec(&case(1, 3))
        .expect("it serialises")
        .len();
    println!("a rejected case as it is told: {one} bytes");
}
