//! Tests of the calls that read and change settings and report the daemons' status.

mod support;

use heatherknot_operator::api::{
    Action, AuditResponse, ChangeOutcome, ChangeRequest, ChangeResponse, DaemonStatus,
    DiffResponse, DrainTarget, EffectiveResponse, HistoryResponse, StatusResponse, WaitResponse,
};
use heatherknot_types::prelude::*;
use http::StatusCode;
use serde_json::{Value as Json, json};
use support::{ACCOUNT, BRANCH, Daemon, first_secret, platform};

// Guards against a daemon that keeps serving the old settings after it accepted a change.
#[test]
fn an_accepted_change_is_in_force_on_the_daemon_at_once() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);

    let answer = daemon.set(&first_secret(), "c", "defaults/queue_len", json!(9));

    assert_eq!(
        (answer.outcome, answer.revision),
        (ChangeOutcome::Accepted, Some(Revision(2)))
    );
    assert_eq!(answer.edits[0].path, "defaults/queue_len");
    assert_eq!(daemon.get("defaults/queue_len"), 9);
    assert_eq!(daemon.replica.borrow().revision(), Revision(2));
}

// Guards against committing an invalid value, and against an error that doesn't locate it.
#[test]
fn an_invalid_change_is_rejected_with_path_key_found_and_expected() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    let req = json!({
        "command": "c",
        "action": { "set": { "path": "defaults/queue_len", "value": "many" } },
    });

    let (status, answer): (_, Json) = daemon.call(&first_secret(), "change", &req);

    let error = answer["error"].as_str().unwrap();
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
    assert!(error.contains("at defaults, key `queue_len`: found the text \"many\", expected"));
    assert_eq!(daemon.replica.borrow().revision(), Revision(1));
}

// Guards against a dry run that commits its change.
#[test]
fn a_dry_run_returns_the_edits_without_committing() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    let req = ChangeRequest {
        command: "c".to_string(),
        base: None,
        dry_run: true,
        action: Action::Unset {
            path: format!("{BRANCH}:studio"),
        },
    };

    let (_, answer): (_, ChangeResponse) = daemon.call(&first_secret(), "change", &req);

    assert_eq!(answer.outcome, ChangeOutcome::Checked);
    assert_eq!(answer.edits[0].path, format!("{ACCOUNT}/services/studio"));
    daemon.refresh_settings(&platform);
    assert_eq!(daemon.replica.borrow().revision(), Revision(1));
}

// Guards against an undo that also reverts changes made after the undone one.
#[test]
fn undo_keeps_later_changes() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    let wrong = daemon.must_set("a", "defaults/queue_len", json!(9));
    daemon.must_set("b", "defaults/deadline_ms", json!(900));

    let answer = daemon.change(&first_secret(), "u", Action::Undo { revision: wrong });

    assert_eq!(answer.revision, Some(Revision(4)));
    assert_eq!(
        daemon.get("defaults"),
        json!({ "lookup_ttl_ms": 2000, "deadline_ms": 900 })
    );
}

// Guards against an undo that overwrites a later change of the same value.
#[test]
fn undo_of_a_value_that_changed_again_is_a_conflict() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    let first = daemon.must_set("a", "defaults/queue_len", json!(9));
    daemon.must_set("b", "defaults/queue_len", json!(8));
    let req = json!({ "command": "u", "action": { "undo": { "revision": first } } });

    let (status, answer): (_, Json) = daemon.call(&first_secret(), "change", &req);

    assert_eq!(status, StatusCode::CONFLICT);
    assert!(
        answer["error"]
            .as_str()
            .unwrap()
            .contains("`defaults/queue_len` has changed since")
    );
}

// Guards against a diff with intermediate values, reversed sides or edits outside its path.
#[test]
fn diff_works_forward_and_backward() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    daemon.must_set("a", "defaults/queue_len", json!(9));
    daemon.must_set("b", "defaults/queue_len", json!(8));
    daemon.must_set("c", "defaults/deadline_ms", json!(900));
    let diff = |from: u64, to: u64, path: &str| -> DiffResponse {
        let req = json!({ "from": from, "to": to, "path": path });
        daemon.call(&first_secret(), "diff", &req).1
    };

    let (forward, back, part) = (
        diff(1, 3, ""),
        diff(3, 1, ""),
        diff(1, 4, "defaults/deadline_ms"),
    );

    assert_eq!(
        (forward.edits.len(), forward.edits[0].after.clone()),
        (1, Some(json!(8)))
    );
    assert_eq!(
        (back.edits[0].before.clone(), back.edits[0].after.clone()),
        (Some(json!(8)), None)
    );
    assert_eq!(
        (part.edits.len(), part.edits[0].after.clone()),
        (1, Some(json!(900)))
    );
}

// Guards against inherited values that are attributed to the wrong node.
#[test]
fn effective_values_name_their_origin() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    let req = json!({ "path": "utilities/port-louis:gallery" });

    let (_, answer): (_, EffectiveResponse) = daemon.call(&first_secret(), "effective", &req);

    let origin = |key: &str| {
        let row = answer.values.iter().find(|row| row.key == key).unwrap();
        row.origin.clone()
    };
    assert_eq!(
        origin("latency_weight_permille"),
        format!("{ACCOUNT}/defaults")
    );
    assert_eq!(origin("lookup_ttl_ms"), "defaults");
}

// Guards against showing other branches' changes, a false hash chain error, and wrong paging.
#[test]
fn history_and_audit_are_limited_to_the_branch() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    let secret = daemon.add_key("comms", BRANCH, &["read", "audit", "change"]);
    daemon.must_set("a", "defaults/queue_len", json!(9));
    daemon.set(
        &secret,
        "b",
        "utilities/port-louis:gallery/queue_len",
        json!(7),
    );

    let (_, own): (_, AuditResponse) = daemon.call(&secret, "audit", &json!({}));
    let (_, all): (_, AuditResponse) = daemon.call(&first_secret(), "audit", &json!({}));
    let (_, page): (_, HistoryResponse) =
        daemon.call(&secret, "history", &json!({ "after": 1, "limit": 2 }));

    let revisions: Vec<u64> = own.entries.iter().map(|entry| entry.revision.0).collect();
    assert_eq!(revisions, [1, 2, 4]);
    assert_eq!(
        (&*own.entries[2].who, &*own.entries[2].key),
        ("Holder of comms", "comms")
    );
    assert_eq!(&*own.entries[2].command, "b");
    assert_eq!((all.entries.len(), all.broken, all.more), (4, None, false));
    assert_eq!(
        (page.changes.len(), page.seen, page.more),
        (1, Revision(3), true)
    );
}

// Guards against an audit that misses a stored change whose author was altered.
#[test]
fn audit_detects_an_altered_change_in_the_store() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    daemon.must_set("a", "defaults/queue_len", json!(9));
    daemon.must_set("b", "defaults/queue_len", json!(8));
    let key = &platform.keys("hk/settings/change/")[1];
    let text = String::from_utf8(platform.get(key).unwrap().to_vec()).unwrap();
    platform.put(key, text.replace("Holder of first", "Holder of third"));

    let (_, answer): (_, AuditResponse) = daemon.call(&first_secret(), "audit", &json!({}));

    assert!(
        answer
            .broken
            .unwrap()
            .contains("r2: its hash doesn't fit its content")
    );
}

// Guards against a drain without effect on the tree, or one that leaves settings behind.
#[test]
fn ending_a_drain_restores_the_tree() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    let before = daemon.get("");
    let address = layout_address(&before);
    let targets = [
        DrainTarget::Vm {
            domain: "north-1".into(),
            name: "entry-1".into(),
        },
        DrainTarget::Place {
            name: "north-1".into(),
        },
        DrainTarget::Region {
            name: "north".into(),
        },
        DrainTarget::BackendServer { address },
    ];

    for (at, target) in targets.iter().enumerate() {
        let action = |draining| Action::Drain {
            target: target.clone(),
            draining,
        };
        let started = daemon.change(&first_secret(), &format!("d{at}"), action(true));
        let during = daemon.get("");
        let ended = daemon.change(&first_secret(), &format!("u{at}"), action(false));

        assert_eq!(started.outcome, ChangeOutcome::Accepted, "{target:?}");
        assert_ne!(during, before, "{target:?}");
        assert_eq!(ended.outcome, ChangeOutcome::Accepted, "{target:?}");
        assert_eq!(daemon.get(""), before, "{target:?}");
    }
}

fn layout_address(document: &Json) -> std::net::SocketAddr {
    let upstreams = &document["accounts"]["utilities"]["accounts"]["port-louis"]["services"]["gallery"]
        ["upstreams"];
    upstreams["gallery-1"]["address"]
        .as_str()
        .unwrap()
        .parse()
        .unwrap()
}

fn daemon_status(vm: &str, state: &str, revision: u64) -> DaemonStatus {
    DaemonStatus {
        vm: vm.into(),
        domain: "north-1".into(),
        state: state.to_string(),
        revision: Revision(revision),
        in_force_ms: 10,
        age_ms: 5,
        unreadable: None,
    }
}

// Guards against counting daemons that are gone, and against naming daemons to branch keys.
#[test]
fn status_lists_daemons_only_for_keys_of_the_root() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    let secret = daemon.add_key("comms", BRANCH, &["read"]);
    *daemon.status.borrow_mut() = vec![
        daemon_status("a", "alive", 2),
        daemon_status("b", "alive", 1),
        daemon_status("c", "gone", 1),
    ];

    let (_, root): (_, StatusResponse) = daemon.call(&first_secret(), "status", &json!({}));
    let (_, branch): (_, StatusResponse) = daemon.call(&secret, "status", &json!({}));

    let counts: Vec<_> = branch
        .counts
        .iter()
        .map(|c| (c.revision.0, c.daemons))
        .collect();
    assert_eq!(counts, [(2, 1), (1, 1)]);
    assert_eq!((root.daemons.len(), branch.daemons.len()), (3, 0));
}

// Guards against a wait that ignores a lagging daemon, or that polls on after it has its result.
#[test]
fn wait_returns_once_all_daemons_have_the_revision_or_at_the_timeout() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    *daemon.status.borrow_mut() = vec![
        daemon_status("a", "alive", 2),
        daemon_status("b", "suspect", 1),
    ];
    let wait = |revision: u64| -> WaitResponse {
        let req = json!({ "revision": revision, "timeout_ms": 200 });
        daemon.call(&first_secret(), "wait", &req).1
    };

    let (reached, missed) = (wait(1), wait(2));

    assert!(reached.in_force && !missed.in_force);
    assert_eq!(daemon.status_polls.get(), 1 + 3);
    assert_eq!(missed.counts[1].revision, Revision(1));
}

// Guards against an explanation for a service that does not exist.
#[test]
fn explain_returns_not_found_for_an_unknown_service() {
    let platform = platform();
    let daemon = Daemon::with_layout(&platform);
    let ask = |service: &str| {
        let req = json!({ "service": service, "client": "10.0.0.1" });
        daemon.call::<Json>(&first_secret(), "explain", &req)
    };

    let (there, _) = (ask("utilities/port-louis:gallery"), ());
    let nothing = ask("utilities/port-louis:nothing");

    assert_eq!(there.1["places"], json!(["north-1"]));
    assert_eq!(nothing.0, StatusCode::NOT_FOUND);
}
