//! A shard: part of a table snapshot, stored as one value of the platform's store.

use bytes::Bytes;
use heatherknot_types::prelude::*;

use crate::entry::Entry;
use crate::error::{BlockError, Cause};
use crate::packed::{self, HeaderReader};
use crate::prefix::Family;

const KIND: &str = "HKS1";
/// Bytes of the header: revision, number, number of shards, checksum, entries of each family.
const HEADER_BYTES: usize = 8 + 2 + 2 + 8 + 4 + 4;

/// The maximum size of a shard's packed entries, in bytes. Encoded as base64, a shard of this
/// size still fits the store's limit of one megabyte per value.
pub const MAX_BODY_BYTES: usize = 700_000;

/// One part of the table at one revision, with its entries checked and still packed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shard {
    /// The revision of the table.
    pub revision: Revision,
    /// The number of this shard, from zero.
    pub number: u16,
    /// The number of shards of the table.
    pub shard_count: u16,
    /// The checksum over the entries of the whole table.
    pub checksum: u64,
    pub(crate) v4_count: u32,
    pub(crate) v6_count: u32,
    pub(crate) body: Bytes,
}

impl Shard {
    /// Encodes the shard as a value of the store.
    pub fn encode(&self) -> Vec<u8> {
        let mut payload = Vec::with_capacity(HEADER_BYTES + self.body.len());
        payload.extend_from_slice(&self.revision.0.to_le_bytes());
        payload.extend_from_slice(&self.number.to_le_bytes());
        payload.extend_from_slice(&self.shard_count.to_le_bytes());
        payload.extend_from_slice(&self.checksum.to_le_bytes());
        payload.extend_from_slice(&self.v4_count.to_le_bytes());
        payload.extend_from_slice(&self.v6_count.to_le_bytes());
        payload.extend_from_slice(&self.body);
        packed::add_frame(KIND, &payload)
    }

    /// Reads a value of the store and checks each entry. `key` is the value's key. The shard
    /// shares the value's buffer instead of copying it.
    ///
    /// # Errors
    ///
    /// [`BlockError`] with the key and the cause if the value is not a shard, is damaged, or
    /// holds an entry that cannot be read, is too long or out of order.
    pub fn decode(key: &str, value: Bytes) -> Result<Shard, BlockError> {
        Self::decode_value(value).map_err(|cause| cause.at(key))
    }

    fn decode_value(value: Bytes) -> Result<Shard, Cause> {
        let payload = packed::check_frame(KIND, HEADER_BYTES, &value)?;
        let mut header = HeaderReader::new(payload);
        let shard = Shard {
            revision: Revision(header.u64()),
            number: header.u16(),
            shard_count: header.u16(),
            checksum: header.u64(),
            v4_count: header.u32(),
            v6_count: header.u32(),
            body: value.slice_ref(&payload[HEADER_BYTES..]),
        };
        shard.for_each_entry(|_, _| ())?;
        Ok(shard)
    }

    /// Returns the number of entries.
    pub fn entry_count(&self) -> usize {
        self.v4_count as usize + self.v6_count as usize
    }

    /// Calls `on_entry` for each entry, in order.
    pub(crate) fn for_each_entry(
        &self,
        mut on_entry: impl FnMut(Family, Entry),
    ) -> Result<(), Cause> {
        let v4_count = self.v4_count as usize;
        let rest = packed::read_entries(&self.body, Family::V4, 0, self.v4_count, |entry| {
            on_entry(Family::V4, entry);
        })?;
        let rest = packed::read_entries(rest, Family::V6, v4_count, self.v6_count, |entry| {
            on_entry(Family::V6, entry);
        })?;
        packed::expect_end(rest)
    }
}

/// Splits the entries of a table into shards.
#[derive(Debug, Default)]
pub(crate) struct ShardWriter {
    shards: Vec<Shard>,
    lists: [Vec<Entry>; 2],
    packed_bytes: usize,
}

impl ShardWriter {
    /// The maximum size of one packed entry, in bytes.
    const MAX_ENTRY_BYTES: usize = 14;

    /// Appends an entry; those of IPv4 come first, each family in order.
    pub(crate) fn push(&mut self, family: Family, entry: Entry) {
        let list = &mut self.lists[usize::from(family == Family::V6)];
        let mut scratch = Vec::with_capacity(Self::MAX_ENTRY_BYTES);
        packed::push_entry_after(list.last(), entry, &mut scratch);
        list.push(entry);
        self.packed_bytes += scratch.len();
        if self.packed_bytes + Self::MAX_ENTRY_BYTES > MAX_BODY_BYTES {
            self.finish_shard();
        }
    }

    fn finish_shard(&mut self) {
        let [v4, v6] = std::mem::take(&mut self.lists);
        let mut body = Vec::with_capacity(self.packed_bytes);
        packed::push_entries(&v4, &mut body);
        packed::push_entries(&v6, &mut body);
        self.packed_bytes = 0;
        self.shards.push(Shard {
            revision: Revision::NONE,
            number: 0,
            shard_count: 0,
            checksum: 0,
            v4_count: v4.len() as u32,
            v6_count: v6.len() as u32,
            body: body.into(),
        });
    }

    /// Returns the shards of a table of the given revision and checksum; an empty table has one.
    pub(crate) fn finish(mut self, revision: Revision, checksum: u64) -> Vec<Shard> {
        let is_open = self.lists.iter().any(|list| !list.is_empty());
        if is_open || self.shards.is_empty() {
            self.finish_shard();
        }
        let shard_count = self.shards.len() as u16;
        for (number, shard) in self.shards.iter_mut().enumerate() {
            shard.revision = revision;
            shard.number = number as u16;
            shard.shard_count = shard_count;
            shard.checksum = checksum;
        }
        self.shards
    }
}
