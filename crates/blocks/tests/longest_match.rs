//! Compares the table with a naive longest-prefix match under random blocks, changes and addresses.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use bolero::TypeGenerator;
use heatherknot_blocks::{
    BlockClass, BlockTable, Change, Diff, Family, Prefix, Shard, TableLoader,
};
use heatherknot_types::prelude::*;

type Blocks = BTreeMap<Prefix, BlockClass>;

/// A random prefix; dense addresses come from a small range, so that blocks collide and nest.
#[derive(Clone, Copy, Debug, TypeGenerator)]
struct RawPrefix {
    is_v6: bool,
    address: u64,
    is_dense: bool,
    len: u8,
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
struct RawChange {
    prefix: RawPrefix,
    class: Option<u8>,
}

#[derive(Clone, Debug, TypeGenerator)]
struct Case {
    /// Number of dense initial blocks; many fill several chunks.
    dense: u16,
    start: Vec<(RawPrefix, u8)>,
    steps: Vec<Vec<RawChange>>,
    probes: Vec<RawPrefix>,
}

fn address(raw: RawPrefix) -> IpAddr {
    let bits = match raw.is_dense {
        true => 0x0a00_0000_0000_0000 | (raw.address & 0x0000_0fff_0000_0000),
        false => raw.address,
    };
    match raw.is_v6 {
        true => IpAddr::V6(Ipv6Addr::from(u128::from(bits) << 64)),
        false => IpAddr::V4(Ipv4Addr::from((bits >> 32) as u32)),
    }
}

fn prefix(raw: RawPrefix) -> Prefix {
    let address = address(raw);
    let (family, word) = match address {
        IpAddr::V4(v4) => (Family::V4, u128::from(u32::from(v4)) << 96),
        IpAddr::V6(v6) => (Family::V6, u128::from(v6)),
    };
    let len = raw.len % family.max_len() + 1;
    let bits = word >> (128 - u32::from(len)) << (128 - u32::from(len));
    let address = match family {
        Family::V4 => IpAddr::V4(Ipv4Addr::from((bits >> 96) as u32)),
        Family::V6 => IpAddr::V6(Ipv6Addr::from(bits)),
    };
    Prefix::new(address, len).expect("prefix of the family's length")
}

fn naive_longest_match(blocks: &Blocks, address: IpAddr) -> Option<BlockClass> {
    let matching = blocks.iter().filter(|(prefix, _)| prefix.contains(address));
    matching
        .max_by_key(|(prefix, _)| prefix.prefix_len())
        .map(|(_, &class)| class)
}

/// Returns neighbouring /28 blocks inside the range of the dense addresses, some of them nested.
fn dense_blocks(count: u16) -> impl Iterator<Item = (Prefix, BlockClass)> {
    (0..count).map(|at| {
        let address = Ipv4Addr::from(0x0a00_0000 | u32::from(at) << 3 & !0xf);
        let len = if at % 2 == 0 { 28 } else { 32 };
        let prefix = Prefix::new(address.into(), len).expect("prefix");
        (prefix, BlockClass(at % 7))
    })
}

fn step_changes(blocks: &Blocks, step: &[RawChange]) -> Vec<Change> {
    let mut changes = BTreeMap::new();
    for raw in step {
        let prefix = prefix(raw.prefix);
        let class = raw.class.map(|class| BlockClass(class.into()));
        if class.is_some() || blocks.contains_key(&prefix) {
            changes.insert(prefix, class);
        }
    }
    let changes = changes.into_iter();
    changes
        .map(|(prefix, class)| Change { prefix, class })
        .collect()
}

fn apply_changes(blocks: &mut Blocks, changes: &[Change]) {
    for change in changes {
        match change.class {
            Some(class) => blocks.insert(change.prefix, class),
            None => blocks.remove(&change.prefix),
        };
    }
}

fn assert_same(table: &BlockTable, blocks: &Blocks, probes: &[RawPrefix]) {
    let expected: Vec<_> = blocks
        .iter()
        .map(|(&prefix, &class)| (prefix, class))
        .collect();
    assert_eq!(table.blocks().collect::<Vec<_>>(), expected);
    assert_eq!(table.len(), expected.len());
    let starts = expected.iter().map(|(prefix, _)| prefix.address());
    for address in probes.iter().map(|&raw| address(raw)).chain(starts) {
        assert_eq!(
            table.lookup(address),
            naive_longest_match(blocks, address),
            "{address}"
        );
    }
}

fn reload(table: &BlockTable) -> BlockTable {
    let mut loader = TableLoader::default();
    for shard in table.shards() {
        let shard = Shard::decode("hk/blocks/test", shard.encode().into()).expect("valid shard");
        loader.add("hk/blocks/test", &shard).expect("next shard");
    }
    loader.finish("hk/blocks/test").expect("all shards")
}

/// Guards against lookups that differ from a linear search after diffs or a reload from shards.
#[test]
fn matches_naive_longest_match_after_diffs_and_reloads() {
    heatherknot_test_support::property::check()
        .with_type::<Case>()
        .for_each(|case| {
            let start = case.start.iter();
            let mut blocks: Blocks = start
                .map(|&(raw, class)| (prefix(raw), BlockClass(class.into())))
                .collect();
            blocks.extend(dense_blocks(case.dense % 500));
            let mut table = BlockTable::from_blocks(Revision(1), blocks.clone());

            for (at, step) in case.steps.iter().enumerate() {
                let changes = step_changes(&blocks, step);
                apply_changes(&mut blocks, &changes);
                let diff =
                    Diff::new(&table, Revision(at as u64 + 2), changes).expect("valid changes");
                let diff = Diff::decode("hk/blocks/test", &diff.encode()).expect("valid diff");
                table = table.apply("hk/blocks/test", &diff).expect("next diff");
            }

            assert_same(&table, &blocks, &case.probes);
            assert_same(&reload(&table), &blocks, &case.probes);
        });
}

/// Returns 2000 blocks inside one wide block, so that many chunks have a cover.
fn nested_blocks() -> Blocks {
    let mut blocks = Blocks::new();
    blocks.insert("10.0.0.0/8".parse().expect("prefix"), BlockClass(1));
    for at in 0..2000_u32 {
        let address = Ipv4Addr::from(0x0a00_0000 | at << 9);
        let prefix = Prefix::new(address.into(), 24).expect("prefix");
        blocks.insert(prefix, BlockClass(2));
    }
    blocks
}

/// Guards against chunks that keep an outdated cover after a block of an earlier chunk changes.
#[test]
fn changing_a_wide_block_updates_the_covers_of_every_chunk() {
    let mut blocks = nested_blocks();
    let table = BlockTable::from_blocks(Revision(1), blocks.clone());
    let wide = "10.0.0.0/8".parse().expect("prefix");
    let middle = "10.0.0.0/12".parse().expect("prefix");
    let steps = [
        vec![Change {
            prefix: wide,
            class: Some(BlockClass(7)),
        }],
        vec![Change {
            prefix: middle,
            class: Some(BlockClass(8)),
        }],
        vec![Change {
            prefix: wide,
            class: None,
        }],
        vec![Change {
            prefix: middle,
            class: None,
        }],
    ];
    let probes: Vec<RawPrefix> = (0..4096_u64)
        .map(|at| RawPrefix {
            is_v6: false,
            address: 0x0a00_0100_0000_0000 + (at << 40),
            is_dense: false,
            len: 0,
        })
        .collect();

    let mut tables = vec![table];
    for step in &steps {
        let last = tables.last().expect("a table");
        let diff = Diff::new(last, last.revision().next(), step.clone()).expect("valid changes");
        tables.push(last.apply("hk/blocks/test", &diff).expect("next diff"));
    }

    for (at, table) in tables.iter().enumerate() {
        assert_same(table, &blocks, &probes);
        apply_changes(&mut blocks, steps.get(at).map_or(&[], Vec::as_slice));
    }
}

/// Guards against memory growth from chunks and groups that shrink with each diff.
#[test]
fn many_small_diffs_do_not_fragment_the_chunks() {
    let mix = heatherknot_blocks::generate::Mix::of(20_000, 5);
    let blocks = heatherknot_blocks::generate::blocks(mix);
    let mut table = BlockTable::from_blocks(Revision(1), blocks.clone());

    for seed in 0..200 {
        let current: Vec<_> = table.blocks().collect();
        let changes = heatherknot_blocks::generate::changes(&current, 200, seed);
        let diff = Diff::new(&table, table.revision().next(), changes).expect("valid changes");
        table = table.apply("hk/blocks/test", &diff).expect("next diff");
    }

    let fresh = BlockTable::from_blocks(Revision(1), table.blocks());
    assert!(table.blocks().eq(fresh.blocks()));
    let (used, best) = (table.resident_bytes(), fresh.resident_bytes());
    assert!(
        used < best * 5 / 4,
        "{used} bytes after the diffs, {best} rebuilt"
    );
}

/// Guards against a diff copying groups that it does not change.
#[test]
fn diff_shares_unchanged_groups() {
    let blocks =
        heatherknot_blocks::generate::blocks(heatherknot_blocks::generate::Mix::of(100_000, 9));
    let table = BlockTable::from_blocks(Revision(1), blocks.clone());
    let changes = heatherknot_blocks::generate::changes(&blocks, 10, 1);
    let diff = Diff::new(&table, Revision(2), changes).expect("valid changes");

    let next = table.apply("hk/blocks/test", &diff).expect("next diff");

    let (count, shared) = next.shared_groups(&table);
    assert!(
        count - shared <= 20,
        "{} of {count} groups copied",
        count - shared
    );
}

/// Guards against missing or superfluous changes in a diff of two tables.
#[test]
fn between_returns_the_diff_of_two_tables() {
    let blocks =
        heatherknot_blocks::generate::blocks(heatherknot_blocks::generate::Mix::of(5_000, 3));
    let old = BlockTable::from_blocks(Revision(1), blocks.clone());
    let changes = heatherknot_blocks::generate::changes(&blocks, 100, 4);
    let mut expected_blocks: Blocks = blocks.into_iter().collect();
    apply_changes(&mut expected_blocks, &changes);
    let new = BlockTable::from_blocks(Revision(2), expected_blocks.clone());

    let diff = Diff::between(&old, &new).expect("a later revision");

    assert_eq!(diff.changes().len(), 100);
    let applied = old.apply("hk/blocks/test", &diff).expect("next diff");
    assert!(applied.blocks().eq(expected_blocks));
}

/// Guards against missing IPv4 callers that a dual-stack socket reports as IPv4-mapped addresses.
#[test]
fn ipv4_mapped_address_matches_an_ipv4_block() {
    let prefix = "192.0.2.0/24".parse().expect("prefix");
    let table = BlockTable::from_blocks(Revision(1), [(prefix, BlockClass(4))]);

    let found = table.lookup("::ffff:192.0.2.9".parse().expect("address"));

    assert_eq!(found, Some(BlockClass(4)));
}
