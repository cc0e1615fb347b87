//! Fixtures for the tests of the steering decisions.
#![allow(dead_code)]

pub mod fleet;

use std::collections::BTreeMap;
use std::sync::Arc;

use heatherknot_steering::{Arrival, Identity, Peer, Steering, Tuning, Verdict};
use heatherknot_types::plan::{
    AccountPlan, Cap, DomainPlan, LinkPlan, PlacePlan, Plan, RegionPlan, ServicePlan, UpstreamPlan,
};
use heatherknot_types::prelude::*;

/// The service of the main account.
pub const GALLERY: &str = "pl:gallery";
/// The service of the other account.
pub const CATALOG: &str = "et:catalogo";

pub fn cap(per_second: u32, in_flight: u32) -> Cap {
    Cap {
        per_second,
        in_flight,
    }
}

/// Returns a plan with two regions, `north` with the failure domains `n1` and `n2`, `south` with `s1`; one place
/// in each, named after it, with a cap of 100/s and 50 in flight; two services with two
/// upstreams of 40 slots in each place; no growth limit.
pub fn plan() -> Plan {
    let mut plan = Plan {
        revision: Revision(1),
        ..Plan::default()
    };
    for (region, cap) in [("north", cap(200, 100)), ("south", cap(100, 50))] {
        let region_plan = RegionPlan {
            cap,
            draining: false,
        };
        plan.regions.insert(region.into(), region_plan);
    }
    for (domain, region) in [("n1", "north"), ("n2", "north"), ("s1", "south")] {
        let domain_plan = DomainPlan {
            region: region.into(),
            draining_vms: Vec::new(),
        };
        plan.domains.insert(domain.into(), domain_plan);
        let place = PlacePlan {
            domain: domain.into(),
            cap: cap(100, 50),
            draining: false,
        };
        plan.places.insert(domain.into(), place);
    }
    plan.services
        .insert(GALLERY.into(), service("pl", &["n1", "n2", "s1"]));
    plan.services
        .insert(CATALOG.into(), service("et", &["n1", "n2", "s1"]));
    plan
}

pub fn service(account: &str, places: &[&str]) -> ServicePlan {
    let mut upstreams = Vec::new();
    for place in places {
        for n in 0..2 {
            upstreams.push(upstream(&format!("{place}-{n}"), place, 40));
        }
    }
    ServicePlan {
        account: account.into(),
        account_share_permille: 500,
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
    }
}

pub fn upstream(name: &str, place: &str, slots: u16) -> UpstreamPlan {
    UpstreamPlan {
        name: name.into(),
        place: place.into(),
        address: ([127, 0, 0, 1], 1).into(),
        slots,
        connections: 330,
        draining: false,
    }
}

pub fn link(from: &str, to: &str, cap: Cap) -> LinkPlan {
    LinkPlan {
        from: from.into(),
        to: to.into(),
        cap,
    }
}

/// Returns a VM `v-<domain>` that holds all capacity of `domain`. It admits nothing before
/// its first window has passed.
pub fn vm(domain: &str, plan: &Plan, tuning: Tuning) -> Steering {
    named_vm(
        &format!("v-{domain}"),
        domain,
        1,
        1_000,
        plan,
        tuning,
        Millis(0),
    )
}

pub fn named_vm(
    name: &str,
    domain: &str,
    incarnation: u64,
    part: u16,
    plan: &Plan,
    tuning: Tuning,
    now: Millis,
) -> Steering {
    let me = Identity {
        vm: name.into(),
        domain: domain.into(),
        incarnation: Incarnation(incarnation),
    };
    let mut vm = Steering::new(me, tuning, now);
    vm.on_plan(Arc::new(plan.clone()), now);
    vm.on_capacity_part(part, now);
    vm.on_peers(peers(plan));
    vm
}

/// Returns one VM `v-<domain>` for each failure domain.
pub fn peers(plan: &Plan) -> Vec<Peer> {
    let peer = |domain: &DomainName| Peer {
        vm: VmName::new(format!("v-{domain}")),
        domain: domain.clone(),
        usable: true,
    };
    plan.domains.keys().map(peer).collect()
}

pub fn arrival(service: &str) -> Arrival {
    Arrival {
        service: service.into(),
        class: Class::Interactive,
        deadline: Millis(5_000),
        attempt: 0,
        waited: false,
        grant: None,
    }
}

/// Ticks `vm` every 100 ms from `from` up to and including `to`.
pub fn tick_through(vm: &mut Steering, from: Millis, to: Millis) {
    let mut at = from;
    while at <= to {
        vm.tick(at);
        at = at + Millis(100);
    }
}

/// Counts verdicts by kind.
#[derive(Debug, Default, PartialEq, Eq, Clone)]
pub struct Tally {
    pub run: u32,
    pub relay: u32,
    pub wait: u32,
    pub refuse: u32,
}

impl Tally {
    pub fn count(&mut self, verdict: &Verdict) {
        match verdict {
            Verdict::Run { .. } => self.run += 1,
            Verdict::Relay { .. } => self.relay += 1,
            Verdict::Wait { .. } => self.wait += 1,
            Verdict::Refuse { .. } => self.refuse += 1,
        }
    }
}

/// Returns two accounts with a guaranteed share of 500 thousandths each.
pub fn equal_shares() -> BTreeMap<AccountName, AccountPlan> {
    ["pl", "et"]
        .map(|name| (name.into(), account_shares(500, 1_000)))
        .into()
}

/// Returns the shares of one account, in thousandths.
pub fn account_shares(guaranteed_permille: u16, share_permille: u16) -> AccountPlan {
    AccountPlan {
        share_permille,
        guaranteed_permille,
    }
}
