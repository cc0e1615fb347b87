//! Which part of a region's objects other regions serve.
//!
//! A region's own servers are near, but there may be too few of them. A request at a time
//! sent away would move the load to and fro between regions and warm every object twice. So
//! whole objects are sent away: those whose hash lies below a threshold, which all VMs of
//! the region compute alike and move slowly.

use std::cell::Cell;

use heatherknot_types::hash;
use heatherknot_types::prelude::*;

use crate::ewma::{Ewma, decay};
use crate::quantile::Quantile;
use crate::upstream::ServerLoad;

/// How far the threshold moves in a second at most. Callers' requests may not be moved from
/// one region to another all at once: caches there are cold and links between regions thin.
const MAX_STEP_PER_SECOND: f64 = 0.04;
/// How far it comes back in a second at most. Nothing is overloaded then, so it may take longer.
const MAX_RETURN_PER_SECOND: f64 = 0.03;
/// How much longer than elsewhere requests wait in the own region where the threshold stands still,
/// as a part of the way to another region and back. At half of it, requests begin to run as soon
/// near as far away; each one sent away also shortens the wait of those that stay.
const TARGET_WAIT_EXCESS: f64 = 0.5;
/// How far the threshold moves in a second for each whole way by which the wait is off the balance.
const GAIN_PER_SECOND: f64 = 0.06;
/// The weight of one answer in the waits.
const WAIT_WEIGHT: f64 = 0.05;
/// The part of the own servers' answers that come within the usual time of the work alone.
const SERVICE_TIME_QUANTILE: f64 = 0.25;
/// The time without an answer after which the wait that was seen counts for half. A region that
/// sends nearly everything away hears little of its own servers, and would never try them again.
const WAIT_HALF_LIFE: Millis = Millis(3_000);
/// The slots of a service that are in the own region and elsewhere.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlotCounts {
    /// Slots in the own region.
    pub local: f64,
    /// Slots in all other regions.
    pub remote: f64,
    /// Regions that have slots or callers.
    pub region_count: usize,
    /// The time to another region and back, where it is known.
    pub round_trip: Option<Millis>,
}

impl SlotCounts {
    /// Gives the part to send away where nothing is known of the load: callers are taken to
    /// be spread evenly over the regions.
    fn base_fraction(&self) -> f64 {
        let total = self.local + self.remote;
        if self.local <= 0.0 || total <= 0.0 {
            return 1.0;
        }
        (1.0 - self.local / total * self.region_count as f64).max(0.0)
    }
}

/// The threshold of one service.
#[derive(Debug)]
pub struct Spillover {
    fraction: Cell<Option<f64>>,
    /// Whether a request has gone by the threshold.
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

/// How long requests wait at some servers, in milliseconds.
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
    /// Takes in what an answer tells: the load of its server, and how long it took.
    ///
    /// Only servers that have requests tell anything, so the mean of the loads told is far above
    /// that of all servers: with a third of all slots busy two thirds were told, and a region that
    /// had once been busy never took its objects back. The wait that the next request would have is
    /// what its caller would feel, whoever tells it.
    pub fn record(&self, is_local: bool, load: ServerLoad, took: Millis, now: Millis) {
        if is_local {
            self.service_time.add(took.0 as f64);
        }
        let service_ms = self.service_time.get().unwrap_or(took.0 as f64);
        let mean_wait = if is_local {
            &self.local_wait
        } else {
            &self.remote_wait
        };
        mean_wait.add(load.next_wait_ms(service_ms), now);
    }

    /// Gives the part of the objects that other regions serve.
    pub fn remote_fraction(&self) -> f64 {
        self.fraction.get().unwrap_or(0.0)
    }

    /// Says whether another region serves an object.
    pub fn is_remote(&self, object: u64) -> bool {
        self.is_used.set(true);
        let digest = hash::rendezvous(&[&object.to_le_bytes()], "away");
        hash::unit_interval(digest) < self.remote_fraction()
    }

    /// Moves the threshold for the time since it was moved last.
    ///
    /// Until the first request goes by it, it is where it should be at once. A VM that starts
    /// hears of routes before it hears of servers: with none in its region it would send
    /// everything away, and take 25 s to come back from there. On days that begin so, objects
    /// were served far off and then warmed once more near their callers.
    pub fn update(&self, slots: SlotCounts, now: Millis) {
        let elapsed = now
            .since(self.updated_at.replace(now))
            .as_secs_f64()
            .min(1.0);
        let max_step = MAX_STEP_PER_SECOND * elapsed;
        let integral = self.integral.get() + self.adjustment(slots, now) * elapsed;
        // A region takes no more objects than its part of all slots, even while it has free ones:
        // its servers keep as few objects as others do, and more of its requests were refused when
        // it took them.
        self.integral.set(integral.max(0.0));
        let target = (slots.base_fraction() + self.integral.get()).clamp(0.0, 1.0);
        // What can't be followed is not to be wound up.
        self.integral.set(target - slots.base_fraction());
        let fraction_now = match self.fraction.get() {
            Some(fraction) if slots.local > 0.0 && self.is_used.get() => {
                fraction + (target - fraction).clamp(-max_step, max_step)
            }
            _ => target,
        };
        self.fraction.set(Some(fraction_now));
    }

    /// Forgets where the threshold is, so that the next step sets it at once.
    pub fn reset(&self) {
        self.fraction.set(None);
    }

    /// Gives how far the threshold is to move in a second.
    ///
    /// What runs far away is under way for longer. Where more is sent there than callers gain by,
    /// the region's requests no longer run where they did as soon as their rate changes: at a sudden
    /// end only those under way to far regions are left.
    fn adjustment(&self, slots: SlotCounts, now: Millis) -> f64 {
        let (Some(round_trip), true) = (slots.round_trip, slots.remote > 0.0) else {
            return 0.0;
        };
        let excess_ms = self.local_wait.get(now) - self.remote_wait.get(now);
        let error = excess_ms / round_trip.0.max(1) as f64 - TARGET_WAIT_EXCESS;
        (error * GAIN_PER_SECOND).clamp(-MAX_RETURN_PER_SECOND, MAX_STEP_PER_SECOND)
    }
}
