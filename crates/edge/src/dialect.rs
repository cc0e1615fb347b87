//! Names and formats that a platform adapter supplies, as data and plain functions.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use heatherknot_http::{Request, Response};
use heatherknot_types::prelude::*;
use http::{HeaderMap, HeaderName};

use crate::catalog::Catalog;
use crate::registration::Registration;
use crate::rollout::record::{RolloutOrder, RolloutStatus};

/// Decodes a value of the store, or returns why it can't be decoded.
pub type Decoder<T> = Rc<dyn Fn(&str, &Bytes) -> Result<T, String>>;

/// Extracts a request's object from its headers, if it has one.
pub type ObjectReader = Rc<dyn Fn(&HeaderMap) -> Option<Arc<str>>>;

/// Parses a lookup request, or returns why it is not a valid one.
pub type LookupReader = Rc<dyn Fn(&Request) -> Result<LookupQuery, String>>;

/// How the callers, backend servers and store of one platform name things.
#[derive(Clone)]
pub struct Dialect {
    /// Header names of requests and responses.
    pub headers: HeaderNames,
    /// Key names in the store.
    pub keys: KeyNames,
    /// Decodes the catalog.
    pub catalog: Decoder<Catalog>,
    /// Decodes a registration from its key and value.
    pub registration: Decoder<Registration>,
    /// Decodes a rollout order from its key and value.
    pub rollout_order: Decoder<RolloutOrder>,
    /// Encodes the status of a rollout.
    pub rollout_status: Rc<dyn Fn(&RolloutStatus) -> Bytes>,
    /// Extracts a request's object, by which sticky routes choose backend servers.
    pub object: ObjectReader,
    /// Returns whether a request is the platform's readiness check.
    pub is_readiness_check: Rc<dyn Fn(&Request) -> bool>,
    /// Parses a lookup request.
    pub lookup: LookupReader,
    /// Builds the response to a lookup.
    pub lookup_answer: Rc<dyn Fn(&LookupAnswer) -> Response>,
}

/// Header names of requests and responses.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller. Backend servers echo it.
    pub request_id: HeaderName,
    /// Milliseconds that the caller still waits.
    pub time_left: HeaderName,
    /// The only backend server that may run the request.
    pub expected_server: HeaderName,
    /// Marks a response as made by the backend server.
    pub signature: HeaderName,
    /// States that the backend server did not run the request.
    pub not_run: HeaderName,
    /// Number of requests running and waiting at the backend server, and its number of slots.
    pub server_load: HeaderName,
    /// States that the backend server is leaving, by the value `1`.
    pub leaving: HeaderName,
    /// Number of requests per second that the backend server takes from all VMs together.
    pub request_limit: HeaderName,
    /// The caller's key. It is never forwarded.
    pub key: HeaderName,
    /// Client account of the request, set for the backend server.
    pub account: HeaderName,
}

/// Key names in the store.
#[derive(Clone, Debug)]
pub struct KeyNames {
    /// Key of the catalog.
    pub catalog: &'static str,
    /// Prefix of the keys of backend servers.
    pub server_prefix: &'static str,
    /// Prefix of the keys that name evacuated failure domains, whose backend servers get no
    /// requests.
    pub evacuation_prefix: &'static str,
    /// Prefix of the keys of rollout orders; the service follows.
    pub rollout_prefix: &'static str,
    /// Prefix of the keys to which the status of rollouts is written; the service follows.
    pub rollout_status_prefix: &'static str,
}

/// A caller's lookup request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupQuery {
    /// Region of the caller, if stated.
    pub region: Option<RegionName>,
    /// Failure domain of the caller, if stated.
    pub domain: Option<DomainName>,
}

/// Answer to a lookup: where the caller may connect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupAnswer {
    /// Addresses that accept requests.
    pub addresses: Vec<std::net::SocketAddr>,
    /// How long the answer may be cached.
    pub ttl: Millis,
}
