//! Operators' view of client accounts' limits.

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::meter::Meter;
use super::state::Quota;
use super::totals::AccountUsage;
use crate::accounts::{Account, Accounts};

/// What one VM knows of one client account. Contains no keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountStatus {
    /// The account's name.
    pub account: AccountName,
    /// The requests per second that all VMs together may admit; `None` if unlimited.
    pub per_second: Option<f64>,
    /// The requests above that rate that may arrive at once.
    pub burst: Option<f64>,
    /// The only regions in which its requests may run; empty for any region.
    pub home_regions: Vec<RegionName>,
    /// Requests per second that callers send to all VMs, if this VM collects the counts of its
    /// domain.
    pub asked: Option<f64>,
    /// Requests that may be admitted at once in addition to the rate; negative after excess
    /// admissions. Known if `asked` is.
    pub level: Option<f64>,
    /// The fraction of its requests that this VM admits; `None` if it has no current answer and
    /// uses its own share of the limit.
    pub part: Option<f64>,
    /// Age of `part`, in milliseconds.
    pub age_ms: Option<Millis>,
}

/// Returns the status of all accounts, sorted by name.
pub fn statuses(quota: &Quota, accounts: &Accounts) -> Vec<AccountStatus> {
    let usages = quota.usages();
    let meter = quota.meter();
    let now = quota.now();
    let of = |account: &Account| {
        let usage = usages.get(&account.name).copied();
        status_of(account, usage, &meter, now)
    };
    let mut all: Vec<AccountStatus> = accounts.all().map(|account| of(account)).collect();
    all.sort_by(|a, b| a.account.cmp(&b.account));
    all
}

fn status_of(
    account: &Account,
    usage: Option<AccountUsage>,
    meter: &Meter,
    now: Millis,
) -> AccountStatus {
    AccountStatus {
        account: account.name.clone(),
        per_second: account.limit.map(|limit| limit.per_second),
        burst: account.limit.map(|limit| limit.burst),
        home_regions: account.home_regions.clone(),
        asked: usage.map(|usage| usage.asked),
        level: usage.map(|usage| usage.level),
        part: meter.fraction(&account.name, now),
        age_ms: meter.fraction_age(now),
    }
}
