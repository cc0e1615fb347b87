//! The `admission` command: which requests get the slots of busy servers, as daemons report it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use heatherknot_edge::admission::status::{
    ADMISSION_PATH, AccountStatus, ServiceAdmission, UrgencyStatus,
};
use heatherknot_edge::admission::urgency::Urgency;
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

/// Number of accounts shown of each urgency.
const MAX_SHOWN_ACCOUNTS: usize = 3;

/// The requests of one service and urgency, summed up over the daemons that reported them.
#[derive(Debug, Serialize)]
struct AdmissionRow {
    service: ServiceName,
    urgency: Urgency,
    asked: u64,
    admitted: u64,
    rejected: BTreeMap<String, u64>,
    /// Number of daemons that hold these requests back for more urgent ones.
    held_back_by: usize,
    /// Accounts over their share, the one with most slot time first.
    over_share: Vec<AccountStatus>,
}

/// Shows the admission of the daemons at the given metrics addresses.
pub(super) fn admission(invocation: &Invocation) -> Result<Report, CliError> {
    let addresses = metrics_address::parse_all(&invocation.args)?;
    let timeout = invocation.options.timeout()?;
    let builder = RuntimeBuilder::<LegacyDriver>::new();
    let mut runtime = builder.enable_timer().build().context(StartSnafu)?;
    let (statuses, failures) = runtime.block_on(query_all(&addresses, timeout));
    if failures.len() == addresses.len() {
        let causes = failures.join("; ");
        return NoAnswerSnafu { causes }.fail();
    }
    let rows = sum_by_urgency(statuses);
    let report = Report::new(Exit::Ok, table(&rows), &rows);
    Ok(failures
        .iter()
        .fold(report, |report, cause| report.with_note(cause)))
}

async fn query_all(
    addresses: &[SocketAddr],
    timeout: Millis,
) -> (Vec<ServiceAdmission>, Vec<String>) {
    let (mut all, mut failures) = (Vec::new(), Vec::new());
    for address in addresses {
        let head = RequestHead::new(Method::GET, Uri::from_static(ADMISSION_PATH));
        let listed = metrics_address::query(*address, head, Body::empty(), timeout).await;
        let listed: Result<Vec<ServiceAdmission>, CliError> = listed;
        match listed {
            Ok(statuses) => all.extend(statuses),
            Err(error) => failures.push(error.to_string()),
        }
    }
    (all, failures)
}

fn sum_by_urgency(statuses: Vec<ServiceAdmission>) -> Vec<AdmissionRow> {
    let mut rows: BTreeMap<(ServiceName, Urgency), AdmissionRow> = BTreeMap::new();
    for status in statuses {
        for of_urgency in status.urgencies {
            let service = status.service.clone();
            let urgency = of_urgency.urgency;
            let row = rows
                .entry((service.clone(), urgency))
                .or_insert_with(|| AdmissionRow {
                    service,
                    urgency,
                    asked: 0,
                    admitted: 0,
                    rejected: BTreeMap::new(),
                    held_back_by: 0,
                    over_share: Vec::new(),
                });
            add(row, of_urgency);
        }
    }
    let mut rows: Vec<AdmissionRow> = rows.into_values().collect();
    for row in &mut rows {
        row.over_share
            .sort_by_key(|a| std::cmp::Reverse(a.asked_ms));
    }
    rows
}

fn add(row: &mut AdmissionRow, status: UrgencyStatus) {
    row.asked += status.asked;
    row.admitted += status.admitted;
    row.held_back_by += usize::from(status.is_held_back);
    for (cause, count) in status.rejected {
        *row.rejected.entry(cause).or_default() += count;
    }
    for over in status.over_share {
        let mut known = row.over_share.iter_mut();
        match known.find(|account| account.account == over.account) {
            Some(account) => {
                account.asked_ms += over.asked_ms;
                account.rejected_ms += over.rejected_ms;
            }
            None => row.over_share.push(over),
        }
    }
}

fn table(rows: &[AdmissionRow]) -> String {
    let lines = rows.iter().map(|row| {
        let causes = row.rejected.iter();
        let causes = causes.map(|(cause, count)| format!("{count} {cause}"));
        vec![
            row.service.to_string(),
            row.urgency.to_string(),
            row.asked.to_string(),
            row.admitted.to_string(),
            row.rejected.values().sum::<u64>().to_string(),
            row.held_back_by.to_string(),
            joined(row.over_share.iter().take(MAX_SHOWN_ACCOUNTS).map(account)),
            joined(causes),
        ]
    });
    let lines: Vec<Vec<String>> = lines.collect();
    let columns = [
        "SERVICE",
        "URGENCY",
        "ASKED",
        "ADMITTED",
        "REJECTED",
        "HELD BACK BY",
        "OVER THEIR SHARE",
        "CAUSES",
    ];
    format::table(&columns, &lines)
}

fn account(status: &AccountStatus) -> String {
    let account = status.account.as_ref();
    account.map_or("(none)".to_owned(), |name| name.to_string())
}

fn joined(parts: impl Iterator<Item = String>) -> String {
    let parts: Vec<String> = parts.collect();
    match parts.is_empty() {
        true => "-".to_owned(),
        false => parts.join(", "),
    }
}
