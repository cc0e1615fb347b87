//! Concurrent handling of pipelined requests.

mod common;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use common::{start_with, until};
use futures_util::FutureExt;
use heatherknot_http::{AheadRule, Body, Flag, Handler, Limits, Response};
use heatherknot_test_support::caller::RawCaller;
use heatherknot_test_support::runtime::block_on;
use http::{Method, StatusCode};

const MAX_CONCURRENT: usize = 4;

/// Requests that the handler has started, and the event that releases slow ones.
#[derive(Default)]
struct HandlerState {
    started: RefCell<Vec<String>>,
    cancelled: Cell<u32>,
    release: Flag,
}

impl HandlerState {
    fn started(&self) -> usize {
        self.started.borrow().len()
    }
}

/// Creates a handler that responds with the path. `/slow` waits until it is released, and the body
/// of the response to `/broken` is truncated.
fn handler(state: &Rc<HandlerState>) -> Handler {
    let state = Rc::clone(state);
    Rc::new(move |req| {
        let state = Rc::clone(&state);
        async move {
            let path = req.head.path().to_owned();
            state.started.borrow_mut().push(path.clone());
            if path.starts_with("/slow") {
                let released = std::pin::pin!(state.release.wait());
                let cancelled = std::pin::pin!(req.cancelled.wait());
                let either = futures_util::future::select(released, cancelled).await;
                if matches!(either, futures_util::future::Either::Right(_)) {
                    state.cancelled.set(state.cancelled.get() + 1);
                }
            }
            if path == "/broken" {
                let (sender, body) = Body::channel_with_len(Some(10));
                drop(sender);
                return Response::new(StatusCode::OK, body);
            }
            let _ = req.body.collect(1 << 20).await;
            Response::text(StatusCode::OK, path)
        }
        .boxed_local()
    })
}

fn limits() -> Limits {
    Limits {
        ahead: Some(AheadRule {
            most: MAX_CONCURRENT,
            is_allowed: Rc::new(|head| head.method == Method::GET),
        }),
        ..Limits::default()
    }
}

/// Starts a server and connects a caller to it.
async fn connect_caller(state: &Rc<HandlerState>) -> RawCaller {
    let (address, _server) = start_with(handler(state), limits(), Flag::new());
    RawCaller::connect(address).await.expect("a connection")
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\n\r\n")
}

/// Returns the bodies of the responses in the order received.
fn bodies(answers: &str) -> Vec<&str> {
    let parts = answers.split("HTTP/1.1 200 OK\r\n").skip(1);
    parts
        .filter_map(|part| Some(part.split_once("\r\n\r\n")?.1))
        .collect()
}

// Guards against head-of-line blocking: short requests after a slow one must not wait for it to
// finish. Their responses must still be in order, or each would be taken for that of another.
#[test]
fn pipelined_requests_are_handled_concurrently_and_answered_in_order() {
    block_on(async {
        let state = Rc::new(HandlerState::default());
        let mut caller = connect_caller(&state).await;
        caller.send(get("/slow")).await.expect("a sent request");
        until(|| state.started() == 1).await;
        caller
            .send(["/a", "/b", "/c"].map(get).concat())
            .await
            .expect("a sent request");
        until(|| state.started() == 4).await;

        state.release.fire();

        let answers = caller.read_until("/c").await.expect("all answers");
        assert_eq!(bodies(&answers), ["/slow", "/a", "/b", "/c"]);
    });
}

// Each request in flight uses memory and a server. If a caller floods its connection, only a
// limited number is handled at once; the others stay unread.
#[test]
fn concurrent_pipelined_requests_are_limited() {
    block_on(async {
        let state = Rc::new(HandlerState::default());
        let mut caller = connect_caller(&state).await;
        let flood: String = (0..300).map(|n| get(&format!("/slow/{n}"))).collect();
        caller.send(flood).await.expect("a sent request");

        until(|| state.started() == MAX_CONCURRENT + 1).await;
        monoio::time::sleep(Duration::from_millis(30)).await;

        assert_eq!(
            state.started(),
            MAX_CONCURRENT + 1,
            "the first request and the concurrent ones"
        );
        state.release.fire();
        let answers = caller.read_until("/slow/299").await.expect("all answers");
        assert_eq!(bodies(&answers).len(), 300);
    });
}

// If an earlier response is truncated, the connection closes, and the caller sends the requests
// after it again, assuming that they were not read. An at-most-once request would run twice.
#[test]
fn at_most_once_request_waits_for_earlier_responses() {
    block_on(async {
        let state = Rc::new(HandlerState::default());
        let mut caller = connect_caller(&state).await;
        let order = "POST /order HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\nabc";
        let sent = [&get("/slow"), &get("/a"), order, &get("/b")].concat();
        caller.send(sent).await.expect("a sent request");
        until(|| state.started() == 2).await;
        monoio::time::sleep(Duration::from_millis(10)).await;
        assert_eq!(state.started(), 2);

        state.release.fire();

        let answers = caller.read_until("/b").await.expect("all answers");
        assert_eq!(bodies(&answers), ["/slow", "/a", "/order", "/b"]);
    });
}

// A truncated response closes its connection. Later requests on it can't be answered, so their
// handlers have to be cancelled.
#[test]
fn truncated_response_cancels_later_requests() {
    block_on(async {
        let state = Rc::new(HandlerState::default());
        let mut caller = connect_caller(&state).await;
        caller
            .send(["/broken", "/slow/1", "/slow/2"].map(get).concat())
            .await
            .expect("a sent request");

        let answers = caller.read_to_end().await;

        assert_eq!(answers.matches("HTTP/1.1").count(), 1);
        until(|| state.cancelled.get() as usize + 1 == state.started()).await;
    });
}

// A caller sends requests that follow `connection: close` again on another connection. Handling
// them here would run them twice.
#[test]
fn requests_after_connection_close_are_not_handled() {
    block_on(async {
        let state = Rc::new(HandlerState::default());
        let mut caller = connect_caller(&state).await;
        let last = "GET /last HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
        let sent = [&get("/slow"), last, &get("/never")].concat();
        caller.send(sent).await.expect("a sent request");
        until(|| state.started() == 2).await;

        state.release.fire();

        let answers = caller.read_to_end().await;
        assert_eq!(bodies(&answers), ["/slow", "/last"]);
        assert_eq!(state.started(), 2);
    });
}

// Requests of a caller that has disconnected would occupy servers that others need.
#[test]
fn disconnection_cancels_all_requests_in_flight() {
    block_on(async {
        let state = Rc::new(HandlerState::default());
        let mut caller = connect_caller(&state).await;
        caller
            .send(["/slow/1", "/slow/2", "/slow/3"].map(get).concat())
            .await
            .expect("a sent request");
        until(|| state.started() == 3).await;

        drop(caller);

        until(|| state.cancelled.get() == 3).await;
    });
}

// If a shutdown closed the connection after the first response, the responses to pipelined
// requests that are already running would be lost.
#[test]
fn shutdown_completes_pipelined_requests_in_flight() {
    block_on(async {
        let state = Rc::new(HandlerState::default());
        let stop = Flag::new();
        let (address, server) = start_with(handler(&state), limits(), stop.clone());
        let mut caller = RawCaller::connect(address).await.expect("a connection");
        caller
            .send(["/slow/1", "/slow/2", "/slow/3"].map(get).concat())
            .await
            .expect("a sent request");
        until(|| state.started() == 3).await;

        stop.fire();
        state.release.fire();

        let answers = caller.read_to_end().await;
        assert_eq!(bodies(&answers), ["/slow/1", "/slow/2", "/slow/3"]);
        assert_eq!(answers.matches("connection: close").count(), 1);
        drop(caller);
        server.await;
    });
}

// A malformed request after valid ones must not lose their responses: they are sent first, then
// the error response, and the connection closes.
#[test]
fn error_response_is_sent_in_order() {
    block_on(async {
        let state = Rc::new(HandlerState::default());
        let mut caller = connect_caller(&state).await;
        let sent = [&get("/slow"), &get("/a"), "NO REQUEST\r\n\r\n", &get("/b")].concat();
        caller.send(sent).await.expect("a sent request");
        until(|| state.started() == 2).await;

        state.release.fire();

        let answers = caller.read_to_end().await;
        let statuses: Vec<&str> = answers.matches("HTTP/1.1 ").collect();
        assert_eq!(statuses.len(), 3);
        let at = |part: &str| answers.find(part).expect("a response");
        assert!(at("/slow") < at("/a") && at("/a") < at("HTTP/1.1 400"));
    });
}
