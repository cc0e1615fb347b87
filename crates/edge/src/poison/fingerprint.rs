//! Identifies a request across all its attempts.

use std::fmt;
use std::str::FromStr;

use bytes::Bytes;
use heatherknot_http::RequestHead;
use heatherknot_types::hash;
use http::HeaderName;
use http::header::{AUTHORIZATION, HOST};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest, Sha256};
use snafu::Snafu;

/// Length of a fingerprint in bytes, to which the digest is truncated. Finding another request
/// with a given fingerprint takes about 2^128 tries.
const LEN: usize = 16;

/// A digest of everything that may change how a backend server handles a request: method, host,
/// path and query, credentials and client account, object and body.
///
/// Whatever differs between two attempts of the same request is left out: its identifier, the time
/// left, the VM that received it, and headers about the caller's program.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint([u8; LEN]);

/// What is known of a request's body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KnownBody {
    /// The whole body, in chunks.
    Whole(Vec<Bytes>),
    /// Only the length, if known: the body is too long to be held or has not been read yet.
    Length(Option<u64>),
}

/// The parts of a request that make up its fingerprint.
pub struct Identity<'a> {
    /// The request's head.
    pub head: &'a RequestHead,
    /// Its client account, if it has one.
    pub account: Option<&'a str>,
    /// Its object, if it has one.
    pub object: Option<&'a str>,
    /// Its body.
    pub body: &'a KnownBody,
}

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(identity: &Identity<'_>) -> Self {
        let mut digest = Sha256::new();
        let mut field = |bytes: Option<&[u8]>| {
            let len = bytes.map_or(u64::MAX, |bytes| bytes.len() as u64);
            digest.update(len.to_le_bytes());
            digest.update(bytes.unwrap_or_default());
        };
        let head = identity.head;
        let target = head.uri.path_and_query().map(|target| target.as_str());
        field(Some(head.method.as_str().as_bytes()));
        field(target.map(str::as_bytes));
        field(header(head, &HOST));
        field(header(head, &AUTHORIZATION));
        field(identity.account.map(str::as_bytes));
        field(identity.object.map(str::as_bytes));
        match identity.body {
            KnownBody::Whole(chunks) => {
                let len: u64 = chunks.iter().map(|chunk| chunk.len() as u64).sum();
                digest.update(b"whole");
                digest.update(len.to_le_bytes());
                chunks.iter().for_each(|chunk| digest.update(chunk));
            }
            KnownBody::Length(len) => {
                digest.update(b"length");
                digest.update(len.unwrap_or(u64::MAX).to_le_bytes());
            }
        }
        let full = digest.finalize();
        Self(std::array::from_fn(|n| full[n]))
    }

    /// Returns the bytes of the fingerprint.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// The error for a text that is not a valid fingerprint.
#[derive(Debug, Snafu)]
#[snafu(display(
    "'{text}' is not a valid fingerprint: expected {LEN} bytes as hexadecimal digits"
))]
pub struct ParseFingerprintError {
    text: String,
}

impl FromStr for Fingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, ParseFingerprintError> {
        let is_valid = text.len() == 2 * LEN && text.bytes().all(|b| b.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok().filter(|_| is_valid);
        let number = number.ok_or_else(|| ParseFingerprintError { text: text.into() })?;
        Ok(Self(number.to_be_bytes()))
    }
}

impl Serialize for Fingerprint {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Fingerprint {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}

/// Hashes the same parts as a fingerprint at a far lower cost. Nobody who doesn't know `key` can
/// make two requests collide.
pub fn quick_hash(identity: &Identity<'_>, key: u64) -> u64 {
    let head = identity.head;
    let target = head.uri.path_and_query();
    let parts = [
        &key.to_le_bytes()[..],
        head.method.as_str().as_bytes(),
        header(head, &HOST).unwrap_or_default(),
        header(head, &AUTHORIZATION).unwrap_or_default(),
        identity.account.unwrap_or_default().as_bytes(),
        identity.object.unwrap_or_default().as_bytes(),
        target.map_or("", |target| target.as_str()).as_bytes(),
    ];
    let hashed = hash::rendezvous(&parts, "").to_le_bytes();
    match identity.body {
        KnownBody::Whole(chunks) => {
            let parts = chunks.iter().map(|chunk| &chunk[..]);
            let parts: Vec<&[u8]> = std::iter::once(&hashed[..]).chain(parts).collect();
            hash::rendezvous(&parts, "")
        }
        KnownBody::Length(len) => {
            let len = len.unwrap_or(u64::MAX).to_le_bytes();
            hash::rendezvous(&[&hashed, &len], "")
        }
    }
}

fn header<'a>(head: &'a RequestHead, name: &HeaderName) -> Option<&'a [u8]> {
    head.headers.get(name).map(|value| value.as_bytes())
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Fingerprint({self})")
    }
}
