//! What a replay found: each stated outcome with the measured value, and the usual figures.

use std::fmt;

use crate::measure::{Figures, Scope};
use crate::trace::{Comparison, Metric, StatedOutcome, Trace};

/// One stated outcome with what was measured.
#[derive(Clone, Debug, PartialEq)]
pub struct Checked {
    /// The outcome as the trace states it.
    pub stated: StatedOutcome,
    /// The measured value.
    pub measured: f64,
    /// Whether it holds.
    pub holds: bool,
}

/// What one replay of one trace found.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceReport {
    /// The trace.
    pub trace: String,
    /// The policy.
    pub policy: &'static str,
    /// The stated outcomes in the trace's order.
    pub outcomes: Vec<Checked>,
    /// Every metric over the whole trace.
    pub figures: Vec<(Metric, f64)>,
    /// Refusals by service and reason, as lines of text.
    pub refusals: Vec<String>,
}

/// The metrics that every report gives over the whole trace, in order.
pub const SUMMARY: [Metric; 13] = [
    Metric::Overloads,
    Metric::WorstExcessPermille,
    Metric::GoodputPermille,
    Metric::Refused,
    Metric::RefusedWithRoom,
    Metric::Shed,
    Metric::CutByStop,
    Metric::DoubleRuns,
    Metric::LowestHeadroomPermille,
    Metric::StrandedPermille,
    Metric::DirectionChanges,
    Metric::MessagesPerSecond,
    Metric::BytesPerSecond,
];

impl TraceReport {
    /// Compares the figures of a replay with the outcomes that its trace states.
    pub fn new(trace: &Trace, policy: &'static str, figures: &Figures) -> Self {
        let duration = trace.head.duration_ms;
        let check = |stated: &StatedOutcome| {
            let measured = figures.measure(stated.metric, &Scope::of(stated, duration));
            Checked {
                stated: stated.clone(),
                measured,
                holds: holds(stated.is, measured, stated.value),
            }
        };
        let whole = Scope::whole(duration);
        Self {
            trace: trace.head.name.clone(),
            policy,
            outcomes: trace.outcomes.iter().map(check).collect(),
            refusals: figures
                .reasons()
                .map(|(service, reason, n)| format!("refused {service}: {reason} {n}"))
                .collect(),
            figures: SUMMARY
                .iter()
                .map(|m| (*m, figures.measure(*m, &whole)))
                .collect(),
        }
    }

    /// Tells whether every stated outcome holds.
    pub fn holds(&self) -> bool {
        self.outcomes.iter().all(|checked| checked.holds)
    }

    /// Gives how many stated outcomes don't hold.
    pub fn failed(&self) -> usize {
        self.outcomes
            .iter()
            .filter(|checked| !checked.holds)
            .count()
    }

    /// Gives the value of a metric over the whole trace.
    pub fn figure(&self, metric: Metric) -> Option<f64> {
        let found = self.figures.iter().find(|(m, _)| *m == metric);
        found.map(|(_, value)| *value)
    }
}

fn holds(is: Comparison, measured: f64, value: f64) -> bool {
    match is {
        Comparison::AtMost => measured <= value,
        Comparison::AtLeast => measured >= value,
    }
}

/// Gives the name of a metric as a trace writes it.
pub fn metric_name(metric: Metric) -> String {
    match serde_json::to_value(metric) {
        Ok(serde_json::Value::String(name)) => name,
        _ => format!("{metric:?}"),
    }
}

/// Writes a figure with at most one decimal.
pub fn figure_text(value: f64) -> String {
    if value.fract().abs() < 0.05 {
        format!("{value:.0}")
    } else {
        format!("{value:.1}")
    }
}

impl fmt::Display for TraceReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} under {}", self.trace, self.policy)?;
        for checked in &self.outcomes {
            writeln!(f, "  {checked}")?;
        }
        for (metric, value) in &self.figures {
            let name = metric_name(*metric);
            writeln!(f, "       {name:<26} {}", figure_text(*value))?;
        }
        for refusal in &self.refusals {
            writeln!(f, "       {refusal}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Checked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.holds { "ok  " } else { "FAIL" };
        let is = match self.stated.is {
            Comparison::AtMost => "at most",
            Comparison::AtLeast => "at least",
        };
        write!(
            f,
            "{verdict} {}: {} is {}, stated {is} {}",
            self.stated.name,
            metric_name(self.stated.metric),
            figure_text(self.measured),
            figure_text(self.stated.value),
        )
    }
}
