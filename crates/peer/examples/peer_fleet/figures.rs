//! Figures of one run and how they are printed.

use std::fmt;
use std::time::Instant;

/// Bytes and messages over all daemons, both directions.
#[derive(Clone, Copy, Debug, Default)]
pub struct Moved {
    pub bytes: u64,
    pub messages: u64,
}

/// What one daemon costs a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Bytes sent and received, headers of messages included, those of TCP and IP not.
    pub bytes: f64,
    /// Messages sent and received.
    pub messages: f64,
    /// Per cent of a core.
    pub cpu: f64,
}

/// The beginning of a measurement.
pub struct Mark {
    at: Instant,
    moved: Moved,
    cpu_ns: u64,
}

impl Cost {
    pub fn mark(moved: Moved) -> Mark {
        Mark {
            at: Instant::now(),
            moved,
            cpu_ns: cpu_ns(),
        }
    }
}

impl Mark {
    pub fn until_now(&self, moved: Moved, daemons: usize) -> Cost {
        let span = self.at.elapsed().as_secs_f64() * daemons as f64;
        Cost {
            bytes: (moved.bytes - self.moved.bytes) as f64 / span,
            messages: (moved.messages - self.moved.messages) as f64 / span,
            cpu: (cpu_ns() - self.cpu_ns) as f64 / 1e7 / span,
        }
    }
}

/// Gives the time that this thread, the only one, has run, by the kernel's account.
fn cpu_ns() -> u64 {
    let stat = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let first = stat.split_whitespace().next();
    first.and_then(|ns| ns.parse().ok()).unwrap_or_default()
}

/// The middle and the ends of repeated measurements.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spread {
    pub least: f64,
    pub median: f64,
    pub most: f64,
}

impl Spread {
    pub fn of(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let at = |n: usize| values.get(n).copied().unwrap_or(f64::NAN);
        Self {
            least: at(0),
            median: at(values.len() / 2),
            most: at(values.len().saturating_sub(1)),
        }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.0} ({:.0}..{:.0})",
            self.median, self.least, self.most
        )
    }
}

impl fmt::Display for Cost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.0} B, {:.1} msg, {:.3} %",
            self.bytes, self.messages, self.cpu
        )
    }
}

/// The figures of one fleet size.
pub struct Row {
    pub size: usize,
    pub joined: f64,
    pub rest: Cost,
    /// Connections that a daemon opened, and that it accepted, on average.
    pub connections: (f64, f64),
    pub watchers: usize,
    /// Age of a report of a VM of the same domain, in milliseconds.
    pub report_age: Spread,
    pub change: f64,
    pub in_force: Spread,
    /// The same while one domain can't reach the store.
    pub cut_off: Spread,
    pub killed_suspect: Spread,
    pub killed_gone: Spread,
    pub vanished_suspect: Spread,
    pub vanished_gone: Spread,
}

impl Row {
    pub const HEADER: &str = "| daemons | all know all, ms | at rest, a daemon and second | \
        connections out, in | age of reports, ms | watches of the store | \
        in force everywhere, ms | the same with a domain cut off from the store, ms | bytes a daemon and change | killed: suspect, gone everywhere, ms | \
        vanished: suspect, gone everywhere, ms |\n|---|---|---|---|---|---|---|---|---|---|---|";
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "| {} | {:.0} | {} ", self.size, self.joined, self.rest)?;
        write!(f, "| {:.1}, {:.1} ", self.connections.0, self.connections.1)?;
        write!(f, "| {} ", self.report_age)?;
        write!(
            f,
            "| {} | {} | {} | {:.0} ",
            self.watchers, self.in_force, self.cut_off, self.change
        )?;
        write!(f, "| {}, {} ", self.killed_suspect, self.killed_gone)?;
        write!(f, "| {}, {} |", self.vanished_suspect, self.vanished_gone)
    }
}

/// Gives the slope and the intercept of the line through the points by least squares.
pub fn slope(points: impl Iterator<Item = (f64, f64)>) -> (f64, f64) {
    let points: Vec<_> = points.collect();
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let above: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let below: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let grows = if below > 0.0 { above / below } else { 0.0 };
    (grows, mean_y - grows * mean_x)
}
