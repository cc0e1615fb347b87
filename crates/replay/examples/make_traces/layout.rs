//! The layouts of the traces: today's two deployments and one of the size of two years.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use heatherknot_types::plan::{
    Cap, DomainPlan, LinkPlan, PlacePlan, Plan, RegionPlan, ServicePlan, UpstreamPlan,
};
use heatherknot_types::prelude::*;

/// A service of a layout.
pub struct Service {
    pub name: &'static str,
    pub account: &'static str,
    pub share_permille: u16,
    pub upstreams: usize,
    pub slots: u16,
    pub time: Millis,
    pub deadline: Millis,
    pub class: Class,
    pub latency_weight_permille: u16,
}

/// A layout: regions with their failure domains, and services spread evenly over the places.
pub struct Layout {
    pub regions: Vec<(&'static str, Vec<String>)>,
    pub vms: BTreeMap<DomainName, Vec<VmName>>,
    pub places: Vec<(PlaceName, DomainName)>,
    pub services: Vec<Service>,
    /// What a place's cap is of what its upstreams can do, in thousandths.
    pub cap_permille: u32,
    /// What a region's cap is of its places' caps, in thousandths.
    pub region_permille: u32,
    /// What a link's cap is of the region's cap at its end, in thousandths.
    pub link_permille: u32,
}

const CONNECTIONS: u16 = 330;

fn two_domains(region: &str) -> Vec<String> {
    vec![format!("{region}-a"), format!("{region}-b")]
}

fn today(regions: [&'static str; 3], services: Vec<Service>) -> Layout {
    let regions: Vec<_> = regions.map(|r| (r, two_domains(r))).into();
    let mut vms = BTreeMap::new();
    let mut places = Vec::new();
    for (_, domains) in &regions {
        for (number, domain) in domains.iter().enumerate() {
            // Nine VMs: two in the first failure domain of each region, one in the second.
            let names = (1..=2 - number).map(|n| VmName::from(format!("{domain}-vm{n}")));
            vms.insert(DomainName::from(domain.as_str()), names.collect());
            places.push((
                PlaceName::from(format!("{domain}-site")),
                domain.as_str().into(),
            ));
        }
    }
    Layout {
        regions,
        vms,
        places,
        services,
        cap_permille: 900,
        region_permille: 900,
        link_permille: 400,
    }
}

pub fn port_louis() -> Layout {
    let service = |name, account, share_permille, upstreams, time, deadline, class| Service {
        name,
        account,
        share_permille,
        upstreams,
        slots: 3,
        time: Millis(time),
        deadline: Millis(deadline),
        class,
        latency_weight_permille: 800,
    };
    use Class::{Bulk, Interactive};
    today(
        ["north", "plaines", "south"],
        vec![
            service(
                "utilities/port-louis:gallery",
                "utilities/port-louis",
                500,
                16,
                250,
                2_000,
                Interactive,
            ),
            service(
                "utilities/port-louis:publisher",
                "utilities/port-louis",
                500,
                12,
                600,
                10_000,
                Interactive,
            ),
            service(
                "utilities/contractors:studio",
                "utilities/contractors",
                400,
                12,
                900,
                15_000,
                Bulk,
            ),
        ],
    )
}

pub fn enlace() -> Layout {
    let service = |name, account, share_permille, upstreams, slots, time, deadline| Service {
        name,
        account,
        share_permille,
        upstreams,
        slots,
        time: Millis(time),
        deadline: Millis(deadline),
        class: Class::Interactive,
        latency_weight_permille: 200,
    };
    today(
        ["valle-central", "guanacaste", "limon"],
        vec![
            service(
                "training/enlace:catalogo",
                "training/enlace",
                500,
                14,
                9,
                300,
                3_000,
            ),
            service(
                "training/tutores:asignaciones",
                "training/tutores",
                300,
                12,
                6,
                500,
                5_000,
            ),
            service(
                "training/enlace:expediente",
                "training/enlace",
                500,
                12,
                3,
                800,
                8_000,
            ),
        ],
    )
}

/// The size of two years: 7 regions, 16 failure domains, 110 places, 570 VMs.
pub fn two_years() -> Layout {
    let names = ["r1", "r2", "r3", "r4", "r5", "r6", "r7"];
    let regions: Vec<(&'static str, Vec<String>)> = names
        .iter()
        .enumerate()
        .map(|(number, region)| {
            let count = if number < 2 { 3 } else { 2 };
            let domains = ["a", "b", "c"][..count]
                .iter()
                .map(|d| format!("{region}{d}"));
            (*region, domains.collect())
        })
        .collect();
    let domains: Vec<String> = regions.iter().flat_map(|(_, d)| d.clone()).collect();
    let mut vms: BTreeMap<DomainName, Vec<VmName>> = BTreeMap::new();
    for number in 0..570 {
        let domain = &domains[number % domains.len()];
        let of = vms.entry(domain.as_str().into()).or_default();
        of.push(format!("{domain}-{}", of.len() + 1).into());
    }
    let place = |number: usize| {
        let domain = &domains[number % domains.len()];
        let name = format!("{domain}-s{}", number / domains.len() + 1);
        (PlaceName::from(name), DomainName::from(domain.as_str()))
    };
    let service = |name, account, share_permille, time| Service {
        name,
        account,
        share_permille,
        upstreams: 110,
        slots: 150,
        time: Millis(time),
        deadline: Millis(3_000),
        class: Class::Interactive,
        latency_weight_permille: 500,
    };
    Layout {
        vms,
        places: (0..110).map(place).collect(),
        services: vec![
            service("national/a:lookup", "national/a", 500, 400),
            service("national/b:records", "national/b", 400, 800),
        ],
        regions,
        cap_permille: 900,
        region_permille: 900,
        link_permille: 400,
    }
}

impl Layout {
    pub fn service_times(&self) -> BTreeMap<ServiceName, Millis> {
        self.services
            .iter()
            .map(|s| (s.name.into(), s.time))
            .collect()
    }

    pub fn domains(&self) -> Vec<DomainName> {
        let all = self.regions.iter().flat_map(|(_, domains)| domains);
        all.map(|d| d.as_str().into()).collect()
    }

    pub fn plan(&self) -> Plan {
        let mut plan = Plan {
            revision: Revision(1),
            ..Plan::default()
        };
        for service in &self.services {
            plan.services
                .insert(service.name.into(), self.service_plan(service));
        }
        for (region, domains) in &self.regions {
            for domain in domains {
                let domain_plan = DomainPlan {
                    region: (*region).into(),
                    draining_vms: Vec::new(),
                };
                plan.domains.insert(domain.as_str().into(), domain_plan);
            }
        }
        for (place, domain) in &self.places {
            let cap = scaled(self.strength(place), self.cap_permille);
            let place_plan = PlacePlan {
                domain: domain.clone(),
                cap,
                draining: false,
            };
            plan.places.insert(place.clone(), place_plan);
        }
        self.add_regions(&mut plan);
        plan
    }

    fn add_regions(&self, plan: &mut Plan) {
        for (region, domains) in &self.regions {
            let here = |d: &DomainName| domains.iter().any(|name| name == d.as_str());
            let caps = plan
                .places
                .values()
                .filter(|p| here(&p.domain))
                .map(|p| p.cap);
            let cap = scaled(caps.fold(NOTHING, sum), self.region_permille);
            let draining = false;
            plan.regions
                .insert((*region).into(), RegionPlan { cap, draining });
        }
        for (from, _) in &self.regions {
            for (to, _) in &self.regions {
                if from != to {
                    let cap = scaled(plan.regions[*to].cap, self.link_permille);
                    let (from, to) = ((*from).into(), (*to).into());
                    plan.links.push(LinkPlan { from, to, cap });
                }
            }
        }
    }

    /// Gives what the upstreams of a place can do.
    fn strength(&self, place: &PlaceName) -> Cap {
        let mut all = NOTHING;
        for service in &self.services {
            let here = self.upstreams_at(service, place) as u32;
            let slots = here * u32::from(service.slots);
            let cap = Cap {
                per_second: (u64::from(slots) * 1000 / service.time.0) as u32,
                in_flight: slots,
            };
            all = sum(all, cap);
        }
        all
    }

    fn upstreams_at(&self, service: &Service, place: &PlaceName) -> usize {
        let at = self
            .places
            .iter()
            .position(|(name, _)| name == place)
            .expect("of the layout");
        (0..service.upstreams)
            .filter(|n| n % self.places.len() == at)
            .count()
    }

    fn service_plan(&self, service: &Service) -> ServicePlan {
        let upstream = |number: usize| {
            let place = &self.places[number % self.places.len()].0;
            UpstreamPlan {
                name: format!("u{number}").into(),
                place: place.clone(),
                address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 20_000 + number as u16),
                slots: service.slots,
                connections: CONNECTIONS,
                draining: false,
            }
        };
        ServicePlan {
            account: service.account.into(),
            account_share_permille: service.share_permille,
            class: service.class,
            deadline: service.deadline,
            max_body: 1 << 20,
            queue_len: 8,
            retry_permille: 100,
            lookup_ttl: Millis(5_000),
            latency_weight_permille: service.latency_weight_permille,
            growth_permille: 100,
            at_most_once: vec!["POST /".to_owned()],
            upstreams: (0..service.upstreams).map(upstream).collect(),
        }
    }
}

const NOTHING: Cap = Cap {
    per_second: 0,
    in_flight: 0,
};

fn sum(a: Cap, b: Cap) -> Cap {
    Cap {
        per_second: a.per_second + b.per_second,
        in_flight: a.in_flight + b.in_flight,
    }
}

fn scaled(cap: Cap, permille: u32) -> Cap {
    Cap {
        per_second: cap.per_second * permille / 1000,
        in_flight: cap.in_flight * permille / 1000,
    }
}
