//! Single-use tickets: who may run one non-idempotent request.

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::mac::{TokenError, TokenKey};
use crate::slots::Member;

/// What every ticket begins with; no caller's own key begins so.
pub const TICKET_PREFIX: &str = "hkt1";

/// A right to run one request once, at one incarnation of one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The only daemon that runs the request.
    #[serde(rename = "o")]
    pub owner: Member,
    /// The service that the request is for.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// The point on the owner's clock at which the ticket ends. Nobody else reads it.
    #[serde(rename = "e")]
    pub expires: Millis,
    /// A random number that tells tickets apart.
    #[serde(rename = "r")]
    pub nonce: u64,
}

impl Ticket {
    /// Gives the text that a caller sends as its idempotency key.
    pub fn to_text(&self, key: &TokenKey) -> String {
        key.sign(TICKET_PREFIX, self)
    }

    /// Reads a ticket; gives nothing where the text is a caller's own key.
    ///
    /// # Errors
    ///
    /// Returns an error where the text has the form of a ticket and is none of this deployment.
    pub fn from_text(text: &str, key: &TokenKey) -> Result<Option<Ticket>, TokenError> {
        let is_ticket = text
            .strip_prefix(TICKET_PREFIX)
            .is_some_and(|rest| rest.starts_with('.'));
        if !is_ticket {
            return Ok(None);
        }
        key.verify(TICKET_PREFIX, text).map(Some)
    }
}
