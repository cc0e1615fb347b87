//! The scripts of the review's cases, with stand-ins for the platform, upstreams and clients.

mod daemon;
mod http;
mod json;
mod record;
mod stalled;
mod store;
mod truncated;
mod unfinished;

use std::path::Path;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match args[1..] {
        ["stalled", folder] => stalled::run(Path::new(folder), has_trouble),
        ["unfinished", folder] => unfinished::run(Path::new(folder), has_trouble),
        ["truncated", folder] => truncated::run(Path::new(folder), has_trouble),
        _ => 2,
    };
    std::process::exit(code);
}
