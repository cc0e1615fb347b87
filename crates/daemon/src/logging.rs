//! Logs as JSON lines on standard output.

use std::time::{SystemTime, UNIX_EPOCH};

use flexi_logger::{FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
use heatherknot_types::prelude::*;
use log::LevelFilter;

use crate::config::LogLevel;
use crate::log_writer::{BoundedWriter, Origin};

/// Starts the logger of one VM's daemon; logs stop when the handle is dropped.
///
/// Each line names the VM and the run of its daemon, by the Unix millisecond of its start.
///
/// # Errors
///
/// Fails where a logger is already set in this process, or the system gives no thread.
pub fn start(level: LogLevel, vm: &VmName) -> Result<LoggerHandle, FlexiLoggerError> {
    let filter = match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    };
    let spec = LogSpecification::builder().default(filter).build();
    let writer = BoundedWriter::start(std::io::stdout(), Origin::new(vm, &run()))?;
    Logger::with(spec).log_to_writer(Box::new(writer)).start()
}

fn run() -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis().to_string()
}
