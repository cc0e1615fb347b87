//! Validation of requests by the server, with the status of each rejection.

mod common;

use std::time::Duration;

use common::{echo, path_echo, start, start_with};
use heatherknot_http::{Flag, Limits};
use heatherknot_test_support::caller::{RawCaller, raw_exchange};
use heatherknot_test_support::runtime::block_on;

/// Sends each request on its own connection and checks that it is refused with `status` and the
/// outcome `not-run`, and that the connection is closed.
fn assert_refused(status: u16, requests: &[&str]) {
    block_on(async {
        let address = start(path_echo());
        for request in requests {
            // A second request follows each one and must not be answered.
            let bytes = format!("{request}GET /hidden HTTP/1.1\r\nhost: h\r\n\r\n");

            let answer = raw_exchange(address, bytes).await;

            let expected = format!("HTTP/1.1 {status} ");
            assert!(answer.starts_with(&expected), "{request:?} gave {answer:?}");
            assert_eq!(
                answer.matches("content-length:").count(),
                1,
                "{request:?} gave {answer:?}"
            );
            assert!(
                answer.contains("heatherknot-outcome: not-run\r\n"),
                "{answer:?}"
            );
            assert!(answer.contains("connection: close\r\n"), "{answer:?}");
        }
    });
}

// A second recipient may use another of the lengths, which hides a request in the body.
#[test]
fn conflicting_or_repeated_lengths_are_refused() {
    assert_refused(
        400,
        &[
            "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
            "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\nContent-Length: 3\r\n\r\nabc",
            "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 3, 3\r\n\r\nabc",
            "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: +3\r\n\r\nabc",
            "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: -3\r\n\r\nabc",
            "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 0x3\r\n\r\nabc",
            "POST / HTTP/1.1\r\nhost: h\r\ncontent-length:\r\n\r\nabc",
            "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 99999999999999999999\r\n\r\nabc",
        ],
    );
}

// Recipients disagree on whether the length or the coding defines the end of the body.
#[test]
fn length_with_a_transfer_coding_is_refused() {
    assert_refused(
        400,
        &[
            "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n0\r\n\r\n",
            "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        ],
    );
}

// A coding that only one of two recipients understands makes the end of the body ambiguous.
#[test]
fn other_transfer_codings_are_refused() {
    assert_refused(
        501,
        &[
            "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: identity\r\n\r\n",
            "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: xchunked\r\n\r\n0\r\n\r\n",
            "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: \"chunked\"\r\n\r\n0\r\n\r\n",
        ],
    );
}

// Recipients that accept bare line endings or folded lines split such a head differently.
#[test]
fn bare_line_endings_and_folded_lines_are_refused() {
    assert_refused(
        400,
        &[
            "GET / HTTP/1.1\nhost: h\n\n",
            "GET / HTTP/1.1\r\nhost: h\nx: y\r\n\r\n",
            "GET / HTTP/1.1\r\nhost: h\r\nx: a\rb\r\n\r\n",
            "GET / HTTP/1.1\r\nhost: h\r\nx: a\r\r\n\r\n",
            "GET / HTTP/1.1\r\nhost: h\r\nx: a\r\n b\r\n\r\n",
            "GET / HTTP/1.1\r\nhost: h\r\nx: a\r\n\tb\r\n\r\n",
            "GET / HTTP/1.1\r\n host: h\r\n\r\n",
            "\r\nGET / HTTP/1.1\r\nhost: h\r\n\r\n",
            "GET / HTTP/1.1\r\nhost: h\r\nx: a\0b\r\n\r\n",
        ],
    );
}

// A lenient recipient may take such a field for another, or find another target or host.
#[test]
fn malformed_lines_are_refused() {
    assert_refused(
        400,
        &[
            "GET / HTTP/1.1\r\nhost: h\r\ncontent-length : 3\r\n\r\nabc",
            "GET / HTTP/1.1\r\nhost: h\r\n: x\r\n\r\n",
            "POST / HTTP/1.1\r\nhost: h\r\ntransfer_encoding: chunked\r\n\r\n0\r\n\r\n",
            "POST / HTTP/1.1\r\nhost: h\r\nContent_Length: 3\r\n\r\nabc",
            "GET / HTTP/1.1\r\nhost: h\r\nHeatherknot_Service: a:b\r\n\r\n",
            "GET / HTTP/1.1\r\nhost: h\r\nidempotency_key: a\r\n\r\n",
            "GET / HTTP/1.1\r\nhost: h\r\nno colon\r\n\r\n",
            "GET  / HTTP/1.1\r\nhost: h\r\n\r\n",
            "GET / HTTP/1.1 \r\nhost: h\r\n\r\n",
            "GET /a b HTTP/1.1\r\nhost: h\r\n\r\n",
            "G(T / HTTP/1.1\r\nhost: h\r\n\r\n",
            "GET /\r\nhost: h\r\n\r\n",
            "GET / HTTP/1.1\r\n\r\n",
            "GET / HTTP/1.1\r\nhost: h\r\nhost: h\r\n\r\n",
            "GET / HTTP/1.1\r\nhost: a b\r\n\r\n",
            "GET / HTTP/1.1\r\nhost: h\r\nconnection: host\r\n\r\n",
            "GET / HTTP/1.1\r\nhost: h\r\nconnection: close, Heatherknot-Service\r\n\r\n",
        ],
    );
}

// Such a target could bypass rules for path prefixes or hosts.
#[test]
fn dot_segments_and_absolute_targets_are_refused() {
    assert_refused(
        400,
        &[
            "GET http://other/ HTTP/1.1\r\nhost: h\r\n\r\n",
            "GET * HTTP/1.1\r\nhost: h\r\n\r\n",
            "GET /a/../b HTTP/1.1\r\nhost: h\r\n\r\n",
            "GET /.. HTTP/1.1\r\nhost: h\r\n\r\n",
            "GET /./a HTTP/1.1\r\nhost: h\r\n\r\n",
            "GET /a/%2e%2E/b HTTP/1.1\r\nhost: h\r\n\r\n",
            "GET /a/.%2e/b HTTP/1.1\r\nhost: h\r\n\r\n",
            "GET /a%2f..%2Fb HTTP/1.1\r\nhost: h\r\n\r\n",
            "GET /a%5c..%5cb HTTP/1.1\r\nhost: h\r\n\r\n",
            "GET /a\\..\\b HTTP/1.1\r\nhost: h\r\n\r\n",
            "GET /a%00b HTTP/1.1\r\nhost: h\r\n\r\n",
            "GET /a%0d%0ab HTTP/1.1\r\nhost: h\r\n\r\n",
            "GET /a%zz HTTP/1.1\r\nhost: h\r\n\r\n",
            "GET /a#b HTTP/1.1\r\nhost: h\r\n\r\n",
        ],
    );
}

// Versions, methods and expectations that the server doesn't implement must not be forwarded.
#[test]
fn other_versions_methods_and_expectations_are_refused() {
    assert_refused(505, &["GET / HTTP/1.0\r\nhost: h\r\n\r\n"]);
    assert_refused(505, &["PRI / HTTP/2.0\r\n\r\n"]);
    assert_refused(501, &["CONNECT /a HTTP/1.1\r\nhost: h\r\n\r\n"]);
    assert_refused(501, &["TRACE /a HTTP/1.1\r\nhost: h\r\n\r\n"]);
    assert_refused(417, &["GET / HTTP/1.1\r\nhost: h\r\nexpect: pay\r\n\r\n"]);
}

// Without limits on the head, one caller could exhaust the memory of the server.
#[test]
fn heads_that_are_too_large_are_refused() {
    let long_value = "x".repeat(20_000);
    let many_fields = "x: y\r\n".repeat(91);
    assert_refused(
        431,
        &[
            &format!("GET / HTTP/1.1\r\nhost: h\r\nx: {long_value}\r\n\r\n"),
            &format!("GET /{long_value} HTTP/1.1\r\nhost: h\r\n\r\n"),
            &format!("GET / HTTP/1.1\r\n{many_fields}\r\n"),
            &long_value,
        ],
    );
}

// A body over the limit must be refused before any of it is read.
#[test]
fn declared_length_over_the_limit_is_refused() {
    let request = "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 99999999999\r\n\r\n";
    assert_refused(413, &[request]);
}

// The check for dot segments must not refuse dots within names.
#[test]
fn paths_with_dots_in_names_are_served() {
    block_on(async {
        let address = start(path_echo());
        for path in ["/a..b", "/...", "/a.html", "/.well-known/x", "/a%20b"] {
            let request = format!("GET {path} HTTP/1.1\r\nhost: h:80\r\nconnection: close\r\n\r\n");

            let answer = raw_exchange(address, request).await;

            assert!(answer.ends_with(&format!("\r\n\r\n{path}")), "{answer}");
        }
    });
}

/// Starts a server that echoes the body, or responds with the status of the error in it.
fn start_reader(limits: Limits) -> std::net::SocketAddr {
    let handler = std::rc::Rc::new(|req: heatherknot_http::Request| {
        Box::pin(async move {
            match req.body.collect(1 << 20).await {
                Ok(body) => heatherknot_http::Response::text(http::StatusCode::OK, body),
                Err(error) => heatherknot_http::Response::text(error.status(), error.to_string()),
            }
        }) as _
    });
    start_with(handler, limits, Flag::new()).0
}

// Without a declared length, the limit has to be enforced while the body is read.
#[test]
fn chunked_body_over_the_limit_is_refused() {
    block_on(async {
        let address = start_reader(Limits {
            max_body_bytes: 10,
            ..Limits::default()
        });
        let request = "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n\
            8\r\n01234567\r\n8\r\n01234567\r\n0\r\n\r\n";

        let answer = raw_exchange(address, request).await;

        assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    });
}

// A lenient parser could find another end of the body, and a hidden request after it.
#[test]
fn malformed_chunks_are_refused_and_the_connection_closed() {
    block_on(async {
        let address = start_reader(Limits::default());
        for body in [
            "2\nhi\r\n0\r\n\r\n",
            "2\r\nhi!0\r\n\r\n",
            "+2\r\nhi\r\n0\r\n\r\n",
            "0x2\r\nhi\r\n0\r\n\r\n",
            " 2\r\nhi\r\n0\r\n\r\n",
            "\r\nhi\r\n0\r\n\r\n",
            "2;a=\rb\r\nhi\r\n0\r\n\r\n",
            "ffffffffffffffffffff\r\nhi\r\n",
            "2\r\nhi\r\n0\r\nx: y\n\r\n",
        ] {
            let head = "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
            let hidden = "GET /hidden HTTP/1.1\r\nhost: h\r\n\r\n";

            let answer = raw_exchange(address, format!("{head}{body}{hidden}")).await;

            assert!(
                answer.starts_with("HTTP/1.1 400 "),
                "{body:?} gave {answer}"
            );
            assert_eq!(
                answer.matches("content-length:").count(),
                1,
                "{body:?} gave {answer}"
            );
        }
    });
}

// Extensions and trailers must neither fail a request nor reach the handler.
#[test]
fn chunk_extensions_and_trailers_are_dropped() {
    block_on(async {
        let address = start(echo());
        let request = "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: Chunked\r\n\
            connection: close\r\n\r\n2;a=b\r\nhi\r\n0\r\nx-trailer: y\r\n\r\n";

        let answer = raw_exchange(address, request).await;

        assert!(answer.ends_with("\r\n\r\n2\r\nhi\r\n0\r\n\r\n"), "{answer}");
        assert!(!answer.contains("x-trailer"), "{answer}");
    });
}

// Guards against slow-request attacks: callers that send single bytes could hold connections open
// until the connection limit is used up. The head has to arrive within its timeout, and a body has
// to keep a minimum rate.
#[test]
fn slow_head_times_out() {
    block_on(async {
        let limits = Limits {
            head_timeout: Duration::from_millis(30),
            ..Limits::default()
        };
        let (address, _) = start_with(echo(), limits, Flag::new());
        let mut caller = RawCaller::connect(address).await.unwrap();

        caller
            .send("GET / HTTP/1.1\r\nhost: h\r\nx: ")
            .await
            .unwrap();

        let answer = caller.read_to_end().await;
        assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
        assert!(answer.contains("heatherknot-outcome: not-run"), "{answer}");
    });
}

// A body that stops must not hold its connection open.
#[test]
fn stalled_body_times_out() {
    block_on(async {
        let address = start_reader(Limits {
            body_timeout: Duration::from_millis(30),
            ..Limits::default()
        });
        let mut caller = RawCaller::connect(address).await.unwrap();
        let request = "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 100\r\n\r\nabc";

        caller.send(request).await.unwrap();

        let answer = caller.read_to_end().await;
        assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
    });
}

// Each byte arrives within the read timeout, so only the minimum rate ends this body.
#[test]
fn body_below_the_minimum_rate_times_out() {
    block_on(async {
        let address = start_reader(Limits {
            body_timeout: Duration::from_millis(200),
            min_body_rate: 1_000_000,
            ..Limits::default()
        });
        let mut caller = RawCaller::connect(address).await.unwrap();
        let request = "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 1000000\r\n\r\n";
        caller.send(request).await.unwrap();

        // Sending fails once the server has closed the connection.
        while caller.send("x").await.is_ok() {
            monoio::time::sleep(Duration::from_millis(10)).await;
        }

        let answer = caller.read_to_end().await;
        assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 408 "),
            "{answer}"
        );
    });
}
