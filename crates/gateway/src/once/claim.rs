//! The port for claims of callers' idempotency keys.

use std::fmt;
use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use heatherknot_types::prelude::*;
use snafu::Snafu;

use crate::slots::Member;

/// Asks for the right to run the request with a caller's idempotency key.
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

/// Who may run the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The asker: the claim was made by this very call.
    New {
        /// The point on the asker's clock by which the request must have been sent. Later the
        /// claim may have ended and be another's, as where the asker was paused for long.
        start_by: Millis,
    },
    /// This daemon, by an earlier claim. It may be the asker itself.
    Held(Member),
}

/// The claim failed, or its answer was lost.
#[derive(Clone, Debug, Snafu)]
#[snafu(display("{step}: {cause}"))]
pub struct ClaimError {
    /// The step that failed.
    pub step: &'static str,
    /// What was found.
    pub cause: String,
}

/// Makes a claim.
pub type ClaimFn =
    Rc<dyn Fn(ClaimRequest) -> LocalBoxFuture<'static, Result<ClaimOutcome, ClaimError>>>;

/// Claims in the platform's store, by create-if-absent.
#[derive(Clone)]
pub struct ClaimPort {
    /// Makes a claim, or tells who holds it.
    pub claim: ClaimFn,
}

impl fmt::Debug for ClaimPort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClaimPort")
    }
}
