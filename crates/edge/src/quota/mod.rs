//! Client accounts' quotas: one number that all VMs together keep to, without a coordinator.
//!
//! Each VM tells the head of its domain how many requests of which accounts it was asked for and
//! admitted ([`counts`]). Heads tell each other, so each knows what all VMs admitted, some tenths
//! of a second late, and works out which part of an account's requests may be admitted now
//! ([`pool`]); the answer to a VM's word names the accounts of which that is not all. A VM admits
//! by that part, and by its own small share of the limit while it hears nothing ([`meter`]).
//! [`exchange`] carries the words; [`report`] is what operators see. Nothing of this calls the store.

pub mod counts;
pub mod exchange;
pub mod meter;
pub mod pool;
pub mod report;

use heatherknot_types::prelude::*;

/// How long a VM of which nothing is heard counts as one that hears nothing either. VMs tell their
/// heads three times a second, so three words in a row were lost.
pub const SILENT_AFTER: Millis = Millis(1_000);

/// The part of a burst that a VM that starts, or is heard again, is taken to have left.
///
/// What it admitted before is not known. With half of a burst, a start of all VMs in the middle of
/// a surge granted up to a tenth more than may run within five seconds, over hundreds of drawn
/// schedules; with a fifth, none did. With nothing, callers who come back together after a loss of
/// all VMs would be refused within their limits.
pub const LEFT_AT_START: f64 = 0.2;
