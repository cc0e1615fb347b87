//! Long request bodies that can be sent more than once.
//!
//! A peer may refuse a request without running it, or fail, after a part of the body was sent.
//! A body that is only streamed could not be sent again then, and the request would fail. So the
//! chunks that were read are retained until the request is answered, within a memory budget.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;

use crate::body::{Body, BodyError};

/// The memory budget for retained request bodies, shared by all bodies of a process.
#[derive(Debug)]
pub struct ReplayBudget {
    limit: u64,
    used: Cell<u64>,
}

impl ReplayBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: u64) -> Rc<Self> {
        Rc::new(Self {
            limit,
            used: Cell::new(0),
        })
    }

    /// Returns the number of bytes retained.
    pub fn used(&self) -> u64 {
        self.used.get()
    }

    fn reserve(&self, bytes: u64) -> bool {
        let used = self.used.get() + bytes;
        let fits = used <= self.limit;
        if fits {
            self.used.set(used);
        }
        fits
    }

    fn release(&self, bytes: u64) {
        self.used.set(self.used.get() - bytes);
    }
}

/// A body that is streamed and retained, so that it can be sent again.
pub struct ReplayableBody {
    state: Rc<State>,
    len: Option<u64>,
}

struct State {
    budget: Rc<ReplayBudget>,
    /// The chunks read so far; empty once they are discarded.
    chunks: RefCell<Vec<Bytes>>,
    /// The unread rest of the body; `None` while a [`ReplayReader`] holds it.
    rest: RefCell<Option<Body>>,
    /// Whether the body was read to its end.
    has_ended: Cell<bool>,
    /// Whether the chunks were discarded, because the budget was exhausted or reading failed.
    is_discarded: Cell<bool>,
}

impl ReplayableBody {
    /// Creates a body that retains its chunks within `budget`.
    pub fn new(body: Body, budget: &Rc<ReplayBudget>) -> Self {
        let len = body.known_len();
        let state = State {
            budget: Rc::clone(budget),
            chunks: RefCell::default(),
            rest: RefCell::new(Some(body)),
            has_ended: Cell::new(false),
            is_discarded: Cell::new(false),
        };
        Self {
            state: Rc::new(state),
            len,
        }
    }

    /// Returns the length of the whole body in bytes, if known.
    pub fn known_len(&self) -> Option<u64> {
        self.len
    }

    /// Returns whether the body can be sent from its first byte.
    pub fn is_replayable(&self) -> bool {
        !self.state.is_discarded.get() && self.state.rest.borrow().is_some()
    }

    /// Returns the chunks of the whole body, if it was read to its end and is retained.
    pub fn complete_chunks(&self) -> Option<Vec<Bytes>> {
        let chunks = self.state.chunks.borrow();
        let retained: u64 = chunks.iter().map(len).sum();
        let is_complete = self.state.has_ended.get() || self.len == Some(retained);
        (is_complete && !self.state.is_discarded.get()).then(|| chunks.clone())
    }

    /// Reads the rest of the body, if its length is known and fits the budget.
    pub async fn read_rest(&self) {
        if !self.len.is_some_and(|len| self.state.fits_budget(len)) {
            return;
        }
        let Some(mut body) = self.replay() else {
            return;
        };
        while let Some(Ok(_)) = body.next_chunk().await {}
    }

    /// Returns the body from its first byte, or `None` if chunks were discarded or an earlier send
    /// still reads the body.
    pub fn replay(&self) -> Option<Body> {
        if !self.is_replayable() {
            return None;
        }
        let rest = self.state.rest.borrow_mut().take()?;
        Some(Body::replayable(ReplayReader {
            state: Rc::clone(&self.state),
            rest: Some(rest),
            next: 0,
        }))
    }
}

impl State {
    /// Returns whether a body of `len` bytes fits the budget, not counting chunks already retained.
    fn fits_budget(&self, len: u64) -> bool {
        let retained: u64 = self.chunks.borrow().iter().map(self::len).sum();
        self.budget.used.get() + len.saturating_sub(retained) <= self.budget.limit
    }

    fn retain(&self, chunk: &Bytes) {
        if self.is_discarded.get() {
            return;
        }
        if self.budget.reserve(chunk.len() as u64) {
            self.chunks.borrow_mut().push(chunk.clone());
        } else {
            self.discard();
        }
    }

    /// Frees the retained chunks: an incomplete body can't be sent again.
    fn discard(&self) {
        self.is_discarded.set(true);
        let chunks = self.chunks.take();
        self.budget.release(chunks.iter().map(len).sum());
    }
}

impl Drop for State {
    fn drop(&mut self) {
        self.discard();
    }
}

fn len(chunk: &Bytes) -> u64 {
    chunk.len() as u64
}

/// Reads a replayable body: first the retained chunks, then the rest.
pub(crate) struct ReplayReader {
    state: Rc<State>,
    rest: Option<Body>,
    next: usize,
}

impl ReplayReader {
    pub(crate) fn known_len(&self) -> Option<u64> {
        let rest = self.rest.as_ref().and_then(Body::known_len)?;
        let chunks = self.state.chunks.borrow();
        Some(rest + chunks.iter().skip(self.next).map(len).sum::<u64>())
    }

    pub(crate) fn limit(&mut self, max: u64) {
        if let Some(rest) = &mut self.rest {
            rest.limit(max);
        }
    }

    pub(crate) async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        let retained = self.state.chunks.borrow().get(self.next).cloned();
        if let Some(chunk) = retained {
            self.next += 1;
            return Some(Ok(chunk));
        }
        let read = Box::pin(self.rest.as_mut()?.next_chunk()).await;
        match &read {
            Some(Ok(chunk)) => {
                self.state.retain(chunk);
                self.next += 1;
            }
            Some(Err(_)) => self.state.discard(),
            None => self.state.has_ended.set(true),
        }
        read
    }
}

impl Drop for ReplayReader {
    fn drop(&mut self) {
        *self.state.rest.borrow_mut() = self.rest.take();
    }
}
