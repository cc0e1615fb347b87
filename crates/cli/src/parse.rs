//! Parses the command line.

use std::ffi::OsString;

use lexopt::Arg;

use crate::command::{Command, CommandSpec};
use crate::error::CliError;
use crate::help;
use crate::options::{COMMON, Opt, Options, ParsedOption};

/// A command with its arguments and options.
#[derive(Clone, Debug)]
pub struct Invocation {
    /// The command to run.
    pub command: Command,
    /// Positional arguments after the command's name.
    pub args: Vec<String>,
    /// The options, each of which the command accepts.
    pub options: Options,
}

/// The result of parsing the command line.
#[derive(Debug)]
pub enum Parsed {
    /// A help or version text to print.
    Help(String),
    /// A command to run.
    Run(Invocation),
}

/// Parses the arguments and checks them against the command's entry in the table.
///
/// # Errors
///
/// Returns [`CliError::Usage`] if the command line is invalid.
pub fn parse(args: Vec<OsString>) -> Result<Parsed, CliError> {
    let mut positional: Vec<String> = Vec::new();
    let mut options = Options::default();
    let mut wants_help = false;
    let mut parser = lexopt::Parser::from_args(args);
    while let Some(arg) = parser.next().map_err(usage_error)? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => wants_help = true,
            Arg::Long("version") | Arg::Short('V') => return Ok(Parsed::Help(help::version())),
            Arg::Long(name) => {
                let unknown = || CliError::usage(format!("unknown option `--{name}`"));
                let opt = Opt::find(name).ok_or_else(unknown)?;
                let value = option_value(&mut parser, opt)?;
                options.parsed.push(ParsedOption { opt, value });
            }
            Arg::Short(name) => {
                return Err(CliError::usage(format!("unknown option `-{name}`")));
            }
            Arg::Value(word) => positional.push(to_utf8(word)?),
        }
    }
    build_invocation(positional, options, wants_help)
}

fn option_value(parser: &mut lexopt::Parser, opt: Opt) -> Result<String, CliError> {
    if opt.spec().value.is_none() {
        return Ok(String::new());
    }
    to_utf8(parser.value().map_err(usage_error)?)
}

fn build_invocation(
    mut positional: Vec<String>,
    options: Options,
    wants_help: bool,
) -> Result<Parsed, CliError> {
    if positional.is_empty() && !wants_help {
        return Err(CliError::usage("no command given"));
    }
    let is_help_command = positional.first().is_some_and(|word| word == "help");
    if is_help_command {
        positional.remove(0);
    }
    let Some(name) = positional.first() else {
        return Ok(Parsed::Help(help::overview()));
    };
    let unknown = || CliError::usage(format!("unknown command `{name}`"));
    let command = Command::find(name).ok_or_else(unknown)?;
    if is_help_command || wants_help {
        return Ok(Parsed::Help(help::command_help(command)));
    }
    let args = positional.split_off(1);
    check_usage(command.spec(), &args, &options)?;
    Ok(Parsed::Run(Invocation {
        command,
        args,
        options,
    }))
}

fn check_usage(spec: &CommandSpec, args: &[String], options: &Options) -> Result<(), CliError> {
    if !(spec.min_args..=spec.max_args).contains(&args.len()) {
        let usage = format!("{} {}", spec.name, spec.args);
        let message = format!(
            "found {} arguments, expected `{}`",
            args.len(),
            usage.trim()
        );
        return Err(CliError::usage(message));
    }
    for option in &options.parsed {
        if !COMMON.contains(&option.opt) && !spec.options.contains(&option.opt) {
            let option = option.opt.spec().name;
            let message = format!("`{}` takes no option `--{option}`", spec.name);
            return Err(CliError::usage(message));
        }
    }
    Ok(())
}

fn to_utf8(word: OsString) -> Result<String, CliError> {
    let error = |word| CliError::usage(format!("an argument that isn't UTF-8: {word:?}"));
    word.into_string().map_err(error)
}

fn usage_error(error: lexopt::Error) -> CliError {
    CliError::usage(error.to_string())
}
