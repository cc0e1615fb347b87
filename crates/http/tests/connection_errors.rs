//! Responses on connections that fail while the request's body is still being sent.
//!
//! The operating system reports the failure of a connection once, to the first call that meets it. These tests arrange
//! that a write of the upload is that call: the pool's future is not polled between the failure and the write.

mod common;

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use common::upstream::{UpstreamConnection, UpstreamListener};
use common::{proxy, request, start};
use futures_util::FutureExt;
use futures_util::future::{Either, select};
use heatherknot_http::{
    Body, BodyError, BodySender, LivenessOptions, Pool, PoolConfig, Response, SendError,
    SendOptions, SendProgress,
};
use heatherknot_test_support::caller::RawCaller;
use heatherknot_test_support::runtime::block_on;
use heatherknot_types::prelude::*;
use http::Method;

const HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";
const HEAD_AFTER_INTERIM: &str =
    "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\n\r\n";
/// `TCP_USER_TIMEOUT` of the connections in these tests.
const USER_TIMEOUT: Duration = Duration::from_millis(300);
/// Size of an upload that exceeds the peer's receive window, in bytes.
const BLOCKED_UPLOAD: usize = 64 * 1024;

/// How the connection fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// The peer resets the connection.
    Reset,
    /// The peer accepts no bytes until the operating system gives up.
    Timeout,
}

/// When the upload meets the failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Moment {
    /// Before the head of the response is read.
    BeforeHead,
    /// After the first chunk of the response's body is read.
    WithinBody,
}

fn close_delimited_pool(upstream: &UpstreamListener) -> Pool {
    let config = PoolConfig {
        allow_close_delimited: true,
        liveness: LivenessOptions {
            user_timeout: USER_TIMEOUT,
            ..LivenessOptions::default()
        },
        ..PoolConfig::default()
    };
    Pool::new(upstream.address(), config, Clock::system())
}

/// Runs `other` while `sending` makes progress.
async fn advance<T>(
    sending: &mut (impl Future<Output = Result<Response, SendError>> + Unpin),
    other: impl Future<Output = T>,
) -> T {
    match select(sending, pin!(other)).await {
        Either::Left((sent, _)) => panic!("sending ended early: {:?}", sent.map(|r| r.status)),
        Either::Right((value, _)) => value,
    }
}

fn upload(tx: &mut BodySender, len: usize) {
    let sent = tx.send(Bytes::from(vec![b'u'; len])).now_or_never();
    sent.expect("room in the channel").expect("a reader");
}

/// Fails the connection after the peer has sent `rest`, and closed its side if `is_closed`.
async fn fail(conn: UpstreamConnection, rest: &str, is_closed: bool, failure: Failure) {
    conn.send(rest);
    if is_closed {
        conn.finish();
    }
    match failure {
        Failure::Reset => conn.reset(),
        Failure::Timeout => conn.wait_for_client_timeout().await,
    }
}

/// Sends a request whose upload meets `failure` first; returns what is received of the body.
///
/// The peer sends `parts` before, and closes its side after them if `is_closed`.
async fn receive(
    parts: [&str; 2],
    is_closed: bool,
    failure: Failure,
    moment: Moment,
) -> Result<Bytes, BodyError> {
    let upstream = UpstreamListener::start();
    let pool = close_delimited_pool(&upstream);
    let (mut tx, body) = Body::channel();
    let head = request(Method::POST, "upload");
    let mut sending = pin!(pool.send(head, body, SendOptions::default()));
    let conn = advance(&mut sending, upstream.accept()).await;
    if failure == Failure::Timeout {
        upload(&mut tx, BLOCKED_UPLOAD);
        advance(&mut sending, conn.wait_for_body()).await;
    }
    if moment == Moment::BeforeHead {
        fail(conn, &parts.concat(), is_closed, failure).await;
        upload(&mut tx, 1);
        let response = sending.await.expect("a response");
        return response.body.collect(1 << 20).await;
    }
    conn.send(parts[0]);
    let mut body = sending.await.expect("a response").body;
    let first = body.next_chunk().await.expect("a chunk")?;
    let next = {
        let mut next = pin!(body.next_chunk());
        assert!(next.as_mut().now_or_never().is_none(), "nothing to read");
        fail(conn, parts[1], is_closed, failure).await;
        upload(&mut tx, 1);
        next.await
    };
    let mut received = first.to_vec();
    if let Some(chunk) = next.transpose()? {
        received.extend_from_slice(&chunk);
    }
    while let Some(chunk) = body.next_chunk().await.transpose()? {
        received.extend_from_slice(&chunk);
    }
    Ok(received.into())
}

fn is_truncated(received: &Result<Bytes, BodyError>) -> bool {
    matches!(received, Err(BodyError::Truncated { .. }))
}

// A backend server responds to an upload early and without a length, and resets the connection within
// the body. If the upload meets the reset, the read after it returns zero, and half of the response
// would reach the caller as a complete one.
#[test]
fn reset_met_by_the_upload_truncates_a_body_without_a_length() {
    let cases = [
        ([HEAD, "half"], Moment::BeforeHead),
        ([HEAD, ""], Moment::BeforeHead),
        ([HEAD_AFTER_INTERIM, "half"], Moment::BeforeHead),
        (["HTTP/1.1 200 OK\r\n\r\na", "half"], Moment::WithinBody),
        (["HTTP/1.1 200 OK\r\n\r\na", ""], Moment::WithinBody),
    ];
    let received = cases.map(|(parts, moment)| {
        let received = block_on(receive(parts, false, Failure::Reset, moment));
        (received, parts, moment)
    });

    let complete: Vec<_> = received.iter().filter(|r| !is_truncated(&r.0)).collect();
    assert!(complete.is_empty(), "{complete:#?}");
}

// The peer stops acknowledging an upload within its response. The time-out of the operating system
// conceals the end of the response like a reset does.
#[test]
fn timeout_met_by_the_upload_truncates_a_body_without_a_length() {
    for parts in [[HEAD, "half"], [HEAD, ""]] {
        let received = block_on(receive(parts, false, Failure::Timeout, Moment::BeforeHead));

        assert!(is_truncated(&received), "{parts:?}: {received:?}");
    }
}

// A backend server that does not want the rest of an upload responds, closes its side and resets the
// connection. The response is complete; truncating it would lose the result of work that has run.
#[test]
fn body_without_a_length_that_ended_before_the_failure_is_complete() {
    let cases = [
        ([HEAD, "whole"], Failure::Reset, Moment::BeforeHead),
        ([HEAD, "whole"], Failure::Timeout, Moment::BeforeHead),
        (
            ["HTTP/1.1 200 OK\r\n\r\nwh", "ole"],
            Failure::Reset,
            Moment::WithinBody,
        ),
    ];
    for (parts, failure, moment) in cases {
        let received = block_on(receive(parts, true, failure, moment));

        assert_eq!(received, Ok("whole".into()), "{failure:?}, {moment:?}");
    }
}

// With a length or chunks the framing tells whether a response is complete. A failure behind its end
// must not truncate it, and an orderly close within it must not complete it.
#[test]
fn framed_body_is_complete_at_its_own_end_only() {
    let whole = ["5\r\nwhole\r\n0\r\n\r\n", "whole"];
    let half = ["5\r\nwhole\r\n", "who"];
    let heads = [
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n",
    ];
    for (n, head) in heads.into_iter().enumerate() {
        for failure in [Failure::Reset, Failure::Timeout] {
            for is_closed in [false, true] {
                let send = |rest| {
                    block_on(receive(
                        [head, rest],
                        is_closed,
                        failure,
                        Moment::BeforeHead,
                    ))
                };

                let complete = send(whole[n]);
                let truncated = send(half[n]);

                let case = format!("{head:?}, {failure:?}, closed: {is_closed}");
                assert_eq!(complete, Ok("whole".into()), "{case}");
                assert!(is_truncated(&truncated), "{case}: {truncated:?}");
            }
        }
    }
}

// A request without a body meets the reset only when its response is read.
#[test]
fn reset_met_by_the_read_truncates_a_body_without_a_length() {
    block_on(async {
        let upstream = UpstreamListener::start();
        let pool = close_delimited_pool(&upstream);
        let head = request(Method::GET, "download");
        let mut sending = pin!(pool.send(head, Body::empty(), SendOptions::default()));
        let conn = advance(&mut sending, upstream.accept()).await;

        conn.send(&[HEAD, "half"].concat());
        conn.reset();

        let response = sending.await.expect("a response");
        let received = response.body.collect(1 << 20).await;
        assert!(is_truncated(&received), "{received:?}");
    });
}

// If the connection fails before the whole head of a response is there, the request may have run. It
// must not be reported as not sent, whichever half of the connection met the failure.
#[test]
fn failure_met_by_the_upload_before_the_head_is_reported_as_maybe_sent() {
    block_on(async {
        let upstream = UpstreamListener::start();
        let pool = close_delimited_pool(&upstream);
        let (mut tx, body) = Body::channel();
        let head = request(Method::POST, "upload");
        let mut sending = pin!(pool.send(head, body, SendOptions::default()));
        let conn = advance(&mut sending, upstream.accept()).await;

        conn.send("HTTP/1.1 200 OK\r\n");
        conn.reset();
        upload(&mut tx, 1);

        let error = sending.await.expect_err("no whole head");
        assert!(matches!(error, SendError::Broken { .. }), "{error}");
        assert_eq!(error.send_progress(), SendProgress::MaybeSent);
    });
}

// If the caller's upload breaks while its response is received, the response must not count as one that
// the backend server truncated.
#[test]
fn upload_that_breaks_within_a_response_is_told_from_a_truncated_response() {
    block_on(async {
        let upstream = UpstreamListener::start();
        let pool = close_delimited_pool(&upstream);
        let (tx, body) = Body::channel();
        let head = request(Method::POST, "upload");
        let mut sending = pin!(pool.send(head, body, SendOptions::default()));
        let conn = advance(&mut sending, upstream.accept()).await;
        conn.send(HEAD);
        let response = sending.await.expect("a response");

        tx.fail(BodyError::TooSlow);
        let received = response.body.collect(1 << 20).await;

        let source = Box::new(BodyError::TooSlow);
        assert_eq!(received, Err(BodyError::RequestBody { source }));
    });
}

/// Sends an upload through `hops` proxies, each as its own server, to a backend server that responds with
/// `rest` and resets the connection after it. Returns all that the caller receives.
async fn exchange_through_proxies(hops: usize, rest: &str, is_closed: bool) -> String {
    let upstream = UpstreamListener::start();
    let mut pool = close_delimited_pool(&upstream);
    let mut address = upstream.address();
    for _ in 0..hops {
        address = start(proxy(pool));
        pool = Pool::new(address, PoolConfig::default(), Clock::system());
    }
    let mut caller = RawCaller::connect(address).await.expect("a connection");
    let head = "POST /x HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: 1000\r\n\r\n";
    caller.send(head).await.expect("an open connection");
    let conn = upstream.accept().await;
    // The next poll of the proxy finds both the reset and bytes to send.
    caller.send(vec![b'u'; 10]).await.expect("a connection");
    fail(conn, rest, is_closed, Failure::Reset).await;
    caller.read_to_end().await
}

// The caller has to see a truncation in the framing that it gets, also through a second VM to which the
// request was handed over.
#[test]
fn truncation_reaches_the_caller_through_proxies() {
    for hops in [1, 2] {
        let rest = [HEAD, "half"].concat();

        let truncated = block_on(exchange_through_proxies(hops, &rest, false));
        let complete = block_on(exchange_through_proxies(hops, &rest, true));

        assert!(truncated.starts_with("HTTP/1.1 200 OK"), "{truncated}");
        assert!(
            !truncated.ends_with("0\r\n\r\n"),
            "{hops} hops: {truncated}"
        );
        assert!(complete.ends_with("4\r\nhalf\r\n0\r\n\r\n"), "{complete}");
    }
}
