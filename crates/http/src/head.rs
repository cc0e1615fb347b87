//! Strict validation of message heads at the byte level, before `monoio-http` decodes them.
//!
//! The decoder of `monoio-http` uses the first of several lengths, allows a length together
//! with a transfer coding and accepts a bare LF. Two recipients of such a head may disagree on
//! where the message ends, so that bytes of one caller are taken for a request of another
//! (request smuggling). So each head is validated here first, and ambiguous ones are refused.

use heatherknot_types::outcome::IDEMPOTENCY_HEADER;
use http::StatusCode;
use snafu::{Snafu, ensure};

use crate::headers::SYSTEM_PREFIX;
use crate::incoming::Framing;
use crate::target;

/// Maximum number of header fields in one head. The decoder of `monoio-http` supports 96.
pub const MAX_FIELDS: usize = 90;
/// Maximum number of digits of a `content-length`, so that every accepted value fits into 64 bits.
const MAX_LENGTH_DIGITS: usize = 18;

/// Start of a status line, before the code.
const VERSION_PREFIX: &[u8] = b"HTTP/1.1 ";

/// Why a message head was refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HeadError {
    /// The head violates the syntax of HTTP/1.1 or is ambiguous.
    #[snafu(display("malformed head: {cause}"))]
    Malformed {
        /// What was wrong.
        cause: &'static str,
    },
    /// The target is not in origin form, or its path is not allowed, for example with `..`.
    #[snafu(display("refused path: {cause}"))]
    Target {
        /// What was wrong.
        cause: &'static str,
    },
    /// The head exceeds its size limit or has too many fields.
    #[snafu(display("the head is too large"))]
    TooLarge,
    /// The declared length of the body exceeds its limit.
    #[snafu(display("the body is longer than {limit} bytes"))]
    BodyTooLarge {
        /// The limit, in bytes.
        limit: u64,
    },
    /// The version is not HTTP/1.1.
    #[snafu(display("only HTTP/1.1 is served"))]
    Version,
    /// The body is in a transfer coding other than `chunked`.
    #[snafu(display("only the transfer coding `chunked` is served"))]
    Coding,
    /// The method is `CONNECT` or `TRACE`.
    #[snafu(display("CONNECT and TRACE are not served"))]
    Method,
    /// The request expects something other than `100-continue`.
    #[snafu(display("only the expectation `100-continue` is served"))]
    Expectation,
    /// The head did not arrive within the head timeout.
    #[snafu(display("the head came too slowly"))]
    TooSlow,
}

impl HeadError {
    /// Returns the status of the response to a request with such a head.
    pub fn status(&self) -> StatusCode {
        match self {
            HeadError::Malformed { .. } | HeadError::Target { .. } => StatusCode::BAD_REQUEST,
            HeadError::TooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            HeadError::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            HeadError::Version => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            HeadError::Coding | HeadError::Method => StatusCode::NOT_IMPLEMENTED,
            HeadError::Expectation => StatusCode::EXPECTATION_FAILED,
            HeadError::TooSlow => StatusCode::REQUEST_TIMEOUT,
        }
    }
}

/// Finds the end of a head in `buf`, continuing at `scanned`, where the last search stopped.
///
/// Returns the length of the head including the empty line, or `None` while it is incomplete.
pub(crate) fn find_end(
    buf: &[u8],
    scanned: &mut usize,
    max: usize,
) -> Result<Option<usize>, HeadError> {
    while let Some(at) = buf[*scanned..].iter().position(|&b| b == b'\n') {
        let at = *scanned + at;
        *scanned = at + 1;
        ensure!(
            at > 0 && buf[at - 1] == b'\r',
            MalformedSnafu {
                cause: "a line ends in a bare LF"
            }
        );
        ensure!(
            at > 1,
            MalformedSnafu {
                cause: "the first line is empty"
            }
        );
        ensure!(at < max, TooLargeSnafu);
        if buf[at - 2] == b'\n' {
            return Ok(Some(at + 1));
        }
    }
    *scanned = buf.len();
    ensure!(buf.len() < max, TooLargeSnafu);
    Ok(None)
}

/// Validates a complete request head and returns the framing of its body.
pub(crate) fn check_request(head: &[u8]) -> Result<Framing, HeadError> {
    let mut lines = lines(head);
    let first = lines.next().unwrap_or_default();
    check_request_line(first)?;
    let fields = check_fields(lines)?;
    ensure!(
        fields.hosts == 1,
        MalformedSnafu {
            cause: "not exactly one host field"
        }
    );
    Ok(fields.framing()?.unwrap_or(Framing::Length(0)))
}

/// Validates a complete response head and returns the framing of its body, if the head states it.
pub(crate) fn check_response(head: &[u8]) -> Result<Option<Framing>, HeadError> {
    let mut lines = lines(head);
    let first = lines.next().unwrap_or_default();
    check_status_line(first)?;
    ensure!(
        !has_second_status_line(head),
        MalformedSnafu {
            cause: "a second status line within the head"
        }
    );
    check_fields(lines)?.framing()
}

/// Returns whether a response head contains a status line after its start. A server that gives up
/// within a head and sends another response on the same connection would have the second one taken
/// for the end of the first.
fn has_second_status_line(head: &[u8]) -> bool {
    let rest = head.get(VERSION_PREFIX.len()..).unwrap_or_default();
    let mut windows = rest.windows(VERSION_PREFIX.len() + 3);
    windows.any(|window| {
        let code = window.strip_prefix(VERSION_PREFIX);
        code.is_some_and(|code| code.iter().all(u8::is_ascii_digit))
    })
}

/// Splits a head at each CR LF, without the empty line at its end.
fn lines(head: &[u8]) -> impl Iterator<Item = &[u8]> {
    let head = head.strip_suffix(b"\r\n\r\n").unwrap_or(head);
    head.split(|&b| b == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

fn check_request_line(line: &[u8]) -> Result<(), HeadError> {
    let mut parts = line.split(|&b| b == b' ');
    let (method, target, version) = (parts.next(), parts.next(), parts.next());
    let (Some(method), Some(target), Some(version)) = (method, target, version) else {
        return malformed("the request line has not three parts");
    };
    ensure!(
        parts.next().is_none(),
        MalformedSnafu {
            cause: "the request line has not three parts"
        }
    );
    ensure!(
        is_token(method),
        MalformedSnafu {
            cause: "the method is not a token"
        }
    );
    ensure!(
        version.len() == 8 && version.starts_with(b"HTTP/"),
        MalformedSnafu {
            cause: "the request line ends in no version"
        }
    );
    ensure!(version == b"HTTP/1.1", VersionSnafu);
    ensure!(method != b"CONNECT" && method != b"TRACE", MethodSnafu);
    target::check(target)
}

fn check_status_line(line: &[u8]) -> Result<(), HeadError> {
    let Some(rest) = line.strip_prefix(VERSION_PREFIX) else {
        return VersionSnafu.fail();
    };
    let (code, reason) = rest.split_at(rest.len().min(3));
    let is_code = code.len() == 3 && code.iter().all(u8::is_ascii_digit) && code[0] != b'0';
    ensure!(
        is_code && matches!(reason.first(), None | Some(b' ')),
        MalformedSnafu {
            cause: "the status is not three digits"
        }
    );
    ensure!(
        reason.iter().all(|&b| is_field_byte(b)),
        MalformedSnafu {
            cause: "a control character in the reason"
        }
    );
    Ok(())
}

/// The fields of a head that must be unique: `host` and those that define the body length.
#[derive(Default)]
struct BodyFields {
    hosts: usize,
    length: Option<u64>,
    chunked: bool,
}

impl BodyFields {
    fn framing(&self) -> Result<Option<Framing>, HeadError> {
        match (self.length, self.chunked) {
            (Some(_), true) => malformed("a length beside a transfer coding"),
            (None, true) => Ok(Some(Framing::Chunked)),
            (Some(len), false) => Ok(Some(Framing::Length(len))),
            (None, false) => Ok(None),
        }
    }
}

fn check_fields<'a>(lines: impl Iterator<Item = &'a [u8]>) -> Result<BodyFields, HeadError> {
    let mut fields = BodyFields::default();
    for (n, line) in lines.enumerate() {
        ensure!(n < MAX_FIELDS, TooLargeSnafu);
        check_field(line, &mut fields)?;
    }
    Ok(fields)
}

fn check_field(line: &[u8], fields: &mut BodyFields) -> Result<(), HeadError> {
    ensure!(
        !matches!(line.first(), Some(b' ' | b'\t')),
        MalformedSnafu {
            cause: "a folded line"
        }
    );
    let Some(colon) = line.iter().position(|&b| b == b':') else {
        return malformed("a field without a colon");
    };
    let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
    ensure!(
        is_token(name),
        MalformedSnafu {
            cause: "the name of a field is not a token"
        }
    );
    ensure!(
        value.iter().all(|&b| is_field_byte(b)),
        MalformedSnafu {
            cause: "a control character in a field"
        }
    );
    ensure!(
        !is_ambiguous_name(name),
        MalformedSnafu {
            cause: "a field that some readers take for another"
        }
    );
    if name.eq_ignore_ascii_case(b"content-length") {
        ensure!(
            fields.length.is_none(),
            MalformedSnafu {
                cause: "more than one length"
            }
        );
        fields.length = Some(parse_length(value)?);
    } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
        ensure!(
            !fields.chunked,
            MalformedSnafu {
                cause: "more than one transfer coding"
            }
        );
        ensure!(value.eq_ignore_ascii_case(b"chunked"), CodingSnafu);
        fields.chunked = true;
    } else if name.eq_ignore_ascii_case(b"host") {
        fields.hosts += 1;
        check_host(value)?;
    } else if name.eq_ignore_ascii_case(b"expect") {
        ensure!(
            value.eq_ignore_ascii_case(b"100-continue"),
            ExpectationSnafu
        );
    }
    Ok(())
}

/// Returns whether a name equals that of a field with special meaning once underscores are
/// replaced by hyphens.
///
/// Backend servers that pass fields as environment variables can't tell the two apart. They
/// would take `transfer_encoding` for the transfer coding, and a caller's `heatherknot_...` for
/// a header of Heatherknot.
fn is_ambiguous_name(name: &[u8]) -> bool {
    if !name.contains(&b'_') {
        return false;
    }
    let name = String::from_utf8_lossy(name).to_ascii_lowercase();
    let plain = name.replace('_', "-");
    let special = ["content-length", "transfer-encoding", "host", "connection"];
    plain.starts_with(SYSTEM_PREFIX) || plain == IDEMPOTENCY_HEADER || special.contains(&&*plain)
}

fn parse_length(value: &[u8]) -> Result<u64, HeadError> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    ensure!(
        is_number && value.len() <= MAX_LENGTH_DIGITS,
        MalformedSnafu {
            cause: "the length is not a number"
        }
    );
    Ok(value
        .iter()
        .fold(0, |len, &b| len * 10 + u64::from(b - b'0')))
}

fn check_host(value: &[u8]) -> Result<(), HeadError> {
    let is_host_byte = |b: &u8| b.is_ascii_alphanumeric() || b"-._~:[]%".contains(b);
    ensure!(
        !value.is_empty() && value.iter().all(is_host_byte),
        MalformedSnafu {
            cause: "the host field names no host"
        }
    );
    Ok(())
}

fn malformed<T>(cause: &'static str) -> Result<T, HeadError> {
    MalformedSnafu { cause }.fail()
}

fn is_token(bytes: &[u8]) -> bool {
    let is_token_byte = |b: &u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(b);
    !bytes.is_empty() && bytes.iter().all(is_token_byte)
}

/// Returns whether a byte is allowed in a field value: anything but control characters, which
/// include a bare CR.
fn is_field_byte(b: u8) -> bool {
    b == b'\t' || (b >= b' ' && b != 0x7f)
}

#[cfg(test)]
mod tests;
