//! A pass-through proxy of a server and a pool.

mod common;

use common::{echo, path_echo, pool, proxy, start};
use heatherknot_http::{Body, RequestHead, SendOptions};
use heatherknot_test_support::backend::{Behavior, FakeBackend};
use heatherknot_test_support::caller::{RawCaller, raw_exchange};
use heatherknot_test_support::runtime::block_on;
use http::{Method, StatusCode, Uri};

// Method, path and body have to survive the proxy, and one connection serves all requests.
#[test]
fn request_and_response_are_proxied() {
    block_on(async {
        let proxy = start(proxy(pool(start(echo()))));
        let pool = pool(proxy);
        for n in 0..3 {
            let head = RequestHead::new(Method::POST, Uri::from_static("/echo?x=1"));
            let body = Body::full(format!("body {n}"));

            let response = pool.send(head, body, SendOptions::default()).await;

            let response = response.expect("a response");
            assert_eq!(response.status, StatusCode::OK);
            assert_eq!(response.body.known_len(), Some(6));
            let body = response.body.collect(100).await.unwrap();
            assert_eq!(body, format!("body {n}"));
        }
        assert_eq!(pool.open(), 1);
    });
}

// A body of unknown length has to be forwarded without being buffered to learn its length.
#[test]
fn streamed_body_of_unknown_length_stays_chunked() {
    block_on(async {
        let proxy = start(proxy(pool(start(echo()))));
        let (mut sender, body) = Body::channel();
        monoio::spawn(async move {
            for _ in 0..50 {
                sender.send(vec![b'x'; 10_000].into()).await.unwrap();
            }
            sender.finish();
        });
        let head = RequestHead::new(Method::POST, Uri::from_static("/"));

        let response = pool(proxy).send(head, body, SendOptions::default()).await;

        // The echo server starts its response before it has read the request, so both bodies
        // are in transit at the same time.
        let body = response.unwrap().body;
        assert_eq!(body.known_len(), None);
        assert_eq!(body.collect(1 << 20).await.unwrap().len(), 500_000);
    });
}

// Responses out of order would be taken for those to other requests.
#[test]
fn pipelined_requests_are_answered_in_order() {
    block_on(async {
        let address = start(path_echo());
        let mut caller = RawCaller::connect(address).await.unwrap();
        let requests: String = (0..20)
            .map(|n| format!("GET /{n:02} HTTP/1.1\r\nhost: h\r\n\r\n"))
            .collect();

        caller.send(requests).await.unwrap();

        for n in 0..20 {
            let answer = caller
                .read_until(&format!("\r\n\r\n/{n:02}"))
                .await
                .unwrap();
            assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
        }
    });
}

// The next request must be read from the exact end of the body before it.
#[test]
fn pipelined_request_after_a_body_is_answered() {
    block_on(async {
        let address = start(path_echo());
        let requests = "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\nhello\
            POST /b HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n\
            GET /c HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";

        let answer = raw_exchange(address, requests).await;

        let bodies: Vec<&str> = answer.split("\r\n\r\n").skip(1).map(|s| &s[..2]).collect();
        assert_eq!(bodies, ["/a", "/b", "/c"], "{answer}");
    });
}

// A `HEAD` response states a length without a body; waiting for that body would hang.
#[test]
fn head_response_keeps_its_length_and_connection() {
    block_on(async {
        let backend = FakeBackend::start(Behavior {
            body_len: 1000,
            ..Behavior::default()
        });
        let address = start(proxy(pool(backend.address())));
        let requests = "HEAD /a HTTP/1.1\r\nhost: h\r\n\r\n\
            GET /b HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";

        let answer = raw_exchange(address, requests).await;

        let heads: Vec<&str> = answer.split("\r\n\r\n").collect();
        assert!(heads[0].contains("content-length: 1000"), "{answer}");
        assert!(heads[1].starts_with("HTTP/1.1 200 OK"), "{answer}");
        assert_eq!(heads[2].len(), 1000);
        assert_eq!(backend.accepted(), 1);
    });
}

// A caller that sends `expect: 100-continue` would otherwise wait before sending its body.
#[test]
fn expect_100_continue_gets_an_interim_response() {
    block_on(async {
        let address = start(echo());
        let mut caller = RawCaller::connect(address).await.unwrap();
        let head =
            "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\nexpect: 100-continue\r\n\r\n";

        caller.send(head).await.unwrap();

        let interim = caller.read_until("\r\n\r\n").await.unwrap();
        assert_eq!(interim, "HTTP/1.1 100 Continue\r\n\r\n");
        caller.send("hi").await.unwrap();
        let answer = caller.read_until("\r\n\r\nhi").await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    });
}

// Callers must not set Heatherknot's internal fields, and hop-by-hop fields must not be forwarded.
#[test]
fn hop_by_hop_and_internal_fields_are_removed_by_the_server() {
    block_on(async {
        let handler = std::rc::Rc::new(|req: heatherknot_http::Request| {
            let mut names: Vec<_> = req.head.headers.keys().map(|n| n.to_string()).collect();
            names.sort();
            let text = names.join(" ");
            let response = heatherknot_http::Response::text(StatusCode::OK, text)
                .with_header(http::header::UPGRADE, http::HeaderValue::from_static("x"));
            Box::pin(async move { response }) as _
        });
        let address = start(handler);
        let request = "GET / HTTP/1.1\r\nhost: h\r\nx-kept: 1\r\nx-listed: 1\r\n\
            connection: close, X-Listed\r\nkeep-alive: 1\r\nte: trailers\r\nupgrade: h2c\r\n\
            proxy-connection: x\r\nproxy-authorization: x\r\ntrailer: x\r\n\
            heatherknot-outcome: answered\r\nheatherknot-service: a:b\r\n\r\n";

        let answer = raw_exchange(address, request).await;

        assert!(
            answer.ends_with("\r\n\r\nheatherknot-service host x-kept"),
            "{answer}"
        );
        assert!(!answer.contains("upgrade"), "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
    });
}
