//! The settings tree: a validated document of one schema version.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use heatherknot_types::plan::Plan;
use heatherknot_types::prelude::*;
use serde_json::{Value as Json, json};
use snafu::ensure;

use crate::check;
use crate::compile;
use crate::digest::Digest;
use crate::document::{self, AccountTexts, Document};
use crate::edit::Edit;
use crate::error::{Faults, InvalidSnafu, SchemaSnafu, SettingsError};
use crate::model::{Account, Model};
use crate::parse;
use crate::path::TreePath;
use crate::reader::{Reader, describe};

/// The supported schema version.
pub const SCHEMA: u64 = 1;

/// A validated settings tree. Trees derived by edits share the parsed accounts that are unchanged.
#[derive(Clone)]
pub struct Tree {
    document: Document,
    model: Model,
}

impl fmt::Debug for Tree {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Tree({})", self.text())
    }
}

impl PartialEq for Tree {
    fn eq(&self, other: &Self) -> bool {
        self.document == other.document
    }
}

impl Tree {
    /// Returns the tree without settings.
    pub fn empty() -> Tree {
        Tree {
            document: Document::split(json!({ "schema": SCHEMA })),
            model: Model::default(),
        }
    }

    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Json`], [`SettingsError::Schema`] or [`SettingsError::Invalid`]
    /// with all validation errors.
    pub fn parse(text: &str) -> Result<Tree, SettingsError> {
        check_document(Document::read(text)?, None)
    }

    /// Validates a document.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Schema`] or [`SettingsError::Invalid`] with all validation
    /// errors.
    pub fn from_document(document: Json) -> Result<Tree, SettingsError> {
        check_document(Document::split(document), None)
    }

    /// Applies edits and validates the result. Accounts without edits aren't parsed again.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Conflict`] if a node doesn't have the value that its edit
    /// expects, and the
    /// errors of [`from_document`](Self::from_document).
    pub fn edited(&self, edits: &[Edit]) -> Result<Tree, SettingsError> {
        let mut document = self.document.clone();
        document.apply(edits)?;
        check_document(document, Some(self))
    }

    /// Returns the edits that turn this tree into `after`, ordered by path.
    pub fn diff(&self, after: &Tree) -> Vec<Edit> {
        self.document.diff(&after.document)
    }

    /// Compiles the plan that daemons read.
    pub fn compile(&self, revision: Revision) -> Plan {
        compile::plan(&self.model, revision)
    }

    /// Returns the whole document as parsed JSON, which takes many times the memory of the tree.
    pub fn document(&self) -> Json {
        self.document.to_json()
    }

    /// Returns the whole document as canonical text: no whitespace, keys in byte order.
    pub fn text(&self) -> String {
        self.document.text()
    }

    /// Returns the node at a path.
    pub fn get(&self, path: &TreePath) -> Option<Json> {
        self.document.get(path)
    }

    /// Returns the typed model.
    pub fn model(&self) -> &Model {
        &self.model
    }

    /// Returns the hash of the document. Replicas with equal hashes have equal settings.
    pub fn digest(&self) -> Digest {
        Digest::of_bytes(self.text().as_bytes())
    }
}

fn check_document(document: Document, previous: Option<&Tree>) -> Result<Tree, SettingsError> {
    let mut reader = Reader::default();
    check_schema(&mut reader, &document.rest)?;
    let mut model = parse::model(&mut reader, &document.rest);
    if let Some(texts) = &document.accounts {
        model.accounts = parse_accounts(&mut reader, texts, previous);
    }
    check::check_model(&mut reader, &model);
    let faults = Faults(reader.into_faults());
    ensure!(faults.0.is_empty(), InvalidSnafu { faults });
    Ok(Tree { document, model })
}

fn parse_accounts(
    reader: &mut Reader,
    texts: &AccountTexts,
    previous: Option<&Tree>,
) -> BTreeMap<Arc<str>, Arc<Account>> {
    let mut accounts = BTreeMap::new();
    for (name, text) in texts {
        let reused = previous.and_then(|previous| previous.reusable_account(name, text));
        let account = reused.or_else(|| {
            let account = parse::account(reader, name, &document::parse(text));
            account.map(Arc::new)
        });
        if let Some(account) = account {
            accounts.insert(name.clone(), account);
        }
    }
    accounts
}

impl Tree {
    fn reusable_account(&self, name: &str, text: &str) -> Option<Arc<Account>> {
        let previous = self.document.accounts.as_ref()?.get(name)?;
        let account = self.model.accounts.get(name)?;
        (**previous == *text).then(|| account.clone())
    }
}

// A document of a newer schema may violate any rule of this one, so only its version is reported.
fn check_schema(reader: &mut Reader, root: &Json) -> Result<(), SettingsError> {
    match root.get("schema") {
        Some(json) => match json.as_u64() {
            Some(SCHEMA) => {}
            Some(found) => return SchemaSnafu { found }.fail(),
            None => reader.add_fault("", "schema", describe(json), "the number 1"),
        },
        None if root.is_object() => {
            reader.add_fault("", "schema", "nothing".to_string(), "the number 1");
        }
        None => {}
    }
    Ok(())
}
