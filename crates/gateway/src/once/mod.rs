//! Requests that must not run twice and bear a key.
//!
//! A ticket from a look-up names the one incarnation that runs the request. A caller's own key
//! is claimed in the platform's store by the incarnation that meets it first. In both cases
//! that incarnation remembers the request, and every other daemon hands repeats to it. Where it
//! is gone, the answer is "unknown": nobody else ever runs the request.

mod claim;
mod keep;
mod memory;
mod run;
mod ticket;

pub use claim::{ClaimError, ClaimOutcome, ClaimPort, ClaimRequest, MakeClaim};
pub use memory::{Begin, Ended, KeptAnswer, RecordKey, RecordLimits, RecordTable, Run};
pub use ticket::{TICKET_PREFIX, Ticket};
