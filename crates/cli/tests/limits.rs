//! `heatherknot limits` against daemons' metrics addresses.

mod support;

use heatherknot_cli::exit::Exit;
use serde_json::{Value as Json, json};
use support::{fake_daemon, run_cli, stdout_json};

fn limit(age_ms: u64, per_second: f64, sent: u32, issued: Option<u32>) -> Json {
    json!([{
        "upstream": "i-1", "service": "gallery", "per_second": per_second, "age_ms": age_ms,
        "issuer": "vm-2", "sent": sent, "issued": issued, "held_back": 7,
    }])
}

/// Guards against showing what one VM sent to a server as what all of them sent, or a limit that
/// was stated earlier.
#[test]
fn a_server_is_one_row_with_the_sum_of_all_vms_and_the_latest_limit() {
    let [issuer, other] = [
        fake_daemon(limit(900, 9.0, 8, Some(21))),
        fake_daemon(limit(40, 6.4, 12, None)),
    ];
    let [issuer, other] = [issuer, other].map(|address| address.to_string());

    let shown = run_cli(&[], &["limits", &issuer, &other]);
    let json = run_cli(&[], &["limits", "--json", &issuer, &other]);

    assert_eq!(shown.exit, Exit::Ok);
    let lines: Vec<&str> = shown.stdout.lines().collect();
    assert_eq!(lines.len(), 2, "{}", shown.stdout);
    let cells: Vec<&str> = lines[1].split_whitespace().collect();
    for wanted in ["i-1", "6.4", "20", "21", "14", "vm-2", "2"] {
        assert!(cells.contains(&wanted), "{wanted}: {}", lines[1]);
    }
    assert_eq!(stdout_json(&json)[0]["sent"], 20);
}
