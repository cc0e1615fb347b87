//! The read half of a connection and the bytes read ahead from it.

use std::io;
use std::rc::Rc;

use bytes::BytesMut;
use monoio::io::{AsyncReadRent, OwnedReadHalf};
use monoio::net::tcp::TcpOwnedReadHalf;

use crate::head::{self, HeadError};
use crate::socket::{self, IdleState};

/// Bytes asked for in one read while a head is awaited.
pub(crate) const HEAD_READ: usize = 4 * 1024;
/// Bytes asked for in the first read of a request. Every connection of a caller that was
/// just used holds that much.
pub(crate) const CALLER_READ: usize = 2 * 1024;
/// Most bytes asked for in one read within a body.
pub(crate) const MAX_BODY_READ: usize = 256 * 1024;

/// Why a head could not be read.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The connection failed or ended.
    Io(io::Error),
    /// The head is refused.
    Head(HeadError),
}

/// The read half of a connection, with the bytes read but not yet used.
pub(crate) struct Reader {
    half: TcpOwnedReadHalf,
    /// Bytes read but not yet used.
    pub(crate) buf: BytesMut,
}

impl Reader {
    pub(crate) fn new(half: TcpOwnedReadHalf) -> Self {
        Self {
            half,
            buf: BytesMut::new(),
        }
    }

    /// Reads up to about `want` bytes more into the buffer; gives zero at the end of the
    /// stream.
    ///
    /// Dropping the future loses no byte: those already there stay in `buf`, and only the
    /// spare capacity after them is lent to the read.
    pub(crate) async fn fill(&mut self, want: usize) -> io::Result<usize> {
        if self.buf.is_empty() {
            return self.fill_empty(want).await;
        }
        self.buf.reserve(want);
        let at = self.buf.len();
        let spare = self.buf.split_off(at);
        let (result, spare) = self.half.read(spare).await;
        self.buf.unsplit(spare);
        result
    }

    async fn fill_empty(&mut self, want: usize) -> io::Result<usize> {
        let mut buf = std::mem::take(&mut self.buf);
        buf.clear();
        buf.reserve(want);
        let (result, buf) = self.half.read(buf).await;
        self.buf = buf;
        result
    }

    /// Waits until there are bytes to read or the stream has ended, without a buffer.
    pub(crate) async fn readable(&mut self) -> io::Result<()> {
        socket::readable(&self.half).await
    }

    /// Reads until a head is whole; gives its length.
    ///
    /// # Errors
    ///
    /// Returns an error where the stream ends, the head is too long or its line ends are
    /// wrong.
    pub(crate) async fn fill_head(
        &mut self,
        scanned: &mut usize,
        max: usize,
    ) -> Result<usize, ReadError> {
        loop {
            let found = head::find_end(&self.buf, scanned, max).map_err(ReadError::Head)?;
            if let Some(len) = found {
                return Ok(len);
            }
            match self.fill(HEAD_READ).await {
                Ok(0) => return Err(ReadError::Io(io::ErrorKind::UnexpectedEof.into())),
                Ok(_) => {}
                Err(error) => return Err(ReadError::Io(error)),
            }
        }
    }

    /// Reads and drops bytes until the end of the stream, at most about `max` of them.
    pub(crate) async fn discard(&mut self, max: usize) {
        let mut seen = 0;
        while seen < max {
            self.buf.clear();
            match self.fill(HEAD_READ).await {
                Ok(0) | Err(_) => return,
                Ok(n) => seen += n,
            }
        }
    }

    /// Frees the buffer of an idle connection where it is larger than `max`.
    pub(crate) fn shrink(&mut self, max: usize) {
        if self.buf.is_empty() && self.buf.capacity() > max {
            self.buf = BytesMut::new();
        }
    }

    /// Looks at the connection without taking bytes from it.
    pub(crate) fn idle_state(&self) -> IdleState {
        socket::half_idle_state(&self.half)
    }

    /// Makes a probe that outlives the loan of this reader.
    pub(crate) fn probe(&self) -> CloseProbe {
        CloseProbe {
            half: OwnedReadHalf(Rc::clone(&self.half.0)),
        }
    }
}

/// Finds out whether the peer of a connection has closed it, while another task reads it.
pub(crate) struct CloseProbe {
    half: TcpOwnedReadHalf,
}

impl CloseProbe {
    pub(crate) fn is_peer_closed(&self) -> bool {
        socket::is_peer_closed(&self.half)
    }
}
