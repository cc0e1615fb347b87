//! The accept loop with one task per connection, a connection limit and graceful shutdown.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{Either, select};
use monoio::io::{AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use std::pin::pin;

use crate::ahead::AheadRule;
use crate::connection;
use crate::flag::Flag;
use crate::headers::CALLER_HEADERS;
use crate::idle::IdleConnections;
use crate::message::Handler;
use crate::socket::{self, LivenessOptions};
use crate::timeout::with_timeout;

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The response to a connection beyond the limit.
const SERVER_FULL_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nheatherknot-outcome: not-run\r\n\
    retry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// Limits of one server.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of open connections. A further one replaces the one that has been idle
    /// longest; if none is idle, it gets a response with status 503 and is closed.
    pub max_connections: usize,
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// Maximum wait for the next request on a connection.
    pub idle_timeout: Duration,
    /// How long an idle connection keeps its buffers and can't be closed to admit another one.
    pub idle_grace: Duration,
    /// Maximum wait for the next bytes of a request body.
    pub body_timeout: Duration,
    /// Minimum bytes per second of a request body, averaged over the time spent waiting for it,
    /// once that is longer than `body_timeout`.
    pub min_body_rate: u64,
    /// Maximum wait for the caller to accept more bytes of a response.
    pub write_timeout: Duration,
    /// How long a stopping server still accepts a request on an idle connection, as the caller
    /// may have sent it before it could notice the shutdown.
    pub stop_idle: Duration,
    /// How long a stopping server waits for requests in flight before it aborts them.
    pub stop_grace: Duration,
    /// Heatherknot request headers that callers may set; others are removed.
    pub kept_headers: &'static [&'static str],
    /// Which pipelined requests are handled concurrently with earlier ones of their connection;
    /// `None` to handle the requests of a connection one after the other.
    pub ahead: Option<AheadRule>,
    /// How the operating system detects dead callers.
    pub liveness: LivenessOptions,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            max_head_bytes: 16 * 1024,
            max_body_bytes: 1 << 30,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            idle_grace: Duration::from_secs(1),
            body_timeout: Duration::from_secs(20),
            min_body_rate: 1024,
            write_timeout: Duration::from_secs(20),
            stop_idle: Duration::from_millis(500),
            stop_grace: Duration::from_secs(30),
            kept_headers: CALLER_HEADERS,
            ahead: None,
            liveness: LivenessOptions {
                user_timeout: Duration::from_secs(20),
                keepalive: Duration::from_secs(30),
            },
        }
    }
}

/// State shared by the connections of one server.
pub(crate) struct ServerContext {
    pub(crate) handler: Handler,
    pub(crate) limits: Limits,
    pub(crate) stop: Flag,
    pub(crate) idle: Rc<IdleConnections>,
    open: Cell<usize>,
    all_closed: Flag,
}

/// Serves requests from `listener` until `stop` fires and all connections are closed.
///
/// After `stop` no connection is accepted. Requests in flight may finish within
/// [`Limits::stop_grace`], and the last response on each connection announces its close.
pub async fn serve(listener: TcpListener, handler: Handler, limits: Limits, stop: Flag) {
    let cx = Rc::new(ServerContext {
        handler,
        limits,
        stop,
        idle: Rc::default(),
        open: Cell::new(0),
        all_closed: Flag::new(),
    });
    let abort = Flag::new();
    accept_until_stopped(&listener, &cx, &abort).await;
    drop(listener);
    if cx.open.get() > 0 {
        let waited = with_timeout(cx.limits.stop_grace, cx.all_closed.wait()).await;
        if waited.is_none() {
            log::warn!(open = cx.open.get(); "aborting connections at the end of the shutdown grace period");
            abort.fire();
        }
    }
}

async fn accept_until_stopped(listener: &TcpListener, cx: &Rc<ServerContext>, abort: &Flag) {
    let mut stopped = cx.stop.wait();
    loop {
        let accepting = pin!(listener.accept());
        match select(accepting, &mut stopped).await {
            Either::Right(((), _)) => return,
            Either::Left((Ok((stream, peer)), _)) => accept_connection(stream, peer, cx, abort),
            Either::Left((Err(error), _)) => {
                log::warn!(error:% = error; "failed to accept a connection");
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn accept_connection(
    stream: TcpStream,
    peer: std::net::SocketAddr,
    cx: &Rc<ServerContext>,
    abort: &Flag,
) {
    if let Err(error) = socket::configure(&stream, &cx.limits.liveness) {
        log::debug!(peer:% = peer, error:% = error; "failed to set socket options");
        return;
    }
    let limit = cx.limits.max_connections;
    if cx.open.get() >= limit + max_concurrent_rejections(limit) {
        return;
    }
    let is_full = cx.open.get() >= limit;
    let open = OpenConnection::new(cx);
    let rejected = is_full && !cx.idle.close_oldest();
    let abort = abort.wait();
    let cx = Rc::clone(cx);
    monoio::spawn(async move {
        let _open = open;
        if rejected {
            let _ = reject(stream).await;
            return;
        }
        let serving = pin!(connection::run(stream, peer, cx));
        select(serving, abort).await;
    });
}

/// Returns how many connections beyond the limit get the rejection response at the same time.
/// Further ones are closed without a response.
fn max_concurrent_rejections(limit: usize) -> usize {
    limit / 8 + 1
}

async fn reject(mut stream: TcpStream) -> io::Result<()> {
    let (written, _) = stream.write_all(SERVER_FULL_RESPONSE).await;
    written?;
    stream.shutdown().await?;
    connection::linger(&mut stream).await;
    Ok(())
}

/// Counts a connection as open until it is dropped.
struct OpenConnection {
    cx: Rc<ServerContext>,
}

impl OpenConnection {
    fn new(cx: &Rc<ServerContext>) -> Self {
        cx.open.set(cx.open.get() + 1);
        Self { cx: Rc::clone(cx) }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let open = self.cx.open.get() - 1;
        self.cx.open.set(open);
        if open == 0 && self.cx.stop.is_fired() {
            self.cx.all_closed.fire();
        }
    }
}
