//! Implementations of the commands.

mod accounts;
mod admission;
mod change;
mod key;
mod limits;
mod logs;
mod losses;
mod metrics_address;
mod read;
mod rejected;
mod replay;
mod report;
mod rollouts;
mod trace;
mod wait;

use heatherknot_types::prelude::*;
use monoio::{LegacyDriver, RuntimeBuilder};
use snafu::ResultExt;

use crate::client::Client;
use crate::command::Command;
use crate::env::Env;
use crate::error::{CliError, StartSnafu};
use crate::key_source;
use crate::parse::Invocation;
use crate::report::Report;

/// Runs a command and returns its report.
///
/// # Errors
///
/// Returns the [`CliError`] of the step that failed.
pub fn run(invocation: &Invocation, env: &Env) -> Result<Report, CliError> {
    match invocation.command {
        Command::NewKey => return key::new_key(invocation),
        Command::Replay => return replay::replay(invocation),
        Command::Trace => return trace::trace(invocation),
        Command::Losses => return losses::losses(invocation),
        Command::Accounts => return accounts::accounts(invocation),
        Command::Rejected => return rejected::rejected(invocation),
        Command::Admission => return admission::admission(invocation),
        Command::Limits => return limits::limits(invocation),
        Command::Rollouts => return rollouts::rollouts(invocation),
        Command::Release => return rejected::release(invocation, env),
        _ => {}
    }
    let servers = invocation.options.servers(env.servers.as_deref())?;
    let secret = key_source::read(&invocation.options, env)?;
    let timeout = invocation.options.timeout()?;
    let client = Client::new(&servers, &secret, Clock::system(), timeout)?;
    let builder = RuntimeBuilder::<LegacyDriver>::new();
    let mut runtime = builder.enable_timer().build().context(StartSnafu)?;
    runtime.block_on(call_daemons(&client, invocation))
}

async fn call_daemons(client: &Client, invocation: &Invocation) -> Result<Report, CliError> {
    match invocation.command {
        Command::Get => read::get(client, invocation).await,
        Command::Effective => read::effective(client, invocation).await,
        Command::Diff => read::diff(client, invocation).await,
        Command::History => read::history(client, invocation).await,
        Command::Audit => read::audit(client, invocation).await,
        Command::Status => report::status(client).await,
        Command::Explain => report::explain(client, invocation).await,
        Command::WhoAmI => report::whoami(client).await,
        Command::Wait => wait::wait(client, invocation).await,
        _ => change::change(client, invocation).await,
    }
}
