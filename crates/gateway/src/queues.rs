//! The bounded queues of requests that wait for admission: one for each service and class.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use heatherknot_http::Flag;
use heatherknot_types::prelude::*;
use slotmap::{SlotMap, new_key_type};

/// Number of consecutive interactive admissions after which a waiting bulk request is next.
const INTERACTIVE_TURNS_PER_BULK: u32 = 8;

new_key_type! {
    struct Position;
}

/// The queues of every service of one daemon.
#[derive(Debug, Default)]
pub struct RequestQueues {
    services: RefCell<HashMap<ServiceName, ServiceQueues>>,
}

#[derive(Debug, Default)]
struct ServiceQueues {
    /// The event that wakes each waiting request.
    wakeups: SlotMap<Position, Flag>,
    /// The queue of each class, oldest first.
    order: [VecDeque<Position>; Class::ALL.len()],
    /// Consecutive interactive admissions while bulk requests waited.
    interactive_turns: u32,
}

/// A request's entry in a queue. Dropping it leaves the queue.
#[derive(Debug)]
pub struct QueueEntry {
    queues: Rc<RequestQueues>,
    service: ServiceName,
    class: Class,
    position: Position,
    wakeup: Flag,
}

impl RequestQueues {
    /// Creates empty queues.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self, service: &ServiceName, class: Class) -> usize {
        let services = self.services.borrow();
        services
            .get(service)
            .map_or(0, |queues| queues.queue(class).len())
    }

    /// Returns whether requests of the same or a more urgent class than `class` wait.
    pub fn has_waiting_ahead(&self, service: &ServiceName, class: Class) -> bool {
        let services = self.services.borrow();
        let Some(queues) = services.get(service) else {
            return false;
        };
        Class::ALL
            .into_iter()
            .any(|other| other <= class && !queues.queue(other).is_empty())
    }

    /// Appends a request to a queue, or returns `None` if `max` requests wait there.
    pub fn enqueue(
        self: &Rc<Self>,
        service: &ServiceName,
        class: Class,
        max: usize,
    ) -> Option<QueueEntry> {
        let mut services = self.services.borrow_mut();
        let queues = services.entry(service.clone()).or_default();
        if queues.queue(class).len() >= max {
            return None;
        }
        let wakeup = Flag::new();
        let position = queues.wakeups.insert(wakeup.clone());
        queues.order[index(class)].push_back(position);
        Some(QueueEntry {
            queues: Rc::clone(self),
            service: service.clone(),
            class,
            position,
            wakeup,
        })
    }

    /// Wakes the next request of every service, so that it tries to be admitted.
    pub fn wake_all(&self) {
        for queues in self.services.borrow().values() {
            queues.wake_next();
        }
    }

    fn leave(&self, service: &ServiceName, class: Class, position: Position) {
        let mut services = self.services.borrow_mut();
        let Some(queues) = services.get_mut(service) else {
            return;
        };
        queues.wakeups.remove(position);
        queues.order[index(class)].retain(|other| *other != position);
        queues.wake_next();
        if queues.wakeups.is_empty() {
            services.remove(service);
        }
    }
}

impl ServiceQueues {
    fn queue(&self, class: Class) -> &VecDeque<Position> {
        &self.order[index(class)]
    }

    /// Returns the request whose turn it is: the oldest interactive one, or periodically the
    /// oldest bulk one, so that steady interactive traffic doesn't starve bulk requests.
    fn next(&self) -> Option<Position> {
        let interactive = self.queue(Class::Interactive).front();
        let bulk = self.queue(Class::Bulk).front();
        match self.interactive_turns >= INTERACTIVE_TURNS_PER_BULK {
            true => bulk.or(interactive).copied(),
            false => interactive.or(bulk).copied(),
        }
    }

    fn wake_next(&self) {
        if let Some(wakeup) = self.next().and_then(|next| self.wakeups.get(next)) {
            wakeup.fire();
        }
    }

    fn count_turn(&mut self, class: Class) {
        self.interactive_turns = match class {
            Class::Bulk => 0,
            Class::Interactive if self.queue(Class::Bulk).is_empty() => 0,
            Class::Interactive => self.interactive_turns + 1,
        };
    }
}

impl QueueEntry {
    /// Returns whether it is this request's turn.
    pub fn is_next(&self) -> bool {
        let services = self.queues.services.borrow();
        services
            .get(&self.service)
            .is_some_and(|queues| queues.next() == Some(self.position))
    }

    /// Returns the event at which this request should check its turn again. Events that have
    /// already fired are discarded.
    pub fn next_wakeup(&mut self) -> Flag {
        if self.wakeup.is_fired() {
            self.wakeup = Flag::new();
            let mut services = self.queues.services.borrow_mut();
            let queues = services.get_mut(&self.service);
            if let Some(wakeup) = queues.and_then(|queues| queues.wakeups.get_mut(self.position)) {
                *wakeup = self.wakeup.clone();
            }
        }
        self.wakeup.clone()
    }

    /// Yields the turn of a bulk request that could not be admitted. A bulk request needs two
    /// free slots and an interactive one only one, so it must not block interactive requests.
    pub fn yield_turn(&self) {
        if self.class != Class::Bulk {
            return;
        }
        let mut services = self.queues.services.borrow_mut();
        let Some(queues) = services.get_mut(&self.service) else {
            return;
        };
        queues.interactive_turns = 0;
        if queues.next() != Some(self.position) {
            queues.wake_next();
        }
    }

    /// Leaves the queue because the request was admitted.
    pub fn dequeue(self) {
        let mut services = self.queues.services.borrow_mut();
        if let Some(queues) = services.get_mut(&self.service) {
            queues.count_turn(self.class);
        }
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.queues.leave(&self.service, self.class, self.position);
    }
}

fn index(class: Class) -> usize {
    match class {
        Class::Interactive => 0,
        Class::Bulk => 1,
    }
}
