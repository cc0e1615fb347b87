//! Measurements of one run and their output.

use std::fmt;
use std::time::Instant;

/// Bytes and messages of all daemons, in both directions.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrafficTotals {
    pub bytes: u64,
    pub messages: u64,
}

/// Cost of one daemon per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Bytes sent and received, including message headers but not TCP and IP headers.
    pub bytes: f64,
    /// Messages sent and received.
    pub messages: f64,
    /// CPU time in per cent of a core.
    pub cpu: f64,
}

/// The state at the beginning of a measurement.
pub struct Measurement {
    at: Instant,
    moved: TrafficTotals,
    cpu_ns: u64,
}

impl Cost {
    pub fn start_measuring(moved: TrafficTotals) -> Measurement {
        Measurement {
            at: Instant::now(),
            moved,
            cpu_ns: cpu_ns(),
        }
    }
}

impl Measurement {
    pub fn finish(&self, moved: TrafficTotals, daemons: usize) -> Cost {
        let span = self.at.elapsed().as_secs_f64() * daemons as f64;
        Cost {
            bytes: (moved.bytes - self.moved.bytes) as f64 / span,
            messages: (moved.messages - self.moved.messages) as f64 / span,
            cpu: (cpu_ns() - self.cpu_ns) as f64 / 1e7 / span,
        }
    }
}

/// Returns the CPU time of this process in nanoseconds, as accounted by the kernel. The process has
/// only one thread.
fn cpu_ns() -> u64 {
    let stat = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let first = stat.split_whitespace().next();
    first.and_then(|ns| ns.parse().ok()).unwrap_or_default()
}

/// Minimum, median and maximum of repeated measurements.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spread {
    pub min: f64,
    pub median: f64,
    pub max: f64,
}

impl Spread {
    pub fn of(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let at = |n: usize| values.get(n).copied().unwrap_or(f64::NAN);
        Self {
            min: at(0),
            median: at(values.len() / 2),
            max: at(values.len().saturating_sub(1)),
        }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.0} ({:.0}..{:.0})", self.median, self.min, self.max)
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

/// The results for one fleet size.
pub struct Row {
    pub size: usize,
    pub joined: f64,
    pub idle: Cost,
    /// Average number of outgoing and incoming connections of a daemon.
    pub connections: (f64, f64),
    pub watchers: usize,
    /// Age of a report of a VM of the same domain, in milliseconds.
    pub report_age: Spread,
    pub change: f64,
    /// Time until a change is in force on all daemons, in milliseconds.
    pub in_force: Spread,
    /// The same while one domain cannot reach the store.
    pub cut_off: Spread,
    pub killed_suspect: Spread,
    pub killed_gone: Spread,
    pub vanished_suspect: Spread,
    pub vanished_gone: Spread,
}

impl Row {
    pub const HEADER: &str = "| daemons | all know all, ms | idle, per daemon and second | \
        connections out, in | report age, ms | store watches | \
        in force everywhere, ms | the same with a domain cut off from the store, ms | \
        bytes per daemon and change | killed: suspect, gone everywhere, ms | \
        vanished: suspect, gone everywhere, ms |\n|---|---|---|---|---|---|---|---|---|---|---|";
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "| {} | {:.0} | {} ", self.size, self.joined, self.idle)?;
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

/// Returns the slope and the intercept of the least-squares line through the points.
pub fn fit_line(points: impl Iterator<Item = (f64, f64)>) -> (f64, f64) {
    let points: Vec<_> = points.collect();
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let numerator: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let denominator: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = if denominator > 0.0 {
        numerator / denominator
    } else {
        0.0
    };
    (slope, mean_y - slope * mean_x)
}
