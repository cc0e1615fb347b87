//! Writes the traces of the walkthrough: `make_walkthrough_traces DIRECTORY`.
//!
//! The settings in their heads are those of the layouts, so that `heatherknot replay` decides
//! under the same limits as the daemons of the walkthrough.

use std::collections::BTreeMap;
use std::path::PathBuf;

use heatherknot_settings::Tree;
use heatherknot_test_support::layouts;
use heatherknot_types::prelude::*;
use serde_json::{Value as Json, json};

/// The length of each trace.
const DURATION_MS: u64 = 34_000;

/// One service of a layout.
struct Service {
    name: &'static str,
    class: &'static str,
    service_ms: u64,
    /// Requests a second of the callers near each failure domain.
    per_second: f64,
}

/// One trace.
struct Sketch {
    file: &'static str,
    account: &'static str,
    settings: Json,
    regions: [&'static str; 3],
    services: [Service; 3],
    story: [&'static str; 4],
}

fn main() -> std::io::Result<()> {
    let dir = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    for sketch in [port_louis(), enlace()] {
        std::fs::write(dir.join(sketch.file), text_of(&sketch))?;
    }
    Ok(())
}

fn port_louis() -> Sketch {
    Sketch {
        file: "port-louis.jsonl",
        account: layouts::PORT_LOUIS,
        settings: layouts::port_louis(layouts::unused_addresses()),
        regions: ["north", "plaines", "south"],
        services: [
            Service {
                name: "gallery",
                class: "interactive",
                service_ms: 30,
                per_second: 60.0,
            },
            Service {
                name: "publisher",
                class: "interactive",
                service_ms: 60,
                per_second: 8.0,
            },
            Service {
                name: "studio",
                class: "bulk",
                service_ms: 200,
                per_second: 5.0,
            },
        ],
        story: STORY,
    }
}

fn enlace() -> Sketch {
    Sketch {
        file: "enlace.jsonl",
        account: layouts::ENLACE,
        settings: layouts::enlace(layouts::unused_addresses()),
        regions: ["valle-central", "guanacaste", "limon"],
        services: [
            Service {
                name: "catalogo",
                class: "interactive",
                service_ms: 40,
                per_second: 90.0,
            },
            Service {
                name: "asignaciones",
                class: "interactive",
                service_ms: 50,
                per_second: 20.0,
            },
            Service {
                name: "expediente",
                class: "interactive",
                service_ms: 80,
                per_second: 10.0,
            },
        ],
        story: STORY,
    }
}

const STORY: [&str; 4] = [
    "Callers near one failure domain ask for four times as much from 6 s to 14 s.",
    "A backend server there starts to drain at 10 s.",
    "The only entry VM of another failure domain is lost at 16 s, and a third one is told to stop at 24 s.",
    "The store does not answer from 19 s to 28 s.",
];

fn text_of(sketch: &Sketch) -> String {
    let mut lines = vec![head_of(sketch)];
    let domains = domains_of(sketch);
    for domain in &domains {
        for service in &sketch.services {
            lines.push(demand(sketch, 0, domain, service, service.per_second));
        }
    }
    let (peak, drained, lost, stopped) = (&domains[0], &domains[0], &domains[5], &domains[1]);
    let first = &sketch.services[0];
    lines.push(demand(sketch, 6_000, peak, first, 4.0 * first.per_second));
    let vm = |domain: &str, n: usize| format!("{domain}-{n}");
    lines.push(json!({
        "at": 10_000, "vm": vm(drained, 1), "kind": "backend", "place": drained, "healthy": false
    }));
    lines.push(demand(sketch, 14_000, peak, first, first.per_second));
    lines.push(json!({
        "at": 16_000, "vm": vm(peak, 1), "kind": "vm", "subject": vm(lost, 1), "state": "gone",
        "listed_after_ms": 0
    }));
    lines.push(json!({ "at": 19_000, "vm": vm(peak, 1), "kind": "store", "until_ms": 28_000 }));
    lines.push(json!({
        "at": 24_000, "vm": vm(peak, 1), "kind": "vm", "subject": vm(stopped, 2), "state": "leaving"
    }));
    lines.push(json!({
        "kind": "outcome", "name": "no place, region or link over its cap",
        "metric": "overloads", "is": "at-most", "value": 0
    }));
    let lines: Vec<String> = lines.iter().map(Json::to_string).collect();
    lines.join("\n") + "\n"
}

fn head_of(sketch: &Sketch) -> Json {
    let tree = Tree::from_document(sketch.settings.clone()).expect("the layout passes the checks");
    let plan = tree.compile(Revision(1));
    let domains = domains_of(sketch);
    let mut vms = BTreeMap::new();
    for (n, domain) in domains.iter().enumerate() {
        let second = (n < 3).then(|| format!("{domain}-2"));
        let names: Vec<String> = [format!("{domain}-1")].into_iter().chain(second).collect();
        vms.insert(domain.clone(), names);
    }
    let times: BTreeMap<String, u64> = sketch
        .services
        .iter()
        .map(|service| {
            (
                format!("{}:{}", sketch.account, service.name),
                service.service_ms,
            )
        })
        .collect();
    json!({
        "kind": "head",
        "version": 1,
        "name": format!("walkthrough-{}", sketch.file.trim_end_matches(".jsonl")),
        "story": sketch.story,
        "seed": 7,
        "duration_ms": DURATION_MS,
        "message_delay": { "within_region_ms": 1, "between_regions_ms": 55 },
        "vms": vms,
        "service_times": times,
        "plan": plan,
    })
}

fn demand(sketch: &Sketch, at: u64, source: &str, service: &Service, per_second: f64) -> Json {
    json!({
        "at": at,
        "vm": format!("{source}-1"),
        "kind": "demand",
        "source": source,
        "service": format!("{}:{}", sketch.account, service.name),
        "class": service.class,
        "per_second": per_second,
    })
}

fn domains_of(sketch: &Sketch) -> Vec<String> {
    let numbers = 1..=2;
    numbers
        .flat_map(|n| {
            sketch
                .regions
                .iter()
                .map(move |region| format!("{region}-{n}"))
        })
        .collect()
}
