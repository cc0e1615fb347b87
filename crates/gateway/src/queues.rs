//! The bounded queues of one service: one for each class.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use heatherknot_http::Flag;
use heatherknot_types::prelude::*;
use slotmap::{SlotMap, new_key_type};

/// Interactive turns after which a bulk request that waits gets one.
const TURNS_PER_BULK: u32 = 8;

new_key_type! {
    struct Position;
}

/// The queues of every service of one daemon.
#[derive(Debug, Default)]
pub struct RequestQueues {
    lines: RefCell<HashMap<ServiceName, Line>>,
}

#[derive(Debug, Default)]
struct Line {
    waiting: SlotMap<Position, Flag>,
    order: [VecDeque<Position>; Class::ALL.len()],
    turns: u32,
}

/// A request's position in a queue. Dropping it leaves the queue.
#[derive(Debug)]
pub struct QueueEntry {
    lines: Rc<RequestQueues>,
    service: ServiceName,
    class: Class,
    position: Position,
    turn: Flag,
}

impl RequestQueues {
    /// Makes empty queues.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Gives the number of requests that wait.
    pub fn len(&self, service: &ServiceName, class: Class) -> usize {
        let lines = self.lines.borrow();
        lines.get(service).map_or(0, |line| line.queue(class).len())
    }

    /// Says whether a new request of `class` has to wait behind others.
    pub fn has_waiting_ahead(&self, service: &ServiceName, class: Class) -> bool {
        let lines = self.lines.borrow();
        let Some(line) = lines.get(service) else {
            return false;
        };
        Class::ALL
            .into_iter()
            .any(|other| other <= class && !line.queue(other).is_empty())
    }

    /// Joins the end of a queue, unless `max` requests wait there.
    pub fn enqueue(
        self: &Rc<Self>,
        service: &ServiceName,
        class: Class,
        max: usize,
    ) -> Option<QueueEntry> {
        let mut lines = self.lines.borrow_mut();
        let line = lines.entry(service.clone()).or_default();
        if line.queue(class).len() >= max {
            return None;
        }
        let turn = Flag::new();
        let position = line.waiting.insert(turn.clone());
        line.order[index(class)].push_back(position);
        Some(QueueEntry {
            lines: Rc::clone(self),
            service: service.clone(),
            class,
            position,
            turn,
        })
    }

    /// Lets the next request of every service look whether there is room.
    pub fn wake_all(&self) {
        for line in self.lines.borrow().values() {
            line.wake_next();
        }
    }

    fn leave(&self, service: &ServiceName, class: Class, position: Position) {
        let mut lines = self.lines.borrow_mut();
        let Some(line) = lines.get_mut(service) else {
            return;
        };
        line.waiting.remove(position);
        line.order[index(class)].retain(|other| *other != position);
        line.wake_next();
        if line.waiting.is_empty() {
            lines.remove(service);
        }
    }
}

impl Line {
    fn queue(&self, class: Class) -> &VecDeque<Position> {
        &self.order[index(class)]
    }

    /// Gives the request whose turn it is: the oldest interactive one, but now and then the
    /// oldest bulk one, so that steady interactive traffic never holds bulk up for good.
    fn next(&self) -> Option<Position> {
        let interactive = self.queue(Class::Interactive).front();
        let bulk = self.queue(Class::Bulk).front();
        match self.turns >= TURNS_PER_BULK {
            true => bulk.or(interactive).copied(),
            false => interactive.or(bulk).copied(),
        }
    }

    fn wake_next(&self) {
        if let Some(turn) = self.next().and_then(|next| self.waiting.get(next)) {
            turn.fire();
        }
    }

    fn count_turn(&mut self, class: Class) {
        self.turns = match class {
            Class::Bulk => 0,
            Class::Interactive if self.queue(Class::Bulk).is_empty() => 0,
            Class::Interactive => self.turns + 1,
        };
    }
}

impl QueueEntry {
    /// Says whether it is this request's turn.
    pub fn is_next(&self) -> bool {
        let lines = self.lines.lines.borrow();
        lines
            .get(&self.service)
            .is_some_and(|line| line.next() == Some(self.position))
    }

    /// Gives the event at which this request is to look again, and forgets earlier ones.
    pub fn next_wakeup(&mut self) -> Flag {
        if self.turn.is_fired() {
            self.turn = Flag::new();
            let mut lines = self.lines.lines.borrow_mut();
            let line = lines.get_mut(&self.service);
            if let Some(turn) = line.and_then(|line| line.waiting.get_mut(self.position)) {
                *turn = self.turn.clone();
            }
        }
        self.turn.clone()
    }

    /// Gives up a turn that found no room. A bulk request waits until two slots are free, and
    /// interactive ones need only one, so it must not hold them up.
    pub fn yield_turn(&self) {
        if self.class != Class::Bulk {
            return;
        }
        let mut lines = self.lines.lines.borrow_mut();
        let Some(line) = lines.get_mut(&self.service) else {
            return;
        };
        line.turns = 0;
        if line.next() != Some(self.position) {
            line.wake_next();
        }
    }

    /// Leaves the queue because it was this request's turn.
    pub fn dequeue(self) {
        let mut lines = self.lines.lines.borrow_mut();
        if let Some(line) = lines.get_mut(&self.service) {
            line.count_turn(self.class);
        }
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.lines.leave(&self.service, self.class, self.position);
    }
}

fn index(class: Class) -> usize {
    match class {
        Class::Interactive => 0,
        Class::Bulk => 1,
    }
}
