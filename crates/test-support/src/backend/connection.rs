//! A connection to the fake backend server.

use std::fmt::Write;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use futures_util::future::{Either, select};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderName, HeaderValue, Method, StatusCode};
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use monoio_codec::{Decoded, Decoder};
use monoio_http::common::request::RequestHead;
use monoio_http::h1::codec::decoder::{ChunkedBodyDecoder, RequestHeadDecoder};

use super::{Behavior, Fault, HEALTH_PATH, REQUEST_ID_HEADER, State, WhenFull};

const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Request bodies are recorded up to this length.
const MAX_KEPT_BODY_BYTES: usize = 64 * 1024;
/// Longer than any test runs.
const FOREVER: Duration = Duration::from_secs(24 * 60 * 60);
/// Interval at which a queued request checks for a free slot.
const SLOT_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Interval at which a held request checks whether it may finish.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(1);

pub(super) async fn accept(listener: TcpListener, state: Rc<State>) {
    while let Ok((stream, _)) = listener.accept().await {
        if state.killed.get() {
            return;
        }
        let number = state.accepted.get();
        state.accepted.set(number + 1);
        let _ = stream.set_nodelay(true);
        let connection = Connection {
            stream,
            buf: BytesMut::new(),
            number,
            state: Rc::clone(&state),
        };
        state.connections.set(state.connections.get() + 1);
        monoio::spawn(connection.run());
    }
}

struct Connection {
    stream: TcpStream,
    buf: BytesMut,
    number: usize,
    state: Rc<State>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        let connections = &self.state.connections;
        connections.set(connections.get() - 1);
    }
}

/// Counts a request as running until dropped.
struct RunGuard(Rc<State>);

impl RunGuard {
    fn new(state: &Rc<State>, id: &str) -> Self {
        *state.runs.borrow_mut().entry(id.to_owned()).or_default() += 1;
        state.running.set(state.running.get() + 1);
        let most = state.most_running.get().max(state.running.get());
        state.most_running.set(most);
        Self(Rc::clone(state))
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

impl Connection {
    async fn run(mut self) {
        while let Ok(Some(head)) = self.read_head().await {
            if self.state.killed.get() || self.respond(head).await.is_err() {
                return;
            }
        }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        self.buf.reserve(READ_BUFFER_BYTES);
        let at = self.buf.len();
        let spare = self.buf.split_off(at);
        let (read, spare) = self.stream.read(spare).await;
        self.buf.unsplit(spare);
        if self.number < self.state.blackholed_below.get() && matches!(read, Ok(n) if n > 0) {
            // Sleep on a timer: a future that nothing can wake would be dropped, and the
            // connection closed with it.
            monoio::time::sleep(FOREVER).await;
        }
        read
    }

    async fn read_head(&mut self) -> io::Result<Option<RequestHead>> {
        loop {
            match RequestHeadDecoder.decode(&mut self.buf) {
                Ok(Decoded::Some(head)) => return Ok(Some(head)),
                Ok(_) => {}
                Err(error) => return Err(io::Error::other(error)),
            }
            if self.fill().await? == 0 {
                return Ok(None);
            }
        }
    }

    async fn read_body(&mut self, head: &RequestHead) -> io::Result<Vec<u8>> {
        let mut kept = Vec::new();
        if head.headers.contains_key(TRANSFER_ENCODING) {
            let mut decoder = ChunkedBodyDecoder::default();
            loop {
                match decoder.decode(&mut self.buf).map_err(io::Error::other)? {
                    Decoded::Some(None) => return Ok(kept),
                    Decoded::Some(Some(chunk)) => append_limited(&mut kept, &chunk),
                    _ => self.fill_or_eof().await?,
                }
            }
        }
        let len = head.headers.get(CONTENT_LENGTH);
        let mut left: usize = len
            .and_then(|len| len.to_str().ok()?.parse().ok())
            .unwrap_or(0);
        while left > 0 {
            if self.buf.is_empty() {
                self.fill_or_eof().await?;
            }
            let n = left.min(self.buf.len());
            append_limited(&mut kept, &self.buf[..n]);
            self.buf.advance(n);
            left -= n;
        }
        Ok(kept)
    }

    async fn fill_or_eof(&mut self) -> io::Result<()> {
        match self.fill().await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    async fn respond(&mut self, head: RequestHead) -> io::Result<()> {
        let behavior = self.state.behavior.borrow().clone();
        if head.uri.path() == HEALTH_PATH {
            let text = health_report(&self.state, &behavior);
            return self
                .write(&head.method, &behavior, StatusCode::OK, &[], text)
                .await;
        }
        if behavior.fault == Fault::AnswersEarly {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            self.write(&head.method, &behavior, status, &[], Bytes::new())
                .await?;
            self.stream.shutdown().await?;
            while self.fill().await? > 0 {
                self.buf.clear();
            }
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let body = self.read_body(&head).await?;
        if behavior.fault == Fault::ClosesBeforeRun {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        if behavior.shed_all || !self.wait_for_slot(&behavior).await {
            let (status, headers) = &behavior.shed_response;
            return self
                .write(&head.method, &behavior, *status, headers, Bytes::new())
                .await;
        }
        let id = request_id(&head);
        let run = RunGuard::new(&self.state, &id);
        self.state.bodies.borrow_mut().insert(id.clone(), body);
        self.run_request(&behavior).await?;
        drop(run);
        self.write_response(&head.method, &behavior, &id).await
    }

    async fn wait_for_slot(&self, behavior: &Behavior) -> bool {
        while self.state.running.get() >= behavior.slots {
            if behavior.when_full == WhenFull::Shed {
                return false;
            }
            monoio::time::sleep(SLOT_POLL_INTERVAL).await;
        }
        true
    }

    /// Waits for the duration of a request. Fails if the peer closes the connection meanwhile.
    async fn run_request(&mut self, behavior: &Behavior) -> io::Result<()> {
        let runs: usize = self.state.runs.borrow().values().sum();
        let mut time = behavior.response_time;
        if runs <= behavior.cold_start.requests {
            time += behavior.cold_start.extra;
        }
        if behavior.fault == Fault::NeverAnswers {
            time = FOREVER;
        }
        if time.is_zero() && !behavior.held {
            return Ok(());
        }
        let state = Rc::clone(&self.state);
        let mut finished = pin!(finished(Rc::clone(&self.state), time));
        loop {
            let reading = pin!(self.fill());
            match select(finished.as_mut(), reading).await {
                Either::Left(_) => return Ok(()),
                Either::Right((Ok(n), _)) if n > 0 => {}
                Either::Right(_) => {
                    state.cancelled.set(state.cancelled.get() + 1);
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
            }
        }
    }

    async fn write_response(
        &mut self,
        method: &Method,
        behavior: &Behavior,
        id: &str,
    ) -> io::Result<()> {
        match &behavior.fault {
            Fault::ClosesAfterRun => Err(io::ErrorKind::ConnectionAborted.into()),
            Fault::Raw(bytes) => {
                self.stream.write_all(bytes.clone()).await.0?;
                Err(io::ErrorKind::ConnectionAborted.into())
            }
            _ => {
                let body = response_body(id, behavior.body_len);
                self.write(method, behavior, StatusCode::OK, &[], body)
                    .await
            }
        }
    }

    async fn write(
        &mut self,
        method: &Method,
        behavior: &Behavior,
        status: StatusCode,
        headers: &[(HeaderName, HeaderValue)],
        body: Bytes,
    ) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status}\r\n");
        let drain = Some(&behavior.drain_header).filter(|_| behavior.draining);
        for (name, value) in headers.iter().chain(drain) {
            let _ = write!(text, "{name}: {}\r\n", value.to_str().unwrap_or(""));
        }
        let (framing, end) = match behavior.chunked {
            true => {
                let chunk = format!("{:x}\r\n", body.len());
                let framing = "transfer-encoding: chunked\r\n\r\n".to_owned();
                (framing + &chunk, "\r\n0\r\n\r\n")
            }
            false => (format!("content-length: {}\r\n\r\n", body.len()), ""),
        };
        text += &framing;
        let half = behavior.fault == Fault::TruncatedBody;
        let sent = match (method == Method::HEAD, half) {
            (true, _) => 0,
            (false, true) => body.len() / 2,
            (false, false) => body.len(),
        };
        let is_small = body.len() < READ_BUFFER_BYTES;
        let mut first = text.into_bytes();
        if is_small {
            first.extend_from_slice(&body[..sent]);
        }
        if is_small && !half {
            first.extend_from_slice(end.as_bytes());
        }
        self.stream.write_all(first).await.0?;
        if !is_small {
            self.stream.write_all(body.slice(..sent)).await.0?;
        }
        if half {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        if !is_small && !end.is_empty() {
            self.stream.write_all(end).await.0?;
        }
        Ok(())
    }
}

/// Waits for `time`, then for as long as requests are held.
async fn finished(state: Rc<State>, time: Duration) {
    monoio::time::sleep(time).await;
    while state.behavior.borrow().held {
        monoio::time::sleep(HOLD_POLL_INTERVAL).await;
    }
}

fn append_limited(kept: &mut Vec<u8>, bytes: &[u8]) {
    let remaining = MAX_KEPT_BODY_BYTES - kept.len().min(MAX_KEPT_BODY_BYTES);
    kept.extend_from_slice(&bytes[..bytes.len().min(remaining)]);
}

fn request_id(head: &RequestHead) -> String {
    let id = head.headers.get(REQUEST_ID_HEADER);
    let id = id.and_then(|id| id.to_str().ok());
    id.unwrap_or(head.uri.path()).to_owned()
}

/// Returns a response body that identifies its request: the request's identifier, padded
/// with `0` characters to `len`.
fn response_body(id: &str, len: usize) -> Bytes {
    let mut body = id.as_bytes().to_vec();
    body.resize(len.max(body.len()), b'0');
    body.into()
}

fn health_report(state: &State, behavior: &Behavior) -> Bytes {
    if let Some(body) = &behavior.health_override {
        return body.clone();
    }
    let health = serde_json::json!({
        "draining": behavior.draining,
        "slots": behavior.slots,
        "running": state.running.get(),
    });
    health.to_string().into()
}
