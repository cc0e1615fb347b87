//! Why requests were not answered in time, from the logs of VMs. It needs no daemon.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;

use serde_json::json;

use crate::error::CliError;
use crate::exit::Exit;
use crate::ops::logs::{ENDED, Line, Logs, SENT, STARTED};
use crate::parse::Invocation;
use crate::report::Report;

/// How many times the expected time an answer took of which neither the way nor the server's
/// queue was the cause: the work without a kept object takes three to four times as long.
const UNEXPECTED_TIMES: u64 = 2;
/// Characters of a time that name its second.
const SECOND: usize = 19;

/// How often something happened.
type Counts = BTreeMap<String, u64>;

/// The requests that were refused, failed or late, counted in four ways.
#[derive(Default)]
struct Losses {
    by_reason: Counts,
    by_second: Counts,
    by_route: Counts,
    by_vm: Counts,
}

/// Splits the requests that were not answered in time by reason, moment, route and VM.
pub fn losses(invocation: &Invocation) -> Result<Report, CliError> {
    let logs = Logs::read(&invocation.args)?;
    let losses = count(&logs);
    let lost: u64 = losses.by_reason.values().sum();
    let missing: u64 = logs.dropped.values().sum();
    let text = tell(&losses, lost, missing, &logs);
    let found = json!({
        "lost": lost, "by_reason": losses.by_reason, "by_second": losses.by_second,
        "by_route": losses.by_route, "by_vm": losses.by_vm, "dropped_lines": missing,
        "mixed_files": logs.mixed,
    });
    let exit = match logs
        .lines
        .iter()
        .any(|line| line.text == STARTED || line.text == ENDED)
    {
        true => Exit::Ok,
        false => Exit::Failed,
    };
    Ok(Report::new(exit, text, &found))
}

fn count(logs: &Logs) -> Losses {
    let mut sends: HashMap<(&str, &str), Vec<&Line>> = HashMap::new();
    let mut losses = Losses::default();
    for line in &logs.lines {
        let request = (line.vm.as_str(), line.word("id"));
        if line.text == SENT {
            sends.entry(request).or_default().push(line);
        }
        if line.text != ENDED {
            continue;
        }
        let sent = sends.remove(&request).unwrap_or_default();
        if let Some(reason) = reason(line, &sent) {
            add(&mut losses.by_reason, &reason);
            let second = line.time.get(..SECOND).unwrap_or(&line.time);
            add(&mut losses.by_second, second);
            add(&mut losses.by_route, line.word("route"));
            add(&mut losses.by_vm, &line.vm);
        }
    }
    losses
}

fn add(counts: &mut Counts, key: &str) {
    *counts.entry(key.to_owned()).or_default() += 1;
}

/// Says why a request was not answered in time; nothing where it was.
fn reason(ended: &Line, sends: &[&Line]) -> Option<String> {
    let cause = ended.word("cause");
    match ended.word("outcome") {
        "not-run" => Some(format!("refused: {cause}")),
        "answered" if ended.number("took_ms") <= ended.number("target_ms") => None,
        "answered" => Some(format!("late: {}", late(ended, sends))),
        _ => Some(format!("failed: {cause}")),
    }
}

fn late(ended: &Line, sends: &[&Line]) -> &'static str {
    let [only] = sends else {
        return match sends {
            [] => "no line tells of its send",
            _ => "it was sent more than once",
        };
    };
    let (took, expected) = (only.number("took_ms"), only.number("expected_ms"));
    if !only.is("free") {
        "it waited at a full server"
    } else if expected > ended.number("target_ms") {
        "no server was expected to be in time"
    } else if took >= expected * UNEXPECTED_TIMES {
        "its server did not keep the object, or is slow"
    } else {
        "it took a little longer than expected"
    }
}

fn tell(losses: &Losses, lost: u64, missing: u64, logs: &Logs) -> String {
    let mut text = format!("{lost} requests were refused, failed or late\n");
    let tables = [
        ("reason", &losses.by_reason),
        ("route", &losses.by_route),
        ("VM", &losses.by_vm),
        ("second", &losses.by_second),
    ];
    for (name, counts) in tables {
        push_table(&mut text, name, counts, lost);
    }
    if missing > 0 {
        let _ = writeln!(
            text,
            "missing: daemons dropped {missing} lines over their volume"
        );
    }
    for file in &logs.mixed {
        let _ = writeln!(
            text,
            "missing: {file}: lines of several VMs don't name theirs"
        );
    }
    text
}

/// Writes counts, the largest first; moments stay in their order.
fn push_table(text: &mut String, name: &str, counts: &Counts, lost: u64) {
    let mut rows: Vec<(&String, &u64)> = counts.iter().collect();
    if name != "second" {
        rows.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
    }
    let _ = writeln!(text, "\nby {name}:");
    for (key, count) in rows {
        let part = 100.0 * *count as f64 / lost.max(1) as f64;
        let _ = writeln!(text, "{count:>8}  {part:>5.1} %  {key}");
    }
}
