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
    pub text: Arc<str>,
}

/// An answer held for repeats.
#[derive(Clone, Debug)]
pub struct KeptAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl KeptAnswer {
    /// Gives the bytes that the answer counts for.
    fn weight(&self) -> usize {
        const HEAD: usize = 512;
        HEAD + self.body.len()
    }
}

/// How a request that runs at most once ended.
#[derive(Clone, Debug)]
pub enum Ended {
    /// It was answered, and this is the answer.
    Answered(Rc<KeptAnswer>),
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
    Running(Vec<oneshot::Sender<Ended>>),
    Ended(Ended),
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
pub enum Begin {
    /// It is the first, or all before it did not run: it is to run.
    Run(Run),
    /// It runs already; its end comes here.
    Join(oneshot::Receiver<Ended>),
    /// It has ended.
    Repeat(Ended),
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
    by_end: BinaryHeap<Reverse<(Millis, RecordKey)>>,
    answers: VecDeque<RecordKey>,
    answer_bytes: usize,
}

/// The right to run one request now. Dropping it counts as "may have run".
#[derive(Debug)]
pub struct Run {
    memory: Rc<RecordTable>,
    key: RecordKey,
    /// Whether this incarnation knows that the request has not run here before.
    pub known_unrun: bool,
    ended: bool,
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
    pub fn begin(self: &Rc<Self>, key: &RecordKey, until: Millis) -> Begin {
        self.expire();
        let mut inner = self.inner.borrow_mut();
        let is_full = inner.records.len() >= self.limits.records;
        let known_unrun = match inner.records.get_mut(key) {
            None if is_full => return Begin::Full,
            None => false,
            Some(record) => match &mut record.state {
                State::Idle => true,
                State::Ended(ended) => return Begin::Repeat(ended.clone()),
                State::Running(waiting) => {
                    let (tx, rx) = oneshot::channel();
                    waiting.push(tx);
                    return Begin::Join(rx);
                }
            },
        };
        let state = State::Running(Vec::new());
        inner.records.insert(key.clone(), Record { state, until });
        inner.by_end.push(Reverse((until, key.clone())));
        Begin::Run(Run {
            memory: Rc::clone(self),
            key: key.clone(),
            known_unrun,
            ended: false,
        })
    }

    /// Says whether there is a record of the request.
    pub fn knows(&self, key: &RecordKey) -> bool {
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
        const LATER: Millis = Millis(60_000);
        let now = self.clock.now();
        let mut inner = self.inner.borrow_mut();
        while let Some(Reverse((until, _))) = inner.by_end.peek() {
            if *until > now {
                return;
            }
            let Some(Reverse((_, key))) = inner.by_end.pop() else {
                return;
            };
            match inner.records.get(&key) {
                Some(record) if matches!(record.state, State::Running(_)) => {
                    inner.by_end.push(Reverse((now + LATER, key)));
                }
                Some(record) if record.until <= now => inner.remove(&key),
                Some(_) | None => {}
            }
        }
    }

    fn end(&self, key: &RecordKey, next: State, ended: Ended) {
        let mut inner = self.inner.borrow_mut();
        let Some(record) = inner.records.get_mut(key) else {
            return;
        };
        let is_kept = matches!(next, State::Ended(Ended::Answered(_)));
        let waiting = match std::mem::replace(&mut record.state, next) {
            State::Running(waiting) => waiting,
            State::Idle | State::Ended(_) => Vec::new(),
        };
        if is_kept && let Ended::Answered(answer) = &ended {
            inner.answer_bytes += answer.weight();
            inner.answers.push_back(key.clone());
            inner.shed_answers(self.limits.answer_bytes);
            inner.forget_stale_order();
        }
        drop(inner);
        for tx in waiting {
            // A caller that has left needs no answer.
            let _ = tx.send(ended.clone());
        }
    }
}

impl Inner {
    fn remove(&mut self, key: &RecordKey) {
        if let Some(Record {
            state: State::Ended(Ended::Answered(answer)),
            ..
        }) = self.records.remove(key)
        {
            self.answer_bytes -= answer.weight();
        }
    }

    /// Drops places in the order of answers whose records are gone, once they are most of it.
    fn forget_stale_order(&mut self) {
        const SLACK: usize = 64;
        if self.answers.len() > 2 * self.records.len() + SLACK {
            let records = &self.records;
            self.answers.retain(|key| records.contains_key(key));
        }
    }

    /// Lets the oldest answers go until those left fit; their records stay.
    fn shed_answers(&mut self, max: usize) {
        while self.answer_bytes > max {
            let Some(oldest) = self.answers.pop_front() else {
                return;
            };
            let Some(record) = self.records.get_mut(&oldest) else {
                continue;
            };
            if let State::Ended(Ended::Answered(answer)) = &record.state {
                self.answer_bytes -= answer.weight();
                record.state = State::Ended(Ended::NotKept);
            }
        }
    }
}

impl Run {
    /// Records how the request ended and tells those that wait.
    pub fn end(mut self, ended: Ended) {
        self.ended = true;
        let next = State::Ended(ended.clone());
        self.memory.end(&self.key, next, ended);
    }

    /// Records that this incarnation has not run the request, so that a repeat may, and tells
    /// those that wait what they are to answer.
    pub fn release(mut self, ended: Ended) {
        self.ended = true;
        self.memory.end(&self.key, State::Idle, ended);
    }
}

impl Drop for Run {
    /// A task that is dropped halfway may have sent the request, so it counts as run.
    fn drop(&mut self) {
        if !self.ended {
            let refusal = Refusal::unknown(
                crate::answer::Reason::ConnectionLost,
                "the request was cut off while it ran",
            );
            let ended = Ended::Unknown(refusal);
            self.memory
                .end(&self.key, State::Ended(ended.clone()), ended);
        }
    }
}

impl fmt::Debug for RecordTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Memory({} records)", self.len())
    }
}
