//! Commands that read settings and their history: `get`, `effective`, `diff`, `history`, `audit`.

use heatherknot_operator::api::{
    AuditResponse, DiffRequest, DiffResponse, EffectiveResponse, GetResponse, HistoryRequest,
    HistoryResponse, PathRequest,
};
use heatherknot_settings::audit::AuditEntry;

use crate::client::Client;
use crate::error::CliError;
use crate::exit::Exit;
use crate::format;
use crate::options::{Opt, Options, revision};
use crate::parse::Invocation;
use crate::report::Report;

fn path_request(invocation: &Invocation) -> PathRequest {
    PathRequest {
        path: invocation.args.first().cloned().unwrap_or_default(),
    }
}

/// Shows the node at a path.
pub async fn get(client: &Client, invocation: &Invocation) -> Result<Report, CliError> {
    let answer: GetResponse = client.call("get", &path_request(invocation)).await?;
    let human = format!("{:#}\n", answer.value);
    Ok(Report::new(Exit::Ok, human, &answer))
}

/// Shows the settings in force at a node.
pub async fn effective(client: &Client, invocation: &Invocation) -> Result<Report, CliError> {
    let answer: EffectiveResponse = client.call("effective", &path_request(invocation)).await?;
    let rows = answer.values.iter().map(|row| {
        let limit = row.limit.map_or(String::new(), |limit| limit.to_string());
        let value = row.value.to_string();
        vec![
            row.key.clone(),
            value,
            row.unit.clone(),
            limit,
            row.origin.clone(),
        ]
    });
    let rows: Vec<Vec<String>> = rows.collect();
    let human = format::table(&["KEY", "VALUE", "UNIT", "LIMIT", "FROM"], &rows);
    Ok(Report::new(Exit::Ok, human, &answer))
}

/// Shows the difference between two revisions.
pub async fn diff(client: &Client, invocation: &Invocation) -> Result<Report, CliError> {
    let to = invocation.args.get(1);
    let req = DiffRequest {
        from: revision("FROM", &invocation.args[0])?,
        to: to.map(|text| revision("TO", text)).transpose()?,
        path: invocation
            .options
            .value(Opt::Path)
            .unwrap_or_default()
            .to_string(),
    };
    let answer: DiffResponse = client.call("diff", &req).await?;
    let human = format::edits(&answer.edits);
    Ok(Report::new(Exit::Ok, human, &answer))
}

fn history_request(options: &Options) -> Result<HistoryRequest, CliError> {
    let limit = options.number(Opt::Limit)?;
    Ok(HistoryRequest {
        after: options.revision(Opt::After)?.unwrap_or_default(),
        limit: limit.map(|limit| usize::try_from(limit).unwrap_or(usize::MAX)),
    })
}

/// Lists the changes of the branch.
pub async fn history(client: &Client, invocation: &Invocation) -> Result<Report, CliError> {
    let req = history_request(&invocation.options)?;
    let answer: HistoryResponse = client.call("history", &req).await?;
    let lines = answer.changes.iter().map(|entry| {
        let time = format::utc_time(entry.at_ms);
        format!("{}  {time}  {}\n", entry.revision, entry.paths.join(" "))
    });
    let report = Report::new(Exit::Ok, lines.collect(), &answer);
    Ok(match answer.more {
        true => report.with_note(&format!("more with --after {}", answer.seen)),
        false => report,
    })
}

/// Shows the audit trail of the branch.
pub async fn audit(client: &Client, invocation: &Invocation) -> Result<Report, CliError> {
    let req = history_request(&invocation.options)?;
    let answer: AuditResponse = client.call("audit", &req).await?;
    let human: String = answer.entries.iter().map(format_entry).collect();
    let exit = if answer.broken.is_some() {
        Exit::Failed
    } else {
        Exit::Ok
    };
    let mut report = Report::new(exit, human, &answer);
    if answer.more {
        report = report.with_note(&format!("more with --after {}", answer.seen));
    }
    Ok(match &answer.broken {
        Some(problem) => report.with_note(&format!("the chain is broken: {problem}")),
        None => report,
    })
}

/// Formats one entry of the audit trail.
pub fn format_entry(entry: &AuditEntry) -> String {
    let head = format!(
        "{}  {}  {} (key {}, command {})\n",
        entry.revision,
        format::utc_time(entry.at_ms),
        entry.who,
        entry.key,
        entry.command
    );
    head + &format::edits(&entry.edits)
}
