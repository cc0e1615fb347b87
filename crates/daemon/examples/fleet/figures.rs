//! Rows of figures, their fit against the size of the fleet, and plots.

use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;

use plotters::prelude::*;

use crate::sample::{Sample, Usage};

/// The size that the fits are carried on to.
const TARGET: f64 = 570.0;
const PLOT_SIZE: (u32, u32) = (760, 420);

pub const HEADING: &str = "daemons phase                 s    cpu % mean   max   rss MB   pss MB  \
sent B/s    max  recv B/s    max reads/s writes/s lists/s watches in force ms p50    max missing";

/// What one phase of one fleet cost, for each daemon unless said otherwise.
#[derive(Clone, Debug)]
pub struct Row {
    pub phase: &'static str,
    pub size: usize,
    pub seconds: f64,
    pub cpu_percent: Spread,
    pub rss_mb: Spread,
    pub pss_mb: Spread,
    pub sent: Spread,
    pub received: Spread,
    /// Calls a second of the whole fleet.
    pub reads: f64,
    pub writes: f64,
    pub lists: f64,
    pub watches: u64,
    pub in_force_ms: Spread,
    pub missing: usize,
}

/// A figure over the daemons of a fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spread {
    pub mean: f64,
    pub median: f64,
    pub max: f64,
}

impl Spread {
    fn of(mut values: Vec<f64>) -> Self {
        if values.is_empty() {
            return Self::default();
        }
        values.sort_by(f64::total_cmp);
        Self {
            mean: values.iter().sum::<f64>() / values.len() as f64,
            median: values[values.len() / 2],
            max: values[values.len() - 1],
        }
    }
}

impl Row {
    /// Gives what the daemons that ran through the whole phase used in it.
    pub fn between(phase: &'static str, size: usize, before: &Sample, after: &Sample) -> Self {
        let seconds = after.at.duration_since(before.at).as_secs_f64();
        let pairs: Vec<(Usage, Usage)> = before
            .usage
            .iter()
            .filter_map(|(vm, old)| {
                let new = after.usage.iter().find(|(other, _)| other == vm)?;
                Some((*old, new.1))
            })
            .collect();
        let over = |f: &dyn Fn(&Usage, &Usage) -> f64| {
            Spread::of(pairs.iter().map(|(old, new)| f(old, new)).collect())
        };
        let (old, new) = (&before.calls, &after.calls);
        let a_second = |count: u64| count as f64 / seconds;
        Self {
            phase,
            size,
            seconds,
            cpu_percent: over(&|old, new| 100.0 * (new.cpu_seconds - old.cpu_seconds) / seconds),
            rss_mb: over(&|_, new| new.rss_kb as f64 / 1024.0),
            pss_mb: over(&|_, new| new.pss_kb as f64 / 1024.0),
            sent: over(&|old, new| (new.sent - old.sent) / seconds),
            received: over(&|old, new| (new.received - old.received) / seconds),
            reads: a_second(new.range + new.watch - old.range - old.watch),
            writes: a_second(new.txn + new.put + new.lease - old.txn - old.put - old.lease),
            lists: a_second(new.vms - old.vms),
            watches: new.watching,
            in_force_ms: Spread::default(),
            missing: 0,
        }
    }

    /// Adds how long settings took to be in force, and on how many daemons they were not.
    pub fn in_force(&mut self, took: &[Duration], missing: usize) {
        let ms = took.iter().map(|took| took.as_secs_f64() * 1000.0);
        self.in_force_ms = Spread::of(ms.collect());
        self.missing = missing;
    }

    /// Gives the row as a line for people.
    pub fn line(&self) -> String {
        format!(
            "{:>7} {:<17} {:>5.1} {:>13.2} {:>5.2} {:>8.1} {:>8.1} {:>9.0} {:>6.0} {:>9.0} {:>6.0} {:>7.1} {:>8.1} {:>7.2} {:>7} {:>15.0} {:>6.0} {:>7}",
            self.size,
            self.phase,
            self.seconds,
            self.cpu_percent.mean,
            self.cpu_percent.max,
            self.rss_mb.mean,
            self.pss_mb.mean,
            self.sent.mean,
            self.sent.max,
            self.received.mean,
            self.received.max,
            self.reads,
            self.writes,
            self.lists,
            self.watches,
            self.in_force_ms.median,
            self.in_force_ms.max,
            self.missing,
        )
    }
}

/// A figure that is fitted and plotted.
struct Figure {
    name: &'static str,
    file: &'static str,
    of: fn(&Row) -> f64,
}

const FIGURES: [Figure; 8] = [
    Figure {
        name: "CPU, % of a core, mean",
        file: "cpu",
        of: |row| row.cpu_percent.mean,
    },
    Figure {
        name: "RSS, MB, mean",
        file: "rss",
        of: |row| row.rss_mb.mean,
    },
    Figure {
        name: "PSS, MB, mean",
        file: "pss",
        of: |row| row.pss_mb.mean,
    },
    Figure {
        name: "peer bytes sent, B/s, mean",
        file: "sent",
        of: |row| row.sent.mean,
    },
    Figure {
        name: "peer bytes received, B/s, mean",
        file: "received",
        of: |row| row.received.mean,
    },
    Figure {
        name: "store reads and watches, calls/s, fleet",
        file: "reads",
        of: |row| row.reads,
    },
    Figure {
        name: "store writes, calls/s, fleet",
        file: "writes",
        of: |row| row.writes,
    },
    Figure {
        name: "in force, ms, slowest daemon",
        file: "in-force",
        of: |row| row.in_force_ms.max,
    },
];

const PHASES: [&str; 5] = [
    "start",
    "rest",
    "changes",
    "domain lost",
    "back, store down",
];

/// A straight line through the points by least squares.
struct Fit {
    at_zero: f64,
    slope: f64,
    /// The greatest distance of a point from the line.
    off: f64,
}

fn fit(points: &[(f64, f64)]) -> Fit {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let spread_x: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let both: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let slope = if spread_x > 0.0 { both / spread_x } else { 0.0 };
    let at_zero = mean_y - slope * mean_x;
    let off = points.iter().map(|p| (p.1 - at_zero - slope * p.0).abs());
    let off = off.fold(0.0, f64::max);
    Fit {
        at_zero,
        slope,
        off,
    }
}

fn points(rows: &[Row], phase: &str, of: fn(&Row) -> f64) -> Vec<(f64, f64)> {
    let rows = rows.iter().filter(|row| row.phase == phase);
    rows.map(|row| (row.size as f64, of(row))).collect()
}

/// Prints a straight line through each figure of each phase, and its value at the size of two
/// years.
pub fn print_fits(rows: &[Row]) {
    println!("\nfits: figure = a + b * daemons; off: the farthest point from the line");
    for phase in PHASES {
        for figure in &FIGURES {
            let points = points(rows, phase, figure.of);
            if points.len() < 2 || points.iter().all(|p| p.1 == 0.0) {
                continue;
            }
            let fit = fit(&points);
            let at_target = fit.at_zero + fit.slope * TARGET;
            println!(
                "{phase:<17} {:<40} a {:>9.3}  b {:>9.5}  off {:>8.3}  at {TARGET}: {:>9.2}",
                figure.name, fit.at_zero, fit.slope, fit.off, at_target
            );
        }
    }
}

/// Writes all rows as comma-separated values.
///
/// # Errors
///
/// Says what could not be written.
pub fn write_csv(path: &Path, rows: &[Row]) -> Result<(), String> {
    let mut text = String::from(
        "daemons,phase,seconds,cpu_percent_mean,cpu_percent_max,rss_mb_mean,rss_mb_max,\
pss_mb_mean,pss_mb_max,sent_mean,sent_max,received_mean,received_max,reads,writes,lists,\
watches,in_force_ms_median,in_force_ms_max,missing\n",
    );
    for row in rows {
        let spreads = [
            &row.cpu_percent,
            &row.rss_mb,
            &row.pss_mb,
            &row.sent,
            &row.received,
        ];
        let _ = write!(text, "{},\"{}\",{:.2}", row.size, row.phase, row.seconds);
        for spread in spreads {
            let _ = write!(text, ",{:.3},{:.3}", spread.mean, spread.max);
        }
        let _ = writeln!(
            text,
            ",{:.3},{:.3},{:.3},{},{:.1},{:.1},{}",
            row.reads,
            row.writes,
            row.lists,
            row.watches,
            row.in_force_ms.median,
            row.in_force_ms.max,
            row.missing
        );
    }
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Draws each figure against the number of daemons, a line for each phase.
///
/// # Errors
///
/// Says what could not be drawn.
pub fn write_plots(folder: &Path, rows: &[Row]) -> Result<(), String> {
    for figure in &FIGURES {
        let path = folder.join(format!("{}.svg", figure.file));
        plot(&path, figure, rows).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(())
}

fn plot(path: &Path, figure: &Figure, rows: &[Row]) -> Result<(), Box<dyn std::error::Error>> {
    let most = rows.iter().map(|row| row.size).max().unwrap_or(1) as f64;
    let top = rows.iter().map(figure.of).fold(0.0, f64::max).max(0.001) * 1.1;
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(figure.name, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..most * 1.05, 0.0..top)?;
    chart.configure_mesh().x_desc("daemons").draw()?;
    for (at, phase) in PHASES.iter().enumerate() {
        let color = Palette99::pick(at).to_rgba();
        let line = points(rows, phase, figure.of);
        chart
            .draw_series(LineSeries::new(line, color.stroke_width(2)).point_size(3))?
            .label(*phase)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
