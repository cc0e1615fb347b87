//! Bounds the size of the settings in the store: writes snapshots, packs old changes and deletes
//! old command records.

use bytes::Bytes;
use heatherknot_settings::audit::compacted;
use heatherknot_settings::{Change, Snapshot};
use heatherknot_types::prelude::*;

use super::commands;
use super::head::{read_head, to_json};
use super::pack::{PackPolicy, pack_oldest};
use super::snapshot::{self, SnapshotOutcome};
use crate::error::StoreError;
use crate::port::Store;

/// Determines when maintenance runs and what it keeps.
#[derive(Clone, Copy, Debug)]
pub struct MaintenanceConfig {
    /// The number of changes between two snapshots.
    pub snapshot_interval: u64,
    /// Determines which changes are packed.
    pub pack: PackPolicy,
    /// The maximum number of packs written by one run.
    pub max_packs_per_run: u32,
    /// The number of newest revisions whose command records are kept.
    pub command_records_kept: u64,
}

impl Default for MaintenanceConfig {
    /// Writes a snapshot every 64 changes and keeps the records of 8,192 commands, which is four
    /// weeks at 290 changes a day.
    fn default() -> Self {
        Self {
            snapshot_interval: 64,
            pack: PackPolicy::default(),
            max_packs_per_run: 4,
            command_records_kept: 8_192,
        }
    }
}

/// The result of a maintenance run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MaintenanceReport {
    /// Whether a snapshot was written. If not, the run did nothing else either.
    pub wrote_snapshot: bool,
    /// The number of packs written.
    pub packs_written: u32,
    /// The number of command records deleted.
    pub commands_removed: usize,
}

/// Runs the maintenance that is due after a change was accepted. The daemon that committed the
/// change calls this with the full tree. If it crashes first, maintenance is still due at the next
/// change, whichever daemon commits it.
///
/// Changes are packed only after a newer snapshot was written, so that a follower whose next
/// change is packed can always continue from a snapshot.
///
/// # Errors
///
/// Returns an error if the store does not respond. The steps completed before that remain in
/// effect.
pub async fn run(
    store: &Store,
    current: &Snapshot,
    cfg: &MaintenanceConfig,
) -> Result<MaintenanceReport, StoreError> {
    let newest = current.at.revision;
    let head = read_head(store).await?.head;
    if head.revision != newest || !snapshot::is_due(&head, cfg.snapshot_interval) {
        return Ok(MaintenanceReport::default());
    }
    let outcome = snapshot::write(store, newest, &to_json(current)).await?;
    if outcome == SnapshotOutcome::Superseded {
        return Ok(MaintenanceReport::default());
    }
    // Daemons may still be reading the previous snapshot, so it is kept.
    if let Some(previous) = head.snapshot {
        snapshot::remove_old(store, previous.revision).await?;
    }
    let mut report = MaintenanceReport {
        wrote_snapshot: true,
        ..MaintenanceReport::default()
    };
    while report.packs_written < cfg.max_packs_per_run
        && let Some(_) = pack_oldest(store, newest, cfg.pack, &shorten).await?
    {
        report.packs_written += 1;
    }
    let old_commands = Revision(newest.0.saturating_sub(cfg.command_records_kept));
    report.commands_removed = commands::remove_up_to(store, old_commands).await?;
    Ok(report)
}

/// Returns the form of a change that is stored in a pack. A change that cannot be parsed, for
/// example because it has a newer schema, is stored unmodified.
fn shorten(change: &Bytes) -> Bytes {
    match serde_json::from_slice::<Change>(change) {
        Ok(change) => to_json(&compacted(&change)),
        Err(_) => change.clone(),
    }
}
