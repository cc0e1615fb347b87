//! Benchmarks lookups and a diff of 1000 blocks in each layout with criterion.
//!
//! `cargo bench --locked -p heatherknot-blocks`; `BLOCKS` sets the number of blocks, 1.5
//! million by default.

#![allow(missing_docs)]

mod layouts;

use std::hint::black_box;
use std::time::Duration;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use heatherknot_blocks::BlockTable;
use heatherknot_blocks::generate::{self, Mix};
use heatherknot_types::prelude::*;

const DEFAULT_BLOCKS: usize = 1_500_000;
const SEED: u64 = 20;
const ADDRESSES: usize = 1 << 20;
const CHANGES: usize = 1000;

fn block_count() -> usize {
    let set = std::env::var("BLOCKS").ok();
    set.map_or(DEFAULT_BLOCKS, |n| n.parse().expect("BLOCKS is a number"))
}

fn bench_lookup(cx: &mut Criterion) {
    let blocks = generate::blocks(Mix::of(block_count(), SEED));
    let addresses = layouts::addresses(&blocks, ADDRESSES, 1);
    let mut group = cx.benchmark_group("lookup");
    for name in layouts::NAMES {
        let layout = layouts::build(name, blocks.iter().copied());
        let mut next = addresses.iter().cycle();
        group.bench_function(name, |b| {
            b.iter(|| (layout.lookup)(black_box(*next.next().expect("cycle"))));
        });
    }
}

fn bench_apply(cx: &mut Criterion) {
    let blocks = generate::blocks(Mix::of(block_count(), SEED));
    let table = BlockTable::from_blocks(Revision(1), blocks.iter().copied());
    let prepared = layouts::prepare(&table, &blocks, CHANGES, 2);
    let mut group = cx.benchmark_group("apply 1000");
    group.bench_function("chunks", |b| {
        let apply = || table.apply("hk/blocks/change/2", &prepared.diff);
        b.iter_batched(|| (), |()| apply(), BatchSize::PerIteration);
    });
    for name in layouts::NAMES.into_iter().skip(1) {
        let mut layout = layouts::build(name, blocks.iter().copied());
        group.bench_function(name, |b| b.iter(|| (layout.apply)(&prepared)));
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(500))
        .measurement_time(Duration::from_secs(2));
    targets = bench_lookup, bench_apply
}
criterion_main!(benches);
