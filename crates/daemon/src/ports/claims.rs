//! Claims of callers' idempotency keys in the platform's store.

use std::net::SocketAddr;
use std::rc::Rc;

use heatherknot_gateway::once::{ClaimError, ClaimOutcome, ClaimPort, ClaimRequest};
use heatherknot_gateway::slots::Member;
use heatherknot_store::claim::{ClaimConfig, ClaimKey, ClaimOwner, ClaimResult, Claims};
use heatherknot_store::port::Store;
use heatherknot_types::prelude::*;

const STEP: &str = "claim the idempotency key";

/// Makes the port that claims keys by create-if-absent; `address` is where peers reach this
/// daemon.
pub fn port(store: &Store, clock: &Clock, address: SocketAddr) -> ClaimPort {
    let rng = fastrand::Rng::new();
    let claims = Claims::new(store.clone(), clock.clone(), ClaimConfig::default(), rng);
    let clock = clock.clone();
    ClaimPort {
        claim: Rc::new(move |req| {
            let (claims, clock) = (claims.clone(), clock.clone());
            Box::pin(async move { claim(&claims, &clock, address, req).await })
        }),
    }
}

async fn claim(
    claims: &Claims,
    clock: &Clock,
    address: SocketAddr,
    req: ClaimRequest,
) -> Result<ClaimOutcome, ClaimError> {
    let key = ClaimKey::new(&req.account, &req.service, &req.key);
    let (vm, incarnation) = (req.owner.vm, req.owner.incarnation);
    let owner = ClaimOwner {
        vm,
        incarnation,
        address,
    };
    let claimed = claims.claim(key, owner).await;
    let claimed = claimed.map_err(|e| ClaimError {
        step: STEP,
        cause: e.to_string(),
    })?;
    match claimed {
        // The process was paused for longer than the claim lasts: another may hold it now.
        ClaimResult::Won { start_by } if clock.now() > start_by => {
            let cause = "the claim ended before the request could start".to_owned();
            Err(ClaimError { step: STEP, cause })
        }
        ClaimResult::Won { start_by } => Ok(ClaimOutcome::New { start_by }),
        ClaimResult::Held(owner) => Ok(ClaimOutcome::Held(Member {
            vm: owner.vm,
            incarnation: owner.incarnation,
        })),
    }
}
