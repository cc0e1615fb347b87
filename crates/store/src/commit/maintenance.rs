//! Keeps what the store holds of the settings small: snapshots, packs, old records.

use bytes::Bytes;
use heatherknot_settings::audit::compacted;
use heatherknot_settings::{Change, Snapshot};
use heatherknot_types::prelude::*;

use super::commands;
use super::head::{read_head, to_json};
use super::pack::{PackRule, pack_oldest};
use super::snapshot::{self, SnapshotOutcome};
use crate::error::StoreError;
use crate::port::Store;

/// What is kept.
#[derive(Clone, Copy, Debug)]
pub struct MaintenanceConfig {
    /// The number of changes from one snapshot to the next.
    pub snapshot_every: u64,
    /// Which changes are packed.
    pub pack: PackRule,
    /// The most packs made at once.
    pub packs_at_once: u32,
    /// The newest changes whose commands keep their records.
    pub keep_commands: u64,
}

impl Default for MaintenanceConfig {
    /// Makes a snapshot each 64 changes, and keeps the records of 8,192 commands: four weeks
    /// at 290 changes a day.
    fn default() -> Self {
        Self {
            snapshot_every: 64,
            pack: PackRule::default(),
            packs_at_once: 4,
            keep_commands: 8_192,
        }
    }
}

/// What an upkeep did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MaintenanceReport {
    /// Whether it wrote a snapshot. Where not, it left the rest alone too.
    pub wrote_snapshot: bool,
    /// The packs made.
    pub packs: u32,
    /// The records of commands removed.
    pub commands: usize,
}

/// Does what is due after a change was accepted. The daemon that had it accepted calls this
/// with the whole tree; where it dies first, the daemon of the next change finds it due.
///
/// Changes are packed only after a newer snapshot was written, so that a follower that finds
/// its next change packed always finds a snapshot to go on from.
///
/// # Errors
///
/// Returns an error where the store does not answer. What was done stays done.
pub async fn run(
    store: &Store,
    whole: &Snapshot,
    rules: &MaintenanceConfig,
) -> Result<MaintenanceReport, StoreError> {
    let newest = whole.at.revision;
    let head = read_head(store).await?.head;
    if head.revision != newest || !snapshot::is_due(&head, rules.snapshot_every) {
        return Ok(MaintenanceReport::default());
    }
    let outcome = snapshot::write(store, newest, &to_json(whole)).await?;
    if outcome == SnapshotOutcome::Superseded {
        return Ok(MaintenanceReport::default());
    }
    // The snapshot before this one stays for those who are reading it.
    if let Some(previous) = head.snapshot {
        snapshot::remove_old(store, previous.revision).await?;
    }
    let mut done = MaintenanceReport {
        wrote_snapshot: true,
        ..MaintenanceReport::default()
    };
    while done.packs < rules.packs_at_once
        && let Some(_) = pack_oldest(store, newest, rules.pack, &shorten).await?
    {
        done.packs += 1;
    }
    let old_commands = Revision(newest.0.saturating_sub(rules.keep_commands));
    done.commands = commands::remove_up_to(store, old_commands).await?;
    Ok(done)
}

/// Gives what a pack keeps of a change. One that can't be read, as of a newer schema, is
/// kept as it is.
fn shorten(change: &Bytes) -> Bytes {
    match serde_json::from_slice::<Change>(change) {
        Ok(change) => to_json(&compacted(&change)),
        Err(_) => change.clone(),
    }
}
