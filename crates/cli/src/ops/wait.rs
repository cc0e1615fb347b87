//! The `wait` command: waits until a revision is in force on every daemon.

use heatherknot_operator::api::{MAX_WAIT_MS, WaitRequest, WaitResponse};
use heatherknot_types::prelude::*;

use super::report::format_counts;
use crate::client::Client;
use crate::error::CliError;
use crate::exit::Exit;
use crate::options::revision;
use crate::parse::Invocation;
use crate::report::Report;

/// The time kept free at the end of the timeout, so that the last answer arrives before it.
const ANSWER_MARGIN: Millis = Millis(500);

/// Waits for the revision of the command line.
pub async fn wait(client: &Client, invocation: &Invocation) -> Result<Report, CliError> {
    let target = revision("REVISION", &invocation.args[0])?;
    let answer = wait_until_in_force(client, target).await?;
    let exit = if answer.in_force {
        Exit::Ok
    } else {
        Exit::Failed
    };
    let report = Report::new(exit, format_counts(&answer.counts), &answer);
    Ok(match answer.in_force {
        true => report,
        false => report.with_note(&format!("{target} is not in force everywhere yet")),
    })
}

/// Waits until a revision is in force on every daemon or the client's timeout expires.
pub async fn wait_until_in_force(
    client: &Client,
    target: Revision,
) -> Result<WaitResponse, CliError> {
    loop {
        let left = client.time_left().since(ANSWER_MARGIN);
        let req = WaitRequest {
            revision: target,
            timeout_ms: left.0.min(MAX_WAIT_MS),
        };
        let answer: WaitResponse = client.call_with_server_wait("wait", &req, left).await?;
        if answer.in_force || client.time_left() <= ANSWER_MARGIN {
            return Ok(answer);
        }
    }
}
