//! A raw TCP client that sends arbitrary bytes and reads the response.

use std::io;
use std::net::SocketAddr;

use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::TcpStream;

/// A TCP connection without HTTP encoding or validation.
pub struct RawCaller {
    stream: TcpStream,
    received: Vec<u8>,
}

impl RawCaller {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is refused.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_addr(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            received: Vec::new(),
        })
    }

    /// Sends bytes unchanged.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer closed the connection.
    pub async fn send(&mut self, bytes: impl Into<Vec<u8>>) -> io::Result<()> {
        self.stream.write_all(bytes.into()).await.0?;
        Ok(())
    }

    /// Shuts down the write half of the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is no longer open.
    pub async fn close_sending(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }

    /// Reads once and returns the number of bytes, which is zero at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection was reset.
    pub async fn read_some(&mut self) -> io::Result<usize> {
        let (read, buf) = self.stream.read(Vec::with_capacity(64 * 1024)).await;
        let n = read?;
        self.received.extend_from_slice(&buf[..n]);
        Ok(n)
    }

    /// Reads until `end` arrives and returns everything up to and including it.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection closes before `end` arrives.
    pub async fn read_until(&mut self, end: &str) -> io::Result<String> {
        loop {
            let found = find_subslice(&self.received, end.as_bytes());
            if let Some(at) = found {
                let rest = self.received.split_off(at + end.len());
                let taken = std::mem::replace(&mut self.received, rest);
                return Ok(String::from_utf8_lossy(&taken).into_owned());
            }
            if self.read_some().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads until the peer closes or resets the connection and returns all bytes not returned
    /// before.
    pub async fn read_to_end(&mut self) -> String {
        while matches!(self.read_some().await, Ok(n) if n > 0) {}
        String::from_utf8_lossy(&std::mem::take(&mut self.received)).into_owned()
    }
}

fn find_subslice(text: &[u8], part: &[u8]) -> Option<usize> {
    text.windows(part.len()).position(|window| window == part)
}

/// Sends bytes on a new connection and returns everything received until it closes.
///
/// # Panics
///
/// Panics if the connection is refused.
pub async fn raw_exchange(address: SocketAddr, bytes: impl Into<Vec<u8>>) -> String {
    let mut caller = RawCaller::connect(address).await.expect("a connection");
    let _ = caller.send(bytes).await;
    caller.read_to_end().await
}
