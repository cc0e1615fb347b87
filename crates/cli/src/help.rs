//! Help texts, generated from the tables of commands and options.

use std::fmt::Write as _;

use crate::command::{COMMANDS, Command};
use crate::options::{COMMON, Opt};

const EXIT_CODES: &str = "Exit codes: 0 done, 1 failed, 2 wrong command line, 3 change not \
accepted, 4 not known whether the change was accepted (run it again with the same --command-id).\n";

const PATH_SYNTAX: &str = "A PATH is written with slashes from the root (platform/places/north-1) or as \
ACCOUNT:REST (utilities/port-louis:gallery/queue_len).\n";

/// Returns the program's name and version.
pub fn version() -> String {
    format!("heatherknot {}\n", env!("CARGO_PKG_VERSION"))
}

/// Returns the list of commands and common options.
pub fn overview() -> String {
    let mut text = "Usage: heatherknot COMMAND [ARGUMENTS] [OPTIONS]\n\nCommands:\n".to_string();
    // Writing to a `String` can't fail, here and below.
    for spec in &COMMANDS {
        let usage = format!("{} {}", spec.name, spec.args);
        let _ = writeln!(text, "  {usage:<38} {}", spec.doc);
    }
    text.push_str("\nOptions of every command:\n");
    push_options(&mut text, &COMMON);
    let _ = write!(text, "\n{PATH_SYNTAX}{EXIT_CODES}");
    text
}

/// Returns the help of one command.
pub fn command_help(command: Command) -> String {
    let spec = command.spec();
    let usage = format!("{} {}", spec.name, spec.args);
    let mut text = format!(
        "Usage: heatherknot {} [OPTIONS]\n\n{}\n",
        usage.trim(),
        spec.doc
    );
    text.push_str("\nOptions:\n");
    push_options(&mut text, spec.options);
    push_options(&mut text, &COMMON);
    let _ = write!(text, "\n{PATH_SYNTAX}{EXIT_CODES}");
    text
}

fn push_options(text: &mut String, options: &[Opt]) {
    for opt in options {
        let spec = opt.spec();
        let usage = format!("--{} {}", spec.name, spec.value.unwrap_or_default());
        let _ = writeln!(text, "  {usage:<24} {}", spec.doc);
    }
}
