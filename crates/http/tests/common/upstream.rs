//! A peer that decides when and how its connections fail.

use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use socket2::SockRef;

use super::until;

/// Receive buffer of the connections, in bytes, so that a short upload fills it.
const RECEIVE_BUFFER: usize = 4 * 1024;
/// Maximum size of a request head, in bytes.
const MAX_HEAD: usize = 4 * 1024;

/// Accepts connections whose calls never yield to the runtime, so that a test decides what its other
/// tasks meet when they are polled next.
pub struct UpstreamListener {
    listener: TcpListener,
}

impl UpstreamListener {
    /// Listens on an ephemeral port.
    pub fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("an ephemeral port");
        listener.set_nonblocking(true).expect("a socket");
        let sized = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER);
        sized.expect("a socket");
        Self { listener }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("a bound address")
    }

    /// Accepts a connection and reads the head of its request.
    pub async fn accept(&self) -> UpstreamConnection {
        let accepted = std::cell::RefCell::new(None);
        until(|| {
            let mut accepted = accepted.borrow_mut();
            *accepted = accepted.take().or_else(|| self.listener.accept().ok());
            accepted.is_some()
        })
        .await;
        let (stream, client) = accepted.take().expect("an accepted connection");
        stream.set_nonblocking(true).expect("a socket");
        let conn = UpstreamConnection { stream, client };
        conn.read_head().await;
        conn
    }
}

/// One connection, after the head of its request.
pub struct UpstreamConnection {
    stream: TcpStream,
    client: SocketAddr,
}

impl UpstreamConnection {
    async fn read_head(&self) {
        let head_len = || {
            let mut buf = [0; MAX_HEAD];
            let n = self.stream.peek(&mut buf).unwrap_or(0);
            buf[..n].windows(4).position(|end| end == b"\r\n\r\n")
        };
        until(|| head_len().is_some()).await;
        let mut head = vec![0; head_len().expect("a head") + 4];
        (&self.stream).read_exact(&mut head).expect("a head");
    }

    /// Waits for another request on the connection and reads its head.
    pub async fn next_request(&self) {
        self.read_head().await;
    }

    /// Waits until bytes of the request's body have arrived, and leaves them unread.
    pub async fn wait_for_body(&self) {
        until(|| matches!(self.stream.peek(&mut [0]), Ok(n) if n > 0)).await;
    }

    pub fn send(&self, text: &str) {
        (&self.stream).write_all(text.as_bytes()).expect("room");
    }

    /// Closes the write side in order.
    pub fn finish(&self) {
        self.stream.shutdown(Shutdown::Write).expect("a connection");
    }

    /// Resets the connection.
    pub fn reset(self) {
        let linger = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        linger.expect("a connection");
    }

    /// Waits until the operating system has given up the client's side, as its bytes are not accepted.
    pub async fn wait_for_client_timeout(self) {
        let server = self.stream.local_addr().expect("a bound address");
        until(|| !is_open(self.client, server)).await;
    }
}

/// Returns whether the operating system lists a TCP connection between these addresses. A local address alone
/// may be that of several connections.
fn is_open(local: SocketAddr, peer: SocketAddr) -> bool {
    let ends = [listed_address(local), listed_address(peer)];
    let connections = fs::read_to_string("/proc/self/net/tcp").expect("a list of connections");
    // The second and third columns are the addresses.
    let mut lines = connections.lines();
    lines.any(|line| line.split_whitespace().skip(1).take(2).eq(&ends))
}

fn listed_address(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else {
        panic!("{address} is not an IPv4 address");
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    format!("{ip:08X}:{:04X}", address.port())
}
