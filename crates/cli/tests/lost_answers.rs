//! Outcomes of changes whose answers are lost: never reported as more certain than they are.

mod support;

use heatherknot_cli::exit::Exit;
use support::{
    Deployment, answer_dropping_proxy, daemon_with_layout, dropping_daemon, run_cli, stdout_json,
    unused_address,
};

const SET: [&str; 6] = [
    "set",
    "defaults/queue_len",
    "7",
    "--command-id",
    "seven",
    "--timeout",
];

fn set(seconds: &'static str) -> Vec<&'static str> {
    let mut args = SET.to_vec();
    args.push(seconds);
    args
}

/// Guards against an unknown outcome where no daemon can have received the change.
#[test]
fn a_change_that_reaches_no_daemon_is_not_accepted() {
    let output = run_cli(&[unused_address()], &set("1"));

    assert_eq!(output.exit, Exit::NotAccepted);
    assert!(output.stdout.contains("no daemon answered"));
}

/// A daemon crashes after it received the request. The change may or may not have been made, so
/// the program must report neither, and must say how to find out.
#[test]
fn a_change_whose_answer_is_lost_is_unknown() {
    let output = run_cli(&[dropping_daemon()], &set("1"));

    assert_eq!(output.exit, Exit::Unknown);
    assert!(
        output.stderr.contains("--command-id seven"),
        "{}",
        output.stderr
    );
}

/// The first daemon makes the change, but its answer is lost. The program must send the same
/// identifier to the next daemon, which finds the accepted change instead of making it again.
#[test]
fn a_change_made_by_a_daemon_whose_answer_was_lost_is_found_through_another() {
    let deployment = Deployment::default();
    let daemon = daemon_with_layout(&deployment, "lost").address;
    let output = run_cli(&[answer_dropping_proxy(daemon), daemon], &set("10"));

    let again = run_cli(&[daemon], &set("10"));

    assert_eq!(output.exit, Exit::Ok, "{output:?}");
    assert!(output.stdout.starts_with("accepted as r2\n"));
    assert!(again.stdout.starts_with("accepted as r2\n"));
    assert_eq!(deployment.changes(), 2);
}

/// The first daemon's answer is lost and the second one refuses the change. The first one may
/// still be making it, so the outcome must stay unknown.
#[test]
fn a_refusal_after_a_lost_answer_is_unknown() {
    let deployment = Deployment::default();
    let daemon = daemon_with_layout(&deployment, "refusal").address;
    let args = [
        "--json",
        "set",
        "defaults/queue_len",
        "many",
        "--timeout",
        "10",
    ];

    let output = run_cli(&[dropping_daemon(), daemon], &args);

    assert_eq!(output.exit, Exit::Unknown);
    assert_eq!(stdout_json(&output)["outcome"], "unknown");
}

/// Guards against a conflict that doesn't show which change it is with.
#[test]
fn a_conflict_shows_the_earlier_change() {
    let deployment = Deployment::default();
    let one = daemon_with_layout(&deployment, "conflict").address;
    let two = deployment.start_daemon().address;
    run_cli(&[one], &["set", "defaults/queue_len", "8"]);

    let output = run_cli(&[one], &["set", "defaults/queue_len", "7", "--base", "1"]);
    let behind = run_cli(&[two], &["get", "defaults/queue_len"]);

    assert_eq!(output.exit, Exit::NotAccepted);
    assert!(
        output
            .stdout
            .contains("r2  2026-12-02 19:02:03Z  Night shift"),
        "{}",
        output.stdout
    );
    assert!(output.stdout.contains("+ defaults/queue_len: 8"));
    assert_eq!(behind.exit, Exit::Failed);
}

/// Guards against a read that fails although a later daemon can answer it.
#[test]
fn reads_are_answered_by_the_next_daemon() {
    let deployment = Deployment::default();
    let daemon = daemon_with_layout(&deployment, "next").address;

    let output = run_cli(
        &[unused_address(), dropping_daemon(), daemon],
        &["get", "defaults"],
    );

    assert_eq!(output.exit, Exit::Ok, "{output:?}");
}
