//! What the operators' interface needs of the daemon that it runs in.

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use heatherknot_settings::{BootstrapKey, ChainPoint, Tree};
use heatherknot_store::commit::history::HistoryPage;
use heatherknot_store::commit::{CommandId, CommitOutcome, Proposal};
use heatherknot_store::error::StoreError;
use heatherknot_types::prelude::*;

use crate::api::{DaemonStatus, ExplainRequest, ExplainResponse};

/// The settings that the daemon has in force.
#[derive(Clone, Debug)]
pub struct CurrentSettings {
    /// The revision, and the hash of the change that made it.
    pub chain_point: ChainPoint,
    /// The tree.
    pub tree: Rc<Tree>,
}

/// What a call on the store gives.
pub type StoreFuture<T> = LocalBoxFuture<'static, Result<T, StoreError>>;

/// The daemon's side of the operators' interface, as functions.
#[derive(Clone)]
pub struct OperatorContext {
    /// Gives the settings in force.
    pub current_settings: Rc<dyn Fn() -> CurrentSettings>,
    /// Brings the newest accepted settings from the store in force and gives them.
    pub refresh: Rc<dyn Fn() -> StoreFuture<CurrentSettings>>,
    /// Has a change accepted.
    pub commit: Rc<dyn Fn(Proposal) -> LocalBoxFuture<'static, CommitOutcome>>,
    /// Finds the revision that a command has made.
    pub find_command: Rc<dyn Fn(CommandId) -> StoreFuture<Option<Revision>>>,
    /// Reads accepted changes after a revision, a page at a time, old packs included.
    pub history: Rc<dyn Fn(Revision) -> StoreFuture<HistoryPage>>,
    /// Gives what is known of every daemon.
    pub status: Rc<dyn Fn() -> LocalBoxFuture<'static, Vec<DaemonStatus>>>,
    /// Explains where callers of a service go; none for a service that isn't there.
    pub explain: Rc<dyn Fn(ExplainRequest) -> LocalBoxFuture<'static, Option<ExplainResponse>>>,
    /// The first operator's key from the daemon's own configuration.
    pub first_key: Option<BootstrapKey>,
    /// Gives the wall-clock time, in milliseconds since 1970.
    pub wall_clock_ms: Rc<dyn Fn() -> u64>,
}
