//! Merges sorted changes into a map. Changed chunks are repacked, the other chunks of their
//! groups are copied, and all other groups are shared.

use crate::builder::MapBuilder;
use crate::chunk;
use crate::class::BlockClass;
use crate::entry::Entry;
use crate::group::Group;
use crate::map::{ChunkMap, NetChange};

/// The minimum number of entries in a repacked chunk; fewer are merged into the next chunk.
const MIN_ENTRIES: usize = 10;

/// The state of one pass over a map.
pub(crate) struct Merge<'a> {
    changes: &'a [NetChange],
    on_change: &'a mut dyn FnMut(NetChange, Option<BlockClass>),
    /// Processed changes whose prefix may contain the first address of later chunks, whose
    /// covers then change too.
    covering_changes: Vec<NetChange>,
    builder: MapBuilder,
}

impl<'a> Merge<'a> {
    pub(crate) fn new(
        changes: &'a [NetChange],
        on_change: &'a mut dyn FnMut(NetChange, Option<BlockClass>),
    ) -> Self {
        Self {
            changes,
            on_change,
            covering_changes: Vec::new(),
            builder: MapBuilder::default(),
        }
    }

    /// Merges the next group; `limit` is the first address of the one after it.
    pub(crate) fn merge_group(&mut self, group: &Group, limit: Option<u64>) {
        let first = group.key(0);
        self.covering_changes
            .retain(|change| change.net.contains(first));
        let is_changed = self
            .changes
            .first()
            .is_some_and(|c| starts_before(c, limit));
        if !is_changed && self.covering_changes.is_empty() && self.builder.pending.is_empty() {
            self.builder.push_shared_group(group);
            return;
        }
        for (at, (key, chunk)) in group.chunks().enumerate() {
            let limit = match at + 1 < group.len() {
                true => Some(group.key(at + 1)),
                false => limit,
            };
            self.merge_chunk(key, chunk, limit);
        }
        self.builder.close_group_if_large();
    }

    fn merge_chunk(&mut self, key: u64, chunk: &[u8], limit: Option<u64>) {
        self.covering_changes
            .retain(|change| change.net.contains(key));
        let count = self.changes.partition_point(|c| starts_before(c, limit));
        let (in_chunk, later) = self.changes.split_at(count);
        self.changes = later;
        if self.builder.pending.is_empty() {
            if in_chunk.is_empty() {
                self.push_unchanged(key, chunk);
                return;
            }
            self.builder.covers = updated_covers(chunk, key, &self.covering_changes);
        }
        self.merge_entries(chunk::entries(chunk, key), in_chunk);
        self.covering_changes.extend_from_slice(in_chunk);
        if self.builder.pending.len() >= MIN_ENTRIES {
            self.builder.pack_pending();
        }
    }

    fn push_unchanged(&mut self, key: u64, chunk: &[u8]) {
        if self.covering_changes.is_empty() {
            self.builder.push_chunk(key, chunk);
            return;
        }
        let covers = updated_covers(chunk, key, &self.covering_changes);
        self.builder.push_chunk_with_covers(key, chunk, &covers);
    }

    /// Appends the old entries, with the changes applied, to the pending entries.
    fn merge_entries(&mut self, old: impl Iterator<Item = Entry>, changes: &[NetChange]) {
        let mut changes = changes.iter().copied().peekable();
        for entry in old {
            while let Some(change) = changes.next_if(|c| c.net < entry.net) {
                self.apply_change(change, None);
            }
            match changes.next_if(|c| c.net == entry.net) {
                Some(change) => self.apply_change(change, Some(entry.class)),
                None => self.builder.pending.push(entry),
            }
        }
        for change in changes {
            self.apply_change(change, None);
        }
    }

    fn apply_change(&mut self, change: NetChange, before: Option<BlockClass>) {
        (self.on_change)(change, before);
        if let Some(class) = change.class {
            let net = change.net;
            self.builder.pending.push(Entry { net, class });
        }
    }

    /// Applies the changes that are left if the map was empty, and returns the merged map.
    pub(crate) fn finish(mut self) -> ChunkMap {
        let changes = self.changes;
        self.merge_entries(std::iter::empty(), changes);
        self.builder.finish()
    }
}

fn starts_before(change: &NetChange, limit: Option<u64>) -> bool {
    limit.is_none_or(|limit| change.net.bits < limit)
}

/// Returns the covers of a chunk after the changes, each of which contains its first address.
fn updated_covers(chunk: &[u8], key: u64, changes: &[NetChange]) -> Vec<Entry> {
    let mut covers: Vec<Entry> = chunk::covers(chunk, key).collect();
    for change in changes {
        let net = change.net;
        let at = covers.binary_search_by_key(&net.len, |cover| cover.net.len);
        match (at, change.class) {
            (Ok(at), Some(class)) => covers[at] = Entry { net, class },
            (Ok(at), None) => drop(covers.remove(at)),
            (Err(at), Some(class)) => covers.insert(at, Entry { net, class }),
            (Err(_), None) => {}
        }
    }
    covers
}
