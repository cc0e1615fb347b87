//! Prints what became of the requests.

use std::collections::{BTreeMap, BTreeSet};

use crate::backends::Truth;
use crate::callers::Results;
use crate::daemons::StopTime;
use crate::scenario::Scenario;
use crate::script::Notes;

/// Prints the tables, and says whether what must always hold did.
pub fn print(
    scenario: &Scenario,
    results: &Results,
    truth: &Truth,
    notes: &Notes,
    stops: &[StopTime],
) -> bool {
    let runs = total_runs(truth);
    let twice = results
        .once
        .iter()
        .filter(|id| runs.get(id.as_str()).is_some_and(|n| *n > 1));
    let twice = twice.count();
    let once: BTreeSet<&String> = results.once.iter().collect();
    let false_not_run = results
        .not_run
        .iter()
        .filter(|id| once.contains(id) && runs.contains_key(id.as_str()));
    let false_not_run = false_not_run.count();
    print_services(results);
    println!();
    println!(
        "run twice: {twice} of {} at-most-once requests",
        results.once.len()
    );
    println!("said \"not run\" but ran: {false_not_run}");
    println!(
        "look-ups that no daemon answered: {}",
        results.failed_lookups
    );
    for (reason, count) in &results.reasons {
        println!("  answers without a result, reason {reason}: {count}");
    }
    if let Some(drain) = &notes.drain {
        let secs = drain.last_seen.as_secs_f64();
        println!(
            "drain of {}: last request seen after {secs:.2} s",
            drain.upstream
        );
    }
    for stop in stops {
        println!(
            "planned stop of {}: {:.2} s",
            stop.vm,
            stop.took.as_secs_f64()
        );
    }
    print_seconds(results);
    println!();
    let over = print_caps(scenario, truth);
    twice == 0 && false_not_run == 0 && over == 0
}

fn print_services(results: &Results) {
    println!();
    println!(
        "{:<34} {:<12} {:>9} {:>8} {:>8} {:>9} {:>9}",
        "service", "class", "answered", "not run", "unknown", "p50 ms", "p99 ms"
    );
    for ((service, class), seen) in &results.seen {
        let ms = |quantile: f64| seen.latency.value_at_quantile(quantile) as f64 / 1000.0;
        println!(
            "{:<34} {:<12} {:>9} {:>8} {:>8} {:>9.1} {:>9.1}",
            service.as_str(),
            class.as_str(),
            seen.answered,
            seen.not_run,
            seen.unknown,
            ms(0.50),
            ms(0.99)
        );
    }
}

/// Prints the part of requests that was not run, second by second.
fn print_seconds(results: &Results) {
    let permille = results.seconds.values().map(|second| {
        let all = second.answered + second.not_run;
        format!("{}", second.not_run * 1000 / all.max(1))
    });
    let permille: Vec<String> = permille.collect();
    println!(
        "not run, of 1000 requests in each second: {}",
        permille.join(" ")
    );
}

/// Prints the highest load against each cap and gives the number of caps passed.
fn print_caps(scenario: &Scenario, truth: &Truth) -> usize {
    let mut over = 0;
    println!(
        "{:<20} {:>22} {:>8}",
        "place or region", "most in flight", "cap"
    );
    let any = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let settings = scenario.settings(|_| any);
    let caps = &settings["platform"];
    over += print_peaks(&truth.peaks, &caps["places"]);
    over += print_peaks(&truth.region_peaks, &caps["regions"]);
    for server in &truth.servers {
        if server.most_running > usize::from(server.slots) {
            let (name, most, slots) = (&server.name, server.most_running, server.slots);
            println!("{name}: {most} requests at once on {slots} slots  over");
            over += 1;
        }
    }
    over
}

/// Prints the peaks beside their caps and gives the number of caps passed.
fn print_peaks(peaks: &BTreeMap<String, usize>, caps: &serde_json::Value) -> usize {
    let mut over = 0;
    for (name, peak) in peaks {
        let cap = caps[name]["in_flight"].as_u64().unwrap_or(0);
        let passed = *peak as u64 > cap;
        over += usize::from(passed);
        let mark = if passed { "  over" } else { "" };
        println!("{name:<20} {peak:>22} {cap:>8}{mark}");
    }
    over
}

fn total_runs(truth: &Truth) -> BTreeMap<&str, usize> {
    let mut total: BTreeMap<&str, usize> = BTreeMap::new();
    for (id, runs) in truth.servers.iter().flat_map(|server| &server.runs) {
        *total.entry(id).or_default() += runs;
    }
    total
}
