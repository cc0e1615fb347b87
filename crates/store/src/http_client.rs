//! An HTTP client for the platform with connection pools and a time limit for each call.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use heatherknot_http::{
    Body, BodyError, Pool, PoolConfig, RequestHead, Response, SendError, SendOptions, SendProgress,
};
use heatherknot_types::prelude::*;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri};

use crate::error::{Cause, Effect, Step, StoreError};

/// The maximum number of open connections in each pool.
const MAX_CONNECTIONS: usize = 16;
/// The maximum size of a response body, in bytes: a page of values of up to a megabyte each.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// A client for one address of the platform, with separate pools for reads, writes and watches.
#[derive(Clone)]
pub struct Client {
    peer: SocketAddr,
    clock: Clock,
    reads: Pool,
    writes: Pool,
    watches: Pool,
    watch_limit: Duration,
}

/// A request to the platform.
pub struct Call {
    /// The operation, named in errors. A read that fails on a stale connection is sent again on
    /// a new one.
    pub step: Step,
    /// The HTTP method.
    pub method: Method,
    /// The path and the query, if any.
    pub path: Cow<'static, str>,
    /// The body, as JSON.
    pub body: Bytes,
    /// The time limit of the call, including connecting.
    pub limit: Duration,
}

/// A response whose body was read completely.
pub struct FullResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// A response whose body is read in chunks.
pub struct StreamingResponse {
    /// The HTTP status.
    pub status: StatusCode,
    body: Body,
    limit: Duration,
}

impl Client {
    /// Creates a client. `call_limit` bounds the time of a call approximately; `watch_limit` is
    /// the longest time without data on a streamed response.
    pub fn new(peer: SocketAddr, call_limit: Duration, watch_limit: Duration) -> Self {
        let clock = Clock::system();
        let writes = PoolConfig {
            max_connections: MAX_CONNECTIONS,
            silence_limit: call_limit,
            body_timeout: call_limit,
            ..PoolConfig::default()
        };
        // A connection that a middlebox dropped silently accepts a request but never returns a
        // response. The platform responds within milliseconds, so after half of the time limit
        // without data a read discards the idle connections. A read that was sent on one of
        // them still has time to be sent again on a new connection.
        let reads = PoolConfig {
            silence_limit: call_limit / 2,
            ..writes.clone()
        };
        let watches = PoolConfig {
            max_age: Millis(u64::MAX),
            body_timeout: watch_limit,
            ..reads.clone()
        };
        Self {
            peer,
            reads: Pool::new(peer, reads, clock.clone()),
            writes: Pool::new(peer, writes, clock.clone()),
            watches: Pool::new(peer, watches, clock.clone()),
            clock,
            watch_limit,
        }
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error if the request or the response fails, exceeds the time limit, or the
    /// body is longer than 16 MiB. The HTTP status is not checked.
    pub async fn call(&self, call: Call) -> Result<FullResponse, StoreError> {
        let deadline = self.deadline(&call);
        let pool = match is_read(&call) {
            true => &self.reads,
            false => &self.writes,
        };
        let resp = self.send(pool, &call, deadline).await?;
        let Response {
            status, headers, ..
        } = resp;
        let remaining = Duration::from_millis(deadline.since(self.clock.now()).0);
        let body =
            match monoio::time::timeout(remaining, resp.body.collect(MAX_RESPONSE_BYTES)).await {
                Ok(body) => body.map_err(|err| body_cause(&err, call.limit)),
                Err(_) => Err(timeout_cause(call.limit)),
            };
        let body = body.map_err(|source| self.error(call.step, Effect::MayBeApplied, source))?;
        Ok(FullResponse {
            status,
            headers,
            body,
        })
    }

    /// Sends a request and reads the head of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if no head arrives within the time limit. The HTTP status is not checked.
    pub async fn open_stream(&self, call: Call) -> Result<StreamingResponse, StoreError> {
        let deadline = self.deadline(&call);
        let resp = self.send(&self.watches, &call, deadline).await?;
        Ok(StreamingResponse {
            status: resp.status,
            body: resp.body,
            limit: self.watch_limit,
        })
    }

    async fn send(
        &self,
        pool: &Pool,
        call: &Call,
        deadline: Millis,
    ) -> Result<Response, StoreError> {
        let idempotent = is_read(call);
        let mut options = SendOptions {
            deadline: Some(deadline),
            idempotent,
            new_connection: false,
        };
        let mut outcome = pool
            .send(request_head(call), request_body(call), options)
            .await;
        // An idle connection may have been closed or dropped since its last use. Only reads are
        // sent again: a write may already have been applied.
        if idempotent && outcome.as_ref().is_err_and(SendError::is_stale_connection) {
            options.new_connection = true;
            outcome = pool
                .send(request_head(call), request_body(call), options)
                .await;
        }
        outcome.map_err(|err| {
            let effect = match err.send_progress() {
                SendProgress::NotSent => Effect::NotApplied,
                SendProgress::MaybeSent => Effect::MayBeApplied,
            };
            self.error(call.step, effect, send_cause(&err, call.limit))
        })
    }

    fn deadline(&self, call: &Call) -> Millis {
        self.clock.now() + Millis(call.limit.as_millis() as u64)
    }

    /// Builds the error of a failed call.
    pub fn error(&self, step: Step, effect: Effect, source: Cause) -> StoreError {
        StoreError {
            step,
            peer: self.peer,
            effect,
            source,
        }
    }
}

impl StreamingResponse {
    /// Reads the next chunk of the body. Returns `None` at its end.
    pub async fn next_chunk(&mut self) -> Option<Result<Bytes, Cause>> {
        let chunk = self.body.next_chunk().await?;
        Some(chunk.map_err(|err| body_cause(&err, self.limit)))
    }
}

fn is_read(call: &Call) -> bool {
    matches!(call.step, Step::Range | Step::Watch | Step::VmList)
}

fn request_head(call: &Call) -> RequestHead {
    let uri = Uri::try_from(call.path.as_ref()).expect("adapters build valid paths");
    let mut head = RequestHead::new(call.method.clone(), uri);
    let json = HeaderValue::from_static("application/json");
    head.headers.insert(CONTENT_TYPE, json);
    head
}

fn request_body(call: &Call) -> Body {
    Body::full(call.body.clone())
}

fn send_cause(err: &SendError, limit: Duration) -> Cause {
    match err {
        SendError::Expired { .. } => timeout_cause(limit),
        SendError::Silent { .. } => timeout_cause(limit / 2),
        other => connection_cause(other.to_string()),
    }
}

fn body_cause(err: &BodyError, limit: Duration) -> Cause {
    match err {
        BodyError::TooSlow => timeout_cause(limit),
        BodyError::TooLarge { limit } => {
            let message = format!("an answer longer than {limit} bytes");
            Cause::Unreadable { message }
        }
        other => connection_cause(other.to_string()),
    }
}

fn connection_cause(message: String) -> Cause {
    Cause::Connection { message }
}

fn timeout_cause(limit: Duration) -> Cause {
    let millis = limit.as_millis() as u64;
    Cause::Timeout { millis }
}
