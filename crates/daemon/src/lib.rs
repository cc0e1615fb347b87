//! The daemon of every entry VM: look-ups, request path, steering and control in one process.

pub mod assemble;
pub mod callers;
pub mod capacity_task;
pub mod config;
pub mod context;
pub mod directory_task;
pub mod log_writer;
pub mod logging;
pub mod lookup;
pub mod metrics;
pub mod on_platform;
pub mod operators;
pub mod ports;
pub mod recording;
pub mod settings_task;
pub mod signals;
pub mod start;
pub mod steering_task;
pub mod stop;
