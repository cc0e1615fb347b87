//! The command line of a run.

use std::path::PathBuf;
use std::time::Duration;

use lexopt::prelude::*;

/// The most daemons of a run.
const MAX_DAEMONS: usize = 200;
/// Resident memory that a daemon is taken to need when the run's limit is checked.
const MEMORY_A_DAEMON: u64 = 40 << 20;

/// What a run measures.
pub struct Options {
    /// Numbers of daemons, one fleet after the other.
    pub sizes: Vec<usize>,
    /// Failure domains that the daemons are dealt out to.
    pub domains: usize,
    /// Services in the settings.
    pub services: usize,
    /// How long a phase is measured.
    pub span: Duration,
    /// How long a fleet settles before the first phase.
    pub settle: Duration,
    /// The folder for figures and plots.
    pub out: PathBuf,
}

impl Options {
    /// Reads the command line.
    ///
    /// # Errors
    ///
    /// Says which option is unknown or out of its range.
    pub fn from_args() -> Result<Self, String> {
        let mut opts = Self {
            sizes: vec![32, 64, 96, 128, 160],
            domains: 16,
            services: 20,
            span: Duration::from_secs(15),
            settle: Duration::from_secs(15),
            out: PathBuf::from("target/fleet"),
        };
        let mut parser = lexopt::Parser::from_env();
        while let Some(arg) = parser.next().map_err(|e| e.to_string())? {
            match arg {
                Long("sizes") => opts.sizes = numbers(&text(&mut parser)?)?,
                Long("domains") => opts.domains = number(&text(&mut parser)?)?,
                Long("services") => opts.services = number(&text(&mut parser)?)?,
                Long("seconds") => opts.span = seconds(&text(&mut parser)?)?,
                Long("settle") => opts.settle = seconds(&text(&mut parser)?)?,
                Long("out") => opts.out = PathBuf::from(text(&mut parser)?),
                _ => return Err(arg.unexpected().to_string()),
            }
        }
        opts.check()?;
        Ok(opts)
    }

    fn check(&self) -> Result<(), String> {
        let most = self.sizes.iter().copied().max().unwrap_or(0);
        if most > MAX_DAEMONS || most == 0 {
            return Err(format!(
                "--sizes: found {most}, expected 1 to {MAX_DAEMONS}"
            ));
        }
        let half = memory_bytes()? / 2;
        if most as u64 * MEMORY_A_DAEMON > half {
            return Err(format!(
                "--sizes: {most} daemons may need more than half of the memory"
            ));
        }
        Ok(())
    }
}

fn memory_bytes() -> Result<u64, String> {
    let text = std::fs::read_to_string("/proc/meminfo").map_err(|e| e.to_string())?;
    let line = text.lines().find(|line| line.starts_with("MemTotal:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1));
    let kb = kb.and_then(|kb| kb.parse::<u64>().ok());
    Ok(kb.ok_or("no MemTotal in /proc/meminfo")? << 10)
}

fn text(parser: &mut lexopt::Parser) -> Result<String, String> {
    let value = parser.value().map_err(|e| e.to_string())?;
    value.string().map_err(|e| e.to_string())
}

fn number(text: &str) -> Result<usize, String> {
    text.parse().map_err(|_| format!("`{text}` is no number"))
}

fn numbers(text: &str) -> Result<Vec<usize>, String> {
    text.split(',').map(number).collect()
}

fn seconds(text: &str) -> Result<Duration, String> {
    Ok(Duration::from_secs(number(text)? as u64))
}
