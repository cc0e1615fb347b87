//! Socket options and state checks that the runtime does not provide.

use std::io;
use std::mem::MaybeUninit;
use std::os::fd::{AsRawFd, BorrowedFd};
use std::time::Duration;

use monoio::net::TcpStream;
use monoio::net::tcp::TcpOwnedReadHalf;
use socket2::{SockRef, TcpKeepalive};

/// How the operating system detects connections whose peer is dead.
#[derive(Clone, Copy, Debug)]
pub struct LivenessOptions {
    /// How long sent bytes may stay unacknowledged, or the peer's receive window closed, before
    /// the connection fails. It also decides when keepalive probes give up: the connection fails at
    /// the first probe that is due this long after the peer's last packet, if the one before was not
    /// answered.
    pub user_timeout: Duration,
    /// Idle time before the first keepalive probe, and the interval between probes.
    pub keepalive: Duration,
}

impl Default for LivenessOptions {
    fn default() -> Self {
        Self {
            user_timeout: Duration::from_secs(5),
            keepalive: Duration::from_secs(5),
        }
    }
}

/// Sets the options of a new connection.
///
/// A middlebox that lost the state of a connection drops its packets silently, so neither reads
/// nor writes fail. `TCP_USER_TIMEOUT` fails a connection with unacknowledged bytes; keepalive
/// probes detect a dead connection that has nothing to send.
pub(crate) fn configure(stream: &TcpStream, options: &LivenessOptions) -> io::Result<()> {
    stream.set_nodelay(true)?;
    with_socket(stream, |socket| {
        let keepalive = TcpKeepalive::new()
            .with_time(options.keepalive)
            .with_interval(options.keepalive);
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(options.user_timeout))
    })
}

/// The state of an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdleState {
    /// Open, with nothing received.
    Quiet,
    /// Open, with unexpected bytes received.
    UnexpectedData,
    /// Closed or failed.
    Closed,
}

/// Returns the state of an idle connection without consuming bytes.
pub(crate) fn idle_state(stream: &TcpStream) -> IdleState {
    let mut byte = [MaybeUninit::uninit()];
    match with_socket(stream, |socket| socket.peek(&mut byte)) {
        Ok(0) => IdleState::Closed,
        Ok(_) => IdleState::UnexpectedData,
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => IdleState::Quiet,
        Err(_) => IdleState::Closed,
    }
}

/// Returns the state of the connection of a read half without consuming bytes.
pub(crate) fn half_idle_state(half: &TcpOwnedReadHalf) -> IdleState {
    idle_state(stream_of(half))
}

/// Returns whether the peer closed its write side, even if bytes before the close are unread.
#[allow(unsafe_code)]
pub(crate) fn is_peer_closed(half: &TcpOwnedReadHalf) -> bool {
    let mut poll = libc::pollfd {
        fd: stream_of(half).as_raw_fd(),
        events: libc::POLLRDHUP,
        revents: 0,
    };
    // SAFETY: `poll` is one valid entry that outlives the call. With a timeout of zero the call
    // does not block.
    let ready = unsafe { libc::poll(&raw mut poll, 1, 0) };
    ready > 0
}

/// Returns the number of bytes that the operating system has received in sequence on a connection, read or not
/// (`tcpi_bytes_received`). The FIN of an orderly close counts as one byte.
#[allow(unsafe_code)]
pub(crate) fn received_bytes(half: &TcpOwnedReadHalf) -> io::Result<u64> {
    // SAFETY: all fields are integers, for which zero is valid.
    let mut info: libc::tcp_info = unsafe { std::mem::zeroed() };
    let mut len = size_of_val(&info) as libc::socklen_t;
    // SAFETY: `info` and `len` are valid for writes, and `len` is the size of `info`.
    let status = unsafe {
        libc::getsockopt(
            stream_of(half).as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut info).cast(),
            &raw mut len,
        )
    };
    match status {
        0 => Ok(info.tcpi_bytes_received),
        _ => Err(io::Error::last_os_error()),
    }
}

/// Waits until bytes are available or the stream has ended.
pub(crate) async fn readable(half: &TcpOwnedReadHalf) -> io::Result<()> {
    stream_of(half).readable(false).await
}

#[allow(unsafe_code)]
fn stream_of(half: &TcpOwnedReadHalf) -> &TcpStream {
    // SAFETY: the halves stay on one thread. The runtime creates a mutable reference to the
    // stream only to copy its descriptor when a read or write starts, and no use of this shared
    // reference starts one.
    unsafe { &*half.0.get() }
}

#[allow(unsafe_code)]
fn with_socket<T>(stream: &TcpStream, f: impl FnOnce(SockRef<'_>) -> T) -> T {
    // SAFETY: `stream` is borrowed for the whole call, so its descriptor stays open.
    let fd = unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) };
    f(SockRef::from(&fd))
}
