//! The two halves of a connection, which share its failure.
//!
//! The operating system reports the failure of a connection only once, to the first call that meets it. After a
//! write has met it, a read returns the bytes received before the failure and then zero, as if the peer had
//! closed its side in order. So each half records the failure that it meets, and a read reports it instead
//! of an end of the stream that the peer did not send.

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
    /// Records the failure. Later ones say nothing: writes then fail with a broken pipe.
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
    /// Reads once; returns the number of bytes and the buffer. The number is zero only if the peer closed its
    /// side in order.
    ///
    /// # Errors
    ///
    /// Returns the failure of the connection, even if the other half has met it.
    pub(crate) async fn read<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        let (result, buf) = self.half.read(buf).await;
        let result = match result {
            Ok(0) => self.end_of_stream().map(|()| 0),
            other => other,
        };
        match &result {
            Ok(n) => self.received += *n as u64,
            Err(error) => self.failure.record(error),
        }
        (result, buf)
    }

    /// Checks that the peer closed its side before the connection failed, if it has failed.
    fn end_of_stream(&self) -> io::Result<()> {
        let Some(error) = self.failure.error() else {
            return Ok(());
        };
        let is_in_order = match error.kind() {
            io::ErrorKind::ConnectionReset => false,
            // Reported for a reset if the peer had closed its side before.
            io::ErrorKind::BrokenPipe => true,
            // Time-outs and unreachable peers are reported alike before and after a close.
            _ => socket::received_bytes(&self.half)? > self.received,
        };
        match is_in_order {
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
