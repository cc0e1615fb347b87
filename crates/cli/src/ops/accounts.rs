//! The `accounts` command: limits and usage of client accounts, as daemons report them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use heatherknot_edge::daemon::ACCOUNTS_PATH;
use heatherknot_edge::quota::status::AccountStatus;
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

/// The status of an account as one daemon reports it.
#[derive(Debug, Serialize)]
struct AccountRow {
    daemon: SocketAddr,
    #[serde(flatten)]
    report: AccountStatus,
}

/// Shows the status of client accounts from the daemons at the given metrics addresses.
///
/// The head of a failure domain knows the demand on all VMs; another VM knows only the part that it
/// admits. So a row with the demand (`asked`) is preferred to one without.
pub fn accounts(invocation: &Invocation) -> Result<Report, CliError> {
    let addresses = metrics_address::parse_all(&invocation.args)?;
    let timeout = invocation.options.timeout()?;
    let builder = RuntimeBuilder::<LegacyDriver>::new();
    let mut runtime = builder.enable_timer().build().context(StartSnafu)?;
    let (rows, failures) = runtime.block_on(query_all(&addresses, timeout));
    if rows.is_empty() && !failures.is_empty() {
        let causes = failures.join("; ");
        return NoAnswerSnafu { causes }.fail();
    }
    let best = most_complete_rows(rows);
    let report = Report::new(Exit::Ok, table(&best), &best);
    Ok(failures
        .iter()
        .fold(report, |report, cause| report.with_note(cause)))
}

async fn query_all(addresses: &[SocketAddr], timeout: Millis) -> (Vec<AccountRow>, Vec<String>) {
    let (mut rows, mut failures) = (Vec::new(), Vec::new());
    for address in addresses {
        match query(*address, timeout).await {
            Ok(reports) => rows.extend(reports.into_iter().map(|report| AccountRow {
                daemon: *address,
                report,
            })),
            Err(error) => failures.push(error.to_string()),
        }
    }
    (rows, failures)
}

async fn query(address: SocketAddr, timeout: Millis) -> Result<Vec<AccountStatus>, CliError> {
    let head = RequestHead::new(Method::GET, Uri::from_static(ACCOUNTS_PATH));
    metrics_address::query(address, head, Body::empty(), timeout).await
}

/// Returns one row for each account: that of the daemon with the most complete status.
fn most_complete_rows(rows: Vec<AccountRow>) -> Vec<AccountRow> {
    let mut best: BTreeMap<AccountName, AccountRow> = BTreeMap::new();
    for row in rows {
        let completeness =
            |row: &AccountRow| (row.report.asked.is_some(), row.report.part.is_some());
        match best.get(&row.report.account) {
            Some(other) if completeness(other) >= completeness(&row) => {}
            _ => {
                best.insert(row.report.account.clone(), row);
            }
        }
    }
    best.into_values().collect()
}

fn table(rows: &[AccountRow]) -> String {
    let number = |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.1}"));
    let lines = rows.iter().map(|row| {
        let report = &row.report;
        let homes: Vec<&str> = report.home_regions.iter().map(RegionName::as_str).collect();
        let part = report.part.map(|part| format!("{:.0}%", part * 100.0));
        vec![
            report.account.to_string(),
            number(report.per_second),
            number(report.burst),
            number(report.asked),
            number(report.level),
            part.unwrap_or("own share".to_owned()),
            report
                .age_ms
                .map_or("-".to_owned(), |age| format::duration(age.0)),
            if homes.is_empty() {
                "any".to_owned()
            } else {
                homes.join(",")
            },
            row.daemon.to_string(),
        ]
    });
    let lines: Vec<Vec<String>> = lines.collect();
    let columns = [
        "ACCOUNT", "LIMIT/S", "BURST", "ASKED/S", "LEFT", "ADMITTED", "AGE", "REGIONS", "DAEMON",
    ];
    format::table(&columns, &lines)
}
