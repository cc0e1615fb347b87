//! HTTP calls on the platform, each with a time limit, over pools of connections.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use heatherknot_http::{
    Body, BodyError, Pool, PoolConfig, RequestHead, Response, SendError, SendOptions, SendProgress,
};
use heatherknot_types::prelude::*;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, StatusCode, Uri};

use crate::error::{Cause, Effect, Step, StoreError};

/// Connections to the platform that one daemon may have open.
const MAX_CONNECTIONS: usize = 16;
/// The longest answer that is read: a page of values of up to a megabyte each.
const MAX_ANSWER: usize = 16 << 20;

/// One address of the platform and the connections to it.
#[derive(Clone)]
pub struct Client {
    peer: SocketAddr,
    clock: Clock,
    reads: Pool,
    writes: Pool,
    watches: Pool,
    watch_limit: Duration,
}

/// A call to make.
pub struct Call {
    /// What it is for, named in errors; reads are sent again on a new connection.
    pub step: Step,
    /// The method.
    pub method: Method,
    /// The path, with the query where there is one.
    pub path: Cow<'static, str>,
    /// The body, as JSON.
    pub body: Bytes,
    /// The longest time of the call, connecting included.
    pub limit: Duration,
}

/// A whole answer.
pub struct FullResponse {
    /// The status.
    pub status: StatusCode,
    /// The whole body.
    pub body: Bytes,
}

/// An answer whose body arrives bit by bit.
pub struct StreamingResponse {
    /// The status.
    pub status: StatusCode,
    body: Body,
    limit: Duration,
}

impl Client {
    /// Makes a client whose calls take at most about `call_limit` and whose streamed
    /// answers may be silent for `watch_limit`.
    pub fn new(peer: SocketAddr, call_limit: Duration, watch_limit: Duration) -> Self {
        let clock = Clock::system();
        let writes = PoolConfig {
            max_connections: MAX_CONNECTIONS,
            silence_limit: call_limit,
            body_timeout: call_limit,
            ..PoolConfig::default()
        };
        // A connection that something on the way has forgotten takes a request and gives
        // nothing. The platform answers in milliseconds, so a read that hears nothing for
        // half of its limit gives the idle connections up, and one that went out on an idle
        // connection still has the time to be sent again on a new one.
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

    /// Makes a call and reads the whole answer.
    pub async fn call(&self, call: Call) -> Result<FullResponse, StoreError> {
        let deadline = self.deadline(&call);
        let pool = match is_read(&call) {
            true => &self.reads,
            false => &self.writes,
        };
        let resp = self.send(pool, &call, deadline).await?;
        let status = resp.status;
        let left = Duration::from_millis(deadline.since(self.clock.now()).0);
        let body = match monoio::time::timeout(left, resp.body.collect(MAX_ANSWER)).await {
            Ok(body) => body.map_err(|err| body_cause(&err, call.limit)),
            Err(_) => Err(timeout(call.limit)),
        };
        let body = body.map_err(|source| self.error(call.step, Effect::MayBeApplied, source))?;
        Ok(FullResponse { status, body })
    }

    /// Makes a call and reads the head of the answer.
    pub async fn open(&self, call: Call) -> Result<StreamingResponse, StoreError> {
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
        let mut outcome = pool.send(head(call), body(call), options).await;
        // An idle connection may have been closed, or forgotten on the way, since its last
        // use. A read is sent again at once; a write is not, since it may have been applied.
        if idempotent && outcome.as_ref().is_err_and(SendError::is_stale_connection) {
            options.new_connection = true;
            outcome = pool.send(head(call), body(call), options).await;
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

    /// Makes the error of a call that failed.
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
    /// Reads the next part of the body; `None` at its end.
    pub async fn next(&mut self) -> Option<Result<Bytes, Cause>> {
        let part = self.body.next_chunk().await?;
        Some(part.map_err(|err| body_cause(&err, self.limit)))
    }
}

fn is_read(call: &Call) -> bool {
    matches!(call.step, Step::Range | Step::Watch | Step::VmList)
}

fn head(call: &Call) -> RequestHead {
    let uri = Uri::try_from(call.path.as_ref()).expect("adapters make valid paths");
    let mut head = RequestHead::new(call.method.clone(), uri);
    let json = HeaderValue::from_static("application/json");
    head.headers.insert(CONTENT_TYPE, json);
    head
}

fn body(call: &Call) -> Body {
    Body::full(call.body.clone())
}

fn send_cause(err: &SendError, limit: Duration) -> Cause {
    match err {
        SendError::Expired { .. } => timeout(limit),
        SendError::Silent { .. } => timeout(limit / 2),
        other => connection(other.to_string()),
    }
}

fn body_cause(err: &BodyError, limit: Duration) -> Cause {
    match err {
        BodyError::TooSlow => timeout(limit),
        BodyError::TooLarge { limit } => {
            let message = format!("an answer longer than {limit} bytes");
            Cause::Unreadable { message }
        }
        other => connection(other.to_string()),
    }
}

fn connection(message: String) -> Cause {
    Cause::Connection { message }
}

fn timeout(limit: Duration) -> Cause {
    let millis = limit.as_millis() as u64;
    Cause::Timeout { millis }
}
