//! Connections to one backend server or peer, kept for further requests.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use heatherknot_types::prelude::*;
use http::HeaderName;
use monoio::io::Splitable;
use monoio::net::TcpStream;
use monoio::net::tcp::TcpOwnedWriteHalf;
use snafu::ResultExt;

use crate::body::Body;
use crate::exchange;
use crate::message::{RequestHead, Response};
use crate::reader::{HEAD_READ, Reader};
use crate::send_error::{ConnectSnafu, ExpiredSnafu, PoolFullSnafu, SendError, SendProgress, Step};
use crate::socket::{self, IdleState, LivenessOptions};
use crate::timeout::with_timeout;

/// Settings of one pool.
#[derive(Clone, Debug)]
pub struct PoolConfig {
    /// Connections open at once, idle ones among them.
    pub max_connections: usize,
    /// Idle time after which a connection is closed.
    pub max_idle: Millis,
    /// Idle time after which a connection is not used for a request that must run at most
    /// once. If such a connection turns out dead, nobody knows whether the request ran.
    pub max_idle_non_idempotent: Millis,
    /// Age after which a connection is closed rather than used again.
    pub max_age: Millis,
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest wait for the peer to take some bytes of a request.
    pub write_timeout: Duration,
    /// Longest wait for the first byte of a response after the request was sent. A
    /// connection that gives none is taken for silent.
    pub silence_limit: Duration,
    /// Longest wait for some bytes of a response body.
    pub body_timeout: Duration,
    /// Longest response head, in bytes.
    pub max_head_bytes: usize,
    /// How the operating system looks for peers that are gone without a word.
    pub liveness: LivenessOptions,
    /// Whether a response without a length may end with its connection. Where the peer never
    /// sends such responses, one is refused: it looks whole wherever it breaks off.
    pub allow_close_delimited: bool,
    /// The request header that the peer repeats in its response, where it does. A response
    /// that repeats another value belongs to an earlier request and is passed over.
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

/// How one request is sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendOptions {
    /// When the caller gives up, on the pool's clock.
    pub deadline: Option<Millis>,
    /// Whether the request may run twice without harm.
    pub idempotent: bool,
    /// Whether to open a new connection, as for a retry after a silent one.
    pub new_connection: bool,
}

/// Connections to one backend server or peer.
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
    pub(crate) write: TcpOwnedWriteHalf,
    pub(crate) info: ConnectionInfo,
}

/// What a pool knows of one connection. Counts the connection for as long as it lives.
///
/// An idle connection lies in its pool. Were its seat to keep the pool alive, a pool that nobody
/// uses any more would keep itself and its connections open for good.
pub(crate) struct ConnectionInfo {
    pool: Weak<PoolInner>,
    opened: Millis,
    last_used: Millis,
    /// The idle time after which the peer may close the connection, where it said so.
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
    /// Makes a pool without connections.
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

    /// Gives the address of the backend server or peer.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Gives the number of open connections, idle ones among them.
    pub fn open(&self) -> usize {
        self.inner.open.get()
    }

    /// Gives the number of idle connections.
    pub fn idle(&self) -> usize {
        self.inner.idle.borrow().len()
    }

    /// Closes the idle connections.
    pub fn close_idle(&self) {
        self.inner.idle.borrow_mut().clear();
    }

    /// Closes idle connections that are past their limits, and frees the buffers of others.
    /// It is to be called every few seconds.
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
    /// Returns an error where no response came; [`SendError::send_progress`] says whether the
    /// request may have run.
    pub async fn send(
        &self,
        head: RequestHead,
        body: Body,
        options: SendOptions,
    ) -> Result<Response, SendError> {
        let connection = self.connection(&options).await?;
        exchange::run(&self.inner, connection, head, body, options.deadline).await
    }

    /// Opens a connection, which the next request may use.
    ///
    /// # Errors
    ///
    /// Returns an error where none could be opened; [`SendError::is_refused`] tells a peer that
    /// has ended from one that can't be reached.
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
    /// Gives the time until `deadline`, but no more than `limit`.
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

    /// Takes the idle connection that was used last and still looks sound.
    ///
    /// A peer may have closed an idle connection, or written to it unasked. A request sent
    /// on it would fail with its outcome unknown, or get an answer that isn't its own. So
    /// each connection is looked at before it is used again.
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
        let (read, write) = stream.into_split();
        Ok(PooledConnection {
            reader: Reader::new(read),
            write,
            info,
        })
    }

    /// Counts a new connection, closing the oldest idle one where that makes the room.
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
    /// A middlebox that forgot one connection has likely forgotten those that were quiet
    /// as long. Each would cost its next request a silence limit, so they are all replaced
    /// when the first one is found.
    pub(crate) fn close_idle_before(&self, since: Millis) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| connection.info.last_used >= since);
    }
}

impl PooledConnection {
    /// Puts a connection back whose last response was read whole. Where the pool is no longer
    /// used, the connection is closed.
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
        // A request that crosses the peer's close may have run, as far as anybody knows. A
        // fifth of the stated time covers the way there and the rounding to whole seconds.
        let is_within_peer_timeout = self
            .peer_idle_timeout
            .is_none_or(|peer| idle.0 <= peer.0 / 5 * 4);
        is_within_peer_timeout && idle <= max_idle && now.since(self.opened) <= config.max_age
    }
}
