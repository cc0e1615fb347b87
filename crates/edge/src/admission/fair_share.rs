//! Divides slot time between client accounts by max-min fairness.
//!
//! An account that asks for less than the fair share gets all it asks for. What it leaves is divided
//! equally among the others, so a burst of one account is at that account's expense.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use heatherknot_types::prelude::*;

/// Length of a bucket, in milliseconds, and number of buckets of the sliding window.
const BUCKET_MS: u64 = 500;
const BUCKETS: usize = 4;
/// Number of accounts tracked. Others are never considered to be over their share.
pub const MAX_ACCOUNTS: usize = 1_024;
/// Time for which a computed share is used.
const SHARE_LIFETIME: Millis = Millis(100);
/// Multiple of the fair share up to which an account is not over it. The share was computed up to
/// [`SHARE_LIFETIME`] ago and the account may have grown since.
const SHARE_TOLERANCE: f64 = 1.1;

/// Slot time that an account asked for and got, in milliseconds, by bucket.
#[derive(Debug, Default)]
struct Usage {
    asked: [f64; BUCKETS],
    admitted: [f64; BUCKETS],
}

impl Usage {
    fn asked_ms(&self) -> f64 {
        self.asked.iter().sum()
    }

    fn admitted_ms(&self) -> f64 {
        self.admitted.iter().sum()
    }

    fn clear(&mut self, buckets: &[usize]) {
        for bucket in buckets {
            self.asked[*bucket] = 0.0;
            self.admitted[*bucket] = 0.0;
        }
    }
}

/// What an account asked for and got in the last two seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountUsage {
    /// The account; `None` for all requests without one.
    pub account: Option<AccountName>,
    /// Slot time of all its requests, in milliseconds.
    pub asked_ms: f64,
    /// Slot time of its admitted requests, in milliseconds.
    pub admitted_ms: f64,
}

/// Shares of client accounts in the slot time that one VM admits.
#[derive(Debug, Default)]
pub struct FairShare {
    accounts: RefCell<HashMap<Option<AccountName>, Usage>>,
    /// Slot time of all accounts, tracked or not.
    all: RefCell<Usage>,
    /// Number of the current bucket.
    bucket: Cell<u64>,
    /// The fair share in milliseconds and when it was computed.
    share: Cell<Option<(f64, Millis)>>,
}

impl FairShare {
    /// Records that an account asks for `slot_ms` milliseconds of a slot.
    pub fn record_asked(&self, account: Option<&AccountName>, slot_ms: f64, now: Millis) {
        let index = self.advance(now);
        self.all.borrow_mut().asked[index] += slot_ms;
        self.with_usage(account, |usage| usage.asked[index] += slot_ms);
    }

    /// Records that an account gets `slot_ms` milliseconds of a slot.
    pub fn record_admitted(&self, account: Option<&AccountName>, slot_ms: f64, now: Millis) {
        let index = self.advance(now);
        self.all.borrow_mut().admitted[index] += slot_ms;
        self.with_usage(account, |usage| usage.admitted[index] += slot_ms);
    }

    /// Returns the slot time that an account got in the window as a multiple of the fair share; zero
    /// if all accounts get what they ask for.
    pub fn used_fraction(&self, account: Option<&AccountName>, now: Millis) -> f64 {
        self.advance(now);
        let share = self.share_ms(now);
        let accounts = self.accounts.borrow();
        let usage = accounts.get(&account.cloned());
        usage.map_or(0.0, |usage| usage.admitted_ms() / share.max(1.0))
    }

    /// Returns whether an account with this [`used_fraction`](Self::used_fraction) is over its
    /// share.
    pub fn is_over(used_fraction: f64) -> bool {
        used_fraction > SHARE_TOLERANCE
    }

    /// Returns the most slot time, in milliseconds, that an account can get in a window while
    /// others want more than they get; infinite if all get what they ask for.
    pub fn share_ms(&self, now: Millis) -> f64 {
        if let Some((share, at)) = self.share.get()
            && now.since(at) < SHARE_LIFETIME
        {
            return share;
        }
        let accounts = self.accounts.borrow();
        let admitted = accounts.values().map(Usage::admitted_ms).sum();
        let asked: Vec<f64> = accounts.values().map(Usage::asked_ms).collect();
        let share = match asked.len() {
            0 | 1 => f64::INFINITY,
            _ => max_min_share(admitted, asked),
        };
        self.share.set(Some((share, now)));
        share
    }

    /// Returns the mean slot time in milliseconds that was asked for, given the number of requests.
    pub fn mean_slot_ms(&self, requests: f64, now: Millis) -> f64 {
        self.advance(now);
        self.all.borrow().asked_ms() / requests.max(1.0)
    }

    /// Returns the accounts over their share, the furthest over it first.
    pub fn accounts_over(&self, now: Millis) -> Vec<AccountUsage> {
        self.advance(now);
        let share = self.share_ms(now);
        let accounts = self.accounts.borrow();
        let over = accounts
            .iter()
            .filter(|(_, usage)| Self::is_over(usage.asked_ms() / share));
        let over = over.map(|(account, usage)| AccountUsage {
            account: account.clone(),
            asked_ms: usage.asked_ms(),
            admitted_ms: usage.admitted_ms(),
        });
        let mut over: Vec<AccountUsage> = over.collect();
        over.sort_by(|a, b| b.asked_ms.total_cmp(&a.asked_ms));
        over
    }

    /// Returns the number of accounts tracked.
    pub fn tracked(&self) -> usize {
        self.accounts.borrow().len()
    }

    fn with_usage(&self, account: Option<&AccountName>, update: impl FnOnce(&mut Usage)) {
        let mut accounts = self.accounts.borrow_mut();
        let account = account.cloned();
        if let Some(usage) = accounts.get_mut(&account) {
            update(usage);
        } else if accounts.len() < MAX_ACCOUNTS {
            update(accounts.entry(account).or_default());
        }
    }

    /// Empties the buckets that have left the window and forgets accounts without requests in it.
    /// Returns the index of the current bucket.
    fn advance(&self, now: Millis) -> usize {
        let current = now.0 / BUCKET_MS;
        let index = (current % BUCKETS as u64) as usize;
        let last = self.bucket.replace(current);
        if current <= last {
            return index;
        }
        let expired = (last + 1..=current).take(BUCKETS);
        let expired: Vec<usize> = expired
            .map(|bucket| (bucket % BUCKETS as u64) as usize)
            .collect();
        self.all.borrow_mut().clear(&expired);
        self.accounts.borrow_mut().retain(|_, usage| {
            usage.clear(&expired);
            usage.asked_ms() > 0.0
        });
        index
    }
}

/// Returns the max-min share of `capacity` among accounts that ask for `asked`; infinite if it
/// suffices for all.
fn max_min_share(capacity: f64, mut asked: Vec<f64>) -> f64 {
    asked.sort_by(f64::total_cmp);
    let mut rest = capacity;
    for (satisfied, amount) in asked.iter().enumerate() {
        let share = rest / (asked.len() - satisfied) as f64;
        if *amount > share {
            return share;
        }
        rest -= amount;
    }
    f64::INFINITY
}
