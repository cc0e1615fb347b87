//! Log of the most recent changes, from which peers that lag behind are served.

use std::collections::VecDeque;

use heatherknot_types::prelude::*;

use crate::settings_port::RelayedChange;

/// The most recent changes with consecutive revisions, limited in total size.
pub(crate) struct ChangeLog {
    changes: VecDeque<RelayedChange>,
    bytes: usize,
    max_bytes: usize,
}

impl ChangeLog {
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            changes: VecDeque::new(),
            bytes: 0,
            max_bytes,
        }
    }

    /// Appends a change. If its revision does not follow the last one, the log is cleared first.
    pub(crate) fn push(&mut self, change: RelayedChange) {
        let follows = |last: &RelayedChange| last.revision.next() == change.revision;
        if !self.changes.back().is_none_or(follows) {
            self.clear();
        }
        self.bytes += change.body.get().len();
        self.changes.push_back(change);
        while self.bytes > self.max_bytes {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            self.bytes -= oldest.body.get().len();
        }
    }

    pub(crate) fn clear(&mut self) {
        self.changes.clear();
        self.bytes = 0;
    }

    /// Returns the changes that follow `since`, as many as fit in `max_bytes`. Returns `None` if
    /// the first of them is not in the log or does not fit.
    pub(crate) fn since(&self, since: Revision, max_bytes: usize) -> Option<Vec<RelayedChange>> {
        let first = self.changes.front()?.revision;
        let skip = since.next().0.checked_sub(first.0)?;
        let mut bytes = 0;
        let fits = |change: &&RelayedChange| {
            bytes += change.body.get().len();
            bytes <= max_bytes
        };
        let changes = self.changes.iter().skip(usize::try_from(skip).ok()?);
        let changes: Vec<_> = changes.take_while(fits).cloned().collect();
        (!changes.is_empty()).then_some(changes)
    }
}

#[cfg(test)]
mod tests;
