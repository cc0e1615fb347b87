//! Client accounts of a configuration: their keys, their rate limits and the regions in which their
//! requests may run.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use heatherknot_types::prelude::*;
use http::HeaderValue;

/// An API key that identifies the requests of a client account.
///
/// It is a credential and must not appear in logs, errors or reports: the debug format omits it,
/// and there is no display format.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// Creates a key from its text, or returns `None` if the text is empty or not a valid header
    /// value.
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
    /// The name, unique in a configuration.
    pub name: AccountName,
    /// The priority, which overrides that of the route; zero is the most urgent.
    pub priority: Option<u32>,
    /// The limit on requests admitted by all VMs together; `None` if unlimited.
    pub limit: Option<RateLimit>,
    /// The only regions in which its requests may run; empty for any region.
    pub home_regions: Vec<RegionName>,
}

/// A limit on admitted requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests per second.
    pub per_second: f64,
    /// Requests above that rate that may arrive at once.
    pub burst: f64,
}

/// A client account with its keys, as configured.
#[derive(Clone, Debug)]
pub struct AccountEntry {
    /// The account.
    pub account: Account,
    /// Its keys.
    pub keys: Vec<ApiKey>,
}

/// An account whose configuration is invalid.
#[derive(Clone, Debug)]
pub struct InvalidAccount {
    /// Its keys, if known.
    pub keys: Option<Vec<ApiKey>>,
    /// Why it is invalid. The text quotes nothing of the entry, which may hold keys.
    pub cause: String,
}

/// The owner of a key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyOwner {
    /// The key belongs to this account.
    Account(Arc<Account>),
    /// The key belongs to an invalid account, or to more than one account.
    Undetermined,
    /// The key belongs to no account.
    Unknown,
}

/// A fraction of all requests that only some regions may run.
#[derive(Clone, Debug, PartialEq)]
pub struct RestrictedShare {
    /// The regions.
    pub regions: Vec<RegionName>,
    /// The fraction, estimated from the accounts' limits.
    pub fraction: f64,
}

/// The client accounts of one configuration.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    by_name: HashMap<AccountName, Arc<Account>>,
    /// The owner of each key; `None` if it cannot be determined.
    by_key: HashMap<ApiKey, Option<Arc<Account>>>,
    /// Whether there may be accounts whose keys are unknown.
    has_unreadable_keys: bool,
    restricted: Vec<RestrictedShare>,
    has_limits: bool,
}

impl Accounts {
    /// Builds the accounts of a configuration; also returns descriptions of its problems.
    ///
    /// A removed key must stop working, but a valid key must not be reported as unknown, which
    /// callers treat as permanent. So a key of an invalid account, or of two accounts, has an
    /// undetermined owner: its requests are not run, and callers may retry them.
    pub fn new(entries: Vec<AccountEntry>, invalid: Vec<InvalidAccount>) -> (Self, Vec<String>) {
        let mut accounts = Self::default();
        let mut problems = Vec::new();
        for entry in entries {
            accounts.add(entry, &mut problems);
        }
        for account in invalid {
            problems.push(account.cause);
            match account.keys {
                Some(keys) => keys.into_iter().for_each(|key| {
                    accounts.by_key.insert(key, None);
                }),
                None => accounts.has_unreadable_keys = true,
            }
        }
        accounts.restricted = restricted_shares(&accounts.by_name);
        let has_limits = accounts.all().any(|account| account.limit.is_some());
        accounts.has_limits = has_limits;
        (accounts, problems)
    }

    /// Creates the accounts of a configuration that has some, none of which can be read.
    pub fn unreadable() -> Self {
        Self {
            has_unreadable_keys: true,
            ..Self::default()
        }
    }

    fn add(&mut self, entry: AccountEntry, problems: &mut Vec<String>) {
        let name = entry.account.name.clone();
        if entry.keys.is_empty() {
            problems.push(format!("client account '{name}': it has no key"));
        }
        let is_first = !self.by_name.contains_key(&name);
        if !is_first {
            problems.push(format!(
                "client account '{name}': two accounts have this name"
            ));
        }
        let account = Arc::new(entry.account);
        let owner = is_first.then(|| Arc::clone(&account));
        for key in entry.keys {
            let held = self.by_key.get(&key);
            let is_shared = held.is_some_and(|held| *held != owner);
            if is_shared {
                problems.push(format!(
                    "client account '{name}': another account has one of its keys"
                ));
            }
            let owner = owner.clone().filter(|_| !is_shared);
            self.by_key.insert(key, owner);
        }
        if is_first {
            self.by_name.insert(name, account);
        }
    }

    /// Returns the owner of a key.
    pub fn owner(&self, key: &str) -> KeyOwner {
        match self.by_key.get(key) {
            Some(Some(account)) => KeyOwner::Account(Arc::clone(account)),
            Some(None) => KeyOwner::Undetermined,
            None if self.has_unreadable_keys => KeyOwner::Undetermined,
            None => KeyOwner::Unknown,
        }
    }

    /// Returns the account with a name.
    pub fn named(&self, name: &str) -> Option<&Arc<Account>> {
        self.by_name.get(name)
    }

    /// Returns whether any account has a limit.
    pub fn has_limits(&self) -> bool {
        self.has_limits
    }

    /// Returns the fractions of all requests that only some regions may run.
    pub fn restricted_shares(&self) -> &[RestrictedShare] {
        &self.restricted
    }

    /// Returns the limit of an account, if it has one.
    pub fn limit_of(&self, name: &AccountName) -> Option<RateLimit> {
        self.by_name.get(name)?.limit
    }

    /// Returns all accounts.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.by_name.values()
    }
}

/// Returns the shares of accounts with home regions. An account's limit serves as the estimate of
/// its request rate: all VMs know it, and limits are set according to need. An account without a
/// limit counts as the mean of the others.
fn restricted_shares(accounts: &HashMap<AccountName, Arc<Account>>) -> Vec<RestrictedShare> {
    let limits = accounts.values().filter_map(|account| account.limit);
    let limits: Vec<f64> = limits.map(|limit| limit.per_second).collect();
    let mean = match limits.len() {
        0 => 1.0,
        count => limits.iter().sum::<f64>() / count as f64,
    };
    let request_rate = |account: &Account| account.limit.map_or(mean, |limit| limit.per_second);
    let all: f64 = accounts.values().map(|account| request_rate(account)).sum();
    let mut restricted: Vec<&Arc<Account>> = accounts
        .values()
        .filter(|account| !account.home_regions.is_empty())
        .collect();
    restricted.sort_by(|a, b| a.name.cmp(&b.name));
    let shares = restricted.into_iter().map(|account| RestrictedShare {
        regions: account.home_regions.clone(),
        fraction: request_rate(account) / all,
    });
    shares.collect()
}

/// The regions that may run a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AllowedRegions {
    /// Any region.
    Any,
    /// Only these regions; empty if the route's and the account's home regions have none in common.
    Only(Vec<RegionName>),
}

impl AllowedRegions {
    /// Returns the regions allowed by both the route's home regions and those of the caller's
    /// account. An empty list allows all regions.
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

    /// Returns whether a region may run the request.
    pub fn allows(&self, region: &RegionName) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => regions.contains(region),
        }
    }

    /// Returns whether no region may run the request.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Only(regions) if regions.is_empty())
    }
}
