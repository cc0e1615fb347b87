//! Rollout orders of operators, and the records of their progress in the store.

use heatherknot_store::port::{StoreEra, StoreRevision};
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Prefix of the keys of rollout records; the service follows.
pub const RECORD_PREFIX: &str = "hk/rollout/";
/// Maximum number of rolled-back versions that a record keeps. The oldest are dropped first.
const MAX_ROLLED_BACK: usize = 64;

/// An operator's order to move a service's traffic to servers of another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The version that is to get the traffic.
    pub target: VersionName,
    /// Time from the order until the rollout has to be completed or rolled back.
    pub time_limit: Millis,
}

/// What operators are told about a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The version that is to get the traffic.
    pub target: VersionName,
    /// The state.
    pub state: RolloutState,
}

/// State of a rollout as operators are told it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// It is in progress.
    Running,
    /// All traffic goes to the target version.
    Completed,
    /// The target version gets no more requests.
    RolledBack,
}

/// Stage of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// A small part of the requests goes to the target version.
    Canary,
    /// The traffic moves to the target version.
    Shift,
    /// All traffic goes to the target version.
    Completed,
    /// The target version gets no more requests.
    RolledBack,
    /// The order was removed before the rollout had ended.
    Withdrawn,
}

impl Stage {
    /// Returns whether the rollout has ended.
    pub fn is_final(self) -> bool {
        !matches!(self, Stage::Canary | Stage::Shift)
    }

    /// Returns the position in the order in which a rollout passes its stages.
    fn step(self) -> u8 {
        match self {
            Stage::Canary => 0,
            Stage::Shift => 1,
            Stage::Completed | Stage::RolledBack | Stage::Withdrawn => 2,
        }
    }

    /// Returns the value of the metrics label.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Stage::Canary => "canary",
            Stage::Shift => "shift",
            Stage::Completed => "completed",
            Stage::RolledBack => "rolled-back",
            Stage::Withdrawn => "withdrawn",
        }
    }

    /// Returns the state that operators are told, if they are told any.
    pub fn state(self) -> Option<RolloutState> {
        match self {
            Stage::Canary | Stage::Shift => Some(RolloutState::Running),
            Stage::Completed => Some(RolloutState::Completed),
            Stage::RolledBack => Some(RolloutState::RolledBack),
            Stage::Withdrawn => None,
        }
    }
}

/// The progress of a service's latest rollout, as stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Number of the order's revision in the store.
    pub order: u64,
    /// Era of that revision.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub order_era: u64,
    /// The version that is to get the traffic.
    pub target: VersionName,
    /// The stage.
    pub stage: Stage,
    /// When the order was given, in Unix milliseconds by the clock of the VM that recorded it.
    pub started_unix_ms: u64,
    /// Time from the order until the rollout has to be completed or rolled back.
    pub time_limit: Millis,
    /// Versions of the service that were rolled back and get no more requests, oldest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rolled_back: Vec<VersionName>,
    /// The VM that wrote the record.
    pub by: VmName,
    /// Why the rollout is in this stage.
    pub cause: String,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// Returns whether `value` is an earlier record of a service than `held`.
pub(crate) fn is_outdated(held: &[u8], value: &[u8]) -> bool {
    let progress = |value: &[u8]| {
        let record = serde_json::from_slice::<RolloutRecord>(value);
        record.map(|record| (record.order_revision(), record.stage.step()))
    };
    matches!((progress(held), progress(value)), (Ok(held), Ok(progress)) if progress < held)
}

impl RolloutRecord {
    /// Returns the record's key.
    pub fn key(service: &ServiceName) -> String {
        format!("{RECORD_PREFIX}{service}")
    }

    /// Returns the revision of the order that the record belongs to.
    pub fn order_revision(&self) -> StoreRevision {
        StoreRevision::new(StoreEra(self.order_era), self.order)
    }

    /// Returns whether a version was rolled back.
    pub fn has_rolled_back(&self, version: &VersionName) -> bool {
        self.rolled_back.contains(version)
    }

    /// Adds the target to the versions that were rolled back.
    pub(crate) fn roll_target_back(&mut self) {
        if !self.has_rolled_back(&self.target) {
            self.rolled_back.push(self.target.clone());
        }
        let excess = self.rolled_back.len().saturating_sub(MAX_ROLLED_BACK);
        self.rolled_back.drain(..excess);
    }

    /// Returns what operators are told, if anything.
    pub fn status(&self) -> Option<RolloutStatus> {
        let state = self.stage.state()?;
        Some(RolloutStatus {
            target: self.target.clone(),
            state,
        })
    }
}
