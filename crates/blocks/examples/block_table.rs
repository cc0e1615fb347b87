//! Prints memory, lookup and change times of the block table beside other layouts.
//!
//! `cargo run --release --locked -p heatherknot-blocks --example block_table \
//! [BLOCKS [ADJACENT_PERMILLE]]`
//!
//! Each layout is built and measured in a separate process, one after the other, so that their
//! memory figures are independent.

#[path = "../benches/layouts/mod.rs"]
mod layouts;

use std::error::Error;
use std::fs;
use std::hint::black_box;
use std::io::Read;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use heatherknot_blocks::generate::{self, Mix};
use heatherknot_blocks::{BlockClass, BlockTable, Diff, Prefix, Shard, TableLoader};
use heatherknot_types::prelude::*;
use layouts::{Block, Layout, Prepared};

const DEFAULT_BLOCKS: usize = 1_500_000;
const SEED: u64 = 20;
const ADDRESSES: usize = 1 << 20;
const CHANGES: usize = 1000;
/// Lookups per timed batch; a single one takes less time than reading the clock.
const BATCH_LOOKUPS: usize = 64;
/// Rounds of each measurement; the median is printed with the least and the greatest.
const ROUNDS: usize = 7;
const RECORD_BYTES: usize = 12;
/// Written to `/proc/self/clear_refs`, resets the peak of resident memory (`VmHWM`).
const RESET_PEAK: &str = "5";

type Result<T> = std::result::Result<T, Box<dyn Error>>;

fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["--measure", layout, dir] => measure(layout, Path::new(dir)),
        [] => compare(Mix::of(DEFAULT_BLOCKS, SEED)),
        [count] => compare(Mix::of(count.parse()?, SEED)),
        [count, adjacent] => compare(Mix {
            adjacent_permille: adjacent.parse()?,
            ..Mix::of(count.parse()?, SEED)
        }),
        _ => Err("usage: block_table [BLOCKS [ADJACENT_PERMILLE]]".into()),
    }
}

/// Writes the input to a temporary directory, measures every layout and removes the directory.
fn compare(mix: Mix) -> Result<()> {
    let dir = std::env::temp_dir().join(format!("heatherknot-blocks-{}", std::process::id()));
    fs::create_dir(&dir)?;
    let done = write_input(mix, &dir).and_then(|()| print_table(&dir));
    fs::remove_dir_all(&dir)?;
    done
}

fn print_table(dir: &Path) -> Result<()> {
    println!(
        "{:<16} {:>9} {:>7} {:>9} {:>20} {:>9} {:>24} {:>10}",
        "layout",
        "resident",
        "bytes",
        "peak with",
        "lookup ns median",
        "p99 of",
        "1000 changes ms median",
        "load ms"
    );
    println!(
        "{:<16} {:>9} {:>7} {:>9} {:>20} {:>9} {:>24} {:>10}",
        "", "MB", "a block", "swap MB", "(least..greatest)", "64s ns", "(least..greatest)", ""
    );
    for name in layouts::NAMES {
        let this = std::env::current_exe()?;
        let mut child = Command::new(this);
        child.args(["--measure", name]).arg(dir);
        let status = child.stdout(Stdio::inherit()).status()?;
        if !status.success() {
            return Err(format!("measuring `{name}` ended with {status}").into());
        }
    }
    Ok(())
}

fn write_input(mix: Mix, dir: &Path) -> Result<()> {
    let blocks = generate::blocks(mix);
    let table = BlockTable::from_blocks(Revision(1), blocks.iter().copied());
    let prepared = layouts::prepare(&table, &blocks, CHANGES, 2);
    let records: Vec<u8> = blocks.iter().flat_map(|&block| record(block)).collect();
    let mut total = 0;
    for shard in table.shards() {
        let value = shard.encode();
        total += value.len();
        fs::write(shard_path(dir, shard.number), value)?;
    }
    let diff = prepared.diff.encode();
    println!(
        "{} blocks; {} shards of {total} bytes in all; a diff of {CHANGES} blocks has {} bytes",
        blocks.len(),
        table.shards().len(),
        diff.len()
    );
    let addresses = layouts::addresses(&blocks, ADDRESSES, 1);
    fs::write(dir.join("blocks"), records)?;
    fs::write(dir.join("diff"), diff)?;
    fs::write(dir.join("addresses"), pack_addresses(&addresses))?;
    Ok(())
}

fn shard_path(dir: &Path, number: u16) -> PathBuf {
    dir.join(format!("shard-{number}"))
}

fn record((prefix, class): Block) -> [u8; RECORD_BYTES] {
    let mut out = [0; RECORD_BYTES];
    out[..8].copy_from_slice(&pack_address(prefix.address())[1..9]);
    out[8] = u8::from(prefix.address().is_ipv6());
    out[9] = prefix.prefix_len();
    out[10..].copy_from_slice(&class.0.to_le_bytes());
    out
}

fn read_record(record: &[u8]) -> Block {
    let (address, tail) = record.split_at(8);
    let word = u64::from_be_bytes(address.try_into().expect("8 bytes"));
    let address = match tail[0] {
        0 => IpAddr::V4(Ipv4Addr::from((word >> 32) as u32)),
        _ => IpAddr::V6(Ipv6Addr::from(u128::from(word) << 64)),
    };
    let class = BlockClass(u16::from_le_bytes([tail[2], tail[3]]));
    let prefix = Prefix::new(address, tail[1]).expect("written from a prefix");
    (prefix, class)
}

fn pack_address(address: IpAddr) -> [u8; 17] {
    let mut out = [0; 17];
    match address {
        IpAddr::V4(v4) => out[1..5].copy_from_slice(&v4.octets()),
        IpAddr::V6(v6) => {
            out[0] = 1;
            out[1..].copy_from_slice(&v6.octets());
        }
    }
    out
}

fn pack_addresses(addresses: &[IpAddr]) -> Vec<u8> {
    addresses.iter().flat_map(|&a| pack_address(a)).collect()
}

fn read_addresses(path: &Path) -> Result<Vec<IpAddr>> {
    let bytes = fs::read(path)?;
    let read = |packed: &[u8]| match packed[0] {
        0 => IpAddr::from([packed[1], packed[2], packed[3], packed[4]]),
        _ => IpAddr::from(<[u8; 16]>::try_from(&packed[1..]).expect("16 bytes")),
    };
    Ok(bytes.chunks_exact(17).map(read).collect())
}

/// Fills one layout from the input, and prints its line.
fn measure(name: &str, dir: &Path) -> Result<()> {
    let addresses = read_addresses(&dir.join("addresses"))?;
    let diff = Diff::decode("diff", &fs::read(dir.join("diff"))?)?;
    let changes = diff.changes().to_vec();
    let prepared = Prepared { diff, changes };
    fs::write("/proc/self/clear_refs", RESET_PEAK)?;
    let before = status_kb("VmRSS")?;
    let start = Instant::now();
    let mut layout = fill(name, dir)?;
    let load = start.elapsed();
    let resident = status_kb("VmRSS")? - before;
    let lookups = time_lookups(&layout, &addresses);
    let applies = time_apply(name, dir, &mut layout, &prepared)?;
    let peak = status_kb("VmHWM")? - before;
    let count = fs::metadata(dir.join("blocks"))?.len() / RECORD_BYTES as u64;
    println!(
        "{:<16} {:>9.1} {:>7.2} {:>9.1} {:>20} {:>9.0} {:>24} {:>10.0}",
        name,
        resident as f64 / 1024.0,
        resident as f64 * 1024.0 / count as f64,
        peak as f64 / 1024.0,
        format_median_and_range(&lookups.rounds, 0),
        lookups.p99,
        format_median_and_range(&applies, 2),
        load.as_secs_f64() * 1000.0,
    );
    Ok(())
}

/// Reads the input as a stream, so that the resident memory is the layout's alone.
fn fill(name: &str, dir: &Path) -> Result<Layout> {
    if name == "chunks" {
        return Ok(layouts::chunks(load_shards(dir)?));
    }
    let mut input = std::io::BufReader::new(fs::File::open(dir.join("blocks"))?);
    let records = std::iter::from_fn(move || {
        let mut record = [0; RECORD_BYTES];
        input.read_exact(&mut record).ok()?;
        Some(read_record(&record))
    });
    Ok(layouts::build(name, records))
}

fn load_shards(dir: &Path) -> Result<BlockTable> {
    let mut loader = TableLoader::default();
    let mut number = 0;
    loop {
        let path = shard_path(dir, number);
        let key = path.display().to_string();
        let shard = Shard::decode(&key, fs::read(&path)?.into())?;
        loader.add(&key, &shard)?;
        number += 1;
        if number == shard.shard_count {
            return Ok(loader.finish(&key)?);
        }
    }
}

struct Lookups {
    /// Mean time of a lookup in each round, in nanoseconds.
    rounds: Vec<f64>,
    /// The 99th percentile over batches of the mean time in a batch, in nanoseconds.
    p99: f64,
}

fn time_lookups(layout: &Layout, addresses: &[IpAddr]) -> Lookups {
    let mut rounds = Vec::new();
    let mut batches = Vec::new();
    for _ in 0..ROUNDS {
        let mut total = Duration::ZERO;
        for batch in addresses.chunks_exact(BATCH_LOOKUPS) {
            let start = Instant::now();
            for &address in batch {
                black_box((layout.lookup)(black_box(address)));
            }
            let took = start.elapsed();
            total += took;
            batches.push(took.as_nanos() as f64 / BATCH_LOOKUPS as f64);
        }
        rounds.push(total.as_nanos() as f64 / addresses.len() as f64);
    }
    batches.sort_by(f64::total_cmp);
    let p99 = batches[batches.len() * 99 / 100];
    Lookups { rounds, p99 }
}

/// Times several applications of the diff. The chunks layout starts from the first revision
/// each time and keeps that table alive meanwhile.
fn time_apply(
    name: &str,
    dir: &Path,
    layout: &mut Layout,
    prepared: &Prepared,
) -> Result<Vec<f64>> {
    if name != "chunks" {
        let mut time = || {
            let start = Instant::now();
            (layout.apply)(prepared);
            start.elapsed().as_secs_f64() * 1000.0
        };
        return Ok((0..ROUNDS).map(|_| time()).collect());
    }
    let table = load_shards(dir)?;
    let mut times = Vec::new();
    for _ in 0..ROUNDS {
        let start = Instant::now();
        let next = table.apply("diff", &prepared.diff)?;
        times.push(start.elapsed().as_secs_f64() * 1000.0);
        black_box(next.len());
    }
    Ok(times)
}

fn format_median_and_range(rounds: &[f64], digits: usize) -> String {
    let mut sorted = rounds.to_vec();
    sorted.sort_by(f64::total_cmp);
    let (least, median) = (sorted[0], sorted[sorted.len() / 2]);
    let greatest = sorted[sorted.len() - 1];
    format!("{median:.digits$} ({least:.digits$}..{greatest:.digits$})")
}

/// Returns a field of `/proc/self/status` in kilobytes.
fn status_kb(name: &str) -> Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(value.ok_or("no such line in /proc/self/status")?.parse()?)
}
