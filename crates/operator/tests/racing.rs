//! Tests of concurrent changes, store faults and lost responses.

mod support;

use heatherknot_operator::api::{
    Action, ChangeOutcome, ChangeRequest, ChangeResponse, DrainTarget,
};
use heatherknot_settings::{ChainPoint, Change};
use heatherknot_test_support::platform::{Down, PlatformHandle};
use heatherknot_types::prelude::*;
use http::StatusCode;
use serde_json::json;
use support::{Daemon, first_secret, platform};

const PATH: &str = "defaults/queue_len";

fn change_count(platform: &PlatformHandle) -> usize {
    platform.keys("hk/settings/change/").len()
}

fn two_daemons(platform: &PlatformHandle) -> (Daemon, Daemon) {
    let one = Daemon::with_layout(platform);
    let two = Daemon::new(platform);
    two.refresh_settings(platform);
    (one, two)
}

// Guards against a lost update: two operators change the same setting through different daemons
// that have not received each other's change. The second change has to fail and name the first.
#[test]
fn concurrent_changes_of_one_setting_conflict() {
    let platform = platform();
    let (one, two) = two_daemons(&platform);

    let first = one.set(&first_secret(), "a", PATH, json!(9));
    let second = two.set(&first_secret(), "b", PATH, json!(8));

    assert_eq!(first.outcome, ChangeOutcome::Accepted);
    assert_eq!(
        (second.outcome, second.revision),
        (ChangeOutcome::NotAccepted, None)
    );
    assert_eq!(second.conflicts[0].revision, Revision(2));
    assert_eq!(second.conflicts[0].edits[0].after, Some(json!(9)));
    assert_eq!(one.get(PATH), 9);
}

// Guards against rejecting a change because of an unrelated concurrent one.
#[test]
fn concurrent_changes_of_different_settings_are_both_accepted() {
    let platform = platform();
    let (one, two) = two_daemons(&platform);

    let first = one.set(&first_secret(), "a", PATH, json!(9));
    let second = two.set(&first_secret(), "b", "defaults/deadline_ms", json!(900));

    assert_eq!(first.revision, Some(Revision(2)));
    assert_eq!(second.revision, Some(Revision(3)));
    assert_eq!(
        two.get("defaults"),
        json!({ "lookup_ttl_ms": 2000, "queue_len": 9, "deadline_ms": 900 })
    );
}

// Guards against overwriting a change that was made after the request's base revision.
#[test]
fn a_change_with_an_old_base_conflicts_with_later_changes() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    daemon.must_set("a", PATH, json!(9));
    let ask = |command: &str, path: &str| {
        let req = ChangeRequest {
            command: command.to_string(),
            base: Some(Revision(1)),
            dry_run: false,
            action: Action::Set {
                path: path.to_string(),
                value: json!(700),
            },
        };
        daemon.call::<ChangeResponse>(&first_secret(), "change", &req)
    };

    let (status, same) = ask("b", PATH);
    let (_, other) = ask("c", "defaults/deadline_ms");

    assert_eq!(
        (status, same.outcome),
        (StatusCode::CONFLICT, ChangeOutcome::NotAccepted)
    );
    assert_eq!(other.outcome, ChangeOutcome::Accepted);
}

// Guards against reporting a failure for an accepted change: the store accepts the change, but the
// connection breaks before its response arrives.
#[test]
fn a_lost_store_response_is_resolved() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    platform.faults(|faults| faults.lose_answers = 1);

    let answer = daemon.set(&first_secret(), "a", PATH, json!(9));

    assert_eq!(
        (answer.outcome, answer.revision),
        (ChangeOutcome::Accepted, Some(Revision(2)))
    );
}

// Guards against applying a command twice: the store accepts the change, its response is lost and
// it stays unreachable, so the outcome is unknown. Running the command again, also through another
// daemon, has to return the first revision.
#[test]
fn repeating_the_command_resolves_an_unknown_outcome() {
    let platform = platform();
    let (one, two) = two_daemons(&platform);
    platform.faults(|faults| faults.lose_answers = 100);
    let unknown = one.set(&first_secret(), "a", PATH, json!(9));
    platform.faults(|faults| faults.lose_answers = 0);

    let again = two.set(&first_secret(), "a", PATH, json!(9));
    let third = one.set(&first_secret(), "a", PATH, json!(9));

    assert_eq!(
        (unknown.outcome, unknown.revision),
        (ChangeOutcome::Unknown, None)
    );
    assert_eq!(
        (again.outcome, again.revision),
        (ChangeOutcome::Accepted, Some(Revision(2)))
    );
    assert_eq!(
        (third.outcome, third.revision),
        (ChangeOutcome::Accepted, Some(Revision(2)))
    );
    assert_eq!(change_count(&platform), 2);
}

// Guards against a delayed write that takes effect after its command was withdrawn and reported as
// not accepted.
#[test]
fn a_delayed_write_has_no_effect_after_not_accepted() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    platform.faults(|faults| faults.hold_writes = 1);

    let answer = daemon.set(&first_secret(), "a", PATH, json!(9));
    platform.apply_held_writes();

    assert_eq!(answer.outcome, ChangeOutcome::NotAccepted);
    assert_eq!(change_count(&platform), 1);
}

// Guards against taking a new command for a repetition of another one with the same name.
#[test]
fn commands_with_the_same_name_but_another_key_or_action_are_distinct() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    let secret = daemon.add_key("other", "", &["read", "change"]);

    let first = daemon.set(&first_secret(), "a", PATH, json!(9));
    let other_value = daemon.set(&first_secret(), "a", PATH, json!(8));
    let other_key = daemon.set(&secret, "a", PATH, json!(7));

    let revisions = [first, other_value, other_key].map(|answer| answer.revision.unwrap().0);
    assert_eq!(revisions, [3, 4, 5]);
}

// Guards against reads that depend on the store, and against accepting changes without it.
#[test]
fn reads_work_and_changes_fail_while_the_store_is_down() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    platform.faults(|faults| faults.down = Some(Down::Closes));
    let req = json!({ "command": "a", "action": { "set": { "path": PATH, "value": 9 } } });

    let (status, _): (_, serde_json::Value) = daemon.call(&first_secret(), "change", &req);

    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(daemon.get("defaults/lookup_ttl_ms"), 2000);
}

// Guards against empty revisions.
#[test]
fn setting_the_current_value_creates_no_revision() {
    let platform = platform();
    let (one, two) = two_daemons(&platform);
    one.must_set("a", PATH, json!(9));
    two.refresh_settings(&platform);

    let answer = two.set(&first_secret(), "b", PATH, json!(9));

    assert_eq!(answer.outcome, ChangeOutcome::Unchanged);
    assert_eq!(answer.revision, Some(Revision(2)));
    assert_eq!(change_count(&platform), 2);
}

// Guards against rejecting a change because the daemon's tree is old: a place is added through one
// daemon and drained through another that has not received it yet.
#[test]
fn a_daemon_with_old_settings_builds_changes_on_the_newest_tree() {
    let platform = platform();
    let (one, two) = two_daemons(&platform);
    let place = json!({ "domain": "north-1", "per_second": 10, "in_flight": 10 });
    one.must_set("a", "platform/places/north-1b", place);

    let target = DrainTarget::Place {
        name: "north-1b".to_string(),
    };
    let req = ChangeRequest {
        command: "b".to_string(),
        base: Some(Revision(2)),
        dry_run: false,
        action: Action::Drain {
            target,
            draining: true,
        },
    };
    let (_, answer): (_, ChangeResponse) = two.call(&first_secret(), "change", &req);

    assert_eq!(
        (answer.outcome, answer.revision),
        (ChangeOutcome::Accepted, Some(Revision(3)))
    );
}

// Guards against writing a change that is too large for one value of the store. The error has to
// name the limit.
#[test]
fn a_change_over_the_size_limit_is_rejected() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    let routes: Vec<String> = (0..60)
        .map(|n| format!("POST /{n}{}", "x".repeat(240)))
        .collect();
    let service = json!({ "at_most_once": routes });
    let services: serde_json::Map<String, serde_json::Value> = (0..70)
        .map(|n| (format!("s-{n}"), service.clone()))
        .collect();
    let path = format!("{}/services", support::ACCOUNT);
    let req = json!({ "command": "a", "action": { "set": { "path": path, "value": services } } });

    let (status, answer): (_, serde_json::Value) = daemon.call(&first_secret(), "change", &req);

    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
    assert!(
        answer["error"]
            .as_str()
            .unwrap()
            .contains("expected at most 900000")
    );
    assert_eq!(change_count(&platform), 1);
}

// Guards against a rate-limited command that is reported as accepted or can't be run again.
#[test]
fn a_rate_limited_change_can_be_retried() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    platform.faults(|faults| faults.rate_limited = 1);
    let req = json!({ "command": "a", "action": { "set": { "path": PATH, "value": 9 } } });

    let (status, _): (_, serde_json::Value) = daemon.call(&first_secret(), "change", &req);
    let again = daemon.set(&first_secret(), "a", PATH, json!(9));

    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(again.revision, Some(Revision(2)));
}

// Guards against overwriting settings of a newer schema: a daemon that can't read them keeps the
// old ones and has to reject changes, naming the revision that it lacks.
#[test]
fn a_daemon_that_cannot_read_the_newest_settings_rejects_changes() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    let base = daemon.replica.borrow().at();
    let mut newer = newer_schema(base);
    newer.hash = newer.computed_hash();
    let hash = newer.hash;
    platform.put(
        "hk/settings/change/0000000000000002",
        json!(newer).to_string(),
    );
    platform.put("hk/settings/head", format!(r#"{{"r":2,"h":"{hash}"}}"#));
    let req = json!({ "command": "a", "action": { "set": { "path": PATH, "value": 9 } } });

    let (status, answer): (_, serde_json::Value) = daemon.call(&first_secret(), "change", &req);

    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(
        answer["error"]
            .as_str()
            .unwrap()
            .contains("r2 is not in force here")
    );
    assert_eq!(
        daemon.replica.borrow().unreadable().unwrap().revision,
        Revision(2)
    );
    assert_eq!(change_count(&platform), 2);
}

fn newer_schema(base: ChainPoint) -> Change {
    let edit = json!({ "p": "schema", "b": 1, "a": 2 });
    let change = json!({
        "r": base.revision.next(), "q": base.hash, "c": "c", "w": "w", "k": "k", "t": 1,
        "e": [edit], "d": base.hash, "h": base.hash,
    });
    serde_json::from_value(change).unwrap()
}
