//! Inheritance: which node a value comes from.

use std::borrow::Cow;

use heatherknot_types::prelude::*;

use crate::field::Value;
use crate::model::{Account, Model, Overrides, Quota, Service};
use crate::reader::join;
use crate::table::Key;

/// The origin of a value that no node sets.
pub const BUILT_IN_ORIGIN: &str = "built-in default";

/// One node that may set values.
#[derive(Clone)]
pub struct Level<'a> {
    /// The path of the object that holds the keys.
    pub path: String,
    /// The values that it sets.
    pub values: Cow<'a, Overrides>,
}

/// The nodes from the root down to one node.
#[derive(Clone, Default)]
pub struct InheritanceChain<'a> {
    levels: Vec<Level<'a>>,
}

impl<'a> InheritanceChain<'a> {
    /// Starts at the root.
    pub fn root(model: &'a Model) -> Self {
        InheritanceChain::default().extended("defaults".to_string(), Cow::Borrowed(&model.defaults))
    }

    /// Gives the chain of a node below.
    #[must_use]
    pub fn extended(&self, path: String, values: Cow<'a, Overrides>) -> Self {
        let mut levels = self.levels.clone();
        levels.push(Level { path, values });
        Self { levels }
    }

    /// Gives the value in force and the path of the object that sets it.
    pub fn resolve(&self, key: Key) -> (Value, &str) {
        for level in self.levels.iter().rev() {
            if let Some(value) = level.values.get(&key) {
                return (value.clone(), &level.path);
            }
        }
        // Every inherited setting has a default, which a test of the table checks.
        (
            key.field().default_value().unwrap_or(Value::Number(0)),
            BUILT_IN_ORIGIN,
        )
    }

    /// Gives a number as the type that the plan holds; zero for a setting of another kind.
    pub fn number<T: TryFrom<u64> + Default>(&self, key: Key) -> T {
        match self.resolve(key).0 {
            Value::Number(number) => T::try_from(number).unwrap_or_default(),
            _ => T::default(),
        }
    }
}

/// An account with its place in the tree.
pub struct AccountNode<'a> {
    /// The account's path from account to account.
    pub name: AccountName,
    /// The path of its object in the document.
    pub path: String,
    /// What the account sets.
    pub account: &'a Account,
    /// The nodes above the account and its quota, if any.
    pub parent_chain: InheritanceChain<'a>,
    /// All of that and the account's own defaults.
    pub chain: InheritanceChain<'a>,
    /// The account that holds the quota under which this one lies; the topmost account where
    /// there is none.
    pub quota_owner: AccountName,
    /// What the accounts directly below take of the share together, but for those that have a
    /// quota of their own.
    pub delegated_permille: u32,
}

impl<'a> AccountNode<'a> {
    /// Gives the chain and the path of one of the account's services.
    pub fn service(&self, name: &str, service: &'a Service) -> (InheritanceChain<'a>, String) {
        let path = join(&join(&self.path, "services"), name);
        let values = Cow::Borrowed(&service.overrides);
        (self.chain.extended(path.clone(), values), path)
    }

    /// Gives the most that the account and the accounts below it may take together in each
    /// place, in thousandths.
    pub fn share(&self) -> u16 {
        self.chain.number(Key::AccountShare)
    }

    /// Gives what is left of the share for the account's own services.
    pub fn own_share(&self) -> u16 {
        let rest = u32::from(self.share()).saturating_sub(self.delegated_permille);
        u16::try_from(rest).unwrap_or(0)
    }
}

/// Gives every account, those above before those below.
pub fn account_nodes(model: &Model) -> Vec<AccountNode<'_>> {
    let mut nodes = Vec::new();
    let root = InheritanceChain::root(model);
    for (name, account) in &model.accounts {
        let path = join("accounts", name);
        let name = AccountName::new(name.clone());
        collect_nodes(model, &root, name.clone(), path, account, name, &mut nodes);
    }
    nodes
}

fn collect_nodes<'a>(
    model: &'a Model,
    parent: &InheritanceChain<'a>,
    name: AccountName,
    path: String,
    account: &'a Account,
    quota_owner: AccountName,
    nodes: &mut Vec<AccountNode<'a>>,
) {
    let quota = model.platform.quotas.get(&name);
    let parent_chain =
        quota.map_or_else(|| parent.clone(), |quota| with_quota(parent, &name, quota));
    let quota_owner = if quota.is_some() {
        name.clone()
    } else {
        quota_owner
    };
    let chain = parent_chain.extended(join(&path, "defaults"), Cow::Borrowed(&account.defaults));
    nodes.push(AccountNode {
        name: name.clone(),
        path: path.clone(),
        account,
        parent_chain,
        chain: chain.clone(),
        quota_owner: quota_owner.clone(),
        delegated_permille: delegated_permille(model, &name, account, &chain),
    });
    for (child, below) in &account.accounts {
        let child_path = join(&join(&path, "accounts"), child);
        let child_name = AccountName::from(join(name.as_str(), child));
        let quota_owner = quota_owner.clone();
        collect_nodes(
            model,
            &chain,
            child_name,
            child_path,
            below,
            quota_owner,
            nodes,
        );
    }
}

fn delegated_permille(
    model: &Model,
    name: &AccountName,
    account: &Account,
    own: &InheritanceChain<'_>,
) -> u32 {
    let inherited: u32 = own.number(Key::AccountShare);
    let without_quota = account.accounts.iter().filter(|(child, _)| {
        let child = join(name.as_str(), child);
        !model.platform.quotas.contains_key(child.as_str())
    });
    let shares = without_quota.map(|(_, child)| match child.defaults.get(&Key::AccountShare) {
        Some(Value::Number(share)) => u32::try_from(*share).unwrap_or(u32::MAX),
        _ => inherited,
    });
    shares.sum()
}

fn with_quota<'a>(
    parent: &InheritanceChain<'a>,
    name: &AccountName,
    quota: &Quota,
) -> InheritanceChain<'a> {
    let path = join("platform/quotas", &name.as_str().replace('/', "."));
    let share = Value::Number(u64::from(quota.share_permille));
    parent.extended(
        path,
        Cow::Owned(Overrides::from([(Key::AccountShare, share)])),
    )
}
