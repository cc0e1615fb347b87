//! `heatherknot rollouts` against daemons' metrics addresses.

mod support;

use heatherknot_cli::exit::Exit;
use serde_json::{Value as Json, json};
use support::{fake_daemon, run_cli, stdout_json};

fn outcomes(requests: u64, failures: u64) -> Json {
    json!({"n": requests, "f": failures, "a": requests, "t": 200 * requests})
}

fn rollout(evidence: Json) -> Json {
    json!([{
        "service": "gallery", "target": "v2", "in_use": "v1", "stage": "rolled-back",
        "stage_ms_ago": 4_000, "cause": "12 of 40 requests failed", "time_limit": 14_000,
        "written_by": "vm-2", "rolled_back": ["v2"], "evidence": evidence,
    }])
}

/// Guards against showing a rollout once for each daemon, or without the outcomes that only the
/// heads of domains know.
#[test]
fn a_rollout_is_one_row_with_the_outcomes_of_all_vms() {
    let evidence = json!([{
        "route": "r-1", "target": outcomes(40, 12), "previous": outcomes(900, 2),
    }]);
    let [head, other] = [
        fake_daemon(rollout(evidence)),
        fake_daemon(rollout(json!([]))),
    ];
    let [head, other] = [head, other].map(|address| address.to_string());

    let shown = run_cli(&[], &["rollouts", &other, &head]);
    let json = run_cli(&[], &["rollouts", "--json", &other, &head]);

    assert_eq!(shown.exit, Exit::Ok);
    let lines: Vec<&str> = shown.stdout.lines().collect();
    assert_eq!(lines.len(), 2, "{}", shown.stdout);
    for wanted in [
        "gallery",
        "v2",
        "rolled back",
        "12/40 200 ms",
        "2/900 200 ms",
    ] {
        assert!(lines[1].contains(wanted), "{}", lines[1]);
    }
    assert_eq!(stdout_json(&json)[0]["cause"], "12 of 40 requests failed");
}
