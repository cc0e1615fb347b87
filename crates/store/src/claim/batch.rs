//! Several claims by one transaction.

use std::time::Duration;

use super::record::ClaimValue;
use super::{ClaimConfig, ClaimError, ClaimRecord, ClaimResult};
use crate::commit::head::{from_json, to_json};
use crate::error::{Cause, Step, StoreError};
use crate::lease_book::{LeaseBook, LeaseTerm};
use crate::port::{Compare, KeyValue, Op, Store, Txn, TxnResponse};

/// Claims of one batch that have an outcome, by their place in the batch.
type Outcomes = Vec<Option<ClaimResult>>;

/// Claims every key of a batch, and gives one outcome for each in the same order.
///
/// The transaction creates all keys that nobody holds, if still nobody holds any of them;
/// otherwise it reads all of them and the rest is tried again. A lost answer is tried again
/// with the same nonces: a key that then holds the own nonce was won by the lost try.
pub(super) async fn claim_all(
    store: &Store,
    leases: &LeaseBook,
    cfg: &ClaimConfig,
    records: &[ClaimRecord],
) -> Vec<Result<ClaimResult, ClaimError>> {
    let mut outcomes: Outcomes = vec![None; records.len()];
    let mut failures = 0;
    let mut failure = None;
    while outcomes.iter().any(Option::is_none) {
        let Err(err) = try_open(store, leases, records, &mut outcomes).await else {
            continue;
        };
        failures += 1;
        log::debug!(err:% = err, failures; "claim failed");
        let wait = wait_after(&err, failures, cfg);
        failure = Some(err);
        let Some(wait) = wait else {
            break;
        };
        monoio::time::sleep(wait).await;
    }
    let ended = outcomes
        .into_iter()
        .map(|outcome| match (outcome, &failure) {
            (Some(claim), _) => Ok(claim),
            (None, Some(source)) => Err(ClaimError::Store {
                source: source.clone(),
            }),
            (None, None) => Err(ClaimError::Stopped),
        });
    ended.collect()
}

/// Gives the wait before the next try, or `None` to give up.
///
/// A budget that says when to come back is believed: sooner is of no use, and where that is
/// past the callers' patience they are told at once.
fn wait_after(err: &StoreError, failures: u32, cfg: &ClaimConfig) -> Option<Duration> {
    let wait = match err.source {
        Cause::HeldBack { retry_after } => Duration::from_millis(retry_after.0),
        _ => cfg.backoff.delay(failures),
    };
    (failures < cfg.tries && wait <= cfg.max_wait).then_some(wait)
}

async fn try_open(
    store: &Store,
    leases: &LeaseBook,
    records: &[ClaimRecord],
    outcomes: &mut Outcomes,
) -> Result<(), StoreError> {
    let term = leases.term().await?;
    let open: Vec<usize> = (0..records.len())
        .filter(|index| outcomes[*index].is_none())
        .collect();
    let txn = claim_txn(records, &open, term);
    let answer = match store.txn(txn).await {
        Ok(answer) => answer,
        Err(err) => {
            // The lease ended before its time, as after a loss of the store's memory.
            if err.source == Cause::LeaseNotFound {
                leases.forget(term.id);
            }
            return Err(err);
        }
    };
    for (place, index) in open.into_iter().enumerate() {
        outcomes[index] = judge(store, &records[index], term, place, &answer)?;
    }
    Ok(())
}

fn claim_txn(records: &[ClaimRecord], open: &[usize], term: LeaseTerm) -> Txn {
    let keys = || open.iter().map(|index| records[*index].key.as_str());
    let puts = open.iter().map(|index| {
        let record = &records[*index];
        let value = ClaimValue {
            owner: record.owner.clone(),
            nonce: record.nonce,
        };
        Op::Put {
            key: record.key.as_str().to_owned(),
            value: to_json(&value),
            lease: term.id,
        }
    });
    Txn {
        compares: keys().map(Compare::absent).collect(),
        success: puts.collect(),
        failure: keys().map(Op::get).collect(),
    }
}

fn judge(
    store: &Store,
    record: &ClaimRecord,
    term: LeaseTerm,
    place: usize,
    answer: &TxnResponse,
) -> Result<Option<ClaimResult>, StoreError> {
    let won = ClaimResult::Won {
        start_by: term.until,
    };
    if answer.succeeded {
        return Ok(Some(won));
    }
    let Some(kv) = answer.first_of(place) else {
        return Ok(None);
    };
    let held = value_of(store, kv)?;
    // The own nonce in the store is the trace of a try whose answer was lost.
    match held.nonce == record.nonce {
        true => Ok(Some(won)),
        false => Ok(Some(ClaimResult::Held(held.owner))),
    }
}

fn value_of(store: &Store, kv: &KeyValue) -> Result<ClaimValue, StoreError> {
    from_json(store, Step::Txn, kv)
}
