//! The port for claims on callers' idempotency keys.

use std::fmt;
use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use heatherknot_types::prelude::*;
use snafu::Snafu;

use crate::slots::Member;

/// A request for the right to run the request with a caller's idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The client account that owns the service.
    pub account: AccountName,
    /// The service.
    pub service: ServiceName,
    /// The caller's key.
    pub key: String,
    /// The daemon that would run the request.
    pub owner: Member,
}

/// Which daemon may run the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The calling daemon: this call made the claim.
    New {
        /// The time on the calling daemon's clock by which the request must have been sent. Later
        /// the claim may have expired and another daemon may hold it, as after a long pause of
        /// the process.
        start_by: Millis,
    },
    /// This daemon, by an earlier claim. It may be the calling daemon itself.
    Held(Member),
}

/// The claim failed or its reply was lost. It may have taken effect.
#[derive(Clone, Debug, Snafu)]
#[snafu(display("{step}: {cause}"))]
pub struct ClaimError {
    /// The step that failed.
    pub step: &'static str,
    /// The cause.
    pub cause: String,
}

/// The function that makes a claim.
pub type ClaimFn =
    Rc<dyn Fn(ClaimRequest) -> LocalBoxFuture<'static, Result<ClaimOutcome, ClaimError>>>;

/// Access to the claims in the platform's store, which are made by create-if-absent.
#[derive(Clone)]
pub struct ClaimPort {
    /// Creates a claim, or returns its holder.
    pub claim: ClaimFn,
}

impl fmt::Debug for ClaimPort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClaimPort")
    }
}
