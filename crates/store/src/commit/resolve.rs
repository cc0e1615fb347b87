//! Finds out what became of a command whose answer was lost.

use crate::backoff::Backoff;
use crate::error::{Step, StoreError};
use crate::port::{Compare, Op, Store, Txn};

use super::head::{to_json, unreadable};
use super::{CommandId, CommandRecord, CommitOutcome, Rejection, command_of, keys};

/// How long a lost answer is searched for.
#[derive(Clone, Debug)]
pub struct ResolvePolicy {
    /// The most calls on the store.
    pub tries: u32,
    /// The wait between them.
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

/// Finds out what became of a command, and withdraws it where it has not taken effect.
///
/// Reading the key is not enough: where it is absent, the lost write may still be on its way
/// and take effect after the operator was told "not accepted". So this creates the key as
/// "withdrawn" if it does not exist. Either that write comes first, and the lost transaction
/// then fails its own compare whenever it arrives; or the lost one came first, and this one
/// fails and reads the accepted revision.
///
/// A withdrawn command stays withdrawn, whoever runs it again: a daemon that was paused with
/// an earlier copy of it could otherwise have it accepted after the operator was told "not
/// accepted". The same change is made by a new command.
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
    let answer = store.txn(txn).await?;
    if answer.succeeded {
        return Ok(CommandRecord::Withdrawn);
    }
    let record = command_of(store, answer.first_of(0))?;
    record.ok_or_else(|| {
        let message = format!("the record of command {command} is neither there nor absent");
        unreadable(store, Step::Txn, message)
    })
}
