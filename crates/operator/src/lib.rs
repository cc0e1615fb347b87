//! The operator API of a daemon: JSON over HTTP.
//!
//! Every call is a `POST` to `/v1/<call>` with a JSON object as the body and the operator's key as
//! the bearer token. [`handler`] returns the HTTP handler, which reaches the daemon through an
//! [`OperatorContext`]. The request and response types are in [`api`].

pub mod api;
mod call;
mod change;
pub mod context;
mod drain;
pub mod error;
mod handler;
mod read;
mod report;
mod session;

pub use crate::context::{CurrentSettings, OperatorContext};
pub use crate::handler::handler;
