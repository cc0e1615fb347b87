//! How a VM's copy enters a new era of the store, which has lost its latest changes.

use heatherknot_store::error::{Cause, Effect, Step, StoreError};
use heatherknot_store::port::StoreRevision;
use heatherknot_types::prelude::*;
use log::info;

use super::Feed;
use crate::mirror::UnconfirmedKeys;

/// How much longer than the writers need a VM waits for lost keys: the interval between two reads of
/// the watch, and the hops between VMs.
const PROPAGATION_TIME: Millis = Millis(800);

impl Feed {
    /// Waits for lost keys to be written again, if `at` is the first revision here of a new era.
    /// Returns whether it is.
    pub(super) fn record_era(&self, at: StoreRevision) -> bool {
        let mirror = self.mirror.borrow();
        let is_new = mirror.is_new_era(at);
        if is_new {
            let wait = self.settle_time + PROPAGATION_TIME;
            info!(held:% = mirror.revision(), at:% = at, wait_ms = wait.0;
                "the local copy enters a new era of the store; waiting for lost keys to be written again");
            self.confirm_until.set(self.timer.now() + wait);
        }
        is_new
    }

    /// Answers peers whose requests are held back, because they have to enter the new era, too.
    pub(super) fn notify_of_era(&self, is_new: bool) {
        if is_new {
            self.next_change.take().fire();
        }
    }

    /// Returns whether keys that the store has lost may still be written again.
    pub fn is_confirming(&self) -> bool {
        self.timer.now() < self.confirm_until.get()
    }

    /// Ends the wait for lost keys, because a peer has ended it.
    pub fn stop_confirming(&self) {
        self.confirm_until.set(Millis(0));
        self.accept_unconfirmed();
    }

    /// Adopts the store's state of lost keys, unless they may still be written again.
    pub fn accept_unconfirmed(&self) {
        if self.is_confirming() || !self.is_fresh() || self.mirror.borrow().unconfirmed().is_empty()
        {
            return;
        }
        let changes = self.mirror.borrow_mut().accept_unconfirmed();
        if let Some(first) = changes.first() {
            info!(keys = changes.len(), first = first.key.as_str(); "keys that the store has lost were not written again");
            self.publish_changes(&changes, true);
        }
    }

    /// Waits for the keys for which a peer waits, too. A VM that has just started knows of the loss
    /// only by them.
    pub fn extend_unconfirmed(&self, keys: UnconfirmedKeys) {
        if keys.is_empty() {
            return;
        }
        if !self.is_confirming() {
            let wait = self.settle_time + PROPAGATION_TIME;
            self.confirm_until.set(self.timer.now() + wait);
        }
        self.mirror.borrow_mut().extend_unconfirmed(keys);
    }

    /// Checks that a read of all keys is not from an earlier era than the local copy.
    ///
    /// # Errors
    ///
    /// Returns an error if it is.
    pub(super) fn require_present_era(&self, at: StoreRevision) -> Result<(), StoreError> {
        let held = self.mirror.borrow().revision();
        if at.era >= held.era {
            return Ok(());
        }
        Err(StoreError {
            step: Step::Range,
            peer: self.store.peer,
            effect: Effect::NotApplied,
            source: Cause::EraChanged {
                expected: held.era,
                found: at.era,
            },
        })
    }
}
