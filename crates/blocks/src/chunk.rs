//! A chunk: a few neighbouring entries in their packed form.
//!
//! A chunk begins with its covers, the prefixes of earlier chunks that contain the chunk's
//! first address, so that a lookup reads one chunk only. All entries at one address lie in
//! one chunk, which makes the first addresses of chunks unique.

use crate::class::BlockClass;
use crate::entry::{Entry, EntryReader, EntryWriter};
use crate::prefix::Net;

/// Bytes of one cover: its length less one, then its class in two bytes.
const COVER_BYTES: usize = 3;

/// Appends a chunk: the number of covers, the covers, the entries.
///
/// `covers` are the entries of earlier chunks that contain the first address, the shortest
/// first; `entries` is not empty.
pub(crate) fn pack(covers: &[Entry], entries: &[Entry], out: &mut Vec<u8>) {
    push_covers(covers, out);
    let mut writer = EntryWriter::new(entries[0].net.bits);
    for &entry in entries {
        writer.push(entry, out);
    }
}

/// Appends a copy of a chunk with other covers.
pub(crate) fn copy_with_covers(chunk: &[u8], covers: &[Entry], out: &mut Vec<u8>) {
    push_covers(covers, out);
    out.extend_from_slice(body(chunk));
}

fn push_covers(covers: &[Entry], out: &mut Vec<u8>) {
    out.push(covers.len() as u8);
    for cover in covers {
        out.push(cover.net.len - 1);
        out.extend_from_slice(&cover.class.0.to_le_bytes());
    }
}

fn body(chunk: &[u8]) -> &[u8] {
    &chunk[1 + usize::from(chunk[0]) * COVER_BYTES..]
}

/// Returns the covers of the chunk whose first address is `key`, the shortest first.
pub(crate) fn covers(chunk: &[u8], key: u64) -> impl Iterator<Item = Entry> + '_ {
    let end = 1 + usize::from(chunk[0]) * COVER_BYTES;
    chunk[1..end].chunks_exact(COVER_BYTES).map(move |cover| {
        let net = Net::covering(key, cover[0] + 1);
        let class = BlockClass(u16::from_le_bytes([cover[1], cover[2]]));
        Entry { net, class }
    })
}

/// Returns the entries of the chunk whose first address is `key`.
pub(crate) fn entries(chunk: &[u8], key: u64) -> EntryReader<'_> {
    EntryReader::new(body(chunk), key)
}

/// Returns the class of the longest prefix that contains `address`, in the chunk whose first
/// address is `key`. `address` lies at or after `key`.
///
/// Entries come in order of address and length, so of those that contain the address the
/// last one is the longest, and no entry after the address can contain it.
pub(crate) fn lookup(chunk: &[u8], key: u64, address: u64) -> Option<BlockClass> {
    let mut found = covers(chunk, key)
        .filter(|cover| cover.net.contains(address))
        .last();
    for entry in entries(chunk, key) {
        if entry.net.bits > address {
            break;
        }
        if entry.net.contains(address) {
            found = Some(entry);
        }
    }
    found.map(|entry| entry.class)
}
