//! Connection pool for one backend server or peer.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use heatherknot_types::prelude::*;
use http::HeaderName;
use monoio::net::TcpStream;
use snafu::ResultExt;

use crate::body::Body;
use crate::exchange;
use crate::halves::{self, WriteHalf};
use crate::message::{RequestHead, Response};
use crate::reader::{HEAD_READ, Reader};
use crate::send_error::{
    ConnectSnafu, ExpiredSnafu, PoolFullSnafu, SendError, SendProgress, Step, WithheldSnafu,
};
use crate::socket::{self, IdleState, LivenessOptions};
use crate::timeout::with_timeout;

/// Settings of one pool.
#[derive(Clone, Debug)]
pub struct PoolConfig {
    /// Maximum number of open connections, including idle ones.
    pub max_connections: usize,
    /// Idle time after which a connection is closed.
    pub max_idle: Millis,
    /// Idle time after which a connection is not used for a request that must run at most
    /// once. If the connection turned out dead, it would be unknown whether the request ran.
    pub max_idle_non_idempotent: Millis,
    /// Age after which a connection is closed instead of reused.
    pub max_age: Millis,
    /// Maximum time to open a connection.
    pub connect_timeout: Duration,
    /// Maximum wait for the peer to accept more bytes of a request.
    pub write_timeout: Duration,
    /// Maximum wait for the head of a response after the request was sent. After it the
    /// connection counts as silent.
    pub silence_limit: Duration,
    /// Maximum wait for the next bytes of a response body.
    pub body_timeout: Duration,
    /// Maximum size of a response head, in bytes.
    pub max_head_bytes: usize,
    /// How the operating system detects dead peers.
    pub liveness: LivenessOptions,
    /// Whether a response without a length may be delimited by the close of its connection.
    /// If the peer ends such a response early by an orderly close, it looks complete, so it is refused
    /// from peers that never send one.
    pub allow_close_delimited: bool,
    /// The request header that the peer echoes in its response, if any. A response that echoes
    /// another value belongs to an earlier request and is skipped.
    pub echoed_header: Option<HeaderName>,
}

impl Default for PoolConfig {
    fn default() -> Self {
        Self {
            max_connections: 330,
            max_idle: Millis(30_000),
            max_idle_non_idempotent: Millis(1_000),
            max_age: Millis(300_000),
            connect_timeout: Duration::from_secs(1),
            write_timeout: Duration::from_secs(5),
            silence_limit: Duration::from_secs(30),
            body_timeout: Duration::from_secs(20),
            max_head_bytes: 16 * 1024,
            liveness: LivenessOptions::default(),
            allow_close_delimited: false,
            echoed_header: None,
        }
    }
}

/// Options for sending one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendOptions {
    /// The deadline of the request, on the pool's clock.
    pub deadline: Option<Millis>,
    /// Whether the request is idempotent.
    pub idempotent: bool,
    /// Whether to open a new connection, for example for a retry after a silent one.
    pub new_connection: bool,
}

/// A pool of connections to one backend server or peer.
///
/// Clones share the connections. Dropping the future of [`Pool::send`], or a response body
/// before its end, closes the connection that it used.
#[derive(Clone)]
pub struct Pool {
    inner: Rc<PoolInner>,
}

pub(crate) struct PoolInner {
    pub(crate) address: SocketAddr,
    pub(crate) config: PoolConfig,
    pub(crate) clock: Clock,
    idle: RefCell<VecDeque<PooledConnection>>,
    open: Cell<usize>,
}

/// One connection of a pool.
pub(crate) struct PooledConnection {
    pub(crate) reader: Reader,
    pub(crate) write: WriteHalf,
    pub(crate) info: ConnectionInfo,
}

/// Bookkeeping of one connection, which counts as open until this is dropped.
///
/// The reference to the pool is weak because the pool owns its idle connections: a strong one
/// would form a cycle and leak the pool and its connections.
pub(crate) struct ConnectionInfo {
    pool: Weak<PoolInner>,
    opened: Millis,
    last_used: Millis,
    /// The idle time after which the peer may close the connection, if it announced one.
    pub(crate) peer_idle_timeout: Option<Millis>,
    pub(crate) reused: bool,
}

impl Drop for ConnectionInfo {
    fn drop(&mut self) {
        if let Some(pool) = self.pool.upgrade() {
            pool.open.set(pool.open.get() - 1);
        }
    }
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(address: SocketAddr, config: PoolConfig, clock: Clock) -> Self {
        Self {
            inner: Rc::new(PoolInner {
                address,
                config,
                clock,
                idle: RefCell::default(),
                open: Cell::new(0),
            }),
        }
    }

    /// Returns the address of the backend server or peer.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Returns the number of open connections, including idle ones.
    pub fn open(&self) -> usize {
        self.inner.open.get()
    }

    /// Returns the number of idle connections.
    pub fn idle(&self) -> usize {
        self.inner.idle.borrow().len()
    }

    /// Closes the idle connections.
    pub fn close_idle(&self) {
        self.inner.idle.borrow_mut().clear();
    }

    /// Closes idle connections that exceed their limits, and frees the buffers of the others.
    /// Call it every few seconds.
    pub fn sweep(&self) {
        let now = self.inner.clock.now();
        let config = &self.inner.config;
        let mut idle = self.inner.idle.borrow_mut();
        idle.retain(|connection| connection.info.is_usable(now, config.max_idle, config));
        idle.iter_mut()
            .for_each(|connection| connection.reader.shrink(0));
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns an error if no response was received; [`SendError::send_progress`] tells whether
    /// the request may have run.
    pub async fn send(
        &self,
        head: RequestHead,
        body: Body,
        options: SendOptions,
    ) -> Result<Response, SendError> {
        self.send_if(head, body, options, || true).await
    }

    /// Does the same, unless `may_send` returns false once a connection is there. Obtaining one may
    /// take as long as the connect timeout.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Pool::send`] does, or [`SendError::Withheld`] if `may_send` is false.
    pub async fn send_if(
        &self,
        head: RequestHead,
        body: Body,
        options: SendOptions,
        may_send: impl FnOnce() -> bool,
    ) -> Result<Response, SendError> {
        let connection = self.connection(&options).await?;
        if !may_send() {
            connection.put_back();
            let peer = self.inner.address;
            return WithheldSnafu { peer }.fail();
        }
        exchange::run(&self.inner, connection, head, body, options.deadline).await
    }

    /// Opens a connection for the next request.
    ///
    /// # Errors
    ///
    /// Returns an error if none could be opened; [`SendError::is_refused`] distinguishes a peer
    /// whose process has ended from one that is unreachable.
    pub async fn preconnect(&self) -> Result<(), SendError> {
        let limit = self.inner.config.connect_timeout;
        let connection = self.inner.connect(limit, None).await?;
        connection.put_back();
        Ok(())
    }

    async fn connection(&self, options: &SendOptions) -> Result<PooledConnection, SendError> {
        let inner = &self.inner;
        let limit = inner.time_left(options.deadline, inner.config.connect_timeout);
        if limit.is_zero() {
            return inner.expired(Step::Connect, SendProgress::NotSent);
        }
        if !options.new_connection
            && let Some(connection) = inner.take_idle(options.idempotent)
        {
            return Ok(connection);
        }
        inner.connect(limit, options.deadline).await
    }
}

impl PoolInner {
    /// Returns the time until `deadline`, capped at `limit`.
    pub(crate) fn time_left(&self, deadline: Option<Millis>, limit: Duration) -> Duration {
        match deadline {
            Some(deadline) => {
                let left = deadline.since(self.clock.now());
                limit.min(Duration::from_millis(left.0))
            }
            None => limit,
        }
    }

    pub(crate) fn is_past(&self, deadline: Option<Millis>) -> bool {
        deadline.is_some_and(|deadline| self.clock.now() >= deadline)
    }

    pub(crate) fn expired<T>(&self, step: Step, progress: SendProgress) -> Result<T, SendError> {
        let peer = self.address;
        ExpiredSnafu {
            peer,
            step,
            progress,
        }
        .fail()
    }

    /// Takes the most recently used idle connection that is still usable.
    ///
    /// A peer may have closed an idle connection or sent unexpected data on it. A request on
    /// it would fail with unknown outcome, or receive a response that isn't its own. So the
    /// state of each connection is checked before reuse.
    fn take_idle(&self, idempotent: bool) -> Option<PooledConnection> {
        let now = self.clock.now();
        let max_idle = match idempotent {
            true => self.config.max_idle,
            false => self
                .config
                .max_idle_non_idempotent
                .min(self.config.max_idle),
        };
        loop {
            let mut connection = self.idle.borrow_mut().pop_back()?;
            if !connection
                .info
                .is_usable(now, self.config.max_idle, &self.config)
            {
                continue;
            }
            if now.since(connection.info.last_used) > max_idle {
                self.idle.borrow_mut().push_back(connection);
                return None;
            }
            if connection.reader.idle_state() == IdleState::Quiet {
                connection.info.reused = true;
                return Some(connection);
            }
        }
    }

    async fn connect(
        self: &Rc<Self>,
        limit: Duration,
        deadline: Option<Millis>,
    ) -> Result<PooledConnection, SendError> {
        let peer = self.address;
        let info = self.reserve_connection()?;
        let stream = match with_timeout(limit, TcpStream::connect_addr(peer)).await {
            Some(connected) => connected.context(ConnectSnafu { peer })?,
            None if self.is_past(deadline) => {
                return self.expired(Step::Connect, SendProgress::NotSent);
            }
            None => {
                return Err(io::Error::from(io::ErrorKind::TimedOut))
                    .context(ConnectSnafu { peer });
            }
        };
        socket::configure(&stream, &self.config.liveness).context(ConnectSnafu { peer })?;
        let (read, write) = halves::split(stream);
        Ok(PooledConnection {
            reader: Reader::new(read),
            write,
            info,
        })
    }

    /// Counts a new connection, closing the oldest idle one if the pool is full.
    fn reserve_connection(self: &Rc<Self>) -> Result<ConnectionInfo, SendError> {
        let max = self.config.max_connections;
        if self.open.get() >= max {
            let oldest = self.idle.borrow_mut().pop_front();
            drop(oldest);
        }
        if self.open.get() >= max {
            let peer = self.address;
            return PoolFullSnafu { peer, max }.fail();
        }
        self.open.set(self.open.get() + 1);
        let now = self.clock.now();
        Ok(ConnectionInfo {
            pool: Rc::downgrade(self),
            opened: now,
            last_used: now,
            peer_idle_timeout: None,
            reused: false,
        })
    }

    /// Closes the idle connections that were last used before `since`.
    ///
    /// A middlebox that dropped the state of one connection has probably dropped that of
    /// connections idle for as long. Each would delay its next request by the silence limit,
    /// so all are closed when the first is detected.
    pub(crate) fn close_idle_before(&self, since: Millis) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| connection.info.last_used >= since);
    }
}

impl PooledConnection {
    /// Returns a connection to the pool after its last response was completely read. If the
    /// pool was dropped, the connection is closed.
    pub(crate) fn put_back(mut self) {
        let Some(pool) = self.info.pool.upgrade() else {
            return;
        };
        let now = pool.clock.now();
        self.info.last_used = now;
        let is_clean = self.reader.buf.is_empty();
        if is_clean && self.info.is_usable(now, pool.config.max_idle, &pool.config) {
            self.reader.shrink(HEAD_READ);
            pool.idle.borrow_mut().push_back(self);
        }
    }
}

impl ConnectionInfo {
    fn is_usable(&self, now: Millis, max_idle: Millis, config: &PoolConfig) -> bool {
        let idle = now.since(self.last_used);
        // If a request crosses the peer's close, it is unknown whether it ran. A margin of a
        // fifth of the announced time covers network latency and rounding to whole seconds.
        let is_within_peer_timeout = self
            .peer_idle_timeout
            .is_none_or(|peer| idle.0 <= peer.0 / 5 * 4);
        is_within_peer_timeout && idle <= max_idle && now.since(self.opened) <= config.max_age
    }
}
