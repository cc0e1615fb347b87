//! Waiting until a revision is in force on every daemon.

use heatherknot_operator::api::{MAX_WAIT_MS, WaitRequest, WaitResponse};
use heatherknot_types::prelude::*;

use super::report::counts;
use crate::client::Client;
use crate::error::CliError;
use crate::exit::Exit;
use crate::options::revision;
use crate::parse::Invocation;
use crate::report::Report;

/// The part of the time left that the last call may not use, so that its answer still comes.
const MARGIN: Millis = Millis(500);

/// Waits as the command line says.
pub async fn wait(client: &Client, invocation: &Invocation) -> Result<Report, CliError> {
    let asked = revision("REVISION", &invocation.args[0])?;
    let answer = until_in_force(client, asked).await?;
    let exit = if answer.in_force {
        Exit::Ok
    } else {
        Exit::Failed
    };
    let report = Report::new(exit, counts(&answer.counts), &answer);
    Ok(match answer.in_force {
        true => report,
        false => report.with_note(&format!("{asked} is not in force everywhere yet")),
    })
}

/// Waits until a revision is in force on every daemon or the client's time is over.
pub async fn until_in_force(client: &Client, asked: Revision) -> Result<WaitResponse, CliError> {
    loop {
        let left = client.time_left().since(MARGIN);
        let req = WaitRequest {
            revision: asked,
            timeout_ms: left.0.min(MAX_WAIT_MS),
        };
        let answer: WaitResponse = client.call_for("wait", &req, left).await?;
        if answer.in_force || client.time_left() <= MARGIN {
            return Ok(answer);
        }
    }
}
