//! What one incarnation remembers of the requests that run at most once.
//!
//! A record is never dropped to make room: a request whose record is gone could run again. The
//! room for records is bounded, and a request that finds none is refused before it runs. Only
//! the answers, which are large, give way to newer ones.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use heatherknot_types::prelude::*;
use http::{HeaderMap, StatusCode};
use local_sync::oneshot;

use crate::answer::Refusal;

/// Names a request that runs at most once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordKey {
    /// The service.
    pub service: ServiceName,
    /// The ticket or the caller's own key.
    pub key: Arc<str>,
}

/// An answer held for repeats.
#[derive(Clone, Debug)]
pub struct StoredResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl StoredResponse {
    /// Gives the bytes that the answer counts for.
    fn size(&self) -> usize {
        const HEAD_BYTES: usize = 512;
        HEAD_BYTES + self.body.len()
    }
}

/// How a request that runs at most once completion.
#[derive(Clone, Debug)]
pub enum Completion {
    /// It was answered, and this is the answer.
    Answered(Rc<StoredResponse>),
    /// It was answered; the answer is not held.
    NotKept,
    /// It did not run.
    NotRun(Refusal),
    /// It may have run.
    Unknown(Refusal),
}

#[derive(Debug)]
enum State {
    /// It has not run so far, and nobody is about to run it.
    Idle,
    Running(Vec<oneshot::Sender<Completion>>),
    Completed(Completion),
}

#[derive(Debug)]
struct Record {
    state: State,
    until: Millis,
}

/// Bounds of a [`RecordTable`].
#[derive(Clone, Copy, Debug)]
pub struct RecordLimits {
    /// Records held at once.
    pub records: usize,
    /// Bytes of answers held at once.
    pub answer_bytes: usize,
}

/// What a request finds.
#[derive(Debug)]
pub enum BeginOutcome {
    /// It is the first, or all before it did not run: it is to run.
    Run(RunGuard),
    /// It runs already; its end comes here.
    Join(oneshot::Receiver<Completion>),
    /// It has completion.
    Repeat(Completion),
    /// There is no room for a further record.
    Full,
}

/// The records of one incarnation.
pub struct RecordTable {
    limits: RecordLimits,
    clock: Clock,
    inner: RefCell<Inner>,
}

#[derive(Default)]
struct Inner {
    records: HashMap<RecordKey, Record>,
    by_expiry: BinaryHeap<Reverse<(Millis, RecordKey)>>,
    response_order: VecDeque<RecordKey>,
    answer_bytes: usize,
}

/// The right to run one request now. Dropping it counts as "may have run".
#[derive(Debug)]
pub struct RunGuard {
    records: Rc<RecordTable>,
    key: RecordKey,
    /// Whether this incarnation contains that the request has not run here before.
    pub known_not_run: bool,
    completed: bool,
}

impl RecordTable {
    /// Makes an empty memory.
    pub fn new(limits: RecordLimits, clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            limits,
            clock,
            inner: RefCell::default(),
        })
    }

    /// Begins a request, which is remembered until `until`.
    pub fn begin(self: &Rc<Self>, key: &RecordKey, until: Millis) -> BeginOutcome {
        self.expire();
        let mut inner = self.inner.borrow_mut();
        let is_full = inner.records.len() >= self.limits.records;
        let known_not_run = match inner.records.get_mut(key) {
            None if is_full => return BeginOutcome::Full,
            None => false,
            Some(record) => match &mut record.state {
                State::Idle => true,
                State::Completed(completion) => return BeginOutcome::Repeat(completion.clone()),
                State::Running(waiting) => {
                    let (tx, rx) = oneshot::channel();
                    waiting.push(tx);
                    return BeginOutcome::Join(rx);
                }
            },
        };
        let state = State::Running(Vec::new());
        inner.records.insert(key.clone(), Record { state, until });
        inner.by_expiry.push(Reverse((until, key.clone())));
        BeginOutcome::Run(RunGuard {
            records: Rc::clone(self),
            key: key.clone(),
            known_not_run,
            completed: false,
        })
    }

    /// Says whether there is a record of the request.
    pub fn contains(&self, key: &RecordKey) -> bool {
        self.expire();
        self.inner.borrow().records.contains_key(key)
    }

    /// Gives the number of records held.
    pub fn len(&self) -> usize {
        self.inner.borrow().records.len()
    }

    /// Says whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops the records whose time is over. One that still runs stays until it ends, and is
    /// looked at again a while later.
    fn expire(&self) {
        const RECHECK_INTERVAL: Millis = Millis(60_000);
        let now = self.clock.now();
        let mut inner = self.inner.borrow_mut();
        while let Some(Reverse((until, _))) = inner.by_expiry.peek() {
            if *until > now {
                return;
            }
            let Some(Reverse((_, key))) = inner.by_expiry.pop() else {
                return;
            };
            match inner.records.get(&key) {
                Some(record) if matches!(record.state, State::Running(_)) => {
                    inner.by_expiry.push(Reverse((now + RECHECK_INTERVAL, key)));
                }
                Some(record) if record.until <= now => inner.remove(&key),
                Some(_) | None => {}
            }
        }
    }

    fn complete(&self, key: &RecordKey, next: State, completion: Completion) {
        let mut inner = self.inner.borrow_mut();
        let Some(record) = inner.records.get_mut(key) else {
            return;
        };
        let is_stored = matches!(next, State::Completed(Completion::Answered(_)));
        let waiting = match std::mem::replace(&mut record.state, next) {
            State::Running(waiting) => waiting,
            State::Idle | State::Completed(_) => Vec::new(),
        };
        if is_stored && let Completion::Answered(response) = &completion {
            inner.answer_bytes += response.size();
            inner.response_order.push_back(key.clone());
            inner.evict_responses(self.limits.answer_bytes);
            inner.prune_response_order();
        }
        drop(inner);
        for tx in waiting {
            // A caller that has left needs no answer.
            let _ = tx.send(completion.clone());
        }
    }
}

impl Inner {
    fn remove(&mut self, key: &RecordKey) {
        if let Some(Record {
            state: State::Completed(Completion::Answered(response)),
            ..
        }) = self.records.remove(key)
        {
            self.answer_bytes -= response.size();
        }
    }

    /// Drops places in the order of answers whose records are gone, once they are most of it.
    fn prune_response_order(&mut self) {
        const SLACK: usize = 64;
        if self.response_order.len() > 2 * self.records.len() + SLACK {
            let records = &self.records;
            self.response_order.retain(|key| records.contains_key(key));
        }
    }

    /// Lets the oldest answers go until those left fit; their records stay.
    fn evict_responses(&mut self, max: usize) {
        while self.answer_bytes > max {
            let Some(oldest) = self.response_order.pop_front() else {
                return;
            };
            let Some(record) = self.records.get_mut(&oldest) else {
                continue;
            };
            if let State::Completed(Completion::Answered(response)) = &record.state {
                self.answer_bytes -= response.size();
                record.state = State::Completed(Completion::NotKept);
            }
        }
    }
}

impl RunGuard {
    /// Records how the request completion and tells those that wait.
    pub fn complete(mut self, completion: Completion) {
        self.completed = true;
        let next = State::Completed(completion.clone());
        self.records.complete(&self.key, next, completion);
    }

    /// Records that this incarnation has not run the request, so that a repeat may, and tells
    /// those that wait what they are to answer.
    pub fn release(mut self, completion: Completion) {
        self.completed = true;
        self.records.complete(&self.key, State::Idle, completion);
    }
}

impl Drop for RunGuard {
    /// A task that is dropped halfway may have sent the request, so it counts as run.
    fn drop(&mut self) {
        if !self.completed {
            let refusal = Refusal::unknown(
                crate::answer::Reason::ConnectionLost,
                "the request was cut off while it ran",
            );
            let completion = Completion::Unknown(refusal);
            self.records
                .complete(&self.key, State::Completed(completion.clone()), completion);
        }
    }
}

impl fmt::Debug for RecordTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Memory({} records)", self.len())
    }
}
