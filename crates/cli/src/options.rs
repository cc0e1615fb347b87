//! The options of the command line.

use std::net::SocketAddr;

use heatherknot_types::prelude::*;

use crate::error::CliError;

/// An option.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opt {
    /// Addresses of daemons.
    Server,
    /// The file that holds the operator's key.
    KeyFile,
    /// Print JSON.
    Json,
    /// How long to try.
    Timeout,
    /// The revision that the operator had before them.
    Base,
    /// The identifier of the command.
    CommandId,
    /// Check only.
    DryRun,
    /// Wait until the change is in force everywhere.
    Wait,
    /// A path in the tree.
    Path,
    /// Only what comes after a revision.
    After,
    /// The most entries.
    Limit,
    /// The branch of a new key.
    Branch,
    /// The rights of a new key.
    Rights,
    /// Who holds a new key.
    Holder,
    /// The file for the secret of a new key.
    SecretFile,
    /// The policy of a replay.
    Policy,
    /// Replay under every policy.
    Compare,
    /// The directory for charts.
    Charts,
    /// `--around`.
    Around,
}

/// How an option is written.
pub struct OptSpec {
    /// The option.
    pub opt: Opt,
    /// Its name after two hyphens.
    pub name: &'static str,
    /// What its value is called; none for a flag.
    pub value: Option<&'static str>,
    /// What it does.
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

/// Every option.
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

/// How long the program tries where the command line doesn't say, in seconds.
const DEFAULT_TIMEOUT_S: u64 = 20;
/// The longest time to try, in seconds.
const MAX_TIMEOUT_S: u64 = 24 * 3600;

impl Opt {
    /// Gives how the option is written.
    pub fn spec(self) -> &'static OptSpec {
        &OPTIONS[self as usize]
    }

    /// Finds an option by its name.
    pub fn find(name: &str) -> Option<Opt> {
        let mut specs = OPTIONS.iter();
        specs.find(|spec| spec.name == name).map(|spec| spec.opt)
    }
}

/// One option as it was given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedOption {
    /// The option.
    pub opt: Opt,
    /// Its value; empty for a flag.
    pub value: String,
}

/// The options that were given.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// In the order of the command line.
    pub parsed: Vec<ParsedOption>,
}

impl Options {
    /// Tells whether the option was given.
    pub fn has(&self, opt: Opt) -> bool {
        self.parsed.iter().any(|option| option.opt == opt)
    }

    /// Gives the value of an option; the last one counts.
    pub fn value(&self, opt: Opt) -> Option<&str> {
        self.values(opt).last()
    }

    /// Gives every value of an option.
    pub fn values(&self, opt: Opt) -> impl Iterator<Item = &str> {
        let matching = self.parsed.iter().filter(move |option| option.opt == opt);
        matching.map(|option| option.value.as_str())
    }

    /// Gives a number.
    ///
    /// # Errors
    ///
    /// Gives [`CliError::Usage`] where the value is none.
    pub fn number(&self, opt: Opt) -> Result<Option<u64>, CliError> {
        let name = opt.spec().name;
        let read = |text| number(&format!("--{name}"), text);
        self.value(opt).map(read).transpose()
    }

    /// Gives a revision.
    ///
    /// # Errors
    ///
    /// Gives [`CliError::Usage`] where the value is none.
    pub fn revision(&self, opt: Opt) -> Result<Option<Revision>, CliError> {
        let name = opt.spec().name;
        let read = |text| revision(&format!("--{name}"), text);
        self.value(opt).map(read).transpose()
    }

    /// Gives how long to try.
    ///
    /// # Errors
    ///
    /// Gives [`CliError::Usage`] where the value is no number of seconds up to a day.
    pub fn timeout(&self) -> Result<Millis, CliError> {
        let seconds = self.number(Opt::Timeout)?.unwrap_or(DEFAULT_TIMEOUT_S);
        if !(1..=MAX_TIMEOUT_S).contains(&seconds) {
            let message = format!("--timeout: found `{seconds}`, expected 1 to {MAX_TIMEOUT_S}");
            return Err(CliError::usage(message));
        }
        Ok(Millis(1000 * seconds))
    }

    /// Gives the addresses of the daemons.
    ///
    /// # Errors
    ///
    /// Gives [`CliError::Usage`] where there are none, or one isn't an IP number and a port.
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

/// Reads a number of the command line.
///
/// # Errors
///
/// Gives [`CliError::Usage`] with the argument's name.
pub fn number(name: &str, text: &str) -> Result<u64, CliError> {
    let error = |_| CliError::usage(format!("{name}: found `{text}`, expected a whole number"));
    text.parse().map_err(error)
}

/// Reads a revision of the command line, with or without its `r`.
///
/// # Errors
///
/// Gives [`CliError::Usage`] with the argument's name.
pub fn revision(name: &str, text: &str) -> Result<Revision, CliError> {
    number(name, text.strip_prefix('r').unwrap_or(text)).map(Revision)
}
