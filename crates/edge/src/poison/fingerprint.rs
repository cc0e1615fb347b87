//! Which request it is, whatever attempt brings it.

use std::fmt;

use bytes::Bytes;
use heatherknot_http::RequestHead;
use http::HeaderName;
use http::header::{AUTHORIZATION, HOST};
use sha2::{Digest, Sha256};

/// The bytes of the digest that are kept. Finding another request with a given fingerprint takes
/// 2^128 tries.
const KEPT: usize = 16;

/// Tells a request from all others by what a backend server makes of it: method, host, path and
/// query, who sends it, its object and its body.
///
/// What differs between two attempts of the same request is left out: its identifier, the time
/// left, where it came in, and headers about the caller's program.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint([u8; KEPT]);

/// A request's body, as far as it is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KnownBody {
    /// All of it.
    Whole(Vec<Bytes>),
    /// Its length at most, as it is too long to be held.
    Length(Option<u64>),
}

/// What a fingerprint is made of.
pub struct Identity<'a> {
    /// The request's head.
    pub head: &'a RequestHead,
    /// The client account that it is of, where it is of one.
    pub account: Option<&'a str>,
    /// Its object, where it has one.
    pub object: Option<&'a str>,
    /// Its body.
    pub body: &'a KnownBody,
}

impl Fingerprint {
    /// Makes the fingerprint of a request.
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
        let whole = digest.finalize();
        Self(std::array::from_fn(|n| whole[n]))
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
