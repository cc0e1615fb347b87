//! The callbacks through which the operator API reaches its daemon.

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use heatherknot_settings::{BootstrapKey, ChainPoint, Tree};
use heatherknot_store::commit::history::HistoryPage;
use heatherknot_store::commit::{CommandId, CommitOutcome, Proposal};
use heatherknot_store::error::StoreError;
use heatherknot_types::prelude::*;

use crate::api::{DaemonStatus, ExplainRequest, ExplainResponse};

/// A snapshot of the settings that the daemon has in force.
#[derive(Clone, Debug)]
pub struct CurrentSettings {
    /// The revision, and the hash of the change that created it.
    pub chain_point: ChainPoint,
    /// The settings tree at that revision.
    pub tree: Rc<Tree>,
}

/// The future of a call to the store.
pub type StoreFuture<T> = LocalBoxFuture<'static, Result<T, StoreError>>;

/// The daemon's functions and data that the operator API uses.
#[derive(Clone)]
pub struct OperatorContext {
    /// Returns the settings in force.
    pub current_settings: Rc<dyn Fn() -> CurrentSettings>,
    /// Applies the newest accepted settings from the store and returns them.
    pub refresh: Rc<dyn Fn() -> StoreFuture<CurrentSettings>>,
    /// Commits a change to the store.
    pub commit: Rc<dyn Fn(Proposal) -> LocalBoxFuture<'static, CommitOutcome>>,
    /// Returns the revision that a command created, if it was accepted.
    pub find_command: Rc<dyn Fn(CommandId) -> StoreFuture<Option<Revision>>>,
    /// Reads one page of the accepted changes after a revision, including changes that the store
    /// has packed.
    pub history: Rc<dyn Fn(Revision) -> StoreFuture<HistoryPage>>,
    /// Returns the known status of every daemon.
    pub status: Rc<dyn Fn() -> LocalBoxFuture<'static, Vec<DaemonStatus>>>,
    /// Explains where callers of a service are routed; `None` for an unknown service.
    pub explain: Rc<dyn Fn(ExplainRequest) -> LocalBoxFuture<'static, Option<ExplainResponse>>>,
    /// The first operator's key, from the daemon's own configuration.
    pub first_key: Option<BootstrapKey>,
    /// Returns the wall-clock time, in milliseconds since the Unix epoch.
    pub wall_clock_ms: Rc<dyn Fn() -> u64>,
}
