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
pub(crate) struct Handled {
    pub(crate) response: LocalBoxFuture<'static, Response>,
    pub(crate) cancelled: Flag,
    pub(crate) is_head: bool,
    /// Whether the caller wants the connection to close after it.
    pub(crate) close: bool,
}

impl Handled {
    /// Hands a request to the server's handler.
    pub(crate) fn begin(
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
    fn in_background(self) -> Self {
        Self {
            response: monoio::spawn(self.response).boxed_local(),
            ..self
        }
    }
}

/// The requests of one connection behind the one that is being answered.
pub(crate) struct AheadQueue {
    cx: Rc<ServerContext>,
    peer: SocketAddr,
    handled: VecDeque<Handled>,
    /// The first request that may not be handled yet, or what is wrong with it.
    next: Option<Result<ParsedRequest, HeadError>>,
}

impl AheadQueue {
    pub(crate) fn new(cx: Rc<ServerContext>, peer: SocketAddr) -> Self {
        Self {
            cx,
            peer,
            handled: VecDeque::new(),
            next: None,
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.handled.is_empty() && self.next.is_none()
    }

    /// Gives the next request that is being handled already.
    pub(crate) fn pop(&mut self) -> Option<Handled> {
        self.handled.pop_front()
    }

    /// Gives the request that was read and not yet handled.
    pub(crate) fn take_next(&mut self) -> Option<Result<ParsedRequest, HeadError>> {
        self.next.take()
    }

    /// Begins to handle the requests that `reader` holds whole, as far as they may go ahead.
    pub(crate) fn take_from(&mut self, reader: &mut Reader) {
        while self.may_read_on()
            && let Some(parsed) = take_whole(reader, &self.cx.limits).transpose()
        {
            match parsed {
                Ok(parsed) if self.may_handle(&parsed) => {
                    let handled = Handled::begin(&self.cx, parsed, Body::empty(), self.peer);
                    self.handled.push_back(handled.in_background());
                }
                other => self.next = Some(other),
            }
        }
    }

    /// Says whether a further request may be read. Behind one that closes the connection
    /// nothing is: the caller sends it again elsewhere.
    fn may_read_on(&self) -> bool {
        let rule = self.cx.limits.ahead.as_ref();
        let has_room = rule.is_some_and(|rule| self.handled.len() < rule.most);
        let closes = self.handled.back().is_some_and(|last| last.close);
        has_room && !closes && self.next.is_none() && !self.cx.stop.is_fired()
    }

    fn may_handle(&self, parsed: &ParsedRequest) -> bool {
        let rule = self.cx.limits.ahead.as_ref();
        parsed.framing == Framing::Length(0)
            && !parsed.expects_continue
            && rule.is_some_and(|rule| (rule.is_allowed)(&parsed.head))
    }
}

impl Drop for AheadQueue {
    /// Tells the handlers that nobody reads their answers any more.
    fn drop(&mut self) {
        self.handled
            .iter()
            .for_each(|handled| handled.cancelled.fire());
    }
}

/// Takes a request head from the front of what was read, where it is there whole.
fn take_whole(reader: &mut Reader, limits: &Limits) -> Result<Option<ParsedRequest>, HeadError> {
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
