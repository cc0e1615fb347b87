//! Requests that recently ran without crashing their server.

use heatherknot_types::prelude::*;

/// How long a clean run counts in favor of a request. Several copies of a popular request may be
/// at servers that crash together, before one of them has run again.
const CLEAN_RUN_TTL: Millis = Millis(4_000);
/// Number of slots; the table takes about 64 KB.
const SLOTS: usize = 4_096;

/// The requests that recently ran without a crash, by their quick hashes. A later request that
/// maps to the same slot replaces an earlier one.
pub struct CleanRuns {
    slots: Vec<Option<(u64, Millis)>>,
}

impl Default for CleanRuns {
    fn default() -> Self {
        Self {
            slots: vec![None; SLOTS],
        }
    }
}

impl CleanRuns {
    /// Records that a request ran without a crash.
    pub fn record(&mut self, quick_hash: u64, now: Millis) {
        self.slots[slot_of(quick_hash)] = Some((quick_hash, now));
    }

    /// Removes the clean run of a request and returns whether there was a recent one, so that
    /// each run counts only once.
    pub fn take_recent(&mut self, quick_hash: u64, now: Millis) -> bool {
        let recorded =
            self.slots[slot_of(quick_hash)].take_if(|(recorded, _)| *recorded == quick_hash);
        recorded.is_some_and(|(_, at)| now.since(at) < CLEAN_RUN_TTL)
    }
}

fn slot_of(quick_hash: u64) -> usize {
    (quick_hash % SLOTS as u64) as usize
}
