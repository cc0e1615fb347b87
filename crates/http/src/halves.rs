//! The two halves of a connection, which share its failure.
//!
//! The operating system reports the failure of a connection only once, to the first call that meets it. After a
//! write has met it, reads return the bytes received before the failure and then zero, as after an orderly close
//! by the peer. So each half records the failure that it meets, and a read reports it unless the peer's close
//! came first.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use monoio::BufResult;
use monoio::buf::{IoBuf, IoBufMut};
use monoio::io::{AsyncReadRent, AsyncWriteRent, OwnedReadHalf, Splitable};
use monoio::net::TcpStream;
use monoio::net::tcp::{TcpOwnedReadHalf, TcpOwnedWriteHalf};

use crate::socket::{self, IdleState};

/// The first failure of a connection that one of its halves has met.
#[derive(Clone, Default)]
struct SharedFailure(Rc<Cell<Option<i32>>>);

impl SharedFailure {
    /// Records the failure. Later ones are not recorded, as all writes after it fail with a broken pipe.
    fn record(&self, error: &io::Error) {
        if self.0.get().is_none() {
            self.0.set(error.raw_os_error());
        }
    }

    fn error(&self) -> Option<io::Error> {
        self.0.get().map(io::Error::from_raw_os_error)
    }
}

/// Splits a connection into its halves.
pub(crate) fn split(stream: TcpStream) -> (ReadHalf, WriteHalf) {
    let (read, write) = stream.into_split();
    let failure = SharedFailure::default();
    let read = ReadHalf {
        half: read,
        failure: failure.clone(),
        received: 0,
    };
    let write = WriteHalf {
        half: write,
        failure,
    };
    (read, write)
}

/// The half of a connection that receives.
pub(crate) struct ReadHalf {
    half: TcpOwnedReadHalf,
    failure: SharedFailure,
    /// Number of bytes that reads have returned.
    received: u64,
}

impl ReadHalf {
    /// Reads once; returns the number of bytes and the buffer. The number is zero only after an orderly close by
    /// the peer.
    ///
    /// # Errors
    ///
    /// Returns the failure of the connection, even if the other half has met it.
    pub(crate) async fn read<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        let (result, buf) = self.half.read(buf).await;
        let result = match result {
            Ok(0) => self.check_orderly_close().map(|()| 0),
            other => other,
        };
        match &result {
            Ok(n) => self.received += *n as u64,
            Err(error) => self.failure.record(error),
        }
        (result, buf)
    }

    /// Returns the failure of the connection if it came before an orderly close by the peer. All received bytes
    /// must have been read.
    fn check_orderly_close(&self) -> io::Result<()> {
        let Some(error) = self.failure.error() else {
            return Ok(());
        };
        let was_closed_before = match error.kind() {
            io::ErrorKind::ConnectionReset => false,
            // The operating system reports a reset after an orderly close as a broken pipe.
            io::ErrorKind::BrokenPipe => true,
            // Time-outs and unreachable peers are reported alike before and after a close.
            _ => socket::received_bytes(&self.half)? > self.received,
        };
        match was_closed_before {
            true => Ok(()),
            false => Err(error),
        }
    }

    /// Waits until bytes are available or the stream has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system can't wait for the connection.
    pub(crate) async fn readable(&self) -> io::Result<()> {
        socket::readable(&self.half).await
    }

    /// Returns the state of an idle connection without consuming bytes.
    pub(crate) fn idle_state(&self) -> IdleState {
        socket::half_idle_state(&self.half)
    }

    /// Creates a probe that can be used while the half is borrowed.
    pub(crate) fn probe(&self) -> CloseProbe {
        CloseProbe {
            half: OwnedReadHalf(Rc::clone(&self.half.0)),
        }
    }
}

/// Detects whether the peer has closed a connection while another task reads from it.
pub(crate) struct CloseProbe {
    half: TcpOwnedReadHalf,
}

impl CloseProbe {
    pub(crate) fn is_peer_closed(&self) -> bool {
        socket::is_peer_closed(&self.half)
    }
}

/// The half of a connection that sends.
pub(crate) struct WriteHalf {
    half: TcpOwnedWriteHalf,
    failure: SharedFailure,
}

impl WriteHalf {
    /// Writes once; returns the number of bytes accepted and the buffer.
    ///
    /// # Errors
    ///
    /// Returns the failure of the connection, and records it for the other half.
    pub(crate) async fn write<T: IoBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        let (result, buf) = self.half.write(buf).await;
        if let Err(error) = &result {
            self.failure.record(error);
        }
        (result, buf)
    }

    /// Closes the write side; the peer reads the end of the stream after the bytes written.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is no longer open.
    pub(crate) async fn shutdown(&mut self) -> io::Result<()> {
        self.half.shutdown().await
    }
}
