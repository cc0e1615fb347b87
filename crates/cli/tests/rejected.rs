//! `heatherknot rejected` and `heatherknot release` against daemons' metrics addresses.

mod support;

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::{Arc, Mutex};

use heatherknot_cli::exit::Exit;
use heatherknot_http::{Flag, Limits, Request, Response, serve};
use heatherknot_test_support::runtime::block_on;
use http::StatusCode;
use serde_json::{Value as Json, json};
use support::{run_cli, stdout_json};

const FINGERPRINT: &str = "00112233445566778899aabbccddeeff";

/// The requests that a daemon received: path, `authorization` header and body.
type ReceivedRequests = Arc<Mutex<Vec<(String, String, String)>>>;

/// Starts a fake metrics address of a daemon that runs until the test process ends.
fn daemon(page: Json) -> (SocketAddr, ReceivedRequests) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    listener.set_nonblocking(true).unwrap();
    let received = ReceivedRequests::default();
    let recorder = Arc::clone(&received);
    std::thread::spawn(move || {
        block_on(async move {
            let listener = monoio::net::TcpListener::from_std(listener).unwrap();
            let handler = Rc::new(move |req: Request| {
                let (page, recorder) = (page.to_string(), Arc::clone(&recorder));
                let path = req.head.path().to_owned();
                let authorization = req.head.headers.get("authorization");
                let authorization = authorization.map_or("", |v| v.to_str().unwrap()).to_owned();
                Box::pin(async move {
                    let body = req.body.collect(1 << 16).await.unwrap();
                    let body = String::from_utf8(body.to_vec()).unwrap();
                    recorder.lock().unwrap().push((path, authorization, body));
                    Response::json(StatusCode::OK, page)
                }) as _
            });
            serve(listener, handler, Limits::default(), Flag::new()).await;
        });
    });
    (address, received)
}

fn suspect(is_rejected: bool) -> Json {
    json!({
        "fingerprint": FINGERPRINT, "is_rejected": is_rejected, "route": "r-1",
        "account": "north", "ends": 3, "changed_ms_ago": 4_000, "written_s": 1_000,
        "written_by": "vm-2", "until_s": 87_400,
    })
}

/// Guards against listing a request once for each daemon that reports it.
#[test]
fn a_request_reported_by_several_daemons_is_one_row() {
    let daemons = [
        daemon(json!([suspect(true)])),
        daemon(json!([suspect(true)])),
    ];
    let [one, other] = daemons.map(|(address, _)| address.to_string());

    let shown = run_cli(&[], &["rejected", &one, &other]);
    let json = run_cli(&[], &["rejected", "--json", &one, &other]);

    assert_eq!(shown.exit, Exit::Ok);
    let line = shown
        .stdout
        .lines()
        .find(|line| line.starts_with(FINGERPRINT));
    let cells: Vec<&str> = line.unwrap().split_whitespace().collect();
    assert_eq!(cells[1..5], ["rejected", "r-1", "north", "3"]);
    assert_eq!(cells.last(), Some(&"2"));
    assert_eq!(
        stdout_json(&json)[0]["daemons"].as_array().unwrap().len(),
        2
    );
}

/// Guards against sending the deployment's secret instead of a token, and against a dry run that
/// releases.
#[test]
fn a_release_names_the_operator_and_never_shows_the_secret() {
    let (address, received) = daemon(json!([suspect(true)]));
    let address = address.to_string();

    let released = run_cli(&[], &["release", "route=r-1", &address, "--holder", "olga"]);
    let tried = run_cli(&[], &["release", FINGERPRINT, &address, "--dry-run"]);

    assert_eq!(released.exit, Exit::Ok);
    assert!(released.stdout.starts_with("1 released"));
    assert!(tried.stdout.starts_with("1 would be released"));
    let received = received.lock().unwrap();
    let (path, authorization, body) = &received[0];
    let body: Json = serde_json::from_str(body).unwrap();
    assert_eq!(path, "/rejected/release");
    assert!(authorization.starts_with("Bearer ") && !authorization.contains("secret"));
    assert_eq!(body["which"]["route"], "r-1");
    assert_eq!(body["operator"], "olga");
    assert!(received[1].2.contains("\"dry_run\":true"));
}

/// Guards against sending an invalid fingerprint to daemons.
#[test]
fn an_invalid_fingerprint_is_a_usage_error() {
    let output = run_cli(&[], &["release", "abc", "127.0.0.1:9"]);

    assert_eq!(output.exit, Exit::Usage);
    assert!(output.stderr.contains("'abc' is not a valid fingerprint"));
}
