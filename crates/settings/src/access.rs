//! What an operator's key may see and change.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu, ensure};

use crate::edit::Edit;
use crate::effective::table_at;
use crate::field::Value;
use crate::inherit::account_nodes;
use crate::operator_key::{OperatorKey, Right, secret_id};
use crate::path::{Part, TreePath};
use crate::table::Key;
use crate::tree::Tree;

/// Why an operator was refused. The words tell nothing about other branches.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Denied {
    /// The secret is none that the deployment knows.
    #[snafu(display("check operator's key: not a known key"))]
    UnknownKey,
    /// The key lacks a right.
    #[snafu(display("check operator's key: key {key} lacks the right `{right}`"))]
    NoRight {
        /// The identifier of the key.
        key: Arc<str>,
        /// The right that is needed.
        right: Right,
    },
    /// The path lies outside the branch of the key.
    #[snafu(display("check operator's key: `{path}` lies outside the branch of key {key}"))]
    OutsideBranch {
        /// The identifier of the key.
        key: Arc<str>,
        /// The path asked for.
        path: String,
    },
    /// The key would hand out rights or a branch that it doesn't have itself.
    #[snafu(display("check operator's key: key {key} may not give or take rights beyond its own"))]
    BeyondOwnRights {
        /// The identifier of the key.
        key: Arc<str>,
    },
}

/// An operator whose key has been checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// The identifier of the key.
    pub id: Arc<str>,
    /// What the key is bound to.
    pub key: OperatorKey,
}

/// The first operator's key, which a daemon reads from its own configuration. With it the
/// platform's owners fill the empty tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BootstrapKey {
    /// The identifier of the key.
    pub id: Arc<str>,
    /// What it may do.
    pub key: OperatorKey,
}

/// The drain states that one right covers.
const DRAIN_KEYS: [&str; 2] = ["draining", "draining_vms"];

impl Operator {
    /// Finds the operator whose secret this is, in the tree and in the daemon's configuration.
    ///
    /// # Errors
    ///
    /// Gives [`Denied::UnknownKey`], the same for an unknown identifier and a wrong secret.
    pub fn authenticate(
        tree: &Tree,
        bootstrap: Option<&BootstrapKey>,
        secret: &str,
    ) -> Result<Operator, Denied> {
        let id = secret_id(secret).context(UnknownKeySnafu)?;
        let from_tree = tree.model().operators.get(id);
        let from_config = bootstrap.filter(|bootstrap| &*bootstrap.id == id);
        let key = from_tree.or(from_config.map(|bootstrap| &bootstrap.key));
        let key = key.filter(|key| key.matches(secret));
        Ok(Operator {
            id: id.into(),
            key: key.context(UnknownKeySnafu)?.clone(),
        })
    }

    /// Checks that the key holds a right.
    ///
    /// # Errors
    ///
    /// Gives [`Denied::NoRight`].
    pub fn require(&self, right: Right) -> Result<(), Denied> {
        let key = &self.id;
        ensure!(self.key.has(right), NoRightSnafu { key: &**key, right });
        Ok(())
    }

    /// Checks that the node lies in the key's branch.
    ///
    /// # Errors
    ///
    /// Gives [`Denied::OutsideBranch`], whether or not the node exists.
    pub fn require_within(&self, tree: &Tree, path: &TreePath) -> Result<(), Denied> {
        let within = match path.part() {
            Part::Root | Part::Defaults | Part::Platform | Part::Operators(None) => {
                self.key.covers("")
            }
            Part::Operators(Some(id)) => {
                let key = tree.model().operators.get(&id);
                self.key.covers(key.map_or("", |key| &key.branch))
            }
            Part::Account(branch) => self.key.covers(&branch),
        };
        let (key, path) = (&*self.id, path.to_string());
        ensure!(within, OutsideBranchSnafu { key, path });
        Ok(())
    }

    /// Checks that the key may see the node.
    ///
    /// # Errors
    ///
    /// Gives [`Denied::NoRight`] or [`Denied::OutsideBranch`].
    pub fn authorize_read(&self, tree: &Tree, path: &TreePath) -> Result<(), Denied> {
        self.require(Right::Read)?;
        self.require_within(tree, path)
    }

    /// Checks that the key may make every one of the edits that lead from one tree to another.
    ///
    /// # Errors
    ///
    /// Gives [`Denied`] for the first edit that the key may not make.
    pub fn authorize_change(
        &self,
        before: &Tree,
        after: &Tree,
        edits: &[Edit],
    ) -> Result<(), Denied> {
        for edit in edits {
            self.authorize_edit(before, after, edit)?;
        }
        self.authorize_share_changes(before, after)
    }

    // An account that could set its own share would take it from its neighbours, whose shares
    // come out of the same one; so the share, and whether the account exists, is for the branch
    // above to set.
    fn authorize_share_changes(&self, before: &Tree, after: &Tree) -> Result<(), Denied> {
        let (before, after) = (configured_shares(before), configured_shares(after));
        let names = before.keys().chain(after.keys());
        let changed = names.filter(|name| before.get(*name) != after.get(*name));
        for name in changed {
            let parent = name.rsplit_once('/').map_or("", |(parent, _)| parent);
            let (key, path) = (&*self.id, format!("{name}:defaults/account_share_permille"));
            ensure!(self.key.covers(parent), OutsideBranchSnafu { key, path });
        }
        Ok(())
    }

    fn authorize_edit(&self, before: &Tree, after: &Tree, edit: &Edit) -> Result<(), Denied> {
        let (key, path) = (&*self.id, edit.path.as_str());
        let outside = OutsideBranchSnafu { key, path };
        let Ok(path) = edit.tree_path() else {
            return outside.fail();
        };
        match path.part() {
            Part::Root => return outside.fail(),
            Part::Operators(None) => self.authorize_operator_edit(before, after, None)?,
            Part::Operators(Some(id)) => self.authorize_operator_edit(before, after, Some(&id))?,
            Part::Platform | Part::Defaults | Part::Account(_) => {
                self.require_within(before, &path)?;
            }
        }
        self.require_right(&path)
    }

    fn require_right(&self, path: &TreePath) -> Result<(), Denied> {
        if is_drain_setting(path) && self.key.has(Right::Drain) {
            return Ok(());
        }
        match path.part() {
            Part::Platform => self.require(Right::Platform),
            _ => self.require(Right::Change),
        }
    }

    // A key that may change its branch could otherwise make itself another key for the branch
    // above, or for rights that it was not given.
    fn authorize_operator_edit(
        &self,
        before: &Tree,
        after: &Tree,
        id: Option<&str>,
    ) -> Result<(), Denied> {
        let key = &*self.id;
        for tree in [before, after] {
            let operators = tree.model().operators.iter();
            let mut affected =
                operators.filter(|(known, _)| id.is_none_or(|id| known.as_ref() == id));
            let all_included = affected.all(|(_, affected)| self.includes(affected));
            ensure!(all_included, BeyondOwnRightsSnafu { key });
        }
        Ok(())
    }

    fn includes(&self, other: &OperatorKey) -> bool {
        self.key.covers(&other.branch) && other.rights.iter().all(|right| self.key.has(*right))
    }
}

/// Tells whether the path is a drain state. A service or region of that name isn't one.
fn is_drain_setting(path: &TreePath) -> bool {
    let fields = path.parent().and_then(|parent| table_at(&parent));
    let mut keys = fields.into_iter().flatten().map(|field| field.key);
    DRAIN_KEYS.contains(&path.key()) && keys.any(|key| key == path.key())
}

/// Gives what each account sets as its share, by account path.
fn configured_shares(tree: &Tree) -> BTreeMap<String, Option<Value>> {
    let nodes = account_nodes(tree.model());
    let shares = nodes.iter().map(|node| {
        let share = node.account.defaults.get(&Key::AccountShare);
        (node.name.as_str().to_string(), share.cloned())
    });
    shares.collect()
}

/// What an operator may do, as the interface shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorSummary {
    /// The identifier of the key.
    pub key: String,
    /// Who holds it.
    pub holder: String,
    /// The branch that it is bound to.
    pub branch: String,
    /// What it may do there.
    pub rights: Vec<String>,
}

impl From<&Operator> for OperatorSummary {
    fn from(operator: &Operator) -> Self {
        let rights = operator.key.rights.iter();
        Self {
            key: operator.id.to_string(),
            holder: operator.key.holder.to_string(),
            branch: operator.key.branch.to_string(),
            rights: rights.map(Right::to_string).collect(),
        }
    }
}
