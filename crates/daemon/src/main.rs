//! The daemon of every entry VM.

use std::path::PathBuf;
use std::process::ExitCode;

use heatherknot_daemon::config::Config;
use heatherknot_daemon::signals::StopSignals;
use heatherknot_daemon::{logging, on_platform, start};
use lexopt::prelude::*;
use monoio::{LegacyDriver, RuntimeBuilder};

const HELP: &str = "\
heatherknotd: the daemon of an entry VM

Usage: heatherknotd --config FILE [--check]
       heatherknotd --platform [--config FILE] [--check]

Options:
  --config FILE   read start settings from FILE (JSON)
  --platform      take routes and backend servers from the platform's store; FILE is then
                  the one that HEATHERKNOT_NODE_FILE names, unless --config is given
  --check         check the start settings and exit
  -h, --help      print this text
  -V, --version   print the version
";

/// What the command line asks for.
enum Command {
    Run { config: PathBuf },
    Check { config: PathBuf },
    RunOnPlatform { config: PathBuf },
    CheckOnPlatform { config: PathBuf },
    Print(String),
}

fn main() -> ExitCode {
    match parse_args().map_err(|e| e.to_string()).and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("heatherknotd: {message}");
            ExitCode::FAILURE
        }
    }
}

fn parse_args() -> Result<Command, lexopt::Error> {
    let mut config = None;
    let mut check = false;
    let mut platform = false;
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("config") => config = Some(PathBuf::from(parser.value()?)),
            Long("check") => check = true,
            Long("platform") => platform = true,
            Short('h') | Long("help") => return Ok(Command::Print(HELP.to_owned())),
            Short('V') | Long("version") => {
                let version = concat!("heatherknotd ", env!("CARGO_PKG_VERSION"), "\n");
                return Ok(Command::Print(version.to_owned()));
            }
            _ => return Err(arg.unexpected()),
        }
    }
    let config = config.or_else(|| platform.then(on_platform::settings_path).flatten());
    let config = config.ok_or("--config FILE is missing; see --help")?;
    Ok(match (platform, check) {
        (false, false) => Command::Run { config },
        (false, true) => Command::Check { config },
        (true, false) => Command::RunOnPlatform { config },
        (true, true) => Command::CheckOnPlatform { config },
    })
}

fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Print(text) => {
            print!("{text}");
            Ok(())
        }
        Command::Check { config } => {
            Config::load(&config).map_err(|e| e.to_string())?;
            println!("{} is fine", config.display());
            Ok(())
        }
        Command::CheckOnPlatform { config } => {
            on_platform::load(&config)?;
            println!("{} is fine", config.display());
            Ok(())
        }
        Command::RunOnPlatform { config } => on_platform::run(&config),
        Command::Run { config } => {
            let cfg = Config::load(&config).map_err(|e| e.to_string())?;
            let _logger = logging::start(cfg.log_level, &cfg.vm).map_err(|e| e.to_string())?;
            // The epoll driver by name: the default one would use io_uring where it can.
            let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
            let mut runtime = runtime.map_err(|e| format!("start the runtime: {e}"))?;
            let signals =
                StopSignals::register().map_err(|e| format!("set signal handlers: {e}"))?;
            let until = async {
                if let Err(error) = signals.wait().await {
                    log::error!(error:% = error; "waiting for signals failed");
                }
            };
            let running = start::run(cfg, until, |_| {});
            runtime.block_on(running).map_err(|e| e.to_string())
        }
    }
}
