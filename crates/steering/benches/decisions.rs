//! Benchmarks of single decisions at the size expected in two years: 16 failure domains, 110
//! places, 300 services of 100 accounts, and 36 VMs in each failure domain.
//!
//! `cargo bench -p heatherknot-steering --bench decisions`

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::Criterion;
use heatherknot_steering::upstream::RequestOutcome;
use heatherknot_steering::{Arrival, Identity, Peer, Steering, Tuning, Verdict};
use heatherknot_types::plan::{
    Cap, DomainPlan, PlacePlan, Plan, RegionPlan, ServicePlan, UpstreamPlan,
};
use heatherknot_types::prelude::*;

const REGIONS: usize = 7;
const DOMAINS: usize = 16;
const PLACES: usize = 110;
const SERVICES: usize = 300;
const ACCOUNTS: usize = 100;
const VMS: usize = 36;
/// Number of places of each service.
const PLACES_PER_SERVICE: usize = 6;

fn cap(per_second: u32) -> Cap {
    Cap {
        per_second,
        in_flight: per_second,
    }
}

fn plan() -> Plan {
    let mut plan = Plan {
        revision: Revision(1),
        ..Plan::default()
    };
    for r in 0..REGIONS {
        let region = RegionPlan {
            cap: cap(100_000),
            draining: false,
        };
        plan.regions
            .insert(RegionName::new(format!("r{r}")), region);
    }
    for d in 0..DOMAINS {
        let domain = DomainPlan {
            region: RegionName::new(format!("r{}", d % REGIONS)),
            draining_vms: Vec::new(),
        };
        plan.domains
            .insert(DomainName::new(format!("d{d}")), domain);
    }
    for p in 0..PLACES {
        let place = PlacePlan {
            domain: DomainName::new(format!("d{}", p % DOMAINS)),
            cap: cap(20_000),
            draining: false,
        };
        plan.places.insert(PlaceName::new(format!("p{p}")), place);
    }
    for s in 0..SERVICES {
        plan.services.insert(
            ServiceName::new(format!("a{}:s{s}", s % ACCOUNTS)),
            service(s),
        );
    }
    plan
}

fn service(s: usize) -> ServicePlan {
    let upstream = |n: usize| UpstreamPlan {
        name: UpstreamName::new(format!("u{n}")),
        place: PlaceName::new(format!("p{}", (s + n / 2 * 17) % PLACES)),
        address: ([127, 0, 0, 1], 1).into(),
        slots: 9,
        connections: 330,
        draining: false,
    };
    ServicePlan {
        account: AccountName::new(format!("a{}", s % ACCOUNTS)),
        account_share_permille: 10,
        class: Class::Interactive,
        deadline: Millis(5_000),
        max_body: 1 << 20,
        queue_len: 100,
        retry_permille: 100,
        lookup_ttl: Millis(5_000),
        latency_weight_permille: 500,
        growth_permille: 1_000,
        at_most_once: Vec::new(),
        upstreams: (0..PLACES_PER_SERVICE * 2).map(upstream).collect(),
    }
}

fn vm(plan: &Arc<Plan>) -> Steering {
    let me = Identity {
        vm: "d0-0".into(),
        domain: "d0".into(),
        incarnation: Incarnation(1),
    };
    let mut vm = Steering::new(me, Tuning::default(), Millis(0));
    vm.on_plan(Arc::clone(plan), Millis(0));
    vm.on_capacity_part(1_000, Millis(0));
    let peers = (0..DOMAINS).flat_map(|d| (0..VMS).map(move |v| (d, v)));
    let peer = |(d, v)| Peer {
        vm: VmName::new(format!("d{d}-{v}")),
        domain: DomainName::new(format!("d{d}")),
        usable: true,
    };
    vm.on_peers(peers.map(peer).collect());
    for at in 0..200 {
        vm.tick(Millis(at * 100));
    }
    vm
}

/// Returns the services with a place in the VM's failure domain.
fn local_services(plan: &Plan) -> Vec<ServiceName> {
    let here = |s: &ServicePlan| {
        let mut places = s.upstreams.iter().map(|u| &plan.places[&u.place]);
        places.any(|p| p.domain.as_str() == "d0")
    };
    let services = plan.services.iter().filter(|(_, s)| here(s));
    services.map(|(name, _)| name.clone()).collect()
}

fn requests(c: &mut Criterion) {
    let plan = Arc::new(plan());
    let services = local_services(&plan);
    let mut rng = fastrand::Rng::with_seed(1);
    let mut group = c.benchmark_group("two years");
    group
        .warm_up_time(Duration::from_secs(1))
        .measurement_time(Duration::from_secs(3));

    let mut state = vm(&plan);
    let mut now = Millis(20_000);
    let (mut n, mut run) = (0_u64, 0_u64);
    group.bench_function("admit and finish", |b| {
        b.iter(|| {
            // 2,000 requests per second of simulated time, with a tick every 100 ms.
            n += 1;
            if n.is_multiple_of(2) {
                now = now + Millis(1);
                if now.0.is_multiple_of(100) {
                    state.tick(now);
                }
            }
            let service = &services[n as usize % services.len()];
            let req = Arrival {
                service: service.clone(),
                class: Class::Interactive,
                deadline: Millis(5_000),
                attempt: 0,
                waited: false,
                grant: None,
            };
            if let Verdict::Run { ticket, .. } = black_box(state.admit(&req, &mut rng, now)) {
                run += 1;
                state.finish(ticket, RequestOutcome::Good, now);
            }
        });
    });
    println!("admitted {run} of {n}");
    group.finish();
}

fn control(c: &mut Criterion) {
    let plan = Arc::new(plan());
    let services = local_services(&plan);
    let mut group = c.benchmark_group("two years");
    group
        .warm_up_time(Duration::from_secs(1))
        .measurement_time(Duration::from_secs(3));

    let mut state = vm(&plan);
    let mut now = Millis(20_000);
    group.bench_function("tick without spread", |b| {
        b.iter(|| {
            now = now + Millis(1);
            state.tick(now);
        });
    });
    group.bench_function("tick with spread of 300 services", |b| {
        b.iter(|| {
            now = now + Millis(500);
            state.tick(now);
        });
    });
    group.bench_function("look-up", |b| {
        b.iter(|| black_box(state.on_lookup(&services[0], b"block", now)));
    });
    group.bench_function("ask of 15 failure domains", |b| {
        b.iter(|| {
            now = now + Millis(1_000);
            black_box(state.request_grants(now))
        });
    });
    group.bench_function("explain", |b| {
        b.iter(|| black_box(state.explain(&services[0], now)))
    });
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    requests(&mut criterion);
    control(&mut criterion);
    criterion.final_summary();
}
