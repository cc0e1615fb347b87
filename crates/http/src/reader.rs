//! The read half of a connection with its buffer.

use std::io;

use bytes::BytesMut;

use crate::halves::{CloseProbe, ReadHalf};
use crate::head::{self, HeadError};
use crate::socket::IdleState;

/// Size of one read while waiting for a head, in bytes.
pub(crate) const HEAD_READ: usize = 4 * 1024;
/// Size of the first read of a request, in bytes. Every recently used caller connection holds
/// a buffer of this size.
pub(crate) const CALLER_READ: usize = 2 * 1024;
/// Maximum size of one read of a body, in bytes.
pub(crate) const MAX_BODY_READ: usize = 256 * 1024;

/// Why a head could not be read.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The connection failed or ended.
    Io(io::Error),
    /// The head is invalid.
    Head(HeadError),
}

/// The read half of a connection with a buffer.
pub(crate) struct Reader {
    half: ReadHalf,
    /// Bytes read but not yet consumed.
    pub(crate) buf: BytesMut,
}

impl Reader {
    pub(crate) fn new(half: ReadHalf) -> Self {
        Self {
            half,
            buf: BytesMut::new(),
        }
    }

    /// Appends up to about `want` bytes to the buffer; returns zero after an orderly close by the peer.
    ///
    /// Dropping the future loses no buffered bytes: they stay in `buf`, and only the spare
    /// capacity after them is passed to the read.
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

    /// Waits until bytes are available or the stream has ended, without holding a buffer.
    pub(crate) async fn readable(&mut self) -> io::Result<()> {
        self.half.readable().await
    }

    /// Reads until the buffer contains a complete head; returns its length.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream ends, the head is too long or its line endings are
    /// invalid.
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

    /// Discards bytes until the end of the stream, at most about `max` of them.
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

    /// Frees the buffer of an idle connection if its capacity exceeds `max` bytes.
    pub(crate) fn shrink(&mut self, max: usize) {
        if self.buf.is_empty() && self.buf.capacity() > max {
            self.buf = BytesMut::new();
        }
    }

    /// Returns the state of an idle connection without consuming bytes.
    pub(crate) fn idle_state(&self) -> IdleState {
        self.half.idle_state()
    }

    /// Creates a probe that can be used while the reader is borrowed.
    pub(crate) fn probe(&self) -> CloseProbe {
        self.half.probe()
    }
}
