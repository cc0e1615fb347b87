//! Tests the exit codes and output of `replay`, not the decisions that are replayed.

mod support;

use heatherknot_cli::exit::Exit;
use support::{run_cli, stdout_json, temp_file};

/// More requests than any trace has, so that changed decisions do not change these outcomes.
const MANY: u64 = 1_000_000_000;

/// Writes a recorded trace with one stated outcome, on the number of refused requests.
fn trace(name: &str, is: &str) -> String {
    let recorded = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../traces/port-louis-flapping-health.jsonl"
    );
    let text = std::fs::read_to_string(recorded).unwrap();
    let lines = text
        .lines()
        .filter(|line| !line.contains(r#""kind":"outcome""#));
    let mut lines: Vec<String> = lines.map(str::to_string).collect();
    lines.push(format!(
        r#"{{"kind":"outcome","name":"few refused","metric":"refused","is":"{is}","value":{MANY},"from_ms":0}}"#
    ));
    let path = temp_file(name);
    std::fs::write(&path, lines.join("\n")).unwrap();
    path.to_str().unwrap().to_string()
}

/// Guards against a replay that fails although the stated outcome holds.
#[test]
fn a_trace_whose_outcomes_hold_exits_with_0() {
    let path = trace("holds.jsonl", "at-most");

    let output = run_cli(&[], &["replay", &path]);

    assert_eq!(output.exit, Exit::Ok, "{output:?}");
    assert!(
        output.stdout.contains("ok   few refused"),
        "{}",
        output.stdout
    );
}

/// Guards against a failed outcome that goes unnoticed by programs.
#[test]
fn a_trace_whose_outcome_fails_exits_with_1_and_reports_it_as_json() {
    let path = trace("fails.jsonl", "at-least");

    let output = run_cli(&[], &["--json", "replay", &path]);

    let json = stdout_json(&output);
    assert_eq!(output.exit, Exit::Failed);
    assert_eq!(json["holds"], false);
    assert_eq!(
        json["reports"][0]["outcomes"][0]["stated"]["name"],
        "few refused"
    );
}

/// Guards against an error that doesn't name the invalid trace.
#[test]
fn an_invalid_trace_is_reported_with_its_file() {
    let path = temp_file("no-trace.jsonl");
    std::fs::write(&path, "{}\n").unwrap();

    let output = run_cli(&[], &["replay", path.to_str().unwrap()]);

    assert_eq!(output.exit, Exit::Failed);
    assert!(
        output.stderr.contains("no-trace.jsonl"),
        "{}",
        output.stderr
    );
}
