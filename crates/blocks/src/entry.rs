//! The packed form of one entry: a prefix and its class, relative to the entry before it.
//!
//! An entry is a tag byte, then the gap and the class where the tag does not imply them:
//!
//! | bits of the tag | meaning |
//! |---|---|
//! | 0 to 5 | length of the prefix less one |
//! | 6 | the class equals that of the previous entry |
//! | 7 | the gap is one: with equal lengths, the block directly follows the previous one |
//!
//! The gap is the distance from the address of the entry before, counted in blocks of the
//! entry's own size. Gap and class are variable-length integers.

use integer_encoding::VarInt;

use crate::class::BlockClass;
use crate::prefix::Net;

const LENGTH_MASK: u8 = 0x3f;
const SAME_CLASS: u8 = 0x40;
const ADJACENT: u8 = 0x80;

/// The maximum size of a packed entry: one byte of tag, ten of gap, three of class.
const MAX_ENTRY_BYTES: usize = 14;

/// A prefix and its class, in the family of the table that holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) net: Net,
    pub(crate) class: BlockClass,
}

impl Entry {
    /// Returns a 64-bit hash of the entry; the table's checksum is the wrapping sum of these.
    pub(crate) fn fingerprint(self, family_salt: u64) -> u64 {
        let tail = u64::from(self.net.len) << 16 | u64::from(self.class.0);
        mix(mix(self.net.bits ^ family_salt).wrapping_add(tail))
    }
}

/// The finaliser of SplitMix64.
fn mix(word: u64) -> u64 {
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// Encodes sorted entries, each relative to the previous one.
#[derive(Clone, Debug)]
pub(crate) struct EntryWriter {
    prev_bits: u64,
    prev_class: u16,
}

impl EntryWriter {
    /// Starts after an entry at address `prev_bits` with class zero.
    pub(crate) fn new(prev_bits: u64) -> Self {
        Self {
            prev_bits,
            prev_class: 0,
        }
    }

    /// Starts after the given entry.
    pub(crate) fn after(entry: Entry) -> Self {
        Self {
            prev_bits: entry.net.bits,
            prev_class: entry.class.0,
        }
    }

    /// Appends an entry; its prefix must come after every one written so far.
    pub(crate) fn push(&mut self, entry: Entry, out: &mut Vec<u8>) {
        let shift = 64 - u32::from(entry.net.len);
        let gap = (entry.net.bits >> shift) - (self.prev_bits >> shift);
        let same = entry.class.0 == self.prev_class;
        let mut tag = entry.net.len - 1;
        tag |= if same { SAME_CLASS } else { 0 };
        tag |= if gap == 1 { ADJACENT } else { 0 };
        out.push(tag);
        if gap != 1 {
            push_varint(gap, out);
        }
        if !same {
            push_varint(entry.class.0.into(), out);
        }
        self.prev_bits = entry.net.bits;
        self.prev_class = entry.class.0;
    }
}

/// Decodes entries written by [`EntryWriter`].
#[derive(Clone, Debug)]
pub(crate) struct EntryReader<'a> {
    bytes: &'a [u8],
    prev_bits: u64,
    prev_class: u16,
}

impl<'a> EntryReader<'a> {
    /// Starts at the first of `bytes`, after an entry at address `prev_bits` with class zero.
    pub(crate) fn new(bytes: &'a [u8], prev_bits: u64) -> Self {
        Self {
            bytes,
            prev_bits,
            prev_class: 0,
        }
    }

    /// Returns the bytes not yet read.
    pub(crate) fn remaining(&self) -> &'a [u8] {
        self.bytes
    }

    fn read_varint(&mut self) -> Option<u64> {
        let (value, used) = u64::decode_var(self.bytes)?;
        self.bytes = &self.bytes[used..];
        Some(value)
    }
}

impl Iterator for EntryReader<'_> {
    type Item = Entry;

    /// Returns the next entry, or `None` at the end or if the bytes are malformed.
    #[inline]
    fn next(&mut self) -> Option<Entry> {
        let (&tag, rest) = self.bytes.split_first()?;
        self.bytes = rest;
        let len = (tag & LENGTH_MASK) + 1;
        let shift = 64 - u32::from(len);
        let gap = match tag & ADJACENT {
            0 => self.read_varint()?,
            _ => 1,
        };
        if tag & SAME_CLASS == 0 {
            self.prev_class = self.read_varint()?.try_into().ok()?;
        }
        let block = (self.prev_bits >> shift).checked_add(gap)?;
        let bits = block << shift;
        if bits >> shift != block {
            return None;
        }
        self.prev_bits = bits;
        let class = BlockClass(self.prev_class);
        let net = Net { bits, len };
        Some(Entry { net, class })
    }
}

/// Appends a variable-length integer.
pub(crate) fn push_varint(value: u64, out: &mut Vec<u8>) {
    let mut buf = [0; MAX_ENTRY_BYTES];
    let used = value.encode_var(&mut buf);
    out.extend_from_slice(&buf[..used]);
}
