//! Racing operators and answers that were lost.

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

fn changes_in(platform: &PlatformHandle) -> usize {
    platform.keys("hk/settings/change/").len()
}

fn two_daemons(platform: &PlatformHandle) -> (Daemon, Daemon) {
    let one = Daemon::with_layout(platform);
    let two = Daemon::new(platform);
    two.follow(platform);
    (one, two)
}

// Two officers on a night shift set the same queue length through different daemons, neither
// of which has heard of the other's change. One is accepted. The other must be told, with the
// change that came first, instead of silently winning or losing.
#[test]
fn of_two_operators_on_the_same_setting_one_wins_and_the_other_is_shown_why() {
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

#[test]
fn operators_on_different_settings_both_win() {
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

#[test]
fn a_change_made_from_an_older_revision_is_held_against_what_came_since() {
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

// The store accepts a change and the connection breaks before its answer. The operator must
// hear "accepted", because the change is in force.
#[test]
fn a_lost_answer_is_found_out() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    platform.faults(|faults| faults.lose_answers = 1);

    let answer = daemon.set(&first_secret(), "a", PATH, json!(9));

    assert_eq!(
        (answer.outcome, answer.revision),
        (ChangeOutcome::Accepted, Some(Revision(2)))
    );
}

// The store accepts a change, its answer is lost, and it stays out of reach. The operator
// hears "unknown" and runs the same command again minutes later, through another daemon. It
// must say "accepted", with the first revision, and nothing may be applied twice.
#[test]
fn an_unknown_outcome_is_found_out_by_the_same_command_run_again() {
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
    assert_eq!(changes_in(&platform), 2);
}

// A write hangs on its way to the store. The operator hears "not accepted" once the command
// was withdrawn, and when the old write arrives at last it must change nothing.
#[test]
fn a_write_that_arrives_after_not_accepted_changes_nothing() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    platform.faults(|faults| faults.hold_writes = 1);

    let answer = daemon.set(&first_secret(), "a", PATH, json!(9));
    platform.apply_held_writes();

    assert_eq!(answer.outcome, ChangeOutcome::NotAccepted);
    assert_eq!(changes_in(&platform), 1);
}

#[test]
fn one_name_for_two_commands_is_no_repetition() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    let secret = daemon.add_key("other", "", &["read", "change"]);

    let first = daemon.set(&first_secret(), "a", PATH, json!(9));
    let other_value = daemon.set(&first_secret(), "a", PATH, json!(8));
    let other_key = daemon.set(&secret, "a", PATH, json!(7));

    let revisions = [first, other_value, other_key].map(|answer| answer.revision.unwrap().0);
    assert_eq!(revisions, [3, 4, 5]);
}

#[test]
fn while_the_store_is_down_changes_are_refused_and_reads_are_served() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    platform.faults(|faults| faults.down = Some(Down::Closes));
    let req = json!({ "command": "a", "action": { "set": { "path": PATH, "value": 9 } } });

    let (status, _): (_, serde_json::Value) = daemon.call(&first_secret(), "change", &req);

    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(daemon.get("defaults/lookup_ttl_ms"), 2000);
}

#[test]
fn a_change_that_is_there_already_makes_no_revision() {
    let platform = platform();
    let (one, two) = two_daemons(&platform);
    one.must_set("a", PATH, json!(9));
    two.follow(&platform);

    let answer = two.set(&first_secret(), "b", PATH, json!(9));

    assert_eq!(answer.outcome, ChangeOutcome::Unchanged);
    assert_eq!(answer.revision, Some(Revision(2)));
    assert_eq!(changes_in(&platform), 2);
}

// An operator adds a place through one daemon and at once sets something in it through another,
// which hasn't heard of the place. The change must not be refused for what is missing in an old
// tree.
#[test]
fn a_change_is_made_from_the_newest_tree_even_where_the_daemon_lags() {
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

// An operator applies a branch so large that the change doesn't fit one value of the store. It
// must be refused with the limit, before anything is written.
#[test]
fn a_change_over_the_limit_of_a_value_is_refused_with_the_limit() {
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
    assert_eq!(changes_in(&platform), 1);
}

#[test]
fn a_store_that_allows_no_more_calls_refuses_the_change_and_loses_nothing() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    platform.faults(|faults| faults.rate_limited = 1);
    let req = json!({ "command": "a", "action": { "set": { "path": PATH, "value": 9 } } });

    let (status, _): (_, serde_json::Value) = daemon.call(&first_secret(), "change", &req);
    let again = daemon.set(&first_secret(), "a", PATH, json!(9));

    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(again.revision, Some(Revision(2)));
}

// Newer daemons have written settings of a schema that this daemon can't read. It holds on to the
// old ones; a change made from those must be refused with the reason, and never overwrite.
#[test]
fn a_daemon_that_cannot_read_the_newest_settings_makes_no_change() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    let held = daemon.holder.borrow().at();
    let mut newer = newer_schema(held);
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
        daemon.holder.borrow().unreadable().unwrap().revision,
        Revision(2)
    );
    assert_eq!(changes_in(&platform), 2);
}

fn newer_schema(held: ChainPoint) -> Change {
    let edit = json!({ "p": "schema", "b": 1, "a": 2 });
    let change = json!({
        "r": held.revision.next(), "q": held.hash, "c": "c", "w": "w", "k": "k", "t": 1,
        "e": [edit], "d": held.hash, "h": held.hash,
    });
    serde_json::from_value(change).unwrap()
}
