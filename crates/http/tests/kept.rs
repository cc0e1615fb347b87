//! Request bodies that are sent more than once.

mod common;

use std::rc::Rc;

use bytes::Bytes;
use common::{pool, request, start};
use futures_util::FutureExt;
use heatherknot_http::{
    Body, BodyError, Handler, ReplayBudget, ReplayableBody, Response, SendOptions,
};
use heatherknot_test_support::property::check;
use heatherknot_test_support::runtime::block_on;
use http::{Method, StatusCode};

const BODY_LEN: usize = 400_000;

fn body_bytes() -> Bytes {
    (0..BODY_LEN)
        .map(|n| (n % 251) as u8)
        .collect::<Vec<_>>()
        .into()
}

/// Creates a body of unknown length that yields `bytes` in chunks of `size` bytes.
fn chunked_body(bytes: Bytes, size: usize) -> Body {
    let (mut sender, body) = Body::channel();
    monoio::spawn(async move {
        for piece in bytes.chunks(size) {
            if sender.send(Bytes::copy_from_slice(piece)).await.is_err() {
                return;
            }
        }
        sender.finish();
    });
    body
}

/// Creates a handler that responds with status 503 without reading the body.
fn rejecting_handler() -> Handler {
    Rc::new(|_| async { Response::text(StatusCode::SERVICE_UNAVAILABLE, "full") }.boxed_local())
}

fn verifying_handler() -> Handler {
    Rc::new(|req| {
        async move {
            match req.body.collect(BODY_LEN * 2).await {
                Ok(bytes) if bytes == body_bytes() => Response::text(StatusCode::OK, "whole"),
                Ok(_) => Response::text(StatusCode::CONFLICT, "other bytes"),
                Err(_) => Response::text(StatusCode::BAD_REQUEST, "broken"),
            }
        }
        .boxed_local()
    })
}

// A server rejects a long upload before it was read, and a second server has capacity. If the body
// could not be sent again, the caller would have to repeat an upload that is mostly unread.
#[test]
fn body_refused_early_is_sent_complete_to_the_next_server() {
    block_on(async {
        let (rejecting, accepting) = (
            pool(start(rejecting_handler())),
            pool(start(verifying_handler())),
        );
        let budget = ReplayBudget::new(1 << 20);
        let replayable = ReplayableBody::new(chunked_body(body_bytes(), 10_000), &budget);
        let head = || request(Method::POST, "1");

        let first = replayable.replay().expect("a body that was not sent");
        let refused = rejecting.send(head(), first, SendOptions::default()).await;
        let refused = refused.expect("an early answer");
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        drop(refused);

        let second = replayable
            .replay()
            .expect("a body that is retained or unread");
        let answer = accepting.send(head(), second, SendOptions::default()).await;
        let answer = answer.expect("an answer").body.collect(100).await;
        assert_eq!(answer.expect("whole"), "whole");
    });
}

// Retaining many long uploads at once could exhaust the memory of the VM, and the process would be
// killed with all its requests. A body over the budget is sent once and not retained.
#[test]
fn body_over_the_budget_is_sent_once_and_not_retained() {
    block_on(async {
        let accepting = pool(start(verifying_handler()));
        let budget = ReplayBudget::new(100_000);
        let replayable = ReplayableBody::new(chunked_body(body_bytes(), 10_000), &budget);

        let body = replayable.replay().expect("a body that was not sent");
        let head = request(Method::POST, "1");
        let answer = accepting.send(head, body, SendOptions::default()).await;

        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
        assert_eq!(budget.used(), 0, "an incomplete body is not retained");
        assert!(!replayable.is_replayable() && replayable.replay().is_none());
    });
}

// A budget that is not released would soon let no body be retained.
#[test]
fn budget_is_released_with_the_body() {
    block_on(async {
        let budget = ReplayBudget::new(1 << 20);
        let replayable = ReplayableBody::new(chunked_body(body_bytes(), 10_000), &budget);
        let mut body = replayable.replay().expect("a body that was not sent");
        while body.next_chunk().await.is_some() {}
        assert_eq!(budget.used(), BODY_LEN as u64);
        drop((body, replayable));
        assert_eq!(budget.used(), 0);
    });
}

// If a caller's body fails midway, replaying the retained chunks could make the truncated body
// look complete to a server.
#[test]
fn body_that_failed_is_not_replayed() {
    block_on(async {
        let budget = ReplayBudget::new(1 << 20);
        let (mut sender, body) = Body::channel();
        let replayable = ReplayableBody::new(body, &budget);
        let mut first = replayable.replay().expect("a body that was not sent");
        sender.send(Bytes::from_static(b"abc")).await.expect("read");
        assert_eq!(first.next_chunk().await, Some(Ok("abc".into())));
        sender.fail(BodyError::TooSlow);
        assert_eq!(first.next_chunk().await, Some(Err(BodyError::TooSlow)));
        drop(first);
        assert!(replayable.replay().is_none());
    });
}

// Earlier sends may stop at any chunk; a replay must neither lose nor repeat bytes.
#[test]
fn replay_is_complete_wherever_earlier_sends_ended() {
    check()
        .with_type::<(Vec<u8>, u8, [u8; 3])>()
        .for_each(|(bytes, size, ends)| {
            block_on(async {
                let bytes = Bytes::from(bytes.clone());
                let size = usize::from(*size).max(1);
                let replayable = ReplayableBody::new(
                    chunked_body(bytes.clone(), size),
                    &ReplayBudget::new(1 << 20),
                );
                for end in ends {
                    let mut body = replayable.replay().expect("a replayable body");
                    for _ in 0..(end % 8) {
                        body.next_chunk().await;
                    }
                }
                let last = replayable.replay().expect("a replayable body");
                assert_eq!(last.collect(1 << 20).await.expect("whole"), bytes);
            });
        });
}
