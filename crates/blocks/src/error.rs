//! Errors in a shard, in a diff or in the order in which they arrive.

use heatherknot_types::prelude::*;
use snafu::Snafu;

use crate::class::BlockClass;
use crate::prefix::Prefix;

/// A shard or diff was rejected. The current table remains in use.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("client blocks: `{key}`: {cause}"))]
pub struct BlockError {
    /// The key in the platform's store.
    pub key: String,
    /// What is wrong.
    #[snafu(source)]
    pub cause: Cause,
}

/// The reason why a shard or a diff was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Cause {
    /// The value is shorter than a header and a digest.
    #[snafu(display("the value has {found} bytes; expected at least {expected}"))]
    TooShort {
        /// Bytes found.
        found: usize,
        /// The minimum size of a value.
        expected: usize,
    },
    /// The value does not begin as this kind of value does.
    #[snafu(display("the value begins with `{found}`; expected `{expected}`"))]
    WrongKind {
        /// The first bytes, with unprintable ones escaped.
        found: String,
        /// The first bytes expected.
        expected: &'static str,
    },
    /// The digest does not match the bytes before it.
    #[snafu(display("the digest does not match: the value is damaged or cut short"))]
    DigestMismatch,
    /// The value is larger than the store holds.
    #[snafu(display("the value has {found} bytes; a value holds at most {max}"))]
    TooLarge {
        /// Bytes found.
        found: usize,
        /// The maximum size of a value.
        max: usize,
    },
    /// The bytes of an entry are malformed.
    #[snafu(display("entry {index} is malformed"))]
    InvalidEntry {
        /// Number of the entry in the value, from zero.
        index: usize,
    },
    /// An entry does not come after the one before it.
    #[snafu(display("entry {index}, {prefix}, is not in order after the entry before it"))]
    OutOfOrder {
        /// Number of the entry in the value, from zero.
        index: usize,
        /// The prefix.
        prefix: Prefix,
    },
    /// An IPv4 entry is longer than 32 bits.
    #[snafu(display("entry {index} has {len} bits; expected 1 to {max}"))]
    LengthOutOfRange {
        /// Number of the entry in the value, from zero.
        index: usize,
        /// The length found, in bits.
        len: u8,
        /// The longest length of the family, in bits.
        max: u8,
    },
    /// Bytes follow the last entry.
    #[snafu(display("{count} bytes follow the last entry"))]
    TrailingBytes {
        /// The bytes that follow.
        count: usize,
    },
    /// A shard belongs to another revision than the shards before it.
    #[snafu(display("the shard is of {found}; the shards before it are of {expected}"))]
    ShardRevisionMismatch {
        /// The revision found.
        found: Revision,
        /// The revision of the first shard.
        expected: Revision,
    },
    /// A shard is out of sequence.
    #[snafu(display(
        "the shard is number {found} of {found_count}; expected {expected} of {expected_count}"
    ))]
    UnexpectedShardNumber {
        /// The number found, from zero.
        found: u16,
        /// The number of shards according to this shard.
        found_count: u16,
        /// The number that comes next, from zero.
        expected: u16,
        /// The number of shards according to the first shard.
        expected_count: u16,
    },
    /// The load was finished before all shards were added.
    #[snafu(display("{found} of {expected} shards are loaded"))]
    MissingShards {
        /// Shards loaded.
        found: u16,
        /// Shards in all.
        expected: u16,
    },
    /// The diff does not start at the current revision.
    #[snafu(display("the diff starts at {found}; the current table is at {expected}"))]
    BaseMismatch {
        /// The revision at which the diff starts.
        found: Revision,
        /// The current revision.
        expected: Revision,
    },
    /// The diff does not lead to a higher revision.
    #[snafu(display("the diff leads from {from} to {to}; the revision must increase"))]
    RevisionNotHigher {
        /// The revision at which the diff starts.
        from: Revision,
        /// The revision to which it leads.
        to: Revision,
    },
    /// The diff removes a prefix that the table does not hold.
    #[snafu(display("the diff removes {prefix}, which the table does not hold"))]
    PrefixNotFound {
        /// The prefix.
        prefix: Prefix,
    },
    /// The resulting table differs from the one that the writer had.
    #[snafu(display("the table's checksum is {found:016x}; expected {expected:016x}"))]
    ChecksumMismatch {
        /// The checksum found.
        found: u64,
        /// The checksum that the writer stored.
        expected: u64,
    },
    /// A diff names one prefix twice.
    #[snafu(display("the diff names {prefix} twice, the second time with {class:?}"))]
    DuplicatePrefix {
        /// The prefix.
        prefix: Prefix,
        /// The class of the later change.
        class: Option<BlockClass>,
    },
}

impl Cause {
    /// Adds the key at which the cause was found.
    pub(crate) fn at(self, key: &str) -> BlockError {
        BlockError {
            key: key.to_owned(),
            cause: self,
        }
    }
}
