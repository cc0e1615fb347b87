//! Authentication of operators and authorization of their reads and changes.

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

/// The reason that an operator's request was denied. The messages reveal nothing about other
/// branches.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Denied {
    /// The secret doesn't belong to a known key.
    #[snafu(display("check operator's key: not a known key"))]
    UnknownKey,
    /// The key lacks a right.
    #[snafu(display("check operator's key: key {key} lacks the right `{right}`"))]
    NoRight {
        /// The identifier of the key.
        key: Arc<str>,
        /// The required right.
        right: Right,
    },
    /// The path lies outside the branch of the key.
    #[snafu(display("check operator's key: `{path}` lies outside the branch of key {key}"))]
    OutsideBranch {
        /// The identifier of the key.
        key: Arc<str>,
        /// The requested path.
        path: String,
    },
    /// The change adds, changes or removes a key with rights or a branch beyond those of this key.
    #[snafu(display("check operator's key: key {key} may not give or take rights beyond its own"))]
    BeyondOwnRights {
        /// The identifier of the key.
        key: Arc<str>,
    },
}

/// An authenticated operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// The identifier of the key.
    pub id: Arc<str>,
    /// The branch and rights of the key.
    pub key: OperatorKey,
}

/// The bootstrap operator key, which a daemon reads from its own configuration. The platform's
/// owners use it to write the first settings into an empty tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BootstrapKey {
    /// The identifier of the key.
    pub id: Arc<str>,
    /// The branch and rights of the key.
    pub key: OperatorKey,
}

/// The drain settings, which [`Right::Drain`] is sufficient to change.
const DRAIN_KEYS: [&str; 2] = ["draining", "draining_vms"];

impl Operator {
    /// Authenticates an operator by secret. A key in the tree takes precedence over a bootstrap key
    /// with the same identifier.
    ///
    /// # Errors
    ///
    /// Returns [`Denied::UnknownKey`] for both an unknown identifier and a wrong secret.
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

    /// Checks that the key has a right.
    ///
    /// # Errors
    ///
    /// Returns [`Denied::NoRight`] if it doesn't.
    pub fn require(&self, right: Right) -> Result<(), Denied> {
        let key = &self.id;
        ensure!(self.key.has(right), NoRightSnafu { key: &**key, right });
        Ok(())
    }

    /// Checks that the node lies within the key's branch.
    ///
    /// # Errors
    ///
    /// Returns [`Denied::OutsideBranch`] if it doesn't, whether or not the node exists.
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

    /// Checks that the key may read the node.
    ///
    /// # Errors
    ///
    /// Returns [`Denied::NoRight`] or [`Denied::OutsideBranch`].
    pub fn authorize_read(&self, tree: &Tree, path: &TreePath) -> Result<(), Denied> {
        self.require(Right::Read)?;
        self.require_within(tree, path)
    }

    /// Checks that the key may make all the edits that turn one tree into another.
    ///
    /// # Errors
    ///
    /// Returns [`Denied`] for the first edit that the key may not make.
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

    // Sibling accounts divide the share of their parent, so an account that could set its own share
    // would take capacity from its siblings. Only keys of the parent branch may therefore set an
    // account's share or add and remove the account.
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

    // Prevents privilege escalation: a key that may change its branch could otherwise create a key
    // for a parent branch, or with rights that it doesn't have.
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

/// Returns whether the path is a drain setting. A service or region with such a name isn't one.
fn is_drain_setting(path: &TreePath) -> bool {
    let fields = path.parent().and_then(|parent| table_at(&parent));
    let mut keys = fields.into_iter().flatten().map(|field| field.key);
    DRAIN_KEYS.contains(&path.key()) && keys.any(|key| key == path.key())
}

/// Returns the share that each account sets explicitly, by account path.
fn configured_shares(tree: &Tree) -> BTreeMap<String, Option<Value>> {
    let nodes = account_nodes(tree.model());
    let shares = nodes.iter().map(|node| {
        let share = node.account.defaults.get(&Key::AccountShare);
        (node.name.as_str().to_string(), share.cloned())
    });
    shares.collect()
}

/// A summary of an operator's key for the operators' API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorSummary {
    /// The identifier of the key.
    pub key: String,
    /// The holder of the key.
    pub holder: String,
    /// The branch that the key is limited to.
    pub branch: String,
    /// The rights of the key in that branch.
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
