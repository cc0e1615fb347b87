//! Makes the traces of the repository: `cargo run -p heatherknot-replay --example make_traces`.
//!
//! Each trace is a story told with numbers; the same seed gives the same file.

mod enlace;
mod layout;
mod port_louis;
mod story;
mod two_years;

use std::path::PathBuf;

use heatherknot_replay::{parse, write};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let here = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let dir = std::env::args()
        .nth(1)
        .map_or(here.join("../../traces"), PathBuf::from);
    std::fs::create_dir_all(&dir)?;
    let stories = [port_louis::all(), enlace::all(), two_years::all()];
    for mut trace in stories.into_iter().flatten() {
        trace.events.sort_by_key(|event| event.at);
        let text = write::text(&trace);
        let name = format!("{}.jsonl", trace.head.name);
        parse::parse(&name, &text)?;
        std::fs::write(dir.join(&name), &text)?;
        println!(
            "{name}: {} events, {} KB",
            trace.events.len(),
            text.len() / 1000
        );
    }
    Ok(())
}
