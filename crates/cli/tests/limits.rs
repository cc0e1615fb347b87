//! `heatherknot limits` against daemons' metrics addresses.

mod support;

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use heatherknot_cli::exit::Exit;
use heatherknot_http::{Flag, Limits, Request, Response, serve};
use heatherknot_test_support::runtime::block_on;
use http::StatusCode;
use serde_json::{Value as Json, json};
use support::{run_cli, stdout_json};

/// Starts a fake metrics address of a daemon that runs until the test process ends.
fn daemon(page: Json) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    listener.set_nonblocking(true).unwrap();
    std::thread::spawn(move || {
        block_on(async move {
            let listener = monoio::net::TcpListener::from_std(listener).unwrap();
            let handler = Rc::new(move |_: Request| {
                let page = page.to_string();
                Box::pin(async move { Response::json(StatusCode::OK, page) }) as _
            });
            serve(listener, handler, Limits::default(), Flag::new()).await;
        });
    });
    address
}

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
        daemon(limit(900, 9.0, 8, Some(21))),
        daemon(limit(40, 6.4, 12, None)),
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
