//! Accepts changes of the settings: one winner among racing writers, and a truthful answer
//! where the store's own answer was lost.

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

use head::{Head, HeadRead, from_json, head_of, to_json};
pub use keys::CommandId;
pub use resolve::{ResolvePolicy, resolve_command};

/// How often a commit starts over because the head's snapshot moved, not its revision.
const MAX_SNAPSHOT_RACES: u32 = 8;

/// A change that an operator wants accepted.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// The command that makes the change.
    pub command: CommandId,
    /// The revision that the change was made from; the change becomes the next one.
    pub base: Revision,
    /// The change, as it is stored and sent to daemons.
    pub change: Bytes,
    /// The hash of the change, as hexadecimal text.
    pub hash: Arc<str>,
}

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum CommitOutcome {
    /// The command's change is the given revision, by this call or an earlier one.
    Accepted(Revision),
    /// The change was not accepted and no write of this call will take effect any more.
    NotAccepted(Rejection),
    /// The change may have been accepted or may still be. The same command run again, or
    /// [`resolve_command`], finds it out once the store answers.
    Unknown(StoreError),
}

/// Why a proposal was not accepted.
#[derive(Clone, Debug, PartialEq)]
pub enum Rejection {
    /// Another change came first.
    Conflict {
        /// The newest revision.
        newest: Revision,
        /// The change that followed the proposal's base, where the store still holds it
        /// under its own key.
        winner: Option<Bytes>,
    },
    /// An answer was lost and the command was then withdrawn before it took effect. It stays
    /// so; the change can be made by a new command.
    Withdrawn,
    /// The store refused, or was not reached.
    Failed(StoreError),
}

/// What the store holds of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum CommandRecord {
    /// The command made this revision.
    Accepted(Revision),
    /// A writer gave the command up after its answer was lost.
    Withdrawn,
}

/// What one try of a commit came to.
enum Tried {
    Done(CommitOutcome),
    Again(HeadRead),
}

/// Has a change accepted by one transaction, or says why not.
///
/// Two calls on the store where nothing goes wrong: a read and the transaction.
pub async fn commit(store: &Store, proposal: &Proposal, policy: &ResolvePolicy) -> CommitOutcome {
    let mut before = match read_before(store, proposal).await {
        Ok(before) => before,
        Err(outcome) => return outcome,
    };
    for _ in 0..MAX_SNAPSHOT_RACES {
        match try_commit(store, proposal, &before, policy).await {
            Tried::Done(outcome) => return outcome,
            Tried::Again(newer) => before = newer,
        }
    }
    let newest = before.head.revision;
    let winner = None;
    CommitOutcome::NotAccepted(Rejection::Conflict { newest, winner })
}

/// Finds the revision that a command has made, if any.
///
/// # Errors
///
/// Returns an error where the store does not answer, or holds a record that can't be read.
pub async fn find_command(
    store: &Store,
    command: &CommandId,
) -> Result<Option<Revision>, StoreError> {
    let kv = store.get(&keys::command(command)).await?;
    Ok(match command_of(store, kv.as_ref())? {
        Some(CommandRecord::Accepted(revision)) => Some(revision),
        Some(CommandRecord::Withdrawn) | None => None,
    })
}

async fn read_before(store: &Store, proposal: &Proposal) -> Result<HeadRead, CommitOutcome> {
    let reads = Txn {
        success: reads_of(proposal),
        ..Txn::default()
    };
    let found = store.txn(reads).await.map_err(failed_read)?;
    let found = Found {
        head: found.first_of(0),
        command: found.first_of(1),
        winner: found.first_of(2),
    };
    match judge(store, proposal, &found) {
        Tried::Done(outcome) => Err(outcome),
        Tried::Again(before) => Ok(before),
    }
}

async fn try_commit(
    store: &Store,
    proposal: &Proposal,
    before: &HeadRead,
    policy: &ResolvePolicy,
) -> Tried {
    let answer = match store.txn(accept(proposal, before)).await {
        Ok(answer) => answer,
        Err(err) if err.is_not_applied() => return Tried::Done(failed(err)),
        Err(err) => {
            log::warn!(command = proposal.command.as_str(), err:% = err; "commit unanswered");
            let outcome = resolve_command(store, &proposal.command, policy).await;
            return Tried::Done(outcome);
        }
    };
    if answer.succeeded {
        return Tried::Done(CommitOutcome::Accepted(proposal.base.next()));
    }
    let found = Found {
        head: answer.first_of(0),
        command: answer.first_of(1),
        winner: answer.first_of(2),
    };
    judge(store, proposal, &found)
}

/// Makes the transaction that accepts the change.
///
/// It compares the head, so of two racing writers one wins. It requires too that the command
/// has no record yet, so one that was accepted or withdrawn meanwhile is not applied: a copy of
/// the transaction that was delayed on its way can't take effect after its command was settled.
fn accept(proposal: &Proposal, before: &HeadRead) -> Txn {
    let revision = proposal.base.next();
    let head = Head {
        revision,
        hash: proposal.hash.clone(),
        snapshot: before.head.snapshot.clone(),
    };
    let command = keys::command(&proposal.command);
    let record = CommandRecord::Accepted(revision);
    Txn {
        compares: vec![
            Compare::unchanged(keys::HEAD, before.written),
            Compare::absent(&*command),
        ],
        success: vec![
            Op::put(keys::HEAD, to_json(&head)),
            Op::put(keys::change(revision), proposal.change.clone()),
            Op::put(command, to_json(&record)),
        ],
        failure: reads_of(proposal),
    }
}

fn reads_of(proposal: &Proposal) -> Vec<Op> {
    vec![
        Op::get(keys::HEAD),
        Op::get(keys::command(&proposal.command)),
        Op::get(keys::change(proposal.base.next())),
    ]
}

struct Found<'a> {
    head: Option<&'a KeyValue>,
    command: Option<&'a KeyValue>,
    winner: Option<&'a KeyValue>,
}

/// Judges whether the proposal can still be accepted on what the store holds.
fn judge(store: &Store, proposal: &Proposal, found: &Found<'_>) -> Tried {
    let record = match command_of(store, found.command) {
        Ok(record) => record,
        Err(err) => return Tried::Done(failed(err)),
    };
    match record {
        Some(CommandRecord::Accepted(revision)) => {
            return Tried::Done(CommitOutcome::Accepted(revision));
        }
        Some(CommandRecord::Withdrawn) => {
            return Tried::Done(CommitOutcome::NotAccepted(Rejection::Withdrawn));
        }
        None => {}
    }
    let head = match head_of(store, Step::Txn, found.head) {
        Ok(head) => head,
        Err(err) => return Tried::Done(failed(err)),
    };
    if head.head.revision != proposal.base {
        let rejection = Rejection::Conflict {
            newest: head.head.revision,
            winner: found.winner.map(|kv| kv.value.clone()),
        };
        return Tried::Done(CommitOutcome::NotAccepted(rejection));
    }
    Tried::Again(head)
}

pub(crate) fn command_of(
    store: &Store,
    kv: Option<&KeyValue>,
) -> Result<Option<CommandRecord>, StoreError> {
    kv.map(|kv| from_json(store, Step::Txn, kv)).transpose()
}

fn failed(err: StoreError) -> CommitOutcome {
    CommitOutcome::NotAccepted(Rejection::Failed(err))
}

/// Makes the outcome of a commit whose reads failed: it has written nothing.
fn failed_read(err: StoreError) -> CommitOutcome {
    failed(StoreError {
        effect: Effect::NotApplied,
        ..err
    })
}
