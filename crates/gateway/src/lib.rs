//! The request path of an entry VM: admission, queueing, upstream selection, retries and
//! at-most-once execution.
//!
//! [`Gateway::handle`] turns a caller's request into exactly one response. The response says
//! whether a backend server answered, the request did not run, or whether it ran is unknown.
//! `heatherknot_steering` makes the decisions; this crate applies them to real requests, shares
//! the slots of upstreams among the VMs of a failure domain ([`slots`]) and keeps requests that
//! must not run twice from doing so ([`once`]).

mod admit;
mod answer;
mod call;
mod context;
mod deliver;
mod gateway;
mod hop;
mod leaving;
mod local;
mod mac;
mod metrics;
pub mod once;
mod payload;
mod probe;
mod queues;
mod relay;
mod run;
mod settings;
pub mod slots;
mod wait_estimator;

pub use answer::{REASON_HEADER, Reason, Refusal};
pub use call::{ATTEMPT_HEADER, KEPT_HEADERS, is_idempotent};
pub use context::{GatewayContext, HandOver, HandOverError, HandOverPort};
pub use gateway::{DrainReport, Gateway};
pub use hop::{HOP_HEADER, Hop, HopReason, MAX_DAEMONS, target_digest};
pub use leaving::LeavingSource;
pub use mac::{TokenError, TokenKey};
pub use settings::GatewaySettings;
