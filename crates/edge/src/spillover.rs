//! Determines which fraction of a region's objects is served by other regions.
//!
//! A region's own servers are near but may be too few. Redirecting single requests would make the
//! load oscillate between regions and warm every object twice, so whole objects are redirected:
//! those whose hash lies below a threshold that all VMs of the region compute alike and that moves
//! slowly.

use std::cell::Cell;

use heatherknot_types::hash;
use heatherknot_types::prelude::*;

use crate::ewma::{Ewma, decay};
use crate::quantile::Quantile;
use crate::upstream::ServerLoad;

/// Maximum change of the threshold per second. Requests must not move to another region all at
/// once, because caches there are cold and links between regions are slow.
const MAX_STEP_PER_SECOND: f64 = 0.04;
/// Maximum decrease of the threshold per second. Nothing is overloaded at that point, so the return
/// may take longer.
const MAX_RETURN_PER_SECOND: f64 = 0.03;
/// Difference between the local and the remote wait at which the threshold stays where it is, as a
/// fraction of the round trip to another region. At half a round trip a request starts as early
/// locally as remotely, and every redirected request also shortens the wait of those that stay.
const TARGET_WAIT_EXCESS: f64 = 0.5;
/// Change of the threshold per second for a deviation of one round trip from the target.
const GAIN_PER_SECOND: f64 = 0.06;
/// Weight of one response in the average wait.
const WAIT_WEIGHT: f64 = 0.05;
/// Quantile of the local response times that is taken as the service time without queueing.
const SERVICE_TIME_QUANTILE: f64 = 0.25;
/// Time without responses after which the recorded wait counts half. A region that redirects nearly
/// everything hears little from its own servers and would otherwise never try them again.
const WAIT_HALF_LIFE: Millis = Millis(3_000);

/// Slots of a service in the local region and in all others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlotCounts {
    /// Slots in the local region.
    pub local: f64,
    /// Slots in all other regions.
    pub remote: f64,
    /// Number of regions that have slots or callers.
    pub region_count: usize,
    /// Round trip to another region, if known.
    pub round_trip: Option<Millis>,
}

impl SlotCounts {
    /// Returns the fraction to redirect before anything is known of the load, assuming that callers
    /// are spread evenly over the regions.
    fn base_fraction(&self) -> f64 {
        let total = self.local + self.remote;
        if self.local <= 0.0 || total <= 0.0 {
            return 1.0;
        }
        (1.0 - self.local / total * self.region_count as f64).max(0.0)
    }
}

/// The spillover threshold of one service.
#[derive(Debug)]
pub struct Spillover {
    fraction: Cell<Option<f64>>,
    /// Whether a request has been routed by the threshold.
    is_used: Cell<bool>,
    integral: Cell<f64>,
    local_wait: MeanWait,
    remote_wait: MeanWait,
    service_time: Quantile,
    updated_at: Cell<Millis>,
}

impl Default for Spillover {
    fn default() -> Self {
        Self {
            fraction: Cell::new(None),
            is_used: Cell::new(false),
            integral: Cell::new(0.0),
            local_wait: MeanWait::default(),
            remote_wait: MeanWait::default(),
            service_time: Quantile::new(SERVICE_TIME_QUANTILE),
            updated_at: Cell::new(Millis(0)),
        }
    }
}

/// Average time that requests wait at a group of servers, in milliseconds.
#[derive(Debug, Default)]
struct MeanWait {
    mean: Ewma,
    updated_at: Cell<Millis>,
}

impl MeanWait {
    fn add(&self, wait: f64, now: Millis) {
        self.mean.add(wait, WAIT_WEIGHT);
        self.updated_at.set(now);
    }

    fn get(&self, now: Millis) -> f64 {
        let age = now.since(self.updated_at.get());
        self.mean.get().unwrap_or(0.0) * decay(age, WAIT_HALF_LIFE)
    }
}

impl Spillover {
    /// Records the load that a response reported and the time that the response took.
    ///
    /// Only servers that have requests report a load, so the mean of the reports is far above the
    /// mean of all servers: with a third of the slots busy, two thirds were reported, and a region
    /// that had once been busy never took its objects back. The wait of the next request, in
    /// contrast, is what a caller would experience at whichever server reports it.
    pub fn record(&self, is_local: bool, load: ServerLoad, took: Millis, now: Millis) {
        if is_local {
            self.service_time.add(took.0 as f64);
        }
        let service_ms = self.service_time.get().unwrap_or(took.0 as f64);
        self.record_wait(is_local, load.next_wait_ms(service_ms), now);
    }

    /// Records how long the next request would wait at a server, in milliseconds.
    pub fn record_wait(&self, is_local: bool, wait_ms: f64, now: Millis) {
        let mean_wait = if is_local {
            &self.local_wait
        } else {
            &self.remote_wait
        };
        mean_wait.add(wait_ms, now);
    }

    /// Returns the fraction of objects that other regions serve.
    pub fn remote_fraction(&self) -> f64 {
        self.fraction.get().unwrap_or(0.0)
    }

    /// Returns whether another region serves an object.
    pub fn is_remote(&self, object: u64) -> bool {
        self.is_used.set(true);
        let digest = hash::rendezvous(&[&object.to_le_bytes()], "away");
        hash::unit_interval(digest) < self.remote_fraction()
    }

    /// Moves the threshold for the time since the last update.
    ///
    /// Until the first request is routed by it, the threshold jumps directly to its target. A
    /// starting VM learns of routes before it learns of servers: with no local server known it
    /// would redirect everything and need 25 s to return from there, while objects are served
    /// remotely and then warmed a second time near their callers.
    pub fn update(&self, slots: SlotCounts, now: Millis) {
        let elapsed = now
            .since(self.updated_at.replace(now))
            .as_secs_f64()
            .min(1.0);
        let max_step = MAX_STEP_PER_SECOND * elapsed;
        let integral = self.integral.get() + self.adjustment(slots, now) * elapsed;
        // A region takes no more objects than its share of all slots, even if some of its own slots
        // are free: its servers cache as few objects as others do, and more of its requests were
        // refused when it took them.
        self.integral.set(integral.max(0.0));
        let target = (slots.base_fraction() + self.integral.get()).clamp(0.0, 1.0);
        // Anti-windup: discards the part of the integral that is clamped away.
        self.integral.set(target - slots.base_fraction());
        let new_fraction = match self.fraction.get() {
            Some(fraction) if slots.local > 0.0 && self.is_used.get() => {
                fraction + (target - fraction).clamp(-max_step, max_step)
            }
            _ => target,
        };
        self.fraction.set(Some(new_fraction));
    }

    /// Clears the threshold, so that the next update jumps to the target.
    pub fn reset(&self) {
        self.fraction.set(None);
    }

    /// Returns the change of the threshold per second.
    ///
    /// Redirected requests are in transit for longer. If more were redirected than callers gain by,
    /// the distribution of the region's requests over the regions would change as soon as their
    /// rate does: when callers suddenly stop, only requests in transit to remote regions are left.
    fn adjustment(&self, slots: SlotCounts, now: Millis) -> f64 {
        let (Some(round_trip), true) = (slots.round_trip, slots.remote > 0.0) else {
            return 0.0;
        };
        let excess_ms = self.local_wait.get(now) - self.remote_wait.get(now);
        let error = excess_ms / round_trip.0.max(1) as f64 - TARGET_WAIT_EXCESS;
        (error * GAIN_PER_SECOND).clamp(-MAX_RETURN_PER_SECOND, MAX_STEP_PER_SECOND)
    }
}
