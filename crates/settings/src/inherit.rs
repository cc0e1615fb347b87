//! Inheritance: resolves each value and the node that sets it.

use std::borrow::Cow;

use heatherknot_types::prelude::*;

use crate::field::Value;
use crate::model::{Account, Model, Overrides, Quota, Service};
use crate::reader::join;
use crate::table::Key;

/// The origin reported for a value that no node sets.
pub const BUILT_IN_ORIGIN: &str = "built-in default";

/// One level of an inheritance chain.
#[derive(Clone)]
pub struct Level<'a> {
    /// The path of the object that sets the values.
    pub path: String,
    /// The values that it sets.
    pub values: Cow<'a, Overrides>,
}

/// The levels from which a node inherits, from the root down to the node itself.
#[derive(Clone, Default)]
pub struct InheritanceChain<'a> {
    levels: Vec<Level<'a>>,
}

impl<'a> InheritanceChain<'a> {
    /// Creates the chain of the root.
    pub fn root(model: &'a Model) -> Self {
        InheritanceChain::default().extended("defaults".to_string(), Cow::Borrowed(&model.defaults))
    }

    /// Returns the chain extended by the level of a child node.
    #[must_use]
    pub fn extended(&self, path: String, values: Cow<'a, Overrides>) -> Self {
        let mut levels = self.levels.clone();
        levels.push(Level { path, values });
        Self { levels }
    }

    /// Returns the effective value and the path of the object that sets it.
    pub fn resolve(&self, key: Key) -> (Value, &str) {
        for level in self.levels.iter().rev() {
            if let Some(value) = level.values.get(&key) {
                return (value.clone(), &level.path);
            }
        }
        // Every inherited setting has a default; a test of the table checks this.
        (
            key.field().default_value().unwrap_or(Value::Number(0)),
            BUILT_IN_ORIGIN,
        )
    }

    /// Returns the effective number as the type used in the plan, or zero if the setting isn't
    /// numeric.
    pub fn number<T: TryFrom<u64> + Default>(&self, key: Key) -> T {
        match self.resolve(key).0 {
            Value::Number(number) => T::try_from(number).unwrap_or_default(),
            _ => T::default(),
        }
    }
}

/// An account with its position in the tree.
pub struct AccountNode<'a> {
    /// The account path, from the topmost account down.
    pub name: AccountName,
    /// The path of the account's object in the document.
    pub path: String,
    /// The account's own settings.
    pub account: &'a Account,
    /// The inheritance chain without the account's own defaults, but with its quota if it has one.
    pub parent_chain: InheritanceChain<'a>,
    /// The inheritance chain, including the account's own defaults.
    pub chain: InheritanceChain<'a>,
    /// The nearest account, this one included, that has a quota. If there is none, the topmost
    /// account.
    pub quota_owner: AccountName,
    /// Sum of the shares of the directly nested accounts, in thousandths. Accounts with their own
    /// quota are excluded.
    pub delegated_permille: u32,
}

impl<'a> AccountNode<'a> {
    /// Returns the chain and the path of one of the account's services.
    pub fn service(&self, name: &str, service: &'a Service) -> (InheritanceChain<'a>, String) {
        let path = join(&join(&self.path, "services"), name);
        let values = Cow::Borrowed(&service.overrides);
        (self.chain.extended(path.clone(), values), path)
    }

    /// Returns the maximum share of each place for the account and its nested accounts together, in
    /// thousandths of the place's cap.
    pub fn share(&self) -> u16 {
        self.chain.number(Key::AccountShare)
    }

    /// Returns the share that remains for the account's own services, in thousandths.
    pub fn own_share(&self) -> u16 {
        let rest = u32::from(self.share()).saturating_sub(self.delegated_permille);
        u16::try_from(rest).unwrap_or(0)
    }
}

/// Returns all accounts, each before its nested accounts.
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
