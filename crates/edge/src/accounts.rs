//! The client accounts of a configuration: by which keys their requests are known, how many they
//! may send, and in which regions those may run.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use heatherknot_types::prelude::*;
use http::HeaderValue;

/// A key by which the requests of a client account are known.
///
/// It is what a caller proves itself with, so its text stands in no log line, error or report:
/// the debug format leaves it out, and there is no display format.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// Makes a key of its text; nothing where that is empty or can't stand in a header.
    pub fn new(text: &str) -> Option<Self> {
        let is_usable = !text.is_empty() && HeaderValue::from_str(text).is_ok();
        is_usable.then(|| Self(text.into()))
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

impl std::borrow::Borrow<str> for ApiKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Its name, unique in a configuration.
    pub name: AccountName,
    /// Its rank, which goes before that of the route; zero is the most urgent.
    pub priority: Option<u32>,
    /// How many requests all VMs together may admit for it; nothing for any number.
    pub limit: Option<RateLimit>,
    /// The only regions that may run its requests; empty for any.
    pub home_regions: Vec<RegionName>,
}

/// How many requests may be admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests a second.
    pub per_second: f64,
    /// Requests beyond those that may come at once.
    pub burst: f64,
}

/// One account as the configuration has it.
#[derive(Clone, Debug)]
pub struct AccountEntry {
    /// The account.
    pub account: Account,
    /// Its keys.
    pub keys: Vec<ApiKey>,
}

/// An account that can't be read.
#[derive(Clone, Debug)]
pub struct InvalidAccount {
    /// Its keys, where those can be read.
    pub keys: Option<Vec<ApiKey>>,
    /// Why it can't be read. It repeats nothing of the entry, which may hold keys.
    pub cause: String,
}

/// Whose a key is.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyOwner {
    /// The key of an account.
    Account(Arc<Account>),
    /// The key of an account that can't be read, or of more than one.
    Undetermined,
    /// The key of no account.
    Unknown,
}

/// A part of all requests that only some regions may run.
#[derive(Clone, Debug, PartialEq)]
pub struct RestrictedShare {
    /// The regions.
    pub regions: Vec<RegionName>,
    /// The part, as far as the accounts' limits tell it.
    pub fraction: f64,
}

/// The client accounts of one configuration.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    by_name: HashMap<AccountName, Arc<Account>>,
    /// The owner of each key; nothing where that is not sure.
    by_key: HashMap<ApiKey, Option<Arc<Account>>>,
    /// Whether there may be accounts whose keys can't be read.
    hides_keys: bool,
    bound: Vec<RestrictedShare>,
    has_limits: bool,
}

impl Accounts {
    /// Makes the accounts of a configuration; gives what of them is amiss as well, one text each.
    ///
    /// A key that is taken away must not run any more, and one that is there must not be told
    /// for good that it is unknown. So a key whose account can't be read, or that two accounts
    /// hold, is known and of no sure owner: its requests are not run and may come back.
    pub fn new(entries: Vec<AccountEntry>, unread: Vec<InvalidAccount>) -> (Self, Vec<String>) {
        let mut accounts = Self::default();
        let mut remarks = Vec::new();
        for entry in entries {
            accounts.add(entry, &mut remarks);
        }
        for account in unread {
            remarks.push(account.cause);
            match account.keys {
                Some(keys) => keys.into_iter().for_each(|key| {
                    accounts.by_key.insert(key, None);
                }),
                None => accounts.hides_keys = true,
            }
        }
        accounts.bound = bound_shares(&accounts.by_name);
        let has_limits = accounts.all().any(|account| account.limit.is_some());
        accounts.has_limits = has_limits;
        (accounts, remarks)
    }

    /// Makes the accounts of a configuration that says there are some and can't be read in that.
    pub fn unreadable() -> Self {
        Self {
            hides_keys: true,
            ..Self::default()
        }
    }

    fn add(&mut self, entry: AccountEntry, remarks: &mut Vec<String>) {
        let name = entry.account.name.clone();
        if entry.keys.is_empty() {
            remarks.push(format!("client account '{name}': it has no key"));
        }
        let is_first = !self.by_name.contains_key(&name);
        if !is_first {
            remarks.push(format!(
                "client account '{name}': there are two of this name"
            ));
        }
        let account = Arc::new(entry.account);
        let owner = is_first.then(|| Arc::clone(&account));
        for key in entry.keys {
            let held = self.by_key.get(&key);
            let is_shared = held.is_some_and(|held| *held != owner);
            if is_shared {
                remarks.push(format!(
                    "client account '{name}': another one has one of its keys"
                ));
            }
            let owner = owner.clone().filter(|_| !is_shared);
            self.by_key.insert(key, owner);
        }
        if is_first {
            self.by_name.insert(name, account);
        }
    }

    /// Gives whose a key is.
    pub fn owner(&self, key: &str) -> KeyOwner {
        match self.by_key.get(key) {
            Some(Some(account)) => KeyOwner::Account(Arc::clone(account)),
            Some(None) => KeyOwner::Undetermined,
            None if self.hides_keys => KeyOwner::Undetermined,
            None => KeyOwner::Unknown,
        }
    }

    /// Gives the account of a name.
    pub fn named(&self, name: &str) -> Option<&Arc<Account>> {
        self.by_name.get(name)
    }

    /// Says whether any account has a limit.
    pub fn has_limits(&self) -> bool {
        self.has_limits
    }

    /// Gives which parts of all requests only some regions may run.
    pub fn restricted_shares(&self) -> &[RestrictedShare] {
        &self.bound
    }

    /// Gives the limit of an account, where it has one.
    pub fn limit_of(&self, name: &AccountName) -> Option<RateLimit> {
        self.by_name.get(name)?.limit
    }

    /// Gives every account.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.by_name.values()
    }
}

/// Gives the shares of accounts with home regions. An account's limit stands for what it sends:
/// all VMs know it alike, and limits are set by what accounts need. One without a limit counts as
/// the mean of the others.
fn bound_shares(accounts: &HashMap<AccountName, Arc<Account>>) -> Vec<RestrictedShare> {
    let limits = accounts.values().filter_map(|account| account.limit);
    let limits: Vec<f64> = limits.map(|limit| limit.per_second).collect();
    let mean = match limits.len() {
        0 => 1.0,
        count => limits.iter().sum::<f64>() / count as f64,
    };
    let sends = |account: &Account| account.limit.map_or(mean, |limit| limit.per_second);
    let all: f64 = accounts.values().map(|account| sends(account)).sum();
    let mut bound: Vec<&Arc<Account>> = accounts
        .values()
        .filter(|account| !account.home_regions.is_empty())
        .collect();
    bound.sort_by(|a, b| a.name.cmp(&b.name));
    let shares = bound.into_iter().map(|account| RestrictedShare {
        regions: account.home_regions.clone(),
        fraction: sends(account) / all,
    });
    shares.collect()
}

/// The regions that may run a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AllowedRegions {
    /// Any region.
    Any,
    /// These only; none where the route's and the account's have none in common.
    Only(Vec<RegionName>),
}

impl AllowedRegions {
    /// Gives the regions that a route's home regions and those of its caller's account allow; an
    /// empty list allows all.
    pub fn intersect(route: &[RegionName], account: &[RegionName]) -> Self {
        match (route, account) {
            ([], []) => Self::Any,
            (homes, []) | ([], homes) => Self::Only(homes.to_vec()),
            (route, account) => {
                let both = route.iter().filter(|region| account.contains(region));
                Self::Only(both.cloned().collect())
            }
        }
    }

    /// Says whether a region may run the request.
    pub fn allows(&self, region: &RegionName) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => regions.contains(region),
        }
    }

    /// Says whether no region may.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Only(regions) if regions.is_empty())
    }
}
