//! Signals: SIGTERM and SIGINT for a planned stop, SIGHUP for changed settings.

use std::io;
use std::os::unix::net::UnixStream as StdUnixStream;

use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// SIGTERM and SIGINT, which end the process no more once this is made.
#[derive(Debug)]
pub struct StopSignals {
    rx: StdUnixStream,
}

impl StopSignals {
    /// Sets the signal handlers.
    ///
    /// A handler writes to a socket pair, so that waiting is an ordinary read of the runtime
    /// and nothing runs in signal context but one write. This is called before the daemon
    /// listens: a stop that came between listening and the handlers would kill the process
    /// with requests in flight.
    ///
    /// # Errors
    ///
    /// Fails where the socket pair can't be made or the handlers can't be set.
    pub fn register() -> io::Result<Self> {
        let (rx, tx) = StdUnixStream::pair()?;
        tx.set_nonblocking(true)?;
        rx.set_nonblocking(true)?;
        signal_hook::low_level::pipe::register(SIGTERM, tx.try_clone()?)?;
        signal_hook::low_level::pipe::register(SIGINT, tx)?;
        Ok(Self { rx })
    }

    /// Waits for one of the signals.
    ///
    /// # Errors
    ///
    /// Fails where the runtime can't read the socket pair.
    pub async fn wait(self) -> io::Result<()> {
        let mut rx = UnixStream::from_std(self.rx)?;
        let (read, _) = rx.read(vec![0u8; 1]).await;
        read.map(|_| ())
    }
}

/// SIGHUP, which ends the process no more once this is made.
#[derive(Debug)]
pub struct ReloadSignal {
    rx: StdUnixStream,
}

impl ReloadSignal {
    /// Sets the signal handler.
    ///
    /// # Errors
    ///
    /// Fails where the socket pair can't be made or the handler can't be set.
    pub fn register() -> io::Result<Self> {
        let (rx, tx) = StdUnixStream::pair()?;
        tx.set_nonblocking(true)?;
        rx.set_nonblocking(true)?;
        signal_hook::low_level::pipe::register(SIGHUP, tx)?;
        Ok(Self { rx })
    }

    /// Calls `reload` for each signal, for as long as the process runs.
    ///
    /// # Errors
    ///
    /// Fails where the runtime can't read the socket pair.
    pub async fn each(self, reload: impl Fn()) -> io::Result<()> {
        let mut rx = UnixStream::from_std(self.rx)?;
        let mut buf = vec![0_u8; 16];
        loop {
            let (read, returned) = rx.read(buf).await;
            if read? == 0 {
                return Ok(());
            }
            buf = returned;
            reload();
        }
    }
}
