//! Reading of HTTP/1.1 messages from a blocking connection.

use std::io::{self, Read};
use std::net::TcpStream;

/// The head of a request or response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line or status line.
    pub first: String,
    fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of the first field with this name, in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|(field, _)| field == name);
        field.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response, or zero.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding")
            .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
    }

    fn length(&self) -> Option<usize> {
        self.get("content-length")?.parse().ok()
    }
}

/// A connection with the bytes that were read from it and not used.
pub struct Connection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 4096];
        let n = self.stream.read(&mut bytes)?;
        self.buf.extend_from_slice(&bytes[..n]);
        Ok(n)
    }

    fn take(&mut self, n: usize) -> Vec<u8> {
        let rest = self.buf.split_off(n);
        std::mem::replace(&mut self.buf, rest)
    }

    /// Reads the next head; returns `None` if the peer closes the connection before it.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(at) = self.buf.windows(4).position(|window| window == b"\r\n\r\n") {
                let bytes = self.take(at + 4);
                return Ok(Some(parse_head(&String::from_utf8_lossy(&bytes))));
            }
            if self.fill()? == 0 {
                return match self.buf.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Reads exactly `n` bytes.
    pub fn read_exact(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < n {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.take(n))
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|window| window == b"\r\n") {
                let line = self.take(at + 2);
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that a head announces.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.read_exact(head.length().unwrap_or(0));
        }
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            if size == 0 {
                while !self.read_line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.read_exact(size)?);
            self.read_exact(2)?;
        }
    }

    /// Returns whether the peer has closed or reset the connection. Bytes that it sent before stay unread.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0; 1]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(n) => n == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

fn parse_head(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let fields = fields.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    Head {
        first,
        fields: fields.collect(),
    }
}
