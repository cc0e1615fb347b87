//! The idle connections of a server, of which the oldest is closed when the server is full.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use crate::flag::Flag;

/// The idle connections of a server, in the order in which they became idle.
#[derive(Default)]
pub(crate) struct IdleConnections {
    next_number: Cell<u64>,
    entries: RefCell<BTreeMap<u64, Flag>>,
}

impl IdleConnections {
    /// Registers a connection as idle until the returned entry is dropped.
    pub(crate) fn register(self: &Rc<Self>) -> IdleEntry {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let evicted = Flag::new();
        self.entries.borrow_mut().insert(number, evicted.clone());
        IdleEntry {
            connections: Rc::clone(self),
            number,
            evicted,
        }
    }

    /// Closes the connection that has been idle longest; returns whether there was one.
    ///
    /// Otherwise callers that open connections and send nothing could use up the connection
    /// limit of the server, and all others would be rejected.
    pub(crate) fn close_oldest(&self) -> bool {
        let oldest = self.entries.borrow_mut().pop_first();
        match oldest {
            Some((_, evicted)) => {
                evicted.fire();
                true
            }
            None => false,
        }
    }
}

/// The registration of one idle connection.
pub(crate) struct IdleEntry {
    connections: Rc<IdleConnections>,
    number: u64,
    /// Fires when the connection has to close to admit a new one.
    pub(crate) evicted: Flag,
}

impl Drop for IdleEntry {
    fn drop(&mut self) {
        self.connections.entries.borrow_mut().remove(&self.number);
    }
}
