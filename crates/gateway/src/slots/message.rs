//! What the VMs of one failure domain say to each other about the slots of its upstreams.
//!
//! Field names are one letter on the wire. Spans of time are what remains, never points, as
//! no two clocks are compared.

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// One upstream of one service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UpstreamKey {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// The upstream, unique in the service.
    #[serde(rename = "u")]
    pub upstream: UpstreamName,
}

/// One run of an entry VM that has a part of its failure domain's capacity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The VM.
    #[serde(rename = "v")]
    pub vm: VmName,
    /// The run of the VM.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
}

/// The entry VMs of a failure domain as one version of its capacity ledger lists them.
///
/// A VM stays listed for as long as it may use slots: it is struck off only when it is gone for
/// good, or when it uses none and has itself taken over a list without it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// The version of the ledger. The first VM ever to join makes version 1.
    #[serde(rename = "n")]
    pub version: u64,
    /// The VMs.
    #[serde(rename = "m")]
    pub list: Vec<Member>,
}

/// The time in which one VM is the home of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HomeEpoch {
    /// The home.
    #[serde(rename = "h")]
    pub home: Member,
    /// The version of the capacity ledger that made it the home.
    #[serde(rename = "n")]
    pub version: u64,
}

/// Names one use of one slot. The VM that uses the slot draws it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LoanId {
    /// The VM that uses the slot.
    #[serde(rename = "b")]
    pub borrower: Member,
    /// A number that the borrower uses once.
    #[serde(rename = "k")]
    pub number: u64,
}

/// Asks the home of an upstream for one of its slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcquireSlot {
    /// The upstream.
    #[serde(rename = "u")]
    pub key: UpstreamKey,
    /// The name of the use.
    #[serde(rename = "l")]
    pub loan: LoanId,
    /// The class of the request.
    #[serde(rename = "c")]
    pub class: Class,
    /// How long the request has waited already.
    #[serde(rename = "a")]
    pub waited: Millis,
    /// How long the home may let this message wait for a slot.
    #[serde(rename = "w")]
    pub wait: Millis,
    /// How long the slot is used at most, counted by the borrower from before it asked.
    #[serde(rename = "t")]
    pub term: Millis,
    /// The epoch under which the borrower takes slots of the upstream.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub known: Option<HomeEpoch>,
}

/// The answer to [`AcquireSlot`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcquireReply {
    /// The slot is lent under this epoch.
    #[serde(rename = "l")]
    Lent(HomeEpoch),
    /// No slot came free in the time given.
    #[serde(rename = "b")]
    Busy,
    /// The receiver is not the home of the upstream, or not yet.
    #[serde(rename = "n")]
    NotHome,
    /// The upstream is leaving or left alone and gets no new work.
    #[serde(rename = "d")]
    Leaving,
}

/// Gives a slot back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseSlot {
    /// The upstream.
    #[serde(rename = "u")]
    pub key: UpstreamKey,
    /// The name of the use.
    #[serde(rename = "l")]
    pub loan: LoanId,
    /// Whether the upstream said in its answer that it is leaving.
    #[serde(rename = "d", default)]
    pub leaving: bool,
}

/// Prolongs the use of a slot whose answer is still being streamed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExtendSlot {
    /// The upstream.
    #[serde(rename = "u")]
    pub key: UpstreamKey,
    /// The name of the use.
    #[serde(rename = "l")]
    pub loan: LoanId,
    /// How much longer the slot is used at most.
    #[serde(rename = "t")]
    pub term: Millis,
}

/// Asks a VM to let go of upstreams, as the sender becomes their home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdoptSlots {
    /// The VM that becomes the home.
    #[serde(rename = "h")]
    pub home: Member,
    /// The VMs that make it the home.
    #[serde(rename = "m")]
    pub members: Members,
    /// The upstreams.
    #[serde(rename = "u")]
    pub keys: Vec<UpstreamKey>,
}

/// The answer to [`AdoptSlots`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdoptReply {
    /// The receiver uses these slots, and will take no other except from the new home.
    #[serde(rename = "a")]
    Adopted(Vec<UpstreamState>),
    /// The receiver knows of newer members.
    #[serde(rename = "n")]
    Newer(Members),
}

/// What one VM knows of the use of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamState {
    /// The upstream.
    #[serde(rename = "u")]
    pub key: UpstreamKey,
    /// The newest epoch under which the VM has seen slots lent.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub previous: Option<HomeEpoch>,
    /// The slots in use that the VM answers for.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub loans: Vec<ActiveLoan>,
    /// How much longer slots of a VM that is gone must be kept free.
    #[serde(rename = "w", default)]
    pub held: Millis,
}

/// A slot in use and for how much longer at most.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveLoan {
    /// The name of the use.
    #[serde(rename = "l")]
    pub loan: LoanId,
    /// The time left, margin included.
    #[serde(rename = "t")]
    pub left: Millis,
}
