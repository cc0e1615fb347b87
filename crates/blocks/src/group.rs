//! A group: a run of neighbouring chunks in one shared buffer.
//!
//! The buffer holds the number of chunks, the first address of each, where each ends, and
//! the chunks. One allocation keeps what a lookup reads close together in memory.

use std::sync::Arc;

const COUNT_BYTES: usize = 2;
const KEY_BYTES: usize = 8;
const END_BYTES: usize = 2;
/// The two reference counts of an `Arc` and one word of allocator overhead.
const ALLOCATION_OVERHEAD_BYTES: usize = 24;

/// An immutable run of neighbouring chunks. Clones share the buffer.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    packed: Arc<[u8]>,
}

impl Group {
    /// Creates a group of chunks: the first address of each, where each ends in `bytes` and
    /// their bytes.
    ///
    /// # Panics
    ///
    /// If the chunks together exceed 64 KiB, which the builder's limits on
    /// chunks and entries prevent.
    pub(crate) fn new(keys: &[u64], ends: &[u32], start: u32, bytes: &[u8]) -> Group {
        let header_bytes = keys.len() * (KEY_BYTES + END_BYTES) + COUNT_BYTES;
        let mut out = Vec::with_capacity(header_bytes + bytes.len());
        out.extend_from_slice(&(keys.len() as u16).to_le_bytes());
        for key in keys {
            out.extend_from_slice(&key.to_le_bytes());
        }
        for end in ends {
            let end = u16::try_from(end - start).expect("a group is below 64 KiB");
            out.extend_from_slice(&end.to_le_bytes());
        }
        out.extend_from_slice(bytes);
        Group { packed: out.into() }
    }

    /// Returns the number of chunks, which is never zero.
    pub(crate) fn len(&self) -> usize {
        usize::from(u16::from_le_bytes([self.packed[0], self.packed[1]]))
    }

    /// Returns the first address of a chunk.
    pub(crate) fn key(&self, index: usize) -> u64 {
        let start = COUNT_BYTES + index * KEY_BYTES;
        let bytes = self.packed[start..].first_chunk();
        u64::from_le_bytes(*bytes.expect("a chunk of the group"))
    }

    /// Returns the last chunk whose first address is not above `address`.
    pub(crate) fn find(&self, address: u64) -> Option<usize> {
        let end = COUNT_BYTES + self.len() * KEY_BYTES;
        let (keys, _) = self.packed[COUNT_BYTES..end].as_chunks::<KEY_BYTES>();
        let end = keys.partition_point(|&key| u64::from_le_bytes(key) <= address);
        end.checked_sub(1)
    }

    /// Returns the bytes of a chunk.
    pub(crate) fn chunk(&self, index: usize) -> &[u8] {
        let count = self.len();
        let ends = COUNT_BYTES + count * KEY_BYTES;
        let body = ends + count * END_BYTES;
        let end_of = |index: usize| {
            let start = ends + index * END_BYTES;
            usize::from(u16::from_le_bytes([
                self.packed[start],
                self.packed[start + 1],
            ]))
        };
        let start = index.checked_sub(1).map_or(0, end_of);
        &self.packed[body + start..body + end_of(index)]
    }

    /// Returns each chunk with its first address.
    pub(crate) fn chunks(&self) -> impl Iterator<Item = (u64, &[u8])> {
        (0..self.len()).map(|index| (self.key(index), self.chunk(index)))
    }

    /// Returns the memory that the group uses, in bytes.
    pub(crate) fn resident_bytes(&self) -> usize {
        self.packed.len() + ALLOCATION_OVERHEAD_BYTES
    }

    /// Returns the address of the buffer, which distinguishes shared groups from copies.
    pub(crate) fn data_address(&self) -> usize {
        self.packed.as_ptr() as usize
    }
}
