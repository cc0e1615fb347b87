use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use http::Method;

use super::*;
use crate::encode;
use crate::incoming::{BodyDecoder, Decoded as Piece, Framing};
use crate::message::RequestHead;

const MAX_HEAD: usize = 16 * 1024;

/// Decodes one request the way a connection does; returns its head and body.
fn decode_request(bytes: &[u8]) -> Option<(ParsedRequest, Vec<u8>)> {
    let mut buf = BytesMut::from(bytes);
    let mut scanned = 0;
    let len = head::find_end(&buf, &mut scanned, MAX_HEAD).ok()??;
    let parsed = request(&mut buf, len, &[]).ok()?;
    let mut decoder = BodyDecoder::new(parsed.framing);
    let mut body = Vec::new();
    loop {
        match decoder.decode(&mut buf).ok()? {
            Piece::Chunk(chunk) => body.extend_from_slice(&chunk),
            Piece::NeedMore => return None,
            Piece::End => return Some((parsed, body)),
        }
    }
}

fn encode_request(head: &RequestHead, framing: Framing, body: &[u8]) -> Vec<u8> {
    let mut out = BytesMut::new();
    let peer = "127.0.0.1:80".parse().expect("an address");
    encode::request_head(&mut out, head, framing, peer);
    if framing == Framing::Chunked && !body.is_empty() {
        encode::chunk_size_line(&mut out, &Bytes::copy_from_slice(body));
    }
    out.extend_from_slice(body);
    if framing == Framing::Chunked {
        out.extend_from_slice(if body.is_empty() { b"" } else { b"\r\n" });
        out.extend_from_slice(encode::LAST_CHUNK);
    }
    out.to_vec()
}

/// Counts the `content-length` and `transfer-encoding` fields in a head by plain text search, so
/// that the check is independent of the code under test.
fn count_framing_fields(head: &str) -> (usize, usize) {
    let head = head.to_ascii_lowercase().replace('_', "-");
    let count = |name: &str| head.matches(&format!("\n{name}:")).count();
    (count("content-length"), count("transfer-encoding"))
}

fn assert_unambiguous(bytes: &[u8]) {
    let Some((parsed, body)) = decode_request(bytes) else {
        return;
    };

    let sent = encode_request(&parsed.head, parsed.framing, &body);

    let text = String::from_utf8_lossy(&sent);
    let (head, rest) = text.split_once("\r\n\r\n").expect("an end of the head");
    let lines = head.split("\r\n").count();
    assert_eq!(head.matches('\n').count(), lines - 1, "bare LF in {head:?}");
    assert_eq!(head.matches('\r').count(), lines - 1, "bare CR in {head:?}");
    let (lengths, codings) = count_framing_fields(head);
    assert!(lengths + codings <= 1, "two lengths in {head:?}");
    assert!(lengths + codings == 1 || rest.is_empty(), "{text:?}");
    let (again, same_body) = decode_request(&sent).expect("a request that decodes as before");
    assert_eq!(again.head.method, parsed.head.method);
    assert_eq!(again.head.uri, parsed.head.uri);
    assert_eq!(again.head.headers, parsed.head.headers);
    assert_eq!(same_body, body);
}

// Guards against request smuggling: a caller hides a second request in the body of its first. If
// the entry VM and the backend server disagree on where the first ends, the second runs with the
// rights of the next request on that connection.
#[test]
fn accepted_requests_are_unambiguous() {
    heatherknot_test_support::property::check().for_each(|bytes| {
        assert_unambiguous(bytes);
        let parts: [&[u8]; 3] = [b"GET / HTTP/1.1\r\nhost: h\r\n", bytes, b"\r\n\r\n"];
        let in_head = parts.concat();
        assert_unambiguous(&in_head);
    });
}

const FIRST_LINES: [&str; 6] = [
    "GET / HTTP/1.1",
    "POST /a HTTP/1.1",
    "GET // HTTP/1.1",
    "GET /a%2e%2e/b HTTP/1.1",
    "GET /?a=/../b HTTP/1.1",
    "GET /a;b='c'|{d} HTTP/1.1",
];

/// Harmless fields and fields that implementations are known to interpret differently.
const FIELDS: [&str; 20] = [
    "x-a: b",
    "x-a:",
    "X-B:\tc ",
    "x-c: \u{e9}",
    "accept: */*",
    "connection: keep-alive",
    "connection: close, x-a",
    "connection: transfer-encoding",
    "connection: content-length",
    "content-length: 3",
    "Content-Length: 03",
    "content-length:\t3 ",
    "content-length: 0",
    "content-length : 3",
    "transfer-encoding: chunked",
    "Transfer-Encoding:\tChunked ",
    "Transfer-Encoding:\u{b}chunked",
    "transfer-encoding: identity",
    "transfer_encoding: chunked",
    " folded",
];

const BODIES: [&str; 8] = [
    "",
    "abc",
    "0\r\n\r\n",
    "3\r\nabc\r\n0\r\n\r\n",
    "3;x=y\r\nabc\r\n0\r\nx-t: y\r\n\r\n",
    "003\r\nabc\r\n00\r\n\r\n",
    "3\nabc\n0\n\n",
    "0\r\n\r\nGET /hidden HTTP/1.1\r\nhost: h\r\n\r\n",
];

/// The indices of the first line, the fields and the body of a request, and an optional change of
/// one byte, as its position and new value.
type Choice = (u8, Vec<u8>, u8, Option<(u8, u8)>);

fn build((first, fields, body, change): &Choice) -> Vec<u8> {
    let pick = |parts: &[&'static str], n: u8| parts[usize::from(n) % parts.len()];
    let mut text = format!("{}\r\nhost: h\r\n", pick(&FIRST_LINES, *first));
    for field in fields.iter().take(3) {
        text += pick(&FIELDS, *field);
        text += "\r\n";
    }
    text += "\r\n";
    text += pick(&BODIES, *body);
    let mut bytes = text.into_bytes();
    if let Some((at, byte)) = change {
        let at = usize::from(*at) % bytes.len();
        bytes[at] = *byte;
    }
    bytes
}

// The same guard, with inputs that are close to valid requests far more often than random bytes.
#[test]
fn accepted_nearly_valid_requests_are_unambiguous() {
    let accepted = AtomicUsize::new(0);

    heatherknot_test_support::property::check()
        .with_type::<Choice>()
        .for_each(|choice| {
            let bytes = build(choice);
            accepted.fetch_add(
                usize::from(decode_request(&bytes).is_some()),
                Ordering::Relaxed,
            );
            assert_unambiguous(&bytes);
        });

    assert!(
        accepted.load(Ordering::Relaxed) > 0,
        "no request was accepted, so nothing was checked"
    );
}

// Strict validation must not refuse an ordinary request or change its fields.
#[test]
fn valid_request_is_read() {
    let bytes = b"POST /a?b HTTP/1.1\r\nHost: h\r\nX-A: b\r\nContent-Length: 3\r\n\r\nabc";

    let (parsed, body) = decode_request(bytes).expect("a request");

    assert_eq!(parsed.head.method, Method::POST);
    assert_eq!(parsed.head.uri, "/a?b");
    assert_eq!(parsed.head.headers.len(), 2);
    assert_eq!(body, b"abc");
    assert_unambiguous(bytes);
}
