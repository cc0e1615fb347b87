//! The `rollouts` command: the latest rollout of each service, as daemons report it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use heatherknot_edge::rollout::evidence::Outcomes;
use heatherknot_edge::rollout::record::Stage;
use heatherknot_edge::rollout::status::{ROLLOUTS_PATH, RolloutStatusRow};
use heatherknot_http::{Body, RequestHead};
use heatherknot_types::prelude::*;
use http::{Method, Uri};
use monoio::{LegacyDriver, RuntimeBuilder};
use serde::Serialize;
use snafu::ResultExt;

use super::metrics_address;
use crate::error::{CliError, NoAnswerSnafu, StartSnafu};
use crate::exit::Exit;
use crate::format;
use crate::parse::Invocation;
use crate::report::Report;

/// The status of a rollout as one daemon reports it.
#[derive(Debug, Serialize)]
struct RolloutRow {
    daemon: SocketAddr,
    #[serde(flatten)]
    status: RolloutStatusRow,
}

/// Lists the rollouts known to the daemons at the given metrics addresses.
///
/// The heads of failure domains know the outcomes on all VMs, so a row with more requests is
/// preferred.
pub(super) fn rollouts(invocation: &Invocation) -> Result<Report, CliError> {
    let addresses = metrics_address::parse_all(&invocation.args)?;
    let timeout = invocation.options.timeout()?;
    let builder = RuntimeBuilder::<LegacyDriver>::new();
    let mut runtime = builder.enable_timer().build().context(StartSnafu)?;
    let (rows, failures) = runtime.block_on(query_all(&addresses, timeout));
    if rows.is_empty() && failures.len() == addresses.len() {
        let causes = failures.join("; ");
        return NoAnswerSnafu { causes }.fail();
    }
    let best = most_complete_rows(rows);
    let report = Report::new(Exit::Ok, table(&best), &best);
    Ok(failures
        .iter()
        .fold(report, |report, cause| report.with_note(cause)))
}

async fn query_all(addresses: &[SocketAddr], timeout: Millis) -> (Vec<RolloutRow>, Vec<String>) {
    let (mut rows, mut failures) = (Vec::new(), Vec::new());
    for address in addresses {
        let head = RequestHead::new(Method::GET, Uri::from_static(ROLLOUTS_PATH));
        let listed = metrics_address::query(*address, head, Body::empty(), timeout).await;
        let listed: Result<Vec<RolloutStatusRow>, CliError> = listed;
        match listed {
            Ok(statuses) => rows.extend(statuses.into_iter().map(|status| RolloutRow {
                daemon: *address,
                status,
            })),
            Err(error) => failures.push(error.to_string()),
        }
    }
    (rows, failures)
}

fn most_complete_rows(rows: Vec<RolloutRow>) -> Vec<RolloutRow> {
    let mut best: BTreeMap<ServiceName, RolloutRow> = BTreeMap::new();
    for row in rows {
        let requests = |row: &RolloutRow| {
            let evidence = row.status.evidence.iter();
            evidence
                .map(|route| route.target.requests + route.previous.requests)
                .sum::<u64>()
        };
        match best.get(&row.status.service) {
            Some(other) if requests(other) >= requests(&row) => {}
            _ => {
                best.insert(row.status.service.clone(), row);
            }
        }
    }
    best.into_values().collect()
}

fn stage_text(stage: Option<Stage>) -> &'static str {
    match stage {
        None => "received",
        Some(Stage::Canary) => "canary",
        Some(Stage::Shift) => "shift",
        Some(Stage::Completed) => "completed",
        Some(Stage::RolledBack) => "rolled back",
        Some(Stage::Withdrawn) => "withdrawn",
    }
}

/// Returns failures of requests, and the mean response time.
fn outcomes_text(outcomes: &[&Outcomes]) -> String {
    let mut sum = Outcomes::default();
    outcomes.iter().for_each(|outcomes| sum.add(outcomes));
    if sum.requests == 0 {
        return "-".to_owned();
    }
    let mean_ms = sum.time_ms.checked_div(sum.timed);
    let mean = mean_ms.map_or("-".to_owned(), format::duration);
    format!("{}/{} {mean}", sum.failures, sum.requests)
}

fn table(rows: &[RolloutRow]) -> String {
    let lines = rows.iter().map(|row| {
        let status = &row.status;
        let evidence = &status.evidence;
        let target: Vec<&Outcomes> = evidence.iter().map(|route| &route.target).collect();
        let previous: Vec<&Outcomes> = evidence.iter().map(|route| &route.previous).collect();
        let in_use = status.in_use.as_ref();
        vec![
            status.service.to_string(),
            status.target.to_string(),
            in_use.map_or("-".to_owned(), |version| version.to_string()),
            stage_text(status.stage).to_owned(),
            status
                .stage_ms_ago
                .map_or("-".to_owned(), |age| format::duration(age.0)),
            outcomes_text(&target),
            outcomes_text(&previous),
            match status.cause.as_str() {
                "" => "-".to_owned(),
                cause => cause.to_owned(),
            },
        ]
    });
    let lines: Vec<Vec<String>> = lines.collect();
    let columns = [
        "SERVICE",
        "TARGET",
        "IN USE",
        "STAGE",
        "SINCE",
        "FAILED/REQUESTS AT TARGET",
        "AT PREVIOUS",
        "CAUSE",
    ];
    format::table(&columns, &lines)
}
