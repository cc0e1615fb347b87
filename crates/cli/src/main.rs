//! The command-line client of operators.

use std::io::{Write, stderr, stdout};
use std::process::ExitCode;

use heatherknot_cli::env::Env;

fn main() -> ExitCode {
    let args = std::env::args_os().skip(1).collect();
    let output = heatherknot_cli::run(args, &Env::from_process());
    // Write errors, such as a closed pipe, are ignored: the exit code still reports the result.
    let _ = stderr().write_all(output.stderr.as_bytes());
    let _ = stdout().write_all(output.stdout.as_bytes());
    output.exit.into()
}
