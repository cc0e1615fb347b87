//! Durations and ratios used by the decisions that operators cannot configure.

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Durations and ratios used by the decisions. A replay may override them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Tuning {
    /// Length of the window in which arrivals are counted against a cap.
    pub window: Millis,
    /// Resolution of that window. 1 ms is exact; a coarser one counts an arrival for longer.
    pub window_grain: Millis,
    /// Lifetime of a grant.
    pub term: Millis,
    /// Time by which the issuer counts a grant longer, and the holder stops earlier, to allow for
    /// clocks that run at different speeds and messages in transit.
    pub margin: Millis,
    /// Shortest time between two requests to the same failure domain.
    pub ask_interval: Millis,
    /// What a holder asks for, in thousandths of its need.
    pub ask_headroom_permille: u32,
    /// What an issuer reserves for local callers, in thousandths of their recent demand.
    pub local_reserve_permille: u32,
    /// What fair sharing reserves for an account, in thousandths of its recent demand.
    pub account_reserve_permille: u32,
    /// Time constant with which the peak of a demand decays.
    pub peak_memory: Millis,
    /// Age up to which a report has full weight.
    pub report_fresh: Millis,
    /// Age from which a report has no weight.
    pub report_stale: Millis,
    /// Share of a service's traffic that may move per second for preference alone, in thousandths.
    /// Moves required by a limit apply at once.
    pub move_permille: u32,
    /// Smallest move made for preference alone, in thousandths.
    pub dead_band_permille: u32,
    /// Hold-down of a place after its first failure. It doubles with each further failure.
    pub hold_down: Millis,
    /// Longest hold-down.
    pub hold_down_max: Millis,
    /// Delay before a VM uses a larger part of a region's or link's cap, so that every daemon has
    /// received the settings that took it from another VM.
    pub settle: Millis,
    /// Longest time a request is told to wait for room in the window.
    pub max_wait: Millis,
    /// How long an upstream gets fewer requests after its start.
    pub upstream_warm_up: Millis,
    /// How long an upstream gets no requests after it shed one.
    pub shed_pause: Millis,
    /// Half-life of an unused warmed rate.
    pub cooling_half_life: Millis,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            window: Millis(1_000),
            window_grain: Millis(1),
            term: Millis(10_000),
            margin: Millis(1_000),
            ask_interval: Millis(1_000),
            ask_headroom_permille: 1_050,
            local_reserve_permille: 1_250,
            account_reserve_permille: 2_000,
            peak_memory: Millis(10_000),
            report_fresh: Millis(3_000),
            report_stale: Millis(15_000),
            move_permille: 200,
            dead_band_permille: 20,
            hold_down: Millis(2_000),
            hold_down_max: Millis(60_000),
            settle: Millis(10_000),
            max_wait: Millis(1_000),
            upstream_warm_up: Millis(10_000),
            shed_pause: Millis(500),
            cooling_half_life: Millis(60_000),
        }
    }
}
