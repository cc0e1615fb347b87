//! Which part of a region's objects other regions serve.
//!
//! A region's own servers are near, but there may be too few of them. A request at a time
//! sent away would move the load to and fro between regions and warm every object twice. So
//! whole objects are sent away: those whose hash lies below a threshold, which all VMs of
//! the region compute alike and move slowly.

use std::cell::Cell;

use heatherknot_types::hash;
use heatherknot_types::prelude::*;

use crate::ewma::{Ewma, fade};
use crate::quantile::Quantile;
use crate::upstream::ServerLoad;

/// How far the threshold moves in a second at most. Callers' requests may not be moved from
/// one region to another all at once: caches there are cold and links between regions thin.
const MOST_A_SECOND: f64 = 0.04;
/// How far it comes back in a second at most. Nothing is overloaded then, so it may take longer.
const BACK_A_SECOND: f64 = 0.03;
/// How much longer than elsewhere requests wait in the own region where the threshold stands still,
/// as a part of the way to another region and back. At half of it, requests begin to run as soon
/// near as far away; each one sent away also shortens the wait of those that stay.
const BALANCE: f64 = 0.5;
/// How far the threshold moves in a second for each whole way by which the wait is off the balance.
const STEP: f64 = 0.06;
/// The weight of one answer in the waits.
const WAIT_PART: f64 = 0.05;
/// The part of the own servers' answers that come within the usual time of the work alone.
const USUAL_PART: f64 = 0.25;
/// The time without an answer after which the wait that was seen counts for half. A region that
/// sends nearly everything away hears little of its own servers, and would never try them again.
const WAIT_HALF_LIFE: Millis = Millis(3_000);
/// The slots of a service that are in the own region and elsewhere.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    /// Slots in the own region.
    pub own: f64,
    /// Slots in all other regions.
    pub elsewhere: f64,
    /// Regions that have slots or callers.
    pub regions: usize,
    /// The time to another region and back, where it is known.
    pub way: Option<Millis>,
}

impl Room {
    /// Gives the part to send away where nothing is known of the load: callers are taken to
    /// be spread evenly over the regions.
    fn part_away(&self) -> f64 {
        let all = self.own + self.elsewhere;
        if self.own <= 0.0 || all <= 0.0 {
            return 1.0;
        }
        (1.0 - self.own / all * self.regions as f64).max(0.0)
    }
}

/// The threshold of one service.
#[derive(Debug)]
pub struct Spillover {
    part: Cell<Option<f64>>,
    /// Whether a request has gone by the threshold.
    is_used: Cell<bool>,
    learned: Cell<f64>,
    own: Waits,
    elsewhere: Waits,
    usual: Quantile,
    moved: Cell<Millis>,
}

impl Default for Spillover {
    fn default() -> Self {
        Self {
            part: Cell::new(None),
            is_used: Cell::new(false),
            learned: Cell::new(0.0),
            own: Waits::default(),
            elsewhere: Waits::default(),
            usual: Quantile::new(USUAL_PART),
            moved: Cell::new(Millis(0)),
        }
    }
}

/// How long requests wait at some servers, in milliseconds.
#[derive(Debug, Default)]
struct Waits {
    mean: Ewma,
    told: Cell<Millis>,
}

impl Waits {
    fn add(&self, wait: f64, now: Millis) {
        self.mean.add(wait, WAIT_PART);
        self.told.set(now);
    }

    fn get(&self, now: Millis) -> f64 {
        let age = now.since(self.told.get());
        self.mean.get().unwrap_or(0.0) * fade(age, WAIT_HALF_LIFE)
    }
}

impl Spillover {
    /// Takes in what an answer tells: the load of its server, and how long it took.
    ///
    /// Only servers that have requests tell anything, so the mean of the loads told is far above
    /// that of all servers: with a third of all slots busy two thirds were told, and a region that
    /// had once been busy never took its objects back. The wait that the next request would have is
    /// what its caller would feel, whoever tells it.
    pub fn record(&self, is_own: bool, load: ServerLoad, took: Millis, now: Millis) {
        if is_own {
            self.usual.add(took.0 as f64);
        }
        let work = self.usual.get().unwrap_or(took.0 as f64);
        let waits = if is_own { &self.own } else { &self.elsewhere };
        waits.add(load.next_wait(work), now);
    }

    /// Gives the part of the objects that other regions serve.
    pub fn part(&self) -> f64 {
        self.part.get().unwrap_or(0.0)
    }

    /// Says whether another region serves an object.
    pub fn is_away(&self, object: u64) -> bool {
        self.is_used.set(true);
        let at = hash::rendezvous(&[&object.to_le_bytes()], "away");
        hash::unit_interval(at) < self.part()
    }

    /// Moves the threshold for the time since it was moved last.
    ///
    /// Until the first request goes by it, it is where it should be at once. A VM that starts
    /// hears of routes before it hears of servers: with none in its region it would send
    /// everything away, and take 25 s to come back from there. On days that begin so, objects
    /// were served far off and then warmed once more near their callers.
    pub fn step(&self, room: Room, now: Millis) {
        let elapsed = now.since(self.moved.replace(now)).as_secs_f64().min(1.0);
        let most = MOST_A_SECOND * elapsed;
        let learned = self.learned.get() + self.wanted(room, now) * elapsed;
        // A region takes no more objects than its part of all slots, even while it has free ones:
        // its servers keep as few objects as others do, and more of its requests were refused when
        // it took them.
        self.learned.set(learned.max(0.0));
        let goal = (room.part_away() + self.learned.get()).clamp(0.0, 1.0);
        // What can't be followed is not to be wound up.
        self.learned.set(goal - room.part_away());
        let next = match self.part.get() {
            Some(part) if room.own > 0.0 && self.is_used.get() => {
                part + (goal - part).clamp(-most, most)
            }
            _ => goal,
        };
        self.part.set(Some(next));
    }

    /// Forgets where the threshold is, so that the next step sets it at once.
    pub fn reset(&self) {
        self.part.set(None);
    }

    /// Gives how far the threshold is to move in a second.
    ///
    /// What runs far away is under way for longer. Where more is sent there than callers gain by,
    /// the region's requests no longer run where they did as soon as their rate changes: at a sudden
    /// end only those under way to far regions are left.
    fn wanted(&self, room: Room, now: Millis) -> f64 {
        let (Some(way), true) = (room.way, room.elsewhere > 0.0) else {
            return 0.0;
        };
        let gain = self.own.get(now) - self.elsewhere.get(now);
        let off_balance = gain / way.0.max(1) as f64 - BALANCE;
        (off_balance * STEP).clamp(-BACK_A_SECOND, MOST_A_SECOND)
    }
}
