//! Typed representation of the settings tree before inheritance is resolved.

use std::collections::BTreeMap;
use std::sync::Arc;

use heatherknot_types::plan::{DomainPlan, LinkPlan, PlacePlan, RegionPlan, UpstreamPlan};
use heatherknot_types::prelude::*;

use crate::field::Value;
use crate::network::Network;
use crate::operator_key::OperatorKey;
use crate::table::Key;

/// The values that one node sets itself, as opposed to those that it inherits.
pub type Overrides = BTreeMap<Key, Value>;

/// The whole tree.
#[derive(Clone, Debug, Default)]
pub struct Model {
    /// The settings under `platform`, set by the platform's owners.
    pub platform: Platform,
    /// The values that every account inherits.
    pub defaults: Overrides,
    /// The accounts directly under the root, shared between trees that differ elsewhere.
    pub accounts: BTreeMap<Arc<str>, Arc<Account>>,
    /// The operator keys, by identifier.
    pub operators: BTreeMap<Arc<str>, OperatorKey>,
}

/// The settings under `platform`, set by the platform's owners.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    /// The regions.
    pub regions: BTreeMap<RegionName, RegionPlan>,
    /// The failure domains.
    pub domains: BTreeMap<DomainName, DomainPlan>,
    /// The links between regions that have a cap.
    pub links: Vec<LinkPlan>,
    /// The places.
    pub places: BTreeMap<PlaceName, PlacePlan>,
    /// Maximum values that branches may set.
    pub limits: BTreeMap<Key, u64>,
    /// The quotas, by the account at the top of the branch.
    pub quotas: BTreeMap<AccountName, Quota>,
}

/// The capacity, places and networks granted to a branch of accounts.
#[derive(Clone, Debug)]
pub struct Quota {
    /// Maximum share of each place for the branch, in thousandths of the place's cap.
    pub share_permille: u16,
    /// Guaranteed share of each place whatever the other demand, in thousandths of the place's cap.
    pub guaranteed_permille: u16,
    /// The places that the branch may use; empty for every place.
    pub places: Vec<PlaceName>,
    /// The IP prefixes allowed for the branch's backend servers.
    pub networks: Vec<Network>,
}

impl Quota {
    /// Returns whether the branch may use the place.
    pub fn allows_place(&self, place: &PlaceName) -> bool {
        self.places.is_empty() || self.places.contains(place)
    }
}

/// A client account.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// The values inherited by the account's services and nested accounts.
    pub defaults: Overrides,
    /// The accounts nested directly in this one.
    pub accounts: BTreeMap<Arc<str>, Account>,
    /// The services of the account.
    pub services: BTreeMap<Arc<str>, Service>,
}

/// A service of a client account, with its backend servers.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// The values that the service sets itself.
    pub overrides: Overrides,
    /// The backend servers.
    pub upstreams: Vec<UpstreamPlan>,
}
