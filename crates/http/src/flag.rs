//! A one-shot event that tasks of one thread can wait for.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use slotmap::{SlotMap, new_key_type};

new_key_type! {
    struct WaiterKey;
}

/// A shared one-shot event, such as a shutdown or the disconnection of a caller.
///
/// Clones refer to the same event.
#[derive(Clone, Default)]
pub struct Flag {
    state: Rc<State>,
}

#[derive(Default)]
struct State {
    fired: Cell<bool>,
    waiters: RefCell<SlotMap<WaiterKey, Waker>>,
}

impl Flag {
    /// Creates an event that has not fired.
    pub fn new() -> Self {
        Self::default()
    }

    /// Fires the event and wakes every task that waits for it. Further calls have no effect.
    pub fn fire(&self) {
        if self.state.fired.replace(true) {
            return;
        }
        let waiters = self.state.waiters.take();
        for (_, waker) in waiters {
            waker.wake();
        }
    }

    /// Returns whether the event has fired.
    pub fn is_fired(&self) -> bool {
        self.state.fired.get()
    }

    /// Waits until the event has fired.
    pub fn wait(&self) -> Wait {
        Wait {
            state: Rc::clone(&self.state),
            key: None,
        }
    }
}

impl fmt::Debug for Flag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Flag({})", self.is_fired())
    }
}

/// The future that [`Flag::wait`] returns.
pub struct Wait {
    state: Rc<State>,
    key: Option<WaiterKey>,
}

impl Future for Wait {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.state.fired.get() {
            return Poll::Ready(());
        }
        let mut waiters = self.state.waiters.borrow_mut();
        match self.key.and_then(|key| waiters.get_mut(key)) {
            Some(waker) => waker.clone_from(cx.waker()),
            None => {
                let key = waiters.insert(cx.waker().clone());
                drop(waiters);
                self.key = Some(key);
            }
        }
        Poll::Pending
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.state.waiters.borrow_mut().remove(key);
        }
    }
}
