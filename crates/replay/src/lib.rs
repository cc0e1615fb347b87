//! Replay of recorded traces against stated outcomes, with baselines and charts.
//!
//! A trace is an ordered list of what daemons saw. [`parse::read`] reads it; a replay feeds
//! it to the decision functions that the daemon calls, and compares what comes out with the
//! outcomes that the trace states.

pub mod backend;
pub mod baseline;
pub mod brain;
pub mod callers;
pub mod chart;
pub mod compare;
mod control;
pub mod engine;
pub mod error;
pub mod fleet;
pub mod gauge;
pub mod index;
pub mod journal;
mod lines;
pub mod measure;
pub mod network;
pub mod parse;
pub mod policy;
pub mod record;
pub mod report;
mod requests;
pub mod run;
mod slots;
pub mod trace;
pub mod write;

pub use error::{Error, Result};
pub use run::{Options, RunReport, run};
