//! Makes the table of docs/results.md: every trace under every policy, side by side.
//!
//! `cargo run --release -p heatherknot-replay --example compare` prints it to standard output.
//! Names of traces after the command restrict it to those.

use std::path::PathBuf;

use heatherknot_replay::{Options, Result, compare, run};

fn main() -> Result<()> {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    let entries = std::fs::read_dir(&dir).expect("the repository has traces");
    let mut files: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    files.retain(|file| {
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        wanted.is_empty() || wanted.iter().any(|w| name.contains(w.as_str()))
    });
    files.sort();
    let options = Options {
        files,
        compare: true,
        ..Options::default()
    };
    let report = run(&options)?;
    println!("{}", compare::table(&report.reports));
    println!("## Outcomes that don't hold\n");
    print!("{}", compare::failures(&report.reports));
    Ok(())
}
