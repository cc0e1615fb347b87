//! Registrations of backend servers in the platform's store.

use std::net::SocketAddr;

use heatherknot_types::prelude::*;

/// One run of a backend server, as it registered itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// Identifier of the server. A restarted server may keep the identifier of its previous run.
    pub id: UpstreamName,
    /// The service that it runs.
    pub service: ServiceName,
    /// Address at which it accepts connections. A server of another service may use the address
    /// later.
    pub address: SocketAddr,
    /// The failure domain that it lies in.
    pub domain: DomainName,
    /// Version of the software that it runs, if it reports one.
    pub version: Option<VersionName>,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to shut down and takes no further requests.
    pub leaving: bool,
    /// How much longer it stays cold, counted from when it wrote this registration.
    pub cold_remaining: Millis,
    /// Start of this run, in Unix time by the server's own clock; distinguishes runs under the same
    /// identifier. `None` in deployments whose servers do not report it.
    pub started_at: Option<Millis>,
}
