//! Requests that a caller sends before it has the answer to the one before them.

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

const MOST: usize = 4;

/// What the handler has seen, and what lets it go on.
#[derive(Default)]
struct Seen {
    begun: RefCell<Vec<String>>,
    cancelled: Cell<u32>,
    release: Flag,
}

impl Seen {
    fn begun(&self) -> usize {
        self.begun.borrow().len()
    }
}

/// Creates a handler that answers with the path; `/slow` waits until it is released, and `/broken`
/// ends within its answer.
fn handler(seen: &Rc<Seen>) -> Handler {
    let seen = Rc::clone(seen);
    Rc::new(move |req| {
        let seen = Rc::clone(&seen);
        async move {
            let path = req.head.path().to_owned();
            seen.begun.borrow_mut().push(path.clone());
            if path.starts_with("/slow") {
                let released = std::pin::pin!(seen.release.wait());
                let cancelled = std::pin::pin!(req.cancelled.wait());
                let either = futures_util::future::select(released, cancelled).await;
                if matches!(either, futures_util::future::Either::Right(_)) {
                    seen.cancelled.set(seen.cancelled.get() + 1);
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
            most: MOST,
            is_allowed: Rc::new(|head| head.method == Method::GET),
        }),
        ..Limits::default()
    }
}

/// Starts a server and connects a caller to it.
async fn connected(seen: &Rc<Seen>) -> RawCaller {
    let (address, _server) = start_with(handler(seen), limits(), Flag::new());
    RawCaller::connect(address).await.expect("a connection")
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\n\r\n")
}

/// Returns the bodies of the answers in the order in which they came.
fn bodies(answers: &str) -> Vec<&str> {
    let parts = answers.split("HTTP/1.1 200 OK\r\n").skip(1);
    parts
        .filter_map(|part| Some(part.split_once("\r\n\r\n")?.1))
        .collect()
}

// A caller sends three short requests behind a slow one. Served one after the other each would
// take as long as the slow one; answered as they are done, each would be taken for another's.
#[test]
fn requests_behind_a_slow_one_are_handled_beside_it_and_answered_in_order() {
    block_on(async {
        let seen = Rc::new(Seen::default());
        let mut caller = connected(&seen).await;
        caller.send(get("/slow")).await.expect("sent");
        until(|| seen.begun() == 1).await;
        caller
            .send(["/a", "/b", "/c"].map(get).concat())
            .await
            .expect("sent");
        until(|| seen.begun() == 4).await;

        seen.release.fire();

        let answers = caller.read_until("/c").await.expect("all answers");
        assert_eq!(bodies(&answers), ["/slow", "/a", "/b", "/c"]);
    });
}

// A caller floods its connection. Each request that is handled holds memory and a server, so only
// so many are at once; the others wait unread.
#[test]
fn a_flood_is_handled_a_few_requests_at_a_time() {
    block_on(async {
        let seen = Rc::new(Seen::default());
        let mut caller = connected(&seen).await;
        let flood: String = (0..300).map(|n| get(&format!("/slow/{n}"))).collect();
        caller.send(flood).await.expect("sent");

        until(|| seen.begun() == MOST + 1).await;
        monoio::time::sleep(Duration::from_millis(30)).await;

        assert_eq!(seen.begun(), MOST + 1, "the first one and those beside it");
        seen.release.fire();
        let answers = caller.read_until("/slow/299").await.expect("all answers");
        assert_eq!(bodies(&answers).len(), 300);
    });
}

// A request that may run once stands behind one whose answer breaks off. The caller takes what
// is behind a closed connection for unread and sends it again: it would run twice.
#[test]
fn what_may_run_once_waits_for_the_answers_before_it() {
    block_on(async {
        let seen = Rc::new(Seen::default());
        let mut caller = connected(&seen).await;
        let order = "POST /order HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\nabc";
        let sent = [&get("/slow"), &get("/a"), order, &get("/b")].concat();
        caller.send(sent).await.expect("sent");
        until(|| seen.begun() == 2).await;
        monoio::time::sleep(Duration::from_millis(10)).await;
        assert_eq!(seen.begun(), 2);

        seen.release.fire();

        let answers = caller.read_until("/b").await.expect("all answers");
        assert_eq!(bodies(&answers), ["/slow", "/a", "/order", "/b"]);
    });
}

// An answer breaks off, and its connection closes. What stands behind it gets no answer, and
// its work is given up: nobody would read it.
#[test]
fn behind_an_answer_that_breaks_off_all_is_given_up() {
    block_on(async {
        let seen = Rc::new(Seen::default());
        let mut caller = connected(&seen).await;
        caller
            .send(["/broken", "/slow/1", "/slow/2"].map(get).concat())
            .await
            .expect("sent");

        let answers = caller.read_to_end().await;

        assert_eq!(answers.matches("HTTP/1.1").count(), 1);
        until(|| seen.cancelled.get() as usize + 1 == seen.begun()).await;
    });
}

// A caller asks for its connection to close and sends more behind it. It will send that again
// elsewhere, so running it here would be a second run.
#[test]
fn nothing_behind_a_request_that_closes_the_connection_is_handled() {
    block_on(async {
        let seen = Rc::new(Seen::default());
        let mut caller = connected(&seen).await;
        let last = "GET /last HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
        let sent = [&get("/slow"), last, &get("/never")].concat();
        caller.send(sent).await.expect("sent");
        until(|| seen.begun() == 2).await;

        seen.release.fire();

        let answers = caller.read_to_end().await;
        assert_eq!(bodies(&answers), ["/slow", "/last"]);
        assert_eq!(seen.begun(), 2);
    });
}

// A caller leaves while its requests are at work. Work for nobody would take servers from others.
#[test]
fn a_caller_that_leaves_ends_all_its_requests() {
    block_on(async {
        let seen = Rc::new(Seen::default());
        let mut caller = connected(&seen).await;
        caller
            .send(["/slow/1", "/slow/2", "/slow/3"].map(get).concat())
            .await
            .expect("sent");
        until(|| seen.begun() == 3).await;

        drop(caller);

        until(|| seen.cancelled.get() == 3).await;
    });
}

// The daemon is stopped while requests sent ahead are at work. Were the connection closed after
// the first answer, the others, which servers work on, would be lost.
#[test]
fn a_stop_cuts_nothing_that_is_handled() {
    block_on(async {
        let seen = Rc::new(Seen::default());
        let stop = Flag::new();
        let (address, server) = start_with(handler(&seen), limits(), stop.clone());
        let mut caller = RawCaller::connect(address).await.expect("a connection");
        caller
            .send(["/slow/1", "/slow/2", "/slow/3"].map(get).concat())
            .await
            .expect("sent");
        until(|| seen.begun() == 3).await;

        stop.fire();
        seen.release.fire();

        let answers = caller.read_to_end().await;
        assert_eq!(bodies(&answers), ["/slow/1", "/slow/2", "/slow/3"]);
        assert_eq!(answers.matches("connection: close").count(), 1);
        drop(caller);
        server.await;
    });
}

// What stands behind a good request is no request. The answers before it still come, then the
// refusal, and the connection closes.
#[test]
fn an_error_in_the_middle_comes_in_its_turn() {
    block_on(async {
        let seen = Rc::new(Seen::default());
        let mut caller = connected(&seen).await;
        let sent = [&get("/slow"), &get("/a"), "NO REQUEST\r\n\r\n", &get("/b")].concat();
        caller.send(sent).await.expect("sent");
        until(|| seen.begun() == 2).await;

        seen.release.fire();

        let answers = caller.read_to_end().await;
        let statuses: Vec<&str> = answers.matches("HTTP/1.1 ").collect();
        assert_eq!(statuses.len(), 3);
        let at = |part: &str| answers.find(part).expect("it came");
        assert!(at("/slow") < at("/a") && at("/a") < at("HTTP/1.1 400"));
    });
}
