//! The header with which one daemon forwards a request to another.
//!
//! It is signed with the deployment's secret and names the receiver, so that neither a caller
//! nor another deployment can impersonate a daemon.

use heatherknot_http::RequestHead;
use heatherknot_steering::GrantToken;
use heatherknot_types::prelude::*;
use http::HeaderValue;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::mac::{TokenError, TokenKey};
use crate::slots::Member;

/// The request header that daemons add to forwarded requests.
pub const HOP_HEADER: &str = "heatherknot-hop";
/// The maximum number of daemons that a request passes, including the one the caller chose.
pub const MAX_DAEMONS: u8 = 3;

const PREFIX: &str = "hkh1";

/// Why a request is forwarded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HopReason {
    /// The receiver has issued a grant to serve the request.
    #[serde(rename = "g")]
    Grant(GrantToken),
    /// The receiver's incarnation that runs the request, or has run it.
    #[serde(rename = "o")]
    Owner(Incarnation),
}

/// The content of the hop header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hop {
    /// The daemon that forwards the request.
    #[serde(rename = "f")]
    pub from: Member,
    /// The VM that the request is forwarded to.
    #[serde(rename = "t")]
    pub to: VmName,
    /// The number of daemons that the request has passed, including the sender.
    #[serde(rename = "n")]
    pub passed: u8,
    /// Why the request is forwarded.
    #[serde(rename = "r")]
    pub reason: HopReason,
    /// The [`target_digest`] of the request that the header is valid for.
    #[serde(rename = "p")]
    pub target: u64,
}

impl Hop {
    /// Returns the value of the [`HOP_HEADER`], signed with `key`.
    pub fn to_header(&self, key: &TokenKey) -> HeaderValue {
        let token = key.sign(PREFIX, self);
        HeaderValue::try_from(token)
            .expect("a token contains only characters allowed in a header value")
    }

    /// Parses and verifies the [`HOP_HEADER`] of a request that the VM `own` received.
    ///
    /// # Errors
    ///
    /// Returns an error if the header was not issued by a daemon of this deployment for this VM
    /// and this request.
    pub fn from_head(
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

/// Returns a digest of the method and path of a request.
pub fn target_digest(head: &RequestHead) -> u64 {
    let mut digest = Sha256::new();
    digest.update(head.method.as_str());
    digest.update(b" ");
    digest.update(head.path());
    let bytes = digest.finalize();
    u64::from_be_bytes(std::array::from_fn(|i| bytes[i]))
}
