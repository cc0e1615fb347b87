//! The record of a claim in the store.

use std::fmt;
use std::net::SocketAddr;

use heatherknot_settings::Digest;
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The store key of a claim, built from the service and the caller's idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimKey(String);

impl ClaimKey {
    /// Creates the key of a claim. It contains only the hash of the caller's text, so that the
    /// text is unrestricted and cannot refer to the claims of another service.
    pub fn new(account: &AccountName, service: &ServiceName, text: &str) -> Self {
        let hash = Digest::of_bytes(text.as_bytes());
        Self(format!("hk/claim/{account}/{service}/{hash}"))
    }

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The process of a daemon that may run the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimOwner {
    /// The VM of the daemon.
    #[serde(rename = "v")]
    pub vm: VmName,
    /// The incarnation of the daemon's process.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// The address at which the daemon accepts connections from peers.
    #[serde(rename = "a")]
    pub address: SocketAddr,
}

/// A random number that distinguishes a claim from all others, including those of the same process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Nonce(pub u64);

impl fmt::Display for Nonce {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A request to claim a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The key to claim.
    pub key: ClaimKey,
    /// The claimant, which runs the request if it wins the claim.
    pub owner: ClaimOwner,
    /// The nonce of this claim, which is the same in all attempts.
    pub nonce: Nonce,
}

/// The value stored under the key of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ClaimValue {
    #[serde(flatten)]
    pub owner: ClaimOwner,
    #[serde(rename = "n")]
    pub nonce: Nonce,
}
