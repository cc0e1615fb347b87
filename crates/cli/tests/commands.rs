//! Tests the commands against a daemon on loopback.

mod support;

use std::os::unix::fs::PermissionsExt as _;

use heatherknot_cli::exit::Exit;
use serde_json::json;
use support::{Deployment, daemon_with_layout, run_cli, secret, stdout_json, temp_file};

const GALLERY: &str = "utilities/port-louis:gallery";

/// Guards against a set value that is shown with another path, unit or origin, or outlives `unset`.
#[test]
fn settings_are_set_shown_and_unset() {
    let deployment = Deployment::default();
    let daemon = [daemon_with_layout(&deployment, "set").address];
    let path = format!("{GALLERY}/queue_len");

    let set = run_cli(&daemon, &["set", &path, "7"]);
    let get = run_cli(&daemon, &["get", &path]);
    let effective = run_cli(&daemon, &["effective", GALLERY]);
    let unset = run_cli(&daemon, &["unset", &path]);
    let gone = run_cli(&daemon, &["get", &path]);

    let long = "accounts/utilities/accounts/port-louis/services/gallery";
    assert_eq!(
        set.stdout,
        format!("accepted as r2\n  + {long}/queue_len: 7\n")
    );
    assert_eq!(get.stdout, "7\n");
    let line = effective
        .stdout
        .lines()
        .find(|line| line.starts_with("queue_len"))
        .unwrap();
    let cells: Vec<&str> = line.split_whitespace().collect();
    assert_eq!(cells, ["queue_len", "7", "requests", long]);
    assert_eq!(unset.exit, Exit::Ok);
    assert_eq!(gone.exit, Exit::Failed);
}

/// Guards against a dry run that makes the change, and against rejecting a string without quotes.
#[test]
fn an_unquoted_string_is_accepted_and_a_dry_run_changes_nothing() {
    let deployment = Deployment::default();
    let daemon = [daemon_with_layout(&deployment, "dry").address];
    let path = format!("{GALLERY}/class");

    let dry = run_cli(&daemon, &["set", "--dry-run", &path, "bulk"]);
    let wrong = run_cli(&daemon, &["set", "--dry-run", &path, "urgent"]);

    assert!(dry.stdout.starts_with("would be accepted\n") && dry.stdout.contains("\"bulk\""));
    assert_eq!(wrong.exit, Exit::NotAccepted);
    assert!(
        wrong
            .stdout
            .contains("key `class`: found the text \"urgent\", expected one of")
    );
    assert_eq!(deployment.changes(), 1);
}

/// Guards against a change that is missing in the history or the audit trail, or can't be undone.
#[test]
fn changes_are_listed_compared_and_undone() {
    let deployment = Deployment::default();
    let daemon = [daemon_with_layout(&deployment, "undo").address];
    run_cli(
        &daemon,
        &["set", "defaults/queue_len", "7", "--command-id", "seven"],
    );

    let history = run_cli(&daemon, &["history", "--after", "r1"]);
    let audit = run_cli(&daemon, &["audit", "--after", "1"]);
    let diff = run_cli(&daemon, &["diff", "r1", "r2", "--path", "defaults"]);
    let undo = run_cli(&daemon, &["undo", "2"]);
    let after = run_cli(&daemon, &["get", "defaults"]);

    assert_eq!(
        history.stdout,
        "r2  2026-12-02 19:02:03Z  defaults/queue_len\n"
    );
    let who = "r2  2026-12-02 19:02:03Z  Night shift (key first, command seven)\n";
    assert_eq!(audit.stdout, format!("{who}  + defaults/queue_len: 7\n"));
    assert_eq!(diff.stdout, "  + defaults/queue_len: 7\n");
    assert!(undo.stdout.starts_with("accepted as r3\n"));
    assert!(!after.stdout.contains("queue_len"));
}

/// Guards against a repeated drain that fails or adds a revision.
#[test]
fn a_change_without_effect_succeeds() {
    let deployment = Deployment::default();
    let daemon = [daemon_with_layout(&deployment, "same").address];
    run_cli(&daemon, &["drain", "place", "north-1"]);

    let again = run_cli(&daemon, &["drain", "place", "north-1"]);

    assert_eq!(again.exit, Exit::Ok);
    assert_eq!(again.stdout, "nothing to change: r2 already is as asked\n");
    assert_eq!(deployment.changes(), 2);
}

/// Guards against a kind of drain target that can't be drained or undrained.
#[test]
fn drains_start_and_end() {
    let deployment = Deployment::default();
    let daemon = [daemon_with_layout(&deployment, "drain").address];
    for (kind, name) in [
        ("vm", "north-1/entry-1"),
        ("server", "127.0.0.1:20001"),
        ("place", "north-1"),
        ("region", "north"),
    ] {
        let drain = run_cli(&daemon, &["drain", kind, name]);
        let undrain = run_cli(&daemon, &["undrain", kind, name]);

        assert!(drain.stdout.contains("draining"), "{drain:?}");
        assert_eq!(undrain.exit, Exit::Ok, "{undrain:?}");
    }
    assert_eq!(deployment.changes(), 9);
}

/// Guards against fields of an answer that are lost or shown in the wrong column.
#[test]
fn status_wait_explain_and_whoami_show_the_daemons_answers() {
    let deployment = Deployment::default();
    let daemon = [daemon_with_layout(&deployment, "status").address];

    let status = run_cli(&daemon, &["status"]);
    let reached = run_cli(&daemon, &["wait", "r1"]);
    let missed = run_cli(&daemon, &["wait", "r2", "--timeout", "1"]);
    let explain = run_cli(&daemon, &["explain", GALLERY, "10.0.0.1"]);
    let whoami = run_cli(&daemon, &["whoami"]);

    assert!(
        status.stdout.starts_with("r1 in force on 1 daemons\nVM"),
        "{}",
        status.stdout
    );
    assert!(
        status
            .stdout
            .contains("entry-1  north-1  alive  r1        for 4.2 s  300 ms ago")
    );
    assert_eq!((reached.exit, missed.exit), (Exit::Ok, Exit::Failed));
    assert!(missed.stderr.contains("r2 is not in force everywhere yet"));
    assert!(
        explain
            .stdout
            .contains("place north-1  18 requests in flight  21     250 ms")
    );
    assert_eq!(
        whoami.stdout,
        "key first of Night shift: read, change, drain, audit, platform in the root\n"
    );
}

/// Guards against `--wait` returning without saying that the change is in force.
#[test]
fn a_change_can_wait_until_it_is_in_force() {
    let deployment = Deployment::default();
    let daemon = [daemon_with_layout(&deployment, "wait").address];

    let set = run_cli(&daemon, &["set", "--wait", "defaults/queue_len", "7"]);

    assert_eq!(set.exit, Exit::Ok);
    assert!(
        set.stdout.ends_with("in force everywhere\n"),
        "{}",
        set.stdout
    );
}

/// Guards against results and errors that a program can't parse with `--json`.
#[test]
fn json_option_prints_results_and_errors_as_json() {
    let deployment = Deployment::default();
    let daemon = [daemon_with_layout(&deployment, "json").address];

    let set = run_cli(&daemon, &["--json", "set", "defaults/queue_len", "7"]);
    let refused = run_cli(
        &daemon,
        &[
            "--json",
            "--command-id",
            "x",
            "set",
            "defaults/queue_len",
            "many",
        ],
    );
    let missing = run_cli(&daemon, &["--json", "get", "platform/places/none"]);

    assert_eq!(stdout_json(&set)["outcome"], "accepted");
    assert_eq!(stdout_json(&set)["revision"], 2);
    assert_eq!(stdout_json(&refused)["outcome"], "not-accepted");
    assert_eq!(stdout_json(&refused)["command"], "x");
    assert!(
        stdout_json(&missing)["error"]
            .as_str()
            .unwrap()
            .contains("no node")
    );
}

/// Guards against a secret on standard output or in a file that others can read, and against
/// overwriting a secret.
#[test]
fn a_new_key_is_generated_added_and_used_without_its_secret_on_any_command_line() {
    let deployment = Deployment::default();
    let daemon = daemon_with_layout(&deployment, "key");
    let secret_file = temp_file("comms.key");
    let secret_path = secret_file.to_str().unwrap();
    let new = [
        "new-key",
        "comms",
        "--branch",
        "utilities/port-louis",
        "--rights",
        "read,change",
        "--holder",
        "Comms",
        "--secret-file",
        secret_path,
    ];

    let drawn = run_cli(&[], &new);
    let again = run_cli(&[], &new);
    let added = run_cli(
        &[daemon.address],
        &["set", "operators/comms", &drawn.stdout],
    );
    let whoami = heatherknot_cli::run(
        [
            "whoami",
            "--server",
            &daemon.address.to_string(),
            "--key-file",
            secret_path,
        ]
        .iter()
        .map(Into::into)
        .collect(),
        &Default::default(),
    );

    let mode = std::fs::metadata(&secret_file)
        .unwrap()
        .permissions()
        .mode();
    let random = std::fs::read_to_string(&secret_file).unwrap();
    assert_eq!(mode & 0o777, 0o600);
    assert!(
        !drawn
            .stdout
            .contains(random.trim().split_once('.').unwrap().1)
    );
    assert_eq!(again.exit, Exit::Failed);
    assert_eq!(added.exit, Exit::Ok, "{added:?}");
    assert_eq!(
        whoami.stdout,
        "key comms of Comms: read, change in utilities/port-louis\n"
    );
}

/// Guards against a syntax error that doesn't name its file and line.
#[test]
fn invalid_json_is_reported_with_file_and_line() {
    let path = temp_file("broken.json");
    std::fs::write(&path, "{ \"schema\": 1,\n  oops }").unwrap();

    let output = run_cli(
        &[support::unused_address()],
        &["apply", path.to_str().unwrap()],
    );

    assert_eq!(output.exit, Exit::Failed);
    assert!(output.stderr.contains("broken.json") && output.stderr.contains("line 2"));
}

/// Guards against output that contains the operator's secret.
#[test]
fn the_secret_is_never_printed() {
    let deployment = Deployment::default();
    let daemon = [daemon_with_layout(&deployment, "secret").address];
    let random = secret().split_once('.').unwrap().1.to_string();

    for args in [
        &["status"][..],
        &["get"],
        &["audit"],
        &["get", "operators/x"],
        &["--json", "whoami"],
    ] {
        let output = run_cli(&daemon, args);

        assert!(!output.stdout.contains(&random) && !output.stderr.contains(&random));
    }
    assert_eq!(json!(random.len()), 64);
}
