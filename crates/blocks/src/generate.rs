//! Generates client blocks from a seed, distributed like real address allocations, for
//! benchmarks and tests.
//!
//! Lengths are mostly /24 to /16 for IPv4 and /48 to /32 for IPv6. Blocks lie in clusters:
//! an allocation begins at a random address, and its blocks follow each other, side by side
//! or with short gaps. Some blocks have a covering block of their own, and an allocation's
//! blocks mostly share one class.

use std::collections::BTreeMap;

use fastrand::Rng;

use crate::class::BlockClass;
use crate::diff::Change;
use crate::prefix::{Family, Net, Prefix};

/// Weights of IPv4 lengths, most specific first, in thousandths.
const V4_LENGTHS: [(u8, u32); 10] = [
    (24, 600),
    (23, 95),
    (22, 110),
    (21, 50),
    (20, 47),
    (19, 33),
    (18, 20),
    (17, 13),
    (16, 25),
    (15, 7),
];
/// Weights of IPv6 lengths, most specific first, in thousandths.
const V6_LENGTHS: [(u8, u32); 11] = [
    (48, 480),
    (47, 30),
    (46, 40),
    (45, 20),
    (44, 110),
    (42, 30),
    (40, 80),
    (36, 50),
    (33, 30),
    (32, 110),
    (29, 20),
];
/// Blocks in an allocation on average.
const CLUSTER_MEAN: f64 = 40.0;
/// Thousandths of blocks that lie right after the block before, unless the mix sets it.
const ADJACENT_PERMILLE: u32 = 600;
/// Thousandths of blocks that get a covering block one to four bits shorter.
const COVERING_PERMILLE: u32 = 60;
/// Thousandths of blocks whose class is not that of their allocation.
const OTHER_CLASS_PERMILLE: u32 = 120;

/// Parameters of the generated blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mix {
    /// IPv4 blocks.
    pub v4: usize,
    /// IPv6 blocks.
    pub v6: usize,
    /// Number of classes.
    pub classes: u16,
    /// Thousandths of blocks that lie right after the block before; the others follow after
    /// a gap of one to eleven blocks.
    pub adjacent_permille: u32,
    /// The seed; equal seeds generate equal blocks.
    pub seed: u64,
}

impl Mix {
    /// Returns the mix for `count` blocks: two thirds IPv4, one third IPv6, 400 classes.
    pub fn of(count: usize, seed: u64) -> Mix {
        let v6 = count / 3;
        let v4 = count - v6;
        Mix {
            v4,
            v6,
            classes: 400,
            adjacent_permille: ADJACENT_PERMILLE,
            seed,
        }
    }
}

/// Generates the blocks of a mix, in order of prefix.
pub fn blocks(mix: Mix) -> Vec<(Prefix, BlockClass)> {
    let mut rng = Rng::with_seed(mix.seed);
    let mut generated = family_blocks(Family::V4, mix.v4, mix, &mut rng);
    generated.extend(family_blocks(Family::V6, mix.v6, mix, &mut rng));
    generated
}

fn family_blocks(
    family: Family,
    count: usize,
    mix: Mix,
    rng: &mut Rng,
) -> Vec<(Prefix, BlockClass)> {
    let mut generated = BTreeMap::new();
    while generated.len() < count {
        let size = cluster_size(rng).min(count - generated.len());
        add_cluster(family, size, count, mix, rng, &mut generated);
    }
    let blocks = generated.into_iter();
    blocks
        .map(|(net, class)| (Prefix::from_net(family, net), class))
        .collect()
}

fn cluster_size(rng: &mut Rng) -> usize {
    (-CLUSTER_MEAN * (1.0 - rng.f64()).ln()).ceil() as usize
}

/// Adds an allocation of `size` blocks, while there are fewer than `count` in all.
fn add_cluster(
    family: Family,
    size: usize,
    count: usize,
    mix: Mix,
    rng: &mut Rng,
    generated: &mut BTreeMap<Net, BlockClass>,
) {
    let class = BlockClass(rng.u16(..mix.classes));
    let usual = pick_length(family, rng);
    let mut at = Net::covering(allocation_start(family, rng), usual);
    for _ in 0..size {
        let len = match rng.u8(..4) {
            0 => pick_length(family, rng),
            _ => usual,
        };
        let block = Net::covering(at.bits, len);
        let class = pick_class(class, mix.classes, rng);
        generated.insert(block, class);
        if generated.len() < count && rng.u32(..1000) < COVERING_PERMILLE {
            let cover = Net::covering(block.bits, len - rng.u8(1..=4));
            generated.entry(cover).or_insert(class);
        }
        if generated.len() >= count {
            return;
        }
        at = match next_block(block, mix.adjacent_permille, rng) {
            Some(next) if is_public(family, next.bits) => next,
            _ => return,
        };
    }
}

fn pick_class(usual: BlockClass, classes: u16, rng: &mut Rng) -> BlockClass {
    match rng.u32(..1000) < OTHER_CLASS_PERMILLE {
        true => BlockClass(rng.u16(..classes)),
        false => usual,
    }
}

/// Returns the block of the same length after a short gap, if there is one.
fn next_block(block: Net, adjacent_permille: u32, rng: &mut Rng) -> Option<Net> {
    let steps = match rng.u32(..1000) < adjacent_permille {
        true => 1,
        false => rng.u64(2..=12),
    };
    let shift = 64 - u32::from(block.len);
    let bits = block.bits.checked_add(steps << shift)?;
    let len = block.len;
    Some(Net { bits, len })
}

fn allocation_start(family: Family, rng: &mut Rng) -> u64 {
    match family {
        Family::V4 => rng.u64(1 << 56..224 << 56) >> 42 << 42,
        Family::V6 => (0b001 << 61 | rng.u64(..1 << 61) >> 9) >> 32 << 32,
    }
}

fn is_public(family: Family, bits: u64) -> bool {
    match family {
        Family::V4 => bits >> 56 < 224,
        Family::V6 => bits >> 61 == 0b001,
    }
}

fn pick_length(family: Family, rng: &mut Rng) -> u8 {
    let lengths: &[(u8, u32)] = match family {
        Family::V4 => &V4_LENGTHS,
        Family::V6 => &V6_LENGTHS,
    };
    let mut remaining = rng.u32(..1000);
    for &(len, weight) in lengths {
        if remaining < weight {
            return len;
        }
        remaining -= weight;
    }
    lengths[0].0
}

/// Generates `count` changes to the given blocks: about half change a class, a quarter remove a
/// block and a quarter add a block next to an existing one.
pub fn changes(blocks: &[(Prefix, BlockClass)], count: usize, seed: u64) -> Vec<Change> {
    let mut rng = Rng::with_seed(seed);
    let existing: BTreeMap<Prefix, BlockClass> = blocks.iter().copied().collect();
    let mut generated = BTreeMap::new();
    while generated.len() < count {
        let (prefix, class) = blocks[rng.usize(..blocks.len())];
        match rng.u8(..4) {
            0 => generated.insert(prefix, None),
            1 => match free_neighbour(prefix, &existing, &mut rng) {
                Some(neighbour) => generated.insert(neighbour, Some(class)),
                None => continue,
            },
            _ => generated.insert(prefix, Some(BlockClass(class.0 ^ 1))),
        };
    }
    let changes = generated.into_iter();
    changes
        .map(|(prefix, class)| Change { prefix, class })
        .collect()
}

fn free_neighbour(
    prefix: Prefix,
    existing: &BTreeMap<Prefix, BlockClass>,
    rng: &mut Rng,
) -> Option<Prefix> {
    let net = next_block(prefix.net(), ADJACENT_PERMILLE, rng)?;
    let neighbour = Prefix::from_net(prefix.family(), net);
    (!existing.contains_key(&neighbour)).then_some(neighbour)
}
