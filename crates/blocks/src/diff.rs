//! A diff: the changes from one revision of the table to a later one.

use heatherknot_types::prelude::*;

use crate::class::BlockClass;
use crate::entry::Entry;
use crate::error::{BlockError, Cause};
use crate::map::NetChange;
use crate::packed::{self, HeaderReader};
use crate::prefix::{Family, Prefix};
use crate::table::BlockTable;

const KIND: &str = "HKD1";
/// Bytes of the header: two revisions, the checksum, removed and set entries of each family.
const HEADER_BYTES: usize = 8 + 8 + 8 + 4 * 4;

/// The change of one block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Change {
    /// The block's prefix.
    pub prefix: Prefix,
    /// The new class, or `None` if the block is removed.
    pub class: Option<BlockClass>,
}

/// The changes from one revision to a later one, in order of prefix, each prefix once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diff {
    from: Revision,
    to: Revision,
    checksum: u64,
    changes: Vec<Change>,
}

impl Diff {
    /// Creates the diff that brings `table` to revision `to` by the given changes.
    ///
    /// # Errors
    ///
    /// [`Cause::RevisionNotHigher`] if `to` is not higher than the table's revision,
    /// [`Cause::DuplicatePrefix`] if two changes name one prefix,
    /// [`Cause::PrefixNotFound`] if a removed prefix is not in the table.
    pub fn new(table: &BlockTable, to: Revision, mut changes: Vec<Change>) -> Result<Diff, Cause> {
        changes.sort();
        if let Some(pair) = changes.windows(2).find(|w| w[0].prefix == w[1].prefix) {
            let (prefix, class) = (pair[1].prefix, pair[1].class);
            return Err(Cause::DuplicatePrefix { prefix, class });
        }
        let mut diff = Diff {
            from: table.revision(),
            to,
            checksum: 0,
            changes,
        };
        diff.checksum = table.with_changes(&diff)?.checksum();
        Ok(diff)
    }

    /// Returns the diff that turns `old` into `new`.
    ///
    /// # Errors
    ///
    /// [`Cause::RevisionNotHigher`] if the revision of `new` is not the higher one.
    pub fn between(old: &BlockTable, new: &BlockTable) -> Result<Diff, Cause> {
        let mut changes = Vec::new();
        for family in [Family::V4, Family::V6] {
            push_changes_between(old, new, family, &mut changes);
        }
        Diff::new(old, new.revision(), changes)
    }

    /// Returns the revision at which the diff starts.
    pub fn from(&self) -> Revision {
        self.from
    }

    /// Returns the revision to which it leads.
    pub fn to(&self) -> Revision {
        self.to
    }

    /// Returns the checksum of the table after the changes.
    pub fn checksum(&self) -> u64 {
        self.checksum
    }

    /// Returns the changes in order of prefix.
    pub fn changes(&self) -> &[Change] {
        &self.changes
    }

    /// Returns the changes of one family.
    pub(crate) fn net_changes(&self, family: Family) -> Vec<NetChange> {
        let changes = self.changes.iter();
        let in_family = changes.filter(|change| change.prefix.family() == family);
        in_family
            .map(|change| NetChange {
                net: change.prefix.net(),
                class: change.class,
            })
            .collect()
    }

    /// Encodes the diff as a value of the store.
    pub fn encode(&self) -> Vec<u8> {
        let lists = [Family::V4, Family::V6].map(|family| {
            let changes = self.net_changes(family);
            [removed_entries(&changes), set_entries(&changes)]
        });
        let mut payload = Vec::with_capacity(HEADER_BYTES + self.changes.len() * 8);
        payload.extend_from_slice(&self.from.0.to_le_bytes());
        payload.extend_from_slice(&self.to.0.to_le_bytes());
        payload.extend_from_slice(&self.checksum.to_le_bytes());
        for list in lists.iter().flatten() {
            payload.extend_from_slice(&(list.len() as u32).to_le_bytes());
        }
        for list in lists.iter().flatten() {
            packed::push_entries(list, &mut payload);
        }
        packed::add_frame(KIND, &payload)
    }

    /// Reads a value of the store and checks each entry. `key` is the value's key.
    ///
    /// # Errors
    ///
    /// [`BlockError`] with the key and the cause if the value is not a diff, is damaged,
    /// or holds an entry that cannot be read, is too long, out of order or named twice.
    pub fn decode(key: &str, value: &[u8]) -> Result<Diff, BlockError> {
        Self::decode_value(value).map_err(|cause| cause.at(key))
    }

    fn decode_value(value: &[u8]) -> Result<Diff, Cause> {
        let payload = packed::check_frame(KIND, HEADER_BYTES, value)?;
        let mut header = HeaderReader::new(payload);
        let (from, to) = (Revision(header.u64()), Revision(header.u64()));
        let checksum = header.u64();
        let counts = [header.u32(), header.u32(), header.u32(), header.u32()];
        let mut rest = &payload[HEADER_BYTES..];
        let mut changes = Vec::new();
        for (list, &count) in counts.iter().enumerate() {
            let family = [Family::V4, Family::V6][list / 2];
            let is_set = list % 2 == 1;
            let base = changes.len();
            rest = packed::read_entries(rest, family, base, count, |entry| {
                changes.push(Change {
                    prefix: Prefix::from_net(family, entry.net),
                    class: is_set.then_some(entry.class),
                });
            })?;
        }
        packed::expect_end(rest)?;
        changes.sort();
        if let Some(pair) = changes.windows(2).find(|w| w[0].prefix == w[1].prefix) {
            let (prefix, class) = (pair[1].prefix, pair[1].class);
            return Err(Cause::DuplicatePrefix { prefix, class });
        }
        Ok(Diff {
            from,
            to,
            checksum,
            changes,
        })
    }
}

fn removed_entries(changes: &[NetChange]) -> Vec<Entry> {
    let removed = changes.iter().filter(|change| change.class.is_none());
    removed
        .map(|change| Entry {
            net: change.net,
            class: BlockClass(0),
        })
        .collect()
}

fn set_entries(changes: &[NetChange]) -> Vec<Entry> {
    let set = changes.iter().filter_map(|change| {
        let net = change.net;
        change.class.map(|class| Entry { net, class })
    });
    set.collect()
}

/// Appends the changes of one family that turn `old` into `new`.
fn push_changes_between(
    old: &BlockTable,
    new: &BlockTable,
    family: Family,
    changes: &mut Vec<Change>,
) {
    let mut old = old.entries(family).peekable();
    let mut push_change = |net, class| {
        let prefix = Prefix::from_net(family, net);
        changes.push(Change { prefix, class });
    };
    for entry in new.entries(family) {
        while let Some(removed) = old.next_if(|e| e.net < entry.net) {
            push_change(removed.net, None);
        }
        let before = old.next_if(|e| e.net == entry.net);
        if before != Some(entry) {
            push_change(entry.net, Some(entry.class));
        }
    }
    for removed in old {
        push_change(removed.net, None);
    }
}
