//! Messages between VMs: grant requests, grants and load reports.
//!
//! Field names are one letter on the wire, as a daemon has 7 KB per second for control traffic.

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A request for grants from one VM of another failure domain, for all places there at once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Sequence number of the request, increasing within one incarnation of the holder.
    #[serde(rename = "n")]
    pub ask: u64,
    /// The requesting VM.
    #[serde(rename = "v")]
    pub holder: VmName,
    /// The incarnation of the requesting VM.
    #[serde(rename = "i")]
    pub holder_incarnation: Incarnation,
    /// The failure domain of the requesting VM.
    #[serde(rename = "d")]
    pub domain: DomainName,
    /// The incarnation of the issuer whose grants `wants` refers to, if any are held.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub issuer_incarnation: Option<Incarnation>,
    /// One entry for each place.
    #[serde(rename = "w")]
    pub wants: Vec<PlaceRequest>,
}

/// The capacity requested at one place, and the grant currently held there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlaceRequest {
    /// The place.
    #[serde(rename = "p")]
    pub place: PlaceName,
    /// Requested rate in requests per second; zero gives the grant back.
    #[serde(rename = "r")]
    pub rate: u32,
    /// Requested number of requests in flight.
    #[serde(rename = "f")]
    pub in_flight: u32,
    /// Sequence number of the holder's newest grant; older ones are never used again.
    #[serde(rename = "s", default)]
    pub holds: u64,
    /// Rate to which the holder has permanently lowered that grant.
    #[serde(rename = "k", default)]
    pub keep_rate: u32,
    /// Requests in flight to which the holder has permanently lowered that grant.
    #[serde(rename = "g", default)]
    pub keep_in_flight: u32,
}

/// The reply to a [`GrantRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantReply {
    /// Sequence number of the request that is answered.
    #[serde(rename = "n")]
    pub ask: u64,
    /// The incarnation of the requesting VM.
    #[serde(rename = "h")]
    pub holder_incarnation: Incarnation,
    /// The VM that replies.
    #[serde(rename = "v")]
    pub issuer: VmName,
    /// The incarnation of the VM that replies.
    #[serde(rename = "i")]
    pub issuer_incarnation: Incarnation,
    /// Lifetime of the grants, which the holder counts from before it sent the request.
    #[serde(rename = "t")]
    pub term: Millis,
    /// The grants, at most one for each requested place.
    #[serde(rename = "g")]
    pub grants: Vec<Grant>,
    /// Sequence number of the report in `places`, from the same sequence as [`VmReport::seq`].
    #[serde(rename = "q", default)]
    pub report_seq: u64,
    /// The issuer's load at the requested places.
    #[serde(rename = "l", default)]
    pub places: Vec<PlaceReport>,
}

/// A limited, expiring right to send requests to one place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The place.
    #[serde(rename = "p")]
    pub place: PlaceName,
    /// Sequence number of the grant, increasing within one incarnation of the issuer.
    #[serde(rename = "s")]
    pub seq: u64,
    /// Requests that may start in any window of one second.
    #[serde(rename = "r")]
    pub rate: u32,
    /// Requests that may be in flight at once.
    #[serde(rename = "f")]
    pub in_flight: u32,
}

/// Sent with a relayed request to identify the grant it uses.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantToken {
    /// The VM that issued the grant.
    #[serde(rename = "v")]
    pub issuer: VmName,
    /// The incarnation of the VM that issued the grant.
    #[serde(rename = "t")]
    pub issuer_incarnation: Incarnation,
    /// The VM that holds the grant.
    #[serde(rename = "h")]
    pub holder: VmName,
    /// The incarnation of the VM that holds the grant.
    #[serde(rename = "i")]
    pub holder_incarnation: Incarnation,
    /// The place.
    #[serde(rename = "p")]
    pub place: PlaceName,
    /// Sequence number of the grant.
    #[serde(rename = "s")]
    pub seq: u64,
}

/// One VM's load at the places of its failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmReport {
    /// The reporting VM.
    #[serde(rename = "v")]
    pub vm: VmName,
    /// The failure domain of the reporting VM.
    #[serde(rename = "d")]
    pub domain: DomainName,
    /// The incarnation of the reporting VM.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Sequence number of the report, increasing within one incarnation.
    #[serde(rename = "n")]
    pub seq: u64,
    /// One entry for each place.
    #[serde(rename = "l")]
    pub places: Vec<PlaceReport>,
}

/// One VM's load at one place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlaceReport {
    /// The place.
    #[serde(rename = "p")]
    pub place: PlaceName,
    /// Age of the measurement when it was sent.
    #[serde(rename = "a", default)]
    pub age: Millis,
    /// Current rate in requests per second.
    #[serde(rename = "r")]
    pub rate: u32,
    /// Rate that the VM's part of the cap allows, in requests per second.
    #[serde(rename = "c")]
    pub allowance: u32,
    /// Rate that the VM could still lend, in requests per second.
    #[serde(rename = "e")]
    pub lendable: u32,
    /// Share of successful responses from backend servers, in thousandths.
    #[serde(rename = "h")]
    pub health: u16,
    /// Rate to which the place has warmed up, as seen by this VM, in requests per second.
    #[serde(rename = "w")]
    pub warmed: u32,
    /// Services of the place that have no usable backend server now.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub without: Vec<ServiceName>,
}
