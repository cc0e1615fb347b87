//! Commits changes of the settings. Of concurrent writers only one succeeds, and the reported
//! outcome is correct even if the store's response was lost.

pub mod commands;
pub mod head;
pub mod history;
pub mod keys;
pub mod maintenance;
pub mod pack;
mod resolve;
pub mod snapshot;

use std::sync::Arc;

use bytes::Bytes;
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::error::{Effect, Step, StoreError};
use crate::port::{Compare, KeyValue, Op, Store, Txn};

use head::{Head, HeadRead, from_json, parse_head, to_json};
pub use keys::CommandId;
pub use resolve::{ResolvePolicy, resolve_command};

/// The number of attempts of a commit while others update the snapshot in the head but not its
/// revision.
const MAX_SNAPSHOT_CONFLICTS: u32 = 8;

/// A change to commit.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// The operator's command that makes the change.
    pub command: CommandId,
    /// The revision that the change is based on. The change creates the next revision.
    pub base: Revision,
    /// The change in the form in which it is stored and sent to daemons.
    pub change: Bytes,
    /// The hash of the change, in hexadecimal.
    pub hash: Arc<str>,
}

/// The outcome of a commit.
#[derive(Clone, Debug, PartialEq)]
pub enum CommitOutcome {
    /// This call or an earlier one of the same command created the given revision.
    Accepted(Revision),
    /// The change was not accepted, and no write of this call can take effect later.
    NotAccepted(Rejection),
    /// The change may have been accepted or may be accepted later. Running the same command again
    /// or calling [`resolve_command`] determines the outcome once the store responds.
    Unknown(StoreError),
}

/// The reason why a proposal was not accepted.
#[derive(Clone, Debug, PartialEq)]
pub enum Rejection {
    /// Another change was accepted first.
    Conflict {
        /// The newest revision.
        newest: Revision,
        /// The change that was accepted on top of the proposal's base, if it is not packed yet.
        winner: Option<Bytes>,
    },
    /// The command was withdrawn before it took effect, because a response had been lost. This is
    /// permanent; the change can be made by a new command.
    Withdrawn,
    /// The store rejected the call or could not be reached.
    Failed(StoreError),
}

/// The record of a command in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum CommandRecord {
    /// The command created this revision.
    Accepted(Revision),
    /// A writer withdrew the command after its response was lost.
    Withdrawn,
}

/// The result of one attempt of a commit.
enum Attempt {
    Done(CommitOutcome),
    Retry(HeadRead),
}

/// Commits a change in one transaction.
///
/// Without errors and conflicts this takes two calls to the store: a read and the transaction.
pub async fn commit(store: &Store, proposal: &Proposal, policy: &ResolvePolicy) -> CommitOutcome {
    let mut previous = match read_state(store, proposal).await {
        Ok(previous) => previous,
        Err(outcome) => return outcome,
    };
    for _ in 0..MAX_SNAPSHOT_CONFLICTS {
        match try_commit(store, proposal, &previous, policy).await {
            Attempt::Done(outcome) => return outcome,
            Attempt::Retry(newer) => previous = newer,
        }
    }
    let newest = previous.head.revision;
    let winner = None;
    CommitOutcome::NotAccepted(Rejection::Conflict { newest, winner })
}

/// Returns the revision that a command created, if any.
///
/// # Errors
///
/// Returns an error if the store does not respond or the command's record cannot be parsed.
pub async fn find_command(
    store: &Store,
    command: &CommandId,
) -> Result<Option<Revision>, StoreError> {
    let kv = store.get(&keys::command(command)).await?;
    Ok(match parse_command(store, kv.as_ref())? {
        Some(CommandRecord::Accepted(revision)) => Some(revision),
        Some(CommandRecord::Withdrawn) | None => None,
    })
}

async fn read_state(store: &Store, proposal: &Proposal) -> Result<HeadRead, CommitOutcome> {
    let reads = Txn {
        success: state_reads(proposal),
        ..Txn::default()
    };
    let found = store.txn(reads).await.map_err(failed_read)?;
    let found = StoredState {
        head: found.first_kv(0),
        command: found.first_kv(1),
        winner: found.first_kv(2),
    };
    match evaluate(store, proposal, &found) {
        Attempt::Done(outcome) => Err(outcome),
        Attempt::Retry(current) => Ok(current),
    }
}

async fn try_commit(
    store: &Store,
    proposal: &Proposal,
    previous: &HeadRead,
    policy: &ResolvePolicy,
) -> Attempt {
    let resp = match store.txn(accept_txn(proposal, previous)).await {
        Ok(resp) => resp,
        Err(err) if err.is_not_applied() => return Attempt::Done(not_accepted(err)),
        Err(err) => {
            log::warn!(
                command = proposal.command.as_str(), err:% = err;
                "no response to the commit; resolving its outcome"
            );
            let outcome = resolve_command(store, &proposal.command, policy).await;
            return Attempt::Done(outcome);
        }
    };
    if resp.succeeded {
        return Attempt::Done(CommitOutcome::Accepted(proposal.base.next()));
    }
    let found = StoredState {
        head: resp.first_kv(0),
        command: resp.first_kv(1),
        winner: resp.first_kv(2),
    };
    evaluate(store, proposal, &found)
}

/// Builds the transaction that accepts the change.
///
/// It requires that the head is unchanged, so that of two concurrent writers only one succeeds. It
/// also requires that the command has no record yet: a delayed copy of the transaction thus has no
/// effect once the command was accepted or withdrawn.
fn accept_txn(proposal: &Proposal, previous: &HeadRead) -> Txn {
    let revision = proposal.base.next();
    let head = Head {
        revision,
        hash: proposal.hash.clone(),
        snapshot: previous.head.snapshot.clone(),
    };
    let command = keys::command(&proposal.command);
    let record = CommandRecord::Accepted(revision);
    Txn {
        compares: vec![
            Compare::unchanged(keys::HEAD, previous.mod_revision),
            Compare::absent(&*command),
        ],
        success: vec![
            Op::put(keys::HEAD, to_json(&head)),
            Op::put(keys::change(revision), proposal.change.clone()),
            Op::put(command, to_json(&record)),
        ],
        failure: state_reads(proposal),
    }
}

fn state_reads(proposal: &Proposal) -> Vec<Op> {
    vec![
        Op::get(keys::HEAD),
        Op::get(keys::command(&proposal.command)),
        Op::get(keys::change(proposal.base.next())),
    ]
}

struct StoredState<'a> {
    head: Option<&'a KeyValue>,
    command: Option<&'a KeyValue>,
    winner: Option<&'a KeyValue>,
}

/// Determines from the state of the store whether the proposal can still be accepted.
fn evaluate(store: &Store, proposal: &Proposal, found: &StoredState<'_>) -> Attempt {
    let record = match parse_command(store, found.command) {
        Ok(record) => record,
        Err(err) => return Attempt::Done(not_accepted(err)),
    };
    match record {
        Some(CommandRecord::Accepted(revision)) => {
            return Attempt::Done(CommitOutcome::Accepted(revision));
        }
        Some(CommandRecord::Withdrawn) => {
            return Attempt::Done(CommitOutcome::NotAccepted(Rejection::Withdrawn));
        }
        None => {}
    }
    let head = match parse_head(store, Step::Txn, found.head) {
        Ok(head) => head,
        Err(err) => return Attempt::Done(not_accepted(err)),
    };
    if head.head.revision != proposal.base {
        let rejection = Rejection::Conflict {
            newest: head.head.revision,
            winner: found.winner.map(|kv| kv.value.clone()),
        };
        return Attempt::Done(CommitOutcome::NotAccepted(rejection));
    }
    Attempt::Retry(head)
}

pub(crate) fn parse_command(
    store: &Store,
    kv: Option<&KeyValue>,
) -> Result<Option<CommandRecord>, StoreError> {
    kv.map(|kv| from_json(store, Step::Txn, kv)).transpose()
}

fn not_accepted(err: StoreError) -> CommitOutcome {
    CommitOutcome::NotAccepted(Rejection::Failed(err))
}

/// Returns the outcome of a commit whose initial read failed, and which has thus written nothing.
fn failed_read(err: StoreError) -> CommitOutcome {
    not_accepted(StoreError {
        effect: Effect::NotApplied,
        ..err
    })
}
