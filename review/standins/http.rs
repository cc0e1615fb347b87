//! Reading and writing of HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read};
use std::net::TcpStream;

/// Bytes that one read asks for.
const READ_BYTES: usize = 256 * 1024;

/// The head of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line or the status line.
    pub first: String,
    /// Names in lower case, with their values.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a field, or the empty text.
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the status of a response, or zero.
    pub fn status(&self) -> u16 {
        let text = self.first.split(' ').nth(1).unwrap_or("");
        text.parse().unwrap_or(0)
    }
}

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The body is complete by its own framing.
    Whole,
    /// The channel ended or failed before the end of the body.
    Cut,
    /// Nothing came within the read time-out of the socket.
    Silent,
}

/// A connection with a read buffer.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
    /// Bytes of `buf` that are already consumed.
    start: usize,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
            start: 0,
        }
    }

    fn rest(&self) -> &[u8] {
        &self.buf[self.start..]
    }

    fn take(&mut self, len: usize) -> &[u8] {
        let from = self.start;
        self.start += len;
        &self.buf[from..self.start]
    }

    fn take_all(&mut self) -> Vec<u8> {
        self.take(self.rest().len()).to_vec()
    }

    fn fill(&mut self) -> io::Result<usize> {
        self.buf.drain(..self.start);
        self.start = 0;
        let end = self.buf.len();
        self.buf.resize(end + READ_BYTES, 0);
        let read = self.stream.read(&mut self.buf[end..]);
        self.buf.truncate(end + *read.as_ref().unwrap_or(&0));
        read
    }

    /// Reads a head. Returns `None` if the channel ends, fails or stays silent before it.
    pub fn head(&mut self) -> Option<Head> {
        let end = loop {
            if let Some(at) = self.rest().windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if self.fill().ok()? == 0 {
                return None;
            }
        };
        let text = String::from_utf8_lossy(&self.take(end + 4)[..end]).into_owned();
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields = fields.map(|(n, v)| (n.trim().to_lowercase(), v.trim().to_owned()));
        Some(Head {
            first,
            fields: fields.collect(),
        })
    }

    /// Reads the body after `head`. One of a response without a length ends with the channel.
    pub fn body(&mut self, head: &Head, is_response: bool) -> (Vec<u8>, End) {
        if head
            .field("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
        {
            return self.chunked();
        }
        if let Ok(len) = head.field("content-length").parse::<usize>() {
            return self.exactly(len);
        }
        if !is_response {
            return (Vec::new(), End::Whole);
        }
        loop {
            match self.fill() {
                Ok(0) => return (self.take_all(), End::Whole),
                Ok(_) => {}
                Err(error) => return (self.take_all(), end_of(&error)),
            }
        }
    }

    fn exactly(&mut self, len: usize) -> (Vec<u8>, End) {
        while self.rest().len() < len {
            match self.fill() {
                Ok(0) => return (self.take_all(), End::Cut),
                Ok(_) => {}
                Err(error) => return (self.take_all(), end_of(&error)),
            }
        }
        (self.take(len).to_vec(), End::Whole)
    }

    fn chunked(&mut self) -> (Vec<u8>, End) {
        let mut body = Vec::new();
        loop {
            let line_end = loop {
                if let Some(at) = self.rest().windows(2).position(|w| w == b"\r\n") {
                    break at;
                }
                match self.fill() {
                    Ok(0) => return (body, End::Cut),
                    Ok(_) => {}
                    Err(error) => return (body, end_of(&error)),
                }
            };
            let line = String::from_utf8_lossy(&self.take(line_end + 2)[..line_end]).into_owned();
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return (body, End::Cut);
            };
            let (chunk, end) = self.exactly(size + 2);
            body.extend_from_slice(&chunk[..chunk.len().min(size)]);
            if end != End::Whole || size == 0 {
                return (body, end);
            }
        }
    }

    /// Reads and discards what still comes, until the channel ends.
    pub fn drain(&mut self) {
        while self.fill().is_ok_and(|n| n > 0) {
            self.start = self.buf.len();
        }
    }
}

fn end_of(error: &io::Error) -> End {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => End::Silent,
        _ => End::Cut,
    }
}
