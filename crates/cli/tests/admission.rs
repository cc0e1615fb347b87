//! `heatherknot admission` against daemons' metrics addresses.

mod support;

use heatherknot_cli::exit::Exit;
use serde_json::{Value as Json, json};
use support::{fake_daemon, run_cli, stdout_json};

fn admission(asked: u64, rejected: u64, is_held_back: bool) -> Json {
    json!([{
        "service": "gallery",
        "urgencies": [{
            "urgency": {"priority": 2, "route": 1}, "asked": asked, "admitted": asked - rejected,
            "rejected": {"more urgent requests need the slots": rejected}, "pressure": 0,
            "is_held_back": is_held_back, "share_ms": 900.0,
            "over_share": [{"account": "tidal", "asked_ms": 4_000, "rejected_ms": 2_500}],
        }],
    }])
}

/// Guards against showing what one VM admitted as what all of them did.
#[test]
fn an_urgency_is_one_row_with_the_sum_of_all_vms() {
    let [one, other] = [
        fake_daemon(admission(40, 9, true)),
        fake_daemon(admission(21, 4, false)),
    ];
    let [one, other] = [one, other].map(|address| address.to_string());

    let shown = run_cli(&[], &["admission", &one, &other]);
    let json = run_cli(&[], &["admission", "--json", &one, &other]);

    assert_eq!(shown.exit, Exit::Ok);
    let lines: Vec<&str> = shown.stdout.lines().collect();
    assert_eq!(lines.len(), 2, "{}", shown.stdout);
    let cells: Vec<&str> = lines[1].split_whitespace().collect();
    for wanted in ["gallery", "2/1", "61", "48", "13", "1", "tidal"] {
        assert!(cells.contains(&wanted), "{wanted}: {}", lines[1]);
    }
    assert_eq!(stdout_json(&json)[0]["over_share"][0]["asked_ms"], 8_000);
}
