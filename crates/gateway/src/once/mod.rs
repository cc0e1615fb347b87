//! Requests that must not run twice and bear a key.
//!
//! A ticket from a look-up names the one incarnation that runs the request. A caller's own key
//! is claimed in the platform's store by the incarnation that meets it first. In both cases
//! that incarnation remembers the request, and every other daemon hands repeats to it. Where it
//! is gone, the answer is "unknown": nobody else ever runs the request.

mod claim;
mod records;
mod run;
mod stored_response;
mod ticket;

pub use claim::{ClaimError, ClaimFn, ClaimOutcome, ClaimPort, ClaimRequest};
pub use records::{
    BeginOutcome, Completion, RecordKey, RecordLimits, RecordTable, RunGuard, StoredResponse,
};
pub use ticket::{TICKET_PREFIX, Ticket};
