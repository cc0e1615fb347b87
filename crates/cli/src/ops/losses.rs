//! The `losses` command: why requests were not answered in time, from the logs of VMs. It needs no
//! daemon.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;

use serde_json::json;

use crate::error::CliError;
use crate::exit::Exit;
use crate::ops::logs::{DAEMON_STARTED, LogLine, Logs, REQUEST_ENDED, REQUEST_SENT};
use crate::parse::Invocation;
use crate::report::Report;

/// An answer that took this many times its expected time counts as slow at the server, not as
/// network or queueing delay: work without a cached object takes three to four times as long.
const SLOW_ANSWER_FACTOR: u64 = 2;
/// The length of a timestamp's prefix down to the second, in bytes.
const SECOND_PREFIX_LEN: usize = 19;

/// Numbers of requests by key.
type Counts = BTreeMap<String, u64>;

/// The numbers of requests that were refused, failed or late, by four keys.
#[derive(Default)]
struct Losses {
    by_reason: Counts,
    by_second: Counts,
    by_route: Counts,
    by_vm: Counts,
}

/// Counts the requests that were not answered in time by reason, second, route and VM.
pub fn losses(invocation: &Invocation) -> Result<Report, CliError> {
    let logs = Logs::read(&invocation.args)?;
    let losses = count_losses(&logs);
    let lost: u64 = losses.by_reason.values().sum();
    let dropped_lines: u64 = logs.dropped_lines.values().sum();
    let text = render(&losses, lost, dropped_lines, &logs);
    let found = json!({
        "lost": lost, "by_reason": losses.by_reason, "by_second": losses.by_second,
        "by_route": losses.by_route, "by_vm": losses.by_vm, "dropped_lines": dropped_lines,
        "mixed_files": logs.ambiguous_files,
    });
    let exit = match logs
        .lines
        .iter()
        .any(|line| line.text == DAEMON_STARTED || line.text == REQUEST_ENDED)
    {
        true => Exit::Ok,
        false => Exit::Failed,
    };
    Ok(Report::new(exit, text, &found))
}

fn count_losses(logs: &Logs) -> Losses {
    let mut sends: HashMap<(&str, &str), Vec<&LogLine>> = HashMap::new();
    let mut losses = Losses::default();
    for line in &logs.lines {
        let request = (line.vm.as_str(), line.str_field("id"));
        if line.text == REQUEST_SENT {
            sends.entry(request).or_default().push(line);
        }
        if line.text != REQUEST_ENDED {
            continue;
        }
        let sent = sends.remove(&request).unwrap_or_default();
        if let Some(reason) = loss_reason(line, &sent) {
            increment(&mut losses.by_reason, &reason);
            let second = line.time.get(..SECOND_PREFIX_LEN).unwrap_or(&line.time);
            increment(&mut losses.by_second, second);
            increment(&mut losses.by_route, line.str_field("route"));
            increment(&mut losses.by_vm, &line.vm);
        }
    }
    losses
}

fn increment(counts: &mut Counts, key: &str) {
    *counts.entry(key.to_owned()).or_default() += 1;
}

/// Returns why a request was not answered in time, or `None` if it was.
fn loss_reason(ended: &LogLine, sends: &[&LogLine]) -> Option<String> {
    let cause = ended.str_field("cause");
    match ended.str_field("outcome") {
        "not-run" => Some(format!("refused: {cause}")),
        "answered" if ended.u64_field("took_ms") <= ended.u64_field("target_ms") => None,
        "answered" => Some(format!("late: {}", late_cause(ended, sends))),
        _ => Some(format!("failed: {cause}")),
    }
}

fn late_cause(ended: &LogLine, sends: &[&LogLine]) -> &'static str {
    let [send] = sends else {
        return match sends {
            [] => "no line tells of its send",
            _ => "it was sent more than once",
        };
    };
    let (took, expected) = (send.u64_field("took_ms"), send.u64_field("expected_ms"));
    if !send.is_true("free") {
        "it waited at a full server"
    } else if expected > ended.u64_field("target_ms") {
        "no server was expected to be in time"
    } else if took >= expected * SLOW_ANSWER_FACTOR {
        "its server did not keep the object, or is slow"
    } else {
        "it took a little longer than expected"
    }
}

fn render(losses: &Losses, lost: u64, dropped_lines: u64, logs: &Logs) -> String {
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
    if dropped_lines > 0 {
        let _ = writeln!(
            text,
            "missing: daemons dropped {dropped_lines} lines over their volume"
        );
    }
    for file in &logs.ambiguous_files {
        let _ = writeln!(
            text,
            "missing: {file}: lines of several VMs don't name theirs"
        );
    }
    text
}

/// Appends a table of counts, the largest first; seconds stay in order of time.
fn push_table(text: &mut String, name: &str, counts: &Counts, lost: u64) {
    let mut rows: Vec<(&String, &u64)> = counts.iter().collect();
    if name != "second" {
        rows.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
    }
    let _ = writeln!(text, "\nby {name}:");
    for (key, count) in rows {
        let percent = 100.0 * *count as f64 / lost.max(1) as f64;
        let _ = writeln!(text, "{count:>8}  {percent:>5.1} %  {key}");
    }
}
