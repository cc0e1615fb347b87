//! `heatherknot accounts` against daemons' metrics addresses.

mod support;

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use heatherknot_cli::exit::Exit;
use heatherknot_http::{Flag, Limits, Response, serve};
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
            let handler = Rc::new(move |req: heatherknot_http::Request| {
                let response = match req.head.path() {
                    "/accounts" => Response::json(StatusCode::OK, page.to_string()),
                    _ => Response::text(StatusCode::NOT_FOUND, ""),
                };
                Box::pin(std::future::ready(response)) as _
            });
            serve(listener, handler, Limits::default(), Flag::new()).await;
        });
    });
    address
}

fn account(name: &str, asked: Option<f64>, part: Option<f64>) -> Json {
    json!({
        "account": name, "per_second": 25.0, "burst": 25.0, "home_regions": ["south"],
        "asked": asked, "level": asked.map(|_| -3.5), "part": part,
        "age_ms": part.map(|_| 120),
    })
}

/// Guards against showing a VM's partial status although the head of its failure domain reports
/// the account's whole demand.
#[test]
fn the_status_with_the_accounts_demand_is_preferred() {
    let leaf = daemon(json!([account("north", None, Some(1.0))])).to_string();
    let head = daemon(json!([account("north", Some(61.0), Some(0.4))])).to_string();

    let shown = run_cli(&[], &["accounts", &leaf, &head]);
    let json = run_cli(&[], &["accounts", "--json", &leaf, &head]);

    assert_eq!(shown.exit, Exit::Ok);
    let line = shown
        .stdout
        .lines()
        .find(|line| line.starts_with("north"))
        .unwrap();
    let cells: Vec<&str> = line.split_whitespace().collect();
    assert_eq!(cells[..6], ["north", "25.0", "25.0", "61.0", "-3.5", "40%"]);
    assert_eq!(cells.last(), Some(&head.as_str()));
    assert_eq!(stdout_json(&json)[0]["asked"], 61.0);
}

/// Guards against a wrong percentage for a daemon without reports from others.
#[test]
fn an_account_without_a_part_is_shown_with_own_share() {
    let alone = daemon(json!([account("north", None, None)])).to_string();

    let shown = run_cli(&[], &["accounts", &alone]);

    assert!(shown.stdout.contains("own share"));
}

/// Guards against hiding the daemons that failed, and against failing because of one of several.
#[test]
fn unreachable_daemons_are_named_on_stderr() {
    let free = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let head = daemon(json!([account("north", Some(1.0), Some(1.0))]));

    let some = run_cli(&[], &["accounts", &free.to_string(), &head.to_string()]);
    let none = run_cli(&[], &["accounts", &free.to_string()]);
    let wrong = run_cli(&[], &["accounts", "localhost"]);

    assert_eq!(some.exit, Exit::Ok);
    assert!(some.stderr.contains(&free.to_string()));
    assert_ne!(none.exit, Exit::Ok);
    assert!(none.stderr.contains(&free.to_string()));
    assert!(
        wrong
            .stderr
            .contains("found `localhost`, expected one such as")
    );
}
