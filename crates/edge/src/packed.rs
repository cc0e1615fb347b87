//! Many keys of the store on their way between daemons, compressed.
//!
//! After a restart of all VMs the head of a domain sends a copy of everything to each of them.
//! Entries of backend servers are alike but for a few bytes: 1,900 keys take 0.75 MB as they are
//! and under a fifth of that compressed. Sent as they are to 32 VMs over a link of 200 Mbit/s,
//! they took one second, in which all of these refused what callers sent.

use std::io::{Read, Write};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// The most bytes that a message is unpacked to. A whole deployment of two years takes 4 MB.
const MAX_UNPACKED: u64 = 16 << 20;

/// Why a message could not be unpacked.
#[derive(Debug, Snafu)]
pub enum UnpackError {
    /// It is no base64.
    #[snafu(display("unpack a peer's keys: {source}"))]
    Encoding {
        /// What the decoder said.
        source: base64::DecodeError,
    },
    /// It is not compressed as it should be, or is too long.
    #[snafu(display("unpack a peer's keys: {source}"))]
    Compression {
        /// What the decoder said.
        source: std::io::Error,
    },
    /// What was compressed can't be read.
    #[snafu(display("read a peer's keys: {source}"))]
    Content {
        /// What the parser said.
        source: serde_json::Error,
    },
}

/// Compresses a value.
///
/// # Panics
///
/// Panics where the value can't be written as JSON.
pub fn pack<T: Serialize>(value: &T) -> String {
    let json = serde_json::to_vec(value).expect("messages between daemons always serialise");
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(&json).and_then(|()| encoder.finish());
    STANDARD.encode(written.expect("writing to memory does not fail"))
}

/// Reads what [`pack`] wrote.
///
/// # Errors
///
/// Fails where the text was not written by [`pack`], or unpacks to over 16 MB.
pub fn unpack<T: DeserializeOwned>(text: &str) -> Result<T, UnpackError> {
    let compressed = STANDARD.decode(text).context(EncodingSnafu)?;
    let mut json = Vec::new();
    let mut decoder = DeflateDecoder::new(compressed.as_slice()).take(MAX_UNPACKED);
    decoder.read_to_end(&mut json).context(CompressionSnafu)?;
    serde_json::from_slice(&json).context(ContentSnafu)
}
