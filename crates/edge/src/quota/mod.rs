//! Rate limits of client accounts, enforced over all VMs together without a coordinator.
//!
//! Each VM reports to the head of its domain how many requests of each account arrived and were
//! admitted ([`usage`]). Heads exchange these counts, so each of them knows the total with a delay
//! of some tenths of a second and computes which fraction of an account's requests may be admitted
//! ([`totals`]). The answer to a VM's report contains this fraction for every account whose
//! requests may not all be admitted. A VM admits by that fraction, or by its own small share of the
//! limit while it has no current answer ([`meter`]). [`state`] combines these parts in one daemon,
//! [`exchange`] sends the reports, and [`status`] is the operators' view. None of this calls the
//! store.

pub mod exchange;
pub mod meter;
pub mod state;
pub mod status;
pub mod totals;
pub mod usage;

use heatherknot_types::prelude::*;

/// How long after its last report a VM counts as unreachable, and assumes the same of its head
/// after the last answer. VMs report three times a second, so three reports in a row were lost.
pub const SILENT_AFTER: Millis = Millis(1_000);
