//! The names and formats that a platform's adapter supplies, as data and plain functions.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use heatherknot_http::{Request, Response};
use heatherknot_types::prelude::*;
use http::{HeaderMap, HeaderName};

use crate::catalog::Catalog;
use crate::registration::Registration;

/// Reads a value of the store, or tells why it can't be read.
pub type Decode<T> = Rc<dyn Fn(&str, &Bytes) -> Result<T, String>>;

/// Reads a request's object from its headers, where it has one.
pub type ReadObject = Rc<dyn Fn(&HeaderMap) -> Option<Arc<str>>>;

/// Reads a look-up, or tells why it is none.
pub type ReadLookup = Rc<dyn Fn(&Request) -> Result<LookupQuery, String>>;

/// How callers, backend servers and the store of one platform name things.
#[derive(Clone)]
pub struct Dialect {
    /// Headers of requests and responses.
    pub headers: HeaderNames,
    /// Keys of the store.
    pub keys: KeyNames,
    /// Reads the catalog.
    pub catalog: Decode<Catalog>,
    /// Reads a registration, from its key and value.
    pub registration: Decode<Registration>,
    /// Reads a request's object, by which sticky routes choose backend servers.
    pub object: ReadObject,
    /// Says whether a request asks whether this daemon is ready.
    pub is_readiness_check: Rc<dyn Fn(&Request) -> bool>,
    /// Reads a look-up.
    pub lookup: ReadLookup,
    /// Writes the answer to a look-up.
    pub lookup_answer: Rc<dyn Fn(&LookupAnswer) -> Response>,
}

/// The headers of requests and responses.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Tells one attempt of a caller from others; backend servers repeat it.
    pub request_id: HeaderName,
    /// The milliseconds that the caller still waits.
    pub time_left: HeaderName,
    /// The only run of a backend server that may take the request.
    pub expected_server: HeaderName,
    /// Marks a response as a backend server's own.
    pub signature: HeaderName,
    /// Says that the backend server did not run the request.
    pub not_run: HeaderName,
    /// The requests running and waiting at the backend server, and its slots.
    pub server_load: HeaderName,
    /// The caller's key. It is passed on to nobody.
    pub key: HeaderName,
    /// The client account that a request is of, for the backend server.
    pub account: HeaderName,
}

/// The keys of the store.
#[derive(Clone, Debug)]
pub struct KeyNames {
    /// The catalog.
    pub catalog: &'static str,
    /// The beginning of the keys of backend servers.
    pub server_prefix: &'static str,
    /// The beginning of the keys that name failure domains whose backend servers are to get
    /// nothing.
    pub evacuation_prefix: &'static str,
}

/// A caller's question where to connect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupQuery {
    /// The caller's region, where it says so.
    pub region: Option<RegionName>,
    /// The caller's failure domain, where it says so.
    pub domain: Option<DomainName>,
}

/// Where a caller may connect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupAnswer {
    /// The addresses for requests.
    pub addresses: Vec<std::net::SocketAddr>,
    /// How long the answer may be kept.
    pub ttl: Millis,
}
