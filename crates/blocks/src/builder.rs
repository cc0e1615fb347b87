//! Packs sorted entries into chunks and collects chunks into groups.

use crate::chunk;
use crate::entry::Entry;
use crate::group::Group;
use crate::map::ChunkMap;

/// The number of entries in a chunk when a table is built from scratch.
const TARGET_ENTRIES: usize = 20;
/// The maximum number of entries in a chunk. Entries at one address are never split, so a
/// chunk may exceed it by those.
const MAX_ENTRIES: usize = 30;
/// The number of chunks in a group when a table is built from scratch.
const TARGET_CHUNKS: usize = 28;
/// The maximum number of chunks in a group.
const MAX_CHUNKS: usize = 42;
/// The minimum number of chunks in a group; fewer are merged with the chunks that follow if
/// the next group is rewritten too.
const MIN_CHUNKS: usize = 14;

/// A map under construction, filled from its lowest address up.
#[derive(Debug, Default)]
pub(crate) struct MapBuilder {
    /// Entries not yet packed.
    pub(crate) pending: Vec<Entry>,
    /// The entries before the pending ones that contain its first address, the shortest first.
    pub(crate) covers: Vec<Entry>,
    keys: Vec<u64>,
    ends: Vec<u32>,
    bytes: Vec<u8>,
    map: ChunkMap,
}

impl MapBuilder {
    /// Appends an entry, which comes after every one before it, and packs a full chunk.
    pub(crate) fn push(&mut self, entry: Entry) {
        let last = self.pending.last();
        let is_new_address = last.is_some_and(|last| last.net.bits != entry.net.bits);
        if self.pending.len() >= TARGET_ENTRIES && is_new_address {
            let mut run = std::mem::take(&mut self.pending);
            self.pack_chunk(&run);
            run.clear();
            self.pending = run;
            if self.keys.len() >= TARGET_CHUNKS {
                self.close_group();
            }
        }
        self.pending.push(entry);
    }

    /// Packs the pending entries into chunks of nearly equal size.
    pub(crate) fn pack_pending(&mut self) {
        let mut run = std::mem::take(&mut self.pending);
        let mut rest = run.as_slice();
        let mut parts = rest.len().div_ceil(MAX_ENTRIES);
        while !rest.is_empty() {
            let wanted = rest.len().div_ceil(parts.max(1));
            let (part, after) = rest.split_at(end_of_address(rest, wanted));
            self.pack_chunk(part);
            rest = after;
            parts = parts.saturating_sub(1);
        }
        run.clear();
        self.pending = run;
        self.covers.clear();
    }

    fn pack_chunk(&mut self, part: &[Entry]) {
        let key = part[0].net.bits;
        self.covers.retain(|cover| cover.net.contains(key));
        chunk::pack(&self.covers, part, &mut self.bytes);
        self.end_chunk(key);
        for &entry in part {
            self.covers.retain(|c| c.net.contains(entry.net.bits));
            self.covers.push(entry);
        }
    }

    /// Appends a chunk of another map.
    pub(crate) fn push_chunk(&mut self, key: u64, chunk: &[u8]) {
        self.bytes.extend_from_slice(chunk);
        self.end_chunk(key);
    }

    /// Appends a chunk of another map with other covers.
    pub(crate) fn push_chunk_with_covers(&mut self, key: u64, chunk: &[u8], covers: &[Entry]) {
        chunk::copy_with_covers(chunk, covers, &mut self.bytes);
        self.end_chunk(key);
    }

    fn end_chunk(&mut self, key: u64) {
        self.keys.push(key);
        self.ends.push(self.bytes.len() as u32);
    }

    /// Appends a group of another map without copying it.
    pub(crate) fn push_shared_group(&mut self, group: &Group) {
        self.close_group();
        self.map.first_keys.push(group.key(0));
        self.map.groups.push(group.clone());
    }

    /// Closes the current group if it has at least [`MIN_CHUNKS`] chunks, to avoid many small
    /// groups.
    pub(crate) fn close_group_if_large(&mut self) {
        if self.keys.len() >= MIN_CHUNKS {
            self.close_group();
        }
    }

    /// Packs the chunks since the last group into groups of nearly equal size.
    fn close_group(&mut self) {
        let parts = self.keys.len().div_ceil(MAX_CHUNKS);
        let size = self.keys.len().div_ceil(parts.max(1));
        let (keys, ends) = (self.keys.chunks(size.max(1)), self.ends.chunks(size.max(1)));
        let mut start = 0;
        for (keys, ends) in keys.zip(ends) {
            let end = ends[ends.len() - 1];
            let bytes = &self.bytes[start as usize..end as usize];
            self.map.first_keys.push(keys[0]);
            self.map.groups.push(Group::new(keys, ends, start, bytes));
            start = end;
        }
        self.keys.clear();
        self.ends.clear();
        self.bytes.clear();
    }

    /// Packs the remaining entries and returns the map.
    pub(crate) fn finish(mut self) -> ChunkMap {
        self.pack_pending();
        self.close_group();
        self.map.first_keys.shrink_to_fit();
        self.map.groups.shrink_to_fit();
        self.map
    }
}

/// Returns the first index at or after `wanted` where a new address begins.
fn end_of_address(entries: &[Entry], wanted: usize) -> usize {
    let last = entries[wanted - 1].net.bits;
    let same = entries[wanted..]
        .iter()
        .take_while(|entry| entry.net.bits == last);
    wanted + same.count()
}
