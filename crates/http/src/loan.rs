//! Ownership of a connection's reader, which the body of the current request borrows.

use std::cell::RefCell;
use std::future::pending;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{Either, select};

use crate::flag::Flag;
use crate::halves::CloseProbe;
use crate::incoming::{BodyDecoder, Decoded, Released};
use crate::reader::{CALLER_READ, HEAD_READ, Reader};
use crate::timeout::with_timeout;

/// Maximum bytes of further requests that are read while one is handled.
const MAX_READ_AHEAD: usize = 16 * 1024;
/// Maximum bytes of an unread body that are discarded to keep its connection.
const MAX_DRAINED_BYTES: usize = 64 * 1024;
/// Maximum wait for the rest of an unread body.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of the disconnection check for a caller with unread bytes.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Where the reader of a connection is.
pub(crate) enum ReaderSlot {
    /// At the start of the next message.
    Available(Reader),
    /// Borrowed by the body of the current request.
    Lent(Rc<ReaderLoan>),
    /// Within a body that was dropped before its end.
    MidBody(Reader, BodyDecoder),
    /// Not usable any more.
    Lost,
}

/// The shared state of a reader that a body has borrowed.
pub(crate) struct ReaderLoan {
    released: RefCell<Option<Released>>,
    returned: Flag,
    probe: CloseProbe,
}

impl ReaderLoan {
    /// Returns the reader to the connection.
    pub(crate) fn return_reader(loan: &Rc<ReaderLoan>, released: Released) {
        *loan.released.borrow_mut() = Some(released);
        loan.returned.fire();
    }

    /// Waits until the reader is returned; returns `false` if the caller disconnected first.
    async fn wait(&self) -> bool {
        let disconnected = pin!(disconnected(&self.probe));
        matches!(
            select(self.returned.wait(), disconnected).await,
            Either::Left(_)
        )
    }
}

impl ReaderSlot {
    /// Lends the reader to a body.
    pub(crate) fn lend(&mut self) -> Option<(Reader, Rc<ReaderLoan>)> {
        let ReaderSlot::Available(reader) = std::mem::replace(self, ReaderSlot::Lost) else {
            return None;
        };
        let loan = Rc::new(ReaderLoan {
            released: RefCell::new(None),
            returned: Flag::new(),
            probe: reader.probe(),
        });
        *self = ReaderSlot::Lent(Rc::clone(&loan));
        Some((reader, loan))
    }

    /// Takes back the reader that the body released.
    fn reclaim(&mut self) {
        let ReaderSlot::Lent(loan) = self else { return };
        let released = loan.released.take();
        *self = match released {
            Some(Released::Complete(reader)) => ReaderSlot::Available(reader),
            Some(Released::Unread(reader, decoder)) => ReaderSlot::MidBody(reader, decoder),
            Some(Released::Broken) | None => ReaderSlot::Lost,
        };
    }

    /// Returns the reader, at the start of a message or within a body, if it is still usable.
    pub(crate) fn into_reader(mut self) -> Option<Reader> {
        self.reclaim();
        match self {
            ReaderSlot::Available(reader) | ReaderSlot::MidBody(reader, _) => Some(reader),
            ReaderSlot::Lent(_) | ReaderSlot::Lost => None,
        }
    }

    /// Waits until the caller has disconnected.
    ///
    /// A disconnection shows as the end of the stream, which reading ahead finds. While no
    /// further byte may be read, the operating system is polled for a close that lies behind
    /// unread bytes.
    ///
    /// `take` is called with the reader after each read, to remove complete requests from it.
    pub(crate) async fn caller_disconnected(&mut self, take: impl Fn(&mut Reader)) {
        if let ReaderSlot::Lent(loan) = self {
            let loan = Rc::clone(loan);
            if !loan.wait().await {
                return;
            }
            self.reclaim();
        }
        match self {
            ReaderSlot::Available(reader) => read_ahead(reader, take).await,
            ReaderSlot::MidBody(reader, _) => disconnected(&reader.probe()).await,
            ReaderSlot::Lent(_) | ReaderSlot::Lost => pending().await,
        }
    }

    /// Moves the reader to the start of the next message; returns whether that succeeded.
    pub(crate) async fn recover(&mut self) -> bool {
        self.reclaim();
        if let ReaderSlot::MidBody(reader, decoder) = self {
            let drained = with_timeout(DRAIN_TIMEOUT, drain(reader, decoder)).await;
            if drained != Some(true) {
                return false;
            }
            if let ReaderSlot::MidBody(reader, _) = std::mem::replace(self, ReaderSlot::Lost) {
                *self = ReaderSlot::Available(reader);
            }
        }
        matches!(self, ReaderSlot::Available(_))
    }
}

async fn read_ahead(reader: &mut Reader, take: impl Fn(&mut Reader)) {
    take(reader);
    while reader.buf.len() < MAX_READ_AHEAD {
        match reader.fill(CALLER_READ).await {
            Ok(0) | Err(_) => return,
            Ok(_) => take(reader),
        }
    }
    disconnected(&reader.probe()).await;
}

/// Waits until the peer has closed its side of the connection or the connection has failed.
pub(crate) async fn disconnected(probe: &CloseProbe) {
    while !probe.is_peer_closed() {
        monoio::time::sleep(DISCONNECT_CHECK_INTERVAL).await;
    }
}

/// Discards the rest of a body; returns whether its end was reached.
async fn drain(reader: &mut Reader, decoder: &mut BodyDecoder) -> bool {
    let mut seen = 0;
    while seen <= MAX_DRAINED_BYTES {
        match decoder.decode(&mut reader.buf) {
            Ok(Decoded::End) => return true,
            Ok(Decoded::Chunk(chunk)) => seen += chunk.len(),
            Ok(Decoded::NeedMore) => match reader.fill(HEAD_READ).await {
                Ok(0) | Err(_) => return false,
                Ok(_) => {}
            },
            Err(_) => return false,
        }
    }
    false
}
