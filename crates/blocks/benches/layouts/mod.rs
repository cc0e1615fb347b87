//! The layouts that the benchmark and the example compare, each behind the same functions.

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;

use heatherknot_blocks::generate;
use heatherknot_blocks::{BlockClass, BlockTable, Change, Diff, Family, Prefix};
use heatherknot_types::prelude::*;
use ip_network_table_deps_treebitmap::IpLookupTable;
use ipnet::{Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;

pub type Block = (Prefix, BlockClass);

/// Every layout, in the order of the printed table.
pub const NAMES: [&str; 5] = [
    "chunks",
    "sorted ranges",
    "hash per length",
    "treebitmap",
    "prefix-trie",
];

/// One layout filled with blocks.
pub struct Layout {
    pub lookup: Box<dyn Fn(IpAddr) -> Option<BlockClass>>,
    /// Applies the next revision. Not to be called during a lookup.
    pub apply: Box<dyn FnMut(&Prepared)>,
}

/// A diff as the layouts take it.
pub struct Prepared {
    pub diff: Diff,
    pub changes: Vec<Change>,
}

/// Creates the diff of `count` changes that fits the generated blocks.
pub fn prepare(table: &BlockTable, blocks: &[Block], count: usize, seed: u64) -> Prepared {
    let changes = generate::changes(blocks, count, seed);
    let diff = Diff::new(table, table.revision().next(), changes.clone()).expect("valid changes");
    Prepared { diff, changes }
}

/// Fills the named layout with blocks in order of prefix.
pub fn build(name: &str, blocks: impl Iterator<Item = Block>) -> Layout {
    match name {
        "chunks" => chunks(BlockTable::from_blocks(Revision(1), blocks)),
        "sorted ranges" => sorted_ranges(blocks),
        "hash per length" => hash_per_length(blocks),
        "treebitmap" => treebitmap(blocks),
        "prefix-trie" => prefix_trie(blocks),
        other => panic!("no layout `{other}`"),
    }
}

/// Returns seeded addresses: four in five inside a block, the others anywhere.
pub fn addresses(blocks: &[Block], count: usize, seed: u64) -> Vec<IpAddr> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let draw = |_| {
        let (prefix, _) = blocks[rng.usize(..blocks.len())];
        let inside = rng.u8(..5) > 0;
        let noise = rng.u128(..);
        match prefix.address() {
            IpAddr::V4(v4) => {
                let host = noise as u32
                    & (u32::MAX
                        .checked_shr(prefix.prefix_len().into())
                        .unwrap_or(0));
                let address = if inside {
                    u32::from(v4) | host
                } else {
                    noise as u32
                };
                IpAddr::V4(address.into())
            }
            IpAddr::V6(v6) => {
                let host = noise & (u128::MAX >> prefix.prefix_len());
                let anywhere = 0b001 << 125 | noise >> 3;
                let address = if inside {
                    u128::from(v6) | host
                } else {
                    anywhere
                };
                IpAddr::V6(address.into())
            }
        }
    };
    (0..count).map(draw).collect()
}

/// Wraps a [`BlockTable`] as a layout.
pub fn chunks(table: BlockTable) -> Layout {
    let held = std::rc::Rc::new(std::cell::RefCell::new(table));
    let reader = held.clone();
    Layout {
        lookup: Box::new(move |address| reader.borrow().lookup(address)),
        apply: Box::new(move |prepared| {
            let next = held.borrow().apply("hk/blocks/change/2", &prepared.diff);
            *held.borrow_mut() = next.expect("next diff");
        }),
    }
}

fn family_and_bits(address: IpAddr) -> (Family, u64) {
    match address {
        IpAddr::V4(v4) => (Family::V4, u64::from(u32::from(v4)) << 32),
        IpAddr::V6(v6) => (Family::V6, (u128::from(v6) >> 64) as u64),
    }
}

fn mask_bits(bits: u64, len: u8) -> u64 {
    let shift = 64 - u32::from(len);
    bits >> shift << shift
}

const NO_CLASS: u16 = u16::MAX;

/// Disjoint ranges in plain sorted arrays: where each starts, and its class.
#[derive(Default)]
struct Ranges {
    v4_starts: Vec<u32>,
    v4_classes: Vec<u16>,
    v6_starts: Vec<u64>,
    v6_classes: Vec<u16>,
}

impl Ranges {
    fn push_range(&mut self, family: Family, bits: u64, class: u16) {
        match family {
            Family::V4 if self.v4_starts.last() == Some(&((bits >> 32) as u32)) => {
                *self.v4_classes.last_mut().expect("as long as starts") = class;
            }
            Family::V4 => {
                self.v4_starts.push((bits >> 32) as u32);
                self.v4_classes.push(class);
            }
            Family::V6 if self.v6_starts.last() == Some(&bits) => {
                *self.v6_classes.last_mut().expect("as long as starts") = class;
            }
            Family::V6 => {
                self.v6_starts.push(bits);
                self.v6_classes.push(class);
            }
        }
    }

    /// Pops the blocks that end before the next one and starts a range of the enclosing block.
    fn close(&mut self, stack: &mut Vec<Block>, next: Option<Prefix>) {
        while let Some(&(prefix, _)) = stack.last() {
            if next.is_some_and(|next| prefix.contains(next.address())) {
                return;
            }
            stack.pop();
            let (family, bits) = family_and_bits(prefix.address());
            let end = bits.checked_add(1 << (64 - u32::from(prefix.prefix_len())));
            if let Some(end) = end {
                let parent = stack.last().map_or(NO_CLASS, |(_, class)| class.0);
                self.push_range(family, end, parent);
            }
        }
    }

    fn build(blocks: impl Iterator<Item = Block>) -> Ranges {
        let mut ranges = Ranges::default();
        let mut stack: Vec<Block> = Vec::new();
        for (prefix, class) in blocks {
            ranges.close(&mut stack, Some(prefix));
            let (family, bits) = family_and_bits(prefix.address());
            ranges.push_range(family, bits, class.0);
            stack.push((prefix, class));
        }
        ranges.close(&mut stack, None);
        ranges.v4_starts.shrink_to_fit();
        ranges.v4_classes.shrink_to_fit();
        ranges.v6_starts.shrink_to_fit();
        ranges.v6_classes.shrink_to_fit();
        ranges
    }

    fn lookup(&self, address: IpAddr) -> Option<BlockClass> {
        let (family, bits) = family_and_bits(address);
        let (at, classes) = match family {
            Family::V4 => {
                let bits = (bits >> 32) as u32;
                let at = self.v4_starts.partition_point(|&start| start <= bits);
                (at, &self.v4_classes)
            }
            Family::V6 => {
                let at = self.v6_starts.partition_point(|&start| start <= bits);
                (at, &self.v6_classes)
            }
        };
        let class = classes[at.checked_sub(1)?];
        (class != NO_CLASS).then_some(BlockClass(class))
    }
}

/// Ranges cannot be converted back to blocks, so this layout also keeps the sorted blocks and
/// rebuilds all ranges on a change.
fn sorted_ranges(blocks: impl Iterator<Item = Block>) -> Layout {
    let source: Vec<(u64, u8, bool, u16)> = blocks.map(pack_block).collect();
    let ranges = Ranges::build(source.iter().map(unpack_block));
    let held = std::rc::Rc::new(std::cell::RefCell::new((source, ranges)));
    let reader = held.clone();
    Layout {
        lookup: Box::new(move |address| reader.borrow().1.lookup(address)),
        apply: Box::new(move |prepared| {
            let next = {
                let held = held.borrow();
                let merged = merge_changes(held.0.iter().map(unpack_block), &prepared.changes);
                let source: Vec<_> = merged.into_iter().map(pack_block).collect();
                let ranges = Ranges::build(source.iter().map(unpack_block));
                (source, ranges)
            };
            *held.borrow_mut() = next;
        }),
    }
}

fn pack_block((prefix, class): Block) -> (u64, u8, bool, u16) {
    let (family, bits) = family_and_bits(prefix.address());
    (bits, prefix.prefix_len(), family == Family::V6, class.0)
}

fn unpack_block(&(bits, len, is_v6, class): &(u64, u8, bool, u16)) -> Block {
    let address = match is_v6 {
        false => IpAddr::V4(((bits >> 32) as u32).into()),
        true => IpAddr::V6((u128::from(bits) << 64).into()),
    };
    let prefix = Prefix::new(address, len).expect("packed from a prefix");
    (prefix, BlockClass(class))
}

fn merge_changes(blocks: impl Iterator<Item = Block>, changes: &[Change]) -> Vec<Block> {
    let mut changes = changes.iter().peekable();
    let mut out = Vec::new();
    let mut push_change = |change: &Change| {
        if let Some(class) = change.class {
            out.push((change.prefix, class));
        }
    };
    let mut rest = Vec::new();
    for (prefix, class) in blocks {
        while let Some(change) = changes.next_if(|c| c.prefix < prefix) {
            push_change(change);
        }
        match changes.next_if(|c| c.prefix == prefix) {
            Some(change) => push_change(change),
            None => push_change(&Change {
                prefix,
                class: Some(class),
            }),
        }
    }
    rest.extend(changes);
    for change in rest {
        push_change(change);
    }
    out
}

/// One hash table per prefix length and family, searched from the longest prefix to the shortest.
fn hash_per_length(blocks: impl Iterator<Item = Block>) -> Layout {
    type Tables = BTreeMap<(Family, std::cmp::Reverse<u8>), HashMap<u64, u16>>;
    let mut tables = Tables::new();
    for (prefix, class) in blocks {
        let (family, bits) = family_and_bits(prefix.address());
        let table = tables.entry((family, std::cmp::Reverse(prefix.prefix_len())));
        table.or_default().insert(bits, class.0);
    }
    let held = std::rc::Rc::new(std::cell::RefCell::new(tables));
    let reader = held.clone();
    Layout {
        lookup: Box::new(move |address| {
            let (family, bits) = family_and_bits(address);
            let tables = reader.borrow();
            let mut mine = tables.iter().filter(|((of, _), _)| *of == family);
            mine.find_map(|((_, len), table)| table.get(&mask_bits(bits, len.0)))
                .map(|&class| BlockClass(class))
        }),
        apply: Box::new(move |prepared| {
            let mut tables = held.borrow_mut();
            for change in &prepared.changes {
                let (family, bits) = family_and_bits(change.prefix.address());
                let key = (family, std::cmp::Reverse(change.prefix.prefix_len()));
                let table = tables.entry(key).or_default();
                match change.class {
                    Some(class) => table.insert(bits, class.0),
                    None => table.remove(&bits),
                };
            }
        }),
    }
}

type TreeTables = (
    IpLookupTable<std::net::Ipv4Addr, u16>,
    IpLookupTable<std::net::Ipv6Addr, u16>,
);

fn treebitmap(blocks: impl Iterator<Item = Block>) -> Layout {
    let mut tables: TreeTables = (IpLookupTable::new(), IpLookupTable::new());
    for (prefix, class) in blocks {
        change_treebitmap(&mut tables, prefix, Some(class));
    }
    let held = std::rc::Rc::new(std::cell::RefCell::new(tables));
    let reader = held.clone();
    Layout {
        lookup: Box::new(move |address| {
            let tables = reader.borrow();
            let class = match address {
                IpAddr::V4(v4) => tables.0.longest_match(v4).map(|(_, _, &class)| class),
                IpAddr::V6(v6) => tables.1.longest_match(v6).map(|(_, _, &class)| class),
            };
            class.map(BlockClass)
        }),
        apply: Box::new(move |prepared| {
            let mut tables = held.borrow_mut();
            for change in &prepared.changes {
                change_treebitmap(&mut tables, change.prefix, change.class);
            }
        }),
    }
}

fn change_treebitmap(tables: &mut TreeTables, prefix: Prefix, class: Option<BlockClass>) {
    let len = prefix.prefix_len().into();
    match (prefix.address(), class) {
        (IpAddr::V4(v4), Some(class)) => tables.0.insert(v4, len, class.0),
        (IpAddr::V4(v4), None) => tables.0.remove(v4, len),
        (IpAddr::V6(v6), Some(class)) => tables.1.insert(v6, len, class.0),
        (IpAddr::V6(v6), None) => tables.1.remove(v6, len),
    };
}

type TrieMaps = (PrefixMap<Ipv4Net, u16>, PrefixMap<Ipv6Net, u16>);

fn prefix_trie(blocks: impl Iterator<Item = Block>) -> Layout {
    let mut maps: TrieMaps = (PrefixMap::new(), PrefixMap::new());
    for (prefix, class) in blocks {
        change_trie(&mut maps, prefix, Some(class));
    }
    let held = std::rc::Rc::new(std::cell::RefCell::new(maps));
    let reader = held.clone();
    Layout {
        lookup: Box::new(move |address| {
            let maps = reader.borrow();
            let class = match address {
                IpAddr::V4(v4) => maps.0.get_lpm(&v4.into()).map(|(_, &class)| class),
                IpAddr::V6(v6) => maps.1.get_lpm(&v6.into()).map(|(_, &class)| class),
            };
            class.map(BlockClass)
        }),
        apply: Box::new(move |prepared| {
            let mut maps = held.borrow_mut();
            for change in &prepared.changes {
                change_trie(&mut maps, change.prefix, change.class);
            }
        }),
    }
}

fn change_trie(maps: &mut TrieMaps, prefix: Prefix, class: Option<BlockClass>) {
    let len = prefix.prefix_len();
    match (prefix.address(), class) {
        (IpAddr::V4(v4), Some(class)) => {
            let net = Ipv4Net::new(v4, len).expect("a prefix's length");
            maps.0.insert(net, class.0)
        }
        (IpAddr::V4(v4), None) => {
            let net = Ipv4Net::new(v4, len).expect("a prefix's length");
            maps.0.remove(&net)
        }
        (IpAddr::V6(v6), Some(class)) => {
            let net = Ipv6Net::new(v6, len).expect("a prefix's length");
            maps.1.insert(net, class.0)
        }
        (IpAddr::V6(v6), None) => {
            let net = Ipv6Net::new(v6, len).expect("a prefix's length");
            maps.1.remove(&net)
        }
    };
}
