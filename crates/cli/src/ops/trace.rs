//! The `trace` command: the log lines of one request across VMs. It needs no daemon.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde_json::{Value as Json, json};

use crate::error::CliError;
use crate::exit::Exit;
use crate::ops::logs::{LogLine, Logs, REQUEST_ENDED, REQUEST_SENT};
use crate::options::Opt;
use crate::parse::Invocation;
use crate::report::Report;

/// Shows the log lines of a request in order of time, and which lines may be missing.
pub fn trace(invocation: &Invocation) -> Result<Report, CliError> {
    let [id, files @ ..] = invocation.args.as_slice() else {
        return Err(CliError::usage(
            "trace needs a request's identifier and log files",
        ));
    };
    let logs = Logs::read(files)?;
    let is_of_request = |line: &&LogLine| line.fields.get("id").and_then(Json::as_str) == Some(id);
    let request_lines: Vec<&LogLine> = logs.lines.iter().filter(is_of_request).collect();
    let missing = find_missing(&logs, &request_lines);
    let exit = if request_lines.is_empty() {
        Exit::Failed
    } else {
        Exit::Ok
    };
    let around = match invocation.options.has(Opt::Around) {
        true => state_before_end(&logs, &request_lines),
        false => Vec::new(),
    };
    let text = render(id, &request_lines, &around, &missing);
    let lines: Vec<Json> = request_lines
        .iter()
        .map(|line| line_to_json(line))
        .collect();
    let around: Vec<Json> = around.iter().map(|line| line_to_json(line)).collect();
    let found = json!({ "request": id, "lines": lines, "around": around, "missing": missing });
    Ok(Report::new(exit, text, &found))
}

/// Returns reasons why lines of the request may be missing.
fn find_missing(logs: &Logs, request_lines: &[&LogLine]) -> Vec<String> {
    let mut missing = Vec::new();
    let ended = request_lines.iter().find(|line| line.text == REQUEST_ENDED);
    let sends = request_lines
        .iter()
        .filter(|line| line.text == REQUEST_SENT)
        .count() as u64;
    match ended {
        None => missing.push(
            "no line of the request's end: it succeeded and was not sampled, the daemon \
             crashed before its end, or there is no log of the VM that received it"
                .to_owned(),
        ),
        Some(line) => {
            let reported = line.fields.get("sends").and_then(Json::as_u64).unwrap_or(0);
            if reported > sends {
                missing.push(format!(
                    "{} of {reported} sends have no line",
                    reported - sends
                ));
            }
        }
    }
    let dropped = logs.dropped_lines.iter().filter(|(_, count)| **count > 0);
    missing
        .extend(dropped.map(|(vm, count)| format!("{vm} dropped {count} lines over its volume")));
    let unreadable = logs.invalid_lines.iter();
    missing.extend(unreadable.map(|(file, count)| format!("{file}: {count} lines are not JSON")));
    missing.extend(logs.ambiguous_files.iter().map(|file| {
        format!("{file}: lines of several VMs that don't name theirs; which VM a line is of can't be told")
    }));
    missing
}

/// Returns the latest line of each message and subject (upstream, domain, region, store or VM)
/// that the request's VM logged up to the request's last line. Lines of requests are left out.
fn state_before_end<'a>(logs: &'a Logs, request_lines: &[&LogLine]) -> Vec<&'a LogLine> {
    let Some(last) = request_lines.last() else {
        return Vec::new();
    };
    let vm_lines = logs
        .lines
        .iter()
        .filter(|line| line.vm == last.vm && line.run == last.run && line.time <= last.time);
    let mut latest: BTreeMap<(String, String), &LogLine> = BTreeMap::new();
    for line in vm_lines.filter(|line| !line.fields.contains_key("id")) {
        let subject_fields = ["upstream", "domain", "region", "store", "vm"];
        let subject = subject_fields
            .iter()
            .find_map(|key| line.fields.get(*key)?.as_str());
        latest.insert((line.text.clone(), subject.unwrap_or("").to_owned()), line);
    }
    let mut found: Vec<&LogLine> = latest.into_values().collect();
    found.sort_by(|a, b| a.time.cmp(&b.time));
    found
}

fn render(id: &str, request_lines: &[&LogLine], around: &[&LogLine], missing: &[String]) -> String {
    let mut text = format!("request {id}: {} lines\n", request_lines.len());
    for line in request_lines {
        push_line(&mut text, line);
    }
    if !around.is_empty() {
        text.push_str("what the VM believed before that:\n");
        around.iter().for_each(|line| push_line(&mut text, line));
    }
    for missing in missing {
        let _ = writeln!(text, "missing: {missing}");
    }
    text
}

fn push_line(text: &mut String, line: &LogLine) {
    let _ = write!(text, "{}  {}  {}", line.time, line.vm, line.text);
    for (key, value) in line
        .fields
        .iter()
        .filter(|(key, value)| *key != "id" && **value != "")
    {
        match value.as_str() {
            Some(string) => drop(write!(text, "  {key}={string}")),
            None => drop(write!(text, "  {key}={value}")),
        }
    }
    text.push('\n');
}

fn line_to_json(line: &LogLine) -> Json {
    json!({ "vm": line.vm, "run": line.run, "time": line.time, "text": line.text, "fields": line.fields })
}
