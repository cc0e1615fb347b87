//! Graceful shutdown, connection limits and callers that stop reading.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use common::{path_echo, proxy, start_with, until};
use heatherknot_http::{Body, Flag, Handler, Limits, Response};
use heatherknot_test_support::backend::{Behavior, FakeBackend};
use heatherknot_test_support::caller::{RawCaller, raw_exchange};
use heatherknot_test_support::runtime::block_on;
use http::StatusCode;

const GET: &str = "GET /x HTTP/1.1\r\nhost: h\r\n\r\n";
const CLOSING: &str = "GET /x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";

// A shutdown must not abort a running request: the caller gets the complete response, with
// `connection: close`, so that it sends its next request on another connection.
#[test]
fn shutdown_completes_requests_in_flight() {
    block_on(async {
        let backend = FakeBackend::start(Behavior {
            response_time: Duration::from_millis(30),
            body_len: 1000,
            ..Behavior::default()
        });
        let stop = Flag::new();
        let handler = proxy(common::pool(backend.address()));
        let (address, server) = start_with(handler, Limits::default(), stop.clone());
        let mut caller = RawCaller::connect(address).await.unwrap();
        caller.send(GET).await.unwrap();
        until(|| backend.running() == 1).await;

        stop.fire();

        let answer = caller.read_to_end().await;
        let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
        assert!(head.contains("connection: close"), "{head}");
        assert_eq!(body.len(), 1000);
        drop(caller);
        server.await;
        assert!(RawCaller::connect(address).await.is_err());
    });
}

// If a shutdown closed idle connections immediately, a request that a caller sends on one at that
// moment would be lost without a response.
#[test]
fn request_on_an_idle_connection_during_shutdown_is_answered() {
    block_on(async {
        let stop = Flag::new();
        let (address, server) = start_with(path_echo(), Limits::default(), stop.clone());
        let mut caller = RawCaller::connect(address).await.unwrap();
        caller.send(GET).await.unwrap();
        caller.read_until("\r\n\r\n/x").await.unwrap();

        stop.fire();
        monoio::time::sleep(Duration::from_millis(5)).await;
        caller.send(GET).await.unwrap();

        let answer = caller.read_until("\r\n\r\n/x").await.unwrap();
        assert!(answer.contains("connection: close"), "{answer}");
        drop(caller);
        server.await;
    });
}

// A handler that hangs must not keep the server from stopping.
#[test]
fn shutdown_ends_after_the_grace_period_if_a_request_hangs() {
    block_on(async {
        let stop = Flag::new();
        let started = Rc::new(Cell::new(false));
        let seen = Rc::clone(&started);
        let handler: Handler = Rc::new(move |_| {
            seen.set(true);
            Box::pin(std::future::pending())
        });
        let limits = Limits {
            stop_grace: Duration::from_millis(20),
            ..Limits::default()
        };
        let (address, server) = start_with(handler, limits, stop.clone());
        let mut caller = RawCaller::connect(address).await.unwrap();
        caller.send(GET).await.unwrap();
        until(|| started.get()).await;

        stop.fire();

        server.await;
        assert_eq!(caller.read_to_end().await, "");
    });
}

// A rejected caller needs a response at once, from which it knows that its request did not run.
#[test]
fn connection_beyond_the_limit_gets_503() {
    block_on(async {
        let limits = Limits {
            max_connections: 2,
            idle_grace: Duration::from_secs(60),
            ..Limits::default()
        };
        let (address, _) = start_with(path_echo(), limits, Flag::new());
        let mut first = RawCaller::connect(address).await.unwrap();
        let second = RawCaller::connect(address).await.unwrap();

        let refused = raw_exchange(address, GET).await;

        assert!(refused.starts_with("HTTP/1.1 503 "), "{refused}");
        assert!(
            refused.contains("heatherknot-outcome: not-run"),
            "{refused}"
        );
        assert!(refused.contains("retry-after: 1"), "{refused}");
        first.send(GET).await.unwrap();
        first.read_until("\r\n\r\n/x").await.unwrap();
        drop(second);
        while !raw_exchange(address, CLOSING).await.ends_with("/x") {}
    });
}

// A caller that stops reading a large response would hold the server's buffers and the connection
// to the backend server indefinitely without the write timeout.
#[test]
fn caller_that_stops_reading_is_disconnected() {
    block_on(async {
        let reader_gone = Flag::new();
        let seen = reader_gone.clone();
        let handler: Handler = Rc::new(move |_| {
            let seen = seen.clone();
            Box::pin(async move {
                let (mut sender, body) = Body::channel();
                monoio::spawn(async move {
                    while sender.send(vec![0; 64 * 1024].into()).await.is_ok() {}
                    seen.fire();
                });
                Response::new(StatusCode::OK, body)
            })
        });
        let limits = Limits {
            write_timeout: Duration::from_millis(50),
            ..Limits::default()
        };
        let (address, _) = start_with(handler, limits, Flag::new());
        let mut caller = RawCaller::connect(address).await.unwrap();

        caller.send(GET).await.unwrap();

        reader_gone.wait().await;
    });
}

// Callers of one client account could open all allowed connections and send nothing, so that all
// others are rejected until those time out. So the connection that has been idle longest is closed
// for a new one.
#[test]
fn longest_idle_connection_is_closed_for_a_new_one() {
    block_on(async {
        let started = Flag::new();
        let finish = Flag::new();
        let (seen, until) = (started.clone(), finish.clone());
        let handler: Handler = Rc::new(move |req| {
            let (seen, until) = (seen.clone(), until.clone());
            Box::pin(async move {
                if req.head.path() == "/slow" {
                    seen.fire();
                    until.wait().await;
                }
                Response::text(StatusCode::OK, "done")
            })
        });
        let limits = Limits {
            max_connections: 2,
            idle_grace: Duration::ZERO,
            ..Limits::default()
        };
        let (address, _) = start_with(handler, limits, Flag::new());
        let mut idle = RawCaller::connect(address).await.unwrap();
        idle.send(GET).await.unwrap();
        idle.read_until("done").await.unwrap();
        let mut busy = RawCaller::connect(address).await.unwrap();
        busy.send(GET.replace("/x", "/slow")).await.unwrap();
        started.wait().await;

        // The first attempts may precede the moment at which the server marks the connection idle.
        while !raw_exchange(address, CLOSING).await.ends_with("done") {}

        assert_eq!(idle.read_to_end().await, "");
        finish.fire();
        busy.read_until("done").await.unwrap();
    });
}
