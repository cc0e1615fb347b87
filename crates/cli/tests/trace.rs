//! Tests `trace` and `losses` on log files.

mod support;

use heatherknot_cli::exit::Exit;
use support::{run_cli, stdout_json, temp_file};

const FIRST_VM: &str = r#"
{"timestamp":"t1","kv":{"vm":"north-1"},"text":"listening"}
{"timestamp":"t2","kv":{"version":7,"revision":"12"},"text":"configuration in force"}
{"timestamp":"t5","kv":{"id":"r-1","send":1,"upstream":"i-1","result":"not-run","load":3.5},"text":"request sent"}
{"timestamp":"t6","kv":{"id":"r-1","sends":2,"outcome":"not-run","cause":"the server refused it unrun","config":7},"text":"request ended"}
{"timestamp":"t7","kv":{"version":8,"revision":"14"},"text":"configuration in force"}
"#;

const SECOND_VM: &str = r#"
 0.3 vm-2 {"timestamp":"t1","kv":{"vm":"north-2"},"text":"listening"}
half of a line
{"timestamp":"t3","kv":{"dropped":4},"text":"log lines were dropped"}
{"timestamp":"t4","kv":{"id":"r-2"},"text":"request ended"}
"#;

/// Writes a log file and returns its path.
fn log_file(name: &str, text: &str) -> String {
    let path = temp_file(name);
    std::fs::write(&path, text).expect("the directory can be written");
    path.to_str().expect("the path is text").to_owned()
}

/// Guards against lines in the order of the files, lines of other requests and silent gaps.
#[test]
fn lines_are_in_order_of_time_and_missing_ones_are_reported() {
    let (first, second) = (
        log_file("trace-first", FIRST_VM),
        log_file("trace-second", SECOND_VM),
    );
    let output = run_cli(&[], &["trace", "r-1", &second, &first]);
    assert_eq!(output.exit, Exit::Ok, "{}", output.stderr);
    let sent = output.stdout.find("request sent").expect("the send");
    let ended = output.stdout.find("request ended").expect("the end");
    assert!(sent < ended && output.stdout.contains("north-1"));
    assert!(output.stdout.contains("1 of 2 sends have no line"));
    assert!(output.stdout.contains("north-2 dropped 4 lines"));
    assert!(output.stdout.contains("1 lines are not JSON"));
    assert!(!output.stdout.contains("r-2"));
}

/// Guards against showing a state that the VM logged after the request's end.
#[test]
fn around_shows_the_last_state_logged_before_the_end() {
    let first = log_file("trace-around", FIRST_VM);
    let output = run_cli(&[], &["trace", "--json", "--around", "r-1", &first]);
    let around = stdout_json(&output)["around"].to_string();
    assert!(
        around.contains("\"version\":7") && !around.contains("\"version\":8"),
        "{around}"
    );
}

/// Guards against exit code 0 where there are no lines of the request.
#[test]
fn an_unknown_request_and_an_absent_file_are_errors() {
    let first = log_file("trace-none", FIRST_VM);
    let unknown = run_cli(&[], &["trace", "r-9", &first]);
    assert_eq!(unknown.exit, Exit::Failed);
    assert!(unknown.stdout.contains("not sampled"));
    let absent = run_cli(&[], &["trace", "r-9", "/no/such/log"]);
    assert_eq!(absent.exit, Exit::Failed);
    assert!(absent.stderr.contains("/no/such/log"));
}

const JOINED: &str = r#"
{"vm":"north-1","run":"1","timestamp":"2026-01-02 10:00:01.0","kv":{"vm":"north-1"},"text":"listening"}
{"vm":"south-1","run":"2","timestamp":"2026-01-02 10:00:01.1","kv":{"vm":"south-1"},"text":"listening"}
{"vm":"north-1","run":"1","timestamp":"2026-01-02 10:00:02.0","kv":{"id":"r-1","send":1,"took_ms":900,"expected_ms":200,"free":true},"text":"request sent"}
{"vm":"north-1","run":"1","timestamp":"2026-01-02 10:00:02.0","kv":{"id":"r-1","sends":1,"outcome":"answered","took_ms":900,"target_ms":400,"route":"maps"},"text":"request ended"}
{"vm":"south-1","run":"2","timestamp":"2026-01-02 10:00:03.0","kv":{"id":"r-2","sends":0,"outcome":"not-run","cause":"every backend server is busy for too long","took_ms":0,"target_ms":400,"route":"orders"},"text":"request ended"}
{"vm":"south-1","run":"2","timestamp":"2026-01-02 10:00:03.1","kv":{"id":"r-3","send":1,"took_ms":500,"expected_ms":450,"free":false},"text":"request sent"}
{"vm":"south-1","run":"2","timestamp":"2026-01-02 10:00:03.1","kv":{"id":"r-3","sends":1,"outcome":"answered","took_ms":500,"target_ms":400,"route":"maps"},"text":"request ended"}
{"vm":"south-1","run":"2","timestamp":"2026-01-02 10:00:03.2","kv":{"id":"r-4","sends":1,"outcome":"answered","took_ms":100,"target_ms":400,"route":"maps"},"text":"request ended"}
"#;

/// A log collector joins the logs of all VMs. Guards against attributing each line to the VM that
/// started last, which showed requests at the wrong VM.
#[test]
fn lines_of_joined_logs_are_attributed_to_their_own_vms() {
    let joined = log_file("trace-joined", JOINED);
    let output = run_cli(&[], &["trace", "r-1", &joined]);
    assert!(
        output.stdout.contains("north-1") && !output.stdout.contains("south-1"),
        "{}",
        output.stdout
    );
    assert!(!output.stdout.contains("can't be told"));
}

/// Guards against lines that are attributed to a VM without a warning that it may be the wrong one.
#[test]
fn joined_logs_without_vm_names_are_reported_as_ambiguous() {
    let text = JOINED.replace(r#""vm":"north-1","run":"1","#, "");
    let joined = log_file("trace-unnamed", &text);
    let output = run_cli(&[], &["trace", "r-1", &joined]);
    assert!(output.stdout.contains("can't be told"), "{}", output.stdout);
}

/// Guards against requests that are counted as lost although in time, or under the wrong key.
#[test]
fn losses_are_counted_by_reason_route_vm_and_second() {
    let joined = log_file("losses-joined", JOINED);
    let output = run_cli(&[], &["losses", "--json", &joined]);
    assert_eq!(output.exit, Exit::Ok, "{}", output.stderr);
    let found = stdout_json(&output);
    assert_eq!(found["lost"], 3);
    let reasons = &found["by_reason"];
    assert_eq!(
        reasons["late: its server did not keep the object, or is slow"],
        1
    );
    assert_eq!(reasons["late: it waited at a full server"], 1);
    assert_eq!(
        reasons["refused: every backend server is busy for too long"],
        1
    );
    assert_eq!(found["by_route"]["maps"], 2);
    assert_eq!(found["by_vm"]["south-1"], 2);
    assert_eq!(found["by_second"]["2026-01-02 10:00:03"], 2);
    let text = run_cli(&[], &["losses", &joined]).stdout;
    assert!(
        text.contains("3 requests were refused, failed or late"),
        "{text}"
    );
}
