//! The `replay` command. It needs no daemon.

use heatherknot_replay::report::{Checked, TraceReport};
use heatherknot_replay::{Options, RunReport, run};
use serde_json::{Value as Json, json};

use crate::error::CliError;
use crate::exit::Exit;
use crate::options::Opt;
use crate::parse::Invocation;
use crate::report::Report;

/// Replays the traces of the command line. The exit code is [`Exit::Failed`] if a stated outcome
/// doesn't hold.
pub fn replay(invocation: &Invocation) -> Result<Report, CliError> {
    let options = &invocation.options;
    let replayed = run(&Options {
        files: invocation.args.iter().map(Into::into).collect(),
        policy: options.value(Opt::Policy).map(str::to_string),
        compare: options.has(Opt::Compare),
        chart_dir: options.value(Opt::Charts).map(Into::into),
    })?;
    let exit = if replayed.holds() {
        Exit::Ok
    } else {
        Exit::Failed
    };
    Ok(Report::new(
        exit,
        replayed.to_string(),
        &run_to_json(&replayed),
    ))
}

fn run_to_json(replayed: &RunReport) -> Json {
    let reports: Vec<Json> = replayed.reports.iter().map(trace_to_json).collect();
    json!({ "holds": replayed.holds(), "policy": replayed.judged, "reports": reports })
}

fn trace_to_json(report: &TraceReport) -> Json {
    let figures = report.figures.iter();
    let figures: Vec<Json> = figures
        .map(|(metric, value)| json!({ "metric": metric, "value": value }))
        .collect();
    let outcomes: Vec<Json> = report.outcomes.iter().map(outcome_to_json).collect();
    json!({
        "trace": report.trace,
        "policy": report.policy,
        "holds": report.holds(),
        "outcomes": outcomes,
        "figures": figures,
    })
}

fn outcome_to_json(checked: &Checked) -> Json {
    json!({
        "stated": checked.stated,
        "measured": checked.measured,
        "holds": checked.holds,
    })
}
