//! The adapter for the key-value service: the v3 key-value calls as JSON over HTTP.

mod convert;
mod watch;
mod wire;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use heatherknot_types::prelude::*;
use http::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use self::convert::{
    lease_from_wire, range_from_wire, range_to_wire, txn_from_wire, txn_to_wire, watch_to_wire,
};
use self::watch::Watching;
use self::wire::{
    Int64, Streamed, WireError, WireLease, WireLeaseGrant, WireLeaseId, WireRangeAnswer,
    WireTxnAnswer,
};
use crate::error::{Cause, Effect, Step, StoreError};
use crate::http_client::{Call, Client, FullResponse};
use crate::port::{
    Lease, LeaseId, RangeRequest, RangeResponse, Store, StoreFuture, Txn, TxnResponse,
    WatchRequest, WatchStream,
};

/// The code with which the service refuses a call for exceeding its rate.
const CODE_RESOURCE_EXHAUSTED: u32 = 8;
/// The code for a revision that has been compacted.
const CODE_OUT_OF_RANGE: u32 = 11;
/// The code for a lease that does not exist.
const CODE_NOT_FOUND: u32 = 5;
/// The code for a request that the service judged before running it.
const CODE_INVALID_ARGUMENT: u32 = 3;
/// Where the service is and how long a call may take.
#[derive(Clone, Copy, Debug)]
pub struct StoreConfig {
    /// The address of the service.
    pub peer: SocketAddr,
    /// How long a call may take, connecting included.
    pub call_limit: Duration,
    /// How long a watch may be silent before it counts as failed.
    pub watch_limit: Duration,
}

impl StoreConfig {
    /// Makes a configuration with the default limits: two seconds a call, and a watch that
    /// may be silent for a minute.
    pub fn new(peer: SocketAddr) -> Self {
        Self {
            peer,
            call_limit: Duration::from_secs(2),
            watch_limit: Duration::from_secs(60),
        }
    }
}

/// Makes the port to the key-value service at `cfg.peer`.
///
/// Connections are opened when a call needs one, so this never fails. They belong to the
/// runtime that made the first call, and so does the store. No call is sent
/// twice: a call that failed halfway is reported with its [`Effect`].
pub fn connect(cfg: StoreConfig) -> Store {
    let adapter = Adapter {
        client: Client::new(cfg.peer, cfg.call_limit, cfg.watch_limit),
        cfg,
    };
    let (range, txn, watch) = (adapter.clone(), adapter.clone(), adapter.clone());
    let (grant, keepalive, revoke) = (adapter.clone(), adapter.clone(), adapter);
    Store {
        peer: cfg.peer,
        range: Rc::new(move |req| range.clone().range(req)),
        txn: Rc::new(move |req| txn.clone().txn(req)),
        lease_grant: Rc::new(move |ttl| grant.clone().lease_grant(ttl)),
        lease_keepalive: Rc::new(move |id| keepalive.clone().lease_keepalive(id)),
        lease_revoke: Rc::new(move |id| revoke.clone().lease_revoke(id)),
        watch: Rc::new(move |req| watch.clone().watch(req)),
    }
}

#[derive(Clone)]
struct Adapter {
    client: Client,
    cfg: StoreConfig,
}

impl Adapter {
    fn range(self, req: RangeRequest) -> StoreFuture<RangeResponse> {
        Box::pin(async move {
            let body = range_to_wire(&req);
            let answer: WireRangeAnswer = self.call(Step::Range, "/v3/kv/range", &body).await?;
            range_from_wire(answer).map_err(|cause| self.unreadable(Step::Range, cause))
        })
    }

    fn txn(self, txn: Txn) -> StoreFuture<TxnResponse> {
        Box::pin(async move {
            let body = txn_to_wire(&txn);
            let answer: WireTxnAnswer = self.call(Step::Txn, "/v3/kv/txn", &body).await?;
            txn_from_wire(answer).map_err(|cause| self.unreadable(Step::Txn, cause))
        })
    }

    fn lease_grant(self, ttl: Millis) -> StoreFuture<Lease> {
        Box::pin(async move {
            let ttl = Int64::from_u64(ttl.0.div_ceil(1000));
            let body = WireLeaseGrant { ttl };
            let answer: WireLease = self
                .call(Step::LeaseGrant, "/v3/lease/grant", &body)
                .await?;
            Ok(lease_from_wire(&answer))
        })
    }

    fn lease_keepalive(self, id: LeaseId) -> StoreFuture<Lease> {
        Box::pin(async move {
            let step = Step::LeaseKeepalive;
            let body = WireLeaseId { id: Int64(id.0) };
            let answer: Streamed<WireLease> = self.call(step, "/v3/lease/keepalive", &body).await?;
            // The service answers for a lapsed lease with a lease of no remaining time.
            match answer.result {
                Some(lease) if lease.ttl.0 > 0 => Ok(lease_from_wire(&lease)),
                _ => Err(self.refused(step, Cause::LeaseNotFound)),
            }
        })
    }

    fn lease_revoke(self, id: LeaseId) -> StoreFuture<()> {
        Box::pin(async move {
            let body = WireLeaseId { id: Int64(id.0) };
            let _: serde_json::Value = self
                .call(Step::LeaseRevoke, "/v3/lease/revoke", &body)
                .await?;
            Ok(())
        })
    }

    fn watch(self, req: WatchRequest) -> StoreFuture<WatchStream> {
        Box::pin(async move {
            let call = self.request(Step::Watch, "/v3/watch", &watch_to_wire(&req));
            let mut streaming = self.client.open(call).await?;
            if !streaming.status.is_success() {
                let body = streaming.next().await.and_then(Result::ok);
                let status = streaming.status;
                let body = body.unwrap_or_default();
                return Err(self.refusal(Step::Watch, &FullResponse { status, body }));
            }
            Watching::confirm(self, streaming).await
        })
    }

    fn request(&self, step: Step, path: &'static str, body: &impl Serialize) -> Call {
        let body = serde_json::to_vec(body).expect("messages of this module always serialise");
        Call {
            step,
            method: Method::POST,
            path: path.into(),
            body: body.into(),
            limit: self.cfg.call_limit,
        }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        step: Step,
        path: &'static str,
        body: &impl Serialize,
    ) -> Result<T, StoreError> {
        let answer = self.client.call(self.request(step, path, body)).await?;
        if !answer.status.is_success() {
            return Err(self.refusal(step, &answer));
        }
        serde_json::from_slice(&answer.body).map_err(|err| {
            let message = err.to_string();
            self.unreadable(step, Cause::Unreadable { message })
        })
    }

    /// Reads a refusal. Only a refusal that the service gives before it runs a call counts
    /// as "not applied"; a gateway's or a replica's failure leaves the effect open.
    fn refusal(&self, step: Step, answer: &FullResponse) -> StoreError {
        let err: WireError = serde_json::from_slice(&answer.body).unwrap_or_default();
        let status = answer.status;
        let cause = match err.code {
            CODE_RESOURCE_EXHAUSTED => Cause::RateLimited,
            CODE_OUT_OF_RANGE => Cause::Compacted { oldest: 0 },
            CODE_NOT_FOUND => Cause::LeaseNotFound,
            _ if status == StatusCode::TOO_MANY_REQUESTS => Cause::RateLimited,
            _ => Cause::Refused {
                status: status.as_u16(),
                message: first_of(err.message, err.error),
            },
        };
        let judged = matches!(
            err.code,
            CODE_RESOURCE_EXHAUSTED | CODE_OUT_OF_RANGE | CODE_NOT_FOUND | CODE_INVALID_ARGUMENT
        );
        let effect = match judged || status == StatusCode::TOO_MANY_REQUESTS {
            true => Effect::NotApplied,
            false => Effect::MayBeApplied,
        };
        self.client.error(step, effect, cause)
    }

    fn refused(&self, step: Step, cause: Cause) -> StoreError {
        self.client.error(step, Effect::NotApplied, cause)
    }

    fn unreadable(&self, step: Step, cause: Cause) -> StoreError {
        self.client.error(step, Effect::MayBeApplied, cause)
    }
}

fn first_of(message: String, error: String) -> String {
    if message.is_empty() { error } else { message }
}
