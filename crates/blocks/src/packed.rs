//! The frame around a stored value: four magic bytes for its kind, the payload and a SHA-256
//! digest of both.

use sha2::{Digest, Sha256};

use crate::entry::{Entry, EntryReader, EntryWriter};
use crate::error::Cause;
use crate::prefix::{Family, Prefix};

const KIND_BYTES: usize = 4;
const DIGEST_BYTES: usize = 32;

/// Returns the payload framed by its kind and digest.
pub(crate) fn add_frame(kind: &'static str, payload: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(KIND_BYTES + payload.len() + DIGEST_BYTES);
    out.extend_from_slice(kind.as_bytes());
    out.extend_from_slice(payload);
    let digest = Sha256::digest(&out);
    out.extend_from_slice(&digest);
    out
}

/// Checks the kind and digest of a value and returns its payload, which has at least
/// `header_bytes` bytes.
pub(crate) fn check_frame<'a>(
    kind: &'static str,
    header_bytes: usize,
    value: &'a [u8],
) -> Result<&'a [u8], Cause> {
    let expected = KIND_BYTES + header_bytes + DIGEST_BYTES;
    let found = value.len();
    if found < expected {
        return Err(Cause::TooShort { found, expected });
    }
    if &value[..KIND_BYTES] != kind.as_bytes() {
        let found = value[..KIND_BYTES].escape_ascii().to_string();
        let expected = kind;
        return Err(Cause::WrongKind { found, expected });
    }
    let (framed, digest) = value.split_at(found - DIGEST_BYTES);
    if Sha256::digest(framed).as_slice() != digest {
        return Err(Cause::DigestMismatch);
    }
    Ok(&framed[KIND_BYTES..])
}

/// Reads the fixed-size integers of a payload's header. The caller has checked the size.
pub(crate) struct HeaderReader<'a> {
    rest: &'a [u8],
}

impl<'a> HeaderReader<'a> {
    pub(crate) fn new(payload: &'a [u8]) -> Self {
        Self { rest: payload }
    }

    fn take<const N: usize>(&mut self) -> [u8; N] {
        let (bytes, rest) = self.rest.split_first_chunk().expect("size was checked");
        self.rest = rest;
        *bytes
    }

    pub(crate) fn u16(&mut self) -> u16 {
        u16::from_le_bytes(self.take())
    }

    pub(crate) fn u32(&mut self) -> u32 {
        u32::from_le_bytes(self.take())
    }

    pub(crate) fn u64(&mut self) -> u64 {
        u64::from_le_bytes(self.take())
    }
}

/// Appends sorted entries as a list encoded independently of any list before it.
pub(crate) fn push_entries(entries: &[Entry], out: &mut Vec<u8>) {
    let mut writer = EntryWriter::new(0);
    for &entry in entries {
        writer.push(entry, out);
    }
}

/// Reads a list of `count` entries at the start of `bytes`, checks the length and order of each
/// and returns the bytes after the list. `first_index` is the index of the list's first entry
/// within the value.
pub(crate) fn read_entries(
    bytes: &[u8],
    family: Family,
    first_index: usize,
    count: u32,
    mut on_entry: impl FnMut(Entry),
) -> Result<&[u8], Cause> {
    let mut reader = EntryReader::new(bytes, 0);
    let mut prev = None;
    for index in first_index..first_index + count as usize {
        let entry = reader.next().ok_or(Cause::InvalidEntry { index })?;
        let (len, max) = (entry.net.len, family.max_len());
        if len > max {
            return Err(Cause::LengthOutOfRange { index, len, max });
        }
        if prev >= Some(entry.net) {
            let prefix = Prefix::from_net(family, entry.net);
            return Err(Cause::OutOfOrder { index, prefix });
        }
        prev = Some(entry.net);
        on_entry(entry);
    }
    Ok(reader.remaining())
}

/// Returns an error if bytes follow the last list.
pub(crate) fn expect_end(rest: &[u8]) -> Result<(), Cause> {
    match rest.len() {
        0 => Ok(()),
        count => Err(Cause::TrailingBytes { count }),
    }
}

/// Appends one entry, encoded relative to `prev`.
pub(crate) fn push_entry_after(prev: Option<&Entry>, entry: Entry, out: &mut Vec<u8>) {
    let mut writer = match prev {
        Some(prev) => EntryWriter::after(*prev),
        None => EntryWriter::new(0),
    };
    writer.push(entry, out);
}
