//! Requests that a caller sends before it has the answer to the one before them.
//!
//! Served one after the other they wait for each other: on a connection with a short request
//! behind three long ones, the short one takes as long as all four. So they are handled side
//! by side, and answered in the order in which they came.

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

/// Says whether a request may be handled while an earlier one of its connection is.
pub type AheadPredicate = Rc<dyn Fn(&RequestHead) -> bool>;

/// Which requests are handled while an earlier one of their connection is.
#[derive(Clone)]
pub struct AheadRule {
    /// The most requests of one connection that are handled beside its first one.
    pub most: usize,
    /// Says whether one may be. A request whose run can't be taken back may not: an earlier
    /// response that breaks off closes the connection, and the caller then sends again what
    /// was behind it, taking it for unread.
    pub is_allowed: AheadPredicate,
}

impl fmt::Debug for AheadRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AheadRule")
            .field("most", &self.most)
            .finish_non_exhaustive()
    }
}

/// A request that is being handled, and what its answer needs to be written.
pub(crate) struct InFlightRequest {
    pub(crate) response: LocalBoxFuture<'static, Response>,
    pub(crate) cancelled: Flag,
    pub(crate) is_head: bool,
    /// Whether the caller wants the connection to close after it.
    pub(crate) close: bool,
}

impl InFlightRequest {
    /// Hands a request to the server's handler.
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

    /// Lets it be handled while nobody waits for it yet.
    fn spawn_handler(self) -> Self {
        Self {
            response: monoio::spawn(self.response).boxed_local(),
            ..self
        }
    }
}

/// The requests of one connection behind the one that is being answered.
pub(crate) struct PipelineQueue {
    cx: Rc<ServerContext>,
    peer: SocketAddr,
    in_flight: VecDeque<InFlightRequest>,
    /// The first request that may not be handled yet, or what is wrong with it.
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

    /// Gives the next request that is being handled already.
    pub(crate) fn pop(&mut self) -> Option<InFlightRequest> {
        self.in_flight.pop_front()
    }

    /// Gives the request that was read and not yet handled.
    pub(crate) fn take_next(&mut self) -> Option<Result<ParsedRequest, HeadError>> {
        self.next.take()
    }

    /// Begins to handle the requests that `reader` holds whole, as far as they may go ahead.
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

    /// Says whether a further request may be read. Behind one that closes the connection
    /// nothing is: the caller sends it again elsewhere.
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
    /// Tells the handlers that nobody reads their answers any more.
    fn drop(&mut self) {
        self.in_flight
            .iter()
            .for_each(|in_flight| in_flight.cancelled.fire());
    }
}

/// Takes a request head from the front of what was read, where it is there whole.
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

/// Takes a request head of `len` bytes from the front of what was read.
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
