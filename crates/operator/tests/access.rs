//! Tests of authentication, authorization and request validation.

mod support;

use heatherknot_operator::api::{Action, ChangeOutcome, DrainTarget};
use heatherknot_types::prelude::*;
use http::StatusCode;
use serde_json::{Value as Json, json};
use support::{BRANCH, Daemon, first_secret, key, platform};

fn call_error(daemon: &Daemon, secret: &str, call: &str, req: Json) -> (StatusCode, String) {
    let (status, answer): (_, Json) = daemon.call(secret, call, &req);
    let error = answer["error"].as_str().unwrap_or("accepted");
    (status, error.to_string())
}

// Guards against accepting a key that is not in the settings, or naming it in the error.
#[test]
fn unknown_keys_are_unauthorized() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    let (stranger, _) = key("stranger", "", &[]);

    for secret in ["", "first", &stranger] {
        let (status, error) = call_error(&daemon, secret, "get", json!({ "path": "" }));

        assert_eq!(status, StatusCode::UNAUTHORIZED);
        assert!(!error.contains("stranger"), "{error}");
    }
}

// Guards against reads and changes outside the key's branch, and against reads whose status reveals
// whether a node exists there.
#[test]
fn a_branch_key_has_no_access_outside_its_branch() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    let secret = daemon.add_key("comms", BRANCH, &["read", "change", "audit", "drain"]);
    let paths = [
        "",
        "platform/places/north-1",
        "platform/places/none",
        "utilities:",
        "training:",
        "operators/first",
    ];

    for path in paths {
        for call in ["get", "effective"] {
            let (status, _) = call_error(&daemon, &secret, call, json!({ "path": path }));
            assert_eq!(status, StatusCode::FORBIDDEN, "{call} {path}");
        }
        let set = json!({ "command": "c", "action": { "set": { "path": path, "value": {} } } });
        let unset = json!({ "command": "c", "action": { "unset": { "path": path } } });
        for req in [set, unset] {
            let (status, error) = call_error(&daemon, &secret, "change", req);
            let known = [
                StatusCode::FORBIDDEN,
                StatusCode::UNPROCESSABLE_ENTITY,
                StatusCode::NOT_FOUND,
            ];
            assert!(known.contains(&status), "{path}: {error}");
        }
        daemon.refresh_settings(&platform);
        assert_eq!(daemon.replica.borrow().revision(), Revision(2));
    }
}

// Guards against escaping the branch by `..` segments.
#[test]
fn paths_with_parent_segments_are_rejected() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    let secret = daemon.add_key("comms", BRANCH, &["read"]);

    for path in [
        "utilities/port-louis:../../../platform",
        "accounts/utilities/accounts/port-louis/../x",
    ] {
        let (status, error) = call_error(&daemon, &secret, "get", json!({ "path": path }));

        assert_eq!(status, StatusCode::BAD_REQUEST);
        assert!(error.contains("segment `..`"), "{error}");
    }
}

// Guards against draining a place or another account's backend server with a branch key.
#[test]
fn a_branch_key_can_drain_only_its_own_backend_servers() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    let secret = daemon.add_key("comms", BRANCH, &["drain"]);
    let drain = |target: DrainTarget| {
        let req = json!({ "command": "d", "action": { "drain": { "target": target, "draining": true } } });
        daemon.call::<Json>(&secret, "change", &req)
    };

    let own = drain(DrainTarget::BackendServer {
        address: ([127, 0, 0, 1], 20_001).into(),
    });
    let unknown = drain(DrainTarget::BackendServer {
        address: ([127, 0, 0, 1], 1).into(),
    });
    let place = drain(DrainTarget::Place {
        name: "north-1".into(),
    });

    assert_eq!(own.1["outcome"], "accepted");
    assert_eq!(unknown.0, StatusCode::NOT_FOUND);
    assert_eq!(place.0, StatusCode::FORBIDDEN);
}

// Guards against revealing the existence or content of changes in other branches through `undo`.
#[test]
fn undo_of_a_change_in_another_branch_is_not_found() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    let secret = daemon.add_key("comms", BRANCH, &["read", "change"]);
    let revision = daemon.must_set("a", "defaults/queue_len", json!(9));
    let undo = |revision| json!({ "command": "u", "action": { "undo": { "revision": revision } } });

    let (status, error) = call_error(&daemon, &secret, "change", undo(revision));
    let none = call_error(&daemon, &secret, "change", undo(Revision(99)));

    assert_eq!(status, StatusCode::NOT_FOUND);
    assert!(!error.contains("queue_len"), "{error}");
    assert_eq!(none.0, StatusCode::NOT_FOUND);
}

// Guards against a change by a revoked key through a daemon that has not received the revocation.
// Changes are built on the newest revision, where the key no longer exists.
#[test]
fn a_revoked_key_is_rejected_by_a_daemon_with_old_settings() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    let secret = daemon.add_key("contractor", BRANCH, &["read", "change"]);
    let lagging = Daemon::new(&platform);
    lagging.refresh_settings(&platform);
    let path = "operators/contractor".to_string();
    daemon.change(&first_secret(), "away", Action::Unset { path });

    let req = json!({
        "command": "c",
        "action": { "set": { "path": "utilities/port-louis:gallery/queue_len", "value": 1 } },
    });
    let (status, _) = call_error(&lagging, &secret, "change", req);

    assert_eq!(status, StatusCode::UNAUTHORIZED);
    daemon.refresh_settings(&platform);
    assert_eq!(daemon.replica.borrow().revision(), Revision(3));
}

// Guards against errors that don't say which key, value or call of the request is invalid.
#[test]
fn errors_of_malformed_requests_name_the_invalid_part() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    let secret = first_secret();

    let unknown = call_error(&daemon, &secret, "get", json!({ "paht": "" }));
    let command = json!({ "command": "a b", "action": { "unset": { "path": "defaults" } } });
    let command = call_error(&daemon, &secret, "change", command);
    let call = call_error(&daemon, &secret, "reboot", json!({}));
    let wait = call_error(
        &daemon,
        &secret,
        "wait",
        json!({ "revision": 1, "timeout_ms": 90_000 }),
    );

    assert!(unknown.0 == StatusCode::BAD_REQUEST && unknown.1.contains("paht"));
    assert!(command.1.contains("key `command`: found `a b`"));
    assert!(call.0 == StatusCode::NOT_FOUND && call.1.contains("whoami"));
    assert!(wait.1.contains("at most 20000"));
}

// Guards against privilege escalation by creating a key for a parent branch.
#[test]
fn a_branch_key_cannot_create_a_key_with_a_larger_branch() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    let secret = daemon.add_key("comms", BRANCH, &["read", "change"]);
    let (_, lesser) = key("helper", BRANCH, &["read"]);
    let (_, greater) = key("boss", "", &["read"]);

    let created = daemon.set(&secret, "g", "operators/helper", lesser);
    let req = json!({ "command": "h", "action": { "set": { "path": "operators/boss", "value": greater } } });
    let (status, _) = call_error(&daemon, &secret, "change", req);

    assert_eq!(created.outcome, ChangeOutcome::Accepted);
    assert_eq!(status, StatusCode::FORBIDDEN);
}
