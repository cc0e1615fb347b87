//! Storage of a settings document: the JSON text of each account directly under the root, and
//! everything else as parsed JSON.
//!
//! A parsed JSON tree takes more than ten times the memory of its text, and a change usually
//! touches one account out of hundreds, so an account is parsed only while it is read or changed.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde_json::value::RawValue;
use serde_json::{Map, Value as Json};
use snafu::ResultExt;

use crate::edit::{self, Edit};
use crate::error::{JsonSnafu, SettingsError};
use crate::path::TreePath;

const ACCOUNTS: &str = "accounts";

/// The JSON texts of the accounts directly under the root, by account name.
pub type AccountTexts = BTreeMap<Arc<str>, Arc<str>>;

/// A settings document whose accounts are kept as JSON text.
#[derive(Clone, PartialEq)]
pub struct Document {
    /// The root object without its accounts.
    pub rest: Json,
    /// The canonical texts of the accounts; `None` if the root has no `accounts` key.
    pub accounts: Option<AccountTexts>,
}

impl Document {
    /// Splits a parsed document. An `accounts` value that is not an object stays in `rest`, where
    /// validation reports it.
    pub fn split(mut whole: Json) -> Document {
        let accounts = whole.as_object_mut().and_then(take_accounts);
        Document {
            accounts: accounts.map(|accounts| {
                let texts = accounts.into_iter();
                texts
                    .map(|(name, account)| (name.into(), account.to_string().into()))
                    .collect()
            }),
            rest: whole,
        }
    }

    /// Parses a document one account at a time, so that the whole parsed tree is never in memory.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Json`] if the text is not valid JSON.
    pub fn read(text: &str) -> Result<Document, SettingsError> {
        let Ok(parts) = serde_json::from_str::<BTreeMap<String, &RawValue>>(text) else {
            let whole: Json = serde_json::from_str(text).context(JsonSnafu)?;
            return Ok(Document::split(whole));
        };
        let mut rest = Map::new();
        let mut accounts = None;
        for (key, part) in parts {
            let object = serde_json::from_str::<BTreeMap<String, &RawValue>>(part.get());
            match (key.as_str(), object) {
                (ACCOUNTS, Ok(object)) => accounts = Some(canonical_texts(object)?),
                _ => {
                    let part = serde_json::from_str(part.get()).context(JsonSnafu)?;
                    rest.insert(key, part);
                }
            }
        }
        Ok(Document {
            rest: Json::Object(rest),
            accounts,
        })
    }

    /// Returns the canonical JSON text of the whole document.
    pub fn text(&self) -> String {
        let mut text = String::from("{");
        if let Some(accounts) = &self.accounts {
            text.push_str("\"accounts\":{");
            for (at, (name, account)) in accounts.iter().enumerate() {
                text.push_str(if at == 0 { "" } else { "," });
                text.push_str(&Json::from(&**name).to_string());
                text.push(':');
                text.push_str(account);
            }
            text.push('}');
        }
        // `accounts` sorts before every other root key, and a validated root has at least the
        // `schema` key, so the separating comma is always needed.
        let rest = self.rest.to_string();
        text.push_str(if self.accounts.is_some() { "," } else { "" });
        text.push_str(rest.strip_prefix('{').unwrap_or(&rest));
        text
    }

    /// Parses and returns the whole document.
    pub fn to_json(&self) -> Json {
        let mut whole = self.rest.clone();
        let accounts = self.accounts.as_ref().map(parse_accounts);
        if let (Some(root), Some(accounts)) = (whole.as_object_mut(), accounts) {
            root.insert(ACCOUNTS.to_string(), Json::Object(accounts));
        }
        whole
    }

    /// Returns the node at a path. Parses only the account that contains it.
    pub fn get(&self, path: &TreePath) -> Option<Json> {
        let segments = path.segments();
        match segments.first().map(|first| &**first) {
            None => Some(self.to_json()),
            Some(ACCOUNTS) => match segments.get(1) {
                None => Some(Json::Object(parse_accounts(self.accounts.as_ref()?))),
                Some(name) => edit::get(&self.isolated_account(name), path).cloned(),
            },
            Some(_) => edit::get(&self.rest, path).cloned(),
        }
    }

    /// Returns a document that contains only the given account. Its `accounts` object is empty if
    /// the account does not exist.
    fn isolated_account(&self, name: &str) -> Json {
        let text = self
            .accounts
            .as_ref()
            .and_then(|accounts| accounts.get(name));
        let mut accounts = Map::new();
        if let Some(account) = text.map(|text| parse(text)) {
            accounts.insert(name.to_string(), account);
        }
        let mut root = Map::new();
        root.insert(ACCOUNTS.to_string(), Json::Object(accounts));
        Json::Object(root)
    }

    /// Applies edits.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`edit::apply`]. The document may then be partially edited and must be
    /// discarded.
    pub fn apply(&mut self, edits: &[Edit]) -> Result<(), SettingsError> {
        for edit in edits {
            let path = edit.tree_path()?;
            let segments = path.segments();
            let first = segments.first().map(|first| &**first);
            match (first, segments.get(1)) {
                (Some(ACCOUNTS), Some(name)) => self.apply_to_account(name, edit)?,
                (Some(ACCOUNTS), None) | (None, _) => {
                    let mut whole = self.to_json();
                    edit::apply(&mut whole, edit)?;
                    *self = Document::split(whole);
                }
                _ => edit::apply(&mut self.rest, edit)?,
            }
        }
        Ok(())
    }

    fn apply_to_account(&mut self, name: &Arc<str>, edit: &Edit) -> Result<(), SettingsError> {
        let mut isolated = self.isolated_account(name);
        edit::apply(&mut isolated, edit)?;
        let account = isolated[ACCOUNTS].get(&**name);
        let accounts = self.accounts.get_or_insert_default();
        match account {
            Some(account) => accounts.insert(name.clone(), account.to_string().into()),
            None => accounts.remove(name),
        };
        Ok(())
    }

    /// Returns the edits that turn this document into `after`, ordered by path.
    pub fn diff(&self, after: &Document) -> Vec<Edit> {
        let path = TreePath::default().child(ACCOUNTS);
        let mut edits = match (&self.accounts, &after.accounts) {
            (Some(old), Some(new)) => self.diff_accounts(after, old, new),
            (old, new) => {
                let parse = |texts: &Option<AccountTexts>| {
                    texts
                        .as_ref()
                        .map(|texts| Json::Object(parse_accounts(texts)))
                };
                edit::diff_nodes(&path, parse(old).as_ref(), parse(new).as_ref())
            }
        };
        edits.extend(edit::diff(&self.rest, &after.rest));
        edits
    }

    fn diff_accounts(&self, after: &Document, old: &AccountTexts, new: &AccountTexts) -> Vec<Edit> {
        let added = new.keys().filter(|name| !old.contains_key(*name));
        let names = old.keys().chain(added);
        let mut changed: Vec<&Arc<str>> = names
            .filter(|name| old.get(*name) != new.get(*name))
            .collect();
        changed.sort();
        let edits = changed.into_iter();
        edits
            .flat_map(|name| {
                edit::diff(&self.isolated_account(name), &after.isolated_account(name))
            })
            .collect()
    }
}

fn take_accounts(root: &mut Map<String, Json>) -> Option<Map<String, Json>> {
    root.get(ACCOUNTS)?.as_object()?;
    match root.remove(ACCOUNTS) {
        Some(Json::Object(accounts)) => Some(accounts),
        _ => None,
    }
}

fn canonical_texts(object: BTreeMap<String, &RawValue>) -> Result<AccountTexts, SettingsError> {
    let mut texts = AccountTexts::new();
    for (name, account) in object {
        let account: Json = serde_json::from_str(account.get()).context(JsonSnafu)?;
        texts.insert(name.into(), account.to_string().into());
    }
    Ok(texts)
}

fn parse_accounts(texts: &AccountTexts) -> Map<String, Json> {
    let accounts = texts.iter();
    accounts
        .map(|(name, text)| (name.to_string(), parse(text)))
        .collect()
}

/// Parses JSON text that this module has serialized.
pub fn parse(text: &str) -> Json {
    serde_json::from_str(text).unwrap_or(Json::Null)
}
