//! Names, clocks, settings in force and outcomes shared by every heatherknot package.
//!
//! Nothing here performs input or output: each type is plain data that a decision
//! function, a message or a log line can carry. The clock and the timer are the ports for
//! time, which tests and replays set.

pub mod clock;
pub mod hash;
pub mod incarnation;
pub mod names;
pub mod outcome;
pub mod plan;
pub mod prelude;
pub mod revision;
pub mod timer;
