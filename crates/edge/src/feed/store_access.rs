//! Whether a VM calls the store itself, by the age of its copy and the failures of the store.

use std::rc::Rc;

use heatherknot_types::prelude::*;

use super::Feed;

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

    /// Stops calling the store for a while, because it failed this VM or a peer. In a store outage,
    /// attempts by every VM of a large fleet cost more than their result is worth.
    pub fn back_off_from_store(&self) {
        let retry_interval = self.retry_interval.borrow().clone();
        let interval = retry_interval.and_then(|retry_interval| retry_interval());
        let until = self.timer.now() + interval.unwrap_or_default();
        self.back_off_until
            .set(until.max(self.back_off_until.get()));
    }

    /// Records that the store failed a peer, which has no recent update either. Only the first such
    /// answer after an update delays this VM's own attempts, so that they are never postponed
    /// indefinitely. Returns the delay, if there is one.
    ///
    /// That a peer's copy is old says nothing about the store: what fails may be the peer's source.
    pub fn record_store_failure_at_peer(&self) -> Option<Millis> {
        if self.back_off_until.get() != Millis(0) {
            return None;
        }
        self.back_off_from_store();
        Some(self.back_off_until.get().since(self.timer.now()))
    }

    /// Returns whether a store call of this VM has failed since the newest update of its copy.
    pub fn has_store_failed(&self) -> bool {
        let failed_at = self.store_failed_at.get();
        failed_at.is_some_and(|failed_at| self.last_update_at.get() < Some(failed_at))
    }

    /// Returns whether this VM is about to get an update from the store, as far as it knows.
    pub fn is_asking_store(&self) -> bool {
        self.should_watch_store() && !self.has_store_failed()
    }

    /// Returns the interval before the next check whether this VM should call the store, which is not
    /// later than its copy gets too old.
    pub(super) fn check_interval(&self) -> Millis {
        match self.time_until_too_old() {
            Millis(0) => self.idle_interval(),
            left => self.idle_interval().min(left),
        }
    }
}
