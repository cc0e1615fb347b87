//! Single-use tickets, which name the daemon that may run one non-idempotent request.

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::mac::{TokenError, TokenKey};
use crate::slots::Member;

/// The prefix of every ticket. A caller's own key must not start with it and a dot.
pub const TICKET_PREFIX: &str = "hkt1";

/// The right to have one request run once, by one incarnation of one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The only daemon that runs the request.
    #[serde(rename = "o")]
    pub owner: Member,
    /// The service that the request is for.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// The time on the owner's clock at which the ticket expires. Only the owner reads it.
    #[serde(rename = "e")]
    pub expires: Millis,
    /// A random number that makes the ticket unique.
    #[serde(rename = "r")]
    pub nonce: u64,
}

impl Ticket {
    /// Returns the text that a caller sends as its idempotency key.
    pub fn to_text(&self, key: &TokenKey) -> String {
        key.sign(TICKET_PREFIX, self)
    }

    /// Parses a ticket. Returns `None` if the text is a caller's own key.
    ///
    /// # Errors
    ///
    /// Returns an error if the text has the ticket prefix and was not issued by this deployment.
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
