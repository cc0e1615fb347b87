//! The `rejected` and `release` commands: list requests during which backend servers ended, and
//! allow rejected ones to run again.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use heatherknot_edge::poison::fingerprint::Fingerprint;
use heatherknot_edge::poison::status::{
    REJECTED_PATH, RELEASE_PATH, RELEASE_PURPOSE, ReleaseRequest, ReleaseTarget, SuspectStatus,
};
use heatherknot_http::{Body, RequestHead};
use heatherknot_peer::Secret;
use heatherknot_types::prelude::*;
use http::header::AUTHORIZATION;
use http::{HeaderValue, Method, Uri};
use monoio::{LegacyDriver, RuntimeBuilder};
use serde::Serialize;
use snafu::ResultExt;

use super::metrics_address;
use crate::env::Env;
use crate::error::{CliError, NoAnswerSnafu, StartSnafu};
use crate::exit::Exit;
use crate::format;
use crate::key_source;
use crate::options::Opt;
use crate::parse::Invocation;
use crate::report::Report;

/// The operator's name in a release without `--holder`.
const DEFAULT_OPERATOR: &str = "unnamed";

/// The status of one suspected or rejected request, and the daemons that reported it.
#[derive(Debug, Serialize)]
struct SuspectRow {
    #[serde(flatten)]
    status: SuspectStatus,
    daemons: Vec<SocketAddr>,
}

/// Lists the suspected and rejected requests of the daemons at the given metrics addresses.
pub(super) fn rejected(invocation: &Invocation) -> Result<Report, CliError> {
    let addresses = metrics_address::parse_all(&invocation.args)?;
    let timeout = invocation.options.timeout()?;
    let (rows, failures) = block_on(list_all(&addresses, timeout))?;
    if rows.is_empty() && failures.len() == addresses.len() {
        let causes = failures.join("; ");
        return NoAnswerSnafu { causes }.fail();
    }
    let report = Report::new(Exit::Ok, table(&rows), &rows);
    Ok(failures
        .iter()
        .fold(report, |report, cause| report.with_note(cause)))
}

/// Releases requests at the first daemon that answers; it forwards the release to the others.
pub(super) fn release(invocation: &Invocation, env: &Env) -> Result<Report, CliError> {
    let Some((target, addresses)) = invocation.args.split_first() else {
        return Err(CliError::usage(
            "expected `release FINGERPRINT|route=NAME|all ADDRESS...`",
        ));
    };
    let release = ReleaseRequest {
        which: parse_target(target)?,
        dry_run: invocation.options.has(Opt::DryRun),
        operator: invocation
            .options
            .value(Opt::Holder)
            .unwrap_or(DEFAULT_OPERATOR)
            .to_owned(),
    };
    let addresses = metrics_address::parse_all(addresses)?;
    let secret = key_source::read(&invocation.options, env)?;
    let token = Secret::new(secret.as_bytes()).token(RELEASE_PURPOSE);
    let timeout = invocation.options.timeout()?;
    let released = block_on(release_at_first_responder(
        &addresses, &release, &token, timeout,
    ))??;
    let (daemon, statuses) = released;
    let rows: Vec<SuspectRow> = statuses
        .into_iter()
        .map(|status| SuspectRow {
            status,
            daemons: vec![daemon],
        })
        .collect();
    let done = match release.dry_run {
        true => "would be released",
        false => "released",
    };
    let human = format!("{} {done}\n{}", rows.len(), table(&rows));
    Ok(Report::new(Exit::Ok, human, &rows))
}

fn parse_target(text: &str) -> Result<ReleaseTarget, CliError> {
    if text == "all" {
        return Ok(ReleaseTarget::All);
    }
    if let Some(route) = text.strip_prefix("route=") {
        return Ok(ReleaseTarget::Route(route.into()));
    }
    let fingerprint: Result<Fingerprint, _> = text.parse();
    let invalid = |error| CliError::usage(format!("{error}, or route=NAME, or all"));
    fingerprint.map(ReleaseTarget::Fingerprint).map_err(invalid)
}

fn block_on<T>(task: impl Future<Output = T>) -> Result<T, CliError> {
    let builder = RuntimeBuilder::<LegacyDriver>::new();
    let mut runtime = builder.enable_timer().build().context(StartSnafu)?;
    Ok(runtime.block_on(task))
}

async fn list_all(addresses: &[SocketAddr], timeout: Millis) -> (Vec<SuspectRow>, Vec<String>) {
    let mut rows: BTreeMap<(bool, Fingerprint), SuspectRow> = BTreeMap::new();
    let mut failures = Vec::new();
    for address in addresses {
        let head = RequestHead::new(Method::GET, Uri::from_static(REJECTED_PATH));
        let listed = metrics_address::query(*address, head, Body::empty(), timeout).await;
        let statuses: Vec<SuspectStatus> = match listed {
            Ok(statuses) => statuses,
            Err(error) => {
                failures.push(error.to_string());
                continue;
            }
        };
        for status in statuses {
            let row = rows
                .entry((!status.is_rejected, status.fingerprint))
                .or_insert(SuspectRow {
                    status,
                    daemons: Vec::new(),
                });
            row.daemons.push(*address);
        }
    }
    (rows.into_values().collect(), failures)
}

async fn release_at_first_responder(
    addresses: &[SocketAddr],
    release: &ReleaseRequest,
    token: &str,
    timeout: Millis,
) -> Result<(SocketAddr, Vec<SuspectStatus>), CliError> {
    let mut causes = Vec::new();
    for address in addresses {
        let mut head = RequestHead::new(Method::POST, Uri::from_static(RELEASE_PATH));
        let value = HeaderValue::try_from(format!("Bearer {token}"));
        head.headers.insert(
            AUTHORIZATION,
            value.expect("a token consists of hexadecimal digits"),
        );
        let body = serde_json::to_vec(release).expect("a release request always serializes");
        match metrics_address::query(*address, head, Body::full(body), timeout).await {
            Ok(statuses) => return Ok((*address, statuses)),
            Err(CliError::NoAnswer { causes: cause }) => causes.push(cause),
            Err(error) => return Err(error),
        }
    }
    let causes = causes.join("; ");
    NoAnswerSnafu { causes }.fail()
}

fn table(rows: &[SuspectRow]) -> String {
    let lines = rows.iter().map(|row| {
        let status = &row.status;
        let account = status.account.as_ref();
        let standing = match status.is_rejected {
            true => "rejected",
            false => "suspected",
        };
        let until = status.until_s.filter(|_| status.is_rejected);
        vec![
            status.fingerprint.to_string(),
            standing.to_owned(),
            status.route.to_string(),
            account.map_or("-".to_owned(), |name| name.to_string()),
            status.ends.to_string(),
            format::duration(status.changed_ms_ago.0),
            until.map_or("-".to_owned(), |until| until.to_string()),
            status
                .written_by
                .as_ref()
                .map_or("-".to_owned(), |vm| vm.to_string()),
            row.daemons.len().to_string(),
        ]
    });
    let lines: Vec<Vec<String>> = lines.collect();
    let columns = [
        "FINGERPRINT",
        "STANDING",
        "ROUTE",
        "ACCOUNT",
        "ENDS",
        "LAST NEWS",
        "UNTIL",
        "WRITTEN BY",
        "KNOWN BY",
    ];
    format::table(&columns, &lines)
}
