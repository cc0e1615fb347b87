//! Replays trace files: `replay_files [--policy NAME] [--compare] [--chart DIR] FILE...`.

use std::process::ExitCode;

use heatherknot_replay::{Options, run};

fn main() -> ExitCode {
    let mut options = Options::default();
    let mut args = std::env::args().skip(1);
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--policy" => options.policy = args.next(),
            "--chart" => options.chart_dir = args.next().map(Into::into),
            "--compare" => options.compare = true,
            file => options.files.push(file.into()),
        }
    }
    match run(&options) {
        Ok(report) => {
            print!("{report}");
            ExitCode::from(u8::from(!report.holds()))
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(2)
        }
    }
}
