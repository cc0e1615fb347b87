//! Parsing of JSON objects against the setting tables, which collects errors instead of stopping at
//! the first.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde_json::{Map, Value as Json};

use crate::error::Fault;
use crate::field::{Field, Value};
use crate::model::Overrides;
use crate::names;
use crate::table::Key;

/// Maximum number of errors reported for one document.
const MAX_FAULTS: usize = 64;
/// Maximum length of a value's excerpt in an error message, in characters.
const MAX_EXCERPT_CHARS: usize = 60;

/// Collects validation errors while a document is parsed.
#[derive(Default)]
pub struct Reader {
    faults: Vec<Fault>,
}

/// The values of one object, including defaults.
pub struct Fields(BTreeMap<&'static str, Value>);

impl Reader {
    /// Records an error, unless [`MAX_FAULTS`] have been recorded already.
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

    /// Returns the recorded errors.
    pub fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    /// Records an error for each key of the object that isn't in `known`.
    pub fn reject_unknown(&mut self, path: &str, object: &Map<String, Json>, known: &[&str]) {
        for key in object.keys().filter(|key| !known.contains(&key.as_str())) {
            let expected = format!("one of the known keys {}", known.join(", "));
            self.add_fault(path, key, "an unknown key".to_string(), expected);
        }
    }

    /// Returns the object at a key, or `None` if the key is missing or its value is not an object.
    pub fn object<'a>(
        &mut self,
        path: &str,
        parent: &'a Map<String, Json>,
        key: &str,
    ) -> Option<&'a Map<String, Json>> {
        let json = parent.get(key)?;
        self.as_object(path, key, json)
    }

    /// Returns the valid entries of the object at a key: the name, path and object of each.
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

    /// Records that a key is not a valid name.
    pub fn add_name_fault(&mut self, path: &str, name: &str) {
        self.add_fault(path, name, format!("`{}`", excerpt(name)), names::NAME_RULE);
    }

    /// Returns the value as an object, or records an error if it isn't one.
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

    /// Parses an object whose keys must all be in the given table.
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

    /// Parses the inherited settings that an object sets. Other keys are ignored.
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

// An invalid setting is absent here, so its getter returns an empty value. That value is never
// used, because a document with errors is rejected.
impl Fields {
    /// Returns a number as the type used in the plan.
    pub fn number<T: TryFrom<u64> + Default>(&self, key: &str) -> T {
        match self.0.get(key) {
            Some(Value::Number(number)) => T::try_from(*number).unwrap_or_default(),
            _ => T::default(),
        }
    }

    /// Returns a flag.
    pub fn flag(&self, key: &str) -> bool {
        matches!(self.0.get(key), Some(Value::Flag(true)))
    }

    /// Returns a string.
    pub fn text(&self, key: &str) -> Arc<str> {
        match self.0.get(key) {
            Some(Value::Text(text)) => text.clone(),
            _ => "".into(),
        }
    }

    /// Returns a list of strings.
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

/// Describes a JSON value for an error message, truncating long values.
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
