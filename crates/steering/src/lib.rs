//! Traffic steering decisions: budgets, grants, placement, admission and drains as pure functions.
//!
//! Nothing here performs I/O or reads a clock. Every function takes the time as
//! [`Millis`](heatherknot_types::prelude::Millis) and randomness as `fastrand::Rng`, so that the
//! daemon and the replay make exactly the same decisions.
//!
//! # How the state of one VM is driven
//!
//! Each entry VM keeps one [`Steering`]. Its owner calls
//!
//! 1. `on_plan`, `on_capacity_part`, `on_peers` and `on_delay` when the settings, the VM's part
//!    of its failure domain's capacity, the known VMs or a measured delay change;
//! 2. `tick` ten times a second, which updates meters and warm-up and computes the weights;
//! 3. `request_grants` once a second, which returns at most one `GrantRequest` for each other
//!    failure domain. The owner sends it to the VM named with it; the receiver replies with the
//!    result of `on_grant_request`; the sender passes the reply to `on_grant_reply`, or calls
//!    `on_grant_request_failed`. A reply also carries the issuer's load, so VMs that exchange
//!    grants need no other report; `report` and `on_report` are for VMs that do not;
//! 4. `admit` for each request. `Run` names the backend server, `Relay` the VM to relay the
//!    request to and the grant token to send with it; the receiver calls `admit` with that token.
//!    `Wait` says when to call again with the same request, `Refuse` why it is refused and when
//!    the caller may retry;
//! 5. `finish` exactly once for each `Run` and each `Relay`;
//! 6. `on_lookup` for each look-up, which counts the answer as load until it expires;
//! 7. `explain` and `drain_status` when an operator asks.
//!
//! [`record::step`] performs any of these calls for a [`record::Input`], which is how a recorded
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
