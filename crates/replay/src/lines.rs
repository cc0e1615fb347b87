//! The lines in which requests wait at an entry VM for their turn to be admitted.
//!
//! As in the daemon, a line holds the requests of one service and class, the oldest is asked
//! for first, and one that finds the line full is refused at once.

use std::collections::{BTreeMap, VecDeque};

use heatherknot_types::prelude::*;

use crate::brain::{Choice, Refusal};
use crate::engine::{Engine, Item};
use crate::requests::{Ending, Hop};

/// When a caller comes back that found a line full.
const FULL_RETRY_AFTER: Millis = Millis(1000);
/// When a caller comes back whose request ran out of time in a line.
const LATE_RETRY_AFTER: Millis = Millis(1000);

/// Which line.
pub(crate) type LineKey = (usize, ServiceName, Class, Option<PlaceName>);

/// One line.
#[derive(Clone, Debug, Default)]
pub(crate) struct Line {
    hops: VecDeque<Hop>,
    /// The next look that is on the list.
    next_look: Option<Millis>,
}

/// All lines.
pub(crate) type Lines = BTreeMap<LineKey, Line>;

impl Engine<'_> {
    /// Lets a request that reached a VM be admitted, or join its line.
    pub(crate) fn on_arrival(&mut self, hop: Hop) {
        if !self.requests.contains_key(hop.id) {
            return;
        }
        if !self.is_up(&hop) {
            self.not_reached(hop);
            return;
        }
        let stream = self.stream_of(hop.id);
        let key = (
            hop.vm,
            stream.key.service.clone(),
            stream.key.class,
            hop.place().cloned(),
        );
        if self
            .lines
            .get(&key)
            .is_some_and(|line| !line.hops.is_empty())
        {
            self.note_queued(&hop);
            self.join(key, hop);
            return;
        }
        match self.ask(&hop) {
            Choice::Wait(until) => {
                self.join(key.clone(), hop);
                self.look_at(key, until);
            }
            choice => self.follow(hop, choice),
        }
    }

    pub(crate) fn is_up(&self, hop: &Hop) -> bool {
        let vm = &self.fleet.vms()[hop.vm];
        vm.runs() && vm.incarnation == hop.incarnation
    }

    fn join(&mut self, key: LineKey, mut hop: Hop) {
        let plan = self.fleet.plan();
        let max = plan
            .services
            .get(&key.1)
            .map_or(0, |s| s.queue_len as usize);
        let line = self.lines.entry(key).or_default();
        if line.hops.len() >= max {
            self.end_hop(&hop, Ending::NotRun(Refusal::after(FULL_RETRY_AFTER)));
            return;
        }
        hop.waited = true;
        line.hops.push_back(hop);
    }

    /// Puts the next look at a line on the list, unless an earlier one is there.
    fn look_at(&mut self, key: LineKey, at: Millis) {
        let at = at.max(self.now + Millis(1));
        let Some(line) = self.lines.get_mut(&key) else {
            return;
        };
        if line
            .next_look
            .is_some_and(|next| next <= at && next > self.now)
        {
            return;
        }
        line.next_look = Some(at);
        self.put(at, Item::Look(key));
    }

    /// Looks at a line: admits from its head as long as there is room.
    pub(crate) fn on_look(&mut self, key: LineKey) {
        loop {
            let head = self.lines.get(&key).and_then(|line| line.hops.front());
            let Some(head) = head.cloned() else {
                return;
            };
            if !self.requests.contains_key(head.id) || !self.is_up(&head) {
                self.leave(&key);
                if self.requests.contains_key(head.id) {
                    self.not_reached(head);
                }
                continue;
            }
            let deadline = self.requests[head.id].deadline;
            if self.now >= deadline {
                self.leave(&key);
                self.end_hop(&head, Ending::NotRun(Refusal::after(LATE_RETRY_AFTER)));
                continue;
            }
            match self.ask(&head) {
                Choice::Wait(until) => {
                    self.look_at(key, until.min(deadline));
                    return;
                }
                choice => {
                    self.leave(&key);
                    self.follow(head, choice);
                }
            }
        }
    }

    fn leave(&mut self, key: &LineKey) {
        if let Some(line) = self.lines.get_mut(key) {
            line.hops.pop_front();
        }
    }

    /// Lets the lines of a VM be looked at, since a request there has ended.
    pub(crate) fn wake_lines(&mut self, vm: usize) {
        let first = (vm, ServiceName::new(""), Class::Interactive, None);
        let here = self
            .lines
            .range(first..)
            .take_while(|((of, ..), _)| *of == vm);
        let waiting = here.filter(|(_, line)| !line.hops.is_empty());
        let keys: Vec<LineKey> = waiting.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.look_at(key, self.now);
        }
    }
}
