//! Steering decisions: budgets, grants, placement, admission and drains as plain functions.
//!
//! Nothing here performs input or output or reads a clock: every function takes the time as
//! [`Millis`](heatherknot_types::prelude::Millis) and chance as `fastrand::Rng`, so the daemon
//! and the replay make the very same decisions.
//!
//! # How the state of one VM is driven
//!
//! Each entry VM keeps one [`Steering`](steering::Steering). Its owner calls
//!
//! 1. `on_plan`, `on_capacity_part`, `on_peers`, `on_delay` whenever settings, the VM's part of its
//!    failure domain's capacity, the known VMs or a measured delay change;
//! 2. `tick` ten times a second: it ages meters, warms places and works out the weights;
//! 3. `request_grants` once a second: it gives at most one `GrantRequest` for each other failure
//!    domain. The owner sends it to the VM named with it; the receiver answers with what
//!    `on_grant_request` returns; the sender hands that answer to `on_grant_reply`, or calls
//!    `on_grant_request_failed`. An answer also carries the issuer's load, so no other report is needed,
//!    though `report` and `on_report` are there for VMs that have no grants between them;
//! 4. `admit` for each request. `Run` names the backend server, `Relay` the VM to hand the
//!    request to and the grant to send with it; the receiver calls `admit` with that grant.
//!    `Wait` tells when to call again with the same request, `Refuse` why and when to come back;
//! 5. `finish` exactly once for each `Run` and each `Relay`;
//! 6. `on_lookup` for each look-up, which counts the answer as load until it expires;
//! 7. `explain` and `drain_status` when an operator asks.
//!
//! [`record::step`] does any of these from an [`record::Input`], which is how a recorded
//! incident is replayed.

pub mod admission;
pub mod allowance;
pub mod drain;
pub mod explain;
pub mod fair_share;
pub mod grant_requests;
pub mod holder;
pub mod holder_grants;
pub mod issuer;
pub mod lookup;
pub mod messages;
pub mod meter;
pub mod peer;
pub mod placement;
pub mod record;
pub mod report;
pub mod retry;
pub mod steering;
pub mod traffic;
pub mod tuning;
pub mod upstream;
pub mod verdict;
pub mod warm_up;
pub mod window;

pub use messages::{
    Grant, GrantReply, GrantRequest, GrantToken, PlaceReport, PlaceRequest, VmReport,
};
pub use peer::Peer;
pub use steering::{Identity, Steering};
pub use tuning::Tuning;
pub use verdict::{Admission, Arrival, RefusalReason, Ticket, Verdict};
