//! Decoding of validated heads with the decoder of `monoio-http`.

use bytes::{Buf, BytesMut};
use heatherknot_types::prelude::*;
use http::header::EXPECT;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::{DecodeError, RequestHeadDecoder, ResponseHeadDecoder};
use snafu::ensure;

use crate::head::{self, HeadError, MalformedSnafu};
use crate::headers::{strip_hop_by_hop, strip_length, strip_system_headers};
use crate::incoming::Framing;
use crate::message::RequestHead;

/// The field in which a peer announces how long it keeps an idle connection open.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A decoded request head.
#[derive(Debug)]
pub(crate) struct ParsedRequest {
    pub(crate) head: RequestHead,
    pub(crate) framing: Framing,
    pub(crate) close: bool,
    pub(crate) expects_continue: bool,
}

/// A decoded response head.
#[derive(Debug)]
pub(crate) struct ParsedResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) framing: Option<Framing>,
    pub(crate) close: bool,
    /// How long the peer keeps the connection open while idle, if it announced that.
    pub(crate) keep_alive: Option<Millis>,
}

/// Removes a request head of `len` bytes from the front of `buf` and decodes it, after
/// validation. The result has no hop-by-hop fields and no fields that define the body length.
pub(crate) fn request(
    buf: &mut BytesMut,
    len: usize,
    kept_headers: &[&str],
) -> Result<ParsedRequest, HeadError> {
    let framing = head::check_request(&buf[..len])?;
    let mut bytes = take_head(buf, len);
    let target = request_target(&bytes).to_vec();
    let parts = complete_head(RequestHeadDecoder.decode(&mut bytes))?;
    let uri = parts.uri;
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    ensure!(
        path.as_bytes() == target,
        MalformedSnafu {
            cause: "the path can be read in two ways"
        }
    );
    let mut headers = parts.headers;
    let expects_continue = headers.contains_key(EXPECT);
    let options = strip_hop_by_hop(&mut headers)?;
    strip_length(&mut headers);
    strip_system_headers(&mut headers, kept_headers);
    Ok(ParsedRequest {
        head: RequestHead {
            method: parts.method,
            uri,
            headers,
        },
        framing,
        close: options.close,
        expects_continue,
    })
}

/// Removes a response head of `len` bytes from the front of `buf` and decodes it, after
/// validation. The result has no hop-by-hop fields.
pub(crate) fn response(buf: &mut BytesMut, len: usize) -> Result<ParsedResponse, HeadError> {
    let framing = head::check_response(&buf[..len])?;
    let mut bytes = take_head(buf, len);
    let parts = complete_head(ResponseHeadDecoder.decode(&mut bytes))?;
    let mut headers = parts.headers;
    let keep_alive = headers.get(KEEP_ALIVE).and_then(idle_timeout);
    let options = strip_hop_by_hop(&mut headers)?;
    Ok(ParsedResponse {
        status: parts.status,
        headers,
        framing,
        close: options.close,
        keep_alive,
    })
}

/// Parses the `timeout` parameter of a `keep-alive` field, in whole seconds.
fn idle_timeout(value: &HeaderValue) -> Option<Millis> {
    let text = value.to_str().ok()?;
    let mut parameters = text.split(',').map(str::trim);
    let secs = parameters.find_map(|p| p.strip_prefix("timeout="))?;
    secs.trim()
        .parse()
        .ok()
        .map(|secs: u64| Millis(secs * 1000))
}

/// Copies a head out of the buffer. Decoded headers share the memory of their head, so splitting
/// it off instead would require a new buffer for each request.
fn take_head(buf: &mut BytesMut, len: usize) -> BytesMut {
    let head = BytesMut::from(&buf[..len]);
    buf.advance(len);
    head
}

fn request_target(head: &[u8]) -> &[u8] {
    head.split(|&b| b == b' ').nth(1).unwrap_or_default()
}

fn complete_head<T>(result: Result<Decoded<T>, DecodeError>) -> Result<T, HeadError> {
    match result {
        Ok(Decoded::Some(head)) => Ok(head),
        Ok(_) => MalformedSnafu {
            cause: "the head is incomplete",
        }
        .fail(),
        Err(error) => {
            log::debug!(error:% = error; "monoio-http failed to decode a head");
            MalformedSnafu {
                cause: "the head can't be decoded",
            }
            .fail()
        }
    }
}

#[cfg(test)]
mod tests;
