//! Logs as JSON lines on standard output.

use flexi_logger::{FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
use log::LevelFilter;

use crate::config::LogLevel;
use crate::log_writer::BoundedWriter;

/// Starts the logger; logs stop when the handle is dropped.
///
/// # Errors
///
/// Fails where a logger is already set in this process, or the system gives no thread.
pub fn start(level: LogLevel) -> Result<LoggerHandle, FlexiLoggerError> {
    let filter = match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    };
    let spec = LogSpecification::builder().default(filter).build();
    Logger::with(spec)
        .log_to_writer(Box::new(BoundedWriter::start(std::io::stdout())?))
        .start()
}
