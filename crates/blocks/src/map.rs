//! The entries of one address family: chunks, found by their first address, in groups.
//!
//! A group is the unit that revisions share: a new revision copies the groups that it touches
//! and shares the others with the previous revision.

use std::collections::HashSet;

use crate::chunk;
use crate::class::BlockClass;
use crate::entry::Entry;
use crate::group::Group;
use crate::merge::Merge;
use crate::prefix::Net;

/// The change of one prefix: its new class, or `None` if it is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NetChange {
    pub(crate) net: Net,
    pub(crate) class: Option<BlockClass>,
}

/// The entries of one address family.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChunkMap {
    /// The first address of each group.
    pub(crate) first_keys: Vec<u64>,
    pub(crate) groups: Vec<Group>,
}

impl ChunkMap {
    /// Returns the class of the longest prefix that contains `address`.
    pub(crate) fn lookup(&self, address: u64) -> Option<BlockClass> {
        let group = self.first_keys.partition_point(|&key| key <= address);
        let group = &self.groups[group.checked_sub(1)?];
        let at = group.find(address)?;
        chunk::lookup(group.chunk(at), group.key(at), address)
    }

    /// Returns the entries in order.
    pub(crate) fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        let chunks = self.groups.iter().flat_map(|group| group.chunks());
        chunks.flat_map(|(key, chunk)| chunk::entries(chunk, key))
    }

    /// Returns a map with the changes applied. Changes are sorted and name each prefix once;
    /// `on_change` is called with each change and the prefix's previous class.
    pub(crate) fn apply(
        &self,
        changes: &[NetChange],
        on_change: &mut dyn FnMut(NetChange, Option<BlockClass>),
    ) -> ChunkMap {
        let mut merge = Merge::new(changes, on_change);
        for (at, group) in self.groups.iter().enumerate() {
            merge.merge_group(group, self.first_keys.get(at + 1).copied());
        }
        merge.finish()
    }

    /// Returns the memory that the map uses, in bytes, including memory shared with other
    /// revisions.
    pub(crate) fn resident_bytes(&self) -> usize {
        let index = self.first_keys.capacity() * 8 + self.groups.capacity() * size_of::<Group>();
        let groups = self.groups.iter().map(|group| group.resident_bytes());
        index + groups.sum::<usize>()
    }

    /// Returns the number of groups, and how many of them are shared with `other`.
    pub(crate) fn shared_groups(&self, other: &ChunkMap) -> (usize, usize) {
        let held: HashSet<_> = other.groups.iter().map(Group::data_address).collect();
        let mine = self.groups.iter().map(Group::data_address);
        (
            self.groups.len(),
            mine.filter(|at| held.contains(at)).count(),
        )
    }
}
