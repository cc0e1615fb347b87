//! The settings that a run uses, and their changes.

use std::net::SocketAddr;

use heatherknot_settings::{Author, ChainPoint, Change, Tree};
use heatherknot_store::commit::{CommandId, CommitOutcome, Proposal, ResolvePolicy, commit};
use heatherknot_store::http_store::{self, StoreConfig};
use heatherknot_test_support::runtime;
use heatherknot_types::prelude::*;
use serde_json::{Map, Value, json};

/// Regions of the deployment.
const REGIONS: usize = 7;
/// Places of the deployment.
const SITES: usize = 110;
/// Upstreams of a service.
const UPSTREAMS: usize = 16;
const SLOTS: u16 = 6;
const PER_SLOT: u32 = 10;

/// The settings in the store, as the run changes them.
pub struct Deployment {
    store: SocketAddr,
    document: Value,
    tree: Tree,
    point: ChainPoint,
    services: usize,
}

/// Gives the name of a failure domain by its number.
pub fn domain_name(domain: usize) -> DomainName {
    DomainName::from(format!("domain-{domain}"))
}

impl Deployment {
    /// Has the first settings accepted.
    pub fn start(store: SocketAddr, domains: usize, services: usize) -> Result<Self, String> {
        let mut this = Self {
            store,
            document: document(domains, SITES, services),
            tree: Tree::empty(),
            point: ChainPoint::default(),
            services,
        };
        this.commit("fleet-start")?;
        Ok(this)
    }

    /// Changes one value of one service, and gives the revision accepted.
    pub fn change(&mut self, number: usize) -> Result<Revision, String> {
        let service = format!("service-{}", number % self.services);
        let accounts = &mut self.document["accounts"]["operators"]["accounts"];
        accounts["fleet"]["services"][service]["deadline_ms"] = json!(3001 + number);
        self.commit(&format!("fleet-change-{number}"))
    }

    fn commit(&mut self, command: &str) -> Result<Revision, String> {
        let tree = Tree::from_document(self.document.clone()).map_err(|e| e.to_string())?;
        let author = Author {
            command: command.into(),
            who: "fleet".into(),
            key: "none".into(),
            at_ms: 0,
        };
        let change = Change::between(self.point, &self.tree, &tree, author);
        let change = change.map_err(|e| e.to_string())?;
        let change_json = serde_json::to_vec(&change).map_err(|e| e.to_string())?;
        let proposal = Proposal {
            command: CommandId::parse(command).ok_or("no command identifier")?,
            base: self.point.revision,
            change: change_json.into(),
            hash: change.hash.to_string().into(),
        };
        let outcome = runtime::block_on(async {
            let store = http_store::connect(StoreConfig::new(self.store));
            commit(&store, &proposal, &ResolvePolicy::default()).await
        });
        let CommitOutcome::Accepted(revision) = outcome else {
            return Err(format!("`{command}` was not accepted: {outcome:?}"));
        };
        self.point = change.point();
        self.tree = tree;
        Ok(revision)
    }
}

/// Makes a settings document of the given size.
pub fn document(domains: usize, sites: usize, services: usize) -> Value {
    let regions = REGIONS.min(domains);
    let region_of = |domain: usize| format!("region-{}", domain % regions);
    let all_domains: Map<String, Value> = (0..domains)
        .map(|d| {
            (
                domain_name(d).to_string(),
                json!({ "region": region_of(d) }),
            )
        })
        .collect();
    let all_regions: Map<String, Value> = (0..regions)
        .map(|r| (format!("region-{r}"), cap(10_000)))
        .collect();
    let places: Map<String, Value> = (0..sites)
        .map(|site| {
            let mut place = cap(1_000);
            place["domain"] = json!(domain_name(site % domains));
            (format!("site-{site}"), place)
        })
        .collect();
    let services: Map<String, Value> = (0..services)
        .map(|s| (format!("service-{s}"), service(s, sites)))
        .collect();
    json!({
        "schema": 1,
        "platform": {
            "regions": all_regions,
            "domains": all_domains,
            "links": {},
            "places": places,
            "quotas": {
                "operators.fleet": { "guaranteed_permille": 500, "networks": ["127.0.0.0/8"] },
            },
        },
        "defaults": { "lookup_ttl_ms": 2000 },
        "accounts": { "operators": { "accounts": { "fleet": { "services": services } } } },
    })
}

fn service(number: usize, sites: usize) -> Value {
    let upstreams: Map<String, Value> = (0..UPSTREAMS)
        .map(|u| {
            // Port 9 discards: nobody answers there, and the run sends no requests.
            let upstream = json!({
                "place": format!("site-{}", (number * UPSTREAMS + u) % sites),
                "address": format!("127.0.0.1:{}", 20_000 + (number * UPSTREAMS + u) % 40_000),
                "slots": SLOTS,
                "connections": 330,
            });
            (format!("upstream-{u}"), upstream)
        })
        .collect();
    json!({ "deadline_ms": 3000, "upstreams": upstreams })
}

fn cap(slots: u32) -> Value {
    json!({ "per_second": slots * PER_SLOT, "in_flight": slots })
}
