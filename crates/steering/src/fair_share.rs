//! Fair sharing of one limit between client accounts, and between the classes of each account.
//!
//! Each account has a guaranteed share and a maximum share. Unused capacity may be borrowed,
//! except what an account recently needed of its guaranteed share plus some room to grow, which is
//! reserved for it. A surge of one account is therefore limited to its own share plus what no
//! other account needs.

use std::collections::BTreeMap;

use heatherknot_types::plan::{AccountPlan, Cap};
use heatherknot_types::prelude::*;

use crate::meter::RateMeter;
use crate::tuning::Tuning;
use crate::window::Window;

/// One account's shares and its use of the limit.
#[derive(Clone, Debug)]
struct AccountUsage {
    guaranteed_permille: u32,
    max_permille: u32,
    used: Window,
    interactive_used: Window,
    demand: Demand,
    interactive_demand: Demand,
    in_flight: u32,
    in_flight_peak: f64,
}

/// Demand of an account, admitted or not: its decaying peak, and the full count of the last
/// window, since the peak of an account that has just become active again is too low.
#[derive(Clone, Debug)]
struct Demand {
    meter: RateMeter,
    recent: Window,
}

impl Demand {
    fn new(tuning: &Tuning) -> Self {
        Self {
            meter: RateMeter::default(),
            recent: Window::new(tuning.window, DEMAND_GRAIN),
        }
    }

    fn add(&mut self, now: Millis) {
        self.meter.add(1);
        self.recent.count(now);
        self.recent.add(now);
    }

    /// Returns the requests to expect in a window, scaled by `permille`, and zero without demand.
    fn needed(&self, permille: u32, now: Millis) -> u32 {
        let recent = f64::from(self.recent.peek(now));
        let peak = recent.max(self.meter.peak());
        if peak < MIN_PEAK {
            return 0;
        }
        scale(peak, permille) + 1
    }
}

/// Resolution of the demand count.
const DEMAND_GRAIN: Millis = Millis(50);
/// Demand below this rate counts as none, in requests per second.
const MIN_PEAK: f64 = 0.05;

/// Whether an account may have one more request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Share {
    /// Within the account's guaranteed share.
    Guaranteed,
    /// Within capacity that no other account needs now.
    Borrowed,
    /// Would take another account's share.
    Exceeded,
}

/// The use of one limit by all accounts.
#[derive(Clone, Debug)]
pub struct FairShare {
    tuning: Tuning,
    accounts: BTreeMap<AccountName, AccountUsage>,
    in_flight: u32,
    arrivals: Window,
    last_tick: Millis,
}

impl FairShare {
    /// Creates a limit without accounts.
    pub fn new(tuning: Tuning) -> Self {
        Self {
            tuning,
            accounts: BTreeMap::new(),
            in_flight: 0,
            arrivals: Window::new(tuning.window, tuning.window_grain),
            last_tick: Millis(0),
        }
    }

    /// Sets the accounts' shares, in thousandths of the limit. Guaranteed shares that sum to more
    /// than the whole are scaled down in proportion.
    pub fn set_shares(&mut self, shares: &BTreeMap<AccountName, AccountPlan>) {
        let guaranteed = shares.values().map(|s| u32::from(s.guaranteed_permille));
        let sum: u32 = guaranteed.sum();
        let whole = sum.max(1_000);
        for account in self.accounts.values_mut() {
            account.guaranteed_permille = 0;
            account.max_permille = 0;
        }
        for (name, share) in shares {
            let account = self.account(name);
            account.guaranteed_permille = u32::from(share.guaranteed_permille) * 1_000 / whole;
            account.max_permille = u32::from(share.share_permille);
        }
        self.accounts
            .retain(|_, a| a.guaranteed_permille > 0 || a.in_flight > 0);
    }

    /// Counts one request of an account's demand, admitted or not.
    pub fn demand(&mut self, name: &AccountName, class: Class, now: Millis) {
        let account = self.account(name);
        account.demand.add(now);
        if class == Class::Interactive {
            account.interactive_demand.add(now);
        }
    }

    /// Returns whether `name` may have one more request of `class` under `limit`.
    pub fn check(&mut self, name: &AccountName, class: Class, limit: Cap, now: Millis) -> Share {
        let Some(account) = self.accounts.get_mut(name) else {
            return Share::Exceeded;
        };
        let interactive = account.interactive_used.count(now);
        // A bulk request leaves room for the interactive requests that its own account still
        // expects in this window. Borrowed bulk requests do not count against interactive ones.
        let (used, expected) = match class {
            Class::Interactive => (interactive, 0),
            Class::Bulk => {
                let permille = self.tuning.local_reserve_permille;
                let need = account.interactive_demand.needed(permille, now);
                (account.used.count(now), need.saturating_sub(interactive))
            }
        };
        if account.used.count(now) >= part(limit.per_second, account.max_permille)
            || account.in_flight >= part(limit.in_flight, account.max_permille)
        {
            return Share::Exceeded;
        }
        let own_rate = part(limit.per_second, account.guaranteed_permille);
        let own_in_flight = part(limit.in_flight, account.guaranteed_permille);
        let arrivals = self.arrivals.count(now) + expected;
        let fits_limit = expected == 0 || arrivals < limit.per_second;
        if used + expected < own_rate && account.in_flight < own_in_flight && fits_limit {
            return Share::Guaranteed;
        }
        let reserved = self.reserved_for_others(name, limit, now);
        let rate = arrivals + reserved.per_second;
        let in_flight = self.in_flight + reserved.in_flight;
        if rate < limit.per_second && in_flight < limit.in_flight {
            Share::Borrowed
        } else {
            Share::Exceeded
        }
    }

    /// Returns the capacity that the accounts other than `name` may still claim of their shares.
    fn reserved_for_others(&self, name: &AccountName, limit: Cap, now: Millis) -> Cap {
        let factor = self.tuning.account_reserve_permille;
        let mut reserved = Cap {
            per_second: 0,
            in_flight: 0,
        };
        for (other, account) in &self.accounts {
            if other == name || account.guaranteed_permille == 0 {
                continue;
            }
            let rate = account.demand.needed(factor, now);
            if rate == 0 && account.in_flight_peak < 0.5 {
                continue;
            }
            let rate = rate.min(part(limit.per_second, account.guaranteed_permille));
            reserved.per_second += rate.saturating_sub(account.used.peek(now));
            let in_flight = scale(account.in_flight_peak, factor) + 1;
            let in_flight = in_flight.min(part(limit.in_flight, account.guaranteed_permille));
            reserved.in_flight += in_flight.saturating_sub(account.in_flight);
        }
        reserved
    }

    /// Counts an admitted request.
    pub fn start(&mut self, name: &AccountName, class: Class, now: Millis) {
        self.arrivals.add(now);
        self.in_flight += 1;
        let account = self.account(name);
        account.used.add(now);
        if class == Class::Interactive {
            account.interactive_used.add(now);
        }
        account.in_flight += 1;
        account.in_flight_peak = account.in_flight_peak.max(f64::from(account.in_flight));
    }

    /// Counts the end of an admitted request.
    pub fn finish(&mut self, name: &AccountName) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(account) = self.accounts.get_mut(name) {
            account.in_flight = account.in_flight.saturating_sub(1);
        }
    }

    /// Returns when `name` may expect room again: when the oldest request leaves its window.
    pub fn free_at(&self, name: &AccountName, limit: Cap, now: Millis) -> Millis {
        let Some(account) = self.accounts.get(name) else {
            return now + self.tuning.window;
        };
        let used = account.used.peek(now);
        let own = part(limit.per_second, account.guaranteed_permille).max(1);
        account.used.free_at(own.min(used.max(1)), now)
    }

    /// Advances the meters to `now`.
    pub fn tick(&mut self, now: Millis) {
        let span = now.since(self.last_tick).as_secs_f64();
        self.last_tick = now;
        let decay = (-span / self.tuning.peak_memory.as_secs_f64()).exp();
        let memory = self.tuning.peak_memory;
        for account in self.accounts.values_mut() {
            account.demand.meter.tick(now, memory);
            account.interactive_demand.meter.tick(now, memory);
            let decayed = account.in_flight_peak * decay;
            account.in_flight_peak = decayed.max(f64::from(account.in_flight));
        }
    }

    /// Returns each account with its requests in the last window and in flight.
    pub fn usage(&self, now: Millis) -> impl Iterator<Item = (&AccountName, Cap)> {
        self.accounts.iter().map(move |(name, account)| {
            let used = Cap {
                per_second: account.used.peek(now),
                in_flight: account.in_flight,
            };
            (name, used)
        })
    }

    fn account(&mut self, name: &AccountName) -> &mut AccountUsage {
        if !self.accounts.contains_key(name) {
            let window = Window::new(self.tuning.window, self.tuning.window_grain);
            let account = AccountUsage {
                guaranteed_permille: 0,
                max_permille: 0,
                used: window.clone(),
                interactive_used: window,
                demand: Demand::new(&self.tuning),
                interactive_demand: Demand::new(&self.tuning),
                in_flight: 0,
                in_flight_peak: 0.0,
            };
            self.accounts.insert(name.clone(), account);
        }
        self.accounts.get_mut(name).expect("inserted above")
    }
}

fn scale(value: f64, permille: u32) -> u32 {
    (value * f64::from(permille) / 1_000.0).ceil() as u32
}

fn part(limit: u32, permille: u32) -> u32 {
    (u64::from(limit) * u64::from(permille) / 1_000) as u32
}
