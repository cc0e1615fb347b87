//! Commands that change settings: `set`, `unset`, `apply`, `undo`, `drain` and `undrain`.

use heatherknot_operator::api::{
    Action, ChangeOutcome, ChangeRequest, ChangeResponse, DrainTarget,
};
use heatherknot_settings::audit::AuditEntry;
use heatherknot_types::prelude::*;
use serde_json::{Value as Json, json};
use snafu::ResultExt;
use std::io::Read as _;

use super::read::format_entry;
use super::wait::wait_until_in_force;
use crate::client::{ChangeResult, Client};
use crate::command::Command;
use crate::error::{CliError, FileSnafu, JsonSnafu, RandomSnafu};
use crate::exit::Exit;
use crate::format;
use crate::options::{Opt, revision};
use crate::parse::Invocation;
use crate::report::Report;

/// The length in bytes of a generated command identifier.
const COMMAND_ID_BYTES: usize = 8;

/// Sends a change to the daemons and reports its outcome.
pub async fn change(client: &Client, invocation: &Invocation) -> Result<Report, CliError> {
    let req = ChangeRequest {
        command: command_id(invocation)?,
        base: invocation.options.revision(Opt::Base)?,
        dry_run: invocation.options.has(Opt::DryRun),
        action: action(invocation)?,
    };
    let report = match client.change(&req).await {
        ChangeResult::Answered(answer) => answer_report(&req, &answer),
        // With `--command-id` this may repeat a run whose answer was lost. A daemon that can't
        // reach the store can't look up whether that run was accepted. Reporting "not accepted"
        // could lead the operator to make the change twice.
        ChangeResult::StoreUnavailable(cause) if invocation.options.has(Opt::CommandId) => {
            unknown_report(&req, &cause)
        }
        ChangeResult::NotAccepted(reason) | ChangeResult::StoreUnavailable(reason) => {
            not_accepted_report(&req, &reason, &[])
        }
        ChangeResult::Unknown(cause) => unknown_report(&req, &cause),
    };
    if report.exit != Exit::Ok || req.dry_run || !invocation.options.has(Opt::Wait) {
        return Ok(report);
    }
    wait_for_change(client, report).await
}

fn command_id(invocation: &Invocation) -> Result<String, CliError> {
    if let Some(id) = invocation.options.value(Opt::CommandId) {
        return Ok(id.to_string());
    }
    let mut bytes = [0; COMMAND_ID_BYTES];
    getrandom::fill(&mut bytes).map_err(|cause| RandomSnafu { cause }.build())?;
    Ok(format!("{:016x}", u64::from_be_bytes(bytes)))
}

fn action(invocation: &Invocation) -> Result<Action, CliError> {
    let args = &invocation.args;
    Ok(match invocation.command {
        Command::Set => Action::Set {
            path: args[0].clone(),
            value: parse_value(&args[1]),
        },
        Command::Apply => Action::Set {
            path: invocation
                .options
                .value(Opt::Path)
                .unwrap_or_default()
                .to_string(),
            value: read_json_file(&args[0])?,
        },
        Command::Unset => Action::Unset {
            path: args[0].clone(),
        },
        Command::Undo => Action::Undo {
            revision: revision("REVISION", &args[0])?,
        },
        _ => Action::Drain {
            target: drain_target(&args[0], &args[1])?,
            draining: invocation.command == Command::Drain,
        },
    })
}

/// Parses a value of the command line as JSON; text that is not JSON becomes a JSON string.
fn parse_value(text: &str) -> Json {
    serde_json::from_str(text).unwrap_or_else(|_| json!(text))
}

fn read_json_file(path: &str) -> Result<Json, CliError> {
    let operation = "read";
    let mut text = String::new();
    let read = match path {
        "-" => std::io::stdin().read_to_string(&mut text).map(|_| ()),
        _ => std::fs::read_to_string(path).map(|content| text = content),
    };
    read.context(FileSnafu { operation, path })?;
    serde_json::from_str(&text).context(JsonSnafu { path })
}

fn drain_target(kind: &str, name: &str) -> Result<DrainTarget, CliError> {
    let name = name.to_string();
    match kind {
        "place" => Ok(DrainTarget::Place { name }),
        "region" => Ok(DrainTarget::Region { name }),
        "vm" => {
            let parts = name.split_once('/');
            let error = || CliError::usage(format!("NAME: found `{name}`, expected DOMAIN/VM"));
            let (domain, vm) = parts.ok_or_else(error)?;
            Ok(DrainTarget::Vm {
                domain: domain.to_string(),
                name: vm.to_string(),
            })
        }
        "server" => {
            let expected = "expected an IP number and a port";
            let error = |_| CliError::usage(format!("NAME: found `{name}`, {expected}"));
            let address = name.parse().map_err(error)?;
            Ok(DrainTarget::BackendServer { address })
        }
        _ => {
            let expected = "expected vm, server, place or region";
            Err(CliError::usage(format!("found `{kind}`, {expected}")))
        }
    }
}

fn answer_report(req: &ChangeRequest, answer: &ChangeResponse) -> Report {
    let edits = format::edits(&answer.edits);
    match (answer.outcome, answer.revision) {
        (ChangeOutcome::Accepted, Some(revision)) => {
            Report::new(Exit::Ok, format!("accepted as {revision}\n{edits}"), answer)
        }
        (ChangeOutcome::Unchanged, Some(revision)) => {
            let human = format!("nothing to change: {revision} already is as asked\n");
            Report::new(Exit::Ok, human, answer)
        }
        (ChangeOutcome::Checked, _) => {
            Report::new(Exit::Ok, format!("would be accepted\n{edits}"), answer)
        }
        _ => {
            let reason = answer.reason.clone().unwrap_or_default();
            not_accepted_report(req, &reason, &answer.conflicts)
        }
    }
}

fn not_accepted_report(req: &ChangeRequest, reason: &str, conflicts: &[AuditEntry]) -> Report {
    let answer = ChangeResponse {
        outcome: ChangeOutcome::NotAccepted,
        revision: None,
        edits: Vec::new(),
        reason: Some(reason.to_string()),
        conflicts: conflicts.to_vec(),
    };
    let shown: String = conflicts.iter().map(format_entry).collect();
    let human = format!("not accepted: {reason}\n{shown}");
    Report::new(Exit::NotAccepted, human, &with_command_id(req, &answer))
}

fn unknown_report(req: &ChangeRequest, cause: &str) -> Report {
    let answer = ChangeResponse {
        outcome: ChangeOutcome::Unknown,
        revision: None,
        edits: Vec::new(),
        reason: Some(cause.to_string()),
        conflicts: Vec::new(),
    };
    let human = format!("unknown: {cause}\n");
    let again = format!(
        "the change may have been accepted; run the same command with --command-id {} to find out",
        req.command
    );
    Report::new(Exit::Unknown, human, &with_command_id(req, &answer)).with_note(&again)
}

/// Adds the command identifier to the JSON, so that a program can repeat the command with it.
fn with_command_id(req: &ChangeRequest, answer: &ChangeResponse) -> Json {
    let mut json = json!(answer);
    json["command"] = json!(req.command);
    json
}

/// Waits until an accepted change is in force. A failed wait does not undo the change, so the
/// report still names it as accepted.
async fn wait_for_change(client: &Client, accepted: Report) -> Result<Report, CliError> {
    let Some(revision) = accepted.json["revision"].as_u64().map(Revision) else {
        return Ok(accepted);
    };
    let note = match wait_until_in_force(client, revision).await {
        Ok(answer) if answer.in_force => {
            let human = format!("{}in force everywhere\n", accepted.human);
            return Ok(Report { human, ..accepted });
        }
        Ok(_) => format!("{revision} is accepted, but not in force everywhere yet"),
        Err(error) => format!("{revision} is accepted; waiting for it failed: {error}"),
    };
    let exit = Exit::Failed;
    Ok(Report { exit, ..accepted }.with_note(&note))
}
