//! The options of the command line.

use std::net::SocketAddr;

use heatherknot_types::prelude::*;

use crate::error::CliError;

/// An option of the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opt {
    /// `--server`: the operators' address of a daemon; may be repeated.
    Server,
    /// `--key-file`: the file that holds the operator's key.
    KeyFile,
    /// `--json`: print JSON.
    Json,
    /// `--timeout`: how long to try, in seconds.
    Timeout,
    /// `--base`: the revision that the change is based on, for detecting conflicts.
    Base,
    /// `--command-id`: an identifier that makes a repeated change take effect once.
    CommandId,
    /// `--dry-run`: check the change without making it.
    DryRun,
    /// `--wait`: wait until the change is in force on every daemon.
    Wait,
    /// `--path`: a path in the settings tree.
    Path,
    /// `--after`: list only changes after this revision.
    After,
    /// `--limit`: the maximum number of changes to look at.
    Limit,
    /// `--branch`: the branch of a new key.
    Branch,
    /// `--rights`: the rights of a new key, separated by commas.
    Rights,
    /// `--holder`: who holds a new key, or who releases requests.
    Holder,
    /// `--secret-file`: the file for the secret of a new key.
    SecretFile,
    /// `--policy`: the policy of a replay.
    Policy,
    /// `--compare`: replay under every policy.
    Compare,
    /// `--charts`: the directory for charts of a replay.
    Charts,
    /// `--around`: also show the last state that the VM logged before the request's end.
    Around,
}

/// The name, value and description of an option.
pub struct OptSpec {
    /// The option that this entry describes.
    pub opt: Opt,
    /// Its name after two hyphens.
    pub name: &'static str,
    /// The placeholder of its value in the help; `None` for a flag.
    pub value: Option<&'static str>,
    /// The description shown in the help.
    pub doc: &'static str,
}

const fn spec(
    opt: Opt,
    name: &'static str,
    value: Option<&'static str>,
    doc: &'static str,
) -> OptSpec {
    OptSpec {
        opt,
        name,
        value,
        doc,
    }
}

/// Every option, in the order of [`Opt`].
pub static OPTIONS: [OptSpec; 19] = [
    spec(
        Opt::Server,
        "server",
        Some("ADDRESS"),
        "A daemon's operators' address; may be given several times. Else HEATHERKNOT_SERVERS, separated by commas.",
    ),
    spec(
        Opt::KeyFile,
        "key-file",
        Some("FILE"),
        "The file with the operator's key. Else HEATHERKNOT_KEY_FILE, or the key itself in HEATHERKNOT_KEY.",
    ),
    spec(Opt::Json, "json", None, "Print JSON."),
    spec(
        Opt::Timeout,
        "timeout",
        Some("SECONDS"),
        "How long to try; 20 where left out.",
    ),
    spec(
        Opt::Base,
        "base",
        Some("REVISION"),
        "The revision that the change was made from. Changes since of the same settings are then a conflict.",
    ),
    spec(
        Opt::CommandId,
        "command-id",
        Some("ID"),
        "Names the command: run again with the same name it takes effect once.",
    ),
    spec(
        Opt::DryRun,
        "dry-run",
        None,
        "Check the change and show it, but don't make it.",
    ),
    spec(
        Opt::Wait,
        "wait",
        None,
        "Wait until the change is in force on every daemon.",
    ),
    spec(
        Opt::Path,
        "path",
        Some("PATH"),
        "The node; the root where left out.",
    ),
    spec(
        Opt::After,
        "after",
        Some("REVISION"),
        "Only changes after this revision.",
    ),
    spec(
        Opt::Limit,
        "limit",
        Some("COUNT"),
        "Look at this many changes at most.",
    ),
    spec(
        Opt::Branch,
        "branch",
        Some("ACCOUNT"),
        "The branch of the new key; the root where left out.",
    ),
    spec(
        Opt::Rights,
        "rights",
        Some("WORDS"),
        "The rights of the new key, separated by commas: read, change, drain, audit, platform.",
    ),
    spec(
        Opt::Holder,
        "holder",
        Some("NAME"),
        "Who holds the new key.",
    ),
    spec(
        Opt::SecretFile,
        "secret-file",
        Some("FILE"),
        "The new file that takes the secret of the new key.",
    ),
    spec(
        Opt::Policy,
        "policy",
        Some("NAME"),
        "The policy to replay; the daemons' own where left out.",
    ),
    spec(
        Opt::Compare,
        "compare",
        None,
        "Replay every policy and show them side by side.",
    ),
    spec(
        Opt::Charts,
        "charts",
        Some("DIRECTORY"),
        "Draw a chart for each trace and policy there.",
    ),
    spec(
        Opt::Around,
        "around",
        None,
        "Show what the VM believed before the request's end, too.",
    ),
];

/// The options that every command takes.
pub const COMMON: [Opt; 4] = [Opt::Server, Opt::KeyFile, Opt::Json, Opt::Timeout];

/// The timeout where `--timeout` is not given, in seconds.
const DEFAULT_TIMEOUT_S: u64 = 20;
/// The longest timeout, in seconds.
const MAX_TIMEOUT_S: u64 = 24 * 3600;

impl Opt {
    /// Returns the option's entry in [`OPTIONS`].
    pub fn spec(self) -> &'static OptSpec {
        &OPTIONS[self as usize]
    }

    /// Returns the option with the given name.
    pub fn find(name: &str) -> Option<Opt> {
        let mut specs = OPTIONS.iter();
        specs.find(|spec| spec.name == name).map(|spec| spec.opt)
    }
}

/// One option of the command line with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedOption {
    /// The option.
    pub opt: Opt,
    /// Its value; empty for a flag.
    pub value: String,
}

/// The options of the command line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// The options in the order of the command line, with repetitions.
    pub parsed: Vec<ParsedOption>,
}

impl Options {
    /// Returns whether the option is present.
    pub fn has(&self, opt: Opt) -> bool {
        self.parsed.iter().any(|option| option.opt == opt)
    }

    /// Returns the value of an option: the last one where it is repeated.
    pub fn value(&self, opt: Opt) -> Option<&str> {
        self.values(opt).last()
    }

    /// Returns every value of an option.
    pub fn values(&self, opt: Opt) -> impl Iterator<Item = &str> {
        let matching = self.parsed.iter().filter(move |option| option.opt == opt);
        matching.map(|option| option.value.as_str())
    }

    /// Returns the value of an option as a number.
    ///
    /// # Errors
    ///
    /// Returns [`CliError::Usage`] if the value is not a whole number.
    pub fn number(&self, opt: Opt) -> Result<Option<u64>, CliError> {
        let name = opt.spec().name;
        let read = |text| number(&format!("--{name}"), text);
        self.value(opt).map(read).transpose()
    }

    /// Returns the value of an option as a revision.
    ///
    /// # Errors
    ///
    /// Returns [`CliError::Usage`] if the value is not a revision.
    pub fn revision(&self, opt: Opt) -> Result<Option<Revision>, CliError> {
        let name = opt.spec().name;
        let read = |text| revision(&format!("--{name}"), text);
        self.value(opt).map(read).transpose()
    }

    /// Returns the timeout.
    ///
    /// # Errors
    ///
    /// Returns [`CliError::Usage`] if the value is not a number of seconds from 1 to a day.
    pub fn timeout(&self) -> Result<Millis, CliError> {
        let seconds = self.number(Opt::Timeout)?.unwrap_or(DEFAULT_TIMEOUT_S);
        if !(1..=MAX_TIMEOUT_S).contains(&seconds) {
            let message = format!("--timeout: found `{seconds}`, expected 1 to {MAX_TIMEOUT_S}");
            return Err(CliError::usage(message));
        }
        Ok(Millis(1000 * seconds))
    }

    /// Returns the daemons' addresses: those of `--server`, or else of the environment.
    ///
    /// # Errors
    ///
    /// Returns [`CliError::Usage`] if there are none, or one isn't an IP number and a port.
    pub fn servers(&self, env_servers: Option<&str>) -> Result<Vec<SocketAddr>, CliError> {
        let mut texts: Vec<&str> = self.values(Opt::Server).collect();
        if texts.is_empty() {
            texts = env_servers.map_or(Vec::new(), |list| list.split(',').collect());
        }
        if texts.is_empty() {
            let message = "no daemon named: expected --server or HEATHERKNOT_SERVERS";
            return Err(CliError::usage(message));
        }
        let parse = |text: &str| {
            let expected = "expected an IP number and a port";
            let error = |_| CliError::usage(format!("--server: found `{text}`, {expected}"));
            text.trim().parse().map_err(error)
        };
        texts.into_iter().map(parse).collect()
    }
}

/// Parses a number of the command line.
///
/// # Errors
///
/// Returns [`CliError::Usage`] with the argument's name if the text is invalid.
pub fn number(name: &str, text: &str) -> Result<u64, CliError> {
    let error = |_| CliError::usage(format!("{name}: found `{text}`, expected a whole number"));
    text.parse().map_err(error)
}

/// Parses a revision of the command line, with or without the prefix `r`.
///
/// # Errors
///
/// Returns [`CliError::Usage`] with the argument's name if the text is invalid.
pub fn revision(name: &str, text: &str) -> Result<Revision, CliError> {
    number(name, text.strip_prefix('r').unwrap_or(text)).map(Revision)
}
