//! The idle connections of a server, of which the oldest gives way when the server is full.

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
    /// Adds a connection, for as long as the returned entry lives.
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

    /// Closes the connection that has been idle longest; says whether there was one.
    ///
    /// Callers that open connections and send nothing could otherwise hold every place of
    /// the server, and all others would be refused for as long as they like.
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

/// One idle connection.
pub(crate) struct IdleEntry {
    connections: Rc<IdleConnections>,
    number: u64,
    /// Fires when the connection has to make room.
    pub(crate) evicted: Flag,
}

impl Drop for IdleEntry {
    fn drop(&mut self) {
        self.connections.entries.borrow_mut().remove(&self.number);
    }
}
