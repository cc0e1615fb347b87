//! Bodies read from a connection: framing, chunked transfer coding and limits.

use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};

use crate::body::{BodyError, MalformedSnafu, TooLargeSnafu, TruncatedSnafu};
use crate::reader::{HEAD_READ, MAX_BODY_READ, Reader};
use crate::timeout::with_timeout;

/// Maximum length of a chunk-size line, including chunk extensions, in bytes.
const MAX_CHUNK_SIZE_LINE: usize = 256;
/// Maximum size of the trailers after the last chunk, in bytes.
const MAX_TRAILERS: usize = 4 * 1024;

/// Chunks up to this size, in bytes, are copied out of the read buffer, so that it can be reused.
const MAX_COPIED_CHUNK: usize = 4 * 1024;
/// Size of the first read of a body, in bytes.
const FIRST_BODY_READ: usize = 16 * 1024;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body uses chunked transfer coding.
    Chunked,
    /// The body ends when its connection is closed in an orderly way; a reset truncates it.
    UntilClose,
}

/// Decodes a body incrementally, without buffering more than was read.
#[derive(Debug)]
pub(crate) enum BodyDecoder {
    Length(u64),
    Chunked(ChunkState),
    UntilClose { closed: bool },
}

/// What a chunked body is expected to contain next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChunkState {
    Size,
    Data(u64),
    DataEnd,
    Trailers { seen: usize },
    End,
}

/// The result of [`BodyDecoder::decode`].
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Decoded {
    Chunk(Bytes),
    NeedMore,
    End,
}

impl BodyDecoder {
    pub(crate) fn new(framing: Framing) -> Self {
        match framing {
            Framing::Length(len) => BodyDecoder::Length(len),
            Framing::Chunked => BodyDecoder::Chunked(ChunkState::Size),
            Framing::UntilClose => BodyDecoder::UntilClose { closed: false },
        }
    }

    pub(crate) fn is_end(&self) -> bool {
        matches!(
            self,
            BodyDecoder::Length(0)
                | BodyDecoder::Chunked(ChunkState::End)
                | BodyDecoder::UntilClose { closed: true }
        )
    }

    /// Records an orderly close of the connection; returns whether that ends the body.
    fn end_on_close(&mut self) -> bool {
        match self {
            BodyDecoder::UntilClose { closed } => {
                *closed = true;
                true
            }
            BodyDecoder::Length(_) | BodyDecoder::Chunked(_) => false,
        }
    }

    /// Decodes the next chunk of the body from the front of `buf`.
    pub(crate) fn decode(&mut self, buf: &mut BytesMut) -> Result<Decoded, BodyError> {
        match self {
            BodyDecoder::Length(0) => Ok(Decoded::End),
            BodyDecoder::Length(left) => Ok(take_data(left, buf)),
            BodyDecoder::Chunked(state) => decode_chunked(state, buf),
            BodyDecoder::UntilClose { closed } => match (buf.is_empty(), *closed) {
                (true, true) => Ok(Decoded::End),
                (true, false) => Ok(Decoded::NeedMore),
                (false, _) => Ok(Decoded::Chunk(buf.split().freeze())),
            },
        }
    }
}

fn take_data(left: &mut u64, buf: &mut BytesMut) -> Decoded {
    if buf.is_empty() {
        return Decoded::NeedMore;
    }
    let n = buf.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
    *left -= n as u64;
    if n > MAX_COPIED_CHUNK {
        return Decoded::Chunk(buf.split_to(n).freeze());
    }
    let chunk = Bytes::copy_from_slice(&buf[..n]);
    buf.advance(n);
    Decoded::Chunk(chunk)
}

fn decode_chunked(state: &mut ChunkState, buf: &mut BytesMut) -> Result<Decoded, BodyError> {
    loop {
        match *state {
            ChunkState::Size => match take_line(buf, MAX_CHUNK_SIZE_LINE)? {
                None => return Ok(Decoded::NeedMore),
                Some(line) => *state = parse_chunk_size(&line)?,
            },
            ChunkState::Data(mut left) => {
                let decoded = take_data(&mut left, buf);
                if decoded != Decoded::NeedMore {
                    *state = match left {
                        0 => ChunkState::DataEnd,
                        left => ChunkState::Data(left),
                    };
                }
                return Ok(decoded);
            }
            ChunkState::DataEnd => {
                if buf.len() < 2 {
                    return Ok(Decoded::NeedMore);
                }
                if &buf[..2] != b"\r\n" {
                    return malformed("a chunk is longer than its size");
                }
                buf.advance(2);
                *state = ChunkState::Size;
            }
            ChunkState::Trailers { seen } => match take_line(buf, MAX_TRAILERS)? {
                None => return Ok(Decoded::NeedMore),
                Some(line) if line.is_empty() => *state = ChunkState::End,
                Some(line) if seen + line.len() > MAX_TRAILERS => {
                    return malformed("the trailers are too long");
                }
                Some(line) => {
                    *state = ChunkState::Trailers {
                        seen: seen + line.len(),
                    }
                }
            },
            ChunkState::End => return Ok(Decoded::End),
        }
    }
}

fn malformed<T>(cause: &'static str) -> Result<T, BodyError> {
    MalformedSnafu { cause }.fail()
}

/// Removes one line that ends in CR LF from the front of `buf`; returns it without the CR LF.
fn take_line(buf: &mut BytesMut, max: usize) -> Result<Option<BytesMut>, BodyError> {
    let Some(at) = buf.iter().take(max + 2).position(|&b| b == b'\n') else {
        if buf.len() > max {
            return malformed("a line is too long");
        }
        return Ok(None);
    };
    if at == 0 || buf[at - 1] != b'\r' {
        return malformed("a line ends in a bare LF");
    }
    let mut line = buf.split_to(at + 1);
    line.truncate(at - 1);
    if line.iter().any(|&b| b < b' ' && b != b'\t' || b == 0x7f) {
        return malformed("a line holds a control character");
    }
    Ok(Some(line))
}

/// Parses a chunk-size line. Chunk extensions are ignored.
fn parse_chunk_size(line: &[u8]) -> Result<ChunkState, BodyError> {
    let digits = match line.iter().position(|&b| b == b';') {
        Some(at) => &line[..at],
        None => line,
    };
    let is_hex = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    if !is_hex || digits.len() > 15 {
        return malformed("the size of a chunk is not a number");
    }
    let size = digits.iter().fold(0u64, |size, &b| {
        size * 16 + u64::from((b as char).to_digit(16).unwrap_or(0))
    });
    match size {
        0 => Ok(ChunkState::Trailers { seen: 0 }),
        size => Ok(ChunkState::Data(size)),
    }
}

/// The state of the connection after a body was read or dropped.
pub(crate) enum Released {
    /// The body was read to its end; the reader is at the start of the next message.
    Complete(Reader),
    /// The body was dropped before its end.
    Unread(Reader, BodyDecoder),
    /// Reading the body failed and the connection is not usable.
    Broken,
}

type Release = Box<dyn FnOnce(Released)>;

/// Limits for reading one body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// Maximum number of bytes, after transfer decoding.
    pub(crate) max_bytes: u64,
    /// Maximum wait for the next bytes.
    pub(crate) read_timeout: Duration,
    /// Minimum bytes per second, averaged over the time spent waiting, once that time is
    /// longer than `read_timeout`. Zero means no minimum.
    pub(crate) min_rate: u64,
}

/// A body that is read from a connection on demand.
pub(crate) struct IncomingBody {
    reader: Option<Reader>,
    decoder: BodyDecoder,
    limits: BodyLimits,
    remaining: u64,
    read_size: usize,
    received: u64,
    waited: Duration,
    release: Option<Release>,
}

impl IncomingBody {
    /// Creates a body; `reader` is at its start. `release` is called once, when the body has
    /// been read or dropped.
    pub(crate) fn new(
        reader: Reader,
        framing: Framing,
        limits: BodyLimits,
        release: Release,
    ) -> Self {
        Self {
            reader: Some(reader),
            decoder: BodyDecoder::new(framing),
            remaining: limits.max_bytes,
            read_size: FIRST_BODY_READ,
            received: 0,
            waited: Duration::ZERO,
            limits,
            release: Some(release),
        }
    }

    pub(crate) fn known_len(&self) -> Option<u64> {
        match &self.decoder {
            BodyDecoder::Length(left) => Some(*left),
            BodyDecoder::Chunked(ChunkState::End) => Some(0),
            BodyDecoder::UntilClose { closed: true } => Some(0),
            BodyDecoder::Chunked(_) | BodyDecoder::UntilClose { .. } => None,
        }
    }

    pub(crate) fn limit(&mut self, max: u64) {
        if max < self.remaining {
            self.remaining = max;
            self.limits.max_bytes = max;
        }
    }

    pub(crate) async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        self.reader.as_ref()?;
        match self.read_chunk().await {
            Ok(Some(chunk)) => {
                self.release_if_complete();
                Some(Ok(chunk))
            }
            Ok(None) => {
                self.release_if_complete();
                None
            }
            Err(error) => {
                self.reader = None;
                self.finish(Released::Broken);
                Some(Err(error))
            }
        }
    }

    async fn read_chunk(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            let Some(reader) = self.reader.as_mut() else {
                return Ok(None);
            };
            match self.decoder.decode(&mut reader.buf)? {
                Decoded::End => return Ok(None),
                Decoded::Chunk(chunk) => {
                    let Some(left) = self.remaining.checked_sub(chunk.len() as u64) else {
                        let limit = self.limits.max_bytes;
                        return TooLargeSnafu { limit }.fail();
                    };
                    self.remaining = left;
                    return Ok(Some(chunk));
                }
                Decoded::NeedMore => self.read_more().await?,
            }
        }
    }

    async fn read_more(&mut self) -> Result<(), BodyError> {
        let Some(reader) = self.reader.as_mut() else {
            return Ok(());
        };
        let want = self.read_size.min(expected_bytes(&self.decoder));
        let began = Instant::now();
        let cause = match with_timeout(self.limits.read_timeout, reader.fill(want)).await {
            None => return Err(BodyError::TooSlow),
            Some(Ok(n)) if n > 0 => {
                self.adapt_read_size(n);
                return self.check_rate(n, began.elapsed());
            }
            Some(Ok(_)) if self.decoder.end_on_close() => return Ok(()),
            Some(Ok(_)) => "closed by the peer".to_owned(),
            Some(Err(error)) => error.to_string(),
        };
        TruncatedSnafu { cause }.fail()
    }

    /// Doubles the read size when a read filled the buffer: a fast stream takes few calls, a
    /// slow one little memory.
    fn adapt_read_size(&mut self, n: usize) {
        if n >= self.read_size {
            self.read_size = (self.read_size * 2).min(MAX_BODY_READ);
        }
    }

    /// Returns an error if the sender is below the minimum rate. A sender could otherwise hold
    /// the connection open with single bytes, each within the read timeout. Only time spent
    /// waiting for bytes counts.
    fn check_rate(&mut self, n: usize, waited: Duration) -> Result<(), BodyError> {
        self.received += n as u64;
        self.waited += waited;
        let min_bytes = self.limits.min_rate as f64 * self.waited.as_secs_f64();
        if self.waited > self.limits.read_timeout && (self.received as f64) < min_bytes {
            return Err(BodyError::TooSlow);
        }
        Ok(())
    }

    fn release_if_complete(&mut self) {
        if !self.decoder.is_end() {
            return;
        }
        if let Some(reader) = self.reader.take() {
            self.finish(Released::Complete(reader));
        }
    }

    fn finish(&mut self, released: Released) {
        if let Some(release) = self.release.take() {
            release(released);
        }
    }
}

impl Drop for IncomingBody {
    fn drop(&mut self) {
        let Some(reader) = self.reader.take() else {
            return self.finish(Released::Broken);
        };
        let decoder = std::mem::replace(&mut self.decoder, BodyDecoder::Length(0));
        self.finish(Released::Unread(reader, decoder));
    }
}

/// Returns the number of bytes still expected, as an upper bound for the size of a read.
fn expected_bytes(decoder: &BodyDecoder) -> usize {
    let left = match decoder {
        BodyDecoder::Length(left) => usize::try_from(*left).unwrap_or(usize::MAX),
        BodyDecoder::Chunked(_) | BodyDecoder::UntilClose { .. } => usize::MAX,
    };
    left.max(HEAD_READ)
}
