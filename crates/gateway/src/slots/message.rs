//! Messages between the VMs of a failure domain about the slots of its upstreams.
//!
//! Field names are one letter on the wire. Times are sent as the duration that remains, never as
//! a point in time, because the clocks of two VMs are not compared.

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// One upstream of one service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UpstreamKey {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// The name of the upstream, unique within the service.
    #[serde(rename = "u")]
    pub upstream: UpstreamName,
}

/// One incarnation of an entry VM that holds a share of its failure domain's capacity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The VM.
    #[serde(rename = "v")]
    pub vm: VmName,
    /// The incarnation; each start of the VM's daemon has a new one.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
}

/// The entry VMs of a failure domain as one version of its capacity ledger lists them.
///
/// A VM stays listed for as long as it may use slots. It is removed only when it is permanently
/// gone, or when it uses no slots and has itself applied a list without it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// The version of the ledger. The first VM ever to join makes version 1.
    #[serde(rename = "n")]
    pub version: u64,
    /// The VMs.
    #[serde(rename = "m")]
    pub list: Vec<Member>,
}

/// A period in which one VM is the home of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HomeEpoch {
    /// The home.
    #[serde(rename = "h")]
    pub home: Member,
    /// The version of the capacity ledger that made the VM the home.
    #[serde(rename = "n")]
    pub version: u64,
}

/// Identifies one loan of a slot. The borrower assigns it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LoanId {
    /// The VM that uses the slot.
    #[serde(rename = "b")]
    pub borrower: Member,
    /// A number that the borrower never reuses.
    #[serde(rename = "k")]
    pub number: u64,
}

/// Asks the home of an upstream for one of its slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcquireSlot {
    /// The upstream.
    #[serde(rename = "u")]
    pub key: UpstreamKey,
    /// The loan.
    #[serde(rename = "l")]
    pub loan: LoanId,
    /// The class of the request.
    #[serde(rename = "c")]
    pub class: Class,
    /// How long the request has waited already.
    #[serde(rename = "a")]
    pub waited: Millis,
    /// How long the call may wait for a slot at the home.
    #[serde(rename = "w")]
    pub wait: Millis,
    /// Maximum duration of the loan. The borrower counts it from before it sent the request.
    #[serde(rename = "t")]
    pub term: Millis,
    /// The epoch under which the borrower accepts slots of the upstream.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub known: Option<HomeEpoch>,
}

/// The reply to [`AcquireSlot`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcquireReply {
    /// The slot is lent under this epoch.
    #[serde(rename = "l")]
    Lent(HomeEpoch),
    /// No slot became free in the time allowed.
    #[serde(rename = "b")]
    Busy,
    /// The receiver is not the home of the upstream, or not yet.
    #[serde(rename = "n")]
    NotHome,
    /// The upstream is leaving or draining and gets no new work.
    #[serde(rename = "d")]
    Leaving,
}

/// Releases a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseSlot {
    /// The upstream.
    #[serde(rename = "u")]
    pub key: UpstreamKey,
    /// The loan.
    #[serde(rename = "l")]
    pub loan: LoanId,
    /// Whether the upstream announced in its response that it is leaving.
    #[serde(rename = "d", default)]
    pub leaving: bool,
}

/// Extends the loan of a slot while the response is still being streamed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExtendSlot {
    /// The upstream.
    #[serde(rename = "u")]
    pub key: UpstreamKey,
    /// The loan.
    #[serde(rename = "l")]
    pub loan: LoanId,
    /// Maximum duration of the loan from now on.
    #[serde(rename = "t")]
    pub term: Millis,
}

/// Asks a VM to relinquish upstreams, because the sender is becoming their home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdoptSlots {
    /// The VM that becomes the home.
    #[serde(rename = "h")]
    pub home: Member,
    /// The members under which it is the home.
    #[serde(rename = "m")]
    pub members: Members,
    /// The upstreams.
    #[serde(rename = "u")]
    pub keys: Vec<UpstreamKey>,
}

/// The reply to [`AdoptSlots`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdoptReply {
    /// The receiver uses these slots, and accepts further ones only from the new home.
    #[serde(rename = "a")]
    Adopted(Vec<UpstreamState>),
    /// The receiver knows a newer list of members.
    #[serde(rename = "n")]
    Newer(Members),
}

/// What one VM knows about the slots in use of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamState {
    /// The upstream.
    #[serde(rename = "u")]
    pub key: UpstreamKey,
    /// The newest epoch under which the VM has lent or borrowed slots.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub previous: Option<HomeEpoch>,
    /// The slots in use that the VM reports.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub loans: Vec<ActiveLoan>,
    /// How much longer slots of a VM that is gone must be held back.
    #[serde(rename = "w", default)]
    pub held: Millis,
}

/// A slot in use, with the maximum time left.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveLoan {
    /// The loan.
    #[serde(rename = "l")]
    pub loan: LoanId,
    /// The time left, including the reclaim margin.
    #[serde(rename = "t")]
    pub left: Millis,
}
