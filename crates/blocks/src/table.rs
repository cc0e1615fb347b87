//! The table of client blocks at one revision.

use std::net::IpAddr;

use heatherknot_types::prelude::*;

use crate::builder::MapBuilder;
use crate::class::BlockClass;
use crate::diff::Diff;
use crate::entry::Entry;
use crate::error::{BlockError, Cause};
use crate::map::ChunkMap;
use crate::prefix::{self, Family, Net, Prefix};
use crate::shard::{Shard, ShardWriter};

/// All client blocks at one revision; it never changes.
///
/// A clone shares everything. [`BlockTable::apply`] gives the next revision, which shares
/// the unchanged groups; the owner replaces one value and lookups never block.
#[derive(Clone, Debug, Default)]
pub struct BlockTable {
    revision: Revision,
    v4: ChunkMap,
    v6: ChunkMap,
    count: usize,
    checksum: u64,
}

impl BlockTable {
    /// Creates a table of blocks in any order; if a prefix occurs more than once, the last one wins.
    pub fn from_blocks(
        revision: Revision,
        blocks: impl IntoIterator<Item = (Prefix, BlockClass)>,
    ) -> BlockTable {
        let mut blocks: Vec<_> = blocks.into_iter().collect();
        blocks.reverse();
        blocks.sort_by_key(|(prefix, _)| *prefix);
        blocks.dedup_by_key(|(prefix, _)| *prefix);
        let mut loader = TableLoader::default();
        for (prefix, class) in blocks {
            let net = prefix.net();
            loader.push(prefix.family(), Entry { net, class });
        }
        loader.into_table(revision)
    }

    /// Returns the class of the longest block that contains the address, or `None` if no
    /// block does.
    pub fn lookup(&self, address: IpAddr) -> Option<BlockClass> {
        let (family, bits) = prefix::family_and_bits(address);
        self.map(family).lookup(bits)
    }

    /// Returns the revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the number of blocks.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether the table holds no block.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns a checksum over the blocks, which differs between tables with different blocks
    /// except for random collisions. It detects mistakes; it is not cryptographic.
    pub fn checksum(&self) -> u64 {
        self.checksum
    }

    /// Returns the blocks in order of prefix.
    pub fn blocks(&self) -> impl Iterator<Item = (Prefix, BlockClass)> + '_ {
        [Family::V4, Family::V6].into_iter().flat_map(|family| {
            let entries = self.entries(family);
            entries.map(move |entry| (Prefix::from_net(family, entry.net), entry.class))
        })
    }

    pub(crate) fn entries(&self, family: Family) -> impl Iterator<Item = Entry> + '_ {
        self.map(family).entries()
    }

    fn map(&self, family: Family) -> &ChunkMap {
        match family {
            Family::V4 => &self.v4,
            Family::V6 => &self.v6,
        }
    }

    /// Returns the table after a diff; this table is not modified. `key` is the
    /// diff's key in the store.
    ///
    /// # Errors
    ///
    /// [`BlockError`] with the key and the cause if the diff does not start at this
    /// table's revision, does not lead to a higher one, removes a block that is not there, or
    /// leads to other blocks than its writer had.
    pub fn apply(&self, key: &str, diff: &Diff) -> Result<BlockTable, BlockError> {
        self.try_apply(diff).map_err(|cause| cause.at(key))
    }

    fn try_apply(&self, diff: &Diff) -> Result<BlockTable, Cause> {
        if diff.from() != self.revision {
            let (found, expected) = (diff.from(), self.revision);
            return Err(Cause::BaseMismatch { found, expected });
        }
        let table = self.with_changes(diff)?;
        if table.checksum != diff.checksum() {
            let (found, expected) = (table.checksum, diff.checksum());
            return Err(Cause::ChecksumMismatch { found, expected });
        }
        Ok(table)
    }

    /// Applies the changes without checking the diff's base revision or checksum.
    pub(crate) fn with_changes(&self, diff: &Diff) -> Result<BlockTable, Cause> {
        let (from, to) = (diff.from(), diff.to());
        if to <= from {
            return Err(Cause::RevisionNotHigher { from, to });
        }
        let mut table = BlockTable {
            revision: to,
            ..self.clone()
        };
        for family in [Family::V4, Family::V6] {
            table.apply_family(family, diff)?;
        }
        Ok(table)
    }

    fn apply_family(&mut self, family: Family, diff: &Diff) -> Result<(), Cause> {
        let changes = diff.net_changes(family);
        if changes.is_empty() {
            return Ok(());
        }
        let mut missing = None;
        let (mut count, mut checksum) = (self.count, self.checksum);
        let map = self.map(family).apply(&changes, &mut |change, before| {
            if change.class.is_none() && before.is_none() {
                missing.get_or_insert(change.net);
            }
            count += usize::from(change.class.is_some());
            count -= usize::from(before.is_some());
            checksum = checksum.wrapping_add(fingerprint(family, change.net, change.class));
            checksum = checksum.wrapping_sub(fingerprint(family, change.net, before));
        });
        if let Some(net) = missing {
            let prefix = Prefix::from_net(family, net);
            return Err(Cause::PrefixNotFound { prefix });
        }
        match family {
            Family::V4 => self.v4 = map,
            Family::V6 => self.v6 = map,
        }
        (self.count, self.checksum) = (count, checksum);
        Ok(())
    }

    /// Returns the whole table as shards, each below the store's limit for a value.
    pub fn shards(&self) -> Vec<Shard> {
        let mut writer = ShardWriter::default();
        for family in [Family::V4, Family::V6] {
            for entry in self.entries(family) {
                writer.push(family, entry);
            }
        }
        writer.finish(self.revision, self.checksum)
    }

    /// Returns the memory that the table uses, in bytes, including memory shared with other
    /// revisions.
    pub fn resident_bytes(&self) -> usize {
        self.v4.resident_bytes() + self.v6.resident_bytes()
    }

    /// Returns the number of chunk groups, and how many of them are shared with `other`.
    pub fn shared_groups(&self, other: &BlockTable) -> (usize, usize) {
        let v4 = self.v4.shared_groups(&other.v4);
        let v6 = self.v6.shared_groups(&other.v6);
        (v4.0 + v6.0, v4.1 + v6.1)
    }
}

fn fingerprint(family: Family, net: Net, class: Option<BlockClass>) -> u64 {
    /// Distinguishes an IPv6 block from the IPv4 block with the same leading bits.
    const V6_SALT: u64 = 0x9e37_79b9_7f4a_7c15;
    let salt = match family {
        Family::V4 => 0,
        Family::V6 => V6_SALT,
    };
    class.map_or(0, |class| Entry { net, class }.fingerprint(salt))
}

/// Builds a table from its shards, one at a time, so that the owner can serve lookups from
/// the current table between shards.
#[derive(Debug, Default)]
pub struct TableLoader {
    v4: MapBuilder,
    v6: MapBuilder,
    last_entry: Option<(Family, Net)>,
    count: usize,
    checksum: u64,
    next_number: u16,
    header: Option<ShardHeader>,
}

/// The header fields that are equal in all shards of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ShardHeader {
    revision: Revision,
    shard_count: u16,
    checksum: u64,
}

impl TableLoader {
    /// Adds the next shard. `key` is its key in the store.
    ///
    /// # Errors
    ///
    /// [`BlockError`] with the key and the cause if the shard belongs to another revision
    /// than the ones before, comes out of sequence, or overlaps the one before. The loader
    /// must not be used after an error.
    pub fn add(&mut self, key: &str, shard: &Shard) -> Result<(), BlockError> {
        self.try_add(shard).map_err(|cause| cause.at(key))
    }

    fn try_add(&mut self, shard: &Shard) -> Result<(), Cause> {
        let header = ShardHeader {
            revision: shard.revision,
            shard_count: shard.shard_count,
            checksum: shard.checksum,
        };
        let first = *self.header.get_or_insert(header);
        if header.revision != first.revision {
            return Err(Cause::ShardRevisionMismatch {
                found: header.revision,
                expected: first.revision,
            });
        }
        if shard.number != self.next_number || header != first {
            return Err(Cause::UnexpectedShardNumber {
                found: shard.number,
                found_count: shard.shard_count,
                expected: self.next_number,
                expected_count: first.shard_count,
            });
        }
        self.next_number += 1;
        let mut index = 0;
        let mut overlap = None;
        shard.for_each_entry(|family, entry| {
            if overlap.is_some() {
                return;
            }
            if self.last_entry >= Some((family, entry.net)) {
                let prefix = Prefix::from_net(family, entry.net);
                overlap = Some(Cause::OutOfOrder { index, prefix });
                return;
            }
            index += 1;
            self.push(family, entry);
        })?;
        overlap.map_or(Ok(()), Err)
    }

    fn push(&mut self, family: Family, entry: Entry) {
        self.last_entry = Some((family, entry.net));
        self.count += 1;
        let fingerprint = fingerprint(family, entry.net, Some(entry.class));
        self.checksum = self.checksum.wrapping_add(fingerprint);
        match family {
            Family::V4 => self.v4.push(entry),
            Family::V6 => self.v6.push(entry),
        }
    }

    /// Returns the table after the last shard, whose key is `key`.
    ///
    /// # Errors
    ///
    /// [`BlockError`] if shards are missing or the blocks are not those that the writer had.
    pub fn finish(self, key: &str) -> Result<BlockTable, BlockError> {
        let Some(header) = self
            .header
            .filter(|header| header.shard_count == self.next_number)
        else {
            let expected = self.header.map_or(1, |header| header.shard_count);
            let found = self.next_number;
            return Err(Cause::MissingShards { found, expected }.at(key));
        };
        if self.checksum != header.checksum {
            let (found, expected) = (self.checksum, header.checksum);
            return Err(Cause::ChecksumMismatch { found, expected }.at(key));
        }
        Ok(self.into_table(header.revision))
    }

    fn into_table(self, revision: Revision) -> BlockTable {
        BlockTable {
            revision,
            v4: self.v4.finish(),
            v6: self.v6.finish(),
            count: self.count,
            checksum: self.checksum,
        }
    }
}
