//! Sends one request on an upstream connection and receives the head of its response.

use std::future::Future;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::{Either, select};
use heatherknot_types::prelude::*;
use http::{HeaderName, HeaderValue, Method, StatusCode};
use snafu::IntoError;

use crate::body::{Body, BodyError};
use crate::connection::may_have_body;
use crate::decode::{self, ParsedResponse};
use crate::duplex::{Duplex, Upload, UploadResult, upload};
use crate::encode;
use crate::head::{HeadError, MalformedSnafu};
use crate::headers::{strip_hop_by_hop, strip_length};
use crate::incoming::{BodyDecoder, BodyLimits, Decoded, Framing, IncomingBody, Released};
use crate::message::{RequestHead, Response};
use crate::pool::{ConnectionInfo, PoolInner, PooledConnection};
use crate::reader::{HEAD_READ, ReadError, Reader};
use crate::send_error::{
    BadResponseSnafu, BrokenSnafu, ExpiredSnafu, RequestBodySnafu, SendError, SendProgress,
    SilentSnafu, Step,
};
use crate::timeout::with_timeout;
use crate::writer::{WriteError, Writer, framing_of};

/// Maximum size of a body chunk that is sent in one write with the head, in bytes.
const MAX_INLINE_BODY: usize = 8 * 1024;
/// Maximum number of responses read for a request: interim ones, those to earlier requests and the
/// final one.
const MAX_RESPONSES_PER_REQUEST: usize = 16;
/// How long to wait for a response after the peer stopped accepting the request's body.
const EARLY_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for sending a request without a deadline.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(24 * 60 * 60);

/// Why a request failed, without the details of its connection.
enum Failure {
    Expired(Step),
    Silent(Step),
    Io(Step, io::Error),
    Head(HeadError),
    RequestBody(BodyError),
}

impl Failure {
    /// Distinguishes a connection whose bytes are not acknowledged from one that failed otherwise.
    fn from_io(step: Step, error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::TimedOut => Failure::Silent(step),
            _ => Failure::Io(step, error),
        }
    }

    fn into_error(
        self,
        pool: &PoolInner,
        info: &ConnectionInfo,
        progress: SendProgress,
    ) -> SendError {
        let peer = pool.address;
        let reused = info.reused;
        match self {
            Failure::Expired(step) => ExpiredSnafu {
                peer,
                step,
                progress,
            }
            .build(),
            Failure::Silent(step) => SilentSnafu {
                peer,
                step,
                progress,
                reused,
            }
            .build(),
            Failure::Io(step, error) => BrokenSnafu {
                peer,
                step,
                progress,
                reused,
            }
            .into_error(error),
            Failure::Head(error) => BadResponseSnafu { peer }.into_error(error),
            Failure::RequestBody(error) => RequestBodySnafu { peer, progress }.into_error(error),
        }
    }
}

impl From<WriteError> for Failure {
    fn from(error: WriteError) -> Self {
        match error {
            WriteError::Io(error) => Failure::from_io(Step::Send, error),
            WriteError::Stalled => Failure::Silent(Step::Send),
            WriteError::Body(error) => Failure::RequestBody(error),
        }
    }
}

impl From<ReadError> for Failure {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::Io(error) => Failure::from_io(Step::Receive, error),
            ReadError::Head(error) => Failure::Head(error),
        }
    }
}

impl From<HeadError> for Failure {
    fn from(error: HeadError) -> Self {
        Failure::Head(error)
    }
}

/// Sends a request on a connection and waits for the head of the response.
///
/// On an error, or if the future is dropped, the connection is closed, so that a late response
/// can't be taken for that of another request.
pub(crate) async fn run(
    pool: &Rc<PoolInner>,
    connection: PooledConnection,
    mut head: RequestHead,
    body: Body,
    deadline: Option<Millis>,
) -> Result<Response, SendError> {
    let PooledConnection {
        mut reader,
        write,
        info,
    } = connection;
    let sent_at = pool.clock.now();
    let _ = strip_hop_by_hop(&mut head.headers);
    let framing = framing_of(&body);
    let mut writer = Writer::new(write, pool.config.write_timeout);
    encode::request_head(&mut writer.out, &head, framing, pool.address);
    let limit = pool.time_left(deadline, DEFAULT_TIME_LIMIT);
    let echo = EchoedHeader::from_request(pool, &head);
    let failure = match with_timeout(limit, send_head(&mut writer, body, framing)).await {
        Some(Ok(rest)) => {
            let exchanged = exchange(pool, writer, rest, (&mut reader, echo), deadline).await;
            match exchanged {
                Ok((parsed, upload)) => {
                    return response(pool, (reader, info), upload, parsed, &head.method);
                }
                Err(failure) => failure.into_error(pool, &info, SendProgress::MaybeSent),
            }
        }
        Some(Err(error)) => Failure::from(error).into_error(pool, &info, writer.send_progress()),
        None => Failure::Expired(Step::Send).into_error(pool, &info, writer.send_progress()),
    };
    if matches!(failure, SendError::Silent { .. }) {
        pool.close_idle_before(sent_at);
    }
    Err(failure)
}

/// The part of a request's body that is left to send after the first write.
struct RemainingBody {
    first: Option<Bytes>,
    body: Body,
    framing: Framing,
}

/// Sends the head, together with the first chunk of the body if it is ready and short.
async fn send_head(
    writer: &mut Writer,
    mut body: Body,
    framing: Framing,
) -> Result<Option<RemainingBody>, WriteError> {
    if framing == Framing::Length(0) {
        writer.flush().await?;
        return Ok(None);
    }
    let ready = body.next_chunk().now_or_never().flatten();
    let mut first = ready.transpose().map_err(WriteError::Body)?;
    if let Some(chunk) = first.take_if(|chunk| chunk.len() <= MAX_INLINE_BODY) {
        writer.chunk(chunk, framing).await?;
    }
    writer.flush().await?;
    let is_complete = first.is_none() && framing != Framing::Chunked && body.is_end();
    Ok((!is_complete).then_some(RemainingBody {
        first,
        body,
        framing,
    }))
}

/// Sends the rest of the body while waiting for the response: a peer may respond before it has
/// read the whole request.
async fn exchange(
    pool: &PoolInner,
    writer: Writer,
    rest: Option<RemainingBody>,
    (reader, echo): (&mut Reader, Option<EchoedHeader>),
    deadline: Option<Millis>,
) -> Result<(ParsedResponse, Upload), Failure> {
    let receiving = pin!(receive_head(reader, pool.config.max_head_bytes, echo));
    let Some(rest) = rest else {
        let parsed = receive_with_limit(pool, deadline, receiving).await?;
        return Ok((parsed, Upload::Ended(writer)));
    };
    let running = upload(writer, rest.first, rest.body, rest.framing).boxed_local();
    let limit = pool.time_left(deadline, DEFAULT_TIME_LIMIT);
    match with_timeout(limit, select(running, receiving)).await {
        None => Err(Failure::Expired(Step::Send)),
        Some(Either::Right((parsed, running))) => Ok((parsed?, Upload::Running(running))),
        Some(Either::Left((UploadResult { writer, result }, receiving))) => {
            let parsed = match result {
                Ok(()) => receive_with_limit(pool, deadline, receiving).await?,
                Err(WriteError::Io(error)) => early_response(receiving, error).await?,
                Err(error) => return Err(error.into()),
            };
            Ok((parsed, Upload::Ended(writer)))
        }
    }
}

/// Waits for the response of a peer that stopped accepting the request: it may have rejected
/// the request and closed the connection.
async fn early_response(
    receiving: impl Future<Output = Result<ParsedResponse, Failure>>,
    error: io::Error,
) -> Result<ParsedResponse, Failure> {
    match with_timeout(EARLY_RESPONSE_TIMEOUT, receiving).await {
        Some(Ok(parsed)) => {
            log::debug!(error:% = error; "the peer responded and stopped accepting a request's body");
            Ok(ParsedResponse {
                close: true,
                ..parsed
            })
        }
        _ => Err(WriteError::Io(error).into()),
    }
}

/// Waits for the head of a response until the deadline or the silence limit.
///
/// If a middlebox has lost the state of a connection, the connection accepts bytes but returns
/// none, like one to a slow peer. So the silence limit exceeds the time that any response takes;
/// until then only the keepalive probes of the operating system can tell the two apart.
async fn receive_with_limit(
    pool: &PoolInner,
    deadline: Option<Millis>,
    receiving: impl Future<Output = Result<ParsedResponse, Failure>>,
) -> Result<ParsedResponse, Failure> {
    let limit = pool.time_left(deadline, pool.config.silence_limit);
    match with_timeout(limit, receiving).await {
        Some(received) => received,
        None if pool.is_past(deadline) => Err(Failure::Expired(Step::Receive)),
        None => Err(Failure::Silent(Step::Receive)),
    }
}

/// The echoed header that matches a response to its request.
struct EchoedHeader {
    name: HeaderName,
    value: HeaderValue,
}

impl EchoedHeader {
    fn from_request(pool: &PoolInner, head: &RequestHead) -> Option<Self> {
        let name = pool.config.echoed_header.clone()?;
        let value = head.headers.get(&name)?.clone();
        Some(Self { name, value })
    }

    /// Returns whether a response belongs to an earlier request.
    fn is_for_other_request(&self, parsed: &ParsedResponse) -> bool {
        let echoed = parsed.headers.get(&self.name);
        echoed.is_some_and(|echoed| echoed != self.value)
    }
}

/// Discards the body of a response to an earlier request.
///
/// A faulty peer may respond to a request twice, and the second response arrives in place of the
/// next one. Forwarding it would give a caller the response to another request. After it the
/// connection is in sync again.
async fn discard_response_body(
    reader: &mut Reader,
    parsed: &ParsedResponse,
) -> Result<(), Failure> {
    let Some(framing) = parsed.framing.filter(|_| may_have_body(parsed.status)) else {
        return malformed_head("a response to another request without a length");
    };
    let mut decoder = BodyDecoder::new(framing);
    loop {
        let decoded = decoder.decode(&mut reader.buf);
        match decoded.map_err(|_| malformed_body())? {
            Decoded::End => return Ok(()),
            Decoded::Chunk(_) => {}
            Decoded::NeedMore => match reader.fill(HEAD_READ).await {
                Ok(0) => return malformed_head("a response to another request breaks off"),
                Ok(_) => {}
                Err(error) => return Err(Failure::from_io(Step::Receive, error)),
            },
        }
    }
}

fn malformed_body() -> Failure {
    let cause = "the body of a response to another request is malformed";
    Failure::Head(MalformedSnafu { cause }.build())
}

/// Reads the head of the final response, skipping interim responses and those to earlier
/// requests.
async fn receive_head(
    reader: &mut Reader,
    max: usize,
    echo: Option<EchoedHeader>,
) -> Result<ParsedResponse, Failure> {
    for _ in 0..MAX_RESPONSES_PER_REQUEST {
        let mut scanned = 0;
        let len = reader.fill_head(&mut scanned, max).await?;
        let parsed = decode::response(&mut reader.buf, len)?;
        if parsed.status == StatusCode::SWITCHING_PROTOCOLS {
            return malformed_head("the peer switched protocols unasked");
        }
        if parsed.status.is_informational() {
            continue;
        }
        if !echo
            .as_ref()
            .is_some_and(|echo| echo.is_for_other_request(&parsed))
        {
            return Ok(parsed);
        }
        discard_response_body(reader, &parsed).await?;
    }
    malformed_head("too many responses that are not the final one to the request")
}

fn malformed_head<T>(cause: &'static str) -> Result<T, Failure> {
    Err(Failure::Head(MalformedSnafu { cause }.build()))
}

/// Creates the response. Its body returns the connection to the pool at its end.
fn response(
    pool: &Rc<PoolInner>,
    (reader, mut info): (Reader, ConnectionInfo),
    upload: Upload,
    parsed: ParsedResponse,
    method: &Method,
) -> Result<Response, SendError> {
    info.peer_idle_timeout = parsed.keep_alive.or(info.peer_idle_timeout);
    let has_body = method != Method::HEAD && may_have_body(parsed.status);
    let mut headers = parsed.headers;
    let framing = match (has_body, parsed.framing) {
        (false, _) => Framing::Length(0),
        (true, Some(framing)) => framing,
        (true, None) if pool.config.allow_close_delimited => Framing::UntilClose,
        (true, None) => {
            let cause = "no length and no chunked coding";
            let peer = pool.address;
            return Err(BadResponseSnafu { peer }.into_error(MalformedSnafu { cause }.build()));
        }
    };
    let ends_connection = parsed.close || framing == Framing::UntilClose;
    if has_body {
        strip_length(&mut headers);
    }
    let body = match upload {
        Upload::Ended(writer) => {
            let connection = PooledConnection {
                reader,
                write: writer.into_half(),
                info,
            };
            response_body(pool, connection, framing, !ends_connection)
        }
        Upload::Running(_) => duplex_body(pool, reader, info, framing, upload),
    };
    Ok(Response {
        status: parsed.status,
        headers,
        body,
    })
}

fn response_body(
    pool: &PoolInner,
    connection: PooledConnection,
    framing: Framing,
    keep: bool,
) -> Body {
    if framing == Framing::Length(0) {
        if keep {
            connection.put_back();
        }
        return Body::empty();
    }
    let PooledConnection {
        reader,
        write,
        info,
    } = connection;
    // If the body was not read to its end, dropping the parts here closes the connection: the
    // rest of the body would be taken for the head of the next response.
    let release = Box::new(move |released| {
        if let (true, Released::Complete(reader)) = (keep, released) {
            let connection = PooledConnection {
                reader,
                write,
                info,
            };
            connection.put_back();
        }
    });
    Body::incoming(IncomingBody::new(reader, framing, limits(pool), release))
}

fn duplex_body(
    pool: &PoolInner,
    reader: Reader,
    info: ConnectionInfo,
    framing: Framing,
    upload: Upload,
) -> Body {
    if framing == Framing::Length(0) {
        return Body::empty();
    }
    let release = Box::new(move |_| drop(info));
    let incoming = IncomingBody::new(reader, framing, limits(pool), release);
    Body::duplex(Duplex { incoming, upload })
}

fn limits(pool: &PoolInner) -> BodyLimits {
    BodyLimits {
        max_bytes: u64::MAX,
        read_timeout: pool.config.body_timeout,
        min_rate: 0,
    }
}
