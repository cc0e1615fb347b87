//! The adapter for the key-value service, which speaks its v3 API as JSON over HTTP.

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
use self::watch::WatchReader;
use self::wire::{
    Int64, StreamObject, WireError, WireLease, WireLeaseGrant, WireLeaseId, WireRangeResponse,
    WireTxnResponse,
};
use crate::error::{Cause, Effect, Step, StoreError};
use crate::http_client::{Call, Client, FullResponse};
use crate::port::{
    Lease, LeaseId, RangeRequest, RangeResponse, Store, StoreFuture, Txn, TxnResponse,
    WatchRequest, WatchStream,
};

/// The gRPC status code of a call that exceeded the rate limit.
const CODE_RESOURCE_EXHAUSTED: u32 = 8;
/// The gRPC status code of a request for a compacted revision.
const CODE_OUT_OF_RANGE: u32 = 11;
/// The gRPC status code of a request for a lease that does not exist.
const CODE_NOT_FOUND: u32 = 5;
/// The gRPC status code of an invalid request, which the service rejects before it runs it.
const CODE_INVALID_ARGUMENT: u32 = 3;
/// The address of the service and the time limits of calls.
#[derive(Clone, Copy, Debug)]
pub struct StoreConfig {
    /// The address of the service.
    pub peer: SocketAddr,
    /// The time limit of a call, including connecting.
    pub call_limit: Duration,
    /// The time without a message after which a watch has failed.
    pub watch_limit: Duration,
}

impl StoreConfig {
    /// Creates a configuration with the default limits: two seconds for a call and one minute
    /// without a message for a watch.
    pub fn new(peer: SocketAddr) -> Self {
        Self {
            peer,
            call_limit: Duration::from_secs(2),
            watch_limit: Duration::from_secs(60),
        }
    }
}

/// Creates a client for the key-value service at `cfg.peer`.
///
/// Connections are opened on demand, so this never fails. They are bound to the runtime of the
/// first call, and so is the store. A write is never sent twice: if it fails after it may have
/// been sent, the error reports this as its [`Effect`]. A read that fails on a stale connection
/// is sent again.
pub fn connect(cfg: StoreConfig) -> Store {
    let adapter = HttpStore {
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
struct HttpStore {
    client: Client,
    cfg: StoreConfig,
}

impl HttpStore {
    fn range(self, req: RangeRequest) -> StoreFuture<RangeResponse> {
        Box::pin(async move {
            let body = range_to_wire(&req);
            let resp: WireRangeResponse = self.call(Step::Range, "/v3/kv/range", &body).await?;
            range_from_wire(resp).map_err(|cause| self.unreadable(Step::Range, cause))
        })
    }

    fn txn(self, txn: Txn) -> StoreFuture<TxnResponse> {
        Box::pin(async move {
            let body = txn_to_wire(&txn);
            let resp: WireTxnResponse = self.call(Step::Txn, "/v3/kv/txn", &body).await?;
            txn_from_wire(resp).map_err(|cause| self.unreadable(Step::Txn, cause))
        })
    }

    fn lease_grant(self, ttl: Millis) -> StoreFuture<Lease> {
        Box::pin(async move {
            let ttl = Int64::from_u64(ttl.0.div_ceil(1000));
            let body = WireLeaseGrant { ttl };
            let resp: WireLease = self
                .call(Step::LeaseGrant, "/v3/lease/grant", &body)
                .await?;
            Ok(lease_from_wire(&resp))
        })
    }

    fn lease_keepalive(self, id: LeaseId) -> StoreFuture<Lease> {
        Box::pin(async move {
            let step = Step::LeaseKeepalive;
            let body = WireLeaseId { id: Int64(id.0) };
            let resp: StreamObject<WireLease> =
                self.call(step, "/v3/lease/keepalive", &body).await?;
            // For an expired lease, the service returns a time to live of zero.
            match resp.result {
                Some(lease) if lease.ttl.0 > 0 => Ok(lease_from_wire(&lease)),
                _ => Err(self.not_applied(step, Cause::LeaseNotFound)),
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
            let mut streaming = self.client.open_stream(call).await?;
            if !streaming.status.is_success() {
                let body = streaming.next_chunk().await.and_then(Result::ok);
                let resp = FullResponse {
                    status: streaming.status,
                    headers: http::HeaderMap::new(),
                    body: body.unwrap_or_default(),
                };
                return Err(self.error_from_response(Step::Watch, &resp));
            }
            WatchReader::open(self, streaming).await
        })
    }

    fn request(&self, step: Step, path: &'static str, body: &impl Serialize) -> Call {
        let body =
            serde_json::to_vec(body).expect("messages of this module can always be serialized");
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
        let resp = self.client.call(self.request(step, path, body)).await?;
        if !resp.status.is_success() {
            return Err(self.error_from_response(step, &resp));
        }
        serde_json::from_slice(&resp.body).map_err(|err| {
            let message = err.to_string();
            self.unreadable(step, Cause::Unreadable { message })
        })
    }

    /// Builds the error for a response with an error status. The call counts as not applied only
    /// if the service itself rejected it before running it; an error of a gateway or a replica
    /// leaves this open.
    fn error_from_response(&self, step: Step, resp: &FullResponse) -> StoreError {
        let err: WireError = serde_json::from_slice(&resp.body).unwrap_or_default();
        let status = resp.status;
        let cause = match err.code {
            CODE_RESOURCE_EXHAUSTED => Cause::RateLimited,
            CODE_OUT_OF_RANGE => Cause::Compacted { oldest: 0 },
            CODE_NOT_FOUND => Cause::LeaseNotFound,
            _ if status == StatusCode::TOO_MANY_REQUESTS => Cause::RateLimited,
            _ => Cause::Refused {
                status: status.as_u16(),
                message: message_or_error(err.message, err.error),
            },
        };
        let rejected_before_execution = matches!(
            err.code,
            CODE_RESOURCE_EXHAUSTED | CODE_OUT_OF_RANGE | CODE_NOT_FOUND | CODE_INVALID_ARGUMENT
        );
        let effect = match rejected_before_execution || status == StatusCode::TOO_MANY_REQUESTS {
            true => Effect::NotApplied,
            false => Effect::MayBeApplied,
        };
        self.client.error(step, effect, cause)
    }

    fn not_applied(&self, step: Step, cause: Cause) -> StoreError {
        self.client.error(step, Effect::NotApplied, cause)
    }

    fn unreadable(&self, step: Step, cause: Cause) -> StoreError {
        self.client.error(step, Effect::MayBeApplied, cause)
    }
}

fn message_or_error(message: String, error: String) -> String {
    if message.is_empty() { error } else { message }
}
