//! The settings tree: inheritance, validation, revisions, operator keys and the audit trail.
//!
//! This crate performs no I/O. A [`Tree`] is a validated JSON document; [`Tree::compile`] turns it
//! into the plan that daemons read.

pub mod access;
pub mod audit;
pub mod change;
mod check;
mod compile;
pub mod digest;
mod document;
pub mod edit;
pub mod effective;
pub mod error;
pub mod field;
mod inherit;
pub mod model;
mod names;
mod network;
pub mod operator_key;
pub mod page;
mod parse;
pub mod path;
mod reader;
pub mod replica;
mod shares;
pub mod table;
pub mod tree;

pub use crate::access::{BootstrapKey, Denied, Operator};
pub use crate::change::{Author, ChainPoint, Change};
pub use crate::compile::service_name;
pub use crate::digest::Digest;
pub use crate::edit::Edit;
pub use crate::error::{Fault, Faults, SettingsError};
pub use crate::operator_key::{NewKey, OperatorKey, Right};
pub use crate::path::TreePath;
pub use crate::replica::{SettingsReplica, Snapshot};
pub use crate::tree::{SCHEMA, Tree};
