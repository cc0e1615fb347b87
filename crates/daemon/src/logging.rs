//! Logs as JSON lines on standard output.

use flexi_logger::{FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
use log::LevelFilter;

use crate::config::LogLevel;

/// Starts the logger; logs stop when the handle is dropped.
///
/// # Errors
///
/// Fails where a logger is already set in this process.
pub fn start(level: LogLevel) -> Result<LoggerHandle, FlexiLoggerError> {
    let filter = match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    };
    let spec = LogSpecification::builder().default(filter).build();
    Logger::with(spec)
        .log_to_stdout()
        .format(flexi_logger::json_format)
        .start()
}
