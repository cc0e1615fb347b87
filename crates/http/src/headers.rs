//! Hop-by-hop header fields and the header fields of Heatherknot itself.

use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue};
use snafu::ensure;

use heatherknot_types::outcome::{
    CLASS_HEADER, DEADLINE_HEADER, IDEMPOTENCY_HEADER, SERVICE_HEADER,
};

use crate::head::{HeadError, MalformedSnafu};

/// The prefix of the names of Heatherknot's own headers.
pub const SYSTEM_PREFIX: &str = "heatherknot-";

/// The Heatherknot headers that a caller may set.
pub const CALLER_HEADERS: &[&str] = &[SERVICE_HEADER, CLASS_HEADER, DEADLINE_HEADER];

/// Returns whether a field is hop-by-hop, apart from those that `connection` lists.
fn is_hop_by_hop(name: &HeaderName) -> bool {
    matches!(
        *name,
        CONNECTION
            | TRANSFER_ENCODING
            | UPGRADE
            | TE
            | TRAILER
            | EXPECT
            | PROXY_AUTHENTICATE
            | PROXY_AUTHORIZATION
    ) || ["keep-alive", "proxy-connection"].contains(&name.as_str())
}

/// The options of the `connection` field.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ConnectionOptions {
    /// Whether the connection closes after the message.
    pub(crate) close: bool,
}

/// Removes the hop-by-hop fields, including those that `connection` lists.
///
/// # Errors
///
/// Returns an error if `connection` lists a field that the next recipient needs. Removing it
/// would change the sender's identity or the framing of the message.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) -> Result<ConnectionOptions, HeadError> {
    let mut options = ConnectionOptions::default();
    if headers.contains_key(CONNECTION) {
        for name in connection_field_names(headers)? {
            options.close |= name == "close";
            headers.remove(name.as_str());
        }
    }
    remove_all(headers, is_hop_by_hop);
    Ok(options)
}

fn connection_field_names(headers: &HeaderMap) -> Result<Vec<String>, HeadError> {
    let mut names = Vec::new();
    for value in headers.get_all(CONNECTION) {
        for name in value_text(value).split(',') {
            let name = name.trim().to_ascii_lowercase();
            ensure!(
                !is_protected(&name),
                MalformedSnafu {
                    cause: "the connection field names an end-to-end field"
                }
            );
            names.push(name);
        }
    }
    Ok(names)
}

fn value_text(value: &HeaderValue) -> &str {
    value.to_str().unwrap_or("")
}

fn is_protected(name: &str) -> bool {
    name.starts_with(SYSTEM_PREFIX)
        || name == IDEMPOTENCY_HEADER
        || ["host", "content-length", "content-type", "authorization"].contains(&name)
}

/// Removes Heatherknot's own headers, except those listed in `kept`.
pub fn strip_system_headers(headers: &mut HeaderMap, kept: &[&str]) {
    remove_all(headers, |name| {
        name.as_str().starts_with(SYSTEM_PREFIX) && !kept.contains(&name.as_str())
    });
}

/// Removes the fields whose names match `is_removed`. Most heads have none, so nothing is
/// copied unless one matches.
fn remove_all(headers: &mut HeaderMap, is_removed: impl Fn(&HeaderName) -> bool) {
    if !headers.keys().any(&is_removed) {
        return;
    }
    let names: Vec<HeaderName> = headers
        .keys()
        .filter(|name| is_removed(name))
        .cloned()
        .collect();
    for name in names {
        headers.remove(name);
    }
}

/// Removes the fields that define the body length; the encoder writes its own.
pub(crate) fn strip_length(headers: &mut HeaderMap) {
    headers.remove(CONTENT_LENGTH);
    headers.remove(TRANSFER_ENCODING);
}
