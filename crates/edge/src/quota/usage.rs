//! Request counts by account, and their reporting to a peer.

use std::collections::BTreeMap;

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// How long counts wait for an unreachable peer. By then the peer considers the VMs behind them
/// silent and has set their share aside, so the counts would be counted twice.
const REPORT_EXPIRES_AFTER: Millis = Millis(1_500);
/// Number of consecutive unanswered reports from which a peer is avoided.
const AVOID_AFTER_FAILURES: u32 = 2;
/// Interval between two reports to a peer that is avoided.
const AVOID_FOR: Millis = Millis(1_000);

/// Request counts of one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Requests that callers sent.
    #[serde(rename = "a")]
    pub asked: u32,
    /// Admitted requests, minus earlier admitted ones that did not run.
    #[serde(rename = "r")]
    pub admitted: i32,
}

/// Request counts by account.
pub type Counts = BTreeMap<AccountName, Count>;

/// Adds `more` to an account's counts.
pub fn add_count(counts: &mut Counts, account: &AccountName, more: Count) {
    let count = counts.entry(account.clone()).or_default();
    count.asked = count.asked.saturating_add(more.asked);
    count.admitted = count.admitted.saturating_add(more.admitted);
}

/// A usage report to a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The report's number, which grows with each report to this peer.
    #[serde(rename = "n")]
    pub number: u64,
    /// Counts since the previous report.
    #[serde(rename = "c", default, skip_serializing_if = "Counts::is_empty")]
    pub counts: Counts,
    /// The number of VMs whose counts these are, if a VM passes on those of others.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub vms: Option<u32>,
}

/// The reports to one peer, and whether the peer answers.
///
/// A report whose answer was lost may have arrived. It is sent again under the same number, and the
/// peer ignores it if it has it: counted twice, it would cause requests within the limit to be
/// refused.
#[derive(Debug, Default)]
pub struct Reporter {
    number: u64,
    unconfirmed: Option<UsageReport>,
    unreported: Counts,
    /// When the last report was answered, or the first count since then was added.
    pending_since: Millis,
    is_in_flight: bool,
    failures: u32,
    /// When a peer that is avoided may be contacted again.
    retry_at: Millis,
}

impl Reporter {
    /// Adds counts to the next report.
    pub fn add(&mut self, account: &AccountName, more: Count, now: Millis) {
        if self.unreported.is_empty() && self.unconfirmed.is_none() {
            self.pending_since = now;
        }
        add_count(&mut self.unreported, account, more);
    }

    /// Returns whether the peer failed to answer two reports in a row and has not answered since. A
    /// single report is lost when a connection breaks; the next one uses a new connection.
    pub fn is_avoided(&self) -> bool {
        self.failures >= AVOID_AFTER_FAILURES
    }

    /// Starts the next report; `vms` is set if it contains the counts of other VMs. Returns `None`
    /// while a report is in flight, or if it is too early to contact the peer again.
    pub fn next_report(&mut self, vms: Option<u32>, now: Millis) -> Option<UsageReport> {
        if self.is_in_flight || (self.is_avoided() && now < self.retry_at) {
            return None;
        }
        self.is_in_flight = true;
        if now.since(self.pending_since) >= REPORT_EXPIRES_AFTER {
            self.drain();
            self.pending_since = now;
        }
        let report = self.unconfirmed.get_or_insert_with(|| {
            self.number += 1;
            UsageReport {
                number: self.number,
                counts: std::mem::take(&mut self.unreported),
                vms,
            }
        });
        report.vms = vms;
        Some(report.clone())
    }

    /// Records that the peer answered the report in flight.
    pub fn on_answer(&mut self, now: Millis) {
        self.is_in_flight = false;
        self.unconfirmed = None;
        self.pending_since = now;
        self.failures = 0;
    }

    /// Records that the peer did not answer. Once it is avoided, returns the counts that should be
    /// reported to another peer. They may be counted twice, which errs on the safe side.
    pub fn on_failure(&mut self, now: Millis) -> Counts {
        self.is_in_flight = false;
        self.failures += 1;
        self.retry_at = now + AVOID_FOR;
        match self.failures {
            AVOID_AFTER_FAILURES => self.drain(),
            _ => Counts::new(),
        }
    }

    fn drain(&mut self) -> Counts {
        let mut counts = std::mem::take(&mut self.unreported);
        let unconfirmed = self.unconfirmed.take();
        for (account, count) in unconfirmed.map(|report| report.counts).unwrap_or_default() {
            add_count(&mut counts, &account, count);
        }
        counts
    }
}
