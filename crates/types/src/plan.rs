//! The settings in force, compiled from the tree into the form that daemons read.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The most that a place, region, link or account may take at any instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cap {
    /// Requests started in a second.
    pub per_second: u32,
    /// Requests in progress at once.
    pub in_flight: u32,
}

/// All settings in force at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The revision that this plan was compiled from.
    pub revision: Revision,
    /// The regions and their caps.
    pub regions: BTreeMap<RegionName, RegionPlan>,
    /// The failure domains.
    pub domains: BTreeMap<DomainName, DomainPlan>,
    /// The capped links between regions, in one direction each.
    pub links: Vec<LinkPlan>,
    /// The places and their caps.
    pub places: BTreeMap<PlaceName, PlacePlan>,
    /// The client accounts that own services, and their parts of the places.
    #[serde(default)]
    pub accounts: BTreeMap<AccountName, AccountPlan>,
    /// The services of every client account.
    pub services: BTreeMap<ServiceName, ServicePlan>,
}

/// A region in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RegionPlan {
    /// The most that all places of the region may take together.
    pub cap: Cap,
    /// Whether an operator is moving traffic away from the region.
    pub draining: bool,
}

/// A failure domain in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DomainPlan {
    /// The region that the failure domain lies in.
    pub region: RegionName,
    /// The entry VMs that an operator is moving traffic away from.
    pub draining_vms: Vec<VmName>,
}

/// A capped link from one region to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinkPlan {
    /// The region that traffic comes from.
    pub from: RegionName,
    /// The region that traffic goes to.
    pub to: RegionName,
    /// The most that the link may carry.
    pub cap: Cap,
}

/// A place in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacePlan {
    /// The failure domain that the place lies in.
    pub domain: DomainName,
    /// The most that the place may take.
    pub cap: Cap,
    /// Whether an operator is moving traffic away from the place.
    pub draining: bool,
}

/// A client account's parts of each place that it uses, in thousandths of the place's cap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountPlan {
    /// The most that the account may take.
    pub share_permille: u16,
    /// What the account gets however much other accounts ask for.
    pub guaranteed_permille: u16,
}

/// A service in force, with every inherited value filled in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServicePlan {
    /// The client account that owns the service.
    pub account: AccountName,
    /// The most that the account may take in each place, as a part of the place's cap in
    /// thousandths. In a plan that names no `accounts` it is what the account is guaranteed.
    pub account_share_permille: u16,
    /// What callers get where they name no class.
    pub class: Class,
    /// Time allowed for a request that names no deadline.
    pub deadline: Millis,
    /// Largest request body, in bytes.
    pub max_body: u64,
    /// Requests that may wait in one class's queue on one entry VM.
    pub queue_len: u32,
    /// Retries allowed for each thousand first tries.
    pub retry_permille: u16,
    /// How long a caller may keep a look-up answer.
    pub lookup_ttl: Millis,
    /// How much latency counts against headroom, in thousandths: 1000 is latency alone.
    pub latency_weight_permille: u16,
    /// The most that traffic onto a place may grow in a second, in thousandths of its cap.
    pub growth_permille: u16,
    /// The requests that run at most once, each as a method, one space and a path prefix
    /// (`POST /submissions`); `GET` and `HEAD` are always idempotent.
    pub at_most_once: Vec<String>,
    /// The backend servers of the service.
    pub upstreams: Vec<UpstreamPlan>,
}

/// One backend server as one service uses it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamPlan {
    /// The name of the upstream, unique in its service.
    pub name: UpstreamName,
    /// The place that it belongs to.
    pub place: PlaceName,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Requests that it can run at once.
    pub slots: u16,
    /// Connections that it accepts.
    pub connections: u16,
    /// Whether an operator is moving traffic away from it.
    pub draining: bool,
}
