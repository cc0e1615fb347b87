//! What the program says when answers are lost: never more than it knows.

mod support;

use heatherknot_cli::exit::Exit;
use support::{Deployment, answer_loser, cli, daemon_with_layout, json_of, nobody, taker};

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

#[test]
fn with_no_daemon_reached_a_change_is_not_accepted() {
    let finished = cli(&[nobody()], &set("1"));

    assert_eq!(finished.exit, Exit::NotAccepted);
    assert!(finished.stdout.contains("no daemon answered"));
}

// An operator's daemon dies after it got the request. Nobody can say whether the change was
// made, so the program must neither say that it was nor that it wasn't, and must name the way
// to find out.
#[test]
fn with_its_answer_lost_a_change_is_unknown() {
    let finished = cli(&[taker()], &set("1"));

    assert_eq!(finished.exit, Exit::Unknown);
    assert!(
        finished.stderr.contains("--command-id seven"),
        "{}",
        finished.stderr
    );
}

// The first daemon makes the change, but its answer never arrives. The program asks the next
// daemon with the same identifier, which finds the change made and says so.
#[test]
fn a_change_made_by_a_daemon_whose_answer_was_lost_is_found_through_another() {
    let deployment = Deployment::default();
    let daemon = daemon_with_layout(&deployment, "lost").address;
    let finished = cli(&[answer_loser(daemon), daemon], &set("10"));

    let again = cli(&[daemon], &set("10"));

    assert_eq!(finished.exit, Exit::Ok, "{finished:?}");
    assert!(finished.stdout.starts_with("accepted as r2\n"));
    assert!(again.stdout.starts_with("accepted as r2\n"));
    assert_eq!(deployment.changes(), 2);
}

// The first daemon's answer is lost and the second one refuses the change. The first one may
// still be making it, so the refusal settles nothing.
#[test]
fn a_refusal_after_a_lost_answer_settles_nothing() {
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

    let finished = cli(&[taker(), daemon], &args);

    assert_eq!(finished.exit, Exit::Unknown);
    assert_eq!(json_of(&finished)["outcome"], "unknown");
}

#[test]
fn a_conflict_shows_the_change_that_came_first() {
    let deployment = Deployment::default();
    let one = daemon_with_layout(&deployment, "conflict").address;
    let two = deployment.daemon().address;
    cli(&[one], &["set", "defaults/queue_len", "8"]);

    let finished = cli(&[one], &["set", "defaults/queue_len", "7", "--base", "1"]);
    let behind = cli(&[two], &["get", "defaults/queue_len"]);

    assert_eq!(finished.exit, Exit::NotAccepted);
    assert!(
        finished
            .stdout
            .contains("r2  2026-12-02 19:02:03Z  Night shift"),
        "{}",
        finished.stdout
    );
    assert!(finished.stdout.contains("+ defaults/queue_len: 8"));
    assert_eq!(behind.exit, Exit::Failed);
}

#[test]
fn reads_are_answered_by_the_next_daemon() {
    let deployment = Deployment::default();
    let daemon = daemon_with_layout(&deployment, "next").address;

    let finished = cli(&[nobody(), taker(), daemon], &["get", "defaults"]);

    assert_eq!(finished.exit, Exit::Ok, "{finished:?}");
}
