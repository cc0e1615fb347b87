//! The header with which one daemon hands a request to another.
//!
//! It is sealed with the deployment's secret and names the receiver, so that neither a caller
//! nor another deployment can pass for a daemon.

use heatherknot_http::RequestHead;
use heatherknot_steering::GrantToken;
use heatherknot_types::prelude::*;
use http::HeaderValue;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::mac::{TokenError, TokenKey};
use crate::slots::Member;

/// The request header between daemons.
pub const HOP_HEADER: &str = "heatherknot-hop";
/// Daemons that a request passes at most, the one that the caller chose included.
pub const MAX_DAEMONS: u8 = 3;

const PREFIX: &str = "hkh1";

/// Why a request is handed over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HopReason {
    /// To be served there, under a grant.
    #[serde(rename = "g")]
    Grant(GrantToken),
    /// Because that incarnation runs the request, or has run it.
    #[serde(rename = "o")]
    Owner(Incarnation),
}

/// What a daemon says to the next one about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hop {
    /// The daemon that hands the request over.
    #[serde(rename = "f")]
    pub from: Member,
    /// The VM that it is handed to.
    #[serde(rename = "t")]
    pub to: VmName,
    /// Daemons that the request has passed, the sender included.
    #[serde(rename = "n")]
    pub passed: u8,
    /// Why it is handed over.
    #[serde(rename = "r")]
    pub reason: HopReason,
    /// The digest of the method and path that this is for, as [`target_digest`] gives it.
    #[serde(rename = "p")]
    pub target: u64,
}

impl Hop {
    /// Gives the value of the [`HOP_HEADER`].
    pub fn to_header(&self, key: &TokenKey) -> HeaderValue {
        let token = key.sign(PREFIX, self);
        HeaderValue::try_from(token).expect("a token is header-safe text")
    }

    /// Reads the [`HOP_HEADER`] of a request received by `own`.
    ///
    /// # Errors
    ///
    /// Returns an error where the header was not made by a daemon of this deployment for this
    /// VM and this request.
    pub fn of_head(
        head: &RequestHead,
        key: &TokenKey,
        own: &VmName,
    ) -> Result<Option<Hop>, TokenError> {
        let Some(value) = head.headers.get(HOP_HEADER) else {
            return Ok(None);
        };
        let token = value.to_str().map_err(|_| TokenError::Malformed)?;
        let hop: Hop = key.verify(PREFIX, token)?;
        if hop.to != *own || hop.target != target_digest(head) {
            return Err(TokenError::Forged);
        }
        Ok(Some(hop))
    }
}

/// Digests the method and path of a request.
pub fn target_digest(head: &RequestHead) -> u64 {
    let mut digest = Sha256::new();
    digest.update(head.method.as_str());
    digest.update(b" ");
    digest.update(head.path());
    let bytes = digest.finalize();
    u64::from_be_bytes(std::array::from_fn(|i| bytes[i]))
}
