//! Runs the daemon where routes and backend servers are registered on the platform.

use std::path::{Path, PathBuf};

use heatherknot_edge::daemon;
use heatherknot_edge::settings::EdgeConfig;
use heatherknot_platform as platform;
use monoio::{LegacyDriver, RuntimeBuilder};

use crate::config::LogLevel;
use crate::logging;
use crate::signals::{ReloadSignal, StopSignals};

/// Gives the path of the start settings that the platform names.
pub fn settings_path() -> Option<PathBuf> {
    std::env::var_os(platform::SETTINGS_VARIABLE).map(PathBuf::from)
}

/// Reads and checks start settings.
///
/// # Errors
///
/// Fails where the file can't be read, is not the JSON expected, or holds a value that can't
/// be used; the text names file, key and cause.
pub fn load(path: &Path) -> Result<EdgeConfig, String> {
    let fail = |cause: String| format!("start settings {}: {cause}", path.display());
    let text = std::fs::read_to_string(path)
        .map_err(|error| fail(format!("cannot read the file: {error}")))?;
    let mut de = serde_json::Deserializer::from_str(&text);
    let cfg: EdgeConfig = serde_path_to_error::deserialize(&mut de)
        .map_err(|error| fail(format!("key '{}': {}", error.path(), error.inner())))?;
    check(&cfg).map_err(fail)?;
    Ok(cfg)
}

fn check(cfg: &EdgeConfig) -> Result<(), String> {
    log_level(cfg).map(drop)?;
    if !cfg.domains.contains_key(&cfg.domain) {
        return Err(format!(
            "key 'domains': found no region for '{}', this VM's domain",
            cfg.domain
        ));
    }
    if cfg.secret.len() < crate::config::MIN_SECRET_BYTES {
        let found = cfg.secret.len();
        return Err(format!(
            "key 'secret': found {found} bytes, expected at least 16 bytes"
        ));
    }
    Ok(())
}

fn log_level(cfg: &EdgeConfig) -> Result<LogLevel, String> {
    let text = serde_json::Value::from(cfg.log_level.as_str());
    serde_json::from_value(text).map_err(|error| format!("key 'log_level': {error}"))
}

/// Runs a daemon until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails where the start settings can't be used or an address can't be listened on.
pub fn run(path: &Path) -> Result<(), String> {
    let cfg = load(path)?;
    let _logger = logging::start(log_level(&cfg)?, &cfg.vm).map_err(|e| e.to_string())?;
    // The epoll driver by name: the default one would use io_uring where it can.
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    let mut runtime = runtime.map_err(|e| format!("start the runtime: {e}"))?;
    let stop = StopSignals::register().map_err(|e| format!("set signal handlers: {e}"))?;
    let reload = ReloadSignal::register().map_err(|e| format!("set signal handlers: {e}"))?;
    let platform = platform::connect(&cfg);
    let until = async {
        if let Err(error) = stop.wait().await {
            log::error!(error:% = error; "waiting for signals failed");
        }
    };
    let path = path.to_owned();
    let running = async move {
        monoio::spawn(async move {
            if let Err(error) = reload.each(|| reread(&path)).await {
                log::error!(error:% = error; "waiting for reload signals failed");
            }
        });
        daemon::run(cfg, platform, until).await
    };
    runtime.block_on(running).map_err(|e| e.to_string())
}

/// Checks changed start settings. Addresses, names and bounds hold for the whole run of a
/// process, so what was changed is used from the next start on.
fn reread(path: &Path) {
    match load(path) {
        Ok(_) => log::info!("start settings were changed; they hold from the next start on"),
        Err(error) => {
            log::warn!(error = error.as_str(); "changed start settings can't be used; those of the start stay in force")
        }
    }
}
