//! Runs one case of the second review: `review-2 CASE FOLDER`.
//!
//! The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` the case runs without its disruption. `KEEP_LOGS=1` keeps the daemons' logs in the folder.

mod cases;
mod client;
mod fleet;
mod http;
mod json;
mod record;
mod server;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

/// What a case has shown.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(&'static str),
}

/// What a case runs with.
pub struct Setting {
    pub record: Record,
    pub folder: PathBuf,
    /// Whether the disruption is on.
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let setting = Setting {
        record: Record::start(),
        folder: PathBuf::from(folder),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let verdict = cases::run(case, &setting);
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held"),
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::CouldNotRun(why) => (2, why),
    };
    setting.record.add(format!("{case}: {text}"));
    setting.record.write(&setting.folder.join("record.txt"));
    println!("{case}: {text}");
    ExitCode::from(code)
}
