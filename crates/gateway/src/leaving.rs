//! Backend servers that receive no new work because they are leaving.

use std::cell::RefCell;
use std::collections::HashMap;

use heatherknot_types::prelude::*;

use crate::slots::UpstreamKey;

/// A source of reports that a backend server is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeavingSource {
    /// A header of one of its responses, received by this VM or another one.
    Answer,
    /// Its response to a health check.
    Health,
    /// The platform's list of VMs.
    VmList,
    /// The home of its slots, which no longer lends any.
    Home,
}

/// The backend servers that are leaving, with the sources that report it. Drains set by an
/// operator in the plan are not included.
#[derive(Debug, Default)]
pub struct Leaving {
    marks: RefCell<HashMap<UpstreamKey, HashMap<LeavingSource, Option<Millis>>>>,
}

impl Leaving {
    /// Records that `source` reports a backend server as leaving. The mark expires at `until`, or
    /// stays until it is removed with [`Leaving::unmark`]. Returns whether it is the server's first
    /// mark.
    pub fn mark(&self, key: &UpstreamKey, source: LeavingSource, until: Option<Millis>) -> bool {
        let mut marks = self.marks.borrow_mut();
        let sources = marks.entry(key.clone()).or_default();
        let is_first = sources.is_empty();
        sources.insert(source, until);
        is_first
    }

    /// Removes the mark of `source`. Returns whether it was the server's last mark.
    pub fn unmark(&self, key: &UpstreamKey, source: LeavingSource) -> bool {
        let mut marks = self.marks.borrow_mut();
        let Some(sources) = marks.get_mut(key) else {
            return false;
        };
        sources.remove(&source);
        let none_left = sources.is_empty();
        if none_left {
            marks.remove(key);
        }
        none_left
    }

    /// Returns whether any source reports a backend server as leaving.
    pub fn is_leaving(&self, key: &UpstreamKey) -> bool {
        self.marks.borrow().contains_key(key)
    }

    /// Removes expired marks. Returns the backend servers whose last mark expired.
    pub fn expire(&self, now: Millis) -> Vec<UpstreamKey> {
        let mut marks = self.marks.borrow_mut();
        let mut expired = Vec::new();
        marks.retain(|key, sources| {
            sources.retain(|_, until| until.is_none_or(|until| until > now));
            if sources.is_empty() {
                expired.push(key.clone());
            }
            !sources.is_empty()
        });
        expired
    }
}
