//! Closes of callers' connections whose uploads were not read to their end.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use common::start;
use futures_util::FutureExt;
use heatherknot_http::{Body, Handler, Response};
use heatherknot_test_support::runtime::block_on;
use http::StatusCode;
use socket2::{Domain, Socket, Type};

/// Length of the response, in bytes, which the server's send buffer holds.
const RESPONSE: usize = 48 * 1024;
/// Receive buffer of the caller, in bytes, which holds only a part of the response.
const RECEIVE_BUFFER: i32 = 4 * 1024;
/// Size of one read of the caller, in bytes, and the pause after it.
const READ: usize = 4 * 1024;
const READ_PAUSE: Duration = Duration::from_millis(1);
/// Length of the upload, in bytes.
const UPLOAD: usize = 4 << 20;

/// Creates a handler that responds without reading the request's body.
fn responds_early() -> Handler {
    Rc::new(|_| {
        async { Response::new(StatusCode::OK, Body::full(vec![b'r'; RESPONSE])) }.boxed_local()
    })
}

fn connect(address: std::net::SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let sized = socket.set_recv_buffer_size(RECEIVE_BUFFER as usize);
    sized.expect("a receive buffer");
    socket.connect(&address.into()).expect("a server");
    socket.set_nonblocking(true).expect("a socket");
    socket.into()
}

/// Sends an upload as fast as it is accepted, and reads the response slowly. Returns what was received
/// until the connection ended or the response was complete.
async fn upload_and_read_slowly(mut stream: TcpStream, head: &str) -> Vec<u8> {
    let upload = [head.as_bytes(), &vec![b'u'; UPLOAD]].concat();
    let (mut sent, mut received) = (0, Vec::new());
    let is_complete = |received: &[u8]| {
        let head = received.windows(4).position(|w| w == b"\r\n\r\n");
        head.is_some_and(|head| received.len() == head + 4 + RESPONSE)
    };
    while !is_complete(&received) {
        sent += stream.write(&upload[sent..]).unwrap_or(0);
        let mut buf = [0; READ];
        match stream.read(&mut buf) {
            Ok(0) => break,
            Ok(n) => received.extend_from_slice(&buf[..n]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => break,
        }
        monoio::time::sleep(READ_PAUSE).await;
    }
    received
}

// A server responds to a long upload before it has read it, and closes the connection. Closed with unread
// bytes, the connection is reset, and the part of the response that its caller has not received yet is lost.
#[test]
fn complete_response_reaches_a_caller_whose_upload_is_not_read() {
    for connection in ["", "connection: close\r\n"] {
        block_on(async {
            let address = start(responds_early());
            let head = format!(
                "POST /x HTTP/1.1\r\nhost: h\r\n{connection}content-length: {UPLOAD}\r\n\r\n"
            );

            let received = upload_and_read_slowly(connect(address), &head).await;

            let is_whole = received.ends_with(&[b'r'; RESPONSE]);
            assert!(
                is_whole,
                "{connection:?}: received {} bytes",
                received.len()
            );
        });
    }
}
