//! What a backend server says of itself in the platform's store.

use std::net::SocketAddr;

use heatherknot_types::prelude::*;

/// One run of a backend server, as it registered itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// The identifier of this run; a restarted server has another.
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
    pub cold_left: Millis,
}
