//! The operators' command-line client.
//!
//! [`run`] takes the arguments and the environment and returns the output and the exit code;
//! `main` only prints and exits. The commands are in [`ops`], the calls to daemons in [`client`].

pub mod client;
pub mod command;
pub mod env;
pub mod error;
pub mod exit;
mod format;
mod help;
mod key_source;
pub mod ops;
pub mod options;
mod parse;
pub mod report;

use std::ffi::OsString;

use crate::env::Env;
use crate::error::CliError;
use crate::exit::Exit;
use crate::parse::Parsed;
use crate::report::Report;

/// The output and exit code of one run of the program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutput {
    /// The text for standard output.
    pub stdout: String,
    /// The text for standard error.
    pub stderr: String,
    /// The exit code.
    pub exit: Exit,
}

/// Parses the arguments and runs the command they name.
pub fn run(args: Vec<OsString>, env: &Env) -> CommandOutput {
    match parse::parse(args) {
        Ok(Parsed::Help(text)) => CommandOutput {
            stdout: text,
            stderr: String::new(),
            exit: Exit::Ok,
        },
        Ok(Parsed::Run(invocation)) => {
            let json = invocation.options.has(options::Opt::Json);
            to_output(ops::run(&invocation, env), json)
        }
        Err(error) => to_output(Err(error), false),
    }
}

fn to_output(outcome: Result<Report, CliError>, json: bool) -> CommandOutput {
    match outcome {
        Ok(report) => CommandOutput {
            stdout: if json {
                report.json_text()
            } else {
                report.human
            },
            stderr: report.notes,
            exit: report.exit,
        },
        Err(error) => CommandOutput {
            stdout: if json {
                error_to_json(&error)
            } else {
                String::new()
            },
            stderr: format!("heatherknot: {error}\n"),
            exit: error.exit(),
        },
    }
}

fn error_to_json(error: &CliError) -> String {
    format!("{:#}\n", serde_json::json!({ "error": error.to_string() }))
}
