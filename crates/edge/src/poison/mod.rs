//! Requests that end the backend servers that run them.
//!
//! Such a request, a poison message or query of death, does harm far beyond its own: each end
//! takes along what else ran there, and some seconds of a server. It comes again with another
//! identifier at any VM, so what one VM learns of it all must know:
//!
//! - [`fingerprint`] tells whether two attempts are the same request, [`crash`] whether a server
//!   ended under one;
//! - [`suspects`] holds the cases and says which are rejected, [`clean_runs`] what speaks for a
//!   request;
//! - [`guard`] decides at each send whether the request may go;
//! - [`told`] says whom a VM tells what, [`exchange`] does it, [`records`] keeps rejected requests in the platform's store.

pub mod clean_runs;
pub(crate) mod crash;
pub mod exchange;
pub mod fingerprint;
pub(crate) mod guard;
pub(crate) mod records;
mod state;
pub mod status;
pub mod suspects;
pub mod told;

pub use state::PoisonDetector;
