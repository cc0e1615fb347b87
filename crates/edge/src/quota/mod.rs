//! Client accounts' quotas: one number that all VMs together keep to, without a coordinator.
//!
//! Each VM tells the head of its domain how many requests of which accounts it was asked for and
//! admitted ([`usage`]). Heads tell each other, so each knows what all VMs admitted, some tenths
//! of a second late, and works out which part of an account's requests may be admitted now
//! ([`totals`]); the answer to a VM's report names the accounts of which that is not all. A VM admits
//! by that part, and by its own small share of the limit while it hears nothing ([`meter`]).
//! [`state`] joins them in one daemon, [`exchange`] carries the reports, and [`status`] is what
//! operators see. Nothing of this calls the store.

pub mod exchange;
pub mod meter;
pub mod state;
pub mod status;
pub mod totals;
pub mod usage;

use heatherknot_types::prelude::*;

/// How long a VM of which nothing is heard counts as one that hears nothing either. VMs tell their
/// heads three times a second, so three reports in a row were lost.
pub const SILENT_AFTER: Millis = Millis(1_000);
