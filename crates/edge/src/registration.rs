//! What a backend server says of itself in the platform's store.

use std::net::SocketAddr;

use heatherknot_types::prelude::*;

/// One run of a backend server, as it registered itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// Its identifier. A server that starts again may have the one of its last run.
    pub id: UpstreamName,
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it accepts connections. Another service's server may have the address later.
    pub address: SocketAddr,
    /// The failure domain that it lies in.
    pub domain: DomainName,
    /// The requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave and takes no further requests.
    pub leaving: bool,
    /// How long it stays cold, counted from when it wrote this.
    pub cold_remaining: Millis,
    /// When this run began, in the server's own Unix time; tells runs under one identifier
    /// apart. Servers of some deployments don't tell it.
    pub started_at: Option<Millis>,
}
