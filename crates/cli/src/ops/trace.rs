//! The story of one request, from the logs of several VMs. It needs no daemon.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde_json::{Value as Json, json};

use crate::error::CliError;
use crate::exit::Exit;
use crate::ops::logs::{ENDED, Line, Logs, SENT};
use crate::options::Opt;
use crate::parse::Invocation;
use crate::report::Report;

/// Tells the story of the request that the command line names.
pub fn trace(invocation: &Invocation) -> Result<Report, CliError> {
    let [id, files @ ..] = invocation.args.as_slice() else {
        return Err(CliError::usage(
            "trace needs a request's identifier and log files",
        ));
    };
    let logs = Logs::read(files)?;
    let of_request = |line: &&Line| line.fields.get("id").and_then(Json::as_str) == Some(id);
    let story: Vec<&Line> = logs.lines.iter().filter(of_request).collect();
    let missing = missing(&logs, &story);
    let exit = if story.is_empty() {
        Exit::Failed
    } else {
        Exit::Ok
    };
    let around = match invocation.options.has(Opt::Around) {
        true => beliefs_before(&logs, &story),
        false => Vec::new(),
    };
    let text = tell(id, &story, &around, &missing);
    let lines: Vec<Json> = story.iter().map(|line| for_programs(line)).collect();
    let around: Vec<Json> = around.iter().map(|line| for_programs(line)).collect();
    let found = json!({ "request": id, "lines": lines, "around": around, "missing": missing });
    Ok(Report::new(exit, text, &found))
}

/// Says which lines of the story can't be there.
fn missing(logs: &Logs, story: &[&Line]) -> Vec<String> {
    let mut missing = Vec::new();
    let ended = story.iter().find(|line| line.text == ENDED);
    let sends = story.iter().filter(|line| line.text == SENT).count() as u64;
    match ended {
        None => missing.push(
            "no line of the request's end: it went well and was not sampled, the daemon \
             crashed before its end, or no file is of the VM that took it"
                .to_owned(),
        ),
        Some(line) => {
            let told = line.fields.get("sends").and_then(Json::as_u64).unwrap_or(0);
            if told > sends {
                missing.push(format!("{} of {told} sends have no line", told - sends));
            }
        }
    }
    let dropped = logs.dropped.iter().filter(|(_, count)| **count > 0);
    missing
        .extend(dropped.map(|(vm, count)| format!("{vm} dropped {count} lines over its volume")));
    let unreadable = logs.unreadable.iter();
    missing.extend(unreadable.map(|(file, count)| format!("{file}: {count} lines are not JSON")));
    missing.extend(logs.mixed.iter().map(|file| {
        format!("{file}: lines of several VMs that don't name theirs; which VM a line is of can't be told")
    }));
    missing
}

/// Gives the last word before the request's end of each thing that its VM believed.
fn beliefs_before<'a>(logs: &'a Logs, story: &[&Line]) -> Vec<&'a Line> {
    let Some(last) = story.last() else {
        return Vec::new();
    };
    let of_vm = logs
        .lines
        .iter()
        .filter(|line| line.vm == last.vm && line.run == last.run && line.time <= last.time);
    let mut latest: BTreeMap<(String, String), &Line> = BTreeMap::new();
    for line in of_vm.filter(|line| !line.fields.contains_key("id")) {
        let about = ["upstream", "domain", "region", "store", "vm"];
        let thing = about.iter().find_map(|key| line.fields.get(*key)?.as_str());
        latest.insert((line.text.clone(), thing.unwrap_or("").to_owned()), line);
    }
    let mut found: Vec<&Line> = latest.into_values().collect();
    found.sort_by(|a, b| a.time.cmp(&b.time));
    found
}

fn tell(id: &str, story: &[&Line], around: &[&Line], missing: &[String]) -> String {
    let mut text = format!("request {id}: {} lines\n", story.len());
    for line in story {
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

fn push_line(text: &mut String, line: &Line) {
    let _ = write!(text, "{}  {}  {}", line.time, line.vm, line.text);
    for (key, value) in line
        .fields
        .iter()
        .filter(|(key, value)| *key != "id" && **value != "")
    {
        match value.as_str() {
            Some(word) => drop(write!(text, "  {key}={word}")),
            None => drop(write!(text, "  {key}={value}")),
        }
    }
    text.push('\n');
}

fn for_programs(line: &Line) -> Json {
    json!({ "vm": line.vm, "run": line.run, "time": line.time, "text": line.text, "fields": line.fields })
}
