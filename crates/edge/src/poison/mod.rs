//! Detects and rejects poison requests: requests that crash the backend servers that run them.
//!
//! Such a request, also called a poison message or query of death, harms more than itself: each
//! crash fails every other request on that server and takes the server down for some seconds. It
//! can come back at any VM with another request identifier, so whatever one VM learns of it has
//! to reach all VMs:
//!
//! - [`fingerprint`] tells whether two attempts are the same request, and
//!   [`diagnosis`](crate::reachability::diagnosis) whether a server crashed while it ran one;
//! - [`suspects`] holds the suspected requests and decides which are rejected, [`clean_runs`]
//!   remembers requests that ran without a crash;
//! - [`guard`] decides before each send whether the request may be sent;
//! - [`propagation`] selects what to send to which peers, [`exchange`] sends it, and [`records`]
//!   keeps rejected requests in the platform's store.

pub mod clean_runs;
pub mod exchange;
pub mod fingerprint;
pub(crate) mod guard;
pub mod propagation;
pub(crate) mod records;
mod state;
pub mod status;
pub mod suspects;

pub use state::PoisonDetector;
