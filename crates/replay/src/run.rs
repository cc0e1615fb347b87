//! One run over files: what the command line asks for, and what it prints.

use std::fmt;
use std::path::PathBuf;

use crate::brain::Policy;
use crate::error::{Result, WriteSnafu};
use crate::report::TraceReport;
use crate::{chart, compare, engine, parse, policy};
use snafu::ResultExt;

/// What a run is asked to do.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The trace files, replayed in this order.
    pub files: Vec<PathBuf>,
    /// The policy; [`policy::CURRENT`] where absent.
    pub policy: Option<String>,
    /// Whether every policy is replayed and shown side by side.
    pub compare: bool,
    /// Where to write charts, one file for each trace and policy.
    pub chart_dir: Option<PathBuf>,
}

/// What a run found.
#[derive(Clone, Debug)]
pub struct RunReport {
    /// One report for each trace and policy, traces in the order given.
    pub reports: Vec<TraceReport>,
    /// The policy whose outcomes decide on success.
    pub judged: &'static str,
    /// Whether policies stand side by side.
    pub compared: bool,
}

/// Replays the files.
///
/// # Errors
///
/// Fails where a file is no trace, a policy isn't known, or a chart can't be written.
pub fn run(options: &Options) -> Result<RunReport> {
    let judged = policy::find(options.policy.as_deref().unwrap_or(policy::CURRENT))?;
    let mut policies = vec![judged.clone()];
    if options.compare {
        policies.extend(policy::all().into_iter().filter(|p| p.name != judged.name));
    }
    let traces = options.files.iter().map(|file| parse::read(file));
    let traces = traces.collect::<Result<Vec<_>>>()?;
    if let Some(dir) = &options.chart_dir {
        std::fs::create_dir_all(dir).context(WriteSnafu { path: dir })?;
    }
    let mut reports = Vec::new();
    for trace in &traces {
        for policy in &policies {
            reports.push(one(trace, policy, options)?);
        }
    }
    Ok(RunReport {
        reports,
        judged: judged.name,
        compared: options.compare,
    })
}

fn one(trace: &crate::trace::Trace, policy: &Policy, options: &Options) -> Result<TraceReport> {
    let figures = engine::replay(trace, policy);
    if let Some(dir) = &options.chart_dir {
        let name = &trace.head.name;
        let path = dir.join(format!("{name}-{}.svg", policy.name));
        chart::draw(&path, &format!("{name} under {}", policy.name), &figures)?;
    }
    Ok(TraceReport::new(trace, policy.name, &figures))
}

impl RunReport {
    /// Tells whether every outcome holds under the policy that is judged. A program exits
    /// with 1 where it doesn't.
    pub fn holds(&self) -> bool {
        let judged = self.reports.iter().filter(|r| r.policy == self.judged);
        judged.into_iter().all(TraceReport::holds)
    }
}

impl fmt::Display for RunReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.compared {
            writeln!(f, "{}", compare::table(&self.reports))?;
            return write!(f, "{}", compare::failures(&self.reports));
        }
        for report in &self.reports {
            write!(f, "{report}")?;
        }
        Ok(())
    }
}
