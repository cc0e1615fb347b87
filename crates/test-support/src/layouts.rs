//! Settings documents for two example deployments: the screenshot and publishing service of a
//! water and light board, and the placement service of a training network.

use std::net::SocketAddr;

use serde_json::{Map, Value as Json, json};

/// An upstream of a layout that is to be given an address.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamSpec {
    /// The service, without its account.
    pub service: &'static str,
    /// The name of the upstream, unique in the layout.
    pub name: String,
    /// The place, named after its failure domain.
    pub place: String,
    /// Requests that the backend server runs at once.
    pub slots: u16,
}

/// The account of the water and light board.
pub const PORT_LOUIS: &str = "utilities/port-louis";
/// The account of the training network.
pub const ENLACE: &str = "training/enlace";

/// Requests per second that one slot is assumed to serve when caps are computed.
const REQUESTS_PER_SECOND_PER_SLOT: u32 = 10;
/// Maximum number of connections that each upstream accepts.
const CONNECTIONS_PER_UPSTREAM: u16 = 330;
const DOMAINS_PER_REGION: usize = 2;

struct Layout {
    group: &'static str,
    account: &'static str,
    regions: [&'static str; 3],
    defaults: Json,
    services: Vec<ServiceLayout>,
}

struct ServiceLayout {
    name: &'static str,
    upstreams: usize,
    slots: u16,
    overrides: Json,
}

/// Returns the settings of Port Louis: `gallery`, `publisher` and `studio` in six failure
/// domains (`north-1` to `south-2`), with the addresses that `address` returns.
pub fn port_louis(address: impl FnMut(&UpstreamSpec) -> SocketAddr) -> Json {
    let layout = Layout {
        group: "utilities",
        account: "port-louis",
        regions: ["north", "plaines", "south"],
        defaults: json!({ "latency_weight_permille": 800 }),
        services: vec![
            service("gallery", 16, 3, json!({ "deadline_ms": 2000 })),
            service(
                "publisher",
                12,
                3,
                json!({ "at_most_once": ["POST /approvals", "POST /submissions"] }),
            ),
            service(
                "studio",
                12,
                3,
                json!({ "class": "bulk", "deadline_ms": 120_000, "max_body_bytes": 268_435_456 }),
            ),
        ],
    };
    document(&layout, address)
}

/// Returns the settings of Enlace: `catalogo`, `asignaciones` and `expediente` in six failure
/// domains (`valle-central-1` to `limon-2`), with the addresses that `address` returns.
pub fn enlace(address: impl FnMut(&UpstreamSpec) -> SocketAddr) -> Json {
    let layout = Layout {
        group: "training",
        account: "enlace",
        regions: ["valle-central", "guanacaste", "limon"],
        defaults: json!({ "latency_weight_permille": 200 }),
        services: vec![
            service("catalogo", 14, 9, json!({ "deadline_ms": 3000 })),
            service(
                "asignaciones",
                12,
                6,
                json!({ "at_most_once": ["POST /confirmations"] }),
            ),
            service(
                "expediente",
                12,
                3,
                json!({ "at_most_once": ["POST /signoffs"], "retry_permille": 50 }),
            ),
        ],
    };
    document(&layout, address)
}

/// Returns a function that gives a different loopback address on each call, for tests that
/// open no connection.
pub fn unused_addresses() -> impl FnMut(&UpstreamSpec) -> SocketAddr {
    let mut port = 20_000;
    move |_| {
        port += 1;
        SocketAddr::from(([127, 0, 0, 1], port))
    }
}

fn service(name: &'static str, upstreams: usize, slots: u16, overrides: Json) -> ServiceLayout {
    ServiceLayout {
        name,
        upstreams,
        slots,
        overrides,
    }
}

fn document(layout: &Layout, mut address: impl FnMut(&UpstreamSpec) -> SocketAddr) -> Json {
    let upstream_specs: Vec<UpstreamSpec> = layout
        .services
        .iter()
        .flat_map(|service| upstream_specs(layout, service))
        .collect();
    let mut services = Map::new();
    for service in &layout.services {
        let mut settings = service.overrides.clone();
        let own = upstream_specs
            .iter()
            .filter(|spec| spec.service == service.name);
        settings["upstreams"] = own.map(|spec| upstream(spec, address(spec))).collect();
        services.insert(service.name.to_string(), settings);
    }
    json!({
        "schema": 1,
        "platform": platform(layout, &upstream_specs),
        "defaults": { "lookup_ttl_ms": 2000 },
        "accounts": {
            layout.group: {
                "accounts": {
                    layout.account: { "defaults": layout.defaults, "services": services },
                },
            },
        },
    })
}

fn upstream_specs(layout: &Layout, service: &ServiceLayout) -> Vec<UpstreamSpec> {
    let domains: Vec<String> = domains(layout).map(|(domain, _)| domain).collect();
    let spec = |at: usize| UpstreamSpec {
        service: service.name,
        name: format!("{}-{}", service.name, at + 1),
        place: domains[at % domains.len()].clone(),
        slots: service.slots,
    };
    (0..service.upstreams).map(spec).collect()
}

fn domains(layout: &Layout) -> impl Iterator<Item = (String, &'static str)> {
    let numbers = 1..=DOMAINS_PER_REGION;
    numbers.flat_map(|number| {
        let regions = layout.regions.iter();
        regions.map(move |region| (format!("{region}-{number}"), *region))
    })
}

fn upstream(spec: &UpstreamSpec, address: SocketAddr) -> (String, Json) {
    let settings = json!({
        "place": spec.place,
        "address": address.to_string(),
        "slots": spec.slots,
        "connections": CONNECTIONS_PER_UPSTREAM,
    });
    (spec.name.clone(), settings)
}

fn platform(layout: &Layout, upstream_specs: &[UpstreamSpec]) -> Json {
    let slots_in = |domain: &str| -> u32 {
        let here = upstream_specs.iter().filter(|spec| spec.place == domain);
        here.map(|spec| u32::from(spec.slots)).sum()
    };
    let slots_of = |region: &str| -> u32 {
        let own = domains(layout).filter(|(_, of)| *of == region);
        own.map(|(domain, _)| slots_in(&domain)).sum()
    };
    // A region's cap is nine tenths of the total capacity of its places.
    let regions = layout.regions.iter();
    let regions = regions.map(|region| (region.to_string(), cap(slots_of(region) * 9 / 10)));
    let places = domains(layout).map(|(domain, _)| {
        let mut place = cap(slots_in(&domain));
        place["domain"] = json!(domain);
        (domain, place)
    });
    let links = layout.regions.iter().map(|from| {
        let others = layout.regions.iter().filter(|to| *to != from);
        // A link's cap is half of the capacity of its destination region.
        let ends: Json = others
            .map(|to| (to.to_string(), cap(slots_of(to) / 2)))
            .collect();
        (from.to_string(), ends)
    });
    let domains = domains(layout).map(|(domain, region)| (domain, json!({ "region": region })));
    let quota = json!({
        "guaranteed_permille": 500,
        "networks": ["10.0.0.0/8", "127.0.0.0/8"],
    });
    json!({
        "regions": regions.collect::<Json>(),
        "domains": domains.collect::<Json>(),
        "links": links.collect::<Json>(),
        "places": places.collect::<Json>(),
        "quotas": { format!("{}.{}", layout.group, layout.account): quota },
    })
}

fn cap(slots: u32) -> Json {
    json!({ "per_second": slots * REQUESTS_PER_SECOND_PER_SLOT, "in_flight": slots })
}
