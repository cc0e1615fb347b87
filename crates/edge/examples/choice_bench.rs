//! Measures the selection of a backend server among 100, 1,000 and 10,000 of a service.
//!
//! `cargo run --release --locked -p heatherknot-edge --example choice_bench` prints, for each
//! number of servers, the median and the range over rounds of one selection where the first server
//! of the rank is free, of one where it is full, and of the work of a VM that hands the request
//! over; then those of one admission decision with 1,000 client accounts.

use std::hint::black_box;
use std::rc::Rc;
use std::time::Instant;

use heatherknot_edge::admission::control::{AdmissionControl, Contender};
use heatherknot_edge::admission::urgency::Urgency;
use heatherknot_edge::registration::Registration;
use heatherknot_edge::selection::{Locality, SelectionParams, first_ranked, select};
use heatherknot_edge::service_times::ServiceTimes;
use heatherknot_edge::switches::Switches;
use heatherknot_edge::upstream::Upstream;
use heatherknot_http::PoolConfig;
use heatherknot_types::prelude::*;

/// Rounds per measurement, and selections per round.
const ROUNDS: usize = 21;
const SELECTIONS: u64 = 50;

fn server(number: usize, clock: &Clock) -> Rc<Upstream> {
    let reg = Registration {
        id: format!("i-{number:08x}").into(),
        service: "maps".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        domain: "north-1".into(),
        version: None,
        slots: 3,
        leaving: false,
        cold_remaining: Millis(0),
        started_at: None,
    };
    Rc::new(Upstream::new(
        &reg,
        "north".into(),
        PoolConfig::default(),
        clock,
    ))
}

/// Returns the minimum, median and maximum time of one call over the rounds, in microseconds.
fn time(mut call: impl FnMut(u64)) -> [f64; 3] {
    let mut rounds: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            let started = Instant::now();
            (0..SELECTIONS).for_each(&mut call);
            started.elapsed().as_secs_f64() * 1e6 / SELECTIONS as f64
        })
        .collect();
    rounds.sort_by(f64::total_cmp);
    [rounds[0], rounds[ROUNDS / 2], rounds[ROUNDS - 1]]
}

/// Returns the time of one admission decision, a millisecond after the one before it, with four
/// urgencies and requests of all `accounts`.
fn time_admission(accounts: u64) -> [f64; 3] {
    let admission = AdmissionControl::default();
    let names: Vec<AccountName> = (0..accounts)
        .map(|account| format!("account-{account}").into())
        .collect();
    let contender = |request: u64| Contender {
        urgency: Urgency {
            priority: (request % 4) as u32,
            route: 0,
        },
        account: Some(names[(request / 4 % accounts) as usize].clone()),
        slot_ms: 250.0,
        response_ms: 400.0 + (request % 7) as f64 * 50.0,
        waiting: 3.0,
        spent_ms: 0.0,
        target_ms: 600.0,
        left_ms: 2_500.0,
        is_returning: false,
    };
    let mut request = 0;
    let mut decide = |_| {
        request += 1;
        black_box(admission.decide(&contender(request), Millis(request)));
    };
    (0..4 * accounts).for_each(&mut decide);
    time(decide)
}

fn main() {
    let clock = Clock::new(|| Millis(0));
    let (region, domain) = ("north".into(), "north-1".into());
    let service_times = ServiceTimes::default();
    let params = |object| SelectionParams {
        object,
        sticky: true,
        region: &region,
        domain: &domain,
        latency_target: Millis(600),
        time_left: Millis(2_500),
        now: Millis(0),
        switches: Switches::default(),
        is_region_restricted: false,
        assigned: None,
        is_home: &|_| false,
        placement: None,
        work: None,
    };
    println!("microseconds per selection: minimum, median, maximum of {ROUNDS} rounds");
    for count in [100, 1_000, 10_000] {
        let servers: Vec<_> = (0..count).map(|i| server(i, &clock)).collect();
        let free = time(|object| {
            black_box(select(
                &params(object),
                &servers,
                &service_times,
                Locality::Region,
            ));
        });
        let by_rank = time(|object| {
            black_box(first_ranked(&params(object), &servers, Locality::Region));
        });
        let busy: Vec<_> = servers
            .iter()
            .flat_map(|s| [s.start_request(), s.start_request(), s.start_request()])
            .collect();
        let full = time(|object| {
            black_box(select(
                &params(object),
                &servers,
                &service_times,
                Locality::Region,
            ));
        });
        drop(busy);
        println!("{count:>6} servers: free {free:.1?}, full {full:.1?}, handed over {by_rank:.1?}");
    }
    println!("admission, 1,000 accounts: {:.1?}", time_admission(1_000));
}
