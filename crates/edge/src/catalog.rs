//! The routes and services in force, and the choice of a request's route.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use heatherknot_types::prelude::*;

use crate::accounts::Accounts;
use crate::route_agreement::RowDigests;

/// One accepted configuration: all routes and services at one version.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// The version; higher versions replace lower ones.
    pub version: u64,
    /// Routes by host, longest prefix first.
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, ServiceSpec>,
    names: HashSet<Arc<str>>,
    /// The client accounts; `None` if callers need no key.
    accounts: Option<Accounts>,
    /// Whether there are invalid routes whose host or prefix is unknown.
    has_unmatchable_routes: bool,
    /// Descriptions of the invalid parts.
    problems: Vec<String>,
    row_digests: RowDigests,
}

/// The parts from which a [`Catalog`] is built.
#[derive(Clone, Debug, Default)]
pub struct CatalogParts {
    /// The version.
    pub version: u64,
    /// The valid routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<ServiceSpec>,
    /// The client accounts; `None` if callers need no key.
    pub accounts: Option<Accounts>,
    /// The routes that exist but are invalid.
    pub invalid_routes: Vec<InvalidRoute>,
    /// Descriptions of the other invalid parts.
    pub problems: Vec<String>,
}

/// A route whose configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidRoute {
    /// The host of its requests, if known.
    pub host: Option<Arc<str>>,
    /// The path prefix, if known.
    pub prefix: Option<Arc<str>>,
    /// Why the route is invalid.
    pub cause: String,
}

/// Which requests a route matches and how they are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name, unique in a catalog.
    pub name: Arc<str>,
    /// The host of matching requests.
    pub host: Arc<str>,
    /// The path prefix, ending in a slash.
    pub prefix: Arc<str>,
    /// The services that receive the requests, in proportion to their weights.
    pub targets: Vec<Target>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The maximum number of backend servers that one request is sent to.
    pub attempts: u32,
    /// The longest time that a caller is kept waiting.
    pub timeout: Millis,
    /// The response time to aim for; later responses are worth less.
    pub latency_target: Millis,
    /// The priority among routes of the same service; zero is the most urgent.
    pub priority: u32,
    /// The only regions in which the requests may run; empty for any region.
    pub home_regions: Vec<RegionName>,
    /// Whether responses are known to be large.
    pub large_answers: bool,
    /// Whether request bodies are known to be large.
    pub large_bodies: bool,
    /// Whether a backend server that recently handled an object handles it faster again.
    pub sticky: bool,
    /// Whether callers need no key for this route.
    pub public: bool,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// The weight relative to the route's other targets.
    pub weight: u32,
}

/// Configuration of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// The service.
    pub name: ServiceName,
    /// How long a backend server stays cold after its start.
    pub cold_time: Millis,
    /// Requests per second that a cold backend server can handle, from all VMs together.
    pub cold_rate: f64,
}

impl Route {
    /// Creates a route whose requests are not run, because their service is unknown.
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
    /// Builds a catalog from its parts.
    ///
    /// An invalid route whose host and prefix are known is kept without a service, and its requests
    /// are not run. If it were left out, its requests would match a shorter prefix and go to
    /// another service, or be answered permanently as having no route.
    pub fn new(parts: CatalogParts) -> Self {
        let mut problems = parts.problems;
        let mut routes = parts.routes;
        let mut has_unmatchable_routes = false;
        for invalid in parts.invalid_routes {
            problems.push(invalid.cause);
            match (invalid.host, invalid.prefix) {
                (Some(host), Some(prefix)) => routes.push(Route::without_service(host, prefix)),
                _ => has_unmatchable_routes = true,
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
            has_unmatchable_routes,
            problems,
            row_digests: RowDigests::default(),
        }
    }

    /// Returns whether a request that matches no route may belong to an invalid one.
    pub fn has_unmatchable_routes(&self) -> bool {
        self.has_unmatchable_routes
    }

    /// Returns descriptions of the invalid parts of the configuration.
    pub fn problems(&self) -> &[String] {
        &self.problems
    }

    /// Returns the route of the host with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(without_port(host))?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the client accounts; `None` if callers need no key.
    pub fn accounts(&self) -> Option<&Accounts> {
        self.accounts.as_ref()
    }

    /// Returns the configuration of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Returns the cache of the rows' digests.
    pub(crate) fn row_digests(&self) -> &RowDigests {
        &self.row_digests
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values()
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    /// Returns whether a route has this name.
    pub fn has_route(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Returns the number of routes.
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
