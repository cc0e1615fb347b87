//! One VM's part in finding out requests that end servers.

use std::cell::{Ref, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use heatherknot_http::Flag;
use heatherknot_types::prelude::*;
use log::{info, warn};

use super::clean_runs::CleanRuns;
use super::fingerprint::Fingerprint;
use super::suspects::{Case, EndId, Origin, Standing, Subject, Suspects};

/// One VM's part in finding out requests that end servers.
pub struct PoisonDetector {
    timer: Timer,
    /// What quick hashes are made with: nobody else can make two requests with the same one.
    key: u64,
    suspects: RefCell<Suspects>,
    clean_runs: RefCell<CleanRuns>,
    /// The operators who released requests here, until the store has it.
    released: RefCell<HashMap<Fingerprint, String>>,
    /// Suspected requests that this VM has at a server.
    under_way: RefCell<HashSet<Fingerprint>>,
    news: RefCell<Flag>,
    verdict: RefCell<Flag>,
}

/// Counts a suspected request as under way for as long as it lives.
pub(crate) struct UnderWay {
    poison: Rc<PoisonDetector>,
    fingerprint: Fingerprint,
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        let mut under_way = self.poison.under_way.borrow_mut();
        under_way.remove(&self.fingerprint);
    }
}

impl PoisonDetector {
    /// Makes the part of a VM that knows nothing.
    pub fn new(timer: Timer, key: u64) -> Self {
        Self {
            timer,
            key,
            clean_runs: RefCell::default(),
            suspects: RefCell::default(),
            released: RefCell::default(),
            under_way: RefCell::default(),
            news: RefCell::default(),
            verdict: RefCell::default(),
        }
    }

    /// Gives what quick hashes are made with.
    pub(crate) fn hash_key(&self) -> u64 {
        self.key
    }

    /// Gives the cases.
    pub fn suspects(&self) -> Ref<'_, Suspects> {
        self.suspects.borrow()
    }

    /// Gives an event that happens when there is news from now on.
    pub(crate) fn next_news(&self) -> Flag {
        let news = Flag::new();
        *self.news.borrow_mut() = news.clone();
        news
    }

    /// Gives an event that happens when a request is rejected, or no longer is, from now on.
    pub(crate) fn next_verdict(&self) -> Flag {
        let verdict = Flag::new();
        *self.verdict.borrow_mut() = verdict.clone();
        verdict
    }

    /// Has peers told that were not told of all news.
    pub(crate) fn tell_again(&self) {
        self.news.borrow().fire();
    }

    /// Counts a suspected request as under way; nothing where one like it is already.
    pub(crate) fn begin(self: &Rc<Self>, fingerprint: Fingerprint) -> Option<UnderWay> {
        let is_first = self.under_way.borrow_mut().insert(fingerprint);
        is_first.then(|| UnderWay {
            poison: Rc::clone(self),
            fingerprint,
        })
    }

    /// Takes in that a server ended under a request.
    pub(crate) fn note_end(&self, subject: &Subject, end: EndId) {
        self.change(&subject.fingerprint, |suspects, now| {
            suspects.note_end(subject, end, now)
        });
    }

    /// Takes in that a request ran and its server lived; `known` is the request's fingerprint where
    /// something is known of it.
    pub(crate) fn note_clean_run(&self, quick: u64, known: Option<Fingerprint>) {
        self.clean_runs.borrow_mut().note(quick, self.timer.now());
        if let Some(fingerprint) = known {
            self.clear(&fingerprint);
        }
    }

    /// Voids what speaks against a request.
    fn clear(&self, fingerprint: &Fingerprint) {
        let is_cleared = self.change(fingerprint, |suspects, now| {
            suspects.clear(fingerprint, now)
        });
        if is_cleared {
            info!(fingerprint:% = fingerprint; "a suspected request ran and its server lived");
        }
    }

    /// Has an operator release a request.
    pub(crate) fn release(&self, fingerprint: &Fingerprint, operator: &str) {
        let operator = operator.to_owned();
        self.released.borrow_mut().insert(*fingerprint, operator);
        self.change(fingerprint, |suspects, now| {
            suspects.clear(fingerprint, now)
        });
    }

    /// Gives the operator who released a request here, once.
    pub(crate) fn releaser(&self, fingerprint: &Fingerprint) -> Option<String> {
        self.released.borrow_mut().remove(fingerprint)
    }

    /// Takes in what another VM, or the store, knows of a case.
    pub(crate) fn take(&self, case: &Case, origin: Origin) {
        let subject = &case.subject;
        let is_news = self.change(&subject.fingerprint, |suspects, now| {
            suspects.take(case, origin, now)
        });
        let now = self.timer.now();
        if is_news && self.clean_runs.borrow_mut().take(subject.quick, now) {
            self.clear(&subject.fingerprint);
        }
    }

    /// Forgets a case that the store no longer holds.
    pub(crate) fn remove(&self, fingerprint: &Fingerprint) {
        let now = self.timer.now();
        self.suspects.borrow_mut().remove(fingerprint, now);
    }

    /// Forgets cases that are too old to count.
    pub(crate) fn forget(&self) {
        let now = self.timer.now();
        self.suspects.borrow_mut().forget(now);
    }

    /// Changes a case; says whether there was news, which peers are told. The log tells where that
    /// decides whether the request is rejected.
    fn change(
        &self,
        fingerprint: &Fingerprint,
        change: impl FnOnce(&mut Suspects, Millis) -> bool,
    ) -> bool {
        let now = self.timer.now();
        let mut suspects = self.suspects.borrow_mut();
        let before = suspects.standing(fingerprint);
        let is_news = change(&mut suspects, now);
        if is_news {
            self.tell_again();
        }
        let after = suspects.standing(fingerprint);
        let Some(held) = suspects.get(fingerprint).filter(|_| before != after) else {
            return is_news;
        };
        let subject = &held.case.subject;
        let account = subject.account.as_ref().map_or("", |name| name.as_str());
        let ends = held.case.ends.len();
        match (before, after) {
            (_, Standing::Rejected) => {
                warn!(fingerprint:% = fingerprint, route:% = subject.route, account, ends;
                    "a request is rejected from now on: servers ended under it");
                self.verdict.borrow().fire();
            }
            (Standing::Rejected, _) => {
                warn!(fingerprint:% = fingerprint, route:% = subject.route, account;
                    "a request is no longer rejected");
                self.verdict.borrow().fire();
            }
            _ => {}
        }
        is_news
    }
}
