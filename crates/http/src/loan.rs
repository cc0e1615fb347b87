//! The reader of a connection while the body of a request has it on loan.

use std::cell::RefCell;
use std::future::pending;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{Either, select};

use crate::flag::Flag;
use crate::incoming::{BodyDecoder, Decoded, Released};
use crate::reader::{CALLER_READ, HEAD_READ, Probe, Reader};
use crate::timeout::within;

/// Bytes of further requests that are read ahead while one is handled.
const READ_AHEAD: usize = 16 * 1024;
/// Bytes of an unread body that are read and dropped to keep a connection.
const DRAIN_MAX: usize = 64 * 1024;
/// Longest wait for the rest of an unread body.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// How often a caller with unread bytes is checked for disconnection.
const HANGUP_CHECK: Duration = Duration::from_millis(200);

/// Where the reader of a connection is.
pub(crate) enum Slot {
    /// At the start of the next message.
    Here(Reader),
    /// With the body of the current request.
    Lent(Rc<Loan>),
    /// Within a body that was dropped before its end.
    Unread(Reader, BodyDecoder),
    /// Of no more use.
    Gone,
}

/// A reader on loan to a body.
pub(crate) struct Loan {
    released: RefCell<Option<Released>>,
    returned: Flag,
    probe: Probe,
}

impl Loan {
    /// Gives the reader back to the connection.
    pub(crate) fn give_back(loan: &Rc<Loan>, released: Released) {
        *loan.released.borrow_mut() = Some(released);
        loan.returned.fire();
    }

    /// Waits until the reader is back; says false where the caller hung up before.
    async fn wait(&self) -> bool {
        let hung_up = pin!(hung_up(&self.probe));
        matches!(select(self.returned.wait(), hung_up).await, Either::Left(_))
    }
}

impl Slot {
    /// Takes the reader out, to be lent to a body.
    pub(crate) fn lend(&mut self) -> Option<(Reader, Rc<Loan>)> {
        let Slot::Here(reader) = std::mem::replace(self, Slot::Gone) else {
            return None;
        };
        let loan = Rc::new(Loan {
            released: RefCell::new(None),
            returned: Flag::new(),
            probe: reader.probe(),
        });
        *self = Slot::Lent(Rc::clone(&loan));
        Some((reader, loan))
    }

    /// Takes a reader back that the body has released.
    fn take_back(&mut self) {
        let Slot::Lent(loan) = self else { return };
        let released = loan.released.take();
        *self = match released {
            Some(Released::Whole(reader)) => Slot::Here(reader),
            Some(Released::Unread(reader, decoder)) => Slot::Unread(reader, decoder),
            Some(Released::Broken) | None => Slot::Gone,
        };
    }

    /// Waits until the caller has disconnected.
    ///
    /// Nothing tells of a disconnection but the connection itself: its end can be read, or
    /// the system knows of it while bytes before it are unread. Reading ahead finds the
    /// first; where no further byte may be read, the second is looked for now and then.
    ///
    /// `take` gets the reader after each read ahead, to take whole requests out of it.
    pub(crate) async fn caller_gone(&mut self, take: impl Fn(&mut Reader)) {
        if let Slot::Lent(loan) = self {
            let loan = Rc::clone(loan);
            if !loan.wait().await {
                return;
            }
            self.take_back();
        }
        match self {
            Slot::Here(reader) => read_ahead(reader, take).await,
            Slot::Unread(reader, _) => hung_up(&reader.probe()).await,
            Slot::Lent(_) | Slot::Gone => pending().await,
        }
    }

    /// Brings the reader to the start of the next message; says whether that was possible.
    pub(crate) async fn recover(&mut self) -> bool {
        self.take_back();
        if let Slot::Unread(reader, decoder) = self {
            let drained = within(DRAIN_TIMEOUT, drain(reader, decoder)).await;
            if drained != Some(true) {
                return false;
            }
            if let Slot::Unread(reader, _) = std::mem::replace(self, Slot::Gone) {
                *self = Slot::Here(reader);
            }
        }
        matches!(self, Slot::Here(_))
    }
}

async fn read_ahead(reader: &mut Reader, take: impl Fn(&mut Reader)) {
    take(reader);
    while reader.buf.len() < READ_AHEAD {
        match reader.fill(CALLER_READ).await {
            Ok(0) | Err(_) => return,
            Ok(_) => take(reader),
        }
    }
    hung_up(&reader.probe()).await;
}

async fn hung_up(probe: &Probe) {
    while !probe.is_hung_up() {
        monoio::time::sleep(HANGUP_CHECK).await;
    }
}

/// Reads and drops the rest of a body; says whether its end was reached.
async fn drain(reader: &mut Reader, decoder: &mut BodyDecoder) -> bool {
    let mut seen = 0;
    while seen <= DRAIN_MAX {
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
