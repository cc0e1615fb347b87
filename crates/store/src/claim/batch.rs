//! Claims several keys in one transaction.

use std::time::Duration;

use super::record::ClaimValue;
use super::{ClaimConfig, ClaimError, ClaimRequest, ClaimResult};
use crate::commit::head::{from_json, to_json};
use crate::error::{Cause, Step, StoreError};
use crate::port::{Compare, KeyValue, Op, Store, Txn, TxnResponse};
use crate::shared_leases::{LeaseTerm, SharedLeases};

/// The results of a batch by position; `None` while a claim is pending.
type Outcomes = Vec<Option<ClaimResult>>;

/// Claims all keys of a batch and returns the results in the same order.
///
/// The transaction creates all pending keys if none of them exists. Otherwise it reads them, and
/// the keys that do not exist are claimed by the next transaction. After a lost response the claim
/// is retried with the same nonce: if the key then contains this nonce, the earlier attempt won
/// the claim.
pub(super) async fn claim_all(
    store: &Store,
    leases: &SharedLeases,
    cfg: &ClaimConfig,
    requests: &[ClaimRequest],
) -> Vec<Result<ClaimResult, ClaimError>> {
    let mut outcomes: Outcomes = vec![None; requests.len()];
    let mut failures = 0;
    let mut failure = None;
    while outcomes.iter().any(Option::is_none) {
        let Err(err) = claim_pending(store, leases, requests, &mut outcomes).await else {
            continue;
        };
        failures += 1;
        log::debug!(err:% = err, failures; "cannot claim idempotency keys");
        let wait = retry_delay(&err, failures, cfg);
        failure = Some(err);
        let Some(wait) = wait else {
            break;
        };
        monoio::time::sleep(wait).await;
    }
    let results = outcomes
        .into_iter()
        .map(|outcome| match (outcome, &failure) {
            (Some(claim), _) => Ok(claim),
            (None, Some(source)) => Err(ClaimError::Store {
                source: source.clone(),
            }),
            (None, None) => Err(ClaimError::Stopped),
        });
    results.collect()
}

/// Returns the delay before the next attempt, or `None` to give up.
///
/// If the call budget is exhausted, an attempt before its `retry_after` would fail again. If that
/// delay exceeds the maximum, the claims fail immediately.
fn retry_delay(err: &StoreError, failures: u32, cfg: &ClaimConfig) -> Option<Duration> {
    let wait = match err.source {
        Cause::BudgetExhausted { retry_after } => Duration::from_millis(retry_after.0),
        _ => cfg.backoff.delay(failures),
    };
    (failures < cfg.max_attempts && wait <= cfg.max_wait).then_some(wait)
}

async fn claim_pending(
    store: &Store,
    leases: &SharedLeases,
    requests: &[ClaimRequest],
    outcomes: &mut Outcomes,
) -> Result<(), StoreError> {
    let term = leases.lease().await?;
    let pending: Vec<usize> = (0..requests.len())
        .filter(|index| outcomes[*index].is_none())
        .collect();
    let txn = claim_txn(requests, &pending, term);
    let resp = match store.txn(txn).await {
        Ok(resp) => resp,
        Err(err) => {
            // The lease expired early, for example because the store lost its data.
            if err.source == Cause::LeaseNotFound {
                leases.invalidate(term.id);
            }
            return Err(err);
        }
    };
    for (position, index) in pending.into_iter().enumerate() {
        outcomes[index] = claim_result(store, &requests[index], term, position, &resp)?;
    }
    Ok(())
}

fn claim_txn(requests: &[ClaimRequest], pending: &[usize], term: LeaseTerm) -> Txn {
    let keys = || pending.iter().map(|index| requests[*index].key.as_str());
    let puts = pending.iter().map(|index| {
        let request = &requests[*index];
        let value = ClaimValue {
            owner: request.owner.clone(),
            nonce: request.nonce,
        };
        Op::Put {
            key: request.key.as_str().to_owned(),
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

fn claim_result(
    store: &Store,
    request: &ClaimRequest,
    term: LeaseTerm,
    position: usize,
    resp: &TxnResponse,
) -> Result<Option<ClaimResult>, StoreError> {
    let won = ClaimResult::Won {
        start_by: term.valid_until,
    };
    if resp.succeeded {
        return Ok(Some(won));
    }
    let Some(kv) = resp.first_kv(position) else {
        return Ok(None);
    };
    let stored = parse_value(store, kv)?;
    // The nonce of this request was written by an earlier attempt whose response was lost.
    match stored.nonce == request.nonce {
        true => Ok(Some(won)),
        false => Ok(Some(ClaimResult::Held(stored.owner))),
    }
}

fn parse_value(store: &Store, kv: &KeyValue) -> Result<ClaimValue, StoreError> {
    from_json(store, Step::Txn, kv)
}
