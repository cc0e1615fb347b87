//! The effective settings of a node, with the origin of each value.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value as Json, json};
use snafu::OptionExt;

use crate::error::{MissingSnafu, SettingsError};
use crate::field::{Field, Value};
use crate::inherit::{AccountNode, BUILT_IN_ORIGIN, InheritanceChain, account_nodes};
use crate::path::TreePath;
use crate::table::{self, Key};
use crate::tree::Tree;

/// One effective setting of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EffectiveValue {
    /// The key.
    pub key: String,
    /// The effective value.
    pub value: Json,
    /// The unit.
    pub unit: String,
    /// The path of the object that sets the value, or `built-in default`.
    pub origin: String,
    /// The maximum value set in `platform/limits`, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<u64>,
}

impl Tree {
    /// Returns the effective settings of a node, or a single setting if the path names one.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Missing`] if the path names neither a node with settings
    /// nor a setting of such a node.
    pub fn effective(&self, path: &TreePath) -> Result<Vec<EffectiveValue>, SettingsError> {
        if let Some(values) = self.node_values(path) {
            return Ok(values);
        }
        let missing = MissingSnafu {
            path: path.to_string(),
        };
        let parent = path.parent().context(missing.clone())?;
        let mut values = self.node_values(&parent).context(missing.clone())?;
        values.retain(|value| value.key == path.key());
        (!values.is_empty()).then_some(values).context(missing)
    }

    fn node_values(&self, path: &TreePath) -> Option<Vec<EffectiveValue>> {
        if let Some(fields) = table_at(path) {
            let node = self.get(path)?;
            return Some(own_values(path, node.as_object()?, fields));
        }
        let segments: Vec<&str> = path.segments().iter().map(|key| &**key).collect();
        if matches!(segments[..], [] | ["defaults"]) {
            return Some(self.inherited(&InheritanceChain::root(self.model())));
        }
        let nodes = account_nodes(self.model());
        nodes
            .iter()
            .find_map(|node| self.account_values(node, path))
    }

    fn account_values(
        &self,
        node: &AccountNode<'_>,
        path: &TreePath,
    ) -> Option<Vec<EffectiveValue>> {
        let account = TreePath::of_account(node.name.as_str());
        let rest = path.segments().strip_prefix(account.segments())?;
        let rest: Vec<&str> = rest.iter().map(|key| &**key).collect();
        match rest[..] {
            [] | ["defaults"] => Some(self.inherited(&node.chain)),
            ["services", name] => {
                let service = node.account.services.get(name)?;
                Some(self.inherited(&node.service(name, service).0))
            }
            _ => None,
        }
    }

    fn inherited(&self, chain: &InheritanceChain<'_>) -> Vec<EffectiveValue> {
        let keys = Key::ALL.into_iter();
        let values = keys.map(|key| {
            let (value, origin) = chain.resolve(key);
            EffectiveValue {
                key: key.field().key.to_string(),
                value: to_json(&value),
                unit: key.field().unit.to_string(),
                origin: origin.to_string(),
                limit: self.model().platform.limits.get(&key).copied(),
            }
        });
        values.collect()
    }
}

/// Returns the settings table of the object at a path, or `None` if the object inherits settings or
/// has none.
pub fn table_at(path: &TreePath) -> Option<&'static [Field]> {
    let segments: Vec<&str> = path.segments().iter().map(|key| &**key).collect();
    match segments[..] {
        ["platform", "regions", _] => Some(&table::REGION),
        ["platform", "domains", _] => Some(&table::DOMAIN),
        ["platform", "links", _, _] => Some(&table::LINK),
        ["platform", "places", _] => Some(&table::PLACE),
        ["platform", "quotas", _] => Some(&table::QUOTA),
        ["operators", _] => Some(&table::OPERATOR),
        ["accounts", .., "services", _, "upstreams", _] => Some(&table::UPSTREAM),
        _ => None,
    }
}

fn own_values(
    path: &TreePath,
    object: &Map<String, Json>,
    fields: &[Field],
) -> Vec<EffectiveValue> {
    let mut values = Vec::new();
    for field in fields {
        let (value, origin) = match object.get(field.key) {
            Some(value) => (Some(value.clone()), path.to_string()),
            None => (
                field.default_value().map(|value| to_json(&value)),
                BUILT_IN_ORIGIN.to_string(),
            ),
        };
        values.extend(value.map(|value| EffectiveValue {
            key: field.key.to_string(),
            value,
            unit: field.unit.to_string(),
            origin,
            limit: None,
        }));
    }
    values
}

/// Converts a value to its JSON form in the document.
pub fn to_json(value: &Value) -> Json {
    match value {
        Value::Number(number) => json!(number),
        Value::Flag(flag) => json!(flag),
        Value::Text(text) => json!(text),
        Value::List(items) => json!(items),
    }
}
