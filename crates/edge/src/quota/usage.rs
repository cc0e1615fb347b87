//! How many requests of which accounts were asked for and admitted, on their way to a peer.

use std::collections::BTreeMap;

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// How long a count waits for a peer that can't be reached. By then the peer takes the VMs behind
/// it for silent and has set their share aside, so the count would be taken twice.
const FORGOTTEN_AFTER: Millis = Millis(1_500);
/// The reports in a row that are not answered from which on a peer is not relied on.
const AVOIDED_FROM: u32 = 2;
/// How long a peer that is not relied on is left alone between two reports.
const AVOID_FOR: Millis = Millis(1_000);

/// Requests of one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Requests that callers sent.
    #[serde(rename = "a")]
    pub asked: u32,
    /// Requests that were admitted, less those that were admitted earlier and did not run.
    #[serde(rename = "r")]
    pub admitted: i32,
}

/// Requests by account.
pub type Counts = BTreeMap<AccountName, Count>;

/// Adds `more` to `counts`.
pub fn add(counts: &mut Counts, account: &AccountName, more: Count) {
    let count = counts.entry(account.clone()).or_default();
    count.asked = count.asked.saturating_add(more.asked);
    count.admitted = count.admitted.saturating_add(more.admitted);
}

/// A report of usage to a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Its number; it grows with each report to this peer.
    #[serde(rename = "n")]
    pub number: u64,
    /// What was counted since the report before it.
    #[serde(rename = "c", default, skip_serializing_if = "Counts::is_empty")]
    pub counts: Counts,
    /// The VMs whose counts these are, where a VM tells those of others.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub vms: Option<u32>,
}

/// What is told to one peer, and whether it answers.
///
/// A report whose answer was lost may have arrived. It goes out again under the same number, and
/// the peer passes it over if it has it: counted twice, it would refuse requests that the account
/// may send.
#[derive(Debug, Default)]
pub struct Reporter {
    number: u64,
    unconfirmed: Option<UsageReport>,
    untold: Counts,
    /// When the last report arrived, or the first count came in.
    since: Millis,
    is_under_way: bool,
    failures: u32,
    /// When a peer that does not answer is to be asked again.
    again: Millis,
}

impl Reporter {
    /// Takes in what was counted.
    pub fn add(&mut self, account: &AccountName, more: Count, now: Millis) {
        if self.untold.is_empty() && self.unconfirmed.is_none() {
            self.since = now;
        }
        add(&mut self.untold, account, more);
    }

    /// Says whether the peer has not answered twice in a row, and is not relied on until it does.
    /// One report is lost where a connection breaks; the next one goes over a new one.
    pub fn is_avoided(&self) -> bool {
        self.failures >= AVOIDED_FROM
    }

    /// Begins the next report, which tells the counts of `vms` where they are those of other VMs.
    /// Gives nothing while one is under way, or where it is too early to ask the peer again.
    pub fn begin(&mut self, vms: Option<u32>, now: Millis) -> Option<UsageReport> {
        if self.is_under_way || (self.is_avoided() && now < self.again) {
            return None;
        }
        self.is_under_way = true;
        if now.since(self.since) >= FORGOTTEN_AFTER {
            self.take_all();
            self.since = now;
        }
        let report = self.unconfirmed.get_or_insert_with(|| {
            self.number += 1;
            UsageReport {
                number: self.number,
                counts: std::mem::take(&mut self.untold),
                vms,
            }
        });
        report.vms = vms;
        Some(report.clone())
    }

    /// Takes in that the peer has answered the report that was under way.
    pub fn answered(&mut self, now: Millis) {
        self.is_under_way = false;
        self.unconfirmed = None;
        self.since = now;
        self.failures = 0;
    }

    /// Takes in that the peer has not answered. Gives the counts that are to be told to another
    /// one, once it is not relied on any more: they may be counted twice, which is on the safe
    /// side.
    pub fn failed(&mut self, now: Millis) -> Counts {
        self.is_under_way = false;
        self.failures += 1;
        self.again = now + AVOID_FOR;
        match self.failures {
            AVOIDED_FROM => self.take_all(),
            _ => Counts::new(),
        }
    }

    fn take_all(&mut self) -> Counts {
        let mut counts = std::mem::take(&mut self.untold);
        let unconfirmed = self.unconfirmed.take();
        for (account, count) in unconfirmed.map(|report| report.counts).unwrap_or_default() {
            add(&mut counts, &account, count);
        }
        counts
    }
}
