//! The write half of a connection.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use monoio::buf::IoBuf;

use crate::body::{Body, BodyError};
use crate::encode;
use crate::halves::WriteHalf;
use crate::incoming::Framing;
use crate::send_error::SendProgress;
use crate::timeout::with_timeout;

/// Maximum size of the output buffer, in bytes, up to which a chunk is copied into it, so that it
/// is sent in one write with the head or chunk size before it.
const MAX_COALESCED_BYTES: usize = 16 * 1024;

/// Why a message could not be completely written.
#[derive(Debug)]
pub(crate) enum WriteError {
    /// The connection failed.
    Io(io::Error),
    /// The peer accepted no bytes within the write timeout.
    Stalled,
    /// Reading the body failed.
    Body(BodyError),
}

/// The write half of a connection with an output buffer.
pub(crate) struct Writer {
    half: WriteHalf,
    timeout: Duration,
    /// Bytes encoded but not yet written.
    pub(crate) out: BytesMut,
    /// Number of bytes that the operating system has accepted.
    written: u64,
}

impl Writer {
    /// Creates a writer that waits at most `timeout` for the peer to accept more bytes.
    pub(crate) fn new(half: WriteHalf, timeout: Duration) -> Self {
        Self {
            half,
            timeout,
            out: BytesMut::new(),
            written: 0,
        }
    }

    /// Returns the write half.
    pub(crate) fn into_half(self) -> WriteHalf {
        self.half
    }

    /// Returns whether the operating system has accepted any byte.
    pub(crate) fn send_progress(&self) -> SendProgress {
        match self.written {
            0 => SendProgress::NotSent,
            _ => SendProgress::MaybeSent,
        }
    }

    /// Writes the output buffer.
    pub(crate) async fn flush(&mut self) -> Result<(), WriteError> {
        if self.out.is_empty() {
            return Ok(());
        }
        let out = std::mem::take(&mut self.out);
        let (n, mut out) = self.write(out).await?;
        if n == out.len() {
            out.clear();
            self.out = out;
            return Ok(());
        }
        self.write_all(out.split_off(n).freeze()).await
    }

    /// Frees the output buffer if it is empty.
    pub(crate) fn shrink(&mut self) {
        if self.out.is_empty() {
            self.out = BytesMut::new();
        }
    }

    /// Writes once; returns the number of bytes accepted and the buffer.
    async fn write<T: IoBuf>(&mut self, buf: T) -> Result<(usize, T), WriteError> {
        let n = match with_timeout(self.timeout, self.half.write(buf)).await {
            None => return Err(WriteError::Stalled),
            Some((Err(error), _)) => return Err(WriteError::Io(error)),
            Some((Ok(0), _)) => return Err(WriteError::Io(io::ErrorKind::WriteZero.into())),
            Some((Ok(n), buf)) => (n, buf),
        };
        self.written += n.0 as u64;
        Ok(n)
    }

    async fn write_all(&mut self, bytes: Bytes) -> Result<(), WriteError> {
        let mut rest = bytes;
        while !rest.is_empty() {
            let (n, mut written) = self.write(rest).await?;
            rest = written.split_off(n);
        }
        Ok(())
    }

    /// Writes one chunk of a body.
    pub(crate) async fn chunk(&mut self, chunk: Bytes, framing: Framing) -> Result<(), WriteError> {
        if framing == Framing::Chunked {
            encode::chunk_size_line(&mut self.out, &chunk);
        }
        if self.out.len() + chunk.len() <= MAX_COALESCED_BYTES {
            self.out.extend_from_slice(&chunk);
        } else {
            self.flush().await?;
            self.write_all(chunk).await?;
        }
        if framing == Framing::Chunked {
            self.out.extend_from_slice(b"\r\n");
        }
        Ok(())
    }

    /// Closes the write side; the peer reads the end of the stream after the bytes written.
    pub(crate) async fn shutdown(&mut self) {
        let _ = self.half.shutdown().await;
    }
}

/// Returns the framing with which `body` is sent.
pub(crate) fn framing_of(body: &Body) -> Framing {
    body.known_len().map_or(Framing::Chunked, Framing::Length)
}
