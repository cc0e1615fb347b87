//! Length-delimited messages on a TCP connection.
//!
//! After the handshake, each message has a sequence number and a message authentication code
//! (MAC).

use std::cell::Cell;
use std::rc::Rc;

use hmac::{Hmac, Mac};
use monoio::io::{
    AsyncReadRent, AsyncReadRentExt, AsyncWriteRentExt, OwnedReadHalf, OwnedWriteHalf,
};
use monoio::net::TcpStream;
use sha2::Sha256;
use snafu::Snafu;

/// HMAC state used for messages and the handshake.
pub type MacState = Hmac<Sha256>;

const LEN_BYTES: usize = 4;
const SEQ_BYTES: usize = 8;
const MAC_BYTES: usize = 16;
/// Length of the header of each message of an authenticated connection, in bytes.
pub const HEADER_BYTES: usize = LEN_BYTES + SEQ_BYTES + MAC_BYTES;

/// Why a message could not be read or written.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum FrameError {
    /// The other end closed the connection.
    #[snafu(display("the connection was closed"))]
    Closed,
    /// The operating system reported an error.
    #[snafu(display("{message}"))]
    Socket {
        /// The operating system's error message.
        message: String,
    },
    /// The message is larger than the limit.
    #[snafu(display("message of {len} bytes exceeds the limit of {limit}"))]
    Oversized {
        /// Length of the message in bytes.
        len: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The sequence number is not that of the next message.
    #[snafu(display("expected sequence number {expected}, found {found}"))]
    Sequence {
        /// The expected number.
        expected: u64,
        /// The received number.
        found: u64,
    },
    /// The message's MAC does not match its content.
    #[snafu(display("the message authentication code does not match"))]
    Forged,
}

/// Traffic counters over all connections of one daemon.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes received, including message headers.
    pub bytes_in: Cell<u64>,
    /// Bytes sent, including message headers.
    pub bytes_out: Cell<u64>,
    /// Messages received.
    pub frames_in: Cell<u64>,
    /// Messages sent.
    pub frames_out: Cell<u64>,
}

impl Traffic {
    fn received(&self, bytes: usize) {
        self.bytes_in.set(self.bytes_in.get() + bytes as u64);
        self.frames_in.set(self.frames_in.get() + 1);
    }

    fn sent(&self, bytes: usize) {
        self.bytes_out.set(self.bytes_out.get() + bytes as u64);
        self.frames_out.set(self.frames_out.get() + 1);
    }
}

fn socket_error(e: std::io::Error) -> FrameError {
    match e.kind() {
        std::io::ErrorKind::UnexpectedEof => FrameError::Closed,
        _ => FrameError::Socket {
            message: e.to_string(),
        },
    }
}

async fn fill<R: AsyncReadRent>(rd: &mut R, buf: Box<[u8]>) -> Result<Box<[u8]>, FrameError> {
    if buf.is_empty() {
        return Ok(buf);
    }
    let (read, buf) = rd.read_exact(buf).await;
    read.map_err(socket_error)?;
    Ok(buf)
}

fn zeroed(len: usize) -> Box<[u8]> {
    vec![0; len].into_boxed_slice()
}

fn checked_len(header: &[u8], limit: usize) -> Result<usize, FrameError> {
    let mut raw = [0; LEN_BYTES];
    raw.copy_from_slice(&header[..LEN_BYTES]);
    let len = u32::from_be_bytes(raw) as usize;
    if len > limit {
        return Err(FrameError::Oversized { len, limit });
    }
    Ok(len)
}

/// Reads one handshake message, which has no MAC.
///
/// # Errors
///
/// Returns an error if the connection ends or the message is longer than `limit` bytes.
pub async fn read_plain(
    rd: &mut TcpStream,
    limit: usize,
    traffic: &Traffic,
) -> Result<Box<[u8]>, FrameError> {
    let header = fill(rd, zeroed(LEN_BYTES)).await?;
    let len = checked_len(&header, limit)?;
    let payload = fill(rd, zeroed(len)).await?;
    traffic.received(LEN_BYTES + len);
    Ok(payload)
}

/// Writes one handshake message, which has no MAC.
///
/// # Errors
///
/// Returns an error if the connection is broken.
pub async fn write_plain(
    wr: &mut TcpStream,
    payload: &[u8],
    traffic: &Traffic,
) -> Result<(), FrameError> {
    let mut buf = Vec::with_capacity(LEN_BYTES + payload.len());
    buf.extend_from_slice(&(payload.len() as u32).to_be_bytes());
    buf.extend_from_slice(payload);
    traffic.sent(buf.len());
    let (written, _) = wr.write_all(buf).await;
    written.map(|_| ()).map_err(socket_error)
}

fn message_code(key: &MacState, seq: u64, payload: &[u8]) -> [u8; MAC_BYTES] {
    let mut mac = key.clone();
    mac.update(&seq.to_be_bytes());
    mac.update(payload);
    let full = mac.finalize().into_bytes();
    let mut code = [0; MAC_BYTES];
    code.copy_from_slice(&full[..MAC_BYTES]);
    code
}

/// Encodes one authenticated message.
pub fn encode(key: &MacState, seq: u64, payload: &[u8]) -> Vec<u8> {
    let mut buf = Vec::with_capacity(HEADER_BYTES + payload.len());
    buf.extend_from_slice(&(payload.len() as u32).to_be_bytes());
    buf.extend_from_slice(&seq.to_be_bytes());
    buf.extend_from_slice(&message_code(key, seq, payload));
    buf.extend_from_slice(payload);
    buf
}

/// The receiving half of an authenticated connection.
pub struct FrameReader {
    rd: OwnedReadHalf<TcpStream>,
    key: MacState,
    next_seq: u64,
    limit: usize,
    traffic: Rc<Traffic>,
}

impl FrameReader {
    /// Creates a reader that expects sequence number zero first.
    pub fn new(
        rd: OwnedReadHalf<TcpStream>,
        key: MacState,
        limit: usize,
        traffic: Rc<Traffic>,
    ) -> Self {
        Self {
            rd,
            key,
            next_seq: 0,
            limit,
            traffic,
        }
    }

    /// Reads one message. An empty message is a heartbeat of the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends, or if the message is too large, out of sequence
    /// or has a wrong MAC. The connection must not be used after any of these errors.
    pub async fn read(&mut self) -> Result<Box<[u8]>, FrameError> {
        let header = fill(&mut self.rd, zeroed(HEADER_BYTES)).await?;
        let len = checked_len(&header, self.limit)?;
        let mut raw = [0; SEQ_BYTES];
        raw.copy_from_slice(&header[LEN_BYTES..LEN_BYTES + SEQ_BYTES]);
        let found = u64::from_be_bytes(raw);
        if found != self.next_seq {
            return Err(FrameError::Sequence {
                expected: self.next_seq,
                found,
            });
        }
        let payload = fill(&mut self.rd, zeroed(len)).await?;
        let mut mac = self.key.clone();
        mac.update(&found.to_be_bytes());
        mac.update(&payload);
        mac.verify_truncated_left(&header[LEN_BYTES + SEQ_BYTES..])
            .map_err(|_| FrameError::Forged)?;
        self.next_seq += 1;
        self.traffic.received(HEADER_BYTES + len);
        Ok(payload)
    }
}

/// The sending half of an authenticated connection.
pub struct FrameWriter {
    wr: OwnedWriteHalf<TcpStream>,
    key: MacState,
    next_seq: u64,
    limit: usize,
    traffic: Rc<Traffic>,
}

impl FrameWriter {
    /// Creates a writer that starts with sequence number zero.
    pub fn new(
        wr: OwnedWriteHalf<TcpStream>,
        key: MacState,
        limit: usize,
        traffic: Rc<Traffic>,
    ) -> Self {
        Self {
            wr,
            key,
            next_seq: 0,
            limit,
            traffic,
        }
    }

    /// Writes one message.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken or the message is too large. No byte of a
    /// message that is too large is written.
    pub async fn write(&mut self, payload: &[u8]) -> Result<(), FrameError> {
        if payload.len() > self.limit {
            return Err(FrameError::Oversized {
                len: payload.len(),
                limit: self.limit,
            });
        }
        let buf = encode(&self.key, self.next_seq, payload);
        self.next_seq += 1;
        self.traffic.sent(buf.len());
        let (written, _) = self.wr.write_all(buf).await;
        written.map(|_| ()).map_err(socket_error)
    }
}
