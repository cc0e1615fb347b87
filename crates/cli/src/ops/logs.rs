//! Reads daemons' logs from any number of files.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Map, Value as Json};
use snafu::ResultExt;

use crate::error::{CliError, FileSnafu};

/// The message at the end of a request.
pub(crate) const REQUEST_ENDED: &str = "request ended";
/// The message of one send of a request to a backend server.
pub(crate) const REQUEST_SENT: &str = "request sent";
/// The message at a daemon's start.
pub(crate) const DAEMON_STARTED: &str = "listening";
/// The message that counts lines dropped because of the limit on log volume.
const LINES_DROPPED: &str = "log lines were dropped";

/// One line of a log.
pub(crate) struct LogLine {
    /// The VM that the line names, else the VM that the file named last, else the file's path.
    pub(crate) vm: String,
    /// The identifier of the daemon's run; empty if the line has none.
    pub(crate) run: String,
    pub(crate) time: String,
    pub(crate) text: String,
    pub(crate) fields: Map<String, Json>,
}

impl LogLine {
    /// Returns the number in a field, or 0.
    pub(crate) fn u64_field(&self, field: &str) -> u64 {
        self.fields.get(field).and_then(Json::as_u64).unwrap_or(0)
    }

    /// Returns the string in a field, or an empty one.
    pub(crate) fn str_field(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Json::as_str).unwrap_or("")
    }

    /// Returns whether a field is `true`.
    pub(crate) fn is_true(&self, field: &str) -> bool {
        self.fields.get(field).and_then(Json::as_bool) == Some(true)
    }
}

/// The content of all log files.
#[derive(Default)]
pub(crate) struct Logs {
    /// The lines, sorted by time.
    pub(crate) lines: Vec<LogLine>,
    /// The number of lines that are not JSON objects, by file.
    pub(crate) invalid_lines: BTreeMap<String, usize>,
    /// The number of lines that daemons dropped, by VM.
    pub(crate) dropped_lines: BTreeMap<String, u64>,
    /// Files with lines of several VMs, some of which don't name their VM.
    pub(crate) ambiguous_files: BTreeSet<String>,
}

impl Logs {
    /// Reads log files. A line may start with other text before its JSON, such as a log collector's
    /// prefix.
    ///
    /// # Errors
    ///
    /// Returns [`CliError::File`] if a file can't be read.
    pub(crate) fn read(files: &[String]) -> Result<Self, CliError> {
        let mut logs = Self::default();
        for file in files {
            logs.read_file(file)?;
        }
        logs.lines.sort_by(|a, b| a.time.cmp(&b.time));
        Ok(logs)
    }

    fn read_file(&mut self, file: &str) -> Result<(), CliError> {
        let operation = "read";
        let text = std::fs::read_to_string(file).context(FileSnafu {
            operation,
            path: file,
        })?;
        let mut vm = file.to_owned();
        let (mut vms, mut has_unnamed_lines) = (BTreeSet::new(), false);
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            let json = line
                .find('{')
                .and_then(|at| serde_json::from_str::<Json>(&line[at..]).ok());
            let Some(Json::Object(object)) = json else {
                *self.invalid_lines.entry(file.to_owned()).or_default() += 1;
                continue;
            };
            let line = parse_line(object, &mut vm, &mut has_unnamed_lines);
            if line.text == DAEMON_STARTED {
                vms.insert(line.vm.clone());
            }
            if line.text == LINES_DROPPED {
                *self.dropped_lines.entry(line.vm.clone()).or_default() +=
                    line.u64_field("dropped");
            }
            self.lines.push(line);
        }
        if has_unnamed_lines && vms.len() > 1 {
            self.ambiguous_files.insert(file.to_owned());
        }
        Ok(())
    }
}

/// Converts a JSON object to a line. A line without a VM is attributed to `vm`, the VM that the
/// file named last.
fn parse_line(
    mut object: Map<String, Json>,
    vm: &mut String,
    has_unnamed_lines: &mut bool,
) -> LogLine {
    let fields = match object.remove("kv") {
        Some(Json::Object(fields)) => fields,
        _ => Map::new(),
    };
    let string = |key: &str| {
        let text = object.get(key).and_then(Json::as_str);
        text.unwrap_or("").to_owned()
    };
    let text = string("text");
    let own_name = fields.get("vm").and_then(Json::as_str);
    if let Some(name) = own_name.filter(|_| text == DAEMON_STARTED) {
        name.clone_into(vm);
    }
    let named = string("vm");
    *has_unnamed_lines |= named.is_empty();
    LogLine {
        vm: if named.is_empty() { vm.clone() } else { named },
        run: string("run"),
        time: string("timestamp"),
        text,
        fields,
    }
}
