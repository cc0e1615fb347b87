//! Message bodies, streamed in chunks with bounded buffers.

use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

use bytes::Bytes;
use http::StatusCode;
use snafu::Snafu;

use crate::duplex::Duplex;
use crate::incoming::IncomingBody;
use crate::kept::ReplayReader;

/// Maximum number of chunks buffered between a [`BodySender`] and its [`Body`].
const CHANNEL_CHUNKS: usize = 4;

/// Why a body could not be read to its end.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum BodyError {
    /// The connection was closed or failed before the end of the body.
    #[snafu(display("the connection broke within the body: {cause}"))]
    Truncated {
        /// What the connection reported.
        cause: String,
    },
    /// Chunked transfer coding is malformed.
    #[snafu(display("the chunked coding is wrong: {cause}"))]
    Malformed {
        /// What was wrong.
        cause: &'static str,
    },
    /// The body is longer than its limit.
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLarge {
        /// The limit, in bytes.
        limit: u64,
    },
    /// The peer sent too slowly.
    #[snafu(display("the body came too slowly"))]
    TooSlow,
    /// The producer of the body stopped before the body was complete.
    #[snafu(display("the sender gave up within the body"))]
    Abandoned,
    /// The body of the request broke while the response was being received.
    #[snafu(display("the body of the request broke within the response: {source}"))]
    RequestBody {
        /// Why it broke.
        source: Box<BodyError>,
    },
}

impl BodyError {
    /// Returns the status of the response to a request whose body failed with this error.
    pub fn status(&self) -> StatusCode {
        match self {
            BodyError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::TooSlow => StatusCode::REQUEST_TIMEOUT,
            BodyError::Truncated { .. } | BodyError::Malformed { .. } | BodyError::Abandoned => {
                StatusCode::BAD_REQUEST
            }
            BodyError::RequestBody { source } => source.status(),
        }
    }
}

/// A message body, read chunk by chunk.
///
/// Dropping a body before its end closes the connection that it is read from, unless the
/// server can discard the rest.
pub struct Body {
    source: Source,
    /// Dropped with the body; for example a counter of requests in flight.
    guard: Option<Box<dyn Any>>,
    /// Called with the error if the body can't be read to its end.
    on_error: Option<ErrorHandler>,
}

type ErrorHandler = Box<dyn FnOnce(&BodyError)>;

enum Source {
    Empty,
    Full(Bytes),
    Channel(Receiver),
    Incoming(Box<IncomingBody>),
    Duplex(Box<Duplex>),
    Replayable(Box<ReplayReader>),
}

impl Body {
    fn from_source(source: Source) -> Self {
        Self {
            source,
            guard: None,
            on_error: None,
        }
    }

    /// Creates an empty body.
    pub fn empty() -> Self {
        Self::from_source(Source::Empty)
    }

    /// Creates a body from bytes in memory.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        if bytes.is_empty() {
            return Self::empty();
        }
        Self::from_source(Source::Full(bytes))
    }

    /// Creates a body of unknown length that is fed by the returned sender.
    pub fn channel() -> (BodySender, Body) {
        Self::channel_with_len(None)
    }

    /// Creates a body that is fed by the returned sender, of `len` bytes if known.
    pub fn channel_with_len(len: Option<u64>) -> (BodySender, Body) {
        let channel = Rc::new(Channel::default());
        let body = Self::from_source(Source::Channel(Receiver {
            channel: Rc::clone(&channel),
            left: len,
        }));
        (BodySender { channel }, body)
    }

    pub(crate) fn incoming(incoming: IncomingBody) -> Self {
        Self::from_source(Source::Incoming(Box::new(incoming)))
    }

    pub(crate) fn duplex(duplex: Duplex) -> Self {
        Self::from_source(Source::Duplex(Box::new(duplex)))
    }

    pub(crate) fn replayable(reader: ReplayReader) -> Self {
        Self::from_source(Source::Replayable(Box::new(reader)))
    }

    /// Keeps `guard` until the body is dropped.
    pub fn with_guard(mut self, guard: impl Any) -> Self {
        self.guard = Some(Box::new(guard));
        self
    }

    /// Calls `f` with the error if the body can't be read to its end.
    pub fn on_error(mut self, f: impl FnOnce(&BodyError) + 'static) -> Self {
        self.on_error = Some(Box::new(f));
        self
    }

    /// Returns the number of remaining bytes, if known.
    pub fn known_len(&self) -> Option<u64> {
        match &self.source {
            Source::Empty => Some(0),
            Source::Full(bytes) => Some(bytes.len() as u64),
            Source::Channel(receiver) => receiver.left,
            Source::Incoming(incoming) => incoming.known_len(),
            Source::Duplex(duplex) => duplex.incoming.known_len(),
            Source::Replayable(reader) => reader.known_len(),
        }
    }

    /// Returns whether the body is known to have no remaining bytes.
    pub fn is_end(&self) -> bool {
        self.known_len() == Some(0)
    }

    /// Lowers the limit for the remaining bytes of the body to `max`.
    ///
    /// Affects only bodies that are read from a connection.
    pub fn limit(&mut self, max: u64) {
        match &mut self.source {
            Source::Incoming(incoming) => incoming.limit(max),
            Source::Duplex(duplex) => duplex.incoming.limit(max),
            Source::Replayable(reader) => reader.limit(max),
            Source::Empty | Source::Full(_) | Source::Channel(_) => {}
        }
    }

    /// Returns the next chunk, which is never empty, or `None` after the last one.
    ///
    /// # Errors
    ///
    /// Returns an error if the body could not be read to its end. No chunk follows an error.
    pub async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        let chunk = self.read_chunk().await;
        if let Some(Err(error)) = &chunk
            && let Some(f) = self.on_error.take()
        {
            f(error);
        }
        chunk
    }

    async fn read_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        match &mut self.source {
            Source::Empty => None,
            Source::Full(bytes) => {
                let bytes = std::mem::take(bytes);
                self.source = Source::Empty;
                Some(Ok(bytes))
            }
            Source::Channel(receiver) => receiver.next_chunk().await,
            Source::Incoming(incoming) => incoming.next_chunk().await,
            Source::Duplex(duplex) => duplex.next_chunk().await,
            Source::Replayable(reader) => reader.next_chunk().await,
        }
    }

    /// Reads the whole body into memory.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is longer than `max` bytes or could not be read to its
    /// end.
    pub async fn collect(mut self, max: usize) -> Result<Bytes, BodyError> {
        if let Source::Full(bytes) = &self.source {
            let bytes = bytes.clone();
            return check_len_limit(bytes, max);
        }
        let Some(first) = self.next_chunk().await.transpose()? else {
            return Ok(Bytes::new());
        };
        let Some(second) = self.next_chunk().await.transpose()? else {
            return check_len_limit(first, max);
        };
        let mut all = Vec::with_capacity(first.len() + second.len());
        all.extend_from_slice(&first);
        all.extend_from_slice(&second);
        while all.len() <= max {
            match self.next_chunk().await.transpose()? {
                Some(chunk) => all.extend_from_slice(&chunk),
                None => return Ok(all.into()),
            }
        }
        TooLargeSnafu { limit: max as u64 }.fail()
    }
}

fn check_len_limit(bytes: Bytes, max: usize) -> Result<Bytes, BodyError> {
    if bytes.len() > max {
        return TooLargeSnafu { limit: max as u64 }.fail();
    }
    Ok(bytes)
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match &self.source {
            Source::Empty => "empty",
            Source::Full(_) => "full",
            Source::Channel(_) => "channel",
            Source::Incoming(_) => "incoming",
            Source::Duplex(_) => "duplex",
            Source::Replayable(_) => "kept",
        };
        write!(f, "Body({kind}, {:?})", self.known_len())
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self::full(bytes)
    }
}

#[derive(Default)]
struct Channel {
    chunks: RefCell<VecDeque<Bytes>>,
    end: RefCell<Option<Result<(), BodyError>>>,
    receiver_dropped: Cell<bool>,
    sender_waker: RefCell<Option<Waker>>,
    receiver_waker: RefCell<Option<Waker>>,
}

impl Channel {
    fn close(&self, end: Result<(), BodyError>) {
        self.end.borrow_mut().get_or_insert(end);
        wake(&self.receiver_waker);
    }
}

fn wake(slot: &RefCell<Option<Waker>>) {
    let waker = slot.borrow_mut().take();
    if let Some(waker) = waker {
        waker.wake();
    }
}

/// The body was dropped, so further chunks are not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the reader of the body is gone"))]
pub struct BodyDropped;

/// Feeds a [`Body`] created by [`Body::channel`].
///
/// Dropping the sender without [`BodySender::finish`] ends the body with an error, so that a
/// truncated body is never taken as complete.
pub struct BodySender {
    channel: Rc<Channel>,
}

impl BodySender {
    /// Sends a chunk, waiting while the channel is full.
    ///
    /// # Errors
    ///
    /// Returns [`BodyDropped`] if the body was dropped.
    pub async fn send(&mut self, chunk: Bytes) -> Result<(), BodyDropped> {
        poll_fn(|cx| {
            if self.channel.receiver_dropped.get() {
                return Poll::Ready(Err(BodyDropped));
            }
            if self.channel.chunks.borrow().len() < CHANNEL_CHUNKS {
                return Poll::Ready(Ok(()));
            }
            *self.channel.sender_waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await?;
        if !chunk.is_empty() {
            self.channel.chunks.borrow_mut().push_back(chunk);
            wake(&self.channel.receiver_waker);
        }
        Ok(())
    }

    /// Ends the body as complete.
    pub fn finish(self) {
        self.channel.close(Ok(()));
    }

    /// Ends the body with an error.
    pub fn fail(self, error: BodyError) {
        self.channel.close(Err(error));
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        self.channel.close(Err(BodyError::Abandoned));
    }
}

struct Receiver {
    channel: Rc<Channel>,
    left: Option<u64>,
}

impl Receiver {
    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        let next = poll_fn(|cx| {
            if let Some(chunk) = self.channel.chunks.borrow_mut().pop_front() {
                return Poll::Ready(Some(Ok(chunk)));
            }
            if let Some(end) = self.channel.end.borrow().clone() {
                return Poll::Ready(end.err().map(Err));
            }
            *self.channel.receiver_waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
        wake(&self.channel.sender_waker);
        self.check_len(next)
    }

    fn check_len(
        &mut self,
        next: Option<Result<Bytes, BodyError>>,
    ) -> Option<Result<Bytes, BodyError>> {
        let Some(left) = self.left else { return next };
        match next {
            Some(Ok(chunk)) if chunk.len() as u64 > left => {
                Some(TooLargeSnafu { limit: left }.fail())
            }
            Some(Ok(chunk)) => {
                self.left = Some(left - chunk.len() as u64);
                Some(Ok(chunk))
            }
            None if left > 0 => Some(Err(BodyError::Abandoned)),
            other => other,
        }
    }
}

impl Drop for Receiver {
    fn drop(&mut self) {
        self.channel.receiver_dropped.set(true);
        wake(&self.channel.sender_waker);
    }
}
