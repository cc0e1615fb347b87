//! Whether a VM calls the store itself, by the age of its copy and the failures of the store.

use std::rc::Rc;

use heatherknot_types::prelude::*;

use super::Feed;
use crate::propagation::{STORE_ANSWER, UNANSWERED_AFTER};

impl Feed {
    /// Sets the function that returns the age of the copy from which this VM asks the store itself.
    pub fn set_age_limit(&self, age_limit: impl Fn() -> Millis + 'static) {
        *self.age_limit.borrow_mut() = Rc::new(age_limit);
    }

    /// Returns whether this VM should call the store: it is a watcher, or its copy is too old and it
    /// is neither waiting for peers nor backing off from a store that has failed.
    pub fn should_watch_store(&self) -> bool {
        let is_backing_off = self.timer.now() < self.back_off_until.get();
        let is_too_old = self.time_until_too_old() == Millis(0);
        (is_too_old && !self.is_awaiting_peers() && !is_backing_off) || self.is_watcher()
    }

    /// Returns the time until the copy reaches the age from which this VM asks the store itself.
    fn time_until_too_old(&self) -> Millis {
        let age_limit = Rc::clone(&self.age_limit.borrow());
        let age = self.age();
        age.map_or(Millis(0), |age| age_limit() - age)
    }

    /// Stops calling the store for a while, because it has failed this VM. The next call begins at most one
    /// retry interval after the failed one began, however long that took.
    ///
    /// The failed calls of other VMs say nothing: the store may refuse them and serve this one.
    pub(super) fn back_off_from_store(&self) {
        let retry_interval = self.retry_interval.borrow().clone();
        let interval = retry_interval.and_then(|retry_interval| retry_interval());
        let until = self.store_called_at.get() + interval.unwrap_or_default();
        self.back_off_until
            .set(until.max(self.back_off_until.get()));
    }

    /// Records that a call of the store begins, and returns the time.
    pub(super) fn begin_store_call(&self) -> Millis {
        let now = self.timer.now();
        self.store_called_at.set(now);
        self.is_calling_store.set(true);
        now
    }

    /// Returns whether this VM gets its updates from the store itself, so that it needs none from peers.
    pub fn is_served(&self) -> bool {
        let now = self.timer.now();
        let answered_at = self.store_answered_at.get();
        let is_answered = answered_at.is_some_and(|at| now.since(at) < UNANSWERED_AFTER);
        self.should_watch_store() && is_answered && !self.is_store_unreachable()
    }

    /// Lets this VM watch the store until then, because one of its sources relies on it.
    pub fn rely_until(&self, until: Millis) {
        self.relied_on_until.set(until);
    }

    /// Returns whether a source of this VM relies on it, and the store has not failed it.
    pub fn is_relied_on(&self) -> bool {
        self.timer.now() < self.relied_on_until.get() && !self.is_store_unreachable()
    }

    /// Returns whether a store call of this VM has failed since the newest update of its copy.
    fn has_store_failed(&self) -> bool {
        let failed_at = self.store_failed_at.get();
        failed_at.is_some_and(|failed_at| self.last_update_at.get() < Some(failed_at))
    }

    /// Returns whether this VM is about to get an update from the store, as far as it knows.
    pub fn is_asking_store(&self) -> bool {
        let waited = self.timer.now().since(self.store_called_at.get());
        let is_silent = self.is_calling_store.get() && waited >= STORE_ANSWER;
        self.should_watch_store() && !self.has_store_failed() && !is_silent
    }

    /// Returns the interval before the next check whether this VM should call the store, which is not
    /// later than its copy gets too old, or its backoff ends.
    pub(super) fn check_interval(&self) -> Millis {
        let backoff = self.back_off_until.get().since(self.timer.now());
        match self.time_until_too_old().max(backoff) {
            Millis(0) => self.idle_interval(),
            left => self.idle_interval().min(left),
        }
    }
}
