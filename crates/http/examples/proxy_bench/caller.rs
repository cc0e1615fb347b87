//! A caller on blocking sockets, to keep its own cost out of the measurements.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

const READ_BUFFER_LEN: usize = 256 * 1024;

/// One connection of a caller.
pub struct Caller {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Caller {
    /// Opens a connection.
    pub fn connect(address: SocketAddr) -> Self {
        Self::with_buffer(address, READ_BUFFER_LEN)
    }

    /// Opens a connection with a small buffer, to keep the caller out of memory measurements.
    pub fn with_small_buffer(address: SocketAddr) -> Self {
        Self::with_buffer(address, 64)
    }

    fn with_buffer(address: SocketAddr, len: usize) -> Self {
        let stream = TcpStream::connect(address).expect("a connection");
        stream.set_nodelay(true).expect("a socket option");
        Self {
            stream,
            buf: vec![0; len],
        }
    }

    /// Sends a request and reads its response.
    pub fn get(&mut self, path: &str) {
        self.send(path);
        self.receive();
    }

    /// Sends a request.
    pub fn send(&mut self, path: &str) {
        let request = format!("GET {path} HTTP/1.1\r\nhost: bench\r\n\r\n");
        self.stream
            .write_all(request.as_bytes())
            .expect("a request");
    }

    /// Reads a response of 1 KB, whose body ends with `$`.
    pub fn receive(&mut self) {
        loop {
            let n = self.stream.read(&mut self.buf).expect("an answer");
            assert!(n > 0, "the connection closed");
            if self.buf[n - 1] == b'$' {
                return;
            }
        }
    }

    /// Reads and discards a response with a body of `len` bytes. Calls `progress` with the
    /// number of body bytes read so far.
    pub fn discard(&mut self, len: u64, mut progress: impl FnMut(u64)) {
        let mut done = 0;
        let mut in_head = true;
        while done < len {
            let n = self.stream.read(&mut self.buf).expect("an answer");
            assert!(n > 0, "the connection closed");
            done += n as u64;
            if in_head {
                let head = self.buf.windows(4).position(|w| w == b"\r\n\r\n");
                done -= head.expect("a head in the first read") as u64 + 4;
                in_head = false;
            }
            progress(done);
        }
    }
}
