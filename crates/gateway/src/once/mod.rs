//! At-most-once execution of requests that carry an idempotency key.
//!
//! The key is either a ticket from a look-up, which names the one incarnation that runs the
//! request, or the caller's own key, which the incarnation that receives it first claims in the
//! platform's store. In both cases that incarnation keeps a record of the request, and every
//! other daemon forwards repeats to it. If it is gone, the outcome is "unknown": no other
//! incarnation ever runs the request.

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
