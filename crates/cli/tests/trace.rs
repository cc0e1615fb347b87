//! The story of a request from logs.

mod support;

use heatherknot_cli::exit::Exit;
use support::{cli, file, json_of};

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

/// Writes a log and gives its path.
fn log_file(name: &str, text: &str) -> String {
    let path = file(name);
    std::fs::write(&path, text).expect("the directory can be written");
    path.to_str().expect("the path is text").to_owned()
}

#[test]
fn a_story_is_told_in_order_with_what_is_missing() {
    let (first, second) = (
        log_file("trace-first", FIRST_VM),
        log_file("trace-second", SECOND_VM),
    );
    let told = cli(&[], &["trace", "r-1", &second, &first]);
    assert_eq!(told.exit, Exit::Ok, "{}", told.err);
    let sent = told.out.find("request sent").expect("the send");
    let ended = told.out.find("request ended").expect("the end");
    assert!(sent < ended && told.out.contains("north-1"));
    assert!(told.out.contains("1 of 2 sends have no line"));
    assert!(told.out.contains("north-2 dropped 4 lines"));
    assert!(told.out.contains("1 lines are not JSON"));
    assert!(!told.out.contains("r-2"));
}

#[test]
fn what_the_vm_believed_is_what_it_said_before_the_end() {
    let first = log_file("trace-around", FIRST_VM);
    let told = cli(&[], &["trace", "--json", "--around", "r-1", &first]);
    let around = json_of(&told)["around"].to_string();
    assert!(
        around.contains("\"version\":7") && !around.contains("\"version\":8"),
        "{around}"
    );
}

#[test]
fn a_request_that_no_log_knows_and_a_file_that_is_not_there_are_told() {
    let first = log_file("trace-none", FIRST_VM);
    let unknown = cli(&[], &["trace", "r-9", &first]);
    assert_eq!(unknown.exit, Exit::Failed);
    assert!(unknown.out.contains("not sampled"));
    let absent = cli(&[], &["trace", "r-9", "/no/such/log"]);
    assert_eq!(absent.exit, Exit::Failed);
    assert!(absent.err.contains("/no/such/log"));
}
