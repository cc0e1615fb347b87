//! Decides which requests get the slots of backend servers when there are too few for all.
//!
//! A free slot is always used. Only a request whose best server is busy is decided here: whether it
//! may wait there, or is rejected before anything is sent.

pub mod caller_budget;
pub mod control;
pub mod fair_share;
pub(crate) mod gate;
pub mod returns;
pub mod status;
pub mod urgency;
