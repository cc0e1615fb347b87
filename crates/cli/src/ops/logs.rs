//! The lines of daemons' logs, from any number of files.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Map, Value as Json};
use snafu::ResultExt;

use crate::error::{CliError, FileSnafu};

/// The text of the line at the end of a request.
pub(crate) const ENDED: &str = "request ended";
/// The text of the line of one send.
pub(crate) const SENT: &str = "request sent";
/// The text of the line of a daemon's start.
pub(crate) const STARTED: &str = "listening";
/// The text of the line that counts lines lost to the volume's bound.
const DROPPED: &str = "log lines were dropped";

/// One line of a log.
pub(crate) struct Line {
    /// The VM, by its own word, or else the file.
    pub(crate) vm: String,
    /// The run of its daemon; empty where the line doesn't name it.
    pub(crate) run: String,
    pub(crate) time: String,
    pub(crate) text: String,
    pub(crate) fields: Map<String, Json>,
}

impl Line {
    /// Gives a field that holds a number.
    pub(crate) fn number(&self, field: &str) -> u64 {
        self.fields.get(field).and_then(Json::as_u64).unwrap_or(0)
    }

    /// Gives a field that holds text.
    pub(crate) fn word(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Json::as_str).unwrap_or("")
    }

    /// Says whether a field is true.
    pub(crate) fn is(&self, field: &str) -> bool {
        self.fields.get(field).and_then(Json::as_bool) == Some(true)
    }
}

/// What was read of all files.
#[derive(Default)]
pub(crate) struct Logs {
    /// The lines in the order of their times.
    pub(crate) lines: Vec<Line>,
    /// Lines that are no JSON objects, by file.
    pub(crate) unreadable: BTreeMap<String, usize>,
    /// Lines that daemons dropped, by VM.
    pub(crate) dropped: BTreeMap<String, u64>,
    /// Files that hold lines of several VMs, some of which don't name theirs.
    pub(crate) mixed: BTreeSet<String>,
}

impl Logs {
    /// Reads logs. Their lines may have other text in front, as a collector adds it.
    ///
    /// # Errors
    ///
    /// Fails where a file can't be read.
    pub(crate) fn read(files: &[String]) -> Result<Self, CliError> {
        let mut logs = Self::default();
        for file in files {
            logs.read_one(file)?;
        }
        logs.lines.sort_by(|a, b| a.time.cmp(&b.time));
        Ok(logs)
    }

    fn read_one(&mut self, file: &str) -> Result<(), CliError> {
        let step = "read";
        let text = std::fs::read_to_string(file).context(FileSnafu { step, path: file })?;
        let mut vm = file.to_owned();
        let (mut vms, mut is_unnamed) = (BTreeSet::new(), false);
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            let json = line
                .find('{')
                .and_then(|at| serde_json::from_str::<Json>(&line[at..]).ok());
            let Some(Json::Object(object)) = json else {
                *self.unreadable.entry(file.to_owned()).or_default() += 1;
                continue;
            };
            let line = to_line(object, &mut vm, &mut is_unnamed);
            if line.text == STARTED {
                vms.insert(line.vm.clone());
            }
            if line.text == DROPPED {
                *self.dropped.entry(line.vm.clone()).or_default() += line.number("dropped");
            }
            self.lines.push(line);
        }
        if is_unnamed && vms.len() > 1 {
            self.mixed.insert(file.to_owned());
        }
        Ok(())
    }
}

/// Makes a line of what was read. One that doesn't name its VM is taken for one of `vm`, the VM
/// that the file named last.
fn to_line(mut object: Map<String, Json>, vm: &mut String, is_unnamed: &mut bool) -> Line {
    let fields = match object.remove("kv") {
        Some(Json::Object(fields)) => fields,
        _ => Map::new(),
    };
    let word = |key: &str| {
        let text = object.get(key).and_then(Json::as_str);
        text.unwrap_or("").to_owned()
    };
    let text = word("text");
    let started = fields.get("vm").and_then(Json::as_str);
    if let Some(name) = started.filter(|_| text == STARTED) {
        name.clone_into(vm);
    }
    let named = word("vm");
    *is_unnamed |= named.is_empty();
    Line {
        vm: if named.is_empty() { vm.clone() } else { named },
        run: word("run"),
        time: word("timestamp"),
        text,
        fields,
    }
}
