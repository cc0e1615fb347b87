//! Shows what daemons know of client accounts.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use heatherknot_edge::daemon::ACCOUNTS_PATH;
use heatherknot_edge::quota::status::AccountStatus;
use heatherknot_http::{Body, Pool, PoolConfig, RequestHead, Response, SendOptions};
use heatherknot_types::prelude::*;
use http::{Method, StatusCode, Uri};
use monoio::{LegacyDriver, RuntimeBuilder};
use serde::Serialize;
use snafu::ResultExt;

use crate::error::{CliError, RefusedSnafu, StartSnafu, UnreachedSnafu, UnreadableSnafu};
use crate::exit::Exit;
use crate::parse::Invocation;
use crate::report::Report;
use crate::text;

/// The longest answer, in bytes: 200 for each of 40,000 accounts.
const MAX_ANSWER: usize = 8 << 20;

/// What one daemon knows of an account.
#[derive(Debug, Serialize)]
struct Row {
    daemon: SocketAddr,
    #[serde(flatten)]
    report: AccountStatus,
}

/// Shows what the daemons at the given metrics addresses know of client accounts.
///
/// The head of a failure domain knows what all VMs are asked for; another VM knows only what it
/// admits. So a row that tells what is asked goes before one that does not.
pub fn accounts(invocation: &Invocation) -> Result<Report, CliError> {
    let addresses = addresses(&invocation.args)?;
    let timeout = invocation.options.timeout()?;
    let builder = RuntimeBuilder::<LegacyDriver>::new();
    let mut runtime = builder.enable_timer().build().context(StartSnafu)?;
    let (rows, failed) = runtime.block_on(ask_all(&addresses, timeout));
    if rows.is_empty() && !failed.is_empty() {
        let causes = failed.join("; ");
        return UnreachedSnafu { causes }.fail();
    }
    let best = best_rows(rows);
    let report = Report::new(Exit::Ok, table(&best), &best);
    Ok(failed
        .iter()
        .fold(report, |report, cause| report.with_note(cause)))
}

fn addresses(args: &[String]) -> Result<Vec<SocketAddr>, CliError> {
    let parse = |text: &String| {
        let wrong = |_| {
            let message = format!("ADDRESS: found `{text}`, expected one such as 10.1.0.18:7215");
            CliError::usage(message)
        };
        text.parse().map_err(wrong)
    };
    args.iter().map(parse).collect()
}

async fn ask_all(addresses: &[SocketAddr], timeout: Millis) -> (Vec<Row>, Vec<String>) {
    let (mut rows, mut failed) = (Vec::new(), Vec::new());
    for address in addresses {
        match ask(*address, timeout).await {
            Ok(reports) => rows.extend(reports.into_iter().map(|report| Row {
                daemon: *address,
                report,
            })),
            Err(error) => failed.push(error.to_string()),
        }
    }
    (rows, failed)
}

async fn ask(address: SocketAddr, timeout: Millis) -> Result<Vec<AccountStatus>, CliError> {
    let clock = Clock::system();
    let options = SendOptions {
        deadline: Some(clock.now() + timeout),
        idempotent: true,
        new_connection: false,
    };
    let pool = Pool::new(address, PoolConfig::default(), clock);
    let head = RequestHead::new(Method::GET, Uri::from_static(ACCOUNTS_PATH));
    let response = pool.send(head, Body::empty(), options).await;
    let response = response.map_err(|error| CliError::Unreached {
        causes: format!("{address}: {error}"),
    })?;
    read(address, response).await
}

async fn read(peer: SocketAddr, response: Response) -> Result<Vec<AccountStatus>, CliError> {
    if response.status != StatusCode::OK {
        let error = response.status.to_string();
        return RefusedSnafu { peer, error }.fail();
    }
    let unreadable = |problem: String| UnreadableSnafu { peer, problem }.build();
    let body = response.body.collect(MAX_ANSWER).await;
    let body = body.map_err(|error| unreadable(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| unreadable(error.to_string()))
}

/// Gives one row for each account: of the daemon that knows most of it.
fn best_rows(rows: Vec<Row>) -> Vec<Row> {
    let mut best: BTreeMap<AccountName, Row> = BTreeMap::new();
    for row in rows {
        let known = |row: &Row| (row.report.asked.is_some(), row.report.part.is_some());
        match best.get(&row.report.account) {
            Some(other) if known(other) >= known(&row) => {}
            _ => {
                best.insert(row.report.account.clone(), row);
            }
        }
    }
    best.into_values().collect()
}

fn table(rows: &[Row]) -> String {
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
                .map_or("-".to_owned(), |age| text::span(age.0)),
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
    text::table(&columns, &lines)
}
