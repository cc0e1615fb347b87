//! Memory use while large bodies are proxied. The only test of its file, so that no other test of
//! the process affects the measurement.

mod common;

use std::fs;
use std::rc::Rc;

use common::{pool, proxy, start};
use heatherknot_http::{Body, Handler, RequestHead, Response, SendOptions};
use heatherknot_test_support::runtime::block_on;
use http::{Method, StatusCode, Uri};

const BODY_LEN: u64 = 256 << 20;
const CHUNK_LEN: usize = 64 << 10;
/// Far below the size of the body, and above the buffers of three connections.
const MAX_GROWTH: u64 = 16 << 20;

fn peak_resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("the state of the process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kb = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kb.expect("the peak resident memory") * 1024
}

fn large_body() -> Body {
    let (mut sender, body) = Body::channel_with_len(Some(BODY_LEN));
    monoio::spawn(async move {
        for _ in 0..BODY_LEN / CHUNK_LEN as u64 {
            if sender.send(vec![b'x'; CHUNK_LEN].into()).await.is_err() {
                return;
            }
        }
        sender.finish();
    });
    body
}

async fn count(mut body: Body) -> u64 {
    let mut seen = 0;
    while let Some(chunk) = body.next_chunk().await {
        seen += chunk.expect("a whole body").len() as u64;
    }
    seen
}

// A proxy that buffered bodies instead of streaming them would run out of memory.
#[test]
fn large_bodies_are_proxied_in_bounded_memory() {
    let handler: Handler = Rc::new(|req| {
        Box::pin(async move {
            match req.head.method {
                Method::GET => Response::new(StatusCode::OK, large_body()),
                _ => Response::text(StatusCode::OK, count(req.body).await.to_string()),
            }
        })
    });
    block_on(async {
        let pool = pool(start(proxy(pool(start(handler)))));
        let root = Uri::from_static("/");
        let before = peak_resident_bytes();

        let down = RequestHead::new(Method::GET, root.clone());
        let down = pool.send(down, Body::empty(), SendOptions::default()).await;
        let received = count(down.unwrap().body).await;
        let up = RequestHead::new(Method::POST, root);
        let up = pool.send(up, large_body(), SendOptions::default()).await;
        let sent = up.unwrap().body.collect(100).await.unwrap();

        assert_eq!(received, BODY_LEN);
        assert_eq!(sent, BODY_LEN.to_string());
        let grown = peak_resident_bytes() - before;
        assert!(grown < MAX_GROWTH, "grown by {grown} bytes");
    });
}
