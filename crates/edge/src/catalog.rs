//! The routes and services in force, and which route a request takes.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use heatherknot_types::prelude::*;

use crate::accounts::Accounts;

/// One accepted configuration: every route and service at one version.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// The version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes by host, those with the longest prefix first.
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, ServiceSpec>,
    names: HashSet<Arc<str>>,
    /// The client accounts; nothing where callers need no key.
    accounts: Option<Accounts>,
    /// Whether there may be routes whose host or prefix can't be read.
    hides_routes: bool,
    /// What of it can't be read, one text each.
    remarks: Vec<String>,
}

/// What a catalog is made of.
#[derive(Clone, Debug, Default)]
pub struct CatalogParts {
    /// The version.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<ServiceSpec>,
    /// The client accounts; nothing where callers need no key.
    pub accounts: Option<Accounts>,
    /// The routes that are there and can't be read.
    pub invalid_routes: Vec<InvalidRoute>,
    /// What else can't be read, one text each.
    pub problems: Vec<String>,
}

/// A route that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidRoute {
    /// The host that its requests name, where that can be read.
    pub host: Option<Arc<str>>,
    /// The beginning of its paths, where that can be read.
    pub prefix: Option<Arc<str>>,
    /// Why it can't be read.
    pub cause: String,
}

/// Which requests go where, and how they are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, unique in a catalog.
    pub name: Arc<str>,
    /// The host that requests name.
    pub host: Arc<str>,
    /// The beginning of the paths, with a slash at its end.
    pub prefix: Arc<str>,
    /// The services that share the requests, in proportion to their weights.
    pub targets: Vec<Target>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The most backend servers that one request may be sent to.
    pub attempts: u32,
    /// The longest time that a caller is kept waiting.
    pub timeout: Millis,
    /// The time within which an answer is worth most.
    pub latency_target: Millis,
    /// The rank among routes of one service; zero is the most urgent.
    pub priority: u32,
    /// The only regions that may run the requests; empty for any.
    pub home_regions: Vec<RegionName>,
    /// Whether its answers are known to be large.
    pub large_answers: bool,
    /// Whether the bodies of its requests are known to be large.
    pub large_bodies: bool,
    /// Whether a backend server that lately handled an object is faster at it.
    pub sticky: bool,
    /// Whether callers need no key for it.
    pub public: bool,
}

/// One of the services that share a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its part, relative to those of the other targets.
    pub weight: u32,
}

/// What is configured of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// The service.
    pub name: ServiceName,
    /// How long a backend server stays cold after its start.
    pub cold_time: Millis,
    /// The requests a second that a cold backend server stands, from all VMs together.
    pub cold_rate: f64,
}

impl Route {
    /// Makes a route whose requests are not run, as nobody knows which service takes them.
    fn without_service(host: Arc<str>, prefix: Arc<str>) -> Self {
        Self {
            name: format!("{host}{prefix}").into(),
            host,
            prefix,
            targets: Vec::new(),
            idempotent: false,
            attempts: 1,
            timeout: Millis(0),
            latency_target: Millis(0),
            priority: 0,
            home_regions: Vec::new(),
            large_answers: false,
            large_bodies: false,
            sticky: false,
            public: false,
        }
    }
}

impl Catalog {
    /// Makes a catalog from its parts.
    ///
    /// A route that can't be read but for its host and prefix keeps its place with no service:
    /// its requests are not run. Left out, they would take a shorter route to another service,
    /// or be told for good that nothing takes them.
    pub fn new(parts: CatalogParts) -> Self {
        let mut remarks = parts.problems;
        let mut routes = parts.routes;
        let mut hides_routes = false;
        for unread in parts.invalid_routes {
            remarks.push(unread.cause);
            match (unread.host, unread.prefix) {
                (Some(host), Some(prefix)) => routes.push(Route::without_service(host, prefix)),
                _ => hides_routes = true,
            }
        }
        let names = routes.iter().map(|route| Arc::clone(&route.name)).collect();
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = Arc::clone(&route.host);
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = parts.services.into_iter().map(|s| (s.name.clone(), s));
        Self {
            version: parts.version,
            routes: by_host,
            services: services.collect(),
            names,
            accounts: parts.accounts,
            hides_routes,
            remarks,
        }
    }

    /// Says whether a request that no route takes may belong to one that can't be read.
    pub fn has_unmatchable_routes(&self) -> bool {
        self.hides_routes
    }

    /// Gives what of the configuration can't be read, one text each.
    pub fn problems(&self) -> &[String] {
        &self.remarks
    }

    /// Gives the route of the host with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(without_port(host))?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Gives the client accounts; nothing where callers need no key.
    pub fn accounts(&self) -> Option<&Accounts> {
        self.accounts.as_ref()
    }

    /// Gives what is configured of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Gives every service.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values()
    }

    /// Gives every route.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    /// Says whether there is a route of this name.
    pub fn has_route(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Gives the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}
