//! The command-line client of operators.

use std::io::{Write, stderr, stdout};
use std::process::ExitCode;

use heatherknot_cli::env::Env;

fn main() -> ExitCode {
    let args = std::env::args_os().skip(1).collect();
    let output = heatherknot_cli::run(args, &Env::from_process());
    // Where nobody reads the output any more, the exit code still tells what happened.
    let _ = stderr().write_all(output.stderr.as_bytes());
    let _ = stdout().write_all(output.stdout.as_bytes());
    output.exit.into()
}
