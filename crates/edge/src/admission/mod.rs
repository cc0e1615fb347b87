//! Decides which requests get the slots of backend servers when there are too few for all.

pub mod caller_budget;
pub mod returns;
pub mod urgency;
