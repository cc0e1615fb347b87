//! Policies side by side: one table of the same figures over the same traces.

use std::fmt::Write;

use crate::report::{TraceReport, figure_text, metric_name};
use crate::trace::Metric;

/// The figures that a comparison shows, in order of its columns.
const COLUMNS: [(Metric, &str); 11] = [
    (Metric::Overloads, "over cap, s"),
    (Metric::WorstExcessPermille, "worst excess ‰"),
    (Metric::GoodputPermille, "goodput ‰"),
    (Metric::RefusedWithRoom, "refused with room"),
    (Metric::Shed, "shed"),
    (Metric::DoubleRuns, "double runs"),
    (Metric::LowestHeadroomPermille, "lowest headroom ‰"),
    (Metric::StrandedPermille, "stranded ‰"),
    (Metric::DirectionChanges, "turns"),
    (Metric::MessagesPerSecond, "msg/s"),
    (Metric::BytesPerSecond, "B/s"),
];

/// Writes a Markdown table of reports, grouped by trace in the order given.
pub fn table(reports: &[TraceReport]) -> String {
    let mut text = String::from("| trace | policy | outcomes held |");
    for (_, title) in COLUMNS {
        write!(text, " {title} |").expect("a string takes everything");
    }
    text.push_str("\n|---|---|---|");
    text.push_str(&"---:|".repeat(COLUMNS.len()));
    text.push('\n');
    for report in reports {
        text.push_str(&row(report));
    }
    text
}

fn row(report: &TraceReport) -> String {
    let held = report.outcomes.len() - report.failed();
    let mut text = format!(
        "| {} | {} | {held} of {} |",
        report.trace,
        report.policy,
        report.outcomes.len()
    );
    for (metric, _) in COLUMNS {
        let value = report.figure(metric).map_or(String::new(), figure_text);
        write!(text, " {value} |").expect("a string takes everything");
    }
    text.push('\n');
    text
}

/// Lists the outcomes that don't hold, one Markdown line each.
pub fn failures(reports: &[TraceReport]) -> String {
    let mut text = String::new();
    for report in reports {
        for checked in report.outcomes.iter().filter(|checked| !checked.holds) {
            let line = format!(
                "- {}, {}: {} ({} is {})\n",
                report.trace,
                report.policy,
                checked.stated.name,
                metric_name(checked.stated.metric),
                figure_text(checked.measured),
            );
            text.push_str(&line);
        }
    }
    text
}
