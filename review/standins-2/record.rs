//! The record of what was sent, answered and run, in the order of time.

use std::fs;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Collects lines with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn start() -> Self {
        Self {
            began: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Adds a line and returns its time.
    pub fn add(&self, line: impl Into<String>) -> f64 {
        let mut lines = self.lines.lock().unwrap();
        let at = self.now();
        lines.push((at, line.into()));
        at
    }

    /// Returns the time of the first line that begins with `start`.
    pub fn time_of(&self, start: &str) -> Option<f64> {
        let lines = self.lines.lock().unwrap();
        lines
            .iter()
            .find(|(_, line)| line.starts_with(start))
            .map(|(at, _)| *at)
    }

    /// Returns the latest line that begins with `start` and contains `part`.
    pub fn last_with(&self, start: &str, part: &str) -> Option<String> {
        let lines = self.lines.lock().unwrap();
        let mut texts = lines.iter().rev().map(|(_, line)| line);
        texts
            .find(|line| line.starts_with(start) && line.contains(part))
            .cloned()
    }

    /// Writes the lines to a file.
    pub fn write(&self, path: &Path) {
        let lines = self.lines.lock().unwrap();
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{at:9.3} s  {line}\n"))
            .collect();
        if let Err(error) = fs::write(path, text) {
            eprintln!("writing {} failed: {error}", path.display());
        }
    }
}
