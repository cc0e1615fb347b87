//! Registrations of backend servers in the platform's store.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use heatherknot_types::prelude::*;

/// Largest valid number of slots. It is far above that of any server; a larger one would draw all requests
/// of a service.
pub const MAX_SLOTS: u32 = 10_000;
/// Longest valid name, in bytes: that of a key of the store.
const MAX_NAME_LEN: usize = 200;

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

impl Registration {
    /// Returns whether both are of the same run, at the same place.
    pub fn is_same_run(&self, other: &Registration) -> bool {
        let identity = |reg: &Registration| (reg.started_at, reg.address);
        identity(self) == identity(other)
            && self.version == other.version
            && self.service == other.service
            && self.domain == other.domain
    }

    /// Checks the values that no server can have.
    ///
    /// # Errors
    ///
    /// Returns the value and what is wrong with it.
    pub fn check(&self) -> Result<(), String> {
        let version = self
            .version
            .as_ref()
            .map(|version| ("version", version.as_str()));
        let names = [
            ("service", self.service.as_str()),
            ("failure domain", self.domain.as_str()),
        ];
        for (what, name) in names.into_iter().chain(version) {
            let len = name.len();
            if len == 0 || len > MAX_NAME_LEN {
                return Err(format!(
                    "the name of its {what} has {len} bytes instead of 1 to {MAX_NAME_LEN}"
                ));
            }
        }
        let ip = self.address.ip();
        let is_host =
            !ip.is_unspecified() && !ip.is_multicast() && ip != IpAddr::V4(Ipv4Addr::BROADCAST);
        if !is_host || self.address.port() == 0 {
            return Err(format!("{} is no address of a server", self.address));
        }
        if self.slots > MAX_SLOTS {
            return Err(format!("{} slots are more than {MAX_SLOTS}", self.slots));
        }
        Ok(())
    }
}
