//! Fixtures for the tests of this package.
#![allow(dead_code)]

pub mod upstream;

use std::net::SocketAddr;
use std::rc::Rc;

use futures_util::FutureExt;
use heatherknot_http::{
    Body, Flag, Handler, Limits, Pool, PoolConfig, RequestHead, Response, SendOptions, serve,
};
use heatherknot_test_support::backend::REQUEST_ID_HEADER;
use heatherknot_types::prelude::*;
use http::{HeaderValue, Method, StatusCode, Uri};
use monoio::net::TcpListener;

/// Starts a server with default limits.
pub fn start(handler: Handler) -> SocketAddr {
    start_with(handler, Limits::default(), Flag::new()).0
}

/// Starts a server; the returned task ends when the server has stopped.
pub fn start_with(
    handler: Handler,
    limits: Limits,
    stop: Flag,
) -> (SocketAddr, monoio::task::JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an ephemeral port");
    let address = listener.local_addr().expect("a bound address");
    (
        address,
        monoio::spawn(serve(listener, handler, limits, stop)),
    )
}

/// Creates a pool with default settings on the system's clock.
pub fn pool(address: SocketAddr) -> Pool {
    Pool::new(address, PoolConfig::default(), Clock::system())
}

/// Creates a handler that answers with the body of the request.
pub fn echo() -> Handler {
    Rc::new(|req| async move { Response::new(StatusCode::OK, req.body) }.boxed_local())
}

/// Creates a handler that answers with the path of the request.
pub fn path_echo() -> Handler {
    Rc::new(|req| {
        let path = req.head.path().to_owned();
        async move { Response::text(StatusCode::OK, path) }.boxed_local()
    })
}

/// Creates a handler that forwards each request, and cancels it when the caller disconnects.
pub fn proxy(pool: Pool) -> Handler {
    Rc::new(move |req| {
        let pool = pool.clone();
        async move {
            let sending = pool.send(req.head, req.body, SendOptions::default());
            let sending = std::pin::pin!(sending);
            let sent = futures_util::future::select(sending, req.cancelled.wait()).await;
            match sent {
                futures_util::future::Either::Left((Ok(response), _)) => response,
                futures_util::future::Either::Left((Err(error), _)) => {
                    Response::text(StatusCode::BAD_GATEWAY, error.to_string())
                }
                futures_util::future::Either::Right(_) => {
                    Response::new(StatusCode::BAD_GATEWAY, Body::empty())
                }
            }
        }
        .boxed_local()
    })
}

/// Creates the head of a `GET` request with an identifier.
pub fn get(id: &str) -> RequestHead {
    request(Method::GET, id)
}

/// Creates the head of a request with an identifier.
pub fn request(method: Method, id: &str) -> RequestHead {
    let mut head = RequestHead::new(method, Uri::from_static("/"));
    let id = HeaderValue::from_str(id).expect("an identifier of plain text");
    head.headers.insert(REQUEST_ID_HEADER, id);
    head
}

/// Lets other tasks run until `is_done` returns `true`, without a timeout.
pub async fn until(is_done: impl Fn() -> bool) {
    while !is_done() {
        monoio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
}

/// Creates options for an idempotent request.
pub fn idempotent() -> SendOptions {
    SendOptions {
        idempotent: true,
        ..SendOptions::default()
    }
}
