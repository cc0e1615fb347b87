//! Long request bodies that are sent more than once.

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

const LONG: usize = 400_000;

fn long_bytes() -> Bytes {
    (0..LONG)
        .map(|n| (n % 251) as u8)
        .collect::<Vec<_>>()
        .into()
}

/// Creates a body of unknown length that gives `bytes` in pieces.
fn pieces(bytes: Bytes, size: usize) -> Body {
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

/// A server that answers before it has read the body, and closes.
fn refuses_early() -> Handler {
    Rc::new(|_| async { Response::text(StatusCode::SERVICE_UNAVAILABLE, "full") }.boxed_local())
}

fn counts() -> Handler {
    Rc::new(|req| {
        async move {
            match req.body.collect(LONG * 2).await {
                Ok(bytes) if bytes == long_bytes() => Response::text(StatusCode::OK, "whole"),
                Ok(_) => Response::text(StatusCode::CONFLICT, "other bytes"),
                Err(_) => Response::text(StatusCode::BAD_REQUEST, "broken"),
            }
        }
        .boxed_local()
    })
}

// A server refuses a long upload before it was read; a second one has room. The caller would be
// told to come back with all of it, although most of it still stands in its connection.
#[test]
fn a_body_that_was_refused_early_goes_whole_to_the_next_server() {
    block_on(async {
        let (full, free) = (pool(start(refuses_early())), pool(start(counts())));
        let room = ReplayBudget::new(1 << 20);
        let kept = ReplayableBody::new(pieces(long_bytes(), 10_000), &room);
        let head = || request(Method::POST, "1");

        let first = kept.replay().expect("it was not sent");
        let refused = full.send(head(), first, SendOptions::default()).await;
        let refused = refused.expect("an early answer");
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        drop(refused);

        let second = kept.replay().expect("all of it is kept or still to come");
        let answer = free.send(head(), second, SendOptions::default()).await;
        let answer = answer.expect("an answer").body.collect(100).await;
        assert_eq!(answer.expect("whole"), "whole");
    });
}

// Many long uploads at once would take the memory of the VM, which is then killed with all its
// requests. Beyond the room a body is still sent, once.
#[test]
fn beyond_its_room_a_body_is_sent_once_and_takes_no_memory() {
    block_on(async {
        let free = pool(start(counts()));
        let room = ReplayBudget::new(100_000);
        let kept = ReplayableBody::new(pieces(long_bytes(), 10_000), &room);

        let body = kept.replay().expect("it was not sent");
        let head = request(Method::POST, "1");
        let answer = free.send(head, body, SendOptions::default()).await;

        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
        assert_eq!(room.used(), 0, "what is kept in part is of no use");
        assert!(!kept.is_replayable() && kept.replay().is_none());
    });
}

#[test]
fn room_is_given_back_with_the_body() {
    block_on(async {
        let room = ReplayBudget::new(1 << 20);
        let kept = ReplayableBody::new(pieces(long_bytes(), 10_000), &room);
        let mut body = kept.replay().expect("it was not sent");
        while body.next_chunk().await.is_some() {}
        assert_eq!(room.used(), LONG as u64);
        drop((body, kept));
        assert_eq!(room.used(), 0);
    });
}

// A caller's body breaks off midway. Sent again from what was kept, it would look whole to a
// server that takes what came before the break for all of it.
#[test]
fn a_body_that_broke_is_never_sent_again() {
    block_on(async {
        let room = ReplayBudget::new(1 << 20);
        let (mut sender, body) = Body::channel();
        let kept = ReplayableBody::new(body, &room);
        let mut first = kept.replay().expect("it was not sent");
        sender.send(Bytes::from_static(b"abc")).await.expect("read");
        assert_eq!(first.next_chunk().await, Some(Ok("abc".into())));
        sender.fail(BodyError::TooSlow);
        assert_eq!(first.next_chunk().await, Some(Err(BodyError::TooSlow)));
        drop(first);
        assert!(kept.replay().is_none());
    });
}

#[test]
fn wherever_earlier_sends_end_the_last_one_is_whole() {
    check()
        .with_type::<(Vec<u8>, u8, [u8; 3])>()
        .for_each(|(bytes, size, ends)| {
            block_on(async {
                let bytes = Bytes::from(bytes.clone());
                let size = usize::from(*size).max(1);
                let kept =
                    ReplayableBody::new(pieces(bytes.clone(), size), &ReplayBudget::new(1 << 20));
                for end in ends {
                    let mut body = kept.replay().expect("it is there");
                    for _ in 0..(end % 8) {
                        body.next_chunk().await;
                    }
                }
                let last = kept.replay().expect("it is there");
                assert_eq!(last.collect(1 << 20).await.expect("whole"), bytes);
            });
        });
}
