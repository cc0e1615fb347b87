//! The accept loop: one task for each connection, a limit on them, and graceful shutdown.

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

/// Pause after a failed accept, as where the process is out of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The answer to a connection beyond the limit.
const SERVER_FULL_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nheatherknot-outcome: not-run\r\n\
    retry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// Limits of one server.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Connections open at once. A further one takes the place of the one that has been
    /// idle longest; where none is idle, it is answered with status 503 and closed.
    pub max_connections: usize,
    /// Longest request head, in bytes.
    pub max_head_bytes: usize,
    /// Longest request body, in bytes.
    pub max_body_bytes: u64,
    /// Longest time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// Longest wait for a further request on a connection.
    pub idle_timeout: Duration,
    /// How long an idle connection keeps its buffers and its place.
    pub idle_grace: Duration,
    /// Longest wait for some bytes of a request body.
    pub body_timeout: Duration,
    /// Least bytes a second of a request body, on average over the time spent waiting for
    /// it, once that is longer than `body_timeout`.
    pub min_body_rate: u64,
    /// Longest wait for the caller to take some bytes of a response.
    pub write_timeout: Duration,
    /// How long a stopping server still takes a request on an idle connection, since the
    /// caller may have sent it before it could know.
    pub stop_idle: Duration,
    /// How long a stopping server waits for requests in flight before it cuts them.
    pub stop_grace: Duration,
    /// The system's own request headers that callers may set; others are removed.
    pub kept_headers: &'static [&'static str],
    /// Which requests are handled while an earlier one of their connection is; none where
    /// each is to wait for the one before it.
    pub ahead: Option<AheadRule>,
    /// How the operating system looks for callers that are gone without a word.
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
                keepalive_probes: 3,
            },
        }
    }
}

/// What the connections of one server share.
pub(crate) struct ServerContext {
    pub(crate) handler: Handler,
    pub(crate) limits: Limits,
    pub(crate) stop: Flag,
    pub(crate) idle: Rc<IdleConnections>,
    open: Cell<usize>,
    all_closed: Flag,
}

/// Serves requests from `listener` until `stop` fires and the connections are closed.
///
/// After `stop` no connection is accepted; requests in flight are finished, for at most
/// [`Limits::stop_grace`], and each response says that its connection closes.
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
            log::warn!(open = cx.open.get(); "cutting requests at the end of the grace time");
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
                log::warn!(error:% = error; "accepting a connection failed");
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
        log::debug!(peer:% = peer, error:% = error; "setting socket options failed");
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

/// Connections beyond the limit that are told so at once; more are closed unanswered.
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

/// Counts a connection for as long as it lives.
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
