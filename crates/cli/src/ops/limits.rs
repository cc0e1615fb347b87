//! The `limits` command: the request limits that backend servers state, as daemons report them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use heatherknot_edge::request_limit::status::{LIMITS_PATH, LimitStatus};
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

/// The limit of one server, summed up over the daemons that reported it.
#[derive(Debug, Serialize)]
struct LimitRow {
    /// The most recent report; `sent`, `issued` and `held_back` are sums.
    #[serde(flatten)]
    status: LimitStatus,
    /// Number of daemons that know the limit.
    known_by: usize,
}

/// Lists the limits known to the daemons at the given metrics addresses.
pub(super) fn limits(invocation: &Invocation) -> Result<Report, CliError> {
    let addresses = metrics_address::parse_all(&invocation.args)?;
    let timeout = invocation.options.timeout()?;
    let builder = RuntimeBuilder::<LegacyDriver>::new();
    let mut runtime = builder.enable_timer().build().context(StartSnafu)?;
    let (statuses, failures) = runtime.block_on(query_all(&addresses, timeout));
    if failures.len() == addresses.len() {
        let causes = failures.join("; ");
        return NoAnswerSnafu { causes }.fail();
    }
    let rows = sum_by_server(statuses);
    let report = Report::new(Exit::Ok, table(&rows), &rows);
    Ok(failures
        .iter()
        .fold(report, |report, cause| report.with_note(cause)))
}

async fn query_all(addresses: &[SocketAddr], timeout: Millis) -> (Vec<LimitStatus>, Vec<String>) {
    let (mut all, mut failures) = (Vec::new(), Vec::new());
    for address in addresses {
        let head = RequestHead::new(Method::GET, Uri::from_static(LIMITS_PATH));
        let listed = metrics_address::query(*address, head, Body::empty(), timeout).await;
        let listed: Result<Vec<LimitStatus>, CliError> = listed;
        match listed {
            Ok(statuses) => all.extend(statuses),
            Err(error) => failures.push(error.to_string()),
        }
    }
    (all, failures)
}

fn sum_by_server(statuses: Vec<LimitStatus>) -> Vec<LimitRow> {
    let mut rows: BTreeMap<UpstreamName, LimitRow> = BTreeMap::new();
    for status in statuses {
        let Some(row) = rows.get_mut(&status.upstream) else {
            let id = status.upstream.clone();
            let known_by = 1;
            rows.insert(id, LimitRow { status, known_by });
            continue;
        };
        row.known_by += 1;
        let sum = &row.status;
        let (sent, held_back) = (sum.sent + status.sent, sum.held_back + status.held_back);
        let issued = match (sum.issued, status.issued) {
            (None, None) => None,
            (a, b) => Some(a.unwrap_or(0) + b.unwrap_or(0)),
        };
        if status.age_ms < row.status.age_ms {
            row.status = status;
        }
        row.status.sent = sent;
        row.status.issued = issued;
        row.status.held_back = held_back;
    }
    rows.into_values().collect()
}

fn table(rows: &[LimitRow]) -> String {
    let lines = rows.iter().map(|row| {
        let status = &row.status;
        let issuer = status.issuer.as_ref();
        vec![
            status.upstream.to_string(),
            status.service.to_string(),
            status.per_second.to_string(),
            format::duration(status.age_ms.0),
            status.sent.to_string(),
            status.issued.map_or("-".to_owned(), |n| n.to_string()),
            status.held_back.to_string(),
            issuer.map_or("-".to_owned(), |vm| vm.to_string()),
            row.known_by.to_string(),
        ]
    });
    let lines: Vec<Vec<String>> = lines.collect();
    let columns = [
        "SERVER",
        "SERVICE",
        "PER SECOND",
        "STATED",
        "SENT IN 4 S",
        "PERMITS IN 4 S",
        "HELD BACK",
        "ISSUER",
        "KNOWN BY",
    ];
    format::table(&columns, &lines)
}
