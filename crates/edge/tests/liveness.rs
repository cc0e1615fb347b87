//! How connections to backend servers that stop receiving packets end.

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use heatherknot_edge::upstream::liveness_options;
use heatherknot_http::{Body, Pool, PoolConfig, RequestHead, SendError, SendOptions};
use heatherknot_test_support::runtime::block_on;
use heatherknot_types::prelude::*;
use http::{Method, Uri};
use socket2::SockRef;

/// Time after which a server that receives nothing has to be detected, with a margin for a busy
/// machine.
const MAX_DETECTION: Duration = Duration::from_millis(2_900);

/// Makes the kernel discard all packets that a socket receives.
fn discard_packets(stream: &TcpStream) {
    // A filter program of one instruction: return 0, the number of bytes to keep.
    let filter = libc::sock_filter {
        code: 0x06,
        jt: 0,
        jf: 0,
        k: 0,
    };
    SockRef::from(stream)
        .attach_filter(&[filter])
        .expect("a socket takes a filter");
}

/// Starts a server that handles one connection, after the request was read, on its own thread.
fn serve_one(handle: impl FnOnce(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address is free");
    let address = listener.local_addr().expect("a bound socket");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buf = [0; 1024];
        let _ = stream.read(&mut buf).expect("a request");
        handle(stream);
    });
    address
}

fn send(address: SocketAddr) -> Result<u16, SendError> {
    let cfg = PoolConfig {
        liveness: liveness_options(),
        ..PoolConfig::default()
    };
    block_on(async {
        let pool = Pool::new(address, cfg, Clock::system());
        let head = RequestHead::new(Method::GET, Uri::from_static("/x"));
        let response = pool
            .send(head, Body::empty(), SendOptions::default())
            .await?;
        Ok(response.status.as_u16())
    })
}

/// Guards against requests that wait until their deadline at a server that receives nothing.
#[test]
fn a_waiting_request_ends_at_a_server_that_receives_nothing() {
    let address = serve_one(|stream| {
        discard_packets(&stream);
        std::thread::sleep(2 * MAX_DETECTION);
    });
    let began = Instant::now();

    let error = send(address).expect_err("no response");

    assert!(matches!(error, SendError::Silent { .. }), "{error}");
    assert!(began.elapsed() < MAX_DETECTION, "{:?}", began.elapsed());
}
