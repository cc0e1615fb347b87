//! The backend server and the proxy, each with its own thread and runtime.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;

use bytes::Bytes;
use futures_util::FutureExt;
use heatherknot_http::{
    Body, Flag, Handler, Limits, Pool, PoolConfig, Request, Response, SendOptions, serve,
};
use heatherknot_test_support::runtime::block_on;
use heatherknot_types::prelude::*;
use http::StatusCode;
use monoio::net::TcpListener;

const CHUNK: usize = 64 * 1024;

/// A server on its own thread.
pub struct Server {
    pub address: SocketAddr,
    stat: PathBuf,
}

impl Server {
    /// Returns the CPU time used by the server's thread, in seconds.
    pub fn cpu_seconds(&self) -> f64 {
        let stat = fs::read_to_string(&self.stat).expect("the statistics of the thread");
        let nanos = stat.split_whitespace().next().and_then(|n| n.parse().ok());
        nanos.map_or(0.0, |nanos: f64| nanos / 1e9)
    }
}

/// Starts the backend server, which responds with 1 KB, or `len` bytes for `/stream/<len>`.
pub fn start_backend() -> Server {
    start("backend", || {
        let small = Bytes::from([vec![b'x'; 1023], vec![b'$']].concat());
        let chunk = Bytes::from(vec![b'x'; CHUNK]);
        Rc::new(move |req| {
            let (small, chunk) = (small.clone(), chunk.clone());
            async move { answer(&req, small, chunk) }.boxed_local()
        })
    })
}

fn answer(req: &Request, small: Bytes, chunk: Bytes) -> Response {
    let len = req.head.path().strip_prefix("/stream/");
    let Some(len) = len.and_then(|len| len.parse::<u64>().ok()) else {
        return Response::new(StatusCode::OK, Body::full(small));
    };
    let (mut sender, body) = Body::channel_with_len(Some(len));
    monoio::spawn(async move {
        let mut left = len;
        while left > 0 {
            let n = left.min(chunk.len() as u64);
            if sender.send(chunk.slice(..n as usize)).await.is_err() {
                return;
            }
            left -= n;
        }
        sender.finish();
    });
    Response::new(StatusCode::OK, body)
}

/// Starts the proxy, which forwards every request to the backend server.
pub fn start_proxy(backend: SocketAddr) -> Server {
    start("proxy", move || {
        let pool = Pool::new(backend, PoolConfig::default(), Clock::system());
        Rc::new(move |req| {
            let pool = pool.clone();
            async move { forward(pool, req).await }.boxed_local()
        })
    })
}

async fn forward(pool: Pool, req: Request) -> Response {
    let options = SendOptions {
        idempotent: true,
        ..SendOptions::default()
    };
    let sent = pool.send(req.head, req.body, options).await;
    sent.unwrap_or_else(|error| panic!("the backend server failed: {error}"))
}

fn start(name: &str, make_handler: impl FnOnce() -> Handler + Send + 'static) -> Server {
    let (tx, rx) = mpsc::channel();
    let run = move || {
        block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").expect("an ephemeral port");
            let address = listener.local_addr().expect("a bound address");
            let thread = fs::read_link("/proc/thread-self").expect("the thread's directory");
            let stat = PathBuf::from("/proc").join(thread).join("schedstat");
            tx.send(Server { address, stat }).expect("the main thread");
            serve(listener, make_handler(), Limits::default(), Flag::new()).await;
        });
    };
    let thread = thread::Builder::new().name(name.to_owned());
    thread.spawn(run).expect("a thread");
    rx.recv().expect("the server's thread")
}
