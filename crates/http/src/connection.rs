//! Serves one connection of a caller: reads its requests and responds to them in order.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{Either, Fuse, LocalBoxFuture, select};
use http::{HeaderName, HeaderValue, StatusCode};
use monoio::io::AsyncReadRent;
use monoio::net::TcpStream;

use heatherknot_types::outcome::OUTCOME_HEADER;
use heatherknot_types::prelude::*;

use crate::ahead::{self, InFlightRequest, PipelineQueue};
use crate::body::Body;
use crate::decode::ParsedRequest;
use crate::encode;
use crate::flag::Flag;
use crate::halves;
use crate::head::{self, HeadError};
use crate::headers::strip_hop_by_hop;
use crate::incoming::{BodyLimits, Framing, IncomingBody};
use crate::loan::{self, ReaderLoan, ReaderSlot};
use crate::message::Response;
use crate::reader::{CALLER_READ, HEAD_READ, ReadError, Reader};
use crate::server::ServerContext;
use crate::timeout::with_timeout;
use crate::writer::{WriteError, Writer, framing_of};

/// How long a closing connection discards input, so that the caller can read the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes that a closing connection discards.
const MAX_LINGER_BYTES: usize = 1 << 20;
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What happens to a connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterRequest {
    /// A further request may follow.
    KeepAlive,
    /// The connection closes after the caller had time to read the response.
    Close,
    /// The connection closes immediately: the response is incomplete or nobody reads it.
    Abort,
}

/// Serves one connection until it closes.
pub(crate) async fn run(stream: TcpStream, peer: SocketAddr, cx: Rc<ServerContext>) {
    let (read, write) = halves::split(stream);
    let mut connection = Connection {
        slot: ReaderSlot::Available(Reader::new(read)),
        writer: Writer::new(write, cx.limits.write_timeout),
        pipeline: PipelineQueue::new(Rc::clone(&cx), peer),
        peer,
        cx,
    };
    loop {
        match connection.serve_one().await {
            AfterRequest::KeepAlive => {}
            AfterRequest::Close => return connection.close().await,
            AfterRequest::Abort => return,
        }
    }
}

struct Connection {
    slot: ReaderSlot,
    writer: Writer,
    pipeline: PipelineQueue,
    peer: SocketAddr,
    cx: Rc<ServerContext>,
}

impl Connection {
    async fn serve_one(&mut self) -> AfterRequest {
        if let Some(in_flight) = self.pipeline.pop() {
            return Box::pin(self.respond(in_flight)).await;
        }
        let ReaderSlot::Available(reader) = &mut self.slot else {
            return AfterRequest::Close;
        };
        let read = match self.pipeline.take_next() {
            Some(read) => read.map(Some),
            None => read_request(reader, &mut self.writer, &self.cx).await,
        };
        match read {
            // Boxed to keep the future of the connection small, as it is idle most of the
            // time.
            Ok(Some(parsed)) => Box::pin(self.handle_request(parsed)).await,
            Ok(None) => AfterRequest::Abort,
            Err(error) => Box::pin(self.reject(error)).await,
        }
    }

    async fn handle_request(&mut self, parsed: ParsedRequest) -> AfterRequest {
        if parsed.expects_continue && parsed.framing != Framing::Length(0) {
            self.writer.out.extend_from_slice(CONTINUE_RESPONSE);
            if self.writer.flush().await.is_err() {
                return AfterRequest::Abort;
            }
        }
        let body = self.request_body(parsed.framing);
        let in_flight = InFlightRequest::start(&self.cx, parsed, body, self.peer);
        self.respond(in_flight).await
    }

    async fn respond(&mut self, in_flight: InFlightRequest) -> AfterRequest {
        let InFlightRequest {
            response: handler,
            cancelled,
            is_head,
            close: close_requested,
        } = in_flight;
        let (written, close) = {
            let pipeline = (!close_requested).then_some(&mut self.pipeline);
            let stop = &self.cx.stop;
            let pipeline = RefCell::new(pipeline);
            let start_pipelined = |reader: &mut Reader| {
                let mut pipeline = pipeline.borrow_mut();
                pipeline
                    .iter_mut()
                    .for_each(|pipeline| pipeline.start_from(reader));
            };
            let mut disconnected = pin!(self.slot.caller_disconnected(start_pipelined).fuse());
            let response = run_handler(handler, disconnected.as_mut(), &cancelled).await;
            // Pipelined requests in flight are answered before the connection closes.
            let is_last = pipeline
                .borrow()
                .as_ref()
                .is_none_or(|pipeline| pipeline.is_empty());
            let close = close_requested || (stop.is_fired() && is_last);
            let written =
                write_response(&mut self.writer, response, is_head, close, disconnected).await;
            (written, close)
        };
        match written {
            Ok(()) if !close && self.slot.recover().await => AfterRequest::KeepAlive,
            Ok(()) => AfterRequest::Close,
            Err(error) => {
                log::debug!(peer:% = self.peer, error:? = error; "failed to write a response");
                AfterRequest::Abort
            }
        }
    }

    /// Creates the body of a request, which borrows the reader.
    fn request_body(&mut self, framing: Framing) -> Body {
        if framing == Framing::Length(0) {
            return Body::empty();
        }
        let Some((reader, loan)) = self.slot.lend() else {
            return Body::empty();
        };
        let limits = BodyLimits {
            max_bytes: self.cx.limits.max_body_bytes,
            read_timeout: self.cx.limits.body_timeout,
            min_rate: self.cx.limits.min_body_rate,
        };
        let release = Box::new(move |released| ReaderLoan::return_reader(&loan, released));
        Body::incoming(IncomingBody::new(reader, framing, limits, release))
    }

    async fn reject(&mut self, error: HeadError) -> AfterRequest {
        log::debug!(peer:% = self.peer, error:% = error; "rejected an invalid request");
        let response = Response::text(error.status(), format!("{error}\n")).with_header(
            HeaderName::from_static(OUTCOME_HEADER),
            HeaderValue::from_static(Outcome::NotRun.as_str()),
        );
        let disconnected = pin!(std::future::pending().fuse());
        match write_response(&mut self.writer, response, false, true, disconnected).await {
            Ok(()) => AfterRequest::Close,
            Err(_) => AfterRequest::Abort,
        }
    }

    /// Closes the connection so that the caller can read the response.
    ///
    /// Closing a socket with unread bytes resets the connection: the part of the response that the
    /// caller's operating system has not received yet is lost, and it may discard the rest. So the
    /// write side is closed first, and further input, such as the rest of an upload, is discarded
    /// until the caller closes its side, for a short time.
    async fn close(mut self) {
        self.writer.shutdown().await;
        if let Some(mut reader) = self.slot.into_reader() {
            with_timeout(LINGER_TIMEOUT, linger_until_closed(&mut reader)).await;
        }
    }
}

/// Discards input until the caller closes its side. Input beyond the limit is left unread, which stops the
/// caller's upload.
async fn linger_until_closed(reader: &mut Reader) {
    reader.discard(MAX_LINGER_BYTES).await;
    loan::disconnected(&reader.probe()).await;
}

/// Discards the input of a rejected caller for a short time.
pub(crate) async fn linger(stream: &mut TcpStream) {
    let reading = async {
        let mut buf = Vec::with_capacity(HEAD_READ);
        let mut seen = 0;
        while seen < MAX_LINGER_BYTES {
            let (read, returned) = stream.read(buf).await;
            match read {
                Ok(0) | Err(_) => return,
                Ok(n) => seen += n,
            }
            buf = returned;
            buf.clear();
        }
    };
    with_timeout(LINGER_TIMEOUT, reading).await;
}

/// Reads the next request head; returns `None` if the connection ends before one.
async fn read_request(
    reader: &mut Reader,
    writer: &mut Writer,
    cx: &ServerContext,
) -> Result<Option<ParsedRequest>, HeadError> {
    if reader.buf.is_empty() && !wait_for_request(reader, writer, cx).await {
        return Ok(None);
    }
    let limits = &cx.limits;
    let mut scanned = 0;
    let len = match head::find_end(&reader.buf, &mut scanned, limits.max_head_bytes)? {
        Some(len) => len,
        None => {
            let rest = reader.fill_head(&mut scanned, limits.max_head_bytes);
            match with_timeout(limits.head_timeout, rest).await {
                None => return Err(HeadError::TooSlow),
                Some(Ok(len)) => len,
                Some(Err(ReadError::Io(_))) => return Ok(None),
                Some(Err(ReadError::Head(error))) => return Err(error),
            }
        }
    };
    ahead::take_head(reader, len, limits).map(Some)
}

/// Waits for the first bytes of a request; returns whether there are any.
///
/// A caller may send a request on an idle connection just before the server stops. Closing
/// the connection immediately would lose it, so the connection stays open a while longer.
async fn wait_for_request(reader: &mut Reader, writer: &mut Writer, cx: &ServerContext) -> bool {
    let reading = pin!(read_first_bytes(reader, writer, cx));
    match select(reading, cx.stop.wait()).await {
        Either::Left((is_there, _)) => is_there,
        Either::Right(((), reading)) => {
            let is_there = with_timeout(cx.limits.stop_idle, reading).await;
            is_there.unwrap_or(false)
        }
    }
}

/// Reads the first bytes of a request. After the idle grace period the connection frees its
/// buffers, and is closed if the server needs room for a new one.
async fn read_first_bytes(reader: &mut Reader, writer: &mut Writer, cx: &ServerContext) -> bool {
    let limits = &cx.limits;
    let grace = limits.idle_grace.min(limits.idle_timeout);
    let mut read = with_timeout(grace, reader.fill(CALLER_READ)).await;
    if read.is_none() {
        reader.shrink(0);
        writer.shrink();
        let rest = limits.idle_timeout.saturating_sub(grace);
        if !wait_readable(reader, cx, rest).await {
            return false;
        }
        read = with_timeout(limits.head_timeout, reader.fill(CALLER_READ)).await;
    }
    matches!(read, Some(Ok(n)) if n > 0)
}

async fn wait_readable(reader: &mut Reader, cx: &ServerContext, limit: Duration) -> bool {
    let idle = cx.idle.register();
    let readable = pin!(with_timeout(limit, reader.readable()));
    let readable = select(readable, idle.evicted.wait()).await;
    matches!(readable, Either::Left((Some(Ok(())), _)))
}

/// Awaits the handler, and fires `cancelled` if the caller disconnects.
async fn run_handler(
    handler: LocalBoxFuture<'static, Response>,
    disconnected: Pin<&mut Fuse<impl Future<Output = ()>>>,
    cancelled: &Flag,
) -> Response {
    match select(handler, disconnected).await {
        Either::Left((response, _)) => response,
        Either::Right(((), handler)) => {
            cancelled.fire();
            handler.await
        }
    }
}

/// Why a response was not completely written.
#[derive(Debug)]
#[allow(dead_code)]
enum ResponseError {
    Write(WriteError),
    CallerGone,
}

impl From<WriteError> for ResponseError {
    fn from(error: WriteError) -> Self {
        ResponseError::Write(error)
    }
}

async fn write_response(
    writer: &mut Writer,
    response: Response,
    is_head: bool,
    close: bool,
    disconnected: Pin<&mut Fuse<impl Future<Output = ()>>>,
) -> Result<(), ResponseError> {
    let Response {
        status,
        mut headers,
        body,
    } = response;
    let _ = strip_hop_by_hop(&mut headers);
    let has_body = !is_head && may_have_body(status);
    let framing = has_body.then(|| framing_of(&body));
    encode::response_head(&mut writer.out, status, &headers, framing, close);
    if let Some(framing) = framing {
        write_body(writer, body, framing, disconnected).await?;
    }
    writer.flush().await?;
    Ok(())
}

/// Returns whether responses with this status can have a body.
pub(crate) fn may_have_body(status: StatusCode) -> bool {
    !status.is_informational()
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED
}

/// Writes a body as its chunks arrive. Encoded bytes are flushed only when no chunk is ready, so
/// that a short response is sent in one write.
async fn write_body(
    writer: &mut Writer,
    mut body: Body,
    framing: Framing,
    mut disconnected: Pin<&mut Fuse<impl Future<Output = ()>>>,
) -> Result<(), ResponseError> {
    loop {
        let mut next = pin!(body.next_chunk());
        let chunk = match next.as_mut().now_or_never() {
            Some(chunk) => chunk,
            None => {
                writer.flush().await?;
                match select(next, disconnected.as_mut()).await {
                    Either::Left((chunk, _)) => chunk,
                    Either::Right(_) => return Err(ResponseError::CallerGone),
                }
            }
        };
        match chunk {
            Some(Ok(chunk)) => writer.chunk(chunk, framing).await?,
            Some(Err(error)) => {
                // Send what was received, without the end that would mark the body complete.
                writer.flush().await?;
                return Err(WriteError::Body(error).into());
            }
            None => break,
        }
    }
    if framing == Framing::Chunked {
        writer.out.extend_from_slice(encode::LAST_CHUNK);
    }
    Ok(())
}
