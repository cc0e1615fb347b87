//! Determines the outcome of a command whose response was lost.

use crate::backoff::Backoff;
use crate::error::{Step, StoreError};
use crate::port::{Compare, Op, Store, Txn};

use super::head::{to_json, unreadable};
use super::{CommandId, CommandRecord, CommitOutcome, Rejection, keys, parse_command};

/// The retry policy of [`resolve_command`].
#[derive(Clone, Debug)]
pub struct ResolvePolicy {
    /// The maximum number of attempts.
    pub tries: u32,
    /// The delays between attempts.
    pub backoff: Backoff,
}

impl Default for ResolvePolicy {
    fn default() -> Self {
        Self {
            tries: 5,
            backoff: Backoff::default(),
        }
    }
}

/// Determines the outcome of a command, and withdraws it if it has not taken effect.
///
/// Reading the command's key is not sufficient: if it does not exist, the lost transaction may
/// still be in flight and take effect after the operator was told "not accepted". Therefore this
/// creates the key with the value "withdrawn" if it does not exist. If this write is applied
/// first, the precondition of the lost transaction fails whenever it arrives. Otherwise this
/// write fails and returns the accepted revision.
///
/// A withdrawn command stays withdrawn when it is retried. Otherwise a daemon that was paused
/// while it ran an earlier copy could still have the command accepted after the operator was told
/// "not accepted". The same change can be made by a new command.
pub async fn resolve_command(
    store: &Store,
    command: &CommandId,
    policy: &ResolvePolicy,
) -> CommitOutcome {
    let mut tries = 0;
    loop {
        let err = match withdraw(store, command).await {
            Ok(CommandRecord::Accepted(revision)) => return CommitOutcome::Accepted(revision),
            Ok(CommandRecord::Withdrawn) => {
                return CommitOutcome::NotAccepted(Rejection::Withdrawn);
            }
            Err(err) => err,
        };
        tries += 1;
        if tries >= policy.tries {
            return CommitOutcome::Unknown(err);
        }
        policy.backoff.pause(tries).await;
    }
}

async fn withdraw(store: &Store, command: &CommandId) -> Result<CommandRecord, StoreError> {
    let key = keys::command(command);
    let withdrawn = to_json(&CommandRecord::Withdrawn);
    let txn = Txn {
        compares: vec![Compare::absent(&*key)],
        success: vec![Op::put(&*key, withdrawn)],
        failure: vec![Op::get(key)],
    };
    let resp = store.txn(txn).await?;
    if resp.succeeded {
        return Ok(CommandRecord::Withdrawn);
    }
    let record = parse_command(store, resp.first_kv(0))?;
    record.ok_or_else(|| {
        let message = format!("the record of command {command} is neither there nor absent");
        unreadable(store, Step::Txn, message)
    })
}
