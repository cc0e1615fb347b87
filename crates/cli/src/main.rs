//! The command-line client of operators.

use std::io::{Write, stderr, stdout};
use std::process::ExitCode;

use heatherknot_cli::env::Env;

fn main() -> ExitCode {
    let args = std::env::args_os().skip(1).collect();
    let finished = heatherknot_cli::run(args, &Env::of_process());
    // Where nobody reads the output any more, the exit code still tells what happened.
    let _ = stderr().write_all(finished.stderr.as_bytes());
    let _ = stdout().write_all(finished.stdout.as_bytes());
    finished.exit.into()
}
