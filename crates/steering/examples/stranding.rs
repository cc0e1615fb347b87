//! Measures the capacity left unused by coarse windows, by the lifetime of grants and by the
//! headroom that holders ask for.
//!
//! `cargo run --release -p heatherknot-steering --example stranding`
//!
//! The output is deterministic: clock and seed are fixed.

use std::sync::Arc;

use heatherknot_steering::upstream::RequestOutcome;
use heatherknot_steering::window::Window;
use heatherknot_steering::{Arrival, Identity, Peer, Steering, Ticket, Tuning, Verdict};
use heatherknot_types::plan::{
    Cap, DomainPlan, PlacePlan, Plan, RegionPlan, ServicePlan, UpstreamPlan,
};
use heatherknot_types::prelude::*;

/// The cap of each place, in requests per second.
const CAP: u32 = 200;

fn main() {
    compare_windows();
    compare_grants();
}

/// Offers 95% of the cap for 600 s, with exponential gaps, to windows of several grains. Requests
/// that do not fit are refused in the first trial, and wait for the next free moment in the
/// second.
fn compare_windows() {
    println!("window grain   refused without a queue   mean wait with one   entries");
    for grain in [1, 10, 25, 50, 100, 250] {
        let refused = run_window(grain, false).0;
        let wait = run_window(grain, true).1;
        println!(
            "{grain:>9} ms   {refused:>20.2} %   {wait:>15.1} ms   {:>7}",
            1_000 / grain + 1
        );
    }
}

/// Returns the percentage refused and the mean wait in milliseconds.
fn run_window(grain: u64, queue: bool) -> (f64, f64) {
    let mut window = Window::new(Millis(1_000), Millis(grain));
    let mut rng = fastrand::Rng::with_seed(1);
    let mut waiting = std::collections::VecDeque::new();
    let (mut at, mut offered, mut refused, mut waited) = (0.0, 0_u64, 0_u64, 0_u64);
    for ms in 0..600_000_u64 {
        while at < ms as f64 {
            waiting.push_back(ms);
            offered += 1;
            at += -rng.f64().max(1e-12).ln() * 1_000.0 / (0.95 * f64::from(CAP));
        }
        while let Some(&since) = waiting.front() {
            if window.count(Millis(ms)) < CAP {
                window.add(Millis(ms));
                waited += ms - since;
            } else if queue {
                break;
            } else {
                refused += 1;
            }
            waiting.pop_front();
        }
    }
    let part = |n: u64| n as f64 / offered as f64;
    (part(refused) * 100.0, part(waited))
}

struct Trial {
    name: &'static str,
    tuning: Tuning,
}

/// Simulates two failure domains of one region with a cap of 200 requests per second each. The
/// callers of one send 240 and 280 per second in turns of 10 s; the other has 40 per second of its
/// own.
fn compare_grants() {
    println!();
    println!("grants                  goodput   refused   lent, unused   messages   bytes/s a VM");
    let base = Tuning::default();
    let with = |term: u64, ask: u64, headroom: u32| Tuning {
        term: Millis(term),
        ask_interval: Millis(ask),
        ask_headroom_permille: headroom,
        ..base
    };
    let trials = [
        ("as shipped", base),
        ("term 5 s", with(5_000, 1_000, 1_050)),
        ("term 30 s", with(30_000, 1_000, 1_050)),
        ("asked every 3 s", with(10_000, 3_000, 1_050)),
        ("headroom none", with(10_000, 1_000, 1_000)),
        ("headroom 1.1", with(10_000, 1_000, 1_100)),
        ("headroom 1.25", with(10_000, 1_000, 1_250)),
        ("headroom 1.5", with(10_000, 1_000, 1_500)),
    ];
    for (name, tuning) in trials {
        run(&Trial { name, tuning });
    }
}

struct Measurements {
    offered: u64,
    good: u64,
    refused: u64,
    lent: u64,
    used: u64,
    messages: u64,
    bytes: u64,
}

fn run(trial: &Trial) {
    let plan = Arc::new(plan());
    let mut vms = [vm("a", &plan, trial.tuning), vm("b", &plan, trial.tuning)];
    let mut rng = fastrand::Rng::with_seed(1);
    let mut running: Vec<(Millis, usize, Ticket)> = Vec::new();
    let mut totals = Measurements {
        offered: 0,
        good: 0,
        refused: 0,
        lent: 0,
        used: 0,
        messages: 0,
        bytes: 0,
    };
    let (start, end) = (80_000, 200_000);
    for ms in (0..end).step_by(10) {
        let now = Millis(ms);
        let measured = ms >= start;
        running.retain(|(until, vm, ticket)| {
            let ended = *until <= now;
            if ended {
                vms[*vm].finish(*ticket, RequestOutcome::Good, now);
            }
            !ended
        });
        if ms % 100 == 0 {
            vms.iter_mut().for_each(|vm| vm.tick(now));
            exchange_grants(&mut vms, now, measured, &mut totals);
        }
        if ms < 30_000 {
            continue;
        }
        let swing = if ms / 10_000 % 2 == 0 { 40.0 } else { 0.0 };
        for (vm, rate) in [(0, 240.0 + swing), (1, 40.0)] {
            let n = poisson(rate / 100.0, &mut rng);
            for _ in 0..n {
                request(
                    &mut vms,
                    vm,
                    now,
                    measured,
                    &mut rng,
                    &mut running,
                    &mut totals,
                );
            }
        }
    }
    report(trial, &totals, f64::from((end - start) as u32) / 1_000.0);
}

fn report(trial: &Trial, totals: &Measurements, secs: f64) {
    println!(
        "{:<22} {:>7.1} % {:>7.1} % {:>12.1} % {:>10.2} {:>14.0}",
        trial.name,
        totals.good as f64 / totals.offered as f64 * 100.0,
        totals.refused as f64 / totals.offered as f64 * 100.0,
        (totals.lent.saturating_sub(totals.used)) as f64 / (f64::from(CAP) * secs) * 100.0,
        totals.messages as f64 / secs,
        totals.bytes as f64 / secs / 2.0,
    );
}

fn poisson(mean: f64, rng: &mut fastrand::Rng) -> u32 {
    let floor = (-mean).exp();
    let (mut n, mut product) = (0, rng.f64());
    while product > floor {
        n += 1;
        product *= rng.f64();
    }
    n
}

fn exchange_grants(
    vms: &mut [Steering; 2],
    now: Millis,
    measured: bool,
    totals: &mut Measurements,
) {
    for from in 0..2 {
        for (_, req) in vms[from].request_grants(now) {
            let reply = vms[1 - from].on_grant_request(&req, now);
            if measured {
                totals.messages += 2;
                totals.bytes += size(&req) + size(&reply);
            }
            vms[from].on_grant_reply(&reply, now);
        }
        if measured && now.0.is_multiple_of(1_000) {
            for (_, held) in vms[from].holder().grants() {
                totals.lent += u64::from(held.rate);
                totals.used += u64::from(held.sent(now).min(held.rate));
            }
        }
    }
}

fn size(message: &impl serde::Serialize) -> u64 {
    serde_json::to_string(message).map_or(0, |text| text.len() as u64)
}

fn request(
    vms: &mut [Steering; 2],
    vm: usize,
    now: Millis,
    measured: bool,
    rng: &mut fastrand::Rng,
    running: &mut Vec<(Millis, usize, Ticket)>,
    totals: &mut Measurements,
) {
    let mut req = Arrival {
        service: "x:s".into(),
        class: Class::Interactive,
        deadline: Millis(5_000),
        attempt: 0,
        waited: false,
        grant: None,
    };
    let until = now + Millis(50);
    totals.offered += u64::from(measured);
    let good = match vms[vm].admit(&req, rng, now) {
        Verdict::Run { ticket, .. } => {
            running.push((until, vm, ticket));
            true
        }
        Verdict::Relay { ticket, token, .. } => {
            running.push((until, vm, ticket));
            req.grant = Some(token);
            match vms[1 - vm].admit(&req, rng, now) {
                Verdict::Run { ticket, .. } => {
                    running.push((until, 1 - vm, ticket));
                    true
                }
                _ => false,
            }
        }
        Verdict::Wait { .. } | Verdict::Refuse { .. } => false,
    };
    totals.good += u64::from(measured && good);
    totals.refused += u64::from(measured && !good);
}

fn vm(domain: &str, plan: &Arc<Plan>, tuning: Tuning) -> Steering {
    let me = Identity {
        vm: VmName::new(format!("v-{domain}")),
        domain: domain.into(),
        incarnation: Incarnation(1),
    };
    let mut vm = Steering::new(me, tuning, Millis(0));
    vm.on_plan(Arc::clone(plan), Millis(0));
    vm.on_capacity_part(1_000, Millis(0));
    let peer = |domain: &str| Peer {
        vm: VmName::new(format!("v-{domain}")),
        domain: domain.into(),
        usable: true,
    };
    vm.on_peers(vec![peer("a"), peer("b")]);
    vm
}

fn plan() -> Plan {
    let cap = |per_second| Cap {
        per_second,
        in_flight: per_second,
    };
    let mut plan = Plan {
        revision: Revision(1),
        ..Plan::default()
    };
    let region = RegionPlan {
        cap: cap(2 * CAP),
        draining: false,
    };
    plan.regions.insert("r".into(), region);
    let mut upstreams = Vec::new();
    for name in ["a", "b"] {
        let domain = DomainPlan {
            region: "r".into(),
            draining_vms: Vec::new(),
        };
        plan.domains.insert(name.into(), domain);
        let place = PlacePlan {
            domain: name.into(),
            cap: cap(CAP),
            draining: false,
        };
        plan.places.insert(name.into(), place);
        upstreams.push(UpstreamPlan {
            name: name.into(),
            place: name.into(),
            address: ([127, 0, 0, 1], 1).into(),
            slots: 200,
            connections: 330,
            draining: false,
        });
    }
    let service = ServicePlan {
        account: "x".into(),
        account_share_permille: 1_000,
        class: Class::Interactive,
        deadline: Millis(5_000),
        max_body: 1 << 20,
        queue_len: 100,
        retry_permille: 100,
        lookup_ttl: Millis(5_000),
        latency_weight_permille: 500,
        growth_permille: 1_000,
        at_most_once: Vec::new(),
        upstreams,
    };
    plan.services.insert("x:s".into(), service);
    plan
}
