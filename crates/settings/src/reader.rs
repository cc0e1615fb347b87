//! Reading of JSON objects by the setting tables, with every fault collected.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde_json::{Map, Value as Json};

use crate::error::Fault;
use crate::field::{Field, Value};
use crate::model::Overrides;
use crate::names;
use crate::table::Key;

/// The most faults that one check reports.
const MAX_FAULTS: usize = 64;
/// The longest excerpt of a value in an error, in characters.
const MAX_EXCERPT_CHARS: usize = 60;

/// Collects faults while a document is read.
#[derive(Default)]
pub struct Reader {
    faults: Vec<Fault>,
}

/// The values of one object, every default filled in.
pub struct Fields(BTreeMap<&'static str, Value>);

impl Reader {
    /// Records a fault.
    pub fn add_fault(&mut self, path: &str, key: &str, found: String, expected: impl Into<String>) {
        if self.faults.len() < MAX_FAULTS {
            self.faults.push(Fault {
                path: path.to_string(),
                key: key.to_string(),
                found,
                expected: expected.into(),
            });
        }
    }

    /// Gives all faults recorded.
    pub fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    /// Reports every key of the object that is none of `known`.
    pub fn reject_unknown(&mut self, path: &str, object: &Map<String, Json>, known: &[&str]) {
        for key in object.keys().filter(|key| !known.contains(&key.as_str())) {
            let expected = format!("one of the known keys {}", known.join(", "));
            self.add_fault(path, key, "an unknown key".to_string(), expected);
        }
    }

    /// Gives the object at a key; none where the key is left out or holds something else.
    pub fn object<'a>(
        &mut self,
        path: &str,
        parent: &'a Map<String, Json>,
        key: &str,
    ) -> Option<&'a Map<String, Json>> {
        let json = parent.get(key)?;
        self.as_object(path, key, json)
    }

    /// Gives the named objects at a key, with the path of each.
    pub fn named_objects<'a>(
        &mut self,
        path: &str,
        parent: &'a Map<String, Json>,
        key: &str,
        is_name: fn(&str) -> bool,
    ) -> Vec<(Arc<str>, String, &'a Map<String, Json>)> {
        let mut found = Vec::new();
        let Some(objects) = self.object(path, parent, key) else {
            return found;
        };
        let path = join(path, key);
        for (name, json) in objects {
            if !is_name(name) {
                self.add_name_fault(&path, name);
            } else if let Some(object) = self.as_object(&path, name, json) {
                found.push((Arc::from(name.as_str()), join(&path, name), object));
            }
        }
        found
    }

    /// Records that a key is no name.
    pub fn add_name_fault(&mut self, path: &str, name: &str) {
        self.add_fault(path, name, format!("`{}`", excerpt(name)), names::NAME_RULE);
    }

    /// Gives the value as an object, and records a fault where it is none.
    pub fn as_object<'a>(
        &mut self,
        path: &str,
        key: &str,
        json: &'a Json,
    ) -> Option<&'a Map<String, Json>> {
        if json.as_object().is_none() {
            self.add_fault(path, key, describe(json), "an object");
        }
        json.as_object()
    }

    /// Reads an object that holds exactly the settings of a table.
    pub fn fields(&mut self, path: &str, object: &Map<String, Json>, table: &[Field]) -> Fields {
        let known: Vec<&str> = table.iter().map(|field| field.key).collect();
        self.reject_unknown(path, object, &known);
        let mut values = BTreeMap::new();
        for field in table {
            if let Some(value) = self.read_field(path, object, field) {
                values.insert(field.key, value);
            }
        }
        Fields(values)
    }

    fn read_field(
        &mut self,
        path: &str,
        object: &Map<String, Json>,
        field: &Field,
    ) -> Option<Value> {
        let Some(json) = object.get(field.key) else {
            let value = field.default_value();
            if value.is_none() {
                self.add_fault(path, field.key, "nothing".to_string(), field.expected());
            }
            return value;
        };
        self.read_value(path, field, json)
    }

    fn read_value(&mut self, path: &str, field: &Field, json: &Json) -> Option<Value> {
        match field.read(json) {
            Ok(value) => Some(value),
            Err(expected) => {
                self.add_fault(path, field.key, describe(json), expected);
                None
            }
        }
    }

    /// Reads the inherited settings that an object sets itself; other keys of the object are
    /// passed over.
    pub fn overrides(&mut self, path: &str, object: &Map<String, Json>) -> Overrides {
        let mut overrides = Overrides::new();
        for key in Key::ALL {
            let Some(json) = object.get(key.field().key) else {
                continue;
            };
            if let Some(value) = self.read_value(path, key.field(), json) {
                overrides.insert(key, value);
            }
        }
        overrides
    }
}

// A setting that was at fault is absent here. The reading functions then give an empty value,
// which nobody sees: a document with a fault gives no tree.
impl Fields {
    /// Gives a number as the type that the plan holds.
    pub fn number<T: TryFrom<u64> + Default>(&self, key: &str) -> T {
        match self.0.get(key) {
            Some(Value::Number(number)) => T::try_from(*number).unwrap_or_default(),
            _ => T::default(),
        }
    }

    /// Gives a flag.
    pub fn flag(&self, key: &str) -> bool {
        matches!(self.0.get(key), Some(Value::Flag(true)))
    }

    /// Gives a text.
    pub fn text(&self, key: &str) -> Arc<str> {
        match self.0.get(key) {
            Some(Value::Text(text)) => text.clone(),
            _ => "".into(),
        }
    }

    /// Gives a list of texts.
    pub fn list(&self, key: &str) -> &[Arc<str>] {
        match self.0.get(key) {
            Some(Value::List(items)) => items,
            _ => &[],
        }
    }
}

/// Joins a path and a key with a slash.
pub fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_string()
    } else {
        format!("{path}/{key}")
    }
}

/// Describes a JSON value for an error, cut short where it is long.
pub fn describe(json: &Json) -> String {
    let kind = match json {
        Json::Null => return "null".to_string(),
        Json::Object(_) => return "an object".to_string(),
        Json::Bool(_) => "the flag",
        Json::Number(_) => "the number",
        Json::String(_) => "the text",
        Json::Array(_) => "the list",
    };
    format!("{kind} {}", excerpt(&json.to_string()))
}

fn excerpt(text: &str) -> String {
    if text.chars().count() <= MAX_EXCERPT_CHARS {
        return text.to_string();
    }
    let start: String = text.chars().take(MAX_EXCERPT_CHARS).collect();
    format!("{start}...")
}
