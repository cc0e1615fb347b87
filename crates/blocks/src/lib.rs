//! The table of client blocks: longest-prefix match from a caller's address to a class of
//! preferences, with packed shards for the platform's store and diffs between revisions.
//!
//! This crate does no I/O; the daemon reads the shards from the store. `docs/block-table.md`
//! compares the alternative layouts, with measurements.

mod builder;
mod chunk;
pub mod class;
pub mod diff;
mod entry;
pub mod error;
pub mod generate;
mod group;
mod map;
mod merge;
mod packed;
pub mod prefix;
pub mod shard;
pub mod table;

pub use class::BlockClass;
pub use diff::{Change, Diff};
pub use error::{BlockError, Cause};
pub use prefix::{Family, Prefix};
pub use shard::Shard;
pub use table::{BlockTable, TableLoader};
