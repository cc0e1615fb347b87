//! Enforces the request limits that backend servers state in their responses: how many requests per
//! second a server takes from all VMs together.
//!
//! One VM, on which all VMs agree by rank, issues a permit for each request to a limited server. A
//! VM that wants to send a request asks it first and selects another server if it gets none.

mod exchange;
pub(crate) mod gate;
pub mod issuer;
pub mod observed;
pub(crate) mod record;
pub mod return_schedule;
pub mod state;
pub mod status;

pub(crate) use exchange::register;
