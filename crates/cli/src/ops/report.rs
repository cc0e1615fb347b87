//! Commands that show the daemons' state: `status`, `explain` and `whoami`.

use heatherknot_operator::api::{
    DaemonStatus, ExplainRequest, ExplainResponse, RevisionCount, StatusResponse, WhoAmIResponse,
};
use serde_json::json;

use crate::client::Client;
use crate::error::CliError;
use crate::exit::Exit;
use crate::format;
use crate::parse::Invocation;
use crate::report::Report;

/// Shows which revision is in force on each daemon.
pub async fn status(client: &Client) -> Result<Report, CliError> {
    let answer: StatusResponse = client.call("status", &json!({})).await?;
    let mut human = format_counts(&answer.counts);
    if !answer.daemons.is_empty() {
        let rows: Vec<Vec<String>> = answer.daemons.iter().map(daemon_row).collect();
        let head = [
            "VM",
            "DOMAIN",
            "STATE",
            "REVISION",
            "IN FORCE",
            "HEARD",
            "CAN'T READ",
        ];
        human.push_str(&format::table(&head, &rows));
    }
    Ok(Report::new(Exit::Ok, human, &answer))
}

/// Formats the number of daemons on each revision.
pub fn format_counts(counts: &[RevisionCount]) -> String {
    let lines = counts.iter();
    lines
        .map(|count| format!("{} in force on {} daemons\n", count.revision, count.daemons))
        .collect()
}

fn daemon_row(daemon: &DaemonStatus) -> Vec<String> {
    vec![
        daemon.vm.to_string(),
        daemon.domain.to_string(),
        daemon.state.clone(),
        daemon.revision.to_string(),
        format!("for {}", format::duration(daemon.in_force_ms)),
        format!("{} ago", format::duration(daemon.age_ms)),
        daemon.unreadable.clone().unwrap_or_default(),
    ]
}

/// Explains how the requests of a caller are routed.
pub async fn explain(client: &Client, invocation: &Invocation) -> Result<Report, CliError> {
    let req = ExplainRequest {
        service: invocation.args[0].clone(),
        client: invocation.args[1].clone(),
    };
    let answer: ExplainResponse = client.call("explain", &req).await?;
    let places: Vec<String> = answer
        .places
        .iter()
        .map(|place| place.to_string())
        .collect();
    let rows = answer.steps.iter().map(|step| {
        let age = step.age_ms.map_or(String::new(), format::duration);
        let limit = step.limit.clone().unwrap_or_default();
        vec![step.subject.clone(), step.fact.clone(), limit, age]
    });
    let rows: Vec<Vec<String>> = rows.collect();
    let table = format::table(&["ABOUT", "FACT", "LIMIT", "REPORT AGE"], &rows);
    let human = format!("{}: {}\n{table}", answer.revision, places.join(", "));
    Ok(Report::new(Exit::Ok, human, &answer))
}

/// Shows the holder, the rights and the branch of the operator's key.
pub async fn whoami(client: &Client) -> Result<Report, CliError> {
    let answer: WhoAmIResponse = client.call("whoami", &json!({})).await?;
    let branch = if answer.branch.is_empty() {
        "the root"
    } else {
        &answer.branch
    };
    let human = format!(
        "key {} of {}: {} in {branch}\n",
        answer.key,
        answer.holder,
        answer.rights.join(", ")
    );
    Ok(Report::new(Exit::Ok, human, &answer))
}
