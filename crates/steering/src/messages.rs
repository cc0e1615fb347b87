//! What the VMs say to each other: requests for grants, grants, load reports.
//!
//! Field names are one letter on the wire, since control may cost a daemon 7 KB a second.

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What a VM asks of one VM of another failure domain, for all places there at once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The number of this request, growing within one run of the holder.
    #[serde(rename = "n")]
    pub ask: u64,
    /// The VM that asks.
    #[serde(rename = "v")]
    pub holder: VmName,
    /// The run of the VM that asks.
    #[serde(rename = "i")]
    pub holder_incarnation: Incarnation,
    /// The failure domain of the VM that asks.
    #[serde(rename = "d")]
    pub domain: DomainName,
    /// The run of the issuer whose grants the wants speak of, where there are any.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub issuer_incarnation: Option<Incarnation>,
    /// One line for each place.
    #[serde(rename = "w")]
    pub wants: Vec<PlaceRequest>,
}

/// What a VM wants for one place and what it holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlaceRequest {
    /// The place.
    #[serde(rename = "p")]
    pub place: PlaceName,
    /// Requests started in a second that the holder wants; zero gives everything back.
    #[serde(rename = "r")]
    pub rate: u32,
    /// Requests at once that the holder wants.
    #[serde(rename = "f")]
    pub in_flight: u32,
    /// The newest grant that the holder has; it never again uses an older one.
    #[serde(rename = "s", default)]
    pub holds: u64,
    /// The rate to which the holder has lowered that grant for good.
    #[serde(rename = "k", default)]
    pub keep_rate: u32,
    /// The requests at once to which the holder has lowered that grant for good.
    #[serde(rename = "g", default)]
    pub keep_in_flight: u32,
}

/// The answer to a [`GrantRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantReply {
    /// The number of the request answered.
    #[serde(rename = "n")]
    pub ask: u64,
    /// The run of the VM that asked.
    #[serde(rename = "h")]
    pub holder_incarnation: Incarnation,
    /// The VM that answers.
    #[serde(rename = "v")]
    pub issuer: VmName,
    /// The run of the VM that answers.
    #[serde(rename = "i")]
    pub issuer_incarnation: Incarnation,
    /// How long the grants last, counted by the holder from before it asked.
    #[serde(rename = "t")]
    pub term: Millis,
    /// The grants, at most one for each place asked for.
    #[serde(rename = "g")]
    pub grants: Vec<Grant>,
    /// The number of the report that `places` makes, counted with [`VmReport::seq`].
    #[serde(rename = "q", default)]
    pub report_seq: u64,
    /// The issuer's load at the places asked for.
    #[serde(rename = "l", default)]
    pub places: Vec<PlaceReport>,
}

/// A bounded, expiring right to send requests to one place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The place.
    #[serde(rename = "p")]
    pub place: PlaceName,
    /// The number of the grant, growing within one run of the issuer.
    #[serde(rename = "s")]
    pub seq: u64,
    /// Requests that may be started in any window of a second.
    #[serde(rename = "r")]
    pub rate: u32,
    /// Requests that may be in progress at once.
    #[serde(rename = "f")]
    pub in_flight: u32,
}

/// What a relayed request carries to show under which grant it was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantToken {
    /// The VM that issued the grant.
    #[serde(rename = "v")]
    pub issuer: VmName,
    /// The run of the VM that issued the grant.
    #[serde(rename = "t")]
    pub issuer_incarnation: Incarnation,
    /// The VM that holds the grant.
    #[serde(rename = "h")]
    pub holder: VmName,
    /// The run of the VM that holds the grant.
    #[serde(rename = "i")]
    pub holder_incarnation: Incarnation,
    /// The place.
    #[serde(rename = "p")]
    pub place: PlaceName,
    /// The number of the grant.
    #[serde(rename = "s")]
    pub seq: u64,
}

/// One VM's load at the places of its failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmReport {
    /// The VM that reports.
    #[serde(rename = "v")]
    pub vm: VmName,
    /// The failure domain of the VM that reports.
    #[serde(rename = "d")]
    pub domain: DomainName,
    /// The run of the VM that reports.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// The number of the report, growing within one run.
    #[serde(rename = "n")]
    pub seq: u64,
    /// The places.
    #[serde(rename = "l")]
    pub places: Vec<PlaceReport>,
}

/// One VM's load at one place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlaceReport {
    /// The place.
    #[serde(rename = "p")]
    pub place: PlaceName,
    /// How old the measurement was when it was sent.
    #[serde(rename = "a", default)]
    pub age: Millis,
    /// Requests started in a second, now.
    #[serde(rename = "r")]
    pub rate: u32,
    /// Requests in a second that the VM's part of the cap allows.
    #[serde(rename = "c")]
    pub allowance: u32,
    /// Requests in a second that the VM could still lend.
    #[serde(rename = "e")]
    pub lendable: u32,
    /// Answers of backend servers that were good, in thousandths.
    #[serde(rename = "h")]
    pub health: u16,
    /// Requests in a second that the place has warmed up to, as this VM sees it.
    #[serde(rename = "w")]
    pub warmed: u32,
    /// The services of the place of which no backend server may get work now.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub without: Vec<ServiceName>,
}
