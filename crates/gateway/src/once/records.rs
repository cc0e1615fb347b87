//! The records that one incarnation keeps of requests that run at most once.
//!
//! A record is never evicted to make room, because a request without a record could run again.
//! The number of records is bounded, and a request that would exceed it is refused before it
//! runs. Only the stored responses, which are large, are evicted in favor of newer ones.

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

/// Identifies a request that runs at most once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordKey {
    /// The service.
    pub service: ServiceName,
    /// The ticket or the caller's own key.
    pub key: Arc<str>,
}

/// A response stored for repeats of its request.
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
    /// Returns the number of bytes that the response counts towards the limit.
    fn size(&self) -> usize {
        /// Flat amount for the status and the headers.
        const HEAD_BYTES: usize = 512;
        HEAD_BYTES + self.body.len()
    }
}

/// How a request that runs at most once ended.
#[derive(Clone, Debug)]
pub enum Completion {
    /// It was answered with this response.
    Answered(Rc<StoredResponse>),
    /// It was answered; the response is not stored.
    NotKept,
    /// It did not run.
    NotRun(Refusal),
    /// It may have run.
    Unknown(Refusal),
}

#[derive(Debug)]
enum State {
    /// It has not run so far, and no attempt is in progress.
    Idle,
    /// An attempt is in progress. The senders notify the repeats that wait for its completion.
    Running(Vec<oneshot::Sender<Completion>>),
    Completed(Completion),
}

#[derive(Debug)]
struct Record {
    state: State,
    expires: Millis,
}

/// The limits of a [`RecordTable`].
#[derive(Clone, Copy, Debug)]
pub struct RecordLimits {
    /// Maximum number of records.
    pub records: usize,
    /// Maximum total size of the stored responses, in bytes.
    pub answer_bytes: usize,
}

/// What is known of a request when it begins.
#[derive(Debug)]
pub enum BeginOutcome {
    /// It may run: it is the first with its key, or no earlier one ran.
    Run(RunGuard),
    /// It is running; the receiver gets its completion.
    Join(oneshot::Receiver<Completion>),
    /// It has ended.
    Repeat(Completion),
    /// The limit on records is reached.
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
    /// The records by expiry. May hold outdated entries of a key.
    by_expiry: BinaryHeap<Reverse<(Millis, RecordKey)>>,
    /// The keys of stored responses, oldest first. May hold keys whose records are gone.
    response_order: VecDeque<RecordKey>,
    answer_bytes: usize,
}

/// The right to run one request now. Dropping it without a completion records that the request
/// may have run.
#[derive(Debug)]
pub struct RunGuard {
    records: Rc<RecordTable>,
    key: RecordKey,
    /// Whether a record shows that this incarnation has not run the request before.
    pub known_not_run: bool,
    completed: bool,
}

impl RecordTable {
    /// Creates an empty table.
    pub fn new(limits: RecordLimits, clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            limits,
            clock,
            inner: RefCell::default(),
        })
    }

    /// Begins a request whose record is kept until `expires`.
    pub fn begin(self: &Rc<Self>, key: &RecordKey, expires: Millis) -> BeginOutcome {
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
        inner.records.insert(key.clone(), Record { state, expires });
        inner.by_expiry.push(Reverse((expires, key.clone())));
        BeginOutcome::Run(RunGuard {
            records: Rc::clone(self),
            key: key.clone(),
            known_not_run,
            completed: false,
        })
    }

    /// Returns whether there is a record of the request.
    pub fn contains(&self, key: &RecordKey) -> bool {
        self.expire();
        self.inner.borrow().records.contains_key(key)
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.inner.borrow().records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes expired records. The record of a request that still runs is kept, and checked
    /// again after an interval.
    fn expire(&self) {
        const RECHECK_INTERVAL: Millis = Millis(60_000);
        let now = self.clock.now();
        let mut inner = self.inner.borrow_mut();
        while let Some(Reverse((expires, _))) = inner.by_expiry.peek() {
            if *expires > now {
                return;
            }
            let Some(Reverse((_, key))) = inner.by_expiry.pop() else {
                return;
            };
            match inner.records.get(&key) {
                Some(record) if matches!(record.state, State::Running(_)) => {
                    inner.by_expiry.push(Reverse((now + RECHECK_INTERVAL, key)));
                }
                Some(record) if record.expires <= now => inner.remove(&key),
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
            // The receiver is gone if the caller has disconnected.
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

    /// Removes the keys without a record from the response order, once they are the majority.
    fn prune_response_order(&mut self) {
        const SLACK: usize = 64;
        if self.response_order.len() > 2 * self.records.len() + SLACK {
            let records = &self.records;
            self.response_order.retain(|key| records.contains_key(key));
        }
    }

    /// Evicts the oldest stored responses until the others fit into `max` bytes. Their records
    /// stay.
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
    /// Records how the request ended and notifies the repeats that wait.
    pub fn complete(mut self, completion: Completion) {
        self.completed = true;
        let next = State::Completed(completion.clone());
        self.records.complete(&self.key, next, completion);
    }

    /// Records that this incarnation has not run the request, so that a repeat may run, and
    /// sends `completion` to the repeats that wait.
    pub fn release(mut self, completion: Completion) {
        self.completed = true;
        self.records.complete(&self.key, State::Idle, completion);
    }
}

impl Drop for RunGuard {
    /// A task that is dropped before it completes may have sent the request.
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
