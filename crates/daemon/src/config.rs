//! The start settings of one daemon, read from a JSON file.
//!
//! They hold only what the daemon must know before it can reach anything else: who and
//! where it is, where the platform is, and which peers to try first. Everything else comes
//! from the settings tree.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use heatherknot_settings::{BootstrapKey, OperatorKey, SettingsError};
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// Shortest deployment secret that is accepted, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// Why start settings were refused. The daemon does not start.
#[derive(Debug, Snafu)]
pub enum ConfigError {
    /// The file could not be read.
    #[snafu(display("start settings {}: cannot read the file: {source}", path.display()))]
    Read {
        /// The file named on the command line.
        path: PathBuf,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The file is not JSON, or a key is unknown, missing or of another kind.
    #[snafu(display("start settings {}: key '{key}': {source}", path.display()))]
    Parse {
        /// The file named on the command line.
        path: PathBuf,
        /// The path of the key, such as `listen.callers`.
        key: String,
        /// What the parser found and expected.
        source: serde_json::Error,
    },
    /// The key of the first operator can't be used.
    #[snafu(display("start settings {}: key 'first_operator': {source}", path.display()))]
    FirstOperator {
        /// The file named on the command line.
        path: PathBuf,
        /// What is wrong with it.
        source: SettingsError,
    },
    /// A value is of the right kind and still can't be used.
    #[snafu(display("start settings {}: key '{key}': found {found}, expected {expected}", path.display()))]
    Value {
        /// The file named on the command line.
        path: PathBuf,
        /// The path of the key.
        key: &'static str,
        /// The value as written, or its kind where it is secret.
        found: String,
        /// What would be accepted.
        expected: &'static str,
    },
}

/// The start settings of one daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The deployment that this daemon belongs to.
    pub deployment: String,
    /// The name of this VM, unique in the deployment.
    pub vm: VmName,
    /// The failure domain that this VM lies in.
    pub domain: DomainName,
    /// Where this daemon listens.
    pub listen: Listen,
    /// Where the platform's services are.
    pub platform: PlatformAddresses,
    /// The peers to try first.
    #[serde(default)]
    pub peers: Vec<PeerAddress>,
    /// The secret that all daemons of the deployment share, at least
    /// [`MIN_SECRET_BYTES`] long.
    pub secret: String,
    /// The key of the first operator, who fills the empty settings.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_operator: Option<FirstOperator>,
    /// How long a planned stop waits for requests in flight, in milliseconds.
    #[serde(default = "default_grace_ms")]
    pub shutdown_grace_ms: u64,
    /// The least severe level that is logged.
    #[serde(default = "default_log_level")]
    pub log_level: LogLevel,
    /// Where to record inputs and decisions as a trace, where that is wanted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub record: Option<Record>,
}

/// The addresses that a daemon listens on; port 0 lets the system choose.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For look-ups and requests of callers.
    pub callers: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
    /// For operators and metrics.
    pub operators: SocketAddr,
}

/// The addresses of the platform's services.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformAddresses {
    /// The key-value service.
    pub store: SocketAddr,
    /// The list of VMs.
    pub vm_list: SocketAddr,
}

/// A peer known from the start.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerAddress {
    /// The name of the peer's VM.
    pub vm: VmName,
    /// The failure domain of the peer.
    pub domain: DomainName,
    /// Where the peer listens for daemons.
    pub peers: SocketAddr,
    /// Where the peer listens for callers.
    pub callers: SocketAddr,
}

/// The key of the first operator: its identifier, and its object as `heatherknot key` prints
/// it. The secret is not in it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FirstOperator {
    /// The identifier of the key.
    pub id: String,
    /// The key as it would stand in the settings under `operators`.
    pub key: serde_json::Map<String, serde_json::Value>,
}

impl FirstOperator {
    /// Gives the key in the form that requests are checked against.
    ///
    /// # Errors
    ///
    /// Fails where the object is not a key; the error names the faults.
    pub fn key(&self) -> Result<BootstrapKey, SettingsError> {
        let key = OperatorKey::read(&self.id, &self.key)?;
        Ok(BootstrapKey {
            id: self.id.as_str().into(),
            key,
        })
    }
}

/// A record of what the daemon sees and decides, for `heatherknot replay`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The file to write.
    pub file: PathBuf,
    /// How long to record, in milliseconds.
    pub for_ms: Millis,
}

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures alone.
    Error,
    /// What an operator may have to act on.
    Warn,
    /// Changes of state.
    Info,
    /// Each decision.
    Debug,
}

fn default_grace_ms() -> u64 {
    30_000
}

fn default_log_level() -> LogLevel {
    LogLevel::Info
}

impl Config {
    /// Reads and checks start settings.
    ///
    /// # Errors
    ///
    /// Fails where the file can't be read, is not the JSON expected, or holds a value that
    /// can't be used; the error names file, key and cause.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        Self::parse(path, &text)
    }

    /// Parses and checks the text of start settings; `path` is for errors alone.
    ///
    /// # Errors
    ///
    /// As [`Config::load`], but for reading.
    pub fn parse(path: &Path, text: &str) -> Result<Self, ConfigError> {
        let mut de = serde_json::Deserializer::from_str(text);
        let cfg: Config = serde_path_to_error::deserialize(&mut de).map_err(|err| {
            let key = err.path().to_string();
            ConfigError::Parse {
                path: path.to_owned(),
                key,
                source: err.into_inner(),
            }
        })?;
        cfg.check(path)?;
        Ok(cfg)
    }

    fn check(&self, path: &Path) -> Result<(), ConfigError> {
        let refuse = |key, found: String, expected| {
            ValueSnafu {
                path,
                key,
                found,
                expected,
            }
            .fail()
        };
        if self.deployment.is_empty() {
            return refuse("deployment", "an empty string".to_owned(), "a name");
        }
        if self.vm.as_str().is_empty() {
            return refuse("vm", "an empty string".to_owned(), "the name of this VM");
        }
        if self.secret.len() < MIN_SECRET_BYTES {
            let found = format!("{} bytes", self.secret.len());
            return refuse("secret", found, "at least 16 bytes");
        }
        if let Some(first) = &self.first_operator {
            first.key().context(FirstOperatorSnafu { path })?;
        }
        if self.peers.iter().any(|peer| peer.vm == self.vm) {
            return refuse("peers", format!("this VM, {}", self.vm), "other VMs only");
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
