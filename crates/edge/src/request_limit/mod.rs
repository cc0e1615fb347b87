//! Enforces the request limits that backend servers state in their responses: how many requests per
//! second a server takes from all VMs together.
//!
//! One VM, on which all VMs agree by rank, issues a permit for each request to a limited server. A
//! VM that wants to send a request asks it first and selects another server if it gets none. The
//! issuer tells all VMs of a new limit, so that they know it before their first requests.

mod announce;
mod exchange;
pub(crate) mod gate;
pub mod issuer;
pub mod messages;
pub mod observed;
pub mod outbox;
pub(crate) mod record;
pub mod return_schedule;
pub mod state;
pub mod status;

use std::rc::Rc;

use heatherknot_peer::MethodTable;

use state::RequestLimits;

pub(crate) use announce::{fetch_from_peers, run};

/// Registers the RPC methods.
pub(crate) fn register(methods: &mut MethodTable, limits: &Rc<RequestLimits>) {
    exchange::register(methods, limits);
    announce::register(methods, limits);
}
