//! The operators' interface of a daemon, as HTTP requests with JSON.
//!
//! Every call is a `POST` to `/v1/<call>` with a JSON object and the operator's key as a bearer
//! token. [`handler`] answers them; what it needs of the daemon it gets as an
//! [`OperatorContext`]. The messages are in [`api`].

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
