//! Requests that end the backend servers that run them.
//!
//! Such a request, a poison message or query of death, does harm far beyond its own: each end
//! takes along what else ran there, and some seconds of a server. [`fingerprint`] tells whether
//! two attempts are the same request, [`crash`] whether a server ended under one.

pub(crate) mod crash;
pub mod fingerprint;
