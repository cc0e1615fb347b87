//! Encoding of message heads and chunked transfer coding.
//!
//! The encoder of `monoio-http` requires a body of known length to be in memory as a whole,
//! so it can't stream a body with a `content-length`. Heads are written here instead, from
//! typed names and values that can't contain line breaks.

use std::fmt::Write;
use std::net::SocketAddr;

use bytes::{BufMut, Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode};

use crate::incoming::Framing;
use crate::message::RequestHead;

/// The end of a body in chunked transfer coding.
pub(crate) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Writes a request head. `peer` is used as the host if the head has no `host` field.
pub(crate) fn request_head(
    out: &mut BytesMut,
    head: &RequestHead,
    framing: Framing,
    peer: SocketAddr,
) {
    out.reserve(512);
    out.put_slice(head.method.as_str().as_bytes());
    out.put_u8(b' ');
    let target = head.uri.path_and_query().map_or("/", |path| path.as_str());
    out.put_slice(target.as_bytes());
    out.put_slice(b" HTTP/1.1\r\n");
    if !head.headers.contains_key(HOST) {
        let _ = write!(out, "host: {peer}\r\n");
    }
    put_headers(out, &head.headers);
    let expects_body = matches!(head.method, Method::POST | Method::PUT | Method::PATCH);
    match framing {
        Framing::Length(0) if !expects_body => {}
        framing => put_framing(out, framing),
    }
    out.put_slice(b"\r\n");
}

/// Writes a response head. `framing` is `None` if the status or the request's method excludes
/// a body; `headers` then keep their `content-length`.
pub(crate) fn response_head(
    out: &mut BytesMut,
    status: StatusCode,
    headers: &HeaderMap,
    framing: Option<Framing>,
    close: bool,
) {
    out.reserve(512);
    let reason = status.canonical_reason().unwrap_or("");
    let _ = write!(out, "HTTP/1.1 {} {reason}\r\n", status.as_str());
    put_headers(out, headers);
    match framing {
        Some(framing) => put_framing(out, framing),
        None => put_declared_length(out, status, headers),
    }
    if close {
        out.put_slice(b"connection: close\r\n");
    }
    out.put_slice(b"\r\n");
}

fn put_headers(out: &mut BytesMut, headers: &HeaderMap) {
    for (name, value) in headers {
        if name == CONTENT_LENGTH || name == TRANSFER_ENCODING {
            continue;
        }
        put_field(out, name.as_str(), value.as_bytes());
    }
}

fn put_field(out: &mut BytesMut, name: &str, value: &[u8]) {
    out.put_slice(name.as_bytes());
    out.put_slice(b": ");
    out.put_slice(value);
    out.put_slice(b"\r\n");
}

fn put_framing(out: &mut BytesMut, framing: Framing) {
    match framing {
        Framing::Length(len) => {
            let _ = write!(out, "content-length: {len}\r\n");
        }
        // A body of unknown length is forwarded in chunks, so that truncation is detectable.
        Framing::Chunked | Framing::UntilClose => {
            out.put_slice(b"transfer-encoding: chunked\r\n");
        }
    }
}

/// Writes the `content-length` of a response to `HEAD` or with status 304, which describes the
/// omitted body. A response with status 204 must not have one.
fn put_declared_length(out: &mut BytesMut, status: StatusCode, headers: &HeaderMap) {
    if status == StatusCode::NO_CONTENT {
        return;
    }
    if let Some(len) = headers.get(CONTENT_LENGTH) {
        put_field(out, CONTENT_LENGTH.as_str(), len.as_bytes());
    }
}

/// Writes the line before the data of a chunk, which states its size.
pub(crate) fn chunk_size_line(out: &mut BytesMut, chunk: &Bytes) {
    let _ = write!(out, "{:x}\r\n", chunk.len());
}
