//! The table of commands.

use crate::options::Opt;

/// A command of the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Shows the node at a path.
    Get,
    /// Shows the settings in force at a node and the origin of each.
    Effective,
    /// Sets the value at a path.
    Set,
    /// Removes a node.
    Unset,
    /// Replaces a node with the content of a JSON file.
    Apply,
    /// Reverts a change as a new revision.
    Undo,
    /// Starts a drain.
    Drain,
    /// Ends a drain.
    Undrain,
    /// Shows the difference between two revisions.
    Diff,
    /// Lists the changes of the key's branch.
    History,
    /// Shows the audit trail and checks its hash chain.
    Audit,
    /// Shows which revision is in force on each daemon.
    Status,
    /// Waits until a revision is in force on every daemon.
    Wait,
    /// Explains how the requests of a caller are routed.
    Explain,
    /// Shows the holder and the rights of the operator's key.
    WhoAmI,
    /// Generates a new operator's key.
    NewKey,
    /// Replays traces and checks their stated outcomes.
    Replay,
    /// Shows the log lines of one request across VMs.
    Trace,
    /// Counts requests that were refused, failed or late, by reason, route, VM and second.
    Losses,
    /// Shows the limits and usage of client accounts as daemons report them.
    Accounts,
    /// Lists requests during which backend servers ended.
    Rejected,
    /// Lists the request limits that backend servers state.
    Limits,
    /// Shows which requests get the slots of busy servers.
    Admission,
    /// Lists the rollouts of services' versions.
    Rollouts,
    /// Allows rejected requests to run again.
    Release,
}

/// The name, arguments and options of a command.
pub struct CommandSpec {
    /// The command that this entry describes.
    pub command: Command,
    /// The name on the command line.
    pub name: &'static str,
    /// The arguments as shown in the help.
    pub args: &'static str,
    /// The minimum number of arguments.
    pub min_args: usize,
    /// The maximum number of arguments.
    pub max_args: usize,
    /// The options in addition to [`COMMON`](crate::options::COMMON).
    pub options: &'static [Opt],
    /// The description shown in the help.
    pub doc: &'static str,
}

const CHANGE_OPTIONS: &[Opt] = &[Opt::Base, Opt::CommandId, Opt::DryRun, Opt::Wait];
const APPLY_OPTIONS: &[Opt] = &[Opt::Path, Opt::Base, Opt::CommandId, Opt::DryRun, Opt::Wait];
const LIST_OPTIONS: &[Opt] = &[Opt::After, Opt::Limit];
const NEW_KEY_OPTIONS: &[Opt] = &[Opt::Branch, Opt::Rights, Opt::Holder, Opt::SecretFile];

const REPLAY_OPTIONS: &[Opt] = &[Opt::Policy, Opt::Compare, Opt::Charts];

const TRACE_OPTIONS: &[Opt] = &[Opt::Around];
const RELEASE_OPTIONS: &[Opt] = &[Opt::DryRun, Opt::Holder];

/// The maximum number of arguments of `trace` (an identifier and 1024 logs) and of `losses`.
const MAX_LOGS: usize = 1_025;
/// The maximum number of daemon addresses; `release` counts its first argument, too.
const MAX_DAEMONS: usize = 1_024;
/// The maximum number of traces of one replay.
const MAX_TRACES: usize = 256;

const fn spec(
    command: Command,
    name: &'static str,
    args: &'static str,
    arg_range: (usize, usize),
    options: &'static [Opt],
    doc: &'static str,
) -> CommandSpec {
    CommandSpec {
        command,
        name,
        args,
        min_args: arg_range.0,
        max_args: arg_range.1,
        options,
        doc,
    }
}

/// Every command, in the order of [`Command`], which is also that of the help.
pub static COMMANDS: [CommandSpec; 25] = [
    spec(
        Command::Get,
        "get",
        "[PATH]",
        (0, 1),
        &[],
        "Show the node at a path.",
    ),
    spec(
        Command::Effective,
        "effective",
        "[PATH]",
        (0, 1),
        &[],
        "Show the settings in force at a node and where each value comes from.",
    ),
    spec(
        Command::Set,
        "set",
        "PATH VALUE",
        (2, 2),
        CHANGE_OPTIONS,
        "Set a value; VALUE is JSON, or a text.",
    ),
    spec(
        Command::Unset,
        "unset",
        "PATH",
        (1, 1),
        CHANGE_OPTIONS,
        "Remove a node, so that its values are inherited.",
    ),
    spec(
        Command::Apply,
        "apply",
        "FILE",
        (1, 1),
        APPLY_OPTIONS,
        "Put the JSON of a file at a node in place of what is there.",
    ),
    spec(
        Command::Undo,
        "undo",
        "REVISION",
        (1, 1),
        CHANGE_OPTIONS,
        "Take one change back, as a new revision.",
    ),
    spec(
        Command::Drain,
        "drain",
        "vm|server|place|region NAME",
        (2, 2),
        CHANGE_OPTIONS,
        "Move traffic away from a VM (DOMAIN/VM), a backend server (ADDRESS), a place or a region.",
    ),
    spec(
        Command::Undrain,
        "undrain",
        "vm|server|place|region NAME",
        (2, 2),
        CHANGE_OPTIONS,
        "End a drain.",
    ),
    spec(
        Command::Diff,
        "diff",
        "FROM [TO]",
        (1, 2),
        &[Opt::Path],
        "Show the difference between two revisions.",
    ),
    spec(
        Command::History,
        "history",
        "",
        (0, 0),
        LIST_OPTIONS,
        "List the changes of the key's branch.",
    ),
    spec(
        Command::Audit,
        "audit",
        "",
        (0, 0),
        LIST_OPTIONS,
        "Show who changed what in the key's branch, and check the chain of hashes.",
    ),
    spec(
        Command::Status,
        "status",
        "",
        (0, 0),
        &[],
        "Show which revision is in force on which daemon, and since when.",
    ),
    spec(
        Command::Wait,
        "wait",
        "REVISION",
        (1, 1),
        &[],
        "Wait until a revision is in force on every daemon.",
    ),
    spec(
        Command::Explain,
        "explain",
        "SERVICE CLIENT",
        (2, 2),
        &[],
        "Explain why a caller or a client block goes where it goes.",
    ),
    spec(
        Command::WhoAmI,
        "whoami",
        "",
        (0, 0),
        &[],
        "Show what the operator's key may do.",
    ),
    spec(
        Command::NewKey,
        "new-key",
        "ID",
        (1, 1),
        NEW_KEY_OPTIONS,
        "Draw a key: the secret goes to a new file, the object for `operators/ID` to the output.",
    ),
    spec(
        Command::Replay,
        "replay",
        "TRACE...",
        (1, MAX_TRACES),
        REPLAY_OPTIONS,
        "Replay traces and compare what comes out with the outcomes that they state.",
    ),
    spec(
        Command::Trace,
        "trace",
        "ID LOG...",
        (2, MAX_LOGS),
        TRACE_OPTIONS,
        "Tell the story of a request from the logs of VMs.",
    ),
    spec(
        Command::Losses,
        "losses",
        "LOG...",
        (1, MAX_LOGS),
        &[],
        "Say why requests were refused, failed or late, by reason, route, VM and moment, from the logs of VMs.",
    ),
    spec(
        Command::Accounts,
        "accounts",
        "ADDRESS...",
        (1, MAX_DAEMONS),
        &[],
        "Show limits, requests and what is admitted of each client account, as daemons know it; ADDRESS is a daemon's for metrics.",
    ),
    spec(
        Command::Rejected,
        "rejected",
        "ADDRESS...",
        (1, MAX_DAEMONS),
        &[],
        "List the requests under which backend servers ended, and which are rejected for it; ADDRESS is a daemon's for metrics.",
    ),
    spec(
        Command::Limits,
        "limits",
        "ADDRESS...",
        (1, MAX_DAEMONS),
        &[],
        "List the backend servers that state how many requests per second they take, what they got from the daemons asked and what was held back; ADDRESS is a daemon's for metrics.",
    ),
    spec(
        Command::Admission,
        "admission",
        "ADDRESS...",
        (1, MAX_DAEMONS),
        &[],
        "Show requests for slots by service and urgency, why some were rejected, and the accounts over their share, in the last two seconds; ADDRESS is a daemon's for metrics.",
    ),
    spec(
        Command::Rollouts,
        "rollouts",
        "ADDRESS...",
        (1, MAX_DAEMONS),
        &[],
        "List the latest rollout of each service with its stage, the outcomes at both versions and the reason of its verdict; ADDRESS is a daemon's for metrics.",
    ),
    spec(
        Command::Release,
        "release",
        "FINGERPRINT|route=NAME|all ADDRESS...",
        (2, MAX_DAEMONS),
        RELEASE_OPTIONS,
        "Let rejected requests run again; the first daemon that answers tells the others. The key is the deployment's secret.",
    ),
];

impl Command {
    /// Returns the command's entry in [`COMMANDS`].
    pub fn spec(self) -> &'static CommandSpec {
        &COMMANDS[self as usize]
    }

    /// Returns the command with the given name.
    pub fn find(name: &str) -> Option<Command> {
        let mut specs = COMMANDS.iter();
        specs
            .find(|spec| spec.name == name)
            .map(|spec| spec.command)
    }
}
