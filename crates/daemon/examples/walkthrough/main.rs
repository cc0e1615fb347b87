//! Runs a whole deployment on loopback, sends it a recorded stretch of traffic, breaks parts of
//! it on the way, and prints what became of the requests.
//!
//! Everything is in this one process: the platform's stand-in, the backend servers, the
//! daemons with a thread each, and the callers. It ends by itself within a minute.

mod backends;
mod callers;
mod daemons;
mod scenario;
mod script;
mod table;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use backends::Backends;
use daemons::Daemons;
use heatherknot_daemon::config::LogLevel;
use heatherknot_daemon::logging;
use heatherknot_test_support::platform::{Platform, PlatformConfig};
use scenario::Scenario;

/// Time allowed for all daemons to have settings and a part of their domain's capacity.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(message) => {
            eprintln!("walkthrough: {message}");
            ExitCode::from(2)
        }
    }
}

/// Set to a level (`warn`, `info`, `debug`), this makes the daemons log to standard error.
const LOG_VARIABLE: &str = "HEATHERKNOT_WALKTHROUGH_LOG";

fn run() -> Result<bool, String> {
    let level = std::env::var(LOG_VARIABLE).ok();
    let level = level.and_then(|word| serde_json::from_value::<LogLevel>(word.into()).ok());
    let _logger = level.map(|level| logging::start(level, &"walkthrough".into()));
    let args: Vec<String> = std::env::args().skip(1).collect();
    let scenario = Scenario::from_args(&args)?;
    println!("heatherknot walkthrough: {}", scenario.trace.head.name);
    for line in &scenario.trace.head.story {
        println!("  {line}");
    }
    let started = Instant::now();
    let platform = Platform::start(PlatformConfig::default());
    let backends = Backends::start(&scenario);
    daemons::commit_settings(platform.address(), &backends.settings)?;
    let mut daemons = Daemons::start(&scenario, &platform);
    daemons.wait_ready(READY_TIMEOUT)?;
    println!(
        "{} daemons and {} backend servers are up after {:.1} s; sending traffic for {} s",
        daemons.running(),
        backends.count(),
        started.elapsed().as_secs_f64(),
        scenario.trace.head.duration_ms.0 / 1000
    );
    let traffic = callers::start(&scenario, &daemons);
    let notes = script::play(&scenario, &platform, &backends, &mut daemons);
    let results = traffic.finish();
    let truth = backends.finish();
    let drained = daemons.finish();
    let sound = table::print(&scenario, &results, &truth, &notes, &drained);
    println!("took {:.1} s", started.elapsed().as_secs_f64());
    Ok(sound)
}
