//! Concurrent handling of pipelined requests.
//!
//! Handled one after the other, requests of one connection suffer from head-of-line blocking: a
//! short request behind three long ones takes as long as all four. So they are handled
//! concurrently, and their responses are sent in the order of the requests.

use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use http::Method;

use crate::body::Body;
use crate::decode::{self, ParsedRequest};
use crate::flag::Flag;
use crate::head::{self, HeadError};
use crate::incoming::Framing;
use crate::message::{Request, RequestHead, Response};
use crate::reader::Reader;
use crate::server::{Limits, ServerContext};

/// Decides whether a request may be handled concurrently with an earlier one of its connection.
pub type AheadPredicate = Rc<dyn Fn(&RequestHead) -> bool>;

/// Which pipelined requests are handled concurrently with earlier ones of their connection.
#[derive(Clone)]
pub struct AheadRule {
    /// Maximum number of requests of one connection that are handled besides its first one.
    pub most: usize,
    /// Decides whether a request may be handled concurrently. It must reject requests that may
    /// run only once: if an earlier response is truncated, the connection closes, and the caller
    /// sends the requests after it again, assuming that they were not read.
    pub is_allowed: AheadPredicate,
}

impl fmt::Debug for AheadRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AheadRule")
            .field("most", &self.most)
            .finish_non_exhaustive()
    }
}

/// A request that is being handled, with the data needed to write its response.
pub(crate) struct InFlightRequest {
    pub(crate) response: LocalBoxFuture<'static, Response>,
    pub(crate) cancelled: Flag,
    pub(crate) is_head: bool,
    /// Whether the caller asked to close the connection after this request.
    pub(crate) close: bool,
}

impl InFlightRequest {
    /// Calls the server's handler with a request.
    pub(crate) fn start(
        cx: &ServerContext,
        parsed: ParsedRequest,
        body: Body,
        peer: SocketAddr,
    ) -> Self {
        let is_head = parsed.head.method == Method::HEAD;
        let cancelled = Flag::new();
        let request = Request {
            head: parsed.head,
            body,
            peer,
            cancelled: cancelled.clone(),
        };
        Self {
            response: (cx.handler)(request),
            cancelled,
            is_head,
            close: parsed.close,
        }
    }

    /// Runs the handler as a task of its own, so that it progresses without being awaited.
    fn spawn_handler(self) -> Self {
        Self {
            response: monoio::spawn(self.response).boxed_local(),
            ..self
        }
    }
}

/// The pipelined requests of one connection after the one that is being answered.
pub(crate) struct PipelineQueue {
    cx: Rc<ServerContext>,
    peer: SocketAddr,
    in_flight: VecDeque<InFlightRequest>,
    /// The first request that may not be handled yet, or the error in its head.
    next: Option<Result<ParsedRequest, HeadError>>,
}

impl PipelineQueue {
    pub(crate) fn new(cx: Rc<ServerContext>, peer: SocketAddr) -> Self {
        Self {
            cx,
            peer,
            in_flight: VecDeque::new(),
            next: None,
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.in_flight.is_empty() && self.next.is_none()
    }

    /// Removes and returns the next request in flight.
    pub(crate) fn pop(&mut self) -> Option<InFlightRequest> {
        self.in_flight.pop_front()
    }

    /// Takes the request that was read but not started, or the error in its head.
    pub(crate) fn take_next(&mut self) -> Option<Result<ParsedRequest, HeadError>> {
        self.next.take()
    }

    /// Starts the requests that `reader` has buffered completely, as far as the rule allows.
    pub(crate) fn start_from(&mut self, reader: &mut Reader) {
        while self.may_read_next()
            && let Some(parsed) = take_complete_head(reader, &self.cx.limits).transpose()
        {
            match parsed {
                Ok(parsed) if self.may_start(&parsed) => {
                    let in_flight =
                        InFlightRequest::start(&self.cx, parsed, Body::empty(), self.peer);
                    self.in_flight.push_back(in_flight.spawn_handler());
                }
                other => self.next = Some(other),
            }
        }
    }

    /// Returns whether a further request may be read. None is read after a request that closes the
    /// connection: the caller sends later ones again on another connection.
    fn may_read_next(&self) -> bool {
        let rule = self.cx.limits.ahead.as_ref();
        let has_room = rule.is_some_and(|rule| self.in_flight.len() < rule.most);
        let closes = self.in_flight.back().is_some_and(|last| last.close);
        has_room && !closes && self.next.is_none() && !self.cx.stop.is_fired()
    }

    fn may_start(&self, parsed: &ParsedRequest) -> bool {
        let rule = self.cx.limits.ahead.as_ref();
        parsed.framing == Framing::Length(0)
            && !parsed.expects_continue
            && rule.is_some_and(|rule| (rule.is_allowed)(&parsed.head))
    }
}

impl Drop for PipelineQueue {
    /// Cancels the handlers, as their responses can't be sent.
    fn drop(&mut self) {
        self.in_flight
            .iter()
            .for_each(|in_flight| in_flight.cancelled.fire());
    }
}

/// Removes a request head from the front of the buffer, if it is complete.
fn take_complete_head(
    reader: &mut Reader,
    limits: &Limits,
) -> Result<Option<ParsedRequest>, HeadError> {
    if reader.buf.is_empty() {
        return Ok(None);
    }
    let mut scanned = 0;
    match head::find_end(&reader.buf, &mut scanned, limits.max_head_bytes)? {
        Some(len) => take_head(reader, len, limits).map(Some),
        None => Ok(None),
    }
}

/// Removes a request head of `len` bytes from the front of the buffer.
pub(crate) fn take_head(
    reader: &mut Reader,
    len: usize,
    limits: &Limits,
) -> Result<ParsedRequest, HeadError> {
    let parsed = decode::request(&mut reader.buf, len, limits.kept_headers)?;
    match parsed.framing {
        Framing::Length(len) if len > limits.max_body_bytes => Err(HeadError::BodyTooLarge {
            limit: limits.max_body_bytes,
        }),
        _ => Ok(parsed),
    }
}
