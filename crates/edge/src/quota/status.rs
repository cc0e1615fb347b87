//! What operators see of client accounts' quotas.

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::meter::Meter;
use super::state::Quota;
use super::totals::Standing;
use crate::accounts::{Account, Accounts};

/// What one VM knows of one client account. It holds no keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountStatus {
    /// The account.
    pub account: AccountName,
    /// The requests a second that all VMs together may admit; nothing for any number.
    pub per_second: Option<f64>,
    /// The requests beyond those that may come at once.
    pub burst: Option<f64>,
    /// The only regions that may run its requests; empty for any.
    pub home_regions: Vec<RegionName>,
    /// What callers send to all VMs, a second, where this VM collects the counts of its domain.
    pub asked: Option<f64>,
    /// What may be admitted at once beyond the rate; below zero where too much was. Known where
    /// `asked` is.
    pub level: Option<f64>,
    /// The part of its requests that this VM admits; nothing where it hears nothing, and goes by
    /// its own share of the limit.
    pub part: Option<f64>,
    /// How old `part` is, in milliseconds.
    pub age_ms: Option<Millis>,
}

/// Gives the status of every account, by name.
pub fn statuses(quota: &Quota, accounts: &Accounts) -> Vec<AccountStatus> {
    let standings = quota.standings();
    let meter = quota.meter();
    let now = quota.now();
    let of = |account: &Account| {
        let standing = standings.get(&account.name).copied();
        status_of(account, standing, &meter, now)
    };
    let mut all: Vec<AccountStatus> = accounts.all().map(|account| of(account)).collect();
    all.sort_by(|a, b| a.account.cmp(&b.account));
    all
}

fn status_of(
    account: &Account,
    standing: Option<Standing>,
    meter: &Meter,
    now: Millis,
) -> AccountStatus {
    AccountStatus {
        account: account.name.clone(),
        per_second: account.limit.map(|limit| limit.per_second),
        burst: account.limit.map(|limit| limit.burst),
        home_regions: account.home_regions.clone(),
        asked: standing.map(|standing| standing.asked),
        level: standing.map(|standing| standing.level),
        part: meter.part(&account.name, now),
        age_ms: meter.told_age(now),
    }
}
